"""One run from its first process to its last: start, a calm phase, a change, a kill, and the verdict."""

import random
import time
from collections.abc import Callable, Sequence

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.faults import FaultFile, Faults
from benchmarks.capacity.scale.hosts import HostError, Hosts
from benchmarks.capacity.scale.machine import Machine
from benchmarks.capacity.scale.meter import CONNECTIONS, HARNESS, LOAD, METRICS
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.real import RealBrokers, RealError, direct_address
from benchmarks.capacity.scale.relayed import RelayedLinks
from benchmarks.capacity.scale.result import (
    SECOND,
    Event,
    HostRates,
    RealFigures,
    Result,
    Sent,
    Verdict,
    WorstSecond,
)
from benchmarks.capacity.scale.waiting import pause
from quincepath.lab.process import StartError
from quincepath.net.loop import Loop

LATE_ALLOWED = 250_000_000  # ns: half of a probe period; a host that was later measured itself
POLL = 0.25  # seconds between looks at who knows
SHOW = 2.0  # seconds between lines for people
START_TIME = 60.0  # seconds until all know all, and
START_TIME_A_BROKER = 0.1  # so many more for each broker
EVENT_TIME = 60.0  # seconds until all know of a kill or a change
EVENTS_MOST = 3  # a drain, its end, and a kill or the end of all faults
LATE_LOOK = 5.0  # seconds for which lateness is measured where a start failed
SPARE_TIME = 120  # seconds that a host lives beyond all phases, at most
UNSETTLED = "the view is not settled"  # begins why a voter judges no drain for now
OTHER_ACCOUNTS = (METRICS, CONNECTIONS, LOAD, HARNESS)


class RunError(RuntimeError):
    """What was to happen did not; the text says what."""


class Run:
    """``say`` gets lines for people."""

    def __init__(
        self,
        plan: Plan,
        machine: Machine,
        duration: float,
        kill_share: float,
        faults: FaultFile | None,
        say: Callable[[str], None],
    ) -> None:
        self.plan, self.duration, self.kill_share, self.say = plan, duration, kill_share, say
        self.faults = faults
        self.relays: RelayedLinks | None = None
        self._worst = WorstSecond()
        self._deaths_before = self._deaths = 0
        self.loop = Loop()
        self.random = random.Random(f"{plan.seed} run")
        self.began = time.monotonic()
        self.living = plan.brokers
        self._late_most = self._late_usual = 0
        self._measuring = False  # a measured phase has begun: lateness counts
        self._broken = False  # a process of the run ended by itself
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
            profile=plan.profile,
            faults="" if faults is None else faults.about,
            late_allowed_ms=LATE_ALLOWED / 1e6,
        )

    def play(self) -> Result:
        """The whole run; no process of it is left afterwards, whatever happens."""
        longest = self.start_time + self.duration + EVENTS_MOST * EVENT_TIME + SPARE_TIME
        if self.faults is not None:
            longest += self.faults.quiet_from / SECOND
        try:
            if self.plan.relayed:
                self.relays = RelayedLinks(self.plan, self.loop)
            address = direct_address if self.relays is None else self.relays.address
            self.real = RealBrokers(self.plan, self.loop, address)
            self.hosts = Hosts(self.loop, self.plan, int(longest))
            try:
                self._phases()
            finally:
                self.real.stop()
                self.hosts.stop()
                if self.relays is not None:
                    self.relays.close()
        except RunError as error:
            self.result.why.append(str(error))
        except (HostError, RealError, StartError) as error:
            self.result.why.append(str(error))
            self._broken = True
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
        if self.faults is None:
            self._kill()
        else:
            self._play(self.faults)
        self._end()

    # --- phases ---

    def _start(self) -> None:
        began = time.monotonic()
        self._expect()
        self.hosts.tell(m.StartBrokers(tuple(one.name for one in self.plan.members)))
        if self.plan.real:
            self.real.start()

        def settled(progress: Sequence[m.Progress]) -> bool:
            return all(
                sum(getattr(one, what) for one in progress) == self.plan.brokers
                for what in ("running", "settled", "knows_living")
            )

        if not self._wait("start", settled, self.start_time):
            self._begin_phase()
            self._wait("start failed, how late?", lambda progress: False, LATE_LOOK, ask_real=False)
            raise RunError(f"start: not all knew all and were settled within {self.start_time:g} s")
        self.result.settled_after_s = round(time.monotonic() - began, 2)

    def _calm(self) -> None:
        """Rates of hollow and real brokers, taken over the same seconds."""
        self._begin_phase()
        real_before = self.real.sent()
        used_before = self._real_used()
        before = self.hosts.ask_figures()
        self._wait("calm", lambda progress: False, self.duration, ask_real=False)
        after = self.hosts.ask_figures()
        used_after = self._real_used()
        real_after = self.real.sent()
        self.result.calm_deaths = self._deaths - self._deaths_before
        self.result.calm_s = round(self.duration, 2)
        if after:
            self._note_hollow(HostRates(before, after), after)
        if self.plan.real:
            sent = Sent()
            for name, (began, figures) in real_before.items():
                sent.add(began, figures, *real_after[name])
            self._note_real(sent, (used_after[1] - used_before[1]) / (used_after[0] - used_before[0]))

    def _note_hollow(self, rates: HostRates, after: Sequence[m.Figures]) -> None:
        result = self.result
        result.by_mechanism = {
            name: rates.sent.mechanism(name, rates.processor_ms(name)) for name in self.plan.mechanisms
        }
        result.other_processor_ms_a_second = {one: rates.processor_ms(one) for one in OTHER_ACCOUNTS}
        result.hollow_processor_ms_a_second = rates.used_ms
        resident = sum(figures.resident for figures in after)
        result.hollow_resident_bytes = resident // max(rates.sent.brokers, 1)

    def _note_real(self, sent: Sent, used: float) -> None:
        brokers = list(self.real.brokers.values())
        self.result.real_brokers = RealFigures(
            by_mechanism={name: sent.mechanism(name) for name in self.plan.mechanisms},
            processor_ms_a_second=round(used * 1000 / len(brokers), 4),
            resident_bytes=sum(one.resident for one in brokers) // len(brokers),
            queries_answered=self.real.answers["answered"],
            queries_not_answered=self.real.answers["not answered"],
        )

    def _real_used(self) -> tuple[float, float]:
        """Now, and processor time of all real brokers together (both seconds)."""
        return time.monotonic(), sum(one.processor for one in self.real.brokers.values())

    def _change(self) -> None:
        """One broker is drained through the log, and is back."""
        name = f"b{self.plan.brokers - 1}"
        self._commit("drain", name, back=False)
        self._commit("drain is over", name, back=True)

    def _commit(self, what: str, name: str, back: bool) -> None:
        """Have it committed and wait until all know; asked again where a voter's view is not settled."""
        self._begin_phase()
        self._expect(() if back else (name,))
        member = f"b{self.plan.brokers - 2}"
        asked, began = "", 0

        def known(progress: Sequence[m.Progress]) -> bool:
            nonlocal asked, began
            why = self._committed(asked) if asked else UNSETTLED
            if why and UNSETTLED not in why:
                raise RunError(f"{asked}: {why}")
            if why and sum(one.settled for one in progress) == _running(progress):
                began = time.monotonic_ns()
                asked = f"{what} {name} {began}"
                self._command(m.Command(asked, member, name, back))
            return why == "" and sum(one.knows_drained for one in progress) == _running(progress)

        found = self._wait(what, known, EVENT_TIME)
        progress = self._progress()
        at = max(one.drained_at for one in progress)
        knows = sum(one.knows_drained for one in progress)
        self._note_event(what, [name], (at - began) / SECOND if found else None, knows, progress)

    def _command(self, command: m.Command) -> None:
        if command.member in self.real.brokers:
            self.real.command(command)
        else:
            self.hosts.tell(command)

    def _committed(self, id: str) -> str | None:
        found = self.hosts.committed(id)
        return self.real.committed(id) if found is None else found

    def _kill(self) -> None:
        """A share of the brokers end without a word: hollow ones where there are any, and no voter."""
        own = self.plan.members[self.plan.real :] or self.plan.members
        candidates = [one.name for one in own if one.name not in self.plan.voters]
        many = min(max(round(self.kill_share * self.plan.brokers), 1), len(candidates))
        names = sorted(self.random.sample(candidates, many))
        self.living -= many
        self._begin_phase()
        self._expect()
        began = time.monotonic_ns()
        self.hosts.tell(m.EndBrokers(tuple(names)))
        self.real.end(tuple(names))

        def known(progress: Sequence[m.Progress]) -> bool:
            return sum(one.knows_living for one in progress) == _running(progress)

        found = self._wait("kill", known, EVENT_TIME)
        progress = self._progress()
        at = max(one.living_at for one in progress)
        knows = sum(one.knows_living for one in progress)
        self._note_event("kill", names, (at - began) / SECOND if found else None, knows, progress)

    def _play(self, file: FaultFile) -> None:
        """All faults of the file; then all must know all that run, and be settled."""
        self._begin_phase()
        began = self.loop.clock()
        changed_at = began

        def changed() -> None:
            nonlocal changed_at
            changed_at = self.loop.clock()
            self.living = len(faults.running) + len(self.real.brokers)
            self._expect()

        faults = Faults(
            file,
            self.plan,
            lambda when, call: self._plan_call(began + when, call),
            self.hosts.tell,
            changed,
            None if self.relays is None else self.relays.ways,
        )
        self._wait("faults", lambda progress: False, file.quiet_from / SECOND)

        def recovered(progress: Sequence[m.Progress]) -> bool:
            return all(
                sum(getattr(one, what) for one in progress) == self.living
                for what in ("running", "settled", "knows_living")
            )

        found = self._wait("after faults", recovered, EVENT_TIME)
        progress = self._progress()
        at = max(one.living_at for one in progress)
        knows = sum(one.knows_living for one in progress)
        self._note_event("faults", [], max(at - changed_at, 0) / SECOND if found else None, knows, progress)

    def _plan_call(self, when: int, call: Callable[[], None]) -> None:
        self.loop.call_at(when, call)

    def _end(self) -> None:
        """Views, drops, and memory: measuring that stops a host for a while, so it comes last."""
        figures = self.hosts.ask_figures(memory=True)
        for name, size in largest_memory(figures).items():
            if name in self.result.by_mechanism:
                self.result.by_mechanism[name].memory_bytes = size
        digests = {digest for one in figures for digest in one.digests}
        self.result.digests = len(digests | self.real.digests())
        for one in figures:
            for cause, count in one.dropped.items():
                self.result.dropped[cause] = self.result.dropped.get(cause, 0) + count

    # --- helpers ---

    def _expect(self, drained: tuple[str, ...] = ()) -> None:
        self.hosts.tell(m.Expect(self.living, drained))
        self.real.expect(self.living, drained)

    def _progress(self, ask_real: bool = True) -> list[m.Progress]:
        """Of each host, and of the real brokers together."""
        found = self.hosts.ask_progress()
        if ask_real and self.real.brokers:
            found.append(self.real.progress())
        return found

    def _begin_phase(self) -> None:
        self._measuring = True
        self._worst = WorstSecond()
        self._deaths_before = self._deaths
        self.hosts.tell(m.BeginPhase())

    def _note_lateness(self, progress: Sequence[m.Progress]) -> None:
        if not self._measuring:
            return
        self._late_most = max([self._late_most, *(one.late_most for one in progress)])
        self._late_usual = max([self._late_usual, *(one.late_usual for one in progress)])

    def _note_event(
        self, what: str, names: list[str], after: float | None, known: int, progress: Sequence[m.Progress]
    ) -> None:
        event = Event(
            what=what,
            names=names[:16],
            known_after_s=None if after is None else round(after, 3),
            known_by=known,
            of=_running(progress),
            lacking=[name for one in progress for name in one.lacking][:16] if after is None else [],
            deaths=self._deaths - self._deaths_before,
            worst_messages_a_second=self._worst.of_each(self._worst.messages, self.result.hollow),
            worst_bytes_a_second=self._worst.of_each(self._worst.bytes, self.result.hollow),
        )
        self.result.events.append(event)
        if after is None:
            raise RunError(f"{what}: {known} of {event.of} knew within {EVENT_TIME:g} s")

    def _wait(
        self,
        phase: str,
        done: Callable[[Sequence[m.Progress]], bool],
        longest: float,
        ask_real: bool = True,
    ) -> bool:
        """Look every ``POLL`` seconds; whether it was done in time."""
        end = time.monotonic() + longest
        shown = 0.0
        while True:
            progress = self._progress(ask_real)
            if time.monotonic() - shown >= SHOW:
                shown = time.monotonic()
                self._show(phase, progress)
            self._note_lateness(progress)
            self._deaths = sum(one.deaths for one in progress)
            self._worst.look(
                time.monotonic_ns(),
                sum(one.messages for one in progress),
                sum(one.bytes for one in progress),
            )
            if done(progress):
                return True
            left = end - time.monotonic()
            if left <= 0:
                return False
            pause(self.loop, min(POLL, left))

    def _show(self, phase: str, progress: Sequence[m.Progress]) -> None:
        late = max((one.late_most for one in progress), default=0) / 1e6
        self.say(
            f"[{time.monotonic() - self.began:6.1f} s] {phase}: {_running(progress)} run, "
            f"{sum(one.settled for one in progress)} settled, "
            f"{sum(one.knows_living for one in progress)} know all {self.living}, late by {late:.0f} ms"
        )

    def _judge(self) -> None:
        """What a late run lacks may come of its lateness: it is void, with what it lacked beside."""
        result = self.result
        result.took_s = round(time.monotonic() - self.began, 1)
        result.late_ms = round(self._late_most / 1e6, 1)
        result.late_usual_ms = round(self._late_usual / 1e6, 1)
        if not result.why and result.digests != 1:
            result.why.append(f"{result.digests} different views at the end: expected 1")
        late = self._late_most > LATE_ALLOWED
        if late:
            result.why.append(
                f"hollow processes late by {result.late_ms:g} ms: expected at most "
                f"{result.late_allowed_ms:g} ms"
            )
        if late and not self._broken:
            result.verdict = Verdict.VOID
        else:
            result.verdict = Verdict.FAILED if result.why else Verdict.GOOD


def largest_memory(figures: Sequence[m.Figures]) -> dict[str, int]:
    """Bytes by mechanism of one broker: the largest of those that hosts measured."""
    found: dict[str, int] = {}
    for one in figures:
        for name, size in one.memory.items():
            found[name] = max(found.get(name, 0), size)
    return found


def _running(progress: Sequence[m.Progress]) -> int:
    return sum(one.running for one in progress)
