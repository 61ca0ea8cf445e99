"""From points to rows: sums, budgets, how a value is known, and the ranking, with known answers."""

import msgspec
import pytest

from benchmarks.capacity.ranking import ENDS, NOTHING, OVER, rank
from benchmarks.capacity.results import Group, Point, Results, ResultsError, decode
from benchmarks.capacity.rows import Row, RowSpec, Term, work_out
from benchmarks.capacity.tables import factor_text, number, row_cells, value_text
from tests.capacity import made


def row(name: str) -> Row:
    return next(one for one in work_out(made.RESULTS, made.SPECS) if one.spec.quantity == name)


def test_a_linear_row_beyond_the_measured_sizes_is_called_extrapolated() -> None:
    found = row("bytes a second")
    assert found.value == pytest.approx(5.21) and found.factor == pytest.approx(5.21 / 3)
    assert found.known == "extrapolated beyond 2.6 times" and not found.superlinear


def test_a_measured_size_gives_the_measured_median_and_growth_with_the_square_is_marked() -> None:
    found = row("work")
    assert found.value == pytest.approx(1.0) and found.factor == pytest.approx(2)
    assert found.known == "measured on sockets" and found.superlinear
    assert "grows faster than linearly" in row_cells(found)[5]


def test_a_sum_is_known_as_well_as_its_weakest_term_and_is_called_worked_out() -> None:
    found = row("both")
    assert found.value == pytest.approx(1010 + 14) and found.known == "simulated"
    assert row_cells(found)[-1] == "simulated, worked out" and found.factor is None


def test_a_product_multiplies_and_is_known_as_well_as_its_weaker_side() -> None:
    priced = RowSpec(
        "node", "priced", "log", "s", (Term("made", "price", None, 2, Term("made", "bytes", 2600)),)
    )
    found = work_out(made.RESULTS, [priced])[0]
    assert found.value == pytest.approx(2 * 7 * 5210) and found.known == "extrapolated beyond 2.6 times"
    assert found.only is None
    alone = RowSpec("node", "alone", "log", "s", (Term("made", "price"),))
    assert work_out(made.RESULTS, [alone])[0].known == "measured on sockets"


def test_an_extrapolated_value_that_depends_on_the_fit_says_so() -> None:
    found = row("bytes a second")
    assert found.other is not None and row("work").other is None
    assert value_text(found).startswith("5.21 KB")
    curved = msgspec.structs.replace(
        made.LINEAR, points=tuple(Point(size, (size**0.25,)) for size in made.SIZES)
    )
    group = msgspec.structs.replace(made.RESULTS.groups["made"], series=(curved, made.SQUARE))
    changed = msgspec.structs.replace(made.RESULTS, groups={"made": group})
    assert "(by the other fit " in value_text(work_out(changed, [made.BYTES])[0])


def test_what_nothing_carries_is_not_known() -> None:
    found = row("time in force")
    assert found.value is None and found.factor is None
    assert not found.carried and row_cells(found)[6] == "not known" and row_cells(found)[-1] == "not known"


def test_a_mechanism_counts_as_there_once_it_is_measured() -> None:
    later = Group("2026-12-02T06:00:00Z", 1, "3.11.7", "x86_64", 8, (1, 1), (), (made.seconds(14.0),))
    results = msgspec.structs.replace(made.RESULTS, groups={**made.RESULTS.groups, "later": later})
    found = work_out(results, [made.NOTHING])[0]
    assert found.carried and found.value == 14 and found.factor == 2
    assert [one.why for one in rank([found], ())] == [OVER]
    empty = msgspec.structs.replace(later, facts=())
    without = work_out(msgspec.structs.replace(results, groups={"later": empty}), [made.NOTHING])[0]
    assert without.carried and without.value is None and not rank([without], ())


def test_the_ranking_puts_nothing_first_then_ends_then_factors() -> None:
    ranked = rank(work_out(made.RESULTS, made.SPECS), made.RESULTS.limits)
    assert [(one.mechanism, one.why) for one in ranked] == [
        ("configuration", NOTHING), ("view", ENDS), ("module", OVER),
    ]  # fmt: skip
    assert ranked[1].factor == pytest.approx(2.6) and ranked[1].evidence == "limit: members"


def test_a_missing_result_is_named_with_its_row() -> None:
    empty = msgspec.structs.replace(made.RESULTS, groups={})
    with pytest.raises(ResultsError, match="row 'broker: bytes a second'.*group made is missing"):
        work_out(empty, made.SPECS)
    group = msgspec.structs.replace(made.RESULTS.groups["made"], series=(made.SQUARE,))
    lacking = msgspec.structs.replace(made.RESULTS, groups={"made": group})
    with pytest.raises(ResultsError, match="result made/bytes is missing"):
        work_out(lacking, made.SPECS)


def test_a_series_of_too_few_sizes_gives_no_row() -> None:
    short = msgspec.structs.replace(made.LINEAR, points=made.LINEAR.points[:3])
    group = msgspec.structs.replace(made.RESULTS.groups["made"], series=(short, made.SQUARE))
    with pytest.raises(ResultsError, match="bytes a second.*at least 4 expected"):
        work_out(msgspec.structs.replace(made.RESULTS, groups={"made": group}), made.SPECS)


def test_repeats_count_by_their_median() -> None:
    assert Point(1, (5.0, 1.0, 900.0)).median == 5


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"{", "truncated"),
        (b'{"groups": {"a": {"taken_at": 5}}}', r"\$.groups\[...\].taken_at"),
        (b'{"surprise": 1}', "surprise"),
        (b'{"limits": [{"name": "", "place": "x"}]}', r"\$.limits\[0\].name"),
    ],
)
def test_a_results_file_that_is_not_one_is_told_by_place(data: bytes, said: str) -> None:
    with pytest.raises(ResultsError, match=said):
        decode(data, "capacity.json")


def test_a_results_file_without_bound_is_refused() -> None:
    with pytest.raises(ResultsError, match="at most"):
        decode(b" " * (9 << 20), "capacity.json")


def test_results_survive_being_written() -> None:
    assert decode(msgspec.json.encode(made.RESULTS), "x") == made.RESULTS and Results() == decode(b"{}", "x")


def test_numbers_and_factors_read_well() -> None:
    assert [number(value) for value in (0, 0.001234, 12.345, 1234.5, 2.6e6, 0.0000123)] == [
        "0", "0.00123", "12.3", "1,230", "2,600,000", "1.23e-05",
    ]  # fmt: skip
    assert [factor_text(value) for value in (None, 2.5, 1.0, 0.5, 0.0)] == [
        "–", "2.5 times over", "at the budget", "2 times under", "nothing used",
    ]  # fmt: skip
