"""The turns of a broker: what may run now, what waits, what is refused. Pure: own seeded source, no clock.

A quick query runs at once. A slow one runs when a slot is free and it is its tenant's turn (turns.py), and
waits only as long as it can still be answered: until its target, or its client's deadline, less the time
that the like ran. What cannot be served by then is refused at its arrival where that is foreseen, with
advice when to come. Whatever ends a query gives its slots back; a number that is not known is ignored.

A tenant that has nothing running and nothing waiting may always let one query wait, for half of its time at
least, whatever its estimate: else an estimate that is far too high would be kept for ever, as nothing would
run that corrects it.
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
    """One a broker."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        self.costs = CostModel(settings)
        self.queues = Queues(settings)
        self.pool = self.new_pool()
        self.tags = self.new_tags()
        self.runs = self.new_runs()
        self.refused: Counter[str] = Counter()
        self._random = Random(seed)
        self._ends: list[tuple[int, int, int]] = []  # (latest, order, number) of what waits, or did
        self._order = 0
        self._stop: int | None = None
        self._now = 0

    def new_pool(self) -> Pool:
        """The slots; a test may plant another."""
        return Pool(self.settings)

    def new_tags(self) -> Tags:
        """The order of tenants; a test may plant another."""
        return Tags(self.settings, self.queues)

    def new_runs(self) -> RunningQueries:
        """The running queries; a test may plant another."""
        return RunningQueries(self.settings, self.pool, self.queues, self.tags, self._learn)

    def set_weight(self, tenant: str, weight: float | None) -> None:
        """Another weight from the next step on; None: the one that the settings name, else 1."""
        configured = (self.settings.weights or {}).get(tenant)
        self.queues.set_weight(tenant, configured if weight is None else weight, self.tags.virtual)

    # --- one step ---

    def step(self, now: int, inputs: Iterable[Input] = ()) -> list[Output]:
        """What came in since the last step, in its order.

        Then turns are given. ``now`` never runs backwards.
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
                    # A burst in one step counts as it comes: the next one finds the slots that are left.
                    self._enter(now, one, out)
                    self._give(now, out)
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
        self._give(now, out)
        if not self._order % 64:
            self.queues.drop_idle(self.tags.virtual)
        return out

    def due(self) -> int | None:
        """When ``step`` must be called at the latest, if nothing comes in."""
        if not self.queues.waiting:
            return None
        while self._ends and not self._live(self._ends[0]):
            heapq.heappop(self._ends)
        dues = [self._ends[0][0] + 1]  # the first moment that is too late
        if self.queues.in_lane[Lane.QUICK]:
            dues.append(self.runs.next_reclassification() or dues[0])
        if self.queues.in_lane[Lane.LARGE]:
            dues.append(self.pool.next_change(self._now) or dues[0])
        return max(min(dues), self._now + 1)

    # --- what comes ---

    def _enter(self, now: int, enter: Enter, out: list[Output]) -> None:
        number, tenant, footprint = enter.number, enter.tenant, enter.footprint
        if number in self.runs.all or number in self.queues.waiting:
            raise ValueError(f"query {number} entered twice; expected a number that is free")
        self._order += 1
        if self._stop is not None:
            return self._refuse(number, STOPPING, self.settings.retry_after_most, out)
        until = min(now + enter.target, enter.deadline)
        if until <= now:
            return self._refuse(number, TIME_UP, self.settings.retry_after_least, out)
        estimate = self.costs.estimate(tenant, footprint)
        if estimate.speed is Speed.QUICK:
            own_part = self.pool.quick_slots_for(tenant)
            if own_part is not None:
                self.runs.start_quick(now, number, tenant, footprint, own_part)
                out.append(Run(number, Speed.QUICK, 0))
                return None
        lane = Lane.QUICK if estimate.speed is Speed.QUICK else Lane.SMALL
        if estimate.cost >= self.settings.large_from:
            lane = Lane.LARGE
        latest = max(now, until - estimate.wall)
        queue = self.queues.queue_of(tenant)
        if queue.idle():
            latest = max(latest, now + (until - now) // 2)
        one = Waiting(number, tenant, footprint, estimate, lane, now, latest, self._order)
        return self._line_up(now, one, queue, out)

    def _line_up(self, now: int, one: Waiting, queue: Queue, out: list[Output]) -> None:
        wait = self.tags.expected_wait(now, queue)
        if queue.waiting >= self.settings.waiting_tenant_most:
            return self._refuse(one.number, TENANT_FULL, wait, out)
        may_start = one.lane in self.pool.startable_lanes(now)
        if not may_start and not queue.idle() and now + max(1, wait) > one.latest:
            return self._refuse(one.number, TOO_LATE, now + wait - one.latest, out)
        if len(self.queues.waiting) >= self.settings.waiting_most:
            other = self.queues.newest_of_longest(queue)
            if other is None:
                return self._refuse(one.number, FULL, wait, out)
            self.queues.remove(other.number)
            self._refuse(other.number, FULL, wait, out)
        self.tags.before_enqueue(queue)
        self.queues.add(queue, one)
        heapq.heappush(self._ends, (one.latest, one.order, one.number))
        if len(self._ends) > 2 * len(self.queues.waiting) + 64:
            self._ends = [end for end in self._ends if self._live(end)]
            heapq.heapify(self._ends)
        return None

    def _learn(self, tenant: str, footprint: Footprint, cost: int, wall: int, whole: bool) -> None:
        if whole or cost > self.costs.estimate(tenant, footprint).mean:
            self.costs.learn(tenant, footprint, cost, wall)

    def _stopping(self, now: int, end: int, out: list[Output]) -> None:
        """What waits is played through in turn order; what would end after ``end`` is refused now."""
        self._stop = end if self._stop is None else min(end, self._stop)
        work = self.runs.outstanding()
        for one, _ in sorted(self.queues.waiting.values(), key=lambda pair: (pair[1].tag, pair[0].order)):
            start = now + work // self.settings.slow_slots
            if start + one.estimate.wall > end or start > one.latest:
                self.queues.remove(one.number)
                self._refuse(one.number, STOPPING, self.settings.retry_after_least, out)
            else:
                work += one.estimate.mean
                one.latest = min(one.latest, end - one.estimate.wall)
                heapq.heappush(self._ends, (one.latest, one.order, one.number))

    # --- turns ---

    def _give(self, now: int, out: list[Output]) -> None:
        """As long as a slot is free for one that waits."""
        while self.queues.waiting:
            lanes = self.pool.startable_lanes(now)
            one = self.tags.next(lanes) if lanes else None
            if one is None:
                return
            _, queue = self.queues.remove(one.number)
            self.runs.start_waiting(now, one, queue)
            out.append(Run(one.number, one.estimate.speed, now - one.came))

    def _expire(self, now: int, out: list[Output]) -> None:
        while self._ends and (self._ends[0][0] < now or not self._live(self._ends[0])):
            end = heapq.heappop(self._ends)
            if self._live(end):
                _, queue = self.queues.remove(end[2])
                self._refuse(end[2], TIME_UP, self.tags.expected_wait(now, queue), out)

    def _live(self, end: tuple[int, int, int]) -> bool:
        waits = self.queues.waiting.get(end[2])
        return waits is not None and (waits[0].latest, waits[0].order) == end[:2]

    def _refuse(self, number: int, cause: str, retry_in: float, out: list[Output]) -> None:
        """Advice is spread by half around its middle: those refused together do not return together."""
        self.refused[cause] += 1
        drawn = int(retry_in * (0.75 + 0.5 * self._random.random()))
        settings = self.settings
        out.append(
            Refuse(number, cause, min(settings.retry_after_most, max(settings.retry_after_least, drawn)))
        )

    # --- what is told ---

    def served(self) -> dict[str, int]:
        """For the ledger: slot time (ns) by tenant since the last call; see ``RunningQueries.served``."""
        return self.runs.served(self._now)

    def check(self) -> None:
        """``AssertionError``: slots are not those of what runs, or one is idle for one that may start."""
        self.runs.check()
        idle = self.tags.next(self.pool.startable_lanes(self._now)) if self.queues.waiting else None
        if idle is not None:
            raise AssertionError(f"query {idle.number} waits though it may start")


__all__ = ["FULL", "TIME_UP", "TOO_LATE", "STOPPING", "TENANT_FULL", "FairScheduler"]
