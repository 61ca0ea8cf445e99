"""Edge of the list: reads the configured holders or a roster file, and turns them into facts.

The file is looked at every ``roster_poll`` by its modification time, size and inode. A file that cannot be
read or does not pass its checks changes nothing: the list before it stays in force, and the module is told
that reading failed.
"""

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from urllib.parse import urlsplit

from quincepath.config.load import ConfigError, load
from quincepath.config.schema import Config, Holder, Roster, check_holders, zones
from quincepath.interface import Members, NodeId, Phase
from quincepath.membership.state import Change, HolderInfo, MembershipState
from quincepath.shards.shardmap import ShardMap

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


def node_id(url: str) -> NodeId:
    """The module's id of a holder: four bytes of its address and its port."""
    parts = urlsplit(url)
    address = bytes(int(byte) for byte in (parts.hostname or "").split("."))
    return address + (parts.port or 0).to_bytes(2)


class MembershipSource:
    """One broker's source of holders. ``poll`` is cheap and is called on the broker's own timer."""

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
        self._seen: tuple[int, int, int] | None = None
        self._zones = zones(config, [])
        self.errors = 0
        self.distributed: dict[str, Holder] = {}  # by name, as the fleet distributes them
        self.complete = True  # whether the distributed ones are all
        self.drained: frozenset[str] = (
            frozenset()
        )  # names that the fleet agreed to drain, whatever the list says

    def poll(self, force: bool = False) -> tuple[Members | None, list[Change], str]:
        """News, what changed, and an error text where the file could not be taken."""
        if self.uses_distributed:
            return (*self._take_distributed(), "") if force else (None, [], "")
        if self.path is None:
            if self.state.version and not force:
                return None, [], ""
            news, changes = self.state.apply_list([self._fact(holder) for holder in self.config.holders])
            return news, changes, ""
        try:
            found = self.path.stat()
            mark = (found.st_mtime_ns, found.st_size, found.st_ino)
            if mark == self._seen and not force:
                return None, [], ""
            self._seen = mark
            roster = load(self.path, Roster)
            check_holders(self.config.shards, roster.holders)
        except (OSError, ConfigError, ValueError) as error:
            if isinstance(error, OSError):
                if self._seen == (0, 0, 0) and not force:
                    return None, [], ""  # still missing: told once
                self._seen = (0, 0, 0)
            self.errors += 1
            return self.state.read_failed(), [], str(error)
        for holder in roster.holders:
            self._zones.setdefault(holder.zone, len(self._zones))
        news, changes = self.state.apply_list([self._fact(holder) for holder in roster.holders])
        return news, changes, ""

    @property
    def uses_distributed(self) -> bool:
        """Whether the distributed holders alone are in force; else the file says who there is."""
        return self.complete and bool(self.distributed)

    def distribute(
        self, changed: Mapping[str, Holder | None], complete: bool | None = None
    ) -> tuple[Members | None, list[Change], str]:
        """Holders that the fleet distributes, by name; None: no longer one. Costs by their number.

        ``complete``: whether they are all from now on; None keeps it. The holders were checked: their shards
        are a whole replica set, no two share a name or an address. Where the file comes into force again and
        cannot be read, the list before stays; as ``poll`` tells.
        """
        before = self.uses_distributed
        gone = self._hold(changed)
        self.complete = self.complete if complete is None else complete
        if not self.uses_distributed:
            return self.poll(force=True) if before else (None, [], "")
        if not before:
            return (*self._take_distributed(), "")
        arriving = [self._fact(holder) for holder in changed.values() if holder is not None]
        return (*self.state.apply_delta(arriving, gone), "")

    def _hold(self, changed: Mapping[str, Holder | None]) -> list[NodeId]:
        """Take the holders in; addresses that are left."""
        gone = []
        for name, wanted in changed.items():
            before = self.distributed.pop(name, None)
            if before is not None:
                gone.append(node_id(before.url))
            if wanted is not None:
                self._zones.setdefault(wanted.zone, len(self._zones))
                self.distributed[name] = wanted
        return gone

    def _take_distributed(self) -> tuple[Members | None, list[Change]]:
        return self.state.apply_list([self._fact(holder) for holder in self.distributed.values()])

    def zone_name(self, position: int) -> str:
        """The name of a zone that facts give by its position."""
        return next((name for name, at in self._zones.items() if at == position), "")

    def _fact(self, holder: Holder) -> HolderInfo:
        since = 0
        if holder.started is not None:
            since = max(self._clock() - int((self._wall() - holder.started) * 1e9), 1)
        phase = PHASES[holder.phase]
        if phase is Phase.READY and holder.name in self.drained:
            phase = Phase.DRAINING
        cell = self.shard_map.cell_of_set(holder.shards)
        if cell is None:
            raise ValueError(f"holder {holder.name!r}: no set has shards {holder.shards}")
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
