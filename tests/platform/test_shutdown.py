"""From SIGTERM to SIGKILL: who is still let in, and that nobody who has asked is left without an answer."""

import signal
import socket
import sys
from pathlib import Path

import pytest

from quincepath.net.http1 import request_bytes
from quincepath.platform.shutdown import ShutdownSchedule
from tests.standins.platform import MS, SECOND, Client, World
from tests.test_deploy import MODULE, Program

KILL = 2 * SECOND + 700 * MS  # after the signal at the earliest, by the classes of the stand-in
COMING = 400 * MS  # after the signal new connections come for so long
HEADERS = {"Req-Kind": "all", "Req-Owner": "acme", "Req-Deadline-Ms": "1500"}
BODY = b'{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e77d0"}'
WAITING = 150  # connections in the backlog: more than one turn accepts


@pytest.mark.parametrize(
    "classes", [[(2, 1)], [(0.3, 0.3)], [(10, 5)], [(3, 3), (10, 9)]], ids=["usual", "short", "long", "both"]
)
def test_new_connections_are_taken_for_as_long_as_they_keep_coming(
    classes: list[tuple[float, float]],
) -> None:
    deadlines, targets = ([int(one * SECOND) for one in column] for column in zip(*classes, strict=True))
    ending = ShutdownSchedule(deadlines, targets)
    ending.begin(0)
    assert ending.end is not None
    assert COMING < ending.accepts_until() <= ending.end < min(max(deadlines), 3 * SECOND) + 700 * MS


@pytest.mark.parametrize("after", [100 * MS, 1400 * MS, 1700 * MS, 2500 * MS, KILL - 20 * MS])
@pytest.mark.parametrize("kind", ["silent", "between requests", "begun"])
def test_on_each_connection_that_stays_open_a_request_is_answered_up_to_the_kill(
    kind: str, after: int
) -> None:
    world = World()
    client = Client(world)
    whole = world.request("all", (0,), Req_Deadline_Ms="2000")
    if kind == "between requests":
        client.stream.write(world.request())
        assert world.until(lambda: client.status == 200)
        client.got = b""
    began = world.loop.at
    world.broker.stop(lambda: None)
    if kind == "begun":
        client.stream.write(whole[:20])
        whole = whole[20:]
    world.run(after / SECOND)
    if not client.ended and not client.status:  # as it may be told to go before it has asked
        client.stream.write(whole)
        assert world.until(lambda: client.status > 0, (began + KILL + SECOND - world.loop.at) / SECOND)
        assert client.status in (200, 503)


def test_when_the_listener_closes_who_waits_in_the_backlog_is_let_in_first() -> None:
    world = World(limits={"sockets": 1024})
    world.broker.stop(lambda: None)
    clients = []
    world.loop.at = world.broker.ending.accepts_until()  # in the next turn the listener closes
    for _ in range(WAITING):
        clients.append(Client(world))
        clients[-1].stream.write(world.request("all", (0,)))
    world.run(0.5)
    assert world.broker.server.listener.closed
    assert {client.status for client in clients} <= {200, 503}


def test_sigterm_with_a_full_backlog_answers_all_who_wait(tmp_path: Path) -> None:
    """The process stands still while they connect and ask, then is told to end."""
    program = Program(tmp_path, sys.executable, "-m", MODULE)
    clients: list[socket.socket] = []
    try:
        program.until("serves on")
        program.process.send_signal(signal.SIGSTOP)
        for number in range(100):
            clients.append(client := socket.create_connection(("127.0.0.1", program.port), 30))
            client.sendall(request_bytes("POST", "/all", "x", {**HEADERS, "Req-Id": f"q{number}"}, BODY))
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGCONT)
        answers = [client.recv(4096)[:12] for client in clients]
        assert set(answers) <= {b"HTTP/1.1 503", b"HTTP/1.1 502", b"HTTP/1.1 504"}
        for client in clients:
            client.close()
        program.until("all is answered")
        assert program.process.wait(30) == 0
    finally:
        for client in clients:
            client.close()
        program.end()
