"""Clients that begin a request and do not end it do not shut out those that bring whole ones."""

import socket

import pytest

from quincepath.platform import descriptors
from tests.standins.platform import SECOND, Client, PlatformHarness
from tests.standins.sockets import connect

HALF = b"POST /all HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\nhalf"
SOCKETS = 96
MIN_REQUEST_S = descriptors.MIN_REQUEST_NS / SECOND


def begin_requests(harness: PlatformHarness, count: int) -> list[socket.socket]:
    """Clients that each send half a request."""
    clients = []
    for _ in range(count):
        client = connect(harness)
        client.sendall(HALF)
        harness.run(0.002)
        clients.append(client)
    return clients


def test_a_client_that_brings_queries_keeps_its_connection_among_unfinished_requests() -> None:
    """It was closed for each new connection, as it alone was between two requests."""
    harness = PlatformHarness(limits={"sockets": SOCKETS})
    regular = Client(harness)
    others = []
    for number in range(20):
        others += begin_requests(harness, 20)
        regular.stream.write(harness.request("all", (0, 1)))
        assert harness.run_until(lambda number=number: regular.data.count(b"HTTP/1.1 200 ") == number + 1)  # type: ignore[misc]
        assert not regular.ended
    assert harness.broker.server.counts["cut as it came"] > 100 and others


def test_a_new_client_takes_the_place_of_a_request_that_is_slow_to_arrive() -> None:
    harness = PlatformHarness(limits={"sockets": SOCKETS})
    places = harness.broker.connection_limits.clients
    others = begin_requests(harness, places)
    assert not harness.ask("all", (0, 1)).status, "all have begun a moment ago"
    harness.run(MIN_REQUEST_S)
    assert harness.ask("all", (0, 1)).status == 200
    assert harness.broker.server.counts["cut for room, unfinished"] >= 1 and others


def test_a_request_that_takes_its_time_is_served_while_places_are_not_scarce() -> None:
    harness = PlatformHarness(limits={"sockets": SOCKETS})
    client = Client(harness)
    request = harness.request("all", (0, 1))
    for at in range(0, len(request), len(request) // 10):
        client.stream.write(request[at : at + len(request) // 10])
        harness.run(0.15)
    assert harness.run_until(lambda: client.status > 0) and client.status == 200


@pytest.mark.parametrize("count", [1, 3])
def test_a_bad_client_still_gets_its_error_or_close_in_time(count: int) -> None:
    harness = PlatformHarness(limits={"sockets": SOCKETS})
    clients = begin_requests(harness, count * harness.broker.connection_limits.clients)
    harness.run(3 - 0.002 * len(clients))
    for client in clients:
        client.setblocking(False)
        try:
            got = client.recv(65536)
        except ConnectionResetError:
            got = b""
        assert not got or got.startswith(b"HTTP/1.1 408 ")
