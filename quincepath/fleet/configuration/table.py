"""The resources at one revision, and what stands in the way of an edit: old value, schema, other resources.

Costs by what an edit touches, not by the size of the table: 12,000 nodes are held, one is changed.
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

MAX_RESOURCES = 20_000  # 12,000 nodes, and classes and tenants beside them
MAX_TABLE_BYTES = 16 << 20  # of all names and values


@dataclass(slots=True, frozen=True)
class Rules:
    """What a broker knows besides the values. ``replica_sets``: its shard map's; None: not looked at."""

    replica_sets: frozenset[frozenset[str]] | None = None


NO_RULES = Rules()


def apply_edits(values: dict[str, bytes], edits: Iterable[Edit]) -> None:
    """Put the new values in place of the old, unchecked."""
    for edit in edits:
        if edit.new is None:
            values.pop(edit.name, None)
        else:
            values[edit.name] = edit.new


def merge_deltas(deltas: Sequence[Delta]) -> tuple[Edit, ...]:
    """Several deltas in order as one: of each resource the first old and the last new value."""
    first: dict[str, bytes | None] = {}
    last: dict[str, bytes | None] = {}
    for delta in deltas:
        for edit in delta.edits:
            first.setdefault(edit.name, edit.old)
            last[edit.name] = edit.new
    return tuple(Edit(name, first[name], last[name]) for name in last if first[name] != last[name])


def diff_values(values: Mapping[str, bytes], wanted: Mapping[str, bytes]) -> tuple[Edit, ...]:
    """The edits that lead from one set of values to another."""
    found = [Edit(name, old, None) for name, old in values.items() if name not in wanted]
    found += [Edit(name, values.get(name), new) for name, new in wanted.items() if values.get(name) != new]
    return tuple(found)


class ResourceTable:
    """Checked resources. ``faults`` and ``conflicts`` say what stands in the way; ``apply`` asks no more."""

    def __init__(self, values: Mapping[str, bytes] | None = None) -> None:
        """Values are taken as they are: they were checked when they were committed."""
        self.values: dict[str, bytes] = {}
        self._address_of: dict[str, str] = {}  # by node resource
        self._node_at: dict[str, str] = {}  # by address
        self._classes = 0
        self.bytes = 0  # of all names and values
        if values:
            self.apply(Edit(name, None, value) for name, value in values.items())

    def conflicts(self, edits: Iterable[Edit]) -> list[Fault]:
        """Compare-and-swap: the resources whose value is not the old one that the edit names."""
        return [
            Fault(
                edit.name,
                format_value(found),
                f"{format_value(edit.old)}, the old value that the change names",
                edit.name,
            )
            for edit in edits
            if (found := self.values.get(edit.name)) != edit.old
        ]

    def faults(self, edits: Sequence[Edit], rules: Rules = NO_RULES) -> list[Fault]:
        """What the new values break: the schema, a bound, or what holds between resources. Empty: nothing."""
        found: list[Fault] = []
        nodes: dict[str, Holder] = {}
        for edit in edits:
            if edit.new is None:
                continue
            try:
                model = decode_resource(edit.name, edit.new)
            except ChangeError as error:
                found += error.faults
                continue
            if isinstance(model, Holder):
                nodes[edit.name] = model
        return found + self._between(edits) + self._address_faults(edits, nodes) + _set_faults(nodes, rules)

    def _between(self, edits: Sequence[Edit]) -> list[Fault]:
        """Counts over the table."""
        found = []
        total = len(self.values) + sum(_grown(self.values, edit) for edit in edits)
        if total > MAX_RESOURCES:
            found.append(Fault("resources", str(total), f"at most {MAX_RESOURCES}"))
        size = self.bytes + sum(_bytes_grown(self.values, edit) for edit in edits)
        if size > MAX_TABLE_BYTES:
            found.append(Fault("resources", f"{size} bytes", f"at most {MAX_TABLE_BYTES}"))
        classes = [edit for edit in edits if split_name(edit.name)[0] == CLASS]
        if self._classes and self._classes + sum(_grown(self.values, edit) for edit in classes) < 1:
            found.append(Fault("class/", "the last class is removed", "at least one class"))
        return found

    def _address_faults(self, edits: Sequence[Edit], nodes: Mapping[str, Holder]) -> list[Fault]:
        """Two nodes at one address, among the edits or with one that is held."""
        edited = {edit.name for edit in edits}
        taken: dict[str, str] = {}
        found = []
        for name, holder in nodes.items():
            address = node_address(holder)
            other = taken.get(address) or self._node_at.get(address)
            if other is not None and other != name and (other not in edited or address in taken):
                expected = f"an address of its own; {other} has it"
                found.append(Fault(f"{name}.url", address, expected, name))
            taken[address] = name
        return found

    def apply(self, edits: Iterable[Edit]) -> None:
        """Put the new values in place. Only after ``faults`` and ``conflicts`` had nothing to say."""
        for edit in edits:
            self._forget(edit.name)
            if edit.new is not None:
                self._take(edit.name, edit.new)

    def _forget(self, name: str) -> None:
        old = self.values.pop(name, None)
        if old is None:
            return
        self.bytes -= len(name) + len(old)
        self._classes -= split_name(name)[0] == CLASS
        address = self._address_of.pop(name, None)
        if address is not None and self._node_at.get(address) == name:
            del self._node_at[address]

    def _take(self, name: str, value: bytes) -> None:
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


def _grown(values: Mapping[str, bytes], edit: Edit) -> int:
    """By how many resources an edit changes their number."""
    return (edit.new is not None) - (edit.name in values)


def _bytes_grown(values: Mapping[str, bytes], edit: Edit) -> int:
    """By how many bytes an edit changes the table."""
    old = values.get(edit.name)
    before = 0 if old is None else len(edit.name) + len(old)
    after = 0 if edit.new is None else len(edit.name) + len(edit.new)
    return after - before


def _set_faults(nodes: Mapping[str, Holder], rules: Rules) -> list[Fault]:
    """Nodes whose shards are not those of one replica set of the broker's shard map."""
    if rules.replica_sets is None:
        return []
    return [
        Fault(f"{name}.shards", "+".join(holder.shards), "a whole replica set of the shard map in use", name)
        for name, holder in nodes.items()
        if frozenset(holder.shards) not in rules.replica_sets
    ]
