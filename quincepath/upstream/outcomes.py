"""Maps the end of a call to a holder to an attempt's ``Result``. Pure; tabulated in docs/design/broker.md.

Results state facts about the attempt, never guesses: CONNECT_FAILED and FULL mean that it certainly did not
run, so only an end that proves it is mapped to one of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from quincepath.interface import Result


class CallEnd(Enum):
    """How a call ended without a complete response."""

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
    CallEnd.CLOSED_AFTER_BAD_ANSWER: Result.CANCELLED,  # by this broker: the node neither failed nor died
    CallEnd.CLOSED_AFTER_PARTIAL_WRITE: Result.CANCELLED,  # by this broker, too
    CallEnd.PROTOCOL: Result.ERROR,
    CallEnd.TIMEOUT: Result.TIMEOUT,
    CallEnd.STOPPED: Result.CANCELLED,
}


@dataclass(slots=True, frozen=True)
class CallOutcome:
    """A result, and its cause as text for logs and metrics."""

    result: Result
    cause: str


def transport_outcome(end: CallEnd, detail: str = "") -> CallOutcome:
    """The outcome of a call that ended without a complete response."""
    return CallOutcome(TRANSPORT_RESULTS[end], f"{end.value}: {detail}" if detail else end.value)


def status_outcome(status: int, headers: Mapping[str, str]) -> CallOutcome:
    """The outcome of a complete response by its status alone; a 2xx body has yet to be decoded.

    429, and 503 with ``Retry-After``, mean that the request was rejected before any processing. Any other
    503 may come from a store that failed midway, so that the request may have run.
    """
    if 200 <= status < 300:
        return CallOutcome(Result.OK, "")
    if status == 429 or (status == 503 and "retry-after" in headers):
        return CallOutcome(Result.FULL, f"status {status}")
    return CallOutcome(Result.ERROR, f"status {status}")
