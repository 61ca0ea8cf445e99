"""Which news goes along with the next message: what was told least often first, within one datagram.

Bounds: one entry a member, the newest; each is told a number of times that grows with the logarithm of the
fleet, and dropped then. What is lost all the same, full exchanges bring.
"""

import heapq
from collections.abc import Callable, Iterable

from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, MemberState, encoded_size

HEAD = 16  # bytes that the news of a message take beside themselves
MOST = 32  # pieces looked at for one message


class GossipQueue:
    """Names that there is something to tell of, and how often each was told."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, int]] = {}  # sendings, then the order of arrival (newest first)
        self._count = 0

    def __len__(self) -> int:
        return len(self._told)

    def add(self, name: str) -> None:
        """Something new is believed of this member."""
        self._count += 1
        self._told[name] = (0, -self._count)

    def choose(
        self,
        room: int,
        most_sendings: int,
        about: Callable[[str], MemberState | None],
        first: Iterable[MemberState] = (),
    ) -> list[MemberState]:
        """What to tell in ``room`` bytes; ``first`` goes before all else and is not counted as told."""
        chosen: list[MemberState] = []
        room = min(room, MAX_DATAGRAM_BYTES) - HEAD
        for one in first:
            room -= encoded_size(one)
            if room >= 0:
                chosen.append(one)
        names = {one.name for one in chosen}
        for name in heapq.nsmallest(MOST, self._told, key=self._told.__getitem__):
            if name in names:
                continue
            found = about(name)
            if found is None:
                del self._told[name]
                continue
            room -= encoded_size(found)
            if room < 0:
                break
            chosen.append(found)
            max_transmits, order = self._told[name]
            if max_transmits + 1 >= most_sendings:
                del self._told[name]
            else:
                self._told[name] = (max_transmits + 1, order)
        return chosen
