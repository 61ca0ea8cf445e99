"""A new shard map through the keepers' log: proposed, adopted, staged, used, measured, and back.

``apply_map_command`` is the machine (a part of ``permits``), ``Topology`` its state, the commands its
entries. ``MapReports``: what a keeper hears of brokers and what its leader proposes of it; ``MapFollower`` a
broker's own part. Pure.
Design: docs/design/adoption.md.
"""

from quincepath.fleet.adoption.commands import (
    MAP_COMMANDS,
    AdoptMap,
    AwayMap,
    BackMap,
    Bar,
    Map,
    MapCommand,
    MapVerdict,
    MeasuredMap,
    ProposeMap,
    ReadMap,
    UseMap,
)
from quincepath.fleet.adoption.follower import MapFollower
from quincepath.fleet.adoption.machine import apply_map_command, clear_halt, make_verdict, restart_measurement
from quincepath.fleet.adoption.reports import MapReport, MapReports
from quincepath.fleet.adoption.state import EMPTY_RECORD, Measuring, Proposal, Step, Topology

__all__ = [
    "EMPTY_RECORD", "MAP_COMMANDS", "AdoptMap", "AwayMap", "BackMap", "Bar", "Map", "MapCommand",
    "MapFollower", "MapReport", "MapReports", "MapVerdict", "MeasuredMap", "Measuring", "Proposal",
    "ProposeMap", "ReadMap", "Step", "Topology", "UseMap", "apply_map_command", "clear_halt", "make_verdict",
    "restart_measurement",
]  # fmt: skip
