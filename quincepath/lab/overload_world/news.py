"""The ledger as a function: totals of what brokers counted, late, with losses, never of those cut off."""

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
from quincepath.lab.overload_world.brokers import Broker, Layout
from quincepath.lab.overload_world.plan import MS, SECOND, Plan

TICK = 100 * MS
FORGET = 3 * SECOND  # a broker that is not heard is believed dead after this


class Ledger:
    """Keeps what all brokers counted, tick by tick."""

    def __init__(self, plan: Plan, layout: Layout, brokers: list[Broker], seed: int) -> None:
        self._plan, self._layout, self._brokers = plan, layout, brokers
        self._draw = random.Random(f"news/{seed}")
        keep = (plan.news.most + plan.news.window) // TICK + 3
        self._rows: deque[tuple[int, npt.NDArray[np.int64], npt.NDArray[np.float64]]] = deque(maxlen=keep)
        self._dead_at: dict[int, int] = {}
        self._made: dict[tuple[int, int], Totals] = {}
        self.tick(0)

    def tick(self, now: int) -> None:
        """Take all brokers' counts."""
        rows = np.array([broker.row for broker in self._brokers], dtype=np.int64)
        lines = np.array([broker.line for broker in self._brokers])
        self._rows.append((now, rows, lines))
        for broker in self._brokers:
            if broker.alive:
                self._dead_at.pop(broker.number, None)
            else:
                self._dead_at.setdefault(broker.number, now)
        self._made = {key: value for key, value in self._made.items() if key[0] > now - 5 * SECOND}

    def local(self, broker: Broker) -> LocalStats:
        """What one broker saw itself in the last window."""
        _, rows, _ = self._rows[max(len(self._rows) - 1 - self._plan.news.window // TICK, 0)]
        at = self._rows[max(len(self._rows) - 1 - self._plan.news.window // TICK, 0)][0]
        window = max(self._rows[-1][0] - at, TICK)
        got = np.array(broker.row) - rows[broker.number]
        kinds = got[: self._layout.spends].reshape(self._layout.classes, len(Count)).sum(axis=0)
        bad = float(kinds[Count.LATE] + kinds[Count.REFUSED] + kinds[Count.FAILED])
        return LocalStats(
            window=window,
            arrivals=tuple(got[self._layout.arrivals : self._layout.cells].tolist()),
            admitted=float(got[self._layout.extra]),
            ended=float(kinds[Count.IN_TIME]) + bad,
            bad=bad,
            refused=float(kinds[Count.REFUSED] + kinds[Count.SHED] + kinds[Count.TURNED_AWAY]),
            first=float(got[self._layout.spends + SendKind.FIRST]),
            first_rate=self._rate(broker, self._layout.spends + SendKind.FIRST),
        )

    def _rate(self, broker: Broker, place: int) -> float:
        """Of one count, a second, within the last half second."""
        at, rows, _ = self._rows[max(len(self._rows) - 1 - 5, 0)]
        span = max(self._rows[-1][0] - at, TICK)
        return float(broker.row[place] - rows[broker.number][place]) * SECOND / span

    def totals(self, now: int, number: int) -> Totals | None:
        """What the broker knows now of the fleet; None: nothing yet."""
        news = self._plan.news
        delay = self._draw.randint(news.least, news.most)
        back = len(self._rows) - 1 - delay // TICK
        if back < 1:
            return None
        cut = news.halves[0] <= now < news.halves[1]
        half = number % 2 if cut else -1
        key = (self._rows[back][0], half)
        if key not in self._made:
            self._made[key] = self._sum(now, back, half)
        return self._made[key]

    def _sum(self, now: int, back: int, half: int) -> Totals:
        at, rows, lines = self._rows[back]
        first = max(back - self._plan.news.window // TICK, 0)
        begun, before, _ = self._rows[first]
        heard, of = [], 0
        for broker in self._brokers:
            dead = self._dead_at.get(broker.number)
            away = half >= 0 and broker.number % 2 != half
            gone = (dead is not None and dead < at - FORGET) or (
                away and at > self._plan.news.halves[0] + FORGET
            )
            of += not gone
            lost = self._draw.random() < self._plan.news.lost
            if broker.alive and not away and not lost:
                heard.append(broker.number)
        got = (rows[heard] - before[heard]).sum(axis=0)
        layout, plan = self._layout, self._plan
        kinds = got[: layout.spends].reshape(layout.classes, len(Count)).tolist()
        cells = got[layout.cells : layout.tenants].reshape(plan.cells, 2).tolist()
        tenants = got[layout.tenants : layout.extra].tolist()
        return Totals(
            at=at, window=max(at - begun, TICK), reporting=len(heard), live=of,
            by_class=tuple(tuple(float(n) for n in row) for row in kinds),
            sends=tuple(float(n) for n in got[layout.spends : layout.arrivals]),
            arrivals=tuple(float(n) for n in got[layout.arrivals : layout.arrivals + PRIORITY_BANDS]),
            tenants={f"t{n}": TenantTotal(float(used), 0.0) for n, used in enumerate(tenants) if used},
            replica_sets={n: ReplicaSetTotal(float(d), float(r)) for n, (d, r) in enumerate(cells) if d},
            threshold=float(lines[heard].mean()) if heard else 0.0,
        )  # fmt: skip
