"""What the brokers tell each other of themselves, summed up over the fleet: counts in, totals out.

``Tally`` is how a broker counts itself, ``Ledger`` the machine that tells and hears (``step``), ``Totals``
what all consumers read; docs/design/ledger.md says what each may conclude.
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
