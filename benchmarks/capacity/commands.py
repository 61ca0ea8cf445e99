"""What the commands do, apart from the command line: measure, merge scale runs, write and check the page."""

import importlib
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity import page
from benchmarks.capacity.measuring import Measured, run_group
from benchmarks.capacity.plan import ROWS
from benchmarks.capacity.results import FILE, LimitFound, Results, ResultsError, load, store
from benchmarks.capacity.rows import RowSpec
from benchmarks.capacity.scale_runs import mechanisms_of_scale, merged, read_line, runs_of_scale
from benchmarks.capacity.tables import Table, measured_tables

GROUPS = (
    "module", "driver", "frames", "sockets", "listing", "view", "faults", "totals", "followers", "cold",
    "exchanges", "quality",
)  # fmt: skip
LATER = ("configuration",)  # takes in what another benchmark has written; measured when named
LIMITS = "limits"


def check_groups(names: Iterable[str]) -> None:
    """Raise ``ResultsError`` for a name that is no group."""
    for name in names:
        if name not in (*GROUPS, *LATER, LIMITS):
            raise ResultsError(f"group {name!r}: expected one of {', '.join((*GROUPS, *LATER, LIMITS))}")


def measure_group(name: str, path: Path) -> None:
    """One group measured anew; the others stay as they are when it is done."""
    module = importlib.import_module(f"benchmarks.capacity.{name}")
    if name == LIMITS:
        limits: tuple[LimitFound, ...] = module.found_limits()
        store(msgspec.structs.replace(load(path), limits=limits), path)
        return
    measured: Callable[[], Measured] = module.measure
    group = run_group(measured)
    results = load(path)
    store(msgspec.structs.replace(results, groups={**results.groups, name: group}), path)


def measure(names: Sequence[str], path: Path, say: Callable[[str], None]) -> None:
    """Measure these groups, or all; each is kept as soon as it is there."""
    check_groups(names)
    for name in names or (*GROUPS, LIMITS):
        say(f"{name} …")
        measure_group(name, path)


def take_scale(paths: Iterable[Path], path: Path) -> int:
    """Merge scale runs into the results: the newest of each name stays. Returns how many were read."""
    results = load(path)
    found = [
        read_line(line, f"{file.name}:{number}")
        for file in paths
        for number, line in enumerate(file.read_text().splitlines(), 1)
        if line.strip()
    ]
    store(msgspec.structs.replace(results, scale_runs=merged(results.scale_runs, found)), path)
    return len(found)


def all_tables(results: Results, specs: Sequence[RowSpec]) -> list[Table]:
    """All that the page shows. Raises ``ResultsError`` where a row's result is missing."""
    runs = results.scale_runs
    return [*measured_tables(results, specs), runs_of_scale(runs), mechanisms_of_scale(runs)]


def check(text: str, results: Results, specs: Sequence[RowSpec] = ROWS) -> list[str]:
    """What the page says that the results do not, and what either lacks."""
    try:
        return page.compare(text, all_tables(results, specs))
    except ResultsError as error:
        return [str(error)]


def check_files(page_path: Path = page.PAGE, results_path: Path = FILE) -> list[str]:
    """The same for the files of the repository."""
    if not page_path.exists():
        return [f"{page_path.name} is missing"]
    try:
        return check(page_path.read_text(), load(results_path))
    except ResultsError as error:
        return [str(error)]


def write_files(page_path: Path = page.PAGE, results_path: Path = FILE) -> None:
    """Fill the page's tables in. Raises ``ResultsError`` or ``PageError``; then the page stays as it is."""
    tables = all_tables(load(results_path), ROWS)
    page_path.write_text(page.filled(page_path.read_text(), tables))
