"""Edge of the list: reads the configured holders or a roster file, and turns them into facts.

The file is looked at every ``roster_poll`` by its modification time, size and inode. A file that cannot be
read or does not pass its checks changes nothing: the list before it stays in force, and the module is told
that reading failed.
"""

import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

from quincepath.config.load import ConfigError, load
from quincepath.config.schema import Config, Holder, Roster, check_holders, zones
from quincepath.interface import Members, NodeId, Phase
from quincepath.membership.roster import Change, Fact, RosterState
from quincepath.shards.shardmap import ShardMap

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


def node_id(url: str) -> NodeId:
    """The module's id of a holder: four bytes of its address and its port."""
    parts = urlsplit(url)
    address = bytes(int(byte) for byte in (parts.hostname or "").split("."))
    return address + (parts.port or 0).to_bytes(2)


class ListSource:
    """One broker's source of holders. ``poll`` is cheap and is called on the broker's own timer."""

    def __init__(
        self,
        config: Config,
        shard_map: ShardMap,
        base: Path,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.config, self.map = config, shard_map
        self.state = RosterState()
        self.path = base / config.roster if config.roster else None
        self._wall, self._clock = wall, clock
        self._seen: tuple[int, int, int] | None = None
        self._zones = zones(config, [])
        self.errors = 0
        self.drained: frozenset[str] = (
            frozenset()
        )  # names that the fleet agreed to drain, whatever the list says

    def poll(self, force: bool = False) -> tuple[Members | None, list[Change], str]:
        """News, what changed, and an error text where the file could not be taken."""
        if self.path is None:
            if self.state.version and not force:
                return None, [], ""
            news, changes = self.state.take([self._fact(holder) for holder in self.config.holders])
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
            return self.state.failed(), [], str(error)
        for holder in roster.holders:
            self._zones.setdefault(holder.zone, len(self._zones))
        news, changes = self.state.take([self._fact(holder) for holder in roster.holders])
        return news, changes, ""

    def zone_name(self, position: int) -> str:
        """The name of a zone that facts give by its position."""
        return next((name for name, at in self._zones.items() if at == position), "")

    def _fact(self, holder: Holder) -> Fact:
        since = 0
        if holder.started is not None:
            since = max(self._clock() - int((self._wall() - holder.started) * 1e9), 1)
        phase = PHASES[holder.phase]
        if phase is Phase.READY and holder.name in self.drained:
            phase = Phase.DRAINING
        cell = self.map.cell_of(holder.shards)
        if cell is None:
            raise ValueError(f"holder {holder.name!r}: no set has shards {holder.shards}")
        return Fact(
            holder.name,
            node_id(holder.url),
            urlsplit(holder.url).path or "/",
            self._zones[holder.zone],
            cell,
            tuple(holder.shards),
            phase,
            since,
        )
