"""Sending: first tries, further tries and second copies, and when to look again."""

from itertools import islice, takewhile

from quincepath.interface import Effect, Send
from quincepath.policy.choice import ReplicaChoice
from quincepath.policy.learning import Learning
from quincepath.policy.nodes import Call, Node
from quincepath.policy.queries import Attempt, PartState, QueryState
from quincepath.policy.tuning import (
    ANSWER_TICKS,
    BLOCKED_RETRY,
    MEMORY_LEAST,
    MEMORY_MOST,
    RESEND_PATIENCE,
    RESEND_PATIENCE_CROWDED,
    SPARE_LEAST,
    SPARE_MOST,
    SPARE_SHARE,
    SPARE_SHARE_CALM,
    WINDOW_SHARE,
)


class Sending(ReplicaChoice, Learning):
    def _mark_late(self, query: QueryState) -> None:
        late = self._typical(query).late_after()
        found = list(takewhile(lambda attempt: self.now >= attempt.sent + late, query.in_time))
        for attempt in sorted(found, key=lambda attempt: attempt.part.index):
            attempt.part.count(-1)
            attempt.late = True
            attempt.part.count(1)
            del query.in_time[attempt]
            self._blame(attempt.node, query.kind, "LATE")

    def _top_up(self, query: QueryState) -> bool:
        """Send until enough weight is covered; tells whether something had to be held for want of a node."""
        if query.covered < query.need():
            self.ranks, self.candidates, self.stale = {}, [], set(query.unsent)
        while query.covered < query.need():
            if self._must_wait_for_proof(query):
                return False
            choice = self._next_first_send(query)
            if choice is None and self._spare_completes(query):
                choice = self._next_extra(query)
            if choice is None or not self._pay(query, choice[0]):
                return True
            self._send(*choice)
        return False

    def _spare_completes(self, query: QueryState) -> bool:
        """Copies go out only if the store has enough for all parts that the query lacks."""
        # Guards against spending it on a query of many parts that stays a few short all the same.
        most = int(max(self.spare, 1))
        if query.covered + most * query.heaviest < query.need():
            return False
        lacking = sorted([part.weight for part in query.lacking.values()], reverse=True)
        return query.covered + sum(lacking[:most]) >= query.need()

    def _pay(self, query: QueryState, part: PartState) -> bool:
        """Sends on top of work that goes on come out of a store filled by planned ones: no storms."""
        if query.started < query.need() and all(attempt.failed for attempt in part.attempts):
            share = SPARE_SHARE if self._crowded(query) else SPARE_SHARE_CALM
            most = max(SPARE_MOST, SPARE_SHARE_CALM * len(query.parts))
            self.spare = max(min(self.spare + share, most), self.spare)
            return True
        paid = self.spare >= 1
        self.spare -= paid
        return paid

    def _next_extra(self, query: QueryState) -> tuple[PartState, Node] | None:
        """A further try or second copy, for a part that failed or is late; past the target no copies."""
        # Tries go on past it while a late answer is worth something: guards against holding a query for which
        # nothing more would be sent.
        overdue = self.now >= query.aim
        allowed = self.budget.allows(self.now) and self.allowed.allows(self.now)
        if not allowed or overdue and not query.spec.late_worth:
            return None
        copies = self.limits.duplicate and query.spec.effect is Effect.SAFE and not overdue
        for _, part in sorted(query.lacking.items()):
            open_now = part.attempts and (copies or not part.live) and self.now >= part.not_before
            if not open_now or not self._may_still_send(part):
                continue
            found = self._best_replica(part)
            if found and all(found[0][0] <= a.node.load(self.now, query.kind) for a in part.live):
                return part, found[1]
        return None

    def _may_still_send(self, part: PartState) -> bool:
        if part.dead or len(part.attempts) >= self.limits.attempts or not any(self._replicas(part.shard)):
            return False
        spec, by = part.query.spec, self.now + ANSWER_TICKS * self.settings.tick
        return part.risky_since is None or spec.effect is Effect.KEYED and by < part.risky_since + spec.window

    def _send(self, part: PartState, node: Node) -> None:
        query, cells = part.query, self.settings.cells
        if part.attempts:
            self.budget.spend(self.now)
            self.allowed.spend(self.now)
        else:
            query.unsent[part.shard % cells].pop(0)
            if not query.unsent[part.shard % cells]:
                del query.unsent[part.shard % cells]
        for other in self._replicas(part.shard):  # their ranks have changed, and the choice of who shares one
            self.ranks.pop(other.id, None)
        reach = min(self.settings.reach, cells)
        self.stale.update((part.shard + j) % cells for j in range(1 - reach, reach))
        part.count(-1)
        if not self._may_join(node):
            node.call = Call(self.now)
            node.calls += 1
        node.call.parts += 1
        node.call.open += 1
        # How long to remember a node: of many brokers each meets it seldom and would forget in between.
        self.sends += 1
        self.first_send = self.first_send or self.now
        meeting = (self.now - self.first_send) * self.ready // self.sends
        node.memory, node.tried_at = min(max(meeting, MEMORY_LEAST), MEMORY_MOST), self.now
        attempt = Attempt(part, node, node.call, self.now)
        part.attempts.append(attempt)
        part.live.append(attempt)
        query.in_time[attempt] = None
        query.sent += 1
        query.out += 1
        part.count(1)
        if part.risky_since is None and query.spec.effect is not Effect.SAFE:
            part.risky_since = self.now
        node.tokens -= 1
        self.out.append(Send(part.id, node.id, self._timeout(part)))

    def _timeout(self, part: PartState) -> int:
        """Where a second copy is allowed, wait to the end; else give up in time for another try."""
        query = part.query
        left = max((query.end if query.spec.late_worth > 0 else min(query.end, query.aim)) - self.now, 1)
        resendable = query.spec.effect is not Effect.UNSAFE and len(part.attempts) < self.limits.attempts
        if self.limits.duplicate or not resendable or self.now >= query.aim or self.spare < SPARE_LEAST:
            return left
        patience = RESEND_PATIENCE_CROWDED if self._crowded(query) else RESEND_PATIENCE
        late = self._typical(query).late_after()
        wait = int(patience * late)
        if query.spec.effect is Effect.KEYED:  # a resend has to go out while repeats are still dropped
            wait = min(wait, int(WINDOW_SHARE * query.spec.window))
        return min(left, wait) if wait >= late else left  # sound ones are not cut off

    def _next_look(self, query: QueryState, blocked: bool) -> int:
        looks = [query.end, *(at for at in (self._last_call(query), query.aim) if at > self.now)]
        looks.extend(attempt.sent + self._typical(query).late_after() for attempt in islice(query.in_time, 1))
        if blocked:
            looks.append(self.now + BLOCKED_RETRY)
        return min(looks)
