"""Straight lines and power laws through measured points, with their spread. Pure.

A cost is called linear only where at least four sizes over a factor of ten were measured. The line gives the
slope with its standard error and the residual; the fit of the logarithms gives the exponent of growth.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

SIZES_LEAST = 4
RANGE_LEAST = 10.0  # largest size by smallest
EXPONENT_MOST = 1.1  # growth beyond is not linear, and is marked


class FitError(ValueError):
    """Points that no slope can be taken from; the text names what was found and what was expected."""


@dataclass(slots=True, frozen=True)
class Line:
    """``value = intercept + slope * size`` by least squares."""

    slope: float
    slope_error: float  # standard error
    intercept: float
    residual: float  # root mean square of the distances, as a share of the mean value

    def at(self, size: float) -> float:
        """The value on the line."""
        return self.intercept + self.slope * size


@dataclass(slots=True, frozen=True)
class Power:
    """``value = factor * size ** exponent`` by least squares of the logarithms."""

    exponent: float
    exponent_error: float  # standard error
    factor: float
    residual: float = 0.0  # as a line's: root mean square of the distances, as a share of the mean value

    def at(self, size: float) -> float:
        """The value on the curve."""
        return float(self.factor * size**self.exponent)


@dataclass(slots=True, frozen=True)
class Fit:
    """Both fits of one series; ``power`` is None where a value is not above 0."""

    line: Line
    power: Power | None

    @property
    def superlinear(self) -> bool:
        """Whether the cost grows faster than in proportion."""
        return self.power is not None and self.power.exponent > EXPONENT_MOST

    @property
    def by_power(self) -> bool:
        """Whether the power law gives the target: where growth is faster than linear, or it fits better."""
        if self.power is None:
            return False
        return self.superlinear or self.power.residual < self.line.residual

    def at(self, size: float) -> float:
        """By the fit that is chosen."""
        return self.power.at(size) if self.power is not None and self.by_power else self.line.at(size)

    def other_at(self, size: float) -> float | None:
        """By the other one; None where there is none."""
        if self.power is None:
            return None
        return self.line.at(size) if self.by_power else self.power.at(size)


def check_sizes(sizes: Sequence[float]) -> None:
    """Raise ``FitError`` where the sizes cannot show that a cost is linear."""
    different = sorted(set(sizes))
    if len(different) < SIZES_LEAST:
        raise FitError(f"sizes {different}: {len(different)} different, at least {SIZES_LEAST} expected")
    if different[0] <= 0:
        raise FitError(f"sizes {different}: expected all above 0")
    if different[-1] / different[0] < RANGE_LEAST:
        raise FitError(f"sizes {different}: expected a range of at least a factor {RANGE_LEAST:g}")


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The straight line through at least three points of different size."""
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    if len(x) != len(y) or len(set(sizes)) < 3:
        raise FitError(f"{len(x)} sizes and {len(y)} values: expected as many, and three different sizes")
    spread = float(((x - x.mean()) ** 2).sum())
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * float(x.mean())
    squares = float(((y - intercept - slope * x) ** 2).sum())
    mean = abs(float(y.mean()))
    residual = (squares / len(x)) ** 0.5 / mean if mean else 0.0
    return Line(slope, (squares / (len(x) - 2) / spread) ** 0.5, intercept, residual)


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> Power | None:
    """The power law through at least three points; None where a size or value is not above 0."""
    if min(sizes) <= 0 or min(values) <= 0:
        return None
    line = fit_line([float(one) for one in np.log(sizes)], [float(one) for one in np.log(values)])
    factor = float(np.exp(line.intercept))
    distances = np.asarray(values, dtype=float) - factor * np.asarray(sizes, dtype=float) ** line.slope
    residual = float((distances**2).mean()) ** 0.5 / float(np.mean(values))
    return Power(line.slope, line.slope_error, factor, residual)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Both fits. Raises ``FitError`` where the sizes cannot show growth."""
    check_sizes(sizes)
    return Fit(fit_line(sizes, values), fit_power(sizes, values))
