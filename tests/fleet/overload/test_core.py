"""Units of overload control: priorities, thresholds, further sends, turns and retry advice."""

import random
from dataclasses import replace

import pytest

from quincepath.fleet.load_reports import (
    PRIORITY_BANDS,
    Count,
    ReplicaSetTotal,
    SendKind,
    TenantTotal,
    Totals,
)
from quincepath.fleet.overload import (
    Arrival,
    LocalStats,
    OverloadControl,
    OverloadSettings,
    ShedReason,
    ordering,
    retry_advice,
    trial_turns,
)
from quincepath.fleet.overload.adjustment import share_above, threshold_for
from quincepath.fleet.overload.confidence import confidence
from quincepath.fleet.overload.thresholds import FleetThreshold, ReplicaSetThresholds, uniformity

SECOND = 1_000_000_000
SETTINGS = OverloadSettings(brokers=10)


def totals(
    at: int = 0, reporting: int = 10, live: int = 10, threshold: float = 0.0, **counts: float
) -> Totals:
    row = [0.0] * len(Count)
    for name, value in counts.items():
        row[Count[name.upper()]] = value
    return Totals(
        at=at, window=2 * SECOND, reporting=reporting, live=live, by_class=(tuple(row),), threshold=threshold,
        arrivals=(counts.get("taken", 0.0) / PRIORITY_BANDS,) * PRIORITY_BANDS,
    )  # fmt: skip


def query(worth: float = 0.5, client: str = "c", cells: tuple[int, ...] = (), retry: bool = False) -> Arrival:
    return Arrival(0, worth, "t", client, cells, SECOND, retry)


OVERLOADED = totals(at=SECOND, taken=6000, in_time=2000, refused=4000)


def test_priority_orders_by_worth_then_share_then_hash() -> None:
    places = [ordering.priority(w, o, "t", "c", 0) for w in (0.0, 0.5, 1.0) for o in (9.0, 3.0, 1.5, 1.0)]
    assert places == sorted(places) and 0 <= places[0] and places[-1] < 1
    assert ordering.priority(0.5, 9.0, "t", "c", 0) < ordering.priority(0.5, 1.0, "a", "b", 0)


def test_the_hash_is_uniform_and_changes_with_the_epoch_only() -> None:
    drawn = [ordering.stable_fraction("t", f"c{n}", 0) for n in range(4000)]
    assert all(abs(sum(k / 8 <= d < (k + 1) / 8 for d in drawn) - 500) < 100 for k in range(8))
    assert ordering.stable_fraction("t", "c0", 0) == drawn[0] != ordering.stable_fraction("t", "c0", 1)


def test_all_brokers_give_a_query_the_same_priority() -> None:
    """A query that is shed at one broker is shed at every other: asking another broker gains nothing."""
    cores = [OverloadControl(SETTINGS, seed, 0) for seed in range(20)]
    for core in cores:
        core.step(SECOND, replace(OVERLOADED, at=SECOND))
    for number in range(200):
        arrival = query(random.Random(number).random(), f"c{number}")
        assert len({core.on_arrival(SECOND, arrival) is None for core in cores}) == 1
        assert len({core.priority(SECOND, arrival) for core in cores}) == 1


def test_over_share_counts_weights_and_needs_two_tenants() -> None:
    used = {"a": TenantTotal(60.0, 0), "b": TenantTotal(20.0, 0)}
    reported = replace(totals(), tenants=used)
    assert ordering.over_shares(reported, {}, 9) == {"a": 1.5, "b": 0.5}
    assert ordering.over_shares(reported, {"a": 3.0}, 9) == {"a": 1.0, "b": 1.0}
    assert ordering.over_shares(reported, {}, 1) == {"a": 1.5}
    assert ordering.over_shares(replace(totals(), tenants={"a": used["a"]}), {}, 9) == {}


@pytest.mark.parametrize("share", [0.0, 0.013, 0.2, 0.5, 0.999, 1.0])
def test_a_threshold_admits_its_share(share: float) -> None:
    uneven = [float(n % 7) for n in range(PRIORITY_BANDS)]
    assert share_above(threshold_for(share, uneven), uneven) == pytest.approx(share, abs=1e-9)


@pytest.mark.parametrize(
    ("age", "heard", "expected"),
    [
        (1, 10, 1.0),
        (2, 10, 1.0),
        (6, 10, 0.5),
        (10, 10, 0.0),
        (1, 4, 0.0),
        (1, 5, 0.5),
        (6, 5, 0.25),
        (1, 6, 1.0),
    ],
)
def test_confidence_fades_without_a_step(age: int, heard: int, expected: float) -> None:
    assert confidence(age * SECOND, totals(0, heard), SETTINGS) == pytest.approx(expected)


def test_the_effective_threshold_fades_to_the_brokers_own() -> None:
    core = OverloadControl(SETTINGS, 1, 0)
    core.step(SECOND, replace(OVERLOADED, at=SECOND))
    effective = [core.threshold(at * SECOND // 10) for at in range(10, 130)]
    assert effective[0] > 0.5 and effective[-1] == core._local_threshold.value
    assert max(abs(one - other) for one, other in zip(effective, effective[1:], strict=False)) < 0.02


def test_totals_with_low_coverage_change_no_threshold() -> None:
    """Four of ten report: their sums say nothing of the fleet, whatever their values."""
    core = OverloadControl(SETTINGS, 1, 0)
    for step in range(1, 20):
        at = step * SECOND // 2
        out = core.step(at, replace(OVERLOADED, at=at, reporting=4))
        assert out.threshold == 0 and out.confidence == 0 and not out.replica_set_thresholds
    assert core.on_arrival(10 * SECOND, query(0.0)) is None


def test_totals_that_are_counted_twice_reduce_nothing_twice() -> None:
    threshold = FleetThreshold(SETTINGS)
    threshold.update(OVERLOADED)
    first = threshold.value
    for _ in range(10):
        threshold.update(OVERLOADED)
    assert threshold.value == pytest.approx(first) and 0.6 < first < 0.72


def test_a_threshold_returns_to_zero_after_the_overload() -> None:
    threshold, updates = FleetThreshold(SETTINGS), 0
    threshold.update(OVERLOADED)
    while threshold.value and updates < 40:
        updates += 1
        share = share_above(threshold.value, OVERLOADED.arrivals)
        now = totals(
            at=updates * SECOND,
            threshold=threshold.value,
            taken=2000,
            shed=2000 * (1 - share),
            in_time=2000 * share,
        )
        threshold.update(now)
    assert threshold.value == 0 and 2 <= updates <= 20


def test_a_threshold_is_not_stuck_with_few_arrivals() -> None:
    core, at = OverloadControl(SETTINGS, 1, 0), 0
    for step in range(1, 60):
        at = step * SECOND
        threshold = core.threshold(at) if step > 1 else 0.9
        core.step(at, totals(at=at, threshold=threshold, taken=10, shed=9, in_time=1))
    assert core.threshold(at) == 0


def test_a_full_replica_set_sheds_only_its_own_queries() -> None:
    cells = {n: ReplicaSetTotal(1000.0, 600.0 if n == 0 else 0.0) for n in range(8)}
    reported = replace(totals(at=SECOND, taken=8000, in_time=7400, refused=600), replica_sets=cells)
    assert uniformity(reported) == 0 and uniformity(OVERLOADED) == 1
    core = OverloadControl(SETTINGS, 1, 0)
    out = core.step(SECOND, reported)
    assert out.threshold == 0 and list(out.replica_set_thresholds) == [0]
    shed = core.on_arrival(SECOND, query(0.0, cells=(3, 0)))
    assert shed is not None and shed.reason is ShedReason.CELL
    assert core.on_arrival(SECOND, query(0.0, cells=(3, 4))) is None
    assert core.on_arrival(SECOND, query(1.0, cells=(3, 0))) is None


def test_replica_set_thresholds_are_bounded_and_dropped_with_the_set() -> None:
    thresholds = ReplicaSetThresholds(replace(SETTINGS, max_replica_sets=3))
    full = {n: ReplicaSetTotal(100.0, 50.0 if n < 9 else 0.0) for n in range(20)}
    thresholds.update(SECOND, replace(totals(at=SECOND), replica_sets=full))
    assert len(thresholds.values) == 3
    for step in range(2, 40):
        thresholds.update(step * SECOND, totals(at=step * SECOND))
    assert not thresholds.values


def test_further_sends_add_up_to_the_budget_for_any_load_distribution() -> None:
    for loads in ([100.0] * 10, [1000.0] + [0.0] * 9, [500.0, 300.0, 200.0] + [0.0] * 7):
        known = replace(totals(), sends=tuple(sum(loads) if s is SendKind.FIRST else 0.0 for s in SendKind))
        sent = 0.0
        for first in loads:
            core = OverloadControl(SETTINGS, 1, 0)
            core.step(1, LocalStats(2 * SECOND, (0.0,) * PRIORITY_BANDS, first=first))
            sent += core.step(2, known).send_budget.extras
        budget = SETTINGS.budget_ratio * sum(loads) / 2 + SETTINGS.budget_free
        assert 0.85 * budget <= sent <= budget


def test_no_totals_raise_a_broker_above_its_own_limits() -> None:
    draw = random.Random(1)
    for _ in range(300):
        first = draw.random() * 100
        spends = tuple(draw.choice([0.0, 1.0, 1e9]) for _ in SendKind)
        known = replace(totals(reporting=draw.randrange(12), live=draw.choice([0, 1, 10])), sends=spends)
        core = OverloadControl(SETTINGS, 1, 0)
        core.step(1, LocalStats(SECOND, (0.0,) * PRIORITY_BANDS, first=first))
        spending = core.step(2, known).send_budget
        assert spending.extras <= SETTINGS.alone_extras * first + SETTINGS.budget_free
        assert spending.trials <= SETTINGS.alone_trials and spending.dials <= SETTINGS.alone_dials


@pytest.mark.parametrize("brokers", [20, 200])
def test_turns_of_all_brokers_for_one_node_keep_to_the_rate(brokers: int) -> None:
    settings = replace(SETTINGS, brokers=brokers, trial_rate=4.0)
    rate = trial_turns.trial_rate(trial_turns.broker_count(None, 0.0, settings), settings)
    counts = [0] * 100
    for number in range(brokers):
        at = trial_turns.next_turn(0, 0, f"b{number}", "h", rate)
        while at < 100 * SECOND:
            counts[at // SECOND] += 1
            at = trial_turns.next_turn(at, 0, f"b{number}", "h", rate)
    assert sum(counts) / 100 == pytest.approx(4.0, rel=0.05)
    assert max(counts) <= 14


def test_a_broker_that_hears_few_does_not_take_all_turns() -> None:
    assert trial_turns.broker_count(totals(reporting=1, live=1), 1.0, replace(SETTINGS, brokers=200)) == 100


def test_retry_advice_spreads_refused_queries_over_the_spare_capacity() -> None:
    calm, busy = totals(taken=2000, in_time=2000), totals(taken=4000, in_time=2000, shed=2000)
    local = LocalStats(2 * SECOND, (0.0,) * PRIORITY_BANDS)
    spreads = [
        retry_advice.retry_window(local, reported, 1.0, SETTINGS)
        for reported in (calm, totals(taken=2100, in_time=2000, shed=100), busy)
    ]
    assert spreads[0] == SETTINGS.min_retry_after and spreads == sorted(spreads) and spreads[2] > SECOND
    draw = random.Random(1)
    drawn = [retry_advice.retry_after(draw, spreads[2], SETTINGS) for _ in range(2000)]
    assert min(drawn) >= SETTINGS.min_retry_after and max(drawn) <= SETTINGS.max_retry_after
    steps = [
        sum(n <= (d - SETTINGS.min_retry_after) * 4 / spreads[2] < n + 1 for d in drawn) for n in range(4)
    ]
    assert min(steps) > 400


def test_marked_retries_are_limited_by_first_tries() -> None:
    retries = retry_advice.RetryQuota(replace(SETTINGS, max_tenants=2))
    admitted_firsts = sum(retries.admit("a", False) for _ in range(100))
    taken = sum(retries.admit("a", True) for _ in range(200))
    assert admitted_firsts == 100 and taken == 5  # retries that may be saved up
    admitted = 0
    for _ in range(100):
        retries.admit("a", False)
        admitted += retries.admit("a", True) + retries.admit("a", True)
    assert admitted == 50
    for number in range(1000):
        retries.admit(f"invented{number}", False)
    assert len(retries._saved) <= 3


def test_older_totals_are_ignored() -> None:
    core = OverloadControl(SETTINGS, 1, 0)
    core.step(5 * SECOND, totals(at=5 * SECOND, taken=2000, in_time=2000))
    assert core.step(6 * SECOND, replace(OVERLOADED, at=4 * SECOND)).threshold == 0
