"""Interface between a broker and the decision module: settings, events and actions.

Times are whole nanoseconds. A node is an opaque byte string. Indexes (class, tenant, zone, kind) start at 0.
This file holds types only; all decisions are made in ``policy/``.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum

NodeId = bytes


class Effect(Enum):
    """Whether a part of a class may be repeated safely."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    UNSAFE = "non_idempotent"


class Result(IntEnum):
    """How an attempt, or a probe, ended."""

    OK = 100
    ERROR = 301
    FULL = 302
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    MOOT = 307


class Phase(IntEnum):
    """State of a node in the list."""

    READY = 1
    GONE = 2
    DRAINING = 3


class Scope(IntEnum):
    """What a ``Members`` event contains."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of query; ``need`` and ``floor`` are shares of the first step's weight."""

    name: str
    target: int
    deadline: int
    effect: Effect
    window: int
    late_worth: float
    need: float
    floor: float
    second_step: int


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits that the site sets."""

    attempts: int
    cancel: bool
    duplicate: bool
    retry_after: bool
    max_retry_after: int
    connect_timeout: int
    idle_close: int
    batch: int


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the rules; ``budget_window`` is 0 where no attempt budget is set."""

    cold_share: float
    ramp_time: int
    fall_multiple: float
    overload_for: int
    must_ask_in: int
    budget_window: int
    budget_free: float
    budget_ratio: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one broker's decision module, given at startup."""

    me: int
    instances: int
    zone: int
    tick: int
    cells: int
    reach: int
    must_ask: bool
    cross_zone_charge: float
    call_work: int
    classes: tuple[QueryClass, ...]
    limits: Limits
    rules: Rules


@dataclass(slots=True, frozen=True)
class Entry:
    """A node in a list; ``since`` is when it last started, 0 if long ago."""

    node: NodeId
    kind: int
    zone: int
    cell: int
    since: int
    phase: Phase
    nominal: float


@dataclass(slots=True, frozen=True)
class Members:
    """The node list or a change of it."""

    scope: Scope
    version: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Query:
    """A query; its parts follow in the same batch."""

    id: int
    number: int
    parts: int
    kind: int
    tenant: int
    time_left: int
    key: int
    cost: int
    repeat: bool


@dataclass(slots=True, frozen=True)
class Part:
    """One part of the query with the same number, at one shard."""

    id: int
    number: int
    weight: float
    shard: int
    key: int
    cost: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of an attempt; ``final`` means that no further attempt at the part may follow."""

    part: int
    attempt: int
    node: NodeId
    result: Result
    elapsed: int
    final: bool
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Probed:
    """Result of a probe."""

    node: NodeId
    result: Result
    elapsed: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Left:
    """The client of a query has disconnected."""

    id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by ``SetTimer`` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class Opened:
    """A streamed answer has begun."""

    part: int
    attempt: int
    node: NodeId


@dataclass(slots=True, frozen=True)
class FromPeer:
    """A message from another broker."""

    sender: int
    text: bytes


@dataclass(slots=True, frozen=True)
class Allowance:
    """Rates that this broker may use until a time, so that the sum over all brokers stays bounded.

    ``extras``: attempts per second beyond a part's first; ``trials``: probe attempts per second to any one
    node where most attempts fail. It only restricts: the attempt budget, the hedge tokens and the limits hold
    as without it.
    """

    extras: float
    trials: float
    until: int


@dataclass(slots=True, frozen=True)
class ReplyPending:
    """A whole reply to an attempt has arrived and is being checked; its ``Outcome`` follows soon.

    No further attempt of the part may be sent before that.
    """

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class RetryDeadline:
    """The part may have been answered: no further attempt of it may be sent after ``at`` (ns)."""

    part: int
    at: int


@dataclass(slots=True, frozen=True)
class LateAnswer:
    """The part is answered, by an attempt whose ``Outcome`` was a time-out."""

    part: int
    attempt: int


Event = (
    Members
    | Query
    | Part
    | Outcome
    | Probed
    | Left
    | TimerFired
    | Opened
    | FromPeer
    | Allowance
    | ReplyPending
    | RetryDeadline
    | LateAnswer
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt for a part."""

    part: int
    node: NodeId
    timeout: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt."""

    part: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer a query from the parts that were answered."""

    id: int
    full: bool


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse a query; a retry does no harm. ``retry_in`` is the advised pause, 0 for no advice."""

    id: int
    retry_in: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a query, with no promise whether it had an effect."""

    id: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request ``TimerFired`` at a time."""

    at: int
    token: int


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for on-call staff."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to the node list."""

    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch the whole node list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a node."""

    node: NodeId


Action = Send | Cancel | Answer | Refuse | Fail | SetTimer | Log | Watch | Fetch | Probe
