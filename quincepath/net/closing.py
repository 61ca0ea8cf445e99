"""How a connection ends: its states, and the transitions between them. Pure; sockets carry it out.

There is one way. Guards against a close over unread bytes: the system answers it with a reset, which destroys
the answer on its way and tells a client whose request crossed the close that its request may have run. So the
writing side is shut down first (half-close), what still comes is read and dropped, and the socket is closed
when the peer has ended its side too, or when a bound of time, bytes or room is over.
"""

from enum import Enum, auto


class State(Enum):
    """Of one connection."""

    OPEN = auto()
    DRAINING = auto()  # nothing more is said; what was said is still leaving, what comes is dropped
    PEER_ENDED = auto()  # the same, and the peer has ended its side
    HALF_CLOSED = auto()  # our side has ended; what comes is dropped until the peer's end
    CLOSED = auto()


class Event(Enum):
    """What moves it on."""

    FINISH = auto()  # we have said our last
    WRITTEN = auto()  # the system has taken all that was said
    PEER_END = auto()  # the end of what the peer sends was read
    LOST = auto()  # an error, or a bound is over


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
    """The next state; an event that means nothing in a state leaves it."""
    return TRANSITIONS.get((state, event), state)


def accepts_data(state: State) -> bool:
    """Whether what is read counts. After our last word nothing does: it is read and dropped."""
    return state is State.OPEN


def discards_data(state: State) -> bool:
    """Whether what comes is read and thrown away."""
    return state in (State.DRAINING, State.HALF_CLOSED)
