"""What earlier replies tell about the length of one that nothing follows yet. Pure.

A reply whose declared length is wrong looks whole when a read ends just there: the bytes that contradict it
come with the next read. So a reply is held back for a moment if its value is shorter or longer than all
before, or if values differ in length and the replies of its node come in pieces.
"""

from collections.abc import Hashable
from dataclasses import dataclass

MS = 1_000_000
GAP_MULTIPLE = 2  # of the longest gap between two pieces, for which a reply is held back
MIN_HOLD_NS = 2 * MS
GAP_WINDOW_NS = 10_000 * MS  # gaps of the current and of the previous window count
MAX_FRAGMENTING_NODES = 1024


@dataclass(slots=True)
class _GapWindows:
    """The longest gap of the window that began at ``since``, and of the one before."""

    since: int
    longest: int = 0
    previous: int = 0

    def advance(self, now: int) -> None:
        """Begin a new window if the current one is over."""
        if now < self.since + GAP_WINDOW_NS:
            return
        recent = now < self.since + 2 * GAP_WINDOW_NS
        self.since, self.previous, self.longest = now, self.longest if recent else 0, 0


class ReplyEvidence:
    """Lengths of the values of all nodes, in characters, and the gaps within replies by node; times in ns."""

    def __init__(self) -> None:
        self.shortest: int | None = None
        self.longest = 0
        self._gaps: dict[Hashable, _GapWindows] = {}

    def observe_value(self, length: int) -> None:
        """The value of a reply that was accepted has so many characters."""
        self.shortest = length if self.shortest is None else min(self.shortest, length)
        self.longest = max(self.longest, length)

    def observe_gap(self, now: int, node: Hashable, gap: int) -> None:
        """Two pieces of one reply of this node arrived so long after one another."""
        if node not in self._gaps and len(self._gaps) >= MAX_FRAGMENTING_NODES:
            del self._gaps[next(iter(self._gaps))]
        windows = self._gaps.setdefault(node, _GapWindows(now))
        windows.advance(now)
        windows.longest = max(windows.longest, gap)

    def hold_time(self, now: int, node: Hashable, length: int, longest_hold: int) -> int:
        """How long to hold back a reply with such a value that ends a read; 0: not at all."""
        if length == self.shortest == self.longest or self.shortest is None:
            return 0
        if not self.shortest <= length <= self.longest:
            return longest_hold
        windows = self._gaps.get(node)
        if windows is None:
            return 0
        windows.advance(now)
        gap = max(windows.longest, windows.previous)
        if not gap:
            del self._gaps[node]
            return 0
        return min(GAP_MULTIPLE * gap + MIN_HOLD_NS, longest_hold)
