"""A request that crosses the close of its connection is neither answered by a reset nor sent on after it.

In each of these the client's bytes arrive in the one moment that is bad for them, by a hook on the broker's
own call to the system, and not by chance.
"""

import socket
from collections.abc import Callable

import pytest

from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.http1 import Limits
from quincepath.net.server import ClientConnection, Exchange, HttpServer, Timeouts
from quincepath.net.stream import Listener
from quincepath.platform import descriptors
from tests.standins.platform import MS, SECOND, World
from tests.standins.sockets import Moment, connect, peer_of, read_all

KILL = 2 * SECOND + 700 * MS  # after SIGTERM at the earliest, by the classes of the stand-in
HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"


def crowd(world: World) -> None:
    """As many connections as there are places."""
    world.crowd = [connect(world) for _ in range(world.broker.room.clients)]  # type: ignore[attr-defined]
    world.run(0.05)


def others_ask(world: World) -> None:
    """Connections that are used later than the one looked at, until that one is let go."""
    for _ in range(world.broker.room.kept):
        assert world.ask("all", (0,)).status == 200


def end(world: World) -> None:
    world.broker.stop(lambda: None)
    world.run(2)


WAYS: dict[str, tuple[str, Callable[[World], None]]] = {
    "idle for long": ("asked", lambda world: world.run(descriptors.IDLE / SECOND + 1)),
    "for room": ("silent", crowd),
    "unused for longest": ("asked", others_ask),
    "silent since its connect": ("silent", lambda world: world.run(descriptors.FIRST / SECOND + 1)),
    "half a request": ("half", lambda world: world.run(descriptors.REQUEST / SECOND + 1)),
    "told to end": ("asked", end),
    "told to end, silent": ("silent", end),
}  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
def test_a_request_in_the_very_moment_of_the_close_is_dropped_without_a_reset(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    before, act = WAYS[way]
    world = World(limits={"sockets": 64})
    client = connect(world)
    if before == "asked":
        client.sendall(world.request("all", (0,)))
        world.run(0.1)
        assert read_all(client)[0]
    elif before == "half":
        client.sendall(world.request()[:30])
    world.run(0.05)
    peer, request = peer_of(world, client), world.request("all", (0,), Req_Id="crossed")
    moment = Moment(monkeypatch, peer.stream.sock, ("shutdown", "close"), lambda: client.sendall(request))
    act(world)
    assert moment.came
    world.run(0.1)
    _, how = read_all(client)
    assert how == "end", "a reset says that the request may have run, and takes the answer with it"
    assert not [part for part, _ in world.seen() if part.startswith("crossed")]
    client.close()
    world.run(0.1)
    assert peer.stream.closed and not world.errors


def test_an_answer_is_not_destroyed_by_what_comes_before_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client says more and does not end; its bytes come right before its time is over."""
    world = World()
    client = connect(world)
    client.sendall(b"nonsense\r\n\r\n")
    world.run(0.05)
    peer, expire = peer_of(world, client), ClientConnection.expire

    def late(self: ClientConnection, now: int, times: Timeouts) -> None:
        if self is peer and now > self.since + times.linger:
            client.sendall(HEALTH)
        expire(self, now, times)

    monkeypatch.setattr(ClientConnection, "expire", late)
    world.run(2)
    assert peer.stream.closed
    got, how = read_all(client)
    assert got.startswith(b"HTTP/1.1 400 ") and how == "end"


def test_the_time_to_take_an_answer_runs_from_its_last_byte() -> None:
    """A big answer takes its reader longer than the bound; then bytes come that would break it off."""
    loop = VirtualLoop()
    body = bytes(8 << 20)

    def answer(exchange: Exchange) -> None:
        exchange.request.keep_alive = False
        exchange.respond(200, {}, body)

    times = Timeouts(60 * SECOND, 60 * SECOND, 60 * SECOND, linger=SECOND)
    server = HttpServer(loop, "127.0.0.1", 0, answer, Limits(), times, 10)
    client = socket.create_connection(("127.0.0.1", server.port))
    client.sendall(HEALTH)
    got = b""

    def run(seconds: float) -> None:
        end = loop.at + int(seconds * SECOND)
        while loop.at < end:
            loop.turn((end - loop.at) / 1e9)

    for _ in range(200):
        run(0.05)
        (peer,) = server.connections
        if not peer.stream.pending:
            break
        client.settimeout(5)
        got += client.recv(64 * 1024)
    assert peer.stream.state_since > peer.since + times.linger, "the reader was not slow: this proves nothing"
    run(0.6)  # the sweep comes by twice
    client.sendall(HEALTH)
    rest, how = read_all(client)
    while how == "open":
        run(0.05)
        more, how = read_all(client)
        rest += more
    assert how == "end" and len(got + rest) > len(body)
    server.close()
    client.close()
    loop.close()


def test_a_crowd_that_never_ends_its_side_keeps_nobody_out() -> None:
    """Half-closed connections hold descriptors: the oldest go, and the listener never rests for them."""
    world = World(limits={"sockets": 64})
    held, most = [], 0
    for _ in range(150):
        held.append(connect(world))
        world.run(0.001)
        most = max(most, len(world.broker.server.connections))
    assert most <= world.broker.room.clients + 8 and not world.broker.counts["accepting paused"]
    assert world.ask("all", (0, 1)).status == 200
    ready = connect(world)
    ready.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    world.run(0.05)
    assert read_all(ready)[0].startswith(b"HTTP/1.1 200 ")
    assert not world.broker.counts["accepting paused"] and not world.errors


def test_at_the_bound_the_oldest_half_closed_goes_and_no_answer_that_is_leaving() -> None:
    loop = VirtualLoop()
    body = bytes(8 << 20)

    def answer(exchange: Exchange) -> None:
        exchange.request.keep_alive = False
        exchange.respond(200, {}, body if exchange.request.path == "/big" else b"small")

    server = HttpServer(loop, "127.0.0.1", 0, answer, Limits(), Timeouts(*[60 * SECOND] * 5), 3)
    clients = []
    for path in (b"/big", b"/small", b"/small", b"/small"):
        clients.append(socket.create_connection(("127.0.0.1", server.port)))
        clients[-1].sendall(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        for _ in range(10):
            loop.turn(0.001)
    assert server.counts["lingered_out"] == 2 and not server.counts["accepting_paused"]
    assert [peer.stream.state.name for peer in server.connections] == ["DRAINING", "HALF_CLOSED"]
    assert [read_all(client)[1] for client in clients[1:]] == ["end"] * 3
    got, how = b"", "open"
    while how == "open":
        loop.turn(0.001)
        more, how = read_all(clients[0])
        got += more
    assert how == "end" and len(got) > len(body)
    server.close()
    loop.close()


@pytest.mark.parametrize("classes", [(2.0, 1.0), (2.0, 0.02)], ids=["usual", "short targets"])
@pytest.mark.parametrize("kind", ["resting", "silent", "half a request", "answered last"])
def test_a_client_that_never_ends_its_side_does_not_hold_the_process_up_to_the_kill(
    kind: str, classes: tuple[float, float]
) -> None:
    deadline, target = (int(one * SECOND) for one in classes)
    spec = {"effect": "read_like", "deadline": deadline, "target": target, "lateWorth": 0.1}
    world = World(classes=[{"name": name, **spec} for name in ("any", "all", "once")])
    client = connect(world)
    if kind in ("resting", "answered last"):
        client.sendall(world.request("all", (0,)))
    world.run(0.1)
    done: list[int] = []
    began = world.loop.at
    world.broker.stop(lambda: done.append(world.loop.at))
    closes = world.broker.ending.accepts_until()
    world.run((closes - world.loop.at) / SECOND - 0.01)
    if kind == "half a request":
        client.sendall(world.request()[:30])
    elif kind == "answered last":
        client.sendall(world.request("all", (0,)))
    assert world.until(lambda: bool(done), 5)
    assert done[0] > closes, "the process ends before its clients were told and drained"
    assert done[0] < began + KILL - 25 * MS, "the kill comes before the process has ended"
    states = {peer.stream.state.name for peer in world.broker.server.connections}
    assert states <= {"HALF_CLOSED", "DRAINING"}
    world.broker.close()
    got, how = read_all(client)
    assert how == "end"
    if kind == "half a request":
        assert got.startswith(b"HTTP/1.1 408 ")


def test_a_whole_request_behind_one_just_answered_is_not_idle_when_the_door_closes() -> None:
    """It is read and waits for its turn in the moment in which connections between requests are closed."""
    world = World()
    client = connect(world)
    client.sendall(HEALTH)
    world.run(0.05)
    server = world.broker.server
    client.sendall(HEALTH * 2)
    assert world.until(lambda: server.counts["requests"] == 2)
    assert peer_of(world, client).reader.done, "its turn has come already: this proves nothing"
    server.drain()
    world.run(0.1)
    got, how = read_all(client)
    assert got.count(b"HTTP/1.1 200 ") == 3 and how == "end"


def test_connections_that_are_ending_count_among_those_kept_no_more() -> None:
    """Else good ones that brought queries go in their place while they linger."""
    world = World(limits={"sockets": 96})
    held = []

    def bring() -> None:
        held.append(connect(world))
        held[-1].sendall(world.request("all", (0,)))
        whole = world.broker.counts["whole"]
        assert world.until(lambda: world.broker.counts["whole"] > whole)

    for _ in range(world.broker.room.kept):
        bring()
    good, bad = held[:8], held[8:]
    for client in bad:
        client.sendall(b"nonsense\r\n\r\n")
    world.run(0.02)
    assert len(world.broker.server.lingering) == len(bad)
    for _ in range(4):
        bring()
    world.run(0.02)
    assert len(world.broker.server.lingering) == len(bad), "their time is over: this proves nothing"
    assert [read_all(client)[1] for client in good] == ["open"] * 8


def test_who_comes_while_the_listener_is_put_away_is_let_in(monkeypatch: pytest.MonkeyPatch) -> None:
    """Between the last accept and the close there was a call to the selector."""
    world = World()
    client: list[socket.socket] = []
    listener = world.broker.server.listener
    watch = world.loop.watch

    def watched(sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        if sock is listener.sock and not mask and not client:
            client.append(connect(world))
            client[0].sendall(world.request("all", (0,)))
        watch(sock, mask, call)

    monkeypatch.setattr(world.loop, "watch", watched)
    world.broker.stop(lambda: None)
    world.run(2)
    assert listener.closed
    got, how = read_all(client[0])
    assert got.startswith(b"HTTP/1.1 ") and how == "end"


def test_at_the_end_who_waits_is_let_in_although_all_places_are_taken() -> None:
    loop = VirtualLoop()
    open_now: list[Exchange] = []
    times = Timeouts(60 * SECOND, 60 * SECOND, 60 * SECOND)
    server = HttpServer(loop, "127.0.0.1", 0, open_now.append, Limits(), times, 3)
    clients = []
    for _ in range(8):
        clients.append(socket.create_connection(("127.0.0.1", server.port)))
        clients[-1].sendall(HEALTH)
    for _ in range(20):
        loop.turn(0.001)
    assert len(open_now) == 3
    server.drain()
    for _ in range(20):
        loop.turn(0.001)
    assert len(open_now) == 8 and isinstance(server.listener, Listener) and server.listener.closed
    for exchange in open_now:
        exchange.text(200, "served")
    for client in clients:
        assert read_all(client)[0].startswith(b"HTTP/1.1 200 ")
    server.close()
    loop.close()
