"""Fits with known answers: a wrong slope, spread or exponent would put wrong figures on the page."""

import pytest

from benchmarks.capacity.fit import FitError, check_sizes, fit, fit_line, fit_power

SIZES = [10.0, 20.0, 50.0, 100.0]


def test_a_straight_line_is_found_with_no_spread_and_no_residual() -> None:
    line = fit_line(SIZES, [7 + 3 * size for size in SIZES])
    assert line.slope == pytest.approx(3) and line.intercept == pytest.approx(7)
    assert line.slope_error == pytest.approx(0, abs=1e-9) and line.residual == pytest.approx(0, abs=1e-9)
    assert line.at(2600) == pytest.approx(7807)


def test_the_spread_of_a_slope_is_its_standard_error() -> None:
    # By hand: y = 0, 1, 1, 2 at x = 0, 1, 2, 3: slope 0.6, residuals -0.1, 0.3, -0.3, 0.1, squares 0.2,
    # error sqrt(0.2 / 2 / 5) = 0.141421, residual sqrt(0.2 / 4) / 1 = 0.223607.
    line = fit_line([0, 1, 2, 3], [0, 1, 1, 2])
    assert line.slope == pytest.approx(0.6) and line.intercept == pytest.approx(0.1)
    assert line.slope_error == pytest.approx(0.141421, rel=1e-5)
    assert line.residual == pytest.approx(0.223607, rel=1e-5)


def test_a_square_has_the_exponent_two_and_is_marked_and_extrapolated_as_a_square() -> None:
    found = fit(SIZES, [0.5 * size**2 for size in SIZES])
    assert found.power is not None and found.power.exponent == pytest.approx(2)
    assert found.superlinear and found.at(1000) == pytest.approx(500_000)


def test_a_linear_cost_with_a_constant_part_is_not_marked() -> None:
    found = fit(SIZES, [100 + size for size in SIZES])
    assert not found.superlinear and found.at(2600) == pytest.approx(2700)


def test_values_of_zero_have_no_exponent() -> None:
    assert fit_power(SIZES, [0, 1, 2, 3]) is None
    assert not fit(SIZES, [0, 1, 2, 3]).superlinear


@pytest.mark.parametrize(
    ("sizes", "said"),
    [
        ([1, 10, 100], "3 different, at least 4 expected"),
        ([1, 1, 1, 10], "2 different"),
        ([10, 20, 40, 99], "at least a factor 10"),
        ([0, 1, 2, 10], "above 0"),
    ],
)
def test_too_few_sizes_or_too_small_a_range_show_no_growth(sizes: list[float], said: str) -> None:
    with pytest.raises(FitError, match=said):
        check_sizes(sizes)
    with pytest.raises(FitError):
        fit(sizes, [1.0] * len(sizes))


def test_a_missing_value_is_refused() -> None:
    with pytest.raises(FitError, match="4 sizes and 3 values"):
        fit_line(SIZES, [1, 2, 3])


def test_slow_growth_goes_by_the_fit_that_lies_closer_and_the_other_is_known() -> None:
    slow = fit(SIZES, [3 * size**0.25 for size in SIZES])
    assert slow.by_power and slow.at(10_000) == pytest.approx(30)
    other = slow.other_at(10_000)
    assert other is not None and other > 100
    straight = fit(SIZES, [100 + size for size in SIZES])
    assert not straight.by_power and straight.at(10_000) == pytest.approx(10_100)


def test_a_power_laws_residual_is_a_share_of_the_mean() -> None:
    found = fit_power(SIZES, [size**2 for size in SIZES])
    assert found is not None and found.residual == pytest.approx(0, abs=1e-9)
