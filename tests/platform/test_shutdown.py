"""From SIGTERM to SIGKILL: which connections are accepted, and that every request is answered."""

import signal
import socket
import sys
from pathlib import Path

import pytest

from quincepath.net.http1 import request_bytes
from quincepath.platform.shutdown import ShutdownSchedule
from tests.standins.platform import MS, SECOND, Client, PlatformHarness
from tests.test_deploy import MODULE, BrokerProcess

KILL_NS = 2 * SECOND + 700 * MS  # from SIGTERM to SIGKILL at the earliest, with the classes of the stand-in
ARRIVALS_NS = 400 * MS  # new connections keep arriving this long after the signal
HEADERS = {"Req-Kind": "all", "Req-Owner": "acme", "Req-Deadline-Ms": "1500"}
BODY = b'{"ranges":[{"range":0,"portion":1.0}],"predicate":"c41e77d0"}'
BACKLOG = 150  # connections; more than one turn of the loop accepts


@pytest.mark.parametrize(
    "classes", [[(2, 1)], [(0.3, 0.3)], [(10, 5)], [(3, 3), (10, 9)]], ids=["usual", "short", "long", "both"]
)
def test_new_connections_are_accepted_for_as_long_as_they_keep_arriving(
    classes: list[tuple[float, float]],
) -> None:
    deadlines, targets = ([int(one * SECOND) for one in column] for column in zip(*classes, strict=True))
    ending = ShutdownSchedule(deadlines, targets)
    ending.begin(0)
    assert ending.answer_by is not None
    assert (
        ARRIVALS_NS < ending.accepts_until() <= ending.answer_by < min(max(deadlines), 3 * SECOND) + 700 * MS
    )


@pytest.mark.parametrize("after", [100 * MS, 1400 * MS, 1700 * MS, 2500 * MS, KILL_NS - 20 * MS])
@pytest.mark.parametrize("kind", ["silent", "between requests", "begun"])
def test_a_request_on_any_open_connection_is_answered_until_sigkill(kind: str, after: int) -> None:
    harness = PlatformHarness()
    client = Client(harness)
    whole = harness.request("all", (0,), Req_Deadline_Ms="2000")
    if kind == "between requests":
        client.stream.write(harness.request())
        assert harness.run_until(lambda: client.status == 200)
        client.data = b""
    began = harness.loop.at
    harness.broker.stop(lambda: None)
    if kind == "begun":
        client.stream.write(whole[:20])
        whole = whole[20:]
    harness.run(after / SECOND)
    if not client.ended and not client.status:  # it may be closed before it has sent its request
        client.stream.write(whole)
        assert harness.run_until(
            lambda: client.status > 0, (began + KILL_NS + SECOND - harness.loop.at) / SECOND
        )
        assert client.status in (200, 503)


def test_the_backlog_is_accepted_before_the_listener_closes() -> None:
    harness = PlatformHarness(limits={"sockets": 1024})
    harness.broker.stop(lambda: None)
    clients = []
    harness.loop.at = harness.broker.shutdown.accepts_until()  # the listener closes in the next turn
    for _ in range(BACKLOG):
        clients.append(Client(harness))
        clients[-1].stream.write(harness.request("all", (0,)))
    harness.run(0.5)
    assert harness.broker.server.listener.closed
    assert {client.status for client in clients} <= {200, 503}


def test_sigterm_with_a_full_backlog_answers_all_waiting_clients(tmp_path: Path) -> None:
    """The process is stopped while they connect and send requests; then it gets SIGTERM."""
    process = BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    clients: list[socket.socket] = []
    try:
        process.read_until("serves on")
        process.popen.send_signal(signal.SIGSTOP)
        for number in range(100):
            clients.append(client := socket.create_connection(("127.0.0.1", process.port), 30))
            client.sendall(request_bytes("POST", "/all", "x", {**HEADERS, "Req-Id": f"q{number}"}, BODY))
        process.popen.send_signal(signal.SIGTERM)
        process.popen.send_signal(signal.SIGCONT)
        answers = [client.recv(4096)[:12] for client in clients]
        assert set(answers) <= {b"HTTP/1.1 503", b"HTTP/1.1 502", b"HTTP/1.1 504"}
        for client in clients:
            client.close()
        process.read_until("all is answered")
        assert process.popen.wait(30) == 0
    finally:
        for client in clients:
            client.close()
        process.end()
