"""How long a broker that received the stop signal keeps serving. Pure.

Clients keep their open connections, and a broker restarting beside this one may not be back yet, so
everything is served as before for as long as it can certainly be answered. A query whose deadline lies past
the end gets a shorter deadline; one with less time left than its class needs is refused, which is harmless.
"""

from collections.abc import Sequence

MS = 1_000_000
SECOND = 1000 * MS
MAX_DEADLINE_NS = 3 * SECOND  # longer class deadlines count as this one when the time of the kill is computed
KILL_DELAY_NS = 700 * MS  # from that deadline to SIGKILL, at least
KILL_MARGIN_NS = 150 * MS  # before SIGKILL, by which all queries are answered
LINGER_NS = 75 * MS  # of that margin, for clients to read their responses and to see the half-close
MIN_ACCEPT_NS = 500 * MS  # new connections are accepted at least this long: they keep coming for 400 ms


class ShutdownSchedule:
    """The shutdown times of one broker; ``deadlines`` and ``targets`` are those of its classes, in ns."""

    def __init__(self, deadlines: Sequence[int], targets: Sequence[int]) -> None:
        self.targets = tuple(targets)
        self._length = min(max(deadlines), MAX_DEADLINE_NS) + KILL_DELAY_NS - KILL_MARGIN_NS
        self.answer_by: int | None = None  # when all queries must be answered; None until the stop signal

    def begin(self, now: int) -> None:
        """Record the stop signal."""
        if self.answer_by is None:
            self.answer_by = now + self._length

    def accepts_until(self) -> int:
        """When the broker stops accepting requests and closes connections between requests."""
        assert self.answer_by is not None
        return self.answer_by - min(*self.targets, self._length - MIN_ACCEPT_NS)

    def exits_at(self) -> int:
        """When the process exits even if clients still hold connections, since SIGKILL is near."""
        assert self.answer_by is not None
        return self.answer_by + LINGER_NS

    def time_left(self, now: int, kind: int, asked: int) -> int | None:
        """The time that a query may take; None where it has to be refused."""
        if self.answer_by is None:
            return asked
        left = self.answer_by - now
        return None if left < min(self.targets[kind], asked) else min(left, asked)
