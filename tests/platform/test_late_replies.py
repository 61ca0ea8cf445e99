"""Good replies to attempts that have timed out: they were on their way, and their part is in."""

import pytest

from quincepath.interface import LateAnswer, Result, RetryDeadline, Send
from quincepath.orders import AttemptEnded, LateReply, ReplyHeld, Withdraw
from quincepath.platform.connection_state import SUSPECT_DIAL_TIMEOUTS
from tests.helpers import SECOND, node_id
from tests.platform.test_doubtful_replies import driver, platform
from tests.platform.test_held_back_replies import USUAL, VALUE, node_with_history, reply
from tests.standins.node_pool import DIAL_TIMEOUT_NS, NODE, NodePoolHarness
from tests.standins.platform import MS
from tests.test_driver import DriverHarness, send

TIMEOUT_NS = 50 * MS


def timed_out_node(*values: str) -> tuple[NodePoolHarness, list[LateReply | ReplyHeld]]:
    """A node that has not answered part 1 in time; and what is reported of it from now on."""
    harness = node_with_history(*values, out=(2,))
    reports: list[LateReply | ReplyHeld] = []
    harness.nodes._on_report = reports.append
    harness.start(1, deadline=TIMEOUT_NS)
    harness.run(TIMEOUT_NS + 5 * MS)
    assert harness.results() == {1: Result.TIMEOUT}
    return harness, reports


def test_a_good_reply_that_crosses_its_cancellation_after_a_time_out_counts() -> None:
    harness, reports = timed_out_node(*USUAL)
    harness.node.streams[0].write(reply(1))
    harness.settle()
    assert reports == [LateReply(1, 0, VALUE)] and len(harness.ended) == 1
    harness.node.streams[0].write(reply(1) + reply(2))
    harness.settle()
    assert len(reports) == 1 and harness.results()[2] is Result.OK and not harness.events


@pytest.mark.parametrize("status", ["bad", "later"])
def test_another_reply_after_a_time_out_counts_for_nothing(status: str) -> None:
    harness, reports = timed_out_node(*USUAL)
    harness.node.streams[0].write(reply(1, "", 0, status))
    harness.settle()
    assert not reports and len(harness.ended) == 1


@pytest.mark.parametrize("tail", [b"4d63f", b"4"])
def test_a_doubtful_reply_after_a_time_out_is_reported_as_such(tail: bytes) -> None:
    harness, reports = timed_out_node()
    harness.node.streams[0].write(reply(1) + tail)
    harness.run(50 * MS)
    assert reports and set(reports) == {LateReply(1, 0, None)}


def test_a_reply_whose_connection_is_spoilt_after_a_time_out_still_counts() -> None:
    harness, reports = timed_out_node(*USUAL)
    harness.node.streams[0].write(reply(2) + b"f00dcaf" + reply(1))
    harness.settle()
    assert reports == [LateReply(1, 0, VALUE)]


# --- the driver and the module ---


def timed_out_driver() -> DriverHarness:
    harness = driver()
    harness.step(AttemptEnded(2, 0, Result.TIMEOUT))
    return harness


def test_a_part_with_a_late_reply_is_in_and_nothing_more_of_it_starts() -> None:
    harness = timed_out_driver()
    send(harness, node=2)
    orders = harness.step(LateReply(2, 0, "x"))
    assert orders == [Withdraw(2, 1)] and harness.module.batches[-1] == [LateAnswer(2, 0)]
    assert harness.driver.parts[2].ok and harness.driver.parts[2].body == "x"
    orders = harness.step(AttemptEnded(2, 1, Result.ERROR), actions=[Send(2, node_id(1), SECOND)])
    assert harness.breaches(orders) == ["send_of_part_in"]


def test_a_doubtful_late_reply_limits_further_attempts() -> None:
    harness = timed_out_driver()
    harness.step(LateReply(2, 0, None))
    assert isinstance(harness.module.batches[-1][0], RetryDeadline)


def test_a_late_reply_replaces_no_answer() -> None:
    harness = timed_out_driver()
    send(harness, node=2)
    harness.step(AttemptEnded(2, 1, Result.OK, "first"))
    assert harness.step(LateReply(2, 0, "late")) == [] and harness.driver.parts[2].body == "first"


def test_a_query_is_answered_by_a_late_reply_without_a_third_attempt() -> None:
    """A replica that answers just after the module's time-out: its reply crosses the cancellation."""
    harness = platform()
    harness.set_behavior("silent")
    client = harness.ask("all", (0,), seconds=0.001, Req_Deadline_Ms="381")
    harness.run_until(lambda: len(harness.received()) == 2)
    min((node for node in harness.nodes if node.received), key=lambda node: node.received_at).answer_silent()
    harness.run_until(lambda: client.status > 0)
    assert client.status == 200 and len(harness.received()) == 2
    assert harness.broker.nodes.counts["late_reply"] == 1


def test_a_connection_to_a_draining_node_stays_open_for_a_reply_after_a_time_out() -> None:
    harness = node_with_history(*USUAL, out=())
    reports: list[LateReply | ReplyHeld] = []
    harness.nodes._on_report = reports.append
    harness.start(1, deadline=TIMEOUT_NS)
    harness.run(TIMEOUT_NS + 5 * MS)
    harness.nodes.close_node(NODE)
    harness.node.streams[0].write(reply(1))
    harness.run(5 * MS)
    assert reports == [LateReply(1, 0, VALUE)]
    harness.run(SECOND)
    assert not harness.nodes.connections


def test_a_connection_to_a_draining_node_does_not_wait_long_for_such_a_reply() -> None:
    harness = node_with_history(*USUAL, out=())
    harness.start(1, deadline=TIMEOUT_NS)
    harness.run(TIMEOUT_NS + 5 * MS)
    harness.nodes.close_node(NODE)
    harness.run((SUSPECT_DIAL_TIMEOUTS + 1) * DIAL_TIMEOUT_NS)
    assert not harness.nodes.connections
