"""Merges series of several parts into one result: by label set, samples in time order, no duplicates. Pure.

Two parts may return the same series: shards overlap, or both steps of a query return it. Of samples with the
same timestamp the one of the first part in (step, shard) order is used, so the result does not depend on the
order in which answers arrived. Series are ordered by label, as the protocol requires.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from operator import lt

from quincepath.fronts.remote_read.remote_pb2 import ReadResponse, TimeSeries

LabelKey = tuple[tuple[str, str], ...]


class MergeError(ValueError):
    """The merged parts exceed the size limit of an answer."""


@dataclass(slots=True)
class MergeStats:
    """Counts for metrics: series, dropped duplicate samples, and duplicates whose values differ."""

    series: int = 0
    duplicates: int = 0
    conflicts: int = 0


def label_key(series: TimeSeries) -> LabelKey:
    """Labels as a sorted tuple, independent of the order in which the holder sent them."""
    return tuple(sorted((label.name, label.value) for label in series.labels))


def _merge_copies(copies: list[TimeSeries], stats: MergeStats) -> TimeSeries:
    samples: dict[int, float] = {}
    for copy in copies:
        for sample in copy.samples:
            if sample.timestamp not in samples:
                samples[sample.timestamp] = sample.value
            else:
                stats.duplicates += 1
                kept = samples[sample.timestamp]
                if kept != sample.value and not (kept != kept and sample.value != sample.value):
                    stats.conflicts += 1
    merged = TimeSeries()
    for name, text in label_key(copies[0]):
        merged.labels.add(name=name, value=text)
    for timestamp, value in sorted(samples.items()):
        merged.samples.add(timestamp=timestamp, value=value)
    return merged


def _is_sorted(series: TimeSeries) -> bool:
    names = [label.name for label in series.labels]
    times = [sample.timestamp for sample in series.samples]
    return all(map(lt, names, names[1:])) and all(map(lt, times, times[1:]))


def merge(
    queries: int,
    bodies: Iterable[tuple[int, int, Iterable[tuple[int, list[TimeSeries]]]]],
    max_bytes: int,
) -> tuple[ReadResponse, MergeStats]:
    """Build one result for each of ``queries`` from the bodies of parts, given as (step, shard, body).

    Raises ``MergeError`` if the parts together exceed ``max_bytes``, before anything is copied.
    """
    copies_by_labels: list[dict[LabelKey, list[TimeSeries]]] = [{} for _ in range(queries)]
    size = 0
    for _step, _shard, body in sorted(bodies, key=lambda item: item[:2]):
        for index, series_list in body:
            for series in series_list:
                size += series.ByteSize()
                if size > max_bytes:
                    raise MergeError(f"the merged answer is over {max_bytes} bytes")
                copies_by_labels[index].setdefault(label_key(series), []).append(series)
    stats = MergeStats()
    response = ReadResponse()
    for by_labels in copies_by_labels:
        result = response.results.add()
        for key in sorted(by_labels):
            copies = by_labels[key]
            stats.series += 1
            merged = copies[0] if len(copies) == 1 and _is_sorted(copies[0]) else _merge_copies(copies, stats)
            result.timeseries.append(merged)
    return response, stats
