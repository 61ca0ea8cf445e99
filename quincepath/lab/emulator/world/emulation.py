"""The emulation as a whole: brokers that start, step, stand still or die, and the run from begin to end."""

import heapq
import zlib
from collections.abc import Callable

from quincepath.asks.intake import AskIntake
from quincepath.broker.dispatcher import Dispatcher, TryAnswer
from quincepath.broker.driver import DecisionModule, Driver
from quincepath.config.schema import admission_bounds, registry_limits
from quincepath.interface import Members, Scope, Settings
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.world.actors import Broker, Ending
from quincepath.lab.emulator.world.clients import Clients
from quincepath.lab.emulator.world.day import SECOND, TICK, Tally
from quincepath.lab.emulator.world.sending import Sending
from quincepath.orders import Breach, LogLine, MembershipUpdate, StartCall, StopAttempt
from quincepath.policy import Aggregator
from quincepath.standins.record import End, Halt, Line

MakeModule = Callable[[Settings, int], DecisionModule]


class ContractBroken(AssertionError):
    """Driver and module disagreed: a defect of the program, whatever the day; the text says where."""


class Emulation(Clients, Sending):
    """One run. ``run`` plays it to its end; ``sink`` gets each record line in order."""

    def __init__(
        self,
        script: Script,
        seed: int | None = None,
        sink: Callable[[Line], None] = lambda line: None,
        make_module: MakeModule = Aggregator,
    ) -> None:
        super().__init__(script, seed, sink)
        self.make_module = make_module
        for broker in self.brokers:
            self._boot(broker)

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

    def _boot(self, broker: Broker) -> None:
        """Start a broker with nothing but its last list."""
        broker.life += 1
        seed = zlib.crc32(f"{self.seed} {broker.number} {broker.life}".encode())
        settings = self.settings[broker.number]
        broker.driver = Driver(self.make_module(settings, seed), settings, self.script.rules.drain_grace)
        bounds = admission_bounds(self.script.limits)
        desk: AskIntake[Ending] = AskIntake(registry_limits(self.script.asks, TICK), bounds, seed)
        broker.dispatcher = Dispatcher(broker.driver, desk, self._render)
        broker.alive, broker.stalled_until, broker.step_at = True, 0, None
        broker.held_io, broker.held_timers = [], []
        broker.pools, broker.calls, broker.tries = {}, {}, {}
        known = broker.known or {entry.node: entry for entry in self.truth.values()}
        broker.known = dict(known)
        # What changed while it was dead, or was on its way when it died, comes with the list's next news.
        broker.missed = [name for name, entry in self.truth.items() if known.get(entry.node) != entry]
        broker.dispatcher.enqueue(MembershipUpdate(Members(Scope.CACHED, 1, tuple(known.values()))))
        self._poke(broker)
        if broker.missed:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag
            self.after(lag, lambda: self._catch_up(broker))

    def _step(self, broker: Broker) -> None:
        broker.step_at = None
        for order in broker.dispatcher.step(self.now):
            match order:
                case StartCall():
                    self._start_call(broker, order)
                case StopAttempt(part, attempt):
                    self._stop_attempt(broker, part, attempt)
                case TryAnswer():
                    self._owed(broker, order)
                case Breach(name, detail):
                    raise ContractBroken(f"broker {broker.number}: contract broken: {name}: {detail}")
                case LogLine(text):
                    self.mark(f"broker{broker.number}: {text}")
        due = broker.dispatcher.next_due()
        if due is not None and due <= self.now:
            self._poke(broker)
        elif due is not None:
            life = broker.life
            self.at(due, lambda: self._timer(broker, life, lambda: self._due(broker)))

    def _due(self, broker: Broker) -> None:
        if broker.dispatcher.due(self.now):
            self._poke(broker)

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
