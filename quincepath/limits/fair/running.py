"""What runs: its slots, what it has used, and whose turn it is charged to.

Time is reckoned at each step in which somebody waits or the pool is full. A query that was taken for quick
and has used ``slow_from`` is a slow one from then on: its slots count as such and its tenant is charged for
all it used. At its end, whatever ends it, its slots are given back and the charge is put right, up or down.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from quincepath.limits.fair.queues import Lane, Queue, Queues, Waiting
from quincepath.limits.fair.slots import Allocation, Pool
from quincepath.limits.fair.tags import Tags
from quincepath.limits.fair.types import FairSettings, Footprint


@dataclass(slots=True)
class RunningQuery:
    """``charged`` and ``used``: ns of slots; ``queue`` is None while it runs as quick, on nobody's turn."""

    footprint: Footprint
    allocation: Allocation
    queue: Queue | None
    charged: int
    began: int
    parts_out: int
    at: int  # up to when ``used`` was reckoned
    used: int = 0
    told: int = 0  # of it, what ``served`` has told


class RunningQueries:
    """All running queries of a broker.

    Bounded by the pool: at most one a slot, with what quick ones overdraw.
    """

    def __init__(
        self, settings: FairSettings, pool: Pool, queues: Queues, tags: Tags, learn: Callable[..., None]
    ) -> None:
        self.settings, self.pool, self.queues, self.tags = settings, pool, queues, tags
        self.learn = learn
        self.reclassified = 0  # taken for quick, ran long
        self.all: dict[int, RunningQuery] = {}
        self._served: dict[str, int] = {}

    def start_quick(self, now: int, number: int, tenant: str, footprint: Footprint, own_part: bool) -> None:
        """A quick query starts; ``own_part``: on the slots that are kept for such."""
        self._start(
            now, number, footprint, Allocation(tenant, self._seats(footprint), own_part, False), None, 0
        )

    def start_waiting(self, now: int, one: Waiting, queue: Queue) -> None:
        """One that waited starts."""
        quick = one.lane is Lane.QUICK and self.pool.quick < self.settings.quick_slots
        held = Allocation(one.tenant, self._seats(one.footprint), quick, one.lane is Lane.LARGE)
        self._start(now, one.number, one.footprint, held, queue, one.estimate.cost)
        self.tags.query_started(queue, one.estimate.cost)
        self._tell(self.all[one.number], one.estimate.mean)

    def _start(
        self,
        now: int,
        number: int,
        footprint: Footprint,
        allocation: Allocation,
        queue: Queue | None,
        cost: int,
    ) -> None:
        self.all[number] = RunningQuery(footprint, allocation, queue, cost, now, footprint.parts, now)
        self.pool.acquire(now, allocation)

    def _seats(self, footprint: Footprint) -> int:
        return max(1, min(footprint.parts, self.settings.query_slots_most))

    # --- while it runs ---

    def account(self, now: int) -> None:
        """Time has passed: what runs is charged for it, and what runs long is taken for what it is."""
        for run in self.all.values():
            self._use(now, run)

    def _use(self, now: int, run: RunningQuery) -> None:
        settings, held = self.settings, run.allocation
        run.used += held.slots * (now - run.at)
        run.at = now
        if run.queue is None and run.used >= settings.slow_from:
            self.reclassified += 1
            run.queue = self.queues.queue_of(held.tenant)
            self.tags.before_enqueue(run.queue)
            run.queue.running += 1
            self.pool.reclassify(now, held, quick=False, large=False)
        if run.queue is None:
            return
        if run.used >= settings.large_from and not held.large:
            self.pool.reclassify(now, held, quick=False, large=True)
        if run.used > run.charged:
            self.tags.charge(run.queue, run.used - run.charged)
            run.charged = run.used
        if run.used > run.told:
            self._tell(run, run.used)

    def freed(self, now: int, number: int, parts: int) -> None:
        """So many parts of a running query have ended."""
        run = self.all.get(number)
        if run is not None and parts > 0:
            self._use(now, run)
            run.parts_out = max(0, run.parts_out - parts)
            self.pool.release(run.allocation, max(0, run.allocation.slots - run.parts_out))

    def next_reclassification(self) -> int | None:
        """When the next quick one will have run long, which frees a quick slot."""
        slow_from = self.settings.slow_from
        ats = [
            run.at + math.ceil((slow_from - run.used) / run.allocation.slots)
            for run in self.all.values()
            if run.queue is None and run.allocation.slots
        ]
        return min(ats, default=None)

    # --- its end ---

    def ended(self, now: int, number: int, slot_time: int, whole: bool) -> None:
        """Not ``whole``: it was left or broken off, so its cost teaches upwards only."""
        run = self.all.pop(number, None)
        if run is None:
            return
        self._use(now, run)
        self.pool.release_all(run.allocation)
        cost = slot_time if whole or slot_time > 0 else run.used
        self.learn(run.allocation.tenant, run.footprint, cost, now - run.began, whole)
        if run.queue is not None:
            self.tags.query_ended(run.queue, cost - run.charged)
            self._tell(run, cost)

    # --- what is told ---

    def _tell(self, run: RunningQuery, total: int) -> None:
        tenant = run.allocation.tenant
        name = tenant if tenant in self._served or len(self._served) < self.settings.tenants_most else ""
        self._served[name] = self._served.get(name, 0) + total - run.told
        run.told = total

    def served(self, now: int) -> dict[str, int]:
        """Slot time by tenant since the last call.

        Further tenants as one, "". What was put right is minus.
        """
        self.account(now)
        told, self._served = self._served, {}
        return told

    def outstanding(self) -> int:
        """Slot time that is charged and not yet used."""
        return sum(max(0, run.charged - run.used) for run in self.all.values())

    def check(self) -> None:
        """``AssertionError`` where what is counted is not what runs."""
        self.pool.check(run.allocation for run in self.all.values())
        for queue in (*self.queues.own.values(), *self.queues.shared.values()):
            runs = sum(run.queue is queue for run in self.all.values())
            if queue.running != runs:
                raise AssertionError(f"queue {queue.key} counts {queue.running} running, {runs} run")


__all__ = ["RunningQuery", "RunningQueries"]
