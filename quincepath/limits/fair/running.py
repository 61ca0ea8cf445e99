"""Running queries: the slots that they hold, the slot time that they have used, and who is charged for it.

Slot time is accounted at each step in which a query waits or the pool is full. A query that was classified
as quick and has used ``slow_from`` is slow from then on: its slots count as slow and its tenant is charged
for all that it used. At its end, whatever ended it, its slots are returned and the charge is corrected, up or
down.
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
    """``charged`` and ``used``: ns of slots; ``queue`` is None while it runs as quick and is not charged."""

    footprint: Footprint
    allocation: Allocation
    queue: Queue | None
    charged: int
    started: int
    parts_out: int
    accounted_until: int  # time up to which ``used`` is accounted
    used: int = 0
    reported: int = 0  # slot time that ``served`` has reported


class RunningQueries:
    """All running queries of a broker.

    Bounded by the pool: at most one for each slot, plus those that quick queries start beyond it.
    """

    def __init__(
        self, settings: FairSettings, pool: Pool, queues: Queues, tags: Tags, learn: Callable[..., None]
    ) -> None:
        self.settings, self.pool, self.queues, self.tags = settings, pool, queues, tags
        self.learn = learn
        self.reclassified = 0  # queries that were classified as quick and turned out slow
        self.all: dict[int, RunningQuery] = {}
        self._served: dict[str, int] = {}

    def start_quick(
        self, now: int, number: int, tenant: str, footprint: Footprint, quick_slots: bool
    ) -> None:
        """A quick query starts; ``quick_slots``: on the slots reserved for quick queries."""
        self._start(
            now, number, footprint, Allocation(tenant, self._width(footprint), quick_slots, False), None, 0
        )

    def start_waiting(self, now: int, one: Waiting, queue: Queue) -> None:
        """A query that waited starts."""
        quick = one.lane is Lane.QUICK and self.pool.quick < self.settings.quick_slots
        allocation = Allocation(one.tenant, self._width(one.footprint), quick, one.lane is Lane.LARGE)
        self._start(now, one.number, one.footprint, allocation, queue, one.estimate.cost)
        self.tags.query_started(queue, one.estimate.cost)
        self._record_served(self.all[one.number], one.estimate.mean)

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

    def _width(self, footprint: Footprint) -> int:
        return max(1, min(footprint.parts, self.settings.query_slots_most))

    # --- while a query runs ---

    def account(self, now: int) -> None:
        """Charge running queries for the time that has passed, and reclassify those that run long."""
        for query in self.all.values():
            self._account_query(now, query)

    def _account_query(self, now: int, query: RunningQuery) -> None:
        settings, allocation = self.settings, query.allocation
        query.used += allocation.slots * (now - query.accounted_until)
        query.accounted_until = now
        if query.queue is None and query.used >= settings.slow_from:
            self.reclassified += 1
            query.queue = self.queues.queue_of(allocation.tenant)
            self.tags.before_enqueue(query.queue)
            query.queue.running += 1
            self.pool.reclassify(now, allocation, quick=False, large=False)
        if query.queue is None:
            return
        if query.used >= settings.large_from and not allocation.large:
            self.pool.reclassify(now, allocation, quick=False, large=True)
        if query.used > query.charged:
            self.tags.charge(query.queue, query.used - query.charged)
            query.charged = query.used
        if query.used > query.reported:
            self._record_served(query, query.used)

    def freed(self, now: int, number: int, parts: int) -> None:
        """Parts of a running query have ended."""
        query = self.all.get(number)
        if query is not None and parts > 0:
            self._account_query(now, query)
            query.parts_out = max(0, query.parts_out - parts)
            self.pool.release(query.allocation, max(0, query.allocation.slots - query.parts_out))

    def next_reclassification(self) -> int | None:
        """When the next quick query will count as slow, which frees a quick slot."""
        slow_from = self.settings.slow_from
        times = [
            query.accounted_until + math.ceil((slow_from - query.used) / query.allocation.slots)
            for query in self.all.values()
            if query.queue is None and query.allocation.slots
        ]
        return min(times, default=None)

    # --- at its end ---

    def ended(self, now: int, number: int, slot_time: int, whole: bool) -> None:
        """Not ``whole``: it was cancelled, so its cost may only raise the estimate."""
        query = self.all.pop(number, None)
        if query is None:
            return
        self._account_query(now, query)
        self.pool.release_all(query.allocation)
        cost = slot_time if whole or slot_time > 0 else query.used
        self.learn(query.allocation.tenant, query.footprint, cost, now - query.started, whole)
        if query.queue is not None:
            self.tags.query_ended(query.queue, cost - query.charged)
            self._record_served(query, cost)

    # --- reports ---

    def _record_served(self, query: RunningQuery, total: int) -> None:
        tenant = query.allocation.tenant
        name = tenant if tenant in self._served or len(self._served) < self.settings.tenants_most else ""
        self._served[name] = self._served.get(name, 0) + total - query.reported
        query.reported = total

    def served(self, now: int) -> dict[str, int]:
        """Slot time by tenant since the last call.

        Tenants beyond ``tenants_most`` are summed under "". Corrections may make a value negative.
        """
        self.account(now)
        report, self._served = self._served, {}
        return report

    def outstanding(self) -> int:
        """Slot time that is charged and not yet used."""
        return sum(max(0, query.charged - query.used) for query in self.all.values())

    def check(self) -> None:
        """Raise ``AssertionError`` where the counts do not match the running queries."""
        self.pool.check(query.allocation for query in self.all.values())
        for queue in (*self.queues.own.values(), *self.queues.shared.values()):
            running = sum(query.queue is queue for query in self.all.values())
            if queue.running != running:
                raise AssertionError(
                    f"queue {queue.key} counts {queue.running} running queries, {running} run"
                )


__all__ = ["RunningQuery", "RunningQueries"]
