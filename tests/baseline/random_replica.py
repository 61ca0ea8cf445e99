"""A broker that picks replicas at random without health checks: the baseline for the decision module.

The driver, loop, pools, front and merge are the program's own; only the decisions are replaced. It sends
every part of a query at once, retries at a random replica after a failure, and waits for hung holders.
Run as ``python -m tests.baseline.random_replica CONFIG``, like ``quincepath serve -c CONFIG``.
"""

import json
import random
import sys
from collections.abc import Iterable
from pathlib import Path

from quincepath.broker.service import Broker
from quincepath.cli.main import run_until_signal
from quincepath.config.load import load
from quincepath.config.schema import Config
from quincepath.interface import (
    Action,
    Answer,
    Event,
    Left,
    Members,
    NodeId,
    Outcome,
    Part,
    Phase,
    Query,
    Refuse,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from quincepath.net.loop import Loop
from quincepath.observe.logs import setup


class OpenQuery:
    """A query that is not answered yet, with its parts."""

    def __init__(self, event: Query, now: int, tick: int) -> None:
        self.event, self.end = event, now + event.time_left - 2 * tick
        self.parts: dict[int, Part] = {}
        self.ok: set[int] = set()
        self.closed: set[int] = set()
        self.attempts_sent: dict[int, int] = {}
        self.step = 1


class RandomReplica:
    """The simplest module that answers queries; keeps rules 1, 3, 5 and 6, which cost it nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.cells: dict[NodeId, int] = {}
        self.queries: dict[int, OpenQuery] = {}
        self.query_of_part: dict[int, int] = {}

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in events and return actions, as the decision module does."""
        out: list[Action] = []
        touched: dict[int, None] = {}
        for event in events:
            match event:
                case Members():
                    self._members(event)
                case Query():
                    self.queries[event.id] = OpenQuery(event, now, self.settings.tick)
                    out.append(SetTimer(self.queries[event.id].end, event.id))
                case Part():
                    query = self.queries.get(event.number)
                    if query is not None:
                        if query.step == 2 and event.id not in query.parts and not query.attempts_sent:
                            query.parts, query.ok = {}, set()
                        query.parts[event.id] = event
                        self.query_of_part[event.id] = event.number
                        self._send(query, event, out)
                case Outcome():
                    touched[self._outcome(event, out)] = None
                case TimerFired(token) if token in self.queries and now >= self.queries[token].end:
                    self._give_up(token, out)
                case Left(query_id):
                    self._remove(query_id)
        for query_id in touched:
            if query_id in self.queries:
                self._check(query_id, out)
        return out

    def _members(self, event: Members) -> None:
        if event.scope in (Scope.FULL, Scope.CACHED):
            self.cells = {}
        for entry in event.entries:
            if entry.phase is Phase.READY:
                self.cells[entry.node] = entry.cell
            else:
                self.cells.pop(entry.node, None)

    def _send(self, query: OpenQuery, part: Part, out: list[Action]) -> None:
        nodes = [node for node, cell in self.cells.items() if cell == part.shard % self.settings.cells]
        if not nodes or query.attempts_sent.get(part.id, 0) >= self.settings.limits.attempts:
            query.closed.add(part.id)
            return
        query.attempts_sent[part.id] = query.attempts_sent.get(part.id, 0) + 1
        out.append(Send(part.id, self.random.choice(nodes), 0))

    def _outcome(self, event: Outcome, out: list[Action]) -> int:
        query_id = self.query_of_part.get(event.part, 0)
        query = self.queries.get(query_id)
        if query is None or event.part not in query.parts:
            return 0
        if event.result is Result.OK:
            query.ok.add(event.part)
        elif event.final:
            query.closed.add(event.part)
        else:
            self._send(query, query.parts[event.part], out)
        return query_id

    def _share(self, query: OpenQuery) -> float:
        return sum(query.parts[part].weight for part in query.ok)

    def _check(self, query_id: int, out: list[Action]) -> None:
        query = self.queries[query_id]
        spec = self.settings.classes[query.event.kind]
        need = spec.need if query.step == 1 else 1.0
        alive = sum(p.weight for p in query.parts.values() if p.id not in query.closed)
        if self._share(query) >= need - 1e-6:
            out.append(Answer(query_id, True))
            if spec.second_step and query.step == 1:
                query.step, query.attempts_sent = 2, {}
            else:
                self._remove(query_id)
        elif alive < need - 1e-6:
            self._give_up(query_id, out)

    def _give_up(self, query_id: int, out: list[Action]) -> None:
        out.append(Refuse(query_id, self.settings.limits.max_retry_after))
        self._remove(query_id)

    def _remove(self, query_id: int) -> None:
        query = self.queries.pop(query_id, None)
        for part in query.parts if query else ():
            self.query_of_part.pop(part, None)


def main() -> None:
    """Run a broker with random decisions."""
    setup("json", "error")
    path = Path(sys.argv[1])
    loop = Loop()
    broker = Broker(load(path, Config), loop, path.parent, RandomReplica)
    print(json.dumps({"remote_read": broker.url, "metrics": broker.metrics_url}), flush=True)
    run_until_signal(loop, broker)


if __name__ == "__main__":
    main()
