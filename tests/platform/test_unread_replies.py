"""Replies that the system has, unread, while a timer of their part is due."""

import select
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from quincepath.interface import Result
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.client_connection import STALE_TURN_NS
from tests.platform.test_doubtful_replies import platform
from tests.platform.test_held_back_replies import USUAL, node_with_history, reply
from tests.standins.platform import MS

TIMEOUT_NS = 50 * MS


@contextmanager
def nothing_ready(loop: VirtualLoop) -> Iterator[None]:
    """Turns whose wait reports no socket: bytes come behind it, or the time for sockets is over."""
    wait = loop._wait
    loop._wait = lambda seconds: []  # type: ignore[method-assign]
    yield
    loop._wait = wait  # type: ignore[method-assign]


def delivered(sock: socket.socket) -> bool:
    """Wait until the system has bytes to read."""
    return bool(select.select([sock], [], [], 5)[0])


def test_an_attempt_does_not_time_out_while_its_reply_is_unread() -> None:
    """It was sent again although a node had answered."""
    harness = node_with_history(*USUAL, out=())
    harness.start(1, deadline=TIMEOUT_NS)
    harness.run(5 * MS)
    harness.node.streams[0].sock.send(reply(1))
    stream = harness.connection.stream
    assert stream is not None and delivered(stream.sock)
    harness.loop.at += TIMEOUT_NS
    with nothing_ready(harness.loop):
        harness.loop.turn(0)
    assert harness.results() == {1: Result.OK} and harness.nodes.counts["read_before_timeout"] == 1


def test_a_reply_that_is_unread_after_a_long_turn_is_read_before_a_hedge_is_sent() -> None:
    harness = platform(duplicate=True)
    harness.set_behavior("silent")
    client = harness.ask("all", (0,), seconds=0.02, Req_Deadline_Ms="381")
    (node,) = (node for node in harness.nodes if node.received)
    (connection,) = harness.broker.nodes.connections[node.name.encode()]
    for stream, answer in node._silent:
        stream.sock.send(answer)
    assert connection.stream is not None and delivered(connection.stream.sock)
    harness.loop.at += max(60 * MS, STALE_TURN_NS)  # the late mark has passed
    with nothing_ready(harness.loop):
        harness.loop.turn(0)
    harness.run_until(lambda: client.status > 0)
    assert client.status == 200 and len(harness.received()) == 1
