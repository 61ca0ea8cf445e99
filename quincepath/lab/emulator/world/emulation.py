"""The complete emulation: brokers start, step, stall and crash; the run from start to end."""

import heapq
import zlib
from collections.abc import Callable

from quincepath.asks.intake import AskIntake
from quincepath.broker.dispatcher import Dispatcher, TryAnswer
from quincepath.broker.driver import DecisionModule, Driver
from quincepath.config.schema import admission_bounds, registry_limits
from quincepath.interface import Members, Scope, Settings
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.world.clients import Clients
from quincepath.lab.emulator.world.entities import Broker, ClientReply
from quincepath.lab.emulator.world.sending import Sending
from quincepath.lab.emulator.world.state import SECOND, TICK_NS, RunStatistics
from quincepath.orders import Breach, LogLine, MembershipUpdate, StartCall, StopAttempt
from quincepath.policy import Aggregator
from quincepath.standins.record import End, Halt, Line

MakeModule = Callable[[Settings, int], DecisionModule]


class ContractViolation(AssertionError):
    """Driver and decision module disagreed: a defect of the program, whatever the script."""


class Emulation(Clients, Sending):
    """One run of a script. ``sink`` receives each record line in order."""

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
            self._start_broker(broker)

    def run(self, until: int | None = None) -> RunStatistics:
        """Run to the end, or to ``until`` (ns since the start)."""
        self._arrivals()
        stop = self.end + self.max_deadline() + 2 * SECOND
        if until is not None:
            stop = min(stop, self.begin + until)
        heap = self._events
        while heap and heap[0][0] <= stop:
            self.now, _, call = heapq.heappop(heap)
            self.statistics.events += 1
            call()
        return self.statistics

    def _start_broker(self, broker: Broker) -> None:
        """Start a broker with nothing but its last known member list."""
        broker.generation += 1
        seed = zlib.crc32(f"{self.seed} {broker.number} {broker.generation}".encode())
        settings = self.settings[broker.number]
        broker.driver = Driver(self.make_module(settings, seed), settings, self.script.rules.drain_grace)
        bounds = admission_bounds(self.script.limits)
        intake: AskIntake[ClientReply] = AskIntake(registry_limits(self.script.asks, TICK_NS), bounds, seed)
        broker.dispatcher = Dispatcher(broker.driver, intake, self._render)
        broker.alive, broker.stalled_until, broker.step_scheduled_at = True, 0, None
        broker.deferred_io, broker.deferred_timers = [], []
        broker.pools, broker.calls, broker.tries = {}, {}, {}
        known = broker.known_members or {entry.node: entry for entry in self.actual_entries.values()}
        broker.known_members = dict(known)
        # Changes made while it was down, or in transit when it crashed, come with the next update.
        broker.missed_updates = [
            name for name, entry in self.actual_entries.items() if known.get(entry.node) != entry
        ]
        broker.dispatcher.enqueue(MembershipUpdate(Members(Scope.CACHED, 1, tuple(known.values()))))
        self._schedule_step(broker)
        if broker.missed_updates:
            lag = self.source("list").between(*self.script.discovery.lag) * broker.lag_factor
            self.call_after(lag, lambda: self._catch_up(broker))

    def _step(self, broker: Broker) -> None:
        broker.step_scheduled_at = None
        for order in broker.dispatcher.step(self.now):
            match order:
                case StartCall():
                    self._start_call(broker, order)
                case StopAttempt(part, attempt):
                    self._stop_attempt(broker, part, attempt)
                case TryAnswer():
                    self._deliver_answer(broker, order)
                case Breach(name, detail):
                    raise ContractViolation(f"broker {broker.number}: contract violated: {name}: {detail}")
                case LogLine(text):
                    self.mark(f"broker{broker.number}: {text}")
        due = broker.dispatcher.next_due()
        if due is not None and due <= self.now:
            self._schedule_step(broker)
        elif due is not None:
            generation = broker.generation
            self.call_at(due, lambda: self._run_timer(broker, generation, lambda: self._step_if_due(broker)))

    def _step_if_due(self, broker: Broker) -> None:
        if broker.dispatcher.due(self.now):
            self._schedule_step(broker)

    def halt(self, broker: Broker, duration: int, kill: bool) -> None:
        """Stall a broker for a time, or kill it and restart it after that time."""
        if not broker.alive:
            return
        until = self.now + duration
        self.sink(Halt(self.now, broker.number, until, kill))
        if not kill:
            broker.stalled_until = max(broker.stalled_until, until)
            self.call_at(until, lambda: self.resume(broker))
            return
        broker.alive = False
        for call in {id(c): c for c in broker.calls.values()}.values():
            call.pending.clear()
            self._cancel_if_unused(broker, call)
        for attempt in broker.tries.values():
            if not attempt.ended:
                self._end_try(attempt, End(self.now, attempt.name, 0))
        broker.tries = {}
        self.call_at(until, lambda: self._start_broker(broker))
