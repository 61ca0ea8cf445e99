"""Drains agreed between real broker processes: within limits, reported when done, whoever leads."""

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from ruamel.yaml import YAML

from quincepath.config.load import ConfigError, parse
from quincepath.config.schema import Config
from quincepath.fleet.drains import REPORT_LIFETIME_NS, DrainProgress
from quincepath.fleet.permits import Permit
from quincepath.lab.demo import demo_config, make_cluster
from quincepath.lab.process import ChildProcess
from quincepath.standins.record import Got, read
from tests.standins.ports import free_ports
from tests.test_config import VALID_CONFIG
from tests.test_fleet_processes import FLEET, ask, phases, until

MS = 1_000_000
SECOND = 1000 * MS
SETTLE_NS = (
    1500 * MS
)  # a commit is known everywhere within 500 ms; then the drain grace of 500 ms, and transit


class BrokerCluster:
    """Brokers with a replicated log, nodes with records, and load generators."""

    def __init__(self, folder: Path, brokers: int, voters: int) -> None:
        self.folder = folder
        self.cluster = make_cluster(1, ["--work-ms", "3", "--tractors", "1"], folder)
        self.cluster.start()
        holders = self.cluster.entries(set())
        ports = free_ports(brokers)
        names = [f"m{n}" for n in range(brokers)]
        peers = [{"name": n, "address": f"127.0.0.1:{p}"} for n, p in zip(names, ports, strict=True)]
        self.children = {name: ChildProcess(name, folder / f"{name}.log") for name in names}
        self.metrics: dict[str, str] = {}
        self.urls: dict[str, str] = {}
        for number, name in enumerate(names):
            values = demo_config(0, holders=holders)
            values["broker"] = {"number": number, "brokers": brokers, "zone": "upper"}
            fleet: dict[str, Any] = {"name": "orchard", "member": name, "port": ports[number], "peers": peers}
            fleet["keepers"] = names[:voters]
            if number < voters:
                fleet["store"] = f"store-{name}"
            fleet["limits"] = {"holders": {"total": {"number": 2}, "zone": {"number": 2}}}
            values["fleet"] = fleet
            with (folder / f"{name}.yaml").open("w") as file:
                YAML(typ="safe").dump(values, file)
            self.start(name)
        try:
            for name in names:
                self.wait_started(name)
        except BaseException:
            self.stop()  # no child process is left where one does not start
            raise

    def start(self, name: str) -> None:
        self.children[name].start(["serve", "-c", str(self.folder / f"{name}.yaml")])

    def wait_started(self, name: str) -> None:
        text = self.children[name].startup_info()
        self.metrics[name] = text["metrics"].removesuffix("/metrics")
        self.urls[name] = text["remote_read"]

    def load(self, name: str, seconds: int) -> ChildProcess:
        child = ChildProcess("load", self.folder / "load.log")
        child.start(
            ["load", self.urls[name], "--query", "__name__=fuel_use_liters;district=~.+", "--rate", "40",
             "--seconds", str(seconds), "--start", "0"]
        )  # fmt: skip
        return child

    def arrivals(self, holder: str) -> list[int]:
        """Arrival times of parts at a node."""
        path = self.folder / f"holder-{holder}.jsonl"
        return [line.at for _, line in read(path) if isinstance(line, Got)]

    def status(self, name: str) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(ask("status", "--at", self.metrics[name], "--json")[1])
        return found

    def stop(self) -> None:
        for child in self.children.values():
            child.stop()
        self.cluster.stop()


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[BrokerCluster]:
    world = BrokerCluster(tmp_path, 4, 3)
    yield world
    world.stop()


def ask_until_settled(*words: str) -> tuple[int, str]:
    """Repeat until the leader's view is settled: a broker that was late for a moment is no failure."""
    found: list[tuple[int, str]] = []

    def answered() -> bool:
        found.append(ask(*words))
        return "not settled" not in found[-1][1]

    until(answered)
    return found[-1]


def test_a_drain_is_agreed_and_survives_a_change_of_leader(cluster: BrokerCluster) -> None:
    world = cluster
    at = world.metrics["m3"]  # no voter: it forwards commands
    until(lambda: ask("view", "--at", at)[0] == 0 and bool(world.status("m0")["leader"]))
    loads = [world.load(name, 40) for name in ("m0", "m3")]
    until(lambda: len(world.arrivals("a0")) > 20)
    code, text = ask_until_settled("drain", "a0", "--at", at, "--by", "ann", "--key", "first")
    assert (code, text) == (0, "drain a0: agreed\n")
    agreed = time.monotonic_ns()
    assert (
        ask("drain", "a0", "--at", at, "--by", "ann", "--key", "first")[0] == 0
    )  # a repeat does nothing twice
    code, text = ask_until_settled("drain", "a1", "--at", world.metrics["m1"])
    assert (
        code == 1 and "holders of replica set 'a': at most 1 out, would be 2; out now: a0 (permitted)" in text
    )
    until(lambda: ask("status", "--at", world.metrics["m0"])[0] == 0)
    assert "a0: drained" in ask("status", "--at", world.metrics["m0"])[1]
    # Enough parts that a broker which missed the drain would be seen, however long it takes.
    until(lambda: sum(one > agreed + SETTLE_NS for one in world.arrivals("a1")) > 60)
    assert [one for one in world.arrivals("a0") if one > agreed + SETTLE_NS] == []

    leader = world.status("m0")["leader"]
    world.children[leader].kill()
    killed = time.monotonic_ns()
    other = next(name for name in ("m0", "m1", "m2") if name != leader)
    until(lambda: world.status(other)["leader"] not in ("", leader))
    assert [one["name"] for one in world.status(other)["drains"]] == ["a0"]  # in force, whoever leads
    until(lambda: phases(world.metrics[other]).get(leader) == "dead")
    another = next(name for name in ("m0", "m1", "m2") if name not in (leader, other))
    code, text = ask_until_settled("drain", another, "--at", world.metrics[other])
    assert code == 1 and "at most 1 out, would be 2" in text and leader in text, text  # it is out already
    code, text = ask("undrain", "a0", "--at", at)
    assert (code, text) == (0, "undrain a0: agreed\n")
    until(lambda: any(one > killed for one in world.arrivals("a0")))
    first = next(one for one in world.arrivals("a0") if one > killed)
    assert [one for one in world.arrivals("a0") if agreed + SETTLE_NS < one < first] == []

    world.start(leader)
    world.wait_started(leader)
    until(lambda: world.status(leader)["applied"] == world.status(other)["applied"])
    assert world.status(leader)["permits"] == [] and world.status(leader)["store"] == "sound"
    for load in loads:
        load.stop()


def test_without_a_majority_a_drain_fails_in_time(cluster: BrokerCluster) -> None:
    world = cluster
    until(lambda: ask("view", "--at", world.metrics["m0"])[0] == 0 and bool(world.status("m0")["leader"]))
    leader = world.status("m0")["leader"]
    for name in ("m0", "m1", "m2"):
        if name != leader:
            world.children[name].signal(signal.SIGSTOP)
    code, text = ask("drain", "a0", "--at", world.metrics[leader])
    assert code == 1 and ("not known to be done" in text or "not settled" in text)
    for name in ("m0", "m1", "m2"):
        world.children[name].signal(signal.SIGCONT)


# --- progress of a drain ---


def test_a_drain_waits_for_every_broker_that_may_still_send() -> None:
    progress, permit = DrainProgress(), Permit("a0", "drain", "ann", 0, 0, index=5)
    brokers = ["m0", "m1", "m2", "m3", "m4"]
    progress.apply_report("m0", SECOND, 5, {})
    progress.apply_report("m1", SECOND, 4, {})
    progress.apply_report("m2", SECOND, 6, {"a0": 2})
    waits = progress.waits_for(permit, brokers, {"m4"}, 2 * SECOND)
    assert waits == {"m1": "has not applied it", "m2": "has 2 out there", "m3": "has not reported"}
    assert progress.waits_for(permit, ["m0"], set(), SECOND + REPORT_LIFETIME_NS + 1) == {
        "m0": "reports no more, and may still send"
    }
    progress.apply_report("m2", SECOND, 3, {})  # an older one, from another connection
    assert progress.reports["m2"][1] == 6


@pytest.mark.parametrize(
    ("more", "text"),
    [
        ("  keepers: [b0, b1]\n  store: s\n", "expected 3, 5 or 7 different ones"),
        ("  keepers: [b0, b1, b7]\n  store: s\n", "'b7' is neither this member nor one of the peers"),
        ("  keepers: [b0, b1, b2]\n", "expected store with a member that is one of the keepers"),
        ("  store: s\n", "and with no other"),
        ("  limits: {holders: {total: {number: -1}}}\n", "fleet.limits.holders.total.number is -1"),
    ],
)
def test_invalid_voters_and_limits_are_refused_with_their_path(more: str, text: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(VALID_CONFIG + FLEET + more, Config, "f.yaml")
    assert text in str(error.value)


def test_a_name_shared_by_a_broker_and_a_node_is_refused_at_start() -> None:
    """Guards against a drain of a broker that was granted while another one was dead.

    That happened where brokers and nodes had the same names, b0 and b1.
    """
    values = demo_config(
        0, holders=[{"name": "b1", "url": "http://127.0.0.1:9/read", "shards": ["s0", "s1"]}]
    )
    values["shards"]["map"] = values["shards"]["map"][:2]
    peers = [{"name": f"b{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(3)]
    section = {"name": "orchard", "member": "b0", "peers": peers, "keepers": ["b0", "b1", "b2"], "store": "s"}
    Config.model_validate({**values, "fleet": {**section, "keepers": [], "store": None}})
    with pytest.raises(ValueError, match="'b1' names a broker and a holder"):
        Config.model_validate({**values, "fleet": section})
