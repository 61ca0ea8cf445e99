"""Accepts or refuses a map by configured limits, or says that it is not known. Pure.

Refused if a figure is over a limit with its whole interval; accepted if every figure is under its limits with
its whole interval. Not known if an interval crosses a limit, or if the sample is not representative.
"""

from dataclasses import dataclass
from enum import StrEnum

from quincepath.fleet.forecast.footprints import HOUR_NS
from quincepath.fleet.forecast.types import Figure, FigureKey, FigureKind, Forecast


class Answer(StrEnum):
    """What the forecast says of a map."""

    ACCEPT = "accept"
    REFUSE = "refuse"
    NOT_KNOWN = "not known"


@dataclass(slots=True, frozen=True)
class Limit:
    """The maximum of a figure. ``where`` "": every set or class (for ``bytes`` and ``miss``: all queries
    together).
    """

    kind: FigureKind
    most: float
    where: str = ""

    def __post_init__(self) -> None:
        if self.most <= 0:
            raise ValueError(f"limit of {self.kind} {self.where!r}: {self.most}; expected above 0")

    def covers(self, key: FigureKey) -> bool:
        """Whether the limit applies to this figure."""
        kind, where = key
        exact = self.kind in (FigureKind.BYTES, FigureKind.MISS) or self.where != ""
        return kind == self.kind and (where == self.where if exact else True)


@dataclass(slots=True, frozen=True)
class Rules:
    """Limits of figures, and requirements of the sample. ``least``: footprints. ``age_most``: ns from the end
    of the sample to now. ``hours_least``: share of the footprints whose hour of the day is at most
    ``hours_apart`` from the hour that the map is judged for. ``heard_least``: share of the brokers.
    ``unplaced_most``: share of queries with a value that has no shard.
    """

    limits: tuple[Limit, ...]
    least: int = 400
    age_most: int = 2 * HOUR_NS
    hours_apart: int = 1
    hours_least: float = 0.9
    heard_least: float = 0.9
    unplaced_most: float = 0.0

    def __post_init__(self) -> None:
        if not self.limits:
            raise ValueError("limits: none; expected at least one")


@dataclass(slots=True, frozen=True)
class Violation:
    """A limit that is exceeded, or crossed by an interval: the figure and the set or class it is of."""

    limit: Limit
    key: FigureKey
    figure: Figure
    subject: str  # "a holder of set NAME", "class NAME" or "all queries"

    def __str__(self) -> str:
        figure = self.figure
        return (
            f"{self.key[0]} of {self.subject}: {figure.value:.4g} "
            f"(90%: {figure.low:.4g} to {figure.high:.4g}), limit {self.limit.most:.4g}"
        )


@dataclass(slots=True, frozen=True)
class Verdict:
    """``violations``: limits that are exceeded (refuse) or may be (not known), worst first. ``why``: each
    reason as text.
    """

    answer: Answer
    violations: tuple[Violation, ...]
    why: tuple[str, ...]


def verdict(found: Forecast, rules: Rules, now: int, due: int | None = None) -> Verdict:
    """``now``: ns since the epoch; ``due``: when the map is to be used, by default ``now``."""
    exceeded, crossed = [], []
    for limit in rules.limits:
        keys = [key for key in sorted(found.figures) if limit.covers(key)]
        for key in keys:
            figure = found.figures[key]
            violation = Violation(limit, key, figure, _subject(key))
            if figure.low > limit.most:
                exceeded.append(violation)
            elif figure.high > limit.most:
                crossed.append(violation)
    doubts = _doubts(found, rules, now, now if due is None else due)
    if doubts:
        violations = _worst_first([*exceeded, *crossed])
        return Verdict(Answer.NOT_KNOWN, violations, (*doubts, *map(str, violations)))
    if exceeded:
        return Verdict(Answer.REFUSE, _worst_first(exceeded), tuple(map(str, _worst_first(exceeded))))
    if crossed:
        violations = _worst_first(crossed)
        return Verdict(
            Answer.NOT_KNOWN,
            violations,
            tuple(f"the bar crosses the limit: {one}" for one in violations),
        )
    return Verdict(Answer.ACCEPT, (), ())


def _worst_first(found: list[Violation]) -> tuple[Violation, ...]:
    return tuple(sorted(found, key=lambda one: (-one.figure.value / one.limit.most, one.key)))


def _subject(key: FigureKey) -> str:
    kind, where = key
    if kind in (FigureKind.CALLS, FigureKind.LOAD):
        return f"a holder of set {where!r}"
    return f"class {where!r}" if where else "all queries"


def _doubts(found: Forecast, rules: Rules, now: int, due: int) -> tuple[str, ...]:
    """Why the sample is not representative: for each reason, what was found and what is required."""
    why = []
    if found.queries < rules.least:
        why.append(f"sample too small: {found.queries} footprints, at least {rules.least} are asked")
    age = now - found.until
    if age > rules.age_most or age < -HOUR_NS:
        why.append(
            f"sample too old: ended {age / HOUR_NS:.1f} h ago, "
            f"at most {rules.age_most / HOUR_NS:.1f} h are asked"
        )
    hour = due // HOUR_NS % 24
    near = sum(
        share for at, share in enumerate(found.hour_shares)
        if min((at - hour) % 24, (hour - at) % 24) <= rules.hours_apart
    )  # fmt: skip
    if found.queries and near < rules.hours_least:
        most = max(range(24), key=lambda at: found.hour_shares[at])
        why.append(f"sample from another hour: most of it from {most}:00 UTC, it is judged for {hour}:00 UTC")
    if found.brokers_heard < rules.heard_least * found.brokers:
        why.append(f"too many brokers unheard: {found.brokers - found.brokers_heard} of {found.brokers}")
    if found.truncated:
        why.append("sample of too many sources: some were left out")
    if found.unseen:
        why.append(f"values never seen: {', '.join(found.unseen)}")
    if found.unplaced > rules.unplaced_most:
        why.append(f"values without a shard in {found.unplaced:.2%} of the queries")
    return tuple(why)
