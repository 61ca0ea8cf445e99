"""Which mechanisms a machine can carry at real pace, by estimate from runs that it did carry."""

from benchmarks.capacity.scale.load import Profile
from benchmarks.capacity.scale.machine import RESERVED_CORES, Machine
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.result import NotCarried

USABLE = 0.7  # of a core's time: a loop that is busier is late too often
# Processor time of one hollow broker, ms a second: the view also grows with the members (a look at each).
VIEW_MS, VIEW_MS_A_MEMBER = 1.2, 0.0006
LEDGER_MS = {Profile.DEMO: 1.6, Profile.TARGET: 8.0}
LOG_MS = 0.2
CONFIGURATION_MS = 0.3
OTHER_MS = 1.0


def wanted_ms(mechanism: Mechanism, plan: Plan) -> float:
    """Processor time that one broker's mechanism takes, ms a second."""
    match mechanism:
        case Mechanism.VIEW:
            return VIEW_MS + OTHER_MS + VIEW_MS_A_MEMBER * plan.brokers
        case Mechanism.LEDGER:
            return LEDGER_MS[plan.profile]
        case Mechanism.LOG:
            return LOG_MS
        case Mechanism.CONFIGURATION:
            return CONFIGURATION_MS


def carried(plan: Plan, machine: Machine) -> tuple[tuple[Mechanism, ...], list[NotCarried]]:
    """The mechanisms that fit, and the others with the reason; the dearest goes first, the view stays."""
    cores = max(machine.cores - RESERVED_CORES, 1)
    usable = cores * 1000 * USABLE
    kept, dropped = list(plan.mechanisms), []
    for mechanism in sorted(plan.mechanisms, key=lambda one: wanted_ms(one, plan), reverse=True):
        total = sum(wanted_ms(one, plan) for one in kept) * plan.brokers
        if total <= usable or mechanism is Mechanism.VIEW:
            continue
        if mechanism not in kept:
            continue
        kept.remove(mechanism)
        wanted = wanted_ms(mechanism, plan) * plan.brokers / 1000
        why = f"about {wanted:.1f} cores wanted at real pace; {cores} of {machine.cores} may be used"
        dropped.append(NotCarried(mechanism, why))
    return tuple(kept), dropped
