"""Statistics of one broker within a window, as differences of its own counts."""

from collections import deque

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, SECOND, Count, Counts, SendKind
from quincepath.fleet.overload.types import LocalStats

BAD_OUTCOMES = (Count.LATE, Count.REFUSED, Count.FAILED)
REFUSED_OUTCOMES = (Count.REFUSED, Count.SHED, Count.TURNED_AWAY)
NOT_ADMITTED = (Count.SHED, Count.TURNED_AWAY)  # before any part was sent


def _over_classes(counts: Counts, outcomes: tuple[Count, ...]) -> int:
    return sum(row[outcome] for row in counts.by_class for outcome in outcomes)


class CountWindow:
    """Keeps snapshots of the counts: those of the last ``window`` ns and one older, limited in number."""

    def __init__(self, window: int, max_snapshots: int = 64) -> None:
        self.window = window
        self._snapshots: deque[tuple[int, Counts]] = deque(maxlen=max_snapshots)

    def add(self, now: int, counts: Counts) -> None:
        """Add the present counts; they must not be changed later."""
        self._snapshots.append((now, counts))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self.window:
            self._snapshots.popleft()

    def stats(self) -> LocalStats | None:
        """From the oldest snapshot to the newest; None before there are two."""
        if len(self._snapshots) < 2:
            return None
        (started_at, first), (ended_at, last) = self._snapshots[0], self._snapshots[-1]

        def growth(*outcomes: Count) -> float:
            return float(_over_classes(last, outcomes) - _over_classes(first, outcomes))

        bad, first_kind = growth(*BAD_OUTCOMES), SendKind.FIRST
        previous_at, previous = self._snapshots[-2]
        return LocalStats(
            window=max(ended_at - started_at, 1),
            arrivals=tuple(
                float(last.arrivals[band] - first.arrivals[band]) for band in range(PRIORITY_BANDS)
            ),
            admitted=growth(Count.TAKEN) - growth(*NOT_ADMITTED),
            ended=growth(Count.IN_TIME) + bad,
            bad=bad,
            refused=growth(*REFUSED_OUTCOMES),
            first=float(last.sends[first_kind] - first.sends[first_kind]),
            first_rate=(last.sends[first_kind] - previous.sends[first_kind])
            * SECOND
            / max(ended_at - previous_at, 1),
        )

    def slot_time(self) -> dict[str, int]:
        """Slot time (ns) of each named tenant in the window, without what it used before it was named."""
        if len(self._snapshots) < 2:
            return {}
        first, last = self._snapshots[0][1], self._snapshots[-1][1]
        slot_times = {}
        for name, count in last.tenants.items():
            earlier = first.tenants.get(name)
            slot_times[name] = max(count.slot_time - (earlier.slot_time if earlier else count.base), 0)
        return slot_times
