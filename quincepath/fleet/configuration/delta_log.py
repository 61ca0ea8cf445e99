"""The newest deltas, bounded in number and bytes; older ones are compacted away."""

from collections import deque
from collections.abc import Iterable

from quincepath.fleet.configuration.changes import Delta, encoded_size

MAX_DELTAS = 4096  # about a day of changes
MAX_DELTA_LOG_BYTES = 4 << 20


class DeltaLog:
    """Deltas in order without a gap. When the log is full, the oldest are dropped and ``floor`` rises."""

    def __init__(self, floor: int = 0, deltas: Iterable[Delta] = ()) -> None:
        """``floor``: the revision before the first delta."""
        self.floor = self.newest = floor
        self.bytes = 0
        self._total_bytes_added = 0
        self._deltas: deque[tuple[Delta, int, int]] = (
            deque()
        )  # with its size in bytes, and the total size of all deltas added before
        for delta in deltas:
            self.add(delta)

    def __len__(self) -> int:
        """Number of deltas held."""
        return len(self._deltas)

    def add(self, delta: Delta) -> None:
        """Append the next delta. Raises ``ValueError`` where its revision is not the next."""
        if delta.revision != self.newest + 1:
            raise ValueError(f"delta of revision {delta.revision}; expected {self.newest + 1}")
        size = encoded_size(delta)
        self._deltas.append((delta, size, self._total_bytes_added))
        self._total_bytes_added += size
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
        """The delta of a revision; None where it is not held."""
        position = revision - self.floor - 1
        return self._deltas[position][0] if 0 <= position < len(self._deltas) else None

    def since(self, revision: int, max_bytes: int = MAX_DELTA_LOG_BYTES) -> tuple[Delta, ...] | None:
        """The deltas after a revision, at least one if there is one. None: they were compacted away."""
        if revision < self.floor:
            return None
        deltas: list[Delta] = []
        size = 0
        for position in range(revision - self.floor, len(self._deltas)):
            delta, delta_bytes, _ = self._deltas[position]
            size += delta_bytes
            if deltas and size > max_bytes:
                break
            deltas.append(delta)
        return tuple(deltas)

    def bytes_since(self, revision: int) -> int:
        """Total size of the deltas after a revision, as far as they are held."""
        position = max(revision - self.floor, 0)
        return self._total_bytes_added - self._deltas[position][2] if position < len(self._deltas) else 0

    def last_change_after(self, revision: int, name: str) -> int:
        """The newest revision after ``revision`` that changed a resource; 0: none of those held."""
        for delta, _, _ in reversed(self._deltas):
            if delta.revision <= revision:
                break
            if any(edit.name == name for edit in delta.edits):
                return delta.revision
        return 0
