"""All connections to nodes: which one a call goes on, and how each attempt ended, told once, as a fact."""

from collections import Counter
from collections.abc import Callable

from quincepath.interface import NodeId, Result
from quincepath.net.loop import Loop
from quincepath.orders import AttemptEnded, StartCall
from quincepath.platform.connection import Connection
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.frames import FrameError, Reply, read_report
from quincepath.platform.outgoing import Frame, Key, OutgoingAttempt
from quincepath.upstream.outcomes import CallEnd, CallOutcome, transport_outcome

MS = 1_000_000
SWEEP = 100 * MS
REPLY_MEANINGS = {
    b"good": CallOutcome(Result.OK, ""),
    b"bad": CallOutcome(Result.ERROR, "the node said bad"),
    b"later": CallOutcome(Result.FULL, "the node turned it away"),
}


class NodePool:
    """All connections. ``ended`` is called once for each attempt started.

    ``where(node)`` gives the address, None where no list names the node any more; ``streams`` is the number
    of parts a connection carries, ``most`` the connections to one node and ``most_open`` to all together.
    """

    def __init__(
        self,
        loop: Loop,
        streams: int,
        times: ConnectionTimeouts,
        most: int,
        most_open: int,
        where: Callable[[NodeId], tuple[str, int] | None],
        ended: Callable[[AttemptEnded], None],
        report_fields: tuple[str, ...] = (),
        on_event: Callable[[str, NodeId, str], None] = lambda what, node, why: None,
    ) -> None:
        self.loop, self.streams, self.times, self.most = loop, streams, times, most
        self.most_open = most_open
        self._where, self._ended, self._fields, self.on_event = where, ended, report_fields, on_event
        self.connections: dict[NodeId, list[Connection]] = {}
        self.ending: set[Connection] = set()  # closed to everything new, their last bytes on the way
        self.outs: dict[Key, OutgoingAttempt] = {}
        self.counts: Counter[str] = Counter()
        self._sweep()

    def start(self, order: StartCall) -> None:
        """Send the attempts of one call on a connection that has room, or on a new one."""
        outs = []
        for attempt in order.attempts:
            key = (attempt.part, attempt.attempt)
            id = f"{attempt.query_name}.{attempt.shard}".encode()
            out = OutgoingAttempt(key, attempt, id, attempt.send_start_by)
            self.outs[key] = out
            outs.append(out)
        address = self._where(order.node)
        if address is None:
            self._end_each(outs, transport_outcome(CallEnd.UNLISTED))
            return
        connection = self._connection(order.node, address, outs)
        if connection is None:
            self._end_each(outs, transport_outcome(CallEnd.NO_FREE_CONNECTION))
            return
        for out in outs:
            out.carrier = connection
            self._arm(out)
        connection.put(Frame(outs))

    def _connection(
        self, node: NodeId, address: tuple[str, int], outs: list[OutgoingAttempt]
    ) -> Connection | None:
        now = self.loop.now
        held = self.connections.setdefault(node, [])
        for connection in held:
            link = connection.state
            if connection.address != address:
                link.retired = True
            elif (
                connection.dial is not None
                and not link.retired
                and len(link.live) + len(outs) <= self.streams
            ):
                if all(link.may_carry(now, out.id) for out in outs):
                    return connection
            elif link.room(now, len(outs)) and all(link.may_carry(now, out.id) for out in outs):
                return connection
        if len(held) >= self.most:
            self._make_room(held)
        if self.open_count() >= self.most_open:
            for ending in list(self.ending):
                ending.close()
        if self.open_count() >= self.most_open:
            for others in list(self.connections.values()):
                self._make_room(others)
        if len(held) >= self.most or self.open_count() >= self.most_open:
            return None
        self.counts["opened"] += 1
        connection = Connection(self, node, address)
        self.connections.setdefault(node, []).append(connection)
        return connection

    def _make_room(self, held: list[Connection]) -> None:
        """Close one that nobody waits on."""
        for connection in held:
            if not connection.state.live and connection.dial is None:
                connection.close()
                return

    def stop(self, part: int, attempt: int) -> None:
        """Stop waiting for one attempt; others of its call go on."""
        out = self.outs.get((part, attempt))
        if out is not None:
            if out.carrier is not None:
                out.carrier.give_up(out)
            self.end(out, transport_outcome(CallEnd.STOPPED))

    def withdraw(self, part: int, attempt: int) -> None:
        """What of one attempt has not left must not leave any more; one that has left goes on."""
        out = self.outs.get((part, attempt))
        if out is not None and not out.handed:
            self.stop(part, attempt)

    def leave_by(self, node: NodeId, at: int) -> None:
        """Nothing that waits for a node begins to leave after ``at``."""
        for connection in self.connections.get(node, ()):
            for out in connection.state.live.values():
                if isinstance(out, OutgoingAttempt) and not out.handed and at < out.leave_by:
                    out.leave_by = at
                    self._arm(out)

    def _arm(self, out: OutgoingAttempt) -> None:
        if out.timer is not None:
            out.timer.cancel()
        out.timer = self.loop.call_at(out.due(), lambda: self._due(out))

    def _due(self, out: OutgoingAttempt) -> None:
        """Its time to leave, or to be answered, is over, if it has not got further meanwhile."""
        if out.key not in self.outs or out.carrier is None:
            return
        if self.loop.now < out.due():
            self._arm(out)
            return
        never_ran = out.carrier.give_up(out)
        self.counts["not_left"] += never_ran
        self.end(out, transport_outcome(CallEnd.NOT_SENT if never_ran else CallEnd.TIMEOUT))

    def replied(self, out: OutgoingAttempt, reply: Reply) -> None:
        """A whole reply to an attempt has come."""
        body = reply.value if reply.status == b"good" else None
        self.end(out, REPLY_MEANINGS[reply.status], body, read_report(reply.report, self._fields))

    def end(
        self,
        out: OutgoingAttempt,
        meaning: CallOutcome,
        body: str | None = None,
        report: tuple[float, ...] = (),
    ) -> None:
        """An attempt has ended; told once."""
        if self.outs.pop(out.key, None) is None:
            return
        if out.timer is not None:
            out.timer.cancel()
        self.counts[meaning.result.name.lower()] += 1
        self._ended(AttemptEnded(out.key[0], out.key[1], meaning.result, body, meaning.cause, report))

    def _end_each(self, outs: list[OutgoingAttempt], meaning: CallOutcome) -> None:
        for out in outs:
            self.end(out, meaning)

    def forget(self, connection: Connection) -> None:
        """A connection takes part in nothing any more; its socket may still be ending."""
        self.ending.add(connection)
        held = self.connections.get(connection.node, [])
        if connection in held:
            held.remove(connection)
        if not held:
            self.connections.pop(connection.node, None)

    def released(self, connection: Connection) -> None:
        """A connection's socket is closed."""
        self.ending.discard(connection)

    def close_node(self, node: NodeId) -> None:
        """A node is gone or drains: what nobody waits on is closed, the rest takes nothing new."""
        for connection in list(self.connections.get(node, ())):
            connection.state.retired = True
            if not connection.state.live:
                connection.finish()

    def open_count(self) -> int:
        """Sockets now held."""
        return len(self.ending) + sum(len(held) for held in self.connections.values())

    def close(self) -> None:
        """Close everything; what was out is not told any more."""
        for held in list(self.connections.values()):
            for connection in list(held):
                connection.close()
        for connection in list(self.ending):
            connection.close()

    def _sweep(self) -> None:
        """Give up connections whose reply has stalled, close those that take nothing new or idle for long."""
        now = self.loop.now
        for held in list(self.connections.values()):
            for connection in list(held):
                link = connection.state
                if link.stalled(now):
                    connection.spoil(FrameError("a reply that began does not go on"))
                elif connection.dial is None and not link.live and not link.room(now):
                    connection.finish()  # which gives up whatever frames ``n`` still wait
        self.loop.call_in(SWEEP, self._sweep)
