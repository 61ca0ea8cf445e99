"""Many brokers with turns, holders with slots, tenants that ask, in virtual time; what each tenant got of it.

Holders are servers of ``holder_slots`` parts at once with a queue in the order of arrival; a part goes to
the less loaded of two drawn ones, in sum over all brokers. A tenant is a closed loop (``clients`` at each
of its brokers, each asks again when it has its answer) or an open one (``rate`` a second, at one of its
brokers). Who is refused comes back when it was told to. News of the ledger: each ``news_every`` a broker
hears what the others had served some time ago; ``news`` draws how long ago (ns), or None for a message that
was lost.

Slot time is what holders worked for a tenant, by windows of 10 s. A tenant wants more in a window if at
each look something of it waited, or was away on advice. Idle slots are counted where somebody waits at that
broker or is away from it. Waiting is from the first time a query was asked to its start, over all its
tries.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from random import Random

from quincepath.lab.fair_plan import WINDOW, Plan, Query, Result, Tenant
from quincepath.limits.fair import Done, Enter, Footprint, Freed, Input, Refuse, RemoteUsage, Run
from quincepath.limits.fair.types import MS, SECOND

LOOK_EVERY = 250 * MS


class Simulation:
    """One run of a plan; the same seed, the same run."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.seed = plan, seed
        self.random = Random(seed)
        self.now = 0
        self.result = Result()
        self.schedulers = [plan.scheduler(plan.settings, seed * 1000 + n) for n in range(plan.brokers)]
        self.queries: dict[int, Query] = {}
        self.load = [0] * plan.holders
        self.holder_queue: list[deque[tuple[int, int]]] = [deque() for _ in range(plan.holders)]
        self.away: list[Counter[str]] = [Counter() for _ in range(plan.brokers)]
        self.told: list[Counter[str]] = [Counter() for _ in range(plan.brokers)]  # served, since ever
        self.past: deque[tuple[int, list[Counter[str]]]] = deque()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._dues: list[int | None] = [None] * plan.brokers
        self._idle: list[tuple[int, bool, int]] = [(0, False, 0)] * plan.brokers  # idle, contended, since
        self._number = self._order = 0

    def run(self) -> Result:
        """To the end of the plan; what waits then counts as having waited until then."""
        for tenant in self.plan.tenants:
            for broker in tenant.brokers:
                for _ in range(tenant.clients):
                    self._at(self.random.randrange(SECOND), partial(self._ask, tenant, broker))
            if tenant.rate:
                self._at(self._gap(tenant), partial(self._open, tenant))
        self._at(0, self._look)
        if self.plan.report_age is not None:
            self._at(0, self._ledger)
        if self.plan.kill is not None:
            self._at(self.plan.kill[0], self._kill)
        while self._events and self._events[0][0] <= self.plan.length:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = self.plan.length
        for broker in range(self.plan.brokers):
            self._account(broker)
        for query in self.queries.values():
            if not query.started:
                self._waited(query)
        return self.result

    def _at(self, when: int, what: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, what))

    # --- tenants ---

    def _gap(self, tenant: Tenant) -> int:
        return self.now + int(self.random.expovariate(tenant.rate) * SECOND)

    def _open(self, tenant: Tenant) -> None:
        self._ask(tenant, self.random.choice(tenant.brokers))
        self._at(self._gap(tenant), partial(self._open, tenant))

    def _ask(self, tenant: Tenant, broker: int) -> None:
        cost = int(tenant.cost * self.random.lognormvariate(-(tenant.spread**2) / 2, tenant.spread))
        self._number += 1
        self.queries[self._number] = Query(tenant, broker, max(cost, tenant.parts), self.now)
        self._enter(self._number)

    def _enter(self, number: int) -> None:
        query = self.queries[number]
        tenant = query.tenant
        footprint = Footprint(tenant.kind, tenant.parts, (0,))
        self._tell(
            query.broker, Enter(number, tenant.name, footprint, tenant.target, self.now + tenant.target)
        )

    def _back(self, number: int) -> None:
        query = self.queries.get(number)
        if query is None:
            return
        self.away[query.broker][query.tenant.name] -= 1
        self._enter(number)

    # --- brokers ---

    def _tell(self, broker: int, *inputs: Input) -> None:
        scheduler = self.schedulers[broker]
        for output in scheduler.step(self.now, inputs):
            query = self.queries[output.number]
            if isinstance(output, Run):
                query.started, query.left = True, query.tenant.parts
                self._waited(query)
                for _ in range(query.tenant.parts):
                    self._send(output.number)
            elif isinstance(output, Refuse):
                self.result.refused[output.cause] += self.now >= self.plan.warmup
                self.away[broker][query.tenant.name] += 1
                self._at(self.now + output.retry_in, partial(self._back, output.number))
        self._account(broker)
        due = scheduler.due()
        if due is not None and due != self._dues[broker]:
            self._at(due, partial(self._due, broker, due))
        self._dues[broker] = due

    def _waited(self, query: Query) -> None:
        if query.asked >= self.plan.warmup:
            self.result.waits[query.tenant.name].append(self.now - query.asked)

    def _due(self, broker: int, when: int) -> None:
        if self._dues[broker] == when:
            self._dues[broker] = None
            self._tell(broker)

    def _account(self, broker: int) -> None:
        """Idle slots since the last change at this broker."""
        idle, contended, since = self._idle[broker]
        slots = self.plan.settings.slow_slots
        if contended:
            self.result.idle += idle * (self.now - since)
            self.result.contended += slots * (self.now - since)
        scheduler = self.schedulers[broker]
        waits = bool(scheduler.waiting()) or any(self.away[broker].values())
        self._idle[broker] = scheduler.idle(), waits, self.now

    def _kill(self) -> None:
        """Its queries are lost; their clients ask its neighbour, or it again. Parts run on at the holders."""
        assert self.plan.kill is not None
        broker = self.plan.kill[1]
        self.schedulers[broker] = self.plan.scheduler(self.plan.settings, self.seed * 1000 + 999)
        self._dues[broker] = None
        self.told[broker] = Counter()
        lost = [n for n, query in self.queries.items() if query.broker == broker]
        for number in lost:
            query = self.queries.pop(number)
            others = [one for one in query.tenant.brokers if one != broker] or [broker]
            self._at(self.now, partial(self._ask, query.tenant, self.random.choice(others)))
        self.away[broker].clear()

    # --- holders ---

    def _send(self, number: int) -> None:
        holder = min(self.random.sample(range(self.plan.holders), 2), key=self.load.__getitem__)
        self.load[holder] += 1
        if self.load[holder] <= self.plan.holder_slots:
            self._work(holder, number, self.now)
        else:
            self.holder_queue[holder].append((number, self.now))

    def _work(self, holder: int, number: int, sent: int) -> None:
        query = self.queries.get(number)
        took = query.cost // query.tenant.parts if query else 0
        if query:
            at, end = self.now, self.now + took
            while at < end:
                window = at // WINDOW
                upto = min(end, (window + 1) * WINDOW)
                self.result.used[query.tenant.name][window] += upto - at
                at = upto
        self._at(self.now + took, partial(self._worked, holder, number, sent))

    def _worked(self, holder: int, number: int, sent: int) -> None:
        self.load[holder] -= 1
        if self.holder_queue[holder]:
            self._work(holder, *self.holder_queue[holder].popleft())
        query = self.queries.get(number)
        if query is None:
            return
        query.left -= 1
        query.used += self.now - sent
        if query.left:
            self._tell(query.broker, Freed(number, 1))
            return
        del self.queries[number]
        self.result.answered += 1
        self._tell(query.broker, Done(number, query.used))
        if query.tenant.clients:
            self._ask(query.tenant, query.broker)

    # --- looks and news ---

    def _look(self) -> None:
        window = self.now // WINDOW
        self.result.samples[window] += 1
        backlogged: Counter[str] = Counter()
        for scheduler, away in zip(self.schedulers, self.away, strict=True):
            backlogged.update(scheduler.waiting())
            backlogged.update(away)
        for tenant in self.plan.tenants:
            self.result.backlogged[tenant.name][window] += backlogged[tenant.name] > 0
        self._at(self.now + LOOK_EVERY, self._look)

    def _ledger(self) -> None:
        """Each broker hears what all others had served some time ago."""
        assert self.plan.report_age is not None
        for scheduler, told in zip(self.schedulers, self.told, strict=True):
            told.update(scheduler.served())
        self.past.append((self.now, [told.copy() for told in self.told]))
        while len(self.past) > 1 and self.past[0][0] < self.now - 10 * SECOND:
            self.past.popleft()
        totals: dict[int, Counter[str]] = {}
        for broker in range(self.plan.brokers):
            ago = self.plan.report_age(self.random)
            if ago is None:
                continue
            then, all_told = next(
                (one for one in reversed(self.past) if one[0] <= self.now - ago), self.past[0]
            )
            if then not in totals:
                totals[then] = Counter()
                for told in all_told:
                    totals[then].update(told)
            own = all_told[broker]
            served = {name: total - own[name] for name, total in totals[then].items()}
            self._tell(broker, RemoteUsage(served, self.now - then))
        self._at(self.now + self.plan.report_interval, self._ledger)
