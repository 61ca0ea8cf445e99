"""Inputs and outputs of a step of a relay or a subscriber. Times are ns of the own clock."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.messages import Summary

# --- inputs ---


@dataclass(slots=True, frozen=True)
class Received:
    """A message of a member; ``sender`` is the member at the other end of the connection.

    ``own``: sent by this member itself; a relay and a subscriber of one member have no connection.
    """

    sender: str
    data: bytes
    own: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """The connection to a member ended, or could not be established."""

    name: str


@dataclass(slots=True, frozen=True)
class Committed:
    """For a relay: a voter reports ``newest`` as the newest revision. ``deltas``: new ones, perhaps none.

    ``age``: ns since that voter learned it from the leader.
    """

    newest: int
    deltas: tuple[Delta, ...] = ()
    age: int = 0


@dataclass(slots=True, frozen=True)
class Loaded:
    """For a relay: a snapshot of the state machine. ``deltas``: those that it holds, up to ``revision``."""

    revision: int
    values: Mapping[str, bytes]
    deltas: tuple[Delta, ...] = ()


@dataclass(slots=True, frozen=True)
class Close:
    """For a relay: it shuts down. Its subscribers are redirected to another one."""


SubscriberInput = Received | Lost
RelayInput = Received | Lost | Committed | Loaded | Close


# --- outputs ---


@dataclass(slots=True, frozen=True)
class Send:
    """One message on the connection to a member; it may be lost."""

    to: str
    data: bytes


@dataclass(slots=True, frozen=True)
class Apply:
    """For the broker: put the edits in force in one step; they lead to ``revision``."""

    revision: int
    edits: tuple[Edit, ...]


@dataclass(slots=True, frozen=True)
class Resume:
    """For the follower of the log: request the missing deltas after ``revision`` from a voter."""

    revision: int


@dataclass(slots=True, frozen=True)
class Report:
    """For the voters: the aggregated acknowledgements of a relay's subscribers."""

    summary: Summary


class EventKind(StrEnum):
    """The kind of an event, for logs and counters."""

    RELAY_CHOSEN = "relay chosen"
    RELAY_LEFT = "relay left"
    REVISION_REFUSED = "revision refused"
    SNAPSHOT_APPLIED = "snapshot applied"
    SNAPSHOT_FAILED = "snapshot failed"
    TABLE_FULL = "subscriber table full"
    SUBSCRIBER_GONE = "subscriber gone"


@dataclass(slots=True, frozen=True)
class Event:
    """An event for the log."""

    kind: EventKind
    text: str


SubscriberOutput = Send | Apply | Event
RelayOutput = Send | Resume | Report | Event
