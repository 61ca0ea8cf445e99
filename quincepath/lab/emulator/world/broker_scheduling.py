"""When a broker gets its turn: what comes to one that stands still waits, and is found at once after it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from quincepath.lab.emulator.world.entities import Broker
from quincepath.lab.emulator.world.state import EmulationState


class BrokerScheduling(EmulationState, ABC):
    """Turns of brokers, for all that comes in at one."""

    def _deliver(self, broker: Broker, generation: int, call: Callable[[], None]) -> None:
        """Something came in at a broker's sockets: now, or when it is no longer stalled."""
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
        """After a stall all that came meanwhile is found at once: sockets first, then timers."""
        if self.now < broker.stalled_until or not broker.alive:
            return
        deferred = [*broker.deferred_io, *broker.deferred_timers]
        broker.deferred_io, broker.deferred_timers = [], []
        for call in deferred:
            call()
        self._schedule_step(broker)

    def _schedule_step(self, broker: Broker) -> None:
        """Have the broker step in this instant, after all that happens in it."""
        if broker.step_scheduled_at != self.now:
            broker.step_scheduled_at = self.now
            generation = broker.generation
            self.call_at(self.now, lambda: self._run_timer(broker, generation, lambda: self._step(broker)))

    @abstractmethod
    def _step(self, broker: Broker) -> None:
        """One turn of a broker: its orders are carried out."""
