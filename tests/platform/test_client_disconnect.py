"""A client that has closed has gone: nothing of its query is sent on any more, wherever its end lies."""

import socket
from collections.abc import Callable

import pytest

from quincepath.net.http1 import MAX_PIPELINED_REQUESTS
from quincepath.net.server import MAX_DISCARDED_BYTES
from quincepath.net.stream import READ_CHUNK_BYTES
from tests.standins.platform import MS, World
from tests.standins.sockets import connect, peer_of, read_all

HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"
LONG = 150 * MS  # a turn of the loop, far over the time in which an end is to be seen


def sent_on(world: World, name: str = "gone") -> list[str]:
    return [part for part, _ in world.seen() if part.startswith(name)]


def kept(world: World) -> socket.socket:
    """A connection that has brought a query before."""
    client = connect(world)
    client.sendall(world.request("all", (0, 1)))
    assert world.until(lambda: world.broker.counts["whole"] > 0)
    world.run(0.05)
    assert read_all(client)[0]
    return client


def during(world: World, act: Callable[[], None]) -> None:
    """A turn that takes long, by something else than this client; ``act`` happens within it."""

    def slow() -> None:
        act()
        world.loop.at += LONG

    world.loop.call_at(world.loop.at, slow)


@pytest.mark.parametrize("way", ["close", "reset"])
def test_who_left_while_the_listener_rested_is_not_served(way: str) -> None:
    """Its request and its end lie behind each other when it is accepted."""
    world = World()
    listener = world.broker.server.listener
    listener._pause_accepting("planted: out of descriptors")
    client = connect(world)
    client.sendall(world.request("all", (0, 1), Req_Id="gone"))
    if way == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    world.run(1)
    assert world.broker.server.counts["accepted"] == 1 and not world.broker.server.connections
    assert not sent_on(world) and not world.broker.open and not world.errors


def test_an_end_behind_more_than_one_read_is_seen_before_a_first_request_is_taken() -> None:
    world = World()
    world.broker.server.listener._pause_accepting("planted: out of descriptors")
    client = connect(world)
    client.setblocking(False)
    much = world.request("all", (0, 1), Req_Id="gone") + HEALTH * 12_000
    assert READ_CHUNK_BYTES < client.send(much) < MAX_DISCARDED_BYTES
    client.close()
    world.run(1)
    assert world.broker.server.counts["accepted"] == 1 and not world.broker.server.connections
    assert not sent_on(world) and not world.broker.open and not world.errors


def test_who_left_in_a_long_turn_is_not_served_in_the_next() -> None:
    world = World()
    client = kept(world)

    def ask_and_go() -> None:
        client.sendall(world.request("all", (0, 1), Req_Id="gone"))
        client.close()

    during(world, ask_and_go)
    world.run(1)
    assert world.broker.server.counts["requests"] == 2, "its request came through: this is about its end"
    assert not sent_on(world) and not world.broker.open and not world.errors


def test_who_left_in_the_very_turn_that_read_its_request_is_not_served() -> None:
    world = World()
    client = kept(world)
    during(world, client.close)
    client.sendall(world.request("all", (0, 1), Req_Id="gone"))
    # The socket is read first, then comes the long turn's rest, and what was read is sent on at its end.
    world.run(1)
    assert world.broker.server.counts["requests"] == 2
    assert not sent_on(world) and not world.broker.open and not world.errors


def test_no_further_attempt_begins_after_a_long_turn_in_which_the_client_left() -> None:
    """The node's answer and the end come in one turn; the next attempt would begin at once."""
    world = World()
    client = kept(world)
    for node in world.nodes:
        node.acts = ["later"]
    client.sendall(world.request("all", (0,), Req_Id="gone"))
    assert world.until(lambda: len(sent_on(world)) == 1)
    replied = world.broker.nodes.replied

    def slow_reply(*words: object) -> None:
        client.close()
        world.loop.at += LONG
        replied(*words)  # type: ignore[arg-type]

    world.broker.nodes.replied = slow_reply  # type: ignore[assignment, method-assign]
    world.run(1)
    assert len(sent_on(world)) == 1 and not world.broker.open and not world.errors


BEHIND: dict[str, list[bytes]] = {
    "nothing": [],
    "more than is held": [HEALTH * (MAX_PIPELINED_REQUESTS + 4), HEALTH * 4],
    "what is no request": [b"nonsense\r\n\r\n", b"and more of it"],
    "half a request": [HEALTH[:20]],
    "a body too big": [b"POST /all HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", bytes(70_000)],
}


CLEAN = {"nothing": "open"}


@pytest.mark.parametrize("behind", BEHIND)
def test_an_end_is_seen_whatever_was_sent_ahead_of_it(behind: str) -> None:
    world = World()
    world.acts("silent")
    client = connect(world)
    client.sendall(world.request("all", (0, 1), Req_Id="gone"))
    assert world.until(lambda: len(sent_on(world)) == 2)
    for piece in BEHIND[behind]:
        client.sendall(piece)
        world.run(0.01)
    client.close()
    world.run(0.05)
    assert not world.broker.open and not world.broker.server.connections
    world.run(2)
    assert len(sent_on(world)) == 2 and not world.errors


@pytest.mark.parametrize("behind", BEHIND)
def test_who_stays_gets_the_answers_owed_and_a_clean_end(behind: str) -> None:
    world = World()
    client = connect(world)
    client.sendall(world.request("all", (0, 1)))
    world.until(lambda: bool(world.broker.open))
    for piece in BEHIND[behind]:
        client.sendall(piece)
    world.run(4)
    got, how = read_all(client)
    assert got.startswith(b"HTTP/1.1 200 ")
    # What is beyond the bound is dropped, and how much that is depends on how the pieces came together.
    least = {"nothing": 1, "more than is held": 1 + MAX_PIPELINED_REQUESTS}.get(behind, 2)
    assert least <= got.count(b"HTTP/1.1 ") <= (least + 8 if behind == "more than is held" else least)
    assert how in (("open", "end") if behind == "more than is held" else (CLEAN.get(behind, "end"),))


def test_a_request_behind_one_that_is_open_is_not_taken_once_its_client_has_gone() -> None:
    world = World()
    client = connect(world)
    client.sendall(world.request("all", (0, 1)) + world.request("all", (0, 1), Req_Id="gone"))
    assert world.until(lambda: world.broker.counts["whole"] == 1 or len(world.seen()) == 2)
    client.close()
    world.run(1)
    assert not sent_on(world) and not world.broker.open


def test_a_flood_behind_an_open_request_is_dropped_and_then_broken_off() -> None:
    world = World()
    world.acts("silent")
    client = connect(world)
    client.sendall(world.request("all", (0, 1)) + HEALTH * MAX_PIPELINED_REQUESTS)
    world.run(0.02)
    peer = peer_of(world, client)
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
        world.run(0.001)
        assert len(peer.reader.done) == held or peer.stream.closed
    assert peer.stream.closed and not world.broker.open
    world.acts("good")
    assert world.ask("all", (0, 1)).status == 200 and not world.errors
