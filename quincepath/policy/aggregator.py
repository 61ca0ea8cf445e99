"""The events of a moment taken in, and one decision for each query that they touch."""

from collections.abc import Iterable

from quincepath.interface import (
    Action,
    Allowance,
    Event,
    Left,
    Members,
    Outcome,
    Part,
    Query,
    QueryClass,
    TimerFired,
    Watch,
)
from quincepath.policy.queries import PartState, QueryState
from quincepath.policy.sending import Sending
from quincepath.policy.tuning import ANSWER_TICKS, LIST_TOKEN, SHORT_MEMORY


class Aggregator(Sending):
    """One broker's decisions: ``handle`` takes the events of a moment and returns the actions for it."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in all events first, then decide once for each query that they touch."""
        self.now, self.out = now, []
        touched = [self._take_in(event) for event in events]
        for query in dict.fromkeys(touched):
            if query is not None and query.id in self.queries:
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
                    query = self.parts[rid].query
                    query.unsent.clear()
                    for part in query.parts:
                        part.dead = True
                    return self.queries.get(query.id)
            case Members():
                self._members(event)
            case Allowance():
                self.allowed.tell(self.now, event)
        return None

    def _accept(self, event: Query) -> QueryState:
        self.budget.take(self.now)
        spec = self.settings.classes[event.kind]
        end = self.now + max(event.time_left - ANSWER_TICKS * self.settings.tick, 0)
        query = QueryState(event, spec, self._aim(event, spec), end)
        query.hasty = self._hasty(event)
        self.queries[query.id] = self.by_number[query.number] = query
        return query

    def _aim(self, event: Query, spec: QueryClass) -> int:
        """When the client wants its answer: counted from its first try, which a repeat may be long past."""
        # A repeat with less time than a full try has what its deadline leaves, and so tells its age; but not
        # while first tries come short, too: then the client's patience is short.
        full = self.full_try[event.kind] = max(self.full_try.get(event.kind, 0), event.time_left)
        short = event.time_left < full - ANSWER_TICKS * self.settings.tick
        self.short_at = self.now if short and not event.repeat else self.short_at
        tells = short and self.now > self.short_at + SHORT_MEMORY
        return self.now + spec.target - (max(spec.deadline - event.time_left, 0) if tells else 0)

    def _hasty(self, event: Query) -> bool:
        """Whether a client gives less time than its class's target, as others do not now: it is soon gone."""
        if event.time_left >= self.settings.classes[event.kind].target:
            self.full_at[event.kind] = self.now
        return self.now > self.full_at.get(event.kind, -SHORT_MEMORY) >= self.now - SHORT_MEMORY

    def _add_part(self, event: Part) -> QueryState | None:
        self.budget.take(self.now)
        query = self.by_number.get(event.number)
        if query is None:
            return None
        if query.waiting:
            query.begin_step(2)
        part = self.parts[event.id] = PartState(query, event)
        query.parts.append(part)
        query.unsent.setdefault(part.shard % self.settings.cells, []).append(part)
        part.count(1)
        query.heaviest = max(query.heaviest, part.weight)
        return query

    def _advance(self, query: QueryState) -> None:
        """Decide all that can be decided for one query now."""
        if query.waiting and self.now < query.end:  # a second step that never comes must still be ended
            self._wait_until(query, query.end)
            return
        weight = query.weight_in if query.parts and not query.waiting else -1.0
        if weight >= query.need() and not self._too_late_for_second(query):
            self._answer(query, True)
        elif weight >= query.need() or weight >= query.floor() and self.now >= self._last_call(query):
            self._give_up(query)
        elif self.now >= query.end or self._poisoned(query) or not self._can_finish(query):
            self._give_up(query)
        elif query.fresh and not self._is_trial(query) and self._hopeless(query):
            self._note_refusal()
            self._give_up(query)
        else:
            self.tried[query.kind] += query.fresh
            query.fresh = False
            self._note_calm()
            self._mark_late(query)
            blocked = self._top_up(query)
            self._wait_until(query, self._next_look(query, blocked))

    def _is_trial(self, query: QueryState) -> bool:
        """Whether a first try is sent whatever was seen: none of its class is open, with news on its way."""
        # Guards against refusing a class for ever on old news, after a stall of this broker or an overload.
        # A hasty try ends before its news: guards against each broker's sending nearly all of those in vain.
        return not (self.tried[query.kind] or query.repeat or query.hasty)

    def _can_finish(self, query: QueryState) -> bool:
        """Whether enough weight is in, out, or may still be sent; for a part of the worth, in or out."""
        left = query.held
        if left < query.need():
            left += sum(p.weight for p in query.lacking.values() if not p.live and self._may_still_send(p))
        if left < query.need() and (left < query.floor() or not query.out):
            return False
        return self.now < query.aim or query.spec.late_worth > 0
