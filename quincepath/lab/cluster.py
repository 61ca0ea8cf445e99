"""Holders as processes on loopback, and a roster file that lists them, for the demo and scripted days."""

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
    """A holder: its options, and its process while it runs."""

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
        """The remote read address."""
        return f"http://127.0.0.1:{self.port}/api/v1/read"

    def launch(self, cold: float = 1.0) -> None:
        """Start the process; ``wait`` returns when it is ready."""
        arguments = [
            "leaf", "--name", self.name, "--port", str(self.port),
            "--districts", ",".join(self.districts), "--cold", str(cold), "--guarded", *self.options,
        ]  # fmt: skip
        if self.record:
            arguments += ["--record", str(self.record)]
        self.start(arguments)

    def wait(self) -> None:
        """Wait until it is ready. Raises ``StartError``."""
        self.port = self.startup_value("port")
        self.started = time.time()

    def control(self, fault: str) -> None:
        """Inject a fault by the control endpoint, which answers at once. Raises ``OSError`` if not."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        try:
            connection.request("POST", "/control", json.dumps({"fault": fault}))
            connection.getresponse().read()
        finally:
            connection.close()


@dataclass(slots=True)
class Cluster:
    """A few holders and the roster that lists them."""

    holders: list[HolderProcess]
    roster: Path | None = None
    record: Writer | None = None
    version: int = 0
    unlisted: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Start all holders in parallel and wait until they are ready."""
        for holder in self.holders:
            holder.launch()
        for holder in self.holders:
            holder.wait()

    def stop(self) -> None:
        """Stop all holders."""
        for holder in self.holders:
            holder.stop()

    def entries(self, with_start: set[str]) -> list[dict[str, Any]]:
        """The holders as entries of a configuration or roster."""
        found = []
        for holder in self.holders:
            if holder.name in self.unlisted:
                continue
            entry: dict[str, Any] = {
                "name": holder.name, "url": holder.url, "zone": holder.zone, "shards": holder.shards,
                "phase": holder.phase,
            }  # fmt: skip
            if holder.name in with_start:
                entry["started"] = holder.started
            found.append(entry)
        return found

    def write_roster(self, changes: dict[str, str], with_start: set[str]) -> None:
        """Replace the roster file atomically and record ``changes`` (holder to phase) for the audit."""
        assert self.roster is not None
        self.version += 1
        new_file = self.roster.with_suffix(".new")
        with new_file.open("w") as file:
            YAML(typ="safe").dump({"version": self.version, "holders": self.entries(with_start)}, file)
        new_file.replace(self.roster)
        for name, phase in changes.items():
            if self.record is not None:
                self.record.write(Told(time.monotonic_ns(), name, phase))
