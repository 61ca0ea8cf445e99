"""Inputs and outputs of a view's step."""

from dataclasses import dataclass

from quincepath.fleet.view.facts import Change

# --- inputs ---


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A datagram arrived."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionAccepted:
    """Another member opened a connection to this one; its number, given by the transport, is negative."""

    connection: int


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """A message arrived on a connection."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConnectionClosed:
    """A connection ended, or could not be established."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Drain:
    """This broker starts or stops draining."""

    draining: bool = True


@dataclass(slots=True, frozen=True)
class Leave:
    """This member leaves; nothing is sent after this step."""


Input = DatagramReceived | ConnectionAccepted | FrameReceived | ConnectionClosed | Drain | Leave


# --- outputs ---


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to a member."""

    to: str
    data: bytes


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """Connect to a member; frames sent before it is established wait."""

    connection: int
    to: str


@dataclass(slots=True, frozen=True)
class SendFrame:
    """Send a message on a connection."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Close a connection once its frames are sent; ``at_once``: nobody needs those any more, drop them."""

    connection: int
    at_once: bool = False


@dataclass(slots=True, frozen=True)
class OperatorNotice:
    """An event for operators that is no change of belief: two processes of one name, or one of them
    yielding."""

    kind: str
    text: str


Output = SendDatagram | OpenConnection | SendFrame | CloseConnection | OperatorNotice | Change
