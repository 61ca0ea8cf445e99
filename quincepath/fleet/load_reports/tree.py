"""The aggregation tree: groups of members, groups of groups, each with a few aggregators side by side.

A member's group follows from a hash of its name and the number of groups, which follows from the number of
*configured* members: a member that dies or is cut off changes no group. In each group (level, index) the
aggregators are chosen by rendezvous hashing among the live members below, one for each lane (0, 1, 2 ...):
when one dies, its lane goes to the next member and the other lanes stay. An aggregator exchanges sums with
the same lane of the group above and below.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from quincepath.fleet.load_reports.types import LoadReportSettings

MAX_GROUPS = 1024


@lru_cache(maxsize=1 << 17)
def stable_hash(salt: str, name: str) -> int:
    """A hash that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(f"{salt} {name}".encode(), digest_size=8).digest(), "big")


class AggregationTree:
    """The groups as seen by one member. ``live``: names of the members believed live, itself among them."""

    def __init__(self, me: str, live: Iterable[str], configured: int, settings: LoadReportSettings) -> None:
        self._settings = settings
        self.me = me
        self.live = sorted({*live, me})
        self.groups = 1
        while (
            self.groups * settings.group_size < max(configured, len(self.live)) and self.groups < MAX_GROUPS
        ):
            self.groups *= 2
        self._members: dict[tuple[int, int], list[str]] = {}
        self.top_level = 0
        while settings.group_size**self.top_level < self.groups:
            self.top_level += 1
        for name in self.live:
            for level in range(self.top_level + 1):
                self._members.setdefault((level, self.group_index(name, level)), []).append(name)
        self._aggregators: dict[tuple[int, int], tuple[str, ...]] = {}

    def group_index(self, name: str, level: int = 0) -> int:
        """The group of a name on a level; the top level has only group 0."""
        return int(stable_hash("group", name) % self.groups // self._settings.group_size**level)

    def members_of(self, level: int, index: int) -> list[str]:
        """The live members below a group."""
        return self._members.get((level, index), [])

    def child_groups(self, level: int, index: int) -> list[int]:
        """The nonempty groups of the level below that belong to a group."""
        group_size = self._settings.group_size
        return [
            child
            for child in range(index * group_size, index * group_size + group_size)
            if (level - 1, child) in self._members
        ]

    def aggregators(self, level: int, index: int) -> tuple[str, ...]:
        """The aggregators of a group by lane; fewer where fewer members live below it."""
        chosen_before = self._aggregators.get((level, index))
        if chosen_before is None:
            chosen: list[str] = []
            remaining = list(self.members_of(level, index))
            for lane in range(min(self._settings.aggregators, len(remaining))):
                salt = f"{level} {index} {lane}"
                best = max(remaining, key=lambda name: stable_hash(salt, name))
                remaining.remove(best)
                chosen.append(best)
            chosen_before = self._aggregators[level, index] = tuple(chosen)
        return chosen_before

    def lane_of(self, level: int, index: int, name: str) -> int | None:
        """The lane of a member in a group."""
        members = self.aggregators(level, index)
        return members.index(name) if name in members else None

    def child_aggregator(self, level: int, index: int, lane: int) -> str | None:
        """The recipient of a lane of the group above; where this group has fewer lanes, they are shared."""
        members = self.aggregators(level, index)
        return members[lane % len(members)] if members else None

    def parent_aggregators(self, level: int, index: int, lane: int) -> list[str]:
        """Recipients of a lane's sums: the same lane of the group above, and lanes that this group lacks."""
        parents, lane_count = (
            self.aggregators(level + 1, index // self._settings.group_size),
            len(self.aggregators(level, index)),
        )
        return [name for parent_lane, name in enumerate(parents) if parent_lane % lane_count == lane]
