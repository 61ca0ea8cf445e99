"""The end of a query: its final answer, when it is due, and whether the query takes down what it meets."""

from quincepath.interface import Answer, Cancel, Effect, Fail, Refuse, SetTimer
from quincepath.policy.queries import Attempt, QueryState
from quincepath.policy.state import State
from quincepath.policy.tuning import (
    ANSWER_TICKS,
    CRASHES_MOST,
    CULPRIT_MEMORY,
    CULPRITS_MOST,
    RETURN_SHARE,
    SHORT_MEMORY,
)


class Ending(State):
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
        enough = not query.waiting and query.parts and query.weight_in >= query.floor()
        if enough and not self._too_late_for_second(query):
            self._answer(query, False)
            return
        risky = query.step > 1 or any(p.ok or p.risky_since is not None for p in query.parts)
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

    def _wait_until(self, query: QueryState, at: int) -> None:
        at = max(at, self.now + 1)
        if not self.now < query.timer <= at:
            query.timer = at
            self.out.append(SetTimer(at, query.id))

    def _poisoned(self, query: QueryState) -> bool:
        """Whether the query, or one with its key, took down all that it met: it would take down more."""
        # The evidence is the query's, not the nodes': lost connections, and no part in.
        if not query.proven and query.crashes >= (1 if query.repeat else max(CRASHES_MOST, query.sent / 2)):
            self.culprits[query.key] = self.now
            if len(self.culprits) > CULPRITS_MOST:
                del self.culprits[next(iter(self.culprits))]
            return True
        return query.key > 0 and self.now < self.culprits.get(query.key, -CULPRIT_MEMORY) + CULPRIT_MEMORY

    def _must_wait_for_proof(self, query: QueryState) -> bool:
        """Guards against a query that takes down each node that begins a part of it."""
        # After a lost connection nothing more is sent until another part of the query is in; for a while then
        # a client's repeat sends one part ahead. Where nodes die by themselves it costs a part's latency.
        suspect = query.crashes or query.repeat and self.now < self.crash_at + SHORT_MEMORY
        return bool(suspect and not query.proven and query.in_time)
