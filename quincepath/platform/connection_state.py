"""The attempts in flight on one connection to a node, sans I/O: matches each reply to its attempt. Pure.

All attempts of a part have the same id on the wire. So that a late reply is never matched to a newer attempt,
a connection carries each id only once: the id of a cancelled attempt is not sent there again. Cancelled ids
are remembered for the life of the connection; their number is bounded by retiring the connection, which then
accepts no new attempts. Only an id whose attempt the node rejected as overloaded may be sent again, shortly
after the reply: the node holds nothing of it any more, and a new connection for each retry would add load to
a node that is already overloaded.
"""

from collections.abc import Hashable
from dataclasses import dataclass

from quincepath.platform.frames import FrameError, FrameReader, Reply

NEVER_NS = 1 << 62  # a time that is never reached
MAX_CANCELLED_SHARE = 0.5  # of the capacity; with more unanswered cancelled ids the connection is retired
MAX_ANSWERED_IDS = 512  # answered ids remembered: a duplicate reply follows the first at once
SUSPECT_DIAL_TIMEOUTS = 2  # silence, in dial timeouts, after which a connection with attempts is suspect
USABLE_IDLE_SHARE = 0.7  # of the idle time: after that the node may already have closed the connection
DUPLICATE_REPLY_DIAL_TIMEOUTS = 0.1  # a duplicate reply, if any, follows within so many dial timeouts
# A partial reply is invalid if no byte of it arrives for STALLED_REPLY_DIAL_TIMEOUTS, or if it is not whole
# after WHOLE_REPLY_DIAL_TIMEOUTS: one that trickles would hold back the replies behind it for ever.
STALLED_REPLY_DIAL_TIMEOUTS = 0.5
WHOLE_REPLY_DIAL_TIMEOUTS = 2


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """Timeouts from the settings, in ns."""

    dial: int
    idle: int


class ConnectionState:
    """One connection. Keys are the caller's own names of attempts."""

    def __init__(self, capacity: int, timeouts: ConnectionTimeouts, now: int) -> None:
        self.capacity, self.timeouts = max(capacity, 1), timeouts
        self.reader = FrameReader()
        self.in_flight: dict[bytes, Hashable] = {}
        self.cancelled: set[bytes] = set()
        self.answered: dict[bytes, int] = {}  # answered ids, and from when on they may be sent again
        self.retired = False
        self.used_at = now  # when bytes were last sent or received
        self.received_at = now  # when bytes were last received
        self.reply_since = now  # when the reply being received, if any, began to arrive
        self.waiting_since = now  # since when attempts are in flight with nothing received

    def opened(self, now: int) -> None:
        """The connection is established; queued attempts may be sent."""
        self.used_at = self.received_at = self.waiting_since = now

    def has_capacity(self, now: int, parts: int = 1) -> bool:
        """Whether so many parts may be sent: not full, not retired, not suspect, not near its idle limit."""
        if self.retired or len(self.in_flight) + len(self.cancelled) + parts > self.capacity:
            return False
        return not self.suspect(now) and now < self.used_at + int(USABLE_IDLE_SHARE * self.timeouts.idle)

    def suspect(self, now: int) -> bool:
        """Attempts wait and nothing arrives: the machine may be gone, which this connection would not show.

        A new connection shows it: it is established if the machine is there; if not, nothing has run.
        """
        waits = bool(self.in_flight or self.cancelled)
        return waits and now > self.waiting_since + SUSPECT_DIAL_TIMEOUTS * self.timeouts.dial

    def may_carry(self, now: int, part: bytes) -> bool:
        """Whether a reply to this id could only belong to the attempt that is about to be sent."""
        return (
            part not in self.in_flight and part not in self.cancelled and now >= self.answered.get(part, now)
        )

    def add(self, now: int, part: bytes, key: Hashable) -> None:
        """Register an attempt whose frame is queued on this connection."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight[part] = key
        self.answered.pop(part, None)
        self.used_at = now

    def cancel(self, part: bytes) -> None:
        """Nobody waits for a part any more; its reply may still arrive."""
        if self.in_flight.pop(part, None) is not None:
            self.cancelled.add(part)
            self.retired |= len(self.cancelled) >= MAX_CANCELLED_SHARE * self.capacity

    def remove(self, part: bytes) -> None:
        """Remove an attempt whose frame was never sent: no reply can arrive."""
        self.in_flight.pop(part, None)

    def stalled(self, now: int) -> bool:
        """Whether a partial reply stopped arriving or does not end: guards against a wrong frame length.

        Only received bytes count: neither what is sent here nor a trickle shows that the reply will be whole.
        """
        if not self.reader.mid_frame:
            return False
        silent = now > self.received_at + int(STALLED_REPLY_DIAL_TIMEOUTS * self.timeouts.dial)
        return silent or now > self.reply_since + WHOLE_REPLY_DIAL_TIMEOUTS * self.timeouts.dial

    def receive(self, now: int, data: bytes) -> tuple[list[tuple[Hashable, Reply]], FrameError | None]:
        """Replies by attempt, and the error in the bytes after them, if there is one."""
        self.used_at = self.received_at = self.waiting_since = now
        was_mid_frame = self.reader.mid_frame
        frame_error: FrameError | None = None
        try:
            self.reader.feed(data)
        except FrameError as error:
            frame_error = error
        matched: list[tuple[Hashable, Reply]] = []
        replies, self.reader.replies = self.reader.replies, []
        if replies or not was_mid_frame:
            self.reply_since = now  # of the partial reply, if any, at the end of these bytes
        for reply in replies:
            key = self.in_flight.pop(reply.id, None)
            if key is not None:
                matched.append((key, reply))
                rejected = reply.status == b"later"
                duplicate_window = int(DUPLICATE_REPLY_DIAL_TIMEOUTS * self.timeouts.dial)
                self.answered[reply.id] = now + duplicate_window if rejected else NEVER_NS
                if len(self.answered) > MAX_ANSWERED_IDS:
                    del self.answered[next(iter(self.answered))]
            elif reply.id in self.cancelled:
                self.cancelled.discard(reply.id)
                self.answered[reply.id] = NEVER_NS
            elif reply.id not in self.answered:  # a duplicate reply is harmless
                return matched, frame_error or FrameError("a reply to a part that was never sent here")
        return matched, frame_error
