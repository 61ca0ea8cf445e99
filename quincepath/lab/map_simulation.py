"""Traffic and maps drawn by a seed, and what a map does to that traffic: queues of holders in virtual time.

Knows nothing of the forecast's model: each holder is a queue of its own with a few slots, a part goes to the
holder of its set that is free first, costs are drawn by part, a few parts are sent twice. Times in ns.
"""

import heapq
from bisect import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from quincepath.shards.versions import MapEntry, MapVersion

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class QueryClass:
    """Of ``share`` of the queries: ``least`` to ``most`` values (0: all), cost of a part in ns and bytes as
    (fixed, by value), the target in ns."""

    name: str
    share: float
    min_values: int
    max_values: int
    service: tuple[float, float]
    merged: tuple[float, float]
    target: int


CLASSES = (
    QueryClass("point", 0.75, 1, 2, (3.0 * MS, 6.0 * MS), (300, 900), 60 * MS),
    QueryClass("page", 0.22, 3, 10, (4.0 * MS, 8.0 * MS), (500, 4000), 250 * MS),
    QueryClass("wide", 0.03, 0, 0, (6.0 * MS, 3.0 * MS), (600, 1500), 1500 * MS),
)


@dataclass(slots=True, frozen=True)
class Traffic:
    """Values with popularity (cumulative) and cost, queries a second."""

    values: tuple[str, ...]
    popular: tuple[float, ...]
    costs: dict[str, float]
    rate: float


@dataclass(slots=True, frozen=True)
class Pair:
    """A traffic and two maps; ``change`` says what was done to the first."""

    seed: int
    change: str
    traffic: Traffic
    before: MapVersion
    after: MapVersion
    holders: dict[str, int]
    slots: int


@dataclass(slots=True)
class SimulatedQuery:
    """One query as it was: parts are (values, calls, service, took, bytes)."""

    at: int
    kind: QueryClass
    parts: list[tuple[tuple[str, ...], int, int, int, int]]
    took: int


@dataclass(slots=True)
class Run:
    """What was: the queries, and by holder (set, index) its calls and its work in ns."""

    queries_run: list[SimulatedQuery] = field(default_factory=list)
    calls: dict[tuple[str, int], int] = field(default_factory=dict)
    work: dict[tuple[str, int], int] = field(default_factory=dict)
    span: int = 1


def _values(traffic: Traffic, kind: QueryClass, random: Random) -> Iterable[str]:
    if not kind.max_values:
        return traffic.values
    max_values = min(random.randint(kind.min_values, kind.max_values), len(traffic.values))
    found: dict[str, None] = {}
    while len(found) < max_values:
        found[traffic.values[bisect(traffic.popular, random.random() * traffic.popular[-1])]] = None
    return found


def simulate(pair: Pair, version: MapVersion, queries: int, seed: int) -> Run:
    """So many queries through a map."""
    random, run, places = Random(seed), Run(), version.places()
    traffic = pair.traffic
    free = {(g, n): [0] * pair.slots for g in version.sets() for n in range(pair.holders[g])}
    run.calls, run.work = dict.fromkeys(free, 0), dict.fromkeys(free, 0)
    by_set = {g: [(g, n) for n in range(pair.holders[g])] for g in version.sets()}
    now = 0
    for _ in range(queries):
        now += int(random.expovariate(traffic.rate) * SECOND)
        kind = random.choices(CLASSES, [one.share for one in CLASSES])[0]
        touched: dict[tuple[str, str], list[str]] = {}
        for value in _values(traffic, kind, random):
            touched.setdefault(places[value], []).append(value)
        parts, last = [], 0
        for (_shard, group), values in touched.items():
            size = sum(traffic.costs[value] for value in values)
            service = int((kind.service[0] + kind.service[1] * size) * random.lognormvariate(-0.08, 0.4))
            merged = int((kind.merged[0] + kind.merged[1] * size) * random.lognormvariate(-0.02, 0.2))
            calls, took = 1 + (random.random() < 0.03), 0
            for holder in sorted(by_set[group], key=lambda h: (max(free[h][0], now), random.random()))[
                :calls
            ]:
                begin = max(now, free[holder][0])
                heapq.heapreplace(free[holder], begin + service)
                run.calls[holder] += 1
                run.work[holder] += service
                took = min(took or 1 << 62, begin + service - now + int(random.expovariate(1) * MS))
            parts.append((tuple(values), calls, service, took, merged))
            last = max(last, took)
        run.queries_run.append(
            SimulatedQuery(now, kind, parts, last + MS + sum(part[4] for part in parts) * 4)
        )
    run.span = max(1, now)
    return run


def _work(traffic: Traffic, version: MapVersion, random: Random, queries: int = 1500) -> dict[str, float]:
    """Work a query that comes to each set, in ns, as a mean of some queries."""
    places, found = version.places(), dict.fromkeys(version.sets(), 0.0)
    for _ in range(queries):
        kind = random.choices(CLASSES, [one.share for one in CLASSES])[0]
        seen = set()
        for value in _values(traffic, kind, random):
            if places[value] not in seen:
                found[places[value][1]] += kind.service[0] / queries
            seen.add(places[value])
            found[places[value][1]] += kind.service[1] * traffic.costs[value] / queries
    return found


def _chunks(values: tuple[str, ...], count: int) -> Iterator[tuple[str, ...]]:
    for index in range(min(count, len(values))):
        yield values[index::count]


CHANGES = (
    "split",
    "split to new sets",
    "move a shard",
    "hot values to one set",
    "merge",
    "spread",
    "new set",
)


def apply_change(
    entries: tuple[MapEntry, ...], change: str, hot: tuple[str, ...], random: Random
) -> tuple[MapEntry, ...]:
    """The map after a change."""
    found = list(entries)
    at = random.randrange(len(found))
    name, group, values = found[at]
    sets = sorted({entry[1] for entry in entries})
    if change in ("split", "split to new sets"):
        count = random.choice((2, 2, 3, 4, 8))
        pieces = list(_chunks(values, count))
        homes = [f"n{n}" if change != "split" and n else group for n in range(len(pieces))]
        found[at : at + 1] = [(f"{name}.{n}", homes[n], piece) for n, piece in enumerate(pieces)]
    elif change == "move a shard":
        found[at] = (name, random.choice([other for other in sets if other != group] or sets), values)
    elif change == "hot values to one set":
        moved = tuple(hot[: random.randint(1, 6)])
        found = [(n, g, tuple(v for v in vs if v not in moved)) for n, g, vs in found]
        found = [entry for entry in found if entry[2]]
        found.append(("hot", random.choice(sorted({entry[1] for entry in found})), moved))
    elif change == "merge":
        same = [entry for entry in found if entry[1] == group]
        found = [entry for entry in found if entry[1] != group]
        found.append((name, group, tuple(v for entry in same for v in entry[2])))
    elif change == "spread":
        every = [value for entry in entries for value in entry[2]]
        random.shuffle(every)
        cut = len(entries)
        found = [(n, g, tuple(every[index::cut])) for index, (n, g, _vs) in enumerate(entries)]
    else:
        taken = tuple(vs[-1] for _n, _g, vs in found if len(vs) > 1)
        found = [(n, g, tuple(v for v in vs if v not in taken)) for n, g, vs in found]
        found += [("fresh", "fresh", taken)] if taken else []
    return tuple(found)


def draw(seed: int) -> Pair:
    """A pair. The fullest set of the first map has a load of 0.3 to 0.75."""
    random = Random(seed)
    sets, slots = random.randint(4, 10), 4
    shards = [(f"s{g}.{n}", f"g{g}") for g in range(sets) for n in range(random.randint(1, 3))]
    entries: list[MapEntry] = []
    values: list[str] = []
    for name, group in shards:
        mine = tuple(f"v{len(values) + n}" for n in range(random.choice((2, 4, 8, 8, 16))))
        values += mine
        entries.append((name, group, mine))
    ranked = random.sample(values, len(values))
    power = random.uniform(0.4, 1.1)
    weight = {value: (rank + 1) ** -power for rank, value in enumerate(ranked)}
    costs = {value: random.lognormvariate(-0.125, 0.5) for value in values}
    popular = tuple(accumulate(weight[value] for value in values))
    before = MapVersion(1, "district", tuple(entries), False)
    change = random.choice(CHANGES)
    after = MapVersion(2, "district", apply_change(before.entries, change, tuple(ranked), random), False)
    holders = {group: random.randint(2, 3) for group in {**before.sets(), **after.sets()}}
    traffic = Traffic(tuple(values), popular, costs, 1.0)
    work = _work(traffic, before, random)
    fullest = max(work[g] / (holders[g] * slots) for g in work)
    rate = random.uniform(0.3, 0.75) * SECOND / fullest
    return Pair(seed, change, Traffic(traffic.values, popular, costs, rate), before, after, holders, slots)
