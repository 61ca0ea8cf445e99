"""What a running broker can put in force beyond the schema, and what its leader lets through.

Each member judges by its own configuration: the replica sets of its shard map, the names of the fleet's
members. Classes are fixed when a broker starts, since the decision module is built for them: a value of one
is refused with its reason. Taking one out again is not: it has never been in force, and a rollback must be
possible.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from quincepath.fleet.configuration.changes import Edit, Fault
from quincepath.fleet.configuration.resources import CLASS, NODE, TENANT, shown, split_name
from quincepath.fleet.configuration.table import Rules

READY = "ready"
FIXED = {CLASS: "no change: a running broker takes its classes from its file, and a restart"}
TENANTS_MOST = 1000  # with a weight of their own, as in a file: each may have a queue at every broker


class _Placed(msgspec.Struct):
    """Of a node: which shards it has, and whether it is in service."""

    shards: list[str]
    phase: str = READY


_placed = msgspec.msgpack.Decoder(_Placed)


@dataclass(slots=True, frozen=True)
class Admissible:
    """``members``: names of the fleet's brokers, which no node may have: permits go by the name."""

    rules: Rules
    members: frozenset[str]

    def faults(self, edits: Sequence[Edit]) -> list[Fault]:
        """What this broker has against edits; costs by their number. Empty: nothing."""
        found = []
        for edit in edits:
            kind, name = split_name(edit.name)
            if kind in FIXED and edit.new is not None:
                found.append(Fault(edit.name, shown(edit.new), FIXED[kind], edit.name))
            if kind == NODE and name in self.members and edit.new is not None:
                found.append(
                    Fault(edit.name, repr(name), "a name that no broker of the fleet has", edit.name)
                )
        return found

    def leader_faults(self, values: Mapping[str, bytes], edits: Sequence[Edit]) -> list[Fault]:
        """What the leader has against edits beyond ``faults``; reads all names, and all nodes for a node."""
        return self._uncovered(values, edits) + _too_many_tenants(values, edits)

    def _uncovered(self, values: Mapping[str, bytes], edits: Sequence[Edit]) -> list[Fault]:
        """Replica sets that edits would leave without a node in service.

        Once a revision names a node the distributed list alone is in force, so that a change that names a few
        nodes of many would take the others out.
        """
        if self.rules.replica_sets is None or not any(split_name(edit.name)[0] == NODE for edit in edits):
            return []
        covered = _covered(values, edits)
        return [
            Fault("nodes", f"none in service with the shards {'+'.join(sorted(shards))}", "at least one")
            for shards in sorted(self.rules.replica_sets - covered, key=sorted)
        ]


def _too_many_tenants(values: Mapping[str, bytes], edits: Iterable[Edit]) -> list[Fault]:
    added = sum(
        edit.new is not None and edit.name not in values
        for edit in edits
        if split_name(edit.name)[0] == TENANT
    )
    total = added + sum(split_name(name)[0] == TENANT for name in values) if added else 0
    return [Fault("tenants", str(total), f"at most {TENANTS_MOST}")] if total > TENANTS_MOST else []


def _covered(values: Mapping[str, bytes], edits: Iterable[Edit]) -> set[frozenset[str]]:
    """Replica sets with a node in service, after edits."""
    edited = {edit.name: edit.new for edit in edits}
    kept = (value for name, value in values.items() if name not in edited and split_name(name)[0] == NODE)
    new = (value for name, value in edited.items() if value is not None and split_name(name)[0] == NODE)
    found = set()
    for value in (*kept, *new):
        placed = _placed.decode(value)
        if placed.phase == READY:
            found.add(frozenset(placed.shards))
    return found
