"""The rules of sends, checked against the list of holders as it was told here, and until when they leave.

A send that is right when it is decided may wait at the edge. So each is given two times with its order, and
this is the one place that says them: a drain's grace counts for the first byte, all else for the last.
"""

from dataclasses import dataclass

from quincepath.broker.driver.state import OpenPart, OpenQuery
from quincepath.interface import Effect, Members, NodeId, Phase, Result, Scope, Send, Settings

PROVED_UNRUN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)  # endings after which no effect can exist
NEVER = 1 << 62  # a time, in ns, that does not come
GONE_RETENTION_NS = 60_000_000_000  # ns past the grace until a holder that is gone is forgotten


@dataclass(slots=True)
class _Listed:
    cell: int
    phase: Phase
    told: int  # when this broker was told that it drains or is gone


class Rules:
    """Which sends are allowed. ``grace`` is rule 3's, in nanoseconds."""

    def __init__(self, settings: Settings, grace: int) -> None:
        self.settings, self.grace = settings, grace
        self._nodes: dict[NodeId, _Listed] = {}
        self._gone: dict[NodeId, _Listed] = {}  # those of them whose phase is GONE, until they are forgotten

    def update_members(self, now: int, members: Members) -> list[NodeId]:
        """News of the list; one that could not be read changes nothing. Returns who is not ready any more."""
        if members.scope is Scope.FAILED:
            return []
        lost: list[NodeId] = []
        if members.scope is not Scope.DELTA:
            named = {entry.node for entry in members.entries}
            for node, known in self._nodes.items():
                if node not in named and known.phase is not Phase.GONE:
                    if known.phase is Phase.READY:
                        known.told = now
                        lost.append(node)
                    self._enter(node, known, Phase.GONE)
        # Ids come and go all day: who has been gone for long is as unknown as one that was never named.
        old = now - self.grace - GONE_RETENTION_NS
        for node in [node for node, known in self._gone.items() if known.told < old]:
            del self._gone[node], self._nodes[node]
        for entry in members.entries:
            known = self._nodes.setdefault(entry.node, _Listed(entry.cell, Phase.READY, 0))
            if entry.phase is not Phase.READY and known.phase is Phase.READY:
                known.told = now
                lost.append(entry.node)
            known.cell = entry.cell
            self._enter(entry.node, known, entry.phase)
        return lost

    def _enter(self, node: NodeId, known: _Listed, phase: Phase) -> None:
        """Note a node's phase, and whether it is among those to forget later."""
        known.phase = phase
        if phase is Phase.GONE:
            self._gone[node] = known
        else:
            self._gone.pop(node, None)

    def send_violation(self, now: int, part: OpenPart, action: Send) -> str:
        """The name of the rule that this send would break; empty where it breaks none."""
        limits = self.settings.limits
        spec = self.settings.classes[part.query.ask.kind]
        listed = self._nodes.get(action.node)
        if part.query.over:
            return "send_after_end"
        if part.ok:
            return "send_of_part_in"
        if len(part.attempts) >= limits.attempts:
            return "send_beyond_attempts"
        if not limits.duplicate and part.in_flight():
            return "send_second_copy"
        if spec.effect is Effect.UNSAFE and part.first_possible_run() is not None:
            return "send_may_run_twice"
        if listed is None:
            return "send_to_unlisted"
        distance = (listed.cell - part.ask.shard) % self.settings.cells
        if distance >= self.settings.reach:
            return "send_to_wrong_holder"
        if now > self._window_end(part):
            return "send_past_window"
        if now > self.send_start_by(action.node):
            return "send_past_grace"
        return ""

    def effect_may_exist(self, query: OpenQuery, unsent: set[tuple[int, int]]) -> bool:
        """Whether a query that must not run twice may have run; ``unsent``: attempts of this very batch."""
        if self.settings.classes[query.ask.kind].effect is not Effect.UNSAFE:
            return False
        return any(
            not attempt.never_ran and (part.id, number) not in unsent
            for part in query.parts
            for number, attempt in enumerate(part.attempts)
        )

    def send_start_by(self, node: NodeId) -> int:
        """Until when a send to this node may begin: so long after the news that it drains or is gone."""
        listed = self._nodes.get(node)
        if listed is None or listed.phase is Phase.READY:
            return NEVER
        return listed.told + self.grace

    def send_complete_by(self, part: OpenPart) -> int:
        """Until when a send of this part must have left: its query's end, or that of its window."""
        return min(part.query.deadline, self._window_end(part))

    def _window_end(self, part: OpenPart) -> int:
        """When repeats of a keyed part are not dropped any more.

        Counted from the decision of the first attempt that may have run: that attempt itself may have
        counted later, which leaves more time than is taken here, never less.
        """
        spec = self.settings.classes[part.query.ask.kind]
        first = part.first_possible_run() if spec.effect is Effect.KEYED else None
        return NEVER if first is None else first + spec.window
