"""Tests that are known to fail, as a pytest plugin (``-p tests.known_red``): CI passes over just these.

``KNOWN-RED.txt`` at the root has one line a test: ``test-id | cause | issue``; ``#`` begins a comment. The
run fails on any other failure, and on an entry that names no test, is skipped, or passes ten times in a row.
Without the file nothing changes. Entries that are passed over are printed before pytest's closing line.
"""

import re
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
MOST_ENTRIES = 3
MOST_BYTES = 16_384
RUNS = 10  # passes in a row after which an entry has to go
LONGEST_RUN = 600.0  # seconds until further runs of an entry are given up, as failed
FORM = "test-id | cause | issue"
ISSUE = re.compile(r"#?[0-9]+")


class KnownRedError(ValueError):
    """The file is not as it has to be; the text says place, value and what was expected."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the file."""

    line: int
    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | {self.issue}"


def read_entries(path: Path) -> list[Entry]:
    """The entries of a file; none where there is no file. Raises ``KnownRedError``."""
    if not path.exists():
        return []
    raw = path.read_bytes()
    if len(raw) > MOST_BYTES:
        raise KnownRedError(f"{path.name}: {len(raw)} bytes: expected at most {MOST_BYTES}")
    try:
        lines = raw.decode().splitlines()
    except UnicodeDecodeError as error:
        raise KnownRedError(f"{path.name}: byte {error.start}: expected UTF-8") from None
    entries = [
        _entry(path.name, number, line)
        for number, line in enumerate(lines, 1)
        if line.strip() and not line.lstrip().startswith("#")
    ]
    if len(entries) > MOST_ENTRIES:
        raise KnownRedError(f"{path.name}: {len(entries)} entries: expected at most {MOST_ENTRIES}")
    seen: dict[str, int] = {}
    for entry in entries:
        first = seen.setdefault(entry.test, entry.line)
        if first != entry.line:
            place = f"{path.name}:{entry.line}"
            raise KnownRedError(f"{place}: {entry.test!r}: expected once, is on line {first}")
    return entries


def _entry(name: str, number: int, line: str) -> Entry:
    fields = [field.strip() for field in line.rsplit("|", 2)]  # a test's id may have a bar
    if len(fields) != 3 or not all(fields):
        raise KnownRedError(f"{name}:{number}: {line.strip()!r}: expected {FORM!r}")
    test, cause, issue = fields
    if "::" not in test:
        raise KnownRedError(f"{name}:{number}: {test!r}: expected a test's id, as 'tests/test_a.py::test_b'")
    if not ISSUE.fullmatch(issue):
        raise KnownRedError(f"{name}:{number}: {issue!r}: expected the number of an issue")
    return Entry(number, test, cause, issue)


class KnownRed:
    """Judges one run by its entries; registered where a file is there, on the controller only."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.passed_over: list[Entry] = []
        self.faults: list[str] = []
        self._ran: set[str] = set()
        self._failed: set[str] = set()
        self._failures = 0  # phases that failed; a test has three
        self._skipped: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a phase of a test."""
        self._ran.add(report.nodeid)
        if report.failed:
            self._failed.add(report.nodeid)
            self._failures += 1
        elif report.skipped:
            self._skipped.add(report.nodeid)

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Judge; a run that was interrupted or could not collect stays as it is."""
        if exitstatus not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
            return
        self.faults = list(self._judge(session.config))
        known = {entry.test for entry in self.entries}
        self.passed_over = [entry for entry in self.entries if entry.test in self._failed]
        others = session.testsfailed > self._failures or self._failed - known
        session.exitstatus = pytest.ExitCode.TESTS_FAILED if others or self.faults else pytest.ExitCode.OK

    def _judge(self, config: pytest.Config) -> Iterator[str]:
        for entry in self.entries:
            place = f"{NAME}:{entry.line}: {entry.test!r}"
            if entry.test not in self._ran:
                yield f"{place}: names no test: expected the id of one that runs"
            elif entry.test in self._failed:
                continue
            elif entry.test in self._skipped:
                yield f"{place}: was skipped: expected a test that runs"
            elif _passes_again(config, entry.test):
                yield f"{place}: passed {RUNS} times in a row: expected a failure; take the entry out"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Before pytest's closing line."""
        terminalreporter.section(NAME)
        for entry in self.passed_over:
            terminalreporter.write_line(f"failed, known, passed over: {entry}")
        for fault in self.faults:
            terminalreporter.write_line(f"ERROR {fault}")


def _passes_again(config: pytest.Config, test: str) -> bool:
    """Whether it passes in all further runs, as many side by side as the run had workers."""
    workers = int(getattr(config.option, "numprocesses", None) or 1)
    left = RUNS - 1
    while left:
        count = min(workers, left)
        if not _pass(config.rootpath, test, count):
            return False
        left -= count
    return True


def _pass(root: Path, test: str, count: int) -> bool:
    """Whether so many runs at once all pass, in time."""
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test]
    until = time.monotonic() + LONGEST_RUN
    runs = [
        subprocess.Popen(command, cwd=root, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        for _ in range(count)
    ]
    try:
        return [run.wait(max(until - time.monotonic(), 0)) for run in runs] == [0] * count
    except subprocess.TimeoutExpired:
        return False
    finally:
        for run in runs:
            run.kill()  # nothing where it has ended
            run.wait()


def pytest_configure(config: pytest.Config) -> None:
    """Read the file of the root; an xdist worker does not judge."""
    if hasattr(config, "workerinput"):
        return
    try:
        entries = read_entries(config.rootpath / NAME)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    if entries:
        config.pluginmanager.register(KnownRed(entries))
