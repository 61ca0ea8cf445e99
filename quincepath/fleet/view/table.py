"""All beliefs of one member, their changes and their digest.

At most one belief per configured peer (``MAX_MEMBERS``); names that are not configured are never stored. The
history holds the newest ``MAX_HISTORY`` changes; older ones are in the log.
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
RECENT_PERIODS = 4  # a member heard from within this many periods is suspected, not dead, by another's report
MAX_FLAPS = 12  # changes of one member that are gossiped within FLAPS_WINDOW_NS
FLAPS_WINDOW_NS = 60 * SECOND


class Table:
    """Beliefs by name. ``updated`` holds the names whose belief changed and is to be gossiped."""

    def __init__(self, settings: ViewSettings) -> None:
        self.settings = settings
        self.beliefs: dict[str, Belief] = {}
        self.peers = frozenset(settings.peers)
        self.last_heard: dict[
            str, int
        ] = {}  # when a member last sent a message, as the boot that is believed
        self.history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self.changes: list[Change] = []  # of this step
        self.updated: list[str] = []
        self.digest = 0
        self.live_count = 0
        self.changed_at = -(1 << 60)
        self.suspects: dict[str, Belief] = {}
        self._gone: dict[str, Belief] = {}  # dead or left, and still gossiped
        self._live_peers: list[str] | None = None  # cache; None: to be computed
        self._flaps: dict[str, deque[int]] = {}
        self.damped = 0  # updates of flapping members that were not gossiped

    def get(self, name: str) -> Belief | None:
        """The belief about a member, unless it is unknown or reclaimed."""
        belief = self.beliefs.get(name)
        return None if belief is None or belief.reclaimed else belief

    def all(self) -> Iterator[Belief]:
        """All beliefs that are not reclaimed."""
        return (belief for belief in self.beliefs.values() if not belief.reclaimed)

    def live_peers(self) -> list[str]:
        """Names of the other members that are neither dead nor left."""
        if self._live_peers is None:
            self._live_peers = [n for n, belief in self.beliefs.items() if belief.live and n in self.peers]
        return self._live_peers

    def put(self, belief: Belief, cause: str) -> None:
        """Replace the belief about a member."""
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
        self._index(belief)
        now = belief.phase.name.lower()
        # A member that raises its own incarnation and changes nothing else is no change worth reporting.
        if was != now or before is None or before.boot != belief.boot or before.draining != belief.draining:
            self._record_change(belief, was, f"{now}, draining" if belief.draining else now, cause)
        if self._may_gossip(belief):
            self.updated.append(belief.name)
        else:
            self.damped += 1

    def _index(self, belief: Belief) -> None:
        """Update the indexes of the suspects and of the members that are gone."""
        self._live_peers = None
        self.suspects.pop(belief.name, None)
        self._gone.pop(belief.name, None)
        if belief.phase is Phase.SUSPECT:
            self.suspects[belief.name] = belief
        elif not belief.live and not belief.reclaimed:
            self._gone[belief.name] = belief

    def _record_change(self, belief: Belief, was: str, now: str, cause: str) -> None:
        change = Change(belief.told_at, belief.name, was, now, belief.incarnation, belief.told_by, cause)
        self.changed_at = belief.told_at
        self.history.append(change)
        self.changes.append(change)

    def _may_gossip(self, belief: Belief) -> bool:
        """Whether a change may be gossiped: flap damping limits the changes of each other member."""
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

    def apply_state(self, state: MemberState, now: int, told_by: str) -> bool:
        """Take in a received state of another member; whether anything changed."""
        before = self.beliefs.get(state.name)
        key: Key = state_key(state)
        if before is not None and key < before.key:
            return False
        if before is not None and key == before.key:
            return before.phase is Phase.SUSPECT and self._add_accusers(before, state.accusers, now)
        belief = belief_from_state(state, now, told_by)
        if not belief.live and now - belief.since >= self.settings.reclaim:
            # Old gossip about a death serves only to reject older states in which the member is live.
            belief.reclaimed = before is None or before.reclaimed or not before.live
        if belief.phase is Phase.DEAD and before is not None and before.phase in (Phase.JOINING, Phase.ALIVE):
            recent = now - self.last_heard.get(state.name, -(1 << 60)) < RECENT_PERIODS * self.settings.period
            if recent or state.accusers and self.settings.told_first:
                # Not dead at once by another member's report: it gets time to refute.
                suspect = (state.incarnation, int(Phase.SUSPECT), state.boot)
                if suspect > before.key:
                    belief.phase, belief.since = Phase.SUSPECT, now
                    belief.accusers = list(dict.fromkeys([*state.accusers, told_by]))[:MAX_ACCUSERS]
        if belief.phase is Phase.SUSPECT and not belief.accusers:
            belief.accusers = [told_by]
        cause = "told" if told_by != state.name else "its own word"
        if belief.phase in (Phase.SUSPECT, Phase.DEAD):
            cause = f"no answer to {', '.join(belief.accusers) or told_by}"
        self.put(belief, cause)
        return True

    def _add_accusers(self, belief: Belief, accusers: tuple[str, ...], now: int) -> bool:
        new = [name for name in accusers if name not in belief.accusers]
        room = MAX_ACCUSERS - len(belief.accusers)
        if not new or room <= 0:
            return False
        belief.accusers.extend(new[:room])
        if self._may_gossip(belief):
            self.updated.append(belief.name)
        return True

    def suspect(self, name: str, now: int, accuser: str) -> bool:
        """Suspect a member because this member's own probe of it failed; whether anything changed."""
        belief = self.get(name)
        if belief is None or not belief.live:
            return False
        if belief.phase is Phase.SUSPECT:
            return self._add_accusers(belief, (accuser,), now)
        self.put(
            Belief(
                name, belief.boot, belief.incarnation, Phase.SUSPECT, now, accuser, now, [accuser],
                belief.draining, belief.zone, belief.version, belief.config,
            ),
            "no answer to this member",
        )  # fmt: skip
        return True

    def suspicion_deadline(self, belief: Belief) -> int:
        """When a suspect counts as dead."""
        return belief.since + self.settings.suspicion_timeout(self.live_count, max(len(belief.accusers), 1))

    def expire_suspicions(self, now: int) -> None:
        """Declare suspects dead whose timeout is over, and reclaim members that are gone for long."""
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
            self._record_change(belief, belief.phase.name.lower(), "unknown", "reclaimed")

    def next_due(self) -> int:
        """When ``expire_suspicions`` next has something to do."""
        due = [self.suspicion_deadline(belief) for belief in self.suspects.values()]
        due += [belief.since + self.settings.reclaim for belief in self._gone.values()]
        return min(due, default=1 << 62)

    def extend_suspicions(self, by: int) -> None:
        """Extend all suspicions by the length of a stall: refutations may lie unread in the socket."""
        for belief in self.suspects.values():
            belief.since += by
