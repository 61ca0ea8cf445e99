"""Small synthetic data set, set by its seed: engine hours and fuel use of tractors, by district."""

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from quincepath.fronts.remote_read.matchers import accepts
from quincepath.fronts.remote_read.remote_pb2 import Query, ReadRequest, ReadResponse, TimeSeries

STEP_MS = 60_000
SAMPLES = 120
BEGIN_MS = 1_700_000_000_000 // STEP_MS * STEP_MS
END_MS = BEGIN_MS + (SAMPLES - 1) * STEP_MS
LABEL = "district"
METRICS = ("engine_hours", "fuel_use_liters")


@dataclass(slots=True, frozen=True)
class Series:
    """One time series: labels by name, timestamps (ms) and values."""

    labels: dict[str, str]
    times: list[int]
    values: list[float]


def district_series(
    seed: int, district: str, tractors: int = 4, metrics: Sequence[str] = METRICS
) -> list[Series]:
    """Generate the series of one district; each of its holders has the same ones."""
    generator = np.random.default_rng([seed, zlib.crc32(district.encode())])
    generated = []
    times = [BEGIN_MS + i * STEP_MS for i in range(SAMPLES)]
    for tractor in range(tractors):
        name = f"tractor-{tractor:02d}.{district}"
        hours = generator.uniform(100, 9000) + np.cumsum(generator.random(SAMPLES) / 60)
        fuel = generator.gamma(2.0, 4.0, SAMPLES)
        for number, metric in enumerate(metrics):
            values = (hours, fuel)[number % 2]
            labels = {"__name__": metric, LABEL: district, "tractor": name}
            generated.append(Series(labels, times, [round(float(v), 3) for v in values]))
    return generated


class Store:
    """The data of one holder; answers remote read requests by a scan of all series."""

    def __init__(
        self, seed: int, districts: Iterable[str], tractors: int = 4, metrics: Sequence[str] = METRICS
    ) -> None:
        series = [s for district in districts for s in district_series(seed, district, tractors, metrics)]
        self.series: Sequence[Series] = sorted(series, key=lambda s: sorted(s.labels.items()))

    def read(self, request: ReadRequest) -> ReadResponse:
        """Answer a request with one result for each of its queries."""
        response = ReadResponse()
        for query in request.queries:
            response.results.add().timeseries.extend(self._select(query))
        return response

    def _select(self, query: Query) -> list[TimeSeries]:
        predicates = [(matcher.name, accepts(matcher)) for matcher in query.matchers]
        start, end = query.start_timestamp_ms, query.end_timestamp_ms
        results = []
        for series in self.series:
            if not all(accept(series.labels.get(name, "")) for name, accept in predicates):
                continue
            selected = TimeSeries()
            for time, value in zip(series.times, series.values, strict=True):
                if start <= time <= end:
                    selected.samples.add(timestamp=time, value=value)
            if selected.samples:
                for name in sorted(series.labels):
                    selected.labels.add(name=name, value=series.labels[name])
                results.append(selected)
        return results
