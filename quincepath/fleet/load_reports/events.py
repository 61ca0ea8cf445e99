"""Inputs and outputs of the load reporter, and the sums received from another member."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from quincepath.fleet.load_reports.fields import decode_runs
from quincepath.fleet.load_reports.messages import SumMessage
from quincepath.fleet.load_reports.sums import Sums
from quincepath.fleet.load_reports.types import MS, Counts, Totals


@dataclass(slots=True, frozen=True)
class OwnCounts:
    """The counts of this broker; they are reported until the next ones come."""

    counts: Counts


@dataclass(slots=True, frozen=True)
class DatagramReceived:
    """A received datagram."""

    data: bytes


@dataclass(slots=True, frozen=True)
class LiveMembers:
    """The members believed live (boot by name), and how many members are configured."""

    boots: Mapping[str, int]
    configured: int


Input = OwnCounts | DatagramReceived | LiveMembers


@dataclass(slots=True, frozen=True)
class Packet:
    """Send a datagram."""

    to: str
    data: bytes


Output = Packet | Totals


@dataclass(slots=True)
class ReceivedSum:
    """The sums of one sender, put together from its datagrams."""

    boot: int
    sequence: int
    at: int  # own clock: the time up to which the sender knew all its reports
    received_at: int
    sums: Sums = field(default_factory=Sums)

    def apply(self, now: int, body: SumMessage) -> None:
        """Apply a datagram that is not older than the last one."""
        at = now - body.age_ms * MS
        self.at = at if body.sequence > self.sequence else min(self.at, at)
        self.sequence, self.received_at = body.sequence, now
        sums = self.sums
        sums.reporting, sums.threshold_total, sums.waiting = (
            body.reporting,
            body.threshold_total,
            body.waiting,
        )
        for sequence in [n for n in sums.values if body.low <= n < body.high]:
            del sums.values[sequence]
        sums.values.update(
            (n, value) for n, value in decode_runs(body.runs) if value and body.low <= n < body.high
        )
        if body.tenants is not None:
            sums.tenant_slot_ms = {use.name: use.slot_ms for use in body.tenants if use.slot_ms}
            sums.tenant_waiting = {use.name: use.waiting for use in body.tenants if use.waiting}
