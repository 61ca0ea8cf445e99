"""The measured scenes: load steps, an outage with clients that retry at once, and difficult cases."""

from dataclasses import replace

from quincepath.fleet.overload import OverloadSettings
from quincepath.lab.overload_simulation.plan import MS, SECOND, Load, Outage, Plan, Reporting, RetryPolicy

STEP_AT = 10 * SECOND  # start of the load step
OUTAGE_AT, OUTAGE_DURATION = 15 * SECOND, 10 * SECOND  # outage of a third of the holders
BUDGET_RATIO, BUDGET_FREE = 0.1, 1.0


def base(brokers: int = 200, holders: int = 200) -> Plan:
    """85% load with the settings of the benchmarks."""
    settings = OverloadSettings(
        brokers=brokers, trial_rate=4.0, budget_ratio=BUDGET_RATIO, budget_free=BUDGET_FREE
    )
    return Plan(brokers=brokers, holders=holders, settings=settings)


def calm(plan: Plan) -> Plan:
    """90% load without events."""
    return replace(plan, loads=(Load(0, 0.9),), length=40 * SECOND)


def step(plan: Plan, factor: float) -> Plan:
    """A step from 80% load to the given multiple of the capacity."""
    return replace(plan, loads=(Load(0, 0.8), Load(STEP_AT, factor)), length=40 * SECOND)


def trigger(plan: Plan) -> Plan:
    """A third of the holders fails for 10 s; clients retry four times at once and do not mark the retries."""
    outage = (Outage(OUTAGE_AT, OUTAGE_DURATION, 1 / 3),)
    return replace(
        plan, outages=outage, retry_policy=RetryPolicy.IMMEDIATE, retries_marked=False, length=60 * SECOND
    )


def without_trigger(plan: Plan) -> Plan:
    """The load and clients of ``trigger`` without the outage: a control run to attribute the effect to it."""
    return replace(trigger(plan), outages=())


def silent_holders(plan: Plan) -> Plan:
    """A tenth of the holders fails for long without being removed from the endpoint list."""
    outage = (Outage(STEP_AT, 100 * SECOND, 0.1),)
    return replace(plan, loads=(Load(0, 0.6),), outages=outage, unlist_delay=100 * SECOND, length=70 * SECOND)


def one_set(plan: Plan) -> Plan:
    """One replica set gets an additional three times its capacity; 60% load elsewhere."""
    return replace(
        plan,
        loads=(Load(0, 0.6), Load(STEP_AT, 0.6, 3.0)),
        retry_policy=RetryPolicy.NEVER,
        length=40 * SECOND,
    )


def one_broker(plan: Plan) -> Plan:
    """All queries arrive at one broker of an otherwise idle fleet."""
    return replace(plan, loads=(Load(0, 0.3),), one_broker=True, length=25 * SECOND)


def few_brokers(plan: Plan) -> Plan:
    """Seven in ten brokers are killed at one and a half times the capacity."""
    outage = (Outage(OUTAGE_AT, 60 * SECOND, 0.7, brokers=True),)
    return replace(plan, loads=(Load(0, 1.5),), outages=outage, length=40 * SECOND)


def partition(plan: Plan) -> Plan:
    """Load reports are partitioned into two halves for 15 s at twice the capacity."""
    return replace(step(plan, 2.0), reporting=Reporting(partition=(15 * SECOND, 30 * SECOND)))


def ignored_advice(plan: Plan) -> Plan:
    """Twice the capacity, with clients that retry four times at once whatever delay is advised."""
    return replace(step(plan, 2.0), retry_policy=RetryPolicy.IMMEDIATE)


def late_reports(plan: Plan, factor: int = 1) -> Plan:
    """Twice the capacity, with load reports 0.2 to 3 s old, or ``factor`` times as old."""
    return replace(
        step(plan, 2.0), reporting=Reporting(min_delay=200 * MS * factor, max_delay=3 * SECOND * factor)
    )
