"""A fleet script over processes: brokers, holders and clients, a relay between the brokers, real time.

Verdicts come from the records of relay, holders and clients, and at the end from what each broker answers
about its view, held against the processes that run. The day is over when all views have been equal for a
while after the last fault, at the script's length at the latest: a test waits for a condition, never for a
time. A run is one class in layers: ``processes``; on them ``queries``, ``holding`` and ``judging``; on all
``day``. ``InsideRun`` plays the same in virtual time, in one process.
"""

from quincepath.lab.fleet.run.day import FleetRun
from quincepath.lab.fleet.run.inside import InsideRun
from quincepath.lab.fleet.run.processes import Seat

__all__ = ["FleetRun", "InsideRun", "Seat"]
