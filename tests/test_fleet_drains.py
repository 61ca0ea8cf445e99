"""Drains agreed across real broker processes: within limits, told when done, in force whoever leads."""

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
from quincepath.lab.process import Child
from quincepath.standins.record import Got, read
from tests.test_config import VALID_CONFIG
from tests.test_fleet_processes import FLEET, ask, free_ports, phases, until

MS = 1_000_000
SECOND = 1000 * MS
AFTER = 1500 * MS  # a commit is known everywhere within 500 ms; then the grace of 500 ms, and transit


class Agreeing:
    """Brokers that keep the log, holders with records, and a load on the first broker."""

    def __init__(self, folder: Path, brokers: int, keepers: int) -> None:
        self.folder = folder
        self.cluster = make_cluster(1, ["--work-ms", "3", "--tractors", "1"], folder)
        self.cluster.start()
        holders = self.cluster.entries(set())
        ports = free_ports(brokers)
        names = [f"m{n}" for n in range(brokers)]
        peers = [{"name": n, "address": f"127.0.0.1:{p}"} for n, p in zip(names, ports, strict=True)]
        self.children = {name: Child(name, folder / f"{name}.log") for name in names}
        self.metrics: dict[str, str] = {}
        self.urls: dict[str, str] = {}
        for number, name in enumerate(names):
            values = demo_config(0, holders=holders)
            values["broker"] = {"number": number, "brokers": brokers, "zone": "upper"}
            fleet: dict[str, Any] = {"name": "orchard", "member": name, "port": ports[number], "peers": peers}
            fleet["keepers"] = names[:keepers]
            if number < keepers:
                fleet["store"] = f"store-{name}"
            fleet["limits"] = {"holders": {"total": {"number": 2}, "zone": {"number": 2}}}
            values["fleet"] = fleet
            with (folder / f"{name}.yaml").open("w") as file:
                YAML(typ="safe").dump(values, file)
            self.start(name)
        try:
            for name in names:
                self.up(name)
        except BaseException:
            self.stop()  # no child is left where one does not come up
            raise

    def start(self, name: str) -> None:
        self.children[name].start(["serve", "-c", str(self.folder / f"{name}.yaml")])

    def up(self, name: str) -> None:
        said = self.children[name].said()
        self.metrics[name] = said["metrics"].removesuffix("/metrics")
        self.urls[name] = said["remote_read"]

    def load(self, name: str, seconds: int) -> Child:
        child = Child("load", self.folder / "load.log")
        child.start(
            ["load", self.urls[name], "--query", "__name__=fuel_use_liters;district=~.+", "--rate", "40",
             "--seconds", str(seconds), "--start", "0"]
        )  # fmt: skip
        return child

    def got(self, holder: str) -> list[int]:
        """When parts came in at a holder."""
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
def agreeing(tmp_path: Path) -> Iterator[Agreeing]:
    world = Agreeing(tmp_path, 4, 3)
    yield world
    world.stop()


def settled_ask(*words: str) -> tuple[int, str]:
    """Ask until the leader's view is settled: a broker that ran late for a moment is no finding."""
    found: list[tuple[int, str]] = []

    def answered() -> bool:
        found.append(ask(*words))
        return "not settled" not in found[-1][1]

    until(answered)
    return found[-1]


def test_a_drain_is_agreed_kept_by_all_and_ended_whoever_leads(agreeing: Agreeing) -> None:
    world = agreeing
    at = world.metrics["m3"]  # no keeper: it passes commands on
    until(lambda: ask("view", "--at", at)[0] == 0 and bool(world.status("m0")["leader"]))
    loads = [world.load(name, 40) for name in ("m0", "m3")]
    until(lambda: len(world.got("a0")) > 20)
    code, said = settled_ask("drain", "a0", "--at", at, "--by", "ann", "--key", "first")
    assert (code, said) == (0, "drain a0: agreed\n")
    agreed = time.monotonic_ns()
    assert (
        ask("drain", "a0", "--at", at, "--by", "ann", "--key", "first")[0] == 0
    )  # a repeat does nothing twice
    code, said = settled_ask("drain", "a1", "--at", world.metrics["m1"])
    assert (
        code == 1 and "holders of replica set 'a': at most 1 out, would be 2; out now: a0 (permitted)" in said
    )
    until(lambda: ask("status", "--at", world.metrics["m0"])[0] == 0)
    assert "a0: drained" in ask("status", "--at", world.metrics["m0"])[1]
    # Enough goes by for somebody who has not heard to be seen, however long it takes.
    until(lambda: sum(one > agreed + AFTER for one in world.got("a1")) > 60)
    assert [one for one in world.got("a0") if one > agreed + AFTER] == []

    leader = world.status("m0")["leader"]
    world.children[leader].kill()
    killed = time.monotonic_ns()
    other = next(name for name in ("m0", "m1", "m2") if name != leader)
    until(lambda: world.status(other)["leader"] not in ("", leader))
    assert [one["name"] for one in world.status(other)["drains"]] == ["a0"]  # in force, whoever leads
    until(lambda: phases(world.metrics[other]).get(leader) == "dead")
    another = next(name for name in ("m0", "m1", "m2") if name not in (leader, other))
    code, said = settled_ask("drain", another, "--at", world.metrics[other])
    assert code == 1 and "at most 1 out, would be 2" in said and leader in said, said  # it is out already
    code, said = ask("undrain", "a0", "--at", at)
    assert (code, said) == (0, "undrain a0: agreed\n")
    until(lambda: any(one > killed for one in world.got("a0")))
    first = next(one for one in world.got("a0") if one > killed)
    assert [one for one in world.got("a0") if agreed + AFTER < one < first] == []

    world.start(leader)
    world.up(leader)
    until(lambda: world.status(leader)["applied"] == world.status(other)["applied"])
    assert world.status(leader)["permits"] == [] and world.status(leader)["store"] == "sound"
    for load in loads:
        load.stop()


def test_without_a_majority_nothing_is_agreed_and_it_is_said_in_time(agreeing: Agreeing) -> None:
    world = agreeing
    until(lambda: ask("view", "--at", world.metrics["m0"])[0] == 0 and bool(world.status("m0")["leader"]))
    leader = world.status("m0")["leader"]
    for name in ("m0", "m1", "m2"):
        if name != leader:
            world.children[name].signal(signal.SIGSTOP)
    code, said = ask("drain", "a0", "--at", world.metrics[leader])
    assert code == 1 and ("not known to be done" in said or "not settled" in said)
    for name in ("m0", "m1", "m2"):
        world.children[name].signal(signal.SIGCONT)


# --- how far a drain is ---


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
    progress.apply_report("m2", SECOND, 3, {})  # an older one, by another connection
    assert progress.reports["m2"][1] == 6


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ("  keepers: [b0, b1]\n  store: s\n", "expected 3, 5 or 7 different ones"),
        ("  keepers: [b0, b1, b7]\n  store: s\n", "'b7' is neither this member nor one of the peers"),
        ("  keepers: [b0, b1, b2]\n", "expected store with a member that is one of the keepers"),
        ("  store: s\n", "and with no other"),
        ("  limits: {holders: {total: {number: -1}}}\n", "fleet.limits.holders.total.number is -1"),
    ],
)
def test_wrong_keepers_and_limits_are_refused_by_place(more: str, said: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(VALID_CONFIG + FLEET + more, Config, "f.yaml")
    assert said in str(error.value)


def test_a_name_of_a_broker_and_of_a_holder_is_refused_at_the_start() -> None:
    """Seen: brokers and holders b0 and b1; a drain of one broker was granted while another one was dead."""
    values = demo_config(
        0, holders=[{"name": "b1", "url": "http://127.0.0.1:9/read", "shards": ["s0", "s1"]}]
    )
    values["shards"]["map"] = values["shards"]["map"][:2]
    peers = [{"name": f"b{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(3)]
    section = {"name": "orchard", "member": "b0", "peers": peers, "keepers": ["b0", "b1", "b2"], "store": "s"}
    Config.model_validate({**values, "fleet": {**section, "keepers": [], "store": None}})
    with pytest.raises(ValueError, match="'b1' names a broker and a holder"):
        Config.model_validate({**values, "fleet": section})
