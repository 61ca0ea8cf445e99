"""Until when the driver lets an attempt leave, and what it takes back; an overstepping module is harmless."""

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
from tests.test_driver import GRACE, Rig, finish, send

WINDOW = 400 * MS
KEYED = query_class(effect=Effect.KEYED, window=WINDOW)
UNSAFE = query_class(effect=Effect.UNSAFE, window=WINDOW)


def started(orders: list[Order]) -> AttemptOrder:
    (call,) = (order for order in orders if isinstance(order, StartCall))
    return call.attempts[0]


def times(orders: list[Order]) -> tuple[int, int, int]:
    """From the rig's start on."""
    one = started(orders)
    return one.send_start_by - START, one.send_complete_by - START, one.deadline - START


def end(rig: Rig, result: Result, attempt: int = 0, after: int = 100 * MS) -> list[Order]:
    return rig.step(AttemptEnded(2, attempt, result), after=after)


RAN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.CONNECT_FAILED]


def rig_of(spec: Any, duplicate: bool = True) -> Rig:
    rig = Rig(classes=(spec,), limits={"duplicate": duplicate, "attempts": 9})
    rig.ask()
    return rig


# --- a resend that the class does not allow never leaves ---


@pytest.mark.parametrize("result", RAN)
@pytest.mark.parametrize(("spec", "after", "name"), [
    (KEYED, WINDOW + 1, "send_past_window"), (KEYED, WINDOW, ""),
    (UNSAFE, 100 * MS, "send_may_run_twice"), (query_class(), WINDOW + 1, ""),
])  # fmt: skip
def test_a_part_that_may_have_run_is_sent_again_only_as_its_class_allows(
    spec: Any, after: int, name: str, result: Result
) -> None:
    rig = rig_of(spec)
    send(rig)
    end(rig, result, after=after)
    orders = send(rig, node=2)
    assert rig.breaches(orders) == ([name] if name else [])
    assert any(isinstance(order, StartCall) for order in orders) == (not name)
    if name:
        rig.step()
        told = rig.module.batches[-1][0]
        assert isinstance(told, Outcome) and told.result is Result.MOOT


@pytest.mark.parametrize("spec", [KEYED, UNSAFE])
@pytest.mark.parametrize("result", NEVER_RAN)
def test_what_is_proved_never_to_have_run_binds_nothing(spec: Any, result: Result) -> None:
    rig = rig_of(spec)
    send(rig)
    end(rig, result, after=WINDOW + 1)
    assert times(send(rig, node=2))[1] == 2 * SECOND


def test_a_second_copy_beside_an_unsafe_part_that_is_out_never_leaves() -> None:
    rig = rig_of(UNSAFE)
    send(rig)
    assert rig.breaches(send(rig, node=2)) == ["send_may_run_twice"]


def test_a_breach_made_harmless_proves_itself_unrun() -> None:
    rig = rig_of(UNSAFE)
    assert rig.breaches(send(rig, node=9)) == ["send_to_unlisted"]
    assert started(send(rig)).attempt == 1


def test_the_window_runs_from_the_first_attempt_that_may_have_run() -> None:
    rig = rig_of(KEYED)
    send(rig)
    end(rig, Result.CONNECT_FAILED)
    assert times(send(rig)) == (2 * SECOND,) * 3
    end(rig, Result.TIMEOUT, 1)
    rig.step(after=50 * MS)
    assert times(send(rig, node=2))[:2] == (100 * MS + WINDOW,) * 2
    end(rig, Result.TIMEOUT, 2, after=0)
    assert times(send(rig, node=2))[:2] == (100 * MS + WINDOW,) * 2, "and not from its resend"


def test_a_copy_beside_one_that_is_out_is_bound_by_the_window_too() -> None:
    rig = rig_of(KEYED)
    send(rig)
    rig.step(after=10 * MS)
    assert times(send(rig, node=2)) == (WINDOW, WINDOW, 2 * SECOND)


@pytest.mark.parametrize(
    ("result", "promised"), [*((r, False) for r in RAN), *((r, True) for r in NEVER_RAN)]
)
def test_a_query_that_may_have_run_and_must_not_twice_is_never_refused(
    result: Result, promised: bool
) -> None:
    rig = rig_of(UNSAFE)
    send(rig)
    orders = rig.step(AttemptEnded(2, 0, result), say=[Refuse(1, SECOND)], after=MS)
    assert rig.breaches(orders) == ([] if promised else ["refuse_may_have_run"])
    assert finish(orders).verdict is (Verdict.REFUSED if promised else Verdict.FAILED)


def test_a_query_with_an_unsafe_part_still_out_is_never_refused_but_what_is_sent_with_it_has_not_left() -> (
    None
):
    rig = rig_of(UNSAFE)
    rig.module.next = [Send(2, node_id(1), 0), Refuse(1, 0)]
    assert (
        finish(rig.driver.step(rig.now, [MembershipUpdate(Members(Scope.DELTA, 2, ()))])).verdict
        is Verdict.REFUSED
    )
    rig = rig_of(UNSAFE)
    send(rig)
    orders = rig.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Refuse(1, 0)])
    assert finish(orders).verdict is Verdict.FAILED


# --- until when it may leave ---


def test_an_order_leaves_within_the_grace_and_its_wait() -> None:
    rig = rig_of(query_class())
    rig.step(after=20 * MS)
    rig.news(entry(1, 0, Phase.DRAINING))
    assert times(send(rig)) == (20 * MS + GRACE, 2 * SECOND, 2 * SECOND)
    rig.news(entry(1, 0, Phase.GONE))
    short = rig.step(AttemptEnded(2, 0, Result.ERROR), say=[Send(2, node_id(1), 30 * MS)], after=GRACE - MS)
    assert times(short) == (20 * MS + GRACE, GRACE + 49 * MS, GRACE + 49 * MS)


NEWS: dict[str, Callable[[Rig], list[Order]]] = {
    "drains": lambda rig: rig.news(entry(1, 0, Phase.DRAINING)),
    "gone": lambda rig: rig.news(entry(1, 0, Phase.GONE)),
    "left out": lambda rig: rig.news(entry(2, 0), entry(3, 1), scope=Scope.FULL),
}


@pytest.mark.parametrize("first", NEWS)
def test_news_of_a_node_bounds_what_waits_for_it_once(first: str) -> None:
    rig = rig_of(query_class())
    send(rig)
    rig.step(after=20 * MS)
    bound = NodeSendDeadline(node_id(1), START + 20 * MS + GRACE)
    assert NEWS[first](rig) == [bound]
    rig.step(after=GRACE - MS)
    for again in ("drains", "left out", "gone"):  # what was told of it counts from the first time
        assert NEWS[again](rig) == []
    rig.step(after=2 * MS)
    assert rig.breaches(send(rig, part=2, node=1)) == ["send_past_grace"]


# --- what is over is taken back ---


def test_a_part_that_is_in_takes_back_its_other_copy() -> None:
    rig = rig_of(query_class())
    send(rig)
    send(rig, node=2)
    assert rig.step(AttemptEnded(2, 1, Result.OK, "x")) == [Withdraw(2, 0)]


OVER: dict[str, Callable[[Rig], list[Order]]] = {
    "left": lambda rig: rig.step(ClientLeft(77)),
    "refused": lambda rig: rig.step(AttemptEnded(3, 0, Result.ERROR), say=[Refuse(1, 0)]),
    "overdue": lambda rig: rig.step(after=2 * SECOND),
}


@pytest.mark.parametrize("how", OVER)
@pytest.mark.parametrize("cancel", [False, True])
def test_a_query_that_is_over_takes_back_what_is_out(how: str, cancel: bool) -> None:
    rig = Rig(limits={"cancel": cancel})
    rig.ask()
    send(rig)
    send(rig, part=3, node=3)
    orders = OVER[how](rig)
    kept = [Withdraw(2, 0)] if how == "refused" else [Withdraw(2, 0), Withdraw(3, 0)]
    assert [order for order in orders if isinstance(order, Withdraw)] == kept == orders[: len(kept)]
    rig.step(AttemptEnded(2, 0, Result.CANCELLED), AttemptEnded(3, 0, Result.CANCELLED))
    assert rig.driver.tracked_count() == 0


def test_an_attempt_that_ended_in_the_same_batch_is_not_taken_back() -> None:
    rig = rig_of(query_class())
    send(rig)
    assert rig.step(ClientLeft(77), AttemptEnded(2, 0, Result.ERROR)) == []
    assert isinstance(rig.module.batches[-1][0], Left)


def test_a_send_of_the_batch_that_ends_its_query_is_not_taken_back_but_never_made() -> None:
    rig = rig_of(query_class())
    orders = rig.step(ClientLeft(78), AttemptEnded(9, 0, Result.OK), say=[])
    assert not [order for order in orders if isinstance(order, Withdraw)]
    rig.module.next = [Send(2, node_id(1), 0), Refuse(1, 0)]
    orders = rig.news(entry(3, 1))
    assert not [order for order in orders if isinstance(order, StartCall | Withdraw)]
