"""Trace of one query: its record lines and its broker's knowledge and decisions, by replaying the run.

A run is a function of script and seed, so no broker state is recorded: the run is repeated with a tracing
module around the query's broker, and compared with the recording line by line up to the requested time.
"""

from collections.abc import Iterable
from typing import Any

from quincepath.interface import (
    Action,
    Answer,
    Cancel,
    Event,
    Fail,
    Outcome,
    Part,
    Query,
    Refuse,
    Send,
    Settings,
)
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.world import RUN_START_NS
from quincepath.policy import Aggregator
from quincepath.standins.record import Ask, End, Got, Line, Said

MS = 1_000_000


class QueryTraceError(ValueError):
    """The query is not in the recording, or another program version made the recording."""


class _TracingModule:
    """An ``Aggregator`` that traces one query, which it recognizes by the driver's ids."""

    def __init__(self, inner: Aggregator, trace: "_Trace") -> None:
        self.inner, self.trace = inner, trace
        self.shard_of: dict[int, int] = {}  # part id to shard
        self.query = 0

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        batch = list(events)
        if self.trace.may_arrive(now):
            self._find_query(now, batch)
        for event in batch:
            if isinstance(event, Part) and event.number == self.query:
                self.shard_of[event.id] = event.shard
            elif isinstance(event, Outcome) and event.part in self.shard_of:
                what = f"shard {self.shard_of[event.part]} attempt {event.attempt}: {event.result.name}"
                self.trace.add(now, f"receives: {what} after {event.elapsed / MS:.1f} ms")
        actions = self.inner.handle(now, batch)
        for action in actions:
            self._trace_action(now, action)
        return actions

    def _find_query(self, now: int, batch: list[Event]) -> None:
        """Identify the query among those that arrive now by the shards of its parts."""
        for event in batch:
            if not isinstance(event, Query) or self.query:
                continue
            shards = sorted(p.shard for p in batch if isinstance(p, Part) and p.number == event.number)
            if shards == sorted(self.trace.ask.shards) and event.time_left == self.trace.ask.patience:
                self.query = event.id
                open_queries = len(self.inner.queries)
                self.trace.add(
                    now, f"broker {self.trace.ask.broker} accepts it with {open_queries} others open"
                )

    def _trace_action(self, now: int, action: Action) -> None:
        match action:
            case Send(part, node, timeout) if part in self.shard_of:
                known = self.inner.nodes[node]
                kind = self.inner.parts[part].query.kind
                others = ", ".join(
                    f"{n.name} {n.load(now, kind)} in flight, {n.slowdown(now):.1f} times the usual time"
                    for n in self.inner._replicas(self.shard_of[part]) if n is not known
                )  # fmt: skip
                sent = f"sends shard {self.shard_of[part]} to {known.name} ({known.load(now, kind)} in flight"
                self.trace.add(
                    now, f"{sent}; alternatives: {others or 'none'}), time-out {timeout / MS:.0f} ms"
                )
            case Cancel(part, attempt) if part in self.shard_of:
                self.trace.add(now, f"cancels shard {self.shard_of[part]} attempt {attempt}")
            case Answer(qid, full) if qid == self.query:
                self.trace.add(now, f"answers, {'whole' if full else 'partial'}")
            case Refuse(qid, retry_in) if qid == self.query:
                self.trace.add(now, f"refuses, retry after {retry_in / MS:.0f} ms")
            case Fail(qid) if qid == self.query:
                self.trace.add(now, "fails it")


class _Trace:
    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        self.lines: list[tuple[int, str]] = []

    def may_arrive(self, now: int) -> bool:
        """Whether the query may arrive at its broker at this time."""
        return self.ask.at <= now <= self.ask.at + self.ask.patience

    def add(self, now: int, text: str) -> None:
        self.lines.append((now, text))


def trace_query(
    script: Script, seed: int, recorded: list[Line], query: str, until: int | None = None
) -> list[str]:
    """Trace lines up to ``until`` (ns of the record's clock). Raises ``QueryTraceError``."""
    ask = next((line for line in recorded if isinstance(line, Ask) and line.query == query), None)
    if ask is None:
        raise QueryTraceError(f"no query {query!r} in the recording")
    trace = _Trace(ask)
    replayed: list[Line] = []

    def make_module(settings: Settings, chance: int) -> Any:
        inner = Aggregator(settings, chance)
        return _TracingModule(inner, trace) if settings.me == ask.broker else inner

    end = until if until is not None else ask.at + ask.patience + 1000 * MS
    rehearse(script, seed, replayed.append, make_module, until=end - RUN_START_NS)
    for number, (expected, now) in enumerate(zip(recorded, replayed, strict=False), 1):
        if expected != now:
            raise QueryTraceError(
                f"line {number} differs on replay: {expected} / {now}; made by another program version"
            )
    for line in replayed:
        match line:
            case Got() if line.query == query:
                trace.add(line.at, f"{line.holder} has shard {line.shard} attempt {line.attempt}")
            case Said() if line.query == query:
                good = "good" if line.good else "unusable"
                trace.add(line.at, f"{line.holder} answers {line.status} for shard {line.shard}, {good}")
            case End() if line.query == query:
                trace.add(
                    line.at, f"client receives {line.status} {line.mark} {line.parts_in}/{line.parts_asked}"
                )
            case Ask() if line.query == query:
                trace.add(
                    line.at, f"client asks for shards {line.shards}, patience {line.patience / MS:.0f} ms"
                )
            case _:
                pass
    trace.lines.sort(key=lambda item: item[0])
    return [f"{at / 1e9:9.4f} s  {text}" for at, text in trace.lines if at <= end]
