"""What a query will cost, from its class, its footprint and what the like cost before.

The like of a query are those of its tenant, class and time range (by powers of two); where none of them was
seen, those of its class and range by any tenant; else of its class. Figures are for one part and are
multiplied by the parts. The guess that is charged is high (mean and twice the mean deviation; twice the
mean below three samples), since what was charged too much is given back at the end, while too little lets a
tenant start more than its turn. What waits is judged by the mean. Full table: the like used longest ago is
forgotten.
"""

from dataclasses import dataclass

from quincepath.limits.fair.types import FairSettings, Footprint, Speed

NEW_WEIGHT = 0.2  # of the newest sample in the mean, once there are five
SURE_FROM = 3  # samples

_Like = tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class CostEstimate:
    """Of one query.

    Slot time (ns) as charged and as expected, its duration (ns), and what it is taken for.
    """

    cost: int
    mean: int
    wall: int
    speed: Speed


@dataclass(slots=True)
class _Figure:
    """Of one part: mean slot time, its mean deviation, and the query's duration; all ns."""

    samples: int = 0
    mean: float = 0.0
    deviation: float = 0.0
    wall: float = 0.0

    def add(self, cost: float, wall: float) -> None:
        self.samples = min(self.samples + 1, 1000)
        weight = max(1 / self.samples, NEW_WEIGHT)
        off = abs(cost - self.mean) if self.samples > 1 else 0.0
        self.deviation += weight * (off - self.deviation)
        self.mean += weight * (cost - self.mean)
        self.wall += weight * (wall - self.wall)

    def high(self) -> float:
        return self.mean + 2 * self.deviation if self.samples >= SURE_FROM else 2 * self.mean


class CostModel:
    """One a broker."""

    def __init__(self, settings: FairSettings) -> None:
        self.settings = settings
        self._likes: dict[_Like, _Figure] = {}  # in the order of their last use

    def estimate(self, tenant: str, footprint: Footprint) -> CostEstimate:
        """Nothing is known of it: slow, by twice the bound between quick and slow."""
        slow_from, parts = self.settings.slow_from, max(1, footprint.parts)
        for like in _likes(tenant, footprint):
            figure = self._likes.pop(like, None)
            if figure is not None:
                self._likes[like] = figure
                cost = max(1, int(figure.high() * parts))
                speed = Speed.QUICK if cost < slow_from else Speed.SLOW
                return CostEstimate(cost, max(1, int(figure.mean * parts)), int(figure.wall), speed)
        return CostEstimate(2 * slow_from, slow_from, slow_from // parts, Speed.SLOW)

    def learn(self, tenant: str, footprint: Footprint, slot_time: int, wall: int) -> None:
        """A query ended after ``wall`` ns of running and ``slot_time`` ns of slots."""
        for like in _likes(tenant, footprint):
            figure = self._likes.pop(like, None) or _Figure()
            figure.add(slot_time / max(1, footprint.parts), wall)
            self._likes[like] = figure
        while len(self._likes) > self.settings.cost_entries_most:
            del self._likes[next(iter(self._likes))]

    def __len__(self) -> int:
        return len(self._likes)


def _likes(tenant: str, footprint: Footprint) -> tuple[_Like, _Like, _Like]:
    """From the most like to the least; names of tenants do not collide with the common rows."""
    span = footprint.span.bit_length()
    return ("=" + tenant, footprint.kind, span), ("", footprint.kind, span), ("", footprint.kind, -1)
