"""A simulated broker: a simplified decision module, and the broker's own load counters.

The decision module sends to the holder with the fewest outstanding attempts by this broker's own count among
those that are not suspected. It resends a late part once within the retry budget, and refuses a query at
once if the typical latency shows that it cannot be answered in time.
"""

import math
import random
from dataclasses import dataclass

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, Count, SendKind
from quincepath.fleet.overload import OverloadControl, SendBudget
from quincepath.fleet.overload.trial_turns import next_turn
from quincepath.lab.overload_simulation.plan import MS, SECOND, Plan, Strategy

MAX_RETRY_TOKENS = 10.0  # saved up at most, as in the decision module
TOKENS_PER_SEND, CONGESTED_TOKENS_PER_SEND = 0.25, 0.10
LATENCY_GAIN = 0.25
LATENCY_DECAY_NS = (
    4 * SECOND
)  # without answers, the excess of a latency over its base falls to 1/e in this time
PROBE_INTERVAL_NS = 4 * SECOND
SUSPECT_AFTER_FAILURES = 1
SILENCE_NS = 750 * MS
MIN_LATE_SHARE, MAX_LATE_SHARE = (
    0.3,
    0.35,
)  # of the target; with earlier resends, copies alone overload holders at 85% load
MAX_LATENCY_SHARE = 0.35  # of the target
COLD_CORES = 1.75  # cores that a cold holder is filled as


class RowLayout:
    """Offsets of the counters in a broker's row."""

    def __init__(self, plan: Plan) -> None:
        self.classes = len(plan.worths)
        self.sends = self.classes * len(Count)
        self.arrivals = self.sends + len(SendKind)
        self.cells = self.arrivals + PRIORITY_BANDS
        self.tenants = self.cells + 2 * plan.cells
        self.admitted = self.tenants + plan.tenants  # queries admitted
        self.size = self.admitted + 1


@dataclass(slots=True)
class HolderState:
    """One holder's state as observed by one broker."""

    in_flight: int = 0
    failures: int = 0  # consecutive attempts without an answer
    answered_at: int = 0  # time of the last answer, ns
    next_probe: int = 0
    credit: float = 0.0
    credit_at: int = 0
    cold_until: int = 0
    listed: bool = True


@dataclass(slots=True)
class SetLatency:
    """Typical latency of a replica set, its parts in flight, and how many were in flight at past answers."""

    mean: float
    in_flight: int = 0
    typical_in_flight: float = 0.0
    updated_at: int = 0


class Broker:
    """One broker: its counters, its decision module and its overload control."""

    def __init__(self, number: int, plan: Plan, strategy: Strategy, layout: RowLayout, seed: int) -> None:
        self.number, self.plan, self.strategy, self.layout = number, plan, strategy, layout
        self.alive = True
        self.rng = random.Random(f"{seed}/{number}")
        self.row = [0] * layout.size
        self.holder_states = [HolderState() for _ in range(plan.holders)]
        self.control = OverloadControl(
            plan.settings, seed * 1000 + number, self.rng.randrange(plan.settings.period)
        )
        self.threshold = 0.0
        self.retry_tokens = MAX_RETRY_TOKENS / 2
        self.mean = self.base_latency = plan.work * 1.2
        self.deviation = self.mean / 2
        self.set_latency = [SetLatency(self.mean) for _ in range(plan.cells)]
        self.send_budget: SendBudget | None = None
        self.retry_tokens_at = 0
        self.tokens, self.tokens_at = 0.0, 0
        if strategy is Strategy.FLEET:
            self.retry_tokens = 0.0

    # --- latency ---

    def record_latency(self, now: int, cell: int, elapsed: int) -> None:
        """Record the latency of one answer, or the time waited if none came by the target."""
        state = min(elapsed, self.mean * 4)
        self.deviation += 0.05 * (abs(state - self.mean) - self.deviation)
        self.mean += 0.05 * (state - self.mean)
        latency = self.set_latency[cell]
        latency.mean += LATENCY_GAIN * (elapsed - latency.mean)
        latency.typical_in_flight += LATENCY_GAIN * (latency.in_flight - latency.typical_in_flight)
        latency.updated_at = now

    def late_after(self) -> int:
        """Time in flight (ns) from which a part is late."""
        target = self.plan.target
        return int(min(max(self.mean + 3 * self.deviation, MIN_LATE_SHARE * target), MAX_LATE_SHARE * target))

    def overloaded_sets(self, now: int, cells: tuple[int, ...], is_retry: bool) -> list[int]:
        """Replica sets that cannot answer in time, for which a query is refused at once.

        The typical latency is scaled by the parts in flight over their typical number. Marked retries are
        refused while answers are slow. A set with nothing in flight is never refused: no answer would come
        that could lower its latency again.
        """
        if is_retry and self.congested():
            return list(cells)
        found = []
        for cell in cells:
            latency = self.set_latency[cell]
            idle = now - latency.updated_at
            if idle > self.plan.target // 4 and latency.mean > self.base_latency:
                latency.mean = self.base_latency + (latency.mean - self.base_latency) * math.exp(
                    -idle / LATENCY_DECAY_NS
                )
                latency.updated_at = now
            growth = (latency.in_flight + 2) / (latency.typical_in_flight + 2)
            if latency.in_flight and latency.mean * growth > MAX_LATENCY_SHARE * self.plan.target:
                found.append(cell)
        return found

    def congested(self) -> bool:
        """Whether answers of all holders are slow."""
        return self.mean > 2 * self.base_latency

    # --- choice ---

    def choose_holder(self, now: int, replicas: list[int], exclude: int) -> int:
        """The number of a holder of a replica set; -1 if none may be used."""
        best, least, suspect, fallback, fallback_load = -1, 1e9, -1, -1, 1e9
        for number in replicas:
            state = self.holder_states[number]
            if number == exclude or not state.listed:
                continue
            if self.suspects(now, state):
                if now >= state.next_probe:
                    suspect = number
                if state.in_flight + self.rng.random() < fallback_load:
                    fallback, fallback_load = number, state.in_flight
                continue
            if state.cold_until > now and not self._has_credit(now, number, state):
                continue
            load = state.in_flight + min(state.failures, 2) + self.rng.random() * 0.5
            if load < least:
                best, least = number, load
        if suspect >= 0:
            self.row[self.layout.sends + SendKind.TRIAL] += 1
            self.holder_states[suspect].next_probe = self._next_probe_at(now, suspect)
            return suspect
        if best < 0:
            return fallback
        if self.holder_states[best].cold_until > now:
            self.holder_states[best].credit -= 1
            self.row[self.layout.sends + SendKind.TRIAL] += 1
        return best

    def suspects(self, now: int, state: HolderState) -> bool:
        """Whether a holder left an attempt unanswered and has not answered for a while.

        While all answers are slow, several consecutive failures are needed.
        """
        if state.failures < SUSPECT_AFTER_FAILURES or state.answered_at >= now - SILENCE_NS:
            return False
        return state.failures > SUSPECT_AFTER_FAILURES + 1 or not self.congested()

    def _has_credit(self, now: int, number: int, state: HolderState) -> bool:
        if self.strategy is Strategy.FLEET:
            if now < state.next_probe:
                return False
            state.next_probe = self._next_probe_at(now, number)
            return True
        rate = COLD_CORES * self.plan.cold_share * SECOND / self.plan.work
        state.credit = min(state.credit + (now - state.credit_at) * rate / SECOND, 2.0)
        state.credit_at = now
        return state.credit >= 1

    def _next_probe_at(self, now: int, number: int) -> int:
        if self.strategy is not Strategy.FLEET or self.send_budget is None:
            return now + PROBE_INTERVAL_NS
        return next_turn(now, 0, str(self.number), str(number), self.send_budget.trials)

    def unlist(self, number: int) -> None:
        """Stop sending to a holder that left the endpoint list, until it is listed again."""
        self.holder_states[number].listed = False

    def relist(self, now: int, number: int) -> None:
        """Reset a holder that is listed with a new process: cold and not suspected."""
        state = self.holder_states[number]
        state.in_flight = state.failures = 0
        state.answered_at = now
        state.listed = True
        state.cold_until = now + self.plan.ramp_time
        state.credit, state.credit_at = 0.0, now
        if self.strategy is Strategy.FLEET:
            state.next_probe = self._next_probe_at(now, number)

    def failed(self, now: int, number: int) -> None:
        """Record an attempt that was late while others are not, or that failed."""
        state = self.holder_states[number]
        state.failures += 1
        if state.failures in (SUSPECT_AFTER_FAILURES, SUSPECT_AFTER_FAILURES + 2):
            state.next_probe = self._next_probe_at(now, number)

    # --- budgets ---

    def count_first_send(self) -> None:
        """Count a first send, which adds to the retry budget."""
        self.row[self.layout.sends + SendKind.FIRST] += 1
        if self.strategy is not Strategy.FLEET:
            self.retry_tokens = min(
                self.retry_tokens + (CONGESTED_TOKENS_PER_SEND if self.congested() else TOKENS_PER_SEND),
                MAX_RETRY_TOKENS,
            )

    def take_retry_token(self, now: int) -> bool:
        """Take a token of the retry budget; False if there is none."""
        if self.strategy is Strategy.FLEET:
            rate = self.send_budget.extras if self.send_budget is not None else 0.0
            self.retry_tokens = min(self.retry_tokens + rate * (now - self.retry_tokens_at) / SECOND, 1.0)
            self.retry_tokens_at = now
        if self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        self.row[self.layout.sends + SendKind.FURTHER] += 1
        return True

    def within_fixed_limit(self, now: int, rate: float) -> bool:
        """Take a token of the limit of ``Strategy.FIXED_LIMITS``.

        ``rate`` is in queries per second; half a second of it may be saved up.
        """
        self.tokens = min(self.tokens + (now - self.tokens_at) * rate / SECOND, max(rate / 2, 1.0))
        self.tokens_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
