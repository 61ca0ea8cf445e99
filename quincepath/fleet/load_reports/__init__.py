"""Load reports of brokers: each counts its own work, a few aggregators sum the counts up over the fleet.

``LoadCounter`` holds a broker's own counts, ``LoadReporter`` is the state machine that exchanges reports and
sums (``step``), ``Totals`` is what all consumers read; docs/design/ledger.md says what each of them may
conclude from it.
"""

from quincepath.fleet.load_reports.events import DatagramReceived, LiveMembers, OwnCounts, Packet
from quincepath.fleet.load_reports.load_counter import LoadCounter
from quincepath.fleet.load_reports.reporter import LoadReporter
from quincepath.fleet.load_reports.types import (
    PRIORITY_BANDS,
    Count,
    Counts,
    LoadReportSettings,
    ReplicaSetCount,
    ReplicaSetTotal,
    SendKind,
    TenantCount,
    TenantTotal,
    Totals,
)

__all__ = [
    "PRIORITY_BANDS", "Count", "Counts", "DatagramReceived", "LiveMembers", "LoadCounter",
    "LoadReportSettings", "LoadReporter", "OwnCounts", "Packet", "ReplicaSetCount", "ReplicaSetTotal",
    "SendKind", "TenantCount", "TenantTotal", "Totals",
]  # fmt: skip
