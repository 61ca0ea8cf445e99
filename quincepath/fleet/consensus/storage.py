"""What a voter needs of its store, and the causes for which a store cannot be used."""

from enum import Enum
from typing import Protocol

from quincepath.fleet.consensus.core import Persist
from quincepath.fleet.consensus.entries import StableState


class StoreErrorCause(Enum):
    """The cause of a ``StoreError``; used in logs and metrics, and to choose the reaction."""

    FULL = "full"  # the disk is full, or the store has reached its size limit
    READ_ONLY = "read-only"
    DAMAGED = "damaged"
    FOREIGN = "foreign"  # belongs to another fleet or another broker
    NEWER = "newer"  # written by a later version of the program
    UNREACHABLE = "unreachable"  # the path does not exist or access is denied


class StoreError(Exception):
    """The store cannot be used. The broker then serves queries without being a voter."""

    def __init__(self, cause: StoreErrorCause, text: str) -> None:
        super().__init__(f"{cause.value}: {text}")
        self.cause = cause


class Storage(Protocol):
    """A voter's open store. ``stable``: the state with which the voter starts."""

    stable: StableState

    def write(self, order: Persist) -> None:
        """Carry out a ``Persist``, durable on return. On ``StoreError`` nothing has changed."""
        ...

    def close(self) -> None:
        """Release the store."""
        ...
