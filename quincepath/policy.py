"""All decisions of the query aggregator. Its types, events and actions: ``quincepath/interface.py``.

The mechanism: of a query that needs any n of its k parts, send exactly the n whose least-loaded replica is
least loaded, each to that replica. Load is what this broker itself has outstanding at a node. Where that
count misleads, the odds of a failure there come on top, so that one rule serves in good and bad times.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from itertools import chain

from quincepath.interface import (
    Action, Answer, Cancel, Effect, Entry, Event, Fail, Left, Log, Members, NodeId, Outcome, Part,
    Phase, Query, QueryClass, Refuse, Result, Scope, Send, SetTimer, Settings, TimerFired, Watch,
)

SECOND = 1_000_000_000
EPSILON = 5e-5  # the wire lets sums of weights fall 0.0001 short; half of that is float rounding only
PROVED_UNRUN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)  # outcomes after which no effect can exist

PRIOR_LATENCY = 0.10  # share of a class's target that a part is taken to last before any was seen
LATENCY_GAIN = 0.05  # weight of one reply in a class's typical latency: some twenty replies make a change
LATENCY_CLIP = 4.0  # one reply counts as at most so many times the typical: one stall is not the norm
LATE_DEVIATIONS = 3.0  # a part is late beyond mean + so many mean deviations, about one sound part in fifty
LATE_SHARE_MOST = 0.35  # but no later than this share of the target, or nothing is left for the next try
LATE_SHARE_LEAST = 0.10  # and no sooner than this one: early alarms only add work
SPARE_SHARE = 0.10  # spare sends (for late parts) earned by each planned one while answers are slow: when
SPARE_SHARE_CALM = 0.25  # all are late more work makes them later; while answers come as usual some nodes are
CROWDED = 2.0  # bad. Answers are slow when the typical one takes so many times the least typical seen
ZONE_COST = 5.0  # a charge for crossing zones makes a node look slower by this many times the charge
SPARE_MOST = 10.0  # most spare sends that can be saved up
SPARE_LEAST = 5.0  # while fewer are saved up no attempt is given up before the end
RESEND_PATIENCE = 2.0  # where two copies are forbidden an attempt is given up at so many times the late mark:
RESEND_PATIENCE_CROWDED = 4.0  # sooner cuts heavy parts off; when all are slow a new try is slow, too
WINDOW_SHARE = 0.7  # of a keyed class's window that an attempt may take: the rest is for its resend to leave
SPEED_GAIN = 0.25  # weight of one reply in a node's own latency ratio: follows a slowdown within few replies
SLOW_RATIO = 3.0  # a reply this many times the typical counts as a failure
MOSTLY_FAILING = 0.5  # beyond this share of failures a node counts as slower in refusal, up to eight times
MEMORY_LEAST = 4 * SECOND  # a node's latency ratio fades to 1/e in this time, so that it is tried again;
MEMORY_MOST = 30 * SECOND  # with little traffic, in the time to meet each node once, but troubles end, too
FAULT_GAIN = 0.3  # weight of one attempt in a node's share of failures: three in a row make two thirds
FAULT_MEETINGS = 4  # failures are remembered so many times as long: where some attempts get through, few tell
FAULT_COST = 2.0  # parts counted on top at a share of a half; the odds of failure times this
FAULT_MOST = 16.0  # most parts counted on top: the trickle of trials must never stop for long
DISTRUST_AFTER = 8  # failures in a row before on-call staff are told: a trouble, not a hiccup
OVERLOAD_QUIET = 5 * SECOND  # an overload is called over after this long without a refusal
ANSWER_TICKS = 2  # a query is ended so many ticks before its client leaves: one may pass on the way
RETURN_SHARE = 0.2  # of the target until a refused client may come back: its aim runs on from the first try
RETRY_PAUSE = 0.1  # of the target before a second try at the same replica, doubling with each further
BLOCKED_RETRY = SECOND // 20  # how soon a part that no node may take now is looked at again
CRASHES_MOST = 2  # nodes that a query may have taken down, with no part in, until it is held to be the cause
CRASH_MEMORY = 10 * SECOND  # so long after a lost connection a client's repeat sends one part ahead
CULPRIT_MEMORY = 30 * SECOND  # so long queries with a poisoned query's key are refused: about one spell
CULPRITS_MOST = 100  # such keys remembered
DIAL_MEMORY = 10 * SECOND  # so long after a connection took too long to open, open ones are preferred
DIAL_COST = 2  # parts counted on top for a node that would need a new one
NEW_CONNECTION = 1.5  # a node not heard within the idle time looks so much slower: it needs a connection
SHORT_MEMORY = 10 * SECOND  # so long after a first try came with little time a repeat's age is not known
COLD_CORES = 1.75  # cores that a cold node is filled as: not told, two are taken, with an eighth to spare
CORES_GUESS = 2  # so many parts at once are taken not to slow each other: in a call, and in the expected wait
HOPELESS_SHARE = 0.35  # refuse at once beyond this share of the time: the slowest part comes on top
REASK_SHARE = 0.2  # of the time in which the list must be asked: mean pause after a failed subscription
REASK_LIMIT = 10 * SECOND  # taken for that time where it is not told
LIST_TOKEN = 1 << 40  # timer token of the node list; query ids stay below 2^32

Rank = tuple[int, float, float]


class Latency:
    """Typical latency of one kind of part, learned from all nodes; the prior is from the target."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.mean = self.base = target * PRIOR_LATENCY
        self.deviation = self.mean / 2
        self.seen_at = 0

    def learn(self, now: int, elapsed: int) -> None:
        self.seen_at = now
        seen = min(elapsed, self.mean * LATENCY_CLIP)
        self.deviation += LATENCY_GAIN * (abs(seen - self.mean) - self.deviation)
        self.mean += LATENCY_GAIN * (seen - self.mean)
        self.base = min(self.base, self.mean)

    def late_after(self) -> int:
        """When a part out this long is called late."""
        late = self.mean + LATE_DEVIATIONS * self.deviation
        return int(min(max(late, LATE_SHARE_LEAST * self.target), LATE_SHARE_MOST * self.target))


class Node:
    """What this broker knows of one replica, all from the list and from its own traffic."""

    def __init__(self, entry: Entry) -> None:
        self.id: NodeId = entry.node
        self.name = ".".join(str(b) for b in entry.node[:4]) + f":{int.from_bytes(entry.node[4:])}"
        self.entry = entry
        self.calls = 0
        self.call: Call | None = None
        self.faults: dict[int | None, tuple[float, int]] = {}  # by class (None: any), share and when
        self.failures = 0
        self.ratio, self.ratio_at = 1.0, 0
        self.usual_load = 0.0
        self.heard = -SECOND * SECOND  # when it last answered: its connection stays open for a while
        self.cold_from = self.credit_at = 0
        self.credit = 0.0  # work that may be sent while it is cold
        self.memory = MEMORY_LEAST

    def load(self, now: int, kind: int) -> int:
        """Own calls out, plus the odds of failure: what an attempt there costs in further ones elsewhere."""
        faults = self.fault_share(now, kind)
        return self.calls + round(min(FAULT_COST * faults / (1.001 - faults), FAULT_MOST))

    def fault_share(self, now: int, kind: int) -> float:
        """Share of attempts that failed here of late, fading while unused: the class's own or that of all.

        By class, too: guards against a node that fails one class while good replies of others speak for it.
        """
        return max(self._faded(now, None), self._faded(now, kind))

    def _faded(self, now: int, kind: int | None) -> float:
        share, at = self.faults.get(kind, (0.0, 0))
        return share * math.exp((at - now) / (FAULT_MEETINGS * self.memory))

    def note(self, now: int, kind: int, fault: float) -> None:
        """One attempt more has ended: 1 badly, 0 well."""
        for key in (None, kind):
            share = self._faded(now, key)
            self.faults[key] = share + FAULT_GAIN * (fault - share), now

    def speed(self, now: int) -> float:
        """Latency here over the typical one, fading to 1 while unused."""
        return 1 + (self.ratio - 1) * math.exp((self.ratio_at - now) / self.memory)


class Call:
    """Sends of one round to one node that share a place; the design counts these."""

    def __init__(self, at: int) -> None:
        self.at = at
        self.parts = self.open = 0


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
        self.id, self.number, self.kind = event.id, event.number, event.kind
        self.spec = kind
        self.aim = aim
        self.end = end
        self.parts: list[PartState] = []
        self.step = 1
        self.waiting = False  # between the first answer and the parts of the second step
        self.whole = True
        self.fresh = True
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


class AttemptBudget:
    """Rule 6: attempts beyond the first in a sliding window, against what was accepted in it."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.rules
        self.taken: deque[int] = deque()
        self.extra: deque[int] = deque()

    def take(self, now: int) -> None:
        """A query or part was accepted. Guards against keeping all for ever where extras are seldom asked."""
        if self.rules.budget_window:
            self.taken.append(now)
            self._drop_taken(now)

    def spend(self, now: int) -> None:
        """An attempt beyond a part's first goes out."""
        if self.rules.budget_window:
            self.extra.append(now)

    def _drop_taken(self, now: int) -> None:
        start = now - self.rules.budget_window
        while self.taken and self.taken[0] <= start:  # drop early what we earn by, late what we spent
            self.taken.popleft()

    def allows(self, now: int) -> bool:
        if not self.rules.budget_window:
            return True
        start = now - self.rules.budget_window
        self._drop_taken(now)
        while self.extra and self.extra[0] < start:
            self.extra.popleft()
        return len(self.extra) + 1 <= self.rules.budget_free + self.rules.budget_ratio * len(self.taken)


class Aggregator:
    """One broker's decisions: ``handle`` takes the events of a moment and returns the actions for it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = random.Random(seed)
        self.now = 0
        self.out: list[Action] = []
        self.nodes: dict[NodeId, Node] = {}
        self.cells: dict[int, list[Node]] = {}
        self.ready = 0
        self.queries: dict[int, QueryState] = {}
        self.tried = [0] * len(settings.classes)  # open queries of each class that were not refused at once
        self.by_number: dict[int, QueryState] = {}
        self.parts: dict[int, PartState] = {}
        self.budget = AttemptBudget(settings)
        self.latency = {
            (kind, step): Latency(spec.target)
            for kind, spec in enumerate(settings.classes) for step in (1, 2)
        }
        self.asked = False
        self.full_try: dict[int, int] = {}  # by class, the most time that a client gave a try
        self.short_at = -SHORT_MEMORY
        self.newest = self.latency[0, 1]  # of the kind of part that was in last
        self.first_send = self.sends = 0
        self.spare = SPARE_MOST
        self.refused = self.refused_at = 0
        self.crash_at, self.dial_failed_at = -CRASH_MEMORY, -DIAL_MEMORY
        self.ranks: dict[NodeId, Rank | None] = {}  # of one round; none where a node is too cold
        self.culprits: dict[int, int] = {}  # keys of poisoned queries, and when they were last seen

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in all events first, then decide once for each query that they touch."""
        self.now, self.out = now, []
        touched: dict[int, QueryState] = {}
        for event in events:
            query = self._take_in(event)
            if query is not None:
                touched[query.id] = query
        for query in touched.values():
            if query.id in self.queries:
                self._advance(query)
        return self.out

    def _take_in(self, event: Event) -> QueryState | None:
        match event:
            case Outcome():
                return self._outcome(event)
            case TimerFired(token):
                if token == LIST_TOKEN:
                    self.out.append(Watch(True))
                return self.queries.get(token)
            case Query():
                return self._accept(event)
            case Part():
                return self._add_part(event)
            case Left(rid):
                if rid in self.queries:
                    self._forget(self.queries[rid])
                elif rid in self.parts:  # its query is sent no more, but answered
                    for part in self.parts[rid].query.parts:
                        part.dead = True
                    return self.queries.get(self.parts[rid].query.id)
            case Members():
                self._members(event)
        return None

    # --- the node list ---

    def _members(self, event: Members) -> None:
        if self.settings.must_ask and not self.asked:
            self.asked = True
            self.out.append(Watch(True))
        if event.scope is Scope.FAILED:
            # At times of each broker's own: guards against all failing in step again at a small list service.
            pause = (self.rules.must_ask_in or REASK_LIMIT) * REASK_SHARE * (0.5 + self.random.random())
            self.out.append(SetTimer(self.now + int(pause), LIST_TOKEN))
            return
        if event.scope is not Scope.DELTA:
            named = dict.fromkeys(entry.node for entry in event.entries)
            for node in self.nodes.values():
                if node.id not in named:
                    node.entry = Entry(node.id, 0, node.entry.zone, node.entry.cell, 0, Phase.GONE, 0.0)
        for entry in event.entries:
            self._learn_entry(entry)
        self.cells, self.ready = {}, 0
        for node in list(self.nodes.values()):
            if node.entry.phase is Phase.READY:
                self.cells.setdefault(node.entry.cell, []).append(node)
                self.ready += 1
            elif node.entry.phase is Phase.GONE and not node.calls:
                del self.nodes[node.id]

    def _learn_entry(self, entry: Entry) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            node = self.nodes[entry.node] = Node(entry)
            if entry.since:
                self._chill(node, entry.since)
        elif entry.since > node.cold_from:
            # A restart, ready or not yet: what was out there is lost, and what was learned of it is void.
            node.faults, node.failures, node.ratio = {}, 0, 1.0
            self._chill(node, entry.since)
        node.entry = entry

    def _replicas(self, shard: int) -> Iterable[Node]:
        cells = self.settings.cells
        held = (self.cells.get((shard + j) % cells, ()) for j in range(min(self.settings.reach, cells)))
        return chain.from_iterable(held)

    # --- choice of replica ---

    def _rank(self, node: Node, query: QueryState) -> Rank:
        """The design's order: least loaded first; ties by expected latency, then at random.

        The count is by call. While crowded, where calls cost work of their own, one begun in this round that
        a part may join is not held against the node, up to what runs there side by side.
        """
        expected = max(node.speed(self.now), 1 / self._warmth(node))
        load = node.load(self.now, query.kind)
        if node.call and self._may_join(node) and node.call.parts < CORES_GUESS and self._crowded(query):
            load -= bool(self.settings.call_work)
            expected /= 1 + self.settings.call_work / self._typical(query).base
        if node.entry.zone != self.settings.zone:
            expected *= 1 + ZONE_COST * self.settings.cross_zone_charge
        if self.now > node.heard + self.limits.idle_close:
            expected *= NEW_CONNECTION
            if self.now < self.dial_failed_at + DIAL_MEMORY:
                # New connections fail while open ones serve: guards against dialling where it can be helped.
                load += DIAL_COST
        return load, expected, self.random.random()

    def _may_join(self, node: Node) -> bool:
        """Whether a send now would travel in a call begun in this round."""
        return node.call is not None and node.call.at == self.now and node.call.parts < self.limits.batch

    def _best_replica(self, part: PartState) -> tuple[Rank, Node] | None:
        """The part's first choice; ranks are kept for the round, until a send changes them.

        A further try goes where the part was tried least: guards against spending all of them on one replica
        that turns parts away faster than it can be learned.
        """
        busy = [attempt.node for attempt in part.live]
        tried = [attempt.node for attempt in part.attempts]
        best: tuple[tuple[int, Rank], Node] | None = None
        for node in self._replicas(part.shard):
            if node.id not in self.ranks:
                cold = self._cold_wait(node, part)
                self.ranks[node.id] = None if cold else self._rank(node, part.query)
            rank = self.ranks[node.id]
            if rank is not None and node not in busy:
                key = tried.count(node), rank
                best = (key, node) if best is None or key < best[0] else best
        return None if best is None else (best[0][1], best[1])

    def _warmth(self, node: Node) -> float:
        """Least share of its capacity that a node has now, by the stated ramp."""
        if not node.cold_from:
            return 1.0
        age = (self.now - node.cold_from) / self.rules.ramp_time
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * max(age, 0.0))

    def _chill(self, node: Node, since: int) -> None:
        """Take a node to have started then; brokers begin their shares of its budget in turn, by number."""
        node.cold_from, node.credit_at = since, self.now
        turn = (self.settings.me + int.from_bytes(node.id)) % self.settings.instances
        node.credit = turn / self.settings.instances * self.latency[0, 1].base

    def _cold_wait(self, node: Node, part: PartState) -> float:
        """Rule 4: how long until this broker's share of what a cold node may be sent has room for the part.

        Together the shares fill COLD_CORES, whatever the number of brokers; their turns spread them out.
        """
        warmth = self._warmth(node)
        if warmth >= 1:
            return 0.0
        rate = COLD_CORES * self.rules.fall_multiple * warmth / self.settings.instances
        work = self._work(part)
        grown = node.credit + rate * (self.now - node.credit_at)
        node.credit, node.credit_at = min(grown, max(rate * self.rules.overload_for, work)), self.now
        return max(work - node.credit, 0.0) / rate

    def _work(self, part: PartState) -> float:
        """What a part is booked at: the rule counts by class, a second step's lighter part like a first's."""
        return self.latency[part.query.kind, 1].base + self.settings.call_work

    # --- queries ---

    def _accept(self, event: Query) -> QueryState:
        self.budget.take(self.now)
        spec = self.settings.classes[event.kind]
        end = self.now + max(event.time_left - ANSWER_TICKS * self.settings.tick, 0)
        query = QueryState(event, spec, self._aim(event, spec), end)
        self.queries[query.id] = self.by_number[query.number] = query
        return query

    def _aim(self, event: Query, spec: QueryClass) -> int:
        """When the client wants its answer: counted from its first try, which a repeat may be long past.

        A repeat with less time than a full try has what its deadline leaves, and so tells its age; but not
        while first tries come short, too: then the client's patience is short.
        """
        full = self.full_try[event.kind] = max(self.full_try.get(event.kind, 0), event.time_left)
        short = event.time_left < full - ANSWER_TICKS * self.settings.tick
        self.short_at = self.now if short and not event.repeat else self.short_at
        tells = short and self.now > self.short_at + SHORT_MEMORY
        return self.now + spec.target - (max(spec.deadline - event.time_left, 0) if tells else 0)

    def _crowded(self, query: QueryState) -> bool:
        return self._news(query.kind, query.step) > CROWDED * self._typical(query).base

    def _add_part(self, event: Part) -> QueryState | None:
        self.budget.take(self.now)
        query = self.by_number.get(event.number)
        if query is None:
            return None
        if query.waiting:
            query.waiting, query.step, query.parts = False, 2, []
        part = PartState(query, event)
        query.parts.append(part)
        self.parts[part.id] = part
        return query

    def _advance(self, query: QueryState) -> None:
        """Decide all that can be decided for one query now."""
        if query.waiting and self.now < query.end:  # a second step that never comes must still be ended
            self._wait_until(query, query.end)
            return
        weight = query.weight_in() if query.parts and not query.waiting else -1.0
        if weight >= query.need() and not self._too_late_for_second(query):
            self._answer(query, True)
        elif weight >= query.need() or weight >= query.floor() and self.now >= self._last_call(query):
            self._give_up(query)
        elif self.now >= query.end or self._poisoned(query) or not self._can_finish(query):
            self._give_up(query)
        elif query.fresh and (self.tried[query.kind] or query.repeat) and self._hopeless(query):
            self._note_refusal()
            self._give_up(query)
        else:
            self.tried[query.kind] += query.fresh
            query.fresh = False
            self._note_calm()
            self._mark_late(query)
            blocked = self._top_up(query)
            self._wait_until(query, self._next_look(query, blocked))

    def _too_late_for_second(self, query: QueryState) -> bool:
        """Whether a second step would be work for an answer that comes after its target."""
        mean = self.latency[query.kind, 2].mean
        return query.step == 1 and query.spec.second_step > 0 and self.now + mean > query.aim

    def _last_call(self, query: QueryState) -> int:
        """From then on the best honest answer goes out: part of the worth in time beats all late."""
        second = self.latency[query.kind, 2].late_after() if query.step == 1 and query.spec.second_step else 0
        return query.aim - second - ANSWER_TICKS * self.settings.tick

    def _answer(self, query: QueryState, full: bool) -> None:
        query.whole &= full
        self.out.append(Answer(query.id, query.whole))
        self._drop_parts(query)
        if query.step == 1 and query.spec.second_step:
            query.waiting = True
            self._wait_until(query, query.end)
        else:
            self._forget(query)

    def _give_up(self, query: QueryState) -> None:
        """The final answer of a query that will not be whole: at once, never held back."""
        enough = not query.waiting and query.parts and query.weight_in() >= query.floor()
        if enough and not self._too_late_for_second(query):
            self._answer(query, False)
            return
        risky = any(p.ok or p.risky_since is not None for p in query.parts)
        if risky and query.spec.effect is not Effect.SAFE:
            self.out.append(Fail(query.id))  # an effect may exist: no promise
        else:
            advice = min(int(RETURN_SHARE * query.spec.target), self.limits.max_retry_after)
            self.out.append(Refuse(query.id, advice if self.limits.retry_after else 0))
        self._forget(query)

    def _forget(self, query: QueryState) -> None:
        self._drop_parts(query)
        self.tried[query.kind] -= not query.fresh
        del self.queries[query.id]
        if self.by_number.get(query.number) is query:
            del self.by_number[query.number]

    def _drop_parts(self, query: QueryState) -> None:
        """Call back what is still out; its outcome is still awaited, for the count's sake."""
        for part in query.parts:
            for attempt in part.live:
                self._cancel(attempt)
            if not part.live:
                self.parts.pop(part.id, None)

    def _cancel(self, attempt: Attempt) -> None:
        if self.limits.cancel and not attempt.cancelled:
            attempt.cancelled = True
            self.out.append(Cancel(attempt.part.id, attempt.part.attempts.index(attempt)))

    def _can_finish(self, query: QueryState) -> bool:
        """Whether enough weight is in, out, or may still be sent; for a part of the worth, in or out."""
        left = sum(p.weight for p in query.parts if p.ok or p.live or self._may_still_send(p))
        if left < query.need() and (left < query.floor() or not any(p.live for p in query.parts)):
            return False
        return self.now < query.aim or query.spec.late_worth > 0

    def _may_still_send(self, part: PartState) -> bool:
        if part.dead or len(part.attempts) >= self.limits.attempts or not any(self._replicas(part.shard)):
            return False
        if part.risky_since is None:
            return True
        spec = part.query.spec
        if spec.effect is Effect.KEYED:
            return self.now < part.risky_since + spec.window
        return spec.effect is Effect.SAFE

    def _note_refusal(self) -> None:
        if not self.refused:
            self.out.append(Log("overload begun: refusing queries that are not expected to finish in time"))
        self.refused += 1
        self.refused_at = self.now

    def _note_calm(self) -> None:
        if self.refused and self.now - self.refused_at > OVERLOAD_QUIET:
            self.out.append(Log(f"overload ended: {self.refused} queries refused"))
            self.refused = 0

    def _news(self, kind: int, step: int) -> float:
        """A class's typical latency now: without a part for long, moved as that of the class last seen."""
        latency = self.latency[kind, step]
        if self.newest.seen_at <= latency.seen_at + latency.target:
            return latency.mean
        return latency.base * self.newest.mean / self.newest.base

    def _hopeless(self, query: QueryState) -> bool:
        """Whether even the best choice is expected to finish after the target or the client's time.

        While crowded repeats are refused: they would keep up the overload; first tries have their whole time.
        A first try is asked only while another query of the class is open, whose news is on its way: guards
        against refusing a class for ever on old news, after a stall of this broker as after overload.
        """
        if query.repeat and self._crowded(query):
            return True
        mean = self._news(query.kind, 1) + (self._news(query.kind, 2) if query.spec.second_step else 0)
        finish = []
        for part in query.parts:
            times = (self._expected_wait(n, part, mean) for n in self._replicas(part.shard))
            finish.append((min(times, default=math.inf), part.weight))
        covered, slowest = 0.0, 0.0
        for time, weight in sorted(finish):
            if covered < query.floor():
                covered, slowest = covered + weight, time
        until = query.end if self.now >= query.aim else min(query.aim, query.end)
        return slowest > HOPELESS_SHARE * (until - self.now)

    def _expected_wait(self, node: Node, part: PartState, mean: float) -> float:
        """The typical latency, scaled by what was seen here and by how the count compares to then.

        Failures count where most attempts fail (guards against taking a jammed replica's dead sibling for
        a quick one; fewer would refuse all traffic), and so does a cold node's wait.
        """
        sound = 1 - max(node.fault_share(self.now, part.query.kind) - MOSTLY_FAILING, 0.0)
        crowd = (node.calls + CORES_GUESS) / (node.usual_load + CORES_GUESS)
        return mean * node.speed(self.now) * crowd / sound**3 + self._cold_wait(node, part)

    # --- sending ---

    def _typical(self, query: QueryState) -> Latency:
        return self.latency[query.kind, query.step]

    def _late_after(self, query: QueryState) -> int:
        return self._typical(query).late_after()

    def _mark_late(self, query: QueryState) -> None:
        late = self._late_after(query)
        for part in query.parts:
            for attempt in part.live:
                if not attempt.late and self.now >= attempt.sent + late:
                    attempt.late = True
                    self._blame(attempt.node, query.kind, "LATE")

    def _top_up(self, query: QueryState) -> bool:
        """Send until enough weight is covered; tells whether something had to be held for want of a node."""
        covered = sum(part.weight for part in query.parts if part.covered())
        self.ranks = {}
        while covered < query.need():
            if self._must_wait_for_proof(query):
                return False
            choice = self._next_first_send(query)
            if choice is None and self._spare_completes(query, covered):
                choice = self._next_extra(query)
            if choice is None or not self._pay(query, choice[0]):
                return True
            part, node = choice
            self._send(part, node)
            covered += part.weight
        return False

    def _spare_completes(self, query: QueryState, covered: float) -> bool:
        """Copies go out only if the store has enough for all parts that the query lacks.

        Guards against spending it on a query of many parts that stays a few short all the same.
        """
        lacking = sorted((p.weight for p in query.parts if not p.covered()), reverse=True)
        return covered + sum(lacking[: int(max(self.spare, 1))]) >= query.need()

    def _poisoned(self, query: QueryState) -> bool:
        """Whether the query, or one with its key, took down all that it met: it would take down more.

        The evidence is the query's, not the nodes': lost connections, and no part in.
        """
        sent = sum(len(part.attempts) for part in query.parts)
        if not query.proven and query.crashes >= (1 if query.repeat else max(CRASHES_MOST, sent / 2)):
            self.culprits[query.key] = self.now
            if len(self.culprits) > CULPRITS_MOST:
                del self.culprits[next(iter(self.culprits))]
            return True
        return query.key > 0 and self.now < self.culprits.get(query.key, -CULPRIT_MEMORY) + CULPRIT_MEMORY

    def _must_wait_for_proof(self, query: QueryState) -> bool:
        """Guards against a query that takes down each node that begins a part of it.

        After a lost connection nothing more is sent until another part of the query is in; for a while then
        a client's repeat sends one part ahead. Where nodes die by themselves it costs a part's latency.
        """
        if query.proven or not (query.crashes or query.repeat and self.now < self.crash_at + CRASH_MEMORY):
            return False
        return any(part.live and part.covered() for part in query.parts)

    def _pay(self, query: QueryState, part: PartState) -> bool:
        """Sends on top of work that goes on come out of a store filled by planned ones: no storms."""
        started = sum(p.weight for p in query.parts if any(not a.failed for a in p.attempts))
        if started < query.need() and not any(not a.failed for a in part.attempts):
            share = SPARE_SHARE if self._crowded(query) else SPARE_SHARE_CALM
            most = max(SPARE_MOST, SPARE_SHARE_CALM * len(query.parts))
            self.spare = max(min(self.spare + share, most), self.spare)
        elif self.spare < 1:
            return False
        else:
            self.spare -= 1
        return True

    def _next_first_send(self, query: QueryState) -> tuple[PartState, Node] | None:
        """The unsent part whose best replica is least loaded."""
        best = None
        for part in query.parts:
            if not part.attempts and not part.dead:
                found = self._best_replica(part)
                if found is not None and (best is None or found[0] < best[0]):
                    best = found[0], part, found[1]
        return None if best is None else best[1:]

    def _next_extra(self, query: QueryState) -> tuple[PartState, Node] | None:
        """A further try or second copy, for a part that failed or is late; past the target no copies.

        Tries go on past it while a late answer is worth something: guards against holding a query for which
        nothing more would be sent.
        """
        overdue = self.now >= query.aim
        if not self.budget.allows(self.now) or overdue and not query.spec.late_worth:
            return None
        for part in query.parts:
            if part.covered() or not part.attempts or not self._may_still_send(part):
                continue
            copies = self.limits.duplicate and query.spec.effect is Effect.SAFE
            if part.live and (overdue or not copies) or self.now < part.not_before:
                continue
            found = self._best_replica(part)
            if found and all(found[0][0] <= a.node.load(self.now, query.kind) for a in part.live):
                return part, found[1]
        return None

    def _memory(self) -> int:
        """How long to remember a node: of many brokers each meets it seldom and would forget in between."""
        self.sends += 1
        self.first_send = self.first_send or self.now
        meeting = (self.now - self.first_send) * self.ready // self.sends
        return min(max(meeting, MEMORY_LEAST), MEMORY_MOST)

    def _send(self, part: PartState, node: Node) -> None:
        if part.attempts:
            self.budget.spend(self.now)
        for other in self._replicas(part.shard):  # their ranks have changed
            self.ranks.pop(other.id, None)
        call = node.call
        if call is None or not self._may_join(node):
            call = node.call = Call(self.now)
            node.calls += 1
        call.parts += 1
        call.open += 1
        node.memory = self._memory()
        attempt = Attempt(part, node, call, self.now)
        part.attempts.append(attempt)
        part.live.append(attempt)
        if part.risky_since is None and part.query.spec.effect is not Effect.SAFE:
            part.risky_since = self.now
        node.credit -= self._work(part)  # while it is cold, its next part has to wait for this
        self.out.append(Send(part.id, node.id, self._timeout(part)))

    def _timeout(self, part: PartState) -> int:
        """Where a second copy is allowed, wait to the end; else give up in time for another try."""
        query = part.query
        left = max((query.end if query.spec.late_worth > 0 else min(query.end, query.aim)) - self.now, 1)
        resendable = query.spec.effect is not Effect.UNSAFE and len(part.attempts) < self.limits.attempts
        if self.limits.duplicate or not resendable or self.now >= query.aim or self.spare < SPARE_LEAST:
            return left
        patience = RESEND_PATIENCE_CROWDED if self._crowded(query) else RESEND_PATIENCE
        wait = int(patience * self._late_after(query))
        if query.spec.effect is Effect.KEYED:  # a resend has to go out while repeats are still dropped
            wait = min(wait, int(WINDOW_SHARE * query.spec.window))
        return min(left, wait)

    def _next_look(self, query: QueryState, blocked: bool) -> int:
        late = self._late_after(query)
        looks = [query.end]
        looks.extend(at for at in (self._last_call(query), query.aim) if at > self.now)
        if blocked:
            looks.append(self.now + BLOCKED_RETRY)
        looks.extend(a.sent + late for p in query.parts for a in p.live if not a.late)
        return min(looks)

    def _wait_until(self, query: QueryState, at: int) -> None:
        at = max(at, self.now + 1)
        if not self.now < query.timer <= at:
            query.timer = at
            self.out.append(SetTimer(at, query.id))

    # --- outcomes ---

    def _outcome(self, event: Outcome) -> QueryState | None:
        part = self.parts.get(event.part)
        if part is None or event.attempt >= len(part.attempts):
            return None
        attempt = part.attempts[event.attempt]
        if attempt not in part.live:
            return None
        part.live.remove(attempt)
        attempt.call.open -= 1
        if not attempt.call.open:
            attempt.node.calls -= 1
        self._learn(attempt, event)
        query = part.query
        if query.id not in self.queries or part not in query.parts or query.waiting:
            if not part.live:
                del self.parts[event.part]
            return None
        if event.result is Result.OK:
            part.ok = query.proven = True
            for other in part.live:
                self._cancel(other)
        else:
            part.dead = part.dead or event.final
            if all(node.failures or self._cold_wait(node, part) for node in self._replicas(part.shard)):
                # Spread the tries that are left over the time that is left: no other replica takes one now.
                pause = RETRY_PAUSE * query.spec.target * 2.0 ** (len(part.attempts) - 1)
                part.not_before = self.now + int(pause)
            if self.now >= query.aim:  # spread over what is left of the client's time
                tries = max(self.limits.attempts - len(part.attempts), 0) + 1
                part.not_before = max(part.not_before, self.now + (query.end - self.now) // tries)
            attempt.failed = event.result is not Result.TIMEOUT
            if event.result is Result.RESET:
                query.crashes += 1
                self.crash_at = self.now
            # For an unsafe part every earlier try was proved unrun, or this one would not have been sent.
            unsafe = query.spec.effect is Effect.UNSAFE
            if event.result in PROVED_UNRUN and (len(part.attempts) == 1 or unsafe and not part.live):
                part.risky_since = None
        return query

    def _learn(self, attempt: Attempt, event: Outcome) -> None:
        node = attempt.node
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            node.heard = self.now
        elif event.result is Result.CONNECT_FAILED and event.elapsed >= self.limits.connect_timeout:
            self.dial_failed_at = self.now
        if event.result is Result.OK:
            latency = self._typical(attempt.part.query)
            ratio = event.elapsed / latency.mean
            latency.learn(self.now, event.elapsed)
            self.newest = latency
            node.usual_load += SPEED_GAIN * (attempt.calls_before - node.usual_load)
            self._learn_good(node, attempt.part.query.kind, ratio)
        elif event.result in (Result.TIMEOUT, Result.CANCELLED) and attempt.late:
            # No answer tells of a slow node too: guards against taking a jammed only replica for a quick one.
            mean = self._typical(attempt.part.query).mean
            ratio = max(node.speed(self.now), 1 + SPEED_GAIN * (event.elapsed / mean - 1))
            node.ratio, node.ratio_at = ratio, self.now
        elif event.result not in (Result.MOOT, Result.CANCELLED) and not attempt.late:
            self._blame(node, attempt.part.query.kind, event.result.name)

    def _blame(self, node: Node, kind: int, why: str) -> None:
        """One failure or late part more, whatever its cause; if all are late the choice is as before."""
        node.failures += 1
        node.note(self.now, kind, 1.0)
        if node.failures == DISTRUST_AFTER:
            self.out.append(Log(f"distrust {node.name}: {node.failures} failures in a row, last {why}"))

    def _learn_good(self, node: Node, kind: int, ratio: float) -> None:
        now = self.now
        node.ratio, node.ratio_at = node.speed(now) + SPEED_GAIN * (ratio - node.speed(now)), now
        if node.failures >= DISTRUST_AFTER:
            self.out.append(Log(f"trust {node.name} again"))
        node.failures = 0
        node.note(now, kind, 1.0 if ratio >= SLOW_RATIO else 0.0)
