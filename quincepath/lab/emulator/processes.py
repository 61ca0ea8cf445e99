"""Broker processes of a rehearsal over loopback, and the list of holders that each of them reads."""

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
    """One broker: its configuration file, its process while it runs, and where it serves."""

    def __init__(self, number: int, zone: str, folder: Path) -> None:
        super().__init__(f"broker {number}", folder / f"broker{number}.log")
        self.number, self.zone, self.folder = number, zone, folder
        self.url = ""
        self.alive = False
        self.halted: tuple[int, int] | None = None  # when it was killed and for how long; until it is back

    @property
    def config(self) -> Path:
        """Its configuration file."""
        return self.folder / f"broker{self.number}.yaml"

    def launch(self) -> None:
        """Start the process; ``wait`` or ``ready`` tell when it serves."""
        self.start(["--log-level", "error", "serve", "-c", str(self.config)])

    def wait(self) -> None:
        """Until it serves. Raises ``StartError``."""
        self.url = self.startup_value("remote_read")
        self.alive = True

    def kill(self) -> None:
        """At once, as if its machine had gone."""
        self.alive = False
        super().kill()

    def stop(self) -> None:
        """Ask it to end; kill it if it does not."""
        self.alive = False
        super().stop()


@dataclass(slots=True)
class _RosterFile:
    """What one broker's list says, and how news get into it."""

    path: Path
    entries: dict[str, dict[str, Any]]
    version: int = 0
    lag_factor: float = 1.0  # times the usual
    next_update_at: int = 0  # news keep their order
    updates_frozen: bool = False
    missed_updates: dict[str, None] = field(default_factory=dict)


class RosterFiles:
    """A roster file for each broker, each behind the truth by a lag of its own.

    ``truth`` gives a holder's entry as it is now, or None where it is gone. ``lag`` draws a time (ns).
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
        """The truth about a holder has changed; each broker's list says so in its own time."""
        for broker, roster in zip(self.brokers, self.rosters, strict=True):
            roster.next_update_at = max(
                roster.next_update_at, self.loop.clock() + int(self.lag() * roster.lag_factor)
            )
            self.loop.call_at(roster.next_update_at, lambda b=broker: self._apply_update(b, name))  # type: ignore[misc]

    def freeze(self, number: int) -> None:
        """Nothing new gets into this broker's list."""
        self.rosters[number].updates_frozen = True

    def unfreeze(self, number: int) -> None:
        """What was missed comes as it is now."""
        self.rosters[number].updates_frozen = False
        self.catch_up(number)

    def catch_up(self, number: int) -> None:
        """Write down what this broker's list missed while it was frozen or its broker dead."""
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
        """Replace the file at once."""
        roster.version += 1
        temporary = roster.path.with_suffix(".new")
        with temporary.open("w") as file:
            YAML(typ="safe").dump({"version": roster.version, "holders": list(roster.entries.values())}, file)
        temporary.replace(roster.path)
