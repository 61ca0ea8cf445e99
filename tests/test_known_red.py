"""CI passes over the failures that KNOWN-RED.txt names, and over nothing else, in throwaway projects."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import MOST_BYTES, NAME, KnownRedError, read_entries

ROOT = Path(__file__).parent.parent
TESTS = """
import os, pathlib, pytest

RUNS = pathlib.Path(__file__).parent / "runs"

def test_sound(): pass

def test_broken(): assert False, "broken"

@pytest.mark.parametrize("value", ["a|b"])
def test_of_values(value): assert False

@pytest.fixture
def unready(): raise RuntimeError("no fixture")

def test_error(unready): pass

@pytest.fixture
def untidy():
    yield
    raise RuntimeError("not put away")

def test_broken_twice(untidy): assert False

def test_counted():
    RUNS.mkdir(exist_ok=True)
    (RUNS / str(os.getpid())).touch()

def test_flaky():
    RUNS.mkdir(exist_ok=True)
    (RUNS / str(os.getpid())).touch()
    assert len(list(RUNS.iterdir())) < 4

@pytest.mark.skip
def test_skipped(): pass
"""
BROKEN = "test_it.py::test_broken | the cause | #41"


def run(folder: Path, known: str | None, chosen: str, *words: str) -> subprocess.CompletedProcess[str]:
    """One run of the project; ``chosen`` are the names of its tests."""
    (folder / "test_it.py").write_text(TESTS)
    if known is not None:
        (folder / NAME).write_text(known)
    tests = [f"test_it.py::{name}" for name in chosen.split()]
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", *words, *tests],
        cwd=folder, env={**os.environ, "PYTHONPATH": str(ROOT)}, capture_output=True, text=True,
    )  # fmt: skip


@pytest.mark.parametrize(("chosen", "code"), [("test_sound", 0), ("test_sound test_broken", 1)])
@pytest.mark.parametrize("known", [None, "", "# nothing\n\n  # here\n"])
def test_without_entries_all_is_as_before(tmp_path: Path, known: str | None, chosen: str, code: int) -> None:
    done = run(tmp_path, known, chosen)
    assert done.returncode == code and NAME not in done.stdout


@pytest.mark.parametrize("words", [(), ("-n", "2")])
def test_a_named_failure_is_passed_over_and_printed_before_the_closing_line(
    tmp_path: Path, words: tuple[str, ...]
) -> None:
    done = run(tmp_path, f"# why\n\n{BROKEN}\n", "test_sound test_broken", *words)
    assert done.returncode == 0, done.stdout
    assert f"failed, known, passed over: {BROKEN}" in done.stdout
    assert done.stdout.splitlines()[-1].startswith("1 failed, 1 passed in")


@pytest.mark.parametrize("words", [(), ("-n", "2")])
@pytest.mark.parametrize("other", ["test_of_values", "test_error"])
def test_any_other_failure_fails(tmp_path: Path, other: str, words: tuple[str, ...]) -> None:
    done = run(tmp_path, BROKEN, f"test_broken {other}", *words)
    assert done.returncode == 1 and "passed over" in done.stdout


def test_a_test_that_fails_and_whose_fixture_fails_after_it_is_one(tmp_path: Path) -> None:
    done = run(tmp_path, "test_it.py::test_broken_twice | c | 1", "test_sound test_broken_twice")
    assert done.returncode == 0 and "1 failed, 1 passed, 1 error" in done.stdout.splitlines()[-1]


def test_an_error_before_the_test_and_an_id_with_a_bar_are_named_as_any(tmp_path: Path) -> None:
    known = "test_it.py::test_error | no fixture | 1\ntest_it.py::test_of_values[a|b] | of its value | 2\n"
    done = run(tmp_path, known, "test_error test_of_values")
    assert done.returncode == 0 and done.stdout.count("passed over") == 2, done.stdout


@pytest.mark.parametrize(
    ("test", "said"),
    [
        ("test_it.py::test_gone", "names no test"),
        ("test_it.py::test_of_values", "names no test"),  # the ids of its values do
        ("other.py::test_broken", "names no test"),
        ("test_it.py::test_skipped", "was skipped"),
    ],
)
def test_an_entry_that_runs_no_test_fails(tmp_path: Path, test: str, said: str) -> None:
    done = run(tmp_path, f"{test} | c | 1", "test_sound test_skipped")
    assert done.returncode == 1 and f"ERROR {NAME}:1: '{test}': {said}" in done.stdout


@pytest.mark.parametrize("words", [(), ("-n", "2")])
def test_an_entry_that_passes_ten_times_in_a_row_fails(tmp_path: Path, words: tuple[str, ...]) -> None:
    done = run(tmp_path, "test_it.py::test_counted | c | 1", "test_sound test_counted", *words)
    assert done.returncode == 1 and "passed 10 times in a row" in done.stdout
    assert len(list((tmp_path / "runs").iterdir())) == 10


def test_an_entry_that_fails_now_and_then_may_stay(tmp_path: Path) -> None:
    done = run(tmp_path, "test_it.py::test_flaky | c | 1", "test_sound test_flaky")
    assert done.returncode == 0 and "2 passed" in done.stdout.splitlines()[-1]


def test_what_cannot_be_collected_is_not_passed_over(tmp_path: Path) -> None:
    (tmp_path / "test_none.py").write_text("import nothing_of_that_name")
    (tmp_path / "test_it.py").write_text(TESTS)
    assert run(tmp_path, BROKEN, "test_broken", "test_none.py").returncode == pytest.ExitCode.INTERRUPTED


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("a::b | cause", f"{NAME}:1: 'a::b | cause': expected 'test-id | cause | issue'"),
        ("# one\na::b |  | 3", f"{NAME}:2: 'a::b |  | 3': expected 'test-id"),
        ("a::b | c | soon", f"{NAME}:1: 'soon': expected the number of an issue"),
        ("tests/a.py | c | 3", f"{NAME}:1: 'tests/a.py': expected a test's id"),
        ("a::b | c | 3\n\na::b | d | 4", f"{NAME}:3: 'a::b': expected once, is on line 1"),
        ("\n".join(f"a::b{n} | c | 3" for n in range(4)), f"{NAME}: 4 entries: expected at most 3"),
        ("#" * (MOST_BYTES + 1), f"{NAME}: {MOST_BYTES + 1} bytes: expected at most {MOST_BYTES}"),
        (b"# \xff", f"{NAME}: byte 2: expected UTF-8"),
    ],
)
def test_a_malformed_file_is_refused(tmp_path: Path, text: str | bytes, said: str) -> None:
    (tmp_path / NAME).write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(KnownRedError) as told:
        read_entries(tmp_path / NAME)
    assert str(told.value).startswith(said)


def test_a_malformed_file_fails_the_run_before_any_test(tmp_path: Path) -> None:
    done = run(tmp_path, "a::b | c", "test_sound")
    assert done.returncode == pytest.ExitCode.USAGE_ERROR and f"{NAME}:1" in done.stderr
    assert "passed" not in done.stdout


def test_ci_runs_the_tests_with_it_and_its_own_file_is_sound() -> None:
    read_entries(ROOT / NAME)
    lines = (ROOT / "Makefile").read_text().splitlines()
    command = lines[next(n for n, line in enumerate(lines) if line.startswith("test:")) + 1]
    assert command.split() == "$(VENV)/bin/python -m pytest -q -n 4 -p tests.known_red".split()
    assert "make test" in (ROOT / ".ci/run").read_text().splitlines()
