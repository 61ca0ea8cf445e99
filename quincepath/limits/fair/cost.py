"""Estimates the cost of a query from its class, its footprint and the cost of similar queries.

Similar queries are those of the same tenant, class and time range (by powers of two); where none of them was
seen, those of the class and range by any tenant; else those of the class. Statistics are per part and are
multiplied by the number of parts. The estimate that is charged is high (mean plus twice the mean deviation;
twice the mean below three samples), since a charge that was too high is given back at the end, while one that
is too low lets a tenant start more than its share. Waiting queries are judged by the mean. When the table is
full, the least recently used entry is dropped.
"""

from dataclasses import dataclass

from quincepath.limits.fair.types import FairSettings, Footprint, Speed

SAMPLE_WEIGHT = 0.2  # of the newest sample in the mean, from five samples on
RELIABLE_SAMPLES = 3  # samples from which the deviation is used

_Key = tuple[str, int, int]  # tenant, class, time range


@dataclass(slots=True, frozen=True)
class CostEstimate:
    """Estimate for one query.

    Slot time (ns) as charged and as expected, its duration (ns), and its speed.
    """

    cost: int
    mean: int
    duration: int
    speed: Speed


@dataclass(slots=True)
class _Statistics:
    """Per part: mean slot time and its mean deviation; the duration is the query's; all in ns."""

    samples: int = 0
    mean: float = 0.0
    deviation: float = 0.0
    duration: float = 0.0

    def add(self, cost: float, duration: float) -> None:
        self.samples = min(self.samples + 1, 1000)
        weight = max(1 / self.samples, SAMPLE_WEIGHT)
        error = abs(cost - self.mean) if self.samples > 1 else 0.0
        self.deviation += weight * (error - self.deviation)
        self.mean += weight * (cost - self.mean)
        self.duration += weight * (duration - self.duration)

    def high(self) -> float:
        return self.mean + 2 * self.deviation if self.samples >= RELIABLE_SAMPLES else 2 * self.mean


class CostModel:
    """One per broker."""

    def __init__(self, settings: FairSettings) -> None:
        self.settings = settings
        self._entries: dict[_Key, _Statistics] = {}  # least recently used first

    def estimate(self, tenant: str, footprint: Footprint) -> CostEstimate:
        """Without any sample: slow, at twice the threshold between quick and slow."""
        slow_from, parts = self.settings.slow_from, max(1, footprint.parts)
        for key in _keys(tenant, footprint):
            entry = self._entries.pop(key, None)
            if entry is not None:
                self._entries[key] = entry
                cost = max(1, int(entry.high() * parts))
                speed = Speed.QUICK if cost < slow_from else Speed.SLOW
                return CostEstimate(cost, max(1, int(entry.mean * parts)), int(entry.duration), speed)
        return CostEstimate(2 * slow_from, slow_from, slow_from // parts, Speed.SLOW)

    def learn(self, tenant: str, footprint: Footprint, slot_time: int, duration: int) -> None:
        """A query ended after it had run for ``duration`` (ns) and used ``slot_time`` (ns)."""
        for key in _keys(tenant, footprint):
            entry = self._entries.pop(key, None) or _Statistics()
            entry.add(slot_time / max(1, footprint.parts), duration)
            self._entries[key] = entry
        while len(self._entries) > self.settings.cost_entries_most:
            del self._entries[next(iter(self._entries))]

    def __len__(self) -> int:
        return len(self._entries)


def _keys(tenant: str, footprint: Footprint) -> tuple[_Key, _Key, _Key]:
    """From the most similar to the least; the "=" keeps tenant names apart from the common entries."""
    span = footprint.span.bit_length()
    return ("=" + tenant, footprint.kind, span), ("", footprint.kind, span), ("", footprint.kind, -1)
