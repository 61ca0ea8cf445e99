"""Inputs, outputs and settings of the fair scheduler for slow queries; types only (docs/design/fair.md)."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000  # ns
SECOND = 1000 * MS  # ns


class Speed(Enum):
    """The expected speed of a query; it may be corrected while the query runs."""

    QUICK = "quick"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Footprint:
    """What predicts a query's cost before it runs: class, number of parts, replica sets, time range (ns)."""

    kind: int
    parts: int
    cells: tuple[int, ...]
    span: int = 0


@dataclass(slots=True, frozen=True)
class Enter:
    """A query arrived. The caller chooses ``number``; no waiting or running query may have it."""

    number: int
    tenant: str
    footprint: Footprint
    target: int  # ns from now until its client wants the answer
    deadline: int  # by the broker's clock: when its client stops waiting


@dataclass(slots=True, frozen=True)
class Freed:
    """Parts of a running query have come back and no others go out for them: their slots are free."""

    number: int
    parts: int


@dataclass(slots=True, frozen=True)
class Done:
    """A running query has ended, whatever its result. ``slot_time``: ns of slots used by all its parts."""

    number: int
    slot_time: int


@dataclass(slots=True, frozen=True)
class Cancelled:
    """The client of a waiting or running query left, or something else ended the query.

    ``slot_time`` 0 means unknown: a query that ran is then charged for the time it held its slots.
    """

    number: int
    slot_time: int = 0


@dataclass(slots=True, frozen=True)
class RemoteUsage:
    """Report of the ledger: total slot time (ns) of tenants at all other brokers, and its age (ns)."""

    served: Mapping[str, int]
    age: int


@dataclass(slots=True, frozen=True)
class Stop:
    """The broker stops at ``end``: waiting queries that cannot be served by then are refused at once."""

    end: int


Input = Enter | Freed | Done | Cancelled | RemoteUsage | Stop


@dataclass(slots=True, frozen=True)
class Run:
    """The query may run now. ``waited``: ns; the decision module gets what is left of its time."""

    number: int
    speed: Speed
    waited: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """The query cannot be answered in its time and is refused. ``retry_in``: advised delay in ns."""

    number: int
    cause: str
    retry_in: int


Output = Run | Refuse


@dataclass(slots=True, frozen=True)
class FairSettings:
    """Settings of the slot pool and its queues.

    Times in ns, slot time in ns of one slot. Raises ``ValueError`` for values out of range.
    """

    slots: int = 64  # parts of all queries that may be out at the holders at once
    quick_slots: int = 16  # of these, reserved for quick queries
    query_slots_most: int = 16  # slots that one query counts for at most
    slow_from: int = 250 * MS  # slot time from which a query counts as slow
    large_from: int = 5 * SECOND  # slot time from which a slow query counts as large
    small_share: float = 0.25  # largest share of the slow slots that demand of small queries keeps from large
    small_floor: int = 1  # slow slots that large queries never take
    waiting_most: int = 1000  # waiting queries of all tenants
    waiting_tenant_most: int = 100  # waiting queries of one tenant
    tenants_most: int = 256  # tenants with a queue of their own; further ones share queues
    shared_queues: int = 8  # queues that further tenants share, by a hash of the name
    cost_entries_most: int = 2048  # entries of the cost model
    credit_most: int = 0  # slot time that an idle tenant may save up: none
    weights: Mapping[str, float] | None = None  # by tenant; 1 where not named
    brokers: int = 200  # bounds remote usage: all slots of as many brokers like this one
    remote_usage_fades: int = 5 * SECOND  # age from which a report of remote usage counts no more
    retry_after_least: int = 100 * MS  # shortest advised retry delay
    retry_after_most: int = 10 * SECOND  # longest advised retry delay

    def __post_init__(self) -> None:
        for name in ("slots", "query_slots_most", "slow_from", "large_from", "waiting_most",
                     "waiting_tenant_most", "tenants_most", "shared_queues", "cost_entries_most",
                     "remote_usage_fades", "retry_after_least"):  # fmt: skip
            if getattr(self, name) < 1:
                raise ValueError(f"fair.{name} is {getattr(self, name)}; expected 1 or more")
        if not 0 <= self.quick_slots < self.slots:
            raise ValueError(f"fair.quick_slots is {self.quick_slots}; expected 0 to {self.slots - 1}")
        if not 0 <= self.small_share < 1:
            raise ValueError(f"fair.small_share is {self.small_share}; expected 0 or more and less than 1")
        if not 0 <= self.small_floor < self.slow_slots:
            raise ValueError(f"fair.small_floor is {self.small_floor}; expected 0 to {self.slow_slots - 1}")
        if self.credit_most < 0 or self.retry_after_most < self.retry_after_least:
            raise ValueError(
                f"fair.credit_most is {self.credit_most}, retry_after_most {self.retry_after_most}; "
                f"expected 0 or more, and at least retry_after_least ({self.retry_after_least})"
            )
        for tenant, weight in (self.weights or {}).items():
            if not 0.01 <= weight <= 100:
                raise ValueError(f"fair.weights[{tenant!r}] is {weight}; expected 0.01 to 100")

    @property
    def slow_slots(self) -> int:
        """Slots that are not reserved for quick queries."""
        return self.slots - self.quick_slots
