"""A small broker around one aggregator: feeds it events and keeps its actions; checks nothing itself."""

from dataclasses import replace
from typing import Any, TypeVar

from quincepath.interface import (
    Action,
    Effect,
    Entry,
    Event,
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
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
START = 100 * SECOND
A = TypeVar("A")


def query_class(**changes: Any) -> QueryClass:
    base = QueryClass(
        name="any",
        target=2 * SECOND,
        deadline=4 * SECOND,
        effect=Effect.SAFE,
        window=SECOND,
        late_worth=0.3,
        need=1.0,
        floor=1.0,
        second_step=0,
    )
    return replace(base, **changes)


def settings(
    classes: tuple[QueryClass, ...] | None = None,
    limits: dict[str, Any] | None = None,
    rules: dict[str, Any] | None = None,
    **changes: Any,
) -> Settings:
    base = Settings(
        me=0,
        instances=2,
        zone=0,
        tick=5 * MS,
        cells=3,
        reach=1,
        must_ask=False,
        cross_zone_charge=0.0,
        call_work=0,
        classes=classes or (query_class(),),
        limits=replace(
            Limits(3, True, True, True, SECOND, 250 * MS, 15 * SECOND, 1),
            **(limits or {}),
        ),
        rules=replace(
            Rules(0.2, 16 * SECOND, 2.0, 2 * SECOND, 10 * SECOND, 0, 0.0, 0.0),
            **(rules or {}),
        ),
    )
    return replace(base, **changes)


def node_id(number: int) -> bytes:
    return bytes((10, 0, 0, number, 0, 80))


def entry(number: int, cell: int, phase: Phase = Phase.READY, since: int = 0, zone: int = 0) -> Entry:
    return Entry(node_id(number), 0, zone, cell, since, phase, 1.0)


class Broker:
    """Numbers queries and parts, and fires due timers as the clock advances."""

    def __init__(
        self, config: Settings | None = None, seed: int = 7, nodes: list[Entry] | None = None
    ) -> None:
        self.policy = Aggregator(config or settings(), seed)
        self.now = START
        self.actions: list[Action] = []
        self.timers: list[SetTimer] = []
        self.sends: list[Send] = []
        self.next_id = 1
        self.number = 0
        if nodes is None:
            nodes = [entry(2 * cell + j, cell) for cell in range(3) for j in range(2)]
        self.feed(Members(Scope.CACHED, 1, tuple(nodes)))

    def feed(self, *events: Event) -> list[Action]:
        got = self.policy.handle(self.now, events)
        self.actions.extend(got)
        self.timers.extend(a for a in got if isinstance(a, SetTimer))
        self.sends.extend(a for a in got if isinstance(a, Send))
        return got

    def query(
        self,
        shards: list[int],
        kind: int = 0,
        weights: list[float] | None = None,
        time_left: int = 4 * SECOND,
        tenant: int = 0,
        repeat: bool = False,
        key: int = 0,
    ) -> tuple[int, list[int], list[Action]]:
        """Feed a query with a part at each shard; returns its id, its parts' ids and the actions."""
        self.number += 1
        rid = self.next_id
        parts = list(range(rid + 1, rid + 1 + len(shards)))
        self.next_id = rid + 1 + len(shards)
        weights = weights or [1 / len(shards)] * len(shards)
        events: list[Event] = [Query(rid, self.number, len(shards), kind, tenant, time_left, key, 0, repeat)]
        events += [Part(p, self.number, w, s, 0, 0) for p, w, s in zip(parts, weights, shards, strict=True)]
        return rid, parts, self.feed(*events)

    def more_parts(self, shards: list[int]) -> tuple[list[int], list[Action]]:
        """Feed the second step of the latest query."""
        parts = list(range(self.next_id, self.next_id + len(shards)))
        self.next_id += len(shards)
        return parts, self.feed(
            *(Part(p, self.number, 1 / len(shards), s, 0, 0) for p, s in zip(parts, shards, strict=True))
        )

    def end(
        self,
        part: int,
        result: Result = Result.OK,
        attempt: int | None = None,
        elapsed: int = 100 * MS,
        final: bool = False,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        mine = [send for send in self.sends if send.part == part]
        attempt = len(mine) - 1 if attempt is None else attempt
        return self.feed(Outcome(part, attempt, mine[attempt].node, result, elapsed, final, report))

    def advance(self, by: int) -> list[Action]:
        """Advance the clock, firing timers in order at their time."""
        until = self.now + by
        got: list[Action] = []
        while due := [t for t in self.timers if t.at <= until]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            got += self.feed(TimerFired(first.token))
        self.now = until
        return got

    def train(
        self, rounds: int = 30, elapsed: int = 100 * MS, kind: int = 0, shards: tuple[int, ...] = (0, 1, 2)
    ) -> None:
        """Run successful queries, from which the module learns the typical latency."""
        for _ in range(rounds):
            _, parts, _ = self.query(list(shards), kind)
            self.now += elapsed
            for part in parts:
                if any(send.part == part for send in self.sends):
                    self.end(part, elapsed=elapsed)
            self.now += 500 * MS


def of_type(actions: list[Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]
