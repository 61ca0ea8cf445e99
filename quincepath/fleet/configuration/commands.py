"""The command that commits a change through the consensus log, and the updates that a relay gets."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.configuration.changes import MAX_CHANGE_BYTES, ChangeError, decode_change
from quincepath.fleet.configuration.history import History, summarise_faults
from quincepath.fleet.configuration.ports import Committed, Loaded
from quincepath.fleet.messages import Millis, Text


class ChangeConfiguration(msgspec.Struct, tag="configuration", frozen=True):
    """Commit a change that ``changes.encode_change`` encoded. ``id`` is the change's id."""

    id: Text
    by: Text
    at: Millis
    change: Annotated[bytes, Meta(max_length=MAX_CHANGE_BYTES)]


def proposal_refusal(history: History, command: ChangeConfiguration) -> str:
    """Why the leader does not propose a command; empty where it does, also for a duplicate."""
    try:
        change = decode_change(command.change)
    except ChangeError as error:
        return str(error)
    if change.id != command.id:
        return _id_mismatch(command.id, change.id)
    known = history.recorded_answer(change)
    if known is not None:
        return known.reason
    return summarise_faults(history.proposal_faults(change))


def apply_command(history: History, command: ChangeConfiguration) -> str:
    """Apply a committed command; returns why it was refused, empty where it took effect."""
    try:
        change = decode_change(command.change)
    except ChangeError as error:
        return str(error)
    if change.id != command.id:
        return _id_mismatch(command.id, change.id)
    return history.apply(change).reason


def _id_mismatch(named: str, found: str) -> str:
    return f"id: {found!r} in the change; expected {named!r}, as the command says"


def relay_update(history: History, newest: int, age: int = 0) -> Committed | Loaded:
    """What a relay at revision ``newest`` lacks. ``age``: ns since this member learned it from the leader."""
    deltas = history.log.since(newest)
    if deltas is not None:
        return Committed(history.revision, deltas, age)
    held_deltas = history.log.since(history.log.floor) or ()
    return Loaded(history.revision, dict(history.table.values), held_deltas)
