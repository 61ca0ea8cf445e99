"""The pool of slots towards the holders: who may start, and who holds how many.

A query holds a slot for each of its parts that are out, ``query_slots_most`` at most. It may start while one
slot is free, so no slot stays idle because the next query is wide; the pool is overshot by one query's width
at most.

Quick queries have ``quick_slots`` of their own and borrow free ones of the others. When both are full, a
tenant that holds less than an even share of the quick slots runs all the same (up to twice the quick slots
in sum); one that holds more waits for its turn as if it were slow.

Large queries leave slots to small ones: as many as small ones held at once in the last ``WINDOW`` to twice
that, ``small_share`` at most, ``small_floor`` at least. Where large ones are on these all the same, as the
last of them was wide or as small ones turned out large, small ones start over the bound until they hold as
many; in sum the pool is overshot by what is kept or by one query's width, whichever is more, and once more
by one query's width.

A query that turns out slow or large is counted as such from then on: nothing is taken from what runs.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from quincepath.limits.fair.queues import Lane
from quincepath.limits.fair.types import SECOND, FairSettings

WINDOW = 5 * SECOND


@dataclass(slots=True)
class Allocation:
    """Slots of a running query.

    ``quick``: they count to the quick ones' part; ``large``: as a large one's.
    """

    tenant: str
    slots: int
    quick: bool
    large: bool


class Pool:
    """One a broker. What is taken by ``take`` is given back by ``free`` and ``release_all``."""

    def __init__(self, settings: FairSettings) -> None:
        self.settings = settings
        self.quick = self.slow = self.large = 0
        self._quick_of: Counter[str] = Counter()
        self._peaks = [0, 0]  # of small ones' slots: in the last whole window, and in this
        self._window = 0  # when this one began

    # --- who may start ---

    def quick_slots_for(self, tenant: str) -> bool | None:
        """Whether a quick query of the tenant that came starts at once.

        True on quick slots, False on others.
        """
        if self.quick < self.settings.quick_slots:
            return True
        if self.slow < self.settings.slow_slots:
            return False
        mine = self._quick_of.get(tenant, 0)
        share = self.settings.quick_slots / (len(self._quick_of) + (not mine))
        return True if mine < share and self.quick < 2 * self.settings.quick_slots else None

    def full(self) -> bool:
        """Whether either part has no free slot."""
        return self.quick >= self.settings.quick_slots or self.slow >= self.settings.slow_slots

    def startable_lanes(self, now: int) -> tuple[Lane, ...]:
        """Lanes of which a waiting query may start."""
        lanes = []
        settings, kept = self.settings, self.reserved(now)
        slow_free = self.slow < settings.slow_slots
        if slow_free or self.quick < settings.quick_slots:
            lanes.append(Lane.QUICK)
        over = settings.slow_slots + max(kept, settings.query_slots_most - 1)
        if slow_free or (self.slow - self.large < kept and self.slow < over):
            lanes.append(Lane.SMALL)
        if slow_free and self.large < settings.slow_slots - kept:
            lanes.append(Lane.LARGE)
        return tuple(lanes)

    def reserved(self, now: int) -> int:
        """Slow slots that large queries leave free."""
        self._turn(now)
        most = int(self.settings.small_share * self.settings.slow_slots)
        return max(self.settings.small_floor, min(most, max(self._peaks)))

    def next_change(self, now: int) -> int | None:
        """When ``kept`` may fall by the passing of time alone; None while it would let nobody start."""
        if self.slow >= self.settings.slow_slots:
            return None
        self._turn(now)
        return self._window + WINDOW

    # --- what is held ---

    def acquire(self, now: int, held: Allocation) -> None:
        """A query takes the slots that it holds."""
        self._add(held, held.slots)
        self._note(now)

    def release(self, held: Allocation, slots: int) -> None:
        """Some of its slots are free."""
        slots = min(slots, held.slots)
        self._add(held, -slots)
        held.slots -= slots

    def release_all(self, held: Allocation) -> None:
        """All that it still holds."""
        self.release(held, held.slots)

    def reclassify(self, now: int, held: Allocation, *, quick: bool, large: bool) -> None:
        """It is taken for something else from now on."""
        self._add(held, -held.slots)
        held.quick, held.large = quick, large
        self._add(held, held.slots)
        self._note(now)

    def _add(self, held: Allocation, slots: int) -> None:
        if held.quick:
            self.quick += slots
            self._quick_of[held.tenant] += slots
            if not self._quick_of[held.tenant]:
                del self._quick_of[held.tenant]
            return
        self.slow += slots
        if held.large:
            self.large += slots

    def _turn(self, now: int) -> None:
        if now >= self._window + WINDOW:
            gap = now >= self._window + 2 * WINDOW
            self._peaks = [0 if gap else self._peaks[1], self.slow - self.large]
            self._window = now - now % WINDOW

    def _note(self, now: int) -> None:
        self._turn(now)
        self._peaks[1] = max(self._peaks[1], self.slow - self.large)

    def check(self, holds: Iterable[Allocation]) -> None:
        """Raises ``AssertionError`` unless what is counted is what the running queries hold."""
        held = list(holds)
        quick = sum(one.slots for one in held if one.quick)
        slow = sum(one.slots for one in held if not one.quick)
        large = sum(one.slots for one in held if one.large and not one.quick)
        counted = self.quick, self.slow, self.large, sum(self._quick_of.values())
        if counted != (quick, slow, large, quick):
            raise AssertionError(f"slots counted {counted}, held {(quick, slow, large, quick)}")
