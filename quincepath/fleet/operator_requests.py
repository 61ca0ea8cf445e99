"""Commands of people as they come over HTTP, and the commands of the log that they become. Pure."""

from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption import AdoptMap, AwayMap, BackMap, Map, ProposeMap
from quincepath.fleet.permits import DRAIN, Back, Close, Command, Grant, Halt, Resume

ACTIONS = ("drain", "undrain", "close", "halt", "resume", "propose", "adopt", "back")
ACTIONS_WITHOUT_NAMES = ("halt", "resume", "propose", "adopt", "back")
MAP_ACTIONS = ("propose", "adopt", "back")


class OperatorRequestError(ValueError):
    """A command that is not taken: what is wrong and what was expected."""


class OperatorRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a command. ``id`` is the asker's: the same one again does nothing twice."""

    id: Annotated[str, Meta(min_length=1, max_length=100)]
    by: Annotated[str, Meta(min_length=1, max_length=100)]
    names: Annotated[list[str], Meta(max_length=64)] = []
    why: Annotated[str, Meta(max_length=200)] = ""
    map: Map | None = None  # of a proposal
    may_lose: Annotated[list[str], Meta(max_length=1000)] = []


def decode_operator_request(what: str, body: bytes) -> OperatorRequest:
    """The body of the command ``what``. Raises ``OrderError``."""
    try:
        order = msgspec.json.decode(body, type=OperatorRequest)
    except msgspec.MsgspecError as error:
        raise OperatorRequestError(str(error)) from None
    if what not in ACTIONS:
        raise OperatorRequestError(f"{what!r}: expected one of {', '.join(ACTIONS)}")
    if not order.names and what not in ACTIONS_WITHOUT_NAMES:
        raise OperatorRequestError("names: expected at least one")
    if (order.map is None) is (what == "propose"):
        raise OperatorRequestError("map: expected with propose, and with nothing else")
    return order


def to_command(what: str, order: OperatorRequest, name: str, now: int, overdue: int) -> Command:
    """For the log; of one name. ``now``: ms of the wall clock, ``overdue``: ms that a drain may last."""
    id = f"{order.id} {what} {name}"
    match what:
        case "drain":
            return Grant(id, order.by, now, name, DRAIN, now + overdue)
        case "undrain":
            return Back(id, order.by, now, name)
        case "close":
            return Close(id, order.by, now, name, order.why)
        case "propose":
            assert order.map is not None
            return ProposeMap(id, order.by, now, order.map, tuple(order.may_lose))
        case "adopt":
            return AwayMap(id, order.by, now, name) if name else AdoptMap(id, order.by, now)
        case "back":
            return BackMap(id, order.by, now)
        case "halt":
            return Halt(id, order.by, now, order.why)
    return Resume(id, order.by, now)
