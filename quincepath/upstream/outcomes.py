"""What a holder's answer means to the module. Pure; the table in docs/design/broker.md is this file's.

The module's outcomes are facts about the attempt, never guesses: CONNECT_FAILED and FULL say that it
certainly did not run, so only what proves that may become one of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from quincepath.interface import Result


class CallEnd(Enum):
    """How the transport of a call ended without a whole response."""

    REFUSED = "connection refused"
    UNREACHABLE = "address unreachable"
    DIAL_TIMEOUT = "connection not established in time"
    NO_FREE_CONNECTION = "all connections to the holder are in use"
    UNLISTED = "the holder is on no list any more"
    NOT_SENT = "no connection took it while it was allowed to leave"
    LOST_UNSENT = "connection lost before any byte of the request was taken"
    LOST = "connection lost while the call was out"
    CLOSED_AFTER_BAD_ANSWER = "given up with a connection on which an answer was spoilt"
    CLOSED_AFTER_PARTIAL_WRITE = "given up with a connection on which a part could not leave whole"
    PROTOCOL = "the answer does not follow the protocol, or is over a limit"
    TIMEOUT = "no whole answer in time"
    STOPPED = "stopped waiting"


TRANSPORT_RESULTS = {
    CallEnd.REFUSED: Result.CONNECT_FAILED,
    CallEnd.UNREACHABLE: Result.CONNECT_FAILED,
    CallEnd.DIAL_TIMEOUT: Result.CONNECT_FAILED,
    CallEnd.NO_FREE_CONNECTION: Result.CONNECT_FAILED,
    CallEnd.UNLISTED: Result.CONNECT_FAILED,
    CallEnd.NOT_SENT: Result.CONNECT_FAILED,
    CallEnd.LOST_UNSENT: Result.CONNECT_FAILED,
    CallEnd.LOST: Result.RESET,
    CallEnd.CLOSED_AFTER_BAD_ANSWER: Result.CANCELLED,  # by this broker; the node neither failed nor died
    CallEnd.CLOSED_AFTER_PARTIAL_WRITE: Result.CANCELLED,  # by this broker, too
    CallEnd.PROTOCOL: Result.ERROR,
    CallEnd.TIMEOUT: Result.TIMEOUT,
    CallEnd.STOPPED: Result.CANCELLED,
}


@dataclass(slots=True, frozen=True)
class CallOutcome:
    """An outcome and the words for logs and metrics."""

    result: Result
    cause: str


def transport_outcome(end: CallEnd, detail: str = "") -> CallOutcome:
    """The meaning of a call without a whole response."""
    return CallOutcome(TRANSPORT_RESULTS[end], f"{end.value}: {detail}" if detail else end.value)


def status_outcome(status: int, headers: Mapping[str, str]) -> CallOutcome:
    """The meaning of a whole response by its status alone; a 2xx body is still to be decoded.

    429, and 503 with ``Retry-After``, are a door that was shut before the request was looked at. Any other
    503 may be a store that failed half way: it may have run.
    """
    if 200 <= status < 300:
        return CallOutcome(Result.OK, "")
    if status == 429 or (status == 503 and "retry-after" in headers):
        return CallOutcome(Result.FULL, f"status {status}")
    return CallOutcome(Result.ERROR, f"status {status}")
