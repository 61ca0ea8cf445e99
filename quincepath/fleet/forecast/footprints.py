"""A mergeable sample of query footprints: what each query touched and what that cost, whatever the map.

Pure. A query is in the sample if the hash of its id is among the ``size`` smallest (bottom-k). Each broker
keeps its own sample; the sample of the union is computed from the samples, so nothing counts twice however
often they are merged. The hash is BLAKE2b of the standard library, keyed: with 64 bits two ids in 10^9 hardly
ever collide, and nobody who chooses ids can choose to be in the sample. Times in ns since the epoch.
"""

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from quincepath.shards.versions import MAX_NAME_BYTES

SAMPLE_SIZE = 4096  # footprints of a merged sample
MAX_PARTS = 256  # per footprint; the rest is folded into the last one
MAX_LISTED_VALUES = 1024  # per footprint, over all parts
MAX_SOURCES = 1024  # (broker, boot, window) of a merged sample; the newest are kept
HOUR_NS = 3_600_000_000_000


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a query as it was asked: what it touched and what it cost.

    ``more``: number of further values that it touched and that are not listed; the listed ones, the smallest
    by hash, represent them. ``service``: ns that the holder worked for it, for one call. ``took``: ns from
    its sending to the answer used. ``merged``: bytes of its answer.
    """

    values: tuple[str, ...]
    calls: int
    service: int
    took: int
    merged: int
    more: int = 0


class Footprint(msgspec.Struct, frozen=True, array_like=True):
    """One query. ``place`` is the hash of its id. ``open``: it also accepts values that are not known yet;
    ``unlabelled``: also series without the label, so it goes to every shard. It missed its target if ``took``
    exceeds ``target``.
    """

    place: int
    at: int
    kind: str  # its class
    tenant: str
    parts: tuple[Part, ...]
    target: int
    took: int
    open: bool = False
    unlabelled: bool = False


class Source(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Number of queries of one boot of a broker in one sampling window; only grows."""

    until: int
    count: int
    since: int


SourceKey = tuple[str, int, int]  # broker, boot, window


def query_hash(broker: str, boot: int, query: int, key: bytes = b"footprints") -> int:
    """64-bit hash of a query id; ids of different boots of a broker are distinct."""
    name = broker.encode()
    data = len(name).to_bytes(2, "big") + name + boot.to_bytes(8, "big") + query.to_bytes(8, "big")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8, key=key).digest(), "big")


def _value_hash(value: str) -> bytes:
    return hashlib.blake2b(value.encode(), digest_size=8).digest()


def limit_values(values: Iterable[str], limit: int) -> tuple[tuple[str, ...], int]:
    """At most ``limit`` of the values, the smallest by hash, sorted; and how many were left out."""
    distinct = set(values)
    fitting = [value for value in distinct if len(value.encode()) <= MAX_NAME_BYTES]
    kept = fitting if len(fitting) <= limit else sorted(fitting, key=_value_hash)[:limit]
    return tuple(sorted(kept)), len(distinct) - len(kept)


def bounded(footprint: Footprint) -> Footprint:
    """The footprint with at most ``MAX_PARTS`` parts and ``MAX_LISTED_VALUES`` listed values."""
    parts = footprint.parts
    if len(parts) > MAX_PARTS:
        rest = parts[MAX_PARTS - 1 :]
        last = Part(
            tuple(value for part in rest for value in part.values), max(part.calls for part in rest),
            sum(part.service for part in rest), max(part.took for part in rest),
            sum(part.merged for part in rest), sum(part.more for part in rest),
        )  # fmt: skip
        parts = (*parts[: MAX_PARTS - 1], last)
    limit = MAX_LISTED_VALUES // max(1, len(parts))
    limited = []
    for part in parts:
        values, beyond = limit_values(part.values, limit if len(part.values) > limit else MAX_LISTED_VALUES)
        limited.append(Part(values, part.calls, part.service, part.took, part.merged, part.more + beyond))
    return msgspec.structs.replace(footprint, parts=tuple(limited))


@dataclass(slots=True, frozen=True)
class Sample:
    """The queries with the smallest hashes among all queries of the sources.

    Merging is associative, commutative and idempotent.
    """

    footprints: dict[int, Footprint] = field(default_factory=dict)
    sources: dict[SourceKey, Source] = field(default_factory=dict)
    size: int = SAMPLE_SIZE

    @property
    def total(self) -> int:
        """Number of queries that the sample represents."""
        return sum(source.count for source in self.sources.values())

    @property
    def full(self) -> bool:
        """Whether sources may have been dropped for lack of space; ``total`` is then too low."""
        return len(self.sources) >= MAX_SOURCES

    @property
    def since(self) -> int:
        """Start of the earliest source; 0 without sources."""
        return min((source.since for source in self.sources.values()), default=0)

    @property
    def until(self) -> int:
        """End of the latest source; 0 without sources."""
        return max((source.until for source in self.sources.values()), default=0)

    def hour_shares(self) -> list[float]:
        """Share of the footprints in each hour of the day, UTC; 24 shares."""
        found = [0] * 24
        for footprint in self.footprints.values():
            found[footprint.at // HOUR_NS % 24] += 1
        return [count / max(1, len(self.footprints)) for count in found]

    def merged(self, *others: "Sample") -> "Sample":
        """The sample of the union, of the smallest size among them."""
        size = min([self.size, *(other.size for other in others)])
        footprints = dict(self.footprints)
        sources = dict(self.sources)
        for other in others:
            for place, new in other.footprints.items():
                known = footprints.get(place)
                footprints[place] = new if known is None or _tie_break(new) > _tie_break(known) else known
            for key, source in other.sources.items():
                sources[key] = max(source, sources.get(key, source))
        return Sample(
            {place: footprints[place] for place in sorted(footprints)[:size]},
            dict(sorted(sources.items(), key=lambda item: (item[1], item[0]), reverse=True)[:MAX_SOURCES]),
            size,
        )


def _tie_break(footprint: Footprint) -> bytes:
    """Which of two footprints of the same hash is kept: any fixed order will do."""
    return msgspec.msgpack.encode(footprint)


@dataclass(slots=True)
class Sampler:
    """One broker's sample of the current and the previous window.

    Windows start at multiples of ``window`` ns.
    """

    broker: str
    boot: int
    size: int = SAMPLE_SIZE
    window: int = HOUR_NS
    current: Sample = field(init=False)
    previous: Sample = field(init=False)
    _hash_limit: int = field(init=False, default=(1 << 64) - 1)  # hashes from here on are not sampled
    _heap: list[int] = field(init=False, default_factory=list)  # sampled hashes, negated: the largest first

    def __post_init__(self) -> None:
        self.current = self.previous = Sample(size=self.size)

    def hash_if_sampled(self, query: int) -> int | None:
        """The hash of a query if it is to be sampled; call after ``count``. Other queries cost one hash."""
        place = query_hash(self.broker, self.boot, query)
        return place if place < self._hash_limit or len(self.current.footprints) < self.size else None

    def count(self, at: int) -> None:
        """Counts a query that ended at ``at``, sampled or not."""
        window = max([at // self.window, *(key[2] for key in self.current.sources)])
        key = (self.broker, self.boot, window)
        if key not in self.current.sources:
            consecutive = (self.broker, self.boot, window - 1) in self.current.sources
            self.previous = self.current if consecutive else Sample(size=self.size)
            self.current = Sample({}, {key: Source(at, 0, at)}, self.size)
            self._hash_limit, self._heap = (1 << 64) - 1, []
        source = self.current.sources[key]
        self.current.sources[key] = Source(max(at, source.until), source.count + 1, min(at, source.since))

    def add(self, footprint: Footprint) -> None:
        """Adds a footprint whose hash was to be sampled, in the same turn of the event loop."""
        sampled = self.current.footprints
        if footprint.place not in sampled:
            heapq.heappush(self._heap, -footprint.place)
        sampled[footprint.place] = bounded(footprint)
        if len(sampled) > self.size:
            del sampled[-heapq.heappop(self._heap)]
        if len(sampled) == self.size:
            self._hash_limit = -self._heap[0]

    def sample(self) -> Sample:
        """The sample of this window and the previous one, to be sent for a proposal."""
        return self.previous.merged(self.current)
