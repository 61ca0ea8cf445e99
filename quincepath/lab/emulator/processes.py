"""Broker processes of a rehearsal over loopback, and the roster file that each of them reads."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from quincepath.lab.process import ChildProcess
from quincepath.net.loop import Loop
from quincepath.standins.record import Told, Writer


class BrokerProcess(ChildProcess):
    """One broker: its configuration file, its process while it runs, and its URL."""

    def __init__(self, number: int, zone: str, folder: Path) -> None:
        super().__init__(f"broker {number}", folder / f"broker{number}.log")
        self.number, self.zone, self.folder = number, zone, folder
        self.url = ""
        self.alive = False
        self.halted: tuple[int, int] | None = None  # (killed at, for ns) while it is down

    @property
    def config(self) -> Path:
        """Its configuration file."""
        return self.folder / f"broker{self.number}.yaml"

    def launch(self) -> None:
        """Start the process; ``wait`` and ``ready`` report when it serves."""
        self.start(["--log-level", "error", "serve", "-c", str(self.config)])

    def wait(self) -> None:
        """Wait until it serves. Raises ``StartError``."""
        self.url = self.startup_value("remote_read")
        self.alive = True

    def kill(self) -> None:
        """Kill it at once, as if its machine had failed."""
        self.alive = False
        super().kill()

    def stop(self) -> None:
        """Terminate it; kill it if it does not exit."""
        self.alive = False
        super().stop()


@dataclass(slots=True)
class _RosterFile:
    """Contents of one broker's roster file, and how it is updated."""

    path: Path
    entries: dict[str, dict[str, Any]]
    version: int = 0
    lag_factor: float = 1.0  # multiplies the usual lag
    next_update_at: int = 0  # earliest time of the next update: updates keep their order
    updates_frozen: bool = False
    missed_updates: dict[str, None] = field(default_factory=dict)


class RosterFiles:
    """A roster file for each broker, each updated with a lag of its own.

    ``actual_entry`` returns a holder's current entry, or None if it is gone. ``lag`` draws a time (ns).
    """

    def __init__(
        self,
        loop: Loop,
        brokers: list[BrokerProcess],
        actual_entry: Callable[[str], dict[str, Any] | None],
        names: list[str],
        lag: Callable[[], float],
        writer: Writer,
    ) -> None:
        self.loop, self.brokers, self.actual_entry, self.names = loop, brokers, actual_entry, names
        self.lag, self.writer = lag, writer
        entries = {name: entry for name in names if (entry := actual_entry(name)) is not None}
        self.rosters = [_RosterFile(b.folder / f"roster{b.number}.yaml", dict(entries)) for b in brokers]
        for roster in self.rosters:
            self._write(roster)

    def publish(self, name: str) -> None:
        """Announce that a holder's entry has changed; each roster file follows after its own lag."""
        for broker, roster in zip(self.brokers, self.rosters, strict=True):
            roster.next_update_at = max(
                roster.next_update_at, self.loop.clock() + int(self.lag() * roster.lag_factor)
            )
            self.loop.call_at(roster.next_update_at, lambda b=broker: self._apply_update(b, name))  # type: ignore[misc]

    def freeze(self, number: int) -> None:
        """Suspend updates of this broker's roster file."""
        self.rosters[number].updates_frozen = True

    def unfreeze(self, number: int) -> None:
        """Resume updates; missed ones are written with current entries."""
        self.rosters[number].updates_frozen = False
        self.catch_up(number)

    def catch_up(self, number: int) -> None:
        """Write what this broker's roster file missed while it was frozen or its broker down."""
        roster = self.rosters[number]
        if roster.updates_frozen:
            return
        missed, roster.missed_updates = roster.missed_updates, {}
        for name in missed:
            self._apply_update(self.brokers[number], name)

    def _apply_update(self, broker: BrokerProcess, name: str) -> None:
        roster = self.rosters[broker.number]
        if roster.updates_frozen or not broker.alive:
            roster.missed_updates[name] = None
            return
        entry = self.actual_entry(name)
        if entry is None:
            roster.entries.pop(name, None)
        else:
            roster.entries[name] = entry
        self._write(roster)
        phase = "gone" if entry is None else entry["phase"]
        self.writer.write(Told(time.monotonic_ns(), name, phase, broker.number))

    @staticmethod
    def _write(roster: _RosterFile) -> None:
        """Replace the file atomically."""
        roster.version += 1
        temporary = roster.path.with_suffix(".new")
        with temporary.open("w") as file:
            YAML(typ="safe").dump({"version": roster.version, "holders": list(roster.entries.values())}, file)
        temporary.replace(roster.path)
