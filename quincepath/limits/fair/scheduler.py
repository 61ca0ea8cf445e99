"""The fair scheduler of a broker: which queries run now, wait, or are refused.

Pure: own seeded random source, no clock.

A quick query runs at once. A slow one runs when a slot is free and its tenant's queue is next (tags.py), and
waits only as long as it can still be answered: until its target or its client's deadline, less the usual
duration of similar queries. What cannot be served by then is refused on arrival where that is foreseen, with
an advised retry delay. Whatever ends a query returns its slots; unknown query numbers are ignored.

A tenant with no running and no waiting query may always let one query wait, for at least half of its time,
whatever its estimate: else an estimate that is far too high would stay for ever, as no query would run that
corrects it.
"""

import heapq
from collections import Counter
from collections.abc import Iterable
from random import Random

from quincepath.limits.fair.cost import CostModel
from quincepath.limits.fair.queues import Lane, Queue, Queues, Waiting
from quincepath.limits.fair.running import RunningQueries
from quincepath.limits.fair.slots import Pool
from quincepath.limits.fair.tags import Tags
from quincepath.limits.fair.types import (
    Cancelled,
    Done,
    Enter,
    FairSettings,
    Footprint,
    Freed,
    Input,
    Output,
    Refuse,
    RemoteUsage,
    Run,
    Speed,
    Stop,
)

STOPPING = "the broker stops"
TOO_LATE = "it cannot have its turn in its time"
TENANT_FULL = "too many of its tenant wait"
FULL = "too many wait"
TIME_UP = "its time is up"


class FairScheduler:
    """One per broker."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        self.costs = CostModel(settings)
        self.queues = Queues(settings)
        self.pool = self.new_pool()
        self.tags = self.new_tags()
        self.runs = self.new_runs()
        self.refused: Counter[str] = Counter()
        self._random = Random(seed)
        # (latest start, order, number) of waiting queries; entries of queries that left the queue remain
        self._latest_starts: list[tuple[int, int, int]] = []
        self._order = 0
        self._stop_at: int | None = None
        self._now = 0

    def new_pool(self) -> Pool:
        """Factory of the slot pool; a test may override it."""
        return Pool(self.settings)

    def new_tags(self) -> Tags:
        """Factory of the tags; a test may override it."""
        return Tags(self.settings, self.queues)

    def new_runs(self) -> RunningQueries:
        """Factory of the running queries; a test may override it."""
        return RunningQueries(self.settings, self.pool, self.queues, self.tags, self._learn)

    def set_weight(self, tenant: str, weight: float | None) -> None:
        """Set the weight of a tenant from the next step on; None: as in the settings, else 1."""
        configured = (self.settings.weights or {}).get(tenant)
        self.queues.set_weight(tenant, configured if weight is None else weight, self.tags.virtual)

    # --- one step ---

    def step(self, now: int, inputs: Iterable[Input] = ()) -> list[Output]:
        """Process the inputs since the last step, in their order.

        Then start queries. ``now`` must not go backwards.
        """
        if now < self._now:
            raise ValueError(f"step at {now}: expected {self._now} or later")
        self._now = now
        out: list[Output] = []
        if self.queues.waiting or self.pool.full():
            self.runs.account(now)
            self.tags.fade_remote_usage(now)
        for one in inputs:
            match one:
                case Enter():
                    # Of a burst in one step, each query sees the slots that the ones before it left.
                    self._enter(now, one, out)
                    self._start_eligible(now, out)
                case Freed(number, parts):
                    self.runs.freed(now, number, parts)
                case Done(number, slot_time):
                    self.runs.ended(now, number, slot_time, whole=True)
                case Cancelled(number, slot_time):
                    if number in self.queues.waiting:
                        self.queues.remove(number)
                    else:
                        self.runs.ended(now, number, slot_time, whole=False)
                case RemoteUsage(served, age):
                    self.tags.add_remote_usage(now, served, age)
                case Stop(end):
                    self._stopping(now, end, out)
        self._expire(now, out)
        self._start_eligible(now, out)
        if not self._order % 64:
            self.queues.drop_idle(self.tags.virtual)
        return out

    def due(self) -> int | None:
        """When ``step`` must be called at the latest, if no input arrives."""
        if not self.queues.waiting:
            return None
        while self._latest_starts and not self._is_current(self._latest_starts[0]):
            heapq.heappop(self._latest_starts)
        dues = [self._latest_starts[0][0] + 1]  # the first moment that is too late
        if self.queues.in_lane[Lane.QUICK]:
            dues.append(self.runs.next_reclassification() or dues[0])
        if self.queues.in_lane[Lane.LARGE]:
            dues.append(self.pool.next_reserve_change(self._now) or dues[0])
        return max(min(dues), self._now + 1)

    # --- arrivals and ends ---

    def _enter(self, now: int, enter: Enter, out: list[Output]) -> None:
        number, tenant, footprint = enter.number, enter.tenant, enter.footprint
        if number in self.runs.all or number in self.queues.waiting:
            raise ValueError(f"query {number} entered twice; expected an unused number")
        self._order += 1
        if self._stop_at is not None:
            return self._refuse(number, STOPPING, self.settings.retry_after_most, out)
        until = min(now + enter.target, enter.deadline)
        if until <= now:
            return self._refuse(number, TIME_UP, self.settings.retry_after_least, out)
        estimate = self.costs.estimate(tenant, footprint)
        if estimate.speed is Speed.QUICK:
            quick_slots = self.pool.quick_placement(tenant)
            if quick_slots is not None:
                self.runs.start_quick(now, number, tenant, footprint, quick_slots)
                out.append(Run(number, Speed.QUICK, 0))
                return None
        lane = Lane.QUICK if estimate.speed is Speed.QUICK else Lane.SMALL
        if estimate.cost >= self.settings.large_from:
            lane = Lane.LARGE
        latest = max(now, until - estimate.duration)
        queue = self.queues.queue_of(tenant)
        if queue.idle():
            latest = max(latest, now + (until - now) // 2)
        one = Waiting(number, tenant, footprint, estimate, lane, now, latest, self._order)
        return self._enqueue(now, one, queue, out)

    def _enqueue(self, now: int, one: Waiting, queue: Queue, out: list[Output]) -> None:
        wait = self.tags.expected_wait(now, queue)
        if queue.waiting >= self.settings.waiting_tenant_most:
            return self._refuse(one.number, TENANT_FULL, wait, out)
        may_start = one.lane in self.pool.startable_lanes(now)
        if not may_start and not queue.idle() and now + max(1, wait) > one.latest_start:
            return self._refuse(one.number, TOO_LATE, now + wait - one.latest_start, out)
        if len(self.queues.waiting) >= self.settings.waiting_most:
            replaced = self.queues.newest_of_longest(queue)
            if replaced is None:
                return self._refuse(one.number, FULL, wait, out)
            self.queues.remove(replaced.number)
            self._refuse(replaced.number, FULL, wait, out)
        self.tags.before_enqueue(queue)
        self.queues.add(queue, one)
        heapq.heappush(self._latest_starts, (one.latest_start, one.order, one.number))
        if len(self._latest_starts) > 2 * len(self.queues.waiting) + 64:
            self._latest_starts = [entry for entry in self._latest_starts if self._is_current(entry)]
            heapq.heapify(self._latest_starts)
        return None

    def _learn(self, tenant: str, footprint: Footprint, cost: int, duration: int, whole: bool) -> None:
        if whole or cost > self.costs.estimate(tenant, footprint).mean:
            self.costs.learn(tenant, footprint, cost, duration)

    def _stopping(self, now: int, end: int, out: list[Output]) -> None:
        """Simulate the waiting queries in order of their tags; refuse now what would end after ``end``."""
        self._stop_at = end if self._stop_at is None else min(end, self._stop_at)
        work = self.runs.outstanding()
        for one, _ in sorted(self.queues.waiting.values(), key=lambda pair: (pair[1].tag, pair[0].order)):
            start = now + work // self.settings.slow_slots
            if start + one.estimate.duration > end or start > one.latest_start:
                self.queues.remove(one.number)
                self._refuse(one.number, STOPPING, self.settings.retry_after_least, out)
            else:
                work += one.estimate.mean
                one.latest_start = min(one.latest_start, end - one.estimate.duration)
                heapq.heappush(self._latest_starts, (one.latest_start, one.order, one.number))

    # --- starts and refusals ---

    def _start_eligible(self, now: int, out: list[Output]) -> None:
        """Start waiting queries while one may start."""
        while self.queues.waiting:
            lanes = self.pool.startable_lanes(now)
            one = self.tags.next(lanes) if lanes else None
            if one is None:
                return
            _, queue = self.queues.remove(one.number)
            self.runs.start_waiting(now, one, queue)
            out.append(Run(one.number, one.estimate.speed, now - one.arrived))

    def _expire(self, now: int, out: list[Output]) -> None:
        while self._latest_starts and (
            self._latest_starts[0][0] < now or not self._is_current(self._latest_starts[0])
        ):
            entry = heapq.heappop(self._latest_starts)
            if self._is_current(entry):
                _, queue = self.queues.remove(entry[2])
                self._refuse(entry[2], TIME_UP, self.tags.expected_wait(now, queue), out)

    def _is_current(self, entry: tuple[int, int, int]) -> bool:
        waiting = self.queues.waiting.get(entry[2])
        return waiting is not None and (waiting[0].latest_start, waiting[0].order) == entry[:2]

    def _refuse(self, number: int, cause: str, retry_in: float, out: list[Output]) -> None:
        """The delay is jittered by a quarter either way, so that queries refused together return apart."""
        self.refused[cause] += 1
        drawn = int(retry_in * (0.75 + 0.5 * self._random.random()))
        settings = self.settings
        out.append(
            Refuse(number, cause, min(settings.retry_after_most, max(settings.retry_after_least, drawn)))
        )

    # --- reports ---

    def served(self) -> dict[str, int]:
        """For the ledger: slot time (ns) by tenant since the last call; see ``RunningQueries.served``."""
        return self.runs.served(self._now)

    def check(self) -> None:
        """Raise ``AssertionError`` if the slot counts are wrong, or a query waits that may start."""
        self.runs.check()
        startable = self.tags.next(self.pool.startable_lanes(self._now)) if self.queues.waiting else None
        if startable is not None:
            raise AssertionError(f"query {startable.number} waits though it may start")


__all__ = ["FULL", "TIME_UP", "TOO_LATE", "STOPPING", "TENANT_FULL", "FairScheduler"]
