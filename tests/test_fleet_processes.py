"""Broker processes with injected faults under query load, and one fleet without the fault injecting relay.

Real time, but each wait is for a condition with a generous timeout. The scripts are short forms of those in
examples/fleet/: CI runs these, `quincepath rehearse --sockets` runs those.
"""

import json
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from ruamel.yaml import YAML

from quincepath.cli.main import main
from quincepath.config.load import ConfigError, parse
from quincepath.config.schema import Config
from quincepath.fleet.service import config_digest
from quincepath.lab.demo import demo_config
from quincepath.lab.fleet.run import FleetRun
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.verdict import EXCUSED_FOR, SECOND, Watcher
from quincepath.lab.process import ChildProcess
from quincepath.standins.record import Halt, Mark, read
from tests.standins.ports import free_ports
from tests.test_config import VALID_CONFIG

HALVES = [["b0", "b1", "b2"], ["b3", "b4", "b5", "b6"]]
MAX_WAIT_S = 60.0  # for a condition
SCRIPTS: dict[str, dict[str, Any]] = {
    "pause, one-sided link, back without memory": {
        "members": 7,
        "faults": [
            {"kind": "pause", "at": "2s", "last": "5s", "members": ["b2"]},
            {"kind": "cut", "at": "2s", "last": "6s", "members": ["b1"], "towards": ["b3"]},
            {"kind": "kill", "at": "3s", "last": "2500ms", "members": ["b4"], "back": True},
            {"kind": "starve", "at": "3s", "last": "6s", "members": ["b5"], "share": 0.1},
        ],
    },
    "halves past reclaim, a restart within": {
        "members": 7,
        "view": {"reclaim": "6s"},
        "faults": [
            {
                "kind": "split",
                "at": "2s",
                "last": "15s",
                "sides": [["b0", "b1", "b2"], ["b3", "b4", "b5", "b6"]],
            },
            {"kind": "kill", "at": "6s", "last": "3s", "members": ["b1"], "back": True},
        ],
    },
    "bad links, replays, a second process of one name": {
        "members": 7,
        "expect": {"deaths": "any"},
        "faults": [
            {"kind": "lose", "at": "2s", "last": "8s", "members": 1.0, "share": 0.3},
            {"kind": "reorder", "at": "2s", "last": "8s", "members": 1.0, "share": 0.2, "by": "2s"},
            {"kind": "duplicate", "at": "2s", "last": "8s", "members": 1.0, "share": 0.2},
            {"kind": "skew", "at": "4s", "last": "4s", "members": ["b6"], "by": "10m"},
            {"kind": "replay", "at": "9s", "last": "6s", "by": "3s", "share": 0.5},
            {"kind": "clone", "at": "6s", "last": "12s", "members": ["b3"]},
        ],
    },
    "seven in ten killed and back, then one leaves": {
        "members": 8,
        "expect": {"settle": "30s"},
        "faults": [
            {"kind": "kill", "at": "2s", "last": "2s", "members": 0.7, "back": True},
            {"kind": "flap", "at": "3s", "last": "6s", "members": ["b1"], "by": "2s"},
            {"kind": "leave", "at": "11s", "last": "1s", "members": ["b0"]},
        ],
    },
}


@pytest.mark.parametrize("name", SCRIPTS)
def test_views_settle_and_no_invariant_breaks_while_processes_fail(name: str, tmp_path: Path) -> None:
    script = FleetScript.model_validate({"about": name, "length": "60s", "seed": 3, **SCRIPTS[name]})
    run = FleetRun(script, None, tmp_path)
    figures = run.play()
    assert figures["findings"] == [] and not figures["void"], figures
    assert figures["answers"].get("whole", 0) > 50
    for seat in run.seats.values():
        assert seat.process is None  # no process is left behind
    lines = [line for _, line in read(tmp_path / "clients.jsonl")]
    killed = sum(entry["kind"] in ("kill", "skew", "flap") for entry in SCRIPTS[name]["faults"])
    assert sum(isinstance(line, Halt) and line.killed for line in lines) >= killed
    assert sum(isinstance(line, Mark) and line.what.startswith("up ") for line in lines) >= script.members


def test_fleet_that_stays_partitioned_is_a_finding(tmp_path: Path) -> None:
    script = FleetScript.model_validate(
        {"about": "a link that nobody mends", "members": 3, "length": "12s", "expect": {"settle": "8s"}}
    )
    run = FleetRun(script, None, tmp_path)
    for name in ("b1", "b2"):
        run.ways.way("b0", name).cut = run.ways.way(name, "b0").cut = 1
    findings = " ".join(run.play()["findings"])
    assert "b1 lacks ['b0']" in findings and "different digests" in findings


def test_death_is_false_only_for_a_running_undisturbed_member() -> None:
    watcher = Watcher()
    watcher.started("b1", 0)
    watcher.started("b2", 0)
    watcher.believed("b2", "b1", "dead", SECOND)
    assert watcher.false == [(SECOND, "b2", "b1")]
    watcher.excuse("b1", 2 * SECOND)
    watcher.believed("b2", "b1", "dead", 2 * SECOND + EXCUSED_FOR)
    watcher.killed("b1", 20 * SECOND)
    watcher.believed("b2", "b1", "suspect", 21 * SECOND)
    watcher.believed("b2", "b1", "dead", 22 * SECOND)
    assert len(watcher.false) == 1
    assert (watcher.deaths[0].doubted, watcher.deaths[0].known) == (21 * SECOND, 22 * SECOND)


# --- a fleet without a relay, seen through the operators' interfaces ---


class ThreeBrokers:
    """Three brokers with the same list of peers."""

    def __init__(self, folder: Path) -> None:
        ports = free_ports(3)
        peers = [{"name": f"b{n}", "address": f"127.0.0.1:{port}"} for n, port in enumerate(ports)]
        self.brokers = [ChildProcess(f"b{n}", folder / f"b{n}.log") for n in range(3)]
        self.metrics: list[str] = []
        shards = [["s0", "s1"], ["s2", "s3"], ["s4", "s5"]]
        holders = [
            {"name": f"h{n}", "url": f"http://127.0.0.1:{9 + n}/read", "shards": one}
            for n, one in enumerate(shards)
        ]
        for number, (child, port) in enumerate(zip(self.brokers, ports, strict=True)):
            values = demo_config(0, holders=holders)
            values["broker"] = {"number": number, "brokers": 4}
            values["fleet"] = {"name": "orchard", "member": f"b{number}", "port": port, "peers": peers}
            path = folder / f"b{number}.yaml"
            with path.open("w") as file:
                YAML(typ="safe").dump(values, file)
            child.start(["serve", "-c", str(path)])
        for child in self.brokers:
            self.metrics.append(child.startup_info()["metrics"].removesuffix("/metrics"))

    def log(self, number: int) -> list[dict[str, Any]]:
        path = self.brokers[number].log
        assert path is not None
        return [json.loads(line) for line in path.read_text().splitlines()]


@pytest.fixture
def three(tmp_path: Path) -> Iterator[ThreeBrokers]:
    fleet = ThreeBrokers(tmp_path)
    yield fleet
    for child in fleet.brokers:
        child.stop()


def ask(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["fleet", *words])
    return result.exit_code, result.output


def until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.05)


def phases(at: str) -> dict[str, str]:
    return {row["name"]: row["phase"] for row in json.loads(ask("view", "--at", at, "--json")[1])["members"]}


def test_operators_see_the_phase_of_each_member_and_why(three: ThreeBrokers) -> None:
    at = three.metrics[0]
    until(lambda: ask("view", "--at", at)[0] == 0)  # settled
    code, output = ask("view", "--at", at)
    assert code == 0 and "3 live, 4 configured; settled" in output and "never heard" not in output
    page = json.loads(ask("view", "--at", at, "--json")[1])
    assert {row["config"] for row in page["members"]} == {page["members"][0]["config"]} != {""}
    assert "b1 as b0 sees it: alive" in ask("explain", "b1", "--at", at)[1]
    three.brokers[1].signal(signal.SIGTERM)
    three.brokers[2].kill()
    until(lambda: phases(at)["b1"] == "left" and phases(at)["b2"] == "dead")
    code, output = ask("explain", "b2", "--at", at)
    assert "dead for" in output and "no answer to b0" in output and "suspect" in output
    changes = json.loads(ask("history", "--at", at, "--json")[1])
    assert [one["now"] for one in changes if one["name"] == "b2"][-2:] == ["suspect", "dead"]
    assert "b2" in ask("history", "--at", at)[1]
    assert ask("view", "--at", at)[0] == 3  # a recent change
    changed = [line for line in three.log(0) if line["event"] == "fleet: belief changed"]
    assert [line["level"] for line in changed if line["node"] == "b2"][-1] == "warning"
    for event in ("fleet: settled", "fleet: live brokers are not as many as configured"):
        until(lambda wanted=event: wanted in {line["event"] for line in three.log(0)})  # type: ignore[misc]
    code, output = ask("explain", "b9", "--at", at)
    assert code == 1 and "expected /fleet/view" in output
    with urllib.request.urlopen(f"{at}/metrics") as response:
        page_text = response.read().decode()
    assert 'quincepath_fleet_members{phase="dead"} 1.0' in page_text
    assert "quincepath_fleet_configured 4.0" in page_text


def test_unreachable_member_is_reported_with_status_one() -> None:
    code, output = ask("view", "--at", "http://127.0.0.1:1")
    assert code == 1 and "no answer" in output
    assert ask("history", "--at", "nonsense")[0] == 1


# --- no fleet section, and invalid ones ---


def test_without_a_fleet_section_no_fleet_module_is_loaded() -> None:
    script = (
        "import sys\n"
        "from quincepath.broker.service import Broker\n"
        "from quincepath.config.load import parse\n"
        "from quincepath.config.schema import Config\n"
        "from quincepath.net.loop import Loop\n"
        "from tests.test_config import VALID_CONFIG\n"
        "broker = Broker(parse(VALID_CONFIG, Config, 'f'), Loop())\n"
        "off = ('quincepath.fleet', 'quincepath.store')\n"
        "print(broker.fleet, [m for m in sys.modules if m.startswith(off)])"
    )
    run = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert run.stdout.splitlines()[-1] == "None []"


FLEET = """\
fleet:
  name: orchard
  member: b0
  peers:
    - {name: b1, address: "127.0.0.1:7001"}
    - {name: b2, address: "127.0.0.1:7002"}
"""


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("name: b2", "name: b1", "'b1' is listed twice"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "share 127.0.0.1:7001"),
        ("127.0.0.1:7002", "example.org:7002", "expected ADDRESS:PORT with an IPv4 address"),
        ("127.0.0.1:7002", "127.0.0.1:70000", "expected ADDRESS:PORT"),
        ("member: b0", "member: 'b 0'", "fleet.member is 'b 0'"),
        ("member: b0", "member: b0\n  join: [b7]", "'b7' is none of the peers"),
        ("member: b0", "member: b0\n  ack_time: 400ms", "ack_time <= half of period"),
        ("member: b0", "member: b0\n  floor: 500ms", "at least two periods"),
        ("member: b0", "member: b0\n  reclaim: 1s", "reclaim of at least ten"),
        ("member: b0", "member: b0\n  fanout: 9", "unknown key"),
    ],
)
def test_invalid_fleet_section_is_rejected_with_place_and_value(old: str, new: str, message: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(VALID_CONFIG + FLEET.replace(old, new), Config, "f.yaml")
    assert message in str(error.value) and "f.yaml:" in str(error.value)


def test_configuration_digest_ignores_the_identity_of_the_broker() -> None:
    one = parse(VALID_CONFIG + FLEET, Config, "f")
    other = parse(
        VALID_CONFIG + FLEET.replace("b0", "b9") + "broker: {number: 2, brokers: 4, zone: x}\n", Config, "f"
    )
    more = parse(VALID_CONFIG + FLEET + "broker: {number: 1, brokers: 4}\n", Config, "f")
    wider = parse(VALID_CONFIG + FLEET + "broker: {number: 1, brokers: 5}\n", Config, "f")
    assert config_digest(other) == config_digest(more)
    assert len({config_digest(config) for config in (one, more, wider)}) == 3
