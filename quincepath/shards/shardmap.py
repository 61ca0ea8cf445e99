"""Which shards a query touches, by its matchers on the shard label, and which label values match there.

Pure. Shard numbers follow the decision module's rule: a shard of replica set g (a *cell* in the module) has a
number that is g modulo the number of sets, so "shard s is held by the nodes of cell s" is true for any sets.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

Accepts = Callable[[str], bool]


@dataclass(slots=True, frozen=True)
class Shard:
    """One shard. ``exclusive``: its holders hold no other shard."""

    number: int
    name: str
    cell: int
    values: tuple[str, ...]
    exclusive: bool


@dataclass(slots=True, frozen=True)
class TouchedShard:
    """A shard that a query touches: matching label values; ``unlabelled``: also series without the label."""

    shard: Shard
    values: tuple[str, ...]
    unlabelled: bool


class ShardMap:
    """An immutable map. ``entries`` are (name, set, values) in order; ``unlabelled_anywhere`` as configured.

    ``cells``: the numbers of all sets, if they are fixed across versions of the map; a set without a number
    there raises ``ValueError``. With ``cells`` no shard counts as exclusive, because a holder may hold shards
    of two versions.
    """

    def __init__(
        self,
        label: str,
        entries: Sequence[tuple[str, str, Sequence[str]]],
        unlabelled_anywhere: bool,
        cells: Mapping[str, int] | None = None,
    ) -> None:
        self.label, self.unlabelled_anywhere = label, unlabelled_anywhere
        names_by_set: dict[str, list[str]] = {}
        for name, group, _values in entries:
            names_by_set.setdefault(group, []).append(name)
        self.cells = (
            {group: cell for cell, group in enumerate(names_by_set)} if cells is None else dict(cells)
        )
        unknown = sorted(names_by_set.keys() - self.cells.keys())
        if unknown:
            raise ValueError(f"replica set {unknown[0]!r}: expected one of {', '.join(sorted(self.cells))}")
        self.shards: list[Shard] = []
        for name, group, values in entries:
            cell, index = self.cells[group], names_by_set[group].index(name)
            exclusive = cells is None and len(names_by_set[group]) == 1
            number = cell + index * len(self.cells)
            self.shards.append(Shard(number, name, cell, tuple(values), exclusive))
        self.by_number = {shard.number: shard for shard in self.shards}
        self._cell_of = {frozenset(names): self.cells[group] for group, names in names_by_set.items()}

    def cell_of_shard(self, number: int) -> int:
        """The cell of a shard of this map, or of any map with the same cells."""
        return number % len(self.cells)

    def cell_of_set(self, names: Sequence[str]) -> int | None:
        """The cell whose shards are exactly these; None if there is no such set."""
        return self._cell_of.get(frozenset(names))

    def touched(self, matchers: Sequence[Accepts]) -> list[TouchedShard]:
        """Shards that may hold series matched by all of these matchers on the shard label, by number.

        By the rules of the protocol a series without the label has the empty value. If such series may be in
        any shard, a query whose matchers all accept the empty string touches every shard.
        """
        unlabelled = self.unlabelled_anywhere and all(accepts("") for accepts in matchers)
        touched = []
        for shard in self.shards:
            values = tuple(v for v in shard.values if all(accepts(v) for accepts in matchers))
            if values or unlabelled:
                touched.append(TouchedShard(shard, values, unlabelled))
        return sorted(touched, key=lambda item: item.shard.number)
