"""What keepers say to each other, and to those that follow the log. Every size is bounded."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, MAX_VOTERS, Data, Entry
from quincepath.fleet.messages import Counter, Name

MAX_ENTRIES_PER_MESSAGE = 64  # in one message
SNAPSHOT_CHUNK_BYTES = 32 * 1024  # bytes of a snapshot in one message
MAX_SNAPSHOT_BYTES = 64 << 20
Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Vote for me in ``term``. ``trial``: would you? (pre-vote); nobody's term changes by it."""

    term: Counter
    last: Counter
    last_term: Counter
    trial: bool


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to ``AskVote`` of that term."""

    term: Counter
    granted: bool
    trial: bool
    asked: Counter  # the term that was asked for


class AppendRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The leader's entries after ``before``; none: a sign of life. ``round`` confirms reads."""

    term: Counter
    before: Counter
    before_term: Counter
    entries: Entries
    commit: Counter
    round: Counter


class AppendResponse(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """``match``: up to there the logs are equal; where ``done`` is false, where to try next."""

    term: Counter
    done: bool
    match: Counter
    round: Counter


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of the leader's snapshot, from byte ``offset`` of ``total``."""

    term: Counter
    index: Counter
    index_term: Counter
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    total: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    data: Annotated[bytes, Meta(max_length=SNAPSHOT_CHUNK_BYTES)]
    round: Counter


class SnapshotChunkResponse(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """So many bytes of the snapshot at ``index`` are here."""

    term: Counter
    index: Counter
    have: Counter
    round: Counter


class LearnerPoll(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Tell me what is committed after ``applied``, now and for a while as it comes."""

    applied: Counter


class LearnerEntries(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Committed entries, for one that follows; ``leader`` as far as is known."""

    entries: Entries
    commit: Counter
    leader: str


class LearnerSnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """A snapshot for one that follows and is too far behind for entries, in pieces."""

    index: Counter
    offset: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    total: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    data: Annotated[bytes, Meta(max_length=SNAPSHOT_CHUNK_BYTES)]


class ProposalRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """A command for the leader; ``id`` is the asker's own, for the answer."""

    id: Counter
    data: Data


class ProposalResponse(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """What came of a request: the index that it was committed at, or why not, and who may lead."""

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
