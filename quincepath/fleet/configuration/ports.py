"""What goes into a step of a relay or a subscriber, and what comes out. Times are ns of the own clock."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.messages import Summary

# --- inputs ---


@dataclass(slots=True, frozen=True)
class Received:
    """A message of a member; ``sender`` is whose connection it came by. ``own``: of this member itself.

    A relay and a subscriber of one member have no connection between them.
    """

    sender: str
    data: bytes
    own: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """The connection to a member has ended, or could not be had."""

    name: str


@dataclass(slots=True, frozen=True)
class Committed:
    """For a relay: a voter says that ``newest`` is the newest revision. ``deltas``: new ones, perhaps none.

    ``age``: ns since that voter itself knew it from the leader.
    """

    newest: int
    deltas: tuple[Delta, ...] = ()
    age: int = 0


@dataclass(slots=True, frozen=True)
class Loaded:
    """For a relay: the state machine's snapshot. ``deltas``: those it has, up to ``revision``."""

    revision: int
    values: Mapping[str, bytes]
    deltas: tuple[Delta, ...] = ()


@dataclass(slots=True, frozen=True)
class Close:
    """For a relay: it goes. Its subscribers are told to choose another."""


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
    """For the broker: put the edits in force in one turn; they lead to ``revision``."""

    revision: int
    edits: tuple[Edit, ...]


@dataclass(slots=True, frozen=True)
class Resume:
    """For the follower of the log: deltas are missing after ``revision``; ask a voter for them."""

    revision: int


@dataclass(slots=True, frozen=True)
class Report:
    """For the voters: the acknowledgements of a relay's subscribers, summed up."""

    summary: Summary


class EventKind(StrEnum):
    """What an event is about; for logs and counters."""

    RELAY_CHOSEN = "relay chosen"
    RELAY_LEFT = "relay left"
    REVISION_REFUSED = "revision refused"
    SNAPSHOT_APPLIED = "snapshot applied"
    SNAPSHOT_FAILED = "snapshot failed"
    TABLE_FULL = "subscriber table full"
    SUBSCRIBER_GONE = "subscriber gone"


@dataclass(slots=True, frozen=True)
class Event:
    """For people."""

    kind: EventKind
    text: str


SubscriberOutput = Send | Apply | Event
RelayOutput = Send | Resume | Report | Event
