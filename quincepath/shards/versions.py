"""Versioned shard maps: content, validation of a proposed map, differences, and the versions in use.

Pure. Shard numbers follow the decision module's rule as in ``ShardMap``, separately in each version: the same
number may mean another shard in the next version, so a number is meaningful only together with its version.
"""

import hashlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from quincepath.shards.shardmap import ShardMap

MAX_SHARDS = 4096  # per map
MAX_VALUES = 200_000  # per map
MAX_NAME_BYTES = 256  # of a name or a value in UTF-8

MapEntry = tuple[str, str, tuple[str, ...]]  # shard, replica set, label values


@dataclass(slots=True, frozen=True)
class MapVersion:
    """One version of the shard map. ``number`` starts at 1 and grows by one with each version."""

    number: int
    label: str
    entries: tuple[MapEntry, ...]
    unlabelled_anywhere: bool = True

    @property
    def digest(self) -> str:
        """32 hex digits, a hash of the content without the number: equal content has the same digest."""
        content = msgspec.json.encode((self.label, self.unlabelled_anywhere, self.entries))
        return hashlib.blake2b(content, digest_size=16).hexdigest()

    def to_shard_map(self, cells: Mapping[str, int] | None = None) -> ShardMap:
        """This version as a ``ShardMap``; ``cells`` as there."""
        return ShardMap(self.label, self.entries, self.unlabelled_anywhere, cells)

    def sets(self) -> dict[str, tuple[str, ...]]:
        """Shard names by replica set, both in the order of the map."""
        found: dict[str, list[str]] = {}
        for name, group, _values in self.entries:
            found.setdefault(group, []).append(name)
        return {group: tuple(names) for group, names in found.items()}

    def places(self) -> dict[str, tuple[str, str]]:
        """Label value -> (shard, replica set)."""
        return {value: (name, group) for name, group, values in self.entries for value in values}


@dataclass(slots=True, frozen=True)
class MapProblem:
    """Why a map is invalid: the ``place`` in it, the ``value`` found there, and what was ``expected``."""

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.value}; expected {self.expected}"


def _name_problems(place: str, text: str) -> list[MapProblem]:
    if text and len(text.encode()) <= MAX_NAME_BYTES:
        return []
    return [MapProblem(place, repr(text[:40]), f"1 to {MAX_NAME_BYTES} bytes")]


def map_problems(
    new: MapVersion, old: MapVersion | None = None, may_lose: frozenset[str] = frozenset()
) -> list[MapProblem]:
    """All problems of a map, first on its own, then as the successor of ``old``; at most 100.

    ``may_lose``: values of the old map that the new one may omit. Omitting any other value is a problem,
    because queries for it would be answered as if it had no series.
    """
    problems: list[MapProblem] = []
    if not new.entries or len(new.entries) > MAX_SHARDS:
        problems.append(MapProblem("entries", f"{len(new.entries)} shards", f"1 to {MAX_SHARDS}"))
    total = sum(len(values) for _name, _group, values in new.entries)
    if total > MAX_VALUES:
        problems.append(MapProblem("entries", f"{total} values", f"at most {MAX_VALUES}"))
    problems += _name_problems("label", new.label)
    index_of: dict[str, int] = {}
    shard_of: dict[str, str] = {}
    for index, (name, group, values) in enumerate(new.entries):
        place = f"entries[{index}]"
        problems += _name_problems(f"{place}.name", name) + _name_problems(f"{place}.set", group)
        if name in index_of:
            problems.append(
                MapProblem(
                    f"{place}.name", repr(name), f"a name other than that of entries[{index_of[name]}]"
                )
            )
        index_of.setdefault(name, index)
        if not values:
            problems.append(MapProblem(f"{place}.values", "none", "at least one value"))
        for value in values:
            if len(problems) >= 100:
                return problems[:100]
            problems += _name_problems(f"{place}.values", value)
            if value in shard_of:
                problems.append(
                    MapProblem(f"{place}.values", repr(value), f"a value not in shard {shard_of[value]!r}")
                )
            shard_of.setdefault(value, name)
    if old is not None:
        problems += _successor_problems(new, old, shard_of.keys() | may_lose)
    return problems[:100]


def _successor_problems(
    new: MapVersion, old: MapVersion, placed: frozenset[str] | set[str]
) -> list[MapProblem]:
    problems = []
    if new.number != old.number + 1:
        problems.append(
            MapProblem("number", str(new.number), f"{old.number + 1}, the one after the current version")
        )
    if new.label != old.label:
        problems.append(MapProblem("label", repr(new.label), f"{old.label!r} as in version {old.number}"))
    if new.unlabelled_anywhere != old.unlabelled_anywhere:
        problems.append(
            MapProblem("unlabelled", str(new.unlabelled_anywhere), f"{old.unlabelled_anywhere} as before")
        )
    if new.digest == old.digest:
        problems.append(
            MapProblem("entries", "the same as now", f"something that differs from version {old.number}")
        )
    for name, _group, values in old.entries:
        lost = sorted(value for value in values if value not in placed)
        if lost:
            problems.append(
                MapProblem(f"values of {name!r}", f"{len(lost)} left out: {', '.join(lost[:3])}", "a shard")
            )
    return problems


@dataclass(slots=True, frozen=True)
class Move:
    """A value whose shard or replica set changed, each given as (shard, set)."""

    value: str
    before: tuple[str, str]
    after: tuple[str, str]


@dataclass(slots=True, frozen=True)
class Difference:
    """Changes between two maps. ``needs``: by set, the values that its holders must load before use."""

    moves: tuple[Move, ...]
    added: tuple[str, ...]
    lost: tuple[str, ...]
    splits: dict[str, tuple[str, ...]]  # old shard -> the shards that get its values, if several
    merges: dict[str, tuple[str, ...]]  # new shard -> the shards its values come from, if several
    new_sets: tuple[str, ...]
    gone_sets: tuple[str, ...]
    needs: dict[str, dict[str, tuple[str, ...]]]  # set -> shard -> values new to the set
    numbers_kept: bool  # the same sets in the same order, so cell numbers keep their meaning

    def needed_by(self, holders: Mapping[str, str]) -> dict[str, tuple[str, ...]]:
        """Holder -> the shards it must load. ``holders``: name -> its replica set in the new map."""
        shards_of = {name: tuple(self.needs.get(group, {})) for name, group in sorted(holders.items())}
        return {name: shards for name, shards in shards_of.items() if shards}


def difference(old: MapVersion, new: MapVersion) -> Difference:
    """The changes from ``old`` to ``new``, with values in the order of the new map."""
    before, after = old.places(), new.places()
    sources: dict[str, dict[str, None]] = {}
    targets: dict[str, dict[str, None]] = {}
    needs: dict[str, dict[str, list[str]]] = {}
    for value, (shard, group) in after.items():
        if value in before:
            sources.setdefault(shard, {})[before[value][0]] = None
            targets.setdefault(before[value][0], {})[shard] = None
        if value not in before or before[value][1] != group:
            needs.setdefault(group, {}).setdefault(shard, []).append(value)
    old_sets, new_sets = list(old.sets()), list(new.sets())
    return Difference(
        moves=tuple(Move(v, before[v], at) for v, at in after.items() if v in before and before[v] != at),
        added=tuple(v for v in after if v not in before),
        lost=tuple(v for v in before if v not in after),
        splits={name: tuple(found) for name, found in targets.items() if len(found) > 1},
        merges={name: tuple(found) for name, found in sources.items() if len(found) > 1},
        new_sets=tuple(group for group in new_sets if group not in old_sets),
        gone_sets=tuple(group for group in old_sets if group not in new_sets),
        needs={g: {name: tuple(vs) for name, vs in shards.items()} for g, shards in needs.items()},
        numbers_kept=old_sets == new_sets,
    )


@dataclass(slots=True)
class MapVersions:
    """The versions in use. A query holds the version it started with until its results are merged.

    At most ``max_versions`` exist at once: at that limit ``adopt`` returns False until an old one has no
    queries left. At most ``max_queries`` hold versions at once: at that limit ``hold`` returns None, and the
    query must be refused as overload. A version that is neither current nor held by a query is dropped.
    """

    current: MapVersion
    max_versions: int = 3
    max_queries: int = 100_000
    _kept: dict[int, MapVersion] = field(default_factory=dict)
    _held: dict[int, int] = field(default_factory=dict)  # query -> version
    _count: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._kept[self.current.number] = self.current

    def numbers(self) -> tuple[int, ...]:
        """The numbers of the kept versions, ascending."""
        return tuple(sorted(self._kept))

    def adopt(self, version: MapVersion) -> bool:
        """Make it current for queries that start from now on. ValueError unless its number is larger."""
        if version.number <= self.current.number:
            raise ValueError(
                f"version {version.number}: expected a number above {self.current.number}, the current one"
            )
        if len(self._kept) >= self.max_versions and self._count[self.current.number]:
            return False
        previous, self.current = self.current.number, version
        self._kept[version.number] = version
        self._drop(previous)
        return True

    def hold(self, query: int) -> MapVersion | None:
        """The version of this query: the current one on its first call, the same one on later calls."""
        if query not in self._held:
            if len(self._held) >= self.max_queries:
                return None
            self._held[query] = self.current.number
            self._count[self.current.number] += 1
        return self._kept[self._held[query]]

    @property
    def full(self) -> bool:
        """Whether no more queries can hold a version."""
        return len(self._held) >= self.max_queries

    def holds(self, query: int) -> bool:
        """Whether this query holds a version."""
        return query in self._held

    def older(self) -> int:
        """Number of queries that hold a version older than the current one."""
        return len(self._held) - self._count[self.current.number]

    def release(self, query: int) -> int | None:
        """End a query; returns the number of a version dropped by this, if any. Repeated calls do nothing."""
        number = self._held.pop(query, None)
        if number is None:
            return None
        self._count[number] -= 1
        return number if self._drop(number) else None

    def _drop(self, number: int) -> bool:
        if number == self.current.number or self._count[number]:
            return False
        del self._kept[number], self._count[number]
        return True
