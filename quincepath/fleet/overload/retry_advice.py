"""When a refused client should retry, and how many marked retries of a tenant are admitted."""

import random

from quincepath.fleet.load_reports.types import SECOND, Count, Totals
from quincepath.fleet.overload.types import LocalStats, OverloadSettings

REFUSALS = (Count.SHED, Count.REFUSED, Count.TURNED_AWAY)
MAX_SAVED_RETRIES = 5.0  # unused retries that a tenant may save up
OTHER_TENANTS = ""


def retry_window(
    local: LocalStats, totals: Totals | None, confidence: float, settings: OverloadSettings
) -> int:
    """Time, ns, over which the queries refused in a window can return without exceeding the spare capacity.

    Spare capacity is what an update of the threshold admits in addition: ``max_increase`` of what is served.
    Without totals the same is computed from this broker's own statistics.
    """
    own = _window_for(local.refused, local.ended - local.bad, local.window, settings)
    if totals is None or confidence <= 0:
        return int(own)
    refused = sum(totals.count(outcome) for outcome in REFUSALS)
    fleet = _window_for(refused, totals.count(Count.IN_TIME), totals.window, settings)
    return int(own + confidence * (fleet - own))


def _window_for(refused: float, served: float, window: int, settings: OverloadSettings) -> float:
    max_window = settings.max_retry_after - settings.min_retry_after
    spare = settings.max_increase * served * settings.period / SECOND  # in a window
    needed = refused / spare * window if spare > 0 else (max_window if refused else 0)
    return float(min(max(needed, settings.min_retry_after), max_window))


def retry_after(random_source: random.Random, window: int, settings: OverloadSettings) -> int:
    """The delay of one client, ns: uniform between the minimum and the maximum."""
    return settings.min_retry_after + int(random_source.random() * window)


class RetryQuota:
    """Marked retries in proportion to first tries, by tenant; beyond the limit tenants share one entry."""

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self._saved: dict[str, float] = {}

    def admit(self, tenant: str, marked: bool) -> bool:
        """Count a try; False: a marked retry beyond the quota. Called only while the threshold is above 0."""
        if tenant not in self._saved and len(self._saved) >= self._settings.max_tenants:
            tenant = OTHER_TENANTS
        saved = self._saved.get(tenant, MAX_SAVED_RETRIES)
        if marked:
            if saved < 1:
                return False
            self._saved[tenant] = saved - 1
            return True
        self._saved[tenant] = min(saved + self._settings.retry_share, MAX_SAVED_RETRIES)
        return True
