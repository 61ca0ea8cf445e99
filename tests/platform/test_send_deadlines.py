"""An attempt queued for a late connection or a full socket is sent in time or never runs."""

from dataclasses import replace
from typing import Any

import pytest

from quincepath.interface import Result
from quincepath.platform import connection
from tests.standins.node_pool import DIAL_TIMEOUT_NS, NODE, ManualDial, NodePoolHarness
from tests.standins.platform import MS, SECOND, Client, PlatformHarness, platform_settings
from tests.test_platform import OutcomeRecorder, results


@pytest.fixture
def dials(monkeypatch: pytest.MonkeyPatch) -> list[ManualDial]:
    """Connections are established only when the test opens them."""
    ManualDial.created = []
    monkeypatch.setattr(connection, "Dial", ManualDial)
    return ManualDial.created


def harness_with(grace: int = SECOND, cancel: bool = False, **more: Any) -> PlatformHarness:
    """A harness with this drain grace whose broker may not cancel, unless ``cancel``."""
    rules = {**platform_settings()["rules"], "drainGrace": grace}
    harness = PlatformHarness(OutcomeRecorder, rules=rules, **more)
    limits = replace(harness.config.settings.limits, cancel=cancel)
    harness.restart(settings=replace(harness.config.settings, limits=limits))
    harness.run(0.05)
    return harness


def node_number(harness: PlatformHarness, dial: ManualDial) -> int:
    """The number of the node that a connection is dialled to."""
    return next(n for n, node in enumerate(harness.nodes) if node.address.endswith(f":{dial.address[1]}"))


def send_request(harness: PlatformHarness, *args: Any, **change: Any) -> Client:
    """Send a request whose parts wait for their connections."""
    client = Client(harness)
    client.stream.write(harness.request(*args, **change))
    harness.run(0.02)
    return client


# --- rule 3: the first byte counts as the time of a send ---


@pytest.mark.parametrize("grace", [SECOND, 250 * MS])
@pytest.mark.parametrize("past", [-MS, MS])
@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_part_queued_for_a_late_connection_is_sent_within_the_drain_grace_or_never(
    dials: list[ManualDial], grace: int, past: int, state: str
) -> None:
    harness = harness_with(grace)
    send_request(harness, "once", (0,), Req_Deadline_Ms="2000")
    at = node_number(harness, dials[0])
    harness.discovery.publish(harness.entry(at, state))
    published_at = harness.loop.at
    harness.run_until(lambda: harness.phase(at) is None or harness.phase(at) != 1)
    assert harness.loop.at == published_at
    harness.run((grace + past) / SECOND)
    dials[0].open()
    harness.run(0.02)
    assert bool(harness.nodes[at].received) == (past < 0)
    assert (Result.CONNECT_FAILED in results(harness)) == (past > 0)


def test_a_drain_shortens_the_limit_of_queued_attempts_but_not_of_one_being_sent() -> None:
    harness = NodePoolHarness()
    begun = harness.fill_socket()
    harness.start(1, deadline=5 * SECOND)
    harness.nodes.limit_send_start(NODE, harness.loop.at + 300 * MS)
    harness.run(299 * MS)
    assert 1 not in harness.results()
    harness.run(2 * MS)
    assert harness.results()[1] is Result.CONNECT_FAILED
    harness.resume_reading(lambda: f"q{begun}.0" in harness.received())
    harness.run(20 * MS)
    assert f"q{begun}.0" in harness.received() and "q1.0" not in harness.received()
    assert harness.results()[begun] is Result.OK


def test_a_frame_of_which_a_full_socket_accepted_no_byte_is_not_being_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = NodePoolHarness()
    harness.start(1)
    harness.run(20 * MS)
    stream = harness.connection.stream
    assert stream is not None
    monkeypatch.setattr(stream, "_flush", lambda: None)  # as an operating system that accepts nothing
    harness.start(2, send_start_by=100 * MS)
    assert harness.connection.sending is not None
    harness.run(101 * MS)
    assert harness.results()[2] is Result.CONNECT_FAILED
    monkeypatch.undo()
    harness.run(50 * MS)
    assert harness.received() == {"q1.0"}


# --- one limit per attempt, whatever its cause ---


def test_a_part_that_cannot_be_sent_in_time_is_reported_at_that_time(dials: list[ManualDial]) -> None:
    harness = NodePoolHarness()
    harness.start(1, send_start_by=100 * MS)
    harness.run(99 * MS)
    assert not harness.ended
    harness.run(2 * MS)
    assert harness.results() == {1: Result.CONNECT_FAILED}
    dials[0].open()
    harness.run(20 * MS)
    assert not harness.node.received


@pytest.mark.parametrize("behind", ["a dial", "a full socket"])
def test_of_two_parts_of_a_frame_only_the_one_not_withdrawn_is_sent(
    dials: list[ManualDial], behind: str
) -> None:
    harness = NodePoolHarness()
    if behind == "a dial":
        harness.start(1, 2)
    else:
        harness.start(9)
        dials[0].open()
        harness.fill_socket()
        harness.start(1, 2)
    harness.nodes.withdraw(1, 0)
    if behind == "a dial":
        dials[0].open()
    harness.resume_reading(lambda: "q2.0" in harness.received())
    harness.run(20 * MS)
    assert "q2.0" in harness.received() and "q1.0" not in harness.received()
    assert (harness.results()[1], harness.results()[2]) == (Result.CANCELLED, Result.OK)


def test_nothing_is_sent_late_in_a_long_turn(dials: list[ManualDial]) -> None:
    """The connection is established in time, but the turn reaches it later, when the clock has moved on."""
    harness = NodePoolHarness()
    harness.start(1, send_start_by=100 * MS)
    harness.run(90 * MS)

    def slow() -> None:
        harness.loop.at += 30 * MS
        dials[0].open()

    harness.loop.call_in(5 * MS, slow)
    harness.run(60 * MS)
    assert not harness.node.received and harness.results() == {1: Result.CONNECT_FAILED}


# --- a frame that is partly sent ---


@pytest.mark.parametrize("over", ["send_complete_by", "deadline", "withdrawn", "stopped"])
def test_a_partly_sent_part_never_runs_once_it_has_ended(over: str) -> None:
    """The rest of its frame would be sent when the node reads again: past its window, or after the answer."""
    harness = NodePoolHarness()
    half = harness.fill_socket()
    sent = {one for one in range(1001, half)}
    outgoing = harness.nodes.in_flight[half, 0]
    now = harness.loop.at
    if over in ("send_complete_by", "deadline"):
        end = now + 50 * MS
        deadline = end if over == "deadline" else outgoing.order.deadline
        outgoing.order = replace(outgoing.order, send_start_by=now, send_complete_by=end, deadline=deadline)
        harness.nodes._set_timer(outgoing)
    harness.start(1)
    harness.run(49 * MS)
    assert half not in harness.results()
    if over == "withdrawn":
        harness.nodes.withdraw(half, 0)
    elif over == "stopped":
        harness.nodes.stop(half, 0)
    harness.run(2 * MS)
    expected = Result.CONNECT_FAILED if over in ("send_complete_by", "deadline") else Result.CANCELLED
    assert harness.results()[half] is expected
    assert harness.results()[1] is Result.CONNECT_FAILED, "what was queued behind it was never sent either"
    assert harness.events == ["blocked connection"] and harness.nodes.counts["not_left"] == (
        expected is Result.CONNECT_FAILED
    )
    assert {harness.results()[one] for one in sent if one in harness.results()} <= {
        Result.CANCELLED,
        Result.OK,
    }
    harness.resume_reading()
    harness.run(50 * MS)
    assert f"q{half}.0" not in harness.received() and "q1.0" not in harness.received()
    assert not harness.nodes.in_flight


def test_bytes_in_the_send_buffer_of_an_abandoned_connection_are_not_delivered_late() -> None:
    """A part reported as cancelled may be sent elsewhere: delivered late it would run a second time."""
    harness = NodePoolHarness()
    half = harness.fill_socket(buffer=200_000)
    assert half - 1 not in harness.results()
    harness.nodes.stop(half, 0)
    assert harness.results()[half - 1] is Result.CANCELLED
    harness.resume_reading()
    harness.run(50 * MS)
    assert f"q{half - 1}.0" not in harness.received()


# --- nothing is sent once the query is over or its client left, even where no broker may cancel ---


@pytest.mark.parametrize("cancel", [False, True])
def test_nothing_of_a_client_that_left_is_sent_on_a_connection_established_later(
    dials: list[ManualDial], cancel: bool
) -> None:
    harness = harness_with(cancel=cancel)
    client = send_request(harness, "all", (0, 1))
    assert len(dials) == 2
    client.stream.close()
    harness.run(0.02)
    for dial in dials:
        dial.open()
    harness.run(0.05)
    assert not harness.received() and not harness.broker.nodes.in_flight and not harness.broker.driver.parts


@pytest.mark.parametrize("cancel", [False, True])
def test_nothing_of_a_query_is_sent_after_its_final_answer(dials: list[ManualDial], cancel: bool) -> None:
    """One part fails permanently while the other waits for its connection."""
    harness = harness_with(cancel=cancel)
    harness.set_behavior("bad")
    client = send_request(harness, "once", (0, 1))
    first, second = dials
    first.open()
    assert harness.run_until(lambda: client.status > 0) and client.status == 502
    second.open()
    harness.run(0.05)
    assert len(harness.received()) == 1 and not harness.broker.nodes.in_flight


def test_a_sent_attempt_goes_on_where_the_settings_allow_no_cancelling() -> None:
    harness = NodePoolHarness()
    harness.node.default_behavior = "silent"
    harness.start(1)
    harness.settle()
    harness.nodes.withdraw(1, 0)
    harness.run(20 * MS)
    assert not harness.ended and not harness.node.cancelled


# --- a class with idempotency keys: nodes drop repeats only within a window ---


KEYED_CLASSES = [
    *platform_settings()["classes"][:2],
    {**platform_settings()["classes"][2], "effect": "idempotency_key", "window": 300 * MS},
]


@pytest.mark.parametrize("past", [-2 * MS, MS])
def test_a_resend_queued_for_a_connection_is_sent_within_its_window_or_never(
    dials: list[ManualDial], past: int
) -> None:
    harness = harness_with(classes=KEYED_CLASSES)
    harness.set_behavior("bad")
    began = harness.loop.at
    send_request(harness, "once", (0,))
    harness.run((began + 150 * MS - harness.loop.at) / SECOND)
    dials[0].open()
    assert harness.run_until(lambda: len(dials) == 2)
    harness.run((began + 300 * MS + past - harness.loop.at) / SECOND)
    dials[1].open()
    harness.run(0.02)
    assert len(harness.received()) == (1 if past > 0 else 2)


def test_a_refused_connection_is_given_up_and_its_parts_never_ran() -> None:
    """Nothing listens at the address any more."""
    harness = NodePoolHarness()
    harness.node.listener.close()
    harness.start(1)
    harness.run(DIAL_TIMEOUT_NS + 2 * MS)
    assert harness.results() == {1: Result.CONNECT_FAILED}
