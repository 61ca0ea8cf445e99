"""The fair scheduler, case by case: what runs, waits or is refused, and that no slot is lost."""

import pytest

from quincepath.limits.fair import (
    Cancelled,
    Done,
    Enter,
    FairScheduler,
    FairSettings,
    Footprint,
    Freed,
    Refuse,
    Run,
    Speed,
    Stop,
)
from quincepath.limits.fair.scheduler import FULL, STOPPING, TENANT_FULL, TIME_UP, TOO_LATE
from tests.limits.fair.simulator import HOUR, MS, SECOND, PoolSimulator, Query

SMALL = FairSettings(slots=12, quick_slots=4, query_slots_most=4, small_floor=0)


def simulator(settings: FairSettings = SMALL) -> PoolSimulator:
    return PoolSimulator(FairScheduler(settings, 1))


def teach(
    scheduler: FairScheduler, tenant: str, kind: int, cost: int, times: int = 5, parts: int = 1
) -> None:
    for _ in range(times):
        scheduler.costs.learn(tenant, Footprint(kind, parts, (0,)), cost, cost // parts)


def contend(
    sim: PoolSimulator, queries: dict[str, Query], depth: dict[str, int], until: int, every: int
) -> None:
    """Each tenant keeps ``depth`` queries waiting, topped up at the interval ``every`` (ns)."""
    while sim.now < until:
        for tenant, query in queries.items():
            sim.keep_waiting(query, depth[tenant])
        sim.run(sim.now + every)


def test_a_single_tenant_gets_all_slow_slots_and_no_quick_slot() -> None:
    sim = simulator()
    numbers = sim.enter_all([Query("a", SECOND)] * 20)
    assert sum(number in sim.ran for number in numbers) == 8
    assert sim.scheduler.pool.slow == 8 and sim.scheduler.pool.quick == 0


def test_a_quick_query_never_waits_for_slow_ones() -> None:
    sim = simulator()
    teach(sim.scheduler, "q", 2, 5 * MS)
    sim.enter_all([Query("a", 10 * SECOND)] * 30)
    assert sim.ran[sim.enter(Query("q", 5 * MS, kind=2))] == Run(31, Speed.QUICK, 0)


def test_quick_queries_beyond_their_tenants_share_wait_and_others_do_not() -> None:
    sim = simulator()
    for tenant in ("busy", "quiet"):
        teach(sim.scheduler, tenant, 2, 100 * MS)
    sim.enter_all([Query("slow", 10 * SECOND)] * 9)
    busy = sim.enter_all([Query("busy", 100 * MS, kind=2)] * 40)
    assert sum(number in sim.ran for number in busy) == 4
    assert sim.enter(Query("quiet", 100 * MS, kind=2)) in sim.ran
    sim.run(100 * MS + 1)
    assert sum(number in sim.ran for number in busy) == 8  # the quick slots are free for it again
    assert sim.scheduler.pool.slow == 8


@pytest.mark.parametrize("weights, share", [({}, 0.5), ({"busy": 1, "quiet": 3}, 0.75), ({"busy": 4.0}, 0.2)])
@pytest.mark.parametrize("costs", [(SECOND, SECOND), (400 * MS, 4 * SECOND), (4 * SECOND, 400 * MS)])
def test_slot_time_follows_weights_at_any_demand_and_cost(
    weights: dict[str, float], share: float, costs: tuple[int, int]
) -> None:
    """The busy tenant keeps a hundred queries waiting, the quiet one as few as it needs."""
    sim = simulator(FairSettings(slots=12, quick_slots=4, weights=weights))
    queries = {"busy": Query("busy", costs[0], kind=1), "quiet": Query("quiet", costs[1], kind=2)}
    contend(sim, queries, {"busy": 100, "quiet": 10}, 100 * SECOND, 100 * MS)
    used = sim.used
    assert used["quiet"] / (used["quiet"] + used["busy"]) == pytest.approx(share, abs=0.04)
    assert sum(used.values()) > 0.93 * 8 * 100 * SECOND


@pytest.mark.parametrize("before", [0.01, 1.0, 100.0])
def test_a_changed_weight_applies_at_once_to_running_and_waiting_queries(before: float) -> None:
    """Neither tenant is starved by what it was charged under the previous weight."""
    sim = simulator(FairSettings(slots=12, quick_slots=4, weights={"quiet": before}))
    queries = {"busy": Query("busy", SECOND, kind=1), "quiet": Query("quiet", SECOND, kind=2)}
    depth = {"busy": 50, "quiet": 50}
    contend(sim, queries, depth, 40 * SECOND, 100 * MS)
    sim.scheduler.set_weight("quiet", 3.0)
    used = dict(sim.used)
    contend(sim, queries, depth, 80 * SECOND, 100 * MS)
    spent = {name: sim.used[name] - used.get(name, 0) for name in queries}
    assert spent["quiet"] / sum(spent.values()) == pytest.approx(0.75, abs=0.05)
    sim.scheduler.set_weight("quiet", None)
    assert sim.scheduler.queues.weights == {"quiet": before}  # as in the settings
    sim.scheduler.set_weight("other", 2.0)
    sim.scheduler.set_weight("other", None)
    assert "other" not in sim.scheduler.queues.weights


@pytest.mark.parametrize("factor", [0.01, 100.0])
def test_shares_hold_when_estimates_are_wrong_by_a_factor_of_100(factor: float) -> None:
    """Too low: charged while it runs. Too high: given back at its end, and the estimate is corrected."""
    sim = simulator()
    teach(sim.scheduler, "wrong", 1, int(SECOND * factor), times=50)
    teach(sim.scheduler, "right", 2, SECOND, times=50)
    queries = {"wrong": Query("wrong", SECOND, kind=1), "right": Query("right", SECOND, kind=2)}
    contend(sim, queries, {"wrong": 30, "right": 30}, 120 * SECOND, 100 * MS)
    assert sim.used["wrong"] / sum(sim.used.values()) == pytest.approx(0.5, abs=0.05)


def test_a_query_classified_as_quick_is_reclassified_as_slow_while_it_runs() -> None:
    sim = simulator()
    teach(sim.scheduler, "a", 2, 5 * MS)
    sim.enter_all([Query("b", 30 * SECOND)] * 20)
    number = sim.enter(Query("a", 20 * SECOND, kind=2))
    assert sim.ran[number].speed is Speed.QUICK and sim.scheduler.pool.quick == 1
    sim.run(251 * MS)
    assert (sim.scheduler.pool.quick, sim.scheduler.pool.slow, sim.scheduler.runs.reclassified) == (0, 9, 1)
    sim.run(5 * SECOND)
    queue = sim.scheduler.queues.own["a"]
    assert queue.running == 1 and queue.tag >= 4 * SECOND


def test_small_queries_are_not_blocked_by_a_few_huge_ones() -> None:
    """Queries of 100 s keep arriving; small ones of 300 ms never wait for one of them to end."""
    sim = simulator(FairSettings(slots=12, quick_slots=4, small_share=0.5))
    teach(sim.scheduler, "huge", 1, 100 * SECOND)
    teach(sim.scheduler, "small", 2, 300 * MS)
    queries = {
        "huge": Query("huge", 100 * SECOND, kind=1, target=HOUR),
        "small": Query("small", 300 * MS, kind=2),
    }
    sim.keep_waiting(queries["huge"], 20)
    assert sim.scheduler.pool.large == 7  # never all, even before a small query arrived
    contend(sim, queries, {"huge": 20, "small": 10}, 60 * SECOND, 50 * MS)
    assert sim.used["small"] > 55 * SECOND and max(sim.waits["small"]) < 5 * SECOND
    assert sim.scheduler.pool.large < 8


def test_wide_large_queries_on_all_slots_do_not_block_a_small_one() -> None:
    """The last large query is wider than the free slots; one small query starts beyond the bound."""
    sim = simulator(FairSettings(slots=12, quick_slots=4, query_slots_most=4))
    teach(sim.scheduler, "huge", 1, 100 * SECOND, parts=4)
    teach(sim.scheduler, "small", 2, 300 * MS)
    sim.enter_all([Query("huge", 100 * SECOND, kind=1, parts=4, target=HOUR)] * 4)
    assert sim.scheduler.pool.large == 8
    first, second = sim.enter_all([Query("small", 300 * MS, kind=2)] * 2)
    assert first in sim.ran and second not in sim.ran and sim.scheduler.pool.slow == 9


def test_an_idle_hour_gives_no_credit() -> None:
    sim = simulator()
    queries = {"a": Query("a", SECOND, kind=1), "idle": Query("idle", SECOND, kind=2)}
    contend(sim, queries, {"a": 20, "idle": 20}, 10 * SECOND, 100 * MS)
    contend(sim, {"a": queries["a"]}, {"a": 20}, HOUR, 10 * SECOND)
    before = sim.used.copy()
    contend(sim, queries, {"a": 20, "idle": 20}, HOUR + 20 * SECOND, 100 * MS)
    gained = {tenant: sim.used[tenant] - before[tenant] for tenant in queries}
    assert gained["idle"] / sum(gained.values()) == pytest.approx(0.5, abs=0.08)


def test_100000_invented_tenants_stay_bounded_and_starve_no_tenant() -> None:
    """The tenant named in the weights asks for a quarter of the pool; its weight gives it more than that."""
    settings = FairSettings(slots=12, quick_slots=4, waiting_most=100, tenants_most=32, shared_queues=4,
                            cost_entries_most=64, weights={"real": 16.0})  # fmt: skip
    sim = simulator(settings)
    served: list[int] = []
    for start in range(0, 100_000, 500):
        sim.enter_all([Query(f"invented {n}", SECOND, target=20 * SECOND) for n in range(start, start + 500)])
        served.append(sim.enter(Query("real", SECOND, kind=2, target=20 * SECOND)))
        sim.run(sim.now + 500 * MS)
        queues = sim.scheduler.queues
        assert len(queues.waiting) <= 100 and len(queues.shared) <= 4
        assert len(queues.own) <= 33 and len(sim.scheduler.costs) <= 64
        assert len(sim.scheduler.served()) <= 33
    sim.run(sim.now + 20 * SECOND)
    assert all(number in sim.ran for number in served)


def test_a_query_that_cannot_be_served_in_time_is_refused_on_arrival_with_a_retry_delay() -> None:
    sim = simulator()
    teach(sim.scheduler, "a", 1, 4 * SECOND)
    numbers = sim.enter_all([Query("a", 4 * SECOND, target=10 * SECOND)] * 60)
    late = [sim.refused[number] for number in numbers if number in sim.refused]
    assert len(late) > 30 and {refuse.cause for refuse in late} == {TOO_LATE}
    assert all(100 * MS <= refuse.retry_in <= 10 * SECOND for refuse in late)
    sim.run(60 * SECOND)
    assert not sim.late and len(sim.ran) + len(sim.refused) == 60


def test_a_query_that_can_no_longer_be_in_time_leaves_the_queue_before_it_starts() -> None:
    """It could not be foreseen: the running queries take a thousand times as long as similar ones did."""
    sim = simulator()
    teach(sim.scheduler, "a", 1, 300 * MS)
    teach(sim.scheduler, "b", 2, 300 * MS)
    sim.enter_all([Query("a", 300 * SECOND)] * 8)
    number = sim.enter(Query("b", 300 * MS, kind=2, target=5 * SECOND))
    sim.run(4 * SECOND)
    assert number not in sim.refused
    sim.run(5 * SECOND)
    assert sim.refused[number].cause == TIME_UP and not sim.scheduler.queues.waiting


def test_queue_bounds_and_replacement_when_all_queues_are_full() -> None:
    sim = simulator(FairSettings(slots=12, quick_slots=4, waiting_most=50, waiting_tenant_most=40))
    busy = sim.enter_all([Query("busy", SECOND, target=HOUR)] * 60)
    assert [sim.refused[n].cause for n in busy if n in sim.refused] == [TENANT_FULL] * 12
    sim.enter_all([Query("other", SECOND, target=HOUR)] * 10)
    assert not [n for n, refuse in sim.refused.items() if refuse.cause == FULL]
    quiet = sim.enter(Query("quiet", SECOND, target=HOUR))
    assert quiet not in sim.refused
    assert [sim.tenants[n] for n, refuse in sim.refused.items() if refuse.cause == FULL] == ["busy"]
    assert len(sim.scheduler.queues.waiting) == 50


def test_stop_with_full_queues_keeps_the_queries_that_fit_into_the_time_left() -> None:
    sim = simulator()
    teach(sim.scheduler, "a", 1, SECOND)
    numbers = sim.enter_all([Query("a", SECOND)] * 80)
    sim.run(500 * MS)
    sim.step([Stop(sim.now + 4 * SECOND)])
    refused = [n for n in numbers if n in sim.refused]
    assert {sim.refused[n].cause for n in refused} == {STOPPING} and 40 <= len(refused) <= 56
    assert sim.refused[sim.enter(Query("b", SECOND))].cause == STOPPING
    sim.run(4500 * MS + 1)
    assert not sim.scheduler.queues.waiting and len(sim.ran) + len(sim.refused) == 81
    assert not sim.scheduler.runs.all, "a query that was kept did not end in the time left"


@pytest.mark.parametrize(
    "ends",
    [
        [Done(1, SECOND)],
        [Done(1, 0)],
        [Cancelled(1)],
        [Cancelled(1, 5 * SECOND)],
        [Cancelled(1), Done(1, SECOND), Cancelled(1)],
        [Freed(1, 2), Done(1, SECOND)],
        [Freed(1, 99), Freed(1, 99), Cancelled(1)],
        [Freed(1, 4), Done(1, SECOND), Freed(1, 4)],
    ],
)
def test_any_end_of_a_query_frees_its_slots(ends: list[Done | Cancelled | Freed]) -> None:
    scheduler = FairScheduler(SMALL, 1)
    assert isinstance(scheduler.step(0, [Enter(1, "a", Footprint(1, 4, (0,)), HOUR, HOUR)])[0], Run)
    assert scheduler.pool.slow == 4
    for at, end in enumerate(ends, 1):
        scheduler.step(at * SECOND, [end])
        scheduler.check()
    assert (scheduler.pool.slow, scheduler.pool.quick, scheduler.pool.large) == (
        0,
        0,
        0,
    ) and not scheduler.runs.all


def test_parts_that_came_back_let_another_query_start() -> None:
    scheduler = FairScheduler(SMALL, 1)
    enters = [Enter(n, "a", Footprint(1, 4, (0,)), HOUR, HOUR) for n in (1, 2, 3)]
    assert [out.number for out in scheduler.step(0, enters)] == [1, 2]
    assert [out.number for out in scheduler.step(SECOND, [Freed(1, 1)])] == [3]
    assert scheduler.pool.slow == 11  # the start exceeds the pool by less than the width of one query


def test_a_query_cancelled_in_the_queue_never_runs() -> None:
    sim = simulator()
    sim.enter_all([Query("a", SECOND)] * 8)
    number = sim.enter(Query("b", SECOND))
    sim.cancel(number)
    sim.run(10 * SECOND)
    assert number not in sim.ran and number not in sim.refused and not sim.scheduler.queues.waiting


@pytest.mark.parametrize(
    "bad, says",
    [
        ({"slots": 0}, "fair.slots is 0; expected 1 or more"),
        ({"quick_slots": 64}, "fair.quick_slots is 64; expected 0 to 63"),
        ({"small_share": 1.0}, "fair.small_share is 1.0"),
        ({"small_floor": 48}, "fair.small_floor is 48; expected 0 to 47"),
        ({"weights": {"a": 0.0}}, "fair.weights['a'] is 0.0; expected 0.01 to 100"),
        ({"retry_after_most": 1}, "retry_after_most 1"),
    ],
)
def test_invalid_settings_are_reported_with_name_and_value(bad: dict[str, object], says: str) -> None:
    with pytest.raises(ValueError) as raised:
        FairSettings(**bad)  # type: ignore[arg-type]
    assert says in str(raised.value)


def test_a_number_in_use_and_time_going_backwards_are_errors() -> None:
    scheduler = FairScheduler(SMALL, 1)
    enter = Enter(1, "a", Footprint(1, 1, (0,)), HOUR, HOUR)
    scheduler.step(5, [enter])
    with pytest.raises(ValueError, match="query 1 entered twice"):
        scheduler.step(5, [enter])
    with pytest.raises(ValueError, match="step at 4: expected 5 or later"):
        scheduler.step(4)


def test_a_query_that_arrives_after_its_target_is_refused() -> None:
    [out] = FairScheduler(SMALL, 1).step(5, [Enter(1, "a", Footprint(1, 1, (0,)), 0, HOUR)])
    assert isinstance(out, Refuse) and out.cause == TIME_UP
