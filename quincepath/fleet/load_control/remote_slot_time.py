"""Slot time that tenants used at other brokers, as one count per tenant that only grows.

Totals are sums over windows that overlap; fair queueing needs the growth since it last looked. Each update
adds the rate of the totals times the time since the update before. A window that is received twice, or one
that is missed, is never counted twice: the count may lag by a window and is never ahead of the totals.
"""

from collections.abc import Mapping

from quincepath.fleet.load_reports.types import Totals

MAX_TENANTS = 512  # beyond it the tenants that grew longest ago are dropped


class RemoteSlotTime:
    """Remote slot time as seen by one broker."""

    def __init__(self) -> None:
        self.by_tenant: dict[str, int] = {}
        self._updated_at: int | None = None

    def update(self, totals: Totals, own: Mapping[str, int]) -> Mapping[str, int]:
        """Apply totals. ``own``: this broker's slot time (ns) by tenant in a window as long, to subtract."""
        previous, self._updated_at = self._updated_at, max(totals.at, self._updated_at or totals.at)
        if previous is None or totals.at <= previous:
            return self.by_tenant
        share = min(totals.at - previous, totals.window) / max(totals.window, 1)
        for name, total in totals.tenants.items():
            increase = int(max(total.slot_time - own.get(name, 0), 0.0) * share)
            if increase:
                self.by_tenant[name] = self.by_tenant.pop(name, 0) + increase  # the last one to grow is last
        while len(self.by_tenant) > MAX_TENANTS:
            del self.by_tenant[next(iter(self.by_tenant))]
        return self.by_tenant
