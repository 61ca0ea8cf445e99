"""What a reader of requests, and a connection that is being closed, hold in memory."""

import pytest

from quincepath.net.http1 import MAX_PIPELINED_REQUESTS, PARSE_CHUNK_BYTES, Limits, RequestReader
from tests.standins.platform import PlatformHarness
from tests.standins.sockets import connect, peer_of, read_all

BODY_LIMIT = 64 * 1024
SMALL_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


def request(body_size: int) -> bytes:
    return b"POST /all HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % body_size + b"x" * body_size


def test_a_reader_keeps_nothing_of_a_request_that_was_taken() -> None:
    """Each connection between two requests kept the body of its last one."""
    reader = RequestReader(Limits(body=BODY_LIMIT))
    reader.feed(request(BODY_LIMIT))
    assert reader.held_bytes == BODY_LIMIT
    assert len(reader.done.popleft().body) == BODY_LIMIT
    assert reader.held_bytes == 0


def test_a_reader_stops_at_one_body_size_of_requests_sent_ahead() -> None:
    """A connection could hold 16 requests of the largest size, and hundreds of connections are allowed."""
    reader = RequestReader(Limits(body=BODY_LIMIT))
    for _ in range(20):
        reader.feed(request(BODY_LIMIT - 200))
    assert 1 <= len(reader.done) and reader.held_bytes <= 2 * BODY_LIMIT and reader.dropped


def test_small_requests_sent_ahead_are_all_queued_up_to_their_number() -> None:
    reader = RequestReader(Limits(body=BODY_LIMIT))
    reader.feed(request(300) * 16)
    assert len(reader.done) == 16 and not reader.dropped


@pytest.mark.parametrize("piece_bytes", [1, 100, PARSE_CHUNK_BYTES, 500 * 34])
def test_no_more_small_requests_are_queued_however_they_arrive(piece_bytes: int) -> None:
    """Hundreds of them in one read were all queued: with hundreds of clients that exceeded the memory."""
    reader = RequestReader(Limits(body=BODY_LIMIT))
    data = SMALL_REQUEST * 500
    for at in range(0, len(data), piece_bytes):
        reader.feed(data[at : at + piece_bytes])
    assert len(reader.done) == MAX_PIPELINED_REQUESTS and reader.dropped and reader.error is None
    assert {request.target for request in reader.done} == {"/-/ready"} and not reader.busy


def test_requests_of_many_clients_at_once_are_bounded_and_other_clients_are_served() -> None:
    """A broker with 500 such clients exceeded its memory within a second and was killed."""
    harness = PlatformHarness()
    clients = [connect(harness) for _ in range(60)]
    for client in clients:
        client.sendall(SMALL_REQUEST * 500)
    for _ in range(100):
        harness.loop.turn(0)
        queued = sum(len(peer.reader.done) for peer in harness.broker.server.connections)
        assert queued <= len(clients) * MAX_PIPELINED_REQUESTS
    assert harness.ask("all", (0, 1)).status == 200
    for client in clients:
        got, how = read_all(client)
        assert got.count(b"HTTP/1.1 200 ") == MAX_PIPELINED_REQUESTS and how == "end"


def test_a_connection_that_was_sent_its_last_answer_keeps_nothing_sent_ahead() -> None:
    """It lingers until its client ends it, and serves nothing more."""
    harness = PlatformHarness()
    client = connect(harness)
    no_query = request(10)  # its error is the last answer
    client.sendall(no_query + request(BODY_LIMIT) * 3)
    harness.run(0.02)
    peer = peer_of(harness, client)
    assert read_all(client)[0].startswith(b"HTTP/1.1 400 ") and peer.closing and not peer.stream.closed
    assert not peer.reader.held_bytes
