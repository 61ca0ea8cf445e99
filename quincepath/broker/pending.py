"""The pending queue as the reception sees it: what waits for a fair-queueing slot, and what it must do.

It stands between the reception and the waiting room, so that neither imports the other. Nothing of
``limits.fair`` is loaded by it: without slots in the configuration there is no queue.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from quincepath.orders import Ask, AttemptEnded, Finish, QueryArrived, StartCall

if TYPE_CHECKING:
    from quincepath.limits.fair import Footprint

QUEUE_REFUSAL = "no turn: "  # how the cause of a refusal by the queue begins


@dataclass(slots=True, frozen=True)
class SchedulingInfo:
    """What the queue has to know of an ask. ``target``: ns from its arrival; ``deadline``: own clock."""

    tenant: str
    footprint: "Footprint"
    target: int
    deadline: int


class PendingQueue(Protocol):
    """Asks that admission took and that have no slot yet, and the slot time of those that run. Times: ns."""

    def enqueue(self, now: int, ask: Ask, scheduling: SchedulingInfo) -> None:
        """An ask that admission took."""

    def attempts_started(self, now: int, order: StartCall) -> None:
        """Attempts go out."""

    def attempt_ended(self, now: int, item: AttemptEnded) -> None:
        """An attempt has ended."""

    def ask_ended(self, now: int, handle: int, finish: Finish | None) -> None:
        """An ask is over; without ``finish`` its clients had left."""

    def next_due(self) -> int | None:
        """When ``step`` must be called; 0: now."""

    def step(self, now: int) -> tuple[list[QueryArrived], list[Finish]]:
        """Asks that run from now on, and those that are refused."""
