"""One run from its first process to its last: start, calm, events, and the verdict."""

import time
from collections.abc import Callable

import msgspec

from benchmarks.capacity.scale import calm, events
from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.faults import FaultFile
from benchmarks.capacity.scale.hosts import HostError, Hosts
from benchmarks.capacity.scale.machine import Machine
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.real import RealBrokers, RealError, direct_address
from benchmarks.capacity.scale.relayed import RelayedLinks
from benchmarks.capacity.scale.result import SECOND, Event, Result, Verdict
from benchmarks.capacity.scale.watch import EVENT_TIME, RunError, Watch, all_run, all_settled
from quincepath.lab.process import StartError
from quincepath.net.loop import Loop

LATE_ALLOWED = 250_000_000  # ns: half of a probe period; a host that was later measured itself
START_TIME = 60.0  # seconds until all know all, and
START_TIME_A_BROKER = 0.1  # so many more for each broker
LATE_LOOK = 5.0  # seconds for which lateness is measured where a start failed
EVENTS_MOST = 5  # subscribing, changes, a drain, its end, and a kill or the end of all faults
SPARE_TIME = 120.0  # seconds that a host lives beyond all phases, at most


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """What a run does beside the fleet's plan. ``changes``: of the configuration, where that is on."""

    duration: float  # seconds of the calm
    kill_share: float
    changes: int = 0
    faults: FaultFile | None = None


class Run:
    """``say`` gets lines for people."""

    def __init__(self, plan: Plan, options: Options, machine: Machine, say: Callable[[str], None]) -> None:
        self.plan, self.options, self.say = plan, options, say
        self.machine = machine
        self.loop = Loop()
        self.watch: Watch | None = None
        self._began = time.monotonic()
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
            faults="" if options.faults is None else options.faults.about,
            late_allowed_ms=LATE_ALLOWED / 1e6,
        )

    @property
    def _has_view(self) -> bool:
        """Without it nobody knows of kills, and voters judge no drains."""
        return Mechanism.VIEW in self.plan.mechanisms

    @property
    def start_time(self) -> float:
        """Seconds until all must know all."""
        return START_TIME + START_TIME_A_BROKER * self.plan.brokers

    @property
    def longest(self) -> float:
        """Seconds after which no process of the run is left, whatever happens."""
        options = self.options
        faults = 0.0 if options.faults is None else options.faults.quiet_from / SECOND
        changes = options.changes * events.CHANGE_EVERY
        return self.start_time + options.duration + changes + faults + EVENTS_MOST * EVENT_TIME + SPARE_TIME

    def play(self) -> Result:
        """The whole run; no process of it is left afterwards, whatever happens."""
        try:
            self._with_processes()
        except RunError as error:
            self.result.why.append(str(error))
        except (HostError, RealError, StartError) as error:
            self.result.why.append(str(error))
            self._broken = True
        finally:
            self.loop.close()
        self._judge()
        return self.result

    def not_played(self) -> Result:
        """Nothing is started: for a fleet that the machine does not carry at all."""
        self.loop.close()
        self.result.verdict = Verdict.SIMULATED
        return self.result

    def _with_processes(self) -> None:
        plan = self.plan
        links = RelayedLinks(plan, self.loop) if plan.relayed else None
        real = RealBrokers(plan, self.loop, direct_address if links is None else links.address)
        hosts = Hosts(self.loop, plan, int(self.longest))
        try:
            self.watch = Watch(plan, self.loop, hosts, real, self.machine.memory_allowed, self.say)
            self._phases(self.watch, links)
        finally:
            real.stop()
            hosts.stop()
            if links is not None:
                links.close()

    def _phases(self, watch: Watch, links: RelayedLinks | None) -> None:
        plan, options, result = self.plan, self.options, self.result
        self._start(watch)
        calm.measure(watch, options.duration, result)
        if plan.relays and options.changes:
            result.changes = events.change_configuration(watch, options.changes)
        if self._has_view:
            self._disturb(watch, links)
        # Memory last: measuring it stops a host for a while.
        calm.note_end(watch.hosts.ask_figures(memory=True), watch, result)

    def _disturb(self, watch: Watch, links: RelayedLinks | None) -> None:
        plan, options = self.plan, self.options
        if Mechanism.LOG in plan.mechanisms:
            drained = f"b{plan.brokers - 1}"
            self._keep(events.drain(watch, "drain", drained, back=False))
            self._keep(events.drain(watch, "drain is over", drained, back=True))
        if options.faults is None:
            self._keep(events.kill(watch, options.kill_share))
        else:
            ways = None if links is None else links.ways
            self._keep(events.play_faults(watch, options.faults, ways))

    def _start(self, watch: Watch) -> None:
        began = time.monotonic()
        watch.expect()
        watch.hosts.tell(m.StartBrokers(tuple(one.name for one in self.plan.members)))
        if self.plan.real:
            watch.real.start()
        ready = all_settled if self._has_view else all_run
        if not watch.wait("start", lambda progress: ready(progress, self.plan.brokers), self.start_time):
            watch.begin_phase()
            watch.pass_time("start failed: lateness", LATE_LOOK)
            raise RunError(f"start: not all knew all and were settled within {self.start_time:g} s")
        self.result.settled_after_s = round(time.monotonic() - began, 2)

    def _keep(self, event: Event) -> None:
        self.result.events.append(event)
        if event.known_after_s is None:
            raise RunError(f"{event.what}: {event.known_by} of {event.of} knew within {EVENT_TIME:g} s")

    def _judge(self) -> None:
        """What a late run lacks may come of its lateness: it is void, with what it lacked beside."""
        result = self.result
        late = 0 if self.watch is None else self.watch.late_most
        usual = 0 if self.watch is None else self.watch.late_usual
        result.took_s = round(time.monotonic() - self._began, 1)
        result.late_ms = round(late / 1e6, 1)
        result.late_usual_ms = round(usual / 1e6, 1)
        if not result.why and self._has_view and result.digests != 1:
            result.why.append(f"{result.digests} different views at the end: expected 1")
        if late > LATE_ALLOWED:
            result.why.append(
                f"hollow processes late by {result.late_ms:g} ms: expected at most "
                f"{result.late_allowed_ms:g} ms"
            )
        if late > LATE_ALLOWED and not self._broken:
            result.verdict = Verdict.VOID
        else:
            result.verdict = Verdict.FAILED if result.why else Verdict.GOOD
