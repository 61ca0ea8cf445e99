"""Codec, matchers, shard pruning, planning and merging, without a socket."""

from typing import Any

import cramjam
import pytest
from hypothesis import given
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st

from quincepath.config.schema import Config
from quincepath.fronts.remote_read.codec import CodecError, compress, decode_request, decompress, encode
from quincepath.fronts.remote_read.matchers import MatcherError, accepts
from quincepath.fronts.remote_read.plan import BadRequest, Plan, Planner, quote
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest, TimeSeries
from quincepath.merge.series import MergeError, merge
from quincepath.shards.shardmap import ShardMap

EQ, NEQ, RE, NRE = LabelMatcher.EQ, LabelMatcher.NEQ, LabelMatcher.RE, LabelMatcher.NRE


def test_request_encoding_matches_the_specification() -> None:
    request = ReadRequest()
    query = request.queries.add(start_timestamp_ms=1, end_timestamp_ms=2)
    query.matchers.add(type=RE, name="a", value="b")
    assert request.SerializeToString() == b"\x0a\x0e\x08\x01\x10\x02\x1a\x08\x08\x02\x12\x01a\x1a\x01b"
    assert decode_request(encode(request), 1000) == request


@pytest.mark.parametrize(
    ("body", "wanted"),
    [
        (b"", "not snappy"),
        (b"junk that is not compressed", "not snappy"),
        (compress(b"\xff\xff\xff"), "not a ReadRequest"),
        (compress(b"x" * 2000), "decompresses to 2000 bytes where 1000 are allowed"),
        (bytes(cramjam.snappy.compress(b"framed")), "not snappy"),
    ],
)
def test_invalid_bodies_are_rejected_with_the_reason(body: bytes, wanted: str) -> None:
    with pytest.raises(CodecError, match=wanted):
        decode_request(body, 1000)


@fuzz_settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_only_raise_codec_errors(body: bytes) -> None:
    try:
        assert len(decompress(body, 10_000)) <= 10_000
    except CodecError:
        pass


@pytest.mark.parametrize(
    ("kind", "pattern", "matching", "not_matching"),
    [
        (EQ, "a", ["a"], ["", "aa"]),
        (NEQ, "a", ["", "b"], ["a"]),
        (RE, "a|b", ["a", "b"], ["", "ab", "xa"]),
        (RE, "a*", ["", "aaa"], ["b"]),
        (NRE, "a.*", ["", "ba"], ["a", "ab"]),
        (RE, "(?i)North", ["north"], ["south"]),
    ],
)
def test_matchers_are_anchored_and_treat_a_missing_label_as_empty(
    kind: Any, pattern: str, matching: list[str], not_matching: list[str]
) -> None:
    test = accepts(LabelMatcher(type=kind, name="x", value=pattern))
    assert [test(text) for text in matching] == [True] * len(matching)
    assert [test(text) for text in not_matching] == [False] * len(not_matching)


@pytest.mark.parametrize("pattern", ["(", "a{99999}", r"\1"])
def test_invalid_expressions_are_rejected_with_the_matcher(pattern: str) -> None:
    with pytest.raises(MatcherError, match="x=~"):
        accepts(LabelMatcher(type=RE, name="x", value=pattern))


@fuzz_settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(max_size=20), st.text(max_size=20))
def test_quoted_text_matches_only_itself(text: str, other: str) -> None:
    test = accepts(LabelMatcher(type=RE, name="x", value=quote(text)))
    assert test(text)
    assert test(other) == (other == text)


MAP = [("s0", "a", ["n", "e"]), ("s1", "b", ["s"]), ("s2", "a", ["w"])]


def test_shard_numbers_modulo_the_cell_count_give_the_cell() -> None:
    shards = ShardMap("d", MAP, True)
    assert [(s.name, s.number % 2, s.cell, s.exclusive) for s in shards.shards] == [
        ("s0", 0, 0, False), ("s1", 1, 1, True), ("s2", 0, 0, False),
    ]  # fmt: skip
    assert len({s.number for s in shards.shards}) == 3
    assert shards.cell_of_set(["s2", "s0"]) == 0 and shards.cell_of_set(["s0"]) is None


@pytest.mark.parametrize(
    ("matchers", "anywhere", "wanted"),
    [
        ([], True, {"s0", "s1", "s2"}),
        ([(EQ, "n")], True, {"s0"}),
        ([(EQ, "")], True, {"s0", "s1", "s2"}),  # series without the label may be in any shard
        ([(EQ, "")], False, set()),
        ([(NEQ, "s")], True, {"s0", "s1", "s2"}),
        ([(NEQ, "s")], False, {"s0", "s2"}),
        ([(RE, "n|w|")], True, {"s0", "s1", "s2"}),
        ([(RE, "n|w")], True, {"s0", "s2"}),
        ([(NRE, "n|w")], False, {"s0", "s1"}),
        ([(RE, "n|s"), (NEQ, "s")], True, {"s0"}),
        ([(EQ, "n"), (EQ, "s")], True, set()),
    ],
)
def test_pruning_drops_only_shards_that_cannot_match(matchers: Any, anywhere: bool, wanted: set[str]) -> None:
    tests = [accepts(LabelMatcher(type=kind, name="d", value=value)) for kind, value in matchers]
    assert {touch.shard.name for touch in ShardMap("d", MAP, anywhere).touched(tests)} == wanted


def config(**overrides: Any) -> Config:
    return Config.model_validate(
        {
            "shards": {
                "label": "d",
                "unlabelled": "nowhere",
                "map": [{"name": n, "set": g, "values": v} for n, g, v in MAP],
            },
            "holders": [
                {"name": "h0", "url": "http://127.0.0.1:1/r", "shards": ["s0", "s2"]},
                {"name": "h1", "url": "http://127.0.0.1:2/r", "shards": ["s1"]},
            ],
            "classes": [
                {"name": "glance", "target": "1s", "deadline": "2s", "need": 0.5,
                 "when": [{"label": "__name__", "value": "fuel.*"}]},
                {"name": "report", "target": "1s", "deadline": "2s", "recent": "10s",
                 "when": [{"label": "__name__", "type": "any"}]},
            ],
            **overrides,
        }
    )  # fmt: skip


def plan(*queries: tuple[str, str, int], **overrides: Any) -> Plan:
    settings = config(**overrides)
    shards = ShardMap("d", MAP, False)
    request = ReadRequest()
    for metric, pattern, start in queries:
        query = request.queries.add(start_timestamp_ms=start, end_timestamp_ms=100_000)
        query.matchers.add(type=EQ, name="__name__", value=metric)
        query.matchers.add(type=RE, name="d", value=pattern)
    return Planner(settings, shards).plan(request)


def test_parts_to_a_holder_of_several_shards_are_narrowed_to_their_values() -> None:
    found = plan(("fuel", ".+", 95_000))
    narrowed = {
        part.shard: part.payload.queries[0][1].matchers[2].value
        for part in found.parts
        if len(part.payload.queries[0][1].matchers) > 2
    }
    assert narrowed == {0: "n|e", 2: "w"}
    assert sum(part.weight for part in found.parts) == pytest.approx(1)


def test_long_range_is_split_into_two_adjacent_steps() -> None:
    found = plan(("hours", "s", 0))
    assert found.follow is not None
    ((_, recent),) = found.parts[0].payload.queries
    (later,) = found.follow({1: "body"})
    ((_, older),) = later.payload.queries
    assert (recent.start_timestamp_ms, recent.end_timestamp_ms) == (90_000, 100_000)
    assert (older.start_timestamp_ms, older.end_timestamp_ms) == (0, 89_999)
    assert found.follow({}) == ()


def test_short_range_has_one_step_and_its_own_module_class() -> None:
    short, long = plan(("hours", "s", 95_000)), plan(("hours", "s", 0))
    assert short.follow is None
    assert (short.entry.name, long.entry.name) == ("report", "report")
    assert short.kind != long.kind


def test_the_strictest_class_applies_to_a_request_of_several_queries() -> None:
    assert plan(("fuel", ".+", 95_000)).entry.name == "glance"
    assert plan(("fuel", ".+", 95_000), ("hours", "s", 95_000)).entry.name == "report"


def test_requests_that_cannot_be_planned_are_rejected_with_the_reason() -> None:
    with pytest.raises(BadRequest, match="holds no query"):
        plan()
    with pytest.raises(BadRequest, match="query 2: starts at 200000 ms, after its end"):
        plan(("fuel", "n", 0), ("fuel", "n", 200_000))
    with pytest.raises(BadRequest, match="3 queries in one request, 2 are allowed"):
        plan(*[("fuel", "n", 0)] * 3, limits={"max_queries": 2})
    only = [{"name": "g", "target": "1s", "deadline": "2s", "when": [{"label": "x", "value": "y"}]}]
    with pytest.raises(BadRequest, match='query 1: no class takes {__name__="fuel", d=~"n"}'):
        plan(("fuel", "n", 0), classes=only)


def series(labels: dict[str, str], samples: dict[int, float]) -> TimeSeries:
    one = TimeSeries()
    for name, value in labels.items():
        one.labels.add(name=name, value=value)
    for timestamp, number in samples.items():
        one.samples.add(timestamp=timestamp, value=number)
    return one


bodies_of = st.lists(
    st.tuples(
        st.integers(1, 2),
        st.integers(0, 4),
        st.lists(
            st.tuples(
                st.sampled_from([{"a": "1"}, {"a": "2"}, {"b": "1", "a": "1"}, {}]),
                st.dictionaries(st.integers(0, 30), st.integers(0, 3).map(float), min_size=1, max_size=8),
            ),
            max_size=4,
        ),
    ),
    max_size=5,
    unique_by=lambda item: item[:2],
)


@fuzz_settings(max_examples=200, deadline=None, derandomize=True)
@given(bodies_of, st.randoms(use_true_random=False))
def test_merge_is_the_sorted_union_for_any_order_of_parts(parts: Any, random: Any) -> None:
    bodies = [(step, shard, ((0, [series(*one) for one in group]),)) for step, shard, group in parts]
    expected: dict[Any, dict[int, float]] = {}
    for _step, _shard, group in sorted(parts, key=lambda item: item[:2]):
        for labels, samples in group:
            known = expected.setdefault(tuple(sorted(labels.items())), {})
            for timestamp, value in samples.items():
                known.setdefault(timestamp, value)
    shuffled = list(bodies)
    random.shuffle(shuffled)
    response, stats = merge(1, shuffled, 1 << 20)
    found = [
        (tuple((la.name, la.value) for la in one.labels), [(s.timestamp, s.value) for s in one.samples])
        for one in response.results[0].timeseries
    ]
    assert found == [(key, sorted(samples.items())) for key, samples in sorted(expected.items())]
    dropped = sum(len(s) for _, _, group in parts for _, s in group) - sum(map(len, expected.values()))
    assert stats.duplicates == dropped and stats.conflicts <= dropped


def test_merge_stops_at_its_size_limit() -> None:
    big = series({"a": "x" * 500}, {1: 1.0})
    with pytest.raises(MergeError, match="over 900 bytes"):
        merge(1, [(1, 0, ((0, [big]),)), (1, 1, ((0, [big]),))], 900)


def test_merge_counts_conflicting_samples() -> None:
    nan = float("nan")
    first, second = series({"a": "1"}, {1: 1.0, 2: nan}), series({"a": "1"}, {1: 9.0, 2: nan, 3: 3.0})
    response, stats = merge(1, [(1, 1, ((0, [second]),)), (1, 0, ((0, [first]),))], 1 << 20)
    assert [sample.value for sample in response.results[0].timeseries[0].samples][::2] == [1.0, 3.0]
    assert (stats.duplicates, stats.conflicts) == (2, 1)


def test_unknown_protobuf_fields_are_preserved() -> None:
    raw = series({"a": "1"}, {1: 1.0}).SerializeToString() + b"\x22\x03abc"  # field 4, a histogram
    response, _ = merge(1, [(1, 0, ((0, [TimeSeries.FromString(raw)]),))], 1 << 20)
    assert b"\x22\x03abc" in response.SerializeToString()
