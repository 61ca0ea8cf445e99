"""Changes of the configuration as data: an edit of one resource, a change of several, a committed delta.

A resource is named ``KIND/NAME``; its value is msgpack (see ``resources``), None where it is absent. An edit
names the old value, so that a change is a compare-and-swap: it takes effect whole, or not at all where one of
the old values is not the one found. Every size is bounded; fields are appended only, never removed.
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
MAX_CHANGE_BYTES = 96 * 1024  # of one change, encoded: it must fit a command of the log
MAX_SHOWN_CHARACTERS = 80  # characters of a wrong value that a fault shows

ResourceName = Annotated[str, Meta(pattern=r"^[a-z]{1,20}/[^\x00-\x1f]+$", max_length=MAX_NAME_CHARACTERS)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
ChangeId = Annotated[str, Meta(min_length=1, max_length=64)]
Author = Annotated[str, Meta(min_length=1, max_length=100)]
Revision = Counter


class Edit(msgspec.Struct, array_like=True, frozen=True):
    """One resource: what it must be before, and what it is afterwards. None: absent."""

    name: ResourceName
    old: Value | None
    new: Value | None


Edits = Annotated[tuple[Edit, ...], Meta(max_length=MAX_EDITS)]


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What an author proposes. ``id`` is the author's own: the same change proposed twice takes effect once.

    ``rolls_back``: the revision whose old values come back; ``edits`` then name only the resources that a
    later revision has touched and that are to be taken back all the same. 0: an ordinary change.
    """

    id: ChangeId
    author: Author
    proposed_at_ms: Millis  # of the author's wall clock
    edits: Edits
    rolls_back: Revision = 0


class Delta(msgspec.Struct, array_like=True, frozen=True):
    """One committed change: from the revision before it to ``revision``."""

    revision: Revision
    edits: Edits


@dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong with a change: where, what was found there, what was expected, and of which resource."""

    place: str
    found: str
    expected: str
    resource: str = ""

    def __str__(self) -> str:
        """One line for people."""
        shown = (
            self.found
            if len(self.found) <= MAX_SHOWN_CHARACTERS
            else f"{self.found[: MAX_SHOWN_CHARACTERS - 3]}..."
        )
        return f"{self.place}: {shown}; expected {self.expected}"


class ChangeError(ValueError):
    """A change that is not taken; ``faults`` has at least one."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """All faults that were found, not the first alone."""
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


_encoder = msgspec.msgpack.Encoder()
_changes = msgspec.msgpack.Decoder(Change)


def encode_change(change: Change) -> bytes:
    """For the log. Raises ``ChangeError`` where it breaks a bound."""
    found = structure_faults(change)
    if found:
        raise ChangeError(found)
    return _encoder.encode(change)


def decode_change(data: bytes) -> Change:
    """From the log or from a command. Raises ``ChangeError`` with what is wrong."""
    if len(data) > MAX_CHANGE_BYTES:
        raise ChangeError([_too_large(len(data))])
    try:
        change = _changes.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ChangeError([_unreadable(error, f"{len(data)} bytes")]) from None
    found = structure_faults(change)
    if found:
        raise ChangeError(found)
    return change


def structure_faults(change: Change) -> list[Fault]:
    """What is wrong with its form, whatever the values mean. Empty: nothing."""
    try:
        data = _encoder.encode(change)
        _changes.decode(data)  # the bounds of single fields, which a struct made in memory may break
    except (msgspec.MsgspecError, UnicodeError, OverflowError, TypeError) as error:
        return [_unreadable(error, repr(change)[:MAX_SHOWN_CHARACTERS])]
    found = [] if len(data) <= MAX_CHANGE_BYTES else [_too_large(len(data))]
    if not change.edits and not change.rolls_back:
        found.append(Fault("edits", "none", "at least one, or a revision to roll back"))
    for name, count in Occurrences(edit.name for edit in change.edits).items():
        if count > 1:
            found.append(Fault(name, f"{count} edits", "one edit a resource"))
    found += [
        Fault(edit.name, "old and new value are equal", "an edit that changes something")
        for edit in change.edits
        if edit.old == edit.new and not change.rolls_back
    ]
    return found


def _unreadable(error: Exception, found: str) -> Fault:
    """A decoder's error, its path by positions turned into field names."""
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
    """Bytes of a delta in a message."""
    return len(_encoder.encode(delta))
