"""The driver's state of each query, part and attempt, and the interface of the decision module."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from quincepath.interface import Action, Event, NodeId
from quincepath.orders import Ask, PartRequest

NEVER = 1 << 62  # ns, a time that is never reached


class DecisionModule(Protocol):
    """Takes all events of one moment and returns all actions."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Process the events, then decide."""
        ...


@dataclass(slots=True)
class Attempt:
    """One send of a part to one holder."""

    node: NodeId
    sent: int
    ended: bool = False
    never_ran: bool = False  # proved; an attempt that has not ended may still run
    cause: str = ""  # why it ended
    held_at: int | None = None  # when a whole reply to it arrived that is being checked


@dataclass(slots=True)
class OpenPart:
    """A part of a query, with its attempts in the order in which they were sent."""

    id: int
    query: "OpenQuery"
    ask: PartRequest
    step: int
    attempts: list[Attempt] = field(default_factory=list)
    body: Any = None
    ok: bool = False
    retry_by: int = NEVER  # latest start of a further attempt: the part may have been answered

    def reply_held(self) -> bool:
        """Whether a whole reply to one of its attempts is being checked."""
        return any(attempt.held_at is not None and not attempt.ended for attempt in self.attempts)

    def in_flight(self) -> bool:
        """Whether at least one attempt has not ended."""
        return any(not attempt.ended for attempt in self.attempts)

    def retry_reason(self) -> str:
        """Why a further attempt begins: how each earlier one ended; empty for the first."""
        if not self.attempts:
            return ""
        return "; ".join(attempt.cause if attempt.ended else "late" for attempt in self.attempts)

    def first_possible_run(self) -> int | None:
        """When the first attempt that may have run, or may still run, was sent."""
        return next((attempt.sent for attempt in self.attempts if not attempt.never_ran), None)


@dataclass(slots=True)
class OpenQuery:
    """A query that the driver still tracks; ``over`` once its final answer is given."""

    id: int
    ask: Ask
    began: int
    deadline: int
    parts: list[OpenPart]
    step: int = 1
    whole: bool = True
    over: bool = False
    sent: int = 0
    sent_at: int = -1

    def weight_received(self, step: int) -> float:
        """Total weight of the parts of a step that have a result."""
        return sum(part.ask.weight for part in self.parts if part.step == step and part.ok)
