"""A model of load reports: totals over all brokers, delayed, with losses, and limited by partitions."""

import random
from collections import deque

import numpy as np
import numpy.typing as npt

from quincepath.fleet.load_reports.types import (
    PRIORITY_BANDS,
    Count,
    ReplicaSetTotal,
    SendKind,
    TenantTotal,
    Totals,
)
from quincepath.fleet.overload import LocalStats
from quincepath.lab.overload_simulation.brokers import Broker, RowLayout
from quincepath.lab.overload_simulation.plan import MS, SECOND, Plan

TICK_NS = 100 * MS
DEAD_AFTER_NS = 3 * SECOND  # a broker without reports is considered dead after this time


class LoadReports:
    """Snapshots of all brokers' counters, one per tick, and the totals that each broker knows."""

    def __init__(self, plan: Plan, layout: RowLayout, brokers: list[Broker], seed: int) -> None:
        self._plan, self._layout, self._brokers = plan, layout, brokers
        self._rng = random.Random(f"news/{seed}")
        keep = (plan.reporting.max_delay + plan.reporting.window) // TICK_NS + 3
        self._snapshots: deque[tuple[int, npt.NDArray[np.int64], npt.NDArray[np.float64]]] = deque(
            maxlen=keep
        )
        self._dead_at: dict[int, int] = {}
        self._cache: dict[tuple[int, int], Totals] = {}
        self.tick(0)

    def tick(self, now: int) -> None:
        """Take a snapshot of all brokers' counters."""
        rows = np.array([broker.row for broker in self._brokers], dtype=np.int64)
        thresholds = np.array([broker.threshold for broker in self._brokers])
        self._snapshots.append((now, rows, thresholds))
        for broker in self._brokers:
            if broker.alive:
                self._dead_at.pop(broker.number, None)
            else:
                self._dead_at.setdefault(broker.number, now)
        self._cache = {key: value for key, value in self._cache.items() if key[0] > now - 5 * SECOND}

    def local(self, broker: Broker) -> LocalStats:
        """One broker's own counts over the last window."""
        _, rows, _ = self._snapshots[
            max(len(self._snapshots) - 1 - self._plan.reporting.window // TICK_NS, 0)
        ]
        at = self._snapshots[max(len(self._snapshots) - 1 - self._plan.reporting.window // TICK_NS, 0)][0]
        window = max(self._snapshots[-1][0] - at, TICK_NS)
        counts = np.array(broker.row) - rows[broker.number]
        kinds = counts[: self._layout.sends].reshape(self._layout.classes, len(Count)).sum(axis=0)
        bad = float(kinds[Count.LATE] + kinds[Count.REFUSED] + kinds[Count.FAILED])
        return LocalStats(
            window=window,
            arrivals=tuple(counts[self._layout.arrivals : self._layout.cells].tolist()),
            admitted=float(counts[self._layout.admitted]),
            ended=float(kinds[Count.IN_TIME]) + bad,
            bad=bad,
            refused=float(kinds[Count.REFUSED] + kinds[Count.SHED] + kinds[Count.TURNED_AWAY]),
            first=float(counts[self._layout.sends + SendKind.FIRST]),
            first_rate=self._rate(broker, self._layout.sends + SendKind.FIRST),
        )

    def _rate(self, broker: Broker, column: int) -> float:
        """Rate per second of one counter over the last half second."""
        at, rows, _ = self._snapshots[max(len(self._snapshots) - 1 - 5, 0)]
        span = max(self._snapshots[-1][0] - at, TICK_NS)
        return float(broker.row[column] - rows[broker.number][column]) * SECOND / span

    def totals(self, now: int, number: int) -> Totals | None:
        """The fleet's totals as the broker knows them now; None if it has none yet."""
        reporting = self._plan.reporting
        delay = self._rng.randint(reporting.min_delay, reporting.max_delay)
        index = len(self._snapshots) - 1 - delay // TICK_NS
        if index < 1:
            return None
        partitioned = reporting.partition[0] <= now < reporting.partition[1]
        side = number % 2 if partitioned else -1
        key = (self._snapshots[index][0], side)
        if key not in self._cache:
            self._cache[key] = self._sum(now, index, side)
        return self._cache[key]

    def _sum(self, now: int, index: int, side: int) -> Totals:
        at, rows, thresholds = self._snapshots[index]
        first = max(index - self._plan.reporting.window // TICK_NS, 0)
        window_start, rows_before, _ = self._snapshots[first]
        reporters, live = [], 0
        for broker in self._brokers:
            dead = self._dead_at.get(broker.number)
            unreachable = side >= 0 and broker.number % 2 != side
            known_dead = (dead is not None and dead < at - DEAD_AFTER_NS) or (
                unreachable and at > self._plan.reporting.partition[0] + DEAD_AFTER_NS
            )
            live += not known_dead
            dropped = self._rng.random() < self._plan.reporting.loss_share
            if broker.alive and not unreachable and not dropped:
                reporters.append(broker.number)
        counts = (rows[reporters] - rows_before[reporters]).sum(axis=0)
        layout, plan = self._layout, self._plan
        kinds = counts[: layout.sends].reshape(layout.classes, len(Count)).tolist()
        cells = counts[layout.cells : layout.tenants].reshape(plan.cells, 2).tolist()
        tenants = counts[layout.tenants : layout.admitted].tolist()
        return Totals(
            at=at, window=max(at - window_start, TICK_NS), reporting=len(reporters), live=live,
            by_class=tuple(tuple(float(n) for n in row) for row in kinds),
            sends=tuple(float(n) for n in counts[layout.sends : layout.arrivals]),
            arrivals=tuple(float(n) for n in counts[layout.arrivals : layout.arrivals + PRIORITY_BANDS]),
            tenants={f"t{n}": TenantTotal(float(used), 0.0) for n, used in enumerate(tenants) if used},
            replica_sets={n: ReplicaSetTotal(float(d), float(r)) for n, (d, r) in enumerate(cells) if d},
            threshold=float(thresholds[reporters].mean()) if reporters else 0.0,
        )  # fmt: skip
