"""The tables of the page as text cells, worked out from the results. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity.ranking import rank
from benchmarks.capacity.results import Group, LimitFound, Results
from benchmarks.capacity.rows import NOT_KNOWN, Row, RowSpec, work_out
from benchmarks.capacity.target import BROKERS

NONE = "–"
MARK = " **(grows faster than linearly)**"
ROW_HEADER = (
    "quantity", "mechanism", "sizes measured", "slope ± standard error", "residual", "exponent",
    "at the target", "budget", "factor", "how known",
)  # fmt: skip
SCALE_SIZES = (100, 300, 900, BROKERS)


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
    if factor > 1:
        return f"{number(factor)} times over"
    return f"{number(1 / factor)} times under" if factor > 0 else "nothing used"


def row_cells(row: Row) -> tuple[str, ...]:
    """One row of a role's table."""
    spec, only = row.spec, row.only
    sizes = slope = residual = exponent = NONE
    if only is not None and only.fit is not None and only.series is not None:
        line, power, scale = only.fit.line, only.fit.power, only.term.scale
        sizes = ", ".join(number(size) for size in only.series.sizes) + f" {only.series.per}"
        slope = f"{number(line.slope * scale)} ± {number(line.slope_error * scale)} {spec.unit} each"
        residual = f"{line.residual:.1%}"
        exponent = f"{power.exponent:.2f} ± {power.exponent_error:.2f}" if power is not None else NONE
    exponent += MARK if row.superlinear else ""
    value = NOT_KNOWN if row.value is None else f"{number(row.value)} {spec.unit}"
    budget = NONE if spec.budget is None else f"{number(spec.budget)} {spec.unit}"
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


def _run_cell(run: dict[str, Any] | None, name: str) -> str:
    value = None if run is None else run.get(name)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int | float):
        return number(float(value))
    return NOT_KNOWN if value is None else str(value)


SCALE_COLUMNS = {
    "real": "of these real", "bytes_a_broker": "bytes a second a broker", "cpu_a_broker": "core a broker",
    "memory_a_broker": "bytes of memory a broker", "kill_known_s": "s until all know of a kill",
    "change_known_s": "s until all know of a change", "void": "void",
}  # fmt: skip


def scale_table(runs: Sequence[dict[str, Any]]) -> Table:
    """The newest scale run of each size; sizes that were not run are not known."""
    newest = {run.get("brokers"): run for run in runs}
    rows = [
        (str(size), *(_run_cell(newest.get(size), name) for name in SCALE_COLUMNS)) for size in SCALE_SIZES
    ]
    return Table("scale", ("brokers", *SCALE_COLUMNS.values()), tuple(rows))


def all_tables(results: Results, specs: Sequence[RowSpec]) -> list[Table]:
    """All that the page shows. Raises ``ResultsError`` where a row's result is missing."""
    rows = work_out(results, specs)
    return [
        *role_tables(rows),
        limit_table(results.limits),
        ranking_table(rows, results.limits),
        scale_table(results.scale_runs),
        runs_table(results.groups),
    ]
