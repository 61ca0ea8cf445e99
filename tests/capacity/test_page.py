"""The page says what was measured: a changed figure, a missing row or a missing result is named."""

from typing import Any

import msgspec
import pytest

from benchmarks.capacity.commands import all_tables, check, check_files
from benchmarks.capacity.page import PageError, filled
from benchmarks.capacity.results import ResultsError
from benchmarks.capacity.scale_runs import merged, read_line
from tests.capacity import made

TABLES = all_tables(made.RESULTS, made.SPECS)
EMPTY = "".join(
    f"# {table.name}\n<!-- capacity: {table.name} -->\n<!-- end of capacity: {table.name} -->\n"
    for table in TABLES
)
PAGE = filled(EMPTY, TABLES)


def test_the_page_of_the_repository_says_what_its_results_say() -> None:
    assert check_files() == []


def test_a_page_just_written_is_right_and_writing_again_changes_nothing() -> None:
    assert check(PAGE, made.RESULTS, made.SPECS) == [] and filled(PAGE, TABLES) == PAGE


def test_a_changed_figure_is_named_with_its_row_and_value() -> None:
    assert "| 5.21 KB |" in PAGE
    (problem,) = check(PAGE.replace("| 5.21 KB |", "| 5.20 KB |"), made.RESULTS, made.SPECS)
    assert problem == (
        "table 'broker', row 'bytes a second', at the target: "
        "the page says '5.20 KB', the results give '5.21 KB'"
    )


def test_a_changed_place_in_the_ranking_is_named() -> None:
    changed = PAGE.replace("nothing carries it", "over its budget")
    (problem,) = check(changed, made.RESULTS, made.SPECS)
    assert "table 'ranking', row '1', why: the page says 'over its budget'" in problem


def test_a_missing_row_is_named() -> None:
    lines = [line for line in PAGE.splitlines() if not line.startswith("| work |")]
    problems = check("\n".join(lines), made.RESULTS, made.SPECS)
    assert problems == ["table 'broker', row 'work': is missing on the page"]


def test_a_row_without_a_result_behind_it_is_named() -> None:
    extra = PAGE.replace("| work |", "| made up |" + " x |" * 9 + "\n| work |")
    assert check(extra, made.RESULTS, made.SPECS) == [
        "table 'broker', row 'made up': no result stands behind it"
    ]


def test_a_row_that_stands_twice_and_a_cell_too_few_are_named() -> None:
    line = next(line for line in PAGE.splitlines() if line.startswith("| work |"))
    assert check(PAGE.replace(line, f"{line}\n{line}"), made.RESULTS, made.SPECS) == [
        "table 'broker': a row stands twice"
    ]
    (problem,) = check(PAGE.replace(line, line[: line.rindex(" | ")] + " |"), made.RESULTS, made.SPECS)
    assert problem == "table 'broker', row 'work': 9 cells, 10 expected"


def test_a_missing_table_and_a_page_without_any_are_named() -> None:
    problems = check(PAGE.replace("<!-- capacity: limits -->", ""), made.RESULTS, made.SPECS)
    assert len(problems) == 1 and "table 'limits': expected the markers" in problems[0]
    assert len(check("", made.RESULTS, made.SPECS)) == len(TABLES)
    with pytest.raises(PageError, match="ranking"):
        filled(EMPTY.replace("<!-- end of capacity: ranking -->", ""), TABLES)


def test_a_missing_result_is_named() -> None:
    group = msgspec.structs.replace(made.RESULTS.groups["made"], facts=())
    lacking = msgspec.structs.replace(made.RESULTS, groups={"made": group})
    (problem,) = check(PAGE, lacking, made.SPECS)
    assert "row 'voter: both'" in problem and "made/price is missing" in problem


def test_a_changed_result_is_found_as_well_as_a_changed_page() -> None:
    changed = msgspec.structs.replace(made.PRICE, value=8.0)
    group = msgspec.structs.replace(made.RESULTS.groups["made"], facts=(changed,))
    other = msgspec.structs.replace(made.RESULTS, groups={"made": group})
    (problem,) = check(PAGE, other, made.SPECS)
    assert "row 'both', at the target: the page says '1,020 bytes', the results give '1,030 bytes'" in problem


def scale_run(brokers: int, verdict: str = "good", **more: Any) -> dict[str, Any]:
    """As the scale command prints it."""
    view = {"messages_a_second": 4.0, "bytes_a_second": 361.0, "bytes_a_second_most": 500.0}
    return {
        "brokers": brokers, "verdict": verdict, "real": 3, "by_mechanism": {"view": view},
        "hollow_processor_ms_a_second": 4.7, "events": [{"what": "kill", "known_after_s": 3.25}], **more,
    }  # fmt: skip


def test_scale_runs_fill_their_rows_and_other_sizes_stay_not_known() -> None:
    results = msgspec.structs.replace(made.RESULTS, scale_runs=(scale_run(300),))
    tables = {table.name: table for table in all_tables(results, made.SPECS)}
    rows = {row[0]: row for row in tables["scale"].rows}
    assert rows["300"] == (
        "300", "good", "3", "0", "0.47%", "not known", "kill: 3.25 s", "–", "not known", "–",
    )  # fmt: skip
    assert set(rows) == {"100", "300", "900", "2600"} and set(rows["2600"][1:]) == {"not known"}
    assert tables["scale by mechanism"].rows == (
        ("300: view", "4", "361", "500", "not known", "not known"),
    )  # fmt: skip


def test_a_scale_run_shows_its_changes_and_what_was_played_in_virtual_time() -> None:
    changes = {
        "committed": 50, "subscribers": 2600,
        "in_force_median_s": 0.2, "in_force_99th_s": 0.4, "in_force_most_s": 0.5,
    }  # fmt: skip
    ledger = {"messages_a_second": 12.0, "bytes_a_second": 6500, "bytes_a_second_most": 46000}
    run = scale_run(2600, mechanisms=["log", "configuration"], changes=changes, simulated={"ledger": ledger})
    results = msgspec.structs.replace(made.RESULTS, scale_runs=(run,))
    tables = {table.name: table for table in all_tables(results, made.SPECS)}
    row = next(row for row in tables["scale"].rows if row[0] == "2600 (log and configuration)")
    assert row[7] == "0.2 / 0.4 / 0.5 s (50 changes, 2,600 brokers)"
    assert [row[0] for row in tables["scale by mechanism"].rows] == [
        "2600 (log and configuration): view",
        "2600 (log and configuration): ledger, virtual time",
    ]


def test_the_newest_scale_run_of_a_name_stays() -> None:
    old, other = scale_run(300, "void"), scale_run(300, "simulated")
    assert merged((old, other), (scale_run(100), scale_run(300))) == (
        scale_run(100), scale_run(300), other,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("{", "runs.txt:3: .*a line of the scale command was expected"),
        ("[]", "runs.txt:3: Expected `object`"),
        ('{"verdict": "good", "brokers": true}', r"\$.brokers"),
        ('{"verdict": "good", "brokers": 0}', r"\$.brokers"),
        ('{"brokers": 100}', "verdict"),
        ('{"brokers": 1, "x": "' + "y" * (1 << 20) + '"}', "at most 1048576"),
    ],
)
def test_a_line_that_is_no_scale_run_is_told_by_file_and_line(line: str, said: str) -> None:
    with pytest.raises(ResultsError, match=said):
        read_line(line, "runs.txt:3")
