"""What hundreds of clients send stays within a share of the memory, and other clients are served."""

import gc
import socket
import tracemalloc
from collections.abc import Callable

import pytest

from quincepath.limits.gate import Bounds
from quincepath.platform import descriptors
from quincepath.platform.process_memory import MEGABYTE, MIN_INPUT_BYTES, input_limit
from tests.standins.large_queries import large_query, memory_of_broker
from tests.standins.platform import SECOND, PlatformHarness
from tests.standins.sockets import connect, peer_of, read_all

CLIENTS = 100
MEMORY_MB = 8
PIECE_BYTES = 1500
# The share of input, a connection's own objects, and the shared read buffer with what a read makes of it.
MAX_TRACED_BYTES = input_limit(MEMORY_MB) + CLIENTS * 10_000 + MEGABYTE
HEAD = b"POST /all HTTP/1.1\r\nHost: a\r\n"
BODY = b"x" * 60_000


def make_harness() -> PlatformHarness:
    harness = PlatformHarness(limits={"memory_mb": MEMORY_MB, "sockets": 1024})
    harness.broker.admission.bounds = Bounds(open_work=5000, max_retry_after=SECOND)
    return harness


def header_lines(count: int) -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(count))


INPUTS: dict[str, Callable[[PlatformHarness], bytes]] = {
    "half a large body": lambda harness: HEAD + b"Content-Length: 65000\r\n\r\n" + BODY,
    "half a body in small chunks": lambda harness: (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + (b"64\r\n" + b"x" * 100 + b"\r\n") * 550
    ),
    "heads of many short fields": lambda harness: (HEAD + header_lines(90) + b"\r\n") * 16 + HEAD,
    "whole requests behind an open one": lambda harness: (
        harness.request("all", (0,)) + large_query(harness, 100) * 16
    ),
    "whole requests with much to forward": lambda harness: large_query(harness, 15_000),
}


def send_all(
    harness: PlatformHarness, clients: list[socket.socket], data: list[memoryview], piece: int
) -> int:
    """All clients write in turn; returns the most memory that was in use after any fourth round."""
    most = rounds = 0
    while any(data):
        rounds += 1
        for at, client in enumerate(clients):
            try:
                data[at] = data[at][client.send(data[at][:piece]) :]
            except BlockingIOError:
                pass
            except OSError:
                data[at] = memoryview(b"")
            harness.loop.turn(0)
        if rounds % 4 == 0 or not any(data):
            most = max(most, memory_of_broker())
    return most


@pytest.mark.parametrize("piece", [PIECE_BYTES, 64 * 1024], ids=["slowly", "at once"])
@pytest.mark.parametrize("what", INPUTS)
def test_input_of_many_clients_is_bounded_and_other_clients_are_served(what: str, piece: int) -> None:
    """A process with 64 MB was killed: 600 connections, each within its own bound, held more than that."""
    harness = make_harness()
    harness.set_behavior("silent")
    usual = connect(harness)
    clients = [connect(harness) for _ in range(CLIENTS)]
    for client in clients:
        client.setblocking(False)
    data = [memoryview(INPUTS[what](harness)) for _ in clients]
    harness.run(0.01)
    gc.collect()
    tracemalloc.start()
    try:
        most = send_all(harness, clients, data, piece)
    finally:
        tracemalloc.stop()
    assert most < MAX_TRACED_BYTES
    harness.set_behavior("good")
    usual.sendall(harness.request("all", (0, 1)))
    harness.run(1.6)
    assert read_all(usual)[0].startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) and not harness.errors
    for client in clients:
        client.close()
    harness.run(0.1)
    assert harness.broker.server.input_memory.total == 0 or harness.broker.exchanges
    assert harness.ask("all", (0, 1)).status == 200


def test_a_client_that_gives_way_gets_an_error_and_a_clean_close() -> None:
    harness = make_harness()
    clients = [connect(harness) for _ in range(40)]
    for client in clients:
        client.sendall(HEAD + b"Content-Length: 65000\r\n\r\n" + BODY)
        harness.loop.turn(0)
    harness.run(0.1)
    answers = [read_all(client) for client in clients]
    turned_away = [how for got, how in answers if got.startswith(b"HTTP/1.1 503 ")]
    assert len(turned_away) == harness.broker.server.counts["input shed"] > 20
    assert set(turned_away) == {"end"}


def test_an_open_request_is_answered_though_what_was_sent_behind_it_is_dropped() -> None:
    harness = make_harness()
    harness.set_behavior("silent")
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1)))
    assert harness.run_until(lambda: len(harness.received()) == 2)
    client.sendall(large_query(harness, 100)[:50_000])
    harness.run(0.01)
    peer = peer_of(harness, client)
    assert peer.sheddable_bytes > 40_000
    harness.broker.server.input_memory.limit = 10_000
    harness.broker.server.input_memory.enforce(peer)
    assert peer.sheddable_bytes == 0 and not peer.closing
    for node in harness.nodes:
        node.answer_silent()
    harness.run(0.1)
    got, how = read_all(client)
    assert got.startswith(b"HTTP/1.1 200 ") and how == "end" and got.count(b"HTTP/1.1 ") == 1


def test_the_share_of_input_follows_the_memory_limit() -> None:
    assert input_limit(192) == 24 * MEGABYTE and input_limit(32) == 4 * MEGABYTE
    assert input_limit(0) == MIN_INPUT_BYTES > 10 * descriptors.MAX_BODY_BYTES
