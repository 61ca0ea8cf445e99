"""Limits the influence of a single broker on the sums.

By family of fields (queries taken, their outcomes, sends, slot time, demand ...) one member contributes at
most ``most_rate`` times the window and, where three or more others report, at most ``share_most`` times the
mean of the others: of those summed up in the same group, or of the fleet by the last totals, whichever is
larger. What is below ``free_rate`` always counts. All fields of a family are scaled alike and rounded down:
clipping never increases a value.
"""

from collections.abc import Sequence

from quincepath.fleet.load_reports.fields import (
    DEMAND,
    FAMILY_BY_FIELD,
    FAMILY_COUNT,
    REFUSED,
    SENT,
    SLOT_TIME,
)
from quincepath.fleet.load_reports.sums import Sums
from quincepath.fleet.load_reports.types import MS, SECOND, LoadReportSettings

MIN_OTHER_PARTS = 3  # reliable parts needed to compare with their mean
MAX_TRACKED_KEYS = 512  # remembered contributors to the fleet's sums; for others the fleet's mean is not used


def family_bounds(settings: LoadReportSettings) -> list[tuple[float, float]]:
    """By family: the limit of one member in a window, and what always counts."""
    window = settings.window / SECOND
    max_queries, free_queries = settings.most_rate * window, settings.free_rate * window
    limits = [(max_queries, free_queries)] * FAMILY_COUNT
    for family in (SENT, DEMAND, REFUSED):
        limits[family] = (
            max_queries * settings.max_sends_per_query,
            free_queries * settings.max_sends_per_query,
        )
    max_slot_ms = settings.max_slots * settings.window / MS
    limits[SLOT_TIME] = (max_slot_ms, max_slot_ms * min(settings.free_rate / settings.most_rate, 1.0))
    return limits


def family_sums(part: Sums) -> list[int]:
    """The fields of each family added up."""
    sums = [0] * FAMILY_COUNT
    for number, value in part.values.items():
        sums[FAMILY_BY_FIELD[number]] += value
    sums[SLOT_TIME] = max(sums[SLOT_TIME], sum(part.tenant_slot_ms.values()))
    return sums


class ContributionHistory:
    """Recent contributions by member or group, subtracted from the fleet's sums for the mean of the *others*.

    The maximum of the last ``forget`` is kept, or at least of half of it: the fleet's sums, which are a
    little older, contain no more of it.
    """

    def __init__(self, settings: LoadReportSettings) -> None:
        self._settings = settings
        # By contributor: since when, the maximum since then, the maximum before.
        self._recent: dict[object, tuple[int, list[int], list[int]]] = {}

    def others_means(self, fleet: Sums | None, key: object, members: int) -> list[float]:
        """By family the mean of the fleet's other members; 0 where it is not known."""
        if fleet is None or fleet.reporting <= members or key not in self._recent:
            return [0.0] * FAMILY_COUNT
        _, recent, earlier = self._recent[key]
        fleet_sums = family_sums(fleet)
        rest = [
            max(fleet_sums[family] - max(recent[family], earlier[family]), 0)
            for family in range(FAMILY_COUNT)
        ]
        return [value / (fleet.reporting - members) for value in rest]

    def record(self, now: int, key: object, part: Sums) -> None:
        """Record the present contribution."""
        families = family_sums(part)
        since, recent, earlier = self._recent.get(key, (now, families, families))
        if now - since > self._settings.forget // 2:
            since, recent, earlier = now, families, recent
        if key in self._recent or len(self._recent) < MAX_TRACKED_KEYS:
            self._recent[key] = (since, [max(pair) for pair in zip(families, recent, strict=True)], earlier)

    def expire(self, now: int) -> None:
        """Forget those without a recent record."""
        for key in [
            key for key, (since, _, _) in self._recent.items() if now - since > 2 * self._settings.forget
        ]:
            del self._recent[key]


def clip(
    parts: Sequence[tuple[int, Sums]], settings: LoadReportSettings, means: Sequence[Sequence[float]] = ()
) -> tuple[list[Sums], int]:
    """Each of (members, their sum) clipped to the limits, and how many were above one.

    ``means``: for each part, by family, the estimated mean of the fleet's other members.
    """
    families = [family_sums(part) for _, part in parts]
    limits = family_bounds(settings)
    reliable = [index for index, (members, part) in enumerate(parts) if part.reporting * 2 > members]
    reliable_members = sum(parts[index][0] for index in reliable)
    reliable_sums = [sum(families[index][family] for index in reliable) for family in range(FAMILY_COUNT)]
    bounded, clipped = [], 0
    for index, (members, part) in enumerate(parts):
        is_reliable = index in reliable
        other_parts = len(reliable) - is_reliable
        other_members = reliable_members - (members if is_reliable else 0)
        scales = []
        for family in range(FAMILY_COUNT):
            limit = limits[family][0] * members
            if other_parts >= MIN_OTHER_PARTS:
                mean = (
                    reliable_sums[family] - (families[index][family] if is_reliable else 0)
                ) / other_members
                if means:
                    mean = max(mean, means[index][family])
                limit = min(limit, max(settings.share_most * mean, limits[family][1]) * members)
            scales.append(limit / families[index][family] if families[index][family] > limit else 1.0)
        waiting = int(min(part.waiting, limits[0][0] * members))
        if min(scales) == 1.0 and waiting == part.waiting and part.reporting <= members:
            bounded.append(part)
            continue
        clipped += 1
        values = {
            number: int(value * scales[FAMILY_BY_FIELD[number]]) for number, value in part.values.items()
        }
        tenant_slot_ms = {name: int(value * scales[SLOT_TIME]) for name, value in part.tenant_slot_ms.items()}
        tenant_waiting = {name: min(value, waiting) for name, value in part.tenant_waiting.items()}
        reporting, threshold_total = min(part.reporting, members), min(part.threshold_total, 1000 * members)
        bounded.append(
            Sums(reporting, part.age, values, tenant_slot_ms, tenant_waiting, waiting, threshold_total)
        )
    return bounded, clipped
