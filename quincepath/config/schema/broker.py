"""One broker: its limits, its rules, its asks and its traces."""

from pydantic import Field, model_validator

from quincepath.asks.registry import RegistryLimits
from quincepath.config.schema.base import MS, SECOND, Count, Model, Name
from quincepath.config.schema.load_sharing import FairEntry
from quincepath.config.values import Duration, Share, Size
from quincepath.limits.admission import AdmissionBounds


class LimitsEntry(Model):
    """What a broker may do at most."""

    attempts: int = Field(3, ge=1, le=16)
    second_copies: bool = True
    batch: int = Field(1, ge=1, le=64)
    connect_timeout: Duration = 250 * MS
    idle_close: Duration = 15 * SECOND
    connections_per_holder: Count = 32
    max_retry_after: Duration = 10 * SECOND
    max_open: Count = 4000  # queries and parts held at once
    max_asks: Count = 4000  # queries held at once
    max_bytes: Size = 1 << 30  # of requests and expected answers held at once
    max_memory: Size = 0  # bytes resident at which nothing new is taken; 0: not watched
    max_answer: Size = 64 << 20  # bytes of one holder's answer, decompressed
    max_merged: Size = 128 << 20  # bytes of one merged answer, before compression
    max_queries: int = Field(64, ge=1, le=4096)  # queries in one request
    fair: FairEntry | None = None  # turns of slow queries; absent: nothing waits


class RulesEntry(Model):
    """The figures of the rules."""

    drain_grace: Duration = 500 * MS
    cold_share: Share = 0.2
    ramp_time: Duration = 16 * SECOND
    fall_multiple: float = Field(2.0, gt=0)
    overload_for: Duration = 2 * SECOND
    budget_window: Duration = 0
    budget_free: float = Field(0.0, ge=0)
    budget_ratio: float = Field(0.0, ge=0)


class TracesEntry(Model):
    """Where spans are written (JSON lines, appended to), and which share of the sound ones is kept."""

    file: Name | None = None
    share: Share = 0.01


class AsksEntry(Model):
    """Which requests are tries of one ask. Of several headers, the first that is there counts."""

    key_headers: list[Name] = ["Idempotency-Key"]  # vouched for: one body a key
    id_headers: list[Name] = ["X-Request-Id"]  # an id may come again with another body: another ask
    scope_header: Name = "X-Scope-OrgID"  # asks of different scopes are never one
    remember: Duration = 10 * SECOND  # a marked ask's answer, for tries that come after it
    most_remembered: Count = 10_000
    most_bytes: Size = 64 << 20  # of remembered answers
    linger: Duration = 300 * MS  # a marked ask runs on for a retry when its last client has gone
    most_tries: Count = 64  # that wait for one ask
    unmarked_within: Duration = 0  # equal bodies of one address so soon are tries of one ask; 0: never
    share_equal: bool = True  # equal requests in flight are run once


class BrokerEntry(Model):
    """This broker among its peers. ``tick`` is the reserve for carrying an answer to its client."""

    number: int = Field(0, ge=0)
    brokers: Count = 1
    zone: str = ""
    seed: int = 0
    tick: Duration = 5 * MS
    cross_zone_charge: float = Field(0.0, ge=0)
    call_work: Duration = 0

    @model_validator(mode="after")
    def _one_of(self) -> "BrokerEntry":
        if self.number >= self.brokers:
            raise ValueError(f"expected number below brokers ({self.brokers})")
        return self


def registry_limits(asks: AsksEntry, tick: int) -> RegistryLimits:
    """What the book of asks and tries is bound to."""
    return RegistryLimits(
        remember=asks.remember,
        most_remembered=asks.most_remembered,
        most_bytes=asks.most_bytes,
        linger=asks.linger,
        most_tries=asks.most_tries,
        reserve=tick,
    )


def admission_bounds(limits: LimitsEntry) -> AdmissionBounds:
    """What admission is bound to."""
    return AdmissionBounds(limits.max_asks, limits.max_open, limits.max_bytes, limits.max_retry_after)
