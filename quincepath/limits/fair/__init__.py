"""Fair turns for slow queries: slots towards the holders, queues by tenant, start-time fair queueing.

``FairScheduler(settings, seed)`` is the pure core: ``step(now, inputs) -> outputs``, ``due()``; ``served()``
is what the ledger is told. Each query that entered is answered by ``Run`` or ``Refuse`` once, unless its
client left.
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
