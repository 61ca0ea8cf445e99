"""How a line is moved: from a share to let in, through the histogram of arrivals, to a place and back.

What is moved is the share of the arrivals that is let in. Above ``late_share`` of bad ends one move goes down
to what can be served (``rise`` at most); below ``calm_share`` it gives back ``fall``, the more
the more calm moves were made in a row; between the two it stands.
"""

from collections.abc import Sequence

from quincepath.fleet.overload.types import OverloadSettings

INCREASE_FACTOR = 1.4


def share_above(threshold: float, arrivals: Sequence[float]) -> float:
    """Share of the arrivals at or above a line, even within a band; 1 - line where nothing arrived."""
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
    """The line that lets in this share of the arrivals. 0 where all are let in."""
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
    """The next share to let in and the calm moves in a row.

    ``good``: the share that can be served; ``bad``: of what was let in, what was not served well. The way
    down is to what can be served, not down from where the line is: news that are counted twice, as windows
    overlap and delays differ, take nothing away twice.
    """
    if bad_share > settings.late_share:
        return max(
            min(share, servable_share), share * (1 - settings.max_decrease), settings.min_admitted_share
        ), 0
    if bad_share < settings.calm_share:
        increase = min(settings.min_increase * INCREASE_FACTOR**calm_steps, settings.max_increase)
        return min(share * (1 + increase), 1.0), min(calm_steps + 1, 32)
    return share, 0
