"""Queue of updates to piggyback on the next messages: least transmitted first, within one datagram.

At most one entry per member, the newest. Each is sent a number of times that grows with the logarithm of the
fleet size, and then dropped. Full state exchanges deliver what is lost all the same.
"""

import heapq
from collections.abc import Callable, Iterable

from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, MemberState, encoded_size

OVERHEAD_BYTES = 16  # bytes that the list of updates takes in a message, beside the updates themselves
MAX_EXAMINED = 32  # updates considered for one message


class GossipQueue:
    """Names of members with an update to send, and how often each was sent."""

    def __init__(self) -> None:
        self._queued: dict[str, tuple[int, int]] = {}  # transmits, then the order of arrival (newest first)
        self._count = 0

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, name: str) -> None:
        """Queue an update of this member, in place of an older one."""
        self._count += 1
        self._queued[name] = (0, -self._count)

    def choose(
        self,
        room: int,
        max_transmits: int,
        state_of: Callable[[str], MemberState | None],
        first: Iterable[MemberState] = (),
    ) -> list[MemberState]:
        """Updates that fit into ``room`` bytes; ``first`` goes before all others and does not count as
        sent."""
        chosen: list[MemberState] = []
        room = min(room, MAX_DATAGRAM_BYTES) - OVERHEAD_BYTES
        for state in first:
            room -= encoded_size(state)
            if room >= 0:
                chosen.append(state)
        names = {state.name for state in chosen}
        for name in heapq.nsmallest(MAX_EXAMINED, self._queued, key=self._queued.__getitem__):
            if name in names:
                continue
            found = state_of(name)
            if found is None:
                del self._queued[name]
                continue
            room -= encoded_size(found)
            if room < 0:
                break
            chosen.append(found)
            transmits, order = self._queued[name]
            if transmits + 1 >= max_transmits:
                del self._queued[name]
            else:
                self._queued[name] = (transmits + 1, order)
        return chosen
