"""Inputs and outputs of a voter. The ``StateMachine`` gives the log's entries their meaning."""

from dataclasses import dataclass
from typing import Protocol

from quincepath.fleet.consensus.entries import Entry, Snapshot
from quincepath.fleet.consensus.messages import Message

MS = 1_000_000
NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class ConsensusSettings:
    """Timing and compaction.

    An election starts after one to two times ``election_timeout_ns`` without a message from a leader.
    """

    heartbeat_interval_ns: int = 200 * MS
    election_timeout_ns: int = 1000 * MS
    learner_lease_ns: int = 3000 * MS  # how long after its last poll a learner is sent new commits
    entries_before_compaction: int = 500  # applied entries until a snapshot replaces them


class StateMachine(Protocol):
    """The meaning of the log. Deterministic: the same entries lead to the same state."""

    def apply(self, entry: Entry) -> None:
        """Apply one committed entry."""

    def dump(self) -> bytes:
        """The whole state, for a snapshot."""

    def load(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty data is the initial state."""


# --- inputs ---


@dataclass(slots=True, frozen=True)
class Received:
    """A message from another broker; ``epoch``: the start count of its store (0: it has no store)."""

    sender: str
    epoch: int
    message: Message


@dataclass(slots=True, frozen=True)
class Propose:
    """Commit a command; the answer is ``Done`` or ``Refused`` with the same id."""

    id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ChangeVoters:
    """Replace the set of voters by one with one voter more or one voter fewer."""

    id: int
    voters: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ReadIndex:
    """``Done`` once everything committed so far is applied here; only the leader accepts it."""

    id: int


Input = Received | Propose | ChangeVoters | ReadIndex


# --- outputs ---


@dataclass(slots=True, frozen=True)
class Persist:
    """Write and sync before any later output. Entries from ``truncate_from`` on are void (0: none)."""

    term: int
    vote: str
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """A message to a broker."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Done:
    """A command is committed at an index, or a read may be answered from the applied state."""

    id: int
    index: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Rejected, or not known to be committed: ``why``. ``leader``: the broker to ask instead, if known."""

    id: int
    why: str
    leader: str


@dataclass(slots=True, frozen=True)
class Notice:
    """A message for operators."""

    kind: str
    text: str


Output = Persist | Send | Done | Refused | Notice
