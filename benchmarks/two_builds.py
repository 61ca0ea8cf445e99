"""Checks that two versions of the program work side by side and read each other's files.

    python -m benchmarks.two_builds COMMIT

The old version is taken from git, the new one is this source tree. Eight brokers on loopback form one fleet
in which each role (voter, relay, plain broker) is filled by both versions. With a leader of each version in
turn the fleet has to settle its view, commit a change of the configuration and a drain that each version
proposes, sum up the load of all brokers, and answer queries with the same bytes through every broker and with
each version's client. Then all voters stop, and every one of them starts again on the store of the other
version. Beside the fleet each version reads what the other one wrote: a recording, the record of the storage
servers and the configuration files. Exits with status 1 at the first difference, or where a wait ends.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from ruamel.yaml import YAML

from quincepath.lab.cluster import Cluster
from quincepath.lab.demo import demo_config, make_cluster
from quincepath.lab.process import ChildProcess

ROOT = Path(__file__).parent.parent
MEMBERS = [f"m{number}" for number in range(8)]
VOTERS = MEMBERS[:3]
RELAYS = {"m3": "east", "m4": "west"}
OLD, NEW = "old", "new"
OTHER = {OLD: NEW, NEW: OLD}
VERSION_OF = {"m0": OLD, "m1": NEW, "m2": OLD, "m3": NEW, "m4": OLD, "m5": NEW, "m6": OLD, "m7": NEW}
DRAINED = "a1"  # a storage server with a sibling that serves its shards meanwhile
MAX_WAIT_S = 90.0  # for one condition; an election or a settled view takes a few seconds
POLL_S = 0.25
REQUEST_TIMEOUT_S = 20.0
MAX_ELECTIONS = 10
END_MS = "2000000000000"
SCRIPT = "examples/incidents/holders-hang.yaml"


class DifferenceError(Exception):
    """The versions disagree, or a condition did not come true in time; the text says where."""


def require(true: bool, what: str) -> None:
    """Raise ``DifferenceError`` unless it is true."""
    if not true:
        raise DifferenceError(what)


def wait_until(true: Callable[[], bool], what: str) -> None:
    """Poll a condition. Raises ``DifferenceError`` after ``MAX_WAIT_S``."""
    end = time.monotonic() + MAX_WAIT_S
    while not true():
        require(time.monotonic() < end, f"not within {MAX_WAIT_S:g} s: {what}")
        time.sleep(POLL_S)


def shape(value: Any) -> Any:
    """The keys of a page, without its values; of a list its first item stands for all."""
    if isinstance(value, dict):
        return {key: shape(one) for key, one in sorted(value.items())}
    if isinstance(value, list):
        return [shape(value[0])] if value else []
    return "value"


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody listened on a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [int(one.getsockname()[1]) for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Versions:
    """The source trees of both versions, and how a program of each is started."""

    def __init__(self, commit: str, folder: Path) -> None:
        archive = subprocess.run(["git", "archive", commit], cwd=ROOT, stdout=subprocess.PIPE, check=True)
        old = folder / "old-tree"
        old.mkdir()
        subprocess.run(["tar", "-x", "-C", str(old)], input=archive.stdout, check=True)
        self.trees = {OLD: old, NEW: ROOT}
        for version, tree in self.trees.items():
            place = self._python(version, "-c", "import quincepath; print(quincepath.__file__)").stdout
            require(Path(place.strip()).is_relative_to(tree), f"the {version} version is loaded from {place}")

    @property
    def program(self) -> list[str]:
        """The command of either version; ``environment`` selects the tree."""
        return [sys.executable, "-P", "-m", "quincepath"]

    def environment(self, version: str) -> dict[str, str]:
        """Environment variables with which Python imports one version's tree."""
        return {**os.environ, "PYTHONPATH": str(self.trees[version]), "PYTHONDONTWRITEBYTECODE": "1"}

    def run(self, version: str, *words: str) -> subprocess.CompletedProcess[str]:
        """Run a command of one version to its end."""
        return self._python(version, "-m", "quincepath", *words)

    def agree(self, *words: str) -> str:
        """Run a command of both versions and compare status and output, which is returned."""
        old, new = (self.run(version, *words) for version in (OLD, NEW))
        require(
            (old.returncode, old.stdout) == (new.returncode, new.stdout),
            f"{' '.join(words)}: old: {old.returncode} {old.stdout[-500:]} {old.stderr[-500:]} "
            f"new: {new.returncode} {new.stdout[-500:]} {new.stderr[-500:]}",
        )
        require(bool(new.stdout), f"{' '.join(words)}: no output")
        return new.stdout

    def _python(self, version: str, *words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-P", *words],
            cwd=self.trees[version],
            env=self.environment(version),
            capture_output=True,
            text=True,
        )


class MixedFleet:
    """Eight broker processes of two versions, with six storage servers of the new one."""

    def __init__(self, versions: Versions, folder: Path) -> None:
        self.versions, self.folder = versions, folder
        self.cluster: Cluster = make_cluster(1, ["--work-ms", "1", "--tractors", "1"], folder)
        self.version_of = dict(VERSION_OF)
        self.children = {
            name: ChildProcess(name, folder / f"{name}.log", versions.program) for name in MEMBERS
        }
        self.metrics: dict[str, str] = {}
        self.urls: dict[str, str] = {}
        self.revision = 0
        self.commands = 0

    def start(self) -> None:
        """Start everything, the relays before the members that subscribe to them."""
        self.cluster.start()
        ports = free_ports(len(MEMBERS))
        peers = [
            {"name": name, "address": f"127.0.0.1:{port}"} for name, port in zip(MEMBERS, ports, strict=True)
        ]
        for number, name in enumerate(MEMBERS):
            self._write_config(number, name, ports[number], peers)
        for group in (list(RELAYS), [name for name in MEMBERS if name not in RELAYS]):
            self.start_members(group)

    def start_members(self, names: list[str]) -> None:
        """Start brokers side by side and wait until each one serves."""
        for name in names:
            environment = self.versions.environment(self.version_of[name])
            self.children[name].start(["serve", "-c", str(self.config_of(name))], environment)
        for name in names:
            addresses = self.children[name].startup_info()
            self.metrics[name] = addresses["metrics"].removesuffix("/metrics")
            self.urls[name] = addresses["remote_read"]

    def stop(self) -> None:
        """End all processes."""
        for child in self.children.values():
            child.stop()
        self.cluster.stop()

    def config_of(self, name: str) -> Path:
        """A member's configuration file."""
        return self.folder / f"{name}.yaml"

    def _write_config(self, number: int, name: str, port: int, peers: list[dict[str, str]]) -> None:
        values = demo_config(0, holders=self.cluster.entries(set()))
        values["broker"] = {"number": number, "brokers": len(MEMBERS), "zone": "upper"}
        region = RELAYS.get(name, "east" if number % 2 else "west")
        relays = [{"name": relay, "region": place} for relay, place in RELAYS.items()]
        values["fleet"] = {
            "name": "orchard", "member": name, "port": port, "peers": peers, "keepers": VOTERS,
            "ledger": {}, "overload": {}, "configuration": {"region": region, "relays": relays},
        }  # fmt: skip
        if name in VOTERS:
            values["fleet"]["store"] = f"store-{name}"
        with self.config_of(name).open("w") as file:
            YAML(typ="safe").dump(values, file)

    # --- what members show ---

    def page(self, name: str, path: str) -> Any:
        """A JSON page of a member's metrics listener."""
        with urllib.request.urlopen(f"{self.metrics[name]}{path}", timeout=REQUEST_TIMEOUT_S) as answer:
            return json.loads(answer.read())

    def leader(self) -> str:
        """The leader that all voters name, or an empty string while they do not agree."""
        named = {self.page(name, "/fleet/status")["leader"] for name in VOTERS}
        return str(named.pop()) if len(named) == 1 else ""

    def settled(self, name: str) -> bool:
        """Whether a member sees all brokers live and its view as settled."""
        view = self.page(name, "/fleet/view")
        return bool(view["settled"]) and view["live"] == len(MEMBERS)

    def coverage(self, name: str) -> float:
        """Share of the live brokers whose load reports are in the sums that a member has."""
        text = (
            urllib.request.urlopen(f"{self.metrics[name]}/metrics", timeout=REQUEST_TIMEOUT_S).read().decode()
        )
        found = [line for line in text.splitlines() if line.startswith("quincepath_ledger_coverage ")]
        return float(found[0].split()[1]) if found else -1.0

    # --- what is asked of them ---

    def command(self, version: str, *words: str) -> str:
        """Run ``quincepath fleet`` of one version until it succeeds: an election may be on its way."""
        self.commands += 1
        last = ""

        def succeeded() -> bool:
            nonlocal last
            result = self.versions.run(version, "fleet", *words)
            last = result.stdout + result.stderr
            return result.returncode == 0

        wait_until(succeeded, f"fleet {' '.join(words)} of the {version} version")
        return last

    def propose(self, version: str, at: str, change: dict[str, Any]) -> None:
        """Commit a change of the configuration through a member, with one version's command line."""
        path = self.folder / f"change-{self.commands}.yaml"
        with path.open("w") as file:
            YAML(typ="safe").dump({"revision": self.revision, **change}, file)
        key = f"change-{self.commands}"
        self.command(version, "config", "propose", str(path), "--at", self.metrics[at], "--key", key)
        self.revision += 1
        wait_until(self._in_force, f"revision {self.revision} in force at every broker")
        wait_until(self._alike_at_voters, f"revision {self.revision} shown alike by all voters")

    def _alike_at_voters(self) -> bool:
        pages = [self.page(name, "/fleet/config/show") for name in VOTERS]
        return pages[0]["revision"] == self.revision and all(page == pages[0] for page in pages)

    def _in_force(self) -> bool:
        shown = [self.page(name, "/fleet/config/status")["own"]["revision"] for name in MEMBERS]
        return shown == [self.revision] * len(MEMBERS)

    def drain(self, version: str, at: str) -> None:
        """Drain a storage server and take it back, through a member."""
        self.command(version, "drain", DRAINED, "--at", self.metrics[at])
        wait_until(lambda: all(self._drained(name) for name in VOTERS), f"{DRAINED} drained for all voters")
        self.command(OTHER[version], "undrain", DRAINED, "--at", self.metrics[at])
        wait_until(
            lambda: not any(self.page(name, "/fleet/status")["drains"] for name in VOTERS),
            f"{DRAINED} taken back at all voters",
        )

    def _drained(self, name: str) -> bool:
        drains = self.page(name, "/fleet/status")["drains"]
        return [(one["name"], one["done"]) for one in drains] == [(DRAINED, True)]

    def query(self) -> None:
        """Send one query through every broker with each version's client: one and the same answer."""
        words = ["__name__=engine_hours", "district=~.+", "--end", END_MS, "--json"]
        answers = {
            self.versions.run(version, "query", url, *words).stdout
            for version in (OLD, NEW)
            for url in self.urls.values()
        }
        require(len(answers) == 1, f"answers differ: {sorted(answer[:300] for answer in answers)}")
        found = json.loads(answers.pop())
        require(found["answer"] == "whole" and bool(found["series"]), f"answer {found['answer']}")


def exercise(fleet: MixedFleet, leader: str) -> None:
    """All that a mixed fleet does, once, with the leader that it has."""
    for name in MEMBERS:
        wait_until(lambda name=name: fleet.settled(name), f"settled view at {name}")  # type: ignore[misc]
    entries = {entry["name"]: entry for entry in fleet.cluster.entries(set())}
    for version, at in ((OLD, "m6"), (NEW, "m7")):
        if fleet.revision == 0:
            fleet.propose(version, at, {"set": {f"node/{name}": one for name, one in entries.items()}})
        fleet.propose(version, at, {"remove": [f"node/{DRAINED}"]})
        fleet.propose(OTHER[version], at, {"set": {f"node/{DRAINED}": entries[DRAINED]}})
        fleet.drain(version, at)
    for name in MEMBERS:
        wait_until(lambda name=name: fleet.coverage(name) == 1.0, f"load sums of all at {name}")  # type: ignore[misc]
    fleet.query()
    compare_pages(fleet)
    click.echo(f"leader {leader} ({fleet.version_of[leader]}): revision {fleet.revision}, all as expected")


def compare_pages(fleet: MixedFleet) -> None:
    """Pages of brokers in the same role have the same keys in both versions."""
    for path in ("/fleet/view", "/fleet/status", "/fleet/config/status", "/fleet/config/show"):
        for one, other in (("m0", "m1"), ("m3", "m4"), ("m6", "m7")):
            first, second = (shape(fleet.page(name, path)) for name in (one, other))
            require(first == second, f"{path} of {one} and {other}: {first} {second}")
    names = {}
    for name in ("m6", "m7"):
        text = (
            urllib.request.urlopen(f"{fleet.metrics[name]}/metrics", timeout=REQUEST_TIMEOUT_S)
            .read()
            .decode()
        )
        names[name] = sorted(line for line in text.splitlines() if line.startswith("# TYPE"))
    require(names["m6"] == names["m7"], f"metrics: {names}")


def lead_by(fleet: MixedFleet, version: str) -> str:
    """Restart leaders until one of a version leads; its name."""
    for _ in range(MAX_ELECTIONS):
        wait_until(lambda: bool(fleet.leader()), "a leader that all voters name")
        leader = fleet.leader()
        if leader and fleet.version_of[leader] == version:
            return leader
        if leader:
            fleet.children[leader].kill()
            rest = [name for name in VOTERS if name != leader]
            wait_until(
                lambda leader=leader, rest=rest: all(  # type: ignore[misc]
                    fleet.page(name, "/fleet/status")["leader"] not in ("", leader) for name in rest
                ),
                f"another leader than {leader}",
            )
            fleet.start_members([leader])
    raise DifferenceError(f"no leader of the {version} version in {MAX_ELECTIONS} elections")


def swap_stores(fleet: MixedFleet) -> None:
    """Every voter starts again in the other version, on the store that it had."""
    before = fleet.page("m0", "/fleet/config/show"), fleet.page("m0", "/fleet/agreed")
    for name in VOTERS:
        fleet.children[name].stop()
        fleet.version_of[name] = OTHER[fleet.version_of[name]]
    fleet.start_members(VOTERS)
    wait_until(lambda: bool(fleet.leader()), "a leader after the stores changed hands")
    for name in VOTERS:
        wait_until(
            lambda name=name: (  # type: ignore[misc]
                (fleet.page(name, "/fleet/config/show"), fleet.page(name, "/fleet/agreed")) == before
            ),
            f"the same resources and history at {name} as before the stores changed hands",
        )
    click.echo("stores: each version read the log and the snapshot of the other one")


def read_files(versions: Versions, fleet: MixedFleet, folder: Path) -> None:
    """Each version reads recordings, records and configuration files; outputs are compared."""
    recordings = {version: folder / f"{version}.recording" for version in (OLD, NEW)}
    for version, path in recordings.items():
        versions.run(version, "rehearse", SCRIPT, "--record", str(path))
        versions.agree("replay", str(path))
    require(
        recordings[OLD].read_bytes() == recordings[NEW].read_bytes(), "recordings of the same script differ"
    )
    for name in MEMBERS:
        versions.agree("check", "--show", str(fleet.config_of(name)))
    versions.agree("audit", str(folder))
    click.echo("files: recording, records and configuration files read alike by both versions")


@click.command()
@click.argument("commit")
def main(commit: str) -> None:
    """Play a fleet of COMMIT's version and this tree's, and exchange their files."""
    with tempfile.TemporaryDirectory() as place:
        folder = Path(place)
        try:
            versions = Versions(commit, folder)
            fleet = MixedFleet(versions, folder)
            try:
                fleet.start()
                for version in (OLD, NEW):
                    exercise(fleet, lead_by(fleet, version))
                swap_stores(fleet)
                exercise(fleet, fleet.leader())
            finally:
                fleet.stop()
            read_files(versions, fleet, folder)
        except DifferenceError as error:
            click.echo(f"difference: {error}", err=True)
            sys.exit(1)
    click.echo("no difference")


if __name__ == "__main__":
    main()
