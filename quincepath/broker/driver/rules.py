"""Checks of sends against the list of holders as this broker knows it, and the time limits of sends.

A send that is valid when it is decided may still wait in the I/O layer. Each order therefore carries two
time limits, and this module is the only place that computes them: the grace of a drain limits the first byte,
everything else limits the last.
"""

from dataclasses import dataclass

from quincepath.broker.driver.state import NEVER, OpenPart, OpenQuery
from quincepath.interface import Effect, Members, NodeId, Phase, Result, Scope, Send, Settings

PROVED_UNRUN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)  # results that rule out any effect
GONE_RETENTION_NS = 60_000_000_000  # past the grace; then a holder that is gone is forgotten


@dataclass(slots=True)
class _KnownNode:
    cell: int
    phase: Phase
    unready_since: int  # when this broker learned that the node drains or is gone


class Rules:
    """Decides which sends are allowed. ``grace`` is the drain grace of rule 3, in nanoseconds."""

    def __init__(self, settings: Settings, grace: int) -> None:
        self.settings, self.grace = settings, grace
        self._nodes: dict[NodeId, _KnownNode] = {}
        self._gone: dict[NodeId, _KnownNode] = {}  # the subset whose phase is GONE, until forgotten

    def update_members(self, now: int, members: Members) -> list[NodeId]:
        """Apply a list update; a failed read changes nothing. Returns the nodes that stopped being ready."""
        if members.scope is Scope.FAILED:
            return []
        lost: list[NodeId] = []
        if members.scope is not Scope.DELTA:
            listed = {entry.node for entry in members.entries}
            for node, known in self._nodes.items():
                if node not in listed and known.phase is not Phase.GONE:
                    if known.phase is Phase.READY:
                        known.unready_since = now
                        lost.append(node)
                    self._set_phase(node, known, Phase.GONE)
        # Node ids change all day. A node that has been gone for long counts as one that was never listed.
        cutoff = now - self.grace - GONE_RETENTION_NS
        for node in [node for node, known in self._gone.items() if known.unready_since < cutoff]:
            del self._gone[node], self._nodes[node]
        for entry in members.entries:
            known = self._nodes.setdefault(entry.node, _KnownNode(entry.cell, Phase.READY, 0))
            if entry.phase is not Phase.READY and known.phase is Phase.READY:
                known.unready_since = now
                lost.append(entry.node)
            known.cell = entry.cell
            self._set_phase(entry.node, known, entry.phase)
        return lost

    def _set_phase(self, node: NodeId, known: _KnownNode, phase: Phase) -> None:
        """Record a node's phase and whether the node is to be forgotten later."""
        known.phase = phase
        if phase is Phase.GONE:
            self._gone[node] = known
        else:
            self._gone.pop(node, None)

    def send_violation(self, now: int, part: OpenPart, action: Send) -> str:
        """The name of the rule that this send would violate, or an empty string."""
        limits = self.settings.limits
        spec = self.settings.classes[part.query.ask.kind]
        listed = self._nodes.get(action.node)
        if part.query.over:
            return "send_after_end"
        if part.ok:
            return "send_of_part_in"
        if part.attempts and part.reply_held():
            return "send_while_reply_held"
        if now > part.retry_by:
            return "send_past_doubtful_reply"
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
        """Whether a query that must not run twice may have run. ``unsent``: attempts of the current batch."""
        if self.settings.classes[query.ask.kind].effect is not Effect.UNSAFE:
            return False
        return any(
            not attempt.never_ran and (part.id, number) not in unsent
            for part in query.parts
            for number, attempt in enumerate(part.attempts)
        )

    def send_start_by(self, node: NodeId) -> int:
        """Until when a send to this node may start: the grace after it was known to drain or be gone."""
        listed = self._nodes.get(node)
        if listed is None or listed.phase is Phase.READY:
            return NEVER
        return listed.unready_since + self.grace

    def send_complete_by(self, part: OpenPart) -> int:
        """Until when a send of this part must be complete: the deadline or the end of the key's window."""
        return min(part.query.deadline, self._window_end(part))

    def _window_end(self, part: OpenPart) -> int:
        """When nodes stop dropping duplicates of a keyed part.

        Counted from the decision to send the first attempt that may have run. The node may have started
        counting later, so the real window ends at this time or after it, never before.
        """
        spec = self.settings.classes[part.query.ask.kind]
        first = part.first_possible_run() if spec.effect is Effect.KEYED else None
        return NEVER if first is None else first + spec.window
