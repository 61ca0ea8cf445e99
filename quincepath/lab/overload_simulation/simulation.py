"""Hundreds of brokers and holders in one process, in virtual time.

Use: ``Simulation(plan, strategy, seed).run()``.
"""

import heapq
import random
from bisect import bisect_left
from itertools import accumulate
from typing import Any

import numpy as np

from quincepath.fleet.load_reports.types import Count
from quincepath.fleet.overload import Arrival, ShedReason
from quincepath.fleet.overload.ordering import band
from quincepath.lab.overload_simulation.brokers import Broker, RowLayout
from quincepath.lab.overload_simulation.figures import BIN_NS, Record
from quincepath.lab.overload_simulation.holders import Holder
from quincepath.lab.overload_simulation.load_reports import TICK_NS, LoadReports
from quincepath.lab.overload_simulation.plan import MS, SECOND, Load, Outage, Plan, RetryPolicy, Strategy
from quincepath.lab.overload_simulation.queries import Part, Query

RELIST_DELAY_NS = 500 * MS  # until the endpoint list announces a holder's new process
MAX_TRIES = 5
FIXED_LIMIT_FACTOR = 1.1  # limit of ``Strategy.FIXED_LIMITS`` over an even share of the capacity
TENANT_ZIPF = 0.8


class Simulation:
    """One run of one plan."""

    def __init__(self, plan: Plan, strategy: Strategy, seed: int) -> None:
        self.plan, self.strategy = plan, strategy
        self.now = 0
        self.rng = random.Random(f"world/{seed}")
        self.layout = RowLayout(plan)
        self.brokers = [Broker(n, plan, strategy, self.layout, seed) for n in range(plan.brokers)]
        self.lives = [0] * plan.brokers
        self.holders = [Holder(n, n % plan.cells, plan) for n in range(plan.holders)]
        self.replica_sets = [[h.number for h in self.holders if h.cell == c] for c in range(plan.cells)]
        self.record = Record(plan.length // BIN_NS + 1, len(plan.worths), plan.holders)
        self.load_reports = LoadReports(plan, self.layout, self.brokers, seed)
        self._events: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self._event_count = 0
        weights = [1 / (n + 1) ** TENANT_ZIPF for n in range(plan.tenants)]
        self._tenant_weights = [total / sum(weights) for total in accumulate(weights)]
        self._part_weights = list(accumulate(plan.parts))
        self._numpy_rng = np.random.default_rng(seed)
        self._live_brokers = list(range(plan.brokers))

    def run(self) -> Record:
        """Run to the end of the plan."""
        plan = self.plan
        self.schedule(0, self._generate_arrivals)
        self.schedule(0, self._tick)
        for broker in self.brokers:
            if self.strategy is Strategy.FLEET:
                self.schedule(broker.control.due, self._step_control, broker)
        for outage in plan.outages:
            self.schedule(outage.at, self._begin_outage, outage)
        while self._events:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            if self.now >= plan.length:
                break
            callback(*arguments)
        return self.record

    def schedule(self, when: int, callback: Any, *arguments: Any) -> None:
        """Call ``callback`` with ``arguments`` at time ``when``."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, callback, arguments))

    # --- load and outages ---

    def load(self) -> Load:
        """The load that applies now."""
        return [load for load in self.plan.loads if load.at <= self.now][-1]

    def _generate_arrivals(self) -> None:
        load = self.load()
        span = 50 * MS
        one_set = self.plan.replicas * self.plan.cores * SECOND / self.plan.work
        for part, rate in ((None, self.plan.capacity * load.factor), (0, one_set * load.set_factor)):
            for offset in self._numpy_rng.random(self._numpy_rng.poisson(rate * span / SECOND)).tolist():
                self.schedule(self.now + int(offset * span), self._ask, self._new_query(part))
        self.schedule(self.now + span, self._generate_arrivals)

    def _new_query(self, cell: int | None) -> Query:
        draw, plan = self.rng.random, self.plan
        tenant = bisect_left(self._tenant_weights, draw())
        count = bisect_left(self._part_weights, draw()) + 1 if cell is None else 1
        cells = tuple(self.rng.sample(range(plan.cells), count)) if cell is None else (cell,)
        kind = int(draw() * len(plan.worths))
        return Query(kind, min(tenant, plan.tenants - 1), int(draw() * plan.clients), cells, 0)

    def _tick(self) -> None:
        self.load_reports.tick(self.now)
        if self.now % (5 * BIN_NS) == 0:
            alive = [broker.threshold for broker in self.brokers if broker.alive]
            self.record.thresholds.append(sum(alive) / len(alive))
        self.schedule(self.now + TICK_NS, self._tick)

    def _step_control(self, broker: Broker) -> None:
        if broker.alive:
            broker.control.step(self.now, self.load_reports.local(broker))
            decision = broker.control.step(self.now, self.load_reports.totals(self.now, broker.number))
            broker.threshold, broker.send_budget = decision.threshold, decision.send_budget
        self.schedule(self.now + self.plan.settings.period, self._step_control, broker)

    def _begin_outage(self, outage: Outage) -> None:
        total = self.plan.brokers if outage.brokers else self.plan.holders
        for number in self.rng.sample(range(total), int(total * outage.share)):
            if outage.brokers:
                self.brokers[number].alive = False
                self.lives[number] += 1
            else:
                self.holders[number].fail()
                self.schedule(self.now + outage.duration, self._restart_holder, number)
                self.schedule(
                    self.now + min(self.plan.unlist_delay, outage.duration), self._unlist_holder, number
                )
        self._live_brokers = [broker.number for broker in self.brokers if broker.alive]

    def _restart_holder(self, number: int) -> None:
        self.holders[number].restart(self.now)
        self.schedule(self.now + RELIST_DELAY_NS, self._relist_holder, number)

    def _unlist_holder(self, number: int) -> None:
        for broker in self.brokers:
            broker.unlist(number)

    def _relist_holder(self, number: int) -> None:
        for broker in self.brokers:
            broker.relist(self.now, number)

    # --- queries ---

    def _ask(self, query: Query) -> None:
        """A try arrives at a broker."""
        now, record, bin_index = self.now, self.record, self.now // BIN_NS
        query.tries += 1
        record.tries[bin_index] += 1
        if query.tries == 1:
            record.asked[bin_index] += 1
        number = (
            0
            if self.plan.one_broker
            else self._live_brokers[int(self.rng.random() * len(self._live_brokers))]
        )
        broker = self.brokers[number]
        query.broker, query.began, query.life = number, now, self.lives[number]
        query.over, query.open = False, 0
        row, base = broker.row, query.kind * len(Count)
        row[base + Count.TAKEN] += 1
        if self.strategy is Strategy.FLEET and not self._admit(broker, query):
            return
        if self.strategy is Strategy.FIXED_LIMITS:
            rate = FIXED_LIMIT_FACTOR * self.plan.capacity / self.plan.brokers
            if not broker.within_fixed_limit(now, rate):
                row[base + Count.TURNED_AWAY] += 1
                self._refused(query, 0)
                return
        row[self.layout.admitted] += 1
        is_retry = self.plan.retries_marked and query.tries > 1
        overloaded = broker.overloaded_sets(now, query.cells, is_retry)
        if overloaded:
            # A refused retry says nothing about the threshold and is counted separately.
            row[base + (Count.TURNED_AWAY if is_retry else Count.REFUSED)] += 1
            if not is_retry:
                for cell in overloaded:
                    row[self.layout.cells + 2 * cell + 1] += 1
            self._refused(query, int(0.2 * self.plan.target * (0.5 + self.rng.random())), is_retry)
            return
        record.admitted[bin_index][query.kind] += 1
        for cell in query.cells:
            record.admitted_by_set[cell] = record.admitted_by_set.get(cell, 0) + 1
        query.open = len(query.cells)
        for cell in query.cells:
            part = Part(query, cell, int(self.plan.work * (0.5 + self.rng.random())))
            query.parts.append(part)
            broker.count_first_send()
            record.first[bin_index] += 1
            self._send(broker, part, -1)
        self.schedule(now + self.plan.target, self._on_target, query)

    def _admit(self, broker: Broker, query: Query) -> bool:
        plan, row = self.plan, broker.row
        arrival = Arrival(
            query.kind, plan.worths[query.kind], f"t{query.tenant}", f"c{query.client}", query.cells,
            plan.target, plan.retries_marked and query.tries > 1,
        )  # fmt: skip
        shed = broker.control.on_arrival(self.now, arrival)
        if (
            shed is not None and shed.reason is ShedReason.RETRY
        ):  # refused by the retry limit, not by priority
            row[query.kind * len(Count) + Count.TURNED_AWAY] += 1
            self._refused(query, shed.retry_in, True)
            return False
        priority = shed.priority if shed is not None else broker.control.priority(self.now, arrival)
        if not arrival.marked_retry:
            row[self.layout.arrivals + band(priority)] += 1
        if shed is None or shed.reason is ShedReason.CELL:
            for cell in query.cells:
                row[self.layout.cells + 2 * cell] += 1
        if shed is None:
            return True
        row[query.kind * len(Count) + Count.SHED] += 1
        self.record.shed[self.now // BIN_NS] += 1
        if shed.reason is ShedReason.CELL:
            for cell in query.cells:
                self.record.shed_by_set[cell] = self.record.shed_by_set.get(cell, 0) + 1
        else:
            self.record.shed_by_set[-1] = self.record.shed_by_set.get(-1, 0) + 1
        self._refused(query, shed.retry_in)
        return False

    def _refused(self, query: Query, retry_after: int, is_retry: bool = False) -> None:
        if not is_retry:
            self.record.refused[self.now // BIN_NS][query.kind] += 1
        self._retry(query, retry_after)

    def _retry(self, query: Query, retry_after: int) -> None:
        retry_policy = self.plan.retry_policy
        max_tries = {RetryPolicy.NEVER: 1, RetryPolicy.ONCE: 2}.get(retry_policy, MAX_TRIES)
        if query.tries >= max_tries:
            self.record.lost[self.now // BIN_NS] += 1
            return
        wait = 0 if retry_policy is RetryPolicy.IMMEDIATE else retry_after
        next_try = Query(query.kind, query.tenant, query.client, query.cells, query.tries)
        self.schedule(self.now + max(wait, MS), self._ask, next_try)

    def _send(self, broker: Broker, part: Part, exclude: int) -> None:
        """One attempt at one holder; if its queue is full, at one other holder."""
        now, query = self.now, part.query
        number = broker.choose_holder(now, self.replica_sets[part.cell], exclude)
        if number < 0:
            return
        state, holder = broker.holder_states[number], self.holders[number]
        if state.cold_until > now or broker.suspects(now, state):
            key = (now // SECOND, number)
            self.record.trials[key] = self.record.trials.get(key, 0) + 1
        part.sends += 1
        end = holder.submit(now, part.work, query.began + self.plan.target)
        if end == -1:
            if exclude < 0:
                self._send(broker, part, number)
            return
        state.in_flight += 1
        broker.set_latency[part.cell].in_flight += 1
        part.out.append(number)
        late_at = now + broker.late_after()
        if end >= 0:
            self.schedule(end, self._on_attempt_done, broker, part, number, holder.life, now, late_at)
        if end < 0 or end > late_at:
            self.schedule(late_at, self._on_late, broker, part, number)

    def _on_attempt_done(
        self, broker: Broker, part: Part, number: int, life: int, sent: int, late_at: int
    ) -> None:
        now, holder, query = self.now, self.holders[number], part.query
        state = broker.holder_states[number]
        if holder.life != life:  # the holder's process failed with it
            if now <= late_at:
                self.schedule(late_at, self._on_late, broker, part, number)
            return
        holder.pending -= 1
        if number in part.out:
            part.out.remove(number)
            broker.set_latency[part.cell].in_flight -= 1
            state.in_flight -= state.in_flight > 0
        state.failures, state.answered_at = 0, now
        if query.over or part.done:
            return
        broker.record_latency(now, part.cell, now - sent)
        part.done = True
        query.open -= 1
        if query.open == 0:
            query.over = True
            self._on_answered(broker, query)

    def _on_late(self, broker: Broker, part: Part, number: int) -> None:
        if part.done:
            return
        if not broker.congested():
            broker.failed(self.now, number)
        if part.query.over or part.sends > 2 or not broker.take_retry_token(self.now):
            return
        self.record.further[self.now // BIN_NS] += 1
        self._send(broker, part, number)

    def _on_answered(self, broker: Broker, query: Query) -> None:
        if self.lives[query.broker] != query.life:
            return
        broker.row[query.kind * len(Count) + Count.IN_TIME] += 1
        work = self.plan.work * len(query.cells)
        broker.row[self.layout.tenants + query.tenant] += work
        self.record.good[self.now // BIN_NS] += 1
        self.record.useful[self.now // BIN_NS] += len(query.cells)

    def _on_target(self, query: Query) -> None:
        """The client leaves at the target time; its attempts in flight are abandoned."""
        broker = self.brokers[query.broker]
        for part in query.parts:
            broker.set_latency[part.cell].in_flight -= len(part.out)
            for number in part.out:
                broker.holder_states[number].in_flight -= broker.holder_states[number].in_flight > 0
                unresponsive = broker.holder_states[number].answered_at < self.now - 2 * self.plan.target
                if not part.done and (unresponsive or not broker.congested()):
                    broker.failed(self.now, number)
            part.out.clear()
        if query.over:
            if self.lives[query.broker] != query.life:
                self._retry(query, 0)
            return
        query.over = True
        broker.row[query.kind * len(Count) + Count.LATE] += 1
        for part in query.parts:
            if not part.done:
                broker.record_latency(self.now, part.cell, self.plan.target)
                broker.row[self.layout.cells + 2 * part.cell + 1] += 1
        self._retry(query, 0)
