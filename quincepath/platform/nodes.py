"""Connections to nodes: many parts on each, outcomes told as facts. Moves bytes; ``Link`` keeps the books."""

import errno
import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.interface import NodeId, Result
from quincepath.net.dial import LATE, Dial, why
from quincepath.net.loop import Loop, Timer
from quincepath.net.stream import Stream
from quincepath.orders import AttemptOrder, Ended, StartCall
from quincepath.platform.frames import CallPart, Reply, Spoilt, call_frame, give_up_frame, read_report
from quincepath.platform.link import Link, LinkTimes
from quincepath.upstream.outcomes import End, Meaning, of_transport

MS = 1_000_000
SWEEP = 100 * MS
ENDS = {
    b"good": Meaning(Result.OK, ""),
    b"bad": Meaning(Result.ERROR, "the node said bad"),
    b"later": Meaning(Result.FULL, "the node turned it away"),
}
Key = tuple[int, int]


@dataclass(slots=True, eq=False)
class _Out:
    """One attempt that is out."""

    key: Key
    order: AttemptOrder
    id: bytes
    connection: "_Connection | None" = None
    handed: bool = False  # its frame's last byte is with the system
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class _Frame:
    """Parts of one call whose frame has not begun to leave, or bytes that tell of a part given up."""

    outs: list[_Out] = field(default_factory=list)
    data: bytes = b""


class _Connection:
    """One socket to a node, dialling or open. Frames wait here, not in the stream, to be taken back."""

    def __init__(self, owner: "Nodes", node: NodeId, address: tuple[str, int]) -> None:
        self.owner, self.node, self.address = owner, node, address
        self.link = Link(owner.streams, owner.times, owner.loop.now)
        self.queue: deque[_Frame] = deque()
        self.leaving: _Frame | None = None  # begun, not wholly with the system
        self.stream: Stream | None = None
        self.closed = False
        self._pumping = False
        owner.counts["opened"] += 1
        self.dial: Dial | None = Dial(owner.loop, address, owner.times.dial, self._opened, self._not_opened)

    def _opened(self, sock: socket.socket) -> None:
        self.dial = None
        self.link.used_at = self.link.waiting_since = self.owner.loop.now
        self.stream = Stream(self.owner.loop, sock, self._data, self._lost, self._pump)
        self._pump()

    def _not_opened(self, code: int) -> None:
        self.dial = None
        end = {LATE: End.DIAL_TIMEOUT, errno.ECONNREFUSED: End.REFUSED}.get(code, End.UNREACHABLE)
        self.end_all(of_transport(end, why(code)), of_transport(end, why(code)))

    def put(self, frame: _Frame) -> None:
        """A frame of a call; its ids may be carried."""
        for out in frame.outs:
            out.connection = self
            self.link.put(self.owner.loop.now, out.id, out)
        self.queue.append(frame)
        self._pump()

    def _pump(self) -> None:
        """Write what waits, frame by frame, as far as the system takes it."""
        if self._pumping:
            return
        self._pumping = True
        while self.stream is not None and not self.stream.closed and not self.stream.pending:
            if self.leaving is not None:
                for out in self.leaving.outs:
                    out.handed = True
                self.leaving = None
            if not self.queue:
                break
            frame = self.leaving = self.queue.popleft()
            now = self.owner.loop.now
            if frame.outs:
                frame.data = call_frame([self._part(out, now) for out in frame.outs])
                self.link.used_at = now
            self.stream.write(frame.data)
        self._pumping = False

    @staticmethod
    def _part(out: _Out, now: int) -> CallPart:
        wait = max((out.order.deadline - now) // MS, 1)
        return CallPart(out.id, out.order.shard, wait, out.order.payload)

    def give_up(self, out: _Out) -> bool:
        """Nobody waits for an attempt any more; tells whether it certainly never left."""
        for frame in self.queue:
            if out in frame.outs:
                frame.outs.remove(out)
                if not frame.outs:
                    self.queue.remove(frame)
                self.link.take_back(out.id)
                return True
        self.link.give_up(out.id)
        self.queue.append(_Frame(data=give_up_frame(out.id)))
        self._pump()
        return False

    def _data(self, data: bytes) -> None:
        replies, spoilt = self.link.receive(self.owner.loop.now, data)
        for out, reply in replies:
            assert isinstance(out, _Out)
            self.owner.replied(out, reply)
        if spoilt is not None:
            self.spoil(spoilt)

    def spoil(self, spoilt: Spoilt) -> None:
        """The bytes cannot be used: the attempt concerned failed, the others go down with the connection."""
        self.owner.counts["spoilt"] += 1
        # Which attempt the bytes were for is often unreadable: the one that has waited longest stands for it.
        handed = [out for out in self.link.live.values() if isinstance(out, _Out) and out.handed]
        concerned = self.link.live.get(spoilt.part) or (handed[0] if handed else None)
        if isinstance(concerned, _Out):
            self.link.give_up(concerned.id)
            self.owner.end(concerned, of_transport(End.PROTOCOL, spoilt.text))
        self.owner.on_event("spoilt connection", self.node, spoilt.text)
        unsent = of_transport(End.LOST_UNSENT, spoilt.text)
        self.end_all(unsent, of_transport(End.SPOILT, spoilt.text))

    def _lost(self, text: str) -> None:
        self.end_all(of_transport(End.LOST_UNSENT, text), of_transport(End.LOST, text))

    def end_all(self, unsent: Meaning, sent: Meaning) -> None:
        """The connection is over; each attempt on it ends by whether its frame had left."""
        outs = [out for out in self.link.live.values() if isinstance(out, _Out)]
        self.close()
        for out in outs:
            self.owner.end(out, sent if out.handed else unsent)

    def close(self) -> None:
        """Close, in whatever state; what is out is not told."""
        if self.closed:
            return
        self.closed = True
        if self.dial is not None:
            self.dial.close()
        if self.stream is not None:
            self.stream.close()
        self.link.live.clear()
        self.queue.clear()
        self.owner.forget(self)


class Nodes:
    """All connections. ``ended`` is called once for each attempt started.

    ``where(node)`` gives the address, None where no list names the node any more; ``streams`` is the number
    of parts a connection carries, ``most`` the connections to one node and ``most_open`` to all together.
    """

    def __init__(
        self,
        loop: Loop,
        streams: int,
        times: LinkTimes,
        most: int,
        most_open: int,
        where: Callable[[NodeId], tuple[str, int] | None],
        ended: Callable[[Ended], None],
        report_fields: tuple[str, ...] = (),
        on_event: Callable[[str, NodeId, str], None] = lambda what, node, why: None,
    ) -> None:
        self.loop, self.streams, self.times, self.most = loop, streams, times, most
        self.most_open = most_open
        self._where, self._ended, self._fields, self.on_event = where, ended, report_fields, on_event
        self.connections: dict[NodeId, list[_Connection]] = {}
        self.outs: dict[Key, _Out] = {}
        self.counts: Counter[str] = Counter()
        self._sweep()

    def start(self, order: StartCall) -> None:
        """Send the attempts of one call on a connection that has room, or on a new one."""
        outs = []
        for attempt in order.attempts:
            key = (attempt.part, attempt.attempt)
            out = _Out(key, attempt, f"{attempt.query_name}.{attempt.shard}".encode())
            self.outs[key] = out
            outs.append(out)
        address = self._where(order.node)
        if address is None:
            self._end_each(outs, of_transport(End.UNLISTED))
            return
        connection = self._connection(order.node, address, outs)
        if connection is None:
            self._end_each(outs, of_transport(End.NO_PLACE))
            return
        for out in outs:
            out.timer = self.loop.call_at(out.order.deadline, lambda out=out: self._expire(out))  # type: ignore[misc]
        connection.put(_Frame(outs))

    def _connection(self, node: NodeId, address: tuple[str, int], outs: list[_Out]) -> _Connection | None:
        now = self.loop.now
        held = self.connections.setdefault(node, [])
        for connection in held:
            link = connection.link
            if connection.address != address:
                link.retired = True
            elif (
                connection.dial is not None
                and not link.retired
                and len(link.live) + len(outs) <= self.streams
            ):
                if all(link.may_carry(now, out.id) for out in outs):
                    return connection
            elif link.room(now) and all(link.may_carry(now, out.id) for out in outs):
                return connection
        if len(held) >= self.most:
            self._make_room(held)
        if self.open_count() >= self.most_open:
            for others in list(self.connections.values()):
                self._make_room(others)
        if len(held) >= self.most or self.open_count() >= self.most_open:
            return None
        connection = _Connection(self, node, address)
        self.connections.setdefault(node, []).append(connection)
        return connection

    def _make_room(self, held: list[_Connection]) -> None:
        """Close one that nobody waits on."""
        for connection in held:
            if not connection.link.live and connection.dial is None:
                connection.close()
                return

    def stop(self, part: int, attempt: int) -> None:
        """Stop waiting for one attempt; others of its call go on."""
        out = self.outs.get((part, attempt))
        if out is not None:
            if out.connection is not None:
                out.connection.give_up(out)
            self.end(out, of_transport(End.STOPPED))

    def _expire(self, out: _Out) -> None:
        if out.key not in self.outs or out.connection is None:
            return
        # A frame that never left certainly did not run: the truth is that no connection came in time.
        unsent = out.connection.give_up(out)
        self.end(out, of_transport(End.DIAL_TIMEOUT if unsent else End.TIMEOUT))

    def replied(self, out: _Out, reply: Reply) -> None:
        """A whole reply to an attempt has come."""
        body = reply.value if reply.end == b"good" else None
        self.end(out, ENDS[reply.end], body, read_report(reply.report, self._fields))

    def end(
        self, out: _Out, meaning: Meaning, body: str | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """An attempt has ended; told once."""
        if self.outs.pop(out.key, None) is None:
            return
        if out.timer is not None:
            out.timer.cancel()
        self.counts[meaning.result.name.lower()] += 1
        self._ended(Ended(out.key[0], out.key[1], meaning.result, body, meaning.cause, report))

    def _end_each(self, outs: list[_Out], meaning: Meaning) -> None:
        for out in outs:
            self.end(out, meaning)

    def forget(self, connection: _Connection) -> None:
        """A connection is closed."""
        held = self.connections.get(connection.node, [])
        if connection in held:
            held.remove(connection)
        if not held:
            self.connections.pop(connection.node, None)

    def close_node(self, node: NodeId) -> None:
        """A node is gone or drains: what nobody waits on is closed, the rest takes nothing new."""
        for connection in list(self.connections.get(node, ())):
            connection.link.retired = True
            if not connection.link.live:
                connection.close()

    def open_count(self) -> int:
        """Connections now held."""
        return sum(len(held) for held in self.connections.values())

    def close(self) -> None:
        """Close everything; what was out is not told any more."""
        for held in list(self.connections.values()):
            for connection in list(held):
                connection.close()

    def _sweep(self) -> None:
        """Give up connections whose reply has stalled, close those that take nothing new or idle for long."""
        now = self.loop.now
        for held in list(self.connections.values()):
            for connection in list(held):
                link = connection.link
                if link.stalled(now):
                    connection.spoil(Spoilt("a reply that began does not go on"))
                elif (
                    connection.dial is None and not link.live and not connection.queue and not link.room(now)
                ):
                    connection.close()
        self.loop.call_in(SWEEP, self._sweep)
