"""The pending queue as the dispatcher sees it: asks that wait for a fair-queueing slot.

The protocol stands between the dispatcher and its implementation in ``fair_pending``, so that neither imports
the other. It loads nothing of ``limits.fair``: without slots in the configuration there is no queue.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from quincepath.orders import Ask, AttemptEnded, Finish, QueryArrived, StartCall

if TYPE_CHECKING:
    from quincepath.limits.fair import Footprint

QUEUE_REFUSAL = "no turn: "  # prefix of the cause of a refusal by the queue


@dataclass(slots=True, frozen=True)
class SchedulingInfo:
    """What the queue needs to know of an ask. ``target``: ns from its arrival; ``deadline``: broker clock."""

    tenant: str
    footprint: "Footprint"
    target: int
    deadline: int


class PendingQueue(Protocol):
    """Admitted asks that have no slot yet, and the slot time of running asks. Times in ns."""

    def enqueue(self, now: int, ask: Ask, scheduling: SchedulingInfo) -> None:
        """An ask was admitted."""

    def attempts_started(self, now: int, order: StartCall) -> None:
        """Attempts are sent."""

    def attempt_ended(self, now: int, item: AttemptEnded) -> None:
        """An attempt has ended."""

    def ask_ended(self, now: int, handle: int, finish: Finish | None) -> None:
        """An ask is over; without ``finish`` all its clients had left."""

    def next_due(self) -> int | None:
        """When ``step`` must be called; 0: now."""

    def step(self, now: int) -> tuple[list[QueryArrived], list[Finish]]:
        """Asks that run from now on, and asks that are refused."""
