"""Pure state of the list of holders: descriptions in, updates for the decision module and addresses out.

The module identifies a holder by its address (its ``NodeId``: four bytes and a port). It receives changes
only: the first list is CACHED because it may be old (read at start), later ones are DELTA. A holder that
disappeared from the list is reported as gone. Each change has a one-line description.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from quincepath.interface import Entry, Members, NodeId, Phase, Scope


@dataclass(slots=True, frozen=True)
class HolderInfo:
    """One holder, as a source describes it. ``since``: last start in ns, broker's clock; 0: long ago."""

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
    """One applied change, for the log: the values before and after."""

    name: str
    description: str


SAME_START_NS = 1_000_000_000  # starts reported this close together are one start, read on two clocks


class MembershipState:
    """Holders as last reported. Bounded by the list: a holder reported as gone is forgotten."""

    def __init__(self) -> None:
        self.version = 0
        self.holders: dict[NodeId, HolderInfo] = {}
        self._reported_once = False

    def address(self, node: NodeId) -> HolderInfo | None:
        """The holder with this id; None if the list no longer contains it."""
        return self.holders.get(node)

    def apply_list(self, holders: Sequence[HolderInfo]) -> tuple[Members | None, list[Change]]:
        """Apply a complete list. Returns the module's update, None if nothing changed, and the changes."""
        changes: list[Change] = []
        entries: list[Entry] = []
        listed = {holder.node: self._keep_start(holder) for holder in holders}
        for holder in listed.values():
            self._add_change(holder, changes, entries)
        for node, holder in self.holders.items():
            if node not in listed and holder.phase is not Phase.GONE:
                changes.append(Change(holder.name, "removed from the list"))
                entries.append(self._entry(holder, Phase.GONE))
        self.holders = listed
        if not entries and self._reported_once:
            return None, changes
        return self._update(entries), changes

    def apply_delta(
        self, holders: Sequence[HolderInfo], gone: Sequence[NodeId]
    ) -> tuple[Members | None, list[Change]]:
        """Apply a change of part of the list; the cost depends on that part only.

        ``gone``: holders no longer listed. Requires a complete list first. A holder at the address of a gone
        one replaces it.
        """
        assert self._reported_once, "delta before the first complete list"
        changes: list[Change] = []
        entries: list[Entry] = []
        added = {holder.node for holder in holders}
        for node in gone:
            removed = None if node in added else self.holders.pop(node, None)
            if removed is not None and removed.phase is not Phase.GONE:
                changes.append(Change(removed.name, "removed from the list"))
                entries.append(self._entry(removed, Phase.GONE))
        for holder in map(self._keep_start, holders):
            self._add_change(holder, changes, entries)
            self.holders[holder.node] = holder
        return (self._update(entries) if entries else None), changes

    def _keep_start(self, holder: HolderInfo) -> HolderInfo:
        """Keep a close known start: it is reported in wall time, so a small clock step must not change it."""
        before = self.holders.get(holder.node)
        if before is None or not holder.since or abs(holder.since - before.since) >= SAME_START_NS:
            return holder
        return replace(holder, since=before.since)

    def _add_change(self, holder: HolderInfo, changes: list[Change], entries: list[Entry]) -> None:
        before = self.holders.get(holder.node)
        if holder != before:
            changes.append(Change(holder.name, self._describe(before, holder)))
            entries.append(self._entry(holder, holder.phase))

    def _update(self, entries: list[Entry]) -> Members:
        self.version += 1
        scope = Scope.DELTA if self._reported_once else Scope.CACHED
        self._reported_once = True
        return Members(scope, self.version, tuple(entries))

    def read_failed(self) -> Members:
        """The source could not be read: what was reported before stays valid."""
        return Members(Scope.FAILED, self.version, ())

    @staticmethod
    def _entry(holder: HolderInfo, phase: Phase) -> Entry:
        return Entry(holder.node, 0, holder.zone, holder.cell, holder.since, phase, 1.0)

    @staticmethod
    def _describe(before: HolderInfo | None, now: HolderInfo) -> str:
        if before is None:
            return f"new, {now.phase.name.lower()}, shards {'+'.join(now.shards)}"
        changes = []
        if before.phase is not now.phase:
            changes.append(f"{before.phase.name.lower()} -> {now.phase.name.lower()}")
        if before.since != now.since:
            changes.append("restarted")
        if before.shards != now.shards:
            changes.append(f"shards {'+'.join(before.shards)} -> {'+'.join(now.shards)}")
        return ", ".join(changes) or "details changed"
