"""Processor time of the decision module alone: a part of a query, one changed node, a first list.

    python -m benchmarks.capacity_probe_module

Each probe drives one ``Aggregator`` with made events, without sockets, frames or driver, and counts processor
time of this process. A probe is repeated, and the least of the repeats is returned: other work on the machine
only adds to a repeat. Absolute figures are this machine's; a ratio of two figures of one run is what holds
elsewhere.
"""

import time
from collections.abc import Callable, Sequence

import click

from quincepath.interface import (
    Effect,
    Entry,
    Event,
    Limits,
    Members,
    NodeId,
    Outcome,
    Part,
    Phase,
    Query,
    QueryClass,
    Result,
    Rules,
    Scope,
    Send,
    Settings,
)
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
START = 100 * SECOND
TARGET = 140 * MS
DEADLINE = 500 * MS
REPLICAS = 3  # nodes of a cell
CELLS = 260  # as many for each size of query: only the number of parts varies
PARTS_MEASURED = 2600  # parts sent in one repeat, whatever the size of a query
REPEATS = 5
CHANGES = 200  # deltas in one repeat
ALL_PARTS = 1.0


def site(cells: int = CELLS, need: float = ALL_PARTS, reach: int = 1) -> Settings:
    """Settings of a broker with one class that may be repeated and needs a share ``need`` of its parts."""
    kind = QueryClass("lookup", TARGET, DEADLINE, Effect.SAFE, SECOND, 0.3, need, need, 0)
    limits = Limits(3, True, True, True, SECOND, 250 * MS, 15 * SECOND, 1)
    rules = Rules(0.2, 16 * SECOND, 2.0, 2 * SECOND, 10 * SECOND, 0, 0.0, 0.0)
    return Settings(0, 20, 0, 5 * MS, cells, reach, False, 0.0, 0, (kind,), limits, rules)


def node_id(number: int) -> NodeId:
    """The identifier of a node by its number."""
    return number.to_bytes(6)


def entry(number: int, cells: int, phase: Phase = Phase.READY) -> Entry:
    """A node that started long ago; nodes are dealt to the cells in turn."""
    return Entry(node_id(number), 0, 0, number % cells, 0, phase, 1.0)


def node_list(nodes: int, cells: int) -> Members:
    """A first list of so many ready nodes."""
    return Members(Scope.CACHED, 1, tuple(entry(number, cells) for number in range(nodes)))


class Load:
    """Queries of one size to one module, one after the other, each part answered after ``latency``."""

    def __init__(
        self,
        parts: int,
        shards: int = CELLS,
        need: float = ALL_PARTS,
        latency: int = 10 * MS,
        make_module: Callable[[Settings, int], Aggregator] = Aggregator,
    ) -> None:
        if not 0 < parts or not 0 < shards <= CELLS:
            raise ValueError(f"parts {parts}, shards {shards}: at least 1 and 1 to {CELLS} were expected")
        self.parts, self.shards, self.latency = parts, shards, latency
        self.module = make_module(site(need=need), 1)
        self.now = START
        self.module.handle(self.now, [node_list(REPLICAS * CELLS, CELLS)])
        self.next_id = 1
        self.number = 0

    def arrival(self) -> list[Event]:
        """The events of a new query."""
        self.number += 1
        query, first = self.next_id, self.next_id + 1
        self.next_id += self.parts + 1
        events: list[Event] = [Query(query, self.number, self.parts, 0, 0, DEADLINE, 0, 0, False)]
        for index in range(self.parts):
            shard = (self.number + index) % self.shards
            events.append(Part(first + index, self.number, 1 / self.parts, shard, 0, 0))
        return events

    def query(self) -> int:
        """One query from its arrival to its answer; returns the parts sent. Outcomes come one by one."""
        arrival = self.arrival()
        sends = [action for action in self.module.handle(self.now, arrival) if isinstance(action, Send)]
        self.now += self.latency
        for send in sends:
            outcome = Outcome(send.part, 0, send.node, Result.OK, self.latency, False, ())
            self.module.handle(self.now, (outcome,))
        self.now += MS
        return len(sends)


def least(measure: Callable[[], float], repeats: int) -> float:
    """The least of several measurements."""
    return min(measure() for _ in range(repeats))


def part_cost_seconds(
    parts: int, *, need: float = ALL_PARTS, shards: int = CELLS, measured: int = PARTS_MEASURED
) -> float:
    """Processor seconds of the module for a part sent, in queries of ``parts`` parts without failures.

    ``need`` is the share of the parts that suffices; ``shards`` is how many shards the parts of all queries
    are spread over, fewer than ``parts`` where the parts of one query share nodes. Raises ``ValueError`` for
    sizes out of range.
    """
    load = Load(parts, shards, need)
    load.query()

    def measure() -> float:
        sent, begun = 0, time.process_time()
        while sent < measured:
            sent += load.query()
        return (time.process_time() - begun) / sent

    return least(measure, REPEATS)


def node_change_seconds(nodes: int, *, changes: int = CHANGES) -> float:
    """Processor seconds of the module for a delta that names one of ``nodes`` nodes.

    Nodes spread over the list are drained and made ready again by turns.
    """
    cells = max(nodes // REPLICAS, 1)
    module = Aggregator(site(cells=cells), 1)
    module.handle(START, [node_list(nodes, cells)])
    phases = (Phase.DRAINING, Phase.READY)
    deltas = [
        Members(Scope.DELTA, 2 + change, (entry(change // 2 * 7919 % nodes, cells, phases[change % 2]),))
        for change in range(changes)
    ]

    def measure() -> float:
        begun = time.process_time()
        for delta in deltas:
            module.handle(START, (delta,))
        return (time.process_time() - begun) / changes

    return least(measure, REPEATS)


def first_list_seconds(nodes: int) -> float:
    """Processor seconds of the module for a first list of ``nodes`` nodes: the state of each is made."""
    cells = max(nodes // REPLICAS, 1)
    told = node_list(nodes, cells)

    def measure() -> float:
        module = Aggregator(site(cells=cells), 1)
        begun = time.process_time()
        module.handle(START, (told,))
        return time.process_time() - begun

    return least(measure, REPEATS)


def report(title: str, unit: float, sizes: Sequence[int], measure: Callable[[int], float]) -> None:
    """Print the figures of one probe over sizes, and each over the first."""
    figures = [measure(size) for size in sizes]
    told = (
        f"{size}: {at / unit:.1f} ({at / figures[0]:.2f})" for size, at in zip(sizes, figures, strict=True)
    )
    click.echo(f"{title}: {', '.join(told)}")


@click.command()
def main() -> None:
    """Print all probes; in brackets each figure over that of the first size."""
    report("us a part, all needed", 1e-6, (4, 16, 130, 260), part_cost_seconds)
    report("us a part, half needed", 1e-6, (4, 16, 130, 260), lambda size: part_cost_seconds(size, need=0.5))
    report(
        "us a part, over 4 shards", 1e-6, (4, 16, 130, 260), lambda size: part_cost_seconds(size, shards=4)
    )
    report("us a changed node", 1e-6, (1200, 12000), node_change_seconds)
    report("ms a first list", 1e-3, (1200, 12000), first_list_seconds)


if __name__ == "__main__":
    main()
