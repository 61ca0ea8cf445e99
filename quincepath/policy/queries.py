"""Open queries, their parts and the attempts at each."""

from quincepath.interface import Part, Query, QueryClass
from quincepath.policy.nodes import Call, Node
from quincepath.policy.tuning import EPSILON


class Attempt:
    def __init__(self, part: "PartState", node: Node, call: Call, now: int) -> None:
        self.part, self.node, self.call, self.sent_at, self.calls_before = part, node, call, now, node.calls
        self.late = self.cancelled = self.failed = False  # failed: ended at once, leaves no work behind


class PartState:
    def __init__(self, query: "QueryState", event: Part) -> None:
        self.query, self.id, self.weight, self.shard = query, event.id, event.weight, event.shard
        self.index, self.step = len(query.parts), query.step
        self.attempts: list[Attempt] = []
        self.live: list[Attempt] = []
        self.ok = self.closed = False  # dead: no attempt may follow
        self.not_before = 0  # further tries at a replica tried before wait until then
        self.may_have_run_since: int | None = None  # when the first attempt that may have run went out

    def add_to_sums(self, sign: int) -> None:
        """Add this part to its query's sums, or take it from them: called around each change of the part."""
        query, weight = self.query, sign * self.weight
        covered = self.ok or any(not attempt.late for attempt in self.live)
        query.weight_in += weight * self.ok
        query.weight_covered += weight * covered
        query.weight_in_or_live += weight * (self.ok or bool(self.live))
        query.weight_started += weight * any(not attempt.failed for attempt in self.attempts)
        if covered:
            query.uncovered.pop(self.index, None)
        else:
            query.uncovered[self.index] = self


class QueryState:
    def __init__(self, event: Query, kind: QueryClass, target_at: int, end: int) -> None:
        self.id, self.number, self.repeat, self.key = event.id, event.number, event.repeat, event.key
        self.kind, self.spec, self.target_at, self.end = event.kind, kind, target_at, end
        self.begin_step(1)
        self.complete = self.awaiting_admission = True
        self.short_timeout = False  # its client gives less time than the target: too little to bring news
        self.timer_at = self.lost_connections = 0  # crashes: attempts whose connection was lost
        self.has_success = False  # some part is in: the query does not take down what it meets

    def begin_step(self, step: int) -> None:
        self.step = step
        self.awaiting_second_step = False  # between the first answer and the parts of the second step
        self.parts: list[PartState] = []
        self.unsent: dict[int, list[PartState]] = {}  # by home cell, in order
        self.uncovered: dict[int, PartState] = {}  # by index: neither in nor expected in
        # Weights of the parts that are in; in or expected; in or out; and at work, or that may be.
        self.weight_in = self.weight_covered = self.weight_in_or_live = self.weight_started = (
            self.heaviest
        ) = 0.0
        self.attempts_sent = self.open_attempts = 0  # attempts in all, and those that have not ended
        self.in_time: dict[Attempt, None] = {}  # those that have not ended and are not late, the oldest first

    def need(self) -> float:
        return (self.spec.need if self.step == 1 else 1.0) - EPSILON

    def floor(self) -> float:
        lenient = self.spec.floor < self.spec.need
        return (self.spec.floor if self.step == 1 or lenient else 1.0) - EPSILON
