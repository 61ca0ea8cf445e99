"""Progress of agreed drains: done when every broker that may send has applied it and has nothing in flight.

A pure state machine. A broker that is believed dead may be cut off and may still send: the drain waits until
it reports, or has left. The belief alone may delay a drain, and permits nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from quincepath.fleet.permits import Permit

REPORT_LIFETIME_NS = 2_500_000_000  # a report counts for so long


@dataclass(slots=True)
class DrainProgress:
    """The reports of all brokers, as received by this one."""

    # By broker: received at, applied, in flight.
    reports: dict[str, tuple[int, int, dict[str, int]]] = field(default_factory=dict)

    def apply_report(self, name: str, now: int, applied: int, out: dict[str, int]) -> None:
        """Apply one broker's report; an older one from another connection does not replace a newer one."""
        known = self.reports.get(name)
        if known is None or applied >= known[1]:
            self.reports[name] = (now, applied, dict(out))

    def waits_for(self, permit: Permit, brokers: Iterable[str], left: set[str], now: int) -> dict[str, str]:
        """By broker, why a drain is not done yet; empty where it is done."""
        waiting = {}
        for name in brokers:
            if name in left:
                continue
            report = self.reports.get(name)
            if report is None:
                waiting[name] = "has not reported"
            elif report[1] < permit.index:
                waiting[name] = "has not applied it"
            elif now > report[0] + REPORT_LIFETIME_NS:
                waiting[name] = "reports no more, and may still send"
            elif report[2].get(permit.name):
                waiting[name] = f"has {report[2][permit.name]} out there"
        return waiting
