"""State of a run: virtual clock, random streams, holders and their entries, head of the record."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from quincepath.interface import Effect, Entry, Limits, Phase, QueryClass, Rules, Settings
from quincepath.lab.emulator.script import Script, TrafficClass
from quincepath.lab.emulator.server import Fleet, Server, ServerConfig
from quincepath.lab.emulator.workload import draw_machines
from quincepath.lab.emulator.world.entities import Broker
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Bounds, ClassRules, Head, Line, Mark

MS = 1_000_000
SECOND = 1000 * MS
RUN_START_NS = SECOND  # virtual time at which a run starts
AUDIT_SLACK_NS = 20 * MS  # for the audit: exceeds the longest delay from a broker to a client or holder
TICK_NS = 5 * MS


@dataclass(slots=True)
class RunStatistics:
    """Totals of a run."""

    asked: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0, 0]))
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    tries: int = 0
    fell: list[str] = field(default_factory=list)
    down_most: int = 0
    events: int = 0


class EmulationState:
    """Initial state and event queue. Events of equal times run in the order of their creation."""

    def __init__(
        self,
        script: Script,
        seed: int | None = None,
        sink: Callable[[Line], None] = lambda line: None,
    ) -> None:
        self.script = script
        self.seed = script.seed if seed is None else seed
        self.sink = sink
        self.now = self.begin = RUN_START_NS
        self.end = self.begin + script.length
        self.statistics = RunStatistics()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._sources: dict[str, RandomStream] = {}
        self._last_handle = 0
        self._scheduled_checks: dict[str, int] = {}
        self._down: set[str] = set()
        # (broker, holder): what the holder sends to the broker is lost.
        self.blocked_links: set[tuple[int, str]] = set()
        self.rate_factor = 1.0
        self.heavy_factors: dict[int, tuple[float, float]] = {}  # by class: share of queries, factor of work
        self.poison_shares: dict[int, float] = {}  # by class: share of queries
        self.patience_factor = 1.0
        self.immediate_retries = False
        self.zones = {name: number for number, name in enumerate(script.fleet.zones)}
        self.fleet = self._make_fleet()
        self.actual_entries: dict[str, Entry] = {
            name: self._member_entry(name, Phase.READY, 0) for name in self.fleet.servers
        }
        self.shards = script.fleet.sets * script.fleet.shards
        self.settings = [self._settings(n) for n in range(script.brokers)]
        self.brokers = [Broker(n, n % len(self.zones)) for n in range(script.brokers)]
        self._write_head()

    def source(self, name: str) -> RandomStream:
        """The random stream of this name."""
        if name not in self._sources:
            self._sources[name] = RandomStream(self.seed, name)
        return self._sources[name]

    def call_at(self, when: int, call: Callable[[], None]) -> None:
        """Run ``call`` at a time; equal times in the order of creation."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, call))

    def call_after(self, wait: float, call: Callable[[], None]) -> None:
        """Run ``call`` after ``wait`` ns."""
        self.call_at(self.now + int(wait), call)

    def mark(self, what: str) -> None:
        """Write a mark into the record."""
        self.sink(Mark(self.now, what))

    def one_way_delay(self, from_zone: int, to_zone: int) -> int:
        """Draw the one-way delay between two zones, with jitter."""
        network = self.script.network
        delay = network.same_zone if from_zone == to_zone else network.cross_zone
        return int(delay * (1 + network.jitter * -np.log1p(-self.source("network")())))

    def max_deadline(self) -> int:
        """The longest that any client waits over all its tries."""
        return max(entry.deadline for entry in self.script.classes)

    # --- setup ---

    def _make_fleet(self) -> Fleet:
        entry, fleet = self.script.fleet, Fleet()
        kinds = draw_machines(entry, self.source("kinds"))
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

    def _member_entry(self, name: str, phase: Phase, since: int) -> Entry:
        return Entry(
            self.fleet.nodes[name], 0, self.fleet.zones[name], self.fleet.cells[name], since, phase, 1.0
        )

    def _settings(self, number: int) -> Settings:
        script, rules, limits = self.script, self.script.rules, self.script.limits
        return Settings(
            me=number, instances=script.brokers, zone=number % len(self.zones), tick=TICK_NS,
            cells=script.fleet.sets, reach=1, must_ask=False, cross_zone_charge=0.0, call_work=0,
            classes=tuple(self._query_class(entry) for entry in script.classes),
            limits=Limits(limits.attempts, True, limits.second_copies, True, limits.max_retry_after,
                          limits.connect_timeout, limits.idle_close, limits.batch),
            rules=Rules(script.fleet.cold, script.fleet.ramp, rules.fall_multiple, rules.overload_for, 0,
                        rules.budget_window, rules.budget_free, rules.budget_ratio),
        )  # fmt: skip

    @staticmethod
    def _query_class(entry: TrafficClass) -> QueryClass:
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
                self.script.brokers, AUDIT_SLACK_NS, self.script.asks.linger,
            )
        )  # fmt: skip
