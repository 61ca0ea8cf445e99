"""The load totals (the ledger) in virtual time: bytes, the largest sender, processor time and memory."""

import statistics
import time
from collections.abc import Sequence

from benchmarks.capacity.measuring import Measured, allocated_bytes, fact, series
from benchmarks.capacity.results import Point
from benchmarks.capacity.site import SECOND
from benchmarks.capacity.target import QUERIES_OF_A_BROKER
from quincepath.fleet.load_reports import (
    DatagramReceived,
    LiveMembers,
    LoadReporter,
    OwnCounts,
    Packet,
    Totals,
)
from quincepath.lab.fleet.ledger_world import CELLS, LedgerWorld

SIZES = (50, 100, 250, 500, 1000)
SEED = 41
BEGIN, LENGTH = 4, 2  # seconds of virtual time before and of the measurement
HEADERS = 28  # of UDP and IPv4


class TimedLedger(LoadReporter):
    """Adds up the processor time of its steps."""

    seconds = 0.0

    def step(
        self, now: int, inputs: Sequence[OwnCounts | DatagramReceived | LiveMembers] = ()
    ) -> list[Packet | Totals]:
        """The ledger's step."""
        began = time.process_time()
        out = super().step(now, inputs)
        self.seconds += time.process_time() - began
        return out


class Cost:
    """What a fleet of so many costs a broker a second."""

    def __init__(self, members: int) -> None:
        world = LedgerWorld(members, SEED, lambda name, now: float(QUERIES_OF_A_BROKER), make=TimedLedger)
        world.run(BEGIN * SECOND)
        before = [self._so_far(process.sent, process.packets, process.ledger) for process in world.processes]
        world.run((BEGIN + LENGTH) * SECOND)
        after = [self._so_far(process.sent, process.packets, process.ledger) for process in world.processes]
        grown = [
            tuple((now - then) / LENGTH for now, then in zip(later, earlier, strict=True))
            for later, earlier in zip(after, before, strict=True)
        ]
        sent, packets, work = zip(*grown, strict=True)
        self.bytes_mean = statistics.mean(sent)
        self.bytes_most = max(sent)
        self.packets = statistics.mean(packets)
        self.work_mean = statistics.mean(work)
        self.work_most = max(work)

    @staticmethod
    def _so_far(sent: int, packets: int, ledger: LoadReporter) -> tuple[float, float, float]:
        assert isinstance(ledger, TimedLedger)
        return sent + packets * HEADERS, packets, ledger.seconds


def _memory(members: int) -> float:
    """Of one broker's, mean over a fleet, with the totals that it holds."""

    def build() -> object:
        world = LedgerWorld(members, SEED, lambda name, now: 20.0)
        world.run(BEGIN * SECOND)
        return [(process.ledger, process.tally, process.totals) for process in world.processes]

    return allocated_bytes(build) / members


def measure() -> Measured:
    """All sizes, once each: virtual time, so bytes are exact and only processor time has a spread."""
    costs = {size: Cost(size) for size in SIZES}
    names = {
        "bytes": ("bytes_mean", "bytes a second"),
        "bytes, largest sender": ("bytes_most", "bytes a second"),
        "datagrams": ("packets", "a second"),
        "work": ("work_mean", "s a second"),
        "work, busiest": ("work_most", "s a second"),
    }
    found = [
        series(
            name, unit, "brokers",
            tuple(Point(size, (getattr(cost, field),)) for size, cost in costs.items()),
            seeds=(SEED,), note="with 28 bytes of UDP and IP each; 40 replica sets, 12 tenants",
        )
        for name, (field, unit) in names.items()
    ]  # fmt: skip
    memory = tuple(Point(size, (_memory(size),)) for size in (25, 50, 100, 250))
    return (*found, series("memory", "bytes", "brokers", memory, seeds=(SEED,))), (
        fact("replica sets in the reports", "sets", CELLS),
    )
