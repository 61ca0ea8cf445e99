"""The attempts in flight on one connection to a node, sans I/O: matches each reply to its attempt. Pure.

All attempts of a part have the same id on the wire. So that a late reply is never matched to a newer attempt,
a connection carries each id only once: the id of a cancelled attempt is not sent there again. Cancelled ids
are remembered for the life of the connection; their number is bounded by retiring the connection, which then
accepts no new attempts. Only an id whose attempt the node rejected as overloaded may be sent again, shortly
after the reply: the node holds nothing of it any more, and a new connection for each retry would add load to
a node that is already overloaded.

A reply whose declared length is wrong looks whole: its value lacks bytes, or ends with bytes of the next
frame. Only the bytes behind it show that, because no frame begins there. So a reply with bytes behind it is
matched once those begin a frame. If they do not, it is whole if its value has the usual length, or if nothing
else waits on the connection, where a node may send noise behind a valid reply, and the noise could not be the
end of the value, which is printable text. Else it is in doubt: its attempt ends as an error, but its part may
have been answered (``DoubtfulReplyError``). A reply that nothing follows yet is held back for a moment where
earlier replies give a reason (``ReplyEvidence``). Each of these is decided within some tens of milliseconds.
"""

from collections.abc import Hashable
from dataclasses import dataclass

from quincepath.platform.frames import DoubtfulReplyError, FrameError, FrameHeaderError, FrameReader, Reply
from quincepath.platform.reply_evidence import ReplyEvidence

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


Matched = list[tuple[Hashable, Reply]]  # the caller's names of attempts, and their replies


class ConnectionState:
    """One connection to ``node``. Keys are the caller's own names of attempts.

    ``confirm_at`` is set while a whole reply is held back: ``confirm`` is to be called at that time.
    """

    def __init__(
        self,
        capacity: int,
        timeouts: ConnectionTimeouts,
        now: int,
        node: Hashable = b"",
        evidence: ReplyEvidence | None = None,
    ) -> None:
        self.capacity, self.timeouts, self.node = max(capacity, 1), timeouts, node
        self.evidence = evidence or ReplyEvidence()
        self.confirm_at: int | None = None
        self.reader = FrameReader()
        self.in_flight: dict[bytes, Hashable] = {}
        self._kinds: dict[bytes, int] = {}  # classes of the parts in flight
        self.cancelled: set[bytes] = set()
        self.timed_out: dict[bytes, Hashable] = {}  # those of them whose reply still counts
        self.answered: dict[bytes, int] = {}  # answered ids, and from when on they may be sent again
        self.retired = False
        self._unconfirmed: Reply | None = None  # whole, but not known to be valid yet
        self._last_cancelled_at: int | None = None
        self.used_at = now  # when bytes were last sent or received
        self.received_at = now  # when bytes were last received
        self.reply_since = now  # when the reply being received, if any, began to arrive
        self.waiting_since = now  # since when attempts are in flight with nothing received

    def opened(self, now: int) -> None:
        """The connection is established; queued attempts may be sent."""
        self.used_at = self.received_at = self.waiting_since = now

    def has_capacity(self, now: int, parts: int = 1) -> bool:
        """Whether so many parts may be sent: not full, not retired, not suspect, not near its idle limit.

        Bytes behind the last reply, when none is on its way, would precede the next one.
        """
        if self.retired or len(self.in_flight) + len(self.cancelled) + parts > self.capacity:
            return False
        if self.reader.mid_header and not self._others_wait(now, b""):
            return False
        return not self.suspect(now) and now < self.used_at + int(USABLE_IDLE_SHARE * self.timeouts.idle)

    def suspect(self, now: int) -> bool:
        """Attempts wait and nothing arrives: the machine may be gone, which this connection would not show.

        A new connection shows it: it is established if the machine is there; if not, nothing has run.
        """
        waits = bool(self.in_flight or self.cancelled)
        return waits and now > self.waiting_since + SUSPECT_DIAL_TIMEOUTS * self.timeouts.dial

    def awaits_replies(self, now: int) -> bool:
        """Whether a reply may arrive that counts: to an attempt in flight, or to one that has timed out."""
        return bool(self.in_flight) or bool(self.timed_out) and not self.suspect(now)

    def may_carry(self, now: int, part: bytes) -> bool:
        """Whether a reply to this id could only belong to the attempt that is about to be sent."""
        return (
            part not in self.in_flight and part not in self.cancelled and now >= self.answered.get(part, now)
        )

    def add(self, now: int, part: bytes, key: Hashable, kind: int = 0) -> None:
        """Register an attempt whose frame is queued on this connection; ``kind`` is the class of its part."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight[part] = key
        self._kinds[part] = kind
        self.answered.pop(part, None)
        self.used_at = now

    def cancel(self, now: int, part: bytes, late_key: Hashable | None = None) -> None:
        """Nobody waits for a part any more; its reply may still arrive.

        With ``late_key`` a good reply still counts, and is matched to that name.
        """
        if self.in_flight.pop(part, None) is not None:
            self.cancelled.add(part)
            if late_key is not None:
                self.timed_out[part] = late_key
            else:
                self._kinds.pop(part, None)
            self._last_cancelled_at = now
            self.retired |= len(self.cancelled) >= MAX_CANCELLED_SHARE * self.capacity

    def remove(self, part: bytes) -> None:
        """Remove an attempt whose frame was never sent: no reply can arrive."""
        self._kinds.pop(part, None)
        self.in_flight.pop(part, None)

    def stalled(self, now: int) -> bool:
        """Whether a partial reply stopped arriving or does not end: guards against a wrong frame length.

        Only received bytes count: neither what is sent here nor a trickle shows that the reply will be whole.
        """
        if not self.reader.mid_frame:
            return False
        silent = now > self.received_at + int(STALLED_REPLY_DIAL_TIMEOUTS * self.timeouts.dial)
        return silent or now > self.reply_since + WHOLE_REPLY_DIAL_TIMEOUTS * self.timeouts.dial

    @property
    def held_id(self) -> bytes:
        """The id of the part whose whole good reply is held back; empty if there is none."""
        held = self._unconfirmed
        return held.id if held is not None and held.status == b"good" else b""

    def receive(self, now: int, data: bytes) -> tuple[Matched, FrameError | None]:
        """Replies by attempt, and the error in the bytes after them, if there is one."""
        replies, frame_error = self._read(now, data)
        matched: Matched = []
        for position, reply in enumerate(replies, 1):
            if position == len(replies):
                if isinstance(frame_error, FrameHeaderError) and self._may_be_cut_off(now, reply):
                    return matched, self._doubt(reply, frame_error.text)
                if frame_error is None and self._held_back(now, reply):
                    break
            if not self._match(now, reply, matched):
                return matched, frame_error or FrameError("a reply to a part that was never sent here")
        return matched, frame_error

    def confirm(self, now: int) -> tuple[Matched, FrameError | None]:
        """The reply held back, if its time is over; the error, if a header behind it does not go on."""
        if self.confirm_at is None or self._unconfirmed is None or now < self.confirm_at:
            return [], None
        if self.reader.mid_header:
            self.confirm_at = None
            return [], self._doubt(self._unconfirmed, "the bytes behind it do not go on")
        return self._release(now), None

    def end(self, now: int) -> Matched:
        """The node has ended the connection in order: nothing can follow a whole reply that was held back."""
        return [] if self.confirm_at is None or self.reader.mid_header else self._release(now)

    def recover(self, now: int, unread: bytes, frame_error: FrameError) -> tuple[Matched, set[bytes]]:
        """Look for replies behind invalid bytes: those that are whole, and the ids of parts in doubt.

        Only the usual length of a value shows that such a reply is whole.
        """
        self.reader.append(unread)
        matched: Matched = []
        doubtful: set[bytes] = set()
        if isinstance(frame_error, DoubtfulReplyError) and frame_error.good:
            doubtful.add(frame_error.part)
        for part in [part for part in (*self.in_flight, *self.timed_out) if part != frame_error.part]:
            reply = self.reader.find_good(part)
            if reply is None:
                continue
            if self.evidence.is_usual(len(reply.value), self._kinds.get(part, 0)):
                self._match(now, reply, matched)
            else:
                doubtful.add(part)
        return matched, doubtful

    @staticmethod
    def _doubt(reply: Reply, text: str) -> DoubtfulReplyError:
        return DoubtfulReplyError(f"a reply's length is wrong: {text}", reply.id, reply.status == b"good")

    def _release(self, now: int) -> Matched:
        reply, self._unconfirmed, self.confirm_at = self._unconfirmed, None, None
        matched: Matched = []
        if reply is not None:
            self._match(now, reply, matched)
        return matched

    def _match(self, now: int, reply: Reply, matched: Matched) -> bool:
        """Match one reply to its attempt, if it still counts; returns whether its part was sent here."""
        good = reply.status == b"good"
        if reply.id in self.in_flight:
            matched.append((self.in_flight.pop(reply.id), reply))
            self._remember_answered(now, reply)
        elif reply.id in self.cancelled:
            self.cancelled.discard(reply.id)
            self.answered[reply.id] = NEVER_NS
            late_key = self.timed_out.pop(reply.id, None)
            if late_key is None:
                return True
            if good:
                matched.append((late_key, reply))
        else:
            return reply.id in self.answered  # a duplicate reply is harmless
        kind = self._kinds.pop(reply.id, 0)
        if good:
            self.evidence.observe_value(len(reply.value), kind)
        return True

    def _held_back(self, now: int, reply: Reply) -> bool:
        """Keep a reply whose length may be wrong until the bytes behind it, or their absence, show that."""
        hold = 0
        if self.reader.mid_header:
            if self._may_be_cut_off(now, reply):
                hold = self.evidence.header_hold_time(now, self.node, self._longest_hold)
        elif not self.reader.mid_frame and (reply.id in self.in_flight or reply.id in self.timed_out):
            hold = self._hold_time(now, reply)
        if hold:
            self._unconfirmed, self.confirm_at = reply, now + hold
        return hold > 0

    @property
    def _longest_hold(self) -> int:
        return int(STALLED_REPLY_DIAL_TIMEOUTS * self.timeouts.dial)

    def _hold_time(self, now: int, reply: Reply) -> int:
        if reply.status != b"good":
            return self._longest_hold if reply.value else 0
        kind = self._kinds.get(reply.id, 0)
        return self.evidence.hold_time(now, self.node, len(reply.value), self._longest_hold, kind)

    def _read(self, now: int, data: bytes) -> tuple[list[Reply], FrameError | None]:
        """The replies that are whole, a formerly unconfirmed one first, and the error after them, if any."""
        gap = now - self.received_at
        self.used_at = self.received_at = self.waiting_since = now
        was_mid_frame = self.reader.mid_frame
        frame_error: FrameError | None = None
        try:
            self.reader.feed(data)
        except FrameError as error:
            frame_error = error
        replies, self.reader.replies = self.reader.replies, []
        if replies and was_mid_frame:
            self.evidence.observe_gap(now, self.node, gap)
        if replies or not was_mid_frame:
            self.reply_since = now  # of the partial reply, if any, at the end of these bytes
        if self._unconfirmed is not None:
            replies.insert(0, self._unconfirmed)
            self._unconfirmed = self.confirm_at = None
        return replies, frame_error

    def _may_be_cut_off(self, now: int, reply: Reply) -> bool:
        """Whether bytes that are no frame, behind this reply, could belong to it or to the next one."""
        kind = self._kinds.get(reply.id, 0)
        if reply.status == b"good" and self.evidence.is_usual(len(reply.value), kind):
            return False
        return (
            self.reader.rest_could_continue_value
            or self._others_wait(now, reply.id)
            or self._hold_time(now, reply) > 0
        )

    def _others_wait(self, now: int, part: bytes) -> bool:
        """Whether the node may have had other parts of this connection to answer when it answered ``part``.

        A part that was just cancelled counts: the node may have replied before it read the cancel frame.
        """
        if len(self.in_flight) > (part in self.in_flight):
            return True
        cancelled_at = self._last_cancelled_at
        return cancelled_at is not None and now <= cancelled_at + self.timeouts.dial

    def _remember_answered(self, now: int, reply: Reply) -> None:
        duplicate_window = int(DUPLICATE_REPLY_DIAL_TIMEOUTS * self.timeouts.dial)
        self.answered[reply.id] = now + duplicate_window if reply.status == b"later" else NEVER_NS
        if len(self.answered) > MAX_ANSWERED_IDS:
            del self.answered[next(iter(self.answered))]
