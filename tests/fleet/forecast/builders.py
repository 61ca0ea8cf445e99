"""Builds samples and maps for tests; nothing in them is random but the hashes of the queries."""

from typing import Any

from quincepath.fleet.forecast import Footprint, Part, Sample, Sampler
from quincepath.fleet.forecast.footprints import HOUR_NS, SAMPLE_SIZE
from quincepath.shards.versions import MapVersion

MS = 1_000_000
SECOND = 1_000_000_000
DAY = 24 * HOUR_NS
EPOCH = 20_000 * DAY


def version(number: int, entries: dict[str, list[Any]], unlabelled: bool = False) -> MapVersion:
    """``entries``: shard -> [set, values]; the value "a*5" means a0 to a4."""
    return MapVersion(
        number, "district", tuple((n, g, expanded(values)) for n, (g, values) in entries.items()), unlabelled
    )


def expanded(values: list[str]) -> tuple[str, ...]:
    found: list[str] = []
    for value in values:
        name, star, count = value.partition("*")
        found += [f"{name}{n}" for n in range(int(count))] if star else [value]
    return tuple(found)


def footprint(place: int, at: int, query: dict[str, Any]) -> Footprint:
    """``query``: parts (lists of values), class, service and took of each part in ms, target in ms."""
    service, took = query.get("service", 10) * MS, query.get("took", query.get("service", 10)) * MS
    parts = tuple(
        Part(expanded(values), query.get("calls", 1), int(service), int(took), query.get("bytes", 100))
        for values in query["parts"]
    )
    kind, target = query.get("class", "fast"), query.get("target", 1000) * MS
    return Footprint(
        place, at, kind, query.get("tenant", "t"), parts, int(target), int(took),
        query.get("open", False), query.get("unlabelled", False),
    )  # fmt: skip


def sample(
    queries: list[dict[str, Any]], span: float = 60, hour: int = 12, brokers: int = 1, size: int = SAMPLE_SIZE
) -> Sample:
    """Each of ``queries`` is repeated ``times``; all are spread evenly over ``span`` seconds of ``hour``."""
    each = [query for query in queries for _ in range(query.get("times", 1))]
    each = [each[index * 7919 % len(each)] if len(each) % 7919 else each[index] for index in range(len(each))]
    begin = EPOCH + hour * HOUR_NS
    samplers = [Sampler(f"b{n}", 1, size) for n in range(brokers)]
    for number, query in enumerate(each):
        sampler = samplers[number % brokers]
        at = begin + int(span * SECOND * number / max(1, len(each) - 1))
        sampler.count(at)
        place = sampler.hash_if_sampled(number)
        if place is not None:
            sampler.add(footprint(place, at, query))
    return Sample(size=size).merged(*(sampler.sample() for sampler in samplers))
