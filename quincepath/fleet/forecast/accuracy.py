"""After adoption: what is measured held against what was forecast, and what is learned of it. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from quincepath.fleet.forecast.types import Figure, FigureKey, FigureKind, Forecast

KEPT = 64  # adoptions; the oldest go
MOST = 8.0  # of a factor
ENOUGH = 10  # adoptions from which the factor is a quantile
TELLING = 0.002  # of misses, forecast or measured: below it hardly any bar can be wrong, nothing is learned
PLACES = (0.1, 0.3, 0.5, 0.7, 0.9)  # of an adoption's ratios, those that are kept


class AccuracyRecord(msgspec.Struct, array_like=True):
    """How far forecasts were off: by kind, for each adoption five ratios that stand for those of all its
    figures: distances in half bars as they were before widening. msgpack of it is what the store keeps."""

    ratios: dict[str, list[list[float]]] = {}

    def factors(self) -> dict[FigureKind, float]:
        """By kind, from 1 to ``MOST``: the ninth in ten of the ratios; with few adoptions the largest."""
        return {kind: self._factor(self.ratios.get(kind.value, [])) for kind in FigureKind}

    @staticmethod
    def _factor(adoptions: list[list[float]]) -> float:
        ranked = sorted(ratio for ratios in adoptions for ratio in ratios)
        if not ranked:
            return 1.0
        place = len(ranked) - 1 if len(adoptions) < ENOUGH else _ninth(len(ranked))
        return min(MOST, max(1.0, ranked[place]))

    def with_ratios(self, found: Mapping[FigureKind, list[float]]) -> "AccuracyRecord":
        """One more adoption; a ratio above ``MOST`` counts as that."""
        ratios = {name: list(kept) for name, kept in self.ratios.items()}
        for kind, more in found.items():
            if more:
                ranked = sorted(min(MOST, ratio) for ratio in more)
                kept = [ranked[int(place * len(ranked))] for place in PLACES]
                ratios[kind.value] = [*ratios.get(kind.value, []), kept][-KEPT:]
        return AccuracyRecord(ratios)


def _ninth(count: int) -> int:
    """Place of the ninth in ten of so many, ranked: of one more drawn like them nine in ten lie at or below
    it.
    """
    return min(count - 1, -(-9 * (count + 1) // 10) - 1)


def decode_record(data: bytes) -> AccuracyRecord:
    """From the store. ValueError where it is not one."""
    try:
        found = msgspec.msgpack.decode(data, type=AccuracyRecord)
    except msgspec.DecodeError as error:
        raise ValueError(f"record of forecasts: {error}") from None
    kinds = {kind.value for kind in FigureKind}
    for name, ratios in found.ratios.items():
        sound = all(len(five) == len(PLACES) and 0 <= min(five) and max(five) <= MOST for five in ratios)
        if name not in kinds or len(ratios) > KEPT or not sound:
            raise ValueError(
                f"record of forecasts: {name!r}; expected a known kind, {KEPT} adoptions of "
                f"{len(PLACES)} ratios from 0 to {MOST}"
            )
    return found


@dataclass(slots=True, frozen=True)
class Deviation:
    """A measured figure outside its bar."""

    place: FigureKey
    measured: float
    figure: Figure

    def __str__(self) -> str:
        one = self.figure
        return (
            f"{self.place[0]} of {self.place[1] or 'all'}: measured {self.measured:.4g}, "
            f"forecast {one.value:.4g} (90%: {one.low:.4g} to {one.high:.4g})"
        )


@dataclass(slots=True, frozen=True)
class Comparison:
    """``halt``: more figures are outside than nine bars in ten let expect. ``ratios``: for the record."""

    halt: bool
    deviations: tuple[Deviation, ...]
    missing: tuple[FigureKey, ...]  # forecast and not measured
    ratios: dict[FigureKind, list[float]]


def ratio(figure: Figure, measured: float, factor: float) -> float:
    """Distance from the value in half bars before widening, on the side where the measured figure lies; on
    the wider side where the bar was cut off at what a figure can be."""
    down, up = figure.value - figure.low, figure.high - figure.value
    half = (up if measured >= figure.value else max(down, up if figure.low == 0 else 0.0)) / factor
    off = abs(measured - figure.value)
    return 0.0 if off == 0 else off / half if half > 0 else MOST


def compare_with_measured(
    found: Forecast, measured: Mapping[FigureKey, float], share: float = 0.8
) -> Comparison:
    """``measured``: the same figures after adoption, over as many queries as the forecast was told.

    One figure in ten may be outside by chance, and those of a kind go together: it halts where of a kind
    three or more and ``share`` of its figures are outside, or one is outside by twice its bar. Nothing
    measured halts too. Whatever is outside is named, halt or not.
    """
    deviations: list[Deviation] = []
    ratios: dict[FigureKind, list[float]] = {}
    halt = not measured
    for kind in FigureKind:
        factor = found.widened.get(kind, 1.0)
        places = [place for place in sorted(found.figures) if place[0] == kind and place in measured]
        outside = [p for p in places if not found.figures[p].low <= measured[p] <= found.figures[p].high]
        told = [
            p
            for p in places
            if p[0] != FigureKind.MISS or max(found.figures[p].value, measured[p]) >= TELLING
        ]
        each = sorted(ratio(found.figures[place], measured[place], factor) for place in told)
        ratios[kind] = each
        deviations += [Deviation(place, measured[place], found.figures[place]) for place in outside]
        far = bool(each) and bool(outside) and each[-1] > 2 * factor
        halt = halt or far or len(outside) >= max(3, share * len(places))
    missing = tuple(place for place in sorted(found.figures) if place not in measured)
    return Comparison(halt, tuple(deviations), missing, ratios)
