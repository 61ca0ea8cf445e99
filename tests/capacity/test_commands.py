"""Groups are measured one by one, and the command line tells what is wrong."""

import sys
import types
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from benchmarks.capacity import commands
from benchmarks.capacity.__main__ import main
from benchmarks.capacity.configuration import HARD, facts_of
from benchmarks.capacity.plan import ROWS
from benchmarks.capacity.results import ResultsError, load, store
from tests.capacity import made


def test_every_row_is_of_a_group_that_can_be_measured_and_is_named_once() -> None:
    known = {*commands.GROUPS, *commands.LATER}
    used = {one.group for spec in ROWS for term in spec.terms for one in term.all()}
    assert used <= known
    places = [spec.place for spec in ROWS]
    assert len(places) == len(set(places))


def test_a_group_measured_anew_leaves_the_others_as_they_are(tmp_path: Path) -> None:
    path = tmp_path / "capacity.json"
    store(made.RESULTS, path)
    said: list[str] = []
    commands.measure(["exchanges"], path, said.append)
    found = load(path)
    assert found.groups["made"] == made.RESULTS.groups["made"] and found.limits == made.RESULTS.limits
    assert found.has("exchanges", "nodes") and said == ["exchanges …"]


def test_an_unknown_group_is_told_with_those_that_there_are(tmp_path: Path) -> None:
    with pytest.raises(ResultsError, match="group 'modul': expected one of module, driver"):
        commands.measure(["modul"], tmp_path / "capacity.json", print)
    result = CliRunner().invoke(main, ["measure", "--only", "modul"])
    assert result.exit_code == 1 and "group 'modul'" in result.output


def test_scale_runs_are_merged_from_files(tmp_path: Path) -> None:
    path, lines = tmp_path / "capacity.json", tmp_path / "runs.txt"
    lines.write_text('{"verdict": "good", "brokers": 300}\n\n{"verdict": "void", "brokers": 100}\n')
    assert commands.take_scale([lines], path) == 2
    assert [run["brokers"] for run in load(path).scale_runs] == [100, 300]
    lines.write_text('{"verdict": "good", "brokers": 300}\nnothing\n')
    with pytest.raises(ResultsError, match="runs.txt:2"):
        commands.take_scale([lines], path)
    assert len(load(path).scale_runs) == 2


def test_scale_gets_all_of_its_own_arguments(monkeypatch: pytest.MonkeyPatch) -> None:
    got: list[str] = []

    def run(arguments: list[str]) -> int:
        got.extend(arguments)
        return 3

    name = "benchmarks.capacity.scale.command"
    module = types.ModuleType(name)
    module.main = run  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, name.rpartition(".")[0], types.ModuleType(name.rpartition(".")[0]))
    monkeypatch.setitem(sys.modules, name, module)
    result = CliRunner().invoke(main, ["scale", "--brokers", "300", "--seed", "7"])
    assert result.exit_code == 3 and got == ["--brokers", "300", "--seed", "7"]


ROW: dict[str, Any] = {"brokers": 2600, "changes": 10, "median_ms": 400.0, "p99_ms": 900, "most_ms": 1500.0}


def test_cases_of_the_configuration_become_facts_and_the_slowest_hard_case_counts() -> None:
    rows: dict[str, dict[str, Any]] = {
        "calm": {**ROW, "figures": {"age_ms": 5, "names": ["a"]}},
        "burst": {**ROW, "most_ms": 2500.0},
        "baseline_polls": {**ROW, "most_ms": 9e9},
        "cost": {"snapshot_bytes": 700},
    }
    found = {one.name: one.value for one in facts_of(rows)}
    assert found["calm, most"] == 1.5 and found["calm, median"] == 0.4 and found["calm, age_ms"] == 5
    assert found[HARD] == 2.5 and found["cost, snapshot_bytes"] == 700 and "calm, names" not in found


def test_a_baseline_that_never_ended_has_no_time_and_is_no_error() -> None:
    found = facts_of({"baseline_polls": {**ROW, "p99_ms": "never", "most_ms": "never"}})
    assert [one.name for one in found if one.unit == "s"] == ["baseline_polls, median"]


def test_a_case_that_never_ended_or_of_another_size_is_told() -> None:
    with pytest.raises(ResultsError, match="burst: most_ms: 'never'"):
        facts_of({"burst": {**ROW, "most_ms": "never"}})
    with pytest.raises(ResultsError, match="calm: 260 brokers, 2600 were expected"):
        facts_of({"calm": {**ROW, "brokers": 260}})
