"""Queues of waiting queries by tenant, with weights; bounded.

A tenant has a queue of its own while it waits, runs, or is ahead of its turn. When ``tenants_most`` have
one, an idle one is forgotten (the one least ahead) and the newcomer goes on from its tag: a stream of new
names, each starting level with virtual time, would else have every turn. If none is idle, the newcomer
shares one of ``shared_queues`` by a hash of its name. Tenants named in the weights always have their own.

A queue has three lanes, so that a large query that may not start yet does not hold up a small one of its
tenant; inside a lane the order is that of arrival. When ``waiting_most`` wait, a newcomer takes the place
of the newest of the longest queue (by weight), if that is longer than its own would be; else it is refused.
So nobody's queue is filled by somebody else.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from quincepath.limits.fair.cost import CostEstimate
from quincepath.limits.fair.types import FairSettings, Footprint


class Lane(IntEnum):
    """What may hold a waiting query up: QUICK over its tenant's share of the quick slots, SMALL, LARGE."""

    QUICK = 0
    SMALL = 1
    LARGE = 2


@dataclass(slots=True)
class Waiting:
    """A query that waits; ``latest``: the last moment (ns) at which it may start and be answered in time."""

    number: int
    tenant: str
    footprint: Footprint
    estimate: CostEstimate
    lane: Lane
    came: int
    latest: int
    order: int


@dataclass(slots=True)
class Queue:
    """Of one tenant (its key is "=" and the name), or of several that share it ("#" and a number).

    ``tag``: virtual ns, its last finish tag. ``news``: what of it news added and virtual time has not
    reached; ``news_speed``: how fast news add (virtual ns in ns).
    """

    key: str
    weight: float
    tag: int = 0
    news: int = 0
    news_speed: float = 0.0
    running: int = 0  # queries that were charged to it and have not ended
    queued: int = 0  # mean slot time of what waits
    waiting: int = 0
    lanes: tuple[dict[int, Waiting], ...] = field(default_factory=lambda: ({}, {}, {}))

    def first(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        """The oldest that may start."""
        heads = [next(iter(lane.values())) for lane in map(self.lanes.__getitem__, open_lanes) if lane]
        return min(heads, key=lambda one: one.order, default=None)

    def newest(self) -> Waiting:
        """The query that came last, of all lanes; at least one waits."""
        return max((next(reversed(lane.values())) for lane in self.lanes if lane), key=lambda one: one.order)

    def idle(self) -> bool:
        """Whether none waits and none runs."""
        return not self.waiting and not self.running


class Queues:
    """All queues of a broker."""

    def __init__(self, settings: FairSettings) -> None:
        self.settings = settings
        self.weights = dict(settings.weights or {})
        self.own: dict[str, Queue] = {}
        self.shared: dict[str, Queue] = {}
        self.backlogged: dict[str, Queue] = {}
        self.waiting: dict[int, tuple[Waiting, Queue]] = {}
        self.queued = 0
        self.in_lane = [0] * len(Lane)  # how many wait

    def queue_of(self, tenant: str) -> Queue:
        """The tenant's queue, made where it has none."""
        queue = self.own.get(tenant)
        if queue is not None:
            return queue
        tag = 0
        if len(self.own) >= self.settings.tenants_most and tenant not in self.weights:
            left = self._forget()
            if left is None:
                key = f"#{crc32(tenant.encode()) % self.settings.shared_queues}"
                return self.shared.setdefault(key, Queue(key, 1.0))
            tag = left.tag
        queue = self.own[tenant] = Queue("=" + tenant, self.weights.get(tenant, 1.0), tag)
        return queue

    def set_weight(self, tenant: str, weight: float | None, virtual: int) -> None:
        """Another weight from now on; None: 1, and no queue of its own by right.

        How far its queue is ahead of virtual time stays the same in slot time.
        """
        if weight is None:
            self.weights.pop(tenant, None)
        else:
            self.weights[tenant] = weight
        queue = self.own.get(tenant)
        if queue is not None:
            _reweigh(queue, 1.0 if weight is None else weight, virtual)

    def _forget(self) -> Queue | None:
        """Drops the idle queue that is least ahead, if any is idle and not of a named tenant."""
        idle = [queue for name, queue in self.own.items() if queue.idle() and name not in self.weights]
        left = min(idle, key=lambda q: (q.tag, q.key), default=None)
        if left is not None:
            del self.own[left.key[1:]]
        return left

    def drop_idle(self, virtual: int) -> None:
        """Idle queues that are not ahead of virtual time say nothing: they are dropped."""
        for table in (self.own, self.shared):
            for key in [key for key, queue in table.items() if queue.tag <= virtual and queue.idle()]:
                del table[key]

    def newest_of_longest(self, queue: Queue) -> Waiting | None:
        """Whose place a newcomer to ``queue`` takes when as many wait as may."""
        longest = max(self.backlogged.values(), key=lambda q: (q.waiting / q.weight, q.key), default=None)
        if longest is None or longest.waiting / longest.weight <= (queue.waiting + 1) / queue.weight:
            return None
        return longest.newest()

    def add(self, queue: Queue, one: Waiting) -> None:
        """Put a query at the end of its lane."""
        queue.lanes[one.lane][one.number] = one
        queue.waiting += 1
        queue.queued += one.estimate.mean
        self.queued += one.estimate.mean
        self.in_lane[one.lane] += 1
        self.backlogged[queue.key] = queue
        self.waiting[one.number] = one, queue

    def remove(self, number: int) -> tuple[Waiting, Queue]:
        """Out of its queue: it starts, is refused, or is gone."""
        one, queue = self.waiting.pop(number)
        del queue.lanes[one.lane][number]
        queue.waiting -= 1
        queue.queued -= one.estimate.mean
        self.queued -= one.estimate.mean
        self.in_lane[one.lane] -= 1
        if not queue.waiting:
            del self.backlogged[queue.key]
        return one, queue


def _reweigh(queue: Queue, weight: float, virtual: int) -> None:
    ratio = queue.weight / weight
    queue.tag = virtual + int((queue.tag - virtual) * ratio)
    queue.news = int(queue.news * ratio)
    queue.news_speed *= ratio
    queue.weight = weight
