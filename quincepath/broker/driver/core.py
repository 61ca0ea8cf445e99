"""The pure driver between the I/O layer and the decision module: ``step(now, inputs) -> orders``.

It owns ids, the single final answer, deadlines, and attempts and results by part. It takes no decisions:
every choice is the module's. When either side violates the contract (a send for an ended query, a second
final answer, the end of an unknown attempt, an answer that the received parts do not support), the driver
ignores or corrects the action, counts the breach by name and reports it in an order. No such action reaches a
socket.

Each step passes one batch to the module: inputs in order of arrival, then due timers. The module processes
all of them before it decides, so a reply that arrives in the same step as the query's deadline still counts.
"""

import heapq
import traceback
from collections.abc import Iterable

from quincepath.broker.driver.attempt_ends import AttemptEnds
from quincepath.broker.driver.calls import CallBatch
from quincepath.broker.driver.finishing import failure_cause, finish_order
from quincepath.broker.driver.rules import Rules
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
    ClientLeft,
    Input,
    LateReply,
    LogLine,
    MembershipUpdate,
    NodeSendDeadline,
    Order,
    PartRequest,
    QueryArrived,
    RefreshMembership,
    ReplyHeld,
    StopAttempt,
    Verdict,
    Withdraw,
)

WEIGHT_TOLERANCE = 1e-4  # rounding error allowed in sums of weights


class Driver(AttemptEnds):
    """Tracks one broker's queries around one decision module. ``grace``: drain grace of rule 3, in ns."""

    def __init__(self, module: DecisionModule, settings: Settings, grace: int) -> None:
        super().__init__()
        self.module, self.settings = module, settings
        self.queries: dict[int, OpenQuery] = {}
        self._by_handle: dict[int, OpenQuery] = {}
        self.rules = Rules(settings, grace)
        self._timers: list[tuple[int, int, int]] = []
        self._deadlines: list[tuple[int, int]] = []
        self._next_events: list[Event] = []  # for the next batch: second steps, outcomes of dropped sends
        self._last_id = 0
        self._timer_count = 0
        self._calls = CallBatch(settings.limits.batch)
        self._open_part_count = 0  # parts of queries that are not over

    # --- called by the I/O layer ---

    def next_due(self) -> int | None:
        """The latest time at which ``step`` must be called, even without inputs; None if there is none."""
        if self._next_events:
            return self.now
        due = [heap[0][0] for heap in (self._timers, self._deadlines) if heap]
        return min(due, default=None)

    def tracked_count(self) -> int:
        """Queries and parts in memory, including ended ones with attempts still open."""
        return len(self.queries) + len(self.parts)

    def open_count(self) -> int:
        """Queries that are not over plus their parts, as ``limits.maxOpen`` counts them."""
        return len(self.queries) + self._open_part_count

    def lingering_count(self) -> int:
        """Parts of ended queries that still have open attempts."""
        return len(self.parts) - self._open_part_count

    def step(self, now: int, inputs: Iterable[Input]) -> list[Order]:
        """Pass one batch to the module and turn its actions into orders, in the module's order."""
        self.now = max(now, self.now)
        self._orders = []
        events, self._next_events = self._next_events, []
        for item in inputs:
            self._process_input(item, events)
        while self._timers and self._timers[0][0] <= self.now:
            events.append(TimerFired(heapq.heappop(self._timers)[2]))
        if events:
            for action in self._call_module(events):
                self._apply_action(action)
        self._end_overdue()
        # Only now: the module may stop an attempt on one event whose end is reported later in the batch.
        for part_id in self._finished_parts:
            self.parts.pop(part_id, None)
        self._finished_parts.clear()
        withdrawn = [Withdraw(part.id, at) for part, at in self._withdrawn if not part.attempts[at].ended]
        self._withdrawn.clear()
        # Starts come first, so a stop in the same batch always names an attempt that the I/O layer knows.
        return [*withdrawn, *self._calls.take(), *self._orders]

    def _call_module(self, events: list[Event]) -> list[Action]:
        """The module's actions. If it raises, that is reported; queries it lost end at their deadline."""
        try:
            return self.module.handle(self.now, events)
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            location = f"{frame.filename}:{frame.lineno}"
            self._record_breach(
                "module_failed", f"{type(error).__name__}: {error} at {location}, {len(events)} events"
            )
            return []

    # --- inputs to events ---

    def _process_input(self, item: Input, events: list[Event]) -> None:
        match item:
            case QueryArrived(ask):
                self._query_arrived(ask, events)
            case AttemptEnded():
                self._attempt_ended(item, events)
            case ReplyHeld():
                self._reply_held(item, events)
            case LateReply():
                self._late_reply(item, events)
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
        self._last_id += 1
        return self._last_id

    def _query_arrived(self, ask: Ask, events: list[Event]) -> None:
        query = OpenQuery(self._next_id(), ask, self.now, self.now + max(ask.time_left, 0), [])
        self.queries[query.id] = self._by_handle[ask.handle] = query
        heapq.heappush(self._deadlines, (query.deadline, query.id))
        events.append(
            Query(
                query.id, query.id, len(ask.parts), ask.kind, ask.tenant,
                max(ask.time_left, 0), ask.key, 0, ask.repeat,
            )
        )  # fmt: skip
        events.extend(self._add_parts(query, ask.parts))

    def _add_parts(self, query: OpenQuery, requests: Iterable[PartRequest]) -> list[Event]:
        events: list[Event] = []
        for request in requests:
            part = OpenPart(self._next_id(), query, request, query.step)
            self.parts[part.id] = part
            self._open_part_count += 1
            query.parts.append(part)
            key = query.ask.key and (query.ask.key * 1_000_003 + request.shard) % (1 << 64)
            events.append(Part(part.id, query.id, request.weight, request.shard, key, 0))
        return events

    # --- actions to orders ---

    def _apply_action(self, action: Action) -> None:
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
                query = self._unanswered(qid, "refuse")
                if query is not None:
                    self._refuse(query, retry_in)
            case Fail(qid):
                query = self._unanswered(qid, "fail")
                if query is not None:
                    self._finish(query, Verdict.FAILED, 0, self._failure_cause(query))
            case Log(text):
                self._orders.append(LogLine(text))
            case Watch() | Fetch():
                self._orders.append(RefreshMembership())
            case Probe(node):
                self._record_breach("probe_unsupported", node.hex())

    def _failure_cause(self, query: OpenQuery) -> str:
        return failure_cause(query, self.now, self.settings.tick)

    def _send(self, action: Send) -> None:
        part = self.parts.get(action.part)
        if part is None:
            self._record_breach("send_unknown_part", f"part {action.part}")
            return
        number = len(part.attempts)
        violation = self.rules.send_violation(self.now, part, action)
        send_complete_by = self.rules.send_complete_by(part)
        reason = part.retry_reason()
        part.attempts.append(Attempt(action.node, self.now, ended=bool(violation), never_ran=bool(violation)))
        if violation:
            self._record_breach(violation, f"part {action.part} attempt {number} to {action.node.hex()}")
            self._next_events.append(
                Outcome(part.id, number, action.node, Result.MOOT, 0, part.query.over, ())
            )
            return
        query = part.query
        query.sent += 1
        query.sent_at = self.now
        timeout = action.timeout or query.deadline - self.now
        deadline = min(self.now + max(timeout, 0), query.deadline)
        send_complete_by = min(send_complete_by, deadline)
        order = AttemptOrder(
            part.id,
            number,
            part.ask.shard,
            part.step,
            min(self.rules.send_start_by(action.node), part.retry_by, send_complete_by),
            send_complete_by,
            deadline,
            part.ask.payload,
            query.ask.name,
            query.ask.handle,
            query.ask.kind,
            reason,
        )
        self._calls.add(action.node, order)

    def _cancel(self, part_id: int, attempt: int) -> None:
        part = self.parts.get(part_id)
        if part is None or attempt >= len(part.attempts):
            self._record_breach("cancel_unknown", f"part {part_id} attempt {attempt}")
        elif not part.attempts[attempt].ended:
            self._orders.append(StopAttempt(part_id, attempt))

    def _unanswered(self, qid: int, action: str) -> OpenQuery | None:
        query = self.queries.get(qid)
        if query is None:
            self._record_breach("second_final_answer", f"{action} for query {qid}, which is over or unknown")
        return query

    def _refuse(self, query: OpenQuery, retry_in: int) -> None:
        """Refuse a query. A refusal promises that a retry is safe; where it is not, the query fails."""
        verdict = Verdict.REFUSED
        if self.rules.effect_may_exist(query, self._calls.attempts()):
            self._record_breach("refuse_may_have_run", f"query {query.id}")
            verdict, retry_in = Verdict.FAILED, 0
        self._finish(query, verdict, retry_in, self._failure_cause(query))

    def _answer(self, qid: int, full: bool) -> None:
        query = self._unanswered(qid, "answer")
        if query is None:
            return
        spec = self.settings.classes[query.ask.kind]
        weight = query.weight_received(query.step)
        lenient = spec.floor < spec.need
        need = spec.need if query.step == 1 else 1.0
        floor = spec.floor if query.step == 1 or lenient else 1.0
        if weight < floor - WEIGHT_TOLERANCE:
            self._record_breach("answer_below_floor", f"query {qid}: {weight:.3f} of {floor:.3f}")
            self._finish(query, Verdict.FAILED, 0, "too few parts are in")
            self._next_events.append(Left(qid))
            return
        if full and weight < need - WEIGHT_TOLERANCE:
            self._record_breach(
                "answer_not_whole", f"query {qid}: {weight:.3f} of {need:.3f} reported as complete"
            )
            full = False
        query.whole = query.whole and full
        if query.step == 1 and spec.second_step:
            bodies = {part.ask.shard: part.body for part in query.parts if part.ok}
            second = query.ask.follow(bodies) if query.ask.follow else ()
            if second:
                query.step = 2
                self._next_events.extend(self._add_parts(query, second))
                return
            # The module expects a second step, which this query does not have.
            self._next_events.append(Left(qid))
        self._finish(query, Verdict.ANSWERED, 0, "")

    def _finish(self, query: OpenQuery, verdict: Verdict, retry_in: int, cause: str) -> None:
        self._orders.append(finish_order(query, verdict, retry_in, cause, self.now))
        self._close(query)

    def _close(self, query: OpenQuery) -> None:
        """End the query. Parts with open attempts stay known until the ends of these are reported."""
        query.over = True
        self._open_part_count -= len(query.parts)
        del self.queries[query.id]
        del self._by_handle[query.ask.handle]
        for part in query.parts:
            part.body = None
            self._withdraw(part)
            if not part.in_flight():
                self._finished_parts.append(part.id)
        query.parts = []  # breaks the cycle with its parts, which are freed without a garbage collection
        if query.sent_at != self.now:
            return
        # Sends of this batch for a query that ended later in the same batch must not go out.
        self._calls.drop(self._drop_if_over)

    def _drop_if_over(self, order: AttemptOrder) -> bool:
        part = self.parts.get(order.part)
        if part is None or not part.query.over:
            return part is None
        attempt = part.attempts[order.attempt]
        if not attempt.ended:
            attempt.ended = attempt.never_ran = True
            self._next_events.append(Outcome(part.id, order.attempt, attempt.node, Result.MOOT, 0, True, ()))
            if not part.in_flight():
                self._finished_parts.append(part.id)
        return True

    def _end_overdue(self) -> None:
        """Enforce rule 1 if the module loses a query: past its deadline it fails here and is reported."""
        while self._deadlines and self._deadlines[0][0] <= self.now:
            query = self.queries.get(heapq.heappop(self._deadlines)[1])
            if query is not None:
                self._record_breach("query_overdue", f"query {query.id} had no answer at its deadline")
                self._finish(query, Verdict.FAILED, 0, "time is up")
                self._next_events.append(Left(query.id))
