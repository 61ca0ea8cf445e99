"""Sending: first attempts, retries and hedges, and when to check a query again."""

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
    """Sends the parts of admitted queries."""

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
        """Send until enough weight is covered; returns whether a part lacks a node or token."""
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
        """Whether the hedge tokens suffice for all parts that the query still needs."""
        # Guards against spending them on a query of many parts that stays incomplete all the same.
        affordable = int(max(self.hedge_tokens, 1))
        if query.weight_covered + affordable * query.heaviest < query.need():
            return False
        uncovered = sorted([part.weight for part in query.uncovered.values()], reverse=True)
        return query.weight_covered + sum(uncovered[:affordable]) >= query.need()

    def _charge_hedge(self, query: QueryState, part: PartState) -> bool:
        """Whether the part may be sent: a send on top of work in progress takes a hedge token.

        Planned sends earn the tokens, so hedges cannot multiply into a retry storm.
        """
        if query.weight_started < query.need() and all(attempt.failed for attempt in part.attempts):
            share = HEDGE_SHARE_CONGESTED if self._congested(query) else HEDGE_SHARE
            limit = max(HEDGE_TOKENS_MAX, HEDGE_SHARE * len(query.parts))
            self.hedge_tokens = max(min(self.hedge_tokens + share, limit), self.hedge_tokens)
            return True
        has_token = self.hedge_tokens >= 1
        self.hedge_tokens -= has_token
        return has_token

    def _next_extra(self, query: QueryState) -> tuple[PartState, Node] | None:
        """A retry of a failed part or a hedge of a late one; no hedges after the target time."""
        # Retries go on after it while a late answer is worth something: guards against holding a query for
        # which nothing more would be sent.
        overdue = self.now >= query.target_at
        allowed = self.budget.allows(self.now) and self.fleet_allowance.allows(self.now)
        if not allowed or overdue and not query.spec.late_worth:
            return None
        may_hedge = self.limits.duplicate and query.spec.effect is Effect.SAFE and not overdue
        for _, part in sorted(query.uncovered.items()):
            eligible = part.attempts and (may_hedge or not part.live) and self.now >= part.not_before
            if not eligible or part.awaits_reply_check() or not self._may_still_send(part):
                continue
            found = self._best_replica(part)
            if found and all(found[0][0] <= a.node.load(self.now, query.kind) for a in part.live):
                return part, found[1]
        return None

    def _may_still_send(self, part: PartState) -> bool:
        """Whether a further attempt is allowed; of a part with effects only if unrun or inside its window."""
        if part.closed or len(part.attempts) >= self.limits.attempts or not any(self._replicas(part.shard)):
            return False
        if part.retry_by is not None and self.now > part.retry_by:
            return False
        spec, leaves_by = part.query.spec, self.now + ANSWER_MARGIN_TICKS * self.settings.tick
        return (
            part.may_have_run_since is None
            or spec.effect is Effect.KEYED
            and leaves_by < part.may_have_run_since + spec.window
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
        # The ranks of these nodes change, and so does the choice of all parts that share one of them.
        for other in self._replicas(part.shard):
            self.ranks.pop(other.id, None)
        reach = min(self.settings.reach, cells)
        self.stale.update((part.shard + j) % cells for j in range(1 - reach, reach))
        part.add_to_sums(-1)
        if not self._may_join(node):
            node.call = Call(self.now)
            node.calls += 1
        node.call.parts += 1
        node.call.open += 1
        # A node's decay time: with many brokers each one sends to a node seldom and would forget in between.
        self.sends += 1
        self.first_sent_at = self.first_sent_at or self.now
        send_interval = (self.now - self.first_sent_at) * self.ready_count // self.sends
        node.decay_time, node.last_sent_at = min(max(send_interval, DECAY_TIME_MIN), DECAY_TIME_MAX), self.now
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
        """Timeout of an attempt: the time left where a hedge is allowed, else early enough for a retry."""
        query = part.query
        remaining = max(
            (query.end if query.spec.late_worth > 0 else min(query.end, query.target_at)) - self.now, 1
        )
        may_retry = query.spec.effect is not Effect.UNSAFE and len(part.attempts) < self.limits.attempts
        may_retry = may_retry and part.retry_by is None  # it would have passed when this attempt timed out
        if (
            self.limits.duplicate
            or not may_retry
            or self.now >= query.target_at
            or self.hedge_tokens < EARLY_TIMEOUT_MIN_TOKENS
        ):
            return remaining
        factor = EARLY_TIMEOUT_FACTOR_CONGESTED if self._congested(query) else EARLY_TIMEOUT_FACTOR
        late = self._typical(query).late_after()
        wait = int(factor * late)
        if query.spec.effect is Effect.KEYED:  # a retry has to be sent while duplicates are still dropped
            wait = min(wait, int(WINDOW_SHARE * query.spec.window))
        return min(remaining, wait) if wait >= late else remaining  # healthy attempts are not cut off

    def _next_wakeup(self, query: QueryState, blocked: bool) -> int:
        times = [
            query.end,
            *(at for at in (self._partial_answer_at(query), query.target_at) if at > self.now),
        ]
        times.extend(
            attempt.sent_at + self._typical(query).late_after() for attempt in islice(query.in_time, 1)
        )
        if blocked:
            times.append(self.now + BLOCKED_RECHECK)
            # A query that no attempt can complete any more is given up at once.
            times.extend(at + 1 for at in query.retry_deadlines if at >= self.now)
        return min(times)
