"""A child process that a run starts, signals and ends: a holder, a broker or another process.

The first line of its standard output is a JSON object with the addresses at which it serves.
"""

import json
import selectors
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

PROGRAM = [sys.executable, "-m", "quincepath"]
STOP_TIMEOUT_S = 10.0  # for a child to exit before it is killed


class StartError(RuntimeError):
    """A process did not start; the text names it and quotes its output."""


class ChildProcess:
    """A named process that can be restarted; its standard error is appended to ``log``."""

    def __init__(self, name: str, log: Path | None = None, program: list[str] = PROGRAM) -> None:
        self.name, self.log, self.program = name, log, program
        self.process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """The process id; 0 if it does not run."""
        return 0 if self.process is None else self.process.pid

    def start(self, arguments: list[str], environment: dict[str, str] | None = None) -> None:
        """Start the program with these arguments; ``startup_value`` or ``ready`` tell when it serves."""
        log = None if self.log is None else self.log.open("a")
        try:
            # Children that serve only their parent exit when their standard input is closed.
            self.process = subprocess.Popen(
                [*self.program, *arguments],
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
        """Whether it has written its first line, without waiting."""
        assert self.process is not None and self.process.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(self.process.stdout, selectors.EVENT_READ)
            return bool(selector.select(0))

    def startup_info(self) -> dict[str, Any]:
        """Wait for the first line and return its values. Raises ``StartError``."""
        assert self.process is not None and self.process.stdout is not None
        line = self.process.stdout.readline()
        try:
            return dict(json.loads(line))
        except (ValueError, TypeError):
            status = self.process.poll()
            where = "" if self.log is None else f", see {self.log}"
            raise StartError(f"{self.name} wrote {line!r}, exit status {status}{where}") from None

    def startup_value(self, key: str) -> Any:
        """Wait for the first line and return one of its values. Raises ``StartError``."""
        info = self.startup_info()
        if key not in info:
            raise StartError(f"{self.name} wrote {info}, without {key!r}")
        return info[key]

    def signal(self, number: int) -> None:
        """Send a signal if it runs."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it at once, as by the failure of its machine."""
        if self.process is not None:
            self.process.kill()
            self._reap()

    def stop(self) -> None:
        """Terminate it, also if it is stopped by a signal; kill it if it does not exit in time."""
        if self.process is None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
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
