"""Adoption of a shard map on one broker: the leader's word on its commands, reports, what comes next, pages.

Pure: times come in with each call. Loaded only with ``topology:``. A broker whose front cannot serve by
versions (``stage`` is None) says that nothing is staged, so that no step goes on by it.
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

NS_PER_MS = 1_000_000  # ns


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
    """Version 1: what the configuration says."""
    entries = tuple((one.name, one.set or one.name, tuple(one.values)) for one in shards.map)
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
    wall_ns: Callable[[], int] = lambda: 0  # ns since the epoch
    samples: Samples = field(init=False)
    _measured: tuple[int, Measurement | None] = (0, None)
    _count: int = 0
    _in_use: int = 0
    _seen: tuple[str, int, str] = ("none", 0, "")

    def __post_init__(self) -> None:
        self.follower = MapFollower(self.configured)
        self.samples = Samples(self.member, self.boot, len(self.hooks.brokers()))

    @property
    def topology(self) -> Topology:
        """The state that the log has come to."""
        return self.machine.state.topology

    # --- the leader ---

    def prepare_command(self, command: MapCommand, now: int, wall: int) -> tuple[MapCommand, str]:
        """Filled with what this broker believes, knows and has heard; why it is refused. ``wall``: ms."""
        reasons = self.hooks.unsettled()
        if reasons and isinstance(command, AdoptMap | AwayMap):
            return command, f"the view is not settled: {'; '.join(reasons)}"
        why = ""
        match command:
            case ProposeMap():
                command = msgspec.structs.replace(command, base=Map.of(self.configured))
            case AdoptMap():
                command, why = self._adopt(command, wall)
            case AwayMap():
                belief = self.hooks.believed_phases().get(command.name, "alive")
                command = msgspec.structs.replace(command, belief=belief)
            case BackMap():
                before = self.topology.version(self.topology.before)
                needs = {} if before is None else self._needs(before)
                command = msgspec.structs.replace(command, brokers=self.hooks.brokers(), needs=needs)
            case MeasuredMap():
                command = msgspec.structs.replace(command, figures=self.measured(wall) or ())
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

    def _adopt(self, command: AdoptMap, wall: int) -> tuple[AdoptMap, str]:
        open_ = self.topology.proposal
        new = None if open_ is None else self.topology.version(open_.number)
        if new is None:
            return command, ""  # the machine says so
        sets = self.hooks.set_by_holder()
        bare = sorted(set(new.sets()) - set(sets.values()))
        if bare:
            return command, f"replica set {bare[0]!r} of version {new.number} has no holder"
        return msgspec.structs.replace(
            command, judged=self.judge_map(new, wall), brokers=self.hooks.brokers(), needs=self._needs(new),
            measure=self.entry.measure // NS_PER_MS,
        ), ""  # fmt: skip

    def judge_map(self, new: MapVersion, wall: int) -> MapVerdict:
        """The verdict on a map by what brokers have sampled, as it goes into the entry."""
        heard = self.samples.gathered() if self.hooks.sample is None else self.hooks.sample()
        if heard is None or not heard[0].footprints:
            return MapVerdict("not known", ("no broker's footprints are here",), new.digest)
        old = self.topology.version(self.topology.used) or self.configured
        of = len(self.hooks.brokers())
        holders = self._holders()
        world = Environment(holders, self.entry.slots, min(heard[1], of), of)
        record = decode_record(self.topology.record or EMPTY_RECORD)
        found = forecast(heard[0], old, new, world, widen=record.factors())
        limits = tuple(Limit(FigureKind(one.kind), one.most, one.where or "") for one in self.entry.limits)
        entry = self.entry
        rules = Rules(limits, entry.least, entry.age_most, heard_least=entry.heard_least)
        if len(found.figures) > MAX_FIGURES:
            why = f"{len(found.figures)} figures; expected at most {MAX_FIGURES} in an entry"
            return MapVerdict("not known", (why,), new.digest)
        said = verdict(found, rules, wall * NS_PER_MS)
        return make_verdict(found, said.answer.value, said.why)

    def _holders(self) -> dict[str, int]:
        sets = list(self.hooks.set_by_holder().values())
        return {name: sets.count(name) for name in set(sets)}

    def measured(self, wall: int) -> Measurement | None:
        """Figures of the version in use, once its time is over and enough brokers are heard; figured once a
        second at most. ``wall``: ms."""
        if self.hooks.measured is not None:
            return self.hooks.measured()
        found, version = self.topology.measuring, self.topology.version(self.topology.used)
        if found is None or version is None or wall < found.until or self.samples.version != version.number:
            return None
        heard = self.samples.heard_since(found.until)
        if heard < self.entry.heard_least * (len(found.brokers) - len(found.away)):
            return None
        if wall >= self._measured[0] + 1000:
            self._measured = (wall, self.samples.measured(version, self._holders(), self.entry.slots))
        return self._measured[1]

    def next_command(self, now: int, wall: int) -> MapCommand | None:
        """What this broker proposes while it leads, where nothing is waited for."""
        way = self.machine.map_change_blocker()
        return self.reports.next_command(self.topology, now, wall, self.member, self.measured(wall), way)

    # --- one of all ---

    def on_applied(self) -> None:
        """Something was agreed: stage what is to be staged; a new step is a line."""
        found = self.topology
        seen = (found.step.value, found.used, found.halted)
        if seen != self._seen:
            self._seen = seen
            say = self.log.warning if found.halted else self.log.info
            number = found.proposal.number if found.proposal is not None else found.used
            say("fleet: shard map", step=seen[0], version=number, in_use=found.used, cause=found.halted)
        self.follower.apply_topology(found)
        while self.hooks.stage is not None:
            version = self.follower.next_to_stage()
            if version is None or not self.hooks.stage(version):
                break
            self.follower.mark_staged(version)
        self._use()

    def on_log_read(self) -> None:
        """All that was committed when this broker started is applied here."""
        self.follower.on_log_read(self.topology)
        self.on_applied()

    def release(self, query: int) -> None:
        """A query is over."""
        self.follower.release(query)
        self._use()

    def _use(self) -> None:
        current = None if self.follower.versions is None else self.follower.versions.current
        if current is not None and current.number != self._in_use:
            self._in_use = current.number
            self.samples.begin(current.number)
            self.hooks.on_use(current)
            self.log.info("fleet: queries that begin go by a version", version=current.number)

    def report(self, now: int) -> MapReport | None:
        """What this broker says of itself, while a step waits for it; else nothing is sent."""
        if self.topology.step not in (Step.STAGING, Step.MEASURING):
            return None
        self._count += 1
        staged = {number: version.digest for number, version in self.follower.staged.items()}
        version, older = self.follower.usage()
        said = MapReport(self.boot, self._count, staged, version, older, self.hooks.proved())
        self.reports.receive(self.member, now, said)
        return said

    def sample_messages(self, now: int, wall: int, leader: str) -> list[bytes]:
        """This broker's sample in messages for the leader: for a forecast, and when a measurement is over."""
        step, found = self.topology.step, self.topology.measuring
        if step is Step.MEASURING and found is not None and wall >= found.until:
            wanted = f"measured {found.number} {found.until}"
        elif step is Step.PROPOSED:
            wanted = f"proposed {self.topology.newest}"
        else:
            return []
        return self.samples.messages(wall) if self.samples.due(now, leader, wanted) else []

    # --- for people ---

    def status(self, now: int, wall: int, keeps: bool, leader: str) -> dict[str, Any]:
        """The step, the versions, the verdict, and by name whom it waits for."""
        found, open_ = self.topology, self.topology.proposal
        waits: dict[str, str] = {}
        if found.step in (Step.STAGING, Step.MEASURING):
            if keeps:
                way = self.machine.map_change_blocker()
                waits = self.reports.waits_for(found, now, wall, self.measured(wall), way)
            if not leader:
                waits["keepers"] = "no leader is known here: a majority of them may be out of reach"
        judged = open_.judged if open_ is not None and open_.staging else None
        if judged is None and found.measuring is not None:
            judged = found.measuring.judged
        if judged is None and open_ is not None:
            new = found.version(open_.number)
            judged = None if new is None else self.judge_map(new, wall)
        waited = open_ or found.measuring
        return {
            "member": self.member,
            "step": found.step.value,
            "in_use": found.used or 1,
            "before": found.before,
            "newest": max(found.newest, 1),
            "proposed": 0 if open_ is None else open_.number,
            "by": "" if open_ is None else open_.by,
            "going_back": open_ is not None and open_.going_back,
            "halted": found.halted,
            "waits_for": waits,
            "away": {} if waited is None else dict(waited.away),
            "verdict": None if judged is None else msgspec.to_builtins(judged),
            "using": {name: list(pair) for name, pair in self.reports.using(now).items()},
            "adoptions": max(
                map(len, decode_record(found.record or EMPTY_RECORD).ratios.values()), default=0
            ),
        }
