"""Entries of the log, the log with its snapshot, and a voter's persistent state. Indices begin at 1."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.messages import Counter, Name

MAX_COMMAND_BYTES = 128 * 1024
MAX_VOTERS = 7

CommandData = Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry. ``keepers``: the new set of voters if the entry changes it; ``data`` is then empty."""

    index: Counter
    term: Counter
    data: CommandData = b""
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)] = ()


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state of voters and state machine after all entries up to ``index``."""

    index: Counter
    term: Counter
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
    data: bytes


@dataclass(slots=True)
class Log:
    """A snapshot and the entries after it."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """Term of the entry at ``index``; None if the log does not hold it, or no longer does."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.get(index)
        return None if entry is None else entry.term

    def get(self, index: int) -> Entry | None:
        """The entry at ``index``, if the log holds it."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def entries_from(self, index: int, limit: int) -> tuple[Entry, ...]:
        """At most ``limit`` entries, beginning at ``index``."""
        position = index - self.snapshot.index - 1
        return tuple(self.entries[position : position + limit]) if position >= 0 else ()

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""
        del self.entries[max(index - self.snapshot.index - 1, 0) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Keep only the entries after a snapshot; none if the snapshot is not of this log."""
        held_term = self.term(snapshot.index)
        self.entries = (
            list(self.entries_from(snapshot.index + 1, len(self.entries)))
            if held_term == snapshot.term
            else []
        )
        self.snapshot = snapshot

    def voters(self) -> tuple[str, ...]:
        """The newest set of voters, committed or not: a change is effective once it is in the log."""
        for entry in reversed(self.entries):
            if entry.keepers:
                return entry.keepers
        return self.snapshot.keepers

    def voters_index(self) -> int:
        """Index of the entry that set the current voters."""
        for entry in reversed(self.entries):
            if entry.keepers:
                return entry.index
        return self.snapshot.index


@dataclass(slots=True)
class StableState:
    """The state on disk, all that a voter keeps over a restart. ``epoch`` counts how often it was started."""

    log: Log
    term: int = 0
    vote: str = ""
    epoch: int = 1


def initial_state(voters: tuple[str, ...], data: bytes = b"") -> StableState:
    """State of a voter that has never run. All initial voters must be given the same names."""
    return StableState(Log(Snapshot(0, 0, voters, data)))
