"""Queries that a hollow broker makes up: what it counts of them is what the ledger tells the fleet."""

import hashlib
from enum import StrEnum

from quincepath.fleet.load_reports.types import Count, SendKind
from quincepath.fleet.load_service import LoadService
from quincepath.fleet.overload import Arrival

MS = 1_000_000


class Profile(StrEnum):
    """DEMO: as the demo's queries, which real brokers of a run serve. TARGET: as at the planned size.

    TARGET is what ``benchmarks.fleet_ledger`` tells: 4 classes, all places of the order, 40 replica sets and
    12 tenants, so that reports have the size that a fleet with many of each would send.
    """

    DEMO = "demo"
    TARGET = "target"


SETS_OF_DEMO, PARTS_A_SET = 3, 2
CLASSES, SETS, TENANTS = 4, 40, 12
PARTS = 8  # of a query of TARGET, all of one replica set
GOLDEN = 0.381966  # steps by it spread queries over the order
LATE_ONE_IN, FURTHER_ONE_IN, REFUSED_ONE_IN = 10, 5, 20
SLOT_TIME = 40 * MS


class Queries:
    """The queries of one broker; ``arrive`` counts so many more."""

    def __init__(self, name: str, profile: Profile, shared: LoadService) -> None:
        self._profile, self._shared = profile, shared
        self._number = hashlib.blake2b(name.encode()).digest()[0]  # brokers are at different places

    def arrive(self, many: int) -> None:
        """Each is counted when it comes, for what it sends and when it ends."""
        for _ in range(many):
            if self._profile is Profile.DEMO:
                self._one_of_demo()
            else:
                self._one_of_target()

    def _one_of_demo(self) -> None:
        tally = self._shared.control.counter
        self._shared.on_arrival(Arrival(0, 1.0, "", "", tuple(range(SETS_OF_DEMO)), 0))
        tally.count_sends(SendKind.FIRST, SETS_OF_DEMO * PARTS_A_SET)
        tally.count_outcome(0, Count.IN_TIME)

    def _one_of_target(self) -> None:
        self._number += 1
        number, tally = self._number, self._shared.control.counter
        kind, cell = number % CLASSES, number * 7 % SETS
        self._shared.on_arrival(Arrival(kind, number * GOLDEN % 1.0, "", "", (cell,), 0))
        # One part is counted on arrival.
        tally.count_replica_set(cell, PARTS - 1, int(number % REFUSED_ONE_IN == 0))
        tally.count_sends(SendKind.FIRST, PARTS)
        if number % FURTHER_ONE_IN == 0:
            tally.count_sends(SendKind.FURTHER)
        tally.count_outcome(kind, Count.LATE if number % LATE_ONE_IN == 0 else Count.IN_TIME)
        if kind == 0:
            tally.add_slot_time(f"tenant-{number // CLASSES % TENANTS:02}", SLOT_TIME)
