"""The interface of the broker's subsystems: they may reject queries and are notified of their progress."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from quincepath.asks.registry import Try
from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.limits.gate import Rejection
from quincepath.net.client_connection import Exchange
from quincepath.orders import Ask, AttemptEnded, StartCall


@dataclass(slots=True, frozen=True)
class Arrival:
    """A query that is about to begin: its try, the ask for the driver, and its plan."""

    attempt: Try
    ask: Ask
    plan: Plan


class Extension(Protocol):
    """Base class of extensions: methods that an extension does not override do nothing.

    All are called on the loop, ``now`` is the loop's time in nanoseconds, and none may block or raise.
    """

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        """Return a rejection of a new query, or None. Called before admission and before any part is sent."""
        return None

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        """A query that all extensions admitted did not begin: admission rejected it, or it joined an ask."""
        return

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """A try has started an ask; ``headers`` are those of its request."""
        return

    def on_call_sent(self, now: int, order: StartCall) -> None:
        """A call is sent to a holder."""
        return

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """An attempt has ended."""
        return

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """An ask is over; called exactly once for each ask, whatever ended it."""
        return

    def handle_request(self, exchange: Exchange) -> bool:
        """Handle a request to the metrics listener; return True if it has been answered."""
        return False

    def drain(self) -> None:
        """The broker accepts no more queries; open queries continue."""
        return

    def close(self) -> None:
        """Release all resources."""
        return


class Extensions(Extension):
    """All extensions of a broker, called in the order of their addition. The first rejection counts."""

    def __init__(self) -> None:
        self.all: list[Extension] = []

    def add(self, extension: Extension) -> None:
        """Add an extension; it is notified from now on."""
        self.all.append(extension)

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        """Return the first rejection; later extensions are not called."""
        for extension in self.all:
            rejection = extension.admit(now, arrival)
            if rejection is not None:
                return rejection
        return None

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        """Notify all extensions."""
        for extension in self.all:
            extension.on_not_begun(now, arrival)

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        """Notify all extensions."""
        for extension in self.all:
            extension.on_ask_begun(now, ask, headers)

    def on_call_sent(self, now: int, order: StartCall) -> None:
        """Notify all extensions."""
        for extension in self.all:
            extension.on_call_sent(now, order)

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """Notify all extensions."""
        for extension in self.all:
            extension.on_attempt_ended(now, part, item)

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """Notify all extensions."""
        for extension in self.all:
            extension.on_ask_ended(now, ended)

    def handle_request(self, exchange: Exchange) -> bool:
        """Offer the request to each extension until one answers it."""
        return any(extension.handle_request(exchange) for extension in self.all)

    def drain(self) -> None:
        """Drain all extensions."""
        for extension in self.all:
            extension.drain()

    def close(self) -> None:
        """Close all extensions."""
        for extension in self.all:
            extension.close()
