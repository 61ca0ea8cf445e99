"""How long a broker that was told to end goes on serving. Pure.

Clients keep the connections that they have, and a broker that restarts next to this one may not be back yet:
so all is served as before for as long as it can surely be answered. A query that would run past the end has
its time cut to it; one that has less than its class wants is refused, which is harmless.
"""

from collections.abc import Sequence

MS = 1_000_000
SECOND = 1000 * MS
LONGEST = 3 * SECOND  # a longer deadline counts as this one when the kill comes
AFTER = 700 * MS  # from that deadline to the kill, at the least
MARGIN = 150 * MS  # before the kill by which all is answered
LINGERING = 75 * MS  # of that, for clients to take their answers and to see the half-close
COMING = 500 * MS  # after the signal, at the least, new connections are taken: they come for 400 ms


class ShutdownSchedule:
    """One broker's end; ``deadlines`` and ``targets`` are those of its classes, in ns."""

    def __init__(self, deadlines: Sequence[int], targets: Sequence[int]) -> None:
        self.targets = tuple(targets)
        self._length = min(max(deadlines), LONGEST) + AFTER - MARGIN
        self.end: int | None = None  # when all must be answered

    def begin(self, now: int) -> None:
        """The broker was told to end."""
        if self.end is None:
            self.end = now + self._length

    def accepts_until(self) -> int:
        """From then on nothing is taken any more: connections between requests are closed."""
        assert self.end is not None
        return self.end - min(*self.targets, self._length - COMING)

    def exits_at(self) -> int:
        """When the process ends even if clients have not ended their connections: the kill is near."""
        assert self.end is not None
        return self.end + LINGERING

    def time_left(self, now: int, kind: int, asked: int) -> int | None:
        """The time that a query may take; None where it has to be refused."""
        if self.end is None:
            return asked
        left = self.end - now
        return None if left < min(self.targets[kind], asked) else min(left, asked)
