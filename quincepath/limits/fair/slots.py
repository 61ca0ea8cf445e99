"""The pool of slots towards the holders: which queries may start, and how many slots each holds.

A query holds a slot for each of its parts that are out, ``query_slots_most`` at most. It may start while one
slot is free, so that no slot stays idle because the next query is wide; the pool is exceeded by the width of
one query at most.

Quick queries have ``quick_slots`` of their own and borrow free slow slots. When both are full, a tenant that
holds less than an even share of the quick slots may still start (up to twice the quick slots in total); a
tenant that holds more waits as if its query were slow.

Large queries leave slots to small ones: the number that small queries held at once in the last one to two
``PEAK_WINDOW``, ``small_share`` at most, ``small_floor`` at least. Where large queries hold these slots all
the same, since the last of them was wide or since small queries turned out large, small ones start beyond the
bound until they hold as many; in total the pool is exceeded by the reserve or by the width of one query,
whichever is more, and once more by the width of one query.

A query that turns out slow or large is counted as such from then on; no slot is taken from a running query.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from quincepath.limits.fair.queues import Lane
from quincepath.limits.fair.types import SECOND, FairSettings

PEAK_WINDOW = 5 * SECOND  # ns


@dataclass(slots=True)
class Allocation:
    """Slots of a running query.

    ``quick``: they count as quick slots; ``large``: they count as slots of large queries.
    """

    tenant: str
    slots: int
    quick: bool
    large: bool


class Pool:
    """One per broker. Slots taken by ``acquire`` are returned by ``release`` and ``release_all``."""

    def __init__(self, settings: FairSettings) -> None:
        self.settings = settings
        self.quick = self.slow = self.large = 0
        self._quick_by_tenant: Counter[str] = Counter()
        self._peaks = [0, 0]  # most slots of small queries at once: in the previous window, in this one
        self._window_start = 0

    # --- which queries may start ---

    def quick_placement(self, tenant: str) -> bool | None:
        """Whether a quick query of the tenant may start at once.

        True: on quick slots; False: on slow slots; None: it has to wait.
        """
        if self.quick < self.settings.quick_slots:
            return True
        if self.slow < self.settings.slow_slots:
            return False
        held = self._quick_by_tenant.get(tenant, 0)
        share = self.settings.quick_slots / (len(self._quick_by_tenant) + (not held))
        return True if held < share and self.quick < 2 * self.settings.quick_slots else None

    def full(self) -> bool:
        """Whether no quick slot or no slow slot is free."""
        return self.quick >= self.settings.quick_slots or self.slow >= self.settings.slow_slots

    def startable_lanes(self, now: int) -> tuple[Lane, ...]:
        """Lanes from which a waiting query may start."""
        lanes = []
        settings, reserved = self.settings, self.reserved(now)
        slow_free = self.slow < settings.slow_slots
        if slow_free or self.quick < settings.quick_slots:
            lanes.append(Lane.QUICK)
        bound = settings.slow_slots + max(reserved, settings.query_slots_most - 1)
        if slow_free or (self.slow - self.large < reserved and self.slow < bound):
            lanes.append(Lane.SMALL)
        if slow_free and self.large < settings.slow_slots - reserved:
            lanes.append(Lane.LARGE)
        return tuple(lanes)

    def reserved(self, now: int) -> int:
        """Slow slots that large queries leave free."""
        self._rotate_window(now)
        most = int(self.settings.small_share * self.settings.slow_slots)
        return max(self.settings.small_floor, min(most, max(self._peaks)))

    def next_reserve_change(self, now: int) -> int | None:
        """When ``reserved`` may fall by the passing of time alone; None while no query could start by it."""
        if self.slow >= self.settings.slow_slots:
            return None
        self._rotate_window(now)
        return self._window_start + PEAK_WINDOW

    # --- allocations ---

    def acquire(self, now: int, allocation: Allocation) -> None:
        """Count the slots of a query that starts."""
        self._add(allocation, allocation.slots)
        self._record_peak(now)

    def release(self, allocation: Allocation, slots: int) -> None:
        """Return some slots of an allocation."""
        slots = min(slots, allocation.slots)
        self._add(allocation, -slots)
        allocation.slots -= slots

    def release_all(self, allocation: Allocation) -> None:
        """Return all remaining slots of an allocation."""
        self.release(allocation, allocation.slots)

    def reclassify(self, now: int, allocation: Allocation, *, quick: bool, large: bool) -> None:
        """Count an allocation as another kind from now on."""
        self._add(allocation, -allocation.slots)
        allocation.quick, allocation.large = quick, large
        self._add(allocation, allocation.slots)
        self._record_peak(now)

    def _add(self, allocation: Allocation, slots: int) -> None:
        if allocation.quick:
            self.quick += slots
            self._quick_by_tenant[allocation.tenant] += slots
            if not self._quick_by_tenant[allocation.tenant]:
                del self._quick_by_tenant[allocation.tenant]
            return
        self.slow += slots
        if allocation.large:
            self.large += slots

    def _rotate_window(self, now: int) -> None:
        if now >= self._window_start + PEAK_WINDOW:
            gap = now >= self._window_start + 2 * PEAK_WINDOW
            self._peaks = [0 if gap else self._peaks[1], self.slow - self.large]
            self._window_start = now - now % PEAK_WINDOW

    def _record_peak(self, now: int) -> None:
        self._rotate_window(now)
        self._peaks[1] = max(self._peaks[1], self.slow - self.large)

    def check(self, allocations: Iterable[Allocation]) -> None:
        """Raise ``AssertionError`` unless the counts match the allocations of the running queries."""
        held = list(allocations)
        quick = sum(one.slots for one in held if one.quick)
        slow = sum(one.slots for one in held if not one.quick)
        large = sum(one.slots for one in held if one.large and not one.quick)
        counted = self.quick, self.slow, self.large, sum(self._quick_by_tenant.values())
        if counted != (quick, slow, large, quick):
            raise AssertionError(f"slots counted {counted}, allocated {(quick, slow, large, quick)}")
