"""The fleet's load reports and overload control as an extension: counts, sheds, and sets send budgets."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import Driver, OpenPart
from quincepath.broker.pending import QUEUE_REFUSAL
from quincepath.broker.service.extension import Arrival, Extension
from quincepath.fleet.load_control.failure_attribution import FailureAttribution
from quincepath.fleet.load_reports.types import Count, SendKind, Totals
from quincepath.fleet.load_service import LoadService
from quincepath.fleet.overload import Arrival as ControlledArrival
from quincepath.fleet.overload.types import Decision
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.interface import Allowance, Result
from quincepath.limits.gate import Rejection
from quincepath.orders import AllowanceUpdate, AttemptEnded, Finish, Input, StartCall, Verdict
from quincepath.shards.shardmap import ShardMap

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue

# Results that mean that a replica set could not serve the part.
OVERLOAD_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.TIMEOUT, Result.ERROR)


class LoadControlExtension(Extension):
    """``enqueue`` adds an input to the driver's next batch; ``dials`` counts connections to holders."""

    def __init__(
        self, load_service: LoadService, driver: Driver, shard_map: ShardMap,
        enqueue: Callable[[Input], None], dials: Callable[[], int],
        fair_queue: "FairPendingQueue | None" = None,
    ) -> None:  # fmt: skip
        self.load_service, self.driver, self.enqueue, self.dials = load_service, driver, enqueue, dials
        self.fair_queue = fair_queue
        self._cell = shard_map.cell_of_shard
        self.attribution = FailureAttribution()
        self._counted_dials = 0
        load_service.on_decision = self._on_decision
        load_service.on_totals = self._on_totals

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        """Reject the query if the fleet sheds it."""
        ask, attempt = arrival.ask, arrival.attempt
        cells = tuple(sorted({self._cell(part.shard) for part in ask.parts}))
        worth, left = arrival.plan.entry.worth, ask.time_left
        # The client's identity includes the request's digest: otherwise all queries of one gateway or tenant
        # would be shed or admitted together.
        client = f"{attempt.client} {attempt.digest.hex()}"
        described = ControlledArrival(ask.kind, worth, attempt.scope, client, cells, left, ask.repeat)
        shed = self.load_service.on_arrival(described)
        return None if shed is None else Rejection(shed.reason.value, shed.retry_in)

    def on_call_sent(self, now: int, order: StartCall) -> None:
        """Count first and further sends."""
        counter = self.load_service.control.counter
        for attempt in order.attempts:
            counter.count_sends(SendKind.FURTHER if attempt.attempt else SendKind.FIRST)

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        """Record whether the replica set served the part."""
        if item.result is Result.OK or item.result in OVERLOAD_RESULTS:
            self.attribution.record_attempt(self._cell(part.ask.shard), item.result is not Result.OK)

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        """Count the query as turned away."""
        self.load_service.control.counter.count_outcome(arrival.ask.kind, Count.TURNED_AWAY)

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        """Count the outcome of the query and the replica sets at fault."""
        counter, finish = self.load_service.control.counter, ended.finish
        outcome = query_outcome(finish, ended.context.entry.target)
        counter.count_outcome(ended.context.kind, outcome)
        asked = [self._cell(part.shard) for part in ended.context.parts]
        if outcome in (Count.IN_TIME, Count.REFUSED, Count.FAILED):
            self.attribution.record_query(asked, outcome is not Count.IN_TIME)
        if finish is not None and outcome in (Count.REFUSED, Count.FAILED):
            answered = Counter(self._cell(shard) for step, shard, _ in finish.bodies if step == 1)
            for cell in self.attribution.sets_at_fault(asked, answered):
                counter.count_replica_set(cell, 0, 1)

    def _on_decision(self, decision: Decision) -> None:
        """Pass on the send budget. Dials are counted here, once per decision: the pool opens them itself."""
        dials = self.dials()
        self.load_service.control.counter.count_sends(SendKind.DIAL, dials - self._counted_dials)
        self._counted_dials = dials
        budget = decision.send_budget
        self.enqueue(AllowanceUpdate(Allowance(budget.extras, budget.trials, budget.until)))

    def _on_totals(self, totals: Totals) -> None:
        """Schedule by the slot time of tenants at all brokers; report that used here to the others."""
        if self.fair_queue is not None:
            control = self.load_service.control
            for tenant, used in self.fair_queue.served().items():
                control.counter.add_slot_time(tenant, used)
            self.fair_queue.add_remote_usage(
                control.remote_slot_time.by_tenant, max(self.load_service.loop.now - totals.at, 0)
            )

    def close(self) -> None:
        """Close the load service."""
        self.load_service.close()


def query_outcome(finish: Finish | None, target: int) -> Count:
    """The outcome of a query for the load reports. ``target`` in ns."""
    if finish is None:
        return Count.LEFT
    if finish.cause.startswith(QUEUE_REFUSAL):
        return Count.TURNED_AWAY
    match finish.verdict:
        case Verdict.ANSWERED:
            return Count.IN_TIME if finish.took <= target else Count.LATE
        case Verdict.REFUSED:
            return Count.REFUSED
    return Count.FAILED
