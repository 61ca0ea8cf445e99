"""Runs in virtual time are reproducible: records are equal byte for byte, whatever the load of the machine.

Each run has its own process with another hash seed of Python, first alone, then several at once.
"""

import os
import selectors
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from quincepath.lab.fleet.run import InsideRun
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.memory_network import MemoryNetwork
from quincepath.lab.memory_network.selector import MemorySelector
from quincepath.lab.virtual_loop import VirtualLoop
from tests.exact.runs import ROOT, RUNS, all_faults_of_load
from tests.fleet.test_inside import DAY

PARALLEL_RUNS = dict.fromkeys(RUNS, 2) | {"all_faults_of_load": 8}
RUN_TIMEOUT_S = 180.0


def start(run: str, folder: Path, hash_seed: int) -> subprocess.Popen[bytes]:
    folder.mkdir()
    return subprocess.Popen(
        [sys.executable, "-m", "tests.exact.runs", run, str(folder)],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        stdout=subprocess.DEVNULL,
    )


def records(run: str, folder: Path, first: int, count: int) -> list[bytes]:
    """Records of ``count`` parallel runs; their hash seeds start at ``first``."""
    folders = [folder / f"run {first + n}" for n in range(count)]
    processes = [start(run, one, first + n) for n, one in enumerate(folders)]
    try:
        assert [process.wait(RUN_TIMEOUT_S) for process in processes] == [0] * count
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
    return [(one / "record").read_bytes() for one in folders]


@pytest.mark.parametrize("run", RUNS)
def test_records_are_equal_byte_for_byte_alone_and_in_parallel(run: str, tmp_path: Path) -> None:
    [alone] = records(run, tmp_path, 0, 1)
    assert len(alone) > 2000
    for number, record in enumerate(records(run, tmp_path, 1, PARALLEL_RUNS[run])):
        assert record == alone, (
            f"run {number + 1}: first difference at byte {first_difference(record, alone)}"
        )


def first_difference(one: bytes, other: bytes) -> int:
    pairs = zip(one, other, strict=False)
    return next((place for place, (a, b) in enumerate(pairs) if a != b), min(len(one), len(other)))


def test_a_run_repeats_within_one_process_and_differs_with_another_seed(tmp_path: Path) -> None:
    found = []
    for name, seed in (("a", 1), ("b", 1), ("c", 2)):
        (tmp_path / name).mkdir()
        InsideRun(FleetScript.model_validate(DAY), seed, tmp_path / name).play()
        found.append((tmp_path / name / "clients.jsonl").read_bytes())
    assert found[0] == found[1] != found[2]


def test_injected_system_entropy_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryNetwork, "entropy", lambda self, count: os.urandom(count))
    assert len({all_faults_of_load(make_folder(tmp_path / str(n))) for n in range(3)}) > 1


def test_an_injected_change_of_the_readiness_order_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain, select = all_faults_of_load(make_folder(tmp_path / "plain")), MemorySelector.select
    monkeypatch.setattr(MemorySelector, "select", lambda *values: select(*values)[::-1])
    assert all_faults_of_load(make_folder(tmp_path / "turned")) != plain


def make_folder(folder: Path) -> Path:
    folder.mkdir()
    return folder


def test_a_run_inside_one_process_opens_no_system_socket_or_selector(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def opened(*values: object, **more: object) -> None:
        raise AssertionError("the operating system was called")

    monkeypatch.setattr(socket, "socket", opened)
    monkeypatch.setattr(selectors, "DefaultSelector", opened)
    monkeypatch.setattr(os, "urandom", opened)
    all_faults_of_load(tmp_path)
    with pytest.raises(AssertionError, match="was called"):
        VirtualLoop()
