"""The host processes of a run in their parent's hands."""

import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.plan import Plan
from quincepath.lab.process import STOP_TIMEOUT_S
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream

ROOT = Path(__file__).parents[3]
ANSWER_TIME = 60.0  # seconds until a host that does not answer fails the run


class HostError(RuntimeError):
    """A host ended, or does not answer."""


class HostProcess:
    """One process of hollow brokers. ``answers`` are its messages that nobody has taken yet."""

    def __init__(self, number: int, loop: Loop, plan: Plan, longest: int) -> None:
        self.number = number
        self.log = Path(plan.folder) / f"host-{number}.log"
        self.progress: m.Progress | None = None
        self.figures: m.Figures | None = None
        self.committed: dict[str, str] = {}
        self.ended = False
        ours, theirs = socket.socketpair()
        command = [sys.executable, "-m", "benchmarks.capacity.scale.host", str(theirs.fileno()), str(longest)]
        with theirs, self.log.open("w") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, pass_fds=[theirs.fileno()], stdin=subprocess.DEVNULL, stderr=log
            )
        reader = m.Reader(self._message)
        self._stream = Stream(loop, ours, reader.feed, self._lost)
        self.send(m.Setup(plan, tuple(plan.names_of(number))))

    def send(self, message: m.ToHost) -> None:
        """Tell it something; what it answers comes in a later turn."""
        self._stream.write(m.pack(message))

    def _message(self, data: bytes) -> None:
        match m.to_parent(data):
            case m.Progress() as progress:
                self.progress = progress
            case m.Figures() as figures:
                self.figures = figures
            case m.Committed(id, why):
                self.committed[id] = why

    def _lost(self, _: str) -> None:
        self.ended = True

    def stop(self) -> None:
        """It has ended when this returns, killed where it does not end by itself."""
        self._stream.close()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Hosts:
    """All host processes of a run."""

    def __init__(self, loop: Loop, plan: Plan, longest: int) -> None:
        self.loop = loop
        self.all: list[HostProcess] = []
        try:
            for number in range(plan.processes):
                self.all.append(HostProcess(number, loop, plan, longest))
        except BaseException:
            self.stop()
            raise

    def tell(self, message: m.ToHost) -> None:
        """Tell all of them."""
        for host in self.all:
            host.send(message)

    def ask_progress(self) -> list[m.Progress]:
        """Where each is now. Raises ``HostError``."""
        for host in self.all:
            host.progress = None
        self.tell(m.AskProgress())
        self._wait(lambda host: host.progress is not None)
        return [host.progress for host in self.all if host.progress is not None]

    def ask_figures(self, memory: bool = False) -> list[m.Figures]:
        """Counts of each. Raises ``HostError``."""
        for host in self.all:
            host.figures = None
        self.tell(m.AskFigures(memory))
        self._wait(lambda host: host.figures is not None)
        return [host.figures for host in self.all if host.figures is not None]

    def committed(self, id: str) -> str | None:
        """What came of a command: None as long as nothing did, empty where it took effect."""
        for host in self.all:
            if id in host.committed:
                return host.committed[id]
        return None

    def _wait(self, answered: Callable[[HostProcess], bool]) -> None:
        self.loop.run_until(lambda: all(one.ended or answered(one) for one in self.all), ANSWER_TIME)
        for host in self.all:
            if host.ended:
                said = host.log.read_text()[-2000:]
                raise HostError(f"host process {host.number} ended: {said or 'without a word'}")
            if not answered(host):
                raise HostError(f"host process {host.number} gave no answer within {ANSWER_TIME:g} s")

    def stop(self) -> None:
        """None of them is left."""
        for host in self.all:
            host.send(m.Stop())
        for host in self.all:
            host.stop()
