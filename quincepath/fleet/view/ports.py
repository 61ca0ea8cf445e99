"""What goes into a view's step, and what comes out of it."""

from dataclasses import dataclass

from quincepath.fleet.view.facts import Change

# --- inputs ---


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionAccepted:
    """Somebody opened a line to this member; the edge's number of it is below 0."""

    connection: int


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """One message on a line."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionClosed:
    """A line has ended, or could not be had."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Drain:
    """This broker drains, or does so no longer."""

    draining: bool = True


@dataclass(slots=True, frozen=True)
class Leave:
    """This member goes; nothing is sent after this step."""


Input = DatagramReceived | ConnectionAccepted | FrameReceived | ConnectionClosed | Drain | Leave


# --- outputs ---


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """A datagram for a member."""

    to: str
    data: bytes


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """Open a line to a member; what is framed before it stands waits."""

    connection: int
    to: str


@dataclass(slots=True, frozen=True)
class SendFrame:
    """A message for a line."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Close a line when what was framed has gone out; ``at_once``: nobody waits for that any more."""

    connection: int
    at_once: bool = False


@dataclass(slots=True, frozen=True)
class OperatorNotice:
    """Something for people, beside the changes: a clone, a yield."""

    kind: str
    text: str


Output = SendDatagram | OpenConnection | SendFrame | CloseConnection | OperatorNotice | Change
