"""Settings of one broker: identity, limits, rules, asks and traces."""

from pydantic import Field, model_validator

from quincepath.asks.registry import RegistryLimits
from quincepath.config.schema.base import MS, SECOND, Count, Model, Name
from quincepath.config.schema.load_sharing import FairEntry
from quincepath.config.values import Duration, Share, Size
from quincepath.limits.admission import AdmissionBounds


class LimitsEntry(Model):
    """Limits of one broker."""

    attempts: int = Field(3, ge=1, le=16)
    second_copies: bool = True
    batch: int = Field(1, ge=1, le=64)
    connect_timeout: Duration = 250 * MS
    idle_close: Duration = 15 * SECOND
    connections_per_holder: Count = 32
    max_retry_after: Duration = 10 * SECOND
    max_open: Count = 4000  # queries and parts open at once
    max_asks: Count = 4000  # queries open at once
    max_bytes: Size = 1 << 30  # of requests and expected answers in memory at once
    max_memory: Size = 0  # resident bytes at which no new query is admitted; 0: not monitored
    max_answer: Size = 64 << 20  # bytes of one holder's answer, decompressed
    max_merged: Size = 128 << 20  # bytes of one merged answer, before compression
    max_queries: int = Field(64, ge=1, le=4096)  # queries in one request
    fair: FairEntry | None = None  # fair queueing of slow queries; absent: no queue


class RulesEntry(Model):
    """Parameters of the rules for sending."""

    drain_grace: Duration = 500 * MS
    cold_share: Share = 0.2
    ramp_time: Duration = 16 * SECOND
    fall_multiple: float = Field(2.0, gt=0)
    overload_for: Duration = 2 * SECOND
    budget_window: Duration = 0
    budget_free: float = Field(0.0, ge=0)
    budget_ratio: float = Field(0.0, ge=0)


class TracesEntry(Model):
    """File that spans are appended to as JSON lines, and the share of normal traces that is kept."""

    file: Name | None = None
    share: Share = 0.01


class AsksEntry(Model):
    """Which requests are tries of one ask. Of several headers, the first one present counts."""

    key_headers: list[Name] = ["Idempotency-Key"]  # strict: a key belongs to one body only
    id_headers: list[Name] = ["X-Request-Id"]  # an id that recurs with another body starts another ask
    scope_header: Name = "X-Scope-OrgID"  # asks of different scopes are never shared
    remember: Duration = 10 * SECOND  # how long the answer of a keyed ask is kept for later tries
    most_remembered: Count = 10_000
    most_bytes: Size = 64 << 20  # of remembered answers
    linger: Duration = 300 * MS  # a keyed ask keeps running for a retry after its last client left
    most_tries: Count = 64  # that wait for one ask
    unmarked_within: Duration = 0  # equal bodies of one address within it are tries of one ask; 0: never
    share_equal: bool = True  # equal requests in flight share one run


class BrokerEntry(Model):
    """This broker among its peers. ``tick`` is time reserved for delivering an answer to its client."""

    number: int = Field(0, ge=0)
    brokers: Count = 1
    zone: str = ""
    seed: int = 0
    tick: Duration = 5 * MS
    cross_zone_charge: float = Field(0.0, ge=0)
    call_work: Duration = 0

    @model_validator(mode="after")
    def _check_number(self) -> "BrokerEntry":
        if self.number >= self.brokers:
            raise ValueError(f"expected number below brokers ({self.brokers})")
        return self


def registry_limits(asks: AsksEntry, tick: int) -> RegistryLimits:
    """Limits of the ask registry."""
    return RegistryLimits(
        remember=asks.remember,
        most_remembered=asks.most_remembered,
        most_bytes=asks.most_bytes,
        linger=asks.linger,
        most_tries=asks.most_tries,
        reserve=tick,
    )


def admission_bounds(limits: LimitsEntry) -> AdmissionBounds:
    """Bounds of admission."""
    return AdmissionBounds(limits.max_asks, limits.max_open, limits.max_bytes, limits.max_retry_after)
