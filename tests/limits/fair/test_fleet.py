"""Fair queueing at several brokers in virtual time: tenants get fair totals wherever their queries arrive."""

from random import Random

import pytest

from quincepath.lab.fair_plan import Plan, Result, Tenant
from quincepath.lab.fair_schedulers import EvenShares, FairQueueing, FirstCome
from quincepath.lab.fair_simulation import Simulation
from quincepath.limits.fair import FairScheduler, FairSettings, Stop
from quincepath.limits.fair.types import MS, SECOND
from tests.limits.fair.simulator import PoolSimulator, Query

ALL = tuple(range(5))
SETTINGS = FairSettings(slots=10, quick_slots=2)
USUAL = tuple(Tenant(f"usual {n}", ALL, clients=4) for n in range(4))


def news(random: Random) -> int | None:
    return None if random.random() < 0.2 else random.randrange(200 * MS, 800 * MS)


def play(tenants: tuple[Tenant, ...], scheduler: type = FairQueueing, kill: tuple[int, int] | None = None,
         heard: bool = True) -> Result:  # fmt: skip
    plan = Plan(tenants, scheduler, SETTINGS, brokers=5, holders=10, length=20 * SECOND,
                report_age=news if heard else None, kill=kill)  # fmt: skip
    simulation = Simulation(plan, 3)
    found = simulation.run()
    for one in simulation.schedulers:
        if isinstance(one, FairQueueing):
            one.inner.check()
    return found


def jain(found: Result, tenants: tuple[Tenant, ...]) -> float:
    index = found.jain(1, {tenant.name: tenant.weight for tenant in tenants})
    assert index is not None
    return index


@pytest.mark.parametrize("at", [ALL, (0,)])
def test_a_tenant_that_asks_for_a_hundred_times_its_share_gains_nothing(at: tuple[int, ...]) -> None:
    """At all brokers or at one; a quiet tenant hardly waits. First-come and even shares are less fair."""
    tenants = (*USUAL, Tenant("busy", at, clients=400), Tenant("quiet", ALL, rate=2))
    found = play(tenants)
    assert jain(found, tenants) > 0.95 and found.idle_share() < 0.02
    usual = [found.used[tenant.name][1] for tenant in USUAL]
    assert found.used["busy"][1] < 1.2 * sum(usual) / len(usual)
    assert sorted(found.waits["quiet"])[len(found.waits["quiet"]) // 2] < 500 * MS
    if at == ALL:
        assert jain(play(tenants, FirstCome), tenants) < 0.5
        assert jain(play(tenants, EvenShares), tenants) < 0.8


def test_a_tenant_at_one_broker_gets_its_share_with_remote_usage_and_not_without() -> None:
    tenants = (*USUAL[:3], *(Tenant(f"at {n}", (n,), clients=40) for n in range(3)))
    assert jain(play(tenants), tenants) > 0.95
    assert jain(play(tenants, heard=False), tenants) < 0.8


def test_weights_hold_over_all_brokers() -> None:
    settings = FairSettings(slots=10, quick_slots=2, weights={"heavy": 3.0})
    tenants = (*USUAL[:2], Tenant("heavy", ALL, clients=8, weight=3.0))
    plan = Plan(tenants, FairQueueing, settings, brokers=5, holders=10, length=20 * SECOND, report_age=news)
    found = Simulation(plan, 3).run()
    assert jain(found, tenants) > 0.95


def test_a_broker_killed_with_full_queues_costs_the_others_no_slots() -> None:
    tenants = (*USUAL, Tenant("busy", ALL, clients=100))
    found = play(tenants, kill=(8 * SECOND, 2))
    assert jain(found, tenants) > 0.95 and found.idle_share() < 0.02


def test_a_stop_with_full_queues_loses_no_query() -> None:
    """Each query has run or was refused by the end, for several seeds and times of the stop."""
    for seed in range(10):
        random = Random(seed)
        sim = PoolSimulator(FairScheduler(FairSettings(slots=12, quick_slots=4), seed))
        for _ in range(100):
            cost = int(SECOND * random.lognormvariate(0, 1))
            sim.enter(Query(f"t{random.randrange(5)}", cost, parts=random.randint(1, 4), target=20 * SECOND))
            sim.run(sim.now + random.randrange(100 * MS))
        sim.step([Stop(sim.now + 3 * SECOND)])
        refused = len(sim.refused)
        sim.run(sim.now + 3 * SECOND + 1)
        assert not sim.scheduler.queues.waiting and refused
        assert len(sim.ran) + len(sim.refused) == 100
        sim.run(sim.now + 60 * SECOND)
        assert (sim.scheduler.pool.slow, sim.scheduler.pool.quick) == (0, 0)


def test_the_same_seed_gives_the_same_run() -> None:
    one, other = (play((*USUAL, Tenant("busy", (0,), clients=50))) for _ in range(2))
    assert one.used == other.used and one.waits == other.waits and one.refused == other.refused
