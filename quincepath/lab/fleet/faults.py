"""Faults of a script, carried out on whatever plays it: the same draws in virtual time and over processes."""

import random
from collections.abc import Callable
from typing import Protocol

from quincepath.fleet.load_reports.tree import AggregationTree
from quincepath.fleet.load_reports.types import LoadReportSettings
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.script import FaultEntry, FleetScript, Some
from quincepath.lab.fleet.verdict import SECOND, Watcher

STARVED_TURN = SECOND  # a starved member runs for its share of each


def summers(names: list[str]) -> list[str]:
    """Who sums up the ledger of a fleet in which all these live."""
    tree = AggregationTree(names[0], names, len(names), LoadReportSettings())
    places = [(level, place) for level in range(tree.top_level + 1) for place in range(tree.groups)]
    return sorted({name for level, place in places for name in tree.aggregators(level, place)})


class Stage(Protocol):
    """What plays a script. Times: ns of the day. A *place* is a process: a name, for a clone with a mark."""

    @property
    def now(self) -> int: ...

    def at(self, when: int, call: Callable[[], None]) -> None: ...

    def running(self) -> list[str]: ...

    def start(self, name: str, place: str = "", ahead: int = 0) -> None: ...

    def end(self, place: str, leaves: bool) -> None: ...

    def hold(self, name: str) -> None: ...

    def go_on(self, name: str) -> None: ...

    def drain(self, name: str, draining: bool) -> None: ...

    def again(self, to: str, data: bytes) -> None: ...

    def of_load(self, entry: FaultEntry, holders: list[str]) -> None: ...


class Faults:
    """Begins each fault of a script at its time, and ends it."""

    def __init__(self, script: FleetScript, seed: int, stage: Stage, ways: Ways, watcher: Watcher) -> None:
        self.script, self.stage, self.ways, self.watcher = script, stage, ways, watcher
        self.random = random.Random(f"{seed} faults")
        for entry in script.faults:
            stage.at(entry.at, self._beginning(entry))

    def _beginning(self, entry: FaultEntry) -> Callable[[], None]:
        return lambda: self._begin(entry)

    def some(self, chosen: Some, of: list[str] | None = None) -> list[str]:
        """The named ones, or a share of all, at least one."""
        if isinstance(chosen, list):
            return list(chosen)
        if chosen == "summers":
            return summers(self.script.names)
        names = self.script.names if of is None else sorted(of)
        return sorted(self.random.sample(names, max(round(chosen * len(names)), 1)))

    def _begin(self, entry: FaultEntry) -> None:
        stage, until = self.stage, self.stage.now + entry.last
        match entry.kind:
            case "cut":
                self._cuts(entry, until)
            case "split":
                self._split(entry, until)
            case "lose" | "slow" | "reorder" | "duplicate":
                ways = [(a, b) for a in self.some(entry.members) for b in self.some(entry.towards)]
                self._treat(entry, ways, True)
                stage.at(until, lambda: self._treat(entry, ways, False))
            case "replay":
                self._replay(entry)
            case "surge" | "holders":
                load = self.script.load
                of = [name for n, name in enumerate(load.holder_names) if entry.set in (None, load.group(n))]
                stage.of_load(entry, self.some(entry.holders, of) if entry.kind == "holders" else [])
            case "join":
                for name in self.some(entry.members):
                    self._later(stage.now + self.random.randrange(SECOND), stage.start, name)
            case _:
                for name in self.some(entry.members, stage.running()):
                    self.watcher.excuse(name, until)
                    self._on_member(entry, name, until)

    def _later(self, when: int, call: Callable[[str], None], name: str) -> None:
        self.stage.at(when, lambda: call(name))

    def _on_member(self, entry: FaultEntry, name: str, until: int) -> None:
        stage = self.stage
        match entry.kind:
            case "kill" | "leave":
                stage.end(name, entry.kind == "leave")
                if entry.back:
                    self._later(until, stage.start, name)
            case "skew":
                stage.end(name, False)
                stage.at(until, lambda: stage.start(name, ahead=entry.by))
            case "flap":
                self._flap(name, until, entry.by)
            case "pause":
                stage.hold(name)
                self._later(until, stage.go_on, name)
            case "starve":
                self._starve(name, until, entry.share)
            case "clone":
                stage.start(name, f"{name}#2")
                stage.at(until, lambda: stage.end(f"{name}#2", False))
            case "drain":
                stage.drain(name, True)
                stage.at(until, lambda: stage.drain(name, False))

    def _starve(self, name: str, until: int, share: float) -> None:
        stage = self.stage
        if stage.now >= until or name not in stage.running():
            return
        stage.hold(name)
        self._later(stage.now + int(STARVED_TURN * (1 - share)), stage.go_on, name)
        stage.at(stage.now + STARVED_TURN, lambda: self._starve(name, until, share))

    def _flap(self, name: str, until: int, by: int) -> None:
        stage = self.stage
        there = name in stage.running()
        if stage.now >= until:
            if not there:
                stage.start(name)
            return
        if there:
            stage.end(name, False)
        else:
            stage.start(name)
        stage.at(stage.now + by, lambda: self._flap(name, until, by))

    def _cuts(self, entry: FaultEntry, until: int) -> None:
        for name in self.some(entry.members):
            for other in self.some(entry.towards):
                if other != name:
                    self._cut(name, other, entry.last, entry.both)
            self.watcher.excuse(name, until)
        if isinstance(entry.towards, list):
            for other in entry.towards:
                self.watcher.excuse(other, until)

    def _split(self, entry: FaultEntry, until: int) -> None:
        for side in entry.sides:
            others = [name for rest in entry.sides if rest is not side for name in rest]
            for name in side:
                self.watcher.excuse(name, until)
                for other in others:
                    self._cut(name, other, entry.last, False)

    def _cut(self, name: str, other: str, last: int, both: bool) -> None:
        ways = [self.ways.way(name, other)] + ([self.ways.way(other, name)] if both else [])
        for way in ways:
            way.cut += 1

        def heal() -> None:
            for way in ways:
                way.cut -= 1

        self.stage.at(self.stage.now + last, heal)

    def _treat(self, entry: FaultEntry, ways: list[tuple[str, str]], on: bool) -> None:
        share = entry.share if on else 0.0
        for name, other in ways:
            way = self.ways.way(name, other)
            way.ledger_only = on and entry.of == "ledger"
            match entry.kind:
                case "lose":
                    way.lose = share
                case "duplicate":
                    way.duplicate = share
                case "reorder":
                    way.reorder, way.reorder_by = share, entry.by
                case _:
                    way.slower += entry.by if on else -entry.by

    def _replay(self, entry: FaultEntry) -> None:
        """What went over the ways by now comes again later, whoever has died or changed meanwhile."""
        for (_, to), way in sorted(self.ways.ways.items()):
            for data in way.kept:
                if self.random.random() < entry.share:
                    self._once_more(entry, to, data)

    def _once_more(self, entry: FaultEntry, to: str, data: bytes) -> None:
        when = self.stage.now + entry.by + int(self.random.random() * entry.last)
        self.stage.at(when, lambda: self.stage.again(to, data))
