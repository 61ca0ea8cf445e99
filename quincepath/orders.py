"""What the driver is told and what it orders: plain values, no protocol, no socket.

Times are whole nanoseconds of one monotonic clock. A *handle* is the edge's own number of a client's ask;
the driver returns it unaltered. Bodies and payloads are opaque: fronts and the upstream know what is in them.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from quincepath.interface import Allowance, Members, NodeId, Result


@dataclass(slots=True, frozen=True)
class PartRequest:
    """One part: what to fetch at a shard; the weights of one step sum to 1."""

    shard: int
    weight: float
    payload: Any


FollowUp = Callable[[Mapping[int, Any]], tuple[PartRequest, ...]]


@dataclass(slots=True, frozen=True)
class Ask:
    """A client's query, cut into parts. ``follow`` makes the second step from the bodies by shard."""

    handle: int
    kind: int
    time_left: int
    parts: tuple[PartRequest, ...]
    tenant: int = 0
    key: int = 0
    repeat: bool = False
    follow: FollowUp | None = None
    name: str = ""  # the client's own id, for logs and records only


# --- inputs ---


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A query was taken; from now on it is owed one final answer."""

    ask: Ask


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; ``body`` is its decoded answer where the result is OK, ``cause`` why it is not.

    ``report`` holds the values of a load report that came with it, in the order of the settings.
    """

    part: int
    attempt: int
    result: Result
    body: Any = None
    cause: str = ""
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client of a query has gone: nobody is there to be answered."""

    handle: int


@dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """News of the list of holders."""

    members: Members


@dataclass(slots=True, frozen=True)
class AllowanceUpdate:
    """What the fleet leaves this broker to spend; for the module."""

    allowance: Allowance


Input = QueryArrived | AttemptEnded | ClientLeft | MembershipUpdate | AllowanceUpdate


# --- orders ---


class Verdict(Enum):
    """How a query ended; each has one."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class AttemptOrder:
    """One attempt of one part, to be given up at ``deadline``.

    It may wait at the edge, for a connection or a full socket: its first byte leaves by ``send_start_by``
    and its last by ``send_complete_by``, or it never runs. ``send_start_by <= send_complete_by <= deadline``.
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
    ask: int = 0  # the handle of its ask


@dataclass(slots=True, frozen=True)
class StartCall:
    """Send these attempts to a node in one call."""

    node: NodeId
    attempts: tuple[AttemptOrder, ...]


@dataclass(slots=True, frozen=True)
class StopAttempt:
    """Stop waiting for an attempt; its ``AttemptEnded`` is still owed."""

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Withdraw:
    """Drop an attempt unless all of it was sent; one that was goes on. Its ``AttemptEnded`` is still owed.

    Unlike ``StopAttempt`` it is no choice of the module's: the part is in, or its query is over.
    """

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class NodeSendDeadline:
    """No attempt for this node, which drains or is gone, begins to leave after ``at``."""

    node: NodeId
    at: int


@dataclass(slots=True, frozen=True)
class Finish:
    """The one final answer. ``bodies`` are those of the parts that are in, as (step, shard, body)."""

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
    """A line for on-call staff from the module."""

    text: str


@dataclass(slots=True, frozen=True)
class Breach:
    """A broken contract between driver and module, made harmless; ``name`` is one of a fixed few."""

    name: str
    detail: str


@dataclass(slots=True, frozen=True)
class RefreshMembership:
    """The module wants the list of holders read anew."""


Order = StartCall | StopAttempt | Withdraw | NodeSendDeadline | Finish | LogLine | Breach | RefreshMembership
