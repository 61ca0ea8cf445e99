"""The pure driver between the edge and the module: ``step(now, inputs) -> orders``.

It owns ids, the one final answer, deadlines, attempts by part and results by part. It decides nothing: each
choice is the module's. Where either side breaks the contract (a send for an ended query, a second final
answer, an ending of an unknown attempt, a claim that the parts in don't bear out) the driver stays safe,
counts the breach by name and says so in an order; nothing of that kind reaches a socket.

One batch a turn: inputs in order of arrival, then due timers. The module takes in all of them before it
decides, so a reply that comes in the same turn as the query's last moment is still counted.
"""

import heapq
import traceback
from collections import Counter
from collections.abc import Iterable

from quincepath.broker.driver.rules import PROVED_UNRUN, Rules
from quincepath.broker.driver.state import Attempt, DecisionModule, OpenPart, OpenQuery
from quincepath.interface import (
    Action,
    Answer,
    Cancel,
    Event,
    Fail,
    Fetch,
    Left,
    Log,
    NodeId,
    Outcome,
    Part,
    Probe,
    Query,
    Refuse,
    Result,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Watch,
)
from quincepath.orders import (
    AllowanceUpdate,
    Ask,
    AttemptEnded,
    AttemptOrder,
    Breach,
    ClientLeft,
    Finish,
    Input,
    LogLine,
    MembershipUpdate,
    NodeSendDeadline,
    Order,
    PartRequest,
    QueryArrived,
    RefreshMembership,
    StartCall,
    StopAttempt,
    Verdict,
    Withdraw,
)

TOLERANCE = 1e-4  # sums of weights may fall so much short: rounding


class Driver:
    """One broker's bookkeeping around one module. ``grace`` is rule 3's, in nanoseconds."""

    def __init__(self, module: DecisionModule, settings: Settings, grace: int) -> None:
        self.module, self.settings = module, settings
        self.now = 0
        self.breaches: Counter[str] = Counter()
        self.queries: dict[int, OpenQuery] = {}
        self.parts: dict[int, OpenPart] = {}
        self._by_handle: dict[int, OpenQuery] = {}
        self.rules = Rules(settings, grace)
        self._timers: list[tuple[int, int, int]] = []
        self._ends: list[tuple[int, int]] = []
        self._carried: list[Event] = []  # for the next batch: second steps, moot outcomes
        self._ids = 0
        self._timer_count = 0
        self._orders: list[Order] = []
        self._calls: dict[NodeId, list[list[AttemptOrder]]] = {}
        self._open_parts = 0  # of queries that are not over
        self._done: list[int] = []  # parts to forget at the end of this step
        self._moot: list[tuple[OpenPart, int]] = []  # attempts of this step's ended parts that were out

    # --- what the edge calls ---

    def next_due(self) -> int | None:
        """When ``step`` must be called at the latest, even without inputs; None: never."""
        if self._carried:
            return self.now
        due = [heap[0][0] for heap in (self._timers, self._ends) if heap]
        return min(due, default=None)

    def tracked_count(self) -> int:
        """Queries and parts now held, ended ones with attempts still out among them."""
        return len(self.queries) + len(self.parts)

    def open_count(self) -> int:
        """Queries that are not over and their parts: what ``limits.maxOpen`` counts."""
        return len(self.queries) + self._open_parts

    def lingering_count(self) -> int:
        """Parts of ended queries whose attempts are still out."""
        return len(self.parts) - self._open_parts

    def step(self, now: int, inputs: Iterable[Input]) -> list[Order]:
        """Feed one batch to the module and turn its actions into orders, in the module's sequence."""
        self.now = max(now, self.now)
        self._orders, self._calls = [], {}
        events, self._carried = self._carried, []
        for item in inputs:
            self._take_in(item, events)
        while self._timers and self._timers[0][0] <= self.now:
            events.append(TimerFired(heapq.heappop(self._timers)[2]))
        if events:
            for action in self._decide(events):
                self._apply(action)
        self._end_overdue()
        # Not earlier: the module may stop an attempt for one event of a batch that ended by a later one.
        for part_id in self._done:
            self.parts.pop(part_id, None)
        self._done.clear()
        withdrawn = [Withdraw(part.id, at) for part, at in self._moot if not part.attempts[at].ended]
        self._moot.clear()
        # Starts go first: a stop in the same batch then always names an attempt that the edge knows.
        starts = [StartCall(node, tuple(call)) for node, calls in self._calls.items() for call in calls]
        return [*withdrawn, *starts, *self._orders]

    def _decide(self, events: list[Event]) -> list[Action]:
        """The module's actions. A fault of it is told; queries that it forgot end at their deadline."""
        try:
            return self.module.handle(self.now, events)
        except Exception as error:
            at = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{at.filename}:{at.lineno}"
            self._breach("module_failed", f"{type(error).__name__}: {error} at {where}, {len(events)} events")
            return []

    # --- inputs to events ---

    def _take_in(self, item: Input, events: list[Event]) -> None:
        match item:
            case QueryArrived(ask):
                self._arrived(ask, events)
            case AttemptEnded():
                self._ended(item, events)
            case ClientLeft(handle):
                query = self._by_handle.get(handle)
                if query is not None:
                    events.append(Left(query.id))
                    self._close(query)
            case AllowanceUpdate(allowance):
                events.append(allowance)
            case MembershipUpdate(members):
                for node in self.rules.update_members(self.now, members):
                    self._orders.append(NodeSendDeadline(node, self.rules.send_start_by(node)))
                events.append(members)

    def _next_id(self) -> int:
        self._ids += 1
        return self._ids

    def _arrived(self, ask: Ask, events: list[Event]) -> None:
        query = OpenQuery(self._next_id(), ask, self.now, self.now + max(ask.time_left, 0), [])
        self.queries[query.id] = self._by_handle[ask.handle] = query
        heapq.heappush(self._ends, (query.deadline, query.id))
        events.append(
            Query(
                query.id, query.id, len(ask.parts), ask.kind, ask.tenant,
                max(ask.time_left, 0), ask.key, 0, ask.repeat,
            )
        )  # fmt: skip
        events.extend(self._add_parts(query, ask.parts))

    def _add_parts(self, query: OpenQuery, asks: Iterable[PartRequest]) -> list[Event]:
        events: list[Event] = []
        for ask in asks:
            part = OpenPart(self._next_id(), query, ask, query.step)
            self.parts[part.id] = part
            self._open_parts += 1
            query.parts.append(part)
            key = query.ask.key and (query.ask.key * 1_000_003 + ask.shard) % (1 << 64)
            events.append(Part(part.id, query.id, ask.weight, ask.shard, key, 0))
        return events

    def _ended(self, item: AttemptEnded, events: list[Event]) -> None:
        part = self.parts.get(item.part)
        if part is None or item.attempt >= len(part.attempts) or part.attempts[item.attempt].ended:
            self._breach("ending_unknown", f"part {item.part} attempt {item.attempt}: {item.result.name}")
            return
        attempt = part.attempts[item.attempt]
        attempt.ended, attempt.never_ran = True, item.result in PROVED_UNRUN
        query = part.query
        if item.result is Result.OK and not part.ok and not query.over:
            part.ok, part.body = True, item.body  # a second copy's answer never replaces the first
            self._withdraw(part)
        final = item.result is Result.OK or query.over or self.now >= query.deadline
        elapsed = self.now - attempt.sent
        events.append(Outcome(part.id, item.attempt, attempt.node, item.result, elapsed, final, item.report))
        if query.over and not part.in_flight():
            self._done.append(part.id)

    # --- actions to orders ---

    def _apply(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer(at, token):
                self._timer_count += 1
                heapq.heappush(self._timers, (at, self._timer_count, token))
            case Cancel(part_id, attempt):
                self._cancel(part_id, attempt)
            case Answer(qid, full):
                self._answer(qid, full)
            case Refuse(qid, retry_in):
                query = self._owed(qid, "refuse")
                if query is not None:
                    self._refuse(query, retry_in)
            case Fail(qid):
                query = self._owed(qid, "fail")
                if query is not None:
                    self._finish(query, Verdict.FAILED, 0, self._why_unanswered(query))
            case Log(text):
                self._orders.append(LogLine(text))
            case Watch() | Fetch():
                self._orders.append(RefreshMembership())
            case Probe(node):
                self._breach("probe_unsupported", node.hex())

    def _why_unanswered(self, query: OpenQuery) -> str:
        if self.now >= query.deadline - 3 * self.settings.tick:
            return "time is up"
        if not query.sent:
            return "not expected to finish in time"
        return "needed parts cannot be had"

    def _send(self, action: Send) -> None:
        part = self.parts.get(action.part)
        if part is None:
            self._breach("send_unknown_part", f"part {action.part}")
            return
        number = len(part.attempts)
        why = self.rules.send_violation(self.now, part, action)
        send_complete_by = self.rules.send_complete_by(part)
        part.attempts.append(Attempt(action.node, self.now, ended=bool(why), never_ran=bool(why)))
        if why:
            self._breach(why, f"part {action.part} attempt {number} to {action.node.hex()}")
            self._carried.append(Outcome(part.id, number, action.node, Result.MOOT, 0, part.query.over, ()))
            return
        query = part.query
        query.sent += 1
        query.sent_at = self.now
        wait = action.timeout or query.deadline - self.now
        deadline = min(self.now + max(wait, 0), query.deadline)
        send_complete_by = min(send_complete_by, deadline)
        order = AttemptOrder(
            part.id,
            number,
            part.ask.shard,
            part.step,
            min(self.rules.send_start_by(action.node), send_complete_by),
            send_complete_by,
            deadline,
            part.ask.payload,
            query.ask.name,
            query.ask.handle,
        )
        calls = self._calls.setdefault(action.node, [])
        if not calls or len(calls[-1]) >= self.settings.limits.batch:
            calls.append([])
        calls[-1].append(order)

    def _cancel(self, part_id: int, attempt: int) -> None:
        part = self.parts.get(part_id)
        if part is None or attempt >= len(part.attempts):
            self._breach("cancel_unknown", f"part {part_id} attempt {attempt}")
        elif not part.attempts[attempt].ended:
            self._orders.append(StopAttempt(part_id, attempt))

    def _owed(self, qid: int, what: str) -> OpenQuery | None:
        query = self.queries.get(qid)
        if query is None:
            self._breach("second_final_answer", f"{what} for query {qid}, which is over or unknown")
        return query

    def _refuse(self, query: OpenQuery, retry_in: int) -> None:
        """A refusal promises that asking again does no harm; where that is not so the query fails instead."""
        verdict = Verdict.REFUSED
        new = {(o.part, o.attempt) for calls in self._calls.values() for call in calls for o in call}
        if self.rules.effect_may_exist(query, new):
            self._breach("refuse_may_have_run", f"query {query.id}")
            verdict, retry_in = Verdict.FAILED, 0
        self._finish(query, verdict, retry_in, self._why_unanswered(query))

    def _answer(self, qid: int, full: bool) -> None:
        query = self._owed(qid, "answer")
        if query is None:
            return
        spec = self.settings.classes[query.ask.kind]
        share = query.weight_received(query.step)
        lenient = spec.floor < spec.need
        need = spec.need if query.step == 1 else 1.0
        floor = spec.floor if query.step == 1 or lenient else 1.0
        if share < floor - TOLERANCE:
            self._breach("answer_below_floor", f"query {qid}: {share:.3f} of {floor:.3f}")
            self._finish(query, Verdict.FAILED, 0, "too few parts are in")
            self._carried.append(Left(qid))
            return
        if full and share < need - TOLERANCE:
            self._breach("answer_not_whole", f"query {qid}: {share:.3f} of {need:.3f} called whole")
            full = False
        query.whole = query.whole and full
        if query.step == 1 and spec.second_step:
            bodies = {part.ask.shard: part.body for part in query.parts if part.ok}
            follow = query.ask.follow(bodies) if query.ask.follow else ()
            if follow:
                query.step = 2
                self._carried.extend(self._add_parts(query, follow))
                return
            self._carried.append(Left(qid))  # the module waits for a step that this query does not have
        self._finish(query, Verdict.ANSWERED, 0, "")

    def _finish(self, query: OpenQuery, verdict: Verdict, retry_in: int, cause: str) -> None:
        answered = verdict is Verdict.ANSWERED
        parts = [part for part in query.parts if part.ok]
        self._orders.append(
            Finish(
                handle=query.ask.handle,
                verdict=verdict,
                whole=answered and query.whole,
                parts_in=len(parts),
                parts_asked=len(query.parts),
                bodies=tuple((p.step, p.ask.shard, p.body) for p in parts) if answered else (),
                retry_in=retry_in,
                cause=cause,
                attempts=query.sent,
                took=self.now - query.began,
            )
        )
        self._close(query)

    def _close(self, query: OpenQuery) -> None:
        """The query is over. Attempts still out keep their parts known until their endings have come."""
        query.over = True
        self._open_parts -= len(query.parts)
        del self.queries[query.id]
        del self._by_handle[query.ask.handle]
        for part in query.parts:
            part.body = None
            self._withdraw(part)
            if not part.in_flight():
                self._done.append(part.id)
        if query.sent_at != self.now:
            return
        # Sends of this very batch for a query that ended later in it must not leave.
        for node, calls in list(self._calls.items()):
            kept = [[order for order in call if not self._is_over(order)] for call in calls]
            self._calls[node] = [call for call in kept if call]

    def _withdraw(self, part: OpenPart) -> None:
        """Nobody needs a part any more: what of it still waits at the edge must not leave.

        Also where the site lets no broker cancel: nothing is called back that a node may have.
        """
        self._moot.extend((part, at) for at, attempt in enumerate(part.attempts) if not attempt.ended)

    def _is_over(self, order: AttemptOrder) -> bool:
        part = self.parts.get(order.part)
        if part is None or not part.query.over:
            return part is None
        attempt = part.attempts[order.attempt]
        if not attempt.ended:
            attempt.ended = attempt.never_ran = True
            self._carried.append(Outcome(part.id, order.attempt, attempt.node, Result.MOOT, 0, True, ()))
            if not part.in_flight():
                self._done.append(part.id)
        return True

    def _end_overdue(self) -> None:
        """Guards rule 1 against a module that forgets: a query past its time is failed here, and told."""
        while self._ends and self._ends[0][0] <= self.now:
            query = self.queries.get(heapq.heappop(self._ends)[1])
            if query is not None:
                self._breach("query_overdue", f"query {query.id} had no answer at its deadline")
                self._finish(query, Verdict.FAILED, 0, "time is up")
                self._carried.append(Left(query.id))

    def _breach(self, name: str, detail: str) -> None:
        self.breaches[name] += 1
        self._orders.append(Breach(name, detail))
