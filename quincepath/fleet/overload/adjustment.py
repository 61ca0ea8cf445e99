"""Feedback control of a threshold, with conversions between it and the admitted share of the arrivals.

The controlled value is the admitted share of the arrivals. Above ``late_share`` of bad outcomes one update
reduces it to what can be served (by ``max_decrease`` at most); below ``calm_share`` it increases, by
``min_increase`` at first and more with each further calm update in a row; between the two it stays.
"""

from collections.abc import Sequence

from quincepath.fleet.overload.types import OverloadSettings

INCREASE_FACTOR = 1.4


def share_above(threshold: float, arrivals: Sequence[float]) -> float:
    """Share of the arrivals at or above a threshold, even within a band; 1 - threshold without arrivals."""
    total = sum(arrivals)
    if total <= 0:
        return 1.0 - threshold
    position = min(max(threshold, 0.0), 1.0) * len(arrivals)
    whole = int(position)
    above = sum(arrivals[whole + 1 :])
    if whole < len(arrivals):
        above += arrivals[whole] * (whole + 1 - position)
    return above / total


def threshold_for(share: float, arrivals: Sequence[float]) -> float:
    """The threshold that admits this share of the arrivals. 0 where all are admitted."""
    total = sum(arrivals)
    if share >= 1:
        return 0.0
    if total <= 0:
        return 1.0 - max(share, 0.0)
    remaining = max(share, 0.0) * total
    for number in range(len(arrivals) - 1, -1, -1):
        if arrivals[number] >= remaining:
            within = remaining / arrivals[number] if arrivals[number] else 0.0
            return (number + 1 - within) / len(arrivals)
        remaining -= arrivals[number]
    return 0.0


def next_share(
    share: float, servable_share: float, bad_share: float, calm_steps: int, settings: OverloadSettings
) -> tuple[float, int]:
    """The next admitted share and the number of calm updates in a row.

    ``servable_share``: the share that can be served; ``bad_share``: of the admitted queries, those with a bad
    outcome. A decrease goes to what can be served instead of down from the present share: totals that are
    counted twice, because windows overlap and delays differ, reduce nothing twice.
    """
    if bad_share > settings.late_share:
        return max(
            min(share, servable_share), share * (1 - settings.max_decrease), settings.min_admitted_share
        ), 0
    if bad_share < settings.calm_share:
        increase = min(settings.min_increase * INCREASE_FACTOR**calm_steps, settings.max_increase)
        return min(share * (1 + increase), 1.0), min(calm_steps + 1, 32)
    return share, 0
