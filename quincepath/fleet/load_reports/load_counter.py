"""Counts a broker's own work, in tables of bounded size.

Heavy tenants are found by Space-Saving (Metwally 2005), implemented here: the libraries' sketches
(datasketches) give upper estimates over all time, while here each named tenant needs a count that only grows
and is never too high, and its rank has to follow the last seconds. A new tenant replaces the one of lowest
rank and inherits its rank (so that a heavy tenant is not missed) but not its slot time.
"""

from dataclasses import dataclass

from quincepath.fleet.load_reports.types import (
    MAX_CLASSES,
    MAX_NAMED_TENANTS,
    MAX_REPLICA_SETS,
    PRIORITY_BANDS,
    SECOND,
    Count,
    Counts,
    ReplicaSetCount,
    SendKind,
    TenantCount,
)

MAX_TRACKED_TENANTS = 4 * MAX_NAMED_TENANTS  # a tenant with more than 1/128 of the recent use is in the table
RANK_HALF_LIFE_NS = 10 * SECOND  # a rank halves in this time
MAX_TENANT_NAME_LENGTH = 64  # characters; a tenant with a longer name counts among the rest


@dataclass(slots=True)
class TrackedTenant:
    """Table entry of one tenant. ``used`` and ``base`` as in ``TenantCount``."""

    base: int
    used: int
    rank: float
    waiting: int = 0


class LoadCounter:
    """Counts of one broker since ``started_at``. ``uncounted``: events beyond the size limits."""

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at
        self.uncounted = 0
        self._by_class: list[list[int]] = []
        self._sends = [0] * len(SendKind)
        self._arrivals = [0] * PRIORITY_BANDS
        self._replica_sets: dict[int, ReplicaSetCount] = {}
        self._tenants: dict[str, TrackedTenant] = {}
        self._slot_time = self._waiting = 0
        self._decayed_at = started_at

    def count_arrival(self, kind: int, priority: float, first: bool = True) -> None:
        """Count a query of a class, at its place in the priority order (0 to below 1).

        The histogram of priorities is of first tries only: retries would be counted again and again.
        """
        self._count(kind, Count.TAKEN)
        if not first:
            return
        self._arrivals[min(max(int(priority * PRIORITY_BANDS), 0), PRIORITY_BANDS - 1)] += 1

    def count_outcome(self, kind: int, outcome: Count) -> None:
        """Count the outcome of a query, once for each arrival."""
        if outcome is Count.TAKEN:
            raise ValueError("count_outcome: TAKEN is not the outcome of a query; expected any other Count")
        self._count(kind, outcome)

    def _count(self, kind: int, outcome: Count) -> None:
        if not 0 <= kind < MAX_CLASSES:
            self.uncounted += 1
            return
        while len(self._by_class) <= kind:
            self._by_class.append([0] * len(Count))
        self._by_class[kind][outcome] += 1

    def count_sends(self, kind: SendKind, number: int = 1) -> None:
        """Count sends to storage nodes."""
        self._sends[kind] += max(number, 0)

    def count_replica_set(self, replica_set: int, demand: int = 0, refused: int = 0) -> None:
        """Count parts requested of a replica set, and parts that it refused or turned away."""
        if not 0 <= replica_set < MAX_REPLICA_SETS:
            self.uncounted += 1
            return
        count = self._replica_sets.setdefault(replica_set, ReplicaSetCount())
        count.demand += max(demand, 0)
        count.refused += max(refused, 0)

    def add_slot_time(self, tenant: str, ns: int) -> None:
        """Add slot time that a slow query of this tenant used, also while the query still runs."""
        if ns <= 0:
            return
        tracked = self._track(tenant)
        if tracked is not None:
            tracked.used += ns
            tracked.rank += ns
        self._slot_time += ns

    def add_waiting(self, tenant: str, change: int) -> None:
        """Change the number of waiting slow queries of this tenant (fewer: below zero)."""
        self._waiting = max(self._waiting + change, 0)
        tracked = self._tenants.get(tenant) if change < 0 else self._track(tenant)
        if tracked is not None:
            tracked.waiting = max(tracked.waiting + change, 0)

    def _track(self, tenant: str) -> TrackedTenant | None:
        found = self._tenants.get(tenant)
        if found is not None or len(tenant) > MAX_TENANT_NAME_LENGTH or not tenant:
            return found
        rank = 0.0
        if len(self._tenants) >= MAX_TRACKED_TENANTS:
            lowest = min(self._tenants, key=lambda name: (self._tenants[name].rank, name))
            rank = self._tenants.pop(lowest).rank
        found = self._tenants[tenant] = TrackedTenant(self._slot_time, 0, rank)
        return found

    def snapshot(self, now: int, threshold: float = 0.0) -> Counts:
        """The counts to report; the tenants with the most recent use by name."""
        halvings = (now - self._decayed_at) / RANK_HALF_LIFE_NS
        if halvings > 0.1:
            self._decayed_at = now
            for tracked in self._tenants.values():
                tracked.rank *= 0.5**halvings
        by_waiting = sorted(
            self._tenants.items(), key=lambda item: (-item[1].waiting, -item[1].rank, item[0])
        )
        by_rank = sorted(self._tenants.items(), key=lambda item: (-item[1].rank, item[0]))
        named = dict(by_rank[: MAX_NAMED_TENANTS - MAX_NAMED_TENANTS // 4])
        for name, tracked in by_waiting:  # a quarter of the names is for tenants that only wait
            if len(named) >= MAX_NAMED_TENANTS:
                break
            named.setdefault(name, tracked)
        return Counts(
            [row.copy() for row in self._by_class],
            self._sends.copy(),
            self._arrivals.copy(),
            {
                name: TenantCount(entry.base + entry.used, entry.waiting, entry.base)
                for name, entry in named.items()
            },
            {
                replica_set: ReplicaSetCount(count.demand, count.refused)
                for replica_set, count in self._replica_sets.items()
            },
            threshold,
            self._slot_time,
            self._waiting,
            now - self.started_at,
        )
