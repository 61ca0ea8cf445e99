"""Schedules brokers: input to a stalled broker is deferred and delivered at once when it resumes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from quincepath.lab.emulator.world.entities import Broker
from quincepath.lab.emulator.world.state import EmulationState


class BrokerScheduling(EmulationState, ABC):
    """Delivers input and timers to brokers, and schedules their steps."""

    def _deliver(self, broker: Broker, generation: int, call: Callable[[], None]) -> None:
        """Deliver socket input to a broker: now, or when it is no longer stalled."""
        if broker.generation == generation and broker.alive:
            if self.now < broker.stalled_until:
                broker.deferred_io.append(call)
            else:
                call()

    def _run_timer(self, broker: Broker, generation: int, call: Callable[[], None]) -> None:
        if broker.generation == generation and broker.alive:
            if self.now < broker.stalled_until:
                broker.deferred_timers.append(call)
            else:
                call()

    def resume(self, broker: Broker) -> None:
        """Deliver everything deferred during a stall: sockets first, then timers."""
        if self.now < broker.stalled_until or not broker.alive:
            return
        deferred = [*broker.deferred_io, *broker.deferred_timers]
        broker.deferred_io, broker.deferred_timers = [], []
        for call in deferred:
            call()
        self._schedule_step(broker)

    def _schedule_step(self, broker: Broker) -> None:
        """Schedule a step at the current time, after all events already queued for it."""
        if broker.step_scheduled_at != self.now:
            broker.step_scheduled_at = self.now
            generation = broker.generation
            self.call_at(self.now, lambda: self._run_timer(broker, generation, lambda: self._step(broker)))

    @abstractmethod
    def _step(self, broker: Broker) -> None:
        """Step a broker and carry out its orders."""
