"""Configuration distribution, as ``python -m benchmarks.fleet_configuration`` measured it in virtual time.

Its cases at 2,600 brokers stand in ``benchmarks/results/fleet_configuration.json``; here they become facts of
the page. Times in seconds; a case that was not run has none, and one that never ended is an error, but for
a baseline: that way is shown beside ours because it may not end.
"""

from pathlib import Path
from typing import Any

import msgspec

from benchmarks.capacity.measuring import Measured, fact
from benchmarks.capacity.results import FILE, Fact, ResultsError
from benchmarks.capacity.target import BROKERS

SOURCE = FILE.parent / "fleet_configuration.json"
TIMES = {"median_ms": "median", "p99_ms": "99th", "most_ms": "most"}
BASELINE, COST, ORDINARY = "baseline", "cost", "ordinary_day"
NEVER = "never"  # in place of a time: not within the 15 s after the last change
HARD = "hard cases, most"


class _File(msgspec.Struct):
    rows: dict[str, dict[str, Any]]


def _read(path: Path) -> dict[str, dict[str, Any]]:
    if not path.exists():
        raise ResultsError(f"{path.name} is missing: run python -m benchmarks.fleet_configuration first")
    try:
        return msgspec.json.decode(path.read_bytes(), type=_File).rows
    except msgspec.DecodeError as error:
        raise ResultsError(f"{path.name}: {error}") from None


def _number(value: object, place: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ResultsError(f"{SOURCE.name}: {place}: {value!r}, a number was expected")
    return float(value)


def _times(case: str, row: dict[str, Any]) -> list[Fact]:
    note = f"{row.get('changes')} changes, {row.get('brokers')} brokers"
    return [
        fact(f"{case}, {name}", "s", _number(row.get(key), f"{case}: {key}") / 1000, note=note)
        for key, name in TIMES.items()
        if key in row and not (row[key] == NEVER and case.startswith(BASELINE))
    ]


def _figures(case: str, figures: dict[str, Any]) -> list[Fact]:
    """Those that are numbers; names say the unit."""
    return [
        fact(f"{case}, {name}", "as named", float(value))
        for name, value in figures.items()
        if isinstance(value, int | float) and not isinstance(value, bool)
    ]


def facts_of(rows: dict[str, dict[str, Any]]) -> tuple[Fact, ...]:
    """All facts of a results file. Raises ``ResultsError`` for a case of another size than the target's."""
    found: list[Fact] = []
    hard: list[float] = []
    for case, row in rows.items():
        if case == COST:
            found += _figures(case, row)
            continue
        if row.get("brokers", BROKERS) != BROKERS:
            raise ResultsError(f"{SOURCE.name}: {case}: {row['brokers']} brokers, {BROKERS} were expected")
        times = _times(case, row)
        found += times + _figures(case, row.get("figures", {}))
        if case not in ("calm", ORDINARY) and not case.startswith(BASELINE):
            hard += [one.value for one in times if one.name.endswith(", most")]
    if hard:
        found.append(fact(HARD, "s", max(hard), note=f"the slowest of {len(hard)} cases"))
    return tuple(found)


def measure() -> Measured:
    """No measurement of its own: takes the results in."""
    return (), facts_of(_read(SOURCE))
