"""All beliefs of one member, their changes and their digest.

Bounds: one belief for each configured peer (``MEMBERS_MOST``); a name that is not configured is never kept.
The history keeps the newest ``HISTORY_MOST`` changes; older ones are in the log.
"""

from collections import deque
from collections.abc import Iterator

from quincepath.fleet.messages import MAX_ACCUSERS, MemberState
from quincepath.fleet.view.facts import (
    SECOND,
    Belief,
    Change,
    Key,
    Phase,
    ViewSettings,
    belief_from_state,
    state_key,
)

MAX_HISTORY = 1000
RECENT_PERIODS = 4  # periods: one heard so lately is not dead because somebody says so, it is suspected
MAX_FLAPS = 12  # changes of one member that are passed on within FLAPS_WINDOW
FLAPS_WINDOW_NS = 60 * SECOND


class Table:
    """Beliefs by name. ``adopted`` are names whose belief changed and is to be told on."""

    def __init__(self, settings: ViewSettings) -> None:
        self.settings = settings
        self.beliefs: dict[str, Belief] = {}
        self.peers = frozenset(settings.peers)
        self.last_heard: dict[str, int] = {}  # when a member itself last spoke, as the boot that is believed
        self.history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self.changes: list[Change] = []  # of this step
        self.updated: list[str] = []
        self.digest = 0
        self.live_count = 0
        self.changed_at = -(1 << 60)
        self.suspects: dict[str, Belief] = {}
        self._gone: dict[str, Belief] = {}  # dead or left, and still told of
        self._names: list[str] | None = None
        self._flaps: dict[str, deque[int]] = {}
        self.damped = 0  # news of flapping members that were not passed on

    def get(self, name: str) -> Belief | None:
        """What is believed of a member, if anything still is."""
        belief = self.beliefs.get(name)
        return None if belief is None or belief.reclaimed else belief

    def all(self) -> Iterator[Belief]:
        """All that is believed."""
        return (belief for belief in self.beliefs.values() if not belief.reclaimed)

    def live_peers(self) -> list[str]:
        """Names that are not given up."""
        if self._names is None:
            self._names = [n for n, belief in self.beliefs.items() if belief.live and n in self.peers]
        return self._names

    def put(self, belief: Belief, cause: str) -> None:
        """Put a belief in the place of an older one."""
        before = self.beliefs.get(belief.name)
        was = "unknown" if before is None or before.reclaimed else before.phase.name.lower()
        if before is not None and before.live:
            self.digest ^= before.digest_share()
            self.live_count -= 1
        if belief.live:
            self.digest ^= belief.digest_share()
            self.live_count += 1
        if before is not None and before.boot != belief.boot:
            self.last_heard.pop(belief.name, None)
            if before.live and belief.live:
                cause = f"started again; {cause}"
        self.beliefs[belief.name] = belief
        self._file(belief)
        now = belief.phase.name.lower()
        # The owner's own raising of its count, with nothing else new, is no change of belief for people.
        if was != now or before is None or before.boot != belief.boot or before.draining != belief.draining:
            self._note(belief, was, f"{now}, draining" if belief.draining else now, cause)
        if self._may_pass_on(belief):
            self.updated.append(belief.name)
        else:
            self.damped += 1

    def _file(self, belief: Belief) -> None:
        """Keep the lists of those that time matters for."""
        self._names = None
        self.suspects.pop(belief.name, None)
        self._gone.pop(belief.name, None)
        if belief.phase is Phase.SUSPECT:
            self.suspects[belief.name] = belief
        elif not belief.live and not belief.reclaimed:
            self._gone[belief.name] = belief

    def _note(self, belief: Belief, was: str, now: str, cause: str) -> None:
        change = Change(belief.told_at, belief.name, was, now, belief.incarnation, belief.told_by, cause)
        self.changed_at = belief.told_at
        self.history.append(change)
        self.changes.append(change)

    def _may_pass_on(self, belief: Belief) -> bool:
        """Whether a member that flaps has not had its share of everybody's tellings yet."""
        if belief.name == self.settings.name:
            return True
        times = self._flaps.setdefault(belief.name, deque(maxlen=MAX_FLAPS))
        now = belief.told_at
        while times and times[0] <= now - FLAPS_WINDOW_NS:
            times.popleft()
        if len(times) >= MAX_FLAPS:
            return False
        times.append(now)
        return True

    def apply_state(self, about: MemberState, now: int, told_by: str) -> bool:
        """Take in what is told of another member; whether anything changed."""
        before = self.beliefs.get(about.name)
        key: Key = state_key(about)
        if before is not None and key < before.key:
            return False
        if before is not None and key == before.key:
            return before.phase is Phase.SUSPECT and self._more_accusers(before, about.accusers, now)
        belief = belief_from_state(about, now, told_by)
        if not belief.live and now - belief.since >= self.settings.reclaim:
            # Old news of a death: it only keeps older claims of life down.
            belief.reclaimed = before is None or before.reclaimed or not before.live
        if belief.phase is Phase.DEAD and before is not None and before.phase in (Phase.JOINING, Phase.ALIVE):
            lately = now - self.last_heard.get(about.name, -(1 << 60)) < RECENT_PERIODS * self.settings.period
            if lately or about.accusers and self.settings.told_first:
                # Not at once by another's word: it gets the time to say otherwise.
                suspect = (about.incarnation, int(Phase.SUSPECT), about.boot)
                if suspect > before.key:
                    belief.phase, belief.since = Phase.SUSPECT, now
                    belief.accusers = list(dict.fromkeys([*about.accusers, told_by]))[:MAX_ACCUSERS]
        if belief.phase is Phase.SUSPECT and not belief.accusers:
            belief.accusers = [told_by]
        cause = "told" if told_by != about.name else "its own word"
        if belief.phase in (Phase.SUSPECT, Phase.DEAD):
            cause = f"no answer to {', '.join(belief.accusers) or told_by}"
        self.put(belief, cause)
        return True

    def _more_accusers(self, belief: Belief, accusers: tuple[str, ...], now: int) -> bool:
        new = [name for name in accusers if name not in belief.accusers]
        room = MAX_ACCUSERS - len(belief.accusers)
        if not new or room <= 0:
            return False
        belief.accusers.extend(new[:room])
        if self._may_pass_on(belief):
            self.updated.append(belief.name)
        return True

    def suspect(self, name: str, now: int, accuser: str) -> bool:
        """This member's own probe of another failed; whether that is news."""
        belief = self.get(name)
        if belief is None or not belief.live:
            return False
        if belief.phase is Phase.SUSPECT:
            return self._more_accusers(belief, (accuser,), now)
        self.put(
            Belief(
                name, belief.boot, belief.incarnation, Phase.SUSPECT, now, accuser, now, [accuser],
                belief.draining, belief.zone, belief.version, belief.config,
            ),
            "no answer to this member",
        )  # fmt: skip
        return True

    def suspicion_deadline(self, belief: Belief) -> int:
        """When a suspicion counts as a death."""
        return belief.since + self.settings.suspicion_timeout(self.live_count, max(len(belief.accusers), 1))

    def expire_suspicions(self, now: int) -> None:
        """Suspicions whose time is over become deaths; the long dead are no longer told of."""
        for belief in list(self.suspects.values()):
            if now >= self.suspicion_deadline(belief):
                self.put(
                    Belief(
                        belief.name, belief.boot, belief.incarnation, Phase.DEAD, now, belief.told_by, now,
                        belief.accusers, belief.draining, belief.zone, belief.version, belief.config,
                    ),
                    f"suspected by {', '.join(belief.accusers)} and not refuted in time",
                )  # fmt: skip
        for belief in [one for one in self._gone.values() if now >= one.since + self.settings.reclaim]:
            belief.reclaimed = True
            del self._gone[belief.name]
            self._note(belief, belief.phase.name.lower(), "unknown", "reclaimed")

    def next_due(self) -> int:
        """When ``condemn`` has work."""
        ends = [self.suspicion_deadline(belief) for belief in self.suspects.values()]
        ends += [belief.since + self.settings.reclaim for belief in self._gone.values()]
        return min(ends, default=1 << 62)

    def extend_suspicions(self, by: int) -> None:
        """This member stood still: refutations may lie unread, so suspicions wait for as long again."""
        for belief in self.suspects.values():
            belief.since += by
