"""Footprints through a map: which parts a query would have there and what of its cost each would carry. Pure.

A part costs a fixed share, paid by each part whatever it holds, and the rest, which goes with the values
that it touched. So when parts are cut and put together anew, a new part costs ``a + sum((s_p - a) *
share_p)`` over the old parts p that give to it, with a the fixed share of its class: ``a * spare + whole``
with ``spare`` = 1 - sum of the shares. It stays linear in a, which each draw of the bootstrap fits anew.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from quincepath.fleet.forecast.footprints import Footprint
from quincepath.shards.versions import MapVersion

Array = NDArray[np.float64]
Ints = NDArray[np.int64]

MAX_UNSEEN_LISTED = 20  # values that are named


@dataclass(slots=True)
class Cut:
    """Parts of all footprints in a map, row by row; ``query`` is non-decreasing."""

    sets: list[str]
    query: Ints  # index of the footprint
    group: Ints  # index of the set
    spare: Array
    service: Array  # ns of one call, without the fixed share of ``spare``
    merged: Array  # bytes, the same
    calls: Array
    parts: Array  # by footprint
    homeless: float


def weights_of(footprints: Sequence[Footprint], prior: float = 4.0) -> dict[str, float]:
    """How much a value costs against others, 1 for one of which nothing is known.

    Mean of the cost a value in the parts that have it, in units of its class's mean; parts with few values
    say more (by the square), and ``prior`` parts of the mean are added to each.
    """
    sums: dict[str, list[float]] = {}
    by_kind: dict[str, list[float]] = {}
    for one in footprints:
        for part in one.parts:
            total = by_kind.setdefault(one.kind, [0.0, 0.0])
            total[0] += part.service
            total[1] += len(part.values) + part.more
    for one in footprints:
        service, values = by_kind.get(one.kind, [0.0, 0.0])
        mean = service / values if values else 0.0
        for part in one.parts:
            number = len(part.values) + part.more
            if not mean or not number:
                continue
            says = 1 / number**2
            relative = part.service / number / mean
            for value in part.values:
                there = sums.setdefault(value, [0.0, 0.0])
                there[0] += says * relative
                there[1] += says
    return {value: (found + prior) / (count + prior) for value, (found, count) in sums.items()}


def cut(footprints: Sequence[Footprint], version: MapVersion, weights: Mapping[str, float]) -> Cut:
    """Every footprint through the map."""
    places = version.places()
    sets = list(version.sets())
    number = {group: index for index, group in enumerate(sets)}
    every = [(name, group) for name, group, _values in version.entries]
    new = [(name, group, [v for v in values if v not in weights]) for name, group, values in version.entries]
    fresh = [(name, group) for name, group, unknown in new if unknown]
    rows: list[tuple[int, int, float, float, float, float]] = []
    parts = np.zeros(len(footprints))
    homeless = 0
    for index, one in enumerate(footprints):
        found: dict[tuple[str, str], list[float]] = {}
        lost = False
        for part in one.parts:
            total = sum(weights.get(value, 1.0) for value in part.values)
            for value in part.values:
                at = places.get(value)
                if at is None:
                    lost = True
                    continue
                share = weights.get(value, 1.0) / total
                there = found.setdefault(at, [0.0, 0.0, 0.0, 0.0])
                there[0] += share
                there[1] += share * part.service
                there[2] += share * part.merged
                there[3] = max(there[3], part.calls)
        homeless += lost
        if one.unlabelled or one.open:
            calls = sum(part.calls for part in one.parts) / max(1, len(one.parts))
            for at in every if one.unlabelled else fresh:
                found.setdefault(at, [0.0, 0.0, 0.0, calls])
        for (_name, group), (shares, service, merged, calls) in found.items():
            rows.append((index, number[group], 1 - shares, service, merged, calls))
        parts[index] = len(found)
    table = np.array(rows, dtype=np.float64).reshape(-1, 6)
    return Cut(
        sets, table[:, 0].astype(np.int64), table[:, 1].astype(np.int64), table[:, 2], table[:, 3],
        table[:, 4], table[:, 5], parts, homeless / max(1, len(footprints)),
    )  # fmt: skip


def by_query(values: Array, query: Ints, queries: int, group: Ints | None = None, groups: int = 1) -> Array:
    """Sums of rows: (queries, groups)."""
    place = query if group is None else query * groups + group
    sums = np.bincount(place, weights=values, minlength=queries * groups)
    return np.asarray(sums, dtype=np.float64).reshape(queries, groups)


def own(one: Footprint) -> int:
    """What a query took beyond its last part, ns."""
    return max(0, one.took - max((part.took for part in one.parts), default=one.took))


def unseen(after: MapVersion, before: MapVersion, footprints: Sequence[Footprint]) -> tuple[str, ...]:
    """Values of the new map that nobody has seen; at most ``MAX_UNSEEN_LISTED``, in the map's order."""
    known = {value for _name, _group, values in before.entries for value in values}
    known.update(value for one in footprints for part in one.parts for value in part.values)
    found = (v for _name, _group, values in after.entries for v in values if v not in known)
    return tuple(v for v, _ in zip(found, range(MAX_UNSEEN_LISTED), strict=False))
