"""What a keeper takes in and what it asks for; what the log means is the ``Machine``'s."""

from dataclasses import dataclass
from typing import Protocol

from quincepath.fleet.consensus.entries import Entry, Snapshot
from quincepath.fleet.consensus.messages import Message

MS = 1_000_000
NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class ConsensusSettings:
    """ns. An election begins between ``election`` and twice that after the last word of a leader."""

    heartbeat_interval_ns: int = 200 * MS
    election_timeout_ns: int = 1000 * MS
    learner_lease_ns: int = 3000 * MS  # one that follows is told of commits for so long after it asked
    entries_before_compaction: int = 500  # entries until a snapshot takes their place


class StateMachine(Protocol):
    """What the log means. Pure: the same entries, the same state."""

    def apply(self, entry: Entry) -> None:
        """Take in one committed entry."""

    def dump(self) -> bytes:
        """All state, for a snapshot."""

    def load(self, data: bytes) -> None:
        """State from a snapshot; empty data is the beginning."""


# --- inputs ---


@dataclass(slots=True, frozen=True)
class Received:
    """A message of another broker; ``epoch`` is its store's count of starts (0: it keeps no store)."""

    sender: str
    epoch: int
    message: Message


@dataclass(slots=True, frozen=True)
class Propose:
    """Commit this command; the answer is ``Done`` or ``Refused`` with the same id."""

    id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ChangeVoters:
    """Let these be the keepers: one more, or one fewer, than now."""

    id: int
    voters: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ReadIndex:
    """Make sure that everything committed by now is applied here; the leader only."""

    id: int


Input = Received | Propose | ChangeVoters | ReadIndex


# --- outputs ---


@dataclass(slots=True, frozen=True)
class Persist:
    """Write and sync before anything that follows. ``cut``: entries from there on are void (0: none are)."""

    term: int
    vote: str
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """A message for a broker."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Done:
    """A command is committed at an index, or a read may be answered from what is applied."""

    id: int
    index: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Not taken, or not known to be committed: ``why``. ``leader`` may know more."""

    id: int
    why: str
    leader: str


@dataclass(slots=True, frozen=True)
class Notice:
    """Something for people."""

    kind: str
    text: str


Output = Persist | Send | Done | Refused | Notice
