"""One broker's share in the fleet's ledger and what is made of it: counts in, datagrams and decisions out.

``Sharing`` puts the ledger, the one order with its lines, and the windows of this broker's own counts
together, as a machine without clock or socket. The running broker and the laboratory hold the same one.
"""

from quincepath.fleet.load_control.core import LoadControl, StepResult
from quincepath.fleet.load_control.count_window import CountWindow
from quincepath.fleet.load_control.remote_slot_time import RemoteSlotTime

__all__ = ["CountWindow", "LoadControl", "RemoteSlotTime", "StepResult"]
