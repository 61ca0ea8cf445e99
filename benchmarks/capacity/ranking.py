"""What is missing first: what nothing carries, then what ends below the target, then by factor. Pure."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.results import LimitFound
from benchmarks.capacity.rows import Row

NOTHING, ENDS, OVER = "nothing carries it", "ends below the target", "over its budget"
ORDER = (NOTHING, ENDS, OVER)


@dataclass(slots=True, frozen=True)
class Ranked:
    """One mechanism and the worst that is known of it. ``factor`` is None where nothing carries it."""

    mechanism: str
    why: str
    evidence: str  # the row or limit that says so
    factor: float | None


def _of_row(row: Row) -> Ranked | None:
    spec = row.spec
    if not row.carried:
        return Ranked(spec.mechanism, NOTHING, spec.place, row.factor)
    if row.factor is not None and row.factor > 1:
        return Ranked(spec.mechanism, OVER, spec.place, row.factor)
    return None


def _of_limit(limit: LimitFound) -> Ranked | None:
    if limit.factor <= 1:
        return None
    return Ranked(limit.mechanism, ENDS, f"limit: {limit.name}", limit.factor)


def _key(one: Ranked) -> tuple[int, float]:
    return ORDER.index(one.why), -(one.factor or 0.0)


def rank(rows: Iterable[Row], limits: Sequence[LimitFound]) -> list[Ranked]:
    """Each mechanism once, by its worst finding; equals stay in the order of the rows."""
    found = [_of_row(row) for row in rows] + [_of_limit(limit) for limit in limits]
    worst: dict[str, Ranked] = {}
    for one in sorted((one for one in found if one is not None), key=_key):
        worst.setdefault(one.mechanism, one)
    return sorted(worst.values(), key=_key)
