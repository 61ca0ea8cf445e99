"""What is said of asks and tries: bounds, a try, how it came to its ask, and what is decided of each."""

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

R = TypeVar("R")


@dataclass(slots=True, frozen=True)
class RegistryLimits:
    """Bounds. Times in ns, ``most_bytes`` of remembered answers, ``reserve`` for carrying an answer away."""

    remember: int
    most_remembered: int
    most_bytes: int
    linger: int
    most_tries: int  # that wait for one ask
    reserve: int


@dataclass(slots=True, frozen=True)
class ClientKey:
    """What a client says of a try: its key in a scope. ``strict``: the client promises one body a key."""

    scope: str
    key: str
    strict: bool


@dataclass(slots=True, frozen=True)
class Try:
    """One request. ``digest`` is of what is asked, with all that changes the answer but the time it may take.

    ``client_key`` is None where the client gave none. ``shared``: may join an equal ask in flight.
    """

    handle: int
    scope: str
    digest: bytes
    deadline: int
    client_key: ClientKey | None = None
    shared: bool = False
    retry_window: int = 0  # ns: unmarked, but an equal body of this scope so soon counts as a retry
    name: str = ""  # for logs and records
    client: str = ""  # to whom its load is counted


class MatchKind(Enum):
    """How a try came to its ask."""

    BEGAN = "began"
    RETRY = "retry"
    EQUAL = "equal"
    REPLAYED = "replayed"


@dataclass(slots=True, frozen=True)
class Begin:
    """Run a new ask; ``ask`` is its handle at the driver."""

    ask: int


@dataclass(slots=True, frozen=True)
class Join:
    """The try waits for a running ask."""

    ask: int
    kind: MatchKind


@dataclass(slots=True, frozen=True)
class ReplayAnswer(Generic[R]):
    """The answer that the ask got."""

    ask: int
    reply: R


@dataclass(slots=True, frozen=True)
class Conflict:
    """The key stands for another body."""


@dataclass(slots=True, frozen=True)
class TooManyTries:
    """As many tries wait for this ask as may."""


Decision = Begin | Join | ReplayAnswer[R] | Conflict | TooManyTries


@dataclass(slots=True, frozen=True)
class Deliver:
    """This try gets the ask's final answer."""

    handle: int
    kind: MatchKind


@dataclass(slots=True, frozen=True)
class Restart:
    """Run the ask anew as ``ask``, for strangers with time left; ``deadline`` is the longest of theirs."""

    handle: int
    ask: int
    deadline: int
    name: str


@dataclass(slots=True, frozen=True)
class TryExpired:
    """This try's own time is up while its ask goes on for others: it fails alone."""

    handle: int


@dataclass(slots=True, frozen=True)
class DropAsk:
    """Nobody waits for this ask, nor will: the driver is told that its client left."""

    ask: int
