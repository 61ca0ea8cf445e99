"""The driver against a module that obeys and one that breaks its contract: nothing wrong reaches the edge."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest

from quincepath.broker.driver import Driver
from quincepath.interface import (
    Action,
    Answer,
    Cancel,
    Event,
    Fail,
    Left,
    Log,
    Members,
    Outcome,
    Part,
    Phase,
    Probe,
    Query,
    Refuse,
    Result,
    Scope,
    Send,
    SetTimer,
    TimerFired,
    Watch,
)
from quincepath.orders import (
    Ask,
    AttemptEnded,
    Breach,
    ClientLeft,
    Finish,
    LogLine,
    MembershipUpdate,
    Order,
    PartRequest,
    QueryArrived,
    RefreshMembership,
    StartCall,
    StopAttempt,
    Verdict,
    Withdraw,
)
from quincepath.policy import Aggregator
from tests.helpers import MS, SECOND, START, entry, node_id, query_class, settings

GRACE = 500 * MS


class Scripted:
    """A module that says what the test puts in ``next``, and keeps what it was told."""

    def __init__(self) -> None:
        self.batches: list[list[Event]] = []
        self.next: list[Action] = []

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.batches.append(list(events))
        said, self.next = self.next, []
        return said


class Rig:
    """A driver around a scripted module; holders 1 and 2 have shard 0, holder 3 has shard 1."""

    def __init__(self, **changes: Any) -> None:
        self.module = Scripted()
        self.settings = settings(**changes)
        self.driver = Driver(self.module, self.settings, GRACE)
        self.now = START
        self.news(entry(1, 0), entry(2, 0), entry(3, 1), scope=Scope.CACHED)

    def news(self, *entries: Any, scope: Scope = Scope.DELTA) -> list[Order]:
        return self.step(MembershipUpdate(Members(scope, 1, tuple(entries))))

    def step(self, *inputs: Any, say: Iterable[Action] = (), after: int = 0) -> list[Order]:
        self.now += after
        self.module.next = list(say)
        return self.driver.step(self.now, inputs)

    def ask(
        self, follow: Callable[..., Any] | None = None, time_left: int = 2 * SECOND, kind: int = 0
    ) -> None:
        """Query 1 with parts 2 (shard 0) and 3 (shard 1)."""
        parts = (PartRequest(0, 0.5, "p0"), PartRequest(1, 0.5, "p1"))
        self.step(QueryArrived(Ask(77, kind, time_left, parts, follow=follow)))

    def breaches(self, orders: list[Order]) -> list[str]:
        return [order.name for order in orders if isinstance(order, Breach)]


def finish(orders: list[Order]) -> Finish:
    found = [order for order in orders if isinstance(order, Finish)]
    assert len(found) == 1
    return found[0]


def test_a_query_reaches_the_module_with_its_parts_behind_it() -> None:
    rig = Rig()
    rig.ask()
    query, *parts = rig.module.batches[-1]
    assert isinstance(query, Query) and (query.id, query.parts, query.time_left) == (1, 2, 2 * SECOND)
    assert [(p.id, p.number, p.shard) for p in parts if isinstance(p, Part)] == [(2, 1, 0), (3, 1, 1)]


def test_a_stop_may_name_an_attempt_that_ended_in_the_same_batch() -> None:
    """Found by the fault search (day 20036): after a stall, a client's leaving and a reply came at once."""
    rig = Rig()
    rig.ask()
    send(rig)
    orders = rig.step(ClientLeft(77), AttemptEnded(2, 0, Result.TIMEOUT), say=[Cancel(2, 0)], after=MS)
    assert orders == [] and rig.driver.tracked_count() == 0
    again = rig.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Cancel(2, 0)])
    assert rig.breaches(again) == ["cancel_unknown"]


def test_sends_of_one_batch_share_a_call_up_to_the_limit() -> None:
    rig = Rig(cells=1, limits={"batch": 2})
    rig.driver = Driver(rig.module, rig.settings, GRACE)
    rig.news(entry(1, 0), scope=Scope.CACHED)
    rig.step(QueryArrived(Ask(1, 0, SECOND, tuple(PartRequest(0, 1 / 3, n) for n in range(3)))))
    assert not rig.step(say=[Send(2, node_id(1), 0)], after=1)  # without an event the module is not called
    news = MembershipUpdate(Members(Scope.DELTA, 2, ()))
    orders = rig.step(news, say=[Send(p, node_id(1), 0) for p in (2, 3, 4)])
    assert [len(order.attempts) for order in orders if isinstance(order, StartCall)] == [2, 1]


def test_an_attempt_never_outlives_the_client() -> None:
    rig = Rig()
    rig.ask(time_left=300 * MS)
    news = MembershipUpdate(Members(Scope.DELTA, 2, ()))
    orders = rig.step(news, say=[Send(2, node_id(1), 5 * SECOND), Send(3, node_id(3), 100 * MS)])
    ends = [a.deadline - START for order in orders if isinstance(order, StartCall) for a in order.attempts]
    assert ends == [300 * MS, 100 * MS]


def send(rig: Rig, part: int = 2, node: int = 1) -> list[Order]:
    return rig.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Send(part, node_id(node), 0)])


@pytest.mark.parametrize(
    ("prepare", "part", "node", "name"),
    [
        (lambda rig: None, 99, 1, "send_unknown_part"),
        (lambda rig: None, 2, 9, "send_to_unlisted"),
        (lambda rig: None, 2, 3, "send_to_wrong_holder"),
        (lambda rig: [send(rig) for _ in range(3)], 2, 2, "send_beyond_attempts"),
        (lambda rig: (send(rig), rig.step(AttemptEnded(2, 0, Result.OK, "x"))), 2, 2, "send_of_part_in"),
        (
            lambda rig: (
                send(rig), rig.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Refuse(1, 0)]),
            ),
            2, 2, "send_after_end",
        ),
        (
            lambda rig: (rig.news(entry(1, 0, Phase.DRAINING)), rig.step(after=GRACE + 1)),
            2, 1, "send_past_grace",
        ),
        (
            lambda rig: (rig.news(entry(2, 0), entry(3, 1), scope=Scope.FULL), rig.step(after=GRACE + 1)),
            2, 1, "send_past_grace",
        ),
    ],
)  # fmt: skip
def test_a_wrong_send_never_leaves_and_is_told_as_moot(
    prepare: Callable[[Rig], Any], part: int, node: int, name: str
) -> None:
    rig = Rig()
    rig.ask()
    prepare(rig)
    orders = send(rig, part, node)
    assert rig.breaches(orders) == [name]
    assert not [order for order in orders if isinstance(order, StartCall)]
    if name != "send_unknown_part":
        assert rig.driver.next_due() == rig.now  # the moot outcome is owed in the next batch
        rig.step()
        told = rig.module.batches[-1][0]
        assert isinstance(told, Outcome) and told.result is Result.MOOT


def test_sends_within_the_grace_still_leave() -> None:
    rig = Rig()
    rig.ask()
    rig.news(entry(1, 0, Phase.DRAINING))
    rig.now += GRACE
    assert [type(order) for order in send(rig)] == [StartCall]


def test_second_copy_needs_leave() -> None:
    rig = Rig(limits={"duplicate": False})
    rig.ask()
    send(rig)
    assert rig.breaches(send(rig, node=2)) == ["send_second_copy"]


def test_answer_brings_the_parts_that_are_in_and_the_second_copy_does_not_count() -> None:
    rig = Rig(classes=(query_class(need=0.5, floor=0.5),))
    rig.ask()
    send(rig)
    send(rig, node=2)
    rig.step(AttemptEnded(2, 1, Result.OK, "body"))
    orders = rig.step(AttemptEnded(2, 0, Result.OK, "later"), say=[Answer(1, True)])
    last = finish(orders)
    assert (last.handle, last.verdict, last.whole) == (77, Verdict.ANSWERED, True)
    assert (last.parts_in, last.parts_asked, last.bodies, last.attempts) == (1, 2, ((1, 0, "body"),), 2)
    assert rig.driver.tracked_count() == 0


def test_answer_below_the_floor_is_failed_instead() -> None:
    rig = Rig()
    rig.ask()
    send(rig)
    orders = rig.step(AttemptEnded(2, 0, Result.OK, "body"), say=[Answer(1, False)])
    assert rig.breaches(orders) == ["answer_below_floor"]
    assert finish(orders).verdict is Verdict.FAILED
    rig.step()
    assert rig.module.batches[-1] == [Left(1)]


def test_whole_is_never_claimed_for_less() -> None:
    rig = Rig(classes=(query_class(need=1.0, floor=0.5),))
    rig.ask()
    send(rig)
    orders = rig.step(AttemptEnded(2, 0, Result.OK, "body"), say=[Answer(1, True)])
    assert rig.breaches(orders) == ["answer_not_whole"]
    assert (finish(orders).verdict, finish(orders).whole) == (Verdict.ANSWERED, False)


def test_second_final_answer_reaches_nobody() -> None:
    rig = Rig()
    rig.ask()
    orders = rig.step(
        MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Fail(1), Refuse(1, 5), Answer(1, True)]
    )
    assert finish(orders).verdict is Verdict.FAILED
    assert rig.breaches(orders) == ["second_final_answer"] * 2


def test_module_that_forgets_a_query_is_overruled_at_the_deadline() -> None:
    rig = Rig()
    rig.ask(time_left=300 * MS)
    assert rig.driver.next_due() == START + 300 * MS
    orders = rig.step(after=300 * MS)
    assert rig.breaches(orders) == ["query_overdue"]
    assert (finish(orders).verdict, finish(orders).cause) == (Verdict.FAILED, "time is up")


def test_reply_and_last_moment_come_in_one_batch_reply_first() -> None:
    rig = Rig()
    rig.ask()
    rig.step(
        MembershipUpdate(Members(Scope.DELTA, 2, ())), say=[Send(2, node_id(1), 0), SetTimer(START + 5, 1)]
    )
    rig.step(AttemptEnded(2, 0, Result.OK, "x"), after=5)
    kinds = [type(event) for event in rig.module.batches[-1]]
    assert kinds == [Outcome, TimerFired]


def test_unknown_and_doubled_endings_are_told_not_passed_on() -> None:
    rig = Rig()
    rig.ask()
    send(rig)
    rig.step(AttemptEnded(2, 0, Result.ERROR))
    batches = len(rig.module.batches)
    for ended in (
        AttemptEnded(2, 0, Result.OK, "x"),
        AttemptEnded(2, 5, Result.OK),
        AttemptEnded(55, 0, Result.OK),
    ):
        assert rig.breaches(rig.step(ended)) == ["ending_unknown"]
    assert len(rig.module.batches) == batches


def test_client_that_left_is_never_answered_and_its_attempts_are_still_counted() -> None:
    rig = Rig()
    rig.ask()
    send(rig)
    orders = rig.step(ClientLeft(77), say=[Cancel(2, 0)])
    assert orders == [Withdraw(2, 0), StopAttempt(2, 0)]
    assert rig.module.batches[-1] == [Left(1)]
    assert rig.driver.tracked_count() == 1
    rig.step(AttemptEnded(2, 0, Result.CANCELLED))
    ended = rig.module.batches[-1][0]
    assert isinstance(ended, Outcome) and ended.final
    assert rig.driver.tracked_count() == 0


def second_step(bodies: Any) -> tuple[PartRequest, ...]:
    return tuple(PartRequest(shard, 1 / len(bodies), f"more {shard}") for shard in sorted(bodies))


def two_steps(follow: Callable[..., Any]) -> tuple[Rig, list[Order]]:
    rig = Rig(classes=(query_class(need=0.5, floor=0.5, second_step=1),))
    rig.ask(follow)
    send(rig)
    return rig, rig.step(AttemptEnded(2, 0, Result.OK, "first"), say=[Answer(1, True)])


def test_second_step_goes_to_shards_that_answered_in_the_next_batch() -> None:
    rig, orders = two_steps(second_step)
    assert orders == [] and rig.driver.next_due() == rig.now
    rig.step(say=[Send(4, node_id(2), 0)])
    assert rig.module.batches[-1] == [Part(4, 1, 1.0, 0, 0, 0)]
    orders = rig.step(AttemptEnded(4, 0, Result.OK, "second"), say=[Answer(1, True)])
    assert finish(orders).bodies == ((1, 0, "first"), (2, 0, "second"))
    assert (finish(orders).whole, finish(orders).parts_in, finish(orders).parts_asked) == (True, 2, 3)


def test_second_step_short_of_all_is_not_whole() -> None:
    rig, _ = two_steps(second_step)
    rig.step(say=[Send(4, node_id(2), 0)])
    orders = rig.step(AttemptEnded(4, 0, Result.ERROR), say=[Answer(1, True)])
    assert rig.breaches(orders) == ["answer_below_floor"]


def test_query_without_a_second_step_ends_with_the_first() -> None:
    rig, orders = two_steps(lambda bodies: ())
    assert finish(orders).whole
    rig.step()
    assert rig.module.batches[-1] == [Left(1)]  # the module waits for a step: told that none comes


def test_logs_lists_and_probes_are_passed_or_told() -> None:
    rig = Rig()
    orders = rig.step(
        MembershipUpdate(Members(Scope.FAILED, 1, ())),
        say=[Log("hm"), Watch(True), Probe(node_id(1)), Cancel(8, 0)],
    )
    assert orders[:2] == [LogLine("hm"), RefreshMembership()]
    assert rig.breaches(orders) == ["probe_unsupported", "cancel_unknown"]


def test_clock_that_steps_back_is_held() -> None:
    rig = Rig()
    rig.ask(time_left=SECOND)
    rig.driver.step(START - 5 * SECOND, [])
    assert rig.driver.now == START


def test_same_inputs_same_orders_with_the_real_module() -> None:
    def run() -> list[Order]:
        config = settings(classes=(query_class(need=0.6, floor=0.6),))
        driver = Driver(Aggregator(config, 11), config, GRACE)
        nodes = tuple(entry(2 * cell + j, cell) for cell in range(3) for j in range(2))
        orders = driver.step(START, [MembershipUpdate(Members(Scope.CACHED, 1, nodes))])
        for turn in range(60):
            now = START + turn * 10 * MS
            parts = tuple(PartRequest(shard, 1 / 3, None) for shard in range(3))
            new = driver.step(now, [QueryArrived(Ask(turn, 0, SECOND, parts))])
            calls = [a for order in new if isinstance(order, StartCall) for a in order.attempts]
            ends = [
                AttemptEnded(a.part, a.attempt, (Result.OK, Result.ERROR)[a.part % 7 == 0], "b")
                for a in calls
            ]
            orders += new + driver.step(now + 3 * MS, ends)
        assert not driver.breaches
        return orders

    first = run()
    assert first == run()
    assert sum(isinstance(order, Finish) for order in first) >= 40  # the rest waits for further tries


def test_every_query_ends_once_whatever_the_endings_and_times() -> None:
    from hypothesis import given
    from hypothesis import settings as fuzz
    from hypothesis import strategies as st

    moves = st.lists(
        st.tuples(
            st.sampled_from(["ask", "end", "left", "time", "drain", "ready"]),
            st.integers(0, 9),
            st.integers(0, 7),
        ),
        max_size=80,
    )

    @fuzz(max_examples=150, deadline=None, derandomize=True)
    @given(moves)
    def play(script: list[tuple[str, int, int]]) -> None:
        classes = (query_class(need=0.6, floor=0.6), query_class(floor=0.5), query_class(second_step=1))
        config = settings(classes=classes)
        driver = Driver(Aggregator(config, 3), config, GRACE)
        nodes = [entry(2 * cell + j, cell) for cell in range(3) for j in range(2)]
        now, handle = START, 0
        out: list[tuple[int, int]] = []
        done: list[int] = []
        left: set[int] = set()

        def take(orders: list[Order]) -> None:
            for order in orders:
                if isinstance(order, StartCall):
                    out.extend((a.part, a.attempt) for a in order.attempts)
                elif isinstance(order, StopAttempt):
                    if (order.part, order.attempt) in out:
                        out.remove((order.part, order.attempt))
                        ends.append(AttemptEnded(order.part, order.attempt, Result.CANCELLED))
                elif isinstance(order, Finish):
                    done.append(order.handle)

        ends: list[AttemptEnded] = []
        take(driver.step(now, [MembershipUpdate(Members(Scope.CACHED, 1, tuple(nodes)))]))
        for what, a, b in script:
            inputs: list[Any] = [*ends]
            ends = []
            if what == "ask":
                handle += 1
                parts = tuple(PartRequest(shard, 1 / 3, None) for shard in range(3))
                inputs.append(QueryArrived(Ask(handle, a % 3, (b + 1) * 300 * MS, parts, follow=second_step)))
            elif what == "end" and out:
                part, attempt = out.pop(a % len(out))
                result = (Result.OK, Result.OK, Result.OK, Result.ERROR, Result.FULL, Result.RESET,
                          Result.CONNECT_FAILED, Result.TIMEOUT)[b]  # fmt: skip
                inputs.append(AttemptEnded(part, attempt, result, "body"))
            elif what == "left" and handle:
                gone = a % handle + 1
                if gone not in done and gone not in left:
                    left.add(gone)
                    inputs.append(ClientLeft(gone))
            elif what == "time":
                now += (b + 1) ** 3 * MS
            elif what in ("drain", "ready"):
                phase = Phase.DRAINING if what == "drain" else Phase.READY
                at = a % 6
                inputs.append(MembershipUpdate(Members(Scope.DELTA, 2, (replace(nodes[at], phase=phase),))))
            take(driver.step(now, inputs))
        for _ in range(400):
            if not driver.queries and not out and not ends:
                break
            now = max(now + MS, min(driver.next_due() or now, now + SECOND))
            inputs, ends = [*ends], []
            take(driver.step(now, inputs))
            if not driver.queries:
                ends += [AttemptEnded(part, attempt, Result.TIMEOUT) for part, attempt in out]
                out.clear()
        assert sorted(done) == sorted(set(range(1, handle + 1)) - left)
        assert driver.tracked_count() == 0
        assert not driver.breaches, driver.breaches

    play()
