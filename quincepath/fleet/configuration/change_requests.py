"""Requests of operators for a change: new values by name, based on the revision that the author read.

The author states that revision and no old values; the old values are filled in from the state machine after
a check that no later revision has changed a resource of the request. So no author overwrites a value that he
has not seen. Pure.
"""

from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from quincepath.fleet.configuration.changes import (
    MAX_EDITS,
    Author,
    Change,
    ChangeError,
    ChangeId,
    Edit,
    Fault,
    ResourceName,
    Revision,
)
from quincepath.fleet.configuration.history import Answer, History
from quincepath.fleet.configuration.resources import encode_resource, format_value


class ProposeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """``revision``: the one that the author read. ``set``: new values by name; ``remove``: names."""

    id: ChangeId
    by: Author
    revision: Revision
    set: Annotated[dict[ResourceName, dict[str, Any]], Meta(max_length=MAX_EDITS)] = {}
    remove: Annotated[list[ResourceName], Meta(max_length=MAX_EDITS)] = []


class RollbackRequest(msgspec.Struct, forbid_unknown_fields=True):
    """``revision``: the one to revert; its old values are restored."""

    id: ChangeId
    by: Author
    revision: Annotated[int, Meta(ge=1)]


Request = TypeVar("Request", ProposeRequest, RollbackRequest)


@dataclass(slots=True, frozen=True)
class DuplicateRequest:
    """The request's id was used before, for the same change; ``answer`` is its result."""

    answer: Answer


def parse_propose(body: bytes) -> ProposeRequest:
    """Parse JSON. Raises ``ChangeError``."""
    return _read(body, ProposeRequest)


def parse_rollback(body: bytes) -> RollbackRequest:
    """Parse JSON. Raises ``ChangeError``."""
    return _read(body, RollbackRequest)


def _read(body: bytes, request_type: type[Request]) -> Request:
    try:
        return msgspec.json.decode(body, type=request_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text, _, path = str(error).partition(" - at ")
        raise ChangeError(
            [Fault(path.strip("`") or "order", f"{len(body)} bytes", text.removeprefix("Expected "))]
        ) from None


def propose_change(request: ProposeRequest, history: History, now_ms: int) -> Change | DuplicateRequest:
    """The change that a request makes now. Raises ``ChangeError`` for what needs no leader to reject."""
    wanted = _wanted(request)
    known = history.answers.get(request.id)
    if known is not None and _is_same_request(known, wanted, history):
        return DuplicateRequest(known)
    faults = [] if known is not None else _stale_read_faults(request, wanted, history)
    if faults:
        raise ChangeError(faults)
    values = history.table.values
    edits = tuple(Edit(name, values.get(name), new) for name, new in wanted.items())
    return Change(request.id, request.by, now_ms, edits)


def rollback_change(request: RollbackRequest, now_ms: int) -> Change:
    """The change of a rollback; its edits are derived when it is committed."""
    return Change(request.id, request.by, now_ms, (), request.revision)


def _wanted(request: ProposeRequest) -> dict[str, bytes | None]:
    both = sorted(request.set.keys() & set(request.remove))
    if both:
        raise ChangeError([Fault(both[0], "set and removed", "one of them", both[0])])
    if not request.set and not request.remove:
        raise ChangeError([Fault("set", "nothing", "at least one resource in set or remove")])
    try:
        values: dict[str, bytes | None] = {name: encode_resource(one) for name, one in request.set.items()}
    except (OverflowError, TypeError, RecursionError) as error:
        raise ChangeError([Fault("set", str(error), "values as in a configuration file")]) from None
    return values | dict.fromkeys(request.remove)


def _is_same_request(known: Answer, wanted: dict[str, bytes | None], history: History) -> bool:
    """Whether an earlier request with this id asked for the same; assumed where it was compacted away."""
    if not known.revision:
        return False
    delta = history.log.get(known.revision)
    return delta is None or {edit.name: edit.new for edit in delta.edits} == wanted


def _stale_read_faults(
    request: ProposeRequest, wanted: dict[str, bytes | None], history: History
) -> list[Fault]:
    """Faults for resources that were changed after the revision that the author read."""
    if not history.log.floor <= request.revision <= history.revision:
        held = f"{history.log.floor} to {history.revision}; look at the newest with show"
        return [Fault("revision", str(request.revision), held)]
    faults = []
    for name in wanted:
        later = history.log.last_change_after(request.revision, name)
        if later:
            now = format_value(history.table.values.get(name))
            expected = f"untouched since revision {request.revision}; revision {later} made it {now}"
            faults.append(Fault(name, f"changed after revision {request.revision}", expected, name))
    return faults
