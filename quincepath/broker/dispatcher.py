"""Coordinates the ask registry, admission, the pending queue and the driver as one pure state machine.

Tries come in, answers go out. Production and the laboratory differ only in who calls the dispatcher and who
executes its orders. ``C`` is the context that the edge keeps with an ask (its plan), ``R`` is a reply as the
edge sends it.

    arrive(now, try, ask, context)  a request; the decision says whether it gets an answer later
    client_left(now, handle)        the client of a try has left
    enqueue(input)                  any other input: ends of attempts, changes of the list of holders
    step(now)                       one batch to the decision module; returns orders, among them ``TryAnswer``
                                    and ``AskEnded``
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from quincepath.asks.intake import AskIntake
from quincepath.asks.registry import Begin, Decision, DropAsk, MatchKind, Restart, Try
from quincepath.broker.driver import Driver
from quincepath.broker.pending import PendingQueue, SchedulingInfo
from quincepath.limits.admission import Cost
from quincepath.limits.gate import Rejection
from quincepath.orders import (
    Ask,
    AttemptEnded,
    ClientLeft,
    Finish,
    Input,
    Order,
    QueryArrived,
    StartCall,
    Verdict,
)

C = TypeVar("C")
R = TypeVar("R")


@dataclass(slots=True, frozen=True)
class Rendered(Generic[R]):
    """A final answer as the edge sends it, its size in bytes, and its verdict."""

    reply: R
    size: int
    verdict: Verdict


Render = Callable[[Finish, C], Rendered[R]]


@dataclass(slots=True, frozen=True)
class TryAnswer(Generic[R]):
    """Send this final answer to the try. Without a reply, its time is up while its ask goes on."""

    handle: int
    reply: R | None
    kind: MatchKind
    run: str  # name under which the ask's parts went to holders
    ask: int


@dataclass(slots=True, frozen=True)
class AskEnded(Generic[C, R]):
    """An ask is over; reported once, however many tries it had. Without ``finish`` all its clients left."""

    context: C
    name: str
    finish: Finish | None
    reply: R | None
    tries: int
    ask: int


@dataclass(slots=True)
class _Running(Generic[C]):
    ask: Ask
    context: C
    scheduling: SchedulingInfo | None = None


class Dispatcher(Generic[C, R]):
    """One per broker. ``pending``: asks that wait for a slot; None: each ask goes to the driver at once."""

    def __init__(
        self, driver: Driver, intake: AskIntake[R], render: Render[C, R], pending: PendingQueue | None = None
    ) -> None:
        self.driver, self.intake, self.render, self.pending = driver, intake, render, pending
        self._running: dict[int, _Running[C]] = {}
        self._inbox: list[Input] = []
        self._ended: list[AskEnded[C, R]] = []

    def running(self) -> int:
        """Number of asks that have not ended."""
        return len(self._running)

    def known(self, now: int, attempt: Try) -> tuple[bool, C | None]:
        """Whether the try belongs to a known ask, and the context of that ask while it runs."""
        ask = self.intake.find(now, attempt)
        running = self._running.get(ask) if ask is not None else None
        return ask is not None, running.context if running else None

    def arrive(
        self,
        now: int,
        attempt: Try,
        ask: Ask | None,
        context: C | None,
        worth: float = 1.0,
        size: int = 0,
        scheduling: SchedulingInfo | None = None,
    ) -> "Decision[R] | Rejection":
        """Handle a request; a decision ``Begin`` means that its ask was started or queued.

        ``ask`` and ``context`` are needed only if the try belongs to no known ask. ``worth`` of its class is
        0 to 1, ``size`` is the bytes of the request; ``scheduling`` is needed where there is a pending queue.
        """
        cost = Cost(attempt.client, ask.kind, worth, 1 + len(ask.parts), size) if ask else None
        # Admission counts each ask of a burst as it arrives: the driver gets them only with the next step.
        decision = self.intake.arrive(now, attempt, cost, self.driver.lingering_count())
        if isinstance(decision, Begin):
            if ask is None or context is None:
                raise ValueError("a try that belongs to no known ask needs an ask and a context")
            self._begin(now, replace(ask, handle=decision.ask), context, scheduling)
        return decision

    def _begin(self, now: int, ask: Ask, context: C, scheduling: SchedulingInfo | None) -> None:
        self._running[ask.handle] = _Running(ask, context, scheduling)
        if self.pending is None or scheduling is None:
            self._inbox.append(QueryArrived(ask))
        else:
            self.pending.enqueue(now, ask, scheduling)

    def client_left(self, now: int, handle: int) -> None:
        """The client of a try has left."""
        drop = self.intake.registry.client_left(now, handle)
        if drop is not None:
            self._drop(now, drop)

    def _drop(self, now: int, drop: DropAsk) -> None:
        running = self._running.pop(drop.ask, None)
        if running is not None:
            if self.pending is not None:
                self.pending.ask_ended(now, drop.ask, None)
            self.intake.admission.ended(drop.ask)
            self._inbox.append(ClientLeft(drop.ask))
            self._ended.append(AskEnded(running.context, running.ask.name, None, None, 0, drop.ask))

    def enqueue(self, item: Input) -> None:
        """Add any other input to the next batch."""
        self._inbox.append(item)

    def due(self, now: int) -> bool:
        """Whether a step is due."""
        when = self.next_due()
        return when is not None and when <= now

    def next_due(self) -> int | None:
        """When ``step`` must be called at the latest; 0 (now) if there is input."""
        if self._inbox or self._ended:
            return 0
        pending = self.pending.next_due() if self.pending is not None else None
        dues = [
            due
            for due in (self.driver.next_due(), self.intake.registry.next_due(), pending)
            if due is not None
        ]
        return min(dues, default=None)

    def step(self, now: int) -> list[Order | TryAnswer[R] | AskEnded[C, R]]:
        """Pass one batch of input and timers to the decision module; return the resulting orders."""
        orders: list[Order | TryAnswer[R] | AskEnded[C, R]] = []
        if self.pending is not None:
            self._schedule(now, self.pending, orders)
        inbox, self._inbox = self._inbox, []
        # Replies come before expiry, so that a try whose time is up now still gets an answer of this batch.
        for order in self.driver.step(now, inbox):
            if isinstance(order, Finish):
                self._finish(now, order, orders)
            else:
                orders.append(order)
                if self.pending is not None and isinstance(order, StartCall):
                    self.pending.attempts_started(now, order)
        for expired in self.intake.registry.expire(now):
            if isinstance(expired, DropAsk):
                self._drop(now, expired)
            else:
                orders.append(TryAnswer(expired.handle, None, MatchKind.RETRY, "", 0))
        ended, self._ended = self._ended, []
        return [*orders, *ended]

    def _schedule(
        self, now: int, pending: PendingQueue, orders: list[Order | TryAnswer[R] | AskEnded[C, R]]
    ) -> None:
        """Ended attempts free slots; asks that start join this batch, refused asks are answered."""
        for item in self._inbox:
            if isinstance(item, AttemptEnded):
                pending.attempt_ended(now, item)
        started, refused = pending.step(now)
        self._inbox.extend(started)
        for finish in refused:
            self._finish(now, finish, orders)

    def _finish(self, now: int, finish: Finish, orders: list[Order | TryAnswer[R] | AskEnded[C, R]]) -> None:
        running = self._running.pop(finish.handle, None)
        if running is None:
            return
        if self.pending is not None:
            self.pending.ask_ended(now, finish.handle, finish)
        rendered = self.render(finish, running.context)
        answered = rendered.verdict is Verdict.ANSWERED
        results = self.intake.registry.finish(now, finish.handle, rendered.reply, rendered.size, answered)
        for one in results:
            if isinstance(one, Restart):
                time_left = one.deadline - now
                name = one.name or running.ask.name
                again = replace(running.ask, handle=one.ask, time_left=time_left, repeat=False, name=name)
                self.intake.admission.renumber(finish.handle, one.ask)
                scheduling = running.scheduling
                if scheduling is not None:
                    scheduling = replace(scheduling, deadline=one.deadline)
                self._begin(now, again, running.context, scheduling)
            else:
                orders.append(
                    TryAnswer(one.handle, rendered.reply, one.kind, running.ask.name, finish.handle)
                )
        self.intake.admission.ended(finish.handle, rendered.size if answered else 0)
        orders.append(
            AskEnded(running.context, running.ask.name, finish, rendered.reply, len(results), finish.handle)
        )
