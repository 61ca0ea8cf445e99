"""A fleet of broker processes with real holders: three voters, two relays, three more brokers."""

import json
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from ruamel.yaml import YAML

from quincepath.cli.main import fetch, main
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.demo import demo_config, make_cluster
from quincepath.lab.process import PROGRAM, ChildProcess
from quincepath.standins.record import Got, read
from tests.standins.ports import free_ports
from tests.test_fleet_processes import until

MEMBERS = [f"m{number}" for number in range(8)]
VOTERS = MEMBERS[:3]
EAST, WEST = "m3", "m4"  # the relays
QUERY_TIME = 10.0  # seconds
Injected = dict[str, tuple[str, Path]]


def region_of(name: str) -> str:
    """The region of a member: a relay has its own, the others alternate."""
    return {EAST: "east", WEST: "west"}.get(name, "west" if int(name[1:]) % 2 else "east")


class ProcessFleet:
    """``injected``: by member, a fault and its file (quincepath/lab/fleet/injected.py)."""

    def __init__(self, folder: Path, injected: Injected) -> None:
        self.folder = folder
        self.cluster = make_cluster(1, ["--work-ms", "1", "--tractors", "1"], folder)
        self.children = {name: ChildProcess(name, folder / f"{name}.log") for name in MEMBERS}
        self.metrics: dict[str, str] = {}
        self.urls: dict[str, str] = {}
        self.answers: Counter[str] = Counter()
        self.cluster.start()
        ports = free_ports(len(MEMBERS))
        peers = [
            {"name": name, "address": f"127.0.0.1:{port}"} for name, port in zip(MEMBERS, ports, strict=True)
        ]
        for number, name in enumerate(MEMBERS):
            self._write(number, name, ports[number], peers)
            if name in injected:
                fault, file = injected[name]
                words = [sys.executable, "-m", "quincepath.lab.fleet.injected", fault, str(file)]
                self.children[name].program = words
        # The relays first: a broker that does not find its preferred relay returns to it only after a minute.
        for group in ([EAST, WEST], [name for name in MEMBERS if name not in (EAST, WEST)]):
            for name in group:
                self.start(name)
            for name in group:
                self.up(name)

    def _write(self, number: int, name: str, port: int, peers: list[dict[str, str]]) -> None:
        values = demo_config(0, holders=self.cluster.entries(set()))
        values["broker"] = {"number": number, "brokers": len(MEMBERS), "zone": "upper"}
        region = region_of(name)
        relays = [{"name": EAST, "region": "east"}, {"name": WEST, "region": "west"}]
        values["fleet"] = {
            "name": "orchard", "member": name, "port": port, "peers": peers, "keepers": VOTERS,
            "configuration": {"region": region, "relays": relays},
        }  # fmt: skip
        if name in VOTERS:
            values["fleet"]["store"] = f"store-{name}"
        with (self.folder / f"{name}.yaml").open("w") as file:
            YAML(typ="safe").dump(values, file)

    def start(self, name: str) -> None:
        self.children[name].start(["serve", "-c", str(self.folder / f"{name}.yaml")])

    def up(self, name: str) -> None:
        said = self.children[name].startup_info()
        self.metrics[name] = said["metrics"].removesuffix("/metrics")
        self.urls[name] = said["remote_read"]

    def start_again(self, name: str) -> None:
        """Restart a member that has ended, without its fault."""
        self.children[name].kill()
        self.children[name].program = PROGRAM
        self.start(name)
        self.up(name)

    # --- commands and pages ---

    def config(self, *words: str) -> tuple[int, str]:
        """Run ``quincepath fleet config``; returns exit status and output."""
        result = CliRunner().invoke(main, ["fleet", "config", *words])
        return result.exit_code, result.output

    def propose(self, at: str, key: str, revision: int, **change: Any) -> tuple[int, str]:
        path = self.folder / f"change-{key}.yaml"
        with path.open("w") as file:
            YAML(typ="safe").dump({"revision": revision, **change}, file)
        return self.config("propose", str(path), "--at", self.metrics[at], "--by", "ann", "--key", key)

    def status(self, at: str) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(
            self.config("status", "--at", self.metrics[at], "--json")[1].splitlines()[0]
        )
        return found

    def own(self, name: str) -> dict[str, Any]:
        """The status that a broker reports of itself."""
        found: dict[str, Any] = self.status(name)["own"]
        return found

    def log(self, name: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def revisions(self, name: str) -> list[int]:
        """The revisions that a broker applied, in order, by its log."""
        return [line["revision"] for line in self.log(name) if line["event"] == "configuration: in force"]

    def got(self, holder: str) -> int:
        """The number of parts that a holder received."""
        path = self.folder / f"holder-{holder}.jsonl"
        return sum(isinstance(line, Got) for _, line in read(path))

    # --- queries ---

    def query(self, name: str) -> None:
        """Send a query over all shards and count its answer."""
        request = ReadRequest()
        one = request.queries.add(start_timestamp_ms=0, end_timestamp_ms=2_000_000_000_000)
        one.matchers.add(type=LabelMatcher.EQ, name="__name__", value="engine_hours")
        one.matchers.add(type=LabelMatcher.RE, name="district", value=".+")
        status, headers, _ = fetch(self.urls[name], request, QUERY_TIME)
        self.answers[headers.get("quincepath-answer", "none") if status == 200 else f"status {status}"] += 1

    def until(self, condition: Callable[[], bool], *serving: str) -> None:
        """Wait until the condition is true; meanwhile send queries to ``serving``."""

        def looked() -> bool:
            for name in serving:
                self.query(name)
            return condition()

        until(looked)

    def stop(self) -> None:
        for child in self.children.values():
            child.stop()
        self.cluster.stop()


def nodes(world: ProcessFleet) -> dict[str, Any]:
    """All holders of the configuration file, by resource name."""
    return {f"node/{entry['name']}": entry for entry in world.cluster.entries(set())}


def spread(world: ProcessFleet) -> bool:
    """Whether every broker has a relay, and each of the two serves several others.

    Nearly all use the relay of their region; one that was slow to start may have tried the other one.
    """
    serving = {name: world.own(name)["relay"] for name in MEMBERS}
    return all(serving.values()) and all(
        sum(found == relay for name, found in serving.items() if name != relay) >= 2 for relay in (EAST, WEST)
    )


@contextmanager
def running(folder: Path, injected: Injected) -> Iterator[ProcessFleet]:
    """A fleet where every broker has a relay, and the nodes of the file are committed as revision 1."""
    world = ProcessFleet.__new__(ProcessFleet)
    try:
        world.__init__(folder, injected)  # type: ignore[misc]
        until(lambda: spread(world))
        until(lambda: world.propose("m7", "first", 0, set=nodes(world))[0] == 0)
        until(lambda: world.config("status", "--at", world.metrics["m0"])[0] == 0)
        yield world
    finally:
        world.stop()  # no child process is left where one does not start
