"""A circuit for memory: how pressed the process is; its marks are left lower than they are entered. Pure.

Soft: answers that are only remembered are given up and classes of little worth are refused. Hard: nothing new
is taken until what is open has ended. The edge samples the resident size; without a limit the circuit is off.
"""

from collections import Counter
from enum import Enum

SOFT_SHARE = 0.75  # of the limit
LEAVE = 0.9  # a mark is left below this share of it, so that it is not crossed to and fro


class Pressure(Enum):
    """How pressed the process is."""

    NONE = 0
    SOFT = 1
    HARD = 2


class MemoryPressureMonitor:
    """``limit`` in bytes of resident memory; 0: none."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pressure = Pressure.NONE
        self.changes: Counter[str] = Counter()

    def sample(self, resident: int) -> Pressure:
        """The process holds so many bytes now."""
        if not self.limit:
            return self.pressure
        marks = {Pressure.SOFT: self.limit * SOFT_SHARE, Pressure.HARD: float(self.limit)}
        found = Pressure.NONE
        for level in (Pressure.SOFT, Pressure.HARD):
            held = self.pressure.value >= level.value
            if resident >= marks[level] * (LEAVE if held else 1):
                found = level
        if found is not self.pressure:
            self.changes[found.name.lower()] += 1
            self.pressure = found
        return found
