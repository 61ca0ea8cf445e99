"""The one line of JSON that a run ends with, and how figures are put together for it."""

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from benchmarks.capacity.scale.messages import BrokerFigures, Figures

SECOND = 1_000_000_000


class Verdict(StrEnum):
    """GOOD: all that was to happen did. VOID: the run's own machinery was late, its times say nothing."""

    GOOD = "good"
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


class RealFigures(msgspec.Struct, kw_only=True):
    """Mean of the real brokers: all mechanisms together, and their data path with it."""

    messages_a_second: float
    bytes_a_second: float
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
    simulated: bool = False
    settled_after_s: float | None = None
    calm_s: float = 0.0
    by_mechanism: dict[str, MechanismFigures] = {}
    other_processor_ms_a_second: dict[str, float] = {}  # by account, a broker
    hollow_processor_ms_a_second: float | None = None  # whole host processes, a broker
    hollow_resident_bytes: int | None = None
    real_brokers: RealFigures | None = None
    events: list[Event] = []
    digests: int | None = None  # different views at the end
    dropped: dict[str, int] = {}
    late_ms: float | None = None  # most, of any host in any measured phase
    late_usual_ms: float | None = None  # 99th percentile of the worst host
    late_allowed_ms: float = 0.0
    not_carried: list[NotCarried] = []
    took_s: float = 0.0


def line(result: Result) -> str:
    """As it is printed."""
    return msgspec.json.encode(result).decode()


class Rates:
    """Figures of all hosts at the beginning and the end of a phase, as rates of a broker."""

    def __init__(self, before: Sequence[Figures], after: Sequence[Figures]) -> None:
        self.seconds = (after[0].at - before[0].at) / SECOND
        began = {one.name: one for figures in before for one in figures.brokers}
        ended = [one for figures in after for one in figures.brokers if one.name in began]
        self._pairs = [(began[one.name], one) for one in ended]
        self.brokers = len(ended)
        self.processor: Counter[str] = Counter()
        for then, now in zip(before, after, strict=True):
            self.processor.update(now.processor)
            self.processor.subtract(then.processor)
        self.used = sum(now.used - then.used for then, now in zip(before, after, strict=True))

    def processor_ms(self, account: str) -> float:
        """Of one broker, ms a second."""
        return self._of_one(self.processor[account])

    @property
    def used_ms(self) -> float:
        """Whole host processes, of one broker, ms a second."""
        return self._of_one(self.used)

    def _of_one(self, spent: int) -> float:
        return round(spent / 1e6 / self.seconds / max(self.brokers, 1), 4)

    def mechanism(self, name: str, memory: int | None) -> MechanismFigures:
        """What one mechanism took."""
        messages = [self._rate(then.messages, now.messages, name) for then, now in self._pairs]
        sizes = [self._rate(then.bytes, now.bytes, name) for then, now in self._pairs]
        return MechanismFigures(
            messages_a_second=_mean(messages),
            messages_a_second_most=round(max(messages, default=0.0), 2),
            bytes_a_second=_mean(sizes),
            bytes_a_second_most=round(max(sizes, default=0.0), 2),
            processor_ms_a_second=self.processor_ms(name),
            memory_bytes=memory,
        )

    def _rate(self, then: dict[str, int], now: dict[str, int], name: str) -> float:
        return (now.get(name, 0) - then.get(name, 0)) / self.seconds


def total(figures: BrokerFigures) -> tuple[int, int]:
    """Messages and bytes of all mechanisms."""
    return sum(figures.messages.values()), sum(figures.bytes.values())


def _mean(values: Sequence[float]) -> float:
    return round(sum(values) / max(len(values), 1), 2)
