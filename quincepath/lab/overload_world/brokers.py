"""A broker of the overload world: the module simplified, and what it counts of itself.

The module: least outstanding by own count among the holders that are not doubted; a part that is late is sent
once more within the retry budget; a query that the typical latency makes hopeless is refused at once.
"""

import math
import random
from dataclasses import dataclass

from quincepath.fleet.load_reports.types import PRIORITY_BANDS, Count, SendKind
from quincepath.fleet.overload import OverloadControl, SendBudget
from quincepath.fleet.overload.trial_turns import next_turn
from quincepath.lab.overload_world.plan import MS, SECOND, Plan, Way

SPARE_MOST = 10.0  # as the module's: saved up, and for each first send, calm and crowded
CALM, CROWDED = 0.25, 0.10
WAIT_GAIN = 0.25
MEMORY = 4 * SECOND  # a typical latency fades to 1/e of its excess while nothing answers
TRIAL_EVERY = 4 * SECOND
DOUBT_AFTER = 1
SILENT = 750 * MS
LATE_LEAST, LATE_MOST = 0.3, 0.35  # of the target; sooner, copies alone overload holders at 85%
HOPELESS = 0.35  # of the target
COLD_CREDIT = 1.75  # cores that a cold holder is filled as


class Layout:
    """Where each count stands in a broker's row."""

    def __init__(self, plan: Plan) -> None:
        self.classes = len(plan.worths)
        self.spends = self.classes * len(Count)
        self.arrivals = self.spends + len(SendKind)
        self.cells = self.arrivals + PRIORITY_BANDS
        self.tenants = self.cells + 2 * plan.cells
        self.extra = self.tenants + plan.tenants  # let in
        self.size = self.extra + 1


@dataclass(slots=True)
class Seen:
    """What a broker knows of one holder by itself."""

    out: int = 0
    fails: int = 0  # attempts in a row that did not answer
    heard: int = 0  # when it last answered
    next_trial: int = 0
    credit: float = 0.0
    credit_at: int = 0
    cold_until: int = 0
    listed: bool = True


@dataclass(slots=True)
class Waits:
    """Of one replica set: typical latency, parts out, and how many were when answers came."""

    mean: float
    out: int = 0
    usual: float = 0.0
    learned: int = 0


class Broker:
    """One broker: its own counts, its module, and its part of the whole where there is one."""

    def __init__(self, number: int, plan: Plan, way: Way, layout: Layout, seed: int) -> None:
        self.number, self.plan, self.way, self.layout = number, plan, way, layout
        self.alive = True
        self.draw = random.Random(f"{seed}/{number}")
        self.row = [0] * layout.size
        self.nodes = [Seen() for _ in range(plan.holders)]
        self.core = OverloadControl(
            plan.settings, seed * 1000 + number, self.draw.randrange(plan.settings.period)
        )
        self.line = 0.0
        self.saved = SPARE_MOST / 2
        self.mean = self.base = plan.work * 1.2
        self.deviation = self.mean / 2
        self.waits = [Waits(self.mean) for _ in range(plan.cells)]
        self.spending: SendBudget | None = None
        self.spent_at = 0
        self.tokens, self.tokens_at = 0.0, 0
        if way is Way.ONE:
            self.saved = 0.0

    # --- latency ---

    def learn(self, now: int, cell: int, elapsed: int) -> None:
        """One answer of a replica set, or none by the end."""
        seen = min(elapsed, self.mean * 4)
        self.deviation += 0.05 * (abs(seen - self.mean) - self.deviation)
        self.mean += 0.05 * (seen - self.mean)
        waits = self.waits[cell]
        waits.mean += WAIT_GAIN * (elapsed - waits.mean)
        waits.usual += WAIT_GAIN * (waits.out - waits.usual)
        waits.learned = now

    def late_after(self) -> int:
        """When a part out this long is late."""
        target = self.plan.target
        return int(min(max(self.mean + 3 * self.deviation, LATE_LEAST * target), LATE_MOST * target))

    def hopeless(self, now: int, cells: tuple[int, ...], repeat: bool) -> list[int]:
        """Replica sets for which a query is refused at once: the typical wait, by what is out and was usual.

        Repeats are refused while answers are slow; nothing is while nothing is out, whose news would come.
        """
        if repeat and self.crowded():
            return list(cells)
        found = []
        for cell in cells:
            waits = self.waits[cell]
            idle = now - waits.learned
            if idle > self.plan.target // 4 and waits.mean > self.base:
                waits.mean = self.base + (waits.mean - self.base) * math.exp(-idle / MEMORY)
                waits.learned = now
            crowd = (waits.out + 2) / (waits.usual + 2)
            if waits.out and waits.mean * crowd > HOPELESS * self.plan.target:
                found.append(cell)
        return found

    def crowded(self) -> bool:
        """Whether answers are slow everywhere."""
        return self.mean > 2 * self.base

    # --- choice ---

    def pick(self, now: int, replicas: list[int], besides: int) -> int:
        """A holder of a replica set; -1 where none may be taken."""
        best, least, doubted, last, last_out = -1, 1e9, -1, -1, 1e9
        for number in replicas:
            seen = self.nodes[number]
            if number == besides or not seen.listed:
                continue
            if self.doubts(now, seen):
                if now >= seen.next_trial:
                    doubted = number
                if seen.out + self.draw.random() < last_out:
                    last, last_out = number, seen.out
                continue
            if seen.cold_until > now and not self._credit(now, number, seen):
                continue
            load = seen.out + min(seen.fails, 2) + self.draw.random() * 0.5
            if load < least:
                best, least = number, load
        if doubted >= 0:
            self.row[self.layout.spends + SendKind.TRIAL] += 1
            self.nodes[doubted].next_trial = self._next_trial(now, doubted)
            return doubted
        if best < 0:
            return last
        if self.nodes[best].cold_until > now:
            self.nodes[best].credit -= 1
            self.row[self.layout.spends + SendKind.TRIAL] += 1
        return best

    def doubts(self, now: int, seen: Seen) -> bool:
        """An attempt unanswered and nothing heard for a while; some in a row while all are slow."""
        if seen.fails < DOUBT_AFTER or seen.heard >= now - SILENT:
            return False
        return seen.fails > DOUBT_AFTER + 1 or not self.crowded()

    def _credit(self, now: int, number: int, seen: Seen) -> bool:
        if self.way is Way.ONE:
            if now < seen.next_trial:
                return False
            seen.next_trial = self._next_trial(now, number)
            return True
        rate = COLD_CREDIT * self.plan.cold * SECOND / self.plan.work
        seen.credit = min(seen.credit + (now - seen.credit_at) * rate / SECOND, 2.0)
        seen.credit_at = now
        return seen.credit >= 1

    def _next_trial(self, now: int, number: int) -> int:
        if self.way is not Way.ONE or self.spending is None:
            return now + TRIAL_EVERY
        return next_turn(now, 0, str(self.number), str(number), self.spending.trials)

    def gone(self, number: int) -> None:
        """The list has it no more; until it is listed anew nothing is sent there."""
        self.nodes[number].listed = False

    def renewed(self, now: int, number: int) -> None:
        """The list tells a new process of a holder: cold, not doubted."""
        seen = self.nodes[number]
        seen.out = seen.fails = 0
        seen.heard = now
        seen.listed = True
        seen.cold_until = now + self.plan.ramp
        seen.credit, seen.credit_at = 0.0, now
        if self.way is Way.ONE:
            seen.next_trial = self._next_trial(now, number)

    def failed(self, now: int, number: int) -> None:
        """An attempt there was late while others are not, or came to nothing."""
        seen = self.nodes[number]
        seen.fails += 1
        if seen.fails in (DOUBT_AFTER, DOUBT_AFTER + 2):
            seen.next_trial = self._next_trial(now, number)

    # --- budgets ---

    def first(self) -> None:
        """A first send earns."""
        self.row[self.layout.spends + SendKind.FIRST] += 1
        if self.way is not Way.ONE:
            self.saved = min(self.saved + (CROWDED if self.crowded() else CALM), SPARE_MOST)

    def may_resend(self, now: int) -> bool:
        """Whether one further send may be spent; spends it."""
        if self.way is Way.ONE:
            rate = self.spending.extras if self.spending is not None else 0.0
            self.saved = min(self.saved + rate * (now - self.spent_at) / SECOND, 1.0)
            self.spent_at = now
        if self.saved < 1:
            return False
        self.saved -= 1
        self.row[self.layout.spends + SendKind.FURTHER] += 1
        return True

    def within_fixed(self, now: int, rate: float) -> bool:
        """The limit of ``Way.FIXED``: queries a second, with half a second saved up."""
        self.tokens = min(self.tokens + (now - self.tokens_at) * rate / SECOND, max(rate / 2, 1.0))
        self.tokens_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
