"""Distribution of arrivals over the priority order when nothing is shed, and past values of a threshold.

Clients that were shed retry, some of them at once and often: while a threshold is above 0, arrivals below it
are counted many times. An admitted share is a share of the undisturbed arrivals, so their distribution is
kept from when nothing was shed, blended with a little of the present arrivals in case the mix has changed.
"""

from collections import deque
from collections.abc import Sequence

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, SECOND

MAX_STEPS = 64  # values remembered
TIME_CONSTANT_NS = 10 * SECOND  # the distribution follows the arrivals in this time
CURRENT_WEIGHT = 0.1  # weight of the present arrivals


class ArrivalDistribution:
    """Shares of the arrivals by band, as they are when nothing is shed."""

    def __init__(self) -> None:
        self._baseline: list[float] = []
        self._at = 0

    def update(self, at: int, arrivals: Sequence[float], threshold: float) -> list[float]:
        """Apply a histogram and return the distribution by which shares are measured."""
        total = sum(arrivals)
        current = (
            [count / total for count in arrivals] if total > 0 else [1 / PRIORITY_BANDS] * PRIORITY_BANDS
        )
        if not self._baseline:
            self._baseline = current
        elif threshold <= 0 and at > self._at and total > 0:
            weight = min((at - self._at) / TIME_CONSTANT_NS, 1.0)
            self._baseline = [
                old + weight * (new - old) for old, new in zip(self._baseline, current, strict=True)
            ]
        self._at = max(self._at, at)
        return [
            (1 - CURRENT_WEIGHT) * old + CURRENT_WEIGHT * new
            for old, new in zip(self._baseline, current, strict=True)
        ]


class StepHistory:
    """A step function over time and its mean over a window. Bounded: the oldest steps are forgotten."""

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._steps: deque[tuple[int, float]] = deque(maxlen=MAX_STEPS)

    def record(self, at: int, value: float) -> None:
        """The value from this time on; one that is not newer than the last is ignored."""
        if self._steps and at <= self._steps[-1][0]:
            return
        if len(self._steps) == MAX_STEPS:
            self._initial = self._steps[0][1]
        self._steps.append((at, value))

    def mean(self, start: int, end: int) -> float:
        """The mean over a window."""
        total, at, value = 0.0, start, self._initial
        for when, after in self._steps:
            if when > at:
                until = min(when, end)
                total += value * (until - at)
                at = until
            value = after if when <= end else value
        return (total + value * max(end - at, 0)) / max(end - start, 1)
