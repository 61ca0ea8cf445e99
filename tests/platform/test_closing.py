"""A request that arrives as its connection is closed is neither answered by a reset nor forwarded after it.

In each test a hook on the broker's own system call makes the client's bytes arrive at exactly the critical
moment, rather than by chance.
"""

import socket
from collections.abc import Callable

import pytest

from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.client_connection import ClientConnection, Exchange, Timeouts
from quincepath.net.http1 import Limits
from quincepath.net.server import HttpServer
from quincepath.net.stream import Listener
from quincepath.platform import descriptors
from tests.standins.platform import MS, SECOND, PlatformHarness
from tests.standins.sockets import SyscallHook, connect, peer_of, read_all

KILL_NS = 2 * SECOND + 700 * MS  # from SIGTERM to SIGKILL at the earliest, with the classes of the stand-in
HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n"


def fill_client_limit(harness: PlatformHarness) -> None:
    """Open as many connections as the broker allows."""
    harness.held_clients = [connect(harness) for _ in range(harness.broker.connection_limits.clients)]  # type: ignore[attr-defined]
    harness.run(0.05)


def use_other_connections(harness: PlatformHarness) -> None:
    """Use other connections later than the one under test, until that one is closed."""
    for _ in range(harness.broker.connection_limits.kept):
        assert harness.ask("all", (0,)).status == 200


def stop_broker(harness: PlatformHarness) -> None:
    harness.broker.stop(lambda: None)
    harness.run(2)


CLOSE_CAUSES: dict[str, tuple[str, Callable[[PlatformHarness], None]]] = {
    "idle for long": ("asked", lambda harness: harness.run(descriptors.IDLE_NS / SECOND + 1)),
    "for room": ("silent", fill_client_limit),
    "unused for longest": ("asked", use_other_connections),
    "silent since its connect": (
        "silent", lambda harness: harness.run(descriptors.FIRST_REQUEST_NS / SECOND + 1)
    ),
    "half a request": ("half", lambda harness: harness.run(descriptors.REQUEST_NS / SECOND + 1)),
    "told to end": ("asked", stop_broker),
    "told to end, silent": ("silent", stop_broker),
}  # fmt: skip


@pytest.mark.parametrize("way", CLOSE_CAUSES)
def test_a_request_arriving_at_the_close_is_dropped_without_a_reset(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    before, act = CLOSE_CAUSES[way]
    harness = PlatformHarness(limits={"sockets": 64})
    client = connect(harness)
    if before == "asked":
        client.sendall(harness.request("all", (0,)))
        harness.run(0.1)
        assert read_all(client)[0]
    elif before == "half":
        client.sendall(harness.request()[:30])
    harness.run(0.05)
    peer, request = peer_of(harness, client), harness.request("all", (0,), Req_Id="crossed")
    hook = SyscallHook(monkeypatch, peer.stream.sock, ("shutdown", "close"), lambda: client.sendall(request))
    act(harness)
    assert hook.triggered
    harness.run(0.1)
    _, how = read_all(client)
    assert how == "end", "a reset means that the request may have run, and destroys the response"
    assert not [part for part, _ in harness.received() if part.startswith("crossed")]
    client.close()
    harness.run(0.1)
    assert peer.stream.closed and not harness.errors


def test_a_response_is_not_destroyed_by_bytes_that_arrive_before_the_linger_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client sends more and does not close; its bytes arrive just before the linger time is over."""
    harness = PlatformHarness()
    client = connect(harness)
    client.sendall(b"nonsense\r\n\r\n")
    harness.run(0.05)
    peer, expire = peer_of(harness, client), ClientConnection.expire

    def late(self: ClientConnection, now: int, times: Timeouts) -> None:
        if self is peer and now > self.since + times.linger:
            client.sendall(HEALTH)
        expire(self, now, times)

    monkeypatch.setattr(ClientConnection, "expire", late)
    harness.run(2)
    assert peer.stream.closed
    got, how = read_all(client)
    assert got.startswith(b"HTTP/1.1 400 ") and how == "end"


def test_the_linger_time_of_a_response_runs_from_its_last_byte() -> None:
    """Reading a large response takes longer than the linger time; bytes that arrive then must not cut it."""
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
    assert peer.stream.state_since > peer.since + times.linger, (
        "the reader was not slow: the test proves nothing"
    )
    run(0.6)  # the sweep runs twice
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


def test_clients_that_never_close_their_side_keep_no_other_client_out() -> None:
    """Half-closed connections hold descriptors: the oldest are closed, and accepting never pauses."""
    harness = PlatformHarness(limits={"sockets": 64})
    held, most = [], 0
    for _ in range(150):
        held.append(connect(harness))
        harness.run(0.001)
        most = max(most, len(harness.broker.server.connections))
    assert (
        most <= harness.broker.connection_limits.clients + 8 and not harness.broker.counts["accepting paused"]
    )
    assert harness.ask("all", (0, 1)).status == 200
    ready = connect(harness)
    ready.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    harness.run(0.05)
    assert read_all(ready)[0].startswith(b"HTTP/1.1 200 ")
    assert not harness.broker.counts["accepting paused"] and not harness.errors


def test_at_the_limit_the_oldest_half_closed_connection_is_closed_but_none_still_sending() -> None:
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
def test_a_client_that_never_closes_its_side_does_not_delay_the_exit_until_sigkill(
    kind: str, classes: tuple[float, float]
) -> None:
    deadline, target = (int(one * SECOND) for one in classes)
    spec = {"effect": "read_like", "deadline": deadline, "target": target, "lateWorth": 0.1}
    harness = PlatformHarness(classes=[{"name": name, **spec} for name in ("any", "all", "once")])
    client = connect(harness)
    if kind in ("resting", "answered last"):
        client.sendall(harness.request("all", (0,)))
    harness.run(0.1)
    done: list[int] = []
    began = harness.loop.at
    harness.broker.stop(lambda: done.append(harness.loop.at))
    closes = harness.broker.shutdown.accepts_until()
    harness.run((closes - harness.loop.at) / SECOND - 0.01)
    if kind == "half a request":
        client.sendall(harness.request()[:30])
    elif kind == "answered last":
        client.sendall(harness.request("all", (0,)))
    assert harness.run_until(lambda: bool(done), 5)
    assert done[0] > closes, "the process ends before its clients were drained"
    assert done[0] < began + KILL_NS - 25 * MS, "SIGKILL comes before the process has ended"
    states = {peer.stream.state.name for peer in harness.broker.server.connections}
    assert states <= {"HALF_CLOSED", "DRAINING"}
    harness.broker.close()
    got, how = read_all(client)
    assert how == "end"
    if kind == "half a request":
        assert got.startswith(b"HTTP/1.1 408 ")


def test_a_pipelined_request_is_not_taken_for_idle_when_the_server_drains() -> None:
    """It is read and queued at the moment when connections between requests are closed."""
    harness = PlatformHarness()
    client = connect(harness)
    client.sendall(HEALTH)
    harness.run(0.05)
    server = harness.broker.server
    client.sendall(HEALTH * 2)
    assert harness.run_until(lambda: server.counts["requests"] == 2)
    assert peer_of(harness, client).reader.done, "it was handled already: the test proves nothing"
    server.drain()
    harness.run(0.1)
    got, how = read_all(client)
    assert got.count(b"HTTP/1.1 200 ") == 3 and how == "end"


def test_closing_connections_do_not_count_among_the_kept_ones() -> None:
    """Otherwise good connections that brought queries are closed instead while they linger."""
    harness = PlatformHarness(limits={"sockets": 96})
    held = []

    def bring() -> None:
        held.append(connect(harness))
        held[-1].sendall(harness.request("all", (0,)))
        whole = harness.broker.counts["whole"]
        assert harness.run_until(lambda: harness.broker.counts["whole"] > whole)

    for _ in range(harness.broker.connection_limits.kept):
        bring()
    good, bad = held[:8], held[8:]
    for client in bad:
        client.sendall(b"nonsense\r\n\r\n")
    harness.run(0.02)
    assert len(harness.broker.server.lingering) == len(bad)
    for _ in range(4):
        bring()
    harness.run(0.02)
    assert len(harness.broker.server.lingering) == len(bad), (
        "their linger time is over: the test proves nothing"
    )
    assert [read_all(client)[1] for client in good] == ["open"] * 8


def test_a_client_that_connects_as_the_listener_closes_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener is removed from the selector between the last accept and the close."""
    harness = PlatformHarness()
    client: list[socket.socket] = []
    listener = harness.broker.server.listener
    watch = harness.loop.watch

    def watched(sock: socket.socket, mask: int, call: Callable[[int], None]) -> None:
        if sock is listener.sock and not mask and not client:
            client.append(connect(harness))
            client[0].sendall(harness.request("all", (0,)))
        watch(sock, mask, call)

    monkeypatch.setattr(harness.loop, "watch", watched)
    harness.broker.stop(lambda: None)
    harness.run(2)
    assert listener.closed
    got, how = read_all(client[0])
    assert got.startswith(b"HTTP/1.1 ") and how == "end"


def test_at_shutdown_waiting_connections_are_accepted_above_the_limit() -> None:
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
