"""Event-driven emulation in virtual time around real drivers. No sockets, no wall clock.

A run is a function of script and seed. Everything that the audit needs goes to ``sink`` as record lines;
times are ns. A run is one class in layers, each of which knows only those below it: ``state``;
``broker_scheduling``; on these ``clients``, ``membership`` and ``calls``; ``holders`` on membership and
calls; ``sending`` on holders; ``emulation`` on all. ``ContractViolation`` is raised where driver and decision
module disagree: a defect of the program.
"""

from quincepath.lab.emulator.world.emulation import ContractViolation, Emulation, MakeModule
from quincepath.lab.emulator.world.entities import Broker
from quincepath.lab.emulator.world.holders import RESTART_DELAY_NS
from quincepath.lab.emulator.world.state import RUN_START_NS, RunStatistics

__all__ = [
    "RUN_START_NS",
    "RESTART_DELAY_NS",
    "Broker",
    "ContractViolation",
    "Emulation",
    "MakeModule",
    "RunStatistics",
]
