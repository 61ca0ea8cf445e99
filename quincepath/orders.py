"""Inputs and orders of the driver: plain values without protocol or socket.

Times are whole nanoseconds of one monotonic clock. A *handle* is the number that the I/O layer gives a
client's ask; the driver returns it unaltered. Bodies and payloads are opaque: only fronts and the upstream
interpret them.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from quincepath.interface import Allowance, Members, NodeId, Result


@dataclass(slots=True, frozen=True)
class PartRequest:
    """What to fetch from one shard. The weights of all parts of one step sum to 1."""

    shard: int
    weight: float
    payload: Any


FollowUp = Callable[[Mapping[int, Any]], tuple[PartRequest, ...]]


@dataclass(slots=True, frozen=True)
class Ask:
    """A client's query, split into parts. ``follow`` builds the second step from the bodies by shard."""

    handle: int
    kind: int
    time_left: int
    parts: tuple[PartRequest, ...]
    tenant: int = 0
    key: int = 0
    repeat: bool = False
    follow: FollowUp | None = None
    name: str = ""  # the client's id, for logs and records only


# --- inputs ---


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A query was accepted; from now on it must get exactly one final answer."""

    ask: Ask


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended. ``body`` is the decoded answer if the result is OK, else ``cause`` says why not.

    ``report`` holds the values of a load report received with it, in the order of the settings. ``doubtful``:
    the node sent a whole reply that may have been valid, so that its part may have been answered.
    """

    part: int
    attempt: int
    result: Result
    body: Any = None
    cause: str = ""
    report: tuple[float, ...] = ()
    doubtful: bool = False


@dataclass(slots=True, frozen=True)
class ReplyHeld:
    """A whole reply to an attempt has arrived and is being checked; its ``AttemptEnded`` follows soon."""

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client of a query disconnected, so no answer can be delivered."""

    handle: int


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The list of holders changed, or could not be read."""

    members: Members


@dataclass(slots=True, frozen=True)
class AllowanceUpdate:
    """The share of the fleet's budgets that this broker may spend; passed to the decision module."""

    allowance: Allowance


@dataclass(slots=True, frozen=True)
class LateReply:
    """A good reply to an attempt that has ended as timed out; ``body`` is None if it is doubtful."""

    part: int
    attempt: int
    body: Any


Input = QueryArrived | AttemptEnded | ReplyHeld | LateReply | ClientLeft | MembershipUpdate | AllowanceUpdate


# --- orders ---


class Verdict(Enum):
    """How a query ended. Each query has exactly one verdict."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class AttemptOrder:
    """One attempt of one part, abandoned at ``deadline``.

    The I/O layer may hold it back while it waits for a connection or for a full socket. The first byte must
    be sent by ``send_start_by`` and the last by ``send_complete_by``, otherwise the attempt is not made.
    ``send_start_by <= send_complete_by <= deadline``. ``kind`` is the class of its query. ``reason`` says for
    logs why a further attempt begins.
    """

    part: int
    attempt: int
    shard: int
    step: int
    send_start_by: int
    send_complete_by: int
    deadline: int
    payload: Any
    query_name: str
    ask: int = 0  # handle of the ask that it belongs to
    kind: int = 0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class StartCall:
    """Send these attempts to a node in one call."""

    node: NodeId
    attempts: tuple[AttemptOrder, ...]


@dataclass(slots=True, frozen=True)
class StopAttempt:
    """Stop waiting for an attempt; its ``AttemptEnded`` must still be reported."""

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Drop an attempt that is not yet sent in full; one that is sent in full continues.

    Its ``AttemptEnded`` must still be reported. Unlike ``StopAttempt`` this is not the decision module's
    choice: the part already has a result, or its query is over.
    """

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class NodeSendDeadline:
    """No attempt may start to be sent to this node, which drains or is gone, after ``at``."""

    node: NodeId
    at: int


@dataclass(slots=True, frozen=True)
class AttemptSendDeadline:
    """This attempt may not start to be sent after ``at``: its part may have been answered."""

    part: int
    attempt: int
    at: int


@dataclass(slots=True, frozen=True)
class Finish:
    """The one final answer. ``bodies`` holds the results of received parts, as (step, shard, body)."""

    handle: int
    verdict: Verdict
    whole: bool
    parts_in: int
    parts_asked: int
    bodies: tuple[tuple[int, int, Any], ...]
    retry_in: int
    cause: str
    attempts: int
    took: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """A log line for operators, written by the decision module."""

    text: str


@dataclass(slots=True, frozen=True)
class Breach:
    """A violated contract between driver and module, without effect; ``name`` is one of a fixed set."""

    name: str
    detail: str


@dataclass(slots=True, frozen=True)
class RefreshMembership:
    """Read the list of holders again, as the decision module requests."""


Order = (
    StartCall
    | StopAttempt
    | Withdraw
    | NodeSendDeadline
    | AttemptSendDeadline
    | Finish
    | LogLine
    | Breach
    | RefreshMembership
)
