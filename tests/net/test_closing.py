"""The table of a connection's end."""

from itertools import product

import pytest

from quincepath.net.closing import Event, State, accepts_data, discards_data, next_state

ORDER = [State.OPEN, State.DRAINING, State.PEER_ENDED, State.HALF_CLOSED, State.CLOSED]


@pytest.mark.parametrize(("state", "event"), list(product(State, Event)))
def test_a_connection_only_goes_on_towards_its_end(state: State, event: Event) -> None:
    after = next_state(state, event)
    assert ORDER.index(after) >= ORDER.index(state)
    if state is not State.OPEN:
        assert not accepts_data(after), "what is read after the last word must never count again"
    if state is State.CLOSED:
        assert after is State.CLOSED


@pytest.mark.parametrize("state", State)
def test_an_error_or_a_bound_closes_at_once_whatever_the_state(state: State) -> None:
    assert next_state(state, Event.LOST) is State.CLOSED


@pytest.mark.parametrize("state", State)
def test_what_is_read_is_taken_or_dropped_or_there_is_nothing_to_read(state: State) -> None:
    read = {State.OPEN: "taken", State.DRAINING: "dropped", State.HALF_CLOSED: "dropped"}.get(state, "")
    assert (accepts_data(state), discards_data(state)) == (read == "taken", read == "dropped")


@pytest.mark.parametrize(
    ("events", "states"),
    [
        ([Event.FINISH, Event.WRITTEN, Event.PEER_END], [State.DRAINING, State.HALF_CLOSED, State.CLOSED]),
        ([Event.FINISH, Event.PEER_END, Event.WRITTEN], [State.DRAINING, State.PEER_ENDED, State.CLOSED]),
        ([Event.PEER_END, Event.FINISH], [State.CLOSED, State.CLOSED]),
        ([Event.WRITTEN, Event.FINISH, Event.FINISH], [State.OPEN, State.DRAINING, State.DRAINING]),
    ],
    ids=["we end first", "the peer ends while the answer leaves", "the peer ends first", "said twice"],
)
def test_the_ways_through(events: list[Event], states: list[State]) -> None:
    state, seen = State.OPEN, []
    for event in events:
        seen.append(state := next_state(state, event))
    assert seen == states
