"""Projects footprints onto a map: which parts a query would have and what each part would cost. Pure.

The cost of a part is a fixed cost, paid by each part whatever it holds, plus a cost that grows with the
values that it touches. When parts are split and recombined, a new part costs ``a + sum((s_p - a) * share_p)``
over the old parts p that contribute to it, with a the fixed cost of its class. That is ``a * fixed_count +
sum(s_p * share_p)`` with ``fixed_count`` = 1 - sum of the shares: linear in a, which each bootstrap draw fits
anew.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from quincepath.fleet.forecast.footprints import Footprint
from quincepath.shards.versions import MapVersion

Array = NDArray[np.float64]
IntArray = NDArray[np.int64]

MAX_UNSEEN_LISTED = 20  # values


@dataclass(slots=True)
class Projection:
    """Parts of all footprints under a map, one row each; ``query`` is non-decreasing."""

    sets: list[str]
    query: IntArray  # index of the footprint
    set_index: IntArray
    fixed_count: Array  # multiple of the fixed cost
    service: Array  # ns of one call, without the fixed cost times ``fixed_count``
    merged: Array  # bytes, likewise
    calls: Array
    parts: Array  # by footprint
    unplaced: float


def value_weights(footprints: Sequence[Footprint], prior: float = 4.0) -> dict[str, float]:
    """Cost of each value relative to the others, 1 for a value of which nothing is known.

    Mean cost per value in the parts that have it, in units of the mean of its class. Parts with few values
    weigh more (inverse square), and ``prior`` parts of mean cost are added for each value.
    """
    sums: dict[str, list[float]] = {}
    by_class: dict[str, list[float]] = {}
    for footprint in footprints:
        for part in footprint.parts:
            total = by_class.setdefault(footprint.kind, [0.0, 0.0])
            total[0] += part.service
            total[1] += len(part.values) + part.more
    for footprint in footprints:
        service, values = by_class.get(footprint.kind, [0.0, 0.0])
        mean = service / values if values else 0.0
        for part in footprint.parts:
            number = len(part.values) + part.more
            if not mean or not number:
                continue
            weight = 1 / number**2
            relative = part.service / number / mean
            for value in part.values:
                entry = sums.setdefault(value, [0.0, 0.0])
                entry[0] += weight * relative
                entry[1] += weight
    return {value: (cost + prior) / (count + prior) for value, (cost, count) in sums.items()}


def project(footprints: Sequence[Footprint], version: MapVersion, weights: Mapping[str, float]) -> Projection:
    """Projects every footprint onto the map."""
    places = version.places()
    sets = list(version.sets())
    index_of_set = {group: index for index, group in enumerate(sets)}
    all_shards = [(name, group) for name, group, _values in version.entries]
    new = [(name, group, [v for v in values if v not in weights]) for name, group, values in version.entries]
    shards_with_new_values = [(name, group) for name, group, unknown in new if unknown]
    rows: list[tuple[int, int, float, float, float, float]] = []
    parts = np.zeros(len(footprints))
    unplaced = 0
    for index, footprint in enumerate(footprints):
        found: dict[tuple[str, str], list[float]] = {}
        lost = False
        for part in footprint.parts:
            total = sum(weights.get(value, 1.0) for value in part.values)
            for value in part.values:
                place = places.get(value)
                if place is None:
                    lost = True
                    continue
                share = weights.get(value, 1.0) / total
                new_part = found.setdefault(place, [0.0, 0.0, 0.0, 0.0])
                new_part[0] += share
                new_part[1] += share * part.service
                new_part[2] += share * part.merged
                new_part[3] = max(new_part[3], part.calls)
        unplaced += lost
        if footprint.unlabelled or footprint.open:
            calls = sum(part.calls for part in footprint.parts) / max(1, len(footprint.parts))
            for place in all_shards if footprint.unlabelled else shards_with_new_values:
                found.setdefault(place, [0.0, 0.0, 0.0, calls])
        for (_name, group), (shares, service, merged, calls) in found.items():
            rows.append((index, index_of_set[group], 1 - shares, service, merged, calls))
        parts[index] = len(found)
    table = np.array(rows, dtype=np.float64).reshape(-1, 6)
    return Projection(
        sets, table[:, 0].astype(np.int64), table[:, 1].astype(np.int64), table[:, 2], table[:, 3],
        table[:, 4], table[:, 5], parts, unplaced / max(1, len(footprints)),
    )  # fmt: skip


def sum_by_query(
    values: Array, query: IntArray, queries: int, group: IntArray | None = None, groups: int = 1
) -> Array:
    """Sums rows: (queries, groups)."""
    cell = query if group is None else query * groups + group
    sums = np.bincount(cell, weights=values, minlength=queries * groups)
    return np.asarray(sums, dtype=np.float64).reshape(queries, groups)


def overhead(footprint: Footprint) -> int:
    """Time of a query beyond its slowest part, ns."""
    return max(0, footprint.took - max((part.took for part in footprint.parts), default=footprint.took))


def unseen_values(after: MapVersion, before: MapVersion, footprints: Sequence[Footprint]) -> tuple[str, ...]:
    """Values of the new map that were never seen; at most ``MAX_UNSEEN_LISTED``, in the order of the map."""
    known = {value for _name, _group, values in before.entries for value in values}
    known.update(value for footprint in footprints for part in footprint.parts for value in part.values)
    found = (v for _name, _group, values in after.entries for v in values if v not in known)
    return tuple(v for v, _ in zip(found, range(MAX_UNSEEN_LISTED), strict=False))
