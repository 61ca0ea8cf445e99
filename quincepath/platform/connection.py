"""One connection to a node: frames wait here until they may leave, and are taken back until then."""

import errno
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from quincepath.interface import NodeId
from quincepath.net.dial import CONNECT_TIMED_OUT, Dial, describe_connect_error
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream
from quincepath.platform.connection_state import ConnectionState, ConnectionTimeouts
from quincepath.platform.frames import MAX_FRAME_BYTES, CallPart, FrameError, Reply, call_frame, cancel_frame
from quincepath.platform.outgoing import Frame, OutgoingAttempt
from quincepath.upstream.outcomes import CallEnd, CallOutcome, transport_outcome

MS = 1_000_000


class Owner(Protocol):
    """What a connection needs of ``NodePool``."""

    loop: Loop
    streams: int
    times: ConnectionTimeouts
    counts: Counter[str]
    on_event: Callable[[str, NodeId, str], None]

    def replied(self, part: OutgoingAttempt, reply: Reply) -> None:
        """A whole reply to an attempt has come."""
        ...

    def end(self, part: OutgoingAttempt, meaning: CallOutcome) -> None:
        """An attempt has ended."""
        ...

    def forget(self, connection: "Connection") -> None:
        """A connection takes part in nothing any more; its socket may still be ending."""
        ...

    def released(self, connection: "Connection") -> None:
        """A connection's socket is closed."""
        ...


class Connection:
    """One socket to a node, dialling or open. Frames wait here, not in the stream, to be taken back."""

    def __init__(self, owner: Owner, node: NodeId, address: tuple[str, int]) -> None:
        self.owner, self.node, self.address = owner, node, address
        self.state = ConnectionState(owner.streams, owner.times, owner.loop.now)
        self.queue: deque[Frame] = deque()
        self.leaving: Frame | None = None  # begun, not wholly with the system
        self.stream: Stream | None = None
        self.closed = False
        self._pumping = False
        self.dial: Dial | None = Dial(owner.loop, address, owner.times.dial, self._opened, self._not_opened)

    def _opened(self, sock: socket.socket) -> None:
        self.dial = None
        self.state.opened(self.owner.loop.now)
        self.stream = Stream(self.owner.loop, sock, self._data, self._lost, self._pump)
        self._pump()

    def _not_opened(self, code: int) -> None:
        self.dial = None
        end = {CONNECT_TIMED_OUT: CallEnd.DIAL_TIMEOUT, errno.ECONNREFUSED: CallEnd.REFUSED}.get(
            code, CallEnd.UNREACHABLE
        )
        self.end_all(
            transport_outcome(end, describe_connect_error(code)),
            transport_outcome(end, describe_connect_error(code)),
        )

    def put(self, frame: Frame) -> None:
        """A frame of a call; its ids may be carried."""
        for part in frame.parts:
            self.state.put(self.owner.loop.now, part.id, part)
        self.queue.append(frame)
        self._pump()

    def _pump(self) -> None:
        """Write what waits, frame by frame, as far as the system takes it."""
        if self._pumping:
            return
        self._pumping = True
        while self.stream is not None and not self.stream.closed and not self.stream.pending:
            if self.leaving is not None:
                for part in self.leaving.parts:
                    part.handed = True
                self.leaving = None
            if not self.queue:
                break
            frame = self.queue.popleft()
            if frame.parts and not self._begin(frame):
                continue
            self.leaving = frame
            self.stream.write(frame.data)
        self._pumping = False

    def _begin(self, frame: Frame) -> bool:
        """Make a call's frame of the parts that may still leave; tells whether there are any.

        By the clock, not by the time at which this turn began: a turn may be long, and the bound is exact.
        """
        now = self.owner.loop.clock()
        late = [part for part in frame.parts if not part.may_begin(now)]
        for part in late:
            frame.parts.remove(part)
            self.state.take_back(part.id)
            self.owner.end(part, transport_outcome(CallEnd.NOT_SENT))
        if not frame.parts:
            return False
        for part in frame.parts:
            part.written = True
        frame.data = call_frame([self._part(part, now) for part in frame.parts])
        self.state.used_at = now
        return True

    @staticmethod
    def _part(part: OutgoingAttempt, now: int) -> CallPart:
        wait = max((part.order.deadline - now) // MS, 1)
        return CallPart(part.id, part.order.shard, wait, part.order.payload)

    def begun(self, part: OutgoingAttempt) -> bool:
        """Whether a byte of its frame may have left: a full socket may have taken none."""
        frame, stream = self.leaving, self.stream
        if frame is None or stream is None or part not in frame.parts:
            return part.written
        return stream.pending < len(frame.data)

    def give_up(self, part: OutgoingAttempt) -> bool:
        """Nobody waits for an attempt any more; tells whether it certainly never ran."""
        if part.handed:
            self.state.give_up(part.id)
            self.queue.append(Frame(data=cancel_frame(part.id)))
            self._pump()
            return False
        self.state.take_back(part.id)
        if part.written:
            # Its last byte, whenever the node reads on, would make it an attempt: after its query's answer,
            # past its window, or beside its resend. Only the end of the connection keeps it from running; by
            # a reset, so that calls which the system still holds do not come late either.
            text = "it took no more bytes"
            self.owner.on_event("blocked connection", self.node, text)
            self.end_all(
                transport_outcome(CallEnd.LOST_UNSENT, text),
                transport_outcome(CallEnd.CLOSED_AFTER_PARTIAL_WRITE, text),
                reset=True,
            )
            return True
        for frame in self.queue:
            if part in frame.parts:
                frame.parts.remove(part)
                if not frame.parts:
                    self.queue.remove(frame)
                break
        return True

    def _data(self, data: bytes) -> None:
        replies, spoilt = self.state.receive(self.owner.loop.now, data)
        for part, reply in replies:
            assert isinstance(part, OutgoingAttempt)
            self.owner.replied(part, reply)
        if spoilt is not None:
            self.spoil(spoilt)

    def spoil(self, spoilt: FrameError) -> None:
        """The bytes cannot be used: the attempt concerned failed, the others go down with the connection."""
        self.owner.counts["spoilt"] += 1
        # Which attempt the bytes were for is often unreadable: the one that has waited longest stands for it.
        handed = [
            part for part in self.state.live.values() if isinstance(part, OutgoingAttempt) and part.handed
        ]
        concerned = self.state.live.get(spoilt.part) or (handed[0] if handed else None)
        if isinstance(concerned, OutgoingAttempt):
            self.state.give_up(concerned.id)
            self.owner.end(concerned, transport_outcome(CallEnd.PROTOCOL, spoilt.text))
        self.owner.on_event("spoilt connection", self.node, spoilt.text)
        unsent = transport_outcome(CallEnd.LOST_UNSENT, spoilt.text)
        self.end_all(unsent, transport_outcome(CallEnd.CLOSED_AFTER_BAD_ANSWER, spoilt.text))

    def _lost(self, text: str) -> None:
        self.end_all(transport_outcome(CallEnd.LOST_UNSENT, text), transport_outcome(CallEnd.LOST, text))

    def end_all(self, unsent: CallOutcome, sent: CallOutcome, reset: bool = False) -> None:
        """The connection is over; each attempt on it ends by whether its frame had left."""
        parts = [part for part in self.state.live.values() if isinstance(part, OutgoingAttempt)]
        self.close(reset)
        for part in parts:
            self.owner.end(part, sent if part.handed else unsent)

    def finish(self) -> None:
        """Close with nothing out: what was just written gets there first.

        Guards against a reset that throws away frames ``n``: closing over an unread reply sends one.
        """
        if self.closed or self.stream is None or self.stream.closed or self.state.live:
            self.close()
            return
        self._forget()
        timer = self.owner.loop.call_in(self.owner.times.dial, self.close)

        def done() -> None:
            timer.cancel()
            self.close()

        self.stream.finish(MAX_FRAME_BYTES, done)

    def close(self, reset: bool = False) -> None:
        """Close at once, in whatever state; what is out is not told."""
        self._forget()
        if self.dial is not None:
            self.dial.close()
        if self.stream is not None:
            self.stream.close(reset)
        self.owner.released(self)

    def _forget(self) -> None:
        if not self.closed:
            self.closed = True
            self.state.live.clear()
            self.queue.clear()
            self.owner.forget(self)
