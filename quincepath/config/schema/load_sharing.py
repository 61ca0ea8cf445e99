"""Load reports between brokers, overload control by them, and fair queueing of slow queries."""

from pydantic import Field, model_validator

from quincepath.config.schema.base import MS, SECOND, Count, Model, Name
from quincepath.config.values import Duration, Share


class LedgerEntry(Model):
    """The load reports (ledger). Equal on all brokers of a fleet."""

    period: Duration = 500 * MS  # between reports of one broker
    window: Duration = 2 * SECOND  # of the totals
    forget: Duration = 10 * SECOND  # older totals are ignored
    most_rate: float = Field(2000.0, gt=0)  # maximum queries a second counted for one broker

    @model_validator(mode="after")
    def _check_values(self) -> "LedgerEntry":
        if not 50 * MS <= self.period or not 2 * self.period <= self.window <= self.forget:
            raise ValueError("expected a period of at least 50ms, and 2 * period <= window <= forget")
        return self


class OverloadEntry(Model):
    """Overload control of the whole fleet; needs a ledger."""

    late_share: Share = 0.05  # of admitted queries: above this share more is shed,
    calm_share: Share = 0.02  # and below this share less
    alone_share: float = Field(0.0, ge=0)  # queries a second without recent totals; 0: unlimited
    trial_rate: float = Field(2.0, gt=0)  # sends a second from all brokers to one suspected holder
    dial_rate: float = Field(10.0, gt=0)  # new connections a second from all brokers to one holder
    further_ratio: float = Field(0.1, ge=0)  # further sends of all brokers per first send
    further_free: float = Field(1.0, ge=0)  # further sends a second of the whole fleet in addition

    @model_validator(mode="after")
    def _check_values(self) -> "OverloadEntry":
        if not self.calm_share < self.late_share:
            raise ValueError("expected calm_share below late_share")
        return self


class FairEntry(Model):
    """Fair queueing of slow queries for slots at the holders."""

    slots: Count = 64  # parts of all queries in flight
    quick_slots: int = Field(16, ge=0)  # of these, reserved for quick queries
    slow_from: Duration = 250 * MS  # slot time from which a query counts as slow
    waiting_most: Count = 1000
    waiting_tenant_most: Count = 100

    @model_validator(mode="after")
    def _check_values(self) -> "FairEntry":
        if not self.quick_slots < self.slots:
            raise ValueError(f"expected quick_slots below slots ({self.slots})")
        return self


class TenantEntry(Model):
    """A tenant whose weight is not 1. ``name`` is its value of the scope header."""

    name: Name
    weight: float = Field(1.0, ge=0.01, le=100)
