"""Tests of the driver with a decision module that keeps its contract and one that violates it."""

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


class ScriptedModule:
    """A module that returns the actions in ``next_actions`` and records the events that it gets."""

    def __init__(self) -> None:
        self.batches: list[list[Event]] = []
        self.next_actions: list[Action] = []

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.batches.append(list(events))
        actions, self.next_actions = self.next_actions, []
        return actions


class DriverHarness:
    """A driver around a scripted module. Holders 1 and 2 serve shard 0, holder 3 serves shard 1."""

    def __init__(self, **changes: Any) -> None:
        self.module = ScriptedModule()
        self.settings = settings(**changes)
        self.driver = Driver(self.module, self.settings, GRACE)
        self.now = START
        self.update(entry(1, 0), entry(2, 0), entry(3, 1), scope=Scope.CACHED)

    def update(self, *entries: Any, scope: Scope = Scope.DELTA) -> list[Order]:
        return self.step(MembershipUpdate(Members(scope, 1, tuple(entries))))

    def step(self, *inputs: Any, actions: Iterable[Action] = (), advance: int = 0) -> list[Order]:
        self.now += advance
        self.module.next_actions = list(actions)
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


def test_module_receives_query_followed_by_its_parts() -> None:
    harness = DriverHarness()
    harness.ask()
    query, *parts = harness.module.batches[-1]
    assert isinstance(query, Query) and (query.id, query.parts, query.time_left) == (1, 2, 2 * SECOND)
    assert [(p.id, p.number, p.shard) for p in parts if isinstance(p, Part)] == [(2, 1, 0), (3, 1, 1)]


def test_module_may_stop_an_attempt_that_ended_in_the_same_batch() -> None:
    """Found by the fault search (day 20036): after a stall, a disconnect and a reply arrived in one batch."""
    harness = DriverHarness()
    harness.ask()
    send(harness)
    orders = harness.step(
        ClientLeft(77), AttemptEnded(2, 0, Result.TIMEOUT), actions=[Cancel(2, 0)], advance=MS
    )
    assert orders == [] and harness.driver.tracked_count() == 0
    again = harness.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), actions=[Cancel(2, 0)])
    assert harness.breaches(again) == ["cancel_unknown"]


def test_sends_of_one_batch_share_a_call_up_to_the_limit() -> None:
    harness = DriverHarness(cells=1, limits={"batch": 2})
    harness.driver = Driver(harness.module, harness.settings, GRACE)
    harness.update(entry(1, 0), scope=Scope.CACHED)
    harness.step(QueryArrived(Ask(1, 0, SECOND, tuple(PartRequest(0, 1 / 3, n) for n in range(3)))))
    assert not harness.step(
        actions=[Send(2, node_id(1), 0)], advance=1
    )  # without an event the module is not called
    news = MembershipUpdate(Members(Scope.DELTA, 2, ()))
    orders = harness.step(news, actions=[Send(p, node_id(1), 0) for p in (2, 3, 4)])
    assert [len(order.attempts) for order in orders if isinstance(order, StartCall)] == [2, 1]


def test_attempt_deadline_never_exceeds_the_query_deadline() -> None:
    harness = DriverHarness()
    harness.ask(time_left=300 * MS)
    news = MembershipUpdate(Members(Scope.DELTA, 2, ()))
    orders = harness.step(news, actions=[Send(2, node_id(1), 5 * SECOND), Send(3, node_id(3), 100 * MS)])
    ends = [a.deadline - START for order in orders if isinstance(order, StartCall) for a in order.attempts]
    assert ends == [300 * MS, 100 * MS]


def send(harness: DriverHarness, part: int = 2, node: int = 1) -> list[Order]:
    return harness.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), actions=[Send(part, node_id(node), 0)])


@pytest.mark.parametrize(
    ("prepare", "part", "node", "name"),
    [
        (lambda harness: None, 99, 1, "send_unknown_part"),
        (lambda harness: None, 2, 9, "send_to_unlisted"),
        (lambda harness: None, 2, 3, "send_to_wrong_holder"),
        (lambda harness: [send(harness) for _ in range(3)], 2, 2, "send_beyond_attempts"),
        (
            lambda harness: (send(harness), harness.step(AttemptEnded(2, 0, Result.OK, "x"))),
            2, 2, "send_of_part_in",
        ),
        (
            lambda harness: (
                send(harness),
                harness.step(MembershipUpdate(Members(Scope.DELTA, 2, ())), actions=[Refuse(1, 0)]),
            ),
            2, 2, "send_after_end",
        ),
        (
            lambda harness: (harness.update(entry(1, 0, Phase.DRAINING)), harness.step(advance=GRACE + 1)),
            2, 1, "send_past_grace",
        ),
        (
            lambda harness: (
                harness.update(entry(2, 0), entry(3, 1), scope=Scope.FULL),
                harness.step(advance=GRACE + 1),
            ),
            2, 1, "send_past_grace",
        ),
    ],
)  # fmt: skip
def test_invalid_send_is_dropped_and_reported_as_moot(
    prepare: Callable[[DriverHarness], Any], part: int, node: int, name: str
) -> None:
    harness = DriverHarness()
    harness.ask()
    prepare(harness)
    orders = send(harness, part, node)
    assert harness.breaches(orders) == [name]
    assert not [order for order in orders if isinstance(order, StartCall)]
    if name != "send_unknown_part":
        assert harness.driver.next_due() == harness.now  # the moot outcome follows in the next batch
        harness.step()
        outcome = harness.module.batches[-1][0]
        assert isinstance(outcome, Outcome) and outcome.result is Result.MOOT


def test_sends_within_the_drain_grace_are_sent() -> None:
    harness = DriverHarness()
    harness.ask()
    harness.update(entry(1, 0, Phase.DRAINING))
    harness.now += GRACE
    assert [type(order) for order in send(harness)] == [StartCall]


def test_duplicate_attempt_requires_permission() -> None:
    harness = DriverHarness(limits={"duplicate": False})
    harness.ask()
    send(harness)
    assert harness.breaches(send(harness, node=2)) == ["send_second_copy"]


def test_answer_contains_received_parts_and_ignores_a_second_copy() -> None:
    harness = DriverHarness(classes=(query_class(need=0.5, floor=0.5),))
    harness.ask()
    send(harness)
    send(harness, node=2)
    harness.step(AttemptEnded(2, 1, Result.OK, "body"))
    orders = harness.step(AttemptEnded(2, 0, Result.OK, "later"), actions=[Answer(1, True)])
    final = finish(orders)
    assert (final.handle, final.verdict, final.whole) == (77, Verdict.ANSWERED, True)
    assert (final.parts_in, final.parts_asked, final.bodies, final.attempts) == (1, 2, ((1, 0, "body"),), 2)
    assert harness.driver.tracked_count() == 0


def test_answer_below_the_floor_fails_instead() -> None:
    harness = DriverHarness()
    harness.ask()
    send(harness)
    orders = harness.step(AttemptEnded(2, 0, Result.OK, "body"), actions=[Answer(1, False)])
    assert harness.breaches(orders) == ["answer_below_floor"]
    assert finish(orders).verdict is Verdict.FAILED
    harness.step()
    assert harness.module.batches[-1] == [Left(1)]


def test_incomplete_answer_is_never_marked_whole() -> None:
    harness = DriverHarness(classes=(query_class(need=1.0, floor=0.5),))
    harness.ask()
    send(harness)
    orders = harness.step(AttemptEnded(2, 0, Result.OK, "body"), actions=[Answer(1, True)])
    assert harness.breaches(orders) == ["answer_not_whole"]
    assert (finish(orders).verdict, finish(orders).whole) == (Verdict.ANSWERED, False)


def test_second_final_answer_is_dropped() -> None:
    harness = DriverHarness()
    harness.ask()
    orders = harness.step(
        MembershipUpdate(Members(Scope.DELTA, 2, ())), actions=[Fail(1), Refuse(1, 5), Answer(1, True)]
    )
    assert finish(orders).verdict is Verdict.FAILED
    assert harness.breaches(orders) == ["second_final_answer"] * 2


def test_query_lost_by_the_module_fails_at_its_deadline() -> None:
    harness = DriverHarness()
    harness.ask(time_left=300 * MS)
    assert harness.driver.next_due() == START + 300 * MS
    orders = harness.step(advance=300 * MS)
    assert harness.breaches(orders) == ["query_overdue"]
    assert (finish(orders).verdict, finish(orders).cause) == (Verdict.FAILED, "time is up")


def test_reply_precedes_a_timer_due_in_the_same_batch() -> None:
    harness = DriverHarness()
    harness.ask()
    harness.step(
        MembershipUpdate(Members(Scope.DELTA, 2, ())),
        actions=[Send(2, node_id(1), 0), SetTimer(START + 5, 1)],
    )
    harness.step(AttemptEnded(2, 0, Result.OK, "x"), advance=5)
    kinds = [type(event) for event in harness.module.batches[-1]]
    assert kinds == [Outcome, TimerFired]


def test_unknown_and_repeated_attempt_ends_are_reported_but_not_passed_on() -> None:
    harness = DriverHarness()
    harness.ask()
    send(harness)
    harness.step(AttemptEnded(2, 0, Result.ERROR))
    batches = len(harness.module.batches)
    for ended in (
        AttemptEnded(2, 0, Result.OK, "x"),
        AttemptEnded(2, 5, Result.OK),
        AttemptEnded(55, 0, Result.OK),
    ):
        assert harness.breaches(harness.step(ended)) == ["ending_unknown"]
    assert len(harness.module.batches) == batches


def test_disconnected_client_gets_no_answer_and_its_attempts_stay_tracked() -> None:
    harness = DriverHarness()
    harness.ask()
    send(harness)
    orders = harness.step(ClientLeft(77), actions=[Cancel(2, 0)])
    assert orders == [Withdraw(2, 0), StopAttempt(2, 0)]
    assert harness.module.batches[-1] == [Left(1)]
    assert harness.driver.tracked_count() == 1
    harness.step(AttemptEnded(2, 0, Result.CANCELLED))
    ended = harness.module.batches[-1][0]
    assert isinstance(ended, Outcome) and ended.final
    assert harness.driver.tracked_count() == 0


def second_step(bodies: Any) -> tuple[PartRequest, ...]:
    return tuple(PartRequest(shard, 1 / len(bodies), f"more {shard}") for shard in sorted(bodies))


def start_two_step_query(follow: Callable[..., Any]) -> tuple[DriverHarness, list[Order]]:
    harness = DriverHarness(classes=(query_class(need=0.5, floor=0.5, second_step=1),))
    harness.ask(follow)
    send(harness)
    return harness, harness.step(AttemptEnded(2, 0, Result.OK, "first"), actions=[Answer(1, True)])


def test_second_step_asks_the_answering_shards_in_the_next_batch() -> None:
    harness, orders = start_two_step_query(second_step)
    assert orders == [] and harness.driver.next_due() == harness.now
    harness.step(actions=[Send(4, node_id(2), 0)])
    assert harness.module.batches[-1] == [Part(4, 1, 1.0, 0, 0, 0)]
    orders = harness.step(AttemptEnded(4, 0, Result.OK, "second"), actions=[Answer(1, True)])
    assert finish(orders).bodies == ((1, 0, "first"), (2, 0, "second"))
    assert (finish(orders).whole, finish(orders).parts_in, finish(orders).parts_asked) == (True, 2, 3)


def test_incomplete_second_step_is_not_an_answer() -> None:
    harness, _ = start_two_step_query(second_step)
    harness.step(actions=[Send(4, node_id(2), 0)])
    orders = harness.step(AttemptEnded(4, 0, Result.ERROR), actions=[Answer(1, True)])
    assert harness.breaches(orders) == ["answer_below_floor"]


def test_query_without_a_second_step_ends_with_the_first() -> None:
    harness, orders = start_two_step_query(lambda bodies: ())
    assert finish(orders).whole
    harness.step()
    assert harness.module.batches[-1] == [
        Left(1)
    ]  # the module expects a second step and learns that there is none


def test_log_and_list_actions_are_passed_on_and_probes_are_reported() -> None:
    harness = DriverHarness()
    orders = harness.step(
        MembershipUpdate(Members(Scope.FAILED, 1, ())),
        actions=[Log("hm"), Watch(True), Probe(node_id(1)), Cancel(8, 0)],
    )
    assert orders[:2] == [LogLine("hm"), RefreshMembership()]
    assert harness.breaches(orders) == ["probe_unsupported", "cancel_unknown"]


def test_time_never_moves_backwards() -> None:
    harness = DriverHarness()
    harness.ask(time_left=SECOND)
    harness.driver.step(START - 5 * SECOND, [])
    assert harness.driver.now == START


def test_same_inputs_give_same_orders_with_the_real_module() -> None:
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
    assert sum(isinstance(order, Finish) for order in first) >= 40  # the rest waits for further attempts


def test_every_query_ends_exactly_once_for_random_events() -> None:
    from hypothesis import given
    from hypothesis import settings as fuzz
    from hypothesis import strategies as st

    events = st.lists(
        st.tuples(
            st.sampled_from(["ask", "end", "left", "time", "drain", "ready"]),
            st.integers(0, 9),
            st.integers(0, 7),
        ),
        max_size=80,
    )

    @fuzz(max_examples=150, deadline=None, derandomize=True)
    @given(events)
    def run_script(script: list[tuple[str, int, int]]) -> None:
        classes = (query_class(need=0.6, floor=0.6), query_class(floor=0.5), query_class(second_step=1))
        config = settings(classes=classes)
        driver = Driver(Aggregator(config, 3), config, GRACE)
        nodes = [entry(2 * cell + j, cell) for cell in range(3) for j in range(2)]
        now, handle = START, 0
        in_flight: list[tuple[int, int]] = []
        finished: list[int] = []
        left: set[int] = set()

        def process(orders: list[Order]) -> None:
            for order in orders:
                if isinstance(order, StartCall):
                    in_flight.extend((a.part, a.attempt) for a in order.attempts)
                elif isinstance(order, StopAttempt):
                    if (order.part, order.attempt) in in_flight:
                        in_flight.remove((order.part, order.attempt))
                        ends.append(AttemptEnded(order.part, order.attempt, Result.CANCELLED))
                elif isinstance(order, Finish):
                    finished.append(order.handle)

        ends: list[AttemptEnded] = []
        process(driver.step(now, [MembershipUpdate(Members(Scope.CACHED, 1, tuple(nodes)))]))
        for kind, a, b in script:
            inputs: list[Any] = [*ends]
            ends = []
            if kind == "ask":
                handle += 1
                parts = tuple(PartRequest(shard, 1 / 3, None) for shard in range(3))
                inputs.append(QueryArrived(Ask(handle, a % 3, (b + 1) * 300 * MS, parts, follow=second_step)))
            elif kind == "end" and in_flight:
                part, attempt = in_flight.pop(a % len(in_flight))
                result = (Result.OK, Result.OK, Result.OK, Result.ERROR, Result.FULL, Result.RESET,
                          Result.CONNECT_FAILED, Result.TIMEOUT)[b]  # fmt: skip
                inputs.append(AttemptEnded(part, attempt, result, "body"))
            elif kind == "left" and handle:
                gone = a % handle + 1
                if gone not in finished and gone not in left:
                    left.add(gone)
                    inputs.append(ClientLeft(gone))
            elif kind == "time":
                now += (b + 1) ** 3 * MS
            elif kind in ("drain", "ready"):
                phase = Phase.DRAINING if kind == "drain" else Phase.READY
                index = a % 6
                inputs.append(
                    MembershipUpdate(Members(Scope.DELTA, 2, (replace(nodes[index], phase=phase),)))
                )
            process(driver.step(now, inputs))
        for _ in range(400):
            if not driver.queries and not in_flight and not ends:
                break
            now = max(now + MS, min(driver.next_due() or now, now + SECOND))
            inputs, ends = [*ends], []
            process(driver.step(now, inputs))
            if not driver.queries:
                ends += [AttemptEnded(part, attempt, Result.TIMEOUT) for part, attempt in in_flight]
                in_flight.clear()
        assert sorted(finished) == sorted(set(range(1, handle + 1)) - left)
        assert driver.tracked_count() == 0
        assert not driver.breaches, driver.breaches

    run_script()
