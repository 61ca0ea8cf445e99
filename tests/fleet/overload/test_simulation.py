"""Failure cases of overload control in small simulations in virtual time: 20 brokers, 20 nodes."""

from dataclasses import replace

import pytest

from quincepath.fleet.overload import Arrival, OverloadControl, core, ordering
from quincepath.lab.overload_simulation import Plan, Simulation, Strategy, figures, scenes
from quincepath.lab.overload_simulation.figures import Record
from quincepath.lab.overload_simulation.plan import SECOND

SMALL = scenes.base(20, 20)
SETTLED = scenes.STEP_AT + 5 * SECOND


def play(plan: Plan, way: Strategy = Strategy.FLEET, seed: int = 1) -> Record:
    return Simulation(plan, way, seed).run()


def short(plan: Plan) -> Plan:
    return replace(plan, length=28 * SECOND)


def goodput_of(plan: Plan, record: Record, start: int = SETTLED) -> float:
    return figures.goodput(plan, record, start, plan.length)


@pytest.mark.parametrize("times", [2.0, 5.0])
def test_goodput_under_load(times: float) -> None:
    plan = short(scenes.step(SMALL, times))
    record = play(plan)
    assert goodput_of(plan, record) > 0.9
    assert figures.out_of_order(record, SETTLED, plan.length) < 0.05


def test_nothing_is_shed_at_90_percent_load() -> None:
    plan = short(scenes.calm(SMALL))
    record = play(plan)
    assert sum(record.shed) <= 0.001 * sum(record.tries)


def test_one_full_replica_set_does_not_affect_the_others() -> None:
    plan = short(scenes.one_set(replace(SMALL, holders=40)))
    record = play(plan)
    cells = record.shed_by_set
    assert cells[0] > 1000
    alone = {
        cell: count for cell, count in cells.items() if cell > 0
    }  # shed for another set, or together with set 0
    tries = {cell: record.admitted_by_set[cell] for cell in range(1, 8)}
    assert all(alone.get(cell, 0) < 0.3 * tries[cell] for cell in tries)
    assert cells.get(-1, 0) < 0.02 * sum(record.tries)


def test_all_load_at_one_broker_of_an_idle_fleet_is_served() -> None:
    plan = scenes.one_broker(SMALL)
    record = play(plan)
    assert sum(record.shed) == 0 and sum(record.good) > 0.95 * sum(record.asked)


@pytest.mark.parametrize("scene", [scenes.few_brokers, scenes.partition, scenes.ignored_advice])
def test_goodput_during_failures(scene: object) -> None:
    plan = short(scene(SMALL))  # type: ignore[operator]
    assert goodput_of(plan, play(plan), scenes.OUTAGE_AT + 5 * SECOND) > 0.9


def test_late_totals_cause_no_oscillation() -> None:
    plan = short(scenes.late_reports(SMALL))
    record = play(plan)
    assert goodput_of(plan, record) > 0.9


def test_the_fleet_recovers_after_the_loss_of_a_third_of_the_nodes() -> None:
    plan = replace(scenes.trigger(scenes.base(20, 40)), length=50 * SECOND)
    record = play(plan)
    recovered_at = scenes.OUTAGE_AT + scenes.OUTAGE_DURATION
    assert figures.seconds_to_recovery(record, recovered_at, plan.length) <= 20


def test_further_sends_keep_to_the_fleets_budget() -> None:
    plan = short(scenes.step(SMALL, 3.0))
    record = play(plan)
    assert sum(record.further) > 0
    assert sum(record.further) <= scenes.BUDGET_RATIO * sum(record.first) + scenes.BUDGET_FREE * 28


def test_a_planted_hash_per_broker_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    from tests.fleet.overload.test_core import test_all_brokers_give_a_query_the_same_priority as check

    def per_broker_priority(self: OverloadControl, now: int, arrival: Arrival) -> float:
        return ordering.priority(arrival.worth, 0.0, arrival.tenant, arrival.client, id(self))

    monkeypatch.setattr(OverloadControl, "priority", per_broker_priority)
    with pytest.raises(AssertionError):
        check()


def test_a_planted_use_of_low_coverage_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    from tests.fleet.overload.test_core import test_totals_with_low_coverage_change_no_threshold as check

    monkeypatch.setattr(core, "confidence", lambda now, totals, settings: 1.0 if totals else 0.0)
    with pytest.raises(AssertionError):
        check()
