"""One order of all queries and what a broker may spend: types only (docs/design/overload.md).

The *place* of a query in the order is a number from 0 (shed first) to below 1 (shed last): its worth first,
then how far its tenant is over its share, then a hash of tenant and client that stays the same for a while.
A query shed here would be shed at any other broker, too. A *line* is a place: what is below it is shed.
"""

from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
SECOND = 1000 * MS


class ShedReason(Enum):
    """Why a query is shed."""

    FLEET = "the fleet is overloaded"
    CELL = "a replica set is full"
    RETRY = "its tenant's retries are over their share while the fleet sheds"
    SHARE = "the fleet's state is not known and this broker is over its share"


@dataclass(slots=True, frozen=True)
class Arrival:
    """A query as it comes, before any part is sent. ``cells``: the replica sets that it touches."""

    kind: int
    worth: float  # of its class, 0 to 1
    tenant: str
    client: str
    replica_sets: tuple[int, ...]
    time_left: int
    marked_retry: bool = False


@dataclass(slots=True, frozen=True)
class Shed:
    """It is refused at once. ``retry_in``: ns until its client should come back, spread; 0: no advice."""

    reason: ShedReason
    priority: float
    retry_in: int


@dataclass(slots=True, frozen=True)
class SendBudget:
    """What this broker may spend until a time: becomes the module's ``Allowance``.

    ``extras``: further sends a second; ``trials``: sends a second to any one doubted or cold holder;
    ``dials``: new connections a second to any one holder. Never more than it may do alone by configuration.
    """

    extras: float
    trials: float
    dials: float
    until: int


@dataclass(slots=True, frozen=True)
class LocalStats:
    """What this broker saw itself within a window (ns) that ended now: news that no network can take away.

    ``arrivals``: by band of the order; ``let``: queries that passed the lines; ``ended``: of those, the ones
    whose end is known; ``bad``: of those, late, refused by the module or failed; ``refused``: shed, refused
    or turned away; ``first``: first sends of parts, and ``first_rate`` those a second within the last period
    (less than 0: not told).
    """

    window: int
    arrivals: tuple[float, ...]
    admitted: float = 0.0
    ended: float = 0.0
    bad: float = 0.0
    refused: float = 0.0
    first: float = 0.0
    first_rate: float = -1.0


@dataclass(slots=True, frozen=True)
class Decision:
    """What one step decided. ``line``: for ``Counts.line``; ``trust``: weight of the fleet's line, 0 to 1."""

    threshold: float
    confidence: float
    replica_set_thresholds: dict[int, float]
    send_budget: SendBudget
    retry_window: int  # advice is drawn over this time, ns


@dataclass(slots=True, frozen=True)
class OverloadSettings:
    """How the lines move and what is handed out. Times in ns."""

    period: int = 500 * MS  # between moves of a line
    late_share: float = 0.03  # late, refused and failed of those let in: above it a line goes up
    calm_share: float = 0.01  # and below this one it comes down: between the two it stands (hysteresis)
    max_growth_share: float = 0.08  # of what is let in that may be on its way beyond what ends
    max_decrease: float = 0.8  # most of the let-in work that one move takes away
    min_increase: float = (
        0.02  # and gives back at first; each calm move in a row gives back 1.4 times as much,
    )
    max_increase: float = 0.2  # up to this
    capacity_decay: int = (
        8 * SECOND
    )  # what the fleet can do fades to 1/e in this time over the share of bad ends
    capacity_margin: float = (
        0.85  # of it: while less is served and nothing ends badly, the line opens quickly
    )
    min_admitted_share: float = 0.02  # share of the arrivals that is let in at least: the way back stays open
    min_window: int = 2 * SECOND  # shorter windows move no line: what is on its way is too much of them
    min_sample: float = 20.0  # ended queries that a move needs to go by
    min_coverage: float = 0.4  # of the fleet that has to be heard for the fleet's line to count at all,
    full_coverage: float = 0.6  # and to count in full: between the two its weight grows evenly
    stale_after: int = 2 * SECOND  # totals older than that fade to the configured share, until ``forget``
    forget: int = 10 * SECOND
    budget_ratio: float = 0.1  # further sends of all brokers for each first one
    budget_free: float = 1.0  # and a second for the whole fleet besides
    trial_rate: float = 2.0  # sends a second of all brokers at one doubted, cold or returned holder
    dial_rate: float = 10.0  # new connections a second of all brokers to one holder
    brokers: int = 1  # as configured: what is shared out while the number of the living is not known
    alone_share: float = 0.0  # queries a second that this broker lets in at most; 0: as many as come
    alone_extras: float = 0.25  # further sends for each first one that it may spend alone
    alone_trials: float = 0.25  # sends a second to one doubted holder that it may spend alone
    alone_dials: float = 10.0  # and new connections
    epoch: int = 3600 * SECOND  # of the fleet's age: so long the order among equals stays
    min_retry_after: int = 250 * MS  # advice: at least, and at most
    max_retry_after: int = 10 * SECOND
    retry_share: float = 0.5  # marked retries taken of a tenant for each of its first tries, while shedding
    max_tenants: int = 256  # tenants told apart; the others are one
    max_replica_sets: int = 1024  # replica sets that may have a line; further ones have none
    weights: dict[str, float] = field(default_factory=dict)  # of tenants; 1 where not named
