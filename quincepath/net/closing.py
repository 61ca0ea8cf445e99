"""State machine of closing a connection: states, events and transitions. Pure; sockets carry it out.

There is a single way to close. It guards against closing a socket with unread bytes: the system then sends
a reset, which destroys the answer in transit and tells a client whose request crossed the close that its
request may have run. So the write side is shut down first (half-close), further input is read and discarded,
and the socket is closed when the peer has ended its side too, or when a limit of time, bytes or descriptors
is exceeded.
"""

from enum import Enum, auto


class State(Enum):
    """State of one connection."""

    OPEN = auto()
    DRAINING = auto()  # no further writes; buffered output is still being sent, input is discarded
    PEER_ENDED = auto()  # as DRAINING, and the peer has ended its side
    HALF_CLOSED = auto()  # our side has ended; input is discarded until the peer ends its side
    CLOSED = auto()


class Event(Enum):
    """Event that may change the state."""

    FINISH = auto()  # this side has written its last byte
    WRITTEN = auto()  # the system has taken all buffered output
    PEER_END = auto()  # end of stream was read
    LOST = auto()  # an error, or a limit was exceeded


S, E = State, Event
TRANSITIONS: dict[tuple[State, Event], State] = {
    (S.OPEN, E.FINISH): S.DRAINING,
    (S.OPEN, E.PEER_END): S.CLOSED,
    (S.OPEN, E.LOST): S.CLOSED,
    (S.DRAINING, E.WRITTEN): S.HALF_CLOSED,
    (S.DRAINING, E.PEER_END): S.PEER_ENDED,
    (S.DRAINING, E.LOST): S.CLOSED,
    (S.PEER_ENDED, E.WRITTEN): S.CLOSED,
    (S.PEER_ENDED, E.LOST): S.CLOSED,
    (S.HALF_CLOSED, E.PEER_END): S.CLOSED,
    (S.HALF_CLOSED, E.LOST): S.CLOSED,
}


def next_state(state: State, event: Event) -> State:
    """The state after ``event``; an event without a transition leaves the state unchanged."""
    return TRANSITIONS.get((state, event), state)


def accepts_data(state: State) -> bool:
    """Whether input is processed. After this side's last write it is only read and discarded."""
    return state is State.OPEN


def discards_data(state: State) -> bool:
    """Whether input is read and discarded."""
    return state in (State.DRAINING, State.HALF_CLOSED)
