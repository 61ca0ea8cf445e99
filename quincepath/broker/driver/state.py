"""What the driver holds of each query, part and attempt, and what it needs of the module."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from quincepath.interface import Action, Event, NodeId
from quincepath.orders import Ask, PartRequest


class DecisionModule(Protocol):
    """What the driver needs of the decisions: all events of a moment in, all actions out."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in the events, then decide."""
        ...


@dataclass(slots=True)
class Attempt:
    """One send of a part, to one holder."""

    node: NodeId
    sent: int
    ended: bool = False
    never_ran: bool = False  # that is proved; until it has ended it may run


@dataclass(slots=True)
class OpenPart:
    """A part of a query, with its attempts in the order of their sends."""

    id: int
    query: "OpenQuery"
    ask: PartRequest
    step: int
    attempts: list[Attempt] = field(default_factory=list)
    body: Any = None
    ok: bool = False

    def in_flight(self) -> bool:
        """Whether an attempt has not ended."""
        return any(not attempt.ended for attempt in self.attempts)

    def first_possible_run(self) -> int | None:
        """When the first attempt that may have run, or may yet, was sent."""
        return next((attempt.sent for attempt in self.attempts if not attempt.never_ran), None)


@dataclass(slots=True)
class OpenQuery:
    """A query that has not been forgotten; ``over`` once its final answer is out."""

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
        """Weight of the parts of a step that are in."""
        return sum(part.ask.weight for part in self.parts if part.step == step and part.ok)
