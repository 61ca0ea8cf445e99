"""Changes as people ask for them: new values by name, held against the revision that the author looked at.

The author names that revision and no old values; they are filled in from the state machine, once it is known
that no later revision has touched a resource of the change. So nobody overwrites what he has not seen. Pure.
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
    """``revision``: the one that the author looked at. ``set``: new values; ``remove``: names."""

    id: ChangeId
    by: Author
    revision: Revision
    set: Annotated[dict[ResourceName, dict[str, Any]], Meta(max_length=MAX_EDITS)] = {}
    remove: Annotated[list[ResourceName], Meta(max_length=MAX_EDITS)] = []


class RollbackRequest(msgspec.Struct, forbid_unknown_fields=True):
    """``revision``: whose old values come back."""

    id: ChangeId
    by: Author
    revision: Annotated[int, Meta(ge=1)]


Form = TypeVar("Form", ProposeRequest, RollbackRequest)


@dataclass(slots=True, frozen=True)
class DuplicateRequest:
    """The order's id was used before, for the same change; this became of it."""

    answer: Answer


def parse_propose(body: bytes) -> ProposeRequest:
    """From JSON. Raises ``ChangeError``."""
    return _read(body, ProposeRequest)


def parse_rollback(body: bytes) -> RollbackRequest:
    """From JSON. Raises ``ChangeError``."""
    return _read(body, RollbackRequest)


def _read(body: bytes, form: type[Form]) -> Form:
    try:
        return msgspec.json.decode(body, type=form)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text, _, path = str(error).partition(" - at ")
        raise ChangeError(
            [Fault(path.strip("`") or "order", f"{len(body)} bytes", text.removeprefix("Expected "))]
        ) from None


def propose_change(order: ProposeRequest, history: History, now_ms: int) -> Change | DuplicateRequest:
    """The change that an order comes to now. Raises ``ChangeError`` for what no leader need be asked."""
    wanted = _wanted(order)
    known = history.answers.get(order.id)
    if known is not None and _same(known, wanted, history):
        return DuplicateRequest(known)
    faults = [] if known is not None else _seen_faults(order, wanted, history)
    if faults:
        raise ChangeError(faults)
    values = history.table.values
    edits = tuple(Edit(name, values.get(name), new) for name, new in wanted.items())
    return Change(order.id, order.by, now_ms, edits)


def rollback_change(order: RollbackRequest, now_ms: int) -> Change:
    """Of a rollback; what it comes to is worked out when it is committed."""
    return Change(order.id, order.by, now_ms, (), order.revision)


def _wanted(order: ProposeRequest) -> dict[str, bytes | None]:
    both = sorted(order.set.keys() & set(order.remove))
    if both:
        raise ChangeError([Fault(both[0], "set and removed", "one of them", both[0])])
    if not order.set and not order.remove:
        raise ChangeError([Fault("set", "nothing", "at least one resource in set or remove")])
    try:
        found: dict[str, bytes | None] = {name: encode_resource(one) for name, one in order.set.items()}
    except (OverflowError, TypeError, RecursionError) as error:
        raise ChangeError([Fault("set", str(error), "values as in a configuration file")]) from None
    return found | dict.fromkeys(order.remove)


def _same(known: Answer, wanted: dict[str, bytes | None], history: History) -> bool:
    """Whether an earlier order of this id asked for the same; one that is compacted away counts as such."""
    if not known.revision:
        return False
    delta = history.log.get(known.revision)
    return delta is None or {edit.name: edit.new for edit in delta.edits} == wanted


def _seen_faults(order: ProposeRequest, wanted: dict[str, bytes | None], history: History) -> list[Fault]:
    """Resources that a later revision touched than the one that the author looked at."""
    if not history.log.floor <= order.revision <= history.revision:
        held = f"{history.log.floor} to {history.revision}; look at the newest with show"
        return [Fault("revision", str(order.revision), held)]
    found = []
    for name in wanted:
        later = history.log.touched_after(order.revision, name)
        if later:
            now = format_value(history.table.values.get(name))
            expected = f"untouched since revision {order.revision}; revision {later} made it {now}"
            found.append(Fault(name, f"changed after revision {order.revision}", expected, name))
    return found
