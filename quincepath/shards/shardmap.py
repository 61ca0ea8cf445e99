"""Which shards a query touches, by its matchers on the shard label, and what a part asks there.

Pure. Shard numbers are the module's: a shard of replica set g (a *cell* there) has a number that leaves g
modulo the number of sets, so the module's rule "shard s is held by the nodes of cell s" holds for any sets.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

Accepts = Callable[[str], bool]


@dataclass(slots=True, frozen=True)
class Shard:
    """One shard; ``exclusive`` tells that its holders hold no other."""

    number: int
    name: str
    cell: int
    values: tuple[str, ...]
    exclusive: bool


@dataclass(slots=True, frozen=True)
class TouchedShard:
    """A shard that a query touches: label values there that pass; ``unlabelled``: series without it."""

    shard: Shard
    values: tuple[str, ...]
    unlabelled: bool


class ShardMap:
    """A fixed map. ``entries`` are (name, set, values) in order; ``unlabelled_anywhere`` as configured.

    ``cells``: the numbers of all sets, where they stay over versions of the map; a set that has none there is
    a ``ValueError``. Then no holder counts as holding one shard alone: it may have those of two versions.
    """

    def __init__(
        self,
        label: str,
        entries: Sequence[tuple[str, str, Sequence[str]]],
        unlabelled_anywhere: bool,
        cells: Mapping[str, int] | None = None,
    ) -> None:
        self.label, self.unlabelled_anywhere = label, unlabelled_anywhere
        members: dict[str, list[str]] = {}
        for name, group, _values in entries:
            members.setdefault(group, []).append(name)
        self.cells = {group: cell for cell, group in enumerate(members)} if cells is None else dict(cells)
        unknown = sorted(members.keys() - self.cells.keys())
        if unknown:
            raise ValueError(f"replica set {unknown[0]!r}: expected one of {', '.join(sorted(self.cells))}")
        self.shards: list[Shard] = []
        for name, group, values in entries:
            cell, place = self.cells[group], members[group].index(name)
            exclusive = cells is None and len(members[group]) == 1
            number = cell + place * len(self.cells)
            self.shards.append(Shard(number, name, cell, tuple(values), exclusive))
        self.by_number = {shard.number: shard for shard in self.shards}
        self._cell_of = {frozenset(names): self.cells[group] for group, names in members.items()}

    def cell_of_shard(self, number: int) -> int:
        """Of a shard of this map, or of any other with the same cells."""
        return number % len(self.cells)

    def cell_of_set(self, names: Sequence[str]) -> int | None:
        """The cell whose shards are exactly these; None where there is no such set."""
        return self._cell_of.get(frozenset(names))

    def touched(self, matchers: Sequence[Accepts]) -> list[TouchedShard]:
        """Shards that may hold series passing all of these matchers on the shard label, by number.

        A series without the label counts as having the empty value, by the rules of the protocol: a matcher
        that accepts the empty string prunes nothing where such series may stand anywhere.
        """
        empty = self.unlabelled_anywhere and all(accepts("") for accepts in matchers)
        found = []
        for shard in self.shards:
            values = tuple(v for v in shard.values if all(accepts(v) for accepts in matchers))
            if values or empty:
                found.append(TouchedShard(shard, values, empty))
        return sorted(found, key=lambda touch: touch.shard.number)
