"""A part is sent again only once its earlier attempt was given up or ended, in the broker's order of events.

Second copies are not allowed here. Where an attempt ended with its connection, the connection is closed
before the next attempt begins. A node that reads the new connection before the end of the old one may still
see both: nothing orders the bytes of two connections.
"""

from dataclasses import dataclass, field

import pytest

from quincepath.platform.connection import Connection
from quincepath.platform.outgoing import OutgoingAttempt, OutgoingFrame
from tests.standins.platform import MS, Client, PlatformHarness

CONNECTION_ENDS = ["noise", "stall", "endless", "other id", "complaint", "reset", "end"]


@dataclass
class Trace:
    """What the broker did, in order: attempts begun, given up or answered, and connections closed."""

    open_attempts: dict[bytes, Connection] = field(default_factory=dict)
    resent: list[bytes] = field(default_factory=list)
    seen: set[bytes] = field(default_factory=set)
    second_copies: list[bytes] = field(default_factory=list)

    def begin(self, connection: Connection, frame: OutgoingFrame) -> None:
        """A frame begins to be written."""
        for attempt in frame.attempts:
            if attempt.id in self.open_attempts:
                self.second_copies.append(attempt.id)
            if attempt.id in self.seen:
                self.resent.append(attempt.id)
            self.seen.add(attempt.id)
            self.open_attempts[attempt.id] = connection

    def end(self, attempt: OutgoingAttempt) -> None:
        """An attempt was given up or answered."""
        self.open_attempts.pop(attempt.id, None)

    def close(self, connection: Connection) -> None:
        """A connection was closed: what was out on it is given up."""
        held = [part for part, carrier in self.open_attempts.items() if carrier is connection]
        for part in held:
            del self.open_attempts[part]


@pytest.fixture
def trace(monkeypatch: pytest.MonkeyPatch) -> Trace:
    """A trace of all connections to nodes."""
    found = Trace()
    begin, cancel, close = Connection._begin, Connection.cancel, Connection.close

    def traced_begin(self: Connection, frame: OutgoingFrame) -> bool:
        begun = begin(self, frame)
        if begun:
            found.begin(self, frame)
        return begun

    def traced_cancel(self: Connection, attempt: OutgoingAttempt) -> bool:
        found.end(attempt)
        return cancel(self, attempt)

    def traced_close(self: Connection, reset: bool = False) -> None:
        found.close(self)
        close(self, reset)

    monkeypatch.setattr(Connection, "_begin", traced_begin)
    monkeypatch.setattr(Connection, "cancel", traced_cancel)
    monkeypatch.setattr(Connection, "close", traced_close)
    return found


def traced_harness(trace: Trace) -> PlatformHarness:
    """A harness whose nodes have answered before."""
    harness = PlatformHarness()
    reply = harness.broker.nodes.on_reply

    def traced_reply(attempt: OutgoingAttempt, *more: object) -> None:
        trace.end(attempt)
        reply(attempt, *more)  # type: ignore[arg-type]

    harness.broker.nodes.on_reply = traced_reply  # type: ignore[method-assign, assignment]
    for shards in ((0, 1), (2, 3)):
        assert harness.ask("all", shards).status == 200
    return harness


@pytest.mark.parametrize("behavior", CONNECTION_ENDS)
@pytest.mark.parametrize("others", [0, 3], ids=["alone", "beside others"])
def test_a_part_is_sent_again_after_the_connection_of_its_earlier_attempt_was_closed(
    behavior: str, others: int, trace: Trace
) -> None:
    harness = traced_harness(trace)
    clients = [Client(harness) for _ in range(1 + others)]
    for node in harness.nodes[::2]:  # of one shard: a query that loses two connections is given up
        node.behaviors = [behavior]
    for client in clients:
        client.stream.write(harness.request("all", (0, 1)))
    assert harness.run_until(lambda: all(client.status for client in clients), 5)
    assert trace.resent and not trace.second_copies and not harness.errors


@pytest.mark.parametrize("behavior", ["silent", "late"])
def test_a_part_that_timed_out_is_cancelled_before_it_is_sent_again(behavior: str, trace: Trace) -> None:
    harness = traced_harness(trace)
    client = Client(harness)
    for node in harness.nodes:
        node.behaviors = [behavior]
    client.stream.write(harness.request("all", (0, 1)))
    assert harness.run_until(lambda: client.status > 0, 5)
    assert trace.resent and not trace.second_copies


@pytest.mark.parametrize("behavior", CONNECTION_ENDS)
def test_an_unsafe_part_is_not_sent_again_after_its_connection_ended(behavior: str, trace: Trace) -> None:
    harness = traced_harness(trace)
    client = Client(harness)
    harness.set_behavior(behavior)
    client.stream.write(harness.request("once", (0,)))
    assert harness.run_until(lambda: client.status > 0, 5)
    assert client.status in (502, 504) and not trace.resent and not trace.second_copies


def test_a_part_cut_off_by_a_close_of_our_own_is_sent_again_only_after_that_close(trace: Trace) -> None:
    """A connection that takes no more bytes is reset when a part on it is over; others go on elsewhere."""
    harness = traced_harness(trace)
    clients = [Client(harness) for _ in range(2)]
    harness.set_behavior("silent")
    for client in clients:
        client.stream.write(harness.request("all", (0, 1), Req_Deadline_Ms="1400"))
    harness.run(0.02)
    for held in list(harness.broker.nodes.connections.values()):
        for connection in list(held):
            for attempt in list(connection.state.in_flight.values()):
                assert isinstance(attempt, OutgoingAttempt)
                attempt.sent = False  # as if the last bytes had not been taken
                harness.broker.nodes.stop(*attempt.key)
                break
    harness.set_behavior("good")
    assert harness.run_until(lambda: all(client.status for client in clients), 5)
    assert trace.resent and not trace.second_copies and harness.loop.at > MS
