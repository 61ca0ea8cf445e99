"""The state machine of closing a connection."""

from itertools import product

import pytest

from quincepath.net.closing import Event, State, accepts_data, discards_data, next_state

ORDER = [State.OPEN, State.DRAINING, State.PEER_ENDED, State.HALF_CLOSED, State.CLOSED]


@pytest.mark.parametrize(("state", "event"), list(product(State, Event)))
def test_transitions_only_advance_towards_closed(state: State, event: Event) -> None:
    after = next_state(state, event)
    assert ORDER.index(after) >= ORDER.index(state)
    if state is not State.OPEN:
        assert not accepts_data(after), "input after the last write must never be processed again"
    if state is State.CLOSED:
        assert after is State.CLOSED


@pytest.mark.parametrize("state", State)
def test_an_error_or_exceeded_limit_closes_in_any_state(state: State) -> None:
    assert next_state(state, Event.LOST) is State.CLOSED


@pytest.mark.parametrize("state", State)
def test_input_is_processed_or_discarded_or_not_read(state: State) -> None:
    read = {State.OPEN: "processed", State.DRAINING: "discarded", State.HALF_CLOSED: "discarded"}.get(
        state, ""
    )
    assert (accepts_data(state), discards_data(state)) == (read == "processed", read == "discarded")


@pytest.mark.parametrize(
    ("events", "states"),
    [
        ([Event.FINISH, Event.WRITTEN, Event.PEER_END], [State.DRAINING, State.HALF_CLOSED, State.CLOSED]),
        ([Event.FINISH, Event.PEER_END, Event.WRITTEN], [State.DRAINING, State.PEER_ENDED, State.CLOSED]),
        ([Event.PEER_END, Event.FINISH], [State.CLOSED, State.CLOSED]),
        ([Event.WRITTEN, Event.FINISH, Event.FINISH], [State.OPEN, State.DRAINING, State.DRAINING]),
    ],
    ids=[
        "this side ends first",
        "the peer ends while output drains",
        "the peer ends first",
        "finished twice",
    ],
)
def test_event_sequences_lead_to_the_expected_states(events: list[Event], states: list[State]) -> None:
    state, seen = State.OPEN, []
    for event in events:
        seen.append(state := next_state(state, event))
    assert seen == states
