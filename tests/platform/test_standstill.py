"""A broker that stood still: the time that requests waited unread is not counted as theirs to use.

Virtual time: the clock jumps as a whole while bytes lie unread, before a turn or within its wait. The system
may tell how long ago bytes came; in virtual time it does not, unless a test says so.
"""

import signal
import socket
from selectors import SelectorKey
from typing import Any

import pytest

from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.system import System
from quincepath.platform.connection_state import USABLE_IDLE_SHARE
from tests.standins.node_pool import NodePoolHarness
from tests.standins.platform import MS, SECOND, Client, PlatformHarness, platform_settings
from tests.standins.sockets import connect, read_all

FINAL_ANSWER_SLACK_NS = 550 * MS  # past a client's time; later an answer counts as lost
TOLD_SLACK_MS = 150  # by which the time told to a node may exceed what is left
STALLS_MS = [100, 300, 1200, 5000]


def settled(**more: Any) -> PlatformHarness:
    """A harness whose nodes have answered before, and whose first connections are up."""
    harness = PlatformHarness(**more)
    for shards in ((0, 1), (2, 3)):
        assert harness.ask("all", shards).status == 200
    harness.run(0.3)
    return harness


def told_ms(harness: PlatformHarness) -> list[int]:
    """The times that nodes were told to have for the parts of the last query."""
    return [wait for node in harness.nodes for _, wait in node.received_waits]


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
@pytest.mark.parametrize("stall_ms", STALLS_MS)
def test_time_that_a_request_waited_unread_is_not_counted(stall_ms: int, kept: bool) -> None:
    """After a standstill of 1.2 s final answers came 1.14 s after the clients' time."""
    harness = settled()
    harness.set_behavior("silent")
    client = Client(harness)
    if kept:
        harness.set_behavior("good")
        client.stream.write(harness.request("all", (0, 1)))
        assert harness.run_until(lambda: client.status == 200)
        client.data = b""
        harness.set_behavior("silent")
        harness.run(0.05)
    for node in harness.nodes:
        node.received_waits.clear()
    client.stream.sock.send(harness.request("all", (0, 1), Req_Deadline_Ms="1500"))
    sent_at = harness.loop.at
    harness.loop.at += stall_ms * MS
    assert harness.run_until(lambda: client.status > 0, 10)
    assert harness.loop.at - sent_at <= max(1500, stall_ms) * MS + FINAL_ANSWER_SLACK_NS
    assert all(wait <= max(1500 - stall_ms, 0) + TOLD_SLACK_MS for wait in told_ms(harness))
    if stall_ms >= 1500:
        assert client.status == 503 and not told_ms(harness), "refused at once, nothing of it was sent"
        assert harness.loop.at - sent_at <= stall_ms * MS + 50 * MS


@pytest.mark.parametrize("reported", [True, False], ids=["by that wait", "by the next one"])
def test_a_standstill_within_the_wait_counts_as_one(reported: bool) -> None:
    """Only the wait's overrun tells of it; a wait that a stop signal ends may report nothing of what came."""
    harness = settled()
    harness.set_behavior("silent")
    client = Client(harness)
    harness.run(0.05)
    wait = harness.loop._wait

    def held_up(seconds: float) -> list[tuple[SelectorKey, int]]:
        harness.loop.at += 1200 * MS
        harness.loop._wait = wait  # type: ignore[method-assign]
        return wait(0) if reported else []

    for node in harness.nodes:
        node.received_waits.clear()
    client.stream.sock.send(harness.request("all", (0, 1), Req_Deadline_Ms="1500"))
    sent_at = harness.loop.at
    harness.loop._wait = held_up  # type: ignore[method-assign]
    assert harness.run_until(lambda: client.status > 0, 10)
    assert harness.loop.at - sent_at <= 1500 * MS + FINAL_ANSWER_SLACK_NS
    assert told_ms(harness) and all(wait_ms <= 300 + TOLD_SLACK_MS for wait_ms in told_ms(harness))


def test_a_request_that_came_at_the_very_end_is_served_where_the_system_tells_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = settled()
    client = Client(harness)
    harness.run(0.05)
    harness.loop.at += 1200 * MS
    client.stream.sock.send(harness.request("all", (0, 1), Req_Deadline_Ms="200"))
    monkeypatch.setattr(harness.loop.system, "data_age", lambda sock: 1 * MS)
    assert harness.run_until(lambda: client.status > 0, 3) and client.status == 200


def test_a_request_that_may_be_over_is_refused_where_the_system_tells_nothing() -> None:
    harness = settled()
    client = Client(harness)
    harness.run(0.05)
    harness.loop.at += 1200 * MS
    received = len(harness.received())
    client.stream.sock.send(harness.request("all", (0, 1), Req_Deadline_Ms="200"))
    assert harness.run_until(lambda: client.status > 0, 3) and client.status == 503
    assert len(harness.received()) == received and harness.broker.counts["over when read"] == 1


def test_a_connection_that_waits_to_be_accepted_waits_unread_as_well() -> None:
    """More clients connect in a standstill than are accepted in one turn."""
    harness = settled()
    harness.set_behavior("silent")
    clients = [connect(harness) for _ in range(150)]
    for number, client in enumerate(clients):
        client.sendall(harness.request("all", (number % 2,), Req_Deadline_Ms="1000"))
    harness.loop.at += 1200 * MS
    began = harness.loop.at
    harness.run(0.5)
    assert harness.loop.at - began <= SECOND
    assert all(read_all(client)[0].startswith(b"HTTP/1.1 503 ") for client in clients)
    assert not harness.received() or harness.broker.counts["over when read"] == len(clients)


def test_a_shutdown_that_begins_in_a_standstill_counts_from_its_signal() -> None:
    """The kill comes a fixed time after the signal was sent, not after it was seen."""
    harness = settled()
    harness.loop.at += 1200 * MS
    signalled_at = harness.loop.at - 1200 * MS
    harness.loop._pending_signals[signal.SIGTERM] = None
    harness.loop._signal_handlers[signal.SIGTERM] = lambda: harness.broker.stop(lambda: None)
    harness.loop.turn(0)
    answer_by = harness.broker.shutdown.answer_by
    assert answer_by is not None
    schedule = harness.broker.shutdown
    assert answer_by == signalled_at + schedule._length


def test_a_keyed_part_is_not_sent_again_past_a_window_that_ended_in_a_standstill() -> None:
    classes = [dict(one) for one in platform_settings()["classes"]]
    classes[2] |= {"effect": "idempotency_key", "window": 300 * MS}
    harness = settled(classes=classes)
    harness.set_behavior("bad")
    client = Client(harness)
    received = len(harness.received())
    client.stream.write(harness.request("once", (0,)))
    assert harness.run_until(lambda: len(harness.received()) > received)
    sent = len(harness.received())
    harness.loop.at += 1200 * MS
    assert harness.run_until(lambda: client.status > 0, 5)
    assert len(harness.received()) == sent


def served_with_lag(lag_ms: int, age_ms: int | None, patch: pytest.MonkeyPatch) -> int:
    """How many of 30 queries at once are served whole if each turn takes so long; the others are refused."""
    harness = settled()
    patch.setattr(harness.loop.system, "data_age", lambda sock: None if age_ms is None else age_ms * MS)
    clients = [Client(harness) for _ in range(30)]
    harness.run(0.05)
    for client in clients:
        client.stream.sock.send(harness.request("all", (0, 1), Req_Deadline_Ms="600"))
    for _ in range(8):
        harness.loop.at += lag_ms * MS
        harness.loop.turn(0)
    harness.run(1)
    assert not harness.errors and {client.status for client in clients} <= {200, 503}
    return sum(client.status == 200 for client in clients)


@pytest.mark.parametrize("age_ms", [None, 30], ids=["the system tells nothing", "the system tells"])
def test_small_lags_under_load_refuse_nothing_that_would_be_served(
    age_ms: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More queries than the nodes can do in time: each bit of time taken off refuses more of them."""
    without = served_with_lag(0, age_ms, monkeypatch)
    assert 10 <= without < 30 and served_with_lag(50, age_ms, monkeypatch) >= without


def test_answers_that_lie_unread_beside_the_end_of_their_attempts_are_used() -> None:
    harness = settled()
    harness.set_behavior("silent")
    client = Client(harness)
    client.stream.write(harness.request("all", (0, 1), Req_Deadline_Ms="1500"))
    before = len(harness.received())
    assert harness.run_until(lambda: len(harness.received()) >= before + 2)
    harness.set_behavior("good")
    for node in harness.nodes:
        node.answer_silent()
    harness.loop.at += 1200 * MS
    assert harness.run_until(lambda: client.status > 0, 3)
    assert client.status == 200


def test_no_part_is_sent_on_a_connection_past_its_idle_limit_within_a_long_turn() -> None:
    """The node may have closed it meanwhile, and the part would end as one that may have run."""
    harness = NodePoolHarness()
    harness.start(1)
    harness.run(20 * MS)
    assert harness.nodes.counts["opened"] == 1
    harness.loop.at += int(USABLE_IDLE_SHARE * harness.nodes.timeouts.idle)  # the turn goes on
    harness.start(2)
    assert harness.nodes.counts["opened"] == 2


def test_the_time_of_requests_sent_ahead_runs_while_they_wait() -> None:
    """It ran from when each was passed on: the last of 16 were answered up to 1.7 s after their time."""
    harness = PlatformHarness()
    harness.set_behavior("silent")
    client = Client(harness)
    began = harness.loop.at
    client.stream.write(b"".join(harness.request("all", (0,), Req_Deadline_Ms="2000") for _ in range(16)))
    while client.data.count(b"HTTP/1.1 ") < 16 and harness.loop.at < began + 10 * SECOND:
        harness.run(0.3)
        for node in harness.nodes:
            node.answer_silent()
    assert client.data.count(b"HTTP/1.1 ") == 16
    assert harness.loop.at - began <= 2 * SECOND + FINAL_ANSWER_SLACK_NS
    assert 4 <= client.data.count(b"HTTP/1.1 200 ") < 10
    waits = sorted((wait for node in harness.nodes for _, wait in node.received_waits), reverse=True)
    assert all(wait <= 2000 - 300 * number + TOLD_SLACK_MS for number, wait in enumerate(waits))


def test_the_real_system_tells_how_long_ago_bytes_came() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    server, _ = listener.accept()
    client.sendall(b"x")
    server.recv(1)
    age = System().data_age(server)
    assert age is None or 0 <= age < 60 * SECOND
    client.close()
    assert System().data_age(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) is None
    assert VirtualLoop().system.data_age(server) is None, "its real age means nothing in virtual time"
