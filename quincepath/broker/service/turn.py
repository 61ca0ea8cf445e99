"""The turn: one batch of what came in to the driver, its orders to the edge.

In each turn everything that came in is kept by the dispatcher; at the turn's end the driver gets it as one
batch and its orders are carried out. What ends at once meanwhile (a dial that is refused on the spot) is the
next batch, in the next turn.
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
from quincepath.net.loop import Loop, Timer
from quincepath.orders import AttemptEnded, Breach, LogLine, RefreshMembership, StartCall, StopAttempt
from quincepath.upstream.pool import Upstream


class Turn:
    """The loop's turn hook is ``run``; ``after`` is called at the end of each."""

    def __init__(
        self,
        loop: Loop,
        driver: Driver,
        clients: Clients,
        holders: Holders,
        extensions: Extensions,
        telemetry: Telemetry,
        after: Callable[[], None],
    ) -> None:
        self.loop, self.driver, self.clients, self.holders = loop, driver, clients, holders
        self.extensions, self.telemetry, self.after = extensions, telemetry, after
        self.dispatcher = clients.dispatcher
        self.upstream: Upstream  # set by the broker: it reports to ``ended``
        self._due: Timer | None = None
        self._due_at = 0

    def on_attempt_ended(self, ended: AttemptEnded) -> None:
        """An attempt ended; it is in the next batch."""
        part = self.driver.parts.get(ended.part)
        if part is not None:
            self.telemetry.record_attempt(part, ended, self.holders.name(part.attempts[ended.attempt].node))
            self.extensions.on_attempt_ended(self.loop.now, part, ended)
        self.dispatcher.enqueue(ended)

    def run(self) -> None:
        """One batch to the driver, its orders to the edge."""
        if self.dispatcher.due(self.loop.now):
            began = time.monotonic_ns()
            for order in self.dispatcher.step(self.loop.now):
                self._carry_out(order)
            self.telemetry.metrics.turn_seconds.observe((time.monotonic_ns() - began) / 1e9)
        due = self.dispatcher.next_due()
        if due is not None and (self._due is None or self._due.call is None or due < self._due_at):
            if self._due is not None:
                self._due.cancel()
            self._due_at = max(due, self.loop.now)
            self._due = self.loop.call_at(self._due_at, lambda: None)  # ends the wait; the hook does the rest
        self.after()

    def _carry_out(self, order: Any) -> None:
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
                self.telemetry.log.warning("module", text=text)
            case Breach(name, detail):
                self.telemetry.metrics.contract_breaches.labels(name).inc()
                self.telemetry.log.error("contract broken, made harmless", name=name, detail=detail)
            case RefreshMembership():
                self.holders.read(force=True)
