"""One connection to a node: holds frames until they may be sent, and takes them back until then."""

import errno
import socket
from collections import Counter, deque
from collections.abc import Callable, Collection
from typing import Protocol, cast

from quincepath.interface import NodeId
from quincepath.net.dial import CONNECT_TIMED_OUT, Dial, describe_connect_error
from quincepath.net.loop import Loop, Timer
from quincepath.net.stream import CLEAN_END, Stream
from quincepath.platform.connection_state import ConnectionState, ConnectionTimeouts, Matched
from quincepath.platform.frames import (
    MAX_FRAME_BYTES,
    RECOVERY_BYTES,
    CallPart,
    FrameError,
    Reply,
    call_frame,
    cancel_frame,
)
from quincepath.platform.outgoing import Key, OutgoingAttempt, OutgoingFrame
from quincepath.platform.reply_evidence import ReplyEvidence
from quincepath.upstream.outcomes import CallEnd, CallOutcome, transport_outcome

MS = 1_000_000


class Owner(Protocol):
    """What a connection needs from ``NodePool``."""

    loop: Loop
    streams: int
    timeouts: ConnectionTimeouts
    counts: Counter[str]
    reply_evidence: ReplyEvidence
    on_event: Callable[[str, NodeId, str], None]

    def on_reply(self, attempt: OutgoingAttempt, reply: Reply) -> None:
        """Called with the whole reply to an attempt."""
        ...

    def on_reply_held(self, attempt: OutgoingAttempt) -> None:
        """Called when a whole reply to an attempt has arrived that is being checked."""
        ...

    def on_late_reply(self, key: Key, reply: Reply | None) -> None:
        """Called with the good reply to an attempt that has timed out; None if it is doubtful."""
        ...

    def end_attempt(self, attempt: OutgoingAttempt, outcome: CallOutcome, *, doubtful: bool = False) -> None:
        """Called when an attempt has ended; ``doubtful``: a whole reply to it may have been valid."""
        ...

    def detach(self, connection: "Connection") -> None:
        """Called when a connection takes no more work; its socket may still be closing."""
        ...

    def on_closed(self, connection: "Connection") -> None:
        """Called when a connection's socket is closed."""
        ...


class Connection:
    """One socket to a node, dialling or open. Frames queue here, not in the stream, so as to be withdrawn."""

    def __init__(self, owner: Owner, node: NodeId, address: tuple[str, int]) -> None:
        self.owner, self.node, self.address = owner, node, address
        self.state = ConnectionState(
            owner.streams, owner.timeouts, owner.loop.now, node, owner.reply_evidence
        )
        self._confirm_timer: Timer | None = None
        self.queue: deque[OutgoingFrame] = deque()
        self.sending: OutgoingFrame | None = None  # partly accepted by the operating system
        self.stream: Stream | None = None
        self.closed = False
        self._pumping = False
        self.dial: Dial | None = Dial(
            owner.loop, address, owner.timeouts.dial, self._on_open, self._on_dial_failed
        )

    def _on_open(self, sock: socket.socket) -> None:
        self.dial = None
        self.state.opened(self.owner.loop.now)
        self.stream = Stream(self.owner.loop, sock, self._on_data, self._on_lost, self._pump)
        self._pump()

    def _on_dial_failed(self, code: int) -> None:
        self.dial = None
        end = {CONNECT_TIMED_OUT: CallEnd.DIAL_TIMEOUT, errno.ECONNREFUSED: CallEnd.REFUSED}.get(
            code, CallEnd.UNREACHABLE
        )
        self.end_all(
            transport_outcome(end, describe_connect_error(code)),
            transport_outcome(end, describe_connect_error(code)),
        )

    def send(self, frame: OutgoingFrame) -> None:
        """Queue the frame of a call; the connection may carry its ids."""
        for attempt in frame.attempts:
            self.state.add(self.owner.loop.now, attempt.id, attempt, attempt.order.kind)
        self.queue.append(frame)
        self._pump()

    def _pump(self) -> None:
        """Write queued frames, one at a time, as far as the operating system accepts them."""
        if self._pumping:
            return
        self._pumping = True
        while self.stream is not None and not self.stream.closed and not self.stream.pending:
            if self.sending is not None:
                for attempt in self.sending.attempts:
                    attempt.sent = True
                self.sending = None
            if not self.queue:
                break
            frame = self.queue.popleft()
            if frame.attempts and not self._begin(frame):
                continue
            self.sending = frame
            self.stream.write(frame.data)
        self._pumping = False

    def _begin(self, frame: OutgoingFrame) -> bool:
        """Encode a call's frame from the attempts that may still be sent; returns whether there are any.

        Uses the clock, not the time at which this turn of the loop began: a turn may be long, and the limit
        is exact.
        """
        now = self.owner.loop.clock()
        expired = [attempt for attempt in frame.attempts if not attempt.may_begin(now)]
        for attempt in expired:
            frame.attempts.remove(attempt)
            self.state.remove(attempt.id)
            self.owner.end_attempt(attempt, transport_outcome(CallEnd.NOT_SENT))
        if not frame.attempts:
            return False
        for attempt in frame.attempts:
            attempt.written = True
        frame.data = call_frame([self._call_part(attempt, now) for attempt in frame.attempts])
        self.state.used_at = now
        return True

    @staticmethod
    def _call_part(attempt: OutgoingAttempt, now: int) -> CallPart:
        wait = max((attempt.order.deadline - now) // MS, 1)
        return CallPart(attempt.id, attempt.order.shard, wait, attempt.order.payload)

    def send_started(self, attempt: OutgoingAttempt) -> bool:
        """Whether a byte of its frame may have been sent: a full socket may have accepted none."""
        frame, stream = self.sending, self.stream
        if frame is None or stream is None or attempt not in frame.attempts:
            return attempt.written
        return stream.pending < len(frame.data)

    def cancel(self, attempt: OutgoingAttempt) -> bool:
        """Cancel an attempt that nobody waits for; returns whether it certainly never ran."""
        if attempt.sent:
            self.state.cancel(self.owner.loop.now, attempt.id, attempt.key if attempt.timed_out else None)
            self.queue.append(OutgoingFrame(data=cancel_frame(attempt.id)))
            self._pump()
            return False
        self.state.remove(attempt.id)
        if attempt.written:
            # Once the node reads its last byte, at whatever time, the attempt would run: after its query's
            # answer, past its window, or beside its resend. Only ending the connection prevents that; by a
            # reset, so that calls still in the system's send buffer do not arrive late either.
            text = "it took no more bytes"
            self.read_arrived()  # replies to others
            self.owner.on_event("blocked connection", self.node, text)
            self.end_all(
                transport_outcome(CallEnd.LOST_UNSENT, text),
                transport_outcome(CallEnd.CLOSED_AFTER_PARTIAL_WRITE, text),
                reset=True,
            )
            return True
        for frame in self.queue:
            if attempt in frame.attempts:
                frame.attempts.remove(attempt)
                if not frame.attempts:
                    self.queue.remove(frame)
                break
        return True

    def _on_data(self, data: bytes) -> None:
        self._on_received(*self.state.receive(self.owner.loop.now, data))

    def _on_confirm_time(self) -> None:
        self._on_received(*self.state.confirm(self.owner.loop.now))

    def _on_received(self, matched: Matched, frame_error: FrameError | None) -> None:
        self._set_confirm_timer()
        self._on_matched(matched)
        if frame_error is not None:
            self.on_frame_error(frame_error)

    def _on_matched(self, matched: Matched) -> None:
        for key, reply in matched:
            if isinstance(key, OutgoingAttempt):
                self.owner.on_reply(key, reply)
            else:
                self.owner.on_late_reply(cast(Key, key), reply)

    def _report_late_doubt(self, ids: Collection[bytes]) -> None:
        """Attempts that have timed out may have been answered after all."""
        for part in ids:
            late_key = self.state.timed_out.get(part)
            if late_key is not None:
                self.owner.on_late_reply(cast(Key, late_key), None)

    def _set_confirm_timer(self) -> None:
        """Deliver a reply that is held back when its time is over."""
        if self._confirm_timer is not None:
            self._confirm_timer.cancel()
            self._confirm_timer = None
        if self.state.confirm_at is not None:
            self.owner.counts["held_back"] += 1
            held = self.state.in_flight.get(self.state.held_id)
            if isinstance(held, OutgoingAttempt):
                self.owner.on_reply_held(held)
            self._report_late_doubt([self.state.held_id])
            self._confirm_timer = self.owner.loop.call_at(self.state.confirm_at, self._on_confirm_time)

    def on_frame_error(self, frame_error: FrameError) -> None:
        """The bytes received are invalid: their attempt failed, the others end with the connection."""
        self.owner.counts["spoilt"] += 1
        doubtful_ids = self._recover(frame_error)
        concerned = self._concerned(frame_error, doubtful_ids)
        if concerned is not None:
            self.state.cancel(self.owner.loop.now, concerned.id)
            outcome = transport_outcome(CallEnd.PROTOCOL, frame_error.text)
            self.owner.end_attempt(concerned, outcome, doubtful=concerned.id in doubtful_ids)
        self.owner.on_event("spoilt connection", self.node, frame_error.text)
        unsent = transport_outcome(CallEnd.LOST_UNSENT, frame_error.text)
        sent = transport_outcome(CallEnd.CLOSED_AFTER_BAD_ANSWER, frame_error.text)
        self.end_all(unsent, sent, doubtful_ids=doubtful_ids)

    def _recover(self, frame_error: FrameError) -> set[bytes]:
        """Deliver valid replies behind invalid bytes; returns the ids of parts whose reply is doubtful."""
        unread = b"" if self.stream is None else self.stream.take_unread(RECOVERY_BYTES)
        matched, doubtful_ids = self.state.recover(self.owner.loop.now, unread, frame_error)
        self.owner.counts["recovered"] += len(matched)
        self._on_matched(matched)
        return doubtful_ids

    def _concerned(self, frame_error: FrameError, doubtful_ids: set[bytes]) -> OutgoingAttempt | None:
        """The attempt that invalid bytes were for; if unreadable, the longest waiting one is assumed."""
        named = self.state.in_flight.get(frame_error.part)
        if isinstance(named, OutgoingAttempt):
            return named
        for attempt in self.state.in_flight.values():
            if isinstance(attempt, OutgoingAttempt) and attempt.sent and attempt.id not in doubtful_ids:
                return attempt
        return None

    def _on_lost(self, text: str) -> None:
        if text == CLEAN_END:
            self._on_matched(self.state.end(self.owner.loop.now))
        self.end_all(transport_outcome(CallEnd.LOST_UNSENT, text), transport_outcome(CallEnd.LOST, text))

    def end_all(
        self,
        unsent: CallOutcome,
        sent: CallOutcome,
        reset: bool = False,
        doubtful_ids: Collection[bytes] = (),
    ) -> None:
        """Close the connection; each attempt on it ends according to whether its frame was sent.

        ``doubtful_ids``: of parts that may have been answered, besides that of a reply that is held back.
        """
        attempts = [a for a in self.state.in_flight.values() if isinstance(a, OutgoingAttempt)]
        doubtful_ids = {*doubtful_ids, self.state.held_id}
        self._report_late_doubt(doubtful_ids)
        self.close(reset)
        for attempt in attempts:
            self.owner.end_attempt(
                attempt, sent if attempt.sent else unsent, doubtful=attempt.id in doubtful_ids
            )

    def read_arrived(self) -> None:
        """Read replies that have arrived, ahead of the loop's next turn."""
        if self.stream is not None and not self.closed:
            self.stream.read_pending(1)

    def holds_reply(self, attempt: OutgoingAttempt) -> bool:
        """Whether a whole reply to it has arrived and is being checked."""
        return not self.closed and self.state.held_id == attempt.id

    def finish(self) -> None:
        """Close with no attempt in flight, once what was just written has reached the node.

        Closing over an unread reply sends a reset, which would discard cancel frames still in transit.
        """
        if self.closed or self.stream is None or self.stream.closed or self.state.in_flight:
            self.close()
            return
        self._detach()
        timer = self.owner.loop.call_in(self.owner.timeouts.dial, self.close)

        def done() -> None:
            timer.cancel()
            self.close()

        self.stream.finish(MAX_FRAME_BYTES, done)

    def close(self, reset: bool = False) -> None:
        """Close at once, in any state; attempts in flight are not reported."""
        self._detach()
        if self.dial is not None:
            self.dial.close()
        if self.stream is not None:
            self.stream.close(reset)
        self.owner.on_closed(self)

    def _detach(self) -> None:
        if not self.closed:
            self.closed = True
            if self._confirm_timer is not None:
                self._confirm_timer.cancel()
            self.state.in_flight.clear()
            self.queue.clear()
            self.owner.detach(self)
