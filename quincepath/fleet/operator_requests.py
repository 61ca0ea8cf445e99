"""Operators' requests over HTTP, and the commands of the log that they are translated to. Pure."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption import AdoptMap, AwayMap, BackMap, Map, ProposeMap
from quincepath.fleet.permits import DRAIN, Back, Close, Command, Grant, Halt, Resume

ACTIONS = ("drain", "undrain", "close", "halt", "resume", "propose", "adopt", "back")
ACTIONS_WITHOUT_NAMES = ("halt", "resume", "propose", "adopt", "back")
MAP_ACTIONS = ("propose", "adopt", "back")


class OperatorRequestError(ValueError):
    """A rejected request: what is wrong and what was expected."""


class OperatorRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request. ``id`` is chosen by the client: the same id again does nothing twice."""

    id: Annotated[str, Meta(min_length=1, max_length=100)]
    by: Annotated[str, Meta(min_length=1, max_length=100)]
    names: Annotated[list[str], Meta(max_length=64)] = []
    why: Annotated[str, Meta(max_length=200)] = ""
    map: Map | None = None  # for propose only
    may_lose: Annotated[list[str], Meta(max_length=1000)] = []


def decode_operator_request(action: str, body: bytes) -> OperatorRequest:
    """Decode and check the body of a request for ``action``. Raises ``OperatorRequestError``."""
    try:
        request = msgspec.json.decode(body, type=OperatorRequest)
    except msgspec.MsgspecError as error:
        raise OperatorRequestError(str(error)) from None
    if action not in ACTIONS:
        raise OperatorRequestError(f"{action!r}: expected one of {', '.join(ACTIONS)}")
    if not request.names and action not in ACTIONS_WITHOUT_NAMES:
        raise OperatorRequestError("names: expected at least one")
    if (request.map is None) is (action == "propose"):
        raise OperatorRequestError("map: expected with propose, and with nothing else")
    return request


def to_command(action: str, request: OperatorRequest, name: str, now: int, overdue: int) -> Command:
    """The command for one of the names. ``now``: wall clock in ms; ``overdue``: ms that a drain may last."""
    id = f"{request.id} {action} {name}"
    match action:
        case "drain":
            return Grant(id, request.by, now, name, DRAIN, now + overdue)
        case "undrain":
            return Back(id, request.by, now, name)
        case "close":
            return Close(id, request.by, now, name, request.why)
        case "propose":
            assert request.map is not None
            return ProposeMap(id, request.by, now, request.map, tuple(request.may_lose))
        case "adopt":
            return AwayMap(id, request.by, now, name) if name else AdoptMap(id, request.by, now)
        case "back":
            return BackMap(id, request.by, now)
        case "halt":
            return Halt(id, request.by, now, request.why)
    return Resume(id, request.by, now)
