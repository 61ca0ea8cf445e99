"""Every table of this directory, row by row, and the reader's detection of changed rows and empty tables."""

import copy
from pathlib import Path
from typing import Any

import pytest

from tests.conformance.runner import HERE, differences, rows_of, runners_without_table, unread_files

TABLES = sorted(HERE.glob("*.yaml"))
ROWS = [(path, row["name"]) for path in TABLES for row in rows_of(path)[1]]


def row_of(path: Path, name: str) -> tuple[Any, dict[str, Any]]:
    run, rows = rows_of(path)
    return run, next(row for row in rows if row["name"] == name)


@pytest.mark.parametrize(("path", "name"), ROWS, ids=[f"{path.stem}: {name}" for path, name in ROWS])
def test_a_row_passes_and_fails_when_any_expected_value_is_changed(path: Path, name: str) -> None:
    run, row = row_of(path, name)
    assert differences(run, row) == []
    for key in row["then"]:
        changed = copy.deepcopy(row)
        changed["then"][key] = ["changed", row["then"][key]]
        assert differences(run, changed), key


def test_there_are_tables() -> None:
    assert TABLES


def test_every_table_is_read_and_every_runner_has_a_table() -> None:
    assert unread_files(HERE, {path for path, _ in ROWS}) == []
    assert runners_without_table(HERE) == []


def test_unread_tables_and_runners_without_a_table_are_detected(tmp_path: Path) -> None:
    (tmp_path / "below").mkdir()
    names = ("read.yaml", "left_out.yaml", "other.yml", "below/table.yaml", "run_used.py", "run_alone.py")
    for name in names:
        (tmp_path / name).write_text("runner: used\nrows: [{name: a, given: {}, then: {b: 1}}]")
    found = unread_files(tmp_path, {tmp_path / "read.yaml"})
    assert found == ["below/table.yaml", "left_out.yaml", "other.yml"]
    assert runners_without_table(tmp_path) == ["alone"]


@pytest.mark.parametrize(
    "text",
    [
        "runner: ledger\nrows: []",
        "runner: ledger",
        "",
        "runner: ledger\nrows: [{name: a, given: {}, then: {}}]",
    ],
)
def test_an_empty_table_or_row_fails(tmp_path: Path, text: str) -> None:
    (tmp_path / "empty.yaml").write_text(text)
    with pytest.raises(ValueError, match="expected"):
        rows_of(tmp_path / "empty.yaml")
