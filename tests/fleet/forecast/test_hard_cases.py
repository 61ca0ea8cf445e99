"""Forecasts in difficult cases, their intervals, and the comparison with measured figures.

Most verdicts are tested by the table tests/conformance/forecast.yaml.
"""

import sys
import types
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest

import quincepath.fleet.forecast.replay as module
from benchmarks.map_forecast import BROKERS, baseline, measured, sampled
from quincepath.fleet.forecast import (
    AccuracyRecord,
    Answer,
    Environment,
    Figure,
    FigureKind,
    Forecast,
    Limit,
    ReplaySettings,
    Rules,
    compare_with_measured,
    decode_record,
    forecast,
    verdict,
)
from quincepath.fleet.forecast.accuracy import MAX_ADOPTIONS_KEPT, MAX_FACTOR
from quincepath.fleet.forecast.footprints import HOUR_NS
from quincepath.fleet.forecast.tail import Queues, erlang_c, fit
from quincepath.lab.map_simulation import draw, simulate
from tests.fleet.forecast.builders import EPOCH, SECOND, sample, version

QUERIES = [
    {"times": 900, "parts": [["a"], ["b"]], "service": 5, "bytes": 400},
    {"times": 300, "parts": [["a", "c"], ["b"]], "service": 30, "class": "slow", "target": 60, "bytes": 900},
    {"times": 100, "parts": [["d"]], "service": 100, "class": "slow", "target": 150},
]
BEFORE = version(1, {"s1": ["g1", ["a", "c"]], "s2": ["g2", ["b", "d"]]})
AFTER = version(2, {"s1": ["g1", ["a", "c", "d"]], "s2": ["g2", ["b"]]})
ENVIRONMENT = Environment({"g1": 2, "g2": 2}, 2, 1, 1)


def found(target: Any = module, widen: dict[FigureKind, float] | None = None, **more: Any) -> Any:
    return target.forecast(sample(QUERIES), BEFORE, AFTER, ENVIRONMENT, ReplaySettings(**more), widen)


def check_widening(target: Any) -> None:
    """Each interval is three times as wide to each side, up to the limits of what a figure can be."""
    plain, wide = found(target), found(target, dict.fromkeys(FigureKind, 3.0))
    for key, one in plain.figures.items():
        other = wide.figures[key]
        most = 1.0 if key[0] is FigureKind.MISS else float("inf")
        assert other.value == one.value
        assert other.high == pytest.approx(min(most, one.value + 3 * (one.high - one.value))), key
        assert other.low == pytest.approx(max(0.0, one.value - 3 * (one.value - one.low))), key


def test_stored_factor_widens_every_interval() -> None:
    check_widening(module)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("min(1.0, value + widen * up)", "min(1.0, value + up)"),
        ("value + widen * up)\n\n\ndef share_interval", "value + up)\n\n\ndef share_interval"),
        ("figure.value + factor * up", "figure.value + up"),
        (
            "interval(replay.merged(class_index), factors[FigureKind.BYTES])",
            "interval(replay.merged(class_index), 1.0)",
        ),
    ],
)
def test_injected_bug_without_widening_is_detected(before: str, after: str) -> None:
    text = Path(str(module.__file__)).read_text()
    assert text.count(before) == 1
    mutated = types.ModuleType("quincepath.fleet.forecast.mutated")
    sys.modules[mutated.__name__] = mutated
    exec(compile(text.replace(before, after), "mutated", "exec"), mutated.__dict__)
    del sys.modules[mutated.__name__]
    with pytest.raises(AssertionError):
        check_widening(mutated)


def test_forecast_is_deterministic_and_smaller_sample_has_wider_intervals() -> None:
    assert found() == found()
    few = forecast(sample(QUERIES, size=150), BEFORE, AFTER, ENVIRONMENT)
    for key, one in found().figures.items():
        if key[0] is FigureKind.LOAD:
            assert few.figures[key].high - few.figures[key].low > one.high - one.low


def test_figure_measured_over_few_queries_has_wider_interval() -> None:
    short, long = found(measured_queries=50), found(measured_queries=100_000)
    for key in ((FigureKind.PARTS, "slow"), (FigureKind.BYTES, "")):
        assert short.figures[key].high - short.figures[key].low > 2 * (
            long.figures[key].high - long.figures[key].low
        )


def test_sample_merged_repeatedly_gives_the_same_figures() -> None:
    one = sample(QUERIES, brokers=3)
    twice = one.merged(one, one.merged(one))
    assert forecast(twice, BEFORE, AFTER, ENVIRONMENT) == forecast(one, BEFORE, AFTER, ENVIRONMENT)


def test_map_with_a_hundred_thousand_values() -> None:
    many = version(1, {f"s{n}": [f"g{n % 20}", [f"v{n}_*500"]] for n in range(200)})
    moved = version(2, {f"s{n}": [f"g{n % 10}", [f"v{n}_*500"]] for n in range(200)})
    each = [{"times": 3, "parts": [[f"v{n}_{n}"], [f"v{(n * 7) % 200}_{n}"]]} for n in range(200)]
    found = forecast(sample(each), many, moved, Environment({}, 4, 1, 1), ReplaySettings(draws=40))
    assert found.unseen == () and found.unplaced == 0
    assert sum(
        f.value for (kind, _), f in found.figures.items() if kind is FigureKind.CALLS
    ) == pytest.approx(19.95, rel=0.01)


def test_wide_query_with_truncated_values_still_reaches_all_eight_shards() -> None:
    values = ["v*4000"]
    entries = {f"s{n}": [f"g{n}", [f"v{i}" for i in range(n, 4000, 8)]] for n in range(8)}
    before, after = version(1, {"s": ["g0", values]}), version(2, entries)
    got = forecast(sample([{"times": 500, "parts": [values]}]), before, after, Environment({}, 4, 1, 1))
    assert got.figures[FigureKind.PARTS, "fast"] == Figure(8.0, 8.0, 8.0)
    loads = [got.figures[FigureKind.LOAD, f"g{n}"].value for n in range(8)]
    assert max(loads) < 1.35 * min(loads)


def test_misses_grow_with_load() -> None:
    """A hot value is moved onto a set: misses grow with the load there, up to nearly all queries."""
    shares = []
    for rate in (600, 1500, 2100):
        queries = [
            {"times": rate, "parts": [["a"]], "target": 60},
            {"times": rate, "parts": [["b"]], "target": 60},
        ]
        maps = version(1, {"s1": ["g1", ["a"]], "s2": ["g2", ["b"]]}), version(2, {"s": ["g1", ["a", "b"]]})
        found = forecast(sample(queries, span=40, size=8192), *maps, Environment({}, 1, 1, 1))
        shares.append(found.figures[FigureKind.MISS, ""].value)
    assert shares == sorted(shares) and shares[0] < 0.01 and shares[2] > 0.5


def test_erlang_c_and_fit_of_the_tail_model() -> None:
    assert erlang_c(np.array([1.0, 2.0]), np.array([0.5, 0.5])) == pytest.approx([0.5, 1 / 3])
    waits = np.linspace(0, 100, 200)
    assert fit(7 + 2 * waits, waits) == pytest.approx((2, 7), rel=0.3)
    assert fit(np.array([5.0, 5.0]), np.array([0.0, 0.0])) == pytest.approx((1, 5))
    queues = Queues(np.array([4.0]), np.array([1.5]), np.array([1e6]), np.array([1.0]), 1e9)
    assert queues.wait_exceeds(np.array([0.25e9, 1e9]), np.array([0, 0]), 1.0)[1] == pytest.approx([0.5, 0])
    assert list(queues.wait_exceeds(np.array([0.0]), np.array([0]), 1.0)[0]) == [1.0]
    calm, short, long = (
        Queues(np.array([4.0]), np.array([load]), np.array([1e6]), np.array([1.0]), horizon)
        for load, horizon in ((0.5, 1e12), (0.99, 1e9), (0.99, 1e12))
    )
    assert calm.mean_nonzero_wait(1.0) == pytest.approx([0.5e6], rel=0.01)
    assert short.mean_nonzero_wait(1.0)[0] < 0.6 * long.mean_nonzero_wait(1.0)[0] < 0.6 * 25e6


def test_generated_maps_are_forecast_better_than_by_shards_times_rate() -> None:
    ours = theirs = 0.0
    for seed in (3, 8, 12):
        pair = draw(seed)
        before = simulate(pair, pair.before, 3000, 1)
        world = Environment(pair.holders, pair.slots, BROKERS, BROKERS)
        settings = ReplaySettings(measured_queries=3000)
        figures = forecast(sampled(before), pair.before, pair.after, world, settings).figures
        after, naive = measured(simulate(pair, pair.after, 3000, 2), pair), baseline(before, pair)
        loads = [key for key in after if key[0] is FigureKind.LOAD]
        ours += sum(abs(figures[key].value - after[key]) for key in loads)
        theirs += sum(abs(naive[key] - after[key]) for key in loads)
    assert ours < 0.5 * theirs


def test_measured_figures_are_compared_with_the_forecast() -> None:
    one = found()
    values = {key: figure.value for key, figure in one.figures.items()}
    same = compare_with_measured(one, values)
    assert not same.halt and not same.deviations and not same.missing
    overloaded = compare_with_measured(
        one, values | {(FigureKind.LOAD, "g1"): 3 * values[FigureKind.LOAD, "g1"]}
    )
    assert overloaded.halt and [str(each).partition(":")[0] for each in overloaded.deviations] == [
        "load of g1"
    ]
    assert compare_with_measured(one, {}).halt
    some = compare_with_measured(one, {(FigureKind.LOAD, "g1"): values[FigureKind.LOAD, "g1"]})
    assert not some.halt and (FigureKind.LOAD, "g2") in some.missing


def test_one_figure_just_outside_is_reported_without_halt() -> None:
    one = found()
    values = {key: figure.value for key, figure in one.figures.items()}
    figure = one.figures[FigureKind.LOAD, "g1"]
    close = compare_with_measured(
        one, values | {(FigureKind.LOAD, "g1"): figure.value + 1.2 * (figure.high - figure.value)}
    )
    assert not close.halt and len(close.deviations) == 1


def test_past_errors_widen_intervals_within_bounds() -> None:
    record = AccuracyRecord()
    assert set(record.factors().values()) == {1.0}
    once = record.with_ratios({FigureKind.LOAD: [0.2, 2.5]})
    assert once.factors()[FigureKind.LOAD] == 2.5 and once.factors()[FigureKind.MISS] == 1.0
    for _ in range(200):
        record = record.with_ratios({FigureKind.LOAD: [0.5] * 18 + [3.0] * 2, FigureKind.MISS: [1e9]})
    assert len(record.ratios["load"]) == MAX_ADOPTIONS_KEPT
    assert record.factors()[FigureKind.LOAD] == 3.0 and record.factors()[FigureKind.MISS] == MAX_FACTOR
    assert decode_record(msgspec.msgpack.encode(record)) == record
    for bad in (b"", b"\x91\x81\xa4heat\x90", msgspec.msgpack.encode([{"load": [[1.0, 2.0]]}])):
        with pytest.raises(ValueError, match="forecast accuracy record"):
            decode_record(bad)


def test_ratio_is_in_half_intervals_before_widening() -> None:
    values = {key: f.value + 0.8 * (f.high - f.value) for key, f in found().figures.items()}
    plain = compare_with_measured(found(), values).ratios
    wide = compare_with_measured(found(widen=dict.fromkeys(FigureKind, 2.0)), values).ratios
    assert plain[FigureKind.LOAD] == pytest.approx([0.8, 0.8]) and wide[FigureKind.LOAD] == pytest.approx(
        [0.8, 0.8]
    )


def forecast_of_loads(**figures: Figure) -> Forecast:
    """A forecast with only these loads, by set."""
    each = {(FigureKind.LOAD, name): one for name, one in figures.items()}
    hours = [0.0] * 12 + [1.0] + [0.0] * 11
    return Forecast(each, "", 1000, 1000, EPOCH + 12 * HOUR_NS, EPOCH + 12 * HOUR_NS + SECOND, hours, 1, 1)


@pytest.mark.parametrize(
    ("figure", "answer"),
    [
        (Figure(0.5, 0.4, 0.8), Answer.ACCEPT),
        (Figure(0.7, 0.6, 0.81), Answer.NOT_KNOWN),
        (Figure(0.9, 0.8, 1.0), Answer.NOT_KNOWN),
        (Figure(0.9, 0.81, 1.0), Answer.REFUSE),
    ],
)
def test_intervals_against_a_limit(figure: Figure, answer: Answer) -> None:
    rules = Rules((Limit(FigureKind.LOAD, 0.8),))
    judged = verdict(
        forecast_of_loads(g=figure, cool=Figure(0.1, 0.0, 0.2)), rules, EPOCH + 12 * HOUR_NS + 2 * SECOND
    )
    assert judged.answer is answer
    assert [violation.key for violation in judged.violations] == (
        [] if answer is Answer.ACCEPT else [(FigureKind.LOAD, "g")]
    )
    if answer is Answer.REFUSE:
        assert judged.why == ("load of a holder of set 'g': 0.9 (90%: 0.81 to 1), limit 0.8",)


@pytest.mark.parametrize(
    "make",
    [
        lambda: Limit(FigureKind.LOAD, 0),
        lambda: Rules(()),
        lambda: ReplaySettings(draws=3),
        lambda: forecast(sample(QUERIES), BEFORE, AFTER, Environment({}, 0, 1, 1)),
        lambda: forecast(sample(QUERIES), BEFORE, AFTER, Environment({}, 1, 2, 1)),
        lambda: forecast(sample(QUERIES), BEFORE, AFTER, ENVIRONMENT, None, {FigureKind.LOAD: 0.5}),
    ],
)
def test_invalid_settings_are_rejected(make: Any) -> None:
    with pytest.raises(ValueError, match="expected"):
        make()
