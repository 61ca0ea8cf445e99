"""Intake of requests: first matched to a known ask, then subject to admission. Pure.

A try that joins a running ask or gets a remembered answer adds no work, so it is accepted even while the
admission gate rejects new asks.
"""

from typing import Generic, TypeVar

from quincepath.asks.registry import AskRegistry, Begin, Decision, RegistryLimits, Try
from quincepath.limits.admission import Admission, AdmissionBounds, Cost
from quincepath.limits.gate import Rejection
from quincepath.limits.memory import Pressure

R = TypeVar("R")


class AskIntake(Generic[R]):
    """Registry of asks and admission of one broker."""

    def __init__(self, limits: RegistryLimits, bounds: AdmissionBounds, seed: int) -> None:
        self.registry: AskRegistry[R] = AskRegistry(limits)
        self.admission = Admission(bounds, seed)
        self.gate = self.admission.gate

    def find(self, now: int, request: Try) -> int | None:
        """The ask, running or remembered, that this try belongs to; None if there is none."""
        return self.registry.find(now, request)

    def arrive(self, now: int, request: Try, cost: Cost | None, lingering: int) -> Decision[R] | Rejection:
        """Match a try to an ask, or admit it as a new one.

        ``cost`` is the cost of a new ask, None if the try is known to belong to an existing one.
        ``lingering``: parts of ended queries that still have open attempts.
        """
        if cost is not None and self.registry.find(now, request) is None:
            rejection = self.admission.admit(now, self.registry.next_ask(), cost, lingering)
            if rejection is not None:
                return rejection
            decision = self.registry.arrive(now, request)
            if not isinstance(decision, Begin):
                self.admission.ended(self.registry.next_ask())
            return decision
        return self.registry.arrive(now, request)

    def set_pressure(self, pressure: Pressure) -> None:
        """Set the memory pressure of the process; remembered answers are dropped first."""
        self.admission.pressure = pressure
        self.registry.remembers = pressure is Pressure.NONE
        if not self.registry.remembers:
            self.registry.forget_all()


__all__ = ["AskIntake", "Begin", "Try", "Rejection"]
