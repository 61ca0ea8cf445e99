"""From raw points to rows of the page: a row is a sum of terms, each a fitted series or a fact. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import cached_property

from benchmarks.capacity.fit import Fit, FitError, fit
from benchmarks.capacity.results import Results, ResultsError, Series

NOT_KNOWN = "not known"
SOCKETS, SIMULATED = "measured on sockets", "simulated"


@dataclass(slots=True, frozen=True)
class Term:
    """One part of a row: a series at a size, or a fact where ``at`` is None; times ``scale`` and ``by``."""

    group: str
    name: str
    at: float | None = None
    scale: float = 1.0
    by: "Term | None" = None

    def all(self) -> "tuple[Term, ...]":
        """Itself and what it is multiplied by."""
        return (self,) if self.by is None else (self, *self.by.all())


@dataclass(slots=True, frozen=True)
class RowSpec:
    """What a row says and how it is worked out. ``terms`` without any: not known.

    ``worked_out``: by counts and prices, since no process stands for the role or the whole. ``carried``: a
    mechanism exists at all; ``optional``: it does once a group of its results is there, and each of its
    values is not known as long as it is not among them.
    ``budget`` in the row's unit, None where the operators state none.
    """

    role: str
    quantity: str
    mechanism: str
    unit: str
    terms: tuple[Term, ...] = ()
    budget: float | None = None
    worked_out: bool = False
    carried: bool = True
    optional: bool = False

    @property
    def place(self) -> str:
        """For errors."""
        return f"{self.role}: {self.quantity}"


@dataclass(frozen=True)
class TermResult:
    """A term's value at the target. ``beyond``: target by the largest size measured, 1 at the least."""

    term: Term
    value: float
    evidence: str
    beyond: float = 1.0
    series: Series | None = None
    fit: Fit | None = None
    other: float | None = None  # where extrapolated: by the fit that was not chosen


@dataclass(frozen=True)
class Row:
    """A row with its results."""

    spec: RowSpec
    parts: tuple[TermResult, ...]
    carried: bool = True  # by some mechanism that exists

    @cached_property
    def value(self) -> float | None:
        """At the target, in the row's unit; None: not known."""
        return sum(part.value for part in self.parts) if self.parts else None

    @cached_property
    def other(self) -> float | None:
        """The value where extrapolated terms go by their other fit; None where nothing is extrapolated."""
        if not any(part.other is not None for part in self.parts):
            return None
        return sum(part.value if part.other is None else part.other for part in self.parts)

    @property
    def factor(self) -> float | None:
        """Times the budget; None without a budget or a value."""
        if self.value is None or not self.spec.budget:
            return None
        return self.value / self.spec.budget

    @property
    def only(self) -> TermResult | None:
        """The one fitted series of a row that is no sum."""
        if len(self.parts) != 1 or self.parts[0].fit is None or self.parts[0].term.by is not None:
            return None
        return self.parts[0]

    @property
    def superlinear(self) -> bool:
        """Whether any term grows faster than linearly."""
        return any(part.fit is not None and part.fit.superlinear for part in self.parts)

    @property
    def known(self) -> str:
        """How the value is known; a sum is known as well as its weakest term."""
        if not self.parts:
            return NOT_KNOWN
        beyond = max(part.beyond for part in self.parts)
        if beyond > 1:
            return f"extrapolated beyond {beyond:.2g} times"
        weakest = any(part.evidence == SIMULATED for part in self.parts)
        return SIMULATED if weakest else SOCKETS


def term_result(results: Results, term: Term, place: str) -> TermResult:
    """Work out one term. Raises ``ResultsError`` naming the row where its result is missing or unfit."""
    found = _alone(results, term, place)
    if term.by is None:
        return found
    other = term_result(results, term.by, place)
    evidence = SIMULATED if SIMULATED in (found.evidence, other.evidence) else SOCKETS
    beyond = max(found.beyond, other.beyond)
    second = None if found.other is None else found.other * other.value
    return replace(found, value=found.value * other.value, evidence=evidence, beyond=beyond, other=second)


def _alone(results: Results, term: Term, place: str) -> TermResult:
    try:
        if term.at is None:
            fact = results.fact(term.group, term.name)
            return TermResult(term, fact.value * term.scale, fact.evidence)
        series = results.series(term.group, term.name)
        found = fit(series.sizes, series.medians)
    except (ResultsError, FitError) as error:
        raise ResultsError(f"row {place!r}, result {term.group}/{term.name}: {error}") from None
    measured = dict(zip(series.sizes, series.medians, strict=True))
    value = measured[term.at] if term.at in measured else found.at(term.at)
    beyond = max(term.at / max(series.sizes), 1.0)
    other = found.other_at(term.at) if beyond > 1 else None
    other = None if other is None else other * term.scale
    return TermResult(term, value * term.scale, series.evidence, beyond, series, found, other)


def _row(results: Results, spec: RowSpec) -> Row:
    needed = [one for term in spec.terms for one in term.all()]
    carried = spec.carried and not (spec.optional and any(one.group not in results.groups for one in needed))
    if spec.optional and not all(results.has(one.group, one.name) for one in needed):
        return Row(spec, (), carried)
    return Row(spec, tuple(term_result(results, term, spec.place) for term in spec.terms), carried)


def work_out(results: Results, specs: Iterable[RowSpec]) -> list[Row]:
    """All rows; raises ``ResultsError`` for the first whose results are missing."""
    return [_row(results, spec) for spec in specs]
