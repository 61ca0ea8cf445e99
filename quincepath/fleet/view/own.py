"""What a member says of itself: its incarnation, when it refutes, and what it does about a second process
of its name."""

from collections import Counter, deque
from enum import Enum

from quincepath.fleet.messages import About
from quincepath.fleet.view.facts import SECOND, Belief, Phase, ViewSettings

REFUTES_MOST = 6  # raises within REFUTES_WINDOW: one that is doubted for ever makes bounded noise
REFUTES_WINDOW = 10 * SECOND
NEWS_LIVES = 5 * SECOND  # what was said of an earlier process has come round or died down in this time
OVER_MOST = 4  # times that one process goes above another of its name, however soon after each other


class Answer(Enum):
    """What was done about a word on this member."""

    NONE = "nothing to say"
    REFUTED = "refuted"
    TOOK_OVER = "went above an earlier process of this name"
    CLONE = "another process of this name is running"
    YIELDED = "another process of this name goes on, this one keeps silent"
    HELD = "has refuted too often of late"


class Own:
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
        self._raised: deque[int] = deque(maxlen=REFUTES_MOST)

    def belief(self, now: int) -> Belief:
        """As it stands in the table."""
        settings = self.settings
        return Belief(
            settings.name, self.boot, self.incarnation, self.phase, self.since, settings.name, now, [],
            self.draining, settings.zone, settings.version, settings.config,
        )  # fmt: skip

    def enter(self, now: int) -> None:
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

    def hear(self, about: About, now: int) -> Answer:
        """What others believe of this member."""
        if about.boot != self.boot:
            return self._other_process(about, now)
        if about.incarnation < self.incarnation or self.phase is Phase.LEFT:
            return Answer.NONE
        if about.incarnation == self.incarnation and about.phase <= self.phase:
            return Answer.NONE
        return self._raise(about.incarnation, now, Answer.REFUTED)

    def _other_process(self, about: About, now: int) -> Answer:
        if self.phase is Phase.LEFT:
            return Answer.NONE
        if self.yielded:
            if about.phase in (Phase.DEAD, Phase.LEFT) and about.incarnation >= self.incarnation:
                self.yielded, self.clone = False, 0  # the other has gone
                return self._raise(about.incarnation, now, Answer.TOOK_OVER)
            return Answer.NONE
        if about.incarnation < self.incarnation:
            return Answer.NONE
        if about.phase in (Phase.DEAD, Phase.LEFT):
            return self._raise(about.incarnation, now, Answer.TOOK_OVER)
        times, boot = self._over[about.boot], about.boot
        lasting = now > self._over_at.get(boot, self.since) + NEWS_LIVES
        if times >= OVER_MOST or times > 1 and lasting and boot in self._second:
            self.yielded, self.clone = True, boot
            return Answer.YIELDED
        answer = Answer.TOOK_OVER
        if self.phase is Phase.JOINING:
            self._second.add(boot)
        elif lasting:
            self.clone, answer = boot, Answer.CLONE
        done = self._raise(about.incarnation, now, answer)
        if done is answer:
            self._over[boot] += 1
            self._over_at[boot] = now
        return done

    def _raise(self, above: int, now: int, answer: Answer) -> Answer:
        while self._raised and self._raised[0] <= now - REFUTES_WINDOW:
            self._raised.popleft()
        if len(self._raised) >= REFUTES_MOST:
            return Answer.HELD
        self._raised.append(now)
        self.incarnation = above + 1
        return answer
