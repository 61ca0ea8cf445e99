"""What brokers tell each other of themselves, and what falls out of it: types only.

A broker counts itself in counts that only grow (``Counts``); they travel with (member, boot) and a sequence
number, so that losses, doubles, old news and restarts never count twice. What all use are ``Totals``: sums
over the fleet within a window, with their age and coverage. They are beliefs: a consumer may do less for them
than its configuration allows it alone, never more (docs/design/ledger.md).

Times: integer ns of the reader's own clock; no wall clock travels.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

MS = 1_000_000
SECOND = 1000 * MS
PRIORITY_BANDS = 64  # steps of the one order of queries in which arrivals are counted
MAX_CLASSES = 32  # classes of query that are told apart
MAX_REPLICA_SETS = 1024  # replica sets that are told apart
MAX_NAMED_TENANTS = 32  # heavy tenants named in one report; the others are one rest


class Count(IntEnum):
    """What became of a query, by class. ``TAKEN`` counts each that arrived, whatever became of it."""

    TAKEN = 0
    IN_TIME = 1  # whole or partial within its target
    LATE = 2  # answered after it
    REFUSED = 3  # by the module: not expected to finish
    SHED = 4  # by the fleet's line
    TURNED_AWAY = 5  # by admission's own bounds, or a slow query's turn that cannot come in time
    FAILED = 6
    LEFT = 7  # its client went away


class SendKind(IntEnum):
    """What was sent to holders."""

    FIRST = 0  # first attempts of parts
    FURTHER = 1  # further attempts and copies
    TRIAL = 2  # sends to a holder that this broker doubts
    DIAL = 3  # new connections


@dataclass(slots=True)
class TenantCount:
    """Of one tenant at one broker: slot time used by slow queries (ns, grows only), and what waits now.

    ``base``: what all tenants of the broker together had used when this one was last taken into its table.
    ``slot_time`` goes on from there, so that a tenant that fell out of the table and came back still grows.
    """

    slot_time: int = 0
    waiting: int = 0
    base: int = 0


@dataclass(slots=True)
class ReplicaSetCount:
    """Of one replica set at one broker: parts asked for, and refused or turned away; grow only."""

    demand: int = 0
    refused: int = 0


@dataclass(slots=True)
class Counts:
    """All that a broker counts of itself since its start. All but ``waiting`` and ``line`` only grow."""

    by_class: list[list[int]] = field(default_factory=list)  # [class][Count]
    sends: list[int] = field(default_factory=lambda: [0] * len(SendKind))
    arrivals: list[int] = field(default_factory=lambda: [0] * PRIORITY_BANDS)  # by place in the one order
    tenants: dict[str, TenantCount] = field(default_factory=dict)
    replica_sets: dict[int, ReplicaSetCount] = field(default_factory=dict)
    threshold: float = 0.0  # where this broker has the fleet's line now, 0 (nothing shed) to 1
    slot_time: int = 0  # ns, of all tenants, also those not named
    waiting: int = 0  # slow queries that wait now, of all tenants
    uptime: int = 0  # ns since it began to count


@dataclass(slots=True, frozen=True)
class TenantTotal:
    """Of one tenant, at all brokers heard: slot time within the window (ns), and what waits now."""

    slot_time: float
    waiting: float


@dataclass(slots=True, frozen=True)
class ReplicaSetTotal:
    """Of one replica set, at all brokers heard, within the window."""

    demand: float
    refused: float


@dataclass(slots=True, frozen=True)
class Totals:
    """Sums over the brokers heard, within windows that ended at ``at`` (own clock) on the mean of them.

    Coverage, as it was then: of ``of`` members believed to live, ``heard`` are in it whose reports were
    no older than ``fresh_within`` and cover the whole window; the others count as far as is known of them.
    Sums are not scaled up: each consumer says what it does below which coverage. No single broker counts for
    more than the stated bound of the settings.
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
    threshold: float = 0.0  # mean of the lines of those heard

    @property
    def coverage(self) -> float:
        """Share of the members believed to live that are in the sums, 0 to 1."""
        return min(self.reporting / self.live, 1.0) if self.live else 0.0

    def count(self, outcome: Count) -> float:
        """Over all classes."""
        return sum(row[outcome] for row in self.by_class)


@dataclass(slots=True, frozen=True)
class LoadReportSettings:
    """How the ledger is kept. Times in ns."""

    period: int = 500 * MS  # between reports of one broker
    window: int = 5 * SECOND  # that totals are of
    fresh_within: int = 2 * SECOND  # a report older than that is not in the coverage
    forget: int = 10 * SECOND  # totals older than that are no knowledge at all
    most_rate: float = 2000.0  # queries a second that one broker counts for at most; its other counts in step
    share_most: float = 8.0  # and at most so many times the mean of the others, where three or more are heard
    free_rate: float = 100.0  # queries a second that count whatever the others have
    max_sends_per_query: float = 64.0  # sends, and parts asked of replica sets, for each of these queries
    max_slots: float = 256.0  # slots of slow queries that one broker counts for at most
    group_size: int = 16  # members, or groups, that are summed up in one place
    report_datagrams: int = 2  # datagrams of one report or sum in one period
    aggregators: int = 3  # members that sum up at the same time

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
