"""The end of a query: its final answer, when it is due, and whether the query takes down what it meets."""

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
    def _too_late_for_second(self, query: QueryState) -> bool:
        """Whether a second step would be work for an answer that comes after its target."""
        mean = self.latency[query.kind, 2].mean
        return query.step == 1 and query.spec.second_step > 0 and self.now + mean > query.target_at

    def _partial_answer_at(self, query: QueryState) -> int:
        """From then on the best honest answer goes out: part of the worth in time beats all late."""
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
        """The final answer of a query that will not be whole: at once, never held back."""
        enough = not query.awaiting_second_step and query.parts and query.weight_in >= query.floor()
        if enough and not self._too_late_for_second(query):
            self._answer(query, False)
            return
        risky = query.step > 1 or any(p.ok or p.may_have_run_since is not None for p in query.parts)
        if risky and query.spec.effect is not Effect.SAFE:
            self.actions.append(Fail(query.id))  # an effect may exist: no promise
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
        """Call back what is still out; its outcome is still awaited, for the count's sake."""
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
        """Whether the query, or one with its key, took down all that it met: it would take down more."""
        # The evidence is the query's, not the nodes': lost connections, and no part in.
        if not query.has_success and query.lost_connections >= (
            1 if query.repeat else max(LOST_CONNECTIONS_MAX, query.attempts_sent / 2)
        ):
            self.poison_keys[query.key] = self.now
            if len(self.poison_keys) > POISON_KEYS_MAX:
                del self.poison_keys[next(iter(self.poison_keys))]
            return True
        return query.key > 0 and self.now < self.poison_keys.get(query.key, -POISON_KEY_TTL) + POISON_KEY_TTL

    def _must_wait_for_success(self, query: QueryState) -> bool:
        """Guards against a query that takes down each node that begins a part of it."""
        # After a lost connection nothing more is sent until another part of the query is in; for a while then
        # a client's repeat sends one part ahead. Where nodes die by themselves it costs a part's latency.
        suspect = query.lost_connections or query.repeat and self.now < self.connection_lost_at + SIGNAL_TTL
        return bool(suspect and not query.has_success and query.in_time)
