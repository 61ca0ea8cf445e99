"""The node list from discovery: full lists and deltas in, membership updates for the module out. Pure.

A node is identified by its id everywhere in the broker; its address is only looked up to connect. Start times
arrive as wall-clock time and are converted to the broker's own clock only once, so that one start of a node
is not mistaken for several.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec

from quincepath.interface import Entry, Members, NodeId, Phase, Scope

STATES = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}
MS = 1_000_000
MAX_VERSION = 1 << 53  # the largest integer that every JSON parser represents exactly
MAX_STARTED_MS = 1 << 53
MAX_REMOVED_NODES = 1024  # drained or deleted nodes remembered; the oldest are dropped


class Target(msgspec.Struct, frozen=True):
    """One node as discovery describes it."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


class TargetList(msgspec.Struct, frozen=True):
    """A full list, or the changes since an earlier version."""

    version: int
    full: bool
    servers: list[Target]


@dataclass(slots=True)
class ListedNode:
    """A node on the list: its address, and its start on both clocks (``since`` is the broker's, in ns)."""

    host: str
    port: int
    cell: int
    phase: Phase
    started_ms: int
    since: int


class TargetListError(ValueError):
    """A response of discovery that cannot be used; the current list stays in force."""


_decoder = msgspec.json.Decoder(TargetList)


def read_list(body: bytes) -> TargetList:
    """Decode a response body of discovery; raises ``TargetListError``."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise TargetListError(f"discovery response: {error}") from None


@dataclass(slots=True, frozen=True)
class RemovedNode:
    """A node reported as draining or deleted: the list version that said so, and the node's start time."""

    version: int
    started_ms: int


class TargetTable:
    """The current node list. Bounded by the list's size plus ``MAX_REMOVED_NODES`` remembered removals."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.version = -1
        self.nodes: dict[NodeId, ListedNode] = {}
        self.removed: dict[NodeId, RemovedNode] = {}
        self.updated_at = 0  # when discovery last sent a usable list, in ns

    def apply(
        self, now: int, wall_ms: float, update: TargetList, cached: bool = False, base: bool = False
    ) -> Members | None:
        """Apply an update; returns the module's membership update, or None where nothing changed for it.

        ``wall_ms`` is the wall clock at ``now``. The update is applied as a whole or, with
        ``TargetListError``, not at all. ``base``: the response to a request for the full list, which is
        accepted whatever its version, since discovery may have moved or may have restarted its version
        numbers. Any other update older than the current list may only remove nodes. In both cases a removed
        node returns only by a newer version or a later start time. Guards rule 3, no sends to a drained node,
        against a discovery replica that lags behind the one that reported the drain.
        """
        if not 0 <= update.version <= MAX_VERSION:
            raise TargetListError(f"version {update.version}, 0 to {MAX_VERSION} was expected")
        stale = update.version < self.version and not base
        full = update.full and not stale
        # Of several entries for one node the last counts; all are validated before any is applied.
        parsed = [self._parse(now, wall_ms, one) for one in {one.id: one for one in update.servers}.values()]
        entries: list[Entry] = []
        for known, entry in parsed:
            before = self.nodes.get(entry.node)
            if entry.phase is Phase.READY:
                if stale:
                    continue
                if self._outdated(entry.node, update.version, known.started_ms):
                    if before is None or not full:
                        continue
                    entry = replace(entry, phase=Phase.DRAINING, since=before.since)  # listed, still draining
                    known = before
                else:
                    self.removed.pop(entry.node, None)
            else:
                self._record_removal(entry.node, update.version, known.started_ms)
            if entry.phase is Phase.GONE:
                if before is None:
                    continue
                del self.nodes[entry.node]
            elif before is not None or not stale:
                self.nodes[entry.node] = known
            else:
                continue
            entries.append(entry)
        if full:
            listed = {entry.node for entry in entries}
            for node in [node for node in self.nodes if node not in listed]:
                self._record_removal(node, update.version, self.nodes.pop(node).started_ms)
        if not stale:
            self.version = update.version
        if not cached:
            self.updated_at = now
        if not entries and not full:
            return None
        scope = Scope.CACHED if cached else Scope.FULL if full else Scope.DELTA
        return Members(scope, max(self.version, 0), tuple(entries))

    def _outdated(self, node: NodeId, version: int, started_ms: int) -> bool:
        removal = self.removed.get(node)
        return removal is not None and version < removal.version and started_ms <= removal.started_ms

    def _record_removal(self, node: NodeId, version: int, started_ms: int) -> None:
        removal = self.removed.pop(node, None)
        if removal is not None:
            version, started_ms = max(version, removal.version), max(started_ms, removal.started_ms)
        self.removed[node] = RemovedNode(version, started_ms)
        if len(self.removed) > MAX_REMOVED_NODES:
            del self.removed[next(iter(self.removed))]

    def _parse(self, now: int, wall_ms: float, target: Target) -> tuple[ListedNode, Entry]:
        """Validate and convert one target; changes no state."""
        phase = STATES.get(target.state)
        if phase is None:
            raise TargetListError(
                f"node {target.id}: state {target.state!r}, one of {', '.join(STATES)} was expected"
            )
        if not 0 <= target.started_ms <= MAX_STARTED_MS:
            raise TargetListError(f"node {target.id}: started_ms {target.started_ms} is out of range")
        node = target.id.encode()
        before = self.nodes.get(node)
        if before is not None and before.started_ms == target.started_ms:
            since = before.since
        elif target.started_ms > 0:
            since = min(max(now - int((wall_ms - target.started_ms) * MS), 1), now)
        else:
            since = 0
        host, port = "", 0
        if phase is not Phase.GONE:
            host, _, digits = target.addr.rpartition(":")
            valid_port = digits.isascii() and digits.isdigit() and len(digits) <= 5
            if not host or not valid_port or not 0 < int(digits) < 65536:
                raise TargetListError(f"node {target.id}: address {target.addr!r}, host:port was expected")
            port = int(digits)
        return ListedNode(host, port, target.cell, phase, target.started_ms, since), Entry(
            node, self.kinds.get(target.kind, 0), self.zones.get(target.zone, len(self.zones)),
            target.cell, since, phase, target.weight,
        )  # fmt: skip
