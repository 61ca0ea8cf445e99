"""The first moments of a new process: what the agent has counts, early signals, ready in time."""

import socket
import sys
import time
from pathlib import Path

import pytest

from quincepath.interface import Phase
from tests.standins.platform import MS, Client, World
from tests.test_deploy import MODULE, Program

READY = 30.0  # seconds from the start until the first "ready", at most
# A new file moves discovery, and the signal says so, at the first audit event that begins with these words.
EARLY = f"""
import json, os, runpy, signal, sys
words, address, path = sys.argv[1], sys.argv[2], os.environ["BALANCER_CONFIG"]
def hook(event, args):
    global words
    if words and f"{{event}} {{args and args[0]}}".startswith(words):
        words = ""
        with open(path) as file:
            told = json.load(file)
        with open(path, "w") as file:
            json.dump({{**told, "discovery": address}}, file)
        os.kill(os.getpid(), signal.SIGHUP)
sys.addaudithook(hook)
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""


def refused(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_no_client_is_let_in_before_the_agent_was_asked(state: str) -> None:
    """The list held before the restart is old: what the agent has counts from the first moment."""
    world = World()
    world.discovery.tell(world.entry(0, state))
    seen: list[bool] = []
    world.discovery.on_ask = lambda: seen.append(refused(world.port))
    world.restart(world.known())
    assert seen[0], "a client could come before the list did"
    assert world.phase(0) is (Phase.DRAINING if state == "DRAINING" else None)
    assert [world.ask("all", (0,)).status for _ in range(6)] == [200] * 6
    assert not world.nodes[0].seen and len(world.nodes[2].seen) == 6


@pytest.mark.parametrize("silent", [True, False], ids=["silent", "refused"])
def test_a_start_while_discovery_is_down_is_ready_soon_and_serves_from_the_list_held_before(
    silent: bool,
) -> None:
    world = World()
    world.discovery.silent = silent
    began = world.loop.at
    address = world.config.discovery if silent else ("127.0.0.1", 1)
    world.restart(world.known(), discovery=address)
    client = Client(world)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert world.until(lambda: client.status == 200) and world.loop.at - began <= 500 * MS
    assert world.ask("all", (0,)).status == 200


def test_a_start_with_no_list_at_all_is_not_ready_until_one_has_come() -> None:
    world = World()
    world.discovery.silent = True
    world.restart()
    client = Client(world)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    world.until(lambda: client.status > 0)
    world.discovery.silent = False
    assert client.status == 503
    world.run(2)
    client.stream.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert world.until(lambda: client.status == 200)


def test_a_process_is_ready_in_time(tmp_path: Path) -> None:
    began = time.monotonic()
    program = Program(tmp_path, sys.executable, "-m", MODULE)
    try:
        program.until("serves on")
        assert program.get("/-/ready").startswith(b"HTTP/1.1 200")
        assert time.monotonic() - began < READY
    finally:
        program.end()


@pytest.mark.parametrize(
    "moment", ["import quincepath.policy", "import quincepath.platform.service", "socket.bind"]
)
def test_sighup_while_the_process_starts_does_not_end_it_and_counts(moment: str, tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as moved:
        moved.settimeout(30)
        address = f"127.0.0.1:{moved.getsockname()[1]}"
        program = Program(tmp_path, sys.executable, "-c", EARLY, moment, address)
        try:
            program.until("serves on")
            asked, _ = moved.accept()
            asked.close()
            assert program.get("/-/healthy").startswith(b"HTTP/1.1 200")
        finally:
            program.end()
