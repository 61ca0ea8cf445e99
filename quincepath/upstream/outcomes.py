"""What a holder's answer means to the module. Pure; the table in docs/design/broker.md is this file's.

The module's outcomes are facts about the attempt, never guesses: CONNECT_FAILED and FULL say that it
certainly did not run, so only what proves that may become one of them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from quincepath.interface import Result


class End(Enum):
    """How the transport of a call ended without a whole response."""

    REFUSED = "connection refused"
    UNREACHABLE = "address unreachable"
    DIAL_TIMEOUT = "connection not established in time"
    NO_PLACE = "all connections to the holder are in use"
    UNLISTED = "the holder is on no list any more"
    NOT_LEFT = "no connection took it while it was allowed to leave"
    LOST_UNSENT = "connection lost before any byte of the request was taken"
    LOST = "connection lost while the call was out"
    SPOILT = "given up with a connection on which an answer was spoilt"
    BLOCKED = "given up with a connection on which a part could not leave whole"
    PROTOCOL = "the answer does not follow the protocol, or is over a limit"
    TIMEOUT = "no whole answer in time"
    STOPPED = "stopped waiting"


TRANSPORT = {
    End.REFUSED: Result.CONNECT_FAILED,
    End.UNREACHABLE: Result.CONNECT_FAILED,
    End.DIAL_TIMEOUT: Result.CONNECT_FAILED,
    End.NO_PLACE: Result.CONNECT_FAILED,
    End.UNLISTED: Result.CONNECT_FAILED,
    End.NOT_LEFT: Result.CONNECT_FAILED,
    End.LOST_UNSENT: Result.CONNECT_FAILED,
    End.LOST: Result.RESET,
    End.SPOILT: Result.CANCELLED,  # by this broker: the node did not fail them, and did not die
    End.BLOCKED: Result.CANCELLED,  # by this broker, too
    End.PROTOCOL: Result.ERROR,
    End.TIMEOUT: Result.TIMEOUT,
    End.STOPPED: Result.CANCELLED,
}


@dataclass(slots=True, frozen=True)
class Meaning:
    """An outcome and the words for logs and metrics."""

    result: Result
    cause: str


def of_transport(end: End, detail: str = "") -> Meaning:
    """The meaning of a call without a whole response."""
    return Meaning(TRANSPORT[end], f"{end.value}: {detail}" if detail else end.value)


def of_status(status: int, headers: Mapping[str, str]) -> Meaning:
    """The meaning of a whole response by its status alone; a 2xx body is still to be decoded.

    429, and 503 with ``Retry-After``, are a door that was shut before the request was looked at. Any other
    503 may be a store that failed half way: it may have run.
    """
    if 200 <= status < 300:
        return Meaning(Result.OK, "")
    if status == 429 or (status == 503 and "retry-after" in headers):
        return Meaning(Result.FULL, f"status {status}")
    return Meaning(Result.ERROR, f"status {status}")
