"""Adoption of a new shard map through the consensus log: propose, adopt, stage, use, measure, roll back.

The commands are entries of the log; ``apply_map_command`` is the state machine (a part of ``permits``) and
``Topology`` its state. ``MapReports``: what a voter has received from brokers, and what its leader proposes
on that basis. ``MapFollower``: a broker's own part. Pure. Design: docs/design/adoption.md.
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
