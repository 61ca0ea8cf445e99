"""How arrivals lie over the order when nothing is shed, and where a line was over a window.

Clients that were shed come again, some at once and often: while a line is up, what arrives below it counts
many times over. A share to let in is a share of the undisturbed arrivals, so their shape is kept from when
nothing was shed, with a little of what arrives now, in case the mix has changed.
"""

from collections import deque
from collections.abc import Sequence

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, SECOND

MAX_STEPS = 64  # moves or news remembered
TIME_CONSTANT_NS = 10 * SECOND  # the shape follows in this time
CURRENT_WEIGHT = 0.1  # weight of what arrives now


class ArrivalDistribution:
    """Shares of the arrivals by band, as they are when nothing is shed."""

    def __init__(self) -> None:
        self._baseline: list[float] = []
        self._at = 0

    def update(self, at: int, arrivals: Sequence[float], threshold: float) -> list[float]:
        """Take in a histogram; the one to measure shares by."""
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
    """A value that stood from a time on; its mean over a window. Bounded: what is older is forgotten."""

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._steps: deque[tuple[int, float]] = deque(maxlen=MAX_STEPS)

    def record(self, at: int, value: float) -> None:
        """It is this from now on; what is not newer than the last is left out."""
        if self._steps and at <= self._steps[-1][0]:
            return
        if len(self._steps) == MAX_STEPS:
            self._initial = self._steps[0][1]
        self._steps.append((at, value))

    def mean(self, start: int, end: int) -> float:
        """Over a window."""
        total, at, value = 0.0, start, self._initial
        for when, after in self._steps:
            if when > at:
                until = min(when, end)
                total += value * (until - at)
                at = until
            value = after if when <= end else value
        return (total + value * max(end - at, 0)) / max(end - start, 1)
