"""A sample of queries' footprints that can be merged: what each touched and what that cost, whatever the map.

Pure. A query is in the sample when the hash of its id is among the ``size`` least (bottom-k). Each broker
keeps its own; the union's sample is made of the samples, so nothing counts twice however often they are
merged. The hash is BLAKE2b of the standard library, keyed: 64 bits, so that two ids in 10^9 hardly meet, and
nobody who chooses ids can choose to be in the sample. Times in ns since the epoch.
"""

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from quincepath.shards.versions import MAX_NAME_BYTES

SAMPLE_SIZE = 4096  # footprints of a merged sample
MAX_PARTS = 256  # of a footprint; what is beyond is folded into the last
MAX_LISTED_VALUES = 1024  # listed in a footprint, over all parts
MAX_SOURCES = 1024  # (broker, boot, window) of a merged sample; the newest stay
HOUR_NS = 3_600_000_000_000


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a query as it was asked: what it touched and what it cost.

    ``more``: further values that it touched and that are not listed (those listed stand for them: they are
    the least by hash). ``service``: ns that the holder worked for it, of one call. ``took``: ns from its
    sending to the answer used. ``merged``: bytes of its answer.
    """

    values: tuple[str, ...]
    calls: int
    service: int
    took: int
    merged: int
    more: int = 0


class Footprint(msgspec.Struct, frozen=True, array_like=True):
    """One query. ``place`` is the hash of its id. ``open``: it accepts values that nobody knows yet as well;
    ``unlabelled``: series without the label too, so it goes to every shard. ``took`` beyond ``target``:
    missed.
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
    """How many queries a broker's boot has had in one window of its sampling: grows only."""

    until: int
    count: int
    since: int


Key = tuple[str, int, int]  # broker, boot, window


def query_hash(broker: str, boot: int, query: int, key: bytes = b"footprints") -> int:
    """64 bits for the id of a query; one broker's boots never share ids."""
    name = broker.encode()
    said = len(name).to_bytes(2, "big") + name + boot.to_bytes(8, "big") + query.to_bytes(8, "big")
    return int.from_bytes(hashlib.blake2b(said, digest_size=8, key=key).digest(), "big")


def _order(value: str) -> bytes:
    return hashlib.blake2b(value.encode(), digest_size=8).digest()


def listed(values: Iterable[str], most: int) -> tuple[tuple[str, ...], int]:
    """At most ``most`` of the values, the least by hash, sorted; and how many are not among them."""
    every = set(values)
    fit = [value for value in every if len(value.encode()) <= MAX_NAME_BYTES]
    kept = fit if len(fit) <= most else sorted(fit, key=_order)[:most]
    return tuple(sorted(kept)), len(every) - len(kept)


def bounded(footprint: Footprint) -> Footprint:
    """Within the bounds: at most ``MAX_PARTS`` parts and ``MAX_LISTED_VALUES`` listed values."""
    parts = footprint.parts
    if len(parts) > MAX_PARTS:
        rest = parts[MAX_PARTS - 1 :]
        last = Part(
            tuple(value for part in rest for value in part.values), max(part.calls for part in rest),
            sum(part.service for part in rest), max(part.took for part in rest),
            sum(part.merged for part in rest), sum(part.more for part in rest),
        )  # fmt: skip
        parts = (*parts[: MAX_PARTS - 1], last)
    each = MAX_LISTED_VALUES // max(1, len(parts))
    cut = []
    for part in parts:
        values, beyond = listed(part.values, each if len(part.values) > each else MAX_LISTED_VALUES)
        cut.append(Part(values, part.calls, part.service, part.took, part.merged, part.more + beyond))
    return msgspec.structs.replace(footprint, parts=tuple(cut))


@dataclass(slots=True, frozen=True)
class Sample:
    """The queries of least place among all that the sources had. Merging is associative, commutative,
    idempotent.
    """

    footprints: dict[int, Footprint] = field(default_factory=dict)
    sources: dict[Key, Source] = field(default_factory=dict)
    size: int = SAMPLE_SIZE

    @property
    def total(self) -> int:
        """Queries that the sample stands for."""
        return sum(source.count for source in self.sources.values())

    @property
    def full(self) -> bool:
        """Sources may have been left out for want of room: then ``total`` is too low."""
        return len(self.sources) >= MAX_SOURCES

    @property
    def since(self) -> int:
        """Beginning of the earliest source's time; 0 without sources."""
        return min((source.since for source in self.sources.values()), default=0)

    @property
    def until(self) -> int:
        """End of the latest source's time; 0 without sources."""
        return max((source.until for source in self.sources.values()), default=0)

    def hours(self) -> list[float]:
        """Share of the footprints in each hour of the day, UTC; 24 shares."""
        found = [0] * 24
        for one in self.footprints.values():
            found[one.at // HOUR_NS % 24] += 1
        return [count / max(1, len(self.footprints)) for count in found]

    def merged(self, *others: "Sample") -> "Sample":
        """The sample of the union, of the smaller size."""
        size = min([self.size, *(other.size for other in others)])
        found = dict(self.footprints)
        sources = dict(self.sources)
        for other in others:
            for place, one in other.footprints.items():
                there = found.get(place)
                found[place] = one if there is None or _rank(one) > _rank(there) else there
            for key, source in other.sources.items():
                sources[key] = max(source, sources.get(key, source))
        return Sample(
            {place: found[place] for place in sorted(found)[:size]},
            dict(sorted(sources.items(), key=lambda item: (item[1], item[0]), reverse=True)[:MAX_SOURCES]),
            size,
        )


def _rank(footprint: Footprint) -> bytes:
    """Which of two of one place stays: any fixed order will do."""
    return msgspec.msgpack.encode(footprint)


@dataclass(slots=True)
class Sampler:
    """One broker's sample of this window and the last one. Windows begin at multiples of ``window`` ns."""

    broker: str
    boot: int
    size: int = SAMPLE_SIZE
    window: int = HOUR_NS
    now: Sample = field(init=False)
    last: Sample = field(init=False)
    _worst: int = field(init=False, default=(1 << 64) - 1)  # a place from here on is not taken
    _heap: list[int] = field(init=False, default_factory=list)  # the places kept, negated: the largest first

    def __post_init__(self) -> None:
        self.now = self.last = Sample(size=self.size)

    def hash_if_sampled(self, query: int) -> int | None:
        """The place of a query if it is to be sampled, after its ``count``: others cost a hash and no
        more.
        """
        place = query_hash(self.broker, self.boot, query)
        return place if place < self._worst or len(self.now.footprints) < self.size else None

    def count(self, at: int) -> None:
        """A query has ended at ``at``, sampled or not."""
        epoch = max([at // self.window, *(key[2] for key in self.now.sources)])
        key = (self.broker, self.boot, epoch)
        if key not in self.now.sources:
            previous = (self.broker, self.boot, epoch - 1) in self.now.sources
            self.last = self.now if previous else Sample(size=self.size)
            self.now = Sample({}, {key: Source(at, 0, at)}, self.size)
            self._worst, self._heap = (1 << 64) - 1, []
        there = self.now.sources[key]
        self.now.sources[key] = Source(max(at, there.until), there.count + 1, min(at, there.since))

    def add(self, footprint: Footprint) -> None:
        """A footprint whose place was wanted; the same turn."""
        kept = self.now.footprints
        if footprint.place not in kept:
            heapq.heappush(self._heap, -footprint.place)
        kept[footprint.place] = bounded(footprint)
        if len(kept) > self.size:
            del kept[-heapq.heappop(self._heap)]
        if len(kept) == self.size:
            self._worst = -self._heap[0]

    def sample(self) -> Sample:
        """What it answers to a proposal: this window and the last."""
        return self.last.merged(self.now)
