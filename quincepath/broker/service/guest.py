"""What a subsystem is to the broker: one object, told what happens and asked before a query runs."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from quincepath.asks.registry import Try
from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.limits.gate import Rejection
from quincepath.net.server import Exchange
from quincepath.orders import Ask, AttemptEnded, StartCall


@dataclass(slots=True, frozen=True)
class Arrival:
    """A query that would begin: the try that brings it, what it asks of holders, and its plan."""

    attempt: Try
    ask: Ask
    plan: Plan


class Guest(Protocol):
    """A guest inherits from this and writes the verbs that it needs; the others do nothing.

    All are called on the loop, ``now`` is the loop's time in nanoseconds, and none may wait or raise.
    """

    def arrive(self, now: int, arrival: Arrival) -> Rejection | None:
        """A query that is not known yet, before admission and before any part is sent; refuse it or not."""
        return None

    def turned(self, now: int, arrival: Arrival) -> None:
        """A query that all guests took did not begin: admission refused it, or it joined another."""
        return

    def began(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """A try has begun an ask; ``headers`` are its request's."""
        return

    def sent(self, now: int, order: StartCall) -> None:
        """A call goes to a holder."""
        return

    def came(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """An attempt ended."""
        return

    def ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """An ask is over; told once of each, whatever ended it."""
        return

    def request(self, exchange: Exchange) -> bool:
        """A request at the metrics' address; true where it has been answered here."""
        return False

    def drain(self) -> None:
        """The broker takes no more queries; those that are open go on."""
        return

    def close(self) -> None:
        """Give back what is held."""
        return


class Guests(Guest):
    """All guests of a broker, in the order they came; itself a guest. The first refusal counts."""

    def __init__(self) -> None:
        self.all: list[Guest] = []

    def add(self, guest: Guest) -> None:
        """From now on it is told."""
        self.all.append(guest)

    def arrive(self, now: int, arrival: Arrival) -> Rejection | None:
        for guest in self.all:
            away = guest.arrive(now, arrival)
            if away is not None:
                return away
        return None

    def turned(self, now: int, arrival: Arrival) -> None:
        for guest in self.all:
            guest.turned(now, arrival)

    def began(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        for guest in self.all:
            guest.began(now, ask, headers)

    def sent(self, now: int, order: StartCall) -> None:
        for guest in self.all:
            guest.sent(now, order)

    def came(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        for guest in self.all:
            guest.came(now, part, item)

    def ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        for guest in self.all:
            guest.ended(now, ended)

    def request(self, exchange: Exchange) -> bool:
        return any(guest.request(exchange) for guest in self.all)

    def drain(self) -> None:
        for guest in self.all:
            guest.drain()

    def close(self) -> None:
        for guest in self.all:
            guest.close()
