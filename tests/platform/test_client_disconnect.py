"""After a client has closed its connection nothing of its query is forwarded, wherever the close is seen."""

import select
import socket
from collections.abc import Callable

import pytest

from quincepath.net.client_connection import MAX_DISCARDED_BYTES
from quincepath.net.http1 import MAX_PIPELINED_REQUESTS
from quincepath.net.stream import READ_CHUNK_BYTES
from tests.standins.platform import MS, PlatformHarness
from tests.standins.sockets import connect, peer_of, read_all

HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_TURN_NS = 150 * MS  # far longer than the time within which a close must be noticed


def forwarded(harness: PlatformHarness, name: str = "gone") -> list[str]:
    return [part for part, _ in harness.received() if part.startswith(name)]


def established_client(harness: PlatformHarness) -> socket.socket:
    """A connection that has brought a query before."""
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1)))
    assert harness.run_until(lambda: harness.broker.counts["whole"] > 0)
    harness.run(0.05)
    assert read_all(client)[0]
    return client


def delivery(harness: PlatformHarness, client: socket.socket, event: int) -> Callable[[], None]:
    """A wait until the broker's system has what the client sent: ``POLLIN`` bytes, ``POLLRDHUP`` its end.

    A busy machine may deliver it later than the loop in virtual time waits for it, and the clock jumps then.
    """
    poll = select.poll()
    poll.register(peer_of(harness, client).stream.sock, event)

    def wait() -> None:
        assert poll.poll(5000)

    return wait


def in_long_turn(harness: PlatformHarness, act: Callable[[], None]) -> None:
    """Run ``act`` within a turn that is long for reasons other than this client."""

    def slow() -> None:
        act()
        harness.loop.at += LONG_TURN_NS

    harness.loop.call_at(harness.loop.at, slow)


@pytest.mark.parametrize("way", ["close", "reset"])
def test_a_client_that_left_while_accepting_was_paused_is_not_served(way: str) -> None:
    """Its request and its close are both pending when it is accepted."""
    harness = PlatformHarness()
    listener = harness.broker.server.listener
    listener._pause_accepting("planted: out of descriptors")
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1), Req_Id="gone"))
    if way == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    harness.run(1)
    assert harness.broker.server.counts["accepted"] == 1 and not harness.broker.server.connections
    assert not forwarded(harness) and not harness.broker.exchanges and not harness.errors


def test_a_close_beyond_one_read_is_seen_before_the_first_request_is_taken() -> None:
    harness = PlatformHarness()
    harness.broker.server.listener._pause_accepting("planted: out of descriptors")
    client = connect(harness)
    client.setblocking(False)
    much = harness.request("all", (0, 1), Req_Id="gone") + HEALTH * 12_000
    assert READ_CHUNK_BYTES < client.send(much) < MAX_DISCARDED_BYTES
    client.close()
    harness.run(1)
    assert harness.broker.server.counts["accepted"] == 1 and not harness.broker.server.connections
    assert not forwarded(harness) and not harness.broker.exchanges and not harness.errors


def test_a_client_that_left_during_a_long_turn_is_not_served_in_the_next() -> None:
    harness = PlatformHarness()
    client = established_client(harness)
    delivered = delivery(harness, client, select.POLLRDHUP)

    def ask_and_go() -> None:
        client.sendall(harness.request("all", (0, 1), Req_Id="gone"))
        client.close()
        delivered()

    in_long_turn(harness, ask_and_go)
    harness.run(1)
    assert harness.broker.server.counts["requests"] == 2, "its request was read; the test is about its close"
    assert not forwarded(harness) and not harness.broker.exchanges and not harness.errors


def send_and_close(client: socket.socket, data: bytes) -> None:
    """Send as much as the system takes, then close; the system still sends what it has taken."""
    client.setblocking(False)
    try:
        while data:
            data = data[client.send(data) :]
    except BlockingIOError:
        pass
    client.close()


@pytest.mark.parametrize("size", [2 * READ_CHUNK_BYTES, MAX_DISCARDED_BYTES - READ_CHUNK_BYTES])
@pytest.mark.parametrize("junk", [HEALTH, b"nonsense\r\n"], ids=["requests", "no requests"])
def test_a_close_behind_much_unread_is_seen_before_a_query_is_forwarded(junk: bytes, size: int) -> None:
    """A long turn lies between the close and the read that brings the query, and its end is not read yet."""
    harness = PlatformHarness()
    client = established_client(harness)
    data = harness.request("all", (0, 1), Req_Id="gone") + junk * (size // len(junk))
    delivered = delivery(harness, client, select.POLLIN)

    def ask_and_go() -> None:
        send_and_close(client, data)
        delivered()

    in_long_turn(harness, ask_and_go)
    harness.run(1)
    assert not forwarded(harness) and not harness.broker.exchanges and not harness.errors
    assert not harness.broker.server.connections


def test_a_close_behind_much_unread_is_seen_before_a_part_is_sent_again() -> None:
    harness = PlatformHarness()
    client = established_client(harness)
    for node in harness.nodes:
        node.behaviors = ["later"]
    client.sendall(harness.request("all", (0,), Req_Id="gone"))
    assert harness.run_until(lambda: len(forwarded(harness)) == 1)
    replied = harness.broker.nodes.on_reply
    delivered = delivery(harness, client, select.POLLIN)

    def slow_reply(*args: object) -> None:
        send_and_close(client, HEALTH * (MAX_DISCARDED_BYTES // 2 // len(HEALTH)))
        delivered()
        harness.loop.at += LONG_TURN_NS
        replied(*args)  # type: ignore[arg-type]

    harness.broker.nodes.on_reply = slow_reply  # type: ignore[assignment, method-assign]
    harness.run(1)
    assert len(forwarded(harness)) == 1 and not harness.broker.exchanges and not harness.errors


def test_a_request_sent_ahead_is_not_taken_while_more_is_unread_behind_it() -> None:
    """The client's end may be among it: its query was forwarded after its close."""
    harness = PlatformHarness()
    client = established_client(harness)
    client.sendall(HEALTH + harness.request("all", (0, 1), Req_Id="gone"))
    send_and_close(client, HEALTH * (MAX_DISCARDED_BYTES // 2 // len(HEALTH)))
    for _ in range(50):
        harness.loop.turn(0)
    assert harness.broker.counts["taken"] == 1 and not forwarded(harness)
    assert not harness.broker.server.connections and not harness.errors


def test_a_client_that_left_in_the_turn_that_read_its_request_is_not_served() -> None:
    harness = PlatformHarness()
    client = established_client(harness)
    ended, arrived = (delivery(harness, client, event) for event in (select.POLLRDHUP, select.POLLIN))

    def go() -> None:
        client.close()
        ended()

    in_long_turn(harness, go)
    client.sendall(harness.request("all", (0, 1), Req_Id="gone"))
    arrived()
    # The socket is read first; the rest of the long turn follows, and the request is forwarded at its end.
    harness.run(1)
    assert harness.broker.server.counts["requests"] == 2
    assert not forwarded(harness) and not harness.broker.exchanges and not harness.errors


def test_no_further_attempt_starts_after_a_long_turn_in_which_the_client_left() -> None:
    """The node's reply and the close arrive in one turn; the next attempt would start at once."""
    harness = PlatformHarness()
    client = established_client(harness)
    for node in harness.nodes:
        node.behaviors = ["later"]
    client.sendall(harness.request("all", (0,), Req_Id="gone"))
    assert harness.run_until(lambda: len(forwarded(harness)) == 1)
    replied = harness.broker.nodes.on_reply
    delivered = delivery(harness, client, select.POLLRDHUP)

    def slow_reply(*args: object) -> None:
        client.close()
        delivered()
        harness.loop.at += LONG_TURN_NS
        replied(*args)  # type: ignore[arg-type]

    harness.broker.nodes.on_reply = slow_reply  # type: ignore[assignment, method-assign]
    harness.run(1)
    assert len(forwarded(harness)) == 1 and not harness.broker.exchanges and not harness.errors


PIPELINED: dict[str, list[bytes]] = {
    "nothing": [],
    "more than is held": [HEALTH * (MAX_PIPELINED_REQUESTS + 4), HEALTH * 4],
    "what is no request": [b"nonsense\r\n\r\n", b"and more of it"],
    "half a request": [HEALTH[:20]],
    "a body too big": [b"POST /all HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", bytes(70_000)],
}


CLEAN_ENDS = {"nothing": "open"}


@pytest.mark.parametrize("behind", PIPELINED)
def test_a_close_is_seen_whatever_was_sent_before_it(behind: str) -> None:
    harness = PlatformHarness()
    harness.set_behavior("silent")
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1), Req_Id="gone"))
    assert harness.run_until(lambda: len(forwarded(harness)) == 2)
    for piece in PIPELINED[behind]:
        client.sendall(piece)
        harness.run(0.01)
    client.close()
    harness.run(0.05)
    assert not harness.broker.exchanges and not harness.broker.server.connections
    harness.run(2)
    assert len(forwarded(harness)) == 2 and not harness.errors


@pytest.mark.parametrize("behind", PIPELINED)
def test_a_client_that_stays_gets_all_responses_and_a_clean_close(behind: str) -> None:
    harness = PlatformHarness()
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1)))
    harness.run_until(lambda: bool(harness.broker.exchanges))
    for piece in PIPELINED[behind]:
        client.sendall(piece)
    harness.run(4)
    got, how = read_all(client)
    assert got.startswith(b"HTTP/1.1 200 ")
    # Requests beyond the limit are dropped; how many depends on how the pieces arrived.
    least = {"nothing": 1, "more than is held": 1 + MAX_PIPELINED_REQUESTS}.get(behind, 2)
    assert least <= got.count(b"HTTP/1.1 ") <= (least + 8 if behind == "more than is held" else least)
    assert how in (("open", "end") if behind == "more than is held" else (CLEAN_ENDS.get(behind, "end"),))


def test_a_pipelined_request_is_not_taken_once_its_client_has_left() -> None:
    harness = PlatformHarness()
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1)) + harness.request("all", (0, 1), Req_Id="gone"))
    assert harness.run_until(lambda: harness.broker.counts["whole"] == 1 or len(harness.received()) == 2)
    client.close()
    harness.run(1)
    assert not forwarded(harness) and not harness.broker.exchanges


def test_a_flood_behind_an_open_request_is_dropped_and_then_cut_off() -> None:
    harness = PlatformHarness()
    harness.set_behavior("silent")
    client = connect(harness)
    client.sendall(harness.request("all", (0, 1)) + HEALTH * MAX_PIPELINED_REQUESTS)
    harness.run(0.02)
    peer = peer_of(harness, client)
    held = len(peer.reader.done)
    client.setblocking(False)
    sent = 0
    while not peer.stream.closed and sent < 4 * MAX_DISCARDED_BYTES:
        try:
            sent += client.send(bytes(64 * 1024))
        except BlockingIOError:
            pass
        except OSError:
            break
        harness.run(0.001)
        assert len(peer.reader.done) == held or peer.stream.closed
    assert peer.stream.closed and not harness.broker.exchanges
    harness.set_behavior("good")
    assert harness.ask("all", (0, 1)).status == 200 and not harness.errors
