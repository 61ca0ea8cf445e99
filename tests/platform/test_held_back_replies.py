"""Replies with a wrong length whose read ends just there: the bytes that contradict them come later."""

import pytest

from quincepath.interface import Result
from quincepath.platform.connection_state import STALLED_REPLY_DIAL_TIMEOUTS
from quincepath.platform.reply_evidence import (
    GAP_MULTIPLE,
    GAP_WINDOW_NS,
    HEADER_HOLD_NS,
    MAX_FRAGMENTING_NODES,
    MIN_HOLD_NS,
    USUAL_AFTER_OTHERS,
    USUAL_AT_START,
    ReplyEvidence,
)
from tests.standins.node_pool import DIAL_TIMEOUT_NS, NODE, NodePoolHarness
from tests.standins.platform import MS, SECOND, frame

LONGEST_HOLD_NS = int(STALLED_REPLY_DIAL_TIMEOUTS * DIAL_TIMEOUT_NS)
GAP_NS = 20 * MS
VALUE = "5be2a07c19f04d63"


def reply(part: int, value: str = VALUE, length_error: int = 0, status: str = "good") -> bytes:
    data = frame(b"q", f"q{part}.0 {status} 7 inflight=7\n{value}".encode())
    return (len(data) - 4 + length_error).to_bytes(4, "little") + data[4:]


def node_with_history(*values: str, gap: int = 0, out: tuple[int, ...] = (1,)) -> NodePoolHarness:
    """A node that has answered with these values, in two pieces if there is a gap; ``out`` are in flight."""
    harness = NodePoolHarness()
    harness.node.default_behavior = "silent"
    for part, value in enumerate(values, 100):
        harness.start(part, deadline=30 * SECOND)
        harness.run(20 * MS)
        data = reply(part, value)
        harness.node.streams[0].write(data[: len(data) // 2])
        if gap:
            harness.run(gap)
        harness.node.streams[0].write(data[len(data) // 2 :])
        harness.run(3 * LONGEST_HOLD_NS)
    assert set(harness.results().values()) <= {Result.OK} and len(harness.ended) == len(values)
    harness.ended.clear()
    harness.start(*out, deadline=30 * SECOND)
    harness.run(20 * MS)
    return harness


@pytest.mark.parametrize("out", [(1,), (1, 2)], ids=["alone", "another waits"])
@pytest.mark.parametrize("length_error", [-5, -4, -3, -2, -1, 1])
def test_a_reply_cut_where_its_wrong_length_says_is_not_served(
    length_error: int, out: tuple[int, ...]
) -> None:
    """Clients were served 2 to 6 of 400 such values a minute, marked whole."""
    harness = node_with_history(VALUE, out=out)
    data = reply(1, length_error=length_error) + (reply(2) if 2 in out else reply(1))
    cut = len(reply(1)) + length_error
    harness.node.streams[0].write(data[:cut])
    harness.run(GAP_NS)
    harness.node.streams[0].write(data[cut:])
    harness.run(LONGEST_HOLD_NS + 250 * MS)
    assert harness.results()[1] is Result.ERROR and all(one.body is None for one in harness.ended)


@pytest.mark.parametrize("length_error", [-4, -1])
def test_a_cut_reply_is_not_served_where_values_differ_in_length_and_come_in_pieces(
    length_error: int,
) -> None:
    """Its length is no reason to hold it back then; that this node's replies come in pieces is."""
    harness = node_with_history("a" * 3, VALUE * 2, gap=GAP_NS)
    data = reply(1, length_error=length_error)
    harness.node.streams[0].write(data[:length_error])
    harness.run(GAP_NS)
    harness.node.streams[0].write(data[length_error:])
    harness.run(LONGEST_HOLD_NS + 250 * MS)
    assert harness.results() == {1: Result.ERROR}


def test_a_rejection_with_a_byte_too_many_does_not_prove_that_the_part_never_ran() -> None:
    harness = node_with_history(VALUE, out=(1, 2))
    data = reply(1, "", 1, "later") + reply(2)
    cut = len(reply(1, "", 0, "later")) + 1
    harness.node.streams[0].write(data[:cut])
    harness.run(GAP_NS)
    harness.node.streams[0].write(data[cut:])
    harness.run(GAP_NS)
    assert harness.results() == {1: Result.ERROR, 2: Result.CANCELLED}


@pytest.mark.parametrize(
    "values", [(), (VALUE,), ("a", VALUE * 2)], ids=["first reply", "equal lengths", "lengths in one piece"]
)
def test_a_usual_reply_is_delivered_at_once(values: tuple[str, ...]) -> None:
    harness = node_with_history(*values)
    harness.node.streams[0].write(reply(1))
    harness.settle()
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == VALUE


def test_pieces_do_not_delay_replies_where_all_values_are_of_one_length() -> None:
    harness = node_with_history(VALUE, VALUE, gap=GAP_NS)
    harness.node.streams[0].write(reply(1))
    harness.settle()
    assert harness.results() == {1: Result.OK}


@pytest.mark.parametrize("value", ["5", VALUE + "0"])
def test_a_good_reply_of_an_unusual_length_is_delivered_soon(value: str) -> None:
    harness = node_with_history(VALUE)
    harness.node.streams[0].write(reply(1, value))
    harness.run(LONGEST_HOLD_NS - 5 * MS)
    assert not harness.ended
    harness.run(10 * MS)
    assert harness.results() == {1: Result.OK} and harness.ended[0].body == value
    assert harness.nodes.counts["held_back"] == 1


def test_a_reply_that_is_held_back_is_delivered_when_the_next_one_begins() -> None:
    harness = node_with_history(VALUE, out=(1, 2))
    harness.node.streams[0].write(reply(1, "5"))
    harness.run(5 * MS)
    harness.node.streams[0].write(reply(2)[:5])
    harness.settle()
    assert harness.results() == {1: Result.OK}


@pytest.mark.parametrize(("reset", "result"), [(False, Result.OK), (True, Result.RESET)])
def test_only_an_orderly_end_shows_that_nothing_follows(reset: bool, result: Result) -> None:
    harness = node_with_history(VALUE)
    harness.node.streams[0].write(reply(1, "5"))
    harness.settle()
    harness.node.streams[0].close(reset=reset)
    harness.run(20 * MS)
    assert harness.results() == {1: result} and len(harness.ended) == 1


def test_a_part_that_is_cancelled_while_its_reply_is_held_back_ends_once() -> None:
    harness = node_with_history(VALUE)
    harness.node.streams[0].write(reply(1, "5"))
    harness.settle()
    harness.nodes.stop(1, 0)
    harness.run(2 * LONGEST_HOLD_NS)
    assert [one.result for one in harness.ended] == [Result.CANCELLED]
    assert not harness.connection.state.cancelled and not harness.events


def test_a_connection_that_closes_delivers_nothing_that_was_held_back() -> None:
    harness = node_with_history(VALUE)
    harness.node.streams[0].write(reply(1, "5"))
    harness.settle()
    harness.nodes.close()
    harness.run(2 * LONGEST_HOLD_NS)
    assert not harness.ended


# --- bytes behind a reply ---

USUAL = (VALUE,) * USUAL_AT_START
TAILS = [b"4", b"4d", b"4d63", b"f00dcaf" * 3, "\u00e9".encode(), bytes(1), bytes(40), b"\xff" * 40]


@pytest.mark.parametrize("out", [(1,), (1, 2)], ids=["alone", "another waits"])
@pytest.mark.parametrize("tail", TAILS)
def test_a_reply_of_the_usual_length_is_delivered_at_once_whatever_lies_behind_it(
    tail: bytes, out: tuple[int, ...]
) -> None:
    harness = node_with_history(*USUAL, out=out)
    harness.node.streams[0].write(reply(1) + tail)
    harness.settle()
    assert harness.ended[0].part == 1 and harness.ended[0].body == VALUE


@pytest.mark.parametrize("values", [USUAL[1:], (*USUAL, "5be2", *USUAL)], ids=["too few", "others, too"])
def test_printable_bytes_behind_a_reply_make_it_invalid_where_no_length_is_usual(
    values: tuple[str, ...],
) -> None:
    harness = node_with_history(*values)
    harness.node.streams[0].write(reply(1) + b"4d63f")
    harness.settle()
    assert harness.results() == {1: Result.ERROR}


@pytest.mark.parametrize("length_error", range(-8, 0))
def test_a_cut_reply_is_not_served_where_a_length_is_usual(length_error: int) -> None:
    harness = node_with_history(*USUAL)
    harness.node.streams[0].write(reply(1, length_error=length_error))
    harness.run(HEADER_HOLD_NS + 5 * MS)
    assert harness.results() == {1: Result.ERROR} and harness.ended[0].body is None


@pytest.mark.parametrize("tail", [b"4", b"4d"])
def test_a_header_that_does_not_go_on_is_decided_soon_behind_a_whole_reply(tail: bytes) -> None:
    """The part's next attempt must not begin long after a reply that may have been good."""
    harness = node_with_history()
    harness.node.streams[0].write(reply(1) + tail)
    harness.run(HEADER_HOLD_NS - 5 * MS)
    assert not harness.ended
    harness.run(10 * MS)
    assert harness.results() == {1: Result.ERROR} and harness.events == ["spoilt connection"]


def test_no_part_is_sent_behind_stray_bytes() -> None:
    """The next reply would be read together with them, and fail."""
    harness = node_with_history(*USUAL)
    harness.node.streams[0].write(reply(1) + bytes(1))
    harness.settle()
    harness.start(2)
    harness.run(20 * MS)
    assert len(harness.node.streams) == 2
    harness.node.streams[1].write(reply(2))
    harness.settle()
    assert harness.results() == {1: Result.OK, 2: Result.OK}


# --- what earlier replies tell ---


def test_each_class_has_a_usual_length_of_its_own() -> None:
    evidence = ReplyEvidence()
    for _ in range(USUAL_AT_START):
        evidence.observe_value(16, 0)
        evidence.observe_value(2, 1)
    assert evidence.is_usual(16, 0) and evidence.is_usual(2, 1)
    assert not evidence.is_usual(2, 0) and not evidence.is_usual(16, 2)
    assert evidence.hold_time(0, NODE, 16, SECOND, 0) == 0


@pytest.mark.parametrize(("length", "usual"), [(12, True), (9, True), (5, False)])
def test_a_length_becomes_usual_after_others_unless_there_were_longer_ones(length: int, usual: bool) -> None:
    """A longer value could be cut to it."""
    evidence = varied_evidence()
    for _ in range(USUAL_AFTER_OTHERS):
        assert length == 9 or not evidence.is_usual(length)
        evidence.observe_value(length)
    assert evidence.is_usual(length) is usual


def varied_evidence() -> ReplyEvidence:
    evidence = ReplyEvidence()
    evidence.observe_value(1)
    evidence.observe_value(9)
    return evidence


def test_the_hold_follows_the_longest_recent_gap_of_the_node_within_its_limit() -> None:
    evidence = varied_evidence()
    evidence.observe_gap(0, NODE, 10 * MS)
    evidence.observe_gap(1, NODE, 4 * MS)
    assert evidence.hold_time(2, NODE, 5, SECOND) == GAP_MULTIPLE * 10 * MS + MIN_HOLD_NS
    assert evidence.hold_time(2, NODE, 5, 15 * MS) == 15 * MS
    assert evidence.hold_time(2, b"another", 5, SECOND) == 0


def test_a_gap_is_forgotten_after_two_windows() -> None:
    evidence = varied_evidence()
    evidence.observe_gap(0, NODE, 10 * MS)
    assert evidence.hold_time(GAP_WINDOW_NS, NODE, 5, SECOND)
    assert evidence.hold_time(2 * GAP_WINDOW_NS, NODE, 5, SECOND) == 0


def test_nodes_are_remembered_up_to_a_number() -> None:
    evidence = varied_evidence()
    for node in range(MAX_FRAGMENTING_NODES + 1):
        evidence.observe_gap(0, node, MS)
    assert evidence.hold_time(0, 0, 5, SECOND) == 0
    assert evidence.hold_time(0, MAX_FRAGMENTING_NODES, 5, SECOND) and evidence.hold_time(0, 1, 5, SECOND)
