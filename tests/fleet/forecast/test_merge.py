"""Samples: merging is independent of order and counts nothing twice; messages and bounds."""

import sys
import types
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import quincepath.fleet.forecast.footprints as module
from quincepath.fleet.forecast import (
    Footprint,
    Part,
    Sample,
    SampleAssembler,
    Sampler,
    decode,
    encode,
    query_hash,
)
from quincepath.fleet.forecast.footprints import (
    HOUR_NS,
    MAX_LISTED_VALUES,
    MAX_PARTS,
    MAX_SOURCES,
    Source,
    bounded,
)
from tests.fleet.forecast.builders import EPOCH, MS, SECOND

NAMES = ("a", "b", "c")
queries = st.lists(
    st.tuples(st.sampled_from(NAMES), st.integers(1, 2), st.integers(0, 30)), max_size=60, unique=True
)


def sample_of(asked: list[tuple[str, int, int]], size: int, target: Any = module) -> Any:
    """The sample of a set of queries, computed directly from all of them."""
    found: dict[int, Any] = {}
    sources: dict[tuple[str, int, int], Any] = {}
    for broker, boot, query in asked:
        place = query_hash(broker, boot, query)
        part = target.Part((f"v{query}",), 1, MS, MS, 1)
        found[place] = target.Footprint(place, EPOCH + query, "k", "t", (part,), SECOND, MS)
        key = (broker, boot, 0)
        mine = [q for b, t, q in asked if (b, t) == (broker, boot) and q <= query]
        if key not in sources or sources[key].count < len(mine):
            sources[key] = target.Source(EPOCH + query, len(mine), EPOCH)
    return target.Sample({place: found[place] for place in sorted(found)[:size]}, sources, size)


def same(left: Any, right: Any) -> bool:
    return bool(
        left.footprints == right.footprints and left.sources == right.sources and left.size == right.size
    )


def split(asked: list[tuple[str, int, int]], cut: list[int]) -> list[list[tuple[str, int, int]]]:
    """Three shares, as assigned by ``cut``; by boot, so that each source is complete in one share."""
    shares: list[list[tuple[str, int, int]]] = [[], [], []]
    for one in asked:
        shares[cut[(NAMES.index(one[0]) * 2 + one[1]) % len(cut)] % 3].append(one)
    return shares


def check_merge_laws(
    asked: list[tuple[str, int, int]], cut: list[int], size: int, target: Any = module
) -> None:
    x, y, z = (sample_of(share, size, target) for share in split(asked, cut))
    assert same(x.merged(y).merged(z), x.merged(y.merged(z)))
    assert same(x.merged(y), y.merged(x))
    assert same(x.merged(x), x)
    whole = sample_of(asked, size, target)
    assert same(x.merged(y, z), whole)
    assert whole.merged(x, x, y, whole).total == len(asked)


@settings(max_examples=150, deadline=None)
@given(queries, st.lists(st.integers(0, 2), min_size=3, max_size=6), st.integers(1, 40))
def test_merge_is_commutative_associative_idempotent_and_exact(
    asked: list[tuple[str, int, int]], cut: list[int], size: int
) -> None:
    check_merge_laws(asked, cut, size)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (
            "sources[key] = max(source, sources.get(key, source))",
            "sources[key] = Source(source.until, source.count + "
            "(sources[key].count if key in sources else 0), source.since)",
        ),
        (
            "footprints = dict(self.footprints)",
            "footprints = {n: one for n, one in enumerate(self.footprints.values())}",
        ),
        (
            "{place: footprints[place] for place in sorted(footprints)[:size]}",
            "{place: footprints[place] for place in list(footprints)[:size]}",
        ),
    ],
)
def test_injected_merge_bugs_are_detected(before: str, after: str) -> None:
    text = Path(str(module.__file__)).read_text()
    assert text.count(before) == 1
    mutated = types.ModuleType("quincepath.fleet.forecast.mutated")

    sys.modules[mutated.__name__] = mutated
    exec(compile(text.replace(before, after), "mutated", "exec"), mutated.__dict__)
    del sys.modules[mutated.__name__]
    asked = [(name, boot, query) for name in NAMES for boot in (1, 2) for query in range(20)]
    with pytest.raises(AssertionError):
        for size in (4, 30, 200):
            check_merge_laws(asked, [0, 1, 2], size, mutated)


def sampler_after(name: str, boot: int, times: int, size: int = 64, begin: int = EPOCH) -> Sampler:
    sampler = Sampler(name, boot, size)
    for query in range(times):
        at = begin + query * SECOND
        sampler.count(at)
        place = sampler.hash_if_sampled(query)
        if place is not None:
            sampler.add(Footprint(place, at, "k", "t", (Part(("v",), 1, MS, MS, 1),), SECOND, MS))
    return sampler


def test_restarted_broker_counts_both_boots_once_however_often_merged() -> None:
    first, second = sampler_after("a", 1, 500).sample(), sampler_after("a", 2, 300).sample()
    merged = Sample(size=64).merged(first, second, first, second.merged(first))
    assert merged.total == 800 and len(merged.footprints) == 64
    assert merged.footprints.keys() == set(sorted({*first.footprints, *second.footprints})[:64])


def test_newer_state_of_a_source_replaces_older_in_any_order() -> None:
    old, new = sampler_after("a", 1, 100).sample(), sampler_after("a", 1, 250).sample()
    for merged in (old.merged(new), new.merged(old)):
        assert merged.total == 250


def test_two_windows_are_kept_and_the_third_drops_the_first() -> None:
    sampler = sampler_after("a", 1, 3 * 3600, 4096)
    found = sampler.sample()
    assert found.total == 2 * 3600 and found.since == EPOCH + HOUR_NS
    assert [hour for hour, share in enumerate(found.hour_shares()) if share] == [1, 2]
    sampler.count(EPOCH)  # after a clock step back, counts into the current window
    assert sampler.sample().total == 2 * 3600 + 1


def test_each_query_is_equally_likely_to_be_sampled() -> None:
    """The number of sampled queries of each broker is within five standard deviations of a binomial."""
    size = 2000
    parts = [
        sampler_after(name, 1, times, size).sample() for name, times in (("a", 3000), ("b", 400), ("c", 3400))
    ]
    merged = Sample(size=size).merged(*parts)
    for one, times in zip(parts, (3000, 400, 3400), strict=True):
        got = len(one.footprints.keys() & merged.footprints.keys())
        wanted = size * times / merged.total
        assert abs(got - wanted) < 5 * (wanted * (1 - wanted / size)) ** 0.5


def test_a_hundred_thousand_values_stay_bounded() -> None:
    values = [f"value-{n}" for n in range(100_000)]
    wide = Footprint(1, EPOCH, "k", "t", (Part(tuple(values), 1, 1, 1, 1),), 1, 1)
    many = Footprint(2, EPOCH, "k", "t", tuple(Part((v,), 1, 1, 1, 1) for v in values[:9000]), 1, 1)
    cut, folded = bounded(wide), bounded(many)
    assert len(cut.parts[0].values) == MAX_LISTED_VALUES and cut.parts[0].more == 100_000 - MAX_LISTED_VALUES
    assert (
        len(folded.parts) == MAX_PARTS and sum(len(part.values) for part in folded.parts) <= MAX_LISTED_VALUES
    )
    assert sum(len(part.values) + part.more for part in folded.parts) == 9000
    assert sum(part.service for part in folded.parts) == 9000
    assert bounded(cut) == cut and bounded(folded) == folded
    sampler = Sampler("a", 1, 256)
    for number, value in enumerate(values):
        sampler.count(EPOCH + number)
        place = sampler.hash_if_sampled(number)
        if place is not None:
            sampler.add(Footprint(place, EPOCH, "k", "t", (Part((value,), 1, 1, 1, 1),), 1, 1))
    found = sampler.sample()
    assert len(found.footprints) == 256 and found.total == 100_000
    messages = encode(found, "a", 1, 1)
    assert len(messages) == 1 and len(messages[0]) < 32_768


def test_too_many_sources_keep_the_newest_and_are_reported() -> None:
    sources = {(f"b{n}", 1, 0): Source(EPOCH + n, 1, EPOCH) for n in range(MAX_SOURCES + 50)}
    merged = Sample().merged(Sample({}, sources))
    assert merged.full and len(merged.sources) == MAX_SOURCES and merged.merged(Sample({}, sources)) == merged
    assert ("b49", 1, 0) not in merged.sources and ("b50", 1, 0) in merged.sources


def test_sample_is_complete_only_with_all_messages_in_any_order_and_duplicated() -> None:
    sample = sampler_after("a", 1, 3000, 512).sample()
    messages = [decode(data) for data in encode(sample, "a", 1, 9, max_bytes=4096)]
    assert len(messages) > 3
    assembler = SampleAssembler(512)
    completed = [
        assembler.receive(message) for message in [*messages[1:], messages[1], messages[0], messages[2]]
    ]
    assert completed.count(True) == 1 and not any(completed[: len(messages) - 1])
    assert same(assembler.sample(), sample)
    older = [decode(data) for data in encode(sampler_after("a", 1, 10).sample(), "a", 1, 8)]
    assert not any(assembler.receive(message) for message in older) and assembler.sample().total == 3000
    incomplete = SampleAssembler(512)
    assert not any(incomplete.receive(message) for message in messages[1:]) and incomplete.sample().total == 0


def test_messages_are_bounded_and_footprints_that_do_not_fit_shrink_the_sample(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sample = sampler_after("a", 1, 3000, 512).sample()
    monkeypatch.setattr("quincepath.fleet.forecast.messages.MAX_MESSAGES", 3)
    data = encode(sample, "a", 1, 1, max_bytes=1200)
    assert len(data) == 3 and max(map(len, data)) <= 1200
    assembler = SampleAssembler(512)
    for one in data:
        assembler.receive(decode(one))
    got = assembler.sample()
    assert got.size == len(got.footprints) < 512 and got.total == 3000
    assert list(got.footprints) == sorted(sample.footprints)[: got.size]


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"x" * 40_000])
def test_invalid_message_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="sample message"):
        decode(data)
