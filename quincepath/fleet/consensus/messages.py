"""Messages between the voters of the log, and between voters and learners. Every size is bounded."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, MAX_VOTERS, CommandData, Entry
from quincepath.fleet.messages import Counter, Name

MAX_ENTRIES_PER_MESSAGE = 64
SNAPSHOT_CHUNK_BYTES = 32 * 1024
MAX_SNAPSHOT_BYTES = 64 << 20
Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A candidate's request for a vote in ``term``. ``trial``: a pre-vote, which changes no voter's term."""

    term: Counter
    last: Counter
    last_term: Counter
    trial: bool


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to a ``VoteRequest``."""

    term: Counter
    granted: bool
    trial: bool
    asked: Counter  # the term of the request


class AppendRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's entries after index ``before``; without entries a heartbeat.

    A voter echoes ``round``; a majority of echoes confirms pending reads.
    """

    term: Counter
    before: Counter
    before_term: Counter
    entries: Entries
    commit: Counter
    round: Counter


class AppendResponse(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """``match``: the index up to which both logs are equal.

    Where ``done`` is false, it is the index after which the leader should try next.
    """

    term: Counter
    done: bool
    match: Counter
    round: Counter


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A chunk of the leader's snapshot, at byte ``offset`` of ``total``."""

    term: Counter
    index: Counter
    index_term: Counter
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    total: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    data: Annotated[bytes, Meta(max_length=SNAPSHOT_CHUNK_BYTES)]
    round: Counter


class SnapshotChunkResponse(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """``have``: how many bytes of the snapshot at ``index`` the voter has received."""

    term: Counter
    index: Counter
    have: Counter
    round: Counter


class LearnerPoll(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """A learner asks for what is committed after ``applied``, and for new commits until its lease ends."""

    applied: Counter


class LearnerEntries(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Committed entries for a learner. ``leader``: the leader that the voter knows of; may be empty."""

    entries: Entries
    commit: Counter
    leader: str


class LearnerSnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """A chunk of a snapshot, for a learner that lacks entries which the log no longer holds."""

    index: Counter
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    total: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    data: Annotated[bytes, Meta(max_length=SNAPSHOT_CHUNK_BYTES)]


class ProposalRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """A command for the leader to propose. ``id``: chosen by the sender, echoed in the response."""

    id: Counter
    data: CommandData


class ProposalResponse(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """``index``: where the command was committed. If 0: ``why`` not, and the ``leader`` to ask, if known."""

    id: Counter
    index: Counter
    why: Annotated[str, Meta(max_length=200)]
    leader: Annotated[str, Meta(max_length=32)]


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | LearnerPoll
    | LearnerEntries
    | LearnerSnapshotChunk
    | ProposalRequest
    | ProposalResponse
)
__all__ = ["MAX_COMMAND_BYTES", "Message"]
