"""The running fleet as its parent sees it: what all know, how late hosts are, what is sent and taken."""

import time
from collections.abc import Callable, Sequence

import psutil

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.hosts import Hosts
from benchmarks.capacity.scale.meter import Lateness
from benchmarks.capacity.scale.plan import Plan
from benchmarks.capacity.scale.real import RealBrokers
from benchmarks.capacity.scale.result import SECOND, Event, WorstSecond
from benchmarks.capacity.scale.waiting import pause
from quincepath.net.loop import Loop

POLL = 0.25  # seconds between looks at who knows
SHOW = 2.0  # seconds between lines for people, and looks at the memory
EVENT_TIME = 60.0  # seconds until all know of a kill or a change
NAMES_SHOWN = 16


class RunError(RuntimeError):
    """What was to happen did not; the text says what."""


class Watch:
    """``living`` is how many brokers run by the parent's own account. ``memory_allowed`` in bytes."""

    def __init__(
        self,
        plan: Plan,
        loop: Loop,
        hosts: Hosts,
        real: RealBrokers,
        memory_allowed: int,
        say: Callable[[str], None],
    ) -> None:
        self.plan, self.loop, self.hosts, self.real, self._say = plan, loop, hosts, real, say
        self.living = plan.brokers
        self.late_most = self.late_usual = 0  # ns, of any host in any measured phase
        self.deaths = 0  # believed by hollow brokers since the phase began
        self.worst = WorstSecond()
        self._memory_allowed = memory_allowed
        self._began = time.monotonic()
        self._measuring = False
        self._deaths_before = self._deaths_seen = 0
        self._own_lateness = Lateness(loop)

    def expect(self, drained: tuple[str, ...] = ()) -> None:
        """What every broker is to know from now on."""
        self.hosts.tell(m.Expect(self.living, drained))
        self.real.expect(self.living, drained)

    def progress(self, ask_real: bool = True) -> list[m.Progress]:
        """Of each host, and of the real brokers together."""
        found = self.hosts.ask_progress()
        if ask_real and self.real.brokers:
            found.append(self.real.progress())
        return found

    def begin_phase(self) -> None:
        """Lateness, deaths and the worst second are of the phase that begins now."""
        self._measuring = True
        self.worst = WorstSecond()
        self._deaths_before, self.deaths = self._deaths_seen, 0
        self._own_lateness.begin()
        self.hosts.tell(m.BeginPhase())

    def wait(
        self,
        phase: str,
        done: Callable[[Sequence[m.Progress]], bool],
        longest: float,
        ask_real: bool = True,
    ) -> bool:
        """Look every ``POLL`` seconds; whether it was done in time. Raises ``RunError`` over the memory."""
        end = time.monotonic() + longest
        shown = 0.0
        while True:
            progress = self.progress(ask_real)
            self._note(progress)
            if time.monotonic() - shown >= SHOW:
                shown = time.monotonic()
                self._show(phase, progress)
                self._check_memory()
            if done(progress):
                return True
            left = end - time.monotonic()
            if left <= 0:
                return False
            pause(self.loop, min(POLL, left))

    def pass_time(self, phase: str, seconds: float) -> None:
        """Look on for so long; real brokers are left in peace."""
        self.wait(phase, lambda progress: False, seconds, ask_real=False)

    def _note(self, progress: Sequence[m.Progress]) -> None:
        self._deaths_seen = sum(one.deaths for one in progress)
        self.deaths = self._deaths_seen - self._deaths_before
        messages, size = sum(one.messages for one in progress), sum(one.bytes for one in progress)
        self.worst.look(time.monotonic_ns(), messages, size)
        if not self._measuring:
            return
        self.late_most = max([self.late_most, *(one.late_most for one in progress)])
        self.late_usual = max([self.late_usual, *(one.late_usual for one in progress)])
        if self.plan.relayed:  # what real brokers send passes through this process
            self.late_most = max(self.late_most, self._own_lateness.most)

    def _show(self, phase: str, progress: Sequence[m.Progress]) -> None:
        late = max((one.late_most for one in progress), default=0) / 1e6
        self._say(
            f"[{time.monotonic() - self._began:6.1f} s] {phase}: {running(progress)} run, "
            f"{sum(one.settled for one in progress)} settled, "
            f"{sum(one.knows_living for one in progress)} know all {self.living}, late by {late:.0f} ms"
        )

    def _check_memory(self) -> None:
        pids = [host.process.pid for host in self.hosts.all]
        pids += [broker.pid for broker in self.real.brokers.values()]
        taken = psutil.Process().memory_info().rss
        for pid in pids:
            try:
                taken += psutil.Process(pid).memory_info().rss
            except psutil.NoSuchProcess:
                continue  # that it has ended is told by whoever asks it next
        if taken > self._memory_allowed:
            raise RunError(
                f"{taken >> 20} MiB of memory taken: a run may take {self._memory_allowed >> 20} MiB"
            )

    def event(
        self, what: str, names: list[str], began: int, at: int, known: int, progress: Sequence[m.Progress]
    ) -> Event:
        """What all came to know between two times (ns); ``at`` 0: not all did in time."""
        hollow = self.plan.brokers - self.plan.real
        lacking = [name for one in progress for name in one.lacking]
        return Event(
            what=what,
            names=names[:NAMES_SHOWN],
            known_after_s=round(max(at - began, 0) / SECOND, 3) if at else None,
            known_by=known,
            of=running(progress),
            lacking=[] if at else lacking[:NAMES_SHOWN],
            deaths=self.deaths,
            worst_messages_a_second=self.worst.of_each(self.worst.messages, hollow),
            worst_bytes_a_second=self.worst.of_each(self.worst.bytes, hollow),
        )


def running(progress: Sequence[m.Progress]) -> int:
    """Brokers that run."""
    return sum(one.running for one in progress)


def all_settled(progress: Sequence[m.Progress], brokers: int) -> bool:
    """Whether so many run, are settled, and know that so many live."""
    return all(
        sum(getattr(one, what) for one in progress) == brokers
        for what in ("running", "settled", "knows_living")
    )


def all_run(progress: Sequence[m.Progress], brokers: int) -> bool:
    """Whether so many run, where none has a view to say more."""
    return running(progress) == brokers
