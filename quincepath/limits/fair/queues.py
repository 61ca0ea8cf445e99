"""Bounded, weighted queues of waiting queries, by tenant.

A tenant has a queue of its own while it has a query that waits or runs, or while its tag is ahead of virtual
time. When ``tenants_most`` tenants have one, the idle queue with the smallest tag is dropped and the new
tenant starts from that tag: else a stream of new names, each starting at virtual time, would win every
selection. If no queue is idle, the new tenant shares one of ``shared_queues``, chosen by a hash of its name.
Tenants named in the weights always have their own.

A queue has three lanes, so that a large query that may not start yet does not block a small one of its
tenant; within a lane the order is that of arrival. When ``waiting_most`` queries wait, a new one replaces the
newest of the longest queue (by weight), if that is longer than its own would be; else it is refused. So no
tenant's queue is filled by another tenant.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from quincepath.limits.fair.cost import CostEstimate
from quincepath.limits.fair.types import FairSettings, Footprint


class Lane(IntEnum):
    """Kind of a waiting query. QUICK: beyond its tenant's share of the quick slots; SMALL, LARGE: by cost."""

    QUICK = 0
    SMALL = 1
    LARGE = 2


@dataclass(slots=True)
class Waiting:
    """A waiting query; ``latest_start``: the last time (ns) at which it may start and still be in time."""

    number: int
    tenant: str
    footprint: Footprint
    estimate: CostEstimate
    lane: Lane
    arrived: int
    latest_start: int
    order: int


@dataclass(slots=True)
class Queue:
    """The queue of one tenant (key "=" and its name), or of several that share it (key "#" and a number).

    ``tag``: its last finish tag (virtual ns). ``remote_lag``: the part of the tag that remote usage added and
    that virtual time has not reached; ``remote_speed``: how fast remote usage adds (virtual ns per ns).
    """

    key: str
    weight: float
    tag: int = 0
    remote_lag: int = 0
    remote_speed: float = 0.0
    running: int = 0  # queries that were charged to it and have not ended
    queued: int = 0  # expected slot time of its waiting queries
    waiting: int = 0  # number of its waiting queries
    lanes: tuple[dict[int, Waiting], ...] = field(default_factory=lambda: ({}, {}, {}))

    def first(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        """The oldest query in the given lanes."""
        heads = [next(iter(lane.values())) for lane in map(self.lanes.__getitem__, open_lanes) if lane]
        return min(heads, key=lambda one: one.order, default=None)

    def newest(self) -> Waiting:
        """The newest query of all lanes; the queue must not be empty."""
        return max((next(reversed(lane.values())) for lane in self.lanes if lane), key=lambda one: one.order)

    def idle(self) -> bool:
        """Whether no query of it waits or runs."""
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
        self.in_lane = [0] * len(Lane)  # number of waiting queries

    def queue_of(self, tenant: str) -> Queue:
        """The tenant's queue; created where it has none."""
        queue = self.own.get(tenant)
        if queue is not None:
            return queue
        tag = 0
        if len(self.own) >= self.settings.tenants_most and tenant not in self.weights:
            evicted = self._evict_idle()
            if evicted is None:
                key = f"#{crc32(tenant.encode()) % self.settings.shared_queues}"
                return self.shared.setdefault(key, Queue(key, 1.0))
            tag = evicted.tag
        queue = self.own[tenant] = Queue("=" + tenant, self.weights.get(tenant, 1.0), tag)
        return queue

    def set_weight(self, tenant: str, weight: float | None, virtual: int) -> None:
        """Set the weight of a tenant; None: 1, and no right to a queue of its own.

        The distance of its tag from virtual time stays the same in slot time.
        """
        if weight is None:
            self.weights.pop(tenant, None)
        else:
            self.weights[tenant] = weight
        queue = self.own.get(tenant)
        if queue is not None:
            _reweigh(queue, 1.0 if weight is None else weight, virtual)

    def _evict_idle(self) -> Queue | None:
        """Drop the idle queue with the smallest tag, except those of tenants named in the weights."""
        idle = [queue for name, queue in self.own.items() if queue.idle() and name not in self.weights]
        evicted = min(idle, key=lambda q: (q.tag, q.key), default=None)
        if evicted is not None:
            del self.own[evicted.key[1:]]
        return evicted

    def drop_idle(self, virtual: int) -> None:
        """Drop idle queues whose tag is not ahead of virtual time: they hold no state that counts."""
        for table in (self.own, self.shared):
            for key in [key for key, queue in table.items() if queue.tag <= virtual and queue.idle()]:
                del table[key]

    def newest_of_longest(self, queue: Queue) -> Waiting | None:
        """The query that a new one of ``queue`` replaces when ``waiting_most`` queries wait."""
        longest = max(self.backlogged.values(), key=lambda q: (q.waiting / q.weight, q.key), default=None)
        if longest is None or longest.waiting / longest.weight <= (queue.waiting + 1) / queue.weight:
            return None
        return longest.newest()

    def add(self, queue: Queue, one: Waiting) -> None:
        """Append a query to its lane."""
        queue.lanes[one.lane][one.number] = one
        queue.waiting += 1
        queue.queued += one.estimate.mean
        self.queued += one.estimate.mean
        self.in_lane[one.lane] += 1
        self.backlogged[queue.key] = queue
        self.waiting[one.number] = one, queue

    def remove(self, number: int) -> tuple[Waiting, Queue]:
        """Remove a query that starts, is refused or was cancelled."""
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
    queue.remote_lag = int(queue.remote_lag * ratio)
    queue.remote_speed *= ratio
    queue.weight = weight
