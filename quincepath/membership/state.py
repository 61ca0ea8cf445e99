"""The pure state behind the list of holders: facts in, the module's list news and addresses out.

A holder is known to the module by its address (its ``NodeId``: four bytes and a port). The module is told
of what changed only; the first list is CACHED where it may be old (read at start), later ones are DELTA. A
holder that vanished from the list is told as gone. Each change can be explained in a line.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from quincepath.interface import Entry, Members, NodeId, Phase, Scope


@dataclass(slots=True, frozen=True)
class HolderInfo:
    """What a source says of one holder. ``since``: ns of its last start on the broker's clock, 0 long ago."""

    name: str
    node: NodeId
    path: str
    zone: int
    cell: int
    shards: tuple[str, ...]
    phase: Phase
    since: int


@dataclass(slots=True, frozen=True)
class Change:
    """One difference that was taken over, for the log: what it was before and is now."""

    name: str
    description: str


SAME_START = 1_000_000_000  # ns: starts told this close together are one start told on two clocks


class MembershipState:
    """Holders as last told. Bounded by the list itself: who is gone and told so is forgotten."""

    def __init__(self) -> None:
        self.version = 0
        self.facts: dict[NodeId, HolderInfo] = {}
        self._told_once = False

    def address(self, node: NodeId) -> HolderInfo | None:
        """Where a node is; None for one that no list names any more."""
        return self.facts.get(node)

    def apply_list(self, facts: Sequence[HolderInfo]) -> tuple[Members | None, list[Change]]:
        """A whole list was read: news for the module, None where nothing changed, and what changed."""
        changes: list[Change] = []
        entries: list[Entry] = []
        named = {fact.node: self._same_start(fact) for fact in facts}
        for fact in named.values():
            self._differ(fact, changes, entries)
        for node, fact in self.facts.items():
            if node not in named and fact.phase is not Phase.GONE:
                changes.append(Change(fact.name, "gone from the list"))
                entries.append(self._entry(fact, Phase.GONE))
        self.facts = named
        if not entries and self._told_once:
            return None, changes
        return self._news(entries), changes

    def apply_delta(
        self, facts: Sequence[HolderInfo], gone: Sequence[NodeId]
    ) -> tuple[Members | None, list[Change]]:
        """Part of the list changed; costs by that part. ``gone``: holders that it no longer names.

        Only after a whole list. A holder at the address of one that is gone takes its place.
        """
        assert self._told_once, "a part of the list before a whole one"
        changes: list[Change] = []
        entries: list[Entry] = []
        arriving = {fact.node for fact in facts}
        for node in gone:
            left = None if node in arriving else self.facts.pop(node, None)
            if left is not None and left.phase is not Phase.GONE:
                changes.append(Change(left.name, "gone from the list"))
                entries.append(self._entry(left, Phase.GONE))
        for fact in map(self._same_start, facts):
            self._differ(fact, changes, entries)
            self.facts[fact.node] = fact
        return (self._news(entries) if entries else None), changes

    def _same_start(self, fact: HolderInfo) -> HolderInfo:
        """The start is told in wall time: the same one must not look new after a small clock step."""
        before = self.facts.get(fact.node)
        if before is None or not fact.since or abs(fact.since - before.since) >= SAME_START:
            return fact
        return replace(fact, since=before.since)

    def _differ(self, fact: HolderInfo, changes: list[Change], entries: list[Entry]) -> None:
        before = self.facts.get(fact.node)
        if fact != before:
            changes.append(Change(fact.name, self._what(before, fact)))
            entries.append(self._entry(fact, fact.phase))

    def _news(self, entries: list[Entry]) -> Members:
        self.version += 1
        scope = Scope.DELTA if self._told_once else Scope.CACHED
        self._told_once = True
        return Members(scope, self.version, tuple(entries))

    def read_failed(self) -> Members:
        """The source could not be read: what was told before stays in force."""
        return Members(Scope.FAILED, self.version, ())

    @staticmethod
    def _entry(fact: HolderInfo, phase: Phase) -> Entry:
        return Entry(fact.node, 0, fact.zone, fact.cell, fact.since, phase, 1.0)

    @staticmethod
    def _what(before: HolderInfo | None, now: HolderInfo) -> str:
        if before is None:
            return f"new, {now.phase.name.lower()}, shards {'+'.join(now.shards)}"
        said = []
        if before.phase is not now.phase:
            said.append(f"{before.phase.name.lower()} -> {now.phase.name.lower()}")
        if before.since != now.since:
            said.append("started anew")
        if before.shards != now.shards:
            said.append(f"shards {'+'.join(before.shards)} -> {'+'.join(now.shards)}")
        return ", ".join(said) or "described anew"
