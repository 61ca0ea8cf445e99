"""What the commands do, apart from the command line: measure, merge scale runs, write and check the page."""

import importlib
import json
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.capacity import page
from benchmarks.capacity.measuring import Measured, run_group
from benchmarks.capacity.plan import ROWS
from benchmarks.capacity.results import FILE, Results, ResultsError, load, store
from benchmarks.capacity.rows import RowSpec
from benchmarks.capacity.tables import all_tables

GROUPS = ("module", "driver", "frames", "sockets", "listing")
LIMITS = "limits"
LINE_MOST = 1 << 20  # bytes of one scale run's line


def check_groups(names: Iterable[str]) -> None:
    """Raise ``ResultsError`` for a name that is no group."""
    for name in names:
        if name not in (*GROUPS, LIMITS):
            raise ResultsError(f"group {name!r}: expected one of {', '.join((*GROUPS, LIMITS))}")


def measure_group(results: Results, name: str) -> Results:
    """One group measured anew; the others stay as they are."""
    module = importlib.import_module(f"benchmarks.capacity.{name}")
    if name == LIMITS:
        return msgspec.structs.replace(results, limits=module.found_limits())
    measure: Callable[[], Measured] = module.measure
    return msgspec.structs.replace(results, groups={**results.groups, name: run_group(measure)})


def measure(names: Sequence[str], path: Path, say: Callable[[str], None]) -> None:
    """Measure these groups, or all; each is kept as soon as it is there."""
    check_groups(names)
    for name in names or (*GROUPS, LIMITS):
        say(f"{name} …")
        store(measure_group(load(path), name), path)


def read_scale_line(line: str, place: str) -> dict[str, Any]:
    """One line of the ``scale`` command. Raises ``ResultsError``."""
    if len(line) > LINE_MOST:
        raise ResultsError(f"{place}: {len(line)} characters, at most {LINE_MOST} expected")
    try:
        found = json.loads(line)
    except ValueError as error:
        raise ResultsError(f"{place}: {error}; a line of JSON was expected") from None
    brokers = found.get("brokers") if isinstance(found, dict) else None
    if not isinstance(brokers, int) or isinstance(brokers, bool) or brokers < 1:
        raise ResultsError(f"{place}: brokers {brokers!r}, a number of brokers above 0 was expected")
    return dict(found)


def take_scale(paths: Iterable[Path], path: Path) -> int:
    """Merge scale runs into the results: the newest of each size stays. Returns how many were read."""
    results, count = load(path), 0
    runs = {run.get("brokers"): run for run in results.scale_runs}
    for file in paths:
        for number, line in enumerate(file.read_text().splitlines(), 1):
            if line.strip():
                run = read_scale_line(line, f"{file.name}:{number}")
                runs[run["brokers"]] = run
                count += 1
    ordered = tuple(sorted(runs.values(), key=lambda run: int(run["brokers"])))
    store(msgspec.structs.replace(results, scale_runs=ordered), path)
    return count


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
