"""Maps with versions: what a map says, checks of a proposed one, what differs, which versions are in use.

Pure. A version's shard numbers follow the module's rule as ``ShardMap`` does, each version by itself: the
same number may name another shard in the next version, so a number is only ever read beside its version.
"""

import hashlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from quincepath.shards.shardmap import ShardMap

MAX_SHARDS = 4096  # of one map
MAX_VALUES = 200_000  # of one map
MAX_NAME_BYTES = 256  # of a name or a value, as UTF-8

MapEntry = tuple[str, str, tuple[str, ...]]  # shard, its replica set, the label values that it holds


@dataclass(slots=True, frozen=True)
class MapVersion:
    """One version of the shard map. ``number`` grows by one from version to version, from 1."""

    number: int
    label: str
    entries: tuple[MapEntry, ...]
    unlabelled_anywhere: bool = True

    @property
    def digest(self) -> str:
        """32 hex digits of what the map says, without its number: two that say the same have the same."""
        said = msgspec.json.encode((self.label, self.unlabelled_anywhere, self.entries))
        return hashlib.blake2b(said, digest_size=16).hexdigest()

    def to_shard_map(self, cells: Mapping[str, int] | None = None) -> ShardMap:
        """``cells`` as ``ShardMap`` takes them."""
        return ShardMap(self.label, self.entries, self.unlabelled_anywhere, cells)

    def sets(self) -> dict[str, tuple[str, ...]]:
        """Shards by replica set, both in the map's order."""
        found: dict[str, list[str]] = {}
        for name, group, _values in self.entries:
            found.setdefault(group, []).append(name)
        return {group: tuple(names) for group, names in found.items()}

    def places(self) -> dict[str, tuple[str, str]]:
        """Value -> (shard, replica set)."""
        return {value: (name, group) for name, group, values in self.entries for value in values}


@dataclass(slots=True, frozen=True)
class MapProblem:
    """Why a map cannot be used: ``place`` in it, the ``value`` found there, what was ``expected``."""

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.value}; expected {self.expected}"


def _name_faults(place: str, text: str) -> list[MapProblem]:
    if text and len(text.encode()) <= MAX_NAME_BYTES:
        return []
    return [MapProblem(place, repr(text[:40]), f"1 to {MAX_NAME_BYTES} bytes")]


def map_problems(
    new: MapVersion, old: MapVersion | None = None, may_lose: frozenset[str] = frozenset()
) -> list[MapProblem]:
    """All that is wrong with a map, first by itself, then as what follows ``old``; at most 100 faults.

    ``may_lose``: values of the old map that the new one may leave out; any other that is left out is a fault,
    since queries for it would be answered as if it had no series.
    """
    found: list[MapProblem] = []
    if not new.entries or len(new.entries) > MAX_SHARDS:
        found.append(MapProblem("entries", f"{len(new.entries)} shards", f"1 to {MAX_SHARDS}"))
    total = sum(len(values) for _name, _group, values in new.entries)
    if total > MAX_VALUES:
        found.append(MapProblem("entries", f"{total} values", f"at most {MAX_VALUES}"))
    found += _name_faults("label", new.label)
    names: dict[str, int] = {}
    owner: dict[str, str] = {}
    for index, (name, group, values) in enumerate(new.entries):
        place = f"entries[{index}]"
        found += _name_faults(f"{place}.name", name) + _name_faults(f"{place}.set", group)
        if name in names:
            found.append(
                MapProblem(f"{place}.name", repr(name), f"a name other than that of entries[{names[name]}]")
            )
        names.setdefault(name, index)
        if not values:
            found.append(MapProblem(f"{place}.values", "none", "at least one value"))
        for value in values:
            if len(found) >= 100:
                return found[:100]
            found += _name_faults(f"{place}.values", value)
            if value in owner:
                found.append(
                    MapProblem(f"{place}.values", repr(value), f"a value not in shard {owner[value]!r}")
                )
            owner.setdefault(value, name)
    if old is not None:
        found += _as_next(new, old, owner.keys() | may_lose)
    return found[:100]


def _as_next(new: MapVersion, old: MapVersion, placed: frozenset[str] | set[str]) -> list[MapProblem]:
    found = []
    if new.number != old.number + 1:
        found.append(
            MapProblem("number", str(new.number), f"{old.number + 1}, the one after the current version")
        )
    if new.label != old.label:
        found.append(MapProblem("label", repr(new.label), f"{old.label!r} as in version {old.number}"))
    if new.unlabelled_anywhere != old.unlabelled_anywhere:
        found.append(
            MapProblem("unlabelled", str(new.unlabelled_anywhere), f"{old.unlabelled_anywhere} as before")
        )
    if new.digest == old.digest:
        found.append(
            MapProblem("entries", "the same as now", f"something that differs from version {old.number}")
        )
    for name, _group, values in old.entries:
        lost = sorted(value for value in values if value not in placed)
        if lost:
            found.append(
                MapProblem(f"values of {name!r}", f"{len(lost)} left out: {', '.join(lost[:3])}", "a shard")
            )
    return found


@dataclass(slots=True, frozen=True)
class Move:
    """A value whose shard or replica set is another: each as (shard, set)."""

    value: str
    before: tuple[str, str]
    after: tuple[str, str]


@dataclass(slots=True, frozen=True)
class Difference:
    """From one map to the next. ``needs``: by set, the values that its holders must get before it is used."""

    moves: tuple[Move, ...]
    added: tuple[str, ...]
    lost: tuple[str, ...]
    splits: dict[str, tuple[str, ...]]  # old shard -> the shards that its values go to, where several
    merges: dict[str, tuple[str, ...]]  # new shard -> the shards that its values come from, where several
    new_sets: tuple[str, ...]
    gone_sets: tuple[str, ...]
    needs: dict[str, dict[str, tuple[str, ...]]]  # set -> shard -> values that the set had not
    numbers_kept: bool  # the sets and their order are the same: the module's cells mean the same

    def needed_by(self, holders: Mapping[str, str]) -> dict[str, tuple[str, ...]]:
        """Holder -> the shards that it must get. ``holders``: name -> its replica set in the new map."""
        found = {name: tuple(self.needs.get(group, {})) for name, group in sorted(holders.items())}
        return {name: shards for name, shards in found.items() if shards}


def difference(old: MapVersion, new: MapVersion) -> Difference:
    """What changes from ``old`` to ``new``; values in the new map's order."""
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
    olds, news = list(old.sets()), list(new.sets())
    return Difference(
        moves=tuple(Move(v, before[v], at) for v, at in after.items() if v in before and before[v] != at),
        added=tuple(v for v in after if v not in before),
        lost=tuple(v for v in before if v not in after),
        splits={name: tuple(found) for name, found in targets.items() if len(found) > 1},
        merges={name: tuple(found) for name, found in sources.items() if len(found) > 1},
        new_sets=tuple(group for group in news if group not in olds),
        gone_sets=tuple(group for group in olds if group not in news),
        needs={g: {name: tuple(vs) for name, vs in shards.items()} for g, shards in needs.items()},
        numbers_kept=olds == news,
    )


@dataclass(slots=True)
class MapVersions:
    """The versions in use. A query holds the one it began with until its merge is done.

    ``max_versions`` at once: when there are as many, ``adopt`` answers False until an old one has no query
    left. ``max_queries`` holding at once: when there are as many, ``hold`` answers None and the query is to
    be refused as overload. A version that no query holds and that is not current is dropped.
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
        """Of the versions that are kept, ascending."""
        return tuple(sorted(self._kept))

    def adopt(self, version: MapVersion) -> bool:
        """Make it current for queries that begin from now on. ValueError unless its number is larger."""
        if version.number <= self.current.number:
            raise ValueError(
                f"version {version.number}: expected a number above {self.current.number}, the current"
            )
        if len(self._kept) >= self.max_versions and self._count[self.current.number]:
            return False
        left, self.current = self.current.number, version
        self._kept[version.number] = version
        self._drop(left)
        return True

    def hold(self, query: int) -> MapVersion | None:
        """The version of this query: the current one at its first call, the same at each later one."""
        if query not in self._held:
            if len(self._held) >= self.max_queries:
                return None
            self._held[query] = self.current.number
            self._count[self.current.number] += 1
        return self._kept[self._held[query]]

    @property
    def full(self) -> bool:
        """Whether no further query can hold a version."""
        return len(self._held) >= self.max_queries

    def holds(self, query: int) -> bool:
        """Whether it has begun and not ended."""
        return query in self._held

    def older(self) -> int:
        """Queries that hold a version before the current one."""
        return len(self._held) - self._count[self.current.number]

    def release(self, query: int) -> int | None:
        """The query has ended; the number of the version that is dropped for it. A second time: nothing."""
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
