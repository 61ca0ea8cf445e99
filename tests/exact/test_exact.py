"""Virtual time is exact: a play gives the same record byte for byte, whatever else the machine does.

Each play is a process of its own, with another seed of Python's hashes, alone and then several at once.
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
from tests.exact.plays import ROOT, WORLDS, all_faults_of_load
from tests.fleet.test_inside import DAY

AT_ONCE = dict.fromkeys(WORLDS, 2) | {"all_faults_of_load": 8}
LONGEST = 180.0  # seconds until a play is given up


def start(world: str, folder: Path, hash_seed: int) -> subprocess.Popen[bytes]:
    folder.mkdir()
    return subprocess.Popen(
        [sys.executable, "-m", "tests.exact.plays", world, str(folder)],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        stdout=subprocess.DEVNULL,
    )


def records(world: str, folder: Path, first: int, count: int) -> list[bytes]:
    """What so many plays at once wrote; their hash seeds begin at ``first``."""
    folders = [folder / f"play {first + n}" for n in range(count)]
    plays = [start(world, one, first + n) for n, one in enumerate(folders)]
    try:
        assert [play.wait(LONGEST) for play in plays] == [0] * count
    finally:
        for play in plays:
            if play.poll() is None:
                play.kill()
                play.wait()
    return [(one / "record").read_bytes() for one in folders]


@pytest.mark.parametrize("world", WORLDS)
def test_a_play_is_the_same_byte_for_byte_alone_and_several_at_once(world: str, tmp_path: Path) -> None:
    [alone] = records(world, tmp_path, 0, 1)
    assert len(alone) > 2000
    for number, record in enumerate(records(world, tmp_path, 1, AT_ONCE[world])):
        assert record == alone, f"play {number + 1}: first difference at byte {differs_at(record, alone)}"


def differs_at(one: bytes, other: bytes) -> int:
    pairs = zip(one, other, strict=False)
    return next((place for place, (a, b) in enumerate(pairs) if a != b), min(len(one), len(other)))


def test_a_play_is_the_same_twice_in_one_process_and_another_with_another_seed(tmp_path: Path) -> None:
    found = []
    for name, seed in (("a", 1), ("b", 1), ("c", 2)):
        (tmp_path / name).mkdir()
        InsideRun(FleetScript.model_validate(DAY), seed, tmp_path / name).play()
        found.append((tmp_path / name / "clients.jsonl").read_bytes())
    assert found[0] == found[1] != found[2]


def test_planted_entropy_of_the_machine_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryNetwork, "entropy", lambda self, count: os.urandom(count))
    assert len({all_faults_of_load(made(tmp_path / str(n))) for n in range(3)}) > 1


def test_a_planted_order_of_readiness_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    plain, select = all_faults_of_load(made(tmp_path / "plain")), MemorySelector.select
    monkeypatch.setattr(MemorySelector, "select", lambda *values: select(*values)[::-1])
    assert all_faults_of_load(made(tmp_path / "turned")) != plain


def made(folder: Path) -> Path:
    folder.mkdir()
    return folder


def test_the_run_inside_one_process_opens_no_socket_and_no_selector_of_the_system(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def opened(*values: object, **more: object) -> None:
        raise AssertionError("the operating system was asked")

    monkeypatch.setattr(socket, "socket", opened)
    monkeypatch.setattr(selectors, "DefaultSelector", opened)
    monkeypatch.setattr(os, "urandom", opened)
    all_faults_of_load(tmp_path)
    with pytest.raises(AssertionError, match="was asked"):
        VirtualLoop()
