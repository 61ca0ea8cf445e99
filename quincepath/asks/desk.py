"""Where a request is received: first whether it belongs to a known ask, then whether there is room. Pure.

A try that joins a running ask, or gets a remembered answer, brings no work: it passes while the door is shut.
"""

from typing import Generic, TypeVar

from quincepath.asks.book import Begin, Book, BookLimits, Decision, Try
from quincepath.limits.door import Bounds, Door, TurnAway

R = TypeVar("R")


class Desk(Generic[R]):
    """Book and door of one broker."""

    def __init__(self, book: BookLimits, door: Bounds, seed: int) -> None:
        self.book: Book[R] = Book(book)
        self.door = Door(door, seed)

    def known(self, now: int, attempt: Try) -> int | None:
        """The ask that this try belongs to, running or remembered."""
        return self.book.find(now, attempt)

    def arrive(self, now: int, attempt: Try, held: int, work: int) -> Decision[R] | TurnAway:
        """``held`` queries and parts are open or on their way in; as an ask of its own this adds ``work``."""
        if self.book.find(now, attempt) is None:
            away = self.door.admit(now, held, work)
            if away is not None:
                return away
        return self.book.arrive(now, attempt)


__all__ = ["Begin", "Desk", "Try", "TurnAway"]
