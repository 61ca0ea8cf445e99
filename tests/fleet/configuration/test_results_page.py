"""The tables of docs/design/configuration.md match the results that they are made from."""

import copy
import json

import click
import pytest

from benchmarks.fleet_configuration import FILE, PAGE, PLAYS, baseline_table, times_table, with_tables


def test_the_page_matches_the_results() -> None:
    rows = json.loads(FILE.read_text())["rows"]
    page = PAGE.read_text()
    assert with_tables(page, rows) == page


def test_a_changed_or_missing_row_is_noticed() -> None:
    rows = json.loads(FILE.read_text())["rows"]
    assert list(rows) == list(PLAYS)
    page = PAGE.read_text()
    changed = copy.deepcopy(rows)
    changed["calm"]["most_ms"] += 0.1
    assert with_tables(page, changed) != page
    del changed["calm"]
    assert "| calm, a change each two seconds | not run | | | | | | |" in times_table(changed)
    assert len(baseline_table(rows)) == 2 + 4
    with pytest.raises(click.ClickException, match="no <!-- times -->"):
        with_tables("", rows)


def test_every_stored_case_is_good() -> None:
    rows = json.loads(FILE.read_text())["rows"]
    for name, row in rows.items():
        if "good" in row:
            assert row["good"] and row["unequal"] == 0 and row["violations"] == [], name
