"""Public items have docstrings: ruff's D1 rules apply everywhere except in a list that may only shrink."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
EXCEPTED = {
    "benchmarks/*.py",
    "quincepath/lab/*.py",
    "quincepath/lab/fleet/*.py",
    "quincepath/lab/fleet/run/*.py",
    "tests/**",
}
LINT = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]


def excepted() -> set[str]:
    """Patterns of files that need no docstrings."""
    rules = LINT["per-file-ignores"]
    return {pattern for pattern, ignored in rules.items() if any(rule.startswith("D") for rule in ignored)}


def undocumented(files: list[Path]) -> int:
    """Exit status of ruff: 0 where all public items have a docstring."""
    command = [sys.executable, "-m", "ruff", "check", "--isolated", "--quiet", "--select", "D1"]
    return subprocess.run(
        [*command, "--ignore", ",".join(LINT["ignore"]), *map(str, files)], capture_output=True, timeout=60
    ).returncode


def test_the_rules_are_on_and_no_exception_is_added() -> None:
    assert "D1" in LINT["select"] and LINT["ignore"] == ["D105", "D107"]
    assert excepted() <= EXCEPTED


@pytest.mark.parametrize("pattern", sorted(excepted() - {"tests/**"}))
def test_an_exception_of_documented_files_is_removed(pattern: str) -> None:
    files = sorted(ROOT.glob(pattern))
    assert files and undocumented(files) == 1, f"{pattern}: remove it from the list in pyproject.toml"


def test_a_public_item_without_a_docstring_is_found(tmp_path: Path) -> None:
    file = tmp_path / "module.py"
    file.write_text('"""A module."""\n\n\ndef documented() -> None:\n    """Has one."""\n')
    assert undocumented([file]) == 0
    file.write_text('"""A module."""\n\n\ndef undocumented() -> None:\n    return None\n')
    assert undocumented([file]) == 1
