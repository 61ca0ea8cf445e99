"""Entries of the log, the log with its snapshot, and what stands on disk. Indices begin at 1."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.messages import Counter, Name

MAX_COMMAND_BYTES = 128 * 1024  # bytes of one command
MAX_VOTERS = 7

Data = Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry. ``keepers``: not empty where it changes who the keepers are; then ``data`` is empty."""

    index: Counter
    term: Counter
    data: Data = b""
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)] = ()


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """What all entries up to ``index`` came to."""

    index: Counter
    term: Counter
    keepers: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
    data: bytes


@dataclass(slots=True)
class Log:
    """Entries after a snapshot."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Its term."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """Of one entry; None where it is not known here (any more)."""
        if index == self.snapshot.index:
            return self.snapshot.term
        found = self.get(index)
        return None if found is None else found.term

    def get(self, index: int) -> Entry | None:
        """One entry, where it is held."""
        at = index - self.snapshot.index - 1
        return self.entries[at] if 0 <= at < len(self.entries) else None

    def entries_from(self, index: int, most: int) -> tuple[Entry, ...]:
        """Entries from ``index`` on, at most so many."""
        at = index - self.snapshot.index - 1
        return tuple(self.entries[at : at + most]) if at >= 0 else ()

    def truncate(self, index: int) -> None:
        """Drop entries from ``index`` on."""
        del self.entries[max(index - self.snapshot.index - 1, 0) :]

    def compact(self, snapshot: Snapshot) -> None:
        """Keep what comes after a snapshot; nothing where it is not of this log."""
        held = self.term(snapshot.index)
        self.entries = (
            list(self.entries_from(snapshot.index + 1, len(self.entries))) if held == snapshot.term else []
        )
        self.snapshot = snapshot

    def voters(self) -> tuple[str, ...]:
        """The newest ones, committed or not: a change counts from when it is in the log."""
        for entry in reversed(self.entries):
            if entry.keepers:
                return entry.keepers
        return self.snapshot.keepers

    def voters_index(self) -> int:
        """Index of the entry that set them."""
        for entry in reversed(self.entries):
            if entry.keepers:
                return entry.index
        return self.snapshot.index


@dataclass(slots=True)
class StableState:
    """What stands on disk: the only part of a keeper that survives. ``epoch`` counts its starts."""

    log: Log
    term: int = 0
    vote: str = ""
    epoch: int = 1


def initial_state(voters: tuple[str, ...], data: bytes = b"") -> StableState:
    """A keeper that has never run. All first keepers must be given the same names."""
    return StableState(Log(Snapshot(0, 0, voters, data)))
