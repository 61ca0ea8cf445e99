"""The registry itself: which tries wait for which ask, and which answers are remembered."""

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
class _WaitingTry:
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
    deadline: int  # of the try that started it
    keys: list[tuple[str, str]] = field(default_factory=list)
    keyed: bool = False
    waiting: dict[int, _WaitingTry] = field(default_factory=dict)
    orphaned_at: int | None = None  # since when no try waits for it
    reply: R | None = None
    size: int = 0
    expires_at: int = 0


class AskRegistry(Generic[R]):
    """Tracks all asks of one broker. ``R`` is the I/O layer's type of a reply, stored but not interpreted."""

    def __init__(self, limits: RegistryLimits) -> None:
        self.limits = limits
        self.counts: Counter[str] = Counter()
        self.remembers = True  # False under memory pressure
        self.bytes = 0
        self._last_id = 0
        self._asks: dict[int, _Ask[R]] = {}  # running
        self._answered: OrderedDict[int, _Ask[R]] = OrderedDict()  # remembered, oldest first
        self._ask_by_key: dict[tuple[str, str], _Ask[R]] = {}
        self._shared_runs: dict[tuple[str, bytes], _Ask[R]] = {}
        self._ask_by_handle: dict[int, _Ask[R]] = {}
        self._timers: list[tuple[int, int, int]] = []  # time, sequence number, handle or -ask id
        self._timer_count = 0

    # --- state ---

    def running(self) -> int:
        """Number of asks that the driver runs."""
        return len(self._asks)

    def waiting(self) -> int:
        """Number of tries that wait for an answer."""
        return len(self._ask_by_handle)

    def remembered(self) -> int:
        """Number of remembered answers."""
        return len(self._answered)

    def next_ask(self) -> int:
        """The id that the next ask gets."""
        return self._last_id + 1

    def next_due(self) -> int | None:
        """The latest time at which ``expire`` must be called."""
        return self._timers[0][0] if self._timers else None

    # --- tries ---

    def find(self, now: int, request: Try) -> int | None:
        """The id of the ask, running or remembered, that this try belongs to. Changes nothing."""
        found = self._match(now, request)
        return found[0].id if isinstance(found, tuple) else None

    def arrive(self, now: int, request: Try) -> "Decision[R]":
        """Process a new request. After ``Begin`` and ``Join`` the try must get an answer."""
        self._forget_expired(now)
        found = self._match(now, request)
        if isinstance(found, Conflict):
            self.counts["conflict"] += 1
            return found
        if found is None:
            return Begin(self._begin(now, request).id)
        ask, kind = found
        if ask.reply is not None:
            self.counts[MatchKind.REPLAYED.value] += 1
            return ReplayAnswer(ask.id, ask.reply)
        if len(ask.waiting) >= self.limits.most_tries:
            self.counts["crowded"] += 1
            return TooManyTries()
        self.counts[kind.value] += 1
        if ask.orphaned_at is not None:
            ask.orphaned_at = None
            self.counts["rescued"] += 1
        self._register_keys(ask, request)
        self._add_waiting(ask, request.handle, _WaitingTry(request.deadline, kind, request.name))
        self._set_timer(request.deadline - self.limits.reserve, request.handle)
        return Join(ask.id, kind)

    def _match(self, now: int, request: Try) -> "tuple[_Ask[R], MatchKind] | Conflict | None":
        for key, strict in self._keys_of(request):
            ask = self._ask_by_key.get(key)
            if ask is None or (ask.reply is not None and ask.expires_at <= now):
                continue
            if ask.digest != request.digest:
                if strict:
                    return Conflict()
                continue  # an id that was reused: two separate asks
            if request.client_key is None and now > ask.began + request.retry_window:
                continue
            return ask, MatchKind.RETRY
        if request.shared:
            ask = self._shared_runs.get((request.scope, request.digest))
            if ask is not None:
                return ask, MatchKind.EQUAL
        return None

    @staticmethod
    def _keys_of(request: Try) -> list[tuple[tuple[str, str], bool]]:
        """The keys that identify a try, each with whether it is strict."""
        keys = []
        if request.client_key is not None:
            keys.append(
                ((request.client_key.scope, f"key {request.client_key.key}"), request.client_key.strict)
            )
        elif request.retry_window:
            keys.append(((request.scope, f"body {request.digest.hex()}"), False))
        return keys

    def _begin(self, now: int, request: Try) -> _Ask[R]:
        self._last_id += 1
        ask: _Ask[R] = _Ask(self._last_id, request.scope, request.digest, now, request.deadline)
        self._asks[ask.id] = ask
        self._register_keys(ask, request)
        if request.shared:
            self._shared_runs.setdefault((request.scope, request.digest), ask)
        self.counts[MatchKind.BEGAN.value] += 1
        self._add_waiting(ask, request.handle, _WaitingTry(request.deadline, MatchKind.BEGAN, request.name))
        return ask

    def _register_keys(self, ask: _Ask[R], request: Try) -> None:
        """Assign a try's keys to the ask, so that its retries match it, also if the try was coalesced."""
        for key, _ in self._keys_of(request):
            other = self._ask_by_key.get(key)
            if other is not None and other.reply is not None and other is not ask:
                self._drop_answer(other)
            if len(ask.keys) < self.limits.most_tries and self._ask_by_key.setdefault(key, ask) is ask:
                if key not in ask.keys:
                    ask.keys.append(key)
                ask.keyed = ask.keyed or request.client_key is not None

    def _add_waiting(self, ask: _Ask[R], handle: int, waiting: _WaitingTry) -> None:
        ask.waiting[handle] = waiting
        self._ask_by_handle[handle] = ask

    def client_left(self, now: int, handle: int) -> DropAsk | None:
        """The client of a try left. ``DropAsk``: it was the last one of its ask and no retry is awaited."""
        ask = self._ask_by_handle.pop(handle, None)
        if ask is None:
            return None
        del ask.waiting[handle]
        if ask.waiting:
            return None
        if ask.keyed and self.limits.linger:
            ask.orphaned_at = now
            self._set_timer(now + self.limits.linger, -ask.id)
            return None
        return self._abandon(ask)

    def _abandon(self, ask: _Ask[R]) -> DropAsk:
        self.counts["dropped"] += 1
        self._end(ask)
        return DropAsk(ask.id)

    # --- time ---

    def expire(self, now: int) -> list[TryExpired | DropAsk]:
        """Tries and orphaned asks whose time limit has passed, in the order of their limits."""
        expired: list[TryExpired | DropAsk] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, target = heapq.heappop(self._timers)
            if target > 0:
                ask = self._ask_by_handle.get(target)
                if ask is not None and ask.waiting[target].kind is not MatchKind.BEGAN:
                    del self._ask_by_handle[target], ask.waiting[target]
                    self.counts["time up alone"] += 1
                    expired.append(TryExpired(target))
                    if not ask.waiting:
                        expired.append(self._abandon(ask))
            else:
                ask = self._asks.get(-target)
                if (
                    ask is not None
                    and ask.orphaned_at is not None
                    and now >= ask.orphaned_at + self.limits.linger
                ):
                    expired.append(self._abandon(ask))
        self._forget_expired(now)
        return expired

    def _set_timer(self, at: int, target: int) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (at, self._timer_count, target))

    # --- endings ---

    def finish(self, now: int, ask_id: int, reply: R, size: int, answered: bool) -> list[Deliver | Restart]:
        """The driver ended an ask; returns which tries get the reply and whether the ask restarts."""
        ask = self._asks.get(ask_id)
        if ask is None:
            return []
        self._end(ask)
        orders: list[Deliver | Restart] = []
        restarting: list[tuple[int, _WaitingTry]] = []
        for handle, waiting in ask.waiting.items():
            del self._ask_by_handle[handle]
            # Refused or failed for lack of time: not final for a coalesced request with a later deadline.
            has_more_time = waiting.deadline > ask.deadline + self.limits.reserve
            if not answered and waiting.kind is MatchKind.EQUAL and has_more_time and not waiting.restarted:
                restarting.append((handle, waiting))
            else:
                orders.append(Deliver(handle, waiting.kind))
        if restarting:
            orders.append(self._restart(now, ask, restarting))
        if answered and ask.keyed:
            self._remember(now, ask, reply, size)
        return orders

    def _restart(self, now: int, old: _Ask[R], restarting: list[tuple[int, _WaitingTry]]) -> Restart:
        """One more run for coalesced requests. The one with the latest deadline leads, the others join it."""
        leader = max(restarting, key=lambda item: (item[1].deadline, -item[0]))
        self._last_id += 1
        ask: _Ask[R] = _Ask(self._last_id, old.scope, old.digest, now, leader[1].deadline)
        self._asks[ask.id] = ask
        ask.keys, ask.keyed = old.keys, old.keyed
        self._ask_by_key.update(dict.fromkeys(ask.keys, ask))
        self._shared_runs.setdefault((old.scope, old.digest), ask)
        for handle, waiting in restarting:
            is_leader = handle == leader[0]
            kind = MatchKind.BEGAN if is_leader else MatchKind.EQUAL
            self._add_waiting(ask, handle, _WaitingTry(waiting.deadline, kind, waiting.name, True))
            if not is_leader:
                self._set_timer(waiting.deadline - self.limits.reserve, handle)
        self.counts["restarted"] += 1
        return Restart(leader[0], ask.id, leader[1].deadline, leader[1].name)

    def _end(self, ask: _Ask[R]) -> None:
        """Mark the ask as no longer running; its keys are free unless its answer is remembered."""
        self._asks.pop(ask.id, None)
        shared_key = (ask.scope, ask.digest)
        if self._shared_runs.get(shared_key) is ask:
            del self._shared_runs[shared_key]
        for key in ask.keys:
            if self._ask_by_key.get(key) is ask:
                del self._ask_by_key[key]

    # --- memory ---

    def _remember(self, now: int, ask: _Ask[R], reply: R, size: int) -> None:
        limits = self.limits
        fits = limits.remember and size <= limits.most_bytes and limits.most_remembered
        if not self.remembers or not fits:
            self.counts["not remembered"] += 1
            return
        ask.reply, ask.size, ask.expires_at = reply, size, now + limits.remember
        ask.waiting = {}
        for key in ask.keys:
            self._ask_by_key[key] = ask
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
            if self._ask_by_key.get(key) is ask:
                del self._ask_by_key[key]

    def forget_all(self) -> None:
        """Drop all remembered answers, because memory is short."""
        while self._answered:
            self.counts["forgotten early"] += 1
            self._drop_answer(next(iter(self._answered.values())))

    def _forget_expired(self, now: int) -> None:
        while self._answered:
            ask = next(iter(self._answered.values()))
            if ask.expires_at > now:
                return
            self._drop_answer(ask)
