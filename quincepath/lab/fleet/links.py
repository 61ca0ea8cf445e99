"""What happens to messages between members: by seeded draws, the same in virtual time and at the relay.

Each direction of each pair is treated by itself. Pure: it is asked when a datagram comes through and says
after how much time it arrives, if at all, and how often.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from quincepath.lab.fleet.script import Links

KEPT = 64  # datagrams of each way that a replay may take from


@dataclass(slots=True)
class Way:
    """One direction of one pair."""

    cut: int = 0  # how many faults cut it
    lose: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_by: int = 0
    slower: int = 0
    kept: deque[bytes] = field(default_factory=lambda: deque(maxlen=KEPT))


class Ways:
    """All ways; ``fates`` of a datagram are the waits (ns) after which a copy of it arrives."""

    def __init__(self, links: Links, seed: int, keep: bool = False) -> None:
        self.links, self.keep = links, keep
        self.random = random.Random(seed)
        self.ways: dict[tuple[str, str], Way] = {}

    def way(self, sender: str, to: str) -> Way:
        """From one member to another."""
        found = self.ways.get((sender, to))
        if found is None:
            found = self.ways[sender, to] = Way()
        return found

    def wait(self, way: Way) -> int:
        """How long a message takes (ns)."""
        links = self.links
        return links.delay + way.slower + int(self.random.expovariate(1.0) * links.jitter)

    def fates(self, sender: str, to: str, data: bytes) -> list[int]:
        """Waits of the copies that arrive; none where it is lost."""
        way = self.way(sender, to)
        draw = self.random.random
        if self.keep:
            way.kept.append(data)
        if way.cut or draw() < max(way.lose, self.links.lose):
            return []
        waits = [self.wait(way)]
        if way.reorder and draw() < way.reorder:
            waits[0] += int(draw() * way.reorder_by)
        if way.duplicate and draw() < way.duplicate:
            waits.append(waits[0] + self.wait(way))
        return waits

    def is_cut(self, sender: str, to: str) -> bool:
        """Whether nothing gets through on this way."""
        way = self.ways.get((sender, to))
        return way is not None and way.cut > 0
