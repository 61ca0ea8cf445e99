"""Options that are wrong, and runs that do not fit on the machine, are refused before any process starts."""

import json
import socket
from pathlib import Path

import pytest

from benchmarks.capacity.scale import command
from benchmarks.capacity.scale.command import leased_block
from benchmarks.capacity.scale.machine import Machine, RefusedError, check, host_processes
from benchmarks.capacity.scale.plan import PORT, Mechanism, Plan

ALL = tuple(Mechanism)
LARGE = Machine(memory=64 << 30, descriptors=100_000, cores=8)


def plan(brokers: int = 60, real: int = 0, processes: int = 2) -> Plan:
    return Plan(brokers, real, 1, ALL, processes, 10.0, "nowhere")


@pytest.mark.parametrize(
    ("arguments", "wanted"),
    [
        ([], ["--brokers", "Missing option"]),
        (["--brokers", "2"], ["--brokers", "2", "3<=x<=2600"]),
        (["--brokers", "2601"], ["--brokers", "2601", "3<=x<=2600"]),
        (["--brokers", "many"], ["--brokers", "many", "not a valid integer"]),
        (["--brokers", "4", "--real", "5"], ["--real", "5", "expected at most --brokers (4)"]),
        (["--brokers", "20", "--real", "11"], ["--real", "11", "0<=x<=10"]),
        (["--brokers", "1001", "--real", "1"], ["--real", "1", "expected 0 with over 1000 brokers"]),
        (["--brokers", "10", "--mechanisms", "view,gossip"], ["--mechanisms", "gossip", "ledger"]),
        (["--brokers", "10", "--mechanisms", "view,view"], ["--mechanisms", "view", "twice"]),
        (["--brokers", "10", "--mechanisms", "ledger"], ["--mechanisms", "ledger", "expected view"]),
        (["--brokers", "10", "--real", "1", "--mechanisms", "log"], ["--mechanisms", "log", "expected view"]),
        (["--brokers", "10", "--mechanisms", "view,configuration"], ["--mechanisms", "expected log beside"]),
        (["--brokers", "10", "--changes", "1001"], ["--changes", "1001", "0<=x<=1000"]),
        (["--brokers", "10", "--duration", "1"], ["--duration", "1", "2<=x<=600"]),
        (["--brokers", "10", "--kill-share", "0.6"], ["--kill-share", "0.6", "0.5"]),
        (["--brokers", "10", "--out", "/no/such/folder/x.json"], ["--out", "x.json", "folder that exists"]),
        (["--brokers", "10", "--colour", "red"], ["--colour"]),
    ],
)
def test_a_wrong_option_is_named_with_its_value_and_what_was_expected(
    arguments: list[str], wanted: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(arguments) == command.BAD_OPTION
    out, err = capsys.readouterr()
    assert out == ""
    for text in wanted:
        assert text in err


def test_a_run_over_half_of_the_memory_is_refused_with_what_was_read_and_allowed() -> None:
    small = Machine(memory=1 << 30, descriptors=100_000, cores=8)
    with pytest.raises(RefusedError, match=r"machine has 1024 MiB, of which a run may take 512 MiB"):
        check(plan(brokers=900), small)
    check(plan(brokers=900), LARGE)


def test_a_run_with_more_open_files_than_the_limit_is_refused() -> None:
    with pytest.raises(RefusedError, match=r"open files wanted .* limit of the system is 300"):
        check(plan(), Machine(memory=64 << 30, descriptors=300, cores=8))


def test_a_run_with_too_many_processes_is_refused() -> None:
    with pytest.raises(RefusedError, match="processes wanted: expected at most 200"):
        check(plan(brokers=2600, processes=200), LARGE)


def test_a_refused_run_says_so_and_writes_no_result(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Machine, "read", staticmethod(lambda: Machine(1 << 20, 20_000, 8)))
    out = tmp_path / "result.json"
    assert command.main(["--brokers", "60", "--out", str(out)]) == command.BAD_OPTION
    assert "refused: " in capsys.readouterr().err
    assert not out.exists()


def test_hollow_brokers_leave_cores_to_the_rest() -> None:
    assert host_processes(10, LARGE) == 1
    assert host_processes(60, LARGE) == 3
    assert host_processes(2600, LARGE) == 6
    assert host_processes(2600, Machine(64 << 30, 20_000, 1)) == 1


def test_every_hollow_broker_is_in_one_process_and_addresses_differ() -> None:
    one = Plan(2600, 3, 1, ALL, 6, 10.0, "nowhere")
    dealt = [name for process in range(one.processes) for name in one.names_of(process)]
    assert sorted(dealt) == sorted(member.name for member in one.members[one.real :])
    assert len({member.host for member in one.members}) == 2600
    assert {member.region for member in one.members} == {"region-0", "region-1", "region-2"}
    assert len({member.zone for member in one.members}) == 10
    assert json.loads(json.dumps(one.voters)) == ["b0", "b1", "b2"]


def test_runs_that_begin_in_one_moment_have_addresses_of_their_own() -> None:
    with leased_block() as one, leased_block() as two:
        assert one != two
    with leased_block() as again:
        assert again == one


def test_a_block_where_another_program_listens_is_left_alone() -> None:
    with leased_block() as free:
        pass
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as other:
        other.bind((f"127.{free}.0.1", PORT))
        with leased_block() as block:
            assert block != free


def test_where_all_blocks_are_in_use_a_run_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command, "BLOCKS", range(99, 100))
    with leased_block(), pytest.raises(RefusedError, match="all further blocks"), leased_block():
        pass
