"""The resources at one revision, and the validation of edits: old values, schema, other resources.

The cost grows with the resources that an edit changes, not with the table: it holds 12,000 nodes while a
change concerns one.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from quincepath.config.schema import Holder
from quincepath.fleet.configuration.changes import ChangeError, Delta, Edit, Fault
from quincepath.fleet.configuration.resources import (
    CLASS,
    NODE,
    address_of_value,
    decode_resource,
    format_value,
    node_address,
    split_name,
)

MAX_RESOURCES = 20_000  # 12,000 nodes, and the classes and tenants
MAX_TABLE_BYTES = 16 << 20  # of all names and values


@dataclass(slots=True, frozen=True)
class Rules:
    """What values are validated against. ``replica_sets``: those of the broker's shard map; None: skipped."""

    replica_sets: frozenset[frozenset[str]] | None = None


NO_RULES = Rules()


def apply_edits(values: dict[str, bytes], edits: Iterable[Edit]) -> None:
    """Replace the old values by the new ones, without validation."""
    for edit in edits:
        if edit.new is None:
            values.pop(edit.name, None)
        else:
            values[edit.name] = edit.new


def merge_deltas(deltas: Sequence[Delta]) -> tuple[Edit, ...]:
    """Combine consecutive deltas: of each resource the first old and the last new value."""
    first: dict[str, bytes | None] = {}
    last: dict[str, bytes | None] = {}
    for delta in deltas:
        for edit in delta.edits:
            first.setdefault(edit.name, edit.old)
            last[edit.name] = edit.new
    return tuple(Edit(name, first[name], last[name]) for name in last if first[name] != last[name])


def diff_values(values: Mapping[str, bytes], wanted: Mapping[str, bytes]) -> tuple[Edit, ...]:
    """The edits that turn ``values`` into ``wanted``."""
    edits = [Edit(name, old, None) for name, old in values.items() if name not in wanted]
    edits += [Edit(name, values.get(name), new) for name, new in wanted.items() if values.get(name) != new]
    return tuple(edits)


class ResourceTable:
    """Validated resources. ``faults`` and ``conflicts`` validate edits; ``apply`` does not."""

    def __init__(self, values: Mapping[str, bytes] | None = None) -> None:
        """Values are not validated here: they were when they were committed."""
        self.values: dict[str, bytes] = {}
        self._address_of: dict[str, str] = {}  # by node resource
        self._node_at: dict[str, str] = {}  # by address
        self._classes = 0
        self.bytes = 0  # of all names and values
        if values:
            self.apply(Edit(name, None, value) for name, value in values.items())

    def conflicts(self, edits: Iterable[Edit]) -> list[Fault]:
        """Compare-and-swap: the resources whose current value is not the old value that the edit states."""
        return [
            Fault(
                edit.name,
                format_value(current),
                f"{format_value(edit.old)}, the old value that the change names",
                edit.name,
            )
            for edit in edits
            if (current := self.values.get(edit.name)) != edit.old
        ]

    def faults(self, edits: Sequence[Edit], rules: Rules = NO_RULES) -> list[Fault]:
        """Violations of the schema, of a bound, or of constraints between resources. Empty: none."""
        faults: list[Fault] = []
        nodes: dict[str, Holder] = {}
        for edit in edits:
            if edit.new is None:
                continue
            try:
                model = decode_resource(edit.name, edit.new)
            except ChangeError as error:
                faults += error.faults
                continue
            if isinstance(model, Holder):
                nodes[edit.name] = model
        return (
            faults
            + self._limit_faults(edits)
            + self._address_faults(edits, nodes)
            + _replica_set_faults(nodes, rules)
        )

    def _limit_faults(self, edits: Sequence[Edit]) -> list[Fault]:
        """Violations of the limits of the whole table."""
        faults = []
        total = len(self.values) + sum(_count_change(self.values, edit) for edit in edits)
        if total > MAX_RESOURCES:
            faults.append(Fault("resources", str(total), f"at most {MAX_RESOURCES}"))
        size = self.bytes + sum(_size_change(self.values, edit) for edit in edits)
        if size > MAX_TABLE_BYTES:
            faults.append(Fault("resources", f"{size} bytes", f"at most {MAX_TABLE_BYTES}"))
        classes = [edit for edit in edits if split_name(edit.name)[0] == CLASS]
        if self._classes and self._classes + sum(_count_change(self.values, edit) for edit in classes) < 1:
            faults.append(Fault("class/", "the last class is removed", "at least one class"))
        return faults

    def _address_faults(self, edits: Sequence[Edit], nodes: Mapping[str, Holder]) -> list[Fault]:
        """Nodes whose address another node has, among the edits or in the table."""
        edited = {edit.name for edit in edits}
        edited_addresses: dict[str, str] = {}
        faults = []
        for name, holder in nodes.items():
            address = node_address(holder)
            other = edited_addresses.get(address) or self._node_at.get(address)
            if other is not None and other != name and (other not in edited or address in edited_addresses):
                expected = f"an address of its own; {other} has it"
                faults.append(Fault(f"{name}.url", address, expected, name))
            edited_addresses[address] = name
        return faults

    def apply(self, edits: Iterable[Edit]) -> None:
        """Apply edits. Only valid where ``faults`` and ``conflicts`` were empty."""
        for edit in edits:
            self._remove(edit.name)
            if edit.new is not None:
                self._put(edit.name, edit.new)

    def _remove(self, name: str) -> None:
        old = self.values.pop(name, None)
        if old is None:
            return
        self.bytes -= len(name) + len(old)
        self._classes -= split_name(name)[0] == CLASS
        address = self._address_of.pop(name, None)
        if address is not None and self._node_at.get(address) == name:
            del self._node_at[address]

    def _put(self, name: str, value: bytes) -> None:
        self.values[name] = value
        self.bytes += len(name) + len(value)
        kind = split_name(name)[0]
        self._classes += kind == CLASS
        if kind != NODE:
            return
        address = address_of_value(value)
        if address is not None:
            self._address_of[name] = address
            self._node_at[address] = name


def _count_change(values: Mapping[str, bytes], edit: Edit) -> int:
    """By how much an edit changes the number of resources."""
    return (edit.new is not None) - (edit.name in values)


def _size_change(values: Mapping[str, bytes], edit: Edit) -> int:
    """By how many bytes an edit changes the size of the table."""
    old = values.get(edit.name)
    old_size = 0 if old is None else len(edit.name) + len(old)
    new_size = 0 if edit.new is None else len(edit.name) + len(edit.new)
    return new_size - old_size


def _replica_set_faults(nodes: Mapping[str, Holder], rules: Rules) -> list[Fault]:
    """Nodes whose shards are not exactly one replica set of the broker's shard map."""
    if rules.replica_sets is None:
        return []
    return [
        Fault(f"{name}.shards", "+".join(holder.shards), "a whole replica set of the shard map in use", name)
        for name, holder in nodes.items()
        if frozenset(holder.shards) not in rules.replica_sets
    ]
