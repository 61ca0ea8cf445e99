"""Fair turns, case by case: what runs, what waits, what is refused, and that no slot is lost."""

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
from tests.limits.fair.simulator import HOUR, MS, SECOND, Bench, Query

SMALL = FairSettings(slots=12, quick_slots=4, query_slots_most=4, small_floor=0)


def bench(settings: FairSettings = SMALL) -> Bench:
    return Bench(FairScheduler(settings, 1))


def teach(turns: FairScheduler, tenant: str, kind: int, cost: int, times: int = 5, parts: int = 1) -> None:
    for _ in range(times):
        turns.costs.learn(tenant, Footprint(kind, parts, (0,)), cost, cost // parts)


def contend(world: Bench, queries: dict[str, Query], depth: dict[str, int], until: int, every: int) -> None:
    """Each tenant keeps as many waiting as its depth, looked at every so often."""
    while world.now < until:
        for tenant, query in queries.items():
            world.keep(query, depth[tenant])
        world.run(world.now + every)


def test_one_alone_has_all_slow_slots_and_no_quick_one() -> None:
    world = bench()
    numbers = world.enter_all([Query("a", SECOND)] * 20)
    assert sum(number in world.ran for number in numbers) == 8
    assert world.turns.pool.slow == 8 and world.turns.pool.quick == 0


def test_a_quick_query_never_waits_for_slow_ones() -> None:
    world = bench()
    teach(world.turns, "q", 2, 5 * MS)
    world.enter_all([Query("a", 10 * SECOND)] * 30)
    assert world.ran[world.enter(Query("q", 5 * MS, kind=2))] == Run(31, Speed.QUICK, 0)


def test_quick_queries_over_a_tenants_share_wait_and_others_do_not() -> None:
    world = bench()
    for tenant in ("loud", "quiet"):
        teach(world.turns, tenant, 2, 100 * MS)
    world.enter_all([Query("slow", 10 * SECOND)] * 9)
    loud = world.enter_all([Query("loud", 100 * MS, kind=2)] * 40)
    assert sum(number in world.ran for number in loud) == 4
    assert world.enter(Query("quiet", 100 * MS, kind=2)) in world.ran
    world.run(100 * MS + 1)
    assert sum(number in world.ran for number in loud) == 8  # the quick part is theirs again
    assert world.turns.pool.slow == 8


@pytest.mark.parametrize("weights, share", [({}, 0.5), ({"loud": 1, "quiet": 3}, 0.75), ({"loud": 4.0}, 0.2)])
@pytest.mark.parametrize("costs", [(SECOND, SECOND), (400 * MS, 4 * SECOND), (4 * SECOND, 400 * MS)])
def test_slot_time_goes_by_weight_whatever_the_demand_and_cost(
    weights: dict[str, float], share: float, costs: tuple[int, int]
) -> None:
    """The loud tenant keeps a hundred waiting, the quiet one as few as it needs."""
    world = bench(FairSettings(slots=12, quick_slots=4, weights=weights))
    queries = {"loud": Query("loud", costs[0], kind=1), "quiet": Query("quiet", costs[1], kind=2)}
    contend(world, queries, {"loud": 100, "quiet": 10}, 100 * SECOND, 100 * MS)
    used = world.used
    assert used["quiet"] / (used["quiet"] + used["loud"]) == pytest.approx(share, abs=0.04)
    assert sum(used.values()) > 0.93 * 8 * 100 * SECOND


@pytest.mark.parametrize("before", [0.01, 1.0, 100.0])
def test_a_weight_that_changes_while_queries_run_and_wait_counts_from_then_on(before: float) -> None:
    """Neither is starved for what it was charged by another weight."""
    world = bench(FairSettings(slots=12, quick_slots=4, weights={"quiet": before}))
    queries = {"loud": Query("loud", SECOND, kind=1), "quiet": Query("quiet", SECOND, kind=2)}
    depth = {"loud": 50, "quiet": 50}
    contend(world, queries, depth, 40 * SECOND, 100 * MS)
    world.turns.set_weight("quiet", 3.0)
    used = dict(world.used)
    contend(world, queries, depth, 80 * SECOND, 100 * MS)
    spent = {name: world.used[name] - used.get(name, 0) for name in queries}
    assert spent["quiet"] / sum(spent.values()) == pytest.approx(0.75, abs=0.05)
    world.turns.set_weight("quiet", None)
    assert world.turns.queues.weights == {"quiet": before}  # as the settings have it
    world.turns.set_weight("other", 2.0)
    world.turns.set_weight("other", None)
    assert "other" not in world.turns.queues.weights


@pytest.mark.parametrize("factor", [0.01, 100.0])
def test_shares_hold_where_cost_is_predicted_a_hundred_times_wrong(factor: float) -> None:
    """Whether too low (it is charged while it runs) or too high (given back, and unlearned)."""
    world = bench()
    teach(world.turns, "wrong", 1, int(SECOND * factor), times=50)
    teach(world.turns, "right", 2, SECOND, times=50)
    queries = {"wrong": Query("wrong", SECOND, kind=1), "right": Query("right", SECOND, kind=2)}
    contend(world, queries, {"wrong": 30, "right": 30}, 120 * SECOND, 100 * MS)
    assert world.used["wrong"] / sum(world.used.values()) == pytest.approx(0.5, abs=0.05)


def test_one_taken_for_quick_is_moved_to_the_slow_account_while_it_runs() -> None:
    world = bench()
    teach(world.turns, "a", 2, 5 * MS)
    world.enter_all([Query("b", 30 * SECOND)] * 20)
    number = world.enter(Query("a", 20 * SECOND, kind=2))
    assert world.ran[number].speed is Speed.QUICK and world.turns.pool.quick == 1
    world.run(251 * MS)
    assert (world.turns.pool.quick, world.turns.pool.slow, world.turns.runs.reclassified) == (0, 9, 1)
    world.run(5 * SECOND)
    queue = world.turns.queues.own["a"]
    assert queue.running == 1 and queue.tag >= 4 * SECOND


def test_many_small_ones_are_not_held_up_by_a_few_huge_ones() -> None:
    """Huge ones of a hundred seconds keep coming; small ones of 300 ms never wait for one of them to end."""
    world = bench(FairSettings(slots=12, quick_slots=4, small_share=0.5))
    teach(world.turns, "huge", 1, 100 * SECOND)
    teach(world.turns, "small", 2, 300 * MS)
    queries = {
        "huge": Query("huge", 100 * SECOND, kind=1, target=HOUR),
        "small": Query("small", 300 * MS, kind=2),
    }
    world.keep(queries["huge"], 20)
    assert world.turns.pool.large == 7  # never all, even before a small one came
    contend(world, queries, {"huge": 20, "small": 10}, 60 * SECOND, 50 * MS)
    assert world.used["small"] > 55 * SECOND and max(world.waits["small"]) < 5 * SECOND
    assert world.turns.pool.large < 8


def test_wide_large_ones_on_all_slots_do_not_hold_up_a_small_one() -> None:
    """The last of them is wider than what was left; the small one starts over the bound, once."""
    world = bench(FairSettings(slots=12, quick_slots=4, query_slots_most=4))
    teach(world.turns, "huge", 1, 100 * SECOND, parts=4)
    teach(world.turns, "small", 2, 300 * MS)
    world.enter_all([Query("huge", 100 * SECOND, kind=1, parts=4, target=HOUR)] * 4)
    assert world.turns.pool.large == 8
    first, second = world.enter_all([Query("small", 300 * MS, kind=2)] * 2)
    assert first in world.ran and second not in world.ran and world.turns.pool.slow == 9


def test_an_idle_hour_saves_nothing_up() -> None:
    world = bench()
    queries = {"a": Query("a", SECOND, kind=1), "idle": Query("idle", SECOND, kind=2)}
    contend(world, queries, {"a": 20, "idle": 20}, 10 * SECOND, 100 * MS)
    contend(world, {"a": queries["a"]}, {"a": 20}, HOUR, 10 * SECOND)
    before = world.used.copy()
    contend(world, queries, {"a": 20, "idle": 20}, HOUR + 20 * SECOND, 100 * MS)
    gained = {tenant: world.used[tenant] - before[tenant] for tenant in queries}
    assert gained["idle"] / sum(gained.values()) == pytest.approx(0.5, abs=0.08)


def test_a_hundred_thousand_invented_names_stay_bounded_and_push_nobody_out() -> None:
    """The one that is named asks for a quarter of the pool, and its weight is worth more."""
    settings = FairSettings(slots=12, quick_slots=4, waiting_most=100, tenants_most=32, shared_queues=4,
                            cost_entries_most=64, weights={"real": 16.0})  # fmt: skip
    world = bench(settings)
    served: list[int] = []
    for start in range(0, 100_000, 500):
        world.enter_all(
            [Query(f"invented {n}", SECOND, target=20 * SECOND) for n in range(start, start + 500)]
        )
        served.append(world.enter(Query("real", SECOND, kind=2, target=20 * SECOND)))
        world.run(world.now + 500 * MS)
        queues = world.turns.queues
        assert len(queues.waiting) <= 100 and len(queues.shared) <= 4
        assert len(queues.own) <= 33 and len(world.turns.costs) <= 64
        assert len(world.turns.served()) <= 33
    world.run(world.now + 20 * SECOND)
    assert all(number in world.ran for number in served)


def test_what_cannot_be_served_in_time_is_refused_at_its_arrival_with_advice() -> None:
    world = bench()
    teach(world.turns, "a", 1, 4 * SECOND)
    numbers = world.enter_all([Query("a", 4 * SECOND, target=10 * SECOND)] * 60)
    late = [world.refused[number] for number in numbers if number in world.refused]
    assert len(late) > 30 and {refuse.cause for refuse in late} == {TOO_LATE}
    assert all(100 * MS <= refuse.retry_in <= 10 * SECOND for refuse in late)
    world.run(60 * SECOND)
    assert not world.late and len(world.ran) + len(world.refused) == 60


def test_one_whose_time_is_up_leaves_the_queue_before_it_is_in_vain() -> None:
    """Nobody could foresee it: what runs is a hundred times longer than what was like it."""
    world = bench()
    teach(world.turns, "a", 1, 300 * MS)
    teach(world.turns, "b", 2, 300 * MS)
    world.enter_all([Query("a", 300 * SECOND)] * 8)
    number = world.enter(Query("b", 300 * MS, kind=2, target=5 * SECOND))
    world.run(4 * SECOND)
    assert number not in world.refused
    world.run(5 * SECOND)
    assert world.refused[number].cause == TIME_UP and not world.turns.queues.waiting


def test_bounds_of_the_queues_and_who_gives_way_when_all_are_full() -> None:
    world = bench(FairSettings(slots=12, quick_slots=4, waiting_most=50, waiting_tenant_most=40))
    loud = world.enter_all([Query("loud", SECOND, target=HOUR)] * 60)
    assert [world.refused[n].cause for n in loud if n in world.refused] == [TENANT_FULL] * 12
    world.enter_all([Query("other", SECOND, target=HOUR)] * 10)
    assert not [n for n, refuse in world.refused.items() if refuse.cause == FULL]
    quiet = world.enter(Query("quiet", SECOND, target=HOUR))
    assert quiet not in world.refused
    assert [world.tenants[n] for n, refuse in world.refused.items() if refuse.cause == FULL] == ["loud"]
    assert len(world.turns.queues.waiting) == 50


def test_stop_with_full_queues_keeps_what_fits_in_the_time_left() -> None:
    world = bench()
    teach(world.turns, "a", 1, SECOND)
    numbers = world.enter_all([Query("a", SECOND)] * 80)
    world.run(500 * MS)
    world.step([Stop(world.now + 4 * SECOND)])
    told = [n for n in numbers if n in world.refused]
    assert {world.refused[n].cause for n in told} == {STOPPING} and 40 <= len(told) <= 56
    assert world.refused[world.enter(Query("b", SECOND))].cause == STOPPING
    world.run(4500 * MS + 1)
    assert not world.turns.queues.waiting and len(world.ran) + len(world.refused) == 81
    assert not world.turns.runs.all, "what was kept has ended in the time left"


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
def test_whatever_ends_a_query_its_slots_come_back(ends: list[Done | Cancelled | Freed]) -> None:
    turns = FairScheduler(SMALL, 1)
    assert isinstance(turns.step(0, [Enter(1, "a", Footprint(1, 4, (0,)), HOUR, HOUR)])[0], Run)
    assert turns.pool.slow == 4
    for at, end in enumerate(ends, 1):
        turns.step(at * SECOND, [end])
        turns.check()
    assert (turns.pool.slow, turns.pool.quick, turns.pool.large) == (0, 0, 0) and not turns.runs.all


def test_parts_that_came_back_let_another_run() -> None:
    turns = FairScheduler(SMALL, 1)
    enters = [Enter(n, "a", Footprint(1, 4, (0,)), HOUR, HOUR) for n in (1, 2, 3)]
    assert [out.number for out in turns.step(0, enters)] == [1, 2]
    assert [out.number for out in turns.step(SECOND, [Freed(1, 1)])] == [3]
    assert turns.pool.slow == 11  # a start is wider than the one free slot, by less than one query


def test_one_that_leaves_the_queue_never_runs() -> None:
    world = bench()
    world.enter_all([Query("a", SECOND)] * 8)
    number = world.enter(Query("b", SECOND))
    world.leave(number)
    world.run(10 * SECOND)
    assert number not in world.ran and number not in world.refused and not world.turns.queues.waiting


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
def test_settings_that_cannot_be_are_told_with_place_and_value(bad: dict[str, object], says: str) -> None:
    with pytest.raises(ValueError) as told:
        FairSettings(**bad)  # type: ignore[arg-type]
    assert says in str(told.value)


def test_a_number_that_is_not_free_and_time_that_runs_backwards_are_errors() -> None:
    turns = FairScheduler(SMALL, 1)
    enter = Enter(1, "a", Footprint(1, 1, (0,)), HOUR, HOUR)
    turns.step(5, [enter])
    with pytest.raises(ValueError, match="query 1 entered twice"):
        turns.step(5, [enter])
    with pytest.raises(ValueError, match="step at 4: expected 5 or later"):
        turns.step(4)


def test_a_query_that_comes_when_its_time_is_up_is_refused() -> None:
    [out] = FairScheduler(SMALL, 1).step(5, [Enter(1, "a", Footprint(1, 1, (0,)), 0, HOUR)])
    assert isinstance(out, Refuse) and out.cause == TIME_UP
