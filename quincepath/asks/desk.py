"""Where a request is received: first whether it belongs to a known ask, then whether there is room. Pure.

A try that joins a running ask, or gets a remembered answer, brings no work: it passes while the door is shut.
"""

from typing import Generic, TypeVar

from quincepath.asks.book import Begin, Book, BookLimits, Decision, Try
from quincepath.limits.admission import Admission, AdmissionBounds, Cost
from quincepath.limits.gate import Rejection
from quincepath.limits.memory import Pressure

R = TypeVar("R")


class Desk(Generic[R]):
    """Book and admission of one broker."""

    def __init__(self, book: BookLimits, bounds: AdmissionBounds, seed: int) -> None:
        self.book: Book[R] = Book(book)
        self.admission = Admission(bounds, seed)
        self.door = self.admission.gate

    def known(self, now: int, attempt: Try) -> int | None:
        """The ask that this try belongs to, running or remembered."""
        return self.book.find(now, attempt)

    def arrive(self, now: int, attempt: Try, cost: Cost | None, lingering: int) -> Decision[R] | Rejection:
        """``cost`` is what it brings as an ask of its own, None where it is known to belong to one.

        ``lingering``: parts of ended queries that are still out.
        """
        if cost is not None and self.book.find(now, attempt) is None:
            away = self.admission.admit(now, self.book.next_ask(), cost, lingering)
            if away is not None:
                return away
            decision = self.book.arrive(now, attempt)
            if not isinstance(decision, Begin):
                self.admission.ended(self.book.next_ask())
            return decision
        return self.book.arrive(now, attempt)

    def press(self, pressure: Pressure) -> None:
        """How pressed for memory the process is: remembered answers go first."""
        self.admission.pressure = pressure
        self.book.remembers = pressure is Pressure.NONE
        if not self.book.remembers:
            self.book.forget_all()


__all__ = ["Begin", "Desk", "Try", "Rejection"]
