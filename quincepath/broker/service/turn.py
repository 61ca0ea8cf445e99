"""The turn: one batch of what came in to the driver, its orders to the edge.

In each turn everything that came in is kept by the reception; at the turn's end the driver gets it as one
batch and its orders are carried out. What ends at once meanwhile (a dial that is refused on the spot) is the
next batch, in the next turn.
"""

import time
from collections.abc import Callable
from typing import Any

from quincepath.broker.dispatcher import AskEnded, TryAnswer
from quincepath.broker.driver import Driver
from quincepath.broker.service.clients import Clients
from quincepath.broker.service.figures import Figures
from quincepath.broker.service.guest import Guests
from quincepath.broker.service.holders import Holders
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
        guests: Guests,
        figures: Figures,
        after: Callable[[], None],
    ) -> None:
        self.loop, self.driver, self.clients, self.holders = loop, driver, clients, holders
        self.guests, self.figures, self.after = guests, figures, after
        self.reception = clients.reception
        self.upstream: Upstream  # set by the broker: it reports to ``ended``
        self._due: Timer | None = None
        self._due_at = 0

    def ended(self, ended: AttemptEnded) -> None:
        """An attempt ended; it is in the next batch."""
        part = self.driver.parts.get(ended.part)
        if part is not None:
            self.figures.came(part, ended, self.holders.name(part.attempts[ended.attempt].node))
            self.guests.came(self.loop.now, part, ended)
        self.reception.enqueue(ended)

    def run(self) -> None:
        """One batch to the driver, its orders to the edge."""
        if self.reception.due(self.loop.now):
            began = time.monotonic_ns()
            for order in self.reception.step(self.loop.now):
                self._carry_out(order)
            self.figures.metrics.turn_seconds.observe((time.monotonic_ns() - began) / 1e9)
        due = self.reception.next_due()
        if due is not None and (self._due is None or self._due.call is None or due < self._due_at):
            if self._due is not None:
                self._due.cancel()
            self._due_at = max(due, self.loop.now)
            self._due = self.loop.call_at(self._due_at, lambda: None)  # ends the wait; the hook does the rest
        self.after()

    def _carry_out(self, order: Any) -> None:
        match order:
            case StartCall():
                self.guests.sent(self.loop.now, order)
                self.upstream.start(order)
            case StopAttempt(part, attempt):
                self.upstream.stop(part, attempt)
            case TryAnswer():
                self.clients.owed(order)
            case AskEnded():
                self.figures.ended(order)
                self.guests.ended(self.loop.now, order)
            case LogLine(text):
                self.figures.log.warning("module", text=text)
            case Breach(name, detail):
                self.figures.metrics.contract_breaches.labels(name).inc()
                self.figures.log.error("contract broken, made harmless", name=name, detail=detail)
            case RefreshMembership():
                self.holders.read(force=True)
