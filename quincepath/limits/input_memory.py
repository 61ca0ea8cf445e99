"""Memory of the requests that clients have sent, in part or whole, and that are not answered. Pure.

Each connection is bounded on its own, but hundreds of them at their bounds exceed the memory of a small
process. Above the limit, connections give up what they hold, those that hold most first. A connection that
holds less than an even share of the limit loses nothing to one that holds more.
"""

from typing import Generic, Protocol, TypeVar


class Holder(Protocol):
    """A connection that holds input of its client."""

    @property
    def sheddable_bytes(self) -> int:
        """What ``shed_input`` would free; an open request is not part of it."""
        ...

    def shed_input(self) -> None:
        """Give up all input but an open request; calls ``InputMemory.update``."""
        ...


H = TypeVar("H", bound=Holder)


class InputMemory(Generic[H]):
    """Bytes by connection and in all. ``limit`` is in bytes; 0: no limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self._held: dict[H, int] = {}

    def update(self, holder: H, size: int) -> None:
        """A connection holds so many bytes now."""
        self.total += size - self._held.pop(holder, 0)
        if size:
            self._held[holder] = size

    def has_room(self, size: int) -> bool:
        """Whether so many bytes more are within the limit."""
        return not self.limit or self.total + size <= self.limit

    def enforce(self, newest: H) -> None:
        """Let connections give up input while the limit is exceeded; ``newest`` is the one that grew."""
        while self.limit and self.total > self.limit:
            before = self.total
            largest = self._largest(newest)
            if not largest.sheddable_bytes:  # all that is held belongs to open requests
                return
            largest.shed_input()
            if self.total >= before:
                return

    def _largest(self, newest: H) -> H:
        """The connection that gives up most; ``newest`` at once if it is over its share: saves a search."""
        if newest.sheddable_bytes * len(self._held) >= self.limit:
            return newest
        return max(self._held, key=lambda holder: holder.sheddable_bytes)
