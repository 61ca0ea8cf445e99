"""Simulates one broker's slot pool in virtual time.

``FairScheduler`` alone runs queries of known cost; slot counts and starts are checked at each step.
"""

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from quincepath.limits.fair import Cancelled, Done, Enter, FairScheduler, Footprint, Freed, Input, Refuse, Run
from quincepath.limits.fair.types import MS, SECOND

HOUR = 3600 * SECOND


@dataclass(slots=True)
class Query:
    """A client's query: ``cost`` is the slot time (ns) that it will use, spread evenly over its parts."""

    tenant: str
    cost: int
    kind: int = 1
    parts: int = 1
    target: int = 60 * SECOND
    span: int = 0


@dataclass(slots=True)
class PoolSimulator:
    """Processes events in order of time; ``now`` in ns."""

    scheduler: FairScheduler
    now: int = 0
    used: Counter[str] = field(default_factory=Counter)
    ran: dict[int, Run] = field(default_factory=dict)
    refused: dict[int, Refuse] = field(default_factory=dict)
    tenants: dict[int, str] = field(default_factory=dict)
    waits: dict[str, list[int]] = field(default_factory=dict)
    late: int = 0
    _queries: dict[int, Query] = field(default_factory=dict)
    _events: list[tuple[int, int, Input]] = field(default_factory=list)
    _number: int = 0
    _order: int = 0

    def enter(self, query: Query) -> int:
        return self.enter_all([query])[0]

    def enter_all(self, queries: Iterable[Query]) -> list[int]:
        inputs: list[Input] = []
        numbers: list[int] = []
        for query in queries:
            self._number += 1
            self._queries[self._number] = query
            self.tenants[self._number] = query.tenant
            footprint = Footprint(query.kind, query.parts, (0,), query.span)
            end = self.now + query.target
            inputs.append(Enter(self._number, query.tenant, footprint, query.target, end))
            numbers.append(self._number)
        self.step(inputs)
        return numbers

    def cancel(self, number: int) -> None:
        self.step([Cancelled(number)])

    def step(self, inputs: Iterable[Input] = ()) -> None:
        for output in self.scheduler.step(self.now, inputs):
            if isinstance(output, Refuse):
                assert output.number not in self.refused and output.number not in self.ran
                self.refused[output.number] = output
                continue
            assert output.number not in self.ran and output.number not in self.refused
            self.ran[output.number] = output
            query = self._queries[output.number]
            self.waits.setdefault(query.tenant, []).append(output.waited)
            took = max(1, query.cost // query.parts)
            self.late += output.waited + took > query.target
            self._schedule(self.now + took, Freed(output.number, query.parts - 1))
            self._schedule(self.now + took, Done(output.number, query.cost))
        self.scheduler.check()

    def _schedule(self, when: int, event: Input) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, event))

    def run(self, until: int) -> None:
        """Process ends of queries and due times up to ``until``."""
        while True:
            due = self.scheduler.due()
            event = self._events[0][0] if self._events else None
            when = min((at for at in (due, event) if at is not None), default=until)
            if when >= until:
                break
            self.now = when
            inputs: list[Input] = []
            while self._events and self._events[0][0] == when:
                inputs.append(heapq.heappop(self._events)[2])
            for one in inputs:
                if isinstance(one, Done) and one.number in self.scheduler.runs.all:
                    self.used[self.tenants[one.number]] += one.slot_time
            self.step(inputs)
        self.now = until
        self.step()

    def waiting(self, tenant: str) -> int:
        return sum(one.tenant == tenant for one, _ in self.scheduler.queues.waiting.values())

    def keep_waiting(self, query: Query, waiting: int) -> None:
        """Add copies of the query until ``waiting`` wait: a tenant with unlimited demand."""
        more = waiting - self.waiting(query.tenant)
        if more > 0:
            self.enter_all([query] * more)


__all__ = ["HOUR", "MS", "SECOND", "PoolSimulator", "Query"]
