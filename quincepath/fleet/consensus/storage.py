"""What a keeper needs of its store, and what may be wrong with one, by name."""

from enum import Enum
from typing import Protocol

from quincepath.fleet.consensus.core import Persist
from quincepath.fleet.consensus.entries import StableState


class StoreErrorCause(Enum):
    """The cause of a ``StoreError``; for logs, metrics and what is done about it."""

    FULL = "full"  # the disk, or the size that the store may have
    READ_ONLY = "read-only"
    DAMAGED = "damaged"
    FOREIGN = "foreign"  # of another fleet or another broker
    NEWER = "newer"  # written by a later program
    UNREACHABLE = "unreachable"  # no such place, or not allowed


class StoreError(Exception):
    """The store cannot be used; the broker serves queries all the same, without being a keeper."""

    def __init__(self, cause: StoreErrorCause, text: str) -> None:
        super().__init__(f"{cause.value}: {text}")
        self.cause = cause


class Storage(Protocol):
    """A keeper's store, open. ``stable`` is what the keeper begins with."""

    stable: StableState

    def write(self, order: Persist) -> None:
        """Carry out one ``Persist``; on disk when this returns. Raises ``StoreError``: nothing changed."""
        ...

    def close(self) -> None:
        """Give it back."""
        ...
