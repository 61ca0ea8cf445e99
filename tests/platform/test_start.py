"""Startup: the agent's list is in force, early signals are handled, the process is ready in time."""

import socket
import sys
import time
from pathlib import Path

import pytest

from quincepath.interface import Phase
from tests.standins.platform import MS, Client, PlatformHarness
from tests.test_deploy import MODULE, BrokerProcess

READY_TIMEOUT_S = 30.0  # from the start until the first "ready"
# At the first audit event with this prefix, writes a file that moves discovery, and sends SIGHUP.
EARLY_SIGHUP_SCRIPT = f"""
import json, os, runpy, signal, sys
event_prefix, address, path = sys.argv[1], sys.argv[2], os.environ["BALANCER_CONFIG"]
def hook(event, args):
    global event_prefix
    if event_prefix and f"{{event}} {{args and args[0]}}".startswith(event_prefix):
        event_prefix = ""
        with open(path) as file:
            config = json.load(file)
        with open(path, "w") as file:
            json.dump({{**config, "discovery": address}}, file)
        os.kill(os.getpid(), signal.SIGHUP)
sys.addaudithook(hook)
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""


def refused(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_no_client_is_accepted_before_the_agent_was_asked(state: str) -> None:
    """The list held before the restart is old: the agent's list is in force from the start."""
    harness = PlatformHarness()
    harness.discovery.publish(harness.entry(0, state))
    seen: list[bool] = []
    harness.discovery.on_request = lambda: seen.append(refused(harness.port))
    harness.restart(harness.known())
    assert seen[0], "a client could connect before the list arrived"
    assert harness.phase(0) is (Phase.DRAINING if state == "DRAINING" else None)
    assert [harness.ask("all", (0,)).status for _ in range(6)] == [200] * 6
    assert not harness.nodes[0].received and len(harness.nodes[2].received) == 6


@pytest.mark.parametrize("silent", [True, False], ids=["silent", "refused"])
def test_a_start_while_discovery_is_down_is_soon_ready_and_serves_from_the_cached_list(
    silent: bool,
) -> None:
    harness = PlatformHarness()
    harness.discovery.silent = silent
    began = harness.loop.at
    address = harness.config.discovery if silent else ("127.0.0.1", 1)
    harness.restart(harness.known(), discovery=address)
    client = Client(harness)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert harness.run_until(lambda: client.status == 200) and harness.loop.at - began <= 500 * MS
    assert harness.ask("all", (0,)).status == 200


def test_a_start_without_any_list_is_not_ready_until_one_arrives() -> None:
    harness = PlatformHarness()
    harness.discovery.silent = True
    harness.restart()
    client = Client(harness)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    harness.run_until(lambda: client.status > 0)
    harness.discovery.silent = False
    assert client.status == 503
    harness.run(2)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert harness.run_until(lambda: client.status == 200)


def test_a_process_is_ready_in_time(tmp_path: Path) -> None:
    began = time.monotonic()
    process = BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    try:
        process.read_until("serves on")
        assert process.get("/-/ready").startswith(b"HTTP/1.1 200")
        assert time.monotonic() - began < READY_TIMEOUT_S
    finally:
        process.end()


@pytest.mark.parametrize(
    "moment", ["import quincepath.policy", "import quincepath.platform.service", "socket.bind"]
)
def test_sighup_during_startup_does_not_end_the_process_and_takes_effect(moment: str, tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as moved:
        moved.settimeout(30)
        address = f"127.0.0.1:{moved.getsockname()[1]}"
        process = BrokerProcess(tmp_path, sys.executable, "-c", EARLY_SIGHUP_SCRIPT, moment, address)
        try:
            process.read_until("serves on")
            asked, _ = moved.accept()
            asked.close()
            assert process.get("/-/healthy").startswith(b"HTTP/1.1 200")
        finally:
            process.end()
