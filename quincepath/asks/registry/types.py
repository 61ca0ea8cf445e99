"""Types of the registry: its limits, a try, how a try matched its ask, and the decisions."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

R = TypeVar("R")


@dataclass(slots=True, frozen=True)
class RegistryLimits:
    """Limits; times in ns. ``most_bytes`` of remembered answers, ``reserve``: time to deliver an answer."""

    remember: int
    most_remembered: int
    most_bytes: int
    linger: int
    most_tries: int  # waiting for one ask
    reserve: int


@dataclass(slots=True, frozen=True)
class ClientKey:
    """The key that a client gave a try, in a scope. ``strict``: the client guarantees one body per key."""

    scope: str
    key: str
    strict: bool


@dataclass(slots=True, frozen=True)
class Try:
    """One request. ``digest`` covers everything that affects the answer except the time limit.

    ``client_key`` is None if the client gave none. ``shared``: may join an equal ask in flight.
    """

    handle: int
    scope: str
    digest: bytes
    deadline: int
    client_key: ClientKey | None = None
    shared: bool = False
    retry_window: int = 0  # ns; for so long an equal body of this scope without a key is a retry
    name: str = ""  # for logs and records
    client: str = ""  # the client that its load is attributed to


class MatchKind(Enum):
    """How a try was matched to its ask."""

    BEGAN = "began"
    RETRY = "retry"
    EQUAL = "equal"
    REPLAYED = "replayed"


@dataclass(slots=True, frozen=True)
class Begin:
    """Run a new ask; ``ask`` is its handle in the driver."""

    ask: int


@dataclass(slots=True, frozen=True)
class Join:
    """The try waits for a running ask."""

    ask: int
    kind: MatchKind


@dataclass(slots=True, frozen=True)
class ReplayAnswer(Generic[R]):
    """The answer that the ask already got."""

    ask: int
    reply: R


@dataclass(slots=True, frozen=True)
class Conflict:
    """The key belongs to a request with another body."""


@dataclass(slots=True, frozen=True)
class TooManyTries:
    """The maximum number of tries already waits for this ask."""


Decision = Begin | Join | ReplayAnswer[R] | Conflict | TooManyTries


@dataclass(slots=True, frozen=True)
class Deliver:
    """This try gets the ask's final answer."""

    handle: int
    kind: MatchKind


@dataclass(slots=True, frozen=True)
class Restart:
    """Run the ask again as ``ask``, for coalesced requests with time left; ``deadline``: their latest."""

    handle: int
    ask: int
    deadline: int
    name: str


@dataclass(slots=True, frozen=True)
class TryExpired:
    """The try's own deadline passed while its ask continues for others: only the try fails."""

    handle: int


@dataclass(slots=True, frozen=True)
class DropAsk:
    """No try waits for this ask and none is expected: the driver is told that its client left."""

    ask: int
