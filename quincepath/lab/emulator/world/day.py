"""The day: virtual time, sources of chance, the holders and what is true of them, the head of the record."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from quincepath.interface import Effect, Entry, Limits, Phase, QueryClass, Rules, Settings
from quincepath.lab.emulator.chance import RandomStream, machines
from quincepath.lab.emulator.script import Script, TrafficClass
from quincepath.lab.emulator.server import Fleet, Server, ServerConfig
from quincepath.lab.emulator.world.actors import Broker
from quincepath.standins.record import Bounds, ClassRules, Head, Line, Mark

MS = 1_000_000
SECOND = 1000 * MS
BEGIN = SECOND  # the clock when a day begins
SLACK = 20 * MS  # for the audit: the longest way from a broker to a client or holder, and more
TICK = 5 * MS


@dataclass(slots=True)
class Tally:
    """What a run came to."""

    asked: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0, 0]))
    outcomes: Counter[str] = field(default_factory=Counter)
    took: list[float] = field(default_factory=list)
    tries: int = 0
    fell: list[str] = field(default_factory=list)
    down_most: int = 0
    events: int = 0


class Day:
    """What stands before anything moves. Events of equal times come in the order of their making."""

    def __init__(
        self,
        script: Script,
        seed: int | None = None,
        sink: Callable[[Line], None] = lambda line: None,
    ) -> None:
        self.script = script
        self.seed = script.seed if seed is None else seed
        self.sink = sink
        self.now = self.begin = BEGIN
        self.end = self.begin + script.length
        self.tally = Tally()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._sources: dict[str, RandomStream] = {}
        self._handles = 0
        self._wakes: dict[str, int] = {}
        self._down: set[str] = set()
        self.cut: set[tuple[int, str]] = set()  # (broker, holder): what the holder sends there is lost
        self.rate_factor = 1.0
        self.heavy: dict[int, tuple[float, float]] = {}  # class: share of queries, times the work
        self.poison: dict[int, float] = {}  # class: share of queries
        self.patience_factor = 1.0
        self.impatient_retries = False
        self.zones = {name: number for number, name in enumerate(script.fleet.zones)}
        self.fleet = self._make_fleet()
        self.truth: dict[str, Entry] = {
            name: self._entry(name, Phase.READY, 0) for name in self.fleet.servers
        }
        self.shards = script.fleet.sets * script.fleet.shards
        self.settings = [self._settings(n) for n in range(script.brokers)]
        self.brokers = [Broker(n, n % len(self.zones)) for n in range(script.brokers)]
        self._write_head()

    def source(self, name: str) -> RandomStream:
        """The source of chance of this name."""
        if name not in self._sources:
            self._sources[name] = RandomStream(self.seed, name)
        return self._sources[name]

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Run ``call`` at a time; equal times in the order of their making."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, call))

    def after(self, wait: float, call: Callable[[], None]) -> None:
        """Run ``call`` after so many ns."""
        self.at(self.now + int(wait), call)

    def mark(self, what: str) -> None:
        """Note something of the script."""
        self.sink(Mark(self.now, what))

    def way(self, a: int, b: int) -> int:
        """One way between zones, with jitter."""
        network = self.script.network
        base = network.same_zone if a == b else network.cross_zone
        return int(base * (1 + network.jitter * -np.log1p(-self.source("network")())))

    def longest(self) -> int:
        """The longest that any client waits in all its tries."""
        return max(entry.deadline for entry in self.script.classes)

    # --- setting up ---

    def _make_fleet(self) -> Fleet:
        entry, fleet = self.script.fleet, Fleet()
        kinds = machines(entry, self.source("kinds"))
        for s in range(entry.sets):
            for r in range(entry.replicas):
                name = f"s{s}r{r}"
                machine = kinds[name]
                model = ServerConfig(
                    machine.cores, machine.speed, entry.room, entry.table, entry.connect_work, entry.cold,
                    entry.ramp, self.script.rules.fall_multiple, self.script.rules.overload_for,
                    entry.drop_cancelled,
                )  # fmt: skip
                fleet.add(
                    Server(name, model, self.source(f"server {name}"), self.now), r % len(self.zones), s
                )
        return fleet

    def _entry(self, name: str, phase: Phase, since: int) -> Entry:
        return Entry(
            self.fleet.nodes[name], 0, self.fleet.zones[name], self.fleet.cells[name], since, phase, 1.0
        )

    def _settings(self, number: int) -> Settings:
        script, rules, limits = self.script, self.script.rules, self.script.limits
        return Settings(
            me=number, instances=script.brokers, zone=number % len(self.zones), tick=TICK,
            cells=script.fleet.sets, reach=1, must_ask=False, cross_zone_charge=0.0, call_work=0,
            classes=tuple(self._class(entry) for entry in script.classes),
            limits=Limits(limits.attempts, True, limits.second_copies, True, limits.max_retry_after,
                          limits.connect_timeout, limits.idle_close, limits.batch),
            rules=Rules(script.fleet.cold, script.fleet.ramp, rules.fall_multiple, rules.overload_for, 0,
                        rules.budget_window, rules.budget_free, rules.budget_ratio),
        )  # fmt: skip

    @staticmethod
    def _class(entry: TrafficClass) -> QueryClass:
        floor = entry.need if entry.floor is None else entry.floor
        return QueryClass(
            entry.name, entry.target, entry.deadline, Effect.SAFE, 0, entry.late_worth, entry.need, floor,
            int(entry.second_step),
        )  # fmt: skip

    def _write_head(self) -> None:
        rules, limits = self.script.rules, self.script.limits
        self.sink(Head("emulation"))
        for entry in self.settings[0].classes:
            self.sink(ClassRules(entry.name, entry.need, entry.floor))
        self.sink(
            Bounds(
                limits.attempts, rules.drain_grace, 0, rules.fall_multiple, rules.overload_for,
                self.script.fleet.ramp, rules.budget_window, rules.budget_free, rules.budget_ratio,
                self.script.brokers, SLACK, self.script.asks.linger,
            )
        )  # fmt: skip
