"""Holders as processes on loopback, and a roster file about them: for the demo and for scripted days."""

import json
import selectors
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from quincepath.lab.record import Told, Writer

START_WAIT = 30.0  # seconds for a process to say that it is ready
STOP_WAIT = 5.0


class StartError(RuntimeError):
    """A process did not come up; the text says which and what it said."""


@dataclass(slots=True)
class HolderProcess:
    """One holder: how to start it, and its process while it runs."""

    name: str
    zone: str
    shards: list[str]
    districts: list[str]
    options: list[str]
    record: Path | None = None
    port: int = 0
    process: "subprocess.Popen[str] | None" = None
    started: float = 0.0
    phase: str = "ready"

    @property
    def url(self) -> str:
        """Where it serves remote read."""
        return f"http://127.0.0.1:{self.port}/api/v1/read"

    def start(self, cold: float = 1.0) -> None:
        """Start the process; ``wait`` tells when it serves."""
        words = [
            sys.executable, "-m", "quincepath", "leaf", "--name", self.name, "--port", str(self.port),
            "--districts", ",".join(self.districts), "--cold", str(cold), "--guarded", *self.options,
        ]  # fmt: skip
        if self.record:
            words += ["--record", str(self.record)]
        self.process = subprocess.Popen(words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def ready(self) -> bool:
        """Whether it has said that it serves, without waiting."""
        assert self.process is not None and self.process.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(self.process.stdout, selectors.EVENT_READ)
            return bool(selector.select(0))

    def wait(self) -> None:
        """Until it serves. Raises ``StartError``."""
        assert self.process is not None and self.process.stdout is not None
        line = self.process.stdout.readline()
        try:
            self.port = json.loads(line)["port"]
        except (ValueError, KeyError):
            raise StartError(f"holder {self.name} said {line!r}, exit status {self.process.poll()}") from None
        self.started = time.time()

    def kill(self) -> None:
        """At once, as if its machine had gone."""
        if self.process is not None:
            self.process.kill()
            self._reap()

    def stop(self) -> None:
        """Ask it to end; kill it if it does not."""
        if self.process is None:
            return
        self.process.terminate()
        try:
            self.process.wait(STOP_WAIT)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self._reap()

    def _reap(self) -> None:
        process, self.process = self.process, None
        if process is not None:
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()


@dataclass(slots=True)
class Cluster:
    """A handful of holders and the roster about them."""

    holders: list[HolderProcess]
    roster: Path | None = None
    record: Writer | None = None
    version: int = 0
    missing: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Start all, then wait for all: they come up side by side."""
        for holder in self.holders:
            holder.start()
        for holder in self.holders:
            holder.wait()

    def stop(self) -> None:
        """No child is left."""
        for holder in self.holders:
            holder.stop()

    def entries(self, with_start: set[str]) -> list[dict[str, Any]]:
        """The holders as a configuration or roster names them."""
        found = []
        for holder in self.holders:
            if holder.name in self.missing:
                continue
            entry: dict[str, Any] = {
                "name": holder.name, "url": holder.url, "zone": holder.zone, "shards": holder.shards,
                "phase": holder.phase,
            }  # fmt: skip
            if holder.name in with_start:
                entry["started"] = holder.started
            found.append(entry)
        return found

    def write_roster(self, news: dict[str, str], with_start: set[str]) -> None:
        """Replace the roster file at once; ``news`` (holder to phase) is noted for the audit."""
        assert self.roster is not None
        self.version += 1
        beside = self.roster.with_suffix(".new")
        with beside.open("w") as file:
            YAML(typ="safe").dump({"version": self.version, "holders": self.entries(with_start)}, file)
        beside.replace(self.roster)
        for name, phase in news.items():
            if self.record is not None:
                self.record.write(Told(time.monotonic_ns(), name, phase))
