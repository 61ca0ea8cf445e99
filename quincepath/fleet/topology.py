"""Adoption of a shard map on one broker: commands and next steps on the leader, reports, the status page.

Pure: times are passed in with each call. Loaded only with ``topology:``. A broker whose front cannot serve
several versions (``stage`` is None) reports that nothing is staged, so that no step proceeds on it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from quincepath.config.schema.holders import Shards
from quincepath.config.schema.topology import TopologyEntry
from quincepath.fleet.adoption import (
    EMPTY_RECORD,
    AdoptMap,
    AwayMap,
    BackMap,
    Map,
    MapCommand,
    MapFollower,
    MapReport,
    MapReports,
    MapVerdict,
    MeasuredMap,
    ProposeMap,
    Step,
    Topology,
    UseMap,
    make_verdict,
)
from quincepath.fleet.adoption.commands import MAX_FIGURES, ShardsByHolder
from quincepath.fleet.adoption.reports import Measurement
from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES
from quincepath.fleet.forecast import (
    Environment,
    FigureKind,
    Limit,
    Rules,
    Sample,
    decode_record,
    forecast,
    verdict,
)
from quincepath.fleet.permits import Permits, encode
from quincepath.fleet.sampling import Samples
from quincepath.shards.versions import MapVersion, difference

NS_PER_MS = 1_000_000


@dataclass(slots=True)
class AdoptionHooks:
    """What the broker provides. ``believed_phases``: phase by member name, of those not believed alive;
    ``set_by_holder``: the replica set of each holder; ``stage``: prepares a map and returns False where that
    is impossible; ``measured`` and ``sample`` replace this broker's own; ``on_use``: queries that start from
    now on use this version.
    """

    brokers: Callable[[], tuple[str, ...]]
    believed_phases: Callable[[], Mapping[str, str]]
    unsettled: Callable[[], list[str]] = list
    set_by_holder: Callable[[], Mapping[str, str]] = dict
    sample: Callable[[], tuple[Sample, int] | None] | None = None
    stage: Callable[[MapVersion], bool] | None = None
    proved: Callable[[], ShardsByHolder] = dict
    measured: Callable[[], Measurement | None] | None = None
    on_use: Callable[[MapVersion], None] = lambda version: None


def configured_map(shards: Shards) -> MapVersion:
    """Version 1, from the configuration."""
    entries = tuple((entry.name, entry.set or entry.name, tuple(entry.values)) for entry in shards.map)
    return MapVersion(1, shards.label, entries, shards.unlabelled == "everywhere")


@dataclass(slots=True)
class MapAdoption:
    """This broker's side of an adoption: ``prepare_command`` and ``next_command`` on the leader, ``report``
    and ``on_applied`` on every broker.
    """

    member: str
    boot: int
    configured: MapVersion
    entry: TopologyEntry
    machine: Permits
    hooks: AdoptionHooks
    log: Any
    reports: MapReports = field(default_factory=MapReports)
    follower: MapFollower = field(init=False)
    wall_ns: Callable[[], int] = lambda: 0  # since the epoch
    samples: Samples = field(init=False)
    _measured: tuple[int, Measurement | None] = (0, None)  # time in ms, result
    _report_count: int = 0
    _in_use: int = 0
    _logged_state: tuple[str, int, str] = ("none", 0, "")

    def __post_init__(self) -> None:
        self.follower = MapFollower(self.configured)
        self.samples = Samples(self.member, self.boot, len(self.hooks.brokers()))

    @property
    def topology(self) -> Topology:
        """The state that results from the log."""
        return self.machine.state.topology

    # --- on the leader ---

    def prepare_command(self, command: MapCommand, now: int, wall_ms: int) -> tuple[MapCommand, str]:
        """The command with this broker's beliefs, configuration and received reports added, and why it is
        refused, empty if it is not.
        """
        reasons = self.hooks.unsettled()
        if reasons and isinstance(command, AdoptMap | AwayMap):
            return command, f"the view is not settled: {'; '.join(reasons)}"
        why = ""
        match command:
            case ProposeMap():
                command = msgspec.structs.replace(command, base=Map.of(self.configured))
            case AdoptMap():
                command, why = self._prepare_adoption(command, wall_ms)
            case AwayMap():
                belief = self.hooks.believed_phases().get(command.name, "alive")
                command = msgspec.structs.replace(command, belief=belief)
            case BackMap():
                before = self.topology.version(self.topology.before)
                needs = {} if before is None else self._needs(before)
                command = msgspec.structs.replace(command, brokers=self.hooks.brokers(), needs=needs)
            case MeasuredMap():
                command = msgspec.structs.replace(command, figures=self.measured(wall_ms) or ())
                command = self.reports.with_evidence(command, self.topology, now)
            case UseMap():
                command = self.reports.with_evidence(command, self.topology, now)
        size = len(encode(command))
        if size > MAX_COMMAND_BYTES and not why:
            why = f"{type(command).__name__}: {size} bytes; expected at most {MAX_COMMAND_BYTES} in an entry"
        return command, why

    def _needs(self, new: MapVersion) -> dict[str, tuple[str, ...]]:
        old = self.topology.version(self.topology.used) or self.configured
        return difference(old, new).needed_by(self.hooks.set_by_holder())

    def _prepare_adoption(self, command: AdoptMap, wall_ms: int) -> tuple[AdoptMap, str]:
        proposal = self.topology.proposal
        new = None if proposal is None else self.topology.version(proposal.number)
        if new is None:
            return command, ""  # the state machine refuses it
        sets = self.hooks.set_by_holder()
        without_holder = sorted(set(new.sets()) - set(sets.values()))
        if without_holder:
            return command, f"replica set {without_holder[0]!r} of version {new.number} has no holder"
        return msgspec.structs.replace(
            command, judged=self.judge_map(new, wall_ms), brokers=self.hooks.brokers(),
            needs=self._needs(new), measure=self.entry.measure // NS_PER_MS,
        ), ""  # fmt: skip

    def judge_map(self, new: MapVersion, wall_ms: int) -> MapVerdict:
        """The verdict on a map, based on the samples of the brokers, in the form of an entry."""
        sampled = self.samples.fleet_sample() if self.hooks.sample is None else self.hooks.sample()
        if sampled is None or not sampled[0].footprints:
            return MapVerdict("not known", ("no broker's footprints are here",), new.digest)
        old = self.topology.version(self.topology.used) or self.configured
        brokers = len(self.hooks.brokers())
        holders = self._holders()
        environment = Environment(holders, self.entry.slots, min(sampled[1], brokers), brokers)
        record = decode_record(self.topology.record or EMPTY_RECORD)
        found = forecast(sampled[0], old, new, environment, widen=record.factors())
        limits = tuple(
            Limit(FigureKind(limit.kind), limit.most, limit.where or "") for limit in self.entry.limits
        )
        entry = self.entry
        rules = Rules(limits, entry.least, entry.age_most, heard_least=entry.heard_least)
        if len(found.figures) > MAX_FIGURES:
            why = f"{len(found.figures)} figures; expected at most {MAX_FIGURES} in an entry"
            return MapVerdict("not known", (why,), new.digest)
        judged = verdict(found, rules, wall_ms * NS_PER_MS)
        return make_verdict(found, judged.answer.value, judged.why)

    def _holders(self) -> dict[str, int]:
        sets = list(self.hooks.set_by_holder().values())
        return {name: sets.count(name) for name in set(sets)}

    def measured(self, wall_ms: int) -> Measurement | None:
        """Figures of the version in use, once its time is over and enough brokers have sent samples.

        Computed at most once a second.
        """
        if self.hooks.measured is not None:
            return self.hooks.measured()
        measuring, version = self.topology.measuring, self.topology.version(self.topology.used)
        if (
            measuring is None
            or version is None
            or wall_ms < measuring.until
            or self.samples.version != version.number
        ):
            return None
        heard = self.samples.heard_since(measuring.until)
        if heard < self.entry.heard_least * (len(measuring.brokers) - len(measuring.away)):
            return None
        if wall_ms >= self._measured[0] + 1000:
            self._measured = (wall_ms, self.samples.measured(version, self._holders(), self.entry.slots))
        return self._measured[1]

    def next_command(self, now: int, wall_ms: int) -> MapCommand | None:
        """What this broker proposes as leader, if nothing is waited for."""
        obstacle = self.machine.map_change_blocker()
        return self.reports.next_command(
            self.topology, now, wall_ms, self.member, self.measured(wall_ms), obstacle
        )

    # --- on every broker ---

    def on_applied(self) -> None:
        """Entries were applied: stages what is to be staged and logs a new step."""
        topology = self.topology
        state = (topology.step.value, topology.used, topology.halted)
        if state != self._logged_state:
            self._logged_state = state
            write = self.log.warning if topology.halted else self.log.info
            number = topology.proposal.number if topology.proposal is not None else topology.used
            write(
                "fleet: shard map change reached a step", step=state[0], version=number,
                in_use=topology.used, cause=topology.halted,
            )  # fmt: skip
        self.follower.apply_topology(topology)
        while self.hooks.stage is not None:
            version = self.follower.next_to_stage()
            if version is None or not self.hooks.stage(version):
                break
            self.follower.mark_staged(version)
        self._use_current()

    def on_log_read(self) -> None:
        """Everything that was committed when this broker started is applied here."""
        self.follower.on_log_read(self.topology)
        self.on_applied()

    def release(self, query: int) -> None:
        """A query has ended."""
        self.follower.release(query)
        self._use_current()

    def _use_current(self) -> None:
        current = None if self.follower.versions is None else self.follower.versions.current
        if current is not None and current.number != self._in_use:
            self._in_use = current.number
            self.samples.begin(current.number)
            self.hooks.on_use(current)
            self.log.info("fleet: new queries use another shard map version", version=current.number)

    def report(self, now: int) -> MapReport | None:
        """This broker's report while a step waits for it; otherwise nothing is sent."""
        if self.topology.step not in (Step.STAGING, Step.MEASURING):
            return None
        self._report_count += 1
        staged = {number: version.digest for number, version in self.follower.staged.items()}
        version, older = self.follower.usage()
        report = MapReport(self.boot, self._report_count, staged, version, older, self.hooks.proved())
        self.reports.receive(self.member, now, report)
        return report

    def sample_messages(self, now: int, wall_ms: int, leader: str) -> list[bytes]:
        """This broker's sample as messages to the leader: for a forecast, and after the measured time."""
        step, measuring = self.topology.step, self.topology.measuring
        if step is Step.MEASURING and measuring is not None and wall_ms >= measuring.until:
            wanted = f"measured {measuring.number} {measuring.until}"
        elif step is Step.PROPOSED:
            wanted = f"proposed {self.topology.newest}"
        else:
            return []
        return self.samples.messages(wall_ms) if self.samples.due(now, leader, wanted) else []

    # --- for operators ---

    def status(self, now: int, wall_ms: int, is_voter: bool, leader: str) -> dict[str, Any]:
        """The step, the versions, the verdict, and by name whom the step waits for."""
        topology, proposal = self.topology, self.topology.proposal
        waits: dict[str, str] = {}
        if topology.step in (Step.STAGING, Step.MEASURING):
            if is_voter:
                obstacle = self.machine.map_change_blocker()
                waits = self.reports.waits_for(topology, now, wall_ms, self.measured(wall_ms), obstacle)
            if not leader:
                waits["keepers"] = "no leader is known here: a majority of them may be out of reach"
        judged = proposal.judged if proposal is not None and proposal.staging else None
        if judged is None and topology.measuring is not None:
            judged = topology.measuring.judged
        if judged is None and proposal is not None:
            new = topology.version(proposal.number)
            judged = None if new is None else self.judge_map(new, wall_ms)
        current = proposal or topology.measuring
        return {
            "member": self.member,
            "step": topology.step.value,
            "in_use": topology.used or 1,
            "before": topology.before,
            "newest": max(topology.newest, 1),
            "proposed": 0 if proposal is None else proposal.number,
            "by": "" if proposal is None else proposal.by,
            "going_back": proposal is not None and proposal.going_back,
            "halted": topology.halted,
            "waits_for": waits,
            "away": {} if current is None else dict(current.away),
            "verdict": None if judged is None else msgspec.to_builtins(judged),
            "using": {name: list(pair) for name, pair in self.reports.using(now).items()},
            "adoptions": max(
                map(len, decode_record(topology.record or EMPTY_RECORD).ratios.values()), default=0
            ),
        }
