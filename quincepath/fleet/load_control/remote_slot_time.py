"""Slot time that tenants got at other brokers, as one count a tenant that only grows.

The ledger tells sums over windows that overlap; a fair queue needs to know how much came since it last
looked. Each news adds what its rate comes to over the time since the news before. A window told twice, or one
that is missed, never counts twice: the count may lag by a window and does not run ahead of what was told.
"""

from collections.abc import Mapping

from quincepath.fleet.load_reports.types import Totals

MAX_TENANTS = 512  # kept; beyond it those go that grew longest ago


class RemoteSlotTime:
    """One a broker."""

    def __init__(self) -> None:
        self.by_tenant: dict[str, int] = {}
        self._updated_at: int | None = None

    def update(self, totals: Totals, own: Mapping[str, int]) -> Mapping[str, int]:
        """``own``: slot time (ns) of this broker's tenants in a window as long, which is taken off."""
        previous, self._updated_at = self._updated_at, max(totals.at, self._updated_at or totals.at)
        if previous is None or totals.at <= previous:
            return self.by_tenant
        share = min(totals.at - previous, totals.window) / max(totals.window, 1)
        for name, total in totals.tenants.items():
            increase = int(max(total.slot_time - own.get(name, 0), 0.0) * share)
            if increase:
                self.by_tenant[name] = self.by_tenant.pop(name, 0) + increase  # the last to grow stands last
        while len(self.by_tenant) > MAX_TENANTS:
            del self.by_tenant[next(iter(self.by_tenant))]
        return self.by_tenant
