"""Types of overload control: priorities of queries and what a broker may send (docs/design/overload.md).

The *priority* of a query is a number from 0 (shed first) to below 1 (shed last): its worth first, then how
far its tenant is over its share, then a hash of tenant and client that stays the same for a while. A query
shed here would be shed at any other broker, too. A *threshold* is a priority: queries below it are shed.
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
    """A query on arrival, before any part is sent. ``replica_sets``: the ones it needs."""

    kind: int
    worth: float  # of its class, 0 to 1
    tenant: str
    client: str
    replica_sets: tuple[int, ...]
    time_left: int
    marked_retry: bool = False


@dataclass(slots=True, frozen=True)
class Shed:
    """The query is refused at once. ``retry_in``: ns until its client should retry, spread; 0: no advice."""

    reason: ShedReason
    priority: float
    retry_in: int


@dataclass(slots=True, frozen=True)
class SendBudget:
    """What this broker may send until a time: becomes the ``Allowance`` of the decision module.

    ``extras``: further sends a second; ``trials``: sends a second to any one suspected or cold node;
    ``dials``: new connections a second to any one node. Never more than the configuration allows it alone.
    """

    extras: float
    trials: float
    dials: float
    until: int


@dataclass(slots=True, frozen=True)
class LocalStats:
    """This broker's own statistics of a window (ns) that ended now, known whatever the network loses.

    ``arrivals``: by band of the priority order; ``admitted``: queries that passed the thresholds; ``ended``:
    of those, the ones with a known outcome; ``bad``: of those, late, refused by the decision module or
    failed; ``refused``: shed, refused or turned away; ``first``: first sends of parts, and ``first_rate``
    those a second within the last period (less than 0: not known).
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
    """Result of a step. ``threshold``: for ``Counts``; ``confidence``: weight of the totals, 0 to 1."""

    threshold: float
    confidence: float
    replica_set_thresholds: dict[int, float]
    send_budget: SendBudget
    retry_window: int  # retry advice is spread over this time, ns


@dataclass(slots=True, frozen=True)
class OverloadSettings:
    """How thresholds are updated and what brokers may send. Times in ns."""

    period: int = 500 * MS  # between updates of a threshold
    late_share: float = 0.03  # late, refused and failed of those admitted: above it a threshold goes up
    calm_share: float = 0.01  # and below this one it comes down: between the two it stays (hysteresis)
    max_growth_share: float = 0.08  # of the admitted queries: as many may be in flight beyond those that end
    max_decrease: float = 0.8  # largest relative decrease of the admitted share in one update
    min_increase: float = 0.02  # and its increase at first; each calm update in a row 1.4 times as much,
    max_increase: float = 0.2  # up to this
    capacity_decay: int = 8 * SECOND  # over the share of bad outcomes: the capacity estimate decays to 1/e
    capacity_margin: float = 0.85  # of it: below, and with nothing ending badly, the threshold falls quickly
    min_admitted_share: float = 0.02  # of the arrivals, always admitted: recovery stays possible
    min_window: int = 2 * SECOND  # shorter windows update no threshold: too much of them is in flight
    min_sample: float = 20.0  # ended queries needed for an update
    min_coverage: float = 0.4  # of the fleet that has to report for the fleet's threshold to count at all,
    full_coverage: float = 0.6  # and to count in full: in between its weight grows linearly
    stale_after: int = 2 * SECOND  # totals older than that fade to the configured share, until ``forget``
    forget: int = 10 * SECOND
    budget_ratio: float = 0.1  # further sends of all brokers for each first send
    budget_free: float = 1.0  # and a second for the whole fleet in addition
    trial_rate: float = 2.0  # sends a second of all brokers to one suspected, cold or returned node
    dial_rate: float = 10.0  # new connections a second of all brokers to one node
    brokers: int = 1  # as configured: budgets are divided by it while the number of live brokers is not known
    alone_share: float = 0.0  # queries a second that this broker admits at most; 0: no limit
    alone_extras: float = 0.25  # further sends for each first send that it may make alone
    alone_trials: float = 0.25  # sends a second to one suspected node that it may make alone
    alone_dials: float = 10.0  # and new connections
    epoch: int = 3600 * SECOND  # of the fleet's age: the order among equals stays the same for so long
    min_retry_after: int = 250 * MS  # retry advice: at least, and at most
    max_retry_after: int = 10 * SECOND
    retry_share: float = 0.5  # marked retries admitted of a tenant for each first try, while shedding
    max_tenants: int = 256  # tenants told apart; the others are one
    max_replica_sets: int = 1024  # replica sets that may have a threshold; further ones have none
    weights: dict[str, float] = field(default_factory=dict)  # of tenants; 1 where not named
