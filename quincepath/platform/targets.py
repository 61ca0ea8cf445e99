"""The list of nodes as the platform tells it: lists and changes in, the module's list news out. Pure.

A node is named by its id everywhere in the broker; the address is only looked up to connect. Times of start
come in wall time and are turned into the broker's own clock once, so that one start stays one start.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec

from quincepath.interface import Entry, Members, NodeId, Phase, Scope

STATES = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}
MS = 1_000_000
VERSION_MOST = 1 << 53  # what every reader of JSON holds exactly
STARTED_MOST = 1 << 53
AWAY_MOST = 1024  # nodes drained or gone that are remembered, the last ones


class Target(msgspec.Struct, frozen=True):
    """One node as told."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


class TargetList(msgspec.Struct, frozen=True):
    """A whole list, or the changes since one."""

    version: int
    full: bool
    servers: list[Target]


@dataclass(slots=True)
class Known:
    """A node that is on the list: where it is, and its start on both clocks."""

    host: str
    port: int
    cell: int
    phase: Phase
    started_ms: int
    since: int


class BadList(ValueError):
    """An answer of discovery that cannot be used; what is held stays in force."""


_decoder = msgspec.json.Decoder(TargetList)


def read_list(body: bytes) -> TargetList:
    """A body of discovery; raises ``BadList``."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadList(f"discovery's answer: {error}") from None


@dataclass(slots=True, frozen=True)
class Away:
    """A node that was told to be draining or gone: by the news of which version, and of which start."""

    version: int
    started_ms: int


class Targets:
    """What was told, and when. Bounded: by the list, and by ``AWAY_MOST`` nodes that were taken away."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.version = -1
        self.nodes: dict[NodeId, Known] = {}
        self.away: dict[NodeId, Away] = {}
        self.told_at = 0  # when discovery last said anything usable

    def take(
        self, now: int, wall_ms: float, told: TargetList, cached: bool = False, base: bool = False
    ) -> Members | None:
        """News for the module, None where there is none. ``wall_ms`` is the wall clock at ``now``.

        All of it or, with ``BadList``, nothing. ``base``: the answer to a call for the whole list, which
        counts whatever its version: discovery may have moved, or number anew. Other news that is older than
        what is held may only take nodes away. Either way a node that was taken away comes back by newer news
        alone, or by a later start: guards rule 3 against a copy of discovery that lags behind the one that
        told of a drain.
        """
        if not 0 <= told.version <= VERSION_MOST:
            raise BadList(f"version {told.version}, 0 to {VERSION_MOST} was expected")
        stale = told.version < self.version and not base
        full = told.full and not stale
        # The last word on each node; all are read before any is taken.
        read = [self._read(now, wall_ms, one) for one in {one.id: one for one in told.servers}.values()]
        entries: list[Entry] = []
        for known, entry in read:
            before = self.nodes.get(entry.node)
            if entry.phase is Phase.READY:
                if stale:
                    continue
                if self._outdated(entry.node, told.version, known.started_ms):
                    if before is None or not full:
                        continue
                    entry = replace(entry, phase=Phase.DRAINING, since=before.since)  # named, still draining
                    known = before
                else:
                    self.away.pop(entry.node, None)
            else:
                self._take_away(entry.node, told.version, known.started_ms)
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
            named = {entry.node for entry in entries}
            for node in [node for node in self.nodes if node not in named]:
                self._take_away(node, told.version, self.nodes.pop(node).started_ms)
        if not stale:
            self.version = told.version
        if not cached:
            self.told_at = now
        if not entries and not full:
            return None
        scope = Scope.CACHED if cached else Scope.FULL if full else Scope.DELTA
        return Members(scope, max(self.version, 0), tuple(entries))

    def _outdated(self, node: NodeId, version: int, started_ms: int) -> bool:
        away = self.away.get(node)
        return away is not None and version < away.version and started_ms <= away.started_ms

    def _take_away(self, node: NodeId, version: int, started_ms: int) -> None:
        away = self.away.pop(node, None)
        if away is not None:
            version, started_ms = max(version, away.version), max(started_ms, away.started_ms)
        self.away[node] = Away(version, started_ms)
        if len(self.away) > AWAY_MOST:
            del self.away[next(iter(self.away))]

    def _read(self, now: int, wall_ms: float, target: Target) -> tuple[Known, Entry]:
        """One node as told; changes nothing."""
        phase = STATES.get(target.state)
        if phase is None:
            raise BadList(
                f"node {target.id}: state {target.state!r}, one of {', '.join(STATES)} was expected"
            )
        if not 0 <= target.started_ms <= STARTED_MOST:
            raise BadList(f"node {target.id}: started_ms {target.started_ms} is no time")
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
            plain = digits.isascii() and digits.isdigit() and len(digits) <= 5
            if not host or not plain or not 0 < int(digits) < 65536:
                raise BadList(f"node {target.id}: address {target.addr!r}, host:port was expected")
            port = int(digits)
        return Known(host, port, target.cell, phase, target.started_ms, since), Entry(
            node, self.kinds.get(target.kind, 0), self.zones.get(target.zone, len(self.zones)),
            target.cell, since, phase, target.weight,
        )  # fmt: skip
