"""What may be wrong with a store, by name."""

from enum import Enum


class Trouble(Enum):
    """The cause of a ``StoreError``; for logs, metrics and what is done about it."""

    FULL = "full"  # the disk, or the size that the store may have
    READ_ONLY = "read-only"
    DAMAGED = "damaged"
    FOREIGN = "foreign"  # of another fleet or another broker
    NEWER = "newer"  # written by a later program
    UNREACHABLE = "unreachable"  # no such place, or not allowed


class StoreError(Exception):
    """The store cannot be used; the broker serves queries all the same, without being a keeper."""

    def __init__(self, trouble: Trouble, text: str) -> None:
        super().__init__(f"{trouble.value}: {text}")
        self.trouble = trouble
