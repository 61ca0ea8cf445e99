"""What comes from nodes at a bad moment: half, in drips, twice, too late, or unread as we close."""

import select
import socket
from collections.abc import Callable

import pytest

from quincepath.interface import Result
from quincepath.net.loop import READ
from quincepath.platform.connection_state import STALLED_REPLY_DIAL_TIMEOUTS, WHOLE_REPLY_DIAL_TIMEOUTS
from tests.standins.edge import BIG, DIAL, NODE, Edge
from tests.standins.platform import MS, SECOND, frame

STALL, WHOLE = int(STALLED_REPLY_DIAL_TIMEOUTS * DIAL), WHOLE_REPLY_DIAL_TIMEOUTS * DIAL
SWEEP = 110 * MS
GOOD = frame(b"q", b"q1.0 good 7 -\n" + b"v" * 4000)


def silent(*parts: int) -> Edge:
    """A node that has these parts and says nothing by itself."""
    edge = Edge()
    edge.node.always = "silent"
    edge.start(*parts, deadline=30 * SECOND)
    edge.run(20 * MS)
    return edge


def test_a_reply_that_comes_in_drips_is_spoilt_before_long() -> None:
    """Each byte says that it goes on; what lies behind it never comes."""
    edge = silent(1, 2)
    began = edge.loop.at
    for byte in GOOD:
        edge.node.streams[0].write(bytes([byte]))
        edge.run(STALL * 4 // 5)
        if edge.ended or edge.loop.at > began + 10 * SECOND:
            break
    assert edge.loop.at - began <= WHOLE + SWEEP + STALL
    assert edge.results() == {1: Result.ERROR, 2: Result.CANCELLED} and edge.events == ["spoilt connection"]


def test_a_reply_of_the_greatest_size_may_take_its_time() -> None:
    edge = silent(1)
    value = frame(b"q", b"q1.0 good 7 -\n" + b"v" * 65_000)
    pieces = [value[at : at + 6600] for at in range(0, len(value), 6600)]
    for piece in pieces:
        edge.node.streams[0].write(piece)
        edge.run(WHOLE // (len(pieces) + 1))
    assert edge.results() == {1: Result.OK}


def test_replies_one_after_the_other_are_not_taken_for_one_that_does_not_end() -> None:
    """The stream is never between two replies when it is looked at: each has its own time."""
    edge = silent(*range(1, 31))
    answers = b"".join(frame(b"q", b"q%d.0 good 7 -\nv" % part) for part in range(1, 31))
    size = len(answers) // 30
    edge.node.streams[0].write(answers[: size // 2])
    for at in range(size // 2, len(answers), size):
        edge.run(STALL * 4 // 5)
        edge.node.streams[0].write(answers[at : at + size])
    edge.run(20 * MS)
    assert set(edge.results().values()) == {Result.OK} and len(edge.ended) == 30


def test_what_is_sent_meanwhile_does_not_keep_a_reply_alive_that_stands_still() -> None:
    edge = silent(1)
    edge.node.streams[0].write(GOOD[:-3])
    began = edge.loop.at
    for part in range(2, 60):
        edge.run(STALL // 3)
        if edge.ended:
            break
        edge.start(part, deadline=30 * SECOND)
    assert edge.ended and edge.loop.at - began <= STALL + SWEEP + STALL // 3
    assert edge.results()[1] is Result.ERROR
    assert set(edge.results().values()) <= {Result.ERROR, Result.CANCELLED}


@pytest.mark.parametrize("most", [3, 12, len(GOOD) - 1])
def test_a_connection_that_ends_within_a_reply_may_have_run_its_parts(most: int) -> None:
    edge = silent(1, 2)
    edge.node.streams[0].write(GOOD[:most])
    edge.settle()
    edge.node.streams[0].close()
    edge.run(20 * MS)
    assert edge.results() == {1: Result.RESET, 2: Result.RESET}


@pytest.mark.parametrize("size", [0, 1, 65_537, 3_000_000_000, 4_294_967_295])
def test_an_absurd_length_is_spoilt_at_once_and_nothing_is_kept(size: int) -> None:
    edge = silent(1)
    edge.node.streams[0].write(size.to_bytes(4, "little") + b"q" + bytes(900))
    edge.run(20 * MS)
    assert edge.results() == {1: Result.ERROR}


def test_an_answer_in_the_instant_in_which_its_time_is_over_is_still_an_answer() -> None:
    edge = Edge()
    edge.node.always = "silent"
    edge.start(1, deadline=100 * MS)
    edge.run(99 * MS)
    edge.node.streams[0].sock.send(GOOD)
    stream = edge.connection.stream
    assert stream is not None and select.select([stream.sock], [], [], 5)[0]
    edge.loop.at += 5 * MS  # one turn finds both: bytes to read and a time that has passed
    edge.loop.turn(0)
    assert edge.results() == {1: Result.OK}
    edge.run(20 * MS)
    assert len(edge.ended) == 1 and not edge.node.dropped


def test_an_answer_that_crosses_its_giving_up_is_told_to_nobody_and_harms_nothing() -> None:
    edge = silent(1, 2)
    edge.node.streams[0].sock.send(GOOD + GOOD)
    edge.nodes.stop(1, 0)
    edge.run(20 * MS)
    edge.node.streams[0].write(frame(b"q", b"q2.0 good 7 -\nv"))
    edge.run(20 * MS)
    assert edge.results() == {1: Result.CANCELLED, 2: Result.OK} and not edge.events


@pytest.mark.parametrize("why", ["drains", "swept"])
def test_parts_given_up_are_told_to_the_node_though_a_reply_lies_unread_as_we_close(why: str) -> None:
    """Closing over unread bytes is a reset, which drops what our system still holds back."""
    edge = silent(1)
    edge.deafen(200_000)
    for part in range(2, 7):
        edge.start(part, payload=b"y" * BIG, deadline=30 * SECOND)
    stream = edge.connection.stream
    assert stream is not None and not stream.pending, "the system has taken all"
    for part in range(1, 7):
        edge.nodes.stop(part, 0)
    edge.node.streams[0].sock.send(GOOD)
    assert select.select([stream.sock], [], [], 5)[0]  # a late answer lies in our socket, unread
    if why == "drains":
        edge.nodes.close_node(NODE)
    else:
        edge.connection.state.retired = True
        edge.nodes._sweep()
    assert not edge.nodes.connections
    edge.flow()
    assert edge.node.dropped == [f"q{part}.0" for part in range(1, 7)]
    edge.run(DIAL + 2 * MS)
    assert stream.closed and edge.nodes.open_count() == 0


def test_frames_that_give_up_do_not_hold_a_connection_on_which_nothing_goes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    edge = silent(1, 2)
    stream = edge.connection.stream
    assert stream is not None
    monkeypatch.setattr(stream, "_flush", lambda: None)  # as a system that takes nothing
    watch = edge.loop.watch

    def full(sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        watch(sock, mask & READ if sock is stream.sock else mask, call)  # nor tells that it would

    monkeypatch.setattr(edge.loop, "watch", full)
    edge.nodes.stop(1, 0)
    edge.nodes.stop(2, 0)
    assert edge.connection.queue and not edge.connection.state.live
    edge.run(WHOLE_REPLY_DIAL_TIMEOUTS * DIAL + SWEEP + DIAL + 2 * MS)
    assert stream.closed and edge.nodes.open_count() == 0


def test_a_connection_that_is_ending_holds_its_place_for_a_dial_time_out_at_most() -> None:
    edge = silent(1)
    edge.nodes.stop(1, 0)
    stream = edge.connection.stream
    assert stream is not None
    edge.node.streams[0].pause()  # the node never closes its side
    edge.nodes.close_node(NODE)
    assert edge.nodes.open_count() == 1 and not stream.closed
    edge.run(DIAL + 2 * MS)
    assert edge.nodes.open_count() == 0 and stream.closed


def test_an_ending_connection_makes_room_at_once_for_one_that_is_needed() -> None:
    edge = silent(1)
    edge.nodes.stop(1, 0)
    edge.node.streams[0].pause()
    edge.nodes.close_node(NODE)
    edge.nodes.most_open = 1
    edge.node.always = "good"
    edge.start(2)
    edge.run(20 * MS)
    assert edge.results()[2] is Result.OK and edge.nodes.open_count() == 1


# --- what is queued is bounded ---


def test_what_waits_at_a_full_socket_is_bounded_by_the_places_on_a_connection() -> None:
    edge = Edge(streams=20)
    edge.node.always = "silent"
    edge.stuff()
    for part in range(2000, 2400):
        edge.start(part, payload=b"z" * 6000, deadline=60 * SECOND)
        edge.settle()
    held = edge.nodes.connections[NODE]
    assert len(held) <= 4
    for one in held:
        assert len(one.queue) + len(one.state.live) + len(one.state.given_up) <= 2 * 20
    assert Result.CONNECT_FAILED in edge.results().values()
    for key in list(edge.nodes.outs):
        edge.nodes.stop(*key)
    assert not edge.nodes.outs
    assert all(len(one.queue) <= 20 for one in edge.nodes.connections.get(NODE, ()))
    edge.run(SECOND)
    assert edge.nodes.open_count() == 0, "nobody waits on them, and their node takes no more bytes"


def test_a_call_of_several_parts_never_goes_over_the_places_of_a_connection() -> None:
    edge = Edge(streams=4)
    edge.node.always = "silent"
    edge.start(1, 2, 3)
    edge.run(20 * MS)
    edge.start(4, 5)
    edge.run(20 * MS)
    assert sorted(len(one.state.live) for one in edge.nodes.connections[NODE]) == [2, 3]
