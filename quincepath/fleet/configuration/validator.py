"""Validation beyond the schema: what a running broker can apply, and what the leader proposes.

Each member validates against its own configuration: the replica sets of its shard map and the names of the
fleet's members. Classes are fixed when a broker starts, since the decision module is built for them, so a
change that sets one is refused with the reason. Removing one is accepted: it has never been in force, and a
rollback must be possible.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from quincepath.fleet.configuration.changes import Edit, Fault
from quincepath.fleet.configuration.resources import CLASS, NODE, NODE_LIST, TENANT, format_value, split_name
from quincepath.fleet.configuration.table import Rules

READY = "ready"
FIXED_KINDS = {CLASS: "no change: a running broker takes its classes from its file, and a restart"}
MAX_TENANTS = 1000  # that have their own weight, as in a file: each may have a queue at every broker


class _NodeEntry(msgspec.Struct):
    """The keys of a node that matter here: its shards, and whether it is in service."""

    shards: list[str]
    phase: str = READY


class _NodeListEntry(msgspec.Struct):
    """The key of the node list that matters here: whether the distributed nodes are complete."""

    whole: bool


_node_decoder = msgspec.msgpack.Decoder(_NodeEntry)
_list_decoder = msgspec.msgpack.Decoder(_NodeListEntry)


@dataclass(slots=True, frozen=True)
class ChangeValidator:
    """``members``: names of the fleet's brokers; no node may have one of them, since permits go by name."""

    rules: Rules
    members: frozenset[str]

    def faults(self, edits: Sequence[Edit]) -> list[Fault]:
        """Why this broker cannot apply the edits, empty where it can. Its cost grows with their number."""
        faults = []
        for edit in edits:
            kind, name = split_name(edit.name)
            if kind in FIXED_KINDS and edit.new is not None:
                faults.append(Fault(edit.name, format_value(edit.new), FIXED_KINDS[kind], edit.name))
            if kind == NODE and name in self.members and edit.new is not None:
                faults.append(
                    Fault(edit.name, repr(name), "a name that no broker of the fleet has", edit.name)
                )
        return faults

    def leader_faults(self, values: Mapping[str, bytes], edits: Sequence[Edit]) -> list[Fault]:
        """Faults beyond ``faults`` for the leader; reads all names, and all nodes where a node is edited."""
        return self._uncovered_sets(values, edits) + _too_many_tenants(values, edits)

    def _uncovered_sets(self, values: Mapping[str, bytes], edits: Sequence[Edit]) -> list[Fault]:
        """Replica sets that the edits would leave without a node in service.

        While the list is complete, the distributed nodes replace those of the file, so a change that names
        a few nodes of many would remove the others. Where no distributed node is left, the file's list is
        in use again.
        """
        affects_nodes = any(split_name(edit.name)[0] == NODE or edit.name == NODE_LIST for edit in edits)
        if self.rules.replica_sets is None or not affects_nodes:
            return []
        after = _nodes_after(values, edits)
        if not after or not _list_complete_after(values, edits):
            return []
        return [
            Fault("nodes", f"none in service with the shards {'+'.join(sorted(shards))}", "at least one")
            for shards in sorted(self.rules.replica_sets - _served_sets(after), key=sorted)
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
    """Values of all nodes after the edits."""
    edited = {edit.name: edit.new for edit in edits if split_name(edit.name)[0] == NODE}
    kept = [value for name, value in values.items() if name not in edited and split_name(name)[0] == NODE]
    return kept + [value for value in edited.values() if value is not None]


def _list_complete_after(values: Mapping[str, bytes], edits: Iterable[Edit]) -> bool:
    """Whether the list of distributed nodes is complete after the edits."""
    value = values.get(NODE_LIST)
    for edit in edits:
        if edit.name == NODE_LIST:
            value = edit.new
    return value is None or _list_decoder.decode(value).whole


def _served_sets(nodes: Iterable[bytes]) -> set[frozenset[str]]:
    """Replica sets with a node in service."""
    entries = map(_node_decoder.decode, nodes)
    return {frozenset(entry.shards) for entry in entries if entry.phase == READY}
