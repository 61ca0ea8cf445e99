"""After adoption: compares measured figures with the forecast and learns from the difference. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from quincepath.fleet.forecast.types import Figure, FigureKey, FigureKind, Forecast

MAX_ADOPTIONS_KEPT = 64  # the oldest are dropped
MAX_FACTOR = 8.0
MIN_ADOPTIONS_FOR_QUANTILE = 10  # with fewer, the factor is the largest ratio
# Below this share of misses, forecast or measured, hardly any interval can be wrong: nothing is learned.
MIN_INFORMATIVE_MISS_SHARE = 0.002
KEPT_QUANTILES = (0.1, 0.3, 0.5, 0.7, 0.9)  # of the ratios of one adoption


class AccuracyRecord(msgspec.Struct, array_like=True):
    """Errors of past forecasts: by kind and adoption, five quantiles of the ratios of all its figures.

    A ratio is the distance in half intervals as they were before widening. Stored as msgpack.
    """

    ratios: dict[str, list[list[float]]] = {}

    def factors(self) -> dict[FigureKind, float]:
        """By kind, from 1 to ``MAX_FACTOR``: the 90th percentile of the ratios; with few adoptions the
        largest.
        """
        return {kind: self._factor(self.ratios.get(kind.value, [])) for kind in FigureKind}

    @staticmethod
    def _factor(adoptions: list[list[float]]) -> float:
        ranked = sorted(ratio for ratios in adoptions for ratio in ratios)
        if not ranked:
            return 1.0
        index = (
            len(ranked) - 1
            if len(adoptions) < MIN_ADOPTIONS_FOR_QUANTILE
            else _ninety_percent_index(len(ranked))
        )
        return min(MAX_FACTOR, max(1.0, ranked[index]))

    def with_ratios(self, found: Mapping[FigureKind, list[float]]) -> "AccuracyRecord":
        """The record with one more adoption; a ratio above ``MAX_FACTOR`` counts as ``MAX_FACTOR``."""
        ratios = {name: list(kept) for name, kept in self.ratios.items()}
        for kind, more in found.items():
            if more:
                ranked = sorted(min(MAX_FACTOR, ratio) for ratio in more)
                kept = [ranked[int(quantile * len(ranked))] for quantile in KEPT_QUANTILES]
                ratios[kind.value] = [*ratios.get(kind.value, []), kept][-MAX_ADOPTIONS_KEPT:]
        return AccuracyRecord(ratios)


def _ninety_percent_index(count: int) -> int:
    """Index among ``count`` ranked values: 90% of further draws of the same kind lie at or below it."""
    return min(count - 1, -(-9 * (count + 1) // 10) - 1)


def decode_record(data: bytes) -> AccuracyRecord:
    """Reads a stored record. Raises ValueError for anything else."""
    try:
        found = msgspec.msgpack.decode(data, type=AccuracyRecord)
    except msgspec.DecodeError as error:
        raise ValueError(f"forecast accuracy record: {error}") from None
    kinds = {kind.value for kind in FigureKind}
    for name, ratios in found.ratios.items():
        valid = all(
            len(five) == len(KEPT_QUANTILES) and 0 <= min(five) and max(five) <= MAX_FACTOR for five in ratios
        )
        if name not in kinds or len(ratios) > MAX_ADOPTIONS_KEPT or not valid:
            raise ValueError(
                f"forecast accuracy record: {name!r}; expected a known kind, {MAX_ADOPTIONS_KEPT} adoptions "
                f"of {len(KEPT_QUANTILES)} ratios from 0 to {MAX_FACTOR}"
            )
    return found


@dataclass(slots=True, frozen=True)
class Deviation:
    """A measured figure outside its interval."""

    key: FigureKey
    measured: float
    figure: Figure

    def __str__(self) -> str:
        figure = self.figure
        return (
            f"{self.key[0]} of {self.key[1] or 'all'}: measured {self.measured:.4g}, "
            f"forecast {figure.value:.4g} (90%: {figure.low:.4g} to {figure.high:.4g})"
        )


@dataclass(slots=True, frozen=True)
class Comparison:
    """``halt``: more figures are outside than 90% intervals allow by chance. ``ratios``: for the record."""

    halt: bool
    deviations: tuple[Deviation, ...]
    missing: tuple[FigureKey, ...]  # forecast and not measured
    ratios: dict[FigureKind, list[float]]


def ratio(figure: Figure, measured: float, factor: float) -> float:
    """Distance of the measured figure from the forecast value, in half intervals before widening.

    Uses the half on the side of the measured figure, or the wider half where the interval was cut off at the
    smallest possible value.
    """
    below, above = figure.value - figure.low, figure.high - figure.value
    half = (above if measured >= figure.value else max(below, above if figure.low == 0 else 0.0)) / factor
    distance = abs(measured - figure.value)
    return 0.0 if distance == 0 else distance / half if half > 0 else MAX_FACTOR


def compare_with_measured(
    found: Forecast, measured: Mapping[FigureKey, float], share: float = 0.8
) -> Comparison:
    """``measured``: the same figures after adoption, over as many queries as the forecast was given.

    One figure in ten may be outside by chance, and figures of one kind are correlated. So it halts where of
    a kind at least three and ``share`` of its figures are outside, or one is outside by twice its interval.
    It also halts where nothing was measured. Every figure outside is reported, halted or not.
    """
    deviations: list[Deviation] = []
    ratios: dict[FigureKind, list[float]] = {}
    halt = not measured
    for kind in FigureKind:
        factor = found.widened.get(kind, 1.0)
        keys = [key for key in sorted(found.figures) if key[0] == kind and key in measured]
        outside = [k for k in keys if not found.figures[k].low <= measured[k] <= found.figures[k].high]
        informative = [
            k for k in keys
            if k[0] != FigureKind.MISS
            or max(found.figures[k].value, measured[k]) >= MIN_INFORMATIVE_MISS_SHARE
        ]  # fmt: skip
        ranked = sorted(ratio(found.figures[key], measured[key], factor) for key in informative)
        ratios[kind] = ranked
        deviations += [Deviation(key, measured[key], found.figures[key]) for key in outside]
        far = bool(ranked) and bool(outside) and ranked[-1] > 2 * factor
        halt = halt or far or len(outside) >= max(3, share * len(keys))
    missing = tuple(key for key in sorted(found.figures) if key not in measured)
    return Comparison(halt, tuple(deviations), missing, ratios)
