"""Types of the load reports: the counts that brokers report and the totals made of them.

A broker counts its own work in counters that only grow (``Counts``). They travel with (member, boot) and a
sequence number, so that lost, duplicated or reordered datagrams and restarts never count anything twice.
Consumers read ``Totals``: sums over the fleet within a window, with their age and coverage. Totals are
estimates: on their account a consumer may do less than its configuration allows it alone, never more
(docs/design/ledger.md).

Times: integer ns of the reader's own clock; no wall clock time is sent.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

MS = 1_000_000
SECOND = 1000 * MS
PRIORITY_BANDS = 64  # bands of the priority order in which arrivals are counted
MAX_CLASSES = 32  # query classes that are counted apart
MAX_REPLICA_SETS = 1024  # replica sets that are counted apart
MAX_NAMED_TENANTS = 32  # heavy tenants named in one report; all others are summed as the rest


class Count(IntEnum):
    """Outcome of a query, by class. ``TAKEN`` counts every arrival, whatever its outcome."""

    TAKEN = 0
    IN_TIME = 1  # a whole or partial answer within its target
    LATE = 2  # answered after its target
    REFUSED = 3  # by the decision module: not expected to finish in time
    SHED = 4  # below the shedding threshold of the fleet
    TURNED_AWAY = 5  # by admission limits, or a slow query whose turn cannot come in time
    FAILED = 6
    LEFT = 7  # its client disconnected


class SendKind(IntEnum):
    """Kind of a send to storage nodes."""

    FIRST = 0  # first attempts of parts
    FURTHER = 1  # further attempts and hedged copies
    TRIAL = 2  # probing sends to a node that this broker suspects
    DIAL = 3  # new connections


@dataclass(slots=True)
class TenantCount:
    """Of one tenant at one broker: slot time used by slow queries (ns, only grows), and how many wait now.

    ``base``: what all tenants of the broker together had used when this tenant last entered its table.
    ``slot_time`` continues from there, so that it still grows for a tenant that was evicted and came back.
    """

    slot_time: int = 0
    waiting: int = 0
    base: int = 0


@dataclass(slots=True)
class ReplicaSetCount:
    """Of one replica set at one broker: parts requested and parts refused or turned away; both only grow."""

    demand: int = 0
    refused: int = 0


@dataclass(slots=True)
class Counts:
    """All counts of a broker since its start. All but ``waiting`` and ``threshold`` only grow."""

    by_class: list[list[int]] = field(default_factory=list)  # [class][Count]
    sends: list[int] = field(default_factory=lambda: [0] * len(SendKind))
    arrivals: list[int] = field(default_factory=lambda: [0] * PRIORITY_BANDS)  # by band of the priority order
    tenants: dict[str, TenantCount] = field(default_factory=dict)
    replica_sets: dict[int, ReplicaSetCount] = field(default_factory=dict)
    threshold: float = 0.0  # shedding threshold of this broker now, 0 (nothing shed) to 1
    slot_time: int = 0  # ns, of all tenants, also of those not named
    waiting: int = 0  # slow queries that wait now, of all tenants
    uptime: int = 0  # ns since counting began


@dataclass(slots=True, frozen=True)
class TenantTotal:
    """Of one tenant at all reporting brokers: slot time within the window (ns) and waiting queries."""

    slot_time: float
    waiting: float


@dataclass(slots=True, frozen=True)
class ReplicaSetTotal:
    """Of one replica set, at all reporting brokers, within the window."""

    demand: float
    refused: float


@dataclass(slots=True, frozen=True)
class Totals:
    """Sums over the reporting brokers, within windows that ended at ``at`` (own clock) on the mean of them.

    Coverage at that time: of the ``live`` members (believed live), ``reporting`` ones are included with
    reports that were no older than ``fresh_within`` and cover the whole window; the others are included as
    far as is known of them. Sums are not scaled up: each consumer states what it does below which coverage.
    No single broker contributes more than the bound given by the settings.
    """

    at: int
    window: int
    reporting: int
    live: int
    by_class: tuple[tuple[float, ...], ...] = ()  # [class][Count]
    sends: tuple[float, ...] = (0.0,) * len(SendKind)
    arrivals: tuple[float, ...] = (0.0,) * PRIORITY_BANDS
    tenants: Mapping[str, TenantTotal] = field(default_factory=dict)
    rest: TenantTotal = TenantTotal(0.0, 0.0)  # of all tenants that are not named
    replica_sets: Mapping[int, ReplicaSetTotal] = field(default_factory=dict)
    threshold: float = 0.0  # mean threshold of the reporting brokers

    @property
    def coverage(self) -> float:
        """Share of the live members that are included in the sums, 0 to 1."""
        return min(self.reporting / self.live, 1.0) if self.live else 0.0

    def count(self, outcome: Count) -> float:
        """Sum of one outcome over all classes."""
        return sum(row[outcome] for row in self.by_class)


@dataclass(slots=True, frozen=True)
class LoadReportSettings:
    """Settings of the load reports. Times in ns."""

    period: int = 500 * MS  # between two reports of one broker
    window: int = 5 * SECOND  # of the totals
    fresh_within: int = 2 * SECOND  # a report older than that does not count as coverage
    forget: int = 10 * SECOND  # totals older than that are not used at all
    most_rate: float = 2000.0  # queries a second that one broker contributes at most; others in proportion
    share_most: float = 8.0  # and at most so many times the mean of the others, where three or more report
    free_rate: float = 100.0  # queries a second that always count, whatever the others report
    max_sends_per_query: float = 64.0  # sends, and parts requested of replica sets, for each of these queries
    max_slots: float = 256.0  # slots of slow queries that one broker contributes at most
    group_size: int = 16  # members, or groups, that are summed up by one aggregator
    report_datagrams: int = 2  # datagrams of one report or sum in one period
    aggregators: int = 3  # members that sum up the same group at the same time

    def __post_init__(self) -> None:
        minimums = {
            "period": MS,
            "window": self.period,
            "fresh_within": self.period,
            "forget": self.fresh_within,
        }
        for name, value in {**minimums, "group_size": 2, "aggregators": 1, "report_datagrams": 1}.items():
            if getattr(self, name) < value:
                raise ValueError(f"ledger.{name}: {getattr(self, name)}; expected {value} or more")
        for name in ("most_rate", "share_most", "max_sends_per_query", "max_slots"):
            if not getattr(self, name) > 0:
                raise ValueError(f"ledger.{name}: {getattr(self, name)}; expected more than 0")
        if not 0 <= self.free_rate <= self.most_rate:
            raise ValueError(
                f"ledger.free_rate: {self.free_rate}; expected 0 to most_rate ({self.most_rate})"
            )
