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


class Extension(Protocol):
    """A extension inherits from this and writes the verbs that it needs; the others do nothing.

    All are called on the loop, ``now`` is the loop's time in nanoseconds, and none may wait or raise.
    """

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        """A query that is not known yet, before admission and before any part is sent; refuse it or not."""
        return None

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        """A query that all extensions took did not begin: admission refused it, or it joined another."""
        return

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """A try has begun an ask; ``headers`` are its request's."""
        return

    def on_call_sent(self, now: int, order: StartCall) -> None:
        """A call goes to a holder."""
        return

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """An attempt ended."""
        return

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """An ask is over; told once of each, whatever ended it."""
        return

    def handle_request(self, exchange: Exchange) -> bool:
        """A request at the metrics' address; true where it has been answered here."""
        return False

    def drain(self) -> None:
        """The broker takes no more queries; those that are open go on."""
        return

    def close(self) -> None:
        """Give back what is held."""
        return


class Extensions(Extension):
    """All extensions of a broker, in the order they came; itself a extension. The first refusal counts."""

    def __init__(self) -> None:
        self.all: list[Extension] = []

    def add(self, extension: Extension) -> None:
        """From now on it is told."""
        self.all.append(extension)

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        for extension in self.all:
            away = extension.admit(now, arrival)
            if away is not None:
                return away
        return None

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        for extension in self.all:
            extension.on_not_begun(now, arrival)

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        for extension in self.all:
            extension.on_ask_begun(now, ask, headers)

    def on_call_sent(self, now: int, order: StartCall) -> None:
        for extension in self.all:
            extension.on_call_sent(now, order)

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        for extension in self.all:
            extension.on_attempt_ended(now, part, item)

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        for extension in self.all:
            extension.on_ask_ended(now, ended)

    def handle_request(self, exchange: Exchange) -> bool:
        return any(extension.handle_request(exchange) for extension in self.all)

    def drain(self) -> None:
        for extension in self.all:
            extension.drain()

    def close(self) -> None:
        for extension in self.all:
            extension.close()
