"""Data types of configuration changes: an edit of one resource, a change of several, a committed delta.

A resource is named ``KIND/NAME``; its value is msgpack (see ``resources``), None where it is absent. An edit
states the old value, so that a change is a compare-and-swap: it takes effect as a whole, or not at all where
one of the old values differs from the current one. Every size is bounded; fields are only appended, never
removed.
"""

import re
from collections import Counter as Occurrences
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.messages import Counter, Millis

MAX_VALUE_BYTES = 4096  # of one resource
MAX_NAME_CHARACTERS = 220
MAX_EDITS = 512  # of one change
MAX_CHANGE_BYTES = 96 * 1024  # of one encoded change: it must fit into a command of the log
MAX_SHOWN_CHARACTERS = 80  # of a wrong value, in the text of a fault

ResourceName = Annotated[str, Meta(pattern=r"^[a-z]{1,20}/[^\x00-\x1f]+$", max_length=MAX_NAME_CHARACTERS)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
ChangeId = Annotated[str, Meta(min_length=1, max_length=64)]
Author = Annotated[str, Meta(min_length=1, max_length=100)]
Revision = Counter


class Edit(msgspec.Struct, array_like=True, frozen=True):
    """One resource: its expected old value and its new value. None: absent."""

    name: ResourceName
    old: Value | None
    new: Value | None


Edits = Annotated[tuple[Edit, ...], Meta(max_length=MAX_EDITS)]


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What an author proposes. ``id`` is an idempotency key: a change proposed twice takes effect once.

    ``rolls_back``: the revision whose old values are restored; ``edits`` then name only the resources that
    a later revision has changed and that are restored nevertheless. 0: an ordinary change.
    """

    id: ChangeId
    author: Author
    proposed_at_ms: Millis  # of the author's wall clock
    edits: Edits
    rolls_back: Revision = 0


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """One committed change, from the previous revision to ``revision``."""

    revision: Revision
    edits: Edits


@dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong with a change: the place, the value found, what was expected, and the resource."""

    place: str
    found: str
    expected: str
    resource: str = ""

    def __str__(self) -> str:
        """One readable line."""
        shown = (
            self.found
            if len(self.found) <= MAX_SHOWN_CHARACTERS
            else f"{self.found[: MAX_SHOWN_CHARACTERS - 3]}..."
        )
        return f"{self.place}: {shown}; expected {self.expected}"


class ChangeError(ValueError):
    """A change was rejected; ``faults`` has at least one."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """``faults``: all that were found, not only the first."""
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


_encoder = msgspec.msgpack.Encoder()
_changes = msgspec.msgpack.Decoder(Change)


def encode_change(change: Change) -> bytes:
    """Encode a change for the log. Raises ``ChangeError`` where it exceeds a bound."""
    faults = structure_faults(change)
    if faults:
        raise ChangeError(faults)
    return _encoder.encode(change)


def decode_change(data: bytes) -> Change:
    """Decode a change from the log or from a command. Raises ``ChangeError`` with what is wrong."""
    if len(data) > MAX_CHANGE_BYTES:
        raise ChangeError([_too_large(len(data))])
    try:
        change = _changes.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ChangeError([_unreadable(error, f"{len(data)} bytes")]) from None
    faults = structure_faults(change)
    if faults:
        raise ChangeError(faults)
    return change


def structure_faults(change: Change) -> list[Fault]:
    """Structural faults of a change, regardless of what its values mean. Empty: none."""
    try:
        data = _encoder.encode(change)
        _changes.decode(data)  # checks the bounds of single fields, which a struct made in memory may exceed
    except (msgspec.MsgspecError, UnicodeError, OverflowError, TypeError) as error:
        return [_unreadable(error, repr(change)[:MAX_SHOWN_CHARACTERS])]
    faults = [] if len(data) <= MAX_CHANGE_BYTES else [_too_large(len(data))]
    if not change.edits and not change.rolls_back:
        faults.append(Fault("edits", "none", "at least one, or a revision to roll back"))
    for name, count in Occurrences(edit.name for edit in change.edits).items():
        if count > 1:
            faults.append(Fault(name, f"{count} edits", "one edit a resource"))
    faults += [
        Fault(edit.name, "old and new value are equal", "an edit that changes something")
        for edit in change.edits
        if edit.old == edit.new and not change.rolls_back
    ]
    return faults


def _unreadable(error: Exception, found: str) -> Fault:
    """A decoder's error as a fault; the positions in its path become field names."""
    text, _, path = str(error).partition(" - at ")
    at = [int(position) for position in re.findall(r"\[(\d+)\]", path)]
    place = "change"
    if at and at[0] < len(Change.__struct_fields__):
        place = Change.__struct_fields__[at[0]]
        place += f"[{at[1]}]" if len(at) > 1 else ""
        place += f".{Edit.__struct_fields__[at[2]]}" if len(at) > 2 else ""
    return Fault(place, found, text.removeprefix("Expected "))


def _too_large(size: int) -> Fault:
    return Fault("change", f"{size} bytes", f"at most {MAX_CHANGE_BYTES}; divide it")


def encoded_size(delta: Delta) -> int:
    """Size of a delta in a message."""
    return len(_encoder.encode(delta))
