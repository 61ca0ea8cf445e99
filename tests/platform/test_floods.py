"""Clients that send too much or too slowly, or never read, cost little; other clients are served."""

import json
import re
import socket
import tracemalloc
from collections.abc import Iterator

import pytest

from quincepath.net.http1 import FREE_CHUNKS, MAX_PIPELINED_REQUESTS, HttpError, Limits, RequestReader
from quincepath.platform import descriptors
from tests.standins.platform import MS, SECOND, Client, PlatformHarness
from tests.standins.sockets import connect, peer_of, read_all

HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
STATE = b"GET /-/state HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST /all HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOOD_BYTES = 12 * 1024 * 1024  # sent by a flood at most
MAX_MEMORY_BYTES = 3 * 1024 * 1024  # for one connection, its read buffer included


def flood(harness: PlatformHarness, client: socket.socket, head: bytes, again: bytes) -> Iterator[int]:
    """Sends as fast as the broker reads; yields after each turn; ends when cut off or when all is sent."""
    client.setblocking(False)
    block = again * (64 * 1024 // len(again))
    sent = 0
    out = head
    while sent < FLOOD_BYTES:
        try:
            done = client.send(out)
            sent += done
            out = out[done:] or block
        except BlockingIOError:
            pass
        except OSError:
            return
        harness.loop.turn(0)
        yield sent


ENDLESS_INPUTS: dict[str, tuple[bytes, bytes]] = {
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


@pytest.mark.parametrize("what", ENDLESS_INPUTS)
def test_endless_input_is_bounded_in_memory_and_other_clients_are_served(what: str) -> None:
    harness = PlatformHarness()
    client, other = connect(harness), connect(harness)
    head, again = ENDLESS_INPUTS[what]
    if head == b"query":
        head = harness.request("all", (0,))
    other.sendall(harness.request("all", (0, 1), Req_Id="other"))
    harness.loop.turn(0)
    answer, turns = b"", 0
    tracemalloc.start()
    try:
        for turns, _ in enumerate(flood(harness, client, head, again)):
            answer += read_all(other)[0]
            if turns % 16 == 0:
                assert tracemalloc.get_traced_memory()[1] < MAX_MEMORY_BYTES
        assert tracemalloc.get_traced_memory()[1] < MAX_MEMORY_BYTES
    finally:
        tracemalloc.stop()
    harness.run(1)
    answer += read_all(other)[0]
    assert answer.startswith(b"HTTP/1.1 200 ") and not harness.errors
    assert harness.ask("all", (0, 1)).status == 200


def test_pipelined_requests_are_taken_one_per_turn() -> None:
    """Otherwise thousands of them would delay everything else in that turn."""
    harness = PlatformHarness()
    client = connect(harness)
    most, before = 0, 0
    for _ in range(20):
        client.sendall(HEALTH * MAX_PIPELINED_REQUESTS)
        for _ in range(15 + MAX_PIPELINED_REQUESTS):
            harness.loop.turn(0.001)
            now = harness.broker.server.counts["requests"]
            most, before = max(most, now - before), now
    assert before == 20 * MAX_PIPELINED_REQUESTS and most <= 2


def test_header_size_includes_separators() -> None:
    """Thousands of tiny headers of one name: joining their values one by one takes quadratic time."""
    reader = RequestReader(Limits(headers=8 * 1024, header_lines=10_000))
    with pytest.raises(HttpError, match="headers of more than 8192 bytes"):
        reader.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 3000)
    assert len(reader._headers["a"]) < 4 * 1024


@pytest.mark.parametrize(("lines", "status"), [(89, 200), (200, 431)])
def test_a_request_has_a_limited_number_of_header_lines(lines: int, status: int) -> None:
    """A header of four bytes takes some two hundred of memory."""
    harness = PlatformHarness()
    client = connect(harness)
    client.sendall(
        b"GET /-/healthy HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % number for number in range(lines)) + b"\r\n"
    )
    harness.run(0.1)
    assert read_all(client)[0].startswith(b"HTTP/1.1 %d " % status)


@pytest.mark.parametrize(("chunk", "served"), [(1, False), (16, False), (64, True), (4096, True)])
def test_a_body_in_very_many_small_chunks_is_refused_early(chunk: int, served: bool) -> None:
    """Each chunk takes a callback: 64 KiB in chunks of a byte took 20 ms, and hundreds of clients seconds."""
    reader = RequestReader(Limits(body=descriptors.MAX_BODY_BYTES))
    wire = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    sent = 0
    reader.feed(CHUNKED)
    try:
        while sent < 60_000:
            reader.feed(wire)
            sent += chunk
        reader.feed(b"0\r\n\r\n")
    except HttpError as error:
        assert error.status == 413 and not served
        assert sent < 1.5 * FREE_CHUNKS * chunk
    assert len(reader.done) == served


def test_a_small_body_may_come_in_chunks_of_a_byte() -> None:
    harness = PlatformHarness()
    head, _, body = harness.request("all", (0, 1)).partition(b"\r\n\r\n")
    chunked = re.sub(rb"Content-Length: \d+", b"Transfer-Encoding: chunked", head)
    client = Client(harness)
    client.stream.write(
        chunked + b"\r\n\r\n" + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    )
    assert harness.run_until(lambda: client.status > 0) and client.status == 200


def test_a_client_that_never_reads_holds_one_response_and_is_cut_off() -> None:
    harness = PlatformHarness()
    client = connect(harness)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    harness.run(0.02)
    peer = peer_of(harness, client)
    peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    for _ in range(1000):
        client.send(STATE)
        harness.run(0.01)
        if peer.stream.pending:
            break
    counts = harness.broker.server.counts
    held, taken = peer.stream.pending, counts["requests"]
    for _ in range(10):
        client.send(STATE)
        harness.run(0.05)
        assert 0 < peer.stream.pending <= held and counts["requests"] == taken
    harness.run(descriptors.WRITE_NS / SECOND)
    assert peer.stream.closed and counts["slow_readers"] == 1
    assert harness.ask("all", (0, 1)).status == 200 and not harness.errors


def test_a_later_request_sent_byte_by_byte_times_out_and_others_are_served() -> None:
    harness = PlatformHarness()
    slow = connect(harness)
    slow.sendall(harness.request("all", (0,)))
    harness.run(0.1)
    assert read_all(slow)[0].startswith(b"HTTP/1.1 200 ")
    began = harness.loop.at
    got, how = b"", "open"
    for byte in harness.request("all", (0,)):
        slow.setblocking(True)
        slow.sendall(bytes([byte]))
        assert harness.ask("all", (0, 1)).status == 200
        harness.run(1)
        got, how = read_all(slow)
        if got:
            break
    assert got.startswith(b"HTTP/1.1 408 ") and how == "end"
    assert harness.loop.at - began < descriptors.REQUEST_NS + 2 * SECOND


def test_many_clients_that_send_much_and_disconnect_leave_nothing_behind() -> None:
    harness = PlatformHarness()
    much = harness.request("all", (0,), Req_Id="gone") + HEALTH * 3000
    for _ in range(60):
        client = connect(harness)
        client.setblocking(False)
        try:
            client.send(much)
        except BlockingIOError:
            pass
        client.close()
        harness.loop.turn(0)
    began = harness.loop.at
    assert harness.ask("all", (0, 1)).status == 200 and harness.loop.at - began < 100 * MS
    harness.run(1)
    assert not harness.broker.exchanges and len(harness.broker.server.connections) == 1 and not harness.errors


def large_request(harness: PlatformHarness) -> bytes:
    """A query whose body is just under the limit."""
    body = {"ranges": [{"range": 0, "portion": 1}], "predicate": "c" * (descriptors.MAX_BODY_BYTES - 200)}
    return harness.request("all", (0,), body=json.dumps(body).encode())


def test_requests_sent_ahead_are_freed_with_their_connection() -> None:
    """Closed connections that had brought a query stayed referenced, each with up to 16 whole requests."""
    harness = PlatformHarness()
    harness.set_behavior("silent")

    def send_ahead_and_disconnect(times: int) -> None:
        for _ in range(times):
            client = Client(harness)
            small = harness.request("all", (0,))
            client.stream.write(small + b"".join(large_request(harness) for _ in range(20)))
            harness.run(0.1)
            client.stream.close(reset=True)
            harness.run(0.1)

    send_ahead_and_disconnect(2)
    tracemalloc.start()
    try:
        send_ahead_and_disconnect(10)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert harness.broker.counts["left"] == 12 and not harness.broker.server.connections
    assert held < 10 * descriptors.MAX_BODY_BYTES, "less than one body a client"
