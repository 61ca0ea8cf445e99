"""Which ready sockets are served first when one turn of the loop cannot serve them all. Pure.

A peer that sends much, or what takes long to read, must not hold up the others: those whose sockets have
taken little time lately come first. Time that was taken fades, so that no socket waits for good.
"""

from collections.abc import Hashable

MS = 1_000_000
FADE_INTERVAL_NS = 250 * MS  # after which half of the time taken is forgotten
NEGLIGIBLE_NS = 50_000  # not worth an entry


class SocketTurns:
    """The time (ns) that the callbacks of each socket have taken lately."""

    def __init__(self) -> None:
        self._taken: dict[Hashable, int] = {}
        self._fade_at = 0

    def begin(self, socket: Hashable, taken: int) -> None:
        """Treat a new socket as one that has taken so much time."""
        self._taken[socket] = taken

    def add(self, socket: Hashable, spent: int) -> None:
        """The callback of a socket took so long."""
        self._taken[socket] = self._taken.get(socket, 0) + spent

    def forget(self, socket: Hashable) -> None:
        """The socket is closed."""
        self._taken.pop(socket, None)

    def taken(self, socket: Hashable) -> int:
        """The time that counts for the order: the less, the earlier."""
        return self._taken.get(socket, 0)

    def fade(self, now: int) -> None:
        """Forget half of all that was taken, once in an interval."""
        if now < self._fade_at:
            return
        self._fade_at = now + FADE_INTERVAL_NS
        halves = {socket: taken // 2 for socket, taken in self._taken.items()}
        self._taken = {socket: taken for socket, taken in halves.items() if taken > NEGLIGIBLE_NS}
