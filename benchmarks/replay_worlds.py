"""Drawn worlds around one decision module: wide queries with failures, drains, restarts and cold nodes.

``World`` plays clients, nodes and the list in virtual time from a seed, and closes the loop: what the module
sends ends after a drawn time in a drawn way, and its timers fire. Cases differ in what the decisions depend
on: the number of parts, how many of them are needed, how heavily they share nodes, effects, limits and rules.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from quincepath.interface import (
    Action,
    Allowance,
    Cancel,
    Effect,
    Entry,
    Event,
    Left,
    Limits,
    Members,
    Outcome,
    Part,
    Phase,
    Query,
    QueryClass,
    Result,
    Rules,
    Scope,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)

MS = 1_000_000
SECOND = 1000 * MS
START = 100 * SECOND
LATENCY = 10 * MS  # mean of a part at a sound node
SLOW_TIMES = 8
BATCH_ODDS = 0.3  # that an event is told together with the next one
FAILURES = (Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT, Result.MOOT)


class Module(Protocol):
    """The decision module, or a recorder around it."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in a moment's events; returns the actions."""


@dataclass(frozen=True)
class Case:
    """One kind of world.

    ``failing`` is the share of nodes with trouble, ``shards`` how many shards the queries are spread over.
    """

    parts: int = 130
    queries: int = 40
    cells: int = 260
    replicas: int = 3
    reach: int = 1
    shards: int = 260
    need: float = 1.0
    floor: float = 1.0
    effect: Effect = Effect.SAFE
    duplicate: bool = True
    second_step: bool = False
    failing: float = 0.05
    reset_odds: float = 0.02
    list_changes: float = 0.3  # deltas for each query
    leaving: float = 0.02  # share of clients that go away
    uneven: bool = False
    rules: Rules = Rules(0.2, 16 * SECOND, 2.0, 2 * SECOND, 10 * SECOND, 0, 0.0, 0.0)
    call_work: int = 0
    batch: int = 1
    gap: int = 5 * MS  # mean time between two queries
    allowance: bool = False


BUDGET = Rules(0.2, 8 * SECOND, 4.0, SECOND, 10 * SECOND, SECOND, 5.0, 0.05)
CASES = {
    "wide": Case(),
    "half": Case(need=0.5, floor=0.5),
    "partial": Case(need=0.9, floor=0.5, failing=0.2),
    "failing": Case(failing=0.4, need=0.7, floor=0.6, reset_odds=0.1),
    "storm": Case(failing=0.9, need=0.7, floor=0.4, gap=2 * MS),
    "shared": Case(need=0.5, floor=0.5, shards=4, failing=0.2, queries=60),
    "shared-all": Case(shards=2, cells=6, reach=2, failing=0.2),
    "reach": Case(cells=140, replicas=1, reach=3, need=0.8, floor=0.7, failing=0.2, uneven=True),
    "cells-below-reach": Case(cells=2, reach=3, shards=2, parts=40, need=0.6, floor=0.6, failing=0.2),
    "drains": Case(list_changes=20.0, need=0.6, floor=0.5, failing=0.1),
    "drains-narrow": Case(
        list_changes=0.3, cells=8, replicas=2, shards=8, parts=8, queries=400, reach=2, gap=50 * MS
    ),
    "keyed": Case(effect=Effect.KEYED, duplicate=False, failing=0.3, floor=0.6),
    "unsafe": Case(effect=Effect.UNSAFE, duplicate=False, failing=0.1),
    "steps": Case(second_step=True, need=0.6, floor=0.4, failing=0.2, uneven=True),
    "budget": Case(rules=BUDGET, failing=0.3, need=0.9, floor=0.5, list_changes=4.0, allowance=True),
    "joining": Case(call_work=2 * MS, batch=8, shards=20, failing=0.2, gap=MS, need=0.8, floor=0.7),
    "narrow": Case(
        parts=5, queries=800, cells=6, shards=6, failing=0.3, need=0.6, floor=0.6, list_changes=0.1
    ),
}


def case_settings(case: Case) -> Settings:
    """Settings of a broker for a case: its class, and one that needs every part."""
    step = int(case.second_step)
    wide = QueryClass("wide", 140 * MS, 600 * MS, case.effect, 200 * MS, 0.3, case.need, case.floor, step)
    whole = QueryClass("whole", 200 * MS, 500 * MS, Effect.SAFE, SECOND, 0.0, 1.0, 1.0, 0)
    limits = Limits(3, True, case.duplicate, True, SECOND, 250 * MS, 15 * SECOND, case.batch)
    return Settings(
        1, 20, 0, 5 * MS, case.cells, case.reach, True, 0.1, case.call_work, (wide, whole), limits, case.rules
    )


@dataclass
class OpenAsk:
    """A query of a client, as long as it is open."""

    number: int
    shards: list[int]
    more: bool  # whether a second step follows


@dataclass
class World:
    """Clients, nodes and the list around one module."""

    case: Case
    module: Module
    seed: int
    now: int = START
    _due: list[tuple[int, int, Callable[[], Event | None]]] = field(default_factory=list)
    _serial: int = 0
    _next_id: int = 1
    _version: int = 1

    def __post_init__(self) -> None:
        """Draw the nodes and their troubles."""
        self.draws = random.Random(self.seed)
        case = self.case
        self.entries = [
            Entry(number.to_bytes(6), 0, number % 2, number % case.cells, 0, Phase.READY, 1.0)
            for number in range(case.replicas * case.cells)
        ]
        count = round(case.failing * len(self.entries))
        troubled = self.draws.sample(self.entries, count)
        kinds = ("errors", "slow", "hang", "flaky")
        self.troubles = {entry.node: kinds[at % len(kinds)] for at, entry in enumerate(troubled)}
        self.asks: dict[int, OpenAsk] = {}
        self.attempts: dict[int, int] = {}
        self.running: dict[tuple[int, int], int] = {}  # attempts that have not ended, and when they were sent

    def play(self) -> None:
        """From the first list to the end of the last query."""
        self._tell([Members(Scope.CACHED, 1, tuple(self.entries))])
        at = START
        for _ in range(self.case.queries):
            at += int(self.draws.expovariate(1 / self.case.gap))
            self._at(at, self._ask)
        changes = int(self.case.queries * self.case.list_changes)
        for _ in range(changes):
            self._at(START + self.draws.randrange(at - START + 1), self._change)
        if self.case.allowance:
            self._at(START + (at - START) // 3, lambda: Allowance(20.0, 2.0, at))
        batch: list[Event] = []
        while self._due or batch:
            if self._due:
                when, _, make = heapq.heappop(self._due)
                if batch and when > self.now and self.draws.random() > BATCH_ODDS:
                    self._tell(batch)
                    batch = []
                self.now = max(self.now, when)
                event = make()
                if event is not None:
                    batch.append(event)
                    batch.extend(self._parts_of(event))
            else:
                self._tell(batch)
                batch = []

    def _at(self, when: int, make: Callable[[], Event | None]) -> None:
        self._serial += 1
        heapq.heappush(self._due, (when, self._serial, make))

    def _tell(self, batch: list[Event]) -> None:
        for action in self.module.handle(self.now, batch):
            match action:
                case Send(part, node, timeout):
                    self._sent(part, node, timeout)
                case Cancel(part, attempt):
                    self._cancelled(part, attempt)
                case SetTimer(at, token):
                    self._at(at, lambda token=token: TimerFired(token))  # type: ignore[misc]
                case _ if (ask := self.asks.get(getattr(action, "id", 0))) is not None:
                    self._answered(action, ask)

    def _ask(self) -> Event:
        draws, case = self.draws, self.case
        query, number = self._next_id, self._serial
        shards = [draws.randrange(case.shards) for _ in range(case.parts)]
        if case.shards >= case.parts:
            shards = draws.sample(range(case.shards), case.parts)
        kind = int(draws.random() < 0.1)
        self._next_id += 1
        self.asks[query] = OpenAsk(number, shards, case.second_step and kind == 0)
        if draws.random() < case.leaving:
            self._at(self.now + draws.randrange(60 * MS), lambda: Left(query))
        time_left = draws.choice((600 * MS, 500 * MS, 300 * MS, 100 * MS))
        repeat = draws.random() < 0.1
        return Query(query, number, case.parts, kind, 0, time_left, draws.randrange(4), 0, repeat)

    def _parts_of(self, event: Event) -> Iterator[Part]:
        """The parts that follow a query in its batch."""
        if isinstance(event, Query):
            ask = self.asks[event.id]
            yield from self._make_parts(ask.number, ask.shards)

    def _make_parts(self, number: int, shards: list[int]) -> Iterator[Part]:
        raw = [self.draws.uniform(0.5, 1.5) if self.case.uneven else 1.0 for _ in shards]
        total = sum(raw)
        for shard, weight in zip(shards, raw, strict=True):
            yield Part(self._next_id, number, weight / total, shard, 0, 0)
            self._next_id += 1

    def _answered(self, action: Action, ask: OpenAsk) -> None:
        query: int = getattr(action, "id", 0)
        if not ask.more:
            del self.asks[query]
            return
        ask.more = False
        if self.draws.random() < 0.9:  # else the second step never comes
            parts = list(self._make_parts(ask.number, ask.shards[: len(ask.shards) // 2]))
            for part in parts:
                self._at(self.now + 2 * MS, lambda part=part: part)  # type: ignore[misc]

    def _sent(self, part: int, node: bytes, timeout: int) -> None:
        attempt = self.attempts.get(part, 0)
        self.attempts[part] = attempt + 1
        self.running[part, attempt] = self.now
        result, elapsed = self._fate(node)
        if elapsed >= timeout:
            result, elapsed = Result.TIMEOUT, timeout
        self._at(self.now + elapsed, lambda: self._ended(part, attempt, node, result))

    def _fate(self, node: bytes) -> tuple[Result, int]:
        draws = self.draws
        elapsed = int(draws.expovariate(1 / LATENCY)) + MS // 2
        if draws.random() < self.case.reset_odds * (node in self.troubles):
            return Result.RESET, elapsed
        match self.troubles.get(node):
            case "errors":
                return draws.choice(FAILURES), draws.choice((MS // 5, elapsed, 250 * MS))
            case "slow":
                return Result.OK, SLOW_TIMES * elapsed
            case "hang":
                return Result.OK, 10 * SECOND
            case "flaky" if draws.random() < 0.5:
                return draws.choice(FAILURES), elapsed
        return Result.OK, elapsed

    def _ended(self, part: int, attempt: int, node: bytes, result: Result) -> Event | None:
        sent = self.running.pop((part, attempt), None)
        if sent is None:
            return None
        final = result is not Result.OK and self.draws.random() < 0.02
        return Outcome(part, attempt, node, result, self.now - sent, final, ())

    def _cancelled(self, part: int, attempt: int) -> None:
        if (part, attempt) in self.running:
            # An answer that has left may still come in; mostly the attempt ends as cancelled.
            late = self.draws.random() < 0.1
            result = Result.OK if late else Result.CANCELLED
            self._at(self.now + MS // 10, lambda: self._ended(part, attempt, b"", result))

    def _change(self) -> Event:
        draws, case = self.draws, self.case
        if draws.random() < 0.05:
            return Members(Scope.FAILED, self._version, ())
        self._version += 1
        changed = {}
        for _ in range(draws.choice((1, 1, 1, 3))):
            at = draws.randrange(len(self.entries))
            old = self.entries[at]
            phase = draws.choice((Phase.READY, Phase.READY, Phase.DRAINING, Phase.GONE))
            since = self.now - draws.randrange(4 * SECOND) if draws.random() < 0.3 else old.since
            cell = draws.randrange(case.cells) if draws.random() < 0.1 else old.cell
            self.entries[at] = Entry(old.node, 0, old.zone, cell, since, phase, 1.0)
            changed[at] = self.entries[at]
        if draws.random() < 0.1:
            listed = tuple(entry for entry in self.entries if entry.phase is not Phase.GONE)
            return Members(Scope.FULL, self._version, listed)
        return Members(Scope.DELTA, self._version, tuple(changed.values()))
