"""Hundreds of brokers and holders in one process, in virtual time. ``World(plan, way, seed).run()``."""

import heapq
import random
from bisect import bisect_left
from itertools import accumulate
from typing import Any

import numpy as np

from quincepath.fleet.load_reports.types import Count
from quincepath.fleet.overload import Arrival, ShedReason
from quincepath.fleet.overload.ordering import band
from quincepath.lab.overload_world.brokers import Broker, Layout
from quincepath.lab.overload_world.figures import BIN, Record
from quincepath.lab.overload_world.holders import Holder
from quincepath.lab.overload_world.news import TICK, Ledger
from quincepath.lab.overload_world.plan import MS, SECOND, Again, Load, Loss, Plan, Way
from quincepath.lab.overload_world.queries import Part, Query

LISTED = 500 * MS  # until the list tells a new process of a holder
TRIES_MOST = 5
FIXED_OVER = 1.1  # ``Way.FIXED``: so many times its even share of what the holders can do
TENANT_ZIPF = 0.8


class World:
    """One run of one plan."""

    def __init__(self, plan: Plan, way: Way, seed: int) -> None:
        self.plan, self.way = plan, way
        self.now = 0
        self.draw = random.Random(f"world/{seed}")
        self.layout = Layout(plan)
        self.brokers = [Broker(n, plan, way, self.layout, seed) for n in range(plan.brokers)]
        self.lives = [0] * plan.brokers
        self.holders = [Holder(n, n % plan.cells, plan) for n in range(plan.holders)]
        self.sets = [[h.number for h in self.holders if h.cell == c] for c in range(plan.cells)]
        self.record = Record(plan.length // BIN + 1, len(plan.worths), plan.holders)
        self.ledger = Ledger(plan, self.layout, self.brokers, seed)
        self._events: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self._count = 0
        weights = [1 / (n + 1) ** TENANT_ZIPF for n in range(plan.tenants)]
        self._tenants = [total / sum(weights) for total in accumulate(weights)]
        self._parts = list(accumulate(plan.parts))
        self._numbers = np.random.default_rng(seed)
        self._alive = list(range(plan.brokers))

    def run(self) -> Record:
        """Play it all."""
        plan = self.plan
        self.at(0, self._arrivals)
        self.at(0, self._tick)
        for broker in self.brokers:
            if self.way is Way.ONE:
                self.at(broker.core.due, self._step, broker)
        for loss in plan.losses:
            self.at(loss.at, self._lose, loss)
        while self._events:
            self.now, _, what, words = heapq.heappop(self._events)
            if self.now >= plan.length:
                break
            what(*words)
        return self.record

    def at(self, when: int, what: Any, *words: Any) -> None:
        """Have something done."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, what, words))

    # --- load and troubles ---

    def load(self) -> Load:
        """What holds now."""
        return [load for load in self.plan.loads if load.at <= self.now][-1]

    def _arrivals(self) -> None:
        load = self.load()
        span = 50 * MS
        one_set = self.plan.replicas * self.plan.cores * SECOND / self.plan.work
        for part, rate in ((None, self.plan.capacity * load.times), (0, one_set * load.cell)):
            for offset in self._numbers.random(self._numbers.poisson(rate * span / SECOND)).tolist():
                self.at(self.now + int(offset * span), self._ask, self._new(part))
        self.at(self.now + span, self._arrivals)

    def _new(self, cell: int | None) -> Query:
        draw, plan = self.draw.random, self.plan
        tenant = bisect_left(self._tenants, draw())
        count = bisect_left(self._parts, draw()) + 1 if cell is None else 1
        cells = tuple(self.draw.sample(range(plan.cells), count)) if cell is None else (cell,)
        kind = int(draw() * len(plan.worths))
        return Query(kind, min(tenant, plan.tenants - 1), int(draw() * plan.clients), cells, 0)

    def _tick(self) -> None:
        self.ledger.tick(self.now)
        if self.now % (5 * BIN) == 0:
            alive = [broker.line for broker in self.brokers if broker.alive]
            self.record.lines.append(sum(alive) / len(alive))
        self.at(self.now + TICK, self._tick)

    def _step(self, broker: Broker) -> None:
        if broker.alive:
            broker.core.step(self.now, self.ledger.local(broker))
            out = broker.core.step(self.now, self.ledger.totals(self.now, broker.number))
            broker.line, broker.spending = out.threshold, out.send_budget
        self.at(self.now + self.plan.settings.period, self._step, broker)

    def _lose(self, loss: Loss) -> None:
        many = self.plan.brokers if loss.brokers else self.plan.holders
        for number in self.draw.sample(range(many), int(many * loss.share)):
            if loss.brokers:
                self.brokers[number].alive = False
                self.lives[number] += 1
            else:
                self.holders[number].lose()
                self.at(self.now + loss.last, self._back, number)
                self.at(self.now + min(self.plan.unlisted, loss.last), self._unlisted, number)
        self._alive = [broker.number for broker in self.brokers if broker.alive]

    def _back(self, number: int) -> None:
        self.holders[number].back(self.now)
        self.at(self.now + LISTED, self._listed, number)

    def _unlisted(self, number: int) -> None:
        for broker in self.brokers:
            broker.gone(number)

    def _listed(self, number: int) -> None:
        for broker in self.brokers:
            broker.renewed(self.now, number)

    # --- queries ---

    def _ask(self, query: Query) -> None:
        """A try reaches a broker."""
        now, record, place = self.now, self.record, self.now // BIN
        query.tries += 1
        record.tries[place] += 1
        if query.tries == 1:
            record.asked[place] += 1
        number = 0 if self.plan.one_broker else self._alive[int(self.draw.random() * len(self._alive))]
        broker = self.brokers[number]
        query.broker, query.began, query.life = number, now, self.lives[number]
        query.over, query.open = False, 0
        row, base = broker.row, query.kind * len(Count)
        row[base + Count.TAKEN] += 1
        if self.way is Way.ONE and not self._let(broker, query):
            return
        if self.way is Way.FIXED:
            rate = FIXED_OVER * self.plan.capacity / self.plan.brokers
            if not broker.within_fixed(now, rate):
                row[base + Count.TURNED_AWAY] += 1
                self._refused(query, 0)
                return
        row[self.layout.extra] += 1
        repeat = self.plan.marked and query.tries > 1
        hopeless = broker.hopeless(now, query.cells, repeat)
        if hopeless:
            # A repeat refused as one says nothing of the line; it is counted apart.
            row[base + (Count.TURNED_AWAY if repeat else Count.REFUSED)] += 1
            if not repeat:
                for cell in hopeless:
                    row[self.layout.cells + 2 * cell + 1] += 1
            self._refused(query, int(0.2 * self.plan.target * (0.5 + self.draw.random())), repeat)
            return
        record.let[place][query.kind] += 1
        for cell in query.cells:
            record.let_cells[cell] = record.let_cells.get(cell, 0) + 1
        query.open = len(query.cells)
        for cell in query.cells:
            part = Part(query, cell, int(self.plan.work * (0.5 + self.draw.random())))
            query.parts.append(part)
            broker.first()
            record.first[place] += 1
            self._send(broker, part, -1)
        self.at(now + self.plan.target, self._end, query)

    def _let(self, broker: Broker, query: Query) -> bool:
        plan, row = self.plan, broker.row
        arrival = Arrival(
            query.kind, plan.worths[query.kind], f"t{query.tenant}", f"c{query.client}", query.cells,
            plan.target, plan.marked and query.tries > 1,
        )  # fmt: skip
        shed = broker.core.on_arrival(self.now, arrival)
        if shed is not None and shed.reason is ShedReason.RETRY:  # it has no place in the order
            row[query.kind * len(Count) + Count.TURNED_AWAY] += 1
            self._refused(query, shed.retry_in, True)
            return False
        at = shed.priority if shed is not None else broker.core.priority(self.now, arrival)
        if not arrival.marked_retry:
            row[self.layout.arrivals + band(at)] += 1
        if shed is None or shed.reason is ShedReason.CELL:
            for cell in query.cells:
                row[self.layout.cells + 2 * cell] += 1
        if shed is None:
            return True
        row[query.kind * len(Count) + Count.SHED] += 1
        self.record.shed[self.now // BIN] += 1
        if shed.reason is ShedReason.CELL:
            for cell in query.cells:
                self.record.shed_cells[cell] = self.record.shed_cells.get(cell, 0) + 1
        else:
            self.record.shed_cells[-1] = self.record.shed_cells.get(-1, 0) + 1
        self._refused(query, shed.retry_in)
        return False

    def _refused(self, query: Query, advice: int, repeat: bool = False) -> None:
        if not repeat:
            self.record.refused[self.now // BIN][query.kind] += 1
        self._again(query, advice)

    def _again(self, query: Query, advice: int) -> None:
        again = self.plan.again
        most = {Again.NEVER: 1, Again.ONCE: 2}.get(again, TRIES_MOST)
        if query.tries >= most:
            self.record.lost[self.now // BIN] += 1
            return
        wait = 0 if again is Again.STORM else advice
        fresh = Query(query.kind, query.tenant, query.client, query.cells, query.tries)
        self.at(self.now + max(wait, MS), self._ask, fresh)

    def _send(self, broker: Broker, part: Part, besides: int) -> None:
        """One attempt at one holder; a full one is left for one other."""
        now, query = self.now, part.query
        number = broker.pick(now, self.sets[part.cell], besides)
        if number < 0:
            return
        seen, holder = broker.nodes[number], self.holders[number]
        if seen.cold_until > now or broker.doubts(now, seen):
            key = (now // SECOND, number)
            self.record.trials[key] = self.record.trials.get(key, 0) + 1
        part.sends += 1
        end = holder.offer(now, part.work, query.began + self.plan.target)
        if end == -1:
            if besides < 0:
                self._send(broker, part, number)
            return
        seen.out += 1
        broker.waits[part.cell].out += 1
        part.out.append(number)
        late = now + broker.late_after()
        if end >= 0:
            self.at(end, self._ended, broker, part, number, holder.life, now, late)
        if end < 0 or end > late:
            self.at(late, self._late, broker, part, number)

    def _ended(self, broker: Broker, part: Part, number: int, life: int, sent: int, late: int) -> None:
        now, holder, query = self.now, self.holders[number], part.query
        seen = broker.nodes[number]
        if holder.life != life:  # nothing came back of it
            if now <= late:
                self.at(late, self._late, broker, part, number)
            return
        holder.held -= 1
        if number in part.out:
            part.out.remove(number)
            broker.waits[part.cell].out -= 1
            seen.out -= seen.out > 0
        seen.fails, seen.heard = 0, now
        if query.over or part.done:
            return
        broker.learn(now, part.cell, now - sent)
        part.done = True
        query.open -= 1
        if query.open == 0:
            query.over = True
            self._answered(broker, query)

    def _late(self, broker: Broker, part: Part, number: int) -> None:
        if part.done:
            return
        if not broker.crowded():
            broker.failed(self.now, number)
        if part.query.over or part.sends > 2 or not broker.may_resend(self.now):
            return
        self.record.further[self.now // BIN] += 1
        self._send(broker, part, number)

    def _answered(self, broker: Broker, query: Query) -> None:
        if self.lives[query.broker] != query.life:
            return
        broker.row[query.kind * len(Count) + Count.IN_TIME] += 1
        work = self.plan.work * len(query.cells)
        broker.row[self.layout.tenants + query.tenant] += work
        self.record.good[self.now // BIN] += 1
        self.record.useful[self.now // BIN] += len(query.cells)

    def _end(self, query: Query) -> None:
        """The client leaves at its target; what is still out for it is given up."""
        broker = self.brokers[query.broker]
        for part in query.parts:
            broker.waits[part.cell].out -= len(part.out)
            for number in part.out:
                broker.nodes[number].out -= broker.nodes[number].out > 0
                unheard = broker.nodes[number].heard < self.now - 2 * self.plan.target
                if not part.done and (unheard or not broker.crowded()):
                    broker.failed(self.now, number)
            part.out.clear()
        if query.over:
            if self.lives[query.broker] != query.life:
                self._again(query, 0)
            return
        query.over = True
        broker.row[query.kind * len(Count) + Count.LATE] += 1
        for part in query.parts:
            if not part.done:
                broker.learn(self.now, part.cell, self.plan.target)
                broker.row[self.layout.cells + 2 * part.cell + 1] += 1
        self._again(query, 0)
