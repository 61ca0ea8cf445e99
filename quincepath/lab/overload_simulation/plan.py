"""Parameters of an overload simulation: sizes, load over time, outages, load reports and strategy."""

from dataclasses import dataclass, field
from enum import Enum

from quincepath.fleet.overload import OverloadSettings

MS = 1_000_000
SECOND = 1000 * MS


class Strategy(Enum):
    """How overload is handled."""

    PER_BROKER = "each broker alone"
    FIXED_LIMITS = "fixed limits per broker"
    FLEET = "as one"


class RetryPolicy(Enum):
    """What clients do after a refusal or without an answer in time."""

    NEVER = "they give up"
    ONCE = "once, when advised or at once"
    IMMEDIATE = "four times at once, whatever the advice"
    ADVISED = "up to four times, when advised"


@dataclass(slots=True, frozen=True)
class Load:
    """Load from ``at`` (ns) on, as a multiple of the capacity of all holders.

    ``set_factor``: additional load of replica set 0, as a multiple of the capacity of one set.
    """

    at: int
    factor: float
    set_factor: float = 0.0


@dataclass(slots=True, frozen=True)
class Outage:
    """An outage of a share of the holders or brokers from ``at`` for ``duration`` ns; holders return cold."""

    at: int
    duration: int
    share: float
    brokers: bool = False


@dataclass(slots=True, frozen=True)
class Reporting:
    """Load reports: delay (uniform, per broker and step), share of reports lost, window. Times in ns."""

    min_delay: int = 200 * MS
    max_delay: int = 1500 * MS
    loss_share: float = 0.02
    window: int = 2 * SECOND
    partition: tuple[int, int] = (0, 0)  # (from, until): the fleet is partitioned into halves


@dataclass(slots=True, frozen=True)
class Plan:
    """One run. ``one_broker``: all queries arrive at the first broker. Times in ns."""

    brokers: int = 200
    holders: int = 200
    replicas: int = 5
    length: int = 60 * SECOND
    loads: tuple[Load, ...] = (Load(0, 0.85),)
    outages: tuple[Outage, ...] = ()
    retry_policy: RetryPolicy = RetryPolicy.ONCE
    retries_marked: bool = True  # clients mark their retries
    reporting: Reporting = field(default_factory=Reporting)
    one_broker: bool = False
    target: int = 2500 * MS
    work: int = 100 * MS  # mean service time of a part, drawn from half to one and a half of it
    cores: int = 4
    queue_limit: int = 128
    cold_share: float = 0.3
    ramp_time: int = 4 * SECOND
    unlist_delay: int = 3 * SECOND  # until the endpoint list drops a failed holder
    skip_expired: bool = False
    parts: tuple[float, ...] = (0.5, 0.5)  # shares of queries with one part, with two, ...
    worths: tuple[float, ...] = (0.1, 0.4, 0.7, 1.0)
    tenants: int = 12
    clients: int = 4000
    settings: OverloadSettings = field(default_factory=OverloadSettings)

    @property
    def cells(self) -> int:
        """Number of replica sets."""
        return self.holders // self.replicas

    @property
    def capacity(self) -> float:
        """Queries per second that all holders together can answer when warm."""
        mean = sum((number + 1) * share for number, share in enumerate(self.parts))
        return self.holders * self.cores * SECOND / self.work / mean
