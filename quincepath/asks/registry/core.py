"""The book itself: which tries wait for which ask, and which answers are remembered."""

import heapq
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import Generic

from quincepath.asks.registry.types import (
    Begin,
    Conflict,
    Decision,
    Deliver,
    DropAsk,
    Join,
    MatchKind,
    R,
    RegistryLimits,
    ReplayAnswer,
    Restart,
    TooManyTries,
    Try,
    TryExpired,
)


@dataclass(slots=True)
class _Waiting:
    deadline: int
    kind: MatchKind
    name: str
    restarted: bool = False


@dataclass(slots=True)
class _Ask(Generic[R]):
    id: int
    scope: str
    digest: bytes
    began: int
    deadline: int  # of the try that it runs for
    keys: list[tuple[str, str]] = field(default_factory=list)
    keyed: bool = False
    waiting: dict[int, _Waiting] = field(default_factory=dict)
    orphaned: int | None = None  # since when nobody waits for it
    reply: R | None = None
    size: int = 0
    until: int = 0


class AskRegistry(Generic[R]):
    """One a broker. ``R`` is a reply as the edge has it: kept, never looked into."""

    def __init__(self, limits: RegistryLimits) -> None:
        self.limits = limits
        self.counts: Counter[str] = Counter()
        self.remembers = True  # not while memory is short
        self.bytes = 0
        self._ids = 0
        self._asks: dict[int, _Ask[R]] = {}  # running
        self._answered: OrderedDict[int, _Ask[R]] = OrderedDict()  # remembered, oldest first
        self._keys: dict[tuple[str, str], _Ask[R]] = {}
        self._flights: dict[tuple[str, bytes], _Ask[R]] = {}
        self._handles: dict[int, _Ask[R]] = {}
        self._dues: list[tuple[int, int, int]] = []  # when, number in the order of making, handle or -ask
        self._made = 0

    # --- what is open ---

    def running(self) -> int:
        """Asks that the driver has."""
        return len(self._asks)

    def waiting(self) -> int:
        """Tries that are owed an answer."""
        return len(self._handles)

    def remembered(self) -> int:
        """Answers that are kept."""
        return len(self._answered)

    def next_ask(self) -> int:
        """The number that the next ask gets."""
        return self._ids + 1

    def next_due(self) -> int | None:
        """When ``expire`` must be called at the latest."""
        return self._dues[0][0] if self._dues else None

    # --- tries ---

    def find(self, now: int, attempt: Try) -> int | None:
        """The ask, running or remembered, that this try belongs to, if there is one; nothing changes."""
        found = self._belongs(now, attempt)
        return found[0].id if isinstance(found, tuple) else None

    def arrive(self, now: int, attempt: Try) -> "Decision[R]":
        """A request came in. After ``Begin`` and ``Join`` the try is owed an answer."""
        self._forget(now)
        found = self._belongs(now, attempt)
        if isinstance(found, Conflict):
            self.counts["conflict"] += 1
            return found
        if found is None:
            return Begin(self._begin(now, attempt).id)
        ask, kind = found
        if ask.reply is not None:
            self.counts[MatchKind.REPLAYED.value] += 1
            return ReplayAnswer(ask.id, ask.reply)
        if len(ask.waiting) >= self.limits.most_tries:
            self.counts["crowded"] += 1
            return TooManyTries()
        self.counts[kind.value] += 1
        if ask.orphaned is not None:
            ask.orphaned = None
            self.counts["rescued"] += 1
        self._name(ask, attempt)
        self._wait(ask, attempt.handle, _Waiting(attempt.deadline, kind, attempt.name))
        self._due(attempt.deadline - self.limits.reserve, attempt.handle)
        return Join(ask.id, kind)

    def _belongs(self, now: int, attempt: Try) -> "tuple[_Ask[R], MatchKind] | Conflict | None":
        for key, strict in self._names(attempt):
            ask = self._keys.get(key)
            if ask is None or (ask.reply is not None and ask.until <= now):
                continue
            if ask.digest != attempt.digest:
                if strict:
                    return Conflict()
                continue  # an id that is used twice: two asks
            if attempt.client_key is None and now > ask.began + attempt.retry_window:
                continue
            return ask, MatchKind.RETRY
        if attempt.shared:
            ask = self._flights.get((attempt.scope, attempt.digest))
            if ask is not None:
                return ask, MatchKind.EQUAL
        return None

    @staticmethod
    def _names(attempt: Try) -> list[tuple[tuple[str, str], bool]]:
        """The keys under which a try is known."""
        names = []
        if attempt.client_key is not None:
            names.append(
                ((attempt.client_key.scope, f"key {attempt.client_key.key}"), attempt.client_key.strict)
            )
        elif attempt.retry_window:
            names.append(((attempt.scope, f"body {attempt.digest.hex()}"), False))
        return names

    def _begin(self, now: int, attempt: Try) -> _Ask[R]:
        self._ids += 1
        ask: _Ask[R] = _Ask(self._ids, attempt.scope, attempt.digest, now, attempt.deadline)
        self._asks[ask.id] = ask
        self._name(ask, attempt)
        if attempt.shared:
            self._flights.setdefault((attempt.scope, attempt.digest), ask)
        self.counts[MatchKind.BEGAN.value] += 1
        self._wait(ask, attempt.handle, _Waiting(attempt.deadline, MatchKind.BEGAN, attempt.name))
        return ask

    def _name(self, ask: _Ask[R], attempt: Try) -> None:
        """From now on tries with this one's key belong to the ask, a stranger's own retries among them."""
        for key, _ in self._names(attempt):
            old = self._keys.get(key)
            if old is not None and old.reply is not None and old is not ask:
                self._drop_answer(old)
            if len(ask.keys) < self.limits.most_tries and self._keys.setdefault(key, ask) is ask:
                if key not in ask.keys:
                    ask.keys.append(key)
                ask.keyed = ask.keyed or attempt.client_key is not None

    def _wait(self, ask: _Ask[R], handle: int, waiting: _Waiting) -> None:
        ask.waiting[handle] = waiting
        self._handles[handle] = ask

    def client_left(self, now: int, handle: int) -> DropAsk | None:
        """The client of a try has gone. ``Drop``: so has the last of its ask, and no retry is waited for."""
        ask = self._handles.pop(handle, None)
        if ask is None:
            return None
        del ask.waiting[handle]
        if ask.waiting:
            return None
        if ask.keyed and self.limits.linger:
            ask.orphaned = now
            self._due(now + self.limits.linger, -ask.id)
            return None
        return self._abandon(ask)

    def _abandon(self, ask: _Ask[R]) -> DropAsk:
        self.counts["dropped"] += 1
        self._end(ask)
        return DropAsk(ask.id)

    # --- time ---

    def expire(self, now: int) -> list[TryExpired | DropAsk]:
        """Tries and orphaned asks whose time is up by now; in the order of their times."""
        found: list[TryExpired | DropAsk] = []
        while self._dues and self._dues[0][0] <= now:
            _, _, what = heapq.heappop(self._dues)
            if what > 0:
                ask = self._handles.get(what)
                if ask is not None and ask.waiting[what].kind is not MatchKind.BEGAN:
                    del self._handles[what], ask.waiting[what]
                    self.counts["time up alone"] += 1
                    found.append(TryExpired(what))
                    if not ask.waiting:
                        found.append(self._abandon(ask))
            else:
                ask = self._asks.get(-what)
                if ask is not None and ask.orphaned is not None and now >= ask.orphaned + self.limits.linger:
                    found.append(self._abandon(ask))
        self._forget(now)
        return found

    def _due(self, when: int, what: int) -> None:
        self._made += 1
        heapq.heappush(self._dues, (when, self._made, what))

    # --- endings ---

    def finish(self, now: int, ask_id: int, reply: R, size: int, answered: bool) -> list[Deliver | Restart]:
        """The driver ended an ask: who gets the reply."""
        ask = self._asks.get(ask_id)
        if ask is None:
            return []
        self._end(ask)
        orders: list[Deliver | Restart] = []
        again: list[tuple[int, _Waiting]] = []
        for handle, waiting in ask.waiting.items():
            del self._handles[handle]
            # Refused or failed for want of time: that is no ending for one that has more of it.
            longer = waiting.deadline > ask.deadline + self.limits.reserve
            if not answered and waiting.kind is MatchKind.EQUAL and longer and not waiting.restarted:
                again.append((handle, waiting))
            else:
                orders.append(Deliver(handle, waiting.kind))
        if again:
            orders.append(self._restart(now, ask, again))
        if answered and ask.keyed:
            self._remember(now, ask, reply, size)
        return orders

    def _restart(self, now: int, old: _Ask[R], again: list[tuple[int, _Waiting]]) -> Restart:
        """One more run for strangers: the one with the most time leads, the others wait with it."""
        lead = max(again, key=lambda one: (one[1].deadline, -one[0]))
        self._ids += 1
        ask: _Ask[R] = _Ask(self._ids, old.scope, old.digest, now, lead[1].deadline)
        self._asks[ask.id] = ask
        ask.keys, ask.keyed = old.keys, old.keyed
        self._keys.update(dict.fromkeys(ask.keys, ask))
        self._flights.setdefault((old.scope, old.digest), ask)
        for handle, waiting in again:
            leads = handle == lead[0]
            kind = MatchKind.BEGAN if leads else MatchKind.EQUAL
            self._wait(ask, handle, _Waiting(waiting.deadline, kind, waiting.name, True))
            if not leads:
                self._due(waiting.deadline - self.limits.reserve, handle)
        self.counts["restarted"] += 1
        return Restart(lead[0], ask.id, lead[1].deadline, lead[1].name)

    def _end(self, ask: _Ask[R]) -> None:
        """It runs no more; its keys are free unless its answer is remembered."""
        self._asks.pop(ask.id, None)
        flight = (ask.scope, ask.digest)
        if self._flights.get(flight) is ask:
            del self._flights[flight]
        for key in ask.keys:
            if self._keys.get(key) is ask:
                del self._keys[key]

    # --- memory ---

    def _remember(self, now: int, ask: _Ask[R], reply: R, size: int) -> None:
        limits = self.limits
        room = limits.remember and size <= limits.most_bytes and limits.most_remembered
        if not self.remembers or not room:
            self.counts["not remembered"] += 1
            return
        ask.reply, ask.size, ask.until = reply, size, now + limits.remember
        ask.waiting = {}
        for key in ask.keys:
            self._keys[key] = ask
        self._answered[ask.id] = ask
        self.bytes += size
        while len(self._answered) > limits.most_remembered or self.bytes > limits.most_bytes:
            self.counts["forgotten early"] += 1
            self._drop_answer(next(iter(self._answered.values())))

    def _drop_answer(self, ask: _Ask[R]) -> None:
        if self._answered.pop(ask.id, None) is None:
            return
        self.bytes -= ask.size
        for key in ask.keys:
            if self._keys.get(key) is ask:
                del self._keys[key]

    def forget_all(self) -> None:
        """Give up all remembered answers: memory is short."""
        while self._answered:
            self.counts["forgotten early"] += 1
            self._drop_answer(next(iter(self._answered.values())))

    def _forget(self, now: int) -> None:
        while self._answered:
            ask = next(iter(self._answered.values()))
            if ask.until > now:
                return
            self._drop_answer(ask)
