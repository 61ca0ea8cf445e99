"""The whole emulation: a heap of events in virtual time around real drivers. No socket, no wall clock.

A run is a function of script and seed. Everything that the audit needs goes to ``sink`` as record lines.
"""

import heapq
import zlib
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from quincepath.asks.book import Again, Begin, How, Join
from quincepath.asks.book import Mark as KeyMark
from quincepath.asks.book import Try as BookTry
from quincepath.asks.desk import Desk
from quincepath.broker.driver import Driver, Module
from quincepath.broker.reception import Owed, Reception, Rendered
from quincepath.config.schema import admission_bounds, book_limits
from quincepath.interface import (
    Effect,
    Entry,
    Limits,
    Members,
    NodeId,
    Phase,
    QueryClass,
    Result,
    Rules,
    Scope,
    Settings,
)
from quincepath.lab.emulator.chance import Source, draw_query, machines, part_work
from quincepath.lab.emulator.script import Script, TrafficClass
from quincepath.lab.emulator.server import Fleet, Job, Kind, Server, State
from quincepath.lab.record import Ask as AskLine
from quincepath.lab.record import Bounds, ClassRules, End, Got, Halt, Head, Line, Mark, Said, Up
from quincepath.lab.record import Told as ToldLine
from quincepath.limits.door import TurnAway
from quincepath.orders import (
    Ask,
    AttemptOrder,
    Breach,
    Ended,
    Finish,
    Listed,
    PartAsk,
    StartCall,
    StopAttempt,
    Told,
    Verdict,
)
from quincepath.policy import Aggregator
from quincepath.upstream.outcomes import End as CallEnd
from quincepath.upstream.outcomes import of_transport

MS = 1_000_000
SECOND = 1000 * MS
GIVE_UP_AFTER = 50 * MS  # past its time a client stops listening
BEGIN = SECOND  # the clock when a day begins
SLACK = 20 * MS  # for the audit: the longest way from a broker to a client or holder, and more
RESTART_AFTER = 3 * SECOND  # a holder that a poisoned query took down is back then
TICK = 5 * MS
SECOND_STEP_WORK = 0.5  # of a first step's part
STATUS = {Verdict.ANSWERED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502}

MakeModule = Callable[[Settings, int], Module]


@dataclass(slots=True, eq=False)
class Connection:
    """One connection of a broker to a holder."""

    node: NodeId
    server: Server
    incarnation: int
    closed: bool = False
    counted: bool = False  # in the holder's table
    idle_since: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """One call that is out."""

    node: NodeId
    orders: tuple[AttemptOrder, ...]
    waiting: set[tuple[int, int]]
    connection: Connection
    dialling: bool = False
    job: Job | None = None


@dataclass(slots=True)
class Pool:
    """Connections of one broker to one holder."""

    idle: list[Connection] = field(default_factory=list)
    open: int = 0


@dataclass(slots=True, frozen=True)
class Ending:
    """A final answer as a client sees it. ``retry_in`` in ns."""

    status: int
    mark: str = ""
    parts_in: int = 0
    parts_asked: int = 0
    retry_in: int = 0


@dataclass(slots=True, eq=False)
class Client:
    """One query and its tries."""

    number: int
    kind: int
    shards: list[int]
    work: list[float]
    began: int
    poison: bool
    tries: int = 0
    served: bool = False

    def name(self) -> str:
        return f"c{self.number}.{self.tries}"


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client at a broker."""

    client: Client
    name: str
    sent: int
    patience: int
    over: bool = False


class Broker:
    """A broker: the driver and module as they are, around them pools of the model's connections."""

    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone = number, zone
        self.driver: Driver
        self.reception: Reception[Client, Ending]
        self.life = 0
        self.alive = True
        self.stalled_until = 0
        self.held_io: list[Callable[[], None]] = []
        self.held_timers: list[Callable[[], None]] = []
        self.step_at: int | None = None
        self.pools: dict[NodeId, Pool] = {}
        self.calls: dict[tuple[int, int], Call] = {}
        self.tries: dict[int, Try] = {}
        self.known: dict[NodeId, Entry] = {}
        self.list_free_at = 0
        self.lag = 1.0
        self.frozen = False
        self.missed: list[str] = []


class ContractBroken(AssertionError):
    """Driver and module disagreed: a defect of the program, whatever the day; the text says where."""


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


class Emulation:
    """One run. ``run`` plays it to its end; ``sink`` gets each record line in order."""

    def __init__(
        self,
        script: Script,
        seed: int | None = None,
        sink: Callable[[Line], None] = lambda line: None,
        make_module: MakeModule = Aggregator,
    ) -> None:
        self.script = script
        self.seed = script.seed if seed is None else seed
        self.sink, self.make_module = sink, make_module
        self.now = self.begin = BEGIN
        self.end = self.begin + script.length
        self.tally = Tally()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._sources: dict[str, Source] = {}
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
        for broker in self.brokers:
            self._boot(broker)

    # --- small things ---

    def source(self, name: str) -> Source:
        """The source of chance of this name."""
        if name not in self._sources:
            self._sources[name] = Source(self.seed, name)
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

    def run(self, until: int | None = None) -> Tally:
        """Play to the end, or to a moment (ns since the begin) in it."""
        self._arrivals()
        stop = self.end + self.longest() + 2 * SECOND
        if until is not None:
            stop = min(stop, self.begin + until)
        heap = self._heap
        while heap and heap[0][0] <= stop:
            self.now, _, call = heapq.heappop(heap)
            self.tally.events += 1
            call()
        return self.tally

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
                model = Kind(
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

    def _boot(self, broker: Broker) -> None:
        """Start a broker with nothing but its last list."""
        broker.life += 1
        seed = zlib.crc32(f"{self.seed} {broker.number} {broker.life}".encode())
        settings = self.settings[broker.number]
        broker.driver = Driver(self.make_module(settings, seed), settings, self.script.rules.drain_grace)
        bounds = admission_bounds(self.script.limits)
        desk: Desk[Ending] = Desk(book_limits(self.script.asks, TICK), bounds, seed)
        broker.reception = Reception(broker.driver, desk, self._render)
        broker.alive, broker.stalled_until, broker.step_at = True, 0, None
        broker.held_io, broker.held_timers = [], []
        broker.pools, broker.calls, broker.tries = {}, {}, {}
        known = broker.known or {entry.node: entry for entry in self.truth.values()}
        broker.known = dict(known)
        # What changed while it was dead, or was on its way when it died, comes with the list's next news.
        broker.missed = [name for name, entry in self.truth.items() if known.get(entry.node) != entry]
        broker.reception.note(Listed(Members(Scope.CACHED, 1, tuple(known.values()))))
        self._poke(broker)
        if broker.missed:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag
            self.after(lag, lambda: self._catch_up(broker))

    # --- clients ---

    def _arrivals(self) -> None:
        """Draw the whole day's arrivals ahead: they don't wait for answers."""
        draw = self.source("arrivals").generator
        at = float(self.begin + 100 * MS)
        number = 0
        while True:
            at += float(draw.exponential(SECOND / self.script.traffic.rate))
            if at >= self.end:
                return
            self.at(int(at), self._arrival(number, int(at)))
            number += 1

    def _arrival(self, number: int, at: int) -> Callable[[], None]:
        def arrive() -> None:
            self._new_client(number)
            extra = self.rate_factor - 1
            copy = 0
            while extra > 0 and (extra >= 1 or self.source("burst")() < extra):
                copy += 1
                self._new_client(number + copy * 10_000_000)
                extra -= 1

        return arrive

    def _new_client(self, number: int) -> None:
        drawn = draw_query(self.source("queries"), self.script.classes, self.shards)
        kind, shards = drawn.kind, drawn.shards
        entry = self.script.classes[kind]
        work = part_work(self.source("work").generator, entry, len(shards))
        share, times = self.heavy.get(kind, (0.0, 1.0))
        if share and self.source("heavy")() < share:
            work = [one * times for one in work]
        poison = bool(self.poison.get(kind)) and self.source("poison")() < self.poison[kind]
        client = Client(number, kind, shards, work, self.now, poison)
        self.tally.asked[entry.name] += 1
        self.tally.by_second[(self.now - self.begin) // SECOND][0] += 1
        self._try(client)

    def _try(self, client: Client) -> None:
        entry = self.script.classes[client.kind]
        left = client.began + entry.deadline - self.now
        alive = [broker for broker in self.brokers if broker.alive]
        if left <= 10 * MS:
            return
        if not alive:  # nobody takes the connection: the client comes back by itself
            self.tally.outcomes["unreachable"] += 1
            client.tries += 1
            if client.tries <= self.script.traffic.retries:
                self.after(self.script.traffic.wait * 2 ** (client.tries - 1), lambda: self._try(client))
            return
        traffic, draw = self.script.traffic, self.source("clients")
        share = draw.between(*traffic.patience) * self.patience_factor
        patience = max(min(int(entry.deadline * share), left), 1)
        told = patience if traffic.tell >= 1 or self.source("tell")() < traffic.tell else entry.deadline
        broker = alive[int(draw() * len(alive))]
        attempt = Try(client, client.name(), self.now, told)
        self.tally.tries += 1
        key = f"c{client.number}" if traffic.marks else ""
        self.sink(AskLine(self.now, attempt.name, entry.name, client.shards, told, broker.number, key))
        life = broker.life
        self.at(self.now + patience + GIVE_UP_AFTER, lambda: self._client_leaves(attempt, broker, life))
        self.after(
            self.way(broker.zone, broker.zone),
            lambda: self._io(broker, life, lambda: self._take(broker, attempt)),
        )

    def _take(self, broker: Broker, attempt: Try) -> None:
        if attempt.over:
            return
        client = attempt.client
        self._handles += 1
        handle, key = self._handles, f"c{client.number}"
        book_try = BookTry(
            handle, "", key.encode(), self.now + attempt.patience,
            KeyMark("", key, True) if self.script.traffic.marks else None,
            client=f"desk{client.number % self.script.traffic.desks}",
        )  # fmt: skip
        said = broker.reception.arrive(
            self.now, book_try, self._ask(attempt), client, self.script.classes[client.kind].worth
        )
        match said:
            case TurnAway(retry_in=retry_in):
                self._answer_client(broker, attempt, Ending(503, retry_in=retry_in))
            case Again(reply=reply):
                self._answer_client(broker, attempt, reply, How.REPLAYED)
            case Join() | Begin():
                broker.tries[handle] = attempt
                self._poke(broker)
            case _:
                raise AssertionError(f"{said}: keys of clients here are their own")

    def _ask(self, attempt: Try) -> Ask:
        client = attempt.client
        weight = 1 / len(client.shards)
        parts = tuple(
            PartAsk(shard, weight, (one, client.poison, client.kind))
            for shard, one in zip(client.shards, client.work, strict=True)
        )
        second = self.script.classes[client.kind].second_step
        by_shard = dict(zip(client.shards, client.work, strict=True))

        def follow(bodies: Mapping[int, Any]) -> tuple[PartAsk, ...]:
            return tuple(
                PartAsk(shard, 1 / len(bodies), (by_shard[shard] * SECOND_STEP_WORK, False, client.kind))
                for shard in sorted(bodies)
            )

        return Ask(
            0, client.kind, attempt.patience, parts, repeat=client.tries > 0,
            follow=follow if second else None, name=attempt.name,
        )  # fmt: skip

    def _client_leaves(self, attempt: Try, broker: Broker, life: int) -> None:
        """Its time is up and it has heard nothing: the connection is closed."""
        if attempt.over:
            return
        self._end_try(attempt, End(self.now, attempt.name, -1))
        self._io(broker, life, lambda: self._left(broker, attempt))

    def _left(self, broker: Broker, attempt: Try) -> None:
        for handle, known in broker.tries.items():
            if known is attempt:
                del broker.tries[handle]
                broker.reception.left(self.now, handle)
                self._poke(broker)
                return

    def _answer_client(self, broker: Broker, attempt: Try, reply: Ending, how: How = How.BEGAN) -> None:
        def heard() -> None:
            if not attempt.over:
                ms = -(-reply.retry_in // MS)
                joined = "" if how is How.BEGAN else how.value
                self._end_try(
                    attempt,
                    End(self.now, attempt.name, reply.status, reply.mark, reply.parts_in, reply.parts_asked,
                        ms, joined),
                )  # fmt: skip

        self.after(self.way(broker.zone, broker.zone), heard)

    def _end_try(self, attempt: Try, end: End) -> None:
        attempt.over = True
        self.sink(end)
        client = attempt.client
        entry = self.script.classes[client.kind]
        self.tally.outcomes[
            end.mark or {503: "refused", 502: "failed", 504: "failed", 0: "lost", -1: "none"}[end.status]
        ] += 1
        if end.status == 200:
            self.tally.took.append((self.now - client.began) / SECOND)
            if end.mark == "whole" and self.now <= client.began + entry.target:
                self.tally.good[entry.name] += 1
                self.tally.by_second[(client.began - self.begin) // SECOND][1] += 1
            return
        client.tries += 1
        if client.tries > self.script.traffic.retries:
            return
        draw = self.source("clients")
        wait = self.script.traffic.wait * 2 ** (client.tries - 1) * draw.between(0.5, 1.5)
        if self.impatient_retries:
            wait = MS
        elif draw() < self.script.traffic.honour:
            wait = max(wait, end.retry_ms * MS)
        self.after(wait, lambda: self._try(client))

    # --- brokers ---

    def _io(self, broker: Broker, life: int, call: Callable[[], None]) -> None:
        """Something came in at a broker's sockets: now, or when it is no longer stalled."""
        if broker.life == life and broker.alive:
            if self.now < broker.stalled_until:
                broker.held_io.append(call)
            else:
                call()

    def _timer(self, broker: Broker, life: int, call: Callable[[], None]) -> None:
        if broker.life == life and broker.alive:
            if self.now < broker.stalled_until:
                broker.held_timers.append(call)
            else:
                call()

    def resume(self, broker: Broker) -> None:
        """After a stall all that came meanwhile is found at once: sockets first, then timers."""
        if self.now < broker.stalled_until or not broker.alive:
            return
        held = [*broker.held_io, *broker.held_timers]
        broker.held_io, broker.held_timers = [], []
        for call in held:
            call()
        self._poke(broker)

    def _poke(self, broker: Broker) -> None:
        """Have the broker step in this instant, after all that happens in it."""
        if broker.step_at != self.now:
            broker.step_at = self.now
            life = broker.life
            self.at(self.now, lambda: self._timer(broker, life, lambda: self._step(broker)))

    def _step(self, broker: Broker) -> None:
        broker.step_at = None
        for order in broker.reception.step(self.now):
            match order:
                case StartCall():
                    self._start_call(broker, order)
                case StopAttempt(part, attempt):
                    self._stop_attempt(broker, part, attempt)
                case Owed():
                    self._owed(broker, order)
                case Breach(name, detail):
                    raise ContractBroken(f"broker {broker.number}: contract broken: {name}: {detail}")
                case Told(text):
                    self.mark(f"broker{broker.number}: {text}")
        due = broker.reception.next_due()
        if due is not None and due <= self.now:
            self._poke(broker)
        elif due is not None:
            life = broker.life
            self.at(due, lambda: self._timer(broker, life, lambda: self._due(broker)))

    def _due(self, broker: Broker) -> None:
        if broker.reception.due(self.now):
            self._poke(broker)

    @staticmethod
    def _render(order: Finish, _client: Client) -> Rendered[Ending]:
        answered = order.verdict is Verdict.ANSWERED
        mark = ("whole" if order.whole else "partial") if answered else ""
        ending = Ending(STATUS[order.verdict], mark, order.parts_in, order.parts_asked, order.retry_in)
        return Rendered(ending, 1, order.verdict)

    def _owed(self, broker: Broker, owed: Owed[Ending]) -> None:
        attempt = broker.tries.pop(owed.handle, None)
        if attempt is not None:
            self._answer_client(broker, attempt, owed.reply or Ending(504), owed.how)

    # --- calls ---

    def _start_call(self, broker: Broker, order: StartCall) -> None:
        pool = broker.pools.setdefault(order.node, Pool())
        limits = self.script.limits
        server = self.fleet.servers[self.fleet.names[order.node]]
        oldest = self.now - limits.idle_close
        idle = None
        while pool.idle and idle is None:
            idle = pool.idle.pop()
            if idle.closed or idle.idle_since < oldest:
                self._close(broker, idle)
                idle = None
        connection = idle or Connection(order.node, server, server.incarnation)
        waiting = {(a.part, a.attempt) for a in order.attempts}
        call = Call(order.node, order.attempts, waiting, connection)
        for key in waiting:
            broker.calls[key] = call
        if idle is None and pool.open >= limits.connections_per_holder:
            connection.closed = True
            self._end_call(broker, call, of_transport(CallEnd.NO_PLACE).result)
            return
        life = broker.life
        for deadline in sorted({a.deadline for a in order.attempts}):
            self.at(deadline, lambda: self._timer(broker, life, lambda: self._expire(broker, call)))
        if idle is None:
            pool.open += 1
            self._dial(broker, call)
        else:
            self._send(broker, call)

    def _way_to(self, broker: Broker, server: Server) -> int:
        return self.way(broker.zone, self.fleet.zones[server.name])

    def _dial(self, broker: Broker, call: Call) -> None:
        call.dialling = True
        life, server = broker.life, call.connection.server

        def late() -> None:
            if call.dialling and call.waiting:
                self._drop(broker, call, of_transport(CallEnd.DIAL_TIMEOUT).result)

        def refused() -> None:
            if call.dialling and call.waiting:
                self._drop(broker, call, of_transport(CallEnd.REFUSED).result)

        def connected() -> None:
            if call.dialling and call.waiting:
                call.dialling = False
                self._send(broker, call)

        def syn() -> None:
            if server.state is State.SILENT:
                return
            back = self._way_to(broker, server)
            if server.state is not State.UP or server.connections >= server.kind.table:
                self._back(broker, server, life, back, refused)
                return
            server.connections += 1
            call.connection.counted = True
            call.connection.incarnation = server.incarnation
            self._back(broker, server, life, back + server.troubles.handshake, connected)

        self.after(self.script.limits.connect_timeout, lambda: self._timer(broker, life, late))
        self.after(self._way_to(broker, server), syn)

    def _back(self, broker: Broker, server: Server, life: int, wait: int, call: Callable[[], None]) -> None:
        """Something goes from a holder to a broker, unless that direction is cut."""
        if (broker.number, server.name) not in self.cut:
            self.after(wait, lambda: self._io(broker, life, call))

    def _send(self, broker: Broker, call: Call) -> None:
        server, life = call.connection.server, broker.life
        self.after(self._way_to(broker, server), lambda: self._arrive(broker, life, call))

    def _arrive(self, broker: Broker, life: int, call: Call) -> None:
        """The request is at the holder, whatever its broker has thought of since."""
        server = call.connection.server
        if server.state is State.SILENT:
            return
        back = self._way_to(broker, server)
        if server.state is not State.UP or server.incarnation != call.connection.incarnation:
            self._back(broker, server, life, back, lambda: self._reply(broker, call, Result.RESET))
            return
        self._wake(server)
        if server.state is not State.UP:
            self._back(broker, server, life, back, lambda: self._reply(broker, call, Result.RESET))
            return
        works = [order.payload[0] for order in call.orders]
        for order, work in zip(call.orders, works, strict=True):
            self.sink(
                Got(
                    self.now, server.name, order.query_name, order.shard, order.step, order.attempt,
                    int(work), broker.number,
                )
            )  # fmt: skip
        kinds = frozenset(order.payload[2] for order in call.orders)
        poison = any(order.payload[1] for order in call.orders)
        expires = max(order.deadline for order in call.orders)
        job = Job(sum(works), expires, kinds, (broker, life, call), poison)
        call.job = job
        said = server.offer(self.now, job)
        if said == "fell":
            self.tally.fell.append(server.name)
            self.mark(f"{server.name} fell over")
            self._crash(server, State.FALLEN)
        elif said in ("error", "full"):
            self._said(server, call, 500 if said == "error" else 429, False)
            result = Result.ERROR if said == "error" else Result.FULL
            self._back(broker, server, life, back, lambda: self._reply(broker, call, result))
        else:
            self._schedule(server)

    def _said(self, server: Server, call: Call, status: int, good: bool) -> None:
        for o in call.orders:
            self.sink(Said(self.now, server.name, o.query_name, o.shard, o.step, o.attempt, status, good))

    def _schedule(self, server: Server) -> None:
        """Look at the server again when something is due there; at most one look is pending."""
        if server.poisoned():
            self.mark(f"{server.name} taken down by a poisoned query")
            self._crash(server, State.DOWN)
            self.after(RESTART_AFTER, lambda: self.restart(server))
            return
        due = server.next_end()
        if due is None or self._wakes.get(server.name, 1 << 62) <= due:
            return
        self._wakes[server.name] = due

        def look() -> None:
            if self._wakes.get(server.name) == due:
                del self._wakes[server.name]
                self._wake(server)

        self.at(due, look)

    def _wake(self, server: Server) -> None:
        """Carry the server on to now; what ended is answered."""
        for _, job in server.advance(self.now):
            broker, life, call = job.tag
            if job.cancelled:
                continue
            self._said(server, call, 200, True)
            if server.troubles.lose and server.draw() < server.troubles.lose:
                continue
            self._back(broker, server, life, self._way_to(broker, server), self._ok(broker, call))
        if server.state is State.UP:
            self._schedule(server)

    def _ok(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._reply(broker, call, Result.OK)

    def _reply(self, broker: Broker, call: Call, result: Result) -> None:
        """The holder's word is at the broker."""
        if call.connection.closed:
            return  # nobody listens any more
        if result is Result.RESET:
            self._drop(broker, call, result)
            return
        call.connection.idle_since = self.now
        broker.pools[call.node].idle.append(call.connection)
        self._end_call(broker, call, result)

    def _end_call(self, broker: Broker, call: Call, result: Result) -> None:
        for order in call.orders:
            key = (order.part, order.attempt)
            if key in call.waiting:
                self._end_attempt(broker, call, key, result)

    def _end_attempt(self, broker: Broker, call: Call, key: tuple[int, int], result: Result) -> None:
        call.waiting.discard(key)
        broker.calls.pop(key, None)
        broker.reception.note(Ended(*key, result, True if result is Result.OK else None))
        self._poke(broker)

    def _drop(self, broker: Broker, call: Call, result: Result) -> None:
        self._close(broker, call.connection)
        self._end_call(broker, call, result)

    def _close(self, broker: Broker, connection: Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        broker.pools[connection.node].open -= 1
        server = connection.server
        if connection.counted and server.incarnation == connection.incarnation:
            server.connections -= 1

    def _expire(self, broker: Broker, call: Call) -> None:
        if not call.waiting:
            return
        result = of_transport(CallEnd.DIAL_TIMEOUT if call.dialling else CallEnd.TIMEOUT).result
        for order in call.orders:
            key = (order.part, order.attempt)
            if key in call.waiting and order.deadline <= self.now:
                self._end_attempt(broker, call, key, result)
        self._abandon(broker, call)

    def _stop_attempt(self, broker: Broker, part: int, attempt: int) -> None:
        call = broker.calls.get((part, attempt))
        if call is not None:
            self._end_attempt(broker, call, (part, attempt), Result.CANCELLED)
            self._abandon(broker, call)

    def _abandon(self, broker: Broker, call: Call) -> None:
        if call.waiting:
            return
        self._close(broker, call.connection)
        server = call.connection.server

        def cancel() -> None:
            if call.job is not None and server.state is State.UP:
                server.cancel(self.now, call.job)

        self.after(self._way_to(broker, server), cancel)

    # --- holders and the list about them ---

    def _crash(self, server: Server, state: State) -> None:
        """A process ends: what it held is lost; unless its machine is gone, its peers are told by resets."""
        for job in server.stop(self.now, state):
            broker, life, call = job.tag
            if state is not State.SILENT:
                self._back(broker, server, life, self._way_to(broker, server), self._lost(broker, call))
        server.incarnation += 1
        server.connections = 0
        self._wakes.pop(server.name, None)
        for broker in self.brokers:
            pool = broker.pools.get(self.fleet.nodes[server.name])
            if pool is not None and state is not State.SILENT:
                for connection in pool.idle:
                    self._close(broker, connection)
                pool.idle.clear()
        self._down.add(server.name)
        self.tally.down_most = max(self.tally.down_most, len(self._down))
        self.publish(server.name, Phase.GONE)

    def _lost(self, broker: Broker, call: Call) -> Callable[[], None]:
        return lambda: self._reply(broker, call, Result.RESET)

    def kill(self, server: Server, silent: bool = False) -> None:
        """End a server's process, or its machine."""
        if server.state is State.UP:
            server.advance(self.now)
            self._crash(server, State.SILENT if silent else State.DOWN)

    def restart(self, server: Server) -> None:
        """Start it anew, cold; a fallen one stays down."""
        if server.state in (State.UP, State.FALLEN):
            return
        server.restart(self.now)
        self._down.discard(server.name)
        kind = server.kind
        self.sink(Up(self.now, server.name, kind.cold, kind.ramp, kind.cores * kind.speed * 1e9))
        self.publish(server.name, Phase.READY, self.now)

    def publish(self, name: str, phase: Phase, since: int | None = None) -> None:
        """The truth about a holder has changed; each broker hears of it in its own time."""
        before = self.truth[name]
        self.truth[name] = self._entry(name, phase, before.since if since is None else since)
        for broker in self.brokers:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag
            broker.list_free_at = max(broker.list_free_at, self.now + int(lag))
            entry = self.truth[name]
            self.at(broker.list_free_at, self._news(broker, name, entry))

    def _news(self, broker: Broker, name: str, entry: Entry) -> Callable[[], None]:
        def hear() -> None:
            if broker.frozen or not broker.alive:
                broker.missed.append(name)  # told as it is then, when the list moves or the broker is back
                return

            def take() -> None:
                broker.known[entry.node] = entry
                self.sink(ToldLine(self.now, name, entry.phase.name.lower(), broker.number))
                broker.reception.note(Listed(Members(Scope.DELTA, 1, (entry,))))
                self._poke(broker)

            self._io(broker, broker.life, take)

        return hear

    def thaw(self, broker: Broker) -> None:
        """A frozen list moves again: what was missed comes as it is now."""
        broker.frozen = False
        self._catch_up(broker)

    def _catch_up(self, broker: Broker) -> None:
        if broker.frozen or not broker.alive:
            return
        missed, broker.missed = dict.fromkeys(broker.missed), []
        for name in missed:
            self._news(broker, name, self.truth[name])()

    def halt(self, broker: Broker, last: int, kill: bool) -> None:
        """Stop a broker for a time, or kill it and start it anew after that time."""
        if not broker.alive:
            return
        until = self.now + last
        self.sink(Halt(self.now, broker.number, until, kill))
        if not kill:
            broker.stalled_until = max(broker.stalled_until, until)
            self.at(until, lambda: self.resume(broker))
            return
        broker.alive = False
        for call in {id(c): c for c in broker.calls.values()}.values():
            call.waiting.clear()
            self._abandon(broker, call)
        for attempt in broker.tries.values():
            if not attempt.over:
                self._end_try(attempt, End(self.now, attempt.name, 0))
        broker.tries = {}
        self.at(until, lambda: self._boot(broker))
