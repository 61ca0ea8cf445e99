"""Fair queueing at many brokers in virtual time: what slot time each tenant gets of the holders.

Holders serve up to ``holder_slots`` parts at once and queue others in order of arrival. A part goes to the
less loaded of two random holders; the load is the sum over all brokers. A tenant is a closed loop
(``clients`` at each of its brokers, each of which sends its next query after an answer) or an open one
(``rate`` per second, each query at one of its brokers). A refused query returns after the advised delay.
Every ``report_interval`` a broker learns what the others had served some time ago; ``report_age`` draws
that age (ns), or None for a lost report.

Slot time is the time that holders worked for a tenant, in windows of 10 s. A tenant is backlogged in a
window if at each sample a query of it waited, or was away until its advised retry time. Idle slots are
counted at a broker while a query waits there or is away from it. The wait of a query lasts from its first
arrival to its start, over all its tries.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from random import Random

from quincepath.lab.fair_plan import WINDOW, Plan, Query, Result, Tenant
from quincepath.limits.fair import Done, Enter, Footprint, Freed, Input, Refuse, RemoteUsage, Run
from quincepath.limits.fair.types import MS, SECOND

SAMPLE_INTERVAL_NS = 250 * MS


class Simulation:
    """One run of a plan; the same seed gives the same run."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.seed = plan, seed
        self.random = Random(seed)
        self.now = 0
        self.result = Result()
        self.schedulers = [plan.scheduler(plan.settings, seed * 1000 + n) for n in range(plan.brokers)]
        self.queries: dict[int, Query] = {}
        self.load = [0] * plan.holders
        self.holder_queue: list[deque[tuple[int, int]]] = [deque() for _ in range(plan.holders)]
        self.backing_off: list[Counter[str]] = [Counter() for _ in range(plan.brokers)]
        self.served_by_broker: list[Counter[str]] = [
            Counter() for _ in range(plan.brokers)
        ]  # slot time by tenant since the start
        self.served_history: deque[tuple[int, list[Counter[str]]]] = deque()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._due_times: list[int | None] = [None] * plan.brokers
        self._idle: list[tuple[int, bool, int]] = [(0, False, 0)] * plan.brokers  # idle, contended, since
        self._number = self._order = 0

    def run(self) -> Result:
        """Run to the end of the plan; the wait of queries that have not started ends there."""
        for tenant in self.plan.tenants:
            for broker in tenant.brokers:
                for _ in range(tenant.clients):
                    self._at(self.random.randrange(SECOND), partial(self._ask, tenant, broker))
            if tenant.rate:
                self._at(self._next_arrival(tenant), partial(self._arrive_open_loop, tenant))
        self._at(0, self._sample)
        if self.plan.report_age is not None:
            self._at(0, self._report_usage)
        if self.plan.kill is not None:
            self._at(self.plan.kill[0], self._restart_broker)
        while self._events and self._events[0][0] <= self.plan.length:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = self.plan.length
        for broker in range(self.plan.brokers):
            self._account(broker)
        for query in self.queries.values():
            if not query.started:
                self._record_wait(query)
        return self.result

    def _at(self, when: int, callback: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, callback))

    # --- tenants ---

    def _next_arrival(self, tenant: Tenant) -> int:
        return self.now + int(self.random.expovariate(tenant.rate) * SECOND)

    def _arrive_open_loop(self, tenant: Tenant) -> None:
        self._ask(tenant, self.random.choice(tenant.brokers))
        self._at(self._next_arrival(tenant), partial(self._arrive_open_loop, tenant))

    def _ask(self, tenant: Tenant, broker: int) -> None:
        cost = int(tenant.cost * self.random.lognormvariate(-(tenant.spread**2) / 2, tenant.spread))
        self._number += 1
        self.queries[self._number] = Query(tenant, broker, max(cost, tenant.parts), self.now)
        self._enter(self._number)

    def _enter(self, number: int) -> None:
        query = self.queries[number]
        tenant = query.tenant
        footprint = Footprint(tenant.kind, tenant.parts, (0,))
        self._step(
            query.broker, Enter(number, tenant.name, footprint, tenant.target, self.now + tenant.target)
        )

    def _return(self, number: int) -> None:
        query = self.queries.get(number)
        if query is None:
            return
        self.backing_off[query.broker][query.tenant.name] -= 1
        self._enter(number)

    # --- brokers ---

    def _step(self, broker: int, *inputs: Input) -> None:
        scheduler = self.schedulers[broker]
        for output in scheduler.step(self.now, inputs):
            query = self.queries[output.number]
            if isinstance(output, Run):
                query.started, query.left = True, query.tenant.parts
                self._record_wait(query)
                for _ in range(query.tenant.parts):
                    self._send(output.number)
            elif isinstance(output, Refuse):
                self.result.refused[output.cause] += self.now >= self.plan.warmup
                self.backing_off[broker][query.tenant.name] += 1
                self._at(self.now + output.retry_in, partial(self._return, output.number))
        self._account(broker)
        due = scheduler.due()
        if due is not None and due != self._due_times[broker]:
            self._at(due, partial(self._on_due, broker, due))
        self._due_times[broker] = due

    def _record_wait(self, query: Query) -> None:
        if query.asked >= self.plan.warmup:
            self.result.waits[query.tenant.name].append(self.now - query.asked)

    def _on_due(self, broker: int, when: int) -> None:
        if self._due_times[broker] == when:
            self._due_times[broker] = None
            self._step(broker)

    def _account(self, broker: int) -> None:
        """Count the idle slots since the last change at this broker."""
        idle, contended, since = self._idle[broker]
        slots = self.plan.settings.slow_slots
        if contended:
            self.result.idle += idle * (self.now - since)
            self.result.contended += slots * (self.now - since)
        scheduler = self.schedulers[broker]
        waits = bool(scheduler.waiting()) or any(self.backing_off[broker].values())
        self._idle[broker] = scheduler.idle(), waits, self.now

    def _restart_broker(self) -> None:
        """Restart a broker: its queries are lost and their clients ask another of their brokers, or it again.

        Parts that holders have already got are still served.
        """
        assert self.plan.kill is not None
        broker = self.plan.kill[1]
        self.schedulers[broker] = self.plan.scheduler(self.plan.settings, self.seed * 1000 + 999)
        self._due_times[broker] = None
        self.served_by_broker[broker] = Counter()
        lost = [n for n, query in self.queries.items() if query.broker == broker]
        for number in lost:
            query = self.queries.pop(number)
            others = [one for one in query.tenant.brokers if one != broker] or [broker]
            self._at(self.now, partial(self._ask, query.tenant, self.random.choice(others)))
        self.backing_off[broker].clear()

    # --- holders ---

    def _send(self, number: int) -> None:
        holder = min(self.random.sample(range(self.plan.holders), 2), key=self.load.__getitem__)
        self.load[holder] += 1
        if self.load[holder] <= self.plan.holder_slots:
            self._start_part(holder, number, self.now)
        else:
            self.holder_queue[holder].append((number, self.now))

    def _start_part(self, holder: int, number: int, sent: int) -> None:
        query = self.queries.get(number)
        service_time = query.cost // query.tenant.parts if query else 0
        if query:
            at, end = self.now, self.now + service_time
            while at < end:
                window = at // WINDOW
                window_end = min(end, (window + 1) * WINDOW)
                self.result.used[query.tenant.name][window] += window_end - at
                at = window_end
        self._at(self.now + service_time, partial(self._on_part_done, holder, number, sent))

    def _on_part_done(self, holder: int, number: int, sent: int) -> None:
        self.load[holder] -= 1
        if self.holder_queue[holder]:
            self._start_part(holder, *self.holder_queue[holder].popleft())
        query = self.queries.get(number)
        if query is None:
            return
        query.left -= 1
        query.used += self.now - sent
        if query.left:
            self._step(query.broker, Freed(number, 1))
            return
        del self.queries[number]
        self.result.answered += 1
        self._step(query.broker, Done(number, query.used))
        if query.tenant.clients:
            self._ask(query.tenant, query.broker)

    # --- samples and usage reports ---

    def _sample(self) -> None:
        window = self.now // WINDOW
        self.result.samples[window] += 1
        backlogged: Counter[str] = Counter()
        for scheduler, backing_off in zip(self.schedulers, self.backing_off, strict=True):
            backlogged.update(scheduler.waiting())
            backlogged.update(backing_off)
        for tenant in self.plan.tenants:
            self.result.backlogged[tenant.name][window] += backlogged[tenant.name] > 0
        self._at(self.now + SAMPLE_INTERVAL_NS, self._sample)

    def _report_usage(self) -> None:
        """Report to each broker the slot time that all others had served some time ago."""
        assert self.plan.report_age is not None
        for scheduler, broker_served in zip(self.schedulers, self.served_by_broker, strict=True):
            broker_served.update(scheduler.served())
        self.served_history.append(
            (self.now, [broker_served.copy() for broker_served in self.served_by_broker])
        )
        while len(self.served_history) > 1 and self.served_history[0][0] < self.now - 10 * SECOND:
            self.served_history.popleft()
        totals: dict[int, Counter[str]] = {}
        for broker in range(self.plan.brokers):
            age = self.plan.report_age(self.random)
            if age is None:
                continue
            reported_at, all_served = next(
                (one for one in reversed(self.served_history) if one[0] <= self.now - age),
                self.served_history[0],
            )
            if reported_at not in totals:
                totals[reported_at] = Counter()
                for broker_served in all_served:
                    totals[reported_at].update(broker_served)
            own = all_served[broker]
            served = {name: total - own[name] for name, total in totals[reported_at].items()}
            self._step(broker, RemoteUsage(served, self.now - reported_at))
        self._at(self.now + self.plan.report_interval, self._report_usage)
