"""Clients that send too much, too slowly, or never read cost little, and others are served."""

import socket
import tracemalloc
from collections.abc import Iterator

import pytest

from quincepath.net.http1 import HttpError, Limits, RequestReader
from quincepath.platform import descriptors
from tests.standins.platform import MS, SECOND, World
from tests.standins.sockets import connect, peer_of, read_all

HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
STATE = b"GET /-/state HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST /all HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
MORE = 12 * 1024 * 1024  # bytes that a flood sends at most
BOUND = 3 * 1024 * 1024  # bytes of memory that one connection may take, its read buffer included


def flood(world: World, client: socket.socket, head: bytes, again: bytes) -> Iterator[int]:
    """Sends as fast as the broker reads; yields after each turn, ends when broken off or when all is sent."""
    client.setblocking(False)
    block = again * (64 * 1024 // len(again))
    sent = 0
    out = head
    while sent < MORE:
        try:
            done = client.send(out)
            sent += done
            out = out[done:] or block
        except BlockingIOError:
            pass
        except OSError:
            return
        world.loop.turn(0)
        yield sent


WITHOUT_END: dict[str, tuple[bytes, bytes]] = {
    "a header's value": (b"GET / HTTP/1.1\r\nX: ", b"y"),
    "a header's name": (b"GET / HTTP/1.1\r\nX", b"y"),
    "a target": (b"GET /", b"y"),
    "headers": (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
    "a chunk's extension": (CHUNKED + b"1;", b"y"),
    "a trailer": (CHUNKED + b"0\r\nX: ", b"y"),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "small chunks": (CHUNKED, b"2\r\nyy\r\n"),
    "empty lines": (b"", b"\r\n"),
    "requests": (b"", HEALTH),
    "requests behind a query": (b"query", HEALTH),
}


@pytest.mark.parametrize("what", WITHOUT_END)
def test_what_never_ends_is_bounded_in_memory_and_others_are_served(what: str) -> None:
    world = World()
    client, other = connect(world), connect(world)
    head, again = WITHOUT_END[what]
    if head == b"query":
        head = world.request("all", (0,))
    other.sendall(world.request("all", (0, 1), Req_Id="other"))
    world.loop.turn(0)
    answer, turns = b"", 0
    tracemalloc.start()
    try:
        for turns, _ in enumerate(flood(world, client, head, again)):
            answer += read_all(other)[0]
            if turns % 16 == 0:
                assert tracemalloc.get_traced_memory()[1] < BOUND
        assert tracemalloc.get_traced_memory()[1] < BOUND
    finally:
        tracemalloc.stop()
    world.run(1)
    answer += read_all(other)[0]
    assert answer.startswith(b"HTTP/1.1 200 ") and not world.errors
    assert world.ask("all", (0, 1)).status == 200


def test_requests_sent_all_at_once_are_taken_one_a_turn() -> None:
    """Else thousands of them hold up whatever else waits in that turn."""
    world = World()
    client = connect(world)
    client.sendall(HEALTH * 1500)
    most, before = 0, 0
    for _ in range(300):
        world.loop.turn(0.001)
        now = world.broker.server.counts["requests"]
        most, before = max(most, now - before), now
    assert before > 16 and most <= 2


def test_header_lines_count_with_what_frames_them() -> None:
    """Thousands of headers of hardly a byte: joined one by one they cost the square of their number."""
    reader = RequestReader(Limits(headers=8 * 1024))
    with pytest.raises(HttpError, match="headers of more than"):
        reader.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 3000)
    assert len(reader._headers["a"]) < 4 * 1024


def test_who_asks_on_and_never_reads_holds_one_answer_and_is_cut_off() -> None:
    world = World()
    client = connect(world)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    world.run(0.02)
    peer = peer_of(world, client)
    peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for _ in range(1000):
        client.send(STATE)
        world.run(0.01)
        if peer.stream.pending:
            break
    counts = world.broker.server.counts
    held, taken = peer.stream.pending, counts["requests"]
    for _ in range(10):
        client.send(STATE)
        world.run(0.05)
        assert 0 < peer.stream.pending <= held and counts["requests"] == taken
    world.run(descriptors.WRITE / SECOND)
    assert peer.stream.closed and counts["slow_readers"] == 1
    assert world.ask("all", (0, 1)).status == 200 and not world.errors


def test_a_later_request_sent_byte_by_byte_has_its_time_and_others_are_served() -> None:
    world = World()
    slow = connect(world)
    slow.sendall(world.request("all", (0,)))
    world.run(0.1)
    assert read_all(slow)[0].startswith(b"HTTP/1.1 200 ")
    began = world.loop.at
    got, how = b"", "open"
    for byte in world.request("all", (0,)):
        slow.setblocking(True)
        slow.sendall(bytes([byte]))
        assert world.ask("all", (0, 1)).status == 200
        world.run(1)
        got, how = read_all(slow)
        if got:
            break
    assert got.startswith(b"HTTP/1.1 408 ") and how == "end"
    assert world.loop.at - began < descriptors.REQUEST + 2 * SECOND


def test_many_that_send_much_and_go_leave_nothing_behind() -> None:
    world = World()
    much = world.request("all", (0,), Req_Id="gone") + HEALTH * 3000
    for _ in range(60):
        client = connect(world)
        client.setblocking(False)
        try:
            client.send(much)
        except BlockingIOError:
            pass
        client.close()
        world.loop.turn(0)
    began = world.loop.at
    assert world.ask("all", (0, 1)).status == 200 and world.loop.at - began < 100 * MS
    world.run(1)
    assert not world.broker.open and len(world.broker.server.connections) == 1 and not world.errors
