"""Overload as one, and the ledger, as a extension: what it counts, whom it sheds, what it may spend."""

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
from quincepath.fleet.overload import Arrival as Asked
from quincepath.fleet.overload.types import Decision
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.interface import Allowance, Result
from quincepath.limits.gate import Rejection
from quincepath.orders import AllowanceUpdate, AttemptEnded, Finish, Input, StartCall, Verdict
from quincepath.shards.shardmap import ShardMap

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue

TURNED = (Result.FULL, Result.CONNECT_FAILED, Result.TIMEOUT, Result.ERROR)  # a set could not take the part


class LoadControlExtension(Extension):
    """``note`` puts an input into the driver's next batch; ``dials`` counts connections begun to holders."""

    def __init__(
        self, shared: LoadService, driver: Driver, shard_map: ShardMap, note: Callable[[Input], None],
        dials: Callable[[], int], fair_queue: "FairPendingQueue | None" = None,
    ) -> None:  # fmt: skip
        self.shared, self.driver, self.note, self.dials = shared, driver, note, dials
        self.fair_queue = fair_queue
        self._cell = shard_map.cell_of_shard
        self.attribution = FailureAttribution()
        self._dials = 0
        shared.on_decision = self._told
        shared.on_totals = self._totals

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        ask, attempt = arrival.ask, arrival.attempt
        cells = tuple(sorted({self._cell(part.shard) for part in ask.parts}))
        worth, left = arrival.plan.entry.worth, ask.time_left
        # What is asked is part of who asks: a gateway's queries, or a tenant's, must not all have one place.
        client = f"{attempt.client} {attempt.digest.hex()}"
        asked = Asked(ask.kind, worth, attempt.scope, client, cells, left, ask.repeat)
        shed = self.shared.on_arrival(asked)
        return None if shed is None else Rejection(shed.reason.value, shed.retry_in)

    def on_call_sent(self, now: int, order: StartCall) -> None:
        tally = self.shared.control.counter
        for one in order.attempts:
            tally.count_sends(SendKind.FURTHER if one.attempt else SendKind.FIRST)

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        if item.result is Result.OK or item.result in TURNED:
            self.attribution.record_attempt(self._cell(part.ask.shard), item.result is not Result.OK)

    def on_not_begun(self, now: int, arrival: Arrival) -> None:
        self.shared.control.counter.count_outcome(arrival.ask.kind, Count.TURNED_AWAY)

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        tally, finish = self.shared.control.counter, ended.finish
        how = query_outcome(finish, ended.context.entry.target)
        tally.count_outcome(ended.context.kind, how)
        asked = [self._cell(part.shard) for part in ended.context.parts]
        if how in (Count.IN_TIME, Count.REFUSED, Count.FAILED):
            self.attribution.record_query(asked, how is not Count.IN_TIME)
        if finish is not None and how in (Count.REFUSED, Count.FAILED):
            came = Counter(self._cell(shard) for step, shard, _ in finish.bodies if step == 1)
            for cell in self.attribution.sets_at_fault(asked, came):
                tally.count_replica_set(cell, 0, 1)

    def _told(self, out: Decision) -> None:
        """Dials are counted here, once a news: the pool opens them by itself."""
        dials = self.dials()
        self.shared.control.counter.count_sends(SendKind.DIAL, dials - self._dials)
        self._dials = dials
        spending = out.send_budget
        self.note(AllowanceUpdate(Allowance(spending.extras, spending.trials, spending.until)))

    def _totals(self, totals: Totals) -> None:
        """Turns go by what tenants got at all brokers; what they got here is told to the others."""
        if self.fair_queue is not None:
            sharing = self.shared.control
            for tenant, used in self.fair_queue.served().items():
                sharing.counter.add_slot_time(tenant, used)
            self.fair_queue.add_remote_usage(
                sharing.remote_slot_time.by_tenant, max(self.shared.loop.now - totals.at, 0)
            )

    def close(self) -> None:
        self.shared.close()


def query_outcome(finish: Finish | None, target: int) -> Count:
    """What became of a query, for the ledger. ``target`` in ns."""
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
