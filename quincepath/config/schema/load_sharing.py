"""What brokers tell each other of themselves, what is made of it, and turns of slow queries."""

from pydantic import Field, model_validator

from quincepath.config.schema.base import MS, SECOND, Count, Model, Name
from quincepath.config.values import Duration, Share


class LedgerEntry(Model):
    """The ledger. The same on all brokers of a fleet."""

    period: Duration = 500 * MS  # between reports of one broker
    window: Duration = 2 * SECOND  # that sums are of
    forget: Duration = 10 * SECOND  # sums older than that are no knowledge
    most_rate: float = Field(2000.0, gt=0)  # queries a second that one broker counts for at most

    @model_validator(mode="after")
    def _sound(self) -> "LedgerEntry":
        if not 50 * MS <= self.period or not 2 * self.period <= self.window <= self.forget:
            raise ValueError("expected a period of at least 50ms, and 2 * period <= window <= forget")
        return self


class OverloadEntry(Model):
    """Overload handled by the fleet as one; on a fleet with a ledger only."""

    late_share: Share = 0.05  # of what was let in: beyond it more is shed,
    calm_share: Share = 0.02  # and below this one less
    alone_share: float = Field(0.0, ge=0)  # queries a second that one broker lets in; 0: as many as come
    trial_rate: float = Field(2.0, gt=0)  # sends a second of all brokers at one doubted holder
    dial_rate: float = Field(10.0, gt=0)  # new connections a second of all brokers to one holder
    further_ratio: float = Field(0.1, ge=0)  # further sends of all brokers for each first one
    further_free: float = Field(1.0, ge=0)  # and a second for the whole fleet besides

    @model_validator(mode="after")
    def _sound(self) -> "OverloadEntry":
        if not self.calm_share < self.late_share:
            raise ValueError("expected calm_share below late_share")
        return self


class FairEntry(Model):
    """Turns of slow queries for slots towards the holders."""

    slots: Count = 64  # parts of all queries out at once
    quick_slots: int = Field(16, ge=0)  # of these, kept for quick queries
    slow_from: Duration = 250 * MS  # slot time from which a query is slow
    waiting_most: Count = 1000
    waiting_tenant_most: Count = 100

    @model_validator(mode="after")
    def _sound(self) -> "FairEntry":
        if not self.quick_slots < self.slots:
            raise ValueError(f"expected quick_slots below slots ({self.slots})")
        return self


class TenantEntry(Model):
    """A tenant that has another weight than 1. ``name``: as in the scope header."""

    name: Name
    weight: float = Field(1.0, ge=0.01, le=100)
