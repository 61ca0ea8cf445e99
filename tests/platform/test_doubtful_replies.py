"""Parts that a reply may have answered: nothing of them starts while it is checked, or long after it."""

import pytest

from quincepath.broker.driver.doubtful_replies import RETRY_TIME_NS
from quincepath.interface import Effect, ReplyPending, Result, RetryDeadline, Send
from quincepath.orders import AttemptEnded, AttemptOrder, AttemptSendDeadline, Order, ReplyHeld, StartCall
from quincepath.platform.frames import RECOVERY_BYTES, FrameError, FrameReader
from quincepath.platform.reply_evidence import HEADER_HOLD_NS, USUAL_AT_START
from tests.helpers import node_id, query_class
from tests.platform.test_held_back_replies import LONGEST_HOLD_NS, USUAL, VALUE, node_with_history, reply
from tests.standins.platform import MS, PlatformHarness, frame, platform_settings
from tests.test_driver import DriverHarness, send

LATE_NS = 100 * MS  # after a good answer; an attempt that begins then breaks the rule
TIMES = {"target": 127 * MS, "deadline": 381 * MS, "lateWorth": 0.1}


def platform(duplicate: bool = False) -> PlatformHarness:
    """A broker with short targets: attempts time out, or are late, after some tens of milliseconds."""
    limits = platform_settings()["limits"] | {"mayDuplicate": duplicate}
    classes = [
        {"name": "all", "effect": "read_like", **TIMES},
        {"name": "once", "effect": "non_idempotent", **TIMES},
    ]
    specifics = platform_settings()["specifics"] | {"needByClass": [1, 1]}
    return PlatformHarness(classes=classes, limits=limits, specifics=specifics)


def attempts_after_answer(harness: PlatformHarness) -> list[int]:
    """When attempts began, in ns after the first good answer was sent."""
    answered = min(node.good_at for node in harness.nodes if node.good_at is not None)
    return [at - answered for node in harness.nodes for at in node.received_at if at > answered]


# --- the broker ---


@pytest.mark.parametrize("duplicate", [False, True])
def test_a_doubtful_reply_is_followed_soon_by_a_further_attempt_or_by_none(duplicate: bool) -> None:
    """Timers sent attempts up to 0.3 s after a replica had answered, the last to the same replica."""
    harness = platform(duplicate)
    harness.set_behavior("and a character")
    began = harness.loop.at
    client = harness.ask("all", (0,), Req_Deadline_Ms="381")
    followed = attempts_after_answer(harness)
    assert followed and max(followed) <= LATE_NS
    assert client.status == 503 and harness.loop.at - began < 2 * LATE_NS  # given up at once


def test_a_part_that_must_not_run_twice_is_not_sent_again_after_a_doubtful_reply() -> None:
    harness = platform()
    harness.set_behavior("and a character")
    assert harness.ask("once", (0,), Req_Deadline_Ms="381").status == 502
    assert len(harness.received()) == 1


@pytest.mark.parametrize("duplicate", [False, True])
def test_no_attempt_begins_while_a_reply_of_an_unusual_length_is_checked(duplicate: bool) -> None:
    """It is held for longer than the time after which an attempt times out or is hedged."""
    harness = platform(duplicate)
    for _ in range(USUAL_AT_START):
        assert harness.ask("all", (0,), Req_Deadline_Ms="381").status == 200
    for node in harness.nodes:
        node.received.clear()
    harness.set_behavior("longer")
    client = harness.ask("all", (0,), Req_Deadline_Ms="381")
    assert client.status == 200 and client.answer["answers"][0]["blob"].endswith("and more")
    assert len(harness.received()) == 1


# --- the connection ---


def test_an_attempt_does_not_time_out_while_its_reply_is_checked() -> None:
    harness = node_with_history(VALUE, out=())
    harness.start(1, deadline=LONGEST_HOLD_NS // 2)
    harness.run(5 * MS)
    harness.node.streams[0].write(reply(1, "5"))
    harness.run(2 * LONGEST_HOLD_NS)
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == "5"


@pytest.mark.parametrize("tail", [b"4", b"4d63f"])
def test_an_end_by_bytes_behind_a_whole_reply_is_doubtful(tail: bytes) -> None:
    harness = node_with_history(out=(1, 2))
    harness.node.streams[0].write(reply(1) + tail)
    harness.run(HEADER_HOLD_NS + 5 * MS)
    assert {one.part: one.doubtful for one in harness.ended} == {1: True, 2: False}


def test_a_good_reply_with_an_unreadable_line_is_doubtful() -> None:
    harness = node_with_history(out=(1, 2))
    harness.node.streams[0].write(frame(b"q", b"q2.0 good many inflight=1\n" + VALUE.encode()))
    harness.run(5 * MS)
    assert {one.part: (one.result, one.doubtful) for one in harness.ended} == {
        1: (Result.CANCELLED, False),
        2: (Result.ERROR, True),
    }


@pytest.mark.parametrize("report", ["", "=", "\x00\x07", "inflight=x,,", "-" * 900])
def test_a_good_reply_whose_load_report_is_unreadable_is_delivered(report: str) -> None:
    harness = node_with_history(out=(1,))
    harness.node.streams[0].write(frame(b"q", f"q1.0 good 7 {report}\n{VALUE}".encode()))
    harness.run(5 * MS)
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == VALUE


@pytest.mark.parametrize("status", ["bad", "later"])
def test_the_end_of_an_attempt_that_was_not_answered_is_not_doubtful(status: str) -> None:
    harness = node_with_history(out=(1, 2))
    harness.node.streams[0].write(reply(1, "", 0, status) + b"f00dcaf")
    harness.run(HEADER_HOLD_NS + 5 * MS)
    assert [one.doubtful for one in harness.ended] == [False, False]


def test_a_connection_that_is_reset_while_a_reply_is_checked_ends_it_in_doubt() -> None:
    harness = node_with_history(VALUE, out=(1, 2))
    harness.node.streams[0].write(reply(1, "5"))
    harness.settle()
    harness.node.streams[0].close(reset=True)
    harness.run(5 * MS)
    assert {one.part: (one.result, one.doubtful) for one in harness.ended} == {
        1: (Result.RESET, True),
        2: (Result.RESET, False),
    }


def test_a_rejection_that_is_checked_at_a_reset_is_not_doubtful() -> None:
    harness = node_with_history(VALUE, out=(1,))
    harness.node.streams[0].write(reply(1, "more", 0, "later"))
    harness.settle()
    harness.node.streams[0].close(reset=True)
    harness.run(5 * MS)
    assert [(one.result, one.doubtful) for one in harness.ended] == [(Result.RESET, False)]


def test_the_search_for_replies_behind_invalid_bytes_is_bounded() -> None:
    """A node that sends without end: each id in flight is searched for in what it sends."""
    reader = FrameReader()
    with pytest.raises(FrameError):
        reader.feed(b"\xff" * 5 + bytes(4 * RECOVERY_BYTES))
    reader.append(reply(1))
    assert reader.find_good(b"q1.0") is None and len(reader._buffer) == RECOVERY_BYTES


@pytest.mark.parametrize("tail", [b"4", b"4d63f", bytes(1), b"f00dcaf" * 3])
def test_a_reply_behind_invalid_bytes_is_delivered_if_its_value_has_the_usual_length(tail: bytes) -> None:
    harness = node_with_history(*USUAL, out=(1, 2, 3, 4))
    harness.node.streams[0].write(reply(1) + tail + reply(3) + reply(2))
    harness.run(5 * MS)
    assert harness.results() == {1: Result.OK, 2: Result.OK, 3: Result.OK, 4: Result.ERROR}
    assert {one.body for one in harness.ended} == {VALUE, None} and not any(
        one.doubtful for one in harness.ended
    )


@pytest.mark.parametrize("length_error", [-8, -1, 1])
def test_a_reply_behind_invalid_bytes_is_doubtful_if_its_length_is_not_usual(length_error: int) -> None:
    harness = node_with_history(*USUAL, out=(1, 2))
    harness.node.streams[0].write(reply(1) + b"f00dcaf" + reply(2, length_error=length_error) + bytes(9))
    harness.run(5 * MS)
    assert harness.results()[2] is not Result.OK and harness.ended[1].doubtful


def test_a_reply_that_is_not_read_yet_is_delivered_before_its_connection_closes() -> None:
    harness = node_with_history(*USUAL, out=(1, 2))
    stream = harness.connection.stream
    assert stream is not None
    unread = reply(2)
    stream.take_unread = lambda max_bytes: unread  # type: ignore[method-assign]
    harness.node.streams[0].write(reply(1) + b"f00dcaf")
    harness.run(5 * MS)
    assert harness.results() == {1: Result.OK, 2: Result.OK}


# --- the driver ---


def started(orders: list[Order]) -> AttemptOrder:
    (call,) = (order for order in orders if isinstance(order, StartCall))
    return call.attempts[0]


def driver(effect: Effect = Effect.SAFE) -> DriverHarness:
    harness = DriverHarness(classes=(query_class(effect=effect),), limits={"duplicate": True, "attempts": 9})
    harness.ask()
    send(harness)
    return harness


def test_the_driver_sends_nothing_of_a_part_while_a_reply_is_checked() -> None:
    harness = driver()
    harness.step(ReplyHeld(2, 0), advance=MS)
    assert harness.module.batches[-1] == [ReplyPending(2, 0)]
    orders = send(harness, node=2)
    assert "send_while_reply_held" in harness.breaches(orders)


def test_a_hedge_that_waits_for_its_connection_does_not_start_long_after_a_reply_that_is_checked() -> None:
    harness = driver()
    send(harness, node=2)
    orders = harness.step(ReplyHeld(2, 0), advance=MS)
    assert orders == [AttemptSendDeadline(2, 1, harness.now + RETRY_TIME_NS)]


@pytest.mark.parametrize("held", [False, True])
def test_a_further_attempt_starts_soon_after_a_doubtful_reply(held: bool) -> None:
    harness = driver()
    if held:
        harness.step(ReplyHeld(2, 0), advance=MS)
    replied_at = harness.now
    orders = harness.step(
        AttemptEnded(2, 0, Result.ERROR, doubtful=True),
        actions=[Send(2, node_id(2), 0)],
        advance=20 * MS if held else 0,
    )
    assert RetryDeadline(2, replied_at + RETRY_TIME_NS) in harness.module.batches[-1]
    assert started(orders).send_start_by == replied_at + RETRY_TIME_NS


def test_no_attempt_starts_long_after_a_doubtful_reply() -> None:
    harness = driver()
    harness.step(AttemptEnded(2, 0, Result.ERROR, doubtful=True))
    harness.now += RETRY_TIME_NS + 1
    orders = send(harness, node=2)
    assert "send_past_doubtful_reply" in harness.breaches(orders)
