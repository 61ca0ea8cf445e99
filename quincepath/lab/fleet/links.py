"""What happens to messages between members: by seeded draws, the same in virtual time and at the relay.

Each direction of each pair is treated by itself. Pure: it is asked when a datagram comes through and says
after how much time it arrives, if at all, and how often.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from quincepath.fleet.transport import OTHER_DATAGRAM_PREFIX
from quincepath.lab.fleet.script import Links

KEPT = 64  # datagrams of each way that a replay may take from
SEGMENT = 1400  # bytes of a stream that travel together
FIRST_RESEND = 1_000_000_000  # ns until the first segment of a connection is sent again, as on Linux
RESEND = 200_000_000  # ns until any other is; doubles each time
RESENDS_MOST = 6


@dataclass(slots=True)
class Way:
    """One direction of one pair."""

    cut: int = 0  # how many faults cut it
    lose: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_by: int = 0
    slower: int = 0
    ledger_only: bool = False  # what is lost, doubled or out of order is of the ledger's datagrams alone
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
        met = not way.ledger_only or data[:1] == OTHER_DATAGRAM_PREFIX
        if way.cut or draw() < max(way.lose if met else 0.0, self.links.lose):
            return []
        waits = [self.wait(way)]
        if not met:
            return waits
        if way.reorder and draw() < way.reorder:
            waits[0] += int(draw() * way.reorder_by)
        if way.duplicate and draw() < way.duplicate:
            waits.append(waits[0] + self.wait(way))
        return waits

    def connected(self, sender: str, to: str) -> int:
        """ns until a connection stands: one way and back, and again where either segment is lost."""
        there, back = self.way(sender, to), self.way(to, sender)
        through = (1 - self._lose(there)) * (1 - self._lose(back))
        return self._resent(1 - through, FIRST_RESEND) + self.wait(there) + self.wait(back)

    def streamed(self, sender: str, to: str, length: int) -> int:
        """ns until so many bytes of a stream are there: what is lost is sent again, so later, never lost.

        Without fast retransmission: what is lost is sent again when its time has run out.
        """
        way = self.way(sender, to)
        through = (1 - self._lose(way)) ** (1 + length // SEGMENT)
        return self._resent(1 - through, RESEND) + self.wait(way)

    def _lose(self, way: Way) -> float:
        return max(0.0 if way.ledger_only else way.lose, self.links.lose)

    def _resent(self, lose: float, wait: int) -> int:
        """ns that resending takes. No draw where nothing is lost."""
        late = 0
        for _ in range(RESENDS_MOST if lose else 0):
            if self.random.random() >= lose:
                break
            late += wait
            wait *= 2
        return late

    def is_cut(self, sender: str, to: str) -> bool:
        """Whether nothing gets through on this way."""
        way = self.ways.get((sender, to))
        return way is not None and way.cut > 0
