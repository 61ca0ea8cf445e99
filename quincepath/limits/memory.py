"""Memory pressure level of the process, with hysteresis: a level is left lower than it is entered. Pure.

Soft: remembered answers are dropped and classes of low worth are refused. Hard: nothing new is admitted until
open queries have ended. The edge samples the resident size; without a limit the level is always NONE.
"""

from collections import Counter
from enum import Enum

SOFT_SHARE = 0.75  # of the limit, from which the pressure is soft
LEAVE_SHARE = 0.9  # of its threshold, below which a level is left, so that it does not flap


class Pressure(Enum):
    """Memory pressure level."""

    NONE = 0
    SOFT = 1
    HARD = 2


class MemoryPressureMonitor:
    """``limit`` in bytes of resident memory; 0: no limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pressure = Pressure.NONE
        self.changes: Counter[str] = Counter()

    def sample(self, resident: int) -> Pressure:
        """Update the level from the resident size (bytes)."""
        if not self.limit:
            return self.pressure
        thresholds = {Pressure.SOFT: self.limit * SOFT_SHARE, Pressure.HARD: float(self.limit)}
        current = Pressure.NONE
        for level in (Pressure.SOFT, Pressure.HARD):
            entered = self.pressure.value >= level.value
            if resident >= thresholds[level] * (LEAVE_SHARE if entered else 1):
                current = level
        if current is not self.pressure:
            self.changes[current.name.lower()] += 1
            self.pressure = current
        return current
