"""One run from its first process to its last: start, a calm phase, a change, a kill, and the verdict."""

import random
import time
from collections.abc import Callable, Sequence

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.hosts import HostError, Hosts
from benchmarks.capacity.scale.machine import Machine
from benchmarks.capacity.scale.meter import CONNECTIONS, HARNESS, LOAD, METRICS, Lateness
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.result import SECOND, Event, Rates, Result, Verdict
from quincepath.net.loop import Loop

LATE_ALLOWED = 250_000_000  # ns: half of a probe period; a host that was later measured itself
POLL = 0.25  # seconds between looks at who knows
SHOW = 2.0  # seconds between lines for people
START_TIME = 60.0  # seconds until all know all, and
START_TIME_A_BROKER = 0.1  # so many more for each broker
EVENT_TIME = 60.0  # seconds until all know of a kill or a change
SPARE_TIME = 120  # seconds that a host lives beyond all phases, at most
OTHER_ACCOUNTS = (METRICS, CONNECTIONS, LOAD, HARNESS)


class RunError(RuntimeError):
    """What was to happen did not; the text says what."""


class Run:
    """``say`` gets lines for people."""

    def __init__(
        self, plan: Plan, machine: Machine, duration: float, kill_share: float, say: Callable[[str], None]
    ) -> None:
        self.plan, self.duration, self.kill_share, self.say = plan, duration, kill_share, say
        self.loop = Loop()
        self.lateness = Lateness(self.loop)
        self.random = random.Random(f"{plan.seed} run")
        self.began = time.monotonic()
        self.living = plan.brokers
        self._late_most = self._late_usual = 0
        self.result = Result(
            verdict=Verdict.FAILED,
            why=[],
            brokers=plan.brokers,
            real=plan.real,
            hollow=plan.brokers - plan.real,
            processes=plan.processes,
            cores=machine.cores,
            seed=plan.seed,
            mechanisms=list(plan.mechanisms),
            queries_a_second=plan.queries,
            late_allowed_ms=LATE_ALLOWED / 1e6,
        )

    def play(self) -> Result:
        """The whole run; no process of it is left afterwards, whatever happens."""
        longest = self.start_time + self.duration + 3 * EVENT_TIME + SPARE_TIME
        try:
            self.hosts = Hosts(self.loop, self.plan, int(longest))
            try:
                self._phases()
            finally:
                self.hosts.stop()
        except (RunError, HostError) as error:
            self.result.why.append(str(error))
        finally:
            self.loop.close()
        self._judge()
        return self.result

    @property
    def start_time(self) -> float:
        """Seconds until all must know all."""
        return START_TIME + START_TIME_A_BROKER * self.plan.brokers

    def _phases(self) -> None:
        self._start()
        self._calm()
        if Mechanism.LOG in self.plan.mechanisms:
            self._change()
        self._kill()
        self._end()

    # --- phases ---

    def _start(self) -> None:
        began = time.monotonic()
        self.hosts.tell(m.Expect(self.living))
        self.hosts.tell(m.StartBrokers(tuple(one.name for one in self.plan.members)))
        hollow = self.plan.brokers - self.plan.real

        def settled(progress: Sequence[m.Progress]) -> bool:
            return all(
                sum(getattr(one, what) for one in progress) == hollow
                for what in ("running", "settled", "knows_living")
            )

        if not self._wait("start", settled, self.start_time):
            raise RunError(f"start: not all knew all and were settled within {self.start_time:g} s")
        self.result.settled_after_s = round(time.monotonic() - began, 2)

    def _calm(self) -> None:
        self._begin_phase()
        before = self.hosts.ask_figures()
        self._wait("calm", lambda progress: False, self.duration)
        after = self.hosts.ask_figures()
        rates = Rates(before, after)
        self._note_lateness(self.hosts.ask_progress())
        memory = after_memory(self.hosts.ask_figures(memory=True))
        self.result.calm_s = round(rates.seconds, 2)
        self.result.by_mechanism = {
            name: rates.mechanism(name, memory.get(name)) for name in self.plan.mechanisms
        }
        self.result.other_processor_ms_a_second = {one: rates.processor_ms(one) for one in OTHER_ACCOUNTS}
        self.result.hollow_processor_ms_a_second = rates.used_ms
        resident = sum(figures.resident for figures in after)
        self.result.hollow_resident_bytes = resident // max(rates.brokers, 1)

    def _change(self) -> None:
        """One broker is drained through the log, and is back."""
        name = f"b{self.plan.brokers - 1}"
        self._commit("drain", name, back=False)
        self._commit("drain is over", name, back=True)

    def _commit(self, what: str, name: str, back: bool) -> None:
        self._begin_phase()
        began = time.monotonic_ns()
        self.hosts.tell(m.Expect(self.living, () if back else (name,)))
        asked = f"{what} {name}"
        self.hosts.tell(m.Command(asked, f"b{self.plan.real}", name, back))

        def known(progress: Sequence[m.Progress]) -> bool:
            why = self.hosts.committed(asked)
            if why:
                raise RunError(f"{asked}: {why}")
            return why == "" and sum(one.knows_drained for one in progress) == self._hollow_living(progress)

        found = self._wait(what, known, EVENT_TIME)
        progress = self.hosts.ask_progress()
        at = max(one.drained_at for one in progress)
        self._note_event(what, [name], (at - began) / SECOND if found else None,
                         sum(one.knows_drained for one in progress), progress)  # fmt: skip

    def _kill(self) -> None:
        """A share of the hollow brokers end without a word; no voter is among them."""
        candidates = [
            one.name for one in self.plan.members[self.plan.real :] if one.name not in self.plan.voters
        ]
        many = min(max(round(self.kill_share * self.plan.brokers), 1), len(candidates))
        names = sorted(self.random.sample(candidates, many))
        self.living -= many
        self._begin_phase()
        self.hosts.tell(m.Expect(self.living))
        began = time.monotonic_ns()
        self.hosts.tell(m.EndBrokers(tuple(names)))

        def known(progress: Sequence[m.Progress]) -> bool:
            return sum(one.knows_living for one in progress) == self._hollow_living(progress)

        found = self._wait("kill", known, EVENT_TIME)
        progress = self.hosts.ask_progress()
        at = max(one.living_at for one in progress)
        self._note_event("kill", names, (at - began) / SECOND if found else None,
                         sum(one.knows_living for one in progress), progress)  # fmt: skip

    def _end(self) -> None:
        figures = self.hosts.ask_figures()
        self.result.digests = len({digest for one in figures for digest in one.digests})
        for one in figures:
            for cause, count in one.dropped.items():
                self.result.dropped[cause] = self.result.dropped.get(cause, 0) + count

    # --- helpers ---

    @staticmethod
    def _hollow_living(progress: Sequence[m.Progress]) -> int:
        return sum(one.running for one in progress)

    def _begin_phase(self) -> None:
        self.lateness.begin()
        self.hosts.tell(m.BeginPhase())

    def _note_lateness(self, progress: Sequence[m.Progress]) -> None:
        self._late_most = max([self._late_most, *(one.late_most for one in progress)])
        self._late_usual = max([self._late_usual, *(one.late_usual for one in progress)])

    def _note_event(
        self, what: str, names: list[str], after: float | None, known: int, progress: Sequence[m.Progress]
    ) -> None:
        self._note_lateness(progress)
        event = Event(
            what=what,
            names=names[:16],
            known_after_s=None if after is None else round(after, 3),
            known_by=known,
            of=self._hollow_living(progress),
            lacking=[name for one in progress for name in one.lacking][:16] if after is None else [],
        )
        self.result.events.append(event)
        if after is None:
            raise RunError(f"{what}: {known} of {event.of} knew within {EVENT_TIME:g} s")

    def _wait(self, phase: str, done: Callable[[Sequence[m.Progress]], bool], longest: float) -> bool:
        """Look every ``POLL`` seconds; whether it was done in time."""
        end = time.monotonic() + longest
        shown = 0.0
        while True:
            progress = self.hosts.ask_progress()
            if time.monotonic() - shown >= SHOW:
                shown = time.monotonic()
                self._show(phase, progress)
            if done(progress):
                return True
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.loop.run_until(lambda: False, min(POLL, left))

    def _show(self, phase: str, progress: Sequence[m.Progress]) -> None:
        late = max(one.late_most for one in progress) / 1e6
        self.say(
            f"[{time.monotonic() - self.began:6.1f} s] {phase}: {self._hollow_living(progress)} hollow run, "
            f"{sum(one.settled for one in progress)} settled, "
            f"{sum(one.knows_living for one in progress)} know all {self.living}, late by {late:.0f} ms"
        )

    def _judge(self) -> None:
        """Failed before void before good."""
        result = self.result
        result.took_s = round(time.monotonic() - self.began, 1)
        result.late_ms = round(self._late_most / 1e6, 1)
        result.late_usual_ms = round(self._late_usual / 1e6, 1)
        if not result.why and result.digests != 1:
            result.why.append(f"{result.digests} different views at the end: expected 1")
        if result.why:
            result.verdict = Verdict.FAILED
        elif self._late_most > LATE_ALLOWED:
            result.verdict = Verdict.VOID
            result.why.append(
                f"hollow processes late by {result.late_ms:g} ms: expected at most "
                f"{result.late_allowed_ms:g} ms"
            )
        else:
            result.verdict = Verdict.GOOD


def after_memory(figures: Sequence[m.Figures]) -> dict[str, int]:
    """Bytes by mechanism of one broker: the largest of those that hosts measured."""
    found: dict[str, int] = {}
    for one in figures:
        for name, size in one.memory.items():
            found[name] = max(found.get(name, 0), size)
    return found
