"""Which mechanisms a machine can carry at real pace, by estimate from runs that it did carry."""

from benchmarks.capacity.scale.load import Profile
from benchmarks.capacity.scale.machine import RESERVED_CORES, Machine
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.result import NotCarried

USABLE = 0.7  # of a core's time: a loop that is busier is late too often
# Processor time of one hollow broker, ms a second, as runs at 60 to 300 measured it. OTHER is the loop,
# connections and metrics; with a view these look at each member once a second.
VIEW_MS, OTHER_MS, OTHER_MS_A_MEMBER = 1.3, 0.9, 0.0003
LEDGER_MS = {Profile.DEMO: 2.0, Profile.TARGET: 8.0}
LOG_MS = 0.2
CONFIGURATION_MS = 0.2
WITH_VIEW = "left out with the view; it can be played alone, with --mechanisms log,configuration"


def wanted_ms(mechanism: Mechanism, plan: Plan) -> float:
    """Processor time that one broker's mechanism takes, ms a second."""
    match mechanism:
        case Mechanism.VIEW:
            return VIEW_MS
        case Mechanism.LEDGER:
            return LEDGER_MS[plan.profile]
        case Mechanism.LOG:
            return LOG_MS
        case Mechanism.CONFIGURATION:
            return CONFIGURATION_MS


def other_ms(plan: Plan) -> float:
    """What a broker takes besides its mechanisms, ms a second."""
    looks = OTHER_MS_A_MEMBER * plan.brokers if Mechanism.VIEW in plan.mechanisms else 0.0
    return OTHER_MS + looks


def carried(plan: Plan, machine: Machine) -> tuple[tuple[Mechanism, ...], list[NotCarried]]:
    """The mechanisms that fit, and the others with the reason.

    The dearest goes first, but not the view: the others are played around it. Where the view does not fit
    even alone, all go.
    """
    cores = max(machine.cores - RESERVED_CORES, 1)
    usable = cores * USABLE
    kept = list(plan.mechanisms)
    dropped: list[NotCarried] = []

    def cores_wanted(*mechanisms: Mechanism) -> float:
        each = sum(wanted_ms(one, plan) for one in mechanisms) + other_ms(plan)
        return each * plan.brokers / 1000

    def drop(mechanism: Mechanism, why: str) -> None:
        kept.remove(mechanism)
        dropped.append(NotCarried(mechanism, why))

    def too_dear(mechanism: Mechanism) -> str:
        own = wanted_ms(mechanism, plan) * plan.brokers / 1000
        return (
            f"about {own:.1f} cores wanted at real pace, {cores_wanted(*kept):.1f} with all else that is on; "
            f"{usable:.1f} of {machine.cores} usable"
        )

    while kept and cores_wanted(*kept) > usable:
        others = [one for one in kept if one is not Mechanism.VIEW]
        view_fits = Mechanism.VIEW not in kept or cores_wanted(Mechanism.VIEW) <= usable
        if view_fits and others:
            dearest = max(others, key=lambda one: wanted_ms(one, plan))
            drop(dearest, too_dear(dearest))
            continue
        for one in kept.copy():
            alone = one in (Mechanism.VIEW, Mechanism.LEDGER) or Mechanism.VIEW not in plan.mechanisms
            drop(one, too_dear(one) if alone else WITH_VIEW)
    return tuple(kept), dropped
