"""The newest deltas, bounded in number and bytes; what is older is compacted away."""

from collections import deque
from collections.abc import Iterable

from quincepath.fleet.configuration.changes import Delta, encoded_size

MAX_DELTAS = 4096  # about a day of changes
MAX_DELTA_LOG_BYTES = 4 << 20


class DeltaLog:
    """Deltas in order without a gap. When it is full the oldest go, and ``floor`` rises."""

    def __init__(self, floor: int = 0, deltas: Iterable[Delta] = ()) -> None:
        """``floor``: the revision that the first delta begins from."""
        self.floor = self.newest = floor
        self.bytes = 0
        self._bytes_ever = 0
        self._deltas: deque[tuple[Delta, int, int]] = deque()  # with its bytes, and those before it
        for delta in deltas:
            self.add(delta)

    def __len__(self) -> int:
        """Number of deltas held."""
        return len(self._deltas)

    def add(self, delta: Delta) -> None:
        """The next delta. Raises ``ValueError`` where it is not the next."""
        if delta.revision != self.newest + 1:
            raise ValueError(f"delta of revision {delta.revision}; expected {self.newest + 1}")
        size = encoded_size(delta)
        self._deltas.append((delta, size, self._bytes_ever))
        self._bytes_ever += size
        self.bytes += size
        self.newest = delta.revision
        while len(self._deltas) > MAX_DELTAS or self.bytes > MAX_DELTA_LOG_BYTES:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self.floor = self._deltas[0][0].revision
        self.bytes -= self._deltas.popleft()[1]

    def compact(self, revision: int) -> None:
        """Drop the deltas up to a revision, as if the log were full."""
        while self._deltas and self.floor < revision:
            self._drop_oldest()

    def get(self, revision: int) -> Delta | None:
        """One delta, where it is held."""
        at = revision - self.floor - 1
        return self._deltas[at][0] if 0 <= at < len(self._deltas) else None

    def since(self, revision: int, bytes_most: int = MAX_DELTA_LOG_BYTES) -> tuple[Delta, ...] | None:
        """The deltas after a revision, at least one where there is one. None: they are compacted away."""
        if revision < self.floor:
            return None
        found: list[Delta] = []
        size = 0
        for at in range(revision - self.floor, len(self._deltas)):
            delta, more, _ = self._deltas[at]
            size += more
            if found and size > bytes_most:
                break
            found.append(delta)
        return tuple(found)

    def bytes_since(self, revision: int) -> int:
        """Of the deltas after a revision, as far as they are held."""
        at = max(revision - self.floor, 0)
        return self._bytes_ever - self._deltas[at][2] if at < len(self._deltas) else 0

    def touched_after(self, revision: int, name: str) -> int:
        """The newest later revision that touched a resource; 0: none of those held."""
        for delta, _, _ in reversed(self._deltas):
            if delta.revision <= revision:
                break
            if any(edit.name == name for edit in delta.edits):
                return delta.revision
        return 0
