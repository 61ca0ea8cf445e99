"""Where a request is received: first whether it belongs to a known ask, then whether there is room. Pure.

A try that joins a running ask, or gets a remembered answer, brings no work: it passes while the door is shut.
"""

from typing import Generic, TypeVar

from quincepath.asks.registry import AskRegistry, Begin, Decision, RegistryLimits, Try
from quincepath.limits.admission import Admission, AdmissionBounds, Cost
from quincepath.limits.gate import Rejection
from quincepath.limits.memory import Pressure

R = TypeVar("R")


class AskIntake(Generic[R]):
    """Book and admission of one broker."""

    def __init__(self, limits: RegistryLimits, bounds: AdmissionBounds, seed: int) -> None:
        self.registry: AskRegistry[R] = AskRegistry(limits)
        self.admission = Admission(bounds, seed)
        self.door = self.admission.gate

    def find(self, now: int, attempt: Try) -> int | None:
        """The ask that this try belongs to, running or remembered."""
        return self.registry.find(now, attempt)

    def arrive(self, now: int, attempt: Try, cost: Cost | None, lingering: int) -> Decision[R] | Rejection:
        """``cost`` is what it brings as an ask of its own, None where it is known to belong to one.

        ``lingering``: parts of ended queries that are still out.
        """
        if cost is not None and self.registry.find(now, attempt) is None:
            away = self.admission.admit(now, self.registry.next_ask(), cost, lingering)
            if away is not None:
                return away
            decision = self.registry.arrive(now, attempt)
            if not isinstance(decision, Begin):
                self.admission.ended(self.registry.next_ask())
            return decision
        return self.registry.arrive(now, attempt)

    def set_pressure(self, pressure: Pressure) -> None:
        """How pressed for memory the process is: remembered answers go first."""
        self.admission.pressure = pressure
        self.registry.remembers = pressure is Pressure.NONE
        if not self.registry.remembers:
            self.registry.forget_all()


__all__ = ["Begin", "AskIntake", "Try", "Rejection"]
