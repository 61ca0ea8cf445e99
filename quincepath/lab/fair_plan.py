"""What a run of the world of turns is made of, and what came of it; lab/fair_world.py says how."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from quincepath.lab.fair_schedulers import SlotScheduler
from quincepath.limits.fair import FairSettings
from quincepath.limits.fair.types import MS, SECOND

WINDOW = 10 * SECOND

ReportAge = Callable[[Random], int | None]


@dataclass(slots=True, frozen=True)
class Tenant:
    """``cost``: mean slot time (ns) of a query, drawn with a spread (sigma of the logarithm)."""

    name: str
    brokers: tuple[int, ...]
    clients: int = 0  # closed loop, at each of its brokers
    rate: float = 0.0  # open loop, queries a second in sum
    cost: int = SECOND
    spread: float = 0.3
    parts: int = 2
    kind: int = 1
    target: int = 10 * SECOND
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Plan:
    """One run: ``kill`` is (when, which broker); it is back at once, empty."""

    tenants: tuple[Tenant, ...]
    scheduler: Callable[[FairSettings, int], SlotScheduler]
    settings: FairSettings
    brokers: int = 20
    holders: int = 40
    holder_slots: int = 8
    warmup: int = 10 * SECOND  # what was asked or refused before is not counted
    length: int = 30 * SECOND
    report_age: ReportAge | None = None
    report_interval: int = 200 * MS
    kill: tuple[int, int] | None = None


@dataclass(slots=True)
class Query:
    """One try after the other until it has run."""

    tenant: Tenant
    broker: int
    cost: int
    asked: int
    left: int = 0
    used: int = 0
    started: bool = False


@dataclass(slots=True)
class Result:
    """What came of a run; times in ns."""

    used: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))  # by window
    backlogged: dict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )  # looks at which it did
    samples: Counter[int] = field(default_factory=Counter)
    waits: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    refused: Counter[str] = field(default_factory=Counter)
    late: int = 0
    answered: int = 0
    idle: int = 0  # slots times ns while somebody waits
    contended: int = 0  # all slots times ns while somebody waits

    def jain(self, window: int, weights: dict[str, float]) -> float | None:
        """Of weighted slot time among those that wanted more all the window; None below two of them."""
        got = [
            self.used[name][window] / weights[name]
            for name, samples in self.backlogged.items()
            if samples[window] == self.samples[window]
        ]
        if len(got) < 2 or not sum(got):
            return None
        return sum(got) ** 2 / (len(got) * sum(one * one for one in got))

    def idle_share(self) -> float:
        return self.idle / self.contended if self.contended else 0.0
