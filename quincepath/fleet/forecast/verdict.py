"""Accept, refuse or not known, by configured limits. Pure.

Refused is what is over a limit with its whole bar; accepted what is under every limit with its whole bar;
where a bar crosses a limit it is not known, and so it is where the sample cannot speak for what is to come.
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
    """The most that a figure may be. ``where`` "": every set or class (for ``bytes`` and ``miss``: the
    whole).
    """

    kind: FigureKind
    most: float
    where: str = ""

    def __post_init__(self) -> None:
        if self.most <= 0:
            raise ValueError(f"limit of {self.kind} {self.where!r}: {self.most}; expected above 0")

    def covers(self, place: FigureKey) -> bool:
        """Whether the limit is for figures of this kind and place."""
        kind, where = place
        whole = self.kind in (FigureKind.BYTES, FigureKind.MISS) or self.where != ""
        return kind == self.kind and (where == self.where if whole else True)


@dataclass(slots=True, frozen=True)
class Rules:
    """``least``: footprints. ``age_most``: ns from the end of the sample to now. ``hours_least``: share of
    the footprints whose hour of the day is at most ``hours_apart`` from the hour that the map is judged for.
    ``heard_least``: share of the brokers. ``homeless_most``: share of queries with a value without a
    place.
    """

    limits: tuple[Limit, ...]
    least: int = 400
    age_most: int = 2 * HOUR_NS
    hours_apart: int = 1
    hours_least: float = 0.9
    heard_least: float = 0.9
    homeless_most: float = 0.0

    def __post_init__(self) -> None:
        if not self.limits:
            raise ValueError("limits: none; expected at least one")


@dataclass(slots=True, frozen=True)
class Violation:
    """A limit that is passed, or crossed by a bar: the figure, its bar, and the set or class."""

    limit: Limit
    place: FigureKey
    figure: Figure
    at: str  # shard or holder as far as it is known: "set NAME" or "class NAME"

    def __str__(self) -> str:
        one = self.figure
        return (
            f"{self.place[0]} of {self.at}: {one.value:.4g} (90%: {one.low:.4g} to {one.high:.4g}), "
            f"limit {self.limit.most:.4g}"
        )


@dataclass(slots=True, frozen=True)
class Verdict:
    """``over``: limits that are passed (refuse) or may be (not known), worst first. ``why``: each reason in
    words.
    """

    answer: Answer
    over: tuple[Violation, ...]
    why: tuple[str, ...]


def verdict(found: Forecast, rules: Rules, now: int, due: int | None = None) -> Verdict:
    """``now``: ns since the epoch; ``due``: when the map is to be used, ``now`` if it is not said."""
    passed, crossed = [], []
    for limit in rules.limits:
        places = [place for place in sorted(found.figures) if limit.covers(place)]
        for place in places:
            one = found.figures[place]
            over = Violation(limit, place, one, _at(place))
            if one.low > limit.most:
                passed.append(over)
            elif one.high > limit.most:
                crossed.append(over)
    doubts = _doubts(found, rules, now, now if due is None else due)
    if doubts:
        over_all = _worst([*passed, *crossed])
        return Verdict(Answer.NOT_KNOWN, over_all, (*doubts, *map(str, over_all)))
    if passed:
        return Verdict(Answer.REFUSE, _worst(passed), tuple(map(str, _worst(passed))))
    if crossed:
        over_all = _worst(crossed)
        return Verdict(
            Answer.NOT_KNOWN, over_all, tuple(f"the bar crosses the limit: {one}" for one in over_all)
        )
    return Verdict(Answer.ACCEPT, (), ())


def _worst(found: list[Violation]) -> tuple[Violation, ...]:
    return tuple(sorted(found, key=lambda one: (-one.figure.value / one.limit.most, one.place)))


def _at(place: FigureKey) -> str:
    kind, where = place
    if kind in (FigureKind.CALLS, FigureKind.LOAD):
        return f"a holder of set {where!r}"
    return f"class {where!r}" if where else "all queries"


def _doubts(found: Forecast, rules: Rules, now: int, due: int) -> tuple[str, ...]:
    """Why the sample cannot tell, each with what was found and what is asked."""
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
        share for at, share in enumerate(found.hours)
        if min((at - hour) % 24, (hour - at) % 24) <= rules.hours_apart
    )  # fmt: skip
    if found.queries and near < rules.hours_least:
        most = max(range(24), key=lambda at: found.hours[at])
        why.append(f"sample from another hour: most of it from {most}:00 UTC, it is judged for {hour}:00 UTC")
    if found.heard < rules.heard_least * found.of:
        why.append(f"too many brokers unheard: {found.of - found.heard} of {found.of}")
    if found.full:
        why.append("sample of too many sources: some were left out")
    if found.unseen:
        why.append(f"values never seen: {', '.join(found.unseen)}")
    if found.homeless > rules.homeless_most:
        why.append(f"values without a shard in {found.homeless:.2%} of the queries")
    return tuple(why)
