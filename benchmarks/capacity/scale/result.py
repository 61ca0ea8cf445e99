"""The one line of JSON that a run ends with, and how figures are put together for it."""

import statistics
from collections import Counter, deque
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from benchmarks.capacity.scale.messages import BrokerFigures, Figures

SECOND = 1_000_000_000


class Verdict(StrEnum):
    """GOOD: all that was to happen did. VOID: the run's own machinery was late, its times say nothing.

    SIMULATED: the machine carries none of it, all figures are of virtual time.
    """

    GOOD = "good"
    SIMULATED = "simulated"
    VOID = "void"
    FAILED = "failed"


class MechanismFigures(msgspec.Struct, kw_only=True):
    """A broker's mean and most over the calm phase; None: the mechanism is off, or it was not measured."""

    messages_a_second: float
    messages_a_second_most: float
    bytes_a_second: float
    bytes_a_second_most: float
    processor_ms_a_second: float | None = None
    memory_bytes: int | None = None


class ChangeFigures(msgspec.Struct, kw_only=True):
    """Changes of the configuration: from the proposal until in force at every subscriber.

    The worst second is of one hollow broker on average, all mechanisms together.
    """

    committed: int
    subscribers: int
    relays: int
    every_s: float
    in_force_median_s: float = 0.0
    in_force_99th_s: float = 0.0
    in_force_most_s: float = 0.0
    worst_messages_a_second: float | None = None
    worst_bytes_a_second: float | None = None


class RealFigures(msgspec.Struct, kw_only=True):
    """Mean of the real brokers. Processor time and memory are of the whole process, with its data path."""

    by_mechanism: dict[str, MechanismFigures]
    processor_ms_a_second: float
    resident_bytes: int
    queries_answered: int
    queries_not_answered: int


class Event(msgspec.Struct, kw_only=True):
    """One thing that all brokers were to know. ``known_after_s``: until the last did; None: not in time."""

    what: str
    names: list[str]
    known_after_s: float | None
    known_by: int
    of: int
    lacking: list[str] = []
    # Of one hollow broker on average, in the worst second until then; None where it took no whole second.
    worst_messages_a_second: float | None = None
    worst_bytes_a_second: float | None = None
    deaths: int | None = None  # times that a hollow broker came to believe another dead, until then


class NotCarried(msgspec.Struct, frozen=True):
    """A mechanism that this run did not carry, and why."""

    mechanism: str
    why: str


class Result(msgspec.Struct, kw_only=True):
    """One run. Processor times: of one broker, in ms a second; bytes: payload of datagrams and streams."""

    verdict: Verdict
    why: list[str]
    brokers: int
    real: int
    hollow: int
    processes: int
    cores: int
    seed: int
    mechanisms: list[str]
    queries_a_second: float
    profile: str = ""
    faults: str = ""  # what the file of faults is about
    settled_after_s: float | None = None
    calm_s: float = 0.0
    calm_deaths: int | None = None  # times that a hollow broker believed one dead, though all ran
    by_mechanism: dict[str, MechanismFigures] = {}
    other_processor_ms_a_second: dict[str, float] = {}  # by account, a broker
    hollow_processor_ms_a_second: float | None = None  # whole host processes, a broker
    hollow_resident_bytes: int | None = None
    real_brokers: RealFigures | None = None
    changes: ChangeFigures | None = None
    events: list[Event] = []
    digests: int | None = None  # different views at the end
    dropped: dict[str, int] = {}
    late_ms: float | None = None  # most, of any host in any measured phase
    late_usual_ms: float | None = None  # 99th percentile of the worst host
    late_allowed_ms: float = 0.0
    not_carried: list[NotCarried] = []
    simulated: dict[str, MechanismFigures] = {}  # what was not carried, in virtual time
    took_s: float = 0.0


def line(result: Result) -> str:
    """As it is printed."""
    return msgspec.json.encode(result).decode()


class WorstSecond:
    """The most that was sent within any second of a phase; totals are looked at now and then."""

    def __init__(self) -> None:
        self._looks: deque[tuple[int, int, int]] = deque()
        self.messages: float | None = None
        self.bytes: float | None = None

    def look(self, at: int, messages: int, size: int) -> None:
        """Totals so far, at a time (ns)."""
        self._looks.append((at, messages, size))
        while len(self._looks) > 1 and self._looks[1][0] <= at - SECOND:
            self._looks.popleft()
        began, messages_then, size_then = self._looks[0]
        if at >= began + SECOND:
            seconds = (at - began) / SECOND
            self.messages = max(self.messages or 0.0, (messages - messages_then) / seconds)
            self.bytes = max(self.bytes or 0.0, (size - size_then) / seconds)

    def of_each(self, total: float | None, brokers: int) -> float | None:
        """A total as the mean of so many brokers."""
        return None if total is None else round(total / max(brokers, 1), 2)


class Sent:
    """What brokers sent between two readings, as rates; each broker has times of its own (ns)."""

    def __init__(self) -> None:
        self._rates: list[tuple[BrokerFigures, BrokerFigures, float]] = []

    def add(self, began: int, before: BrokerFigures, ended: int, after: BrokerFigures) -> None:
        """One more broker."""
        self._rates.append((before, after, (ended - began) / SECOND))

    @property
    def brokers(self) -> int:
        """How many."""
        return len(self._rates)

    def mechanism(self, name: str, processor: float | None = None) -> MechanismFigures:
        """Mean and most of one mechanism."""
        rates = self._rates
        messages = [(a.messages.get(name, 0) - b.messages.get(name, 0)) / span for b, a, span in rates]
        sizes = [(a.bytes.get(name, 0) - b.bytes.get(name, 0)) / span for b, a, span in rates]
        return MechanismFigures(
            messages_a_second=_mean(messages),
            messages_a_second_most=round(max(messages, default=0.0), 2),
            bytes_a_second=_mean(sizes),
            bytes_a_second_most=round(max(sizes, default=0.0), 2),
            processor_ms_a_second=processor,
        )


class HostRates:
    """Figures of all hosts at the beginning and the end of a phase."""

    def __init__(self, before: Sequence[Figures], after: Sequence[Figures]) -> None:
        self.seconds = (after[0].at - before[0].at) / SECOND
        self.sent = Sent()
        self._processor: Counter[str] = Counter()
        self._used = 0
        for then, now in zip(before, after, strict=True):
            self._add(then, now)

    def _add(self, then: Figures, now: Figures) -> None:
        self._processor.update(now.processor)
        self._processor.subtract(then.processor)
        self._used += now.used - then.used
        began = {one.name: one for one in then.brokers}
        for one in now.brokers:
            if one.name in began:
                self.sent.add(then.at, began[one.name], now.at, one)

    def processor_ms(self, account: str) -> float:
        """Of one broker, ms a second."""
        return self._of_one(self._processor[account])

    @property
    def used_ms(self) -> float:
        """Whole host processes, of one broker, ms a second."""
        return self._of_one(self._used)

    def _of_one(self, spent: int) -> float:
        return round(spent / 1e6 / self.seconds / max(self.sent.brokers, 1), 4)


def change_figures(figures: Sequence[Figures], about: ChangeFigures) -> ChangeFigures:
    """``about`` with its times. Raises ``ValueError`` where a revision was not in force everywhere."""
    proposed = {revision: at for one in figures for revision, at in one.proposed_at.items()}
    times = []
    for revision, at in proposed.items():
        reached = [one.reached[revision] for one in figures if revision in one.reached]
        brokers = sum(one.brokers for one in reached)
        if brokers != about.subscribers:
            raise ValueError(f"revision {revision}: in force at {brokers}, expected {about.subscribers}")
        times.append((max(one.last_at for one in reached) - at) / SECOND)
    times.sort()
    about.in_force_median_s = round(statistics.median(times), 3)
    about.in_force_99th_s = round(times[min(len(times) * 99 // 100, len(times) - 1)], 3)
    about.in_force_most_s = round(times[-1], 3)
    return about


def _mean(values: Sequence[float]) -> float:
    return round(sum(values) / max(len(values), 1), 2)
