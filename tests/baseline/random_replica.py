"""A broker that picks replicas at random and knows no health: what the module is measured against.

The driver, loop, pools, front and merge are the program's own; only the decisions are replaced. It sends
every part of a query at once, tries again at random after a failure, and waits for silent holders.
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


class _Held:
    def __init__(self, event: Query, now: int, tick: int) -> None:
        self.event, self.end = event, now + event.time_left - 2 * tick
        self.parts: dict[int, Part] = {}
        self.ok: set[int] = set()
        self.dead: set[int] = set()
        self.tries: dict[int, int] = {}
        self.step = 1


class RandomReplica:
    """The least that answers queries; keeps rules 1, 3, 5 and 6, which cost it nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.cells: dict[NodeId, int] = {}
        self.held: dict[int, _Held] = {}
        self.of_part: dict[int, int] = {}

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """As the module's."""
        out: list[Action] = []
        touched: dict[int, None] = {}
        for event in events:
            match event:
                case Members():
                    self._members(event)
                case Query():
                    self.held[event.id] = _Held(event, now, self.settings.tick)
                    out.append(SetTimer(self.held[event.id].end, event.id))
                case Part():
                    held = self.held.get(event.number)
                    if held is not None:
                        if held.step == 2 and event.id not in held.parts and not held.tries:
                            held.parts, held.ok = {}, set()
                        held.parts[event.id] = event
                        self.of_part[event.id] = event.number
                        self._send(held, event, out)
                case Outcome():
                    touched[self._outcome(event, out)] = None
                case TimerFired(token) if token in self.held and now >= self.held[token].end:
                    self._give_up(token, out)
                case Left(qid):
                    self._forget(qid)
        for qid in touched:
            if qid in self.held:
                self._look(qid, out)
        return out

    def _members(self, event: Members) -> None:
        if event.scope in (Scope.FULL, Scope.CACHED):
            self.cells = {}
        for entry in event.entries:
            if entry.phase is Phase.READY:
                self.cells[entry.node] = entry.cell
            else:
                self.cells.pop(entry.node, None)

    def _send(self, held: _Held, part: Part, out: list[Action]) -> None:
        nodes = [node for node, cell in self.cells.items() if cell == part.shard % self.settings.cells]
        if not nodes or held.tries.get(part.id, 0) >= self.settings.limits.attempts:
            held.dead.add(part.id)
            return
        held.tries[part.id] = held.tries.get(part.id, 0) + 1
        out.append(Send(part.id, self.random.choice(nodes), 0))

    def _outcome(self, event: Outcome, out: list[Action]) -> int:
        qid = self.of_part.get(event.part, 0)
        held = self.held.get(qid)
        if held is None or event.part not in held.parts:
            return 0
        if event.result is Result.OK:
            held.ok.add(event.part)
        elif event.final:
            held.dead.add(event.part)
        else:
            self._send(held, held.parts[event.part], out)
        return qid

    def _share(self, held: _Held) -> float:
        return sum(held.parts[part].weight for part in held.ok)

    def _look(self, qid: int, out: list[Action]) -> None:
        held = self.held[qid]
        spec = self.settings.classes[held.event.kind]
        need = spec.need if held.step == 1 else 1.0
        alive = sum(p.weight for p in held.parts.values() if p.id not in held.dead)
        if self._share(held) >= need - 1e-6:
            out.append(Answer(qid, True))
            if spec.second_step and held.step == 1:
                held.step, held.tries = 2, {}
            else:
                self._forget(qid)
        elif alive < need - 1e-6:
            self._give_up(qid, out)

    def _give_up(self, qid: int, out: list[Action]) -> None:
        out.append(Refuse(qid, self.settings.limits.max_retry_after))
        self._forget(qid)

    def _forget(self, qid: int) -> None:
        held = self.held.pop(qid, None)
        for part in held.parts if held else ():
            self.of_part.pop(part, None)


def main() -> None:
    """Serve with random decisions."""
    setup("json", "error")
    path = Path(sys.argv[1])
    loop = Loop()
    broker = Broker(load(path, Config), loop, path.parent, RandomReplica)
    print(json.dumps({"remote_read": broker.url, "metrics": broker.metrics_url}), flush=True)
    run_until_signal(loop, broker)


if __name__ == "__main__":
    main()
