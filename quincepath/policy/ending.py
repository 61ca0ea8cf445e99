"""The end of a query: its final answer, when that is due, and detection of poison queries."""

from quincepath.interface import Answer, Cancel, Effect, Fail, Refuse, SetTimer
from quincepath.policy.queries import Attempt, QueryState
from quincepath.policy.state import State
from quincepath.policy.tuning import (
    ANSWER_MARGIN_TICKS,
    LOST_CONNECTIONS_MAX,
    POISON_KEY_TTL,
    POISON_KEYS_MAX,
    RETRY_AFTER_SHARE,
    SIGNAL_TTL,
)


class Ending(State):
    """Answers, refuses or fails queries and removes them."""

    def _too_late_for_second(self, query: QueryState) -> bool:
        """Whether the answer of a second step would come after the target."""
        mean = self.latency[query.kind, 2].mean
        return query.step == 1 and query.spec.second_step > 0 and self.now + mean > query.target_at

    def _partial_answer_at(self, query: QueryState) -> int:
        """When to send a partial answer: part of the worth before the target beats the whole after it."""
        second = self.latency[query.kind, 2].late_after() if query.step == 1 and query.spec.second_step else 0
        return query.target_at - second - ANSWER_MARGIN_TICKS * self.settings.tick

    def _answer(self, query: QueryState, full: bool) -> None:
        query.complete &= full
        self.actions.append(Answer(query.id, query.complete))
        self._drop_parts(query)
        if query.step == 1 and query.spec.second_step:
            query.awaiting_second_step = True
            self._wait_until(query, query.end)
        else:
            self._remove_query(query)

    def _give_up(self, query: QueryState) -> None:
        """End a query that will not be complete; the final answer is sent at once, never held back."""
        enough = not query.awaiting_second_step and query.parts and query.weight_in >= query.floor()
        if enough and not self._too_late_for_second(query):
            self._answer(query, False)
            return
        may_have_run = query.step > 1 or any(p.ok or p.may_have_run_since is not None for p in query.parts)
        if may_have_run and query.spec.effect is not Effect.SAFE:
            self.actions.append(Fail(query.id))  # an effect may exist, so no promise is made
        else:
            advice = min(int(RETRY_AFTER_SHARE * query.spec.target), self.limits.max_retry_after)
            self.actions.append(Refuse(query.id, advice if self.limits.retry_after else 0))
        self._remove_query(query)

    def _remove_query(self, query: QueryState) -> None:
        self._drop_parts(query)
        self.admitted[query.kind] -= not query.awaiting_admission
        del self.queries[query.id]
        if self.by_number.get(query.number) is query:
            del self.by_number[query.number]

    def _drop_parts(self, query: QueryState) -> None:
        """Cancel open attempts. Their outcomes are still awaited, to keep the count of open calls right."""
        for part in query.parts:
            for attempt in part.live:
                self._cancel(attempt)
            if not part.live:
                self.parts.pop(part.id, None)

    def _cancel(self, attempt: Attempt) -> None:
        if self.limits.cancel and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(Cancel(attempt.part.id, attempt.part.attempts.index(attempt)))

    def _wait_until(self, query: QueryState, at: int) -> None:
        at = max(at, self.now + 1)
        if not self.now < query.timer_at <= at:
            query.timer_at = at
            self.actions.append(SetTimer(at, query.id))

    def _poisoned(self, query: QueryState) -> bool:
        """Whether this query, or one with its key, crashed all nodes that it reached and would crash more."""
        # Judged by the query's own attempts, not by the nodes: lost connections, and no part answered.
        if not query.has_success and query.lost_connections >= (
            1 if query.repeat else max(LOST_CONNECTIONS_MAX, query.attempts_sent / 2)
        ):
            self.poison_keys[query.key] = self.now
            if len(self.poison_keys) > POISON_KEYS_MAX:
                del self.poison_keys[next(iter(self.poison_keys))]
            return True
        return query.key > 0 and self.now < self.poison_keys.get(query.key, -POISON_KEY_TTL) + POISON_KEY_TTL

    def _must_wait_for_success(self, query: QueryState) -> bool:
        """Guards against a query that crashes each node that begins a part of it."""
        # After a lost connection nothing more is sent until another part of the query is answered; for some
        # time after it a client's retry sends one part ahead. Where nodes crash for other reasons this costs
        # the latency of one part.
        suspected = query.lost_connections or query.repeat and self.now < self.connection_lost_at + SIGNAL_TTL
        return bool(suspected and not query.has_success and query.in_time)
