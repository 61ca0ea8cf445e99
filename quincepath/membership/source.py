"""I/O of the holder list: reads the configured holders or a roster file and describes each holder.

The file is checked every ``roster_poll`` by its modification time, size and inode. A file that cannot be read
or is invalid changes nothing: the previous list stays valid, and the module is told that reading failed.
"""

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from urllib.parse import urlsplit

from quincepath.config.load import ConfigError, load
from quincepath.config.schema import Config, Holder, Roster, check_holders, zone_positions
from quincepath.interface import Members, NodeId, Phase
from quincepath.membership.state import Change, HolderInfo, MembershipState
from quincepath.shards.shardmap import ShardMap

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


def node_id(url: str) -> NodeId:
    """The decision module's id of a holder: the four bytes of its address, then its port."""
    parts = urlsplit(url)
    address = bytes(int(byte) for byte in (parts.hostname or "").split("."))
    return address + (parts.port or 0).to_bytes(2)


class MembershipSource:
    """One broker's source of holders. ``poll`` is cheap; the broker calls it on a timer."""

    def __init__(
        self,
        config: Config,
        shard_map: ShardMap,
        base: Path,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.config, self.shard_map = config, shard_map
        self.state = MembershipState()
        self.path = base / config.roster if config.roster else None
        self._wall, self._clock = wall, clock
        self._file_version: tuple[int, int, int] | None = None
        self._zones = zone_positions(config, [])
        self.errors = 0
        self.distributed: dict[str, Holder] = {}  # by name, distributed by the fleet
        self.complete = True  # whether the distributed holders are all holders
        self.drained: frozenset[str] = frozenset()  # names that the fleet drains, even if listed as ready

    def poll(self, force: bool = False) -> tuple[Members | None, list[Change], str]:
        """The module's update, the changes, and an error text if the file could not be used."""
        if self.uses_distributed:
            return (*self._apply_distributed(), "") if force else (None, [], "")
        if self.path is None:
            if self.state.version and not force:
                return None, [], ""
            update, changes = self.state.apply_list(
                [self._describe(holder) for holder in self.config.holders]
            )
            return update, changes, ""
        try:
            stat = self.path.stat()
            version = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if version == self._file_version and not force:
                return None, [], ""
            self._file_version = version
            roster = load(self.path, Roster)
            check_holders(self.config.shards, roster.holders)
        except (OSError, ConfigError, ValueError) as error:
            if isinstance(error, OSError):
                if self._file_version == (0, 0, 0) and not force:
                    return None, [], ""  # still missing: reported once only
                self._file_version = (0, 0, 0)
            self.errors += 1
            return self.state.read_failed(), [], str(error)
        for holder in roster.holders:
            self._zones.setdefault(holder.zone, len(self._zones))
        update, changes = self.state.apply_list([self._describe(holder) for holder in roster.holders])
        return update, changes, ""

    @property
    def uses_distributed(self) -> bool:
        """Whether only the distributed holders apply; otherwise the file or configuration does."""
        return self.complete and bool(self.distributed)

    def distribute(
        self, changed: Mapping[str, Holder | None], complete: bool | None = None
    ) -> tuple[Members | None, list[Change], str]:
        """Apply holders that the fleet distributes, by name; None removes one. Cost depends on their number.

        ``complete``: whether they are all holders from now on; None keeps the current value. The holders are
        already validated: their shards are a complete replica set, no two share a name or an address. If the
        file applies again and cannot be read, the previous list stays, as ``poll`` reports.
        """
        before = self.uses_distributed
        gone = self._store_distributed(changed)
        self.complete = self.complete if complete is None else complete
        if not self.uses_distributed:
            return self.poll(force=True) if before else (None, [], "")
        if not before:
            return (*self._apply_distributed(), "")
        added = [self._describe(holder) for holder in changed.values() if holder is not None]
        return (*self.state.apply_delta(added, gone), "")

    def _store_distributed(self, changed: Mapping[str, Holder | None]) -> list[NodeId]:
        """Store the changed holders; returns the node ids of those replaced or removed."""
        gone = []
        for name, holder in changed.items():
            before = self.distributed.pop(name, None)
            if before is not None:
                gone.append(node_id(before.url))
            if holder is not None:
                self._zones.setdefault(holder.zone, len(self._zones))
                self.distributed[name] = holder
        return gone

    def _apply_distributed(self) -> tuple[Members | None, list[Change]]:
        return self.state.apply_list([self._describe(holder) for holder in self.distributed.values()])

    def zone_name(self, position: int) -> str:
        """The name of the zone with this position, as ``HolderInfo.zone`` gives it."""
        return next((name for name, index in self._zones.items() if index == position), "")

    def _describe(self, holder: Holder) -> HolderInfo:
        since = 0
        if holder.started is not None:
            since = max(self._clock() - int((self._wall() - holder.started) * 1e9), 1)
        phase = PHASES[holder.phase]
        if phase is Phase.READY and holder.name in self.drained:
            phase = Phase.DRAINING
        cell = self.shard_map.cell_of_set(holder.shards)
        if cell is None:
            raise ValueError(f"holder {holder.name!r}: no replica set has exactly the shards {holder.shards}")
        return HolderInfo(
            holder.name,
            node_id(holder.url),
            urlsplit(holder.url).path or "/",
            self._zones[holder.zone],
            cell,
            tuple(holder.shards),
            phase,
            since,
        )
