"""Sending: first tries, further tries and second copies, and when to look again."""

from itertools import islice, takewhile

from quincepath.interface import Effect, Send
from quincepath.policy.choice import ReplicaChoice
from quincepath.policy.learning import Learning
from quincepath.policy.nodes import Call, Node
from quincepath.policy.queries import Attempt, PartState, QueryState
from quincepath.policy.tuning import (
    ANSWER_MARGIN_TICKS,
    BLOCKED_RECHECK,
    DECAY_TIME_MAX,
    DECAY_TIME_MIN,
    EARLY_TIMEOUT_FACTOR,
    EARLY_TIMEOUT_FACTOR_CONGESTED,
    EARLY_TIMEOUT_MIN_TOKENS,
    HEDGE_SHARE,
    HEDGE_SHARE_CONGESTED,
    HEDGE_TOKENS_MAX,
    WINDOW_SHARE,
)


class Sending(ReplicaChoice, Learning):
    def _mark_late(self, query: QueryState) -> None:
        late = self._typical(query).late_after()
        found = list(takewhile(lambda attempt: self.now >= attempt.sent_at + late, query.in_time))
        for attempt in sorted(found, key=lambda attempt: attempt.part.index):
            attempt.part.add_to_sums(-1)
            attempt.late = True
            attempt.part.add_to_sums(1)
            del query.in_time[attempt]
            self._record_failure(attempt.node, query.kind, "LATE")

    def _send_until_covered(self, query: QueryState) -> bool:
        """Send until enough weight is covered; tells whether something had to be held for want of a node."""
        if query.weight_covered < query.need():
            self.ranks, self.candidates, self.stale = {}, [], set(query.unsent)
        while query.weight_covered < query.need():
            if self._must_wait_for_success(query):
                return False
            choice = self._next_first_send(query)
            if choice is None and self._hedges_suffice(query):
                choice = self._next_extra(query)
            if choice is None or not self._charge_hedge(query, choice[0]):
                return True
            self._send(*choice)
        return False

    def _hedges_suffice(self, query: QueryState) -> bool:
        """Copies go out only if the store has enough for all parts that the query lacks."""
        # Guards against spending it on a query of many parts that stays a few short all the same.
        most = int(max(self.hedge_tokens, 1))
        if query.weight_covered + most * query.heaviest < query.need():
            return False
        uncovered = sorted([part.weight for part in query.uncovered.values()], reverse=True)
        return query.weight_covered + sum(uncovered[:most]) >= query.need()

    def _charge_hedge(self, query: QueryState, part: PartState) -> bool:
        """Sends on top of work that goes on come out of a store filled by planned ones: no storms."""
        if query.weight_started < query.need() and all(attempt.failed for attempt in part.attempts):
            share = HEDGE_SHARE_CONGESTED if self._congested(query) else HEDGE_SHARE
            most = max(HEDGE_TOKENS_MAX, HEDGE_SHARE * len(query.parts))
            self.hedge_tokens = max(min(self.hedge_tokens + share, most), self.hedge_tokens)
            return True
        paid = self.hedge_tokens >= 1
        self.hedge_tokens -= paid
        return paid

    def _next_extra(self, query: QueryState) -> tuple[PartState, Node] | None:
        """A further try or second copy, for a part that failed or is late; past the target no copies."""
        # Tries go on past it while a late answer is worth something: guards against holding a query for which
        # nothing more would be sent.
        overdue = self.now >= query.target_at
        allowed = self.budget.allows(self.now) and self.fleet_allowance.allows(self.now)
        if not allowed or overdue and not query.spec.late_worth:
            return None
        copies = self.limits.duplicate and query.spec.effect is Effect.SAFE and not overdue
        for _, part in sorted(query.uncovered.items()):
            open_now = part.attempts and (copies or not part.live) and self.now >= part.not_before
            if not open_now or not self._may_still_send(part):
                continue
            found = self._best_replica(part)
            if found and all(found[0][0] <= a.node.load(self.now, query.kind) for a in part.live):
                return part, found[1]
        return None

    def _may_still_send(self, part: PartState) -> bool:
        if part.closed or len(part.attempts) >= self.limits.attempts or not any(self._replicas(part.shard)):
            return False
        spec, by = part.query.spec, self.now + ANSWER_MARGIN_TICKS * self.settings.tick
        return (
            part.may_have_run_since is None
            or spec.effect is Effect.KEYED
            and by < part.may_have_run_since + spec.window
        )

    def _send(self, part: PartState, node: Node) -> None:
        query, cells = part.query, self.settings.cells
        if part.attempts:
            self.budget.spend(self.now)
            self.fleet_allowance.spend(self.now)
        else:
            query.unsent[part.shard % cells].pop(0)
            if not query.unsent[part.shard % cells]:
                del query.unsent[part.shard % cells]
        for other in self._replicas(part.shard):  # their ranks have changed, and the choice of who shares one
            self.ranks.pop(other.id, None)
        reach = min(self.settings.reach, cells)
        self.stale.update((part.shard + j) % cells for j in range(1 - reach, reach))
        part.add_to_sums(-1)
        if not self._may_join(node):
            node.call = Call(self.now)
            node.calls += 1
        node.call.parts += 1
        node.call.open += 1
        # How long to remember a node: of many brokers each meets it seldom and would forget in between.
        self.sends += 1
        self.first_sent_at = self.first_sent_at or self.now
        meeting = (self.now - self.first_sent_at) * self.ready_count // self.sends
        node.decay_time, node.last_sent_at = min(max(meeting, DECAY_TIME_MIN), DECAY_TIME_MAX), self.now
        attempt = Attempt(part, node, node.call, self.now)
        part.attempts.append(attempt)
        part.live.append(attempt)
        query.in_time[attempt] = None
        query.attempts_sent += 1
        query.open_attempts += 1
        part.add_to_sums(1)
        if part.may_have_run_since is None and query.spec.effect is not Effect.SAFE:
            part.may_have_run_since = self.now
        node.tokens -= 1
        self.actions.append(Send(part.id, node.id, self._timeout(part)))

    def _timeout(self, part: PartState) -> int:
        """Where a second copy is allowed, wait to the end; else give up in time for another try."""
        query = part.query
        left = max(
            (query.end if query.spec.late_worth > 0 else min(query.end, query.target_at)) - self.now, 1
        )
        resendable = query.spec.effect is not Effect.UNSAFE and len(part.attempts) < self.limits.attempts
        if (
            self.limits.duplicate
            or not resendable
            or self.now >= query.target_at
            or self.hedge_tokens < EARLY_TIMEOUT_MIN_TOKENS
        ):
            return left
        patience = EARLY_TIMEOUT_FACTOR_CONGESTED if self._congested(query) else EARLY_TIMEOUT_FACTOR
        late = self._typical(query).late_after()
        wait = int(patience * late)
        if query.spec.effect is Effect.KEYED:  # a resend has to go out while repeats are still dropped
            wait = min(wait, int(WINDOW_SHARE * query.spec.window))
        return min(left, wait) if wait >= late else left  # sound ones are not cut off

    def _next_wakeup(self, query: QueryState, blocked: bool) -> int:
        looks = [
            query.end,
            *(at for at in (self._partial_answer_at(query), query.target_at) if at > self.now),
        ]
        looks.extend(
            attempt.sent_at + self._typical(query).late_after() for attempt in islice(query.in_time, 1)
        )
        if blocked:
            looks.append(self.now + BLOCKED_RECHECK)
        return min(looks)
