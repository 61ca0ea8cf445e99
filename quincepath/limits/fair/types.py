"""Turns of slow queries for the slots towards the holders: types only (docs/design/fair.md)."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
SECOND = 1000 * MS


class Speed(Enum):
    """What a query is taken for; a slow one may be corrected while it runs, and so may a quick one."""

    QUICK = "quick"
    SLOW = "slow"


@dataclass(slots=True, frozen=True)
class Footprint:
    """What is known of a query's cost before it runs: its class, parts, replica sets and time range (ns)."""

    kind: int
    parts: int
    cells: tuple[int, ...]
    span: int = 0


@dataclass(slots=True, frozen=True)
class Enter:
    """A query that came: ``number`` is the caller's own, and free (not waiting, not running)."""

    number: int
    tenant: str
    footprint: Footprint
    target: int  # ns until its client wants the answer, from now
    deadline: int  # own clock: when its client stops waiting


@dataclass(slots=True, frozen=True)
class Freed:
    """Parts of a running query have come back and no others go out for them: their slots are free."""

    number: int
    parts: int


@dataclass(slots=True, frozen=True)
class Done:
    """A query that ran has ended, however. ``slot_time``: ns of slots that it used, all parts together."""

    number: int
    slot_time: int


@dataclass(slots=True, frozen=True)
class Cancelled:
    """The client of a query left, or the query was ended by something else, while it waited or ran.

    ``slot_time`` 0 means unknown: a query that ran is charged what it held.
    """

    number: int
    slot_time: int = 0


@dataclass(slots=True, frozen=True)
class RemoteUsage:
    """News of the ledger: slot time (ns, grows only) of tenants at all other brokers, and its age (ns)."""

    served: Mapping[str, int]
    age: int


@dataclass(slots=True, frozen=True)
class Stop:
    """The broker is told to end: what waits and cannot be served in the time left is refused at once."""

    end: int


Input = Enter | Freed | Done | Cancelled | RemoteUsage | Stop


@dataclass(slots=True, frozen=True)
class Run:
    """It may run now. ``waited``: ns; the module gets what is left of its time."""

    number: int
    speed: Speed
    waited: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """It cannot be answered in its time: refused at once. ``retry_in``: ns of advice."""

    number: int
    cause: str
    retry_in: int


Output = Run | Refuse


@dataclass(slots=True, frozen=True)
class FairSettings:
    """The pool and its queues.

    Times in ns, slot time in ns of one slot. ``ValueError`` for what cannot be.
    """

    slots: int = 64  # parts of all queries that may be out towards the holders at once
    quick_slots: int = 16  # of these, kept for quick queries
    query_slots_most: int = 16  # slots that one query counts for at most
    slow_from: int = 250 * MS  # slot time from which a query counts as slow
    large_from: int = 5 * SECOND  # slot time from which a slow query counts as large
    small_share: float = 0.25  # most of the slow slots that is kept from large ones, as small ones come
    small_floor: int = 1  # slow slots that large ones never take
    waiting_most: int = 1000  # queries that wait at once, of all tenants
    waiting_tenant_most: int = 100  # and of one
    tenants_most: int = 256  # tenants with a queue of their own; further ones share
    shared_queues: int = 8  # queues that further tenants share, by a hash of the name
    cost_entries_most: int = 2048  # kinds of query whose cost is remembered
    credit_most: int = 0  # slot time that an idle tenant may have saved: none
    weights: Mapping[str, float] | None = None  # 1 where not named
    brokers: int = 200  # bound on what news may say: all slots of as many brokers like this one
    remote_usage_fades: int = 5 * SECOND  # news of the ledger older than that counts no more
    retry_after_least: int = 100 * MS  # advice: no sooner
    retry_after_most: int = 10 * SECOND  # advice: no later

    def __post_init__(self) -> None:
        for name in ("slots", "query_slots_most", "slow_from", "large_from", "waiting_most",
                     "waiting_tenant_most", "tenants_most", "shared_queues", "cost_entries_most",
                     "remote_usage_fades", "retry_after_least"):  # fmt: skip
            if getattr(self, name) < 1:
                raise ValueError(f"fair.{name} is {getattr(self, name)}; expected 1 or more")
        if not 0 <= self.quick_slots < self.slots:
            raise ValueError(f"fair.quick_slots is {self.quick_slots}; expected 0 to {self.slots - 1}")
        if not 0 <= self.small_share < 1:
            raise ValueError(f"fair.small_share is {self.small_share}; expected 0 up to 1, without 1")
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
        """What is not kept for quick queries."""
        return self.slots - self.quick_slots
