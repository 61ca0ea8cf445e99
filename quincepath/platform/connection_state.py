"""What is out on one connection to a node, sans I/O: which reply belongs to which attempt. Pure.

All attempts of a part have the same id on the wire. So that a late reply is never booked to a newer attempt,
a connection carries an id once: after an attempt was given up its id does not go there again. Ids given
up are remembered for as long as the connection lives; their number is bounded by retiring the connection,
which then takes nothing new. Only an id that was turned away may travel again, a while after its reply:
nothing of it is at the node any more, and a connection for each try would cost the node what it lacks.
"""

from collections.abc import Hashable
from dataclasses import dataclass

from quincepath.platform.frames import FrameError, FrameReader, Reply

NEVER_NS = 1 << 62  # a time, in ns, that does not come
MAX_CANCELLED_SHARE = (
    0.5  # of the places on a connection that parts given up may still hold until it is retired
)
MAX_ANSWERED_IDS = 512  # ids answered, remembered: a second copy follows its first at once
SUSPECT_DIAL_TIMEOUTS = (
    2  # a connection on which parts wait and nothing came for so many dial time-outs is doubted
)
USABLE_IDLE_SHARE = 0.7  # of the idle time: an older connection may be closed at the other end by now
DUPLICATE_REPLY_DIAL_TIMEOUTS = (
    0.1  # a second copy of an answer comes within so many dial time-outs after it, if one comes
)
STALLED_REPLY_DIAL_TIMEOUTS = (
    0.5  # a reply that began and does not go on for so many dial time-outs is spoilt,
)
WHOLE_REPLY_DIAL_TIMEOUTS = (
    2  # and so is one that is not whole in so many: drips keep the replies behind it back for ever
)


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """Nanoseconds, from the settings."""

    dial: int
    idle: int


class ConnectionState:
    """One connection. Keys are the caller's own names of attempts."""

    def __init__(self, places: int, times: ConnectionTimeouts, now: int) -> None:
        self.places, self.times = max(places, 1), times
        self.reader = FrameReader()
        self.live: dict[bytes, Hashable] = {}
        self.given_up: set[bytes] = set()
        self.answered: dict[bytes, int] = {}  # and from when on they may travel again
        self.retired = False
        self.used_at = now  # when bytes last went either way
        self.heard_at = now  # when bytes last came
        self.reply_since = now  # since when the reply that has begun, if any, has been arriving
        self.waiting_since = now  # since when something is out with nothing heard

    def opened(self, now: int) -> None:
        """The connection has come up; whatever waited for it may go out."""
        self.used_at = self.heard_at = self.waiting_since = now

    def room(self, now: int, parts: int = 1) -> bool:
        """Whether so many may go out: not full, not retired, not doubted, not near its idle end."""
        if self.retired or len(self.live) + len(self.given_up) + parts > self.places:
            return False
        return not self.doubted(now) and now < self.used_at + int(USABLE_IDLE_SHARE * self.times.idle)

    def doubted(self, now: int) -> bool:
        """Parts wait and nothing comes: the machine may have vanished, and this connection would not tell.

        A new connection tells: it comes up where the machine is there, and proves otherwise that nothing ran.
        """
        waits = bool(self.live or self.given_up)
        return waits and now > self.waiting_since + SUSPECT_DIAL_TIMEOUTS * self.times.dial

    def may_carry(self, now: int, part: bytes) -> bool:
        """Whether a reply to this id could only belong to the attempt that is about to go out."""
        return part not in self.live and part not in self.given_up and now >= self.answered.get(part, now)

    def put(self, now: int, part: bytes, key: Hashable) -> None:
        """A part's frame was handed to this connection."""
        if not self.live:
            self.waiting_since = now
        self.live[part] = key
        self.answered.pop(part, None)
        self.used_at = now

    def give_up(self, part: bytes) -> None:
        """Nobody waits for a part any more; its reply may still come."""
        if self.live.pop(part, None) is not None:
            self.given_up.add(part)
            self.retired |= len(self.given_up) >= MAX_CANCELLED_SHARE * self.places

    def take_back(self, part: bytes) -> None:
        """A part's frame never left: no reply can come."""
        self.live.pop(part, None)

    def stalled(self, now: int) -> bool:
        """A reply has begun and does not go on, or not to its end: guards against a length that does not fit.

        Counted from what came alone: what is sent here, or comes in drips, is no sign that it will be whole.
        """
        if not self.reader.mid_frame:
            return False
        still = now > self.heard_at + int(STALLED_REPLY_DIAL_TIMEOUTS * self.times.dial)
        return still or now > self.reply_since + WHOLE_REPLY_DIAL_TIMEOUTS * self.times.dial

    def receive(self, now: int, data: bytes) -> tuple[list[tuple[Hashable, Reply]], FrameError | None]:
        """Replies by attempt, and what is wrong with the bytes after them, if anything is."""
        self.used_at = self.heard_at = self.waiting_since = now
        began = self.reader.mid_frame
        spoilt: FrameError | None = None
        try:
            self.reader.feed(data)
        except FrameError as error:
            spoilt = error
        found: list[tuple[Hashable, Reply]] = []
        replies, self.reader.replies = self.reader.replies, []
        if replies or not began:
            self.reply_since = now  # of the one that these bytes end with
        for reply in replies:
            key = self.live.pop(reply.id, None)
            if key is not None:
                found.append((key, reply))
                turned_away = reply.status == b"later"
                echo = int(DUPLICATE_REPLY_DIAL_TIMEOUTS * self.times.dial)
                self.answered[reply.id] = now + echo if turned_away else NEVER_NS
                if len(self.answered) > MAX_ANSWERED_IDS:
                    del self.answered[next(iter(self.answered))]
            elif reply.id in self.given_up:
                self.given_up.discard(reply.id)
                self.answered[reply.id] = NEVER_NS
            elif reply.id not in self.answered:  # a second copy of an answer is no harm
                return found, spoilt or FrameError("a reply to a part that was never sent here")
        return found, spoilt
