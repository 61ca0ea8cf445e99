"""Random machines and queries, drawn the same way in virtual time and on sockets."""

from dataclasses import dataclass

import numpy as np

from quincepath.lab.emulator.script import FleetEntry, MachineKind, TrafficClass
from quincepath.standins.random_streams import RandomStream

__all__ = ["DrawnQuery", "RandomStream", "draw_query", "draw_machines", "part_work"]


def draw_machines(fleet: FleetEntry, draw: RandomStream) -> dict[str, MachineKind]:
    """Draw the kind of machine of each holder, by the kinds' shares."""
    total = sum(kind.share for kind in fleet.kinds)
    found = {}
    for s in range(fleet.sets):
        for r in range(fleet.replicas):
            left = draw() * total
            chosen = fleet.kinds[-1]
            for kind in fleet.kinds:
                left -= kind.share
                if left < 0:
                    chosen = kind
                    break
            found[f"s{s}r{r}"] = chosen
    return found


@dataclass(slots=True, frozen=True)
class DrawnQuery:
    """One client's query: the index of its class, and the shards that it touches."""

    kind: int
    shards: list[int]


def draw_query(draw: RandomStream, classes: list[TrafficClass], shards: int) -> DrawnQuery:
    """Draw a query by the classes' shares; its shards are consecutive."""
    left, kind = draw() * sum(entry.share for entry in classes), 0
    while left >= classes[kind].share and kind < len(classes) - 1:
        left -= classes[kind].share
        kind += 1
    entry = classes[kind]
    count = entry.parts[0] + int(draw() * (entry.parts[1] - entry.parts[0] + 1))
    first = int(draw() * shards)
    return DrawnQuery(kind, sorted((first + i) % shards for i in range(count)))


def part_work(generator: np.random.Generator, entry: TrafficClass, count: int) -> list[float]:
    """Work (ns) of the parts of one query: log-normal with the class's mean."""
    normal = generator.standard_normal(count)
    spread = entry.spread
    return [float(entry.work * np.exp(spread * n - spread * spread / 2)) for n in normal]
