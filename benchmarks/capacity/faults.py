"""What a rack, a zone and a cut between regions cost the fleet's view, in virtual time.

A rack is 2% of the brokers and a zone 10%, killed at once; the cut is three regions that lose each other for
30 seconds in place of an hour: what comes after it depends on how many must be told, not on how long it was.
"""

from collections.abc import Callable
from typing import Any

from benchmarks.capacity.measuring import Measured, series
from benchmarks.capacity.results import Point, Series
from benchmarks.capacity.site import SECOND
from benchmarks.capacity.view import script
from quincepath.lab.fleet.virtual import Virtual

SIZES = (24, 60, 120, 240)
CUT_SIZES = (18, 45, 90, 180)  # a cut is told of by all: the costliest to play
SEEDS, CUT_SEEDS = (41, 42, 43), (41,)
AT, LENGTH = 3, 25  # seconds
CUT_SECONDS = 30
RACK, ZONE = 0.02, 0.1  # shares of the brokers


class FaultRun:
    """One script with one fault; the worst second and how long until all is as it should be."""

    def __init__(self, members: int, seed: int, fault: dict[str, Any]) -> None:
        length = LENGTH if fault["kind"] == "kill" else LENGTH + CUT_SECONDS
        self.world = Virtual(script(members, faults=[fault]), seed, warm=True)
        self.worst = 0
        before = 0
        for second in range(1, length + 1):
            self.world.run(second * SECOND)
            self.worst = max(self.worst, self.world.verdict.messages - before)
            before = self.world.verdict.messages

    @property
    def known_seconds(self) -> float:
        """Until everybody knows of each that was killed. Raises ``RuntimeError`` where somebody never did."""
        deaths = self.world.verdict.deaths
        if not deaths or any(death.known < 0 for death in deaths):
            raise RuntimeError(
                f"{len(self.world.script.names)} members: a death is not known to all by the end"
            )
        return max(death.known - death.at for death in deaths) / SECOND

    @property
    def settled_seconds(self) -> float:
        """After the fault, until all views are equal and true. Raises ``RuntimeError`` where they are not."""
        if self.world.verdict.settled < 0:
            raise RuntimeError(f"not settled: {self.world.difference()}")
        return self.world.verdict.settle_time / SECOND


def _kill(share: float) -> Callable[[int], dict[str, Any]]:
    return lambda members: {"kind": "kill", "at": f"{AT}s", "last": "0ns", "members": share}


def _cut(members: int) -> dict[str, Any]:
    """Three regions lose each other."""
    names = [f"b{number}" for number in range(members)]
    sides = [names[region::3] for region in range(3)]
    return {"kind": "split", "at": f"{AT}s", "last": f"{CUT_SECONDS}s", "sides": sides}


def _fault_series(
    name: str,
    fault: Callable[[int], dict[str, Any]],
    sizes: tuple[int, ...],
    seeds: tuple[int, ...],
    known: bool,
) -> tuple[Series, Series]:
    """The worst second, a broker, and the time after it; one value a seed."""
    runs = {size: [FaultRun(size, seed, fault(size)) for seed in seeds] for size in sizes}
    worst = tuple(Point(size, tuple(run.worst / size for run in found)) for size, found in runs.items())
    after = tuple(
        Point(size, tuple(run.known_seconds if known else run.settled_seconds for run in found))
        for size, found in runs.items()
    )
    what = "until all know" if known else "until all agree again"
    return (
        series(f"{name}: messages in the worst second", "messages", "brokers", worst, seeds=seeds),
        series(f"{name}: {what}", "s", "brokers", after, seeds=seeds),
    )


def measure() -> Measured:
    """All three faults at all sizes."""
    return (
        *_fault_series("rack", _kill(RACK), SIZES, SEEDS, True),
        *_fault_series("zone", _kill(ZONE), SIZES, SEEDS, True),
        *_fault_series("cut", _cut, CUT_SIZES, CUT_SEEDS, False),
    ), ()
