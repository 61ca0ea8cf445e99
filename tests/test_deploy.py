"""The deploy file's ``run`` as the platform starts it: one real process, its signals, and what it touches."""

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

from tests.standins.platform import free_port, site

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MODULE = "quincepath.platform"
# Tells of each thing that the platform refuses, as the interpreter does it; reading is no matter.
WATCHED = f"""
import os, runpy, socket, sys
def hook(event, args):
    told = None
    if event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system"):
        told = event
    elif event == "socket.__new__" and (args[1], args[2] & 0xf) not in {{(2, 1), (2, 2)}}:
        told = f"socket family {{args[1]}}"
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR):
        told = f"writes {{args[0]}}"
    if told:
        os.write(2, f"REFUSED {{told}}\\n".encode())
sys.addaudithook(hook)
runpy.run_module("{MODULE}", run_name="__main__", alter_sys=True)
"""
LONGEST = 60.0  # seconds that a process of a test may live
FAMILY_UNIX = "REFUSED socket family 1"  # the pair by which signals wake the loop; nobody comes to it


class Program:
    """One process as ``run`` starts it, with its file in a folder of its own."""

    def __init__(self, folder: Path, *command: str) -> None:
        self.port = free_port()
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.file = folder / "config.json"
        self.write(f"127.0.0.1:{self.discovery.getsockname()[1]}")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(self.file), "PYTHONDONTWRITEBYTECODE": "1"},
            stdin=subprocess.PIPE,  # a wrapper of a test may wait for a word
            stderr=subprocess.PIPE,
            text=True,
        )
        self.watchdog = threading.Timer(LONGEST, self.process.kill)  # a wait for a line ends with the process
        self.watchdog.start()

    def write(self, discovery: str) -> None:
        """A whole configuration naming a discovery."""
        node = {"id": "s-1", "addr": "127.0.0.1:9", "zone": "c", "kind": "m2", "cell": 0, "state": "SERVING"}
        told: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": "8c1f30d27a5be964", "known": {"version": 1, "full": True, "servers": [node]},
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": site(),
        }  # fmt: skip
        self.file.write_text(json.dumps(told))

    def until(self, words: str) -> list[str]:
        """The log up to a line with these words; ends with the process, at the latest by the watchdog."""
        assert self.process.stderr is not None
        lines = []
        for line in self.process.stderr:
            lines.append(line)
            if words in line:
                return lines
        raise AssertionError(f"no {words!r} in {lines}")

    def get(self, path: str) -> bytes:
        with socket.create_connection(("127.0.0.1", self.port), 10) as client:
            client.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            return b"".join(iter(lambda: client.recv(4096), b""))

    def end(self) -> None:
        self.watchdog.cancel()
        self.process.kill()
        self.process.wait()
        self.discovery.close()
        assert self.process.stderr is not None and self.process.stdin is not None
        self.process.stderr.close()
        self.process.stdin.close()


def test_run_is_one_process_by_exec_and_build_mends_an_environment_left_behind() -> None:
    words = DEPLOY["run"].split()
    assert words[0] == "exec" and words[-2:] == ["-m", MODULE] and not set(DEPLOY["run"]) & set("|&;<>")
    assert "venv --clear" in DEPLOY["build"] and "bin/pip" not in DEPLOY["build"]


def test_the_program_starts_no_other_opens_only_inet_sockets_and_writes_no_file(tmp_path: Path) -> None:
    program = Program(tmp_path, sys.executable, "-c", WATCHED)
    try:
        seen = program.until("serves on")
        assert b"200" in program.get("/-/ready").partition(b"\r\n")[0]
        program.process.send_signal(signal.SIGTERM)
        seen += program.until("all is answered")
        assert program.process.wait(20) == 0
        assert program.process.stderr is not None
        seen += list(program.process.stderr)
        refused = {line.strip() for line in seen if line.startswith("REFUSED")}
        assert refused <= {FAMILY_UNIX}
    finally:
        program.end()


@pytest.mark.parametrize("bad", ["{", '{"discovery": 7}', ""])
def test_a_broken_file_at_sighup_is_told_and_the_next_good_one_counts(tmp_path: Path, bad: str) -> None:
    program = Program(tmp_path, sys.executable, "-m", MODULE)
    try:
        program.until("serves on")
        program.file.write_text(bad)
        program.process.send_signal(signal.SIGHUP)
        program.until("stays in force")
        with socket.create_server(("127.0.0.1", 0)) as moved:
            program.write(f"127.0.0.1:{moved.getsockname()[1]}")
            program.process.send_signal(signal.SIGHUP)
            program.until("discovery is now at")
            moved.settimeout(20)
            asked, _ = moved.accept()
            asked.close()
        assert b"200" in program.get("/-/healthy").partition(b"\r\n")[0]
    finally:
        program.end()
