"""Send deadlines of attempts, their withdrawal, and sends that the module may not make."""

from collections.abc import Callable
from typing import Any

import pytest

from quincepath.interface import Effect, Left, Members, Outcome, Phase, Refuse, Result, Scope, Send
from quincepath.orders import (
    AttemptEnded,
    AttemptOrder,
    ClientLeft,
    MembershipUpdate,
    NodeSendDeadline,
    Order,
    StartCall,
    Verdict,
    Withdraw,
)
from tests.helpers import MS, SECOND, START, entry, node_id, query_class
from tests.test_driver import GRACE, DriverHarness, finish, send

WINDOW = 400 * MS
KEYED = query_class(effect=Effect.KEYED, window=WINDOW)
UNSAFE = query_class(effect=Effect.UNSAFE, window=WINDOW)


def started(orders: list[Order]) -> AttemptOrder:
    (call,) = (order for order in orders if isinstance(order, StartCall))
    return call.attempts[0]


def times(orders: list[Order]) -> tuple[int, int, int]:
    """Send start, send completion and deadline of the order, relative to the start."""
    order = started(orders)
    return order.send_start_by - START, order.send_complete_by - START, order.deadline - START


def end(harness: DriverHarness, result: Result, attempt: int = 0, advance: int = 100 * MS) -> list[Order]:
    return harness.step(AttemptEnded(2, attempt, result), advance=advance)


RAN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.CONNECT_FAILED]


def harness_of(spec: Any, duplicate: bool = True) -> DriverHarness:
    harness = DriverHarness(classes=(spec,), limits={"duplicate": duplicate, "attempts": 9})
    harness.ask()
    return harness


# --- resends that the class does not allow are dropped ---


@pytest.mark.parametrize("result", RAN)
@pytest.mark.parametrize(("spec", "after", "name"), [
    (KEYED, WINDOW + 1, "send_past_window"), (KEYED, WINDOW, ""),
    (UNSAFE, 100 * MS, "send_may_run_twice"), (query_class(), WINDOW + 1, ""),
])  # fmt: skip
def test_part_that_may_have_run_is_resent_only_as_its_class_allows(
    spec: Any, after: int, name: str, result: Result
) -> None:
    harness = harness_of(spec)
    send(harness)
    end(harness, result, advance=after)
    orders = send(harness, node=2)
    assert harness.breaches(orders) == ([name] if name else [])
    assert any(isinstance(order, StartCall) for order in orders) == (not name)
    if name:
        harness.step()
        outcome = harness.module.batches[-1][0]
        assert isinstance(outcome, Outcome) and outcome.result is Result.MOOT


@pytest.mark.parametrize("spec", [KEYED, UNSAFE])
@pytest.mark.parametrize("result", NEVER_RAN)
def test_attempt_proved_not_to_have_run_sets_no_limit(spec: Any, result: Result) -> None:
    harness = harness_of(spec)
    send(harness)
    end(harness, result, advance=WINDOW + 1)
    assert times(send(harness, node=2))[1] == 2 * SECOND


def test_duplicate_of_an_open_unsafe_attempt_is_dropped() -> None:
    harness = harness_of(UNSAFE)
    send(harness)
    assert harness.breaches(send(harness, node=2)) == ["send_may_run_twice"]


def test_dropped_send_counts_as_not_run() -> None:
    harness = harness_of(UNSAFE)
    assert harness.breaches(send(harness, node=9)) == ["send_to_unlisted"]
    assert started(send(harness)).attempt == 1


def test_window_starts_at_the_first_attempt_that_may_have_run() -> None:
    harness = harness_of(KEYED)
    send(harness)
    end(harness, Result.CONNECT_FAILED)
    assert times(send(harness)) == (2 * SECOND,) * 3
    end(harness, Result.TIMEOUT, 1)
    harness.step(advance=50 * MS)
    assert times(send(harness, node=2))[:2] == (100 * MS + WINDOW,) * 2
    end(harness, Result.TIMEOUT, 2, advance=0)
    assert times(send(harness, node=2))[:2] == (100 * MS + WINDOW,) * 2, (
        "the window starts at the first attempt, not at its resend"
    )


def test_duplicate_of_an_open_attempt_is_limited_by_the_window() -> None:
    harness = harness_of(KEYED)
    send(harness)
    harness.step(advance=10 * MS)
    assert times(send(harness, node=2)) == (WINDOW, WINDOW, 2 * SECOND)


@pytest.mark.parametrize(
    ("result", "promised"), [*((r, False) for r in RAN), *((r, True) for r in NEVER_RAN)]
)
def test_unsafe_query_that_may_have_run_is_never_refused(result: Result, promised: bool) -> None:
    harness = harness_of(UNSAFE)
    send(harness)
    orders = harness.step(AttemptEnded(2, 0, result), actions=[Refuse(1, SECOND)], advance=MS)
    assert harness.breaches(orders) == ([] if promised else ["refuse_may_have_run"])
    assert finish(orders).verdict is (Verdict.REFUSED if promised else Verdict.FAILED)


def test_unsafe_query_is_refused_only_if_its_send_is_still_in_the_batch() -> None:
    harness = harness_of(UNSAFE)
    harness.module.next_actions = [Send(2, node_id(1), 0), Refuse(1, 0)]
    assert (
        finish(harness.driver.step(harness.now, [MembershipUpdate(Members(Scope.DELTA, 2, ()))])).verdict
        is Verdict.REFUSED
    )
    harness = harness_of(UNSAFE)
    send(harness)
    orders = harness.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), actions=[Refuse(1, 0)])
    assert finish(orders).verdict is Verdict.FAILED


# --- time limits of sends ---


def test_order_is_limited_by_drain_grace_and_timeout() -> None:
    harness = harness_of(query_class())
    harness.step(advance=20 * MS)
    harness.update(entry(1, 0, Phase.DRAINING))
    assert times(send(harness)) == (20 * MS + GRACE, 2 * SECOND, 2 * SECOND)
    harness.update(entry(1, 0, Phase.GONE))
    limited = harness.step(
        AttemptEnded(2, 0, Result.ERROR), actions=[Send(2, node_id(1), 30 * MS)], advance=GRACE - MS
    )
    assert times(limited) == (20 * MS + GRACE, GRACE + 49 * MS, GRACE + 49 * MS)


UPDATES: dict[str, Callable[[DriverHarness], list[Order]]] = {
    "drains": lambda harness: harness.update(entry(1, 0, Phase.DRAINING)),
    "gone": lambda harness: harness.update(entry(1, 0, Phase.GONE)),
    "left out": lambda harness: harness.update(entry(2, 0), entry(3, 1), scope=Scope.FULL),
}


@pytest.mark.parametrize("first", UPDATES)
def test_node_update_limits_waiting_sends_once(first: str) -> None:
    harness = harness_of(query_class())
    send(harness)
    harness.step(advance=20 * MS)
    expected = NodeSendDeadline(node_id(1), START + 20 * MS + GRACE)
    assert UPDATES[first](harness) == [expected]
    harness.step(advance=GRACE - MS)
    for later in ("drains", "left out", "gone"):  # the grace counts from the first update
        assert UPDATES[later](harness) == []
    harness.step(advance=2 * MS)
    assert harness.breaches(send(harness, part=2, node=1)) == ["send_past_grace"]


# --- withdrawal of attempts that are no longer needed ---


def test_received_part_withdraws_its_other_attempt() -> None:
    harness = harness_of(query_class())
    send(harness)
    send(harness, node=2)
    assert harness.step(AttemptEnded(2, 1, Result.OK, "x")) == [Withdraw(2, 0)]


ENDINGS: dict[str, Callable[[DriverHarness], list[Order]]] = {
    "left": lambda harness: harness.step(ClientLeft(77)),
    "refused": lambda harness: harness.step(AttemptEnded(3, 0, Result.ERROR), actions=[Refuse(1, 0)]),
    "overdue": lambda harness: harness.step(advance=2 * SECOND),
}


@pytest.mark.parametrize("how", ENDINGS)
@pytest.mark.parametrize("cancel", [False, True])
def test_ended_query_withdraws_its_open_attempts(how: str, cancel: bool) -> None:
    harness = DriverHarness(limits={"cancel": cancel})
    harness.ask()
    send(harness)
    send(harness, part=3, node=3)
    orders = ENDINGS[how](harness)
    withdrawn = [Withdraw(2, 0)] if how == "refused" else [Withdraw(2, 0), Withdraw(3, 0)]
    assert [order for order in orders if isinstance(order, Withdraw)] == withdrawn == orders[: len(withdrawn)]
    harness.step(AttemptEnded(2, 0, Result.CANCELLED), AttemptEnded(3, 0, Result.CANCELLED))
    assert harness.driver.tracked_count() == 0


def test_attempt_that_ended_in_the_same_batch_is_not_withdrawn() -> None:
    harness = harness_of(query_class())
    send(harness)
    assert harness.step(ClientLeft(77), AttemptEnded(2, 0, Result.ERROR)) == []
    assert isinstance(harness.module.batches[-1][0], Left)


def test_send_in_the_batch_that_ends_its_query_is_dropped_and_not_withdrawn() -> None:
    harness = harness_of(query_class())
    orders = harness.step(ClientLeft(78), AttemptEnded(9, 0, Result.OK), actions=[])
    assert not [order for order in orders if isinstance(order, Withdraw)]
    harness.module.next_actions = [Send(2, node_id(1), 0), Refuse(1, 0)]
    orders = harness.update(entry(3, 1))
    assert not [order for order in orders if isinstance(order, StartCall | Withdraw)]
