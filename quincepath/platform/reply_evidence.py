"""What earlier replies tell about the length of one that nothing follows yet. Pure.

A reply whose declared length is wrong looks whole when a read ends just there: the bytes that contradict it
come with the next read. So a reply is held back for a moment if its value is shorter or longer than all
before, or if values differ in length and the replies of its node come in pieces.

Where all values of a class have one length, a value of that length is whole whatever lies behind it.
"""

from collections.abc import Hashable
from dataclasses import dataclass

MS = 1_000_000
GAP_MULTIPLE = 2  # of the longest gap between two pieces, for which a reply is held back
MIN_HOLD_NS = 2 * MS
GAP_WINDOW_NS = 10_000 * MS  # gaps of the current and of the previous window count
MAX_FRAGMENTING_NODES = 1024
# How long to wait for the rest of a header that has begun behind a reply.
HEADER_HOLD_NS = 40 * MS
# Values of one length in a row that make it the usual one of their class: at the start, and after others.
USUAL_AT_START = 3
USUAL_AFTER_OTHERS = 32


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


@dataclass(slots=True)
class _Lengths:
    """Lengths of accepted values, in characters; ``in_row`` of the last ones had the length ``last``."""

    shortest: int
    longest: int
    last: int
    in_row: int = 0

    def observe(self, length: int) -> None:
        """One more value was accepted."""
        self.shortest, self.longest = min(self.shortest, length), max(self.longest, length)
        self.in_row = self.in_row + 1 if length == self.last else 1
        self.last = length

    def is_usual(self, length: int) -> bool:
        """Whether values have had this length, and no other, for long enough, and never a longer one."""
        needed = USUAL_AT_START if self.shortest == self.longest else USUAL_AFTER_OTHERS
        return length == self.last == self.longest and self.in_row >= needed


class ReplyEvidence:
    """Lengths of the values of all nodes by class, and the gaps within replies by node; times in ns."""

    def __init__(self) -> None:
        self._by_kind: dict[int, _Lengths] = {}
        self._gaps: dict[Hashable, _GapWindows] = {}

    def observe_value(self, length: int, kind: int = 0) -> None:
        """The value of a reply that was accepted, of a class, has so many characters."""
        lengths = self._by_kind.get(kind)
        if lengths is None:
            lengths = self._by_kind[kind] = _Lengths(length, length, length)
        lengths.observe(length)

    def is_usual(self, length: int, kind: int = 0) -> bool:
        """Whether a value of this length is whole: those of its class have had no other for long enough."""
        lengths = self._by_kind.get(kind)
        return lengths is not None and lengths.is_usual(length)

    def observe_gap(self, now: int, node: Hashable, gap: int) -> None:
        """Two pieces of one reply of this node arrived so long after one another."""
        if node not in self._gaps and len(self._gaps) >= MAX_FRAGMENTING_NODES:
            del self._gaps[next(iter(self._gaps))]
        windows = self._gaps.setdefault(node, _GapWindows(now))
        windows.advance(now)
        windows.longest = max(windows.longest, gap)

    def hold_time(self, now: int, node: Hashable, length: int, longest_hold: int, kind: int = 0) -> int:
        """How long to hold back a reply with such a value that ends a read; 0: not at all."""
        of_kind = self._by_kind.get(kind)
        if of_kind is not None and length == of_kind.shortest == of_kind.longest:
            return 0
        known = self._by_kind.values() if of_kind is None else (of_kind,)
        if not known:
            return 0
        shortest = min(lengths.shortest for lengths in known)
        longest = max(lengths.longest for lengths in known)
        if length == shortest == longest:
            return 0
        if not shortest <= length <= longest:
            return longest_hold
        return min(self._gap_hold(now, node), longest_hold)

    def header_hold_time(self, now: int, node: Hashable, longest_hold: int) -> int:
        """How long to wait for the rest of a header that has begun behind a reply of this node."""
        return min(max(self._gap_hold(now, node), HEADER_HOLD_NS), longest_hold)

    def _gap_hold(self, now: int, node: Hashable) -> int:
        """A time within which the next piece of a reply of this node arrives; 0 if it sends no pieces."""
        windows = self._gaps.get(node)
        if windows is None:
            return 0
        windows.advance(now)
        gap = max(windows.longest, windows.previous)
        if not gap:
            del self._gaps[node]
            return 0
        return GAP_MULTIPLE * gap + MIN_HOLD_NS
