"""A member's belief about itself: incarnation, refutations, and what it does about a second process."""

from collections import Counter, deque
from enum import Enum

from quincepath.fleet.messages import MemberState
from quincepath.fleet.view.facts import SECOND, Belief, Phase, ViewSettings

MAX_REFUTES = 6  # raises within REFUTE_WINDOW_NS: bounds the traffic of a member that is suspected forever
REFUTE_WINDOW_NS = 10 * SECOND
STALE_GOSSIP_NS = 5 * SECOND  # gossip about an earlier process has arrived or died out after this time
MAX_TAKEOVERS = 4  # times that a process raises its incarnation above one other process, however quickly


class RefuteResult(Enum):
    """How a member reacted to a received state of itself."""

    NONE = "nothing to say"
    REFUTED = "refuted"
    TOOK_OVER = "went above an earlier process of this name"
    CLONE = "another process of this name is running"
    YIELDED = "another process of this name goes on, this one keeps silent"
    RATE_LIMITED = "has refuted too often of late"


class OwnState:
    """This member's belief about itself; no other member raises its incarnation.

    A process started under a name that was used before raises its incarnation above the one believed of the
    earlier process. Gossip about the earlier process may arrive in several pieces, each with a higher
    incarnation, and does not show that it still runs. If the other process raises its own incarnation long
    after all such gossip has arrived, it is running. Both then report it; the one that came second raises its
    incarnation once more, because a healed partition may have delivered old gossip, and then yields: it sends
    nothing in the view until the other is believed dead. Queries are served all the same. If it yielded
    wrongly, nobody answers for the name, so it is soon believed dead, which brings it back.
    """

    def __init__(self, settings: ViewSettings, boot: int, now: int) -> None:
        self.settings, self.boot = settings, boot
        self.incarnation = 1
        self.phase = Phase.JOINING
        self.draining = False
        self.since = now
        self.yielded = False
        self.clone = 0  # boot of another process of this name, once it is known to run
        self._takeovers: Counter[int] = Counter()  # by boot, how often this process raised above it
        self._taken_over_at: dict[int, int] = {}  # by boot, when it last did
        self._seen_joining: set[int] = set()  # boots that were already there when this process joined
        self._raised: deque[int] = deque(maxlen=MAX_REFUTES)

    def belief(self, now: int) -> Belief:
        """The entry for the table."""
        settings = self.settings
        return Belief(
            settings.name, self.boot, self.incarnation, self.phase, self.since, settings.name, now, [],
            self.draining, settings.zone, settings.version, settings.config,
        )  # fmt: skip

    def finish_joining(self, now: int) -> None:
        """Become alive."""
        self.phase, self.since = Phase.ALIVE, now

    def drain(self, draining: bool) -> bool:
        """Start or stop draining; whether that is a change."""
        if self.draining is draining:
            return False
        self.draining = draining
        self.incarnation += 1
        return True

    def leave(self, now: int) -> None:
        """Leave for good; this process does not rejoin."""
        self.phase, self.since = Phase.LEFT, now
        self.incarnation += 1

    def apply_state(self, state: MemberState, now: int) -> RefuteResult:
        """Take in what another member believes of this one."""
        if state.boot != self.boot:
            return self._apply_other_process(state, now)
        if state.incarnation < self.incarnation or self.phase is Phase.LEFT:
            return RefuteResult.NONE
        if state.incarnation == self.incarnation and state.phase <= self.phase:
            return RefuteResult.NONE
        return self._raise(state.incarnation, now, RefuteResult.REFUTED)

    def _apply_other_process(self, state: MemberState, now: int) -> RefuteResult:
        if self.phase is Phase.LEFT:
            return RefuteResult.NONE
        if self.yielded:
            if state.phase in (Phase.DEAD, Phase.LEFT) and state.incarnation >= self.incarnation:
                self.yielded, self.clone = False, 0  # the other process is gone
                return self._raise(state.incarnation, now, RefuteResult.TOOK_OVER)
            return RefuteResult.NONE
        if state.incarnation < self.incarnation:
            return RefuteResult.NONE
        if state.phase in (Phase.DEAD, Phase.LEFT):
            return self._raise(state.incarnation, now, RefuteResult.TOOK_OVER)
        times, boot = self._takeovers[state.boot], state.boot
        is_running = now > self._taken_over_at.get(boot, self.since) + STALE_GOSSIP_NS
        if times >= MAX_TAKEOVERS or times > 1 and is_running and boot in self._seen_joining:
            self.yielded, self.clone = True, boot
            return RefuteResult.YIELDED
        result = RefuteResult.TOOK_OVER
        if self.phase is Phase.JOINING:
            self._seen_joining.add(boot)
        elif is_running:
            self.clone, result = boot, RefuteResult.CLONE
        done = self._raise(state.incarnation, now, result)
        if done is result:
            self._takeovers[boot] += 1
            self._taken_over_at[boot] = now
        return done

    def _raise(self, above: int, now: int, result: RefuteResult) -> RefuteResult:
        while self._raised and self._raised[0] <= now - REFUTE_WINDOW_NS:
            self._raised.popleft()
        if len(self._raised) >= MAX_REFUTES:
            return RefuteResult.RATE_LIMITED
        self._raised.append(now)
        self.incarnation = above + 1
        return result
