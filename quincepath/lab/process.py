"""A process of the program that a run starts, signals and ends: a holder, a broker or another child.

A child tells in its first line, a JSON object on its standard output, where it serves.
"""

import json
import selectors
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

PROGRAM = [sys.executable, "-m", "quincepath"]
STOP_WAIT = 10.0  # seconds that a child has to end by itself


class StartError(RuntimeError):
    """A process did not come up; the text says which and what it said."""


class ChildProcess:
    """One process by name, started again as often as wanted; ``log`` takes its standard error, appended."""

    def __init__(self, name: str, log: Path | None = None, program: list[str] = PROGRAM) -> None:
        self.name, self.log, self.program = name, log, program
        self.process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """Of the process that runs; 0 without one."""
        return 0 if self.process is None else self.process.pid

    def start(self, words: list[str], environment: dict[str, str] | None = None) -> None:
        """Start the program with these words; ``startup_value`` or ``ready`` tell when it serves."""
        log = None if self.log is None else self.log.open("a")
        try:
            # Children that serve for their parent only end with their standard input.
            self.process = subprocess.Popen(
                [*self.program, *words],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env=environment,
            )
        finally:
            if log is not None:
                log.close()

    def ready(self) -> bool:
        """Whether it has said something, without waiting."""
        assert self.process is not None and self.process.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(self.process.stdout, selectors.EVENT_READ)
            return bool(selector.select(0))

    def startup_info(self) -> dict[str, Any]:
        """Wait for the line that tells where it serves. Raises ``StartError``."""
        assert self.process is not None and self.process.stdout is not None
        line = self.process.stdout.readline()
        try:
            return dict(json.loads(line))
        except (ValueError, TypeError):
            status = self.process.poll()
            where = "" if self.log is None else f", see {self.log}"
            raise StartError(f"{self.name} said {line!r}, exit status {status}{where}") from None

    def startup_value(self, key: str) -> Any:
        """Of the line that tells where it serves, one value. Raises ``StartError``."""
        said = self.startup_info()
        if key not in said:
            raise StartError(f"{self.name} said {said}, without {key!r}")
        return said[key]

    def signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """At once, as if its machine had gone."""
        if self.process is not None:
            self.process.kill()
            self._reap()

    def stop(self) -> None:
        """Ask it to end, also when it is stopped; kill it if it does not."""
        if self.process is None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            self.process.wait(STOP_WAIT)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self._reap()

    def _reap(self) -> None:
        process, self.process = self.process, None
        if process is not None:
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
