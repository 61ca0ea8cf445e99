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
from quincepath.fleet.configuration.resources import CLASS, NODE, NODE_LIST, TENANT, format_value, split_name
from quincepath.fleet.configuration.table import Rules

READY = "ready"
FIXED = {CLASS: "no change: a running broker takes its classes from its file, and a restart"}
MAX_TENANTS = 1000  # with a weight of their own, as in a file: each may have a queue at every broker


class _Placed(msgspec.Struct):
    """Of a node: which shards it has, and whether it is in service."""

    shards: list[str]
    phase: str = READY


class _List(msgspec.Struct):
    """Of the list: whether the nodes are all."""

    whole: bool


_placed = msgspec.msgpack.Decoder(_Placed)
_lists = msgspec.msgpack.Decoder(_List)


@dataclass(slots=True, frozen=True)
class ChangeValidator:
    """``members``: names of the fleet's brokers, which no node may have: permits go by the name."""

    rules: Rules
    members: frozenset[str]

    def faults(self, edits: Sequence[Edit]) -> list[Fault]:
        """What this broker has against edits; costs by their number. Empty: nothing."""
        found = []
        for edit in edits:
            kind, name = split_name(edit.name)
            if kind in FIXED and edit.new is not None:
                found.append(Fault(edit.name, format_value(edit.new), FIXED[kind], edit.name))
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

        While the list is whole the distributed nodes alone are in force, so that a change that names a few
        nodes of many would take the others out. Where none is left the file's list serves again.
        """
        touched = any(split_name(edit.name)[0] == NODE or edit.name == NODE_LIST for edit in edits)
        if self.rules.replica_sets is None or not touched:
            return []
        after = _nodes_after(values, edits)
        if not after or not _whole_after(values, edits):
            return []
        return [
            Fault("nodes", f"none in service with the shards {'+'.join(sorted(shards))}", "at least one")
            for shards in sorted(self.rules.replica_sets - _covered(after), key=sorted)
        ]


def _too_many_tenants(values: Mapping[str, bytes], edits: Iterable[Edit]) -> list[Fault]:
    added = sum(
        edit.new is not None and edit.name not in values
        for edit in edits
        if split_name(edit.name)[0] == TENANT
    )
    total = added + sum(split_name(name)[0] == TENANT for name in values) if added else 0
    return [Fault("tenants", str(total), f"at most {MAX_TENANTS}")] if total > MAX_TENANTS else []


def _nodes_after(values: Mapping[str, bytes], edits: Iterable[Edit]) -> list[bytes]:
    """Values of all nodes, after edits."""
    edited = {edit.name: edit.new for edit in edits if split_name(edit.name)[0] == NODE}
    kept = [value for name, value in values.items() if name not in edited and split_name(name)[0] == NODE]
    return kept + [value for value in edited.values() if value is not None]


def _whole_after(values: Mapping[str, bytes], edits: Iterable[Edit]) -> bool:
    """Whether the distributed nodes are all, after edits."""
    value = values.get(NODE_LIST)
    for edit in edits:
        if edit.name == NODE_LIST:
            value = edit.new
    return value is None or _lists.decode(value).whole


def _covered(nodes: Iterable[bytes]) -> set[frozenset[str]]:
    """Replica sets with a node in service."""
    placed = map(_placed.decode, nodes)
    return {frozenset(one.shards) for one in placed if one.phase == READY}
