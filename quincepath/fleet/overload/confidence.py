"""Weight of the fleet's totals by their age and coverage, without a step."""

from quincepath.fleet.load_reports.types import Totals
from quincepath.fleet.overload.types import OverloadSettings


def confidence(now: int, totals: Totals | None, settings: OverloadSettings) -> float:
    """1: in full; 0: not at all. Linear from ``stale_after`` to ``forget`` and between the two coverages."""
    if totals is None or totals.live <= 0:
        return 0.0
    span = max(settings.forget - settings.stale_after, 1)
    freshness = min(max((settings.forget - (now - totals.at)) / span, 0.0), 1.0)
    coverage_span = max(settings.full_coverage - settings.min_coverage, 1e-9)
    coverage = min(max((totals.coverage - settings.min_coverage) / coverage_span, 0.0), 1.0)
    return freshness * coverage
