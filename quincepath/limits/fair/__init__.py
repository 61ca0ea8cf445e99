"""Fair queueing of slow queries: slots towards the holders, queues by tenant, start-time fair queueing.

``FairScheduler(settings, seed)`` is the pure core: ``step(now, inputs) -> outputs`` and ``due()``; the ledger
gets ``served()``. Each query that entered is answered once by ``Run`` or ``Refuse``, unless its client left.
Design: docs/design/fair.md.
"""

from quincepath.limits.fair.cost import CostEstimate, CostModel
from quincepath.limits.fair.scheduler import FairScheduler
from quincepath.limits.fair.types import (
    Cancelled,
    Done,
    Enter,
    FairSettings,
    Footprint,
    Freed,
    Input,
    Output,
    Refuse,
    RemoteUsage,
    Run,
    Speed,
    Stop,
)

__all__ = [
    "Cancelled", "CostEstimate", "CostModel", "Done", "Enter", "FairScheduler", "FairSettings", "Footprint",
    "Freed", "Input", "Output", "Refuse", "RemoteUsage", "Run", "Speed", "Stop",
]  # fmt: skip
