"""A fleet of ledgers in virtual time: a network that loses, delays and doubles; kills, cuts, clones, liars.

What each broker takes is given by a function of its name and the time; what the totals should be is counted
beside it, from the same numbers. Same seed, same day.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from quincepath.fleet.load_reports import (
    Count,
    Counts,
    DatagramReceived,
    LiveMembers,
    LoadCounter,
    LoadReporter,
    LoadReportSettings,
    OwnCounts,
    Packet,
    SendKind,
    Totals,
)  # fmt: skip

MS = 1_000_000
SECOND = 1000 * MS
KINDS = 4  # classes of query that its brokers take
CELLS = 40  # replica sets
HISTORY = 4096  # points of one process's truth; the oldest go first


@dataclass(slots=True, frozen=True)
class Network:
    """Shares of datagrams; times in ns."""

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # share that is late by ``late_by``
    late_by: int = 5 * SECOND
    delay: tuple[int, int] = (MS // 2, 20 * MS)


@dataclass(slots=True, eq=False)
class Process:
    """One broker. ``bend``: what it tells instead of the truth. ``taken``: (time, queries) of it."""

    name: str
    boot: int
    ledger: LoadReporter
    tally: LoadCounter
    begun: int
    load: Callable[[str, int], float]
    living: dict[str, int] = field(default_factory=dict)
    bend: Callable[[Counts], Counts] | None = None
    total: float = 0.0
    counted: int = 0
    at: int = 0
    taken: list[tuple[int, int]] = field(default_factory=list)
    killed: bool = False
    packets: int = 0
    sent: int = 0  # bytes
    heard: int = 0
    totals: Totals | None = None


class LedgerWorld:
    """``load(name, now)``: queries a second. ``view``: ns until a kill, a start or a cut is believed."""

    def __init__(
        self,
        members: int,
        seed: int,
        load: Callable[[str, int], float],
        network: Network | None = None,
        settings: LoadReportSettings | None = None,
        view: int = 3 * SECOND,
        make: Callable[..., LoadReporter] = LoadReporter,
    ) -> None:
        self.random = random.Random(f"{seed} ledgers")
        self.seed, self.load, self.view, self.make = seed, load, view, make
        self.network, self.settings = network or Network(), settings or LoadReportSettings()
        self.names = [f"b{place:03}" for place in range(members)]
        self.now = 0
        self.processes: list[Process] = []
        self.of: dict[str, Process] = {}  # whom datagrams to a name reach
        self.sides: dict[str, int] = {}
        self.kinds: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = self._boots = 0
        for name in self.names:
            self.start(name, told=False)
        self.tell()

    # --- time ---

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Plan something."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, call))

    def run(self, until: int) -> None:
        """To a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    # --- brokers ---

    def start(self, name: str, told: bool = True, clone: bool = False) -> Process:
        """A new process of a name, with empty counts; a clone runs beside the one that is there."""
        self._boots += 1
        boot = 1000 + self._boots
        ledger = self.make("lab", name, boot, self.settings, self.seed, self.now)
        process = Process(name, boot, ledger, LoadCounter(self.now), self.now, self.load, at=self.now)
        process.taken.append((self.now, 0))
        self.processes.append(process)
        if not clone:
            self.of[name] = process
            self.at(self.now + self.view, self.tell) if told else None
        else:
            process.living = dict(self.of[name].living)
        self._step(process, [LiveMembers(process.living, len(self.names))])
        self.at(ledger.due, lambda: self._due(process))
        return process

    def kill(self, names: Iterable[str]) -> None:
        """Without a word; believed ``view`` later."""
        for name in names:
            process = self.of.pop(name)
            self._advance(process)
            process.killed = True
        self.at(self.now + self.view, self.tell)

    def cut(self, side: Iterable[str]) -> None:
        """These hear only each other from now on; nobody: the cut is mended."""
        self.sides = dict.fromkeys(side, 1)
        self.at(self.now + self.view, self.tell)

    def tell(self) -> None:
        """Each is told who lives on its side, within half a second; at the very beginning at once."""
        for process in self.processes:
            wait = self.random.randrange(SECOND // 2) if self.now else 0
            self.at(self.now + wait, lambda process=process: self._tell(process))  # type: ignore[misc]

    def _tell(self, process: Process) -> None:
        if not process.killed:
            side = self.sides.get(process.name, 0)
            process.living = {n: p.boot for n, p in self.of.items() if self.sides.get(n, 0) == side}
            self._step(process, [LiveMembers(process.living, len(self.names))])

    def _due(self, process: Process) -> None:
        if process.killed:
            return
        self._advance(process)
        counts = process.tally.snapshot(self.now, 0.25)
        self._step(process, [OwnCounts(process.bend(counts) if process.bend else counts)])
        self.at(process.ledger.due, lambda: self._due(process))

    def _step(self, process: Process, inputs: list[OwnCounts | DatagramReceived | LiveMembers]) -> None:
        for out in process.ledger.step(self.now, inputs):
            if isinstance(out, Packet):
                process.packets += 1
                process.sent += len(out.data)
                self._carry(process, out)
            else:
                process.totals = out

    def _carry(self, process: Process, packet: Packet) -> None:
        network = self.network
        for _ in range(2 if self.random.random() < network.doubled else 1):
            if self.random.random() < network.loss:
                continue
            delay = self.random.randrange(*network.delay)
            if self.random.random() < network.late:
                delay += network.late_by
            self.at(self.now + delay, lambda: self._arrive(process.name, packet))

    def _arrive(self, sender: str, packet: Packet) -> None:
        process = self.of.get(packet.to)
        if process is not None and self.sides.get(sender, 0) == self.sides.get(packet.to, 0):
            process.heard += len(packet.data)
            self._step(process, [DatagramReceived(packet.data)])

    # --- what is true ---

    def _advance(self, process: Process) -> None:
        """Let it take what came since the last time; each query with sends, a replica set, and slot time."""
        if process.killed or self.now <= process.at:
            return
        process.total += process.load(process.name, self.now) * (self.now - process.at) / SECOND
        for number in range(process.counted, int(process.total)):
            tally, kind = process.tally, number % KINDS
            tally.count_arrival(kind, number * 0.381966 % 1.0)
            tally.count_outcome(kind, Count.LATE if number % 10 == 0 else Count.IN_TIME)
            tally.count_sends(SendKind.FIRST, 8)
            if number % 5 == 0:
                tally.count_sends(SendKind.FURTHER)
            tally.count_replica_set(number * 7 % CELLS, 8, int(number % 20 == 0))
            if kind == 0:
                tally.add_slot_time(f"tenant-{number % 12:02}", 40 * MS)
        process.counted, process.at = int(process.total), self.now
        process.taken.append((self.now, process.counted))
        del process.taken[:-HISTORY]

    def truth(self, window: int | None = None, names: Iterable[str] | None = None) -> float:
        """Queries taken within the window that ends now, by all processes, or by those of these names."""
        begin = self.now - (self.settings.window if window is None else window)
        chosen = None if names is None else set(names)
        found = 0.0
        for process in self.processes:
            self._advance(process)
            if chosen is None or process.name in chosen:
                found += process.counted - _interpolated(process.taken, begin)
        return found

    def taken(self, names: Iterable[str] | None = None) -> list[float]:
        """What the totals of those that live say was taken; -1 where one has none."""
        chosen = sorted(self.of) if names is None else sorted(names)
        every = [self.of[name].totals for name in chosen]
        return [-1.0 if one is None else one.count(Count.TAKEN) for one in every]


def _interpolated(points: list[tuple[int, int]], when: int) -> float:
    if when <= points[0][0]:
        return float(points[0][1])
    for place in range(len(points) - 1, -1, -1):
        at, value = points[place]
        if at <= when:
            if place + 1 == len(points):
                return float(value)
            after, more = points[place + 1]
            return value + (more - value) * (when - at) / (after - at)
    return float(points[0][1])
