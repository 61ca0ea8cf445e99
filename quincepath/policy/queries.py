"""Open queries, their parts and the attempts at each part."""

from quincepath.interface import Part, Query, QueryClass
from quincepath.policy.nodes import Call, Node
from quincepath.policy.tuning import EPSILON


class Attempt:
    """One send of a part to a node."""

    def __init__(self, part: "PartState", node: Node, call: Call, now: int) -> None:
        self.part, self.node, self.call, self.sent_at, self.calls_before = part, node, call, now, node.calls
        self.late = self.cancelled = self.failed = False  # failed: ended at once, leaves no work behind
        self.reply_pending = False  # a whole reply has arrived and is being checked


class PartState:
    """One part of an open query, with its attempts."""

    def __init__(self, query: "QueryState", event: Part) -> None:
        self.query, self.id, self.weight, self.shard = query, event.id, event.weight, event.shard
        self.index, self.step = len(query.parts), query.step
        self.attempts: list[Attempt] = []
        self.live: list[Attempt] = []
        self.ok = self.closed = False  # closed: no attempt may follow
        self.not_before = 0  # earliest time of a further attempt
        self.retry_by: int | None = None  # latest time of one: a doubtful reply may have answered the part
        self.may_have_run_since: int | None = None  # when the first attempt that may have run was sent

    def awaits_reply_check(self) -> bool:
        """Whether a whole reply to one of its open attempts is being checked."""
        return any(attempt.reply_pending for attempt in self.live)

    def add_to_sums(self, sign: int) -> None:
        """Add this part to its query's sums, or subtract it; called around each change of the part."""
        query, weight = self.query, sign * self.weight
        covered = self.ok or any(not attempt.late for attempt in self.live)
        query.weight_in += weight * self.ok
        query.weight_covered += weight * covered
        query.weight_active += weight * (self.ok or bool(self.live))
        query.weight_started += weight * any(not attempt.failed for attempt in self.attempts)
        if covered:
            query.uncovered.pop(self.index, None)
        else:
            query.uncovered[self.index] = self


class QueryState:
    """One open query, with the sums that are kept over its parts."""

    def __init__(self, event: Query, spec: QueryClass, target_at: int, end: int) -> None:
        self.id, self.number, self.repeat, self.key = event.id, event.number, event.repeat, event.key
        self.kind, self.spec, self.target_at, self.end = event.kind, spec, target_at, end
        self.begin_step(1)
        self.complete = self.awaiting_admission = True
        self.short_timeout = False  # its client gives less time than the target: too little to learn from
        self.timer_at = self.lost_connections = 0
        self.has_success = False  # some part was answered: this is no poison query

    def begin_step(self, step: int) -> None:
        """Reset the parts and their sums for the first or second step."""
        self.step = step
        self.awaiting_second_step = False  # between the first answer and the parts of the second step
        self.parts: list[PartState] = []
        self.unsent: dict[int, list[PartState]] = {}  # by home cell, in order
        self.uncovered: dict[int, PartState] = {}  # by index: neither answered nor with an attempt in time
        # Weights of the parts that are answered (in), answered or with an attempt in time (covered), answered
        # or with an open attempt (active), and with an attempt that may have left work at a node (started).
        self.weight_in = self.weight_covered = self.weight_active = self.weight_started = self.heaviest = 0.0
        self.attempts_sent = self.open_attempts = 0
        self.retry_deadlines: list[int] = []  # of parts that a doubtful reply may have answered
        self.in_time: dict[Attempt, None] = {}  # open attempts that are not late, oldest first

    def need(self) -> float:
        """Weight that makes the answer of this step complete."""
        return (self.spec.need if self.step == 1 else 1.0) - EPSILON

    def floor(self) -> float:
        """Least weight for a partial answer of this step."""
        lenient = self.spec.floor < self.spec.need
        return (self.spec.floor if self.step == 1 or lenient else 1.0) - EPSILON
