"""No process of a run is left: after its end, after SIGINT or SIGTERM, and after the parent was killed."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from benchmarks.capacity.scale.hosts import ROOT

LONGEST = 60.0  # seconds that a test waits for something


def start(folder: Path) -> "subprocess.Popen[str]":
    """A run of a minute in a process of its own."""
    words = ["--brokers", "12", "--duration", "60", "--processes", "2", "--mechanisms", "view"]
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity.scale", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "TMPDIR": str(folder)},
    )


def running_hosts(run: "subprocess.Popen[str]") -> list[psutil.Process]:
    """Its host processes, once hollow brokers run in them."""
    assert run.stderr is not None
    for line in run.stderr:
        if "calm" in line:
            break
    hosts = psutil.Process(run.pid).children(recursive=True)
    assert len(hosts) == 2
    return hosts


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_all_its_processes(tmp_path: Path, number: signal.Signals) -> None:
    run = start(tmp_path)
    hosts = running_hosts(run)
    run.send_signal(number)
    out, err = run.communicate(timeout=LONGEST)
    assert run.returncode == 130
    assert out == "" and "interrupted" in err
    assert not any(host.is_running() for host in hosts)
    assert list(tmp_path.iterdir()) == []


def test_hosts_end_when_their_parent_is_killed(tmp_path: Path) -> None:
    run = start(tmp_path)
    hosts = running_hosts(run)
    run.kill()
    run.communicate(timeout=LONGEST)
    _, alive = psutil.wait_procs(hosts, timeout=LONGEST)
    assert alive == []


def test_a_host_that_its_parent_forgets_ends_when_its_time_is_over(tmp_path: Path) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        words = [sys.executable, "-m", "benchmarks.capacity.scale.host", str(theirs.fileno()), "1"]
        host = subprocess.Popen(words, cwd=ROOT, pass_fds=[theirs.fileno()])
        began = time.monotonic()
        assert host.wait(LONGEST) == -signal.SIGALRM
    assert time.monotonic() - began < LONGEST


def test_a_host_that_dies_fails_the_run_by_name(tmp_path: Path) -> None:
    run = start(tmp_path)
    victim, other = running_hosts(run)
    victim.kill()
    out, _ = run.communicate(timeout=LONGEST)
    assert run.returncode == 1
    assert '"verdict":"failed"' in out and "host process" in out and "ended" in out
    assert not other.is_running()
