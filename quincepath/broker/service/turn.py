"""One turn of the event loop: passes one batch of input to the driver and executes its orders.

During a turn the dispatcher collects all input; at the end of the turn the driver gets it as one batch and
its orders are executed. An attempt that ends while orders are executed (a connection that is refused at once)
belongs to the next batch, in the next turn.
"""

import time
from collections.abc import Callable
from typing import Any

from quincepath.broker.dispatcher import AskEnded, TryAnswer
from quincepath.broker.driver import Driver
from quincepath.broker.service.clients import Clients
from quincepath.broker.service.extension import Extensions
from quincepath.broker.service.holders import Holders
from quincepath.broker.service.telemetry import Telemetry
from quincepath.net.client_connection import STALE_TURN_NS
from quincepath.net.loop import Loop, Timer
from quincepath.orders import AttemptEnded, Breach, LogLine, RefreshMembership, StartCall, StopAttempt
from quincepath.upstream.pool import Upstream


class Turn:
    """``run`` is the loop's turn hook; it calls ``on_turn_end`` last."""

    def __init__(
        self,
        loop: Loop,
        driver: Driver,
        clients: Clients,
        holders: Holders,
        extensions: Extensions,
        telemetry: Telemetry,
        on_turn_end: Callable[[], None],
    ) -> None:
        self.loop, self.driver, self.clients, self.holders = loop, driver, clients, holders
        self.extensions, self.telemetry, self.on_turn_end = extensions, telemetry, on_turn_end
        self.dispatcher = clients.dispatcher
        self.upstream: Upstream  # set by the broker: it reports to ``on_attempt_ended``
        self._wakeup: Timer | None = None
        self._wakeup_at = 0

    def on_attempt_ended(self, ended: AttemptEnded) -> None:
        """Record the end of an attempt and add it to the next batch."""
        part = self.driver.parts.get(ended.part)
        if part is not None:
            self.telemetry.record_attempt(part, ended, self.holders.name(part.attempts[ended.attempt].node))
            self.extensions.on_attempt_ended(self.loop.now, part, ended)
        self.dispatcher.enqueue(ended)

    def run(self) -> None:
        """Pass one batch to the driver and execute its orders."""
        if self.loop.time_unseen() >= STALE_TURN_NS:
            self.upstream.read_arrived()  # the module's timers must not overtake responses
        if self.dispatcher.due(self.loop.now):
            began = time.monotonic_ns()
            for order in self.dispatcher.step(self.loop.now):
                self._execute(order)
            self.telemetry.metrics.turn_seconds.observe((time.monotonic_ns() - began) / 1e9)
        due = self.dispatcher.next_due()
        if due is not None and (self._wakeup is None or self._wakeup.call is None or due < self._wakeup_at):
            if self._wakeup is not None:
                self._wakeup.cancel()
            self._wakeup_at = max(due, self.loop.now)
            # Only wakes the loop; the turn hook does the rest.
            self._wakeup = self.loop.call_at(self._wakeup_at, lambda: None)
        self.on_turn_end()

    def _execute(self, order: Any) -> None:
        match order:
            case StartCall():
                self.extensions.on_call_sent(self.loop.now, order)
                self.upstream.start(order)
            case StopAttempt(part, attempt):
                self.upstream.stop(part, attempt)
            case TryAnswer():
                self.clients.deliver(order)
            case AskEnded():
                self.telemetry.record_ask(order)
                self.extensions.on_ask_ended(self.loop.now, order)
            case LogLine(text):
                self.telemetry.log.warning("message from the decision module", text=text)
            case Breach(name, detail):
                self.telemetry.metrics.contract_breaches.labels(name).inc()
                self.telemetry.log.error("contract violated, effect suppressed", name=name, detail=detail)
            case RefreshMembership():
                self.holders.read(force=True)
