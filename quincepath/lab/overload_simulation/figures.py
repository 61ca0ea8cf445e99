"""The record of a run, taken at clients and holders, and the figures computed from it."""

import math
from dataclasses import dataclass, field

from quincepath.lab.overload_simulation.plan import MS, SECOND, Plan

BIN_NS = 100 * MS


@dataclass(slots=True)
class Record:
    """Counts per bin of 100 ms. ``asked`` and ``good`` count users' queries, the others tries or sends."""

    bins: int
    classes: int
    holders: int
    tries: list[int] = field(default_factory=list)
    asked: list[int] = field(default_factory=list)
    good: list[int] = field(default_factory=list)
    useful: list[int] = field(default_factory=list)  # parts of queries answered in time
    first: list[int] = field(default_factory=list)
    further: list[int] = field(default_factory=list)
    admitted: list[list[int]] = field(default_factory=list)  # [bin][class]
    refused: list[list[int]] = field(default_factory=list)
    shed: list[int] = field(default_factory=list)
    shed_by_set: dict[int, int] = field(default_factory=dict)
    admitted_by_set: dict[int, int] = field(default_factory=dict)
    lost: list[int] = field(default_factory=list)  # queries whose users gave up
    trials: dict[tuple[int, int], int] = field(default_factory=dict)  # (second, holder)
    thresholds: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name in ("tries", "asked", "good", "useful", "first", "further", "shed", "lost"):
            setattr(self, name, [0] * self.bins)
        self.admitted = [[0] * self.classes for _ in range(self.bins)]
        self.refused = [[0] * self.classes for _ in range(self.bins)]


def sum_between(values: list[int], start: int, end: int) -> int:
    """Sum of the bins from ``start`` to ``end`` (ns)."""
    return sum(values[start // BIN_NS : end // BIN_NS])


def goodput(plan: Plan, record: Record, start: int, end: int) -> float:
    """Parts answered in time as a share of the capacity of all holders."""
    capacity = plan.holders * plan.cores * (end - start) / plan.work
    return sum_between(record.useful, start, end) / capacity


def worst_goodput(plan: Plan, record: Record, start: int, end: int, width: int = 5 * SECOND) -> float:
    """The lowest goodput of any window of ``width`` (ns)."""
    return min(goodput(plan, record, at, at + width) for at in range(start, end - width + 1, SECOND))


def seconds_to_recovery(record: Record, since: int, until: int, share: float = 0.95) -> float:
    """Seconds from ``since`` until service stays recovered; infinite if it has not by ``until``.

    Recovered means that in each second ``share`` of the finished queries are answered, at the first or a
    later try.
    """
    found = math.inf
    for at in range(until - SECOND, since - 1, -SECOND // 2):
        good, lost = sum_between(record.good, at, at + SECOND), sum_between(record.lost, at, at + SECOND)
        if good < share * (good + lost) or good < share * 0.9 * sum_between(record.asked, at, at + SECOND):
            break
        found = (at - since) / SECOND
    return found


def budget_use(record: Record, ratio: float, free: float, end: int) -> float:
    """Further sends as a share of the retry budget: the highest of any 5 s."""
    most = 0.0
    for at in range(SECOND, end - 5 * SECOND, 5 * BIN_NS):
        budget = ratio * sum_between(record.first, at, at + 5 * SECOND) + free * 5
        most = max(most, sum_between(record.further, at, at + 5 * SECOND) / budget if budget else 0.0)
    return most


def out_of_order(record: Record, start: int, end: int) -> float:
    """Share of the refusals that hit a class of higher worth than one admitted in the same second."""
    misplaced = refused = 0
    for at in range(start, end - SECOND + 1, SECOND):
        span = range(at // BIN_NS, (at + SECOND) // BIN_NS)
        admitted = [sum(record.admitted[n][c] for n in span) for c in range(record.classes)]
        refused_by_class = [sum(record.refused[n][c] for n in span) for c in range(record.classes)]
        left = sum(admitted)
        refused += sum(refused_by_class)
        for kind in range(record.classes - 1, -1, -1):
            ideal = min(left, admitted[kind] + refused_by_class[kind])
            left -= ideal
            misplaced += max(0, ideal - admitted[kind])
    return misplaced / refused if refused else 0.0


def threshold_swing(record: Record, start: int, end: int) -> float:
    """Highest minus lowest mean threshold, sampled every half second."""
    part = record.thresholds[start // (5 * BIN_NS) : end // (5 * BIN_NS)]
    return max(part) - min(part) if part else 0.0
