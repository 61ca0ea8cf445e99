"""How far agreed drains have come: done when every broker that may send has applied it and has nothing out.

Pure. A broker that is believed dead may be cut off and may still send: it is waited for until it reports, or
has left. That is a belief's worth: it may delay, and permits nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from quincepath.fleet.permits import Permit

REPORT_LIFETIME_NS = 2_500_000_000  # ns that a report counts for


@dataclass(slots=True)
class DrainProgress:
    """Reports of all brokers, as this one has them."""

    reports: dict[str, tuple[int, int, dict[str, int]]] = field(default_factory=dict)  # at, applied, out

    def apply_report(self, name: str, now: int, applied: int, out: dict[str, int]) -> None:
        """One broker's report; an older one of another connection changes nothing back."""
        known = self.reports.get(name)
        if known is None or applied >= known[1]:
            self.reports[name] = (now, applied, dict(out))

    def waits_for(self, permit: Permit, brokers: Iterable[str], left: set[str], now: int) -> dict[str, str]:
        """By broker, why a drain is not done yet; empty where it is."""
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
