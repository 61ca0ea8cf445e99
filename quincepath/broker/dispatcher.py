"""Tries in, answers out: the book of asks, the door and the driver as one pure state machine.

What runs on sockets and what runs in the laboratory differ in who calls this and who carries the orders out.
``C`` is what the edge wants to know again of an ask (its plan), ``R`` is a reply as the edge sends it.

    arrive(now, try, ask, context)  a request; the decision says whether it is owed an answer later
    left(now, handle)               its client has gone
    note(input)                     what else came in: ends of attempts, news of the list
    step(now)                       one batch to the module; orders, among them ``TryAnswer`` and ``AskEnded``
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
    """A final answer as the edge sends it, its size in bytes, and how it counts."""

    reply: R
    size: int
    verdict: Verdict


Render = Callable[[Finish, C], Rendered[R]]


@dataclass(slots=True, frozen=True)
class TryAnswer(Generic[R]):
    """Send this to the try: its one final answer. No reply: its own time is up while its ask goes on."""

    handle: int
    reply: R | None
    how: MatchKind
    run: str  # under which name the ask's parts went to holders
    ask: int


@dataclass(slots=True, frozen=True)
class AskEnded(Generic[C, R]):
    """An ask is over, once, whatever the number of its tries; without ``finish`` all its clients had left."""

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
    """One a broker. ``pending``: where asks wait for a slot; None: each goes to the driver at once."""

    def __init__(
        self, driver: Driver, desk: AskIntake[R], render: Render[C, R], pending: PendingQueue | None = None
    ) -> None:
        self.driver, self.desk, self.render, self.pending = driver, desk, render, pending
        self._running: dict[int, _Running[C]] = {}
        self._inbox: list[Input] = []
        self._ended: list[AskEnded[C, R]] = []

    def running(self) -> int:
        """Asks that have not ended."""
        return len(self._running)

    def known(self, now: int, attempt: Try) -> tuple[bool, C | None]:
        """Whether the try belongs to an ask that is known, and the context of that ask while it runs."""
        ask = self.desk.find(now, attempt)
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
        """A request; ``ask`` and ``context`` are needed only where it is not known. ``Begin`` has begun.

        ``worth`` is its class's from 0 to 1, ``size`` the bytes of the request; ``scheduling`` is needed
        where there is a pending queue.
        """
        cost = Cost(attempt.client, ask.kind, worth, 1 + len(ask.parts), size) if ask else None
        # A burst in one turn counts as it comes: the driver gets it only with the next step.
        decision = self.desk.arrive(now, attempt, cost, self.driver.lingering_count())
        if isinstance(decision, Begin):
            if ask is None or context is None:
                raise ValueError("a try of an unknown ask came without what to run")
            self._begin(now, replace(ask, handle=decision.ask), context, scheduling)
        return decision

    def _begin(self, now: int, ask: Ask, context: C, scheduling: SchedulingInfo | None) -> None:
        self._running[ask.handle] = _Running(ask, context, scheduling)
        if self.pending is None or scheduling is None:
            self._inbox.append(QueryArrived(ask))
        else:
            self.pending.enqueue(now, ask, scheduling)

    def client_left(self, now: int, handle: int) -> None:
        """The client of a try has gone."""
        drop = self.desk.registry.client_left(now, handle)
        if drop is not None:
            self._drop(now, drop)

    def _drop(self, now: int, drop: DropAsk) -> None:
        running = self._running.pop(drop.ask, None)
        if running is not None:
            if self.pending is not None:
                self.pending.ask_ended(now, drop.ask, None)
            self.desk.admission.ended(drop.ask)
            self._inbox.append(ClientLeft(drop.ask))
            self._ended.append(AskEnded(running.context, running.ask.name, None, None, 0, drop.ask))

    def enqueue(self, item: Input) -> None:
        """Something else came in; it is in the next batch."""
        self._inbox.append(item)

    def due(self, now: int) -> bool:
        """Whether a step is due."""
        when = self.next_due()
        return when is not None and when <= now

    def next_due(self) -> int | None:
        """When ``step`` must be called at the latest; now, as 0, where something is in the inbox."""
        if self._inbox or self._ended:
            return 0
        room = self.pending.next_due() if self.pending is not None else None
        dues = [
            due for due in (self.driver.next_due(), self.desk.registry.next_due(), room) if due is not None
        ]
        return min(dues, default=None)

    def step(self, now: int) -> list[Order | TryAnswer[R] | AskEnded[C, R]]:
        """One batch: what came in, what is due, and what the module makes of it."""
        orders: list[Order | TryAnswer[R] | AskEnded[C, R]] = []
        if self.pending is not None:
            self._turns(now, self.pending, orders)
        inbox, self._inbox = self._inbox, []
        # Replies of this batch come first: a try whose time is up now gets the answer that is there.
        for order in self.driver.step(now, inbox):
            if isinstance(order, Finish):
                self._finish(now, order, orders)
            else:
                orders.append(order)
                if self.pending is not None and isinstance(order, StartCall):
                    self.pending.attempts_started(now, order)
        for expired in self.desk.registry.expire(now):
            if isinstance(expired, DropAsk):
                self._drop(now, expired)
            else:
                orders.append(TryAnswer(expired.handle, None, MatchKind.RETRY, "", 0))
        ended, self._ended = self._ended, []
        return [*orders, *ended]

    def _turns(
        self, now: int, pending: PendingQueue, orders: list[Order | TryAnswer[R] | AskEnded[C, R]]
    ) -> None:
        """What came frees slots; whose turn it is joins this batch, who has none is answered."""
        for item in self._inbox:
            if isinstance(item, AttemptEnded):
                pending.attempt_ended(now, item)
        runs, refused = pending.step(now)
        self._inbox.extend(runs)
        for finish in refused:
            self._finish(now, finish, orders)

    def _finish(self, now: int, finish: Finish, orders: list[Order | TryAnswer[R] | AskEnded[C, R]]) -> None:
        running = self._running.pop(finish.handle, None)
        if running is None:
            return
        if self.pending is not None:
            self.pending.ask_ended(now, finish.handle, finish)
        said = self.render(finish, running.context)
        answered = said.verdict is Verdict.ANSWERED
        owed = self.desk.registry.finish(now, finish.handle, said.reply, said.size, answered)
        for one in owed:
            if isinstance(one, Restart):
                time_left = one.deadline - now
                name = one.name or running.ask.name
                again = replace(running.ask, handle=one.ask, time_left=time_left, repeat=False, name=name)
                self.desk.admission.renumber(finish.handle, one.ask)
                scheduling = running.scheduling
                if scheduling is not None:
                    scheduling = replace(scheduling, deadline=one.deadline)
                self._begin(now, again, running.context, scheduling)
            else:
                orders.append(TryAnswer(one.handle, said.reply, one.kind, running.ask.name, finish.handle))
        self.desk.admission.ended(finish.handle, said.size if answered else 0)
        orders.append(
            AskEnded(running.context, running.ask.name, finish, said.reply, len(owed), finish.handle)
        )
