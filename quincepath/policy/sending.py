"""Sending: first tries, further tries and second copies, and when to look again."""

from quincepath.interface import Effect, Send
from quincepath.policy.choice import ReplicaChoice
from quincepath.policy.learning import Learning
from quincepath.policy.nodes import Call, Node
from quincepath.policy.queries import Attempt, PartState, QueryState
from quincepath.policy.suspicion import Suspicion
from quincepath.policy.tuning import ANSWER_TICKS, BLOCKED_RETRY, MEMORY_LEAST, MEMORY_MOST, RESEND_PATIENCE
from quincepath.policy.tuning import RESEND_PATIENCE_CROWDED, SPARE_LEAST, SPARE_MOST, SPARE_SHARE
from quincepath.policy.tuning import SPARE_SHARE_CALM, WINDOW_SHARE


class Sending(ReplicaChoice, Learning, Suspicion):
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
        allowed = self.budget.allows(self.now) and self.allowed.allows(self.now)
        if not allowed or overdue and not query.spec.late_worth:
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

    def _may_still_send(self, part: PartState) -> bool:
        if part.dead or len(part.attempts) >= self.limits.attempts or not any(self._replicas(part.shard)):
            return False
        if part.risky_since is None:
            return True
        spec = part.query.spec
        if spec.effect is Effect.KEYED:
            return self.now + ANSWER_TICKS * self.settings.tick < part.risky_since + spec.window
        return spec.effect is Effect.SAFE

    def _memory(self) -> int:
        """How long to remember a node: of many brokers each meets it seldom and would forget in between."""
        self.sends += 1
        self.first_send = self.first_send or self.now
        meeting = (self.now - self.first_send) * self.ready // self.sends
        return min(max(meeting, MEMORY_LEAST), MEMORY_MOST)

    def _send(self, part: PartState, node: Node) -> None:
        if part.attempts:
            self.budget.spend(self.now)
            self.allowed.spend(self.now)
        for other in self._replicas(part.shard):  # their ranks have changed
            self.ranks.pop(other.id, None)
        call = node.call
        if call is None or not self._may_join(node):
            call = node.call = Call(self.now)
            node.calls += 1
        call.parts += 1
        call.open += 1
        node.memory, node.tried_at = self._memory(), self.now
        attempt = Attempt(part, node, call, self.now)
        part.attempts.append(attempt)
        part.live.append(attempt)
        if part.risky_since is None and part.query.spec.effect is not Effect.SAFE:
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
        wait = int(patience * self._late_after(query))
        if query.spec.effect is Effect.KEYED:  # a resend has to go out while repeats are still dropped
            wait = min(wait, int(WINDOW_SHARE * query.spec.window))
        return min(left, wait) if wait >= self._late_after(query) else left  # sound ones are not cut off

    def _next_look(self, query: QueryState, blocked: bool) -> int:
        late = self._late_after(query)
        looks = [query.end]
        looks.extend(at for at in (self._last_call(query), query.aim) if at > self.now)
        if blocked:
            looks.append(self.now + BLOCKED_RETRY)
        looks.extend(a.sent + late for p in query.parts for a in p.live if not a.late)
        return min(looks)
