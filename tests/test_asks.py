"""Asks and tries: for any order of events each try gets one answer and no part is sent twice for a retry."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import permutations, product
from pathlib import Path
from typing import Any

import pytest

from quincepath.asks.intake import AskIntake
from quincepath.asks.registry import (
    AskRegistry,
    Begin,
    ClientKey,
    Conflict,
    Deliver,
    DropAsk,
    Join,
    MatchKind,
    RegistryLimits,
    ReplayAnswer,
    Restart,
    TooManyTries,
    Try,
    TryExpired,
)
from quincepath.broker.dispatcher import AskEnded, Dispatcher, Rendered, TryAnswer
from quincepath.broker.driver import Driver
from quincepath.interface import Members, Result, Scope
from quincepath.lab.load import Client, QueryPlan, QueryResult
from quincepath.limits.admission import AdmissionBounds
from quincepath.orders import (
    Ask,
    AttemptEnded,
    AttemptOrder,
    Breach,
    Finish,
    MembershipUpdate,
    PartRequest,
    StartCall,
    StopAttempt,
    Verdict,
)
from quincepath.policy import Aggregator
from tests.helpers import MS, SECOND, START, entry, node_id, query_class, settings
from tests.world import World

LIMITS = RegistryLimits(
    remember=10 * SECOND, most_remembered=3, most_bytes=1000, linger=300 * MS, most_tries=4, reserve=5 * MS
)


ROOMY = AdmissionBounds(1000, 1000, 1 << 30, SECOND)


def make_registry(**changes: Any) -> AskRegistry[str]:
    return AskRegistry(replace(LIMITS, **changes))


def make_try(handle: int, key: str = "k", body: bytes = b"b", left: int = 2 * SECOND, **more: Any) -> Try:
    mark = ClientKey("", key, True) if key else None
    return Try(handle, "", body, START + left, mark, name=f"t{handle}", **more)


# --- the registry alone ---


def test_retry_joins_the_running_ask_and_both_tries_get_the_answer() -> None:
    registry = make_registry()
    assert registry.arrive(START, make_try(1)) == Begin(1)
    assert registry.arrive(START + MS, make_try(2)) == Join(1, MatchKind.RETRY)
    orders = registry.finish(START + 2 * MS, 1, "answer", 6, True)
    assert orders == [Deliver(1, MatchKind.BEGAN), Deliver(2, MatchKind.RETRY)]
    assert registry.arrive(START + 3 * MS, make_try(3)) == ReplayAnswer(1, "answer")
    assert registry.waiting() == registry.running() == 0


def test_answers_are_remembered_for_a_time_and_failures_never() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    registry.finish(START, 1, "answer", 6, True)
    assert registry.arrive(START + 10 * SECOND - 1, make_try(2)) == ReplayAnswer(1, "answer")
    assert registry.arrive(START + 10 * SECOND, make_try(3)) == Begin(2)
    registry.finish(START + 11 * SECOND, 2, "refused", 6, False)
    assert registry.arrive(START + 11 * SECOND, make_try(4)) == Begin(3)
    registry.finish(START + 11 * SECOND, 3, "failed", 6, False)
    assert registry.arrive(START + 11 * SECOND, make_try(5)) == Begin(4)


def test_remembered_answers_are_limited_and_the_oldest_is_dropped_first() -> None:
    registry = make_registry()
    for number in range(5):
        registry.arrive(START, make_try(number + 1, key=f"k{number}"))
        registry.finish(START, number + 1, f"a{number}", 100, True)
    assert (registry.remembered(), registry.bytes) == (3, 300)
    assert registry.arrive(START, make_try(9, key="k1")) == Begin(6)
    assert registry.arrive(START, make_try(10, key="k2")) == ReplayAnswer(3, "a2")
    registry.arrive(START, make_try(11, key="big"))
    registry.finish(START, 7, "big", 900, True)
    assert (registry.remembered(), registry.bytes) == (2, 1000)  # the newest small answer and the big one
    registry.arrive(START, make_try(12, key="huge"))
    registry.finish(START, 8, "huge", 1001, True)
    assert (registry.remembered(), registry.bytes) == (2, 1000)


def test_reused_strict_key_is_a_conflict_and_a_reused_id_is_another_ask() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    assert registry.arrive(START, make_try(2, body=b"other")) == Conflict()
    reusable_id = ClientKey("", "k", False)
    assert registry.arrive(START, replace(make_try(3, body=b"other"), client_key=reusable_id)) == Begin(2)
    assert registry.arrive(
        START, replace(make_try(4), client_key=ClientKey("else", "k", True), scope="else")
    ) == Begin(3)


def test_ask_continues_for_the_linger_time_after_its_last_client_left() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    assert registry.client_left(START + MS, 1) is None
    assert registry.next_due() == START + 301 * MS
    assert registry.arrive(START + 200 * MS, make_try(2)) == Join(1, MatchKind.RETRY)
    assert registry.expire(START + 301 * MS) == []  # a try waits again
    assert registry.client_left(START + 400 * MS, 2) is None
    assert registry.expire(START + 699 * MS) == []
    assert registry.expire(START + 700 * MS) == [DropAsk(1)]
    assert registry.arrive(START + 701 * MS, make_try(3)) == Begin(2)


def test_ask_without_key_is_dropped_with_its_last_client() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1, key=""))
    assert registry.client_left(START + MS, 1) == DropAsk(1)
    assert registry.finish(START + MS, 1, "late", 4, True) == []


def test_answer_that_arrived_while_no_try_waited_is_replayed_to_the_retry() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    registry.client_left(START + MS, 1)
    assert registry.finish(START + 2 * MS, 1, "answer", 6, True) == []
    assert registry.arrive(START + 3 * MS, make_try(2)) == ReplayAnswer(1, "answer")


def test_try_with_an_earlier_deadline_than_its_ask_fails_alone() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    registry.arrive(START, make_try(2, left=100 * MS))
    assert registry.next_due() == START + 95 * MS
    assert registry.expire(START + 95 * MS) == [TryExpired(2)]
    assert registry.finish(START + 96 * MS, 1, "answer", 6, True) == [Deliver(1, MatchKind.BEGAN)]


def test_ask_is_dropped_when_the_first_client_left_and_the_last_try_expired() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    registry.arrive(START, make_try(2, left=100 * MS))
    registry.client_left(START + MS, 1)
    assert registry.expire(START + 95 * MS) == [TryExpired(2), DropAsk(1)]


def test_equal_requests_are_coalesced_and_run_again_if_the_first_lacked_time() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1, key="a", left=100 * MS, shared=True))
    assert registry.arrive(START, make_try(2, key="b", shared=True)) == Join(1, MatchKind.EQUAL)
    assert registry.arrive(START, make_try(3, key="c", left=SECOND, shared=True)) == Join(1, MatchKind.EQUAL)
    orders = registry.finish(START + 95 * MS, 1, "time is up", 6, False)
    assert orders == [Deliver(1, MatchKind.BEGAN), Restart(2, 2, START + 2 * SECOND, "t2")]
    assert registry.arrive(START + 96 * MS, make_try(4, key="b", shared=True)) == Join(2, MatchKind.RETRY)
    # A failure of the second run is final for all tries.
    orders = registry.finish(START + 97 * MS, 2, "failed", 6, False)
    assert orders == [Deliver(2, MatchKind.BEGAN), Deliver(3, MatchKind.EQUAL), Deliver(4, MatchKind.RETRY)]
    assert registry.running() == registry.waiting() == 0


def test_refusal_is_shared_without_more_time_left_and_scopes_are_separate() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1, key="", shared=True))
    assert registry.arrive(START, replace(make_try(2, key="", shared=True), scope="other")) == Begin(2)
    registry.arrive(START, make_try(3, key="", shared=True))
    refused = registry.finish(START, 1, "refused", 4, False)
    assert refused == [Deliver(1, MatchKind.BEGAN), Deliver(3, MatchKind.EQUAL)]


def test_number_of_tries_waiting_for_one_ask_is_limited() -> None:
    registry = make_registry()
    registry.arrive(START, make_try(1))
    for handle in (2, 3, 4):
        assert isinstance(registry.arrive(START, make_try(handle)), Join)
    assert registry.arrive(START, make_try(5)) == TooManyTries()


def test_equal_bodies_without_key_are_one_ask_for_the_configured_time_only() -> None:
    registry = make_registry()
    first = make_try(1, key="", retry_window=SECOND)
    registry.arrive(START, first)
    assert registry.arrive(START + SECOND, replace(first, handle=2)) == Join(1, MatchKind.RETRY)
    assert registry.arrive(START + SECOND + 1, replace(first, handle=3)) == Begin(2)


# --- every interleaving of reply, deadline, retry and disconnect ---

A, B, C_ = node_id(1), node_id(2), node_id(3)
EVENTS = ("reply", "deadline", "retry", "gone")
DEADLINE = 400 * MS
GIVE_UP_TIME = START + DEADLINE - 2 * 5 * MS  # two ticks before the deadline the module gives up a query


@dataclass
class Case:
    """A run without I/O: three shards on three holders; all replies but one arrive before the events."""

    need: float
    linger: int
    good: bool = True
    seen: dict[int, list[Any]] = field(default_factory=dict)
    gone: dict[int, int] = field(default_factory=dict)
    ended: list[AskEnded[str, Any]] = field(default_factory=list)
    sent: list[tuple[int, int, int]] = field(default_factory=list)  # time, shard, attempt
    in_flight: dict[tuple[int, int], AttemptOrder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        kind = query_class(
            target=DEADLINE, deadline=DEADLINE, need=self.need, floor=self.need, late_worth=0.3
        )
        limits = {"attempts": 3, "duplicate": False}
        driver = Driver(Aggregator(config := settings((kind,), limits=limits, cells=3), 1), config, 500 * MS)
        intake: AskIntake[Any] = AskIntake(replace(LIMITS, linger=self.linger), ROOMY, 1)
        self.dispatcher = Dispatcher[str, Any](driver, intake, lambda f, _c: Rendered(f, 1, f.verdict))
        self.now = START
        entries = tuple(entry(n + 1, n) for n in range(3))
        self.dispatcher.enqueue(MembershipUpdate(Members(Scope.CACHED, 1, entries)))
        self.step()

    def step(self) -> None:
        """Step until nothing more is due at this instant."""
        while True:
            for order in self.dispatcher.step(self.now):
                match order:
                    case StartCall(attempts=attempts):
                        for sent_order in attempts:
                            self.sent.append((self.now, sent_order.shard, sent_order.attempt))
                            self.in_flight[sent_order.part, sent_order.attempt] = sent_order
                    case StopAttempt(part, number):
                        del self.in_flight[part, number]
                        self.dispatcher.enqueue(AttemptEnded(part, number, Result.CANCELLED))
                    case TryAnswer(handle, reply, _kind):
                        self.seen.setdefault(handle, []).append(reply)
                        assert handle not in self.gone, "answer to a client that had left"
                    case AskEnded():
                        self.ended.append(order)
                    case Breach(name, detail):
                        raise AssertionError(f"{name}: {detail}")
                    case _:
                        pass
            if not self.dispatcher.due(self.now):
                return

    def ask(self, handle: int) -> Any:
        parts = tuple(PartRequest(n, 1 / 3, n) for n in range(3))
        request = Try(handle, "", b"body", self.now + DEADLINE, ClientKey("", "key", True))
        known, context = self.dispatcher.known(self.now, request)
        ask = None if known else Ask(0, 0, DEADLINE, parts)
        return self.dispatcher.arrive(self.now, request, ask, context if known else "plan")

    def reply(self, shard: int, good: bool = True) -> None:
        sent_order = next(
            (sent_order for sent_order in self.in_flight.values() if sent_order.shard == shard), None
        )
        if sent_order is not None:
            del self.in_flight[sent_order.part, sent_order.attempt]
            self.dispatcher.enqueue(
                AttemptEnded(
                    sent_order.part, sent_order.attempt, Result.OK if good else Result.ERROR, body="x"
                )
            )

    def wait(self, until: int) -> None:
        """Advance time, stepping whenever a timer is due."""
        while True:
            next_due = self.dispatcher.next_due()
            dues = [sent_order.deadline for sent_order in self.in_flight.values()] + (
                [] if next_due is None else [next_due]
            )
            due = min(dues, default=None)
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            for key, sent_order in list(self.in_flight.items()):
                if sent_order.deadline <= self.now:
                    del self.in_flight[key]
                    self.dispatcher.enqueue(AttemptEnded(sent_order.part, sent_order.attempt, Result.TIMEOUT))
            self.step()
        self.now = until


def run_events(case: Case, order: tuple[str, ...], together: tuple[bool, ...], retry_handle: int = 2) -> None:
    """Run the events in this order; ``together``: which are in the same batch as the one before."""
    assert case.ask(1) == Begin(1)
    case.step()
    asked = sorted({shard for _, shard, _ in case.sent})
    last = asked[-1]
    case.now += 100 * MS
    for shard in asked[:-1]:
        case.reply(shard)
    case.step()
    for index, event in enumerate(order):
        if index and not together[index - 1]:
            case.step()
            case.now += MS
        match event:
            case "reply":
                case.reply(last, case.good)
            case "deadline":
                # The time at which the module gives up. In one batch with the event before, the broker was
                # busy until then; otherwise earlier timers fire first and this moment's timer is still due.
                if not index or not together[index - 1]:
                    case.wait(max(GIVE_UP_TIME - 1, case.now))
                case.now = max(case.now, GIVE_UP_TIME)
            case "retry":
                decision = case.ask(retry_handle)
                if isinstance(decision, ReplayAnswer):
                    case.seen.setdefault(retry_handle, []).append(decision.reply)
                else:
                    assert isinstance(decision, Begin | Join)
            case "gone":
                if 1 not in case.seen:
                    case.gone[1] = case.now
                    case.dispatcher.client_left(case.now, 1)
    case.step()
    # Finally all open attempts are answered, then time advances past all timers.
    for sent_order in list(case.in_flight.values()):
        case.reply(sent_order.shard)
    case.step()
    case.wait(START + 60 * SECOND)


def expected(order: tuple[str, ...], together: tuple[bool, ...], linger: int) -> tuple[dict[int, bool], int]:
    """The expected result if the last reply is good: for each try whether it is answered, and the run count.

    Tries that leave without an answer and tries that start a run of their own are not included.
    """
    batches: list[list[str]] = []
    for index, event in enumerate(order):
        if index and together[index - 1]:
            batches[-1].append(event)
        else:
            batches.append([event])
    waiting, answered, state, runs = {1}, {}, "running", 1
    for batch in [*batches, ["reply"]]:  # finally each open attempt is answered
        for event in batch:
            if event == "gone":
                waiting.discard(1)
                if not waiting and not linger and state == "running":
                    state = "dropped"
            elif event == "retry":
                if state == "running":
                    waiting.add(2)
                elif state == "answered":
                    answered[2] = True
                else:
                    runs = 2
        if state == "running" and ("reply" in batch or "deadline" in batch):
            state = "answered" if "reply" in batch else "given up"
            answered |= dict.fromkeys(waiting, state == "answered")
            waiting = set()
    return answered, runs


def check(case: Case, order: tuple[str, ...]) -> None:
    for handle in (1, 2):
        if handle in case.gone or (handle == 2 and "retry" not in order):
            assert handle not in case.seen or handle not in case.gone
            continue
        assert len(case.seen.get(handle, [])) == 1, f"try {handle} got {case.seen.get(handle)}"
    assert case.dispatcher.running() == 0 and case.dispatcher.driver.tracked_count() == 0
    send_counts: dict[tuple[int, int], int] = {}
    for _, shard, number in case.sent:
        send_counts[shard, number] = send_counts.get((shard, number), 0) + 1
    run_count = len(case.ended)
    assert 1 <= run_count <= 2
    if run_count == 1:  # the retry shared the run, so no part was sent again for it
        assert all(count == 1 for count in send_counts.values()), case.sent
    answers = [reply for replies in case.seen.values() for reply in replies]
    for reply in answers:
        if isinstance(reply, Finish) and reply.verdict is Verdict.ANSWERED:
            assert reply.parts_in / reply.parts_asked >= case.need - 1e-9


EVENT_ORDERS = [order for size in (3, 4) for order in permutations(EVENTS, size) if "reply" in order]
INTERLEAVINGS = [
    (order, together) for order in EVENT_ORDERS for together in product((False, True), repeat=len(order) - 1)
]


@pytest.mark.parametrize("need", [0.6, 1.0], ids=["any-n", "all"])
@pytest.mark.parametrize("linger", [0, 300 * MS], ids=["no linger", "linger"])
@pytest.mark.parametrize("good", [True, False], ids=["reply", "error"])
def test_every_interleaving_of_last_reply_deadline_retry_and_disconnect(
    need: float, linger: int, good: bool
) -> None:
    """All orders of the four events, each alone or in one batch with the one before; not sampled."""
    for order, together in INTERLEAVINGS:
        case = Case(need, linger, good)
        try:
            run_events(case, order, together)
            check(case, order)
            if good:
                answered, runs = expected(order, together, linger)
                got = {
                    handle: reply is not None and reply.verdict is Verdict.ANSWERED and reply.whole
                    for handle, (reply,) in case.seen.items()
                    if handle in answered
                }
                assert (got, len(case.ended)) == (answered, runs)
        except AssertionError as error:
            raise AssertionError(f"{order} {together}: {error}") from error
    assert len(INTERLEAVINGS) == 264


@pytest.mark.parametrize("need", [0.6, 1.0])
def test_last_needed_reply_in_the_same_batch_as_the_deadline_is_answered(need: float) -> None:
    """A query that reaches its needed share in the step in which its time ends is answered, once."""
    for order in (("reply", "deadline"), ("deadline", "reply")):
        case = Case(need, 0)
        assert case.ask(1) == Begin(1)
        case.step()
        shards = sorted({shard for _, shard, _ in case.sent})
        case.now += 100 * MS
        for shard in shards[:-1]:
            case.reply(shard)
        case.step()
        case.now = GIVE_UP_TIME
        if order[0] == "reply":
            case.reply(shards[-1])
            case.step()
        else:
            case.reply(shards[-1])  # in the same batch as the module's timer
            case.step()
        case.wait(START + 10 * SECOND)
        [reply] = case.seen[1]
        assert reply.verdict is Verdict.ANSWERED and reply.whole and len(case.ended) == 1


# --- over sockets ---


def test_thousands_of_keyed_retries_at_random_times(tmp_path: Path) -> None:
    """Retries before, during and after the first answer, on any connection: one run, one answer each."""
    random_ = random.Random(7)
    world = World(tmp_path)
    other = Client(world.loop, world.broker.url)
    ends: dict[str, list[QueryResult]] = {}
    sent_tries = 0

    def keep(name: str) -> Any:
        ends[name] = []
        return ends[name].append

    plans = [world.plan("hours-report"), world.plan("fleet-glance")]
    for number in range(400):
        plan = replace(plans[number % 2], headers={"Idempotency-Key": f"ask-{number}"})
        base = number * 15 * MS
        for retry in range(1 + random_.randrange(1, 10)):
            at = base + (random_.randrange(20 * MS) if retry else 0)
            client = random_.choice([world.client, other])
            headers = {**plan.headers, **({"Retry-Attempt": str(retry)} if retry else {})}
            name = f"t{number}.{retry}"
            sent_tries += 1
            world.loop.call_in(at, send_later(client, name, replace(plan, headers=headers), keep(name)))
    world.until(lambda: len(ends) == sent_tries and all(ends.values()), 60)
    world.run(1)
    assert sent_tries > 2000 and {len(seen) for seen in ends.values()} == {1}
    assert {seen.status for results in ends.values() for seen in results} == {200}
    # Each ask ran once: hours-report needs three sets and fleet-glance two of three, one attempt per part.
    registry = world.broker.dispatcher.intake.registry
    assert registry.counts["began"] == 400
    assert registry.counts["retry"] + registry.counts["replayed"] == sent_tries - 400
    sent = sum(leaf.requests for leaf in world.leaves.values())
    assert sent == sum(parts_received(ends, f"t{n}.0") for n in range(400))
    answers = world.broker.metrics.answers
    counted = sum(s.value for m in answers.collect() for s in m.samples if s.name.endswith("_total"))
    assert counted == 400
    other.close()
    world.close()


def send_later(
    client: Client, name: str, plan: QueryPlan, keep: Callable[[QueryResult], None]
) -> Callable[[], None]:
    return lambda: client.ask(name, plan, keep)


def parts_received(ends: dict[str, list[QueryResult]], name: str) -> int:
    response = ends[name][0].response
    assert response is not None
    inside, _, asked = response.headers["quincepath-parts"].partition("/")
    return int(inside)


def test_retry_after_a_lost_connection_joins_the_run_and_sends_no_part_again(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=100)
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    world.client.ask("first", replace(plan, patience=-200 * MS), lambda seen: None)  # gives up after 50 ms
    world.run(0.06)
    assert world.broker.dispatcher.running() == 1 and not world.broker.clients.open
    before = sum(leaf.requests for leaf in world.leaves.values())
    [seen] = world.ask(plan)
    assert seen.status == 200 and seen.response is not None
    assert seen.response.headers["quincepath-joined"] == "retry"
    parts = int(seen.response.headers["quincepath-parts"].partition("/")[2])
    assert sum(leaf.requests for leaf in world.leaves.values()) - before == parts - 3  # the second step only
    world.close()


def test_retry_after_a_broker_restart_is_a_new_ask(tmp_path: Path) -> None:
    world = World(tmp_path)
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    assert world.ask(plan)[0].status == 200
    fresh = World(tmp_path)
    [seen] = fresh.ask(replace(plan, headers={**plan.headers, "Retry-Attempt": "1"}))
    assert (
        seen.status == 200 and seen.response is not None and "quincepath-joined" not in seen.response.headers
    )
    assert fresh.broker.dispatcher.intake.registry.counts["began"] == 1
    world.close()
    fresh.close()


def test_equal_queries_in_flight_run_once_if_configured(tmp_path: Path) -> None:
    for shared, runs in ((True, 1), (False, 4)):
        world = World(tmp_path, asks={"share_equal": shared})
        ends = world.ask(*[world.plan("hours-report") for _ in range(4)])
        assert {seen.status for seen in ends} == {200}
        assert world.broker.dispatcher.intake.registry.counts["began"] == runs
        bodies = {seen.response.body for seen in ends if seen.response}
        assert len(bodies) == 1
        world.close()


def test_failed_run_is_repeated_for_coalesced_requests_with_time_left(tmp_path: Path) -> None:
    """The first request had little time and fails; the one coalesced with it is answered by a second run."""
    world = World(tmp_path, asks={"share_equal": True})
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    seen: dict[str, QueryResult] = {}
    plan = world.plan("hours-report")
    hasty = replace(plan, headers={"X-Quincepath-Timeout": "200ms"})
    world.client.ask("hasty", hasty, lambda end: seen.update(hasty=end))
    world.client.ask("patient", plan, lambda end: seen.update(patient=end))
    world.loop.call_in(100 * MS, lambda: world.faults("a0 a1 b0 b1 c0 c1"))
    world.until(lambda: len(seen) == 2)
    registry = world.broker.dispatcher.intake.registry
    assert (seen["hasty"].status, seen["patient"].status) == (503, 200)
    assert seen["hasty"].took < 250 * MS and registry.counts["restarted"] == 1
    assert registry.running() == registry.waiting() == 0
    world.close()


def test_request_that_is_not_a_remote_read_never_matches_a_try_of_one(tmp_path: Path) -> None:
    world = World(tmp_path, asks={"share_equal": True})
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=100)
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    odd = Client(world.loop, world.broker.url.replace("/read", "/write"))
    typed = replace(plan, headers={**plan.headers, "Content-Type": "text/plain"})
    seen: dict[str, int] = {}
    world.client.ask("good", plan, lambda end: seen.update(good=end.status))
    odd.ask("odd", plan, lambda end: seen.update(odd=end.status))
    world.client.ask("typed", typed, lambda end: seen.update(typed=end.status))
    world.until(lambda: len(seen) == 3)
    assert seen == {"good": 200, "odd": 404, "typed": 415}
    odd.close()
    world.close()


def test_key_with_another_body_is_rejected_and_scopes_are_separate(tmp_path: Path) -> None:
    world = World(tmp_path)
    key = {"Idempotency-Key": "k"}
    first, other = world.plan("hours-report"), world.plan("fleet-glance")
    assert world.ask(replace(first, headers=key))[0].status == 200
    [seen] = world.ask(replace(other, headers=key))
    assert seen.status == 422 and seen.response is not None and b"idempotency key" in seen.response.body
    [seen] = world.ask(replace(other, headers={**key, "X-Scope-OrgID": "desk"}))
    assert seen.status == 200
    world.close()
