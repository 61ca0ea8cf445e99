"""Asks and tries: in any order of events a try gets one answer, an ask runs once, no part goes out twice."""

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
from quincepath.lab.load import Client, QueryPlan, Seen
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


def book(**changes: Any) -> AskRegistry[str]:
    return AskRegistry(replace(LIMITS, **changes))


def attempt(handle: int, key: str = "k", body: bytes = b"b", left: int = 2 * SECOND, **more: Any) -> Try:
    mark = ClientKey("", key, True) if key else None
    return Try(handle, "", body, START + left, mark, name=f"t{handle}", **more)


# --- the book alone ---


def test_a_retry_waits_with_the_first_try_and_both_get_the_answer() -> None:
    asks = book()
    assert asks.arrive(START, attempt(1)) == Begin(1)
    assert asks.arrive(START + MS, attempt(2)) == Join(1, MatchKind.RETRY)
    orders = asks.finish(START + 2 * MS, 1, "answer", 6, True)
    assert orders == [Deliver(1, MatchKind.BEGAN), Deliver(2, MatchKind.RETRY)]
    assert asks.arrive(START + 3 * MS, attempt(3)) == ReplayAnswer(1, "answer")
    assert asks.waiting() == asks.running() == 0


def test_a_remembered_answer_is_forgotten_in_its_time_and_a_failure_is_never_remembered() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    asks.finish(START, 1, "answer", 6, True)
    assert asks.arrive(START + 10 * SECOND - 1, attempt(2)) == ReplayAnswer(1, "answer")
    assert asks.arrive(START + 10 * SECOND, attempt(3)) == Begin(2)
    asks.finish(START + 11 * SECOND, 2, "refused", 6, False)
    assert asks.arrive(START + 11 * SECOND, attempt(4)) == Begin(3)
    asks.finish(START + 11 * SECOND, 3, "failed", 6, False)
    assert asks.arrive(START + 11 * SECOND, attempt(5)) == Begin(4)


def test_memory_is_bounded_by_number_and_bytes_and_the_oldest_goes_first() -> None:
    asks = book()
    for number in range(5):
        asks.arrive(START, attempt(number + 1, key=f"k{number}"))
        asks.finish(START, number + 1, f"a{number}", 100, True)
    assert (asks.remembered(), asks.bytes) == (3, 300)
    assert asks.arrive(START, attempt(9, key="k1")) == Begin(6)
    assert asks.arrive(START, attempt(10, key="k2")) == ReplayAnswer(3, "a2")
    asks.arrive(START, attempt(11, key="big"))
    asks.finish(START, 7, "big", 900, True)
    assert (asks.remembered(), asks.bytes) == (2, 1000)  # the newest small one and the big one
    asks.arrive(START, attempt(12, key="huge"))
    asks.finish(START, 8, "huge", 1001, True)
    assert (asks.remembered(), asks.bytes) == (2, 1000)


def test_a_vouched_key_with_another_body_is_a_conflict_an_id_is_another_ask() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    assert asks.arrive(START, attempt(2, body=b"other")) == Conflict()
    loose = ClientKey("", "k", False)
    assert asks.arrive(START, replace(attempt(3, body=b"other"), client_key=loose)) == Begin(2)
    assert asks.arrive(
        START, replace(attempt(4), client_key=ClientKey("else", "k", True), scope="else")
    ) == Begin(3)


def test_the_ask_runs_on_for_a_retry_when_its_last_client_has_gone_but_not_for_ever() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    assert asks.client_left(START + MS, 1) is None
    assert asks.next_due() == START + 301 * MS
    assert asks.arrive(START + 200 * MS, attempt(2)) == Join(1, MatchKind.RETRY)
    assert asks.expire(START + 301 * MS) == []  # somebody waits again
    assert asks.client_left(START + 400 * MS, 2) is None
    assert asks.expire(START + 699 * MS) == []
    assert asks.expire(START + 700 * MS) == [DropAsk(1)]
    assert asks.arrive(START + 701 * MS, attempt(3)) == Begin(2)


def test_without_a_mark_nobody_is_waited_for() -> None:
    asks = book()
    asks.arrive(START, attempt(1, key=""))
    assert asks.client_left(START + MS, 1) == DropAsk(1)
    assert asks.finish(START + MS, 1, "late", 4, True) == []


def test_an_answer_that_came_while_nobody_waited_is_there_for_the_retry() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    asks.client_left(START + MS, 1)
    assert asks.finish(START + 2 * MS, 1, "answer", 6, True) == []
    assert asks.arrive(START + 3 * MS, attempt(2)) == ReplayAnswer(1, "answer")


def test_a_try_with_less_time_than_its_ask_fails_alone() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    asks.arrive(START, attempt(2, left=100 * MS))
    assert asks.next_due() == START + 95 * MS
    assert asks.expire(START + 95 * MS) == [TryExpired(2)]
    assert asks.finish(START + 96 * MS, 1, "answer", 6, True) == [Deliver(1, MatchKind.BEGAN)]


def test_when_the_first_has_gone_and_the_last_has_no_time_the_ask_is_dropped() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    asks.arrive(START, attempt(2, left=100 * MS))
    asks.client_left(START + MS, 1)
    assert asks.expire(START + 95 * MS) == [TryExpired(2), DropAsk(1)]


def test_equal_requests_in_flight_run_once_and_what_lacked_time_is_run_again_for_strangers() -> None:
    asks = book()
    asks.arrive(START, attempt(1, key="a", left=100 * MS, shared=True))
    assert asks.arrive(START, attempt(2, key="b", shared=True)) == Join(1, MatchKind.EQUAL)
    assert asks.arrive(START, attempt(3, key="c", left=SECOND, shared=True)) == Join(1, MatchKind.EQUAL)
    orders = asks.finish(START + 95 * MS, 1, "time is up", 6, False)
    assert orders == [Deliver(1, MatchKind.BEGAN), Restart(2, 2, START + 2 * SECOND, "t2")]
    assert asks.arrive(START + 96 * MS, attempt(4, key="b", shared=True)) == Join(2, MatchKind.RETRY)
    # The second run's failure is final for all.
    orders = asks.finish(START + 97 * MS, 2, "failed", 6, False)
    assert orders == [Deliver(2, MatchKind.BEGAN), Deliver(3, MatchKind.EQUAL), Deliver(4, MatchKind.RETRY)]
    assert asks.running() == asks.waiting() == 0


def test_an_ending_is_shared_by_those_with_no_more_time_and_scopes_never_share() -> None:
    asks = book()
    asks.arrive(START, attempt(1, key="", shared=True))
    assert asks.arrive(START, replace(attempt(2, key="", shared=True), scope="other")) == Begin(2)
    asks.arrive(START, attempt(3, key="", shared=True))
    refused = asks.finish(START, 1, "refused", 4, False)
    assert refused == [Deliver(1, MatchKind.BEGAN), Deliver(3, MatchKind.EQUAL)]


def test_tries_that_wait_for_one_ask_are_bounded() -> None:
    asks = book()
    asks.arrive(START, attempt(1))
    for handle in (2, 3, 4):
        assert isinstance(asks.arrive(START, attempt(handle)), Join)
    assert asks.arrive(START, attempt(5)) == TooManyTries()


def test_unmarked_equal_bodies_count_as_one_ask_for_the_configured_time_only() -> None:
    asks = book()
    first = attempt(1, key="", retry_window=SECOND)
    asks.arrive(START, first)
    assert asks.arrive(START + SECOND, replace(first, handle=2)) == Join(1, MatchKind.RETRY)
    assert asks.arrive(START + SECOND + 1, replace(first, handle=3)) == Begin(2)


# --- each interleaving of the wish's hard cases, enumerated ---

A, B, C_ = node_id(1), node_id(2), node_id(3)
EVENTS = ("reply", "deadline", "retry", "gone")
DEADLINE = 400 * MS
LAST = START + DEADLINE - 2 * 5 * MS  # two ticks before, the module gives up what it cannot answer


@dataclass
class Case:
    """A run of the pure parts: three shards on three holders; all replies but one come before the events."""

    need: float
    linger: int
    good: bool = True
    seen: dict[int, list[Any]] = field(default_factory=dict)
    gone: dict[int, int] = field(default_factory=dict)
    ended: list[AskEnded[str, Any]] = field(default_factory=list)
    sent: list[tuple[int, int, int]] = field(default_factory=list)  # when, shard, attempt
    out: dict[tuple[int, int], AttemptOrder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        kind = query_class(
            target=DEADLINE, deadline=DEADLINE, need=self.need, floor=self.need, late_worth=0.3
        )
        limits = {"attempts": 3, "duplicate": False}
        driver = Driver(Aggregator(one := settings((kind,), limits=limits, cells=3), 1), one, 500 * MS)
        desk: AskIntake[Any] = AskIntake(replace(LIMITS, linger=self.linger), ROOMY, 1)
        self.desk = Dispatcher[str, Any](driver, desk, lambda f, _c: Rendered(f, 1, f.verdict))
        self.now = START
        entries = tuple(entry(n + 1, n) for n in range(3))
        self.desk.enqueue(MembershipUpdate(Members(Scope.CACHED, 1, entries)))
        self.step()

    def step(self) -> None:
        """Step until nothing more is due at this instant."""
        while True:
            for order in self.desk.step(self.now):
                match order:
                    case StartCall(attempts=attempts):
                        for one in attempts:
                            self.sent.append((self.now, one.shard, one.attempt))
                            self.out[one.part, one.attempt] = one
                    case StopAttempt(part, number):
                        del self.out[part, number]
                        self.desk.enqueue(AttemptEnded(part, number, Result.CANCELLED))
                    case TryAnswer(handle, reply, _how):
                        self.seen.setdefault(handle, []).append(reply)
                        assert handle not in self.gone, "an answer to a client that had left"
                    case AskEnded():
                        self.ended.append(order)
                    case Breach(name, detail):
                        raise AssertionError(f"{name}: {detail}")
                    case _:
                        pass
            if not self.desk.due(self.now):
                return

    def ask(self, handle: int) -> Any:
        parts = tuple(PartRequest(n, 1 / 3, n) for n in range(3))
        found = Try(handle, "", b"body", self.now + DEADLINE, ClientKey("", "key", True))
        known, context = self.desk.known(self.now, found)
        ask = None if known else Ask(0, 0, DEADLINE, parts)
        return self.desk.arrive(self.now, found, ask, context if known else "plan")

    def reply(self, shard: int, good: bool = True) -> None:
        one = next((one for one in self.out.values() if one.shard == shard), None)
        if one is not None:
            del self.out[one.part, one.attempt]
            self.desk.enqueue(
                AttemptEnded(one.part, one.attempt, Result.OK if good else Result.ERROR, body="x")
            )

    def wait(self, until: int) -> None:
        """Let time pass, stepping whenever something is due."""
        while True:
            own = self.desk.next_due()
            dues = [one.deadline for one in self.out.values()] + ([] if own is None else [own])
            due = min(dues, default=None)
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            for key, one in list(self.out.items()):
                if one.deadline <= self.now:
                    del self.out[key]
                    self.desk.enqueue(AttemptEnded(one.part, one.attempt, Result.TIMEOUT))
            self.step()
        self.now = until


def play(case: Case, order: tuple[str, ...], together: tuple[bool, ...], retry_handle: int = 2) -> None:
    """The events in this order; ``together`` says which come in the same batch as the one before."""
    assert case.ask(1) == Begin(1)
    case.step()
    asked = sorted({shard for _, shard, _ in case.sent})
    last = asked[-1]
    case.now += 100 * MS
    for shard in asked[:-1]:
        case.reply(shard)
    case.step()
    for place, event in enumerate(order):
        if place and not together[place - 1]:
            case.step()
            case.now += MS
        match event:
            case "reply":
                case.reply(last, case.good)
            case "deadline":
                # The instant at which the module gives up. In one batch with what came before, the broker was
                # busy until then; else the timers on the way fire, and the one of this instant is still due.
                if not place or not together[place - 1]:
                    case.wait(max(LAST - 1, case.now))
                case.now = max(case.now, LAST)
            case "retry":
                said = case.ask(retry_handle)
                if isinstance(said, ReplayAnswer):
                    case.seen.setdefault(retry_handle, []).append(said.reply)
                else:
                    assert isinstance(said, Begin | Join)
            case "gone":
                if 1 not in case.seen:
                    case.gone[1] = case.now
                    case.desk.client_left(case.now, 1)
    case.step()
    # All holders that are still asked answer in the end; then all time passes.
    for one in list(case.out.values()):
        case.reply(one.shard)
    case.step()
    case.wait(START + 60 * SECOND)


def expected(order: tuple[str, ...], together: tuple[bool, ...], linger: int) -> tuple[dict[int, bool], int]:
    """Of the first run, where its last reply is good: by try whether it is answered, and how many runs begin.

    Left out are tries that leave unanswered and those that begin a run of their own.
    """
    batches: list[list[str]] = []
    for place, event in enumerate(order):
        if place and together[place - 1]:
            batches[-1].append(event)
        else:
            batches.append([event])
    waiting, found, state, runs = {1}, {}, "running", 1
    for batch in [*batches, ["reply"]]:  # in the end each holder that is still asked answers
        for event in batch:
            if event == "gone":
                waiting.discard(1)
                if not waiting and not linger and state == "running":
                    state = "dropped"
            elif event == "retry":
                if state == "running":
                    waiting.add(2)
                elif state == "answered":
                    found[2] = True
                else:
                    runs = 2
        if state == "running" and ("reply" in batch or "deadline" in batch):
            state = "answered" if "reply" in batch else "given up"
            found |= dict.fromkeys(waiting, state == "answered")
            waiting = set()
    return found, runs


def check(case: Case, order: tuple[str, ...]) -> None:
    for handle in (1, 2):
        if handle in case.gone or (handle == 2 and "retry" not in order):
            assert handle not in case.seen or handle not in case.gone
            continue
        assert len(case.seen.get(handle, [])) == 1, f"try {handle} got {case.seen.get(handle)}"
    assert case.desk.running() == 0 and case.desk.driver.tracked_count() == 0
    tally: dict[tuple[int, int], int] = {}
    for _, shard, number in case.sent:
        tally[shard, number] = tally.get((shard, number), 0) + 1
    begun = len(case.ended)
    assert 1 <= begun <= 2
    if begun == 1:  # the retry shared the run: no part went out a second time for it
        assert all(count == 1 for count in tally.values()), case.sent
    answers = [reply for replies in case.seen.values() for reply in replies]
    for reply in answers:
        if isinstance(reply, Finish) and reply.verdict is Verdict.ANSWERED:
            assert reply.parts_in / reply.parts_asked >= case.need - 1e-9


ORDERS = [order for size in (3, 4) for order in permutations(EVENTS, size) if "reply" in order]
WAYS = [(order, together) for order in ORDERS for together in product((False, True), repeat=len(order) - 1)]


@pytest.mark.parametrize("need", [0.6, 1.0], ids=["any-n", "all"])
@pytest.mark.parametrize("linger", [0, 300 * MS], ids=["no linger", "linger"])
@pytest.mark.parametrize("good", [True, False], ids=["reply", "error"])
def test_each_interleaving_of_last_reply_deadline_retry_and_leaving(
    need: float, linger: int, good: bool
) -> None:
    """Every order of the four events, each alone or in one batch with the one before: not sampled."""
    for order, together in WAYS:
        case = Case(need, linger, good)
        try:
            play(case, order, together)
            check(case, order)
            if good:
                found, runs = expected(order, together, linger)
                got = {
                    handle: reply is not None and reply.verdict is Verdict.ANSWERED and reply.whole
                    for handle, (reply,) in case.seen.items()
                    if handle in found
                }
                assert (got, len(case.ended)) == (found, runs)
        except AssertionError as error:
            raise AssertionError(f"{order} {together}: {error}") from error
    assert len(WAYS) == 264


@pytest.mark.parametrize("need", [0.6, 1.0])
def test_the_needed_reply_in_the_same_batch_as_the_end_of_time_is_answered(need: float) -> None:
    """A glance that reaches its share in the turn in which the time runs out ends once, answered."""
    for order in (("reply", "deadline"), ("deadline", "reply")):
        case = Case(need, 0)
        assert case.ask(1) == Begin(1)
        case.step()
        shards = sorted({shard for _, shard, _ in case.sent})
        case.now += 100 * MS
        for shard in shards[:-1]:
            case.reply(shard)
        case.step()
        case.now = LAST
        if order[0] == "reply":
            case.reply(shards[-1])
            case.step()
        else:
            case.reply(shards[-1])  # found in the very batch in which the module's timer is due
            case.step()
        case.wait(START + 10 * SECOND)
        [reply] = case.seen[1]
        assert reply.verdict is Verdict.ANSWERED and reply.whole and len(case.ended) == 1


# --- over sockets ---


def test_thousands_of_marked_retries_at_random_moments(tmp_path: Path) -> None:
    """Before, during and after the first answer, from the same or another connection: one run, one answer."""
    random_ = random.Random(7)
    world = World(tmp_path)
    other = Client(world.loop, world.broker.url)
    ends: dict[str, list[Seen]] = {}
    made = 0

    def keep(name: str) -> Any:
        ends[name] = []
        return ends[name].append

    plans = [world.plan("hours-report"), world.plan("fleet-glance")]
    for number in range(400):
        plan = replace(plans[number % 2], headers={"Idempotency-Key": f"ask-{number}"})
        base = number * 15 * MS
        for one in range(1 + random_.randrange(1, 10)):
            at = base + (random_.randrange(20 * MS) if one else 0)
            client = random_.choice([world.client, other])
            headers = {**plan.headers, **({"Retry-Attempt": str(one)} if one else {})}
            name = f"t{number}.{one}"
            made += 1
            world.loop.call_in(at, sender(client, name, replace(plan, headers=headers), keep(name)))
    world.until(lambda: len(ends) == made and all(ends.values()), 60)
    world.run(1)
    assert made > 2000 and {len(seen) for seen in ends.values()} == {1}
    assert {seen.status for one in ends.values() for seen in one} == {200}
    # Each ask ran once: a report goes to three sets and a glance to two of three, one attempt a part.
    book = world.broker.reception.intake.registry
    assert book.counts["began"] == 400
    assert book.counts["retry"] + book.counts["replayed"] == made - 400
    sent = sum(leaf.requests for leaf in world.leaves.values())
    assert sent == sum(ends_parts(ends, f"t{n}.0") for n in range(400))
    answers = world.broker.metrics.answers
    counted = sum(s.value for m in answers.collect() for s in m.samples if s.name.endswith("_total"))
    assert counted == 400
    other.close()
    world.close()


def sender(client: Client, name: str, plan: QueryPlan, keep: Callable[[Seen], None]) -> Callable[[], None]:
    return lambda: client.ask(name, plan, keep)


def ends_parts(ends: dict[str, list[Seen]], name: str) -> int:
    response = ends[name][0].response
    assert response is not None
    inside, _, asked = response.headers["quincepath-parts"].partition("/")
    return int(inside)


def test_a_retry_after_the_connection_broke_finds_the_run_and_sends_no_part_again(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=100)
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    world.client.ask("first", replace(plan, patience=-200 * MS), lambda seen: None)  # gives up after 50 ms
    world.run(0.06)
    assert world.broker.reception.running() == 1 and not world.broker.clients.open
    before = sum(leaf.requests for leaf in world.leaves.values())
    [seen] = world.ask(plan)
    assert seen.status == 200 and seen.response is not None
    assert seen.response.headers["quincepath-joined"] == "retry"
    parts = int(seen.response.headers["quincepath-parts"].partition("/")[2])
    assert sum(leaf.requests for leaf in world.leaves.values()) - before == parts - 3  # the second step only
    world.close()


def test_after_a_restart_of_the_broker_a_retry_is_an_ask_of_its_own(tmp_path: Path) -> None:
    world = World(tmp_path)
    plan = replace(world.plan("hours-report"), headers={"Idempotency-Key": "k"})
    assert world.ask(plan)[0].status == 200
    fresh = World(tmp_path)
    [seen] = fresh.ask(replace(plan, headers={**plan.headers, "Retry-Attempt": "1"}))
    assert (
        seen.status == 200 and seen.response is not None and "quincepath-joined" not in seen.response.headers
    )
    assert fresh.broker.reception.intake.registry.counts["began"] == 1
    world.close()
    fresh.close()


def test_equal_queries_in_flight_are_run_once_unless_told_otherwise(tmp_path: Path) -> None:
    for shared, runs in ((True, 1), (False, 4)):
        world = World(tmp_path, asks={"share_equal": shared})
        ends = world.ask(*[world.plan("hours-report") for _ in range(4)])
        assert {seen.status for seen in ends} == {200}
        assert world.broker.reception.intake.registry.counts["began"] == runs
        bodies = {seen.response.body for seen in ends if seen.response}
        assert len(bodies) == 1
        world.close()


def test_a_failed_run_is_run_again_for_strangers_that_have_time_left(tmp_path: Path) -> None:
    """The first had little time and takes a failure with it; the one who only shared the run is served."""
    world = World(tmp_path, asks={"share_equal": True})
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    seen: dict[str, Seen] = {}
    plan = world.plan("hours-report")
    hasty = replace(plan, headers={"X-Quincepath-Timeout": "200ms"})
    world.client.ask("hasty", hasty, lambda end: seen.update(hasty=end))
    world.client.ask("patient", plan, lambda end: seen.update(patient=end))
    world.loop.call_in(100 * MS, lambda: world.faults("a0 a1 b0 b1 c0 c1"))
    world.until(lambda: len(seen) == 2)
    book = world.broker.reception.intake.registry
    assert (seen["hasty"].status, seen["patient"].status) == (503, 200)
    assert seen["hasty"].took < 250 * MS and book.counts["restarted"] == 1
    assert book.running() == book.waiting() == 0
    world.close()


def test_what_is_no_remote_read_request_is_never_taken_for_a_try_of_one(tmp_path: Path) -> None:
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


def test_a_key_with_another_body_is_told_and_scopes_are_kept_apart(tmp_path: Path) -> None:
    world = World(tmp_path)
    key = {"Idempotency-Key": "k"}
    first, other = world.plan("hours-report"), world.plan("fleet-glance")
    assert world.ask(replace(first, headers=key))[0].status == 200
    [seen] = world.ask(replace(other, headers=key))
    assert seen.status == 422 and seen.response is not None and b"idempotency key" in seen.response.body
    [seen] = world.ask(replace(other, headers={**key, "X-Scope-OrgID": "desk"}))
    assert seen.status == 200
    world.close()
