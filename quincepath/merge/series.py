"""Series of several parts into one result: by label set, samples in time order, each once. Pure.

Two parts may bring the same series: shards that overlap, or the two steps of one query. Samples of the same
time are taken once, from the part that comes first in (step, shard) order, so the result does not depend on
the order in which answers came. Series leave in label order, as the protocol wants it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import lt

from quincepath.fronts.remote_read.remote_pb2 import ReadResponse, TimeSeries

LabelKey = tuple[tuple[str, str], ...]


class MergeError(ValueError):
    """The parts cannot be put into one answer within its bounds."""


@dataclass(slots=True)
class MergeStats:
    """What was met on the way, for metrics: dropped duplicates, and those among them that disagreed."""

    series: int = 0
    duplicates: int = 0
    conflicts: int = 0


def label_key(series: TimeSeries) -> LabelKey:
    """Labels as a sorted tuple, whatever order the holder wrote them in."""
    return tuple(sorted((label.name, label.value) for label in series.labels))


def _combine(copies: list[TimeSeries], stats: MergeStats) -> TimeSeries:
    samples: dict[int, float] = {}
    for copy in copies:
        for sample in copy.samples:
            if sample.timestamp not in samples:
                samples[sample.timestamp] = sample.value
            else:
                stats.duplicates += 1
                known = samples[sample.timestamp]
                if known != sample.value and not (known != known and sample.value != sample.value):
                    stats.conflicts += 1
    merged = TimeSeries()
    for name, text in label_key(copies[0]):
        merged.labels.add(name=name, value=text)
    for timestamp, value in sorted(samples.items()):
        merged.samples.add(timestamp=timestamp, value=value)
    return merged


def _sorted_inside(series: TimeSeries) -> bool:
    names = [label.name for label in series.labels]
    times = [sample.timestamp for sample in series.samples]
    return all(map(lt, names, names[1:])) and all(map(lt, times, times[1:]))


def merge(
    queries: int,
    bodies: Iterable[tuple[int, int, Iterable[tuple[int, list[TimeSeries]]]]],
    max_bytes: int,
) -> tuple[ReadResponse, MergeStats]:
    """One result for each of ``queries`` from the bodies of parts, given as (step, shard, body).

    Raises ``MergeError`` where the parts together are over ``max_bytes``, before anything is copied.
    """
    found: list[dict[LabelKey, list[TimeSeries]]] = [{} for _ in range(queries)]
    size = 0
    for _step, _shard, body in sorted(bodies, key=lambda item: item[:2]):
        for index, many in body:
            for series in many:
                size += series.ByteSize()
                if size > max_bytes:
                    raise MergeError(f"the merged answer is over {max_bytes} bytes")
                found[index].setdefault(label_key(series), []).append(series)
    stats = MergeStats()
    response = ReadResponse()
    for by_labels in found:
        result = response.results.add()
        for key in sorted(by_labels):
            copies = by_labels[key]
            stats.series += 1
            whole = copies[0] if len(copies) == 1 and _sorted_inside(copies[0]) else _combine(copies, stats)
            result.timeseries.append(whole)
    return response, stats
