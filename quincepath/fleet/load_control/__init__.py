"""Load control of one broker: load reports of the fleet and overload control, without clock or socket.

``LoadControl`` combines the load reporter, overload control and windows of this broker's own counts into one
state machine: counts in, datagrams and decisions out. The running broker and the laboratory use the same one.
"""

from quincepath.fleet.load_control.core import LoadControl, StepResult
from quincepath.fleet.load_control.count_window import CountWindow
from quincepath.fleet.load_control.remote_slot_time import RemoteSlotTime

__all__ = ["CountWindow", "LoadControl", "RemoteSlotTime", "StepResult"]
