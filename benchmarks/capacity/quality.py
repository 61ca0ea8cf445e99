"""Quality of choice by the number of brokers, at a constant load of each node: the emulator, in virtual time.

Each part goes to one of three replicas: by random choice; to the one at which the broker itself has least
out; to the one with the shortest true queue; and as the decision module does. The more brokers share the same
load, the less each has out at a node, and the less its own count says.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import numpy as np

from benchmarks.capacity.measuring import Measured, series
from benchmarks.capacity.results import Point, Series
from quincepath.broker.driver import DecisionModule
from quincepath.interface import Action, Event, NodeId, Outcome, Part, Send, Settings
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.world import Emulation
from quincepath.policy import Aggregator
from tests.baseline.random_replica import OpenQuery, RandomReplica

SIZES = (8, 16, 32, 64, 128)
SEEDS = (41, 42)
SETS, REPLICAS, CORES = 8, 3, 2
PARTS = 4
WORK_MS, SPREAD = 10, 0.6
USED = 0.8  # share of the nodes' capacity that the load takes
SECONDS = 3
TARGET = "140ms"
NOTE = f"{USED:.0%} of the nodes' capacity, {SECONDS} s"
PARTS_OF_A_NODE = CORES * USED * 1000 / WORK_MS  # a second, of all brokers
RANDOM, OWN, TRUE, MODULE = "random replica", "own count", "true queues", "decision module"


def _script(brokers: int) -> Script:
    mean_work = WORK_MS / 1000
    rate = SETS * REPLICAS * CORES * USED / mean_work / PARTS
    kind = {
        "name": "all", "share": 1, "parts": [PARTS, PARTS], "work": f"{WORK_MS}ms", "spread": SPREAD,
        "target": TARGET, "deadline": "2s",
    }  # fmt: skip
    return Script.model_validate(
        {
            "about": "quality of choice", "length": f"{SECONDS}s", "brokers": brokers, "classes": [kind],
            "fleet": {
                "sets": SETS, "replicas": REPLICAS, "shards": 1, "zones": ["one"],
                "kinds": [{"cores": CORES}], "room": 1000,
            },
            "traffic": {"rate": rate, "retries": 0, "patience": [1.0, 1.0]},
        }
    )  # fmt: skip


class Choosing(RandomReplica):
    """As the random baseline, but each part goes to the replica of least ``load``; equals are drawn."""

    def __init__(self, settings: Settings, seed: int, load: Callable[[NodeId], float] | None) -> None:
        super().__init__(settings, seed)
        self._load = load
        self._out: Counter[NodeId] = Counter()

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Counts what is out at each node."""
        events = list(events)
        for event in events:
            if isinstance(event, Outcome):
                self._out[event.node] -= 1
        return super().handle(now, events)

    def _send(self, query: OpenQuery, part: Part, out: list[Action]) -> None:
        nodes = [node for node, cell in self.cells.items() if cell == part.shard % self.settings.cells]
        if not nodes or query.attempts_sent.get(part.id, 0) >= self.settings.limits.attempts:
            query.closed.add(part.id)
            return
        query.attempts_sent[part.id] = query.attempts_sent.get(part.id, 0) + 1
        load: Callable[[NodeId], float] = self._load or self._out.__getitem__
        node = min(nodes, key=lambda one: (load(one), self.random.random()))
        self._out[node] += 1
        out.append(Send(part.id, node, 0))


class Play:
    """One day of one way to choose."""

    def __init__(self, way: str, brokers: int, seed: int) -> None:
        self._world: Emulation | None = None
        makers: dict[str, Callable[[Settings, int], DecisionModule]] = {
            RANDOM: RandomReplica,
            OWN: lambda settings, seed: Choosing(settings, seed, None),
            TRUE: lambda settings, seed: Choosing(settings, seed, self._queue),
            MODULE: Aggregator,
        }
        self._world = Emulation(_script(brokers), seed, make_module=makers[way])
        statistics = self._world.run()
        asked = sum(statistics.asked.values())
        self.p99_seconds = float(np.percentile(np.array(statistics.latencies_s), 99))
        self.in_time = sum(statistics.good.values()) / max(asked, 1)
        self._world = None  # its record is large

    def _queue(self, node: NodeId) -> float:
        """Jobs that the node has now, from all brokers."""
        assert self._world is not None
        fleet = self._world.fleet
        return float(fleet.servers[fleet.names[node]].job_count())


Plays = dict[str, dict[int, list[Play]]]  # by way and size, one a seed


def _points(plays: dict[int, list[Play]], figure: Callable[[Play], float]) -> tuple[Point, ...]:
    return tuple(Point(size, tuple(figure(play) for play in found)) for size, found in plays.items())


def _of_way(plays: Plays, way: str) -> tuple[Series, Series]:
    slowest = _points(plays[way], lambda play: play.p99_seconds)
    in_time = _points(plays[way], lambda play: play.in_time)
    return (
        series(f"99th, {way}", "s", "brokers", slowest, seeds=SEEDS, note=NOTE),
        series(f"in time, {way}", "share", "brokers", in_time, seeds=SEEDS, note=NOTE),
    )


def gain_kept(random: float, own: float, true: float) -> float:
    """Share of what true queues gain over random choice, of the 99th percentile, that a way keeps."""
    return (random - own) / (random - true)


def _gain(plays: Plays, way: str) -> Series:
    points = []
    for size in SIZES:
        random, own, true = ([play.p99_seconds for play in plays[name][size]] for name in (RANDOM, way, TRUE))
        points.append(Point(size, tuple(map(gain_kept, random, own, true))))
    return series(f"gain kept, {way}", "share", "brokers", tuple(points), seeds=SEEDS, note=NOTE)


def measure() -> Measured:
    """All ways at all sizes."""
    plays: Plays = {
        way: {size: [Play(way, size, seed) for seed in SEEDS] for size in SIZES}
        for way in (RANDOM, OWN, TRUE, MODULE)
    }
    found = [one for way in plays for one in _of_way(plays, way)]
    return (*found, _gain(plays, OWN), _gain(plays, MODULE)), ()
