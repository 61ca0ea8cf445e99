"""The list of nodes as the platform tells it: lists and changes in, the module's list news out. Pure.

A node is named by its id everywhere in the broker; the address is only looked up to connect. Times of start
come in wall time and are turned into the broker's own clock once, so that one start stays one start.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from quincepath.interface import Entry, Members, NodeId, Phase, Scope

STATES = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}
MS = 1_000_000


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


class Targets:
    """What was told, and when. Bounded by the list: a node that is gone is forgotten here."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.zones = {name: index for index, name in enumerate(zones)}
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.version = -1
        self.nodes: dict[NodeId, Known] = {}
        self.told_at = 0  # when discovery last said anything usable

    def take(self, now: int, wall_ms: float, told: TargetList, cached: bool = False) -> Members | None:
        """News for the module, None where there is none. ``wall_ms`` is the wall clock at ``now``."""
        entries: list[Entry] = []
        # News that is older than what is held may only take nodes away: guards rule 3 against a copy of
        # discovery that lags behind the one that told of a drain.
        stale = told.version < self.version
        for target in told.servers:
            if not stale or target.state != "SERVING" and target.id.encode() in self.nodes:
                entries.append(self._entry(now, wall_ms, target))
        full = told.full and not stale
        if full:
            named = {entry.node for entry in entries}
            for node in [node for node in self.nodes if node not in named]:
                del self.nodes[node]
        if not stale:
            self.version = told.version
        if not cached:
            self.told_at = now
        if not entries and not full:
            return None
        scope = Scope.CACHED if cached else Scope.FULL if full else Scope.DELTA
        return Members(scope, max(self.version, 0), tuple(entries))

    def _entry(self, now: int, wall_ms: float, target: Target) -> Entry:
        phase = STATES.get(target.state)
        if phase is None:
            raise BadList(
                f"node {target.id}: state {target.state!r}, one of {', '.join(STATES)} was expected"
            )
        node = target.id.encode()
        before = self.nodes.get(node)
        if before is not None and before.started_ms == target.started_ms:
            since = before.since
        elif target.started_ms > 0:
            since = max(now - int((wall_ms - target.started_ms) * MS), 1)
        else:
            since = 0
        if phase is Phase.GONE:
            self.nodes.pop(node, None)
        else:
            host, _, port = target.addr.rpartition(":")
            if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
                raise BadList(f"node {target.id}: address {target.addr!r}, host:port was expected")
            self.nodes[node] = Known(host, int(port), target.cell, phase, target.started_ms, since)
        return Entry(
            node, self.kinds.get(target.kind, 0), self.zones.get(target.zone, len(self.zones)),
            target.cell, since, phase, target.weight,
        )  # fmt: skip
