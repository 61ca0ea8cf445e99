"""Reader for tables of test cases in YAML: inputs and expected outputs.

A table is ``tests/conformance/NAME.yaml``: ``about``, ``runner``, and ``rows``, each with ``name``, ``given``
and ``then``. Its runner is a function that takes ``given`` and answers a mapping; a row holds when each key
of ``then`` is in it with an equal value. ``tests/conformance/run_RUNNER.py`` registers it with ``@runner``.
"""

import importlib
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

HERE = Path(__file__).parent
Run = Callable[[Any], dict[str, Any]]
RUNNERS: dict[str, Run] = {}


def runner(name: str) -> Callable[[Run], Run]:
    """Register a function under the name that tables use."""

    def register(run: Run) -> Run:
        if name in RUNNERS:
            raise ValueError(f"runner {name!r} is registered twice")
        RUNNERS[name] = run
        return run

    return register


def rows_of(path: Path) -> tuple[Run, list[dict[str, Any]]]:
    """A table's runner and rows. ValueError if it has no rows, or a row is incomplete or expects nothing."""
    table = YAML(typ="safe").load(path.read_text())
    rows = table.get("rows") if isinstance(table, dict) else None
    if not rows:
        raise ValueError(f"{path.name}: rows: none; expected at least one")
    for number, row in enumerate(rows):
        if set(row) != {"name", "given", "then"} or not row["then"]:
            raise ValueError(
                f"{path.name}: rows[{number}]: expected name, given and a then that is not empty"
            )
    if len({row["name"] for row in rows}) < len(rows):
        raise ValueError(f"{path.name}: rows: two of one name")
    if table["runner"] not in RUNNERS:
        importlib.import_module(f"tests.conformance.run_{table['runner']}")
    return RUNNERS[table["runner"]], rows


def unread_files(folder: Path, read: Collection[Path]) -> list[str]:
    """Files in and below a folder, except Python's, that are not in ``read``."""
    files = (path for path in folder.rglob("*") if path.is_file() and "__pycache__" not in path.parts)
    left = [path for path in files if path.suffix != ".py" and path not in read]
    return sorted(str(path.relative_to(folder)) for path in left)


def runners_without_table(folder: Path) -> list[str]:
    """Runners (``run_NAME.py``) that no table of a folder names."""
    named = {YAML(typ="safe").load(path.read_text())["runner"] for path in folder.glob("*.yaml")}
    there = {path.stem.removeprefix("run_") for path in folder.glob("run_*.py")}
    return sorted(there - named)


def differences(run: Run, row: dict[str, Any]) -> list[str]:
    """The keys whose values differ from those that the row expects."""
    found, missing = run(row["given"]), object()
    return [
        f"{row['name']}: {key}: {found.get(key)!r}, the table says {value!r}"
        for key, value in row["then"].items()
        if found.get(key, missing) != value
    ]
