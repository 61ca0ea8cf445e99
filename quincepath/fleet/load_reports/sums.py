"""Sums over a window: addition, the median of several, and conversion to totals."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from quincepath.fleet.load_reports.fields import (
    FIRST_ARRIVAL_FIELD,
    FIRST_REPLICA_SET_FIELD,
    FIRST_SEND_FIELD,
    SLOT_TIME_FIELD,
)
from quincepath.fleet.load_reports.types import (
    MAX_CLASSES,
    MAX_NAMED_TENANTS,
    MS,
    PRIORITY_BANDS,
    Count,
    LoadReportSettings,
    ReplicaSetTotal,
    SendKind,
    TenantTotal,
    Totals,
)

MIN_RELATIVE_REPORTING = (
    0.8  # sums of the same members with a lower share of the highest number of reporting members are left out
)


@dataclass(slots=True)
class Sums:
    """Sums of one member, a group or the fleet. ``age``: ns, mean of the reporting members.

    ``threshold_total``: their thresholds added up, permille.
    """

    reporting: int = 0
    age: int = 0
    values: dict[int, int] = field(default_factory=dict)  # by field
    tenant_slot_ms: dict[str, int] = field(default_factory=dict)  # ms of slots, by tenant
    tenant_waiting: dict[str, int] = field(default_factory=dict)
    waiting: int = 0
    threshold_total: int = 0


def add(parts: Sequence[Sums]) -> Sums:
    """The sum of the parts, with the heaviest tenants only."""
    total = Sums()
    for part in parts:
        total.reporting += part.reporting
        total.age += part.age * part.reporting
        total.waiting += part.waiting
        total.threshold_total += part.threshold_total
        for number, value in part.values.items():
            total.values[number] = total.values.get(number, 0) + value
        for name, value in part.tenant_slot_ms.items():
            total.tenant_slot_ms[name] = total.tenant_slot_ms.get(name, 0) + value
        for name, value in part.tenant_waiting.items():
            total.tenant_waiting[name] = total.tenant_waiting.get(name, 0) + value
    total.age = (
        total.age // total.reporting if total.reporting else max((part.age for part in parts), default=0)
    )
    return keep_heaviest(total)


def keep_heaviest(total: Sums) -> Sums:
    """Keep the tenants with the most use, and a quarter of the places for those with most waiting queries."""
    names = sorted(total.tenant_slot_ms, key=lambda name: (-total.tenant_slot_ms[name], name))[
        : MAX_NAMED_TENANTS * 3 // 4
    ]
    for name in sorted(total.tenant_waiting, key=lambda name: (-total.tenant_waiting[name], name)):
        if len(names) < MAX_NAMED_TENANTS and name not in names:
            names.append(name)
    total.tenant_slot_ms = {
        name: total.tenant_slot_ms[name] for name in names if name in total.tenant_slot_ms
    }
    total.tenant_waiting = {
        name: total.tenant_waiting[name] for name in names if name in total.tenant_waiting
    }
    return total


def lower_median(candidates: Sequence[Sums]) -> Sums:
    """The field by field median of several sums of the same members (of two the lower).

    Sums with far fewer reporting members than the best one are left out: an aggregator that has just started
    knows little.
    """
    most_reporting = max(sums.reporting for sums in candidates)
    comparable = [sums for sums in candidates if sums.reporting >= MIN_RELATIVE_REPORTING * most_reporting]
    if len(comparable) == 1:
        return comparable[0]
    middle_index = (len(comparable) - 1) // 2

    def median_of(values: list[int]) -> int:
        return sorted(values)[middle_index]

    return Sums(
        median_of([sums.reporting for sums in comparable]),
        median_of([sums.age for sums in comparable]),
        {
            key: median_of([sums.values.get(key, 0) for sums in comparable])
            for key in sorted(set().union(*(each.values for each in comparable)))
        },
        {
            key: median_of([sums.tenant_slot_ms.get(key, 0) for sums in comparable])
            for key in sorted(set().union(*(each.tenant_slot_ms for each in comparable)))
        },
        {
            key: median_of([sums.tenant_waiting.get(key, 0) for sums in comparable])
            for key in sorted(set().union(*(each.tenant_waiting for each in comparable)))
        },
        median_of([sums.waiting for sums in comparable]),
        median_of([sums.threshold_total for sums in comparable]),
    )


def to_totals(at: int, live: int, sums: Sums, settings: LoadReportSettings) -> Totals:
    """The totals that consumers read."""
    rows = [[0.0] * len(Count) for _ in range(MAX_CLASSES)]
    sends, arrivals = [0.0] * len(SendKind), [0.0] * PRIORITY_BANDS
    replica_sets: dict[int, list[float]] = {}
    for number, value in sums.values.items():
        if number < FIRST_SEND_FIELD:
            rows[number // len(Count)][number % len(Count)] = float(value)
        elif number < FIRST_SEND_FIELD + len(SendKind):
            sends[number - FIRST_SEND_FIELD] = float(value)
        elif FIRST_ARRIVAL_FIELD <= number < FIRST_ARRIVAL_FIELD + PRIORITY_BANDS:
            arrivals[number - FIRST_ARRIVAL_FIELD] = float(value)
        elif number >= FIRST_REPLICA_SET_FIELD:
            replica_sets.setdefault((number - FIRST_REPLICA_SET_FIELD) // 2, [0.0, 0.0])[number % 2] = float(
                value
            )
    while rows and not any(rows[-1]):
        rows.pop()
    names = sorted({*sums.tenant_slot_ms, *sums.tenant_waiting})
    tenants = {
        name: TenantTotal(
            float(sums.tenant_slot_ms.get(name, 0) * MS), float(sums.tenant_waiting.get(name, 0))
        )
        for name in names
    }
    unnamed_slot_ns = max(sums.values.get(SLOT_TIME_FIELD, 0) - sum(sums.tenant_slot_ms.values()), 0) * MS
    return Totals(
        at,
        settings.window,
        min(sums.reporting, live),
        live,
        tuple(map(tuple, rows)),
        tuple(sends),
        tuple(arrivals),
        tenants,
        TenantTotal(float(unnamed_slot_ns), float(max(sums.waiting - sum(sums.tenant_waiting.values()), 0))),
        {replica_set: ReplicaSetTotal(*pair) for replica_set, pair in sorted(replica_sets.items())},
        sums.threshold_total / sums.reporting / 1000 if sums.reporting else 0.0,
    )
