"""Takes in the events of one moment and decides once for each query that they touch."""

from collections.abc import Iterable

from quincepath.interface import (
    Action,
    Allowance,
    Event,
    LateAnswer,
    Left,
    Members,
    Outcome,
    Part,
    Query,
    QueryClass,
    ReplyPending,
    RetryDeadline,
    TimerFired,
    Watch,
)
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.sending import Sending
from quincepath.policy.tuning import ANSWER_MARGIN_TICKS, LIST_TOKEN, SIGNAL_TTL


class Aggregator(Sending):
    """Decides for one broker: ``handle`` takes the events of one moment and returns the actions."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Apply all events first, then decide once for each query that they touch."""
        self.now, self.actions = now, []
        touched = [self._apply_event(event) for event in events]
        for query in dict.fromkeys(touched):
            if query is not None and query.id in self.queries:
                self._advance(query)
        return self.actions

    def _apply_event(self, event: Event) -> QueryState | None:
        match event:
            case Outcome():
                return self._apply_outcome(event)
            case TimerFired(token):
                if token == LIST_TOKEN:
                    self.actions.append(Watch(True))
                return self.queries.get(token)
            case Query():
                return self._accept(event)
            case Part():
                return self._add_part(event)
            case Left(request_id):
                if request_id in self.queries:
                    self._remove_query(self.queries[request_id])
                elif request_id in self.parts:  # nothing more is sent for its query, but it is answered
                    query = self.parts[request_id].query
                    query.unsent.clear()
                    for part in query.parts:
                        part.closed = True
                    return self.queries.get(query.id)
            case Members():
                self._apply_members(event)
            case Allowance():
                self.fleet_allowance.update(self.now, event)
            case ReplyPending():
                self._apply_reply_pending(event)
            case RetryDeadline():
                return self._apply_retry_deadline(event)
            case LateAnswer():
                return self._apply_late_answer(event)
        return None

    def _accept(self, event: Query) -> QueryState:
        self.budget.record_accepted(self.now)
        spec = self.settings.classes[event.kind]
        end = self.now + max(event.time_left - ANSWER_MARGIN_TICKS * self.settings.tick, 0)
        query = QueryState(event, spec, self._target_at(event, spec), end)
        query.short_timeout = self._has_short_timeout(event)
        self.queries[query.id] = self.by_number[query.number] = query
        return query

    def _target_at(self, event: Query, spec: QueryClass) -> int:
        """When the client wants its answer; counted from its first request, also for a retry."""
        # A retry with less time than the longest timeout has what is left of its client's deadline, so its
        # age is known. Not so while first requests come with less, too: then clients use short timeouts.
        longest = self.longest_timeout[event.kind] = max(
            self.longest_timeout.get(event.kind, 0), event.time_left
        )
        short = event.time_left < longest - ANSWER_MARGIN_TICKS * self.settings.tick
        self.short_timeout_at = self.now if short and not event.repeat else self.short_timeout_at
        shows_age = short and self.now > self.short_timeout_at + SIGNAL_TTL
        return self.now + spec.target - (max(spec.deadline - event.time_left, 0) if shows_age else 0)

    def _has_short_timeout(self, event: Query) -> bool:
        """Whether the client gives less time than its class's target while others do not: it leaves soon."""
        if event.time_left >= self.settings.classes[event.kind].target:
            self.full_timeout_at[event.kind] = self.now
        return self.now > self.full_timeout_at.get(event.kind, -SIGNAL_TTL) >= self.now - SIGNAL_TTL

    def _add_part(self, event: Part) -> QueryState | None:
        self.budget.record_accepted(self.now)
        query = self.by_number.get(event.number)
        if query is None:
            return None
        if query.awaiting_second_step:
            query.begin_step(2)
        part = self.parts[event.id] = PartState(query, event)
        query.parts.append(part)
        query.unsent.setdefault(part.shard % self.settings.cells, []).append(part)
        part.add_to_sums(1)
        query.heaviest = max(query.heaviest, part.weight)
        return query

    def _advance(self, query: QueryState) -> None:
        """Decide all that can be decided for one query now."""
        if query.awaiting_second_step and self.now < query.end:
            self._wait_until(query, query.end)  # a query whose second step never comes must still be ended
            return
        weight = query.weight_in if query.parts and not query.awaiting_second_step else -1.0
        if weight >= query.need() and not self._too_late_for_second(query):
            self._answer(query, True)
        elif weight >= query.need() or weight >= query.floor() and self.now >= self._partial_answer_at(query):
            self._give_up(query)
        elif self.now >= query.end or self._poisoned(query) or not self._can_finish(query):
            self._give_up(query)
        elif (
            query.awaiting_admission
            and not self._is_admission_probe(query)
            and self._expected_too_late(query)
        ):
            self._record_refusal()
            self._give_up(query)
        else:
            self.admitted[query.kind] += query.awaiting_admission
            query.awaiting_admission = False
            self._log_overload_end()
            self._mark_late(query)
            blocked = self._send_until_covered(query)
            self._wait_until(query, self._next_wakeup(query, blocked))

    def _is_admission_probe(self, query: QueryState) -> bool:
        """Whether a first request is admitted regardless: no query of its class is open to learn from."""
        # Guards against refusing a class for ever on outdated latencies, after a stall of this broker or an
        # overload. A query with a short timeout ends before anything is learned from it: guards against every
        # broker sending nearly all of those in vain.
        return not (self.admitted[query.kind] or query.repeat or query.short_timeout)

    def _can_finish(self, query: QueryState) -> bool:
        """Whether enough weight is answered, open or may still be sent.

        The floor is enough while attempts are open.
        """
        reachable = query.weight_active
        if reachable < query.need():
            reachable += sum(
                p.weight for p in query.uncovered.values() if not p.live and self._may_still_send(p)
            )
        if reachable < query.need() and (reachable < query.floor() or not query.open_attempts):
            return False
        return self.now < query.target_at or query.spec.late_worth > 0
