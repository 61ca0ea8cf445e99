"""What a member says of itself: its incarnation, when it refutes, and what it does about a second process
of its name."""

from collections import Counter, deque
from enum import Enum

from quincepath.fleet.messages import MemberState
from quincepath.fleet.view.facts import SECOND, Belief, Phase, ViewSettings

MAX_REFUTES = 6  # raises within REFUTES_WINDOW: one that is doubted for ever makes bounded noise
REFUTE_WINDOW_NS = 10 * SECOND
STALE_GOSSIP_NS = 5 * SECOND  # what was said of an earlier process has come round or died down in this time
MAX_TAKEOVERS = 4  # times that one process goes above another of its name, however soon after each other


class RefuteResult(Enum):
    """What was done about a word on this member."""

    NONE = "nothing to say"
    REFUTED = "refuted"
    TOOK_OVER = "went above an earlier process of this name"
    CLONE = "another process of this name is running"
    YIELDED = "another process of this name goes on, this one keeps silent"
    RATE_LIMITED = "has refuted too often of late"


class OwnState:
    """This member's own belief about itself; nobody else raises its incarnation.

    A process that starts under a name that was used before goes above what is believed of the earlier one.
    News of that may come in pieces, each with a higher count, and says nothing of one that runs now. But
    where the other goes above in turn, long after all was known, it lives. Both say so; who came second goes
    above once more, as a healed partition may have brought old news, and then yields: it keeps silent in the
    view until the other is believed dead. Queries are served all the same. One that yielded wrongly is
    answered for by nobody, believed dead soon, and back by that.
    """

    def __init__(self, settings: ViewSettings, boot: int, now: int) -> None:
        self.settings, self.boot = settings, boot
        self.incarnation = 1
        self.phase = Phase.JOINING
        self.draining = False
        self.since = now
        self.yielded = False
        self.clone = 0  # boot of another process of this name, once known to run
        self._over: Counter[int] = Counter()  # by boot, how often this one went above it
        self._over_at: dict[int, int] = {}  # and when it last did
        self._second: set[int] = set()  # boots that were there when this one joined
        self._raised: deque[int] = deque(maxlen=MAX_REFUTES)

    def belief(self, now: int) -> Belief:
        """As it stands in the table."""
        settings = self.settings
        return Belief(
            settings.name, self.boot, self.incarnation, self.phase, self.since, settings.name, now, [],
            self.draining, settings.zone, settings.version, settings.config,
        )  # fmt: skip

    def finish_joining(self, now: int) -> None:
        """Joining is over."""
        self.phase, self.since = Phase.ALIVE, now

    def drain(self, draining: bool) -> bool:
        """Whether this says anything new."""
        if self.draining is draining:
            return False
        self.draining = draining
        self.incarnation += 1
        return True

    def leave(self, now: int) -> None:
        """For good, as far as this process goes."""
        self.phase, self.since = Phase.LEFT, now
        self.incarnation += 1

    def apply_state(self, about: MemberState, now: int) -> RefuteResult:
        """What others believe of this member."""
        if about.boot != self.boot:
            return self._other_process(about, now)
        if about.incarnation < self.incarnation or self.phase is Phase.LEFT:
            return RefuteResult.NONE
        if about.incarnation == self.incarnation and about.phase <= self.phase:
            return RefuteResult.NONE
        return self._raise(about.incarnation, now, RefuteResult.REFUTED)

    def _other_process(self, about: MemberState, now: int) -> RefuteResult:
        if self.phase is Phase.LEFT:
            return RefuteResult.NONE
        if self.yielded:
            if about.phase in (Phase.DEAD, Phase.LEFT) and about.incarnation >= self.incarnation:
                self.yielded, self.clone = False, 0  # the other has gone
                return self._raise(about.incarnation, now, RefuteResult.TOOK_OVER)
            return RefuteResult.NONE
        if about.incarnation < self.incarnation:
            return RefuteResult.NONE
        if about.phase in (Phase.DEAD, Phase.LEFT):
            return self._raise(about.incarnation, now, RefuteResult.TOOK_OVER)
        times, boot = self._over[about.boot], about.boot
        lasting = now > self._over_at.get(boot, self.since) + STALE_GOSSIP_NS
        if times >= MAX_TAKEOVERS or times > 1 and lasting and boot in self._second:
            self.yielded, self.clone = True, boot
            return RefuteResult.YIELDED
        answer = RefuteResult.TOOK_OVER
        if self.phase is Phase.JOINING:
            self._second.add(boot)
        elif lasting:
            self.clone, answer = boot, RefuteResult.CLONE
        done = self._raise(about.incarnation, now, answer)
        if done is answer:
            self._over[boot] += 1
            self._over_at[boot] = now
        return done

    def _raise(self, above: int, now: int, answer: RefuteResult) -> RefuteResult:
        while self._raised and self._raised[0] <= now - REFUTE_WINDOW_NS:
            self._raised.popleft()
        if len(self._raised) >= MAX_REFUTES:
            return RefuteResult.RATE_LIMITED
        self._raised.append(now)
        self.incarnation = above + 1
        return answer
