"""The tables of the page as text cells, worked out from the results. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.capacity.ranking import rank
from benchmarks.capacity.results import Group, LimitFound, Results
from benchmarks.capacity.rows import NOT_KNOWN, Row, RowSpec, work_out

NONE = "–"
DIFFER = 0.1  # of a value, from which on the other fit is shown beside it
MARK = " **(grows faster than linearly)**"
ROW_HEADER = (
    "quantity", "mechanism", "sizes measured", "slope ± standard error", "residual", "exponent",
    "at the target", "budget", "factor", "how known",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Table:
    """``name`` stands in the page's markers; the first cell of each row names it."""

    name: str
    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def number(value: float) -> str:
    """Three significant digits."""
    rounded = float(f"{value:.3g}")
    if rounded == 0:
        return "0"
    if abs(rounded) >= 1000:
        return f"{rounded:,.0f}"
    return f"{rounded:.2e}" if abs(rounded) < 1e-4 else f"{rounded:g}"


def factor_text(factor: float | None) -> str:
    """How far over or under a budget."""
    if factor is None:
        return NONE
    if factor == 1:
        return "at the budget"
    if factor > 1:
        return f"{number(factor)} times over"
    return f"{number(1 / factor)} times under" if factor > 0 else "nothing used"


def with_unit(value: float | None, unit: str) -> str:
    """A number and its unit, where it has one."""
    return NONE if value is None else f"{number(value)} {unit}".rstrip()


def value_text(row: Row) -> str:
    """The value at the target; where extrapolated and the two fits differ, also by the other one."""
    if row.value is None:
        return NOT_KNOWN
    text = with_unit(row.value, row.spec.unit)
    if row.other is None or abs(row.other - row.value) <= DIFFER * abs(row.value):
        return text
    return f"{text} (by the other fit {with_unit(row.other, row.spec.unit)})"


def row_cells(row: Row) -> tuple[str, ...]:
    """One row of a role's table."""
    spec, only = row.spec, row.only
    sizes = slope = residual = exponent = NONE
    if only is not None and only.fit is not None and only.series is not None:
        line, power, scale = only.fit.line, only.fit.power, only.term.scale
        sizes = ", ".join(number(size) for size in only.series.sizes) + f" {only.series.per}"
        spread = with_unit(line.slope_error * scale, spec.unit)
        slope = f"{number(line.slope * scale)} ± {spread} each"
        residual = f"{line.residual:.1%}"
        exponent = f"{power.exponent:.2f} ± {power.exponent_error:.2f}" if power is not None else NONE
    exponent += MARK if row.superlinear else ""
    value, budget = value_text(row), with_unit(spec.budget, spec.unit)
    known = f"{row.known}, worked out" if spec.worked_out and row.parts else row.known
    return (
        spec.quantity, spec.mechanism, sizes, slope, residual, exponent, value, budget,
        factor_text(row.factor), known,
    )  # fmt: skip


def role_tables(rows: Sequence[Row]) -> list[Table]:
    """One table a role, in the order of the rows."""
    found: dict[str, list[tuple[str, ...]]] = {}
    for row in rows:
        found.setdefault(row.spec.role, []).append(row_cells(row))
    return [Table(role, ROW_HEADER, tuple(cells)) for role, cells in found.items()]


def limit_table(limits: Sequence[LimitFound]) -> Table:
    """The limits that the target's configuration meets."""
    header = ("limit", "where", "allows", "needed", "factor", "answer")
    rows = [
        (
            one.name, f"`{one.place}`", f"{number(one.limit)} {one.unit}", f"{number(one.needed)} {one.unit}",
            number(one.factor), one.answer.replace("|", "/"),
        )
        for one in limits
    ]  # fmt: skip
    return Table("limits", header, tuple(rows))


def ranking_table(rows: Sequence[Row], limits: Sequence[LimitFound]) -> Table:
    """What is missing first."""
    header = ("place", "mechanism", "why", "by", "factor")
    ranked = [
        (str(place), one.mechanism, one.why, one.evidence, NONE if one.factor is None else number(one.factor))
        for place, one in enumerate(rank(rows, limits), 1)
    ]
    return Table("ranking", header, tuple(ranked))


def runs_table(groups: dict[str, Group]) -> Table:
    """When and on what each group was measured."""
    header = ("group", "taken at (UTC)", "took", "load average, before and after", "cores", "Python")
    rows = [
        (
            name, group.taken_at, f"{group.seconds:g} s", f"{group.load[0]:g}, {group.load[1]:g}",
            str(group.cores), group.python,
        )
        for name, group in sorted(groups.items())
    ]  # fmt: skip
    return Table("runs", header, tuple(rows))


def measured_tables(results: Results, specs: Sequence[RowSpec]) -> list[Table]:
    """All that the page shows, but the scale runs. Raises ``ResultsError`` where a result is missing."""
    rows = work_out(results, specs)
    return [
        *role_tables(rows),
        limit_table(results.limits),
        ranking_table(rows, results.limits),
        runs_table(results.groups),
    ]
