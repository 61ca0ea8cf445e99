"""What a world of configuration distribution counts: when a revision was in force everywhere, and bytes."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from quincepath.lab.fleet.configuration_world.network import HEAD_BYTES, MS, SECOND


@dataclass(slots=True)
class Traffic:
    """Of one process: messages and bytes, sent and received, and its worst second. Heads are counted in."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    worst_second_bytes: int = 0
    _second: int = -1
    _in_second: int = 0

    def sent(self, now: int, size: int) -> None:
        """One message out."""
        self.sent_messages += 1
        self.sent_bytes += size + HEAD_BYTES
        self._count(now, size + HEAD_BYTES)

    def received(self, now: int, size: int) -> None:
        """One message in."""
        self.received_messages += 1
        self.received_bytes += size + HEAD_BYTES
        self._count(now, size + HEAD_BYTES)

    def _count(self, now: int, size: int) -> None:
        if now // SECOND != self._second:
            self._second, self._in_second = now // SECOND, 0
        self._in_second += size
        self.worst_second_bytes = max(self.worst_second_bytes, self._in_second)

    @property
    def bytes(self) -> int:
        """Both ways."""
        return self.sent_bytes + self.received_bytes


@dataclass(slots=True)
class Measures:
    """``committed_at``, and when the last expected broker had a revision in force, by revision."""

    committed_at: dict[int, int] = field(default_factory=dict)
    everywhere_at: dict[int, int] = field(default_factory=dict)
    missing: Counter[int] = field(default_factory=Counter)  # brokers that do not have it yet
    violations: list[str] = field(default_factory=list)

    def committed(self, revision: int, now: int, brokers: int) -> None:
        """A revision is committed; so many brokers are expected to have it."""
        self.committed_at[revision] = now
        self.missing[revision] = brokers
        if not brokers:
            self.everywhere_at[revision] = now

    def in_force(self, before: int, revision: int, now: int) -> None:
        """A broker has gone from one revision to another, or is not expected to have them any more."""
        for one in range(before + 1, revision + 1):
            self.missing[one] -= 1
            if self.missing[one] == 0:
                self.everywhere_at.setdefault(one, now)

    def expected_again(self, before: int, revision: int) -> None:
        """A broker that is to have these, though it was not expected to."""
        for one in range(before + 1, revision + 1):
            self.missing[one] += 1

    def times_ms(self, revisions: Iterable[int]) -> list[float]:
        """From commit until in force everywhere, sorted; infinite where it is not."""
        found = [
            (self.everywhere_at[one] - self.committed_at[one]) / MS
            if one in self.everywhere_at
            else float("inf")
            for one in revisions
        ]
        return sorted(found)
