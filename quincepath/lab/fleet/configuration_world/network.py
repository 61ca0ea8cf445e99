"""Virtual time and a network between named places: delay by region, loss, doubles, cuts, bandwidth."""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS
HEAD_BYTES = 52  # of IP and TCP around a message, counted with it


@dataclass(slots=True, frozen=True)
class Network:
    """Shares of messages; times in ns. What is lost stays lost, where a stream would send it again."""

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # share that is late by ``late_by``, and so out of order
    late_by: int = 2 * SECOND
    near: tuple[int, int] = (MS // 2, 2 * MS)  # one way, within a region
    far: tuple[int, int] = (40 * MS, 90 * MS)  # between regions
    bytes_a_second: int = 125_000_000  # of one sender


class VirtualNetwork:
    """Events in order of time, and messages between places. ``region``: of each place."""

    def __init__(self, seed: int, network: Network) -> None:
        """``seed``: of every chance in here."""
        self.random = random.Random(f"{seed} configuration network")
        self.network = network
        self.now = 0
        self.region: dict[str, int] = {}
        self.isolated: frozenset[int] = frozenset()  # regions that hear only themselves
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._free_at: dict[str, int] = {}  # when a sender's link has sent what was handed to it
        self._last: dict[tuple[str, str], int] = {}  # when the newest of a connection arrives

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Plan something."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, call))

    def run(self, until: int) -> None:
        """To a time, and all that is planned up to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def isolate(self, regions: Iterable[int]) -> None:
        """Cut these regions off, each from all others; none: the cut is mended."""
        self.isolated = frozenset(regions)

    def reachable(self, sender: str, to: str) -> bool:
        """Whether the regions of two places hear each other."""
        here, there = self.region[sender], self.region[to]
        return here == there or not {here, there} & self.isolated

    def delay(self, sender: str, to: str) -> int:
        """One way, by chance."""
        same = self.region[sender] == self.region[to]
        return self.random.randrange(*(self.network.near if same else self.network.far))

    def send(self, sender: str, to: str, size: int, arrive: Callable[[], None]) -> None:
        """One message of so many bytes, in order on its way unless it is late. Cuts count when it is sent."""
        network = self.network
        begun = max(self.now, self._free_at.get(sender, 0))
        self._free_at[sender] = sent_at = begun + size * SECOND // network.bytes_a_second
        if not self.reachable(sender, to):
            return
        for _ in range(2 if network.doubled and self.random.random() < network.doubled else 1):
            if network.loss and self.random.random() < network.loss:
                continue
            when = sent_at + self.delay(sender, to)
            if network.late and self.random.random() < network.late:
                self.at(when + self.random.randrange(network.late_by), arrive)
                continue
            when = self._last[sender, to] = max(when, self._last.get((sender, to), 0))
            self.at(when, arrive)
