"""Random bytes and corrupted messages do not crash a relay, a subscriber or the state machine."""

import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from quincepath.fleet.configuration.changes import ChangeError, Delta, Edit, decode_change, encode_change
from quincepath.fleet.configuration.messages import (
    Ack,
    Body,
    Busy,
    Deltas,
    FetchPieces,
    Heartbeat,
    Nack,
    Redirect,
    Subscribe,
    Unsubscribe,
    encode_body,
    pack,
)
from quincepath.fleet.configuration.ports import Committed, Received
from quincepath.fleet.configuration.relay_preference import MS
from quincepath.fleet.configuration.snapshots import Image, make_image, read_image
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.permits import Permits
from tests.fleet.configuration.builders import change, tenant, weights
from tests.fleet.configuration.harness import FLEET, RelayHarness, SubscriberHarness

FIVE = tuple(weights("a", 1.0, 2.0, 3.0, 4.0, 5.0))
IMAGE = make_image(5, {"tenant/a": tenant("a", 5.0)})
TO_BROKER: list[Body] = [
    Heartbeat(5, 10), Deltas(1, 5, FIVE), Deltas(3, 5, FIVE[2:]), IMAGE.piece(0), Busy(True), Busy(False, 3),
    Redirect("r2"), Redirect(""),
]  # fmt: skip
TO_RELAY: list[Body] = [
    Subscribe(0, 0), Subscribe(3, 4, True), Ack(3, 3), Nack(1, 2, 2, "tenant/a", "no"), FetchPieces(5, 0),
    Unsubscribe(),
]  # fmt: skip


def corrupted_messages(bodies: list[Body], sender: str, to: str) -> st.SearchStrategy[bytes]:
    """A message, perhaps with some bytes changed, or truncated."""

    def corrupt(body: Body, places: list[tuple[float, int]], end: float) -> bytes:
        data = bytearray(pack(FLEET, sender, 7, to, encode_body(body)))
        for place, value in places:
            data[int(place * (len(data) - 1))] = value
        return bytes(data[: max(int(end * len(data)), 1)])

    places = st.lists(st.tuples(st.floats(0, 1), st.integers(0, 255)), max_size=3)
    return st.one_of(
        st.binary(max_size=80),
        st.builds(corrupt, st.sampled_from(bodies), places, st.sampled_from([1.0, 1.0, 0.5])),
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(corrupted_messages(TO_BROKER, "r1", "b1"), st.sampled_from([0, 50, 700, 3100])), max_size=25
    )
)
def test_no_message_crashes_a_subscriber(messages: list[tuple[bytes, int]]) -> None:
    harness = SubscriberHarness(relays=[*SubscriberHarness().relays[:1]])
    harness.connect()
    for data, pause in messages:
        harness.step(Received("r1", data))
        harness.advance(pause)
        assert harness.subscriber.due > harness.now - MS
    assert harness.applied_revisions() == sorted(set(harness.applied_revisions()))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(corrupted_messages(TO_RELAY, "b1", "r1"), st.sampled_from([0, 50, 700, 3100])), max_size=25
    )
)
def test_no_message_crashes_a_relay(messages: list[tuple[bytes, int]]) -> None:
    harness = RelayHarness()
    harness.step(Committed(4, FIVE[:4]))
    for data, pause in messages:
        harness.step(Received("b1", data))
        harness.advance(pause)
    harness.step(Committed(5, FIVE[4:]))
    harness.advance(3000)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_no_bytes_crash_the_decoder_of_a_change_or_snapshot(data: bytes, place: int, value: int) -> None:
    good = encode_change(change("one", Edit("tenant/a", None, tenant("a", 1.0))))
    changed = bytearray(good)
    changed[place % len(good)] = value
    for one in (data, bytes(changed), good[: place % len(good)]):
        try:
            found = decode_change(one)
            Permits().configuration.apply(found)
        except ChangeError as error:
            assert error.faults
        Permits().apply(Entry(1, 1, one))
    corrupted = bytearray(IMAGE.data)
    corrupted[place % len(corrupted)] = value
    for one in (data, bytes(corrupted)):
        try:
            read_image(Image(5, one))
        except ChangeError as error:
            assert error.faults


def test_a_decompression_bomb_is_refused() -> None:
    bomb = zlib.compress(bytes(200 << 20), 9)
    try:
        read_image(Image(1, bomb))
    except ChangeError as error:
        assert "expected a readable snapshot" in str(error)
    else:
        raise AssertionError("read")


def test_a_delta_with_a_value_of_a_wrong_type_is_refused() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    wrong_type = Delta(1, (Edit("node/n", None, b"\x81\xa3url\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00"),))
    [(_, nack)] = harness.receive(relay, Deltas(1, 1, (wrong_type,)))
    assert isinstance(nack, Nack) and nack.refused == 1
