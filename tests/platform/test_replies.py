"""Replies of nodes at a bad moment: partial, trickling, duplicate, too late, or unread at the close."""

import select
import socket
import struct
from collections.abc import Callable

import pytest

from quincepath.interface import Result
from quincepath.net.loop import READ
from quincepath.platform.connection_state import STALLED_REPLY_DIAL_TIMEOUTS, WHOLE_REPLY_DIAL_TIMEOUTS
from tests.standins.node_pool import DIAL_TIMEOUT_NS, LARGE_PAYLOAD, NODE, NodePoolHarness
from tests.standins.platform import MS, SECOND, frame

STALL_NS, WHOLE_NS = (
    int(STALLED_REPLY_DIAL_TIMEOUTS * DIAL_TIMEOUT_NS),
    WHOLE_REPLY_DIAL_TIMEOUTS * DIAL_TIMEOUT_NS,
)
SWEEP_NS = 110 * MS
GOOD = frame(b"q", b"q1.0 good 7 -\n" + b"v" * 4000)


def silent_node(*parts: int) -> NodePoolHarness:
    """A harness whose node received these parts and sends nothing by itself."""
    harness = NodePoolHarness()
    harness.node.default_behavior = "silent"
    harness.start(*parts, deadline=30 * SECOND)
    harness.run(20 * MS)
    return harness


def test_a_trickling_reply_soon_becomes_an_error() -> None:
    """Each byte looks like progress, but the replies behind it never arrive."""
    harness = silent_node(1, 2)
    began = harness.loop.at
    for byte in GOOD:
        harness.node.streams[0].write(bytes([byte]))
        harness.run(STALL_NS * 4 // 5)
        if harness.ended or harness.loop.at > began + 10 * SECOND:
            break
    assert harness.loop.at - began <= WHOLE_NS + SWEEP_NS + STALL_NS
    assert harness.results() == {1: Result.ERROR, 2: Result.CANCELLED} and harness.events == [
        "spoilt connection"
    ]


def test_a_reply_of_the_largest_size_may_take_its_time() -> None:
    harness = silent_node(1)
    value = frame(b"q", b"q1.0 good 7 -\n" + b"v" * 65_000)
    pieces = [value[at : at + 6600] for at in range(0, len(value), 6600)]
    for piece in pieces:
        harness.node.streams[0].write(piece)
        harness.run(WHOLE_NS // (len(pieces) + 1))
    assert harness.results() == {1: Result.OK}


def test_consecutive_replies_are_not_taken_for_one_that_does_not_end() -> None:
    """The stream is never between two replies when it is checked: each has its own time limit."""
    harness = silent_node(*range(1, 31))
    answers = b"".join(frame(b"q", b"q%d.0 good 7 -\nv" % part) for part in range(1, 31))
    size = len(answers) // 30
    harness.node.streams[0].write(answers[: size // 2])
    for at in range(size // 2, len(answers), size):
        harness.run(STALL_NS * 4 // 5)
        harness.node.streams[0].write(answers[at : at + size])
    harness.run(20 * MS)
    assert set(harness.results().values()) == {Result.OK} and len(harness.ended) == 30


def test_sending_does_not_keep_a_stalled_reply_alive() -> None:
    harness = silent_node(1)
    harness.node.streams[0].write(GOOD[:-3])
    began = harness.loop.at
    for part in range(2, 60):
        harness.run(STALL_NS // 3)
        if harness.ended:
            break
        harness.start(part, deadline=30 * SECOND)
    assert harness.ended and harness.loop.at - began <= STALL_NS + SWEEP_NS + STALL_NS // 3
    assert harness.results()[1] is Result.ERROR
    assert set(harness.results().values()) <= {Result.ERROR, Result.CANCELLED}


@pytest.mark.parametrize("most", [3, 12, len(GOOD) - 1])
def test_parts_may_have_run_if_a_connection_ends_within_a_reply(most: int) -> None:
    harness = silent_node(1, 2)
    harness.node.streams[0].write(GOOD[:most])
    harness.settle()
    harness.node.streams[0].close()
    harness.run(20 * MS)
    assert harness.results() == {1: Result.RESET, 2: Result.RESET}


@pytest.mark.parametrize("size", [0, 1, 65_537, 3_000_000_000, 4_294_967_295])
def test_an_invalid_length_is_an_error_at_once(size: int) -> None:
    harness = silent_node(1)
    harness.node.streams[0].write(size.to_bytes(4, "little") + b"q" + bytes(900))
    harness.run(20 * MS)
    assert harness.results() == {1: Result.ERROR}


def test_a_reply_in_the_turn_in_which_its_deadline_passes_still_counts() -> None:
    harness = NodePoolHarness()
    harness.node.default_behavior = "silent"
    harness.start(1, deadline=100 * MS)
    harness.run(99 * MS)
    harness.node.streams[0].sock.send(GOOD)
    stream = harness.connection.stream
    assert stream is not None and select.select([stream.sock], [], [], 5)[0]
    harness.loop.at += 5 * MS  # one turn finds both bytes to read and a passed deadline
    harness.loop.turn(0)
    assert harness.results() == {1: Result.OK}
    harness.run(20 * MS)
    assert len(harness.ended) == 1 and not harness.node.cancelled


def test_a_reply_that_crosses_its_cancellation_is_ignored() -> None:
    harness = silent_node(1, 2)
    harness.node.streams[0].sock.send(GOOD + GOOD)
    harness.nodes.stop(1, 0)
    harness.run(20 * MS)
    harness.node.streams[0].write(frame(b"q", b"q2.0 good 7 -\nv"))
    harness.run(20 * MS)
    assert harness.results() == {1: Result.CANCELLED, 2: Result.OK} and not harness.events


@pytest.mark.parametrize("why", ["drains", "swept"])
def test_cancel_frames_reach_the_node_although_a_reply_is_unread_at_the_close(why: str) -> None:
    """Closing over unread bytes sends a reset, which drops what is still in the send buffer."""
    harness = silent_node(1)
    harness.stop_reading(200_000)
    for part in range(2, 7):
        harness.start(part, payload=b"y" * LARGE_PAYLOAD, deadline=30 * SECOND)
    stream = harness.connection.stream
    assert stream is not None and not stream.pending, "the operating system has accepted everything"
    for part in range(1, 7):
        harness.nodes.stop(part, 0)
    harness.node.streams[0].sock.send(GOOD)
    assert select.select([stream.sock], [], [], 5)[0]  # a late reply is unread in the socket
    if why == "drains":
        harness.nodes.close_node(NODE)
    else:
        harness.connection.state.retired = True
        harness.nodes._sweep()
    assert not harness.nodes.connections
    harness.resume_reading()
    assert harness.node.cancelled == [f"q{part}.0" for part in range(1, 7)]
    harness.run(DIAL_TIMEOUT_NS + 2 * MS)
    assert stream.closed and harness.nodes.open_count() == 0


def test_queued_cancel_frames_do_not_keep_a_blocked_connection_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = silent_node(1, 2)
    stream = harness.connection.stream
    assert stream is not None
    monkeypatch.setattr(stream, "_flush", lambda: None)  # as an operating system that accepts nothing
    watch = harness.loop.watch

    def full(sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        watch(sock, mask & READ if sock is stream.sock else mask, call)  # nor reports the socket writable

    monkeypatch.setattr(harness.loop, "watch", full)
    harness.nodes.stop(1, 0)
    harness.nodes.stop(2, 0)
    assert harness.connection.queue and not harness.connection.state.in_flight
    harness.run(WHOLE_REPLY_DIAL_TIMEOUTS * DIAL_TIMEOUT_NS + SWEEP_NS + DIAL_TIMEOUT_NS + 2 * MS)
    assert stream.closed and harness.nodes.open_count() == 0


def test_a_closing_connection_counts_for_one_dial_timeout_at_most() -> None:
    harness = silent_node(1)
    harness.nodes.stop(1, 0)
    stream = harness.connection.stream
    assert stream is not None
    harness.node.streams[0].pause()  # the node never closes its side
    harness.nodes.close_node(NODE)
    assert harness.nodes.open_count() == 1 and not stream.closed
    harness.run(DIAL_TIMEOUT_NS + 2 * MS)
    assert harness.nodes.open_count() == 0 and stream.closed


def test_a_closing_connection_is_closed_at_once_when_a_new_one_is_needed() -> None:
    harness = silent_node(1)
    harness.nodes.stop(1, 0)
    harness.node.streams[0].pause()
    harness.nodes.close_node(NODE)
    harness.nodes.max_open = 1
    harness.node.default_behavior = "good"
    harness.start(2)
    harness.run(20 * MS)
    assert harness.results()[2] is Result.OK and harness.nodes.open_count() == 1


# --- bounds of queues ---


def test_the_queue_at_a_full_socket_is_bounded_by_the_capacity_of_a_connection() -> None:
    harness = NodePoolHarness(streams=20)
    harness.node.default_behavior = "silent"
    harness.fill_socket()
    for part in range(2000, 2400):
        harness.start(part, payload=b"z" * 6000, deadline=60 * SECOND)
        harness.settle()
    held = harness.nodes.connections[NODE]
    assert len(held) <= 4
    for one in held:
        assert len(one.queue) + len(one.state.in_flight) + len(one.state.cancelled) <= 2 * 20
    assert Result.CONNECT_FAILED in harness.results().values()
    for key in list(harness.nodes.in_flight):
        harness.nodes.stop(*key)
    assert not harness.nodes.in_flight
    assert all(len(one.queue) <= 20 for one in harness.nodes.connections.get(NODE, ()))
    harness.run(SECOND)
    assert harness.nodes.open_count() == 0, (
        "no attempt is in flight on them, and their node accepts no more bytes"
    )


def test_a_call_of_several_parts_never_exceeds_the_capacity_of_a_connection() -> None:
    harness = NodePoolHarness(streams=4)
    harness.node.default_behavior = "silent"
    harness.start(1, 2, 3)
    harness.run(20 * MS)
    harness.start(4, 5)
    harness.run(20 * MS)
    assert sorted(len(one.state.in_flight) for one in harness.nodes.connections[NODE]) == [2, 3]


# --- lengths that do not fit ---

LENGTH_ERRORS = (-5, -4, -3, -2, -1, 1, 2)
VALUE = "5be2a07c19f04d63"


def reply(part: int, status: str = "good", length_error: int = 0) -> bytes:
    """The frame of a reply whose declared length is wrong by ``length_error`` bytes."""
    value = VALUE if status == "good" else ""
    payload = f"q{part}.0 {status} 7 inflight=7\n{value}".encode()
    return struct.pack("<I", 1 + len(payload) + length_error) + b"q" + payload


@pytest.mark.parametrize("gap", [0, 20 * MS], ids=["in one read", "in two reads"])
@pytest.mark.parametrize("length_error", LENGTH_ERRORS)
def test_a_reply_with_a_wrong_length_is_not_served_while_other_parts_wait(
    length_error: int, gap: int
) -> None:
    """The value would lack its last bytes, or end with the first byte of the next frame."""
    harness = silent_node(1, 2)
    node = harness.node.streams[0]
    node.write(reply(1, length_error=length_error))
    if gap:
        harness.run(gap)
    node.write(reply(2))
    harness.run(20 * MS)
    assert harness.results() == {1: Result.ERROR, 2: Result.CANCELLED}
    assert [one.body for one in harness.ended] == [None, None] and harness.events == ["spoilt connection"]


@pytest.mark.parametrize("length_error", LENGTH_ERRORS)
def test_a_rejection_with_a_wrong_length_does_not_prove_that_the_part_never_ran(length_error: int) -> None:
    """The part of a spoilt reply may have run, so that it must not be sent again as one that did not."""
    harness = silent_node(1, 2)
    harness.node.streams[0].write(reply(1, "later", length_error) + reply(2))
    harness.run(20 * MS)
    assert harness.results() == {1: Result.ERROR, 2: Result.CANCELLED}


def test_stray_bytes_with_nothing_behind_them_make_the_reply_before_them_an_error() -> None:
    harness = silent_node(1, 2)
    harness.node.streams[0].write(reply(1, length_error=-4))
    harness.run(STALL_NS + 2 * SWEEP_NS)
    assert harness.results() == {1: Result.ERROR, 2: Result.CANCELLED}


@pytest.mark.parametrize("length_error", [-4, -3, -2, -1])
def test_an_end_of_the_connection_behind_stray_bytes_does_not_make_the_reply_valid(length_error: int) -> None:
    harness = silent_node(1, 2)
    harness.node.streams[0].write(reply(1, length_error=length_error))
    harness.settle()
    harness.node.streams[0].close()
    harness.run(20 * MS)
    # From the third byte on they show that no header begins there, before the connection ends.
    ended_first = {1: Result.RESET, 2: Result.RESET}
    assert harness.results() == (
        ended_first if length_error >= -2 else {1: Result.ERROR, 2: Result.CANCELLED}
    )


def test_only_the_reply_directly_before_invalid_bytes_is_in_doubt() -> None:
    harness = silent_node(1, 2, 3, 4)
    harness.node.streams[0].write(reply(1) + reply(2) + reply(3, length_error=-4) + reply(4))
    harness.run(20 * MS)
    assert harness.results() == {1: Result.OK, 2: Result.OK, 3: Result.ERROR, 4: Result.CANCELLED}


def test_a_wrong_length_is_noticed_although_the_other_part_was_just_cancelled() -> None:
    """The cancellation crosses the reply: for the node the other part still waits."""
    harness = silent_node(1, 2)
    harness.node.streams[0].sock.send(reply(1, length_error=-5) + b"-")
    harness.nodes.stop(2, 0)
    harness.run(20 * MS)
    assert harness.results() == {2: Result.CANCELLED, 1: Result.ERROR}


@pytest.mark.parametrize("gap", [0, 20 * MS], ids=["in one read", "in two reads"])
@pytest.mark.parametrize("status", ["good", "later"])
@pytest.mark.parametrize("length_error", range(-8, 0))
def test_a_reply_with_a_wrong_length_is_not_served_when_no_other_part_waits(
    length_error: int, status: str, gap: int
) -> None:
    """Clients were served values cut off by their last bytes, marked whole; most parts are alone."""
    harness = silent_node(1)
    data = reply(1, status, length_error)
    cut = len(data) + length_error + 1 if gap else len(data)  # behind the first stray byte
    harness.node.streams[0].write(data[:cut])
    harness.run(gap)
    harness.node.streams[0].write(data[cut:])
    harness.run(STALL_NS + 2 * SWEEP_NS)
    assert harness.results() == {1: Result.ERROR} and harness.ended[0].body is None


@pytest.mark.parametrize("tail", [b"4", b"4d", b"4d63", b"4d63f", "\u00e9".encode(), "\u20ac".encode()[:1]])
def test_printable_bytes_behind_the_reply_to_the_only_part_make_it_invalid(tail: bytes) -> None:
    """They could be the end of its value, which a length that is too short cuts off."""
    harness = silent_node(1)
    harness.node.streams[0].write(reply(1) + tail)
    harness.run(STALL_NS + 2 * SWEEP_NS)
    assert harness.results() == {1: Result.ERROR} and harness.events == ["spoilt connection"]


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_a_duplicate_behind_the_reply_to_the_only_part_leaves_it_valid(size: int) -> None:
    """The length of a frame may begin with a printable character: the reply waits for the whole header."""
    harness = silent_node(1)
    again = reply(1)
    assert again[0] in range(0x20, 0x7F)
    harness.node.streams[0].write(again + again[:size])
    harness.run(5 * MS)
    harness.node.streams[0].write(again[size:])
    harness.run(5 * MS)
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == VALUE and not harness.events


@pytest.mark.parametrize("noise", [bytes(1), bytes(3), bytes(40), b"\x804d63", b"\xff" * 40, b"\n4d63"])
def test_noise_behind_the_reply_to_the_only_part_leaves_it_valid(noise: bytes) -> None:
    """A node may send more than belongs to a reply when nothing else waits on the connection."""
    harness = silent_node(1)
    harness.node.streams[0].write(reply(1) + noise)
    harness.run(20 * MS)
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == VALUE


@pytest.mark.parametrize("size", [1, 2, 3, 4])
def test_a_valid_reply_is_delivered_when_the_header_behind_it_is_whole(size: int) -> None:
    harness = silent_node(1, 2)
    following = reply(2)
    harness.node.streams[0].write(reply(1) + following[:size])
    harness.run(20 * MS)
    harness.node.streams[0].write(following[size:5])
    harness.run(20 * MS)
    assert harness.results() == {1: Result.OK}
    harness.node.streams[0].write(following[5:])
    harness.run(20 * MS)
    assert harness.results() == {1: Result.OK, 2: Result.OK} and not harness.events
