"""Attempts on their way to a node, and whether they may still leave. Pure.

The driver says until when an attempt may begin to leave and until when it must have left; news may bring the
first forward. Here that is kept at the moments that count: of the first byte, and of the last.
"""

from dataclasses import dataclass, field
from typing import Protocol

from quincepath.orders import AttemptOrder

Key = tuple[int, int]


class Pending(Protocol):
    """A call at a later time."""

    def cancel(self) -> None:
        """Never make it."""
        ...


class Carrier(Protocol):
    """The connection that an attempt waits for, or has left on."""

    def begun(self, part: "OutgoingAttempt") -> bool:
        """Whether a byte of its frame may have left."""
        ...

    def give_up(self, part: "OutgoingAttempt") -> bool:
        """Nobody waits for an attempt any more; tells whether it certainly never ran."""
        ...


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """One attempt that is out at the edge."""

    key: Key
    order: AttemptOrder
    id: bytes
    leave_by: int  # the order's, or earlier since then
    carrier: Carrier | None = None
    written: bool = False  # its frame is with the stream: only the connection's end keeps it from leaving
    handed: bool = False  # its last byte is with the system
    timer: Pending | None = None

    def may_begin(self, now: int) -> bool:
        """Whether its first byte may go out now."""
        return now <= self.leave_by

    def due(self) -> int:
        """When it is over unless something happens."""
        if self.handed:
            return self.order.deadline
        begun = self.written and self.carrier is not None and self.carrier.begun(self)
        return self.order.send_complete_by if begun else self.leave_by


@dataclass(slots=True, eq=False)
class Frame:
    """Parts of one call whose frame has not begun to leave, or bytes that tell of a part given up."""

    parts: list[OutgoingAttempt] = field(default_factory=list)
    data: bytes = b""
