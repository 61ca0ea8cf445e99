"""Attempts waiting to be sent to a node, and until when they may still be sent. Pure.

The driver says by when an attempt's first and last byte must be sent; a list update may bring the first
limit forward. Both limits are checked here at the moments that count: at the first byte and at the last.
"""

from dataclasses import dataclass, field
from typing import Protocol

from quincepath.orders import AttemptOrder

Key = tuple[int, int]


class ScheduledCall(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """Cancel the timer."""
        ...


class Carrier(Protocol):
    """The connection on which an attempt is queued or was sent."""

    def send_started(self, attempt: "OutgoingAttempt") -> bool:
        """Whether a byte of its frame may have been sent."""
        ...

    def read_arrived(self) -> None:
        """Read replies that have arrived, ahead of the loop's next turn."""
        ...

    def holds_reply(self, attempt: "OutgoingAttempt") -> bool:
        """Whether a whole reply to it has arrived and is being checked."""
        ...

    def cancel(self, attempt: "OutgoingAttempt") -> bool:
        """Cancel an attempt that nobody waits for; returns whether it certainly never ran."""
        ...


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """One attempt that was started and has not ended."""

    key: Key
    order: AttemptOrder
    id: bytes
    send_start_by: int  # the order's limit, or an earlier one set since
    carrier: Carrier | None = None
    written: bool = False  # its frame is in the stream: only closing the connection keeps it from being sent
    sent: bool = False  # its last byte was accepted by the operating system
    timed_out: bool = False  # a good reply to it still counts: it may be on its way
    reply_held: bool = False  # a whole reply that is being checked was reported
    timer: ScheduledCall | None = None

    def may_begin(self, now: int) -> bool:
        """Whether its first byte may be sent now."""
        return now <= self.send_start_by

    def expires_at(self) -> int:
        """When the attempt ends if nothing else happens."""
        if self.sent:
            return self.order.deadline
        begun = self.written and self.carrier is not None and self.carrier.send_started(self)
        return self.order.send_complete_by if begun else self.send_start_by


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """Attempts of one call whose frame is not being sent yet, or the bytes of a cancel frame."""

    attempts: list[OutgoingAttempt] = field(default_factory=list)
    data: bytes = b""
