"""Holders as processes on loopback, and a roster file about them: for the demo and for scripted days."""

import http.client
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from quincepath.lab.process import ChildProcess
from quincepath.standins.record import Told, Writer


class HolderProcess(ChildProcess):
    """One holder: how to start it, and its process while it runs."""

    def __init__(
        self,
        name: str,
        zone: str,
        shards: list[str],
        districts: list[str],
        options: list[str],
        record: Path | None = None,
        port: int = 0,
    ) -> None:
        super().__init__(name)
        self.zone, self.shards, self.districts, self.options = zone, shards, districts, options
        self.record, self.port = record, port
        self.started = 0.0
        self.phase = "ready"

    @property
    def url(self) -> str:
        """Where it serves remote read."""
        return f"http://127.0.0.1:{self.port}/api/v1/read"

    def launch(self, cold: float = 1.0) -> None:
        """Start the process; ``wait`` tells when it serves."""
        words = [
            "leaf", "--name", self.name, "--port", str(self.port),
            "--districts", ",".join(self.districts), "--cold", str(cold), "--guarded", *self.options,
        ]  # fmt: skip
        if self.record:
            words += ["--record", str(self.record)]
        self.start(words)

    def wait(self) -> None:
        """Until it serves. Raises ``StartError``."""
        self.port = self.startup_value("port")
        self.started = time.time()

    def control(self, fault: str) -> None:
        """Tell it how to behave; it answers at once. Raises ``OSError`` where it does not."""
        line = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        try:
            line.request("POST", "/control", json.dumps({"fault": fault}))
            line.getresponse().read()
        finally:
            line.close()


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
            holder.launch()
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
