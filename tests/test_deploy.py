"""The ``run`` command of the deploy file as the platform starts it: a real process and its signals."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.standins.platform import platform_settings
from tests.standins.ports import free_port

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MODULE = "quincepath.platform"
# Reports each operation that the platform rejects, by audit events; reading files is allowed.
AUDIT_SCRIPT = f"""
import os, runpy, socket, sys
def hook(event, args):
    violation = None
    if event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system"):
        violation = event
    elif event == "socket.__new__" and (args[1], args[2] & 0xf) not in {{(2, 1), (2, 2)}}:
        violation = f"socket family {{args[1]}}"
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR):
        violation = f"writes {{args[0]}}"
    if violation:
        os.write(2, f"REFUSED {{violation}}\\n".encode())
sys.addaudithook(hook)
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""
MAX_LIFETIME_S = 60.0  # of a process in a test
FAMILY_UNIX = (
    "REFUSED socket family 1"  # the socket pair by which signals wake the loop; it accepts no connections
)


class BrokerProcess:
    """One process as ``run`` starts it, with its configuration file in a folder of its own."""

    def __init__(self, folder: Path, *command: str) -> None:
        self.port = free_port()
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.file = folder / "config.json"
        self.write(f"127.0.0.1:{self.discovery.getsockname()[1]}")
        self.popen = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(self.file), "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=subprocess.PIPE,  # a test's wrapper script may wait for input
            stderr=subprocess.PIPE,
            text=True,
        )
        self.watchdog = threading.Timer(
            MAX_LIFETIME_S, self.popen.kill
        )  # reading a line ends with the process
        self.watchdog.start()

    def write(self, discovery: str) -> None:
        """Write a whole configuration with this address of discovery."""
        node = {"id": "s-1", "addr": "127.0.0.1:9", "zone": "c", "kind": "m2", "cell": 0, "state": "SERVING"}
        document: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": "8c1f30d27a5be964", "known": {"version": 1, "full": True, "servers": [node]},
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": platform_settings(),
        }  # fmt: skip
        self.file.write_text(json.dumps(document))

    def read_until(self, text: str) -> list[str]:
        """The log up to a line with this text; ends with the process, at the latest by the watchdog."""
        assert self.popen.stderr is not None
        lines = []
        for line in self.popen.stderr:
            lines.append(line)
            if text in line:
                return lines
        raise AssertionError(f"no {text!r} in {lines}")

    def get(self, path: str) -> bytes:
        with socket.create_connection(("127.0.0.1", self.port), 10) as client:
            client.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            return b"".join(iter(lambda: client.recv(4096), b""))

    def end(self) -> None:
        self.watchdog.cancel()
        self.popen.kill()
        self.popen.wait()
        self.discovery.close()
        assert self.popen.stderr is not None and self.popen.stdin is not None
        self.popen.stderr.close()
        self.popen.stdin.close()


def test_run_is_one_process_by_exec_and_build_replaces_a_leftover_environment() -> None:
    command = DEPLOY["run"].split()
    assert command[0] == "exec" and command[-2:] == ["-m", MODULE] and not set(DEPLOY["run"]) & set("|&;<>")
    assert "venv --clear" in DEPLOY["build"] and "bin/pip" not in DEPLOY["build"]


def test_the_process_starts_no_other_opens_only_inet_sockets_and_writes_no_file(tmp_path: Path) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-c", AUDIT_SCRIPT)
    try:
        seen = process.read_until("serves on")
        assert b"200" in process.get("/-/ready").partition(b"\r\n")[0]
        process.popen.send_signal(signal.SIGTERM)
        seen += process.read_until("all is answered")
        assert process.popen.wait(20) == 0
        assert process.popen.stderr is not None
        seen += list(process.popen.stderr)
        refused = {line.strip() for line in seen if line.startswith("REFUSED")}
        assert refused <= {FAMILY_UNIX}
    finally:
        process.end()


@pytest.mark.parametrize("bad", ["{", '{"discovery": 7}', ""])
def test_an_invalid_file_at_sighup_is_reported_and_the_next_valid_one_takes_effect(
    tmp_path: Path, bad: str
) -> None:
    process = BrokerProcess(tmp_path, sys.executable, "-m", MODULE)
    try:
        process.read_until("serves on")
        process.file.write_text(bad)
        process.popen.send_signal(signal.SIGHUP)
        process.read_until("stays in force")
        with socket.create_server(("127.0.0.1", 0)) as moved:
            process.write(f"127.0.0.1:{moved.getsockname()[1]}")
            process.popen.send_signal(signal.SIGHUP)
            process.read_until("discovery is now at")
            moved.settimeout(20)
            asked, _ = moved.accept()
            asked.close()
        assert b"200" in process.get("/-/healthy").partition(b"\r\n")[0]
    finally:
        process.end()
