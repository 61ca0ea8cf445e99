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
class _View:
    """What one broker's list says, and how news get into it."""

    path: Path
    entries: dict[str, dict[str, Any]]
    version: int = 0
    lag: float = 1.0  # times the usual
    free_at: int = 0  # news keep their order
    frozen: bool = False
    missed: dict[str, None] = field(default_factory=dict)


class Lists:
    """A roster file for each broker, each behind the truth by a lag of its own.

    ``truth`` gives a holder's entry as it is now, or None where it is gone. ``lag`` draws a time (ns).
    """

    def __init__(
        self,
        loop: Loop,
        brokers: list[BrokerProcess],
        truth: Callable[[str], dict[str, Any] | None],
        names: list[str],
        lag: Callable[[], float],
        writer: Writer,
    ) -> None:
        self.loop, self.brokers, self.truth, self.names = loop, brokers, truth, names
        self.lag, self.writer = lag, writer
        entries = {name: entry for name in names if (entry := truth(name)) is not None}
        self.views = [_View(b.folder / f"roster{b.number}.yaml", dict(entries)) for b in brokers]
        for view in self.views:
            self._write(view)

    def publish(self, name: str) -> None:
        """The truth about a holder has changed; each broker's list says so in its own time."""
        for broker, view in zip(self.brokers, self.views, strict=True):
            view.free_at = max(view.free_at, self.loop.clock() + int(self.lag() * view.lag))
            self.loop.call_at(view.free_at, lambda b=broker: self._hear(b, name))  # type: ignore[misc]

    def freeze(self, number: int) -> None:
        """Nothing new gets into this broker's list."""
        self.views[number].frozen = True

    def thaw(self, number: int) -> None:
        """What was missed comes as it is now."""
        self.views[number].frozen = False
        self.catch_up(number)

    def catch_up(self, number: int) -> None:
        """Write down what this broker's list missed while it was frozen or its broker dead."""
        view = self.views[number]
        if view.frozen:
            return
        missed, view.missed = view.missed, {}
        for name in missed:
            self._hear(self.brokers[number], name)

    def _hear(self, broker: BrokerProcess, name: str) -> None:
        view = self.views[broker.number]
        if view.frozen or not broker.alive:
            view.missed[name] = None
            return
        entry = self.truth(name)
        if entry is None:
            view.entries.pop(name, None)
        else:
            view.entries[name] = entry
        self._write(view)
        phase = "gone" if entry is None else entry["phase"]
        self.writer.write(Told(time.monotonic_ns(), name, phase, broker.number))

    @staticmethod
    def _write(view: _View) -> None:
        """Replace the file at once."""
        view.version += 1
        beside = view.path.with_suffix(".new")
        with beside.open("w") as file:
            YAML(typ="safe").dump({"version": view.version, "holders": list(view.entries.values())}, file)
        beside.replace(view.path)
