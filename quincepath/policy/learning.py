"""Learning from outcomes: what an ended attempt tells about its part, its query and its node."""

from quincepath.interface import Effect, LateAnswer, Log, Outcome, ReplyPending, Result, RetryDeadline
from quincepath.policy.ending import Ending
from quincepath.policy.members import NodeList
from quincepath.policy.nodes import Node
from quincepath.policy.queries import Attempt, QueryState
from quincepath.policy.tuning import FAILURES_BEFORE_LOG, RETRY_BACKOFF, SLOW_RATIO, SLOWDOWN_GAIN

PROVED_UNRUN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)  # outcomes after which no effect can exist


class Learning(NodeList, Ending):
    """Applies the outcomes of attempts."""

    def _apply_reply_pending(self, event: ReplyPending) -> None:
        """A reply is being checked: its attempt is not late any more."""
        part = self.parts.get(event.part)
        if part is None or event.attempt >= len(part.attempts):
            return
        attempt = part.attempts[event.attempt]
        attempt.reply_pending = True
        part.query.in_time.pop(attempt, None)

    def _apply_retry_deadline(self, event: RetryDeadline) -> QueryState | None:
        """A reply was doubtful: the part is retried soon or not at all."""
        part = self.parts.get(event.part)
        if part is None:
            return None
        part.retry_by, part.not_before = event.at, self.now
        part.query.retry_deadlines.append(event.at)
        return part.query

    def _apply_late_answer(self, event: LateAnswer) -> QueryState | None:
        """The part is answered by an attempt that had timed out: open ones are not needed."""
        part = self.parts.get(event.part)
        if part is None or part.ok:
            return None
        query = part.query
        if query.id not in self.queries or part.step != query.step or query.awaiting_second_step:
            return None
        part.add_to_sums(-1)
        part.ok = query.has_success = True
        for other in part.live:
            self._cancel(other)
        part.add_to_sums(1)
        attempt = part.attempts[event.attempt]
        attempt.node.last_reply_at = self.now
        self._typical(query).learn(self.now, self.now - attempt.sent_at)
        return query

    def _apply_outcome(self, event: Outcome) -> QueryState | None:
        part = self.parts.get(event.part)
        if part is None or event.attempt >= len(part.attempts):
            return None
        attempt = part.attempts[event.attempt]
        if attempt not in part.live:
            return None
        query = part.query
        current = query.id in self.queries and part.step == query.step and not query.awaiting_second_step
        if current:
            part.add_to_sums(-1)
            query.open_attempts -= 1
            query.in_time.pop(attempt, None)
        part.live.remove(attempt)
        attempt.call.open -= 1
        attempt.node.calls -= not attempt.call.open
        self._learn(attempt, event)
        if not current:
            if not part.live:
                del self.parts[event.part]
            return None
        if event.result is Result.OK:
            part.ok = query.has_success = True
            for other in part.live:
                self._cancel(other)
        else:
            part.closed = part.closed or event.final
            if all(
                node.consecutive_failures or self._send_delay(node, part)
                for node in self._replicas(part.shard)
            ):
                # No other replica takes the part now: back off, to spread the remaining attempts over the
                # remaining time.
                backoff = RETRY_BACKOFF * query.spec.target * 2.0 ** (len(part.attempts) - 1)
                part.not_before = self.now + int(backoff)
            if self.now >= query.target_at:  # spread the remaining attempts over the client's remaining time
                remaining = max(self.limits.attempts - len(part.attempts), 0) + 1
                part.not_before = max(part.not_before, self.now + (query.end - self.now) // remaining)
            if part.retry_by is not None:  # a later attempt could follow an answer that the node sent
                part.not_before = self.now
            attempt.failed = event.result is not Result.TIMEOUT
            if event.result is Result.RESET:
                query.lost_connections += 1
                self.connection_lost_at = self.now
            # All earlier attempts at an unsafe part are proved unrun, or this one would not have been sent.
            unsafe = query.spec.effect is Effect.UNSAFE
            if event.result in PROVED_UNRUN and (len(part.attempts) == 1 or unsafe and not part.live):
                part.may_have_run_since = None
        part.add_to_sums(1)
        return query

    def _learn(self, attempt: Attempt, event: Outcome) -> None:
        node, kind, latency = attempt.node, attempt.part.query.kind, self._typical(attempt.part.query)
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            node.last_reply_at = self.now
        elif event.result is Result.CONNECT_FAILED and event.elapsed >= self.limits.connect_timeout:
            self.dial_failed_at = self.now
        if event.result is Result.OK:
            ratio, slowdown = event.elapsed / latency.mean, node.slowdown(self.now)
            latency.learn(self.now, event.elapsed)
            self.last_updated = latency
            node.usual_load += SLOWDOWN_GAIN * (attempt.calls_before - node.usual_load)
            node.ratio, node.ratio_at = slowdown + SLOWDOWN_GAIN * (ratio - slowdown), self.now
            if node.consecutive_failures >= FAILURES_BEFORE_LOG:
                self.actions.append(Log(f"trust {node.name} again"))
            node.consecutive_failures = 0
            node.record_outcome(self.now, kind, 1.0 if ratio >= SLOW_RATIO else 0.0)
        elif event.result in (Result.TIMEOUT, Result.CANCELLED) and attempt.late:
            # A missing answer shows a slow node, too: guards against taking the only replica for a quick one
            # when it is jammed.
            ratio = max(node.slowdown(self.now), 1 + SLOWDOWN_GAIN * (event.elapsed / latency.mean - 1))
            node.ratio, node.ratio_at = ratio, self.now
        elif event.result not in (Result.MOOT, Result.CANCELLED) and not attempt.late:
            self._record_failure(node, kind, event.result.name)

    def _record_failure(self, node: Node, kind: int, why: str) -> None:
        """Count a failed or late part, whatever the cause; if all nodes are late the choice is the same."""
        node.consecutive_failures += 1
        node.record_outcome(self.now, kind, 1.0)
        if node.consecutive_failures == FAILURES_BEFORE_LOG:
            self.actions.append(
                Log(f"distrust {node.name}: {node.consecutive_failures} failures in a row, last {why}")
            )
