"""Open queries, their parts and the attempts at each."""

from quincepath.interface import Part, Query, QueryClass
from quincepath.policy.nodes import Call, Node
from quincepath.policy.tuning import EPSILON


class Attempt:
    def __init__(self, part: "PartState", node: Node, call: Call, now: int) -> None:
        self.part, self.node, self.call, self.sent, self.calls_before = part, node, call, now, node.calls
        self.late = self.cancelled = False
        self.failed = False  # ended at once: leaves no work behind


class PartState:
    def __init__(self, query: "QueryState", event: Part) -> None:
        self.query, self.id, self.weight, self.shard = query, event.id, event.weight, event.shard
        self.attempts: list[Attempt] = []
        self.live: list[Attempt] = []
        self.ok = False
        self.dead = False  # no attempt may follow
        self.not_before = 0  # further tries at a replica tried before wait until then
        self.risky_since: int | None = None  # when the first attempt that may have run went out

    def covered(self) -> bool:
        """Whether this part is in, or is expected in without further help."""
        return self.ok or any(not attempt.late for attempt in self.live)


class QueryState:
    def __init__(self, event: Query, kind: QueryClass, aim: int, end: int) -> None:
        self.id, self.number, self.kind, self.spec = event.id, event.number, event.kind, kind
        self.aim, self.end = aim, end
        self.parts: list[PartState] = []
        self.step = 1
        self.waiting = False  # between the first answer and the parts of the second step
        self.whole = self.fresh = True
        self.hasty = False  # its client gives less time than the target: too little to bring news
        self.timer = 0
        self.repeat, self.key = event.repeat, event.key
        self.crashes = 0  # attempts whose connection was lost
        self.proven = False  # some part is in: the query does not take down what it meets

    def need(self) -> float:
        return (self.spec.need if self.step == 1 else 1.0) - EPSILON

    def floor(self) -> float:
        lenient = self.spec.floor < self.spec.need
        return (self.spec.floor if self.step == 1 or lenient else 1.0) - EPSILON

    def weight_in(self) -> float:
        return sum(part.weight for part in self.parts if part.ok)
