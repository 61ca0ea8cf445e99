"""What brokers report of a change of the map, gathered by each keeper; whom a step waits for. Pure.

A report is its sender's word on itself. It becomes evidence only in the entry that the leader makes of it;
what is not fresh counts no more, and a new leader gathers anew.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption.commands import MapCommand, MeasuredMap, Number, ShardsByHolder, UseMap, Word
from quincepath.fleet.adoption.machine import not_using, unproved, unstaged
from quincepath.fleet.adoption.state import Step, Topology
from quincepath.fleet.messages import Counter, Word64

REPORT_TTL_NS = 2_500_000_000  # ns that a report counts for
MAX_REPORTERS = 1000  # reports kept; more are not heard
Measurement = tuple[tuple[str, str, float], ...]


class MapReport(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """One broker's word. ``boot`` and ``count`` order its reports. ``staged``: by number, the digest;
    ``version`` in use, 0 for none, and queries that hold an ``older`` one; ``proved``: by holder, shards of
    the staged version that it has shown to this broker.
    """

    boot: Word64
    count: Counter
    staged: Annotated[dict[Number, Word], Meta(max_length=4)]
    version: Number
    older: Counter
    proved: ShardsByHolder = {}


@dataclass(slots=True)
class MapReports:
    """The newest report of each broker, with when it came."""

    reports: dict[str, tuple[int, MapReport]] = field(default_factory=dict)

    def receive(self, name: str, now: int, report: MapReport) -> bool:
        """False for one that is older than what is known, said again, or beyond the bound."""
        known = self.reports.get(name)
        if known is None and len(self.reports) >= MAX_REPORTERS:
            return False
        if known is not None and (report.boot, report.count) <= (known[1].boot, known[1].count):
            return False
        self.reports[name] = (now, report)
        return True

    def fresh(self, now: int) -> dict[str, MapReport]:
        """Reports, by broker, that came at most ``REPORT_TTL_NS`` ago."""
        return {name: report for name, (at, report) in self.reports.items() if now <= at + REPORT_TTL_NS}

    def staged(self, number: int, digest: str, now: int) -> tuple[str, ...]:
        """Brokers that say that they have this map under this number."""
        found = self.fresh(now).items()
        return tuple(sorted(name for name, report in found if report.staged.get(number) == digest))

    def proved(self, number: int, digest: str, now: int) -> dict[str, tuple[str, ...]]:
        """By holder, the shards that it has shown to a broker that has this map staged."""
        found: dict[str, set[str]] = {}
        for report in self.fresh(now).values():
            if report.staged.get(number) == digest:
                for name, shards in report.proved.items():
                    found.setdefault(name, set()).update(shards)
        return {name: tuple(sorted(shards)) for name, shards in sorted(found.items())}

    def using(self, now: int) -> dict[str, tuple[int, int]]:
        """By broker, the version in use and queries that hold an older one."""
        return {name: (report.version, report.older) for name, report in sorted(self.fresh(now).items())}

    # --- the leader ---

    def with_evidence(self, command: UseMap | MeasuredMap, topology: Topology, now: int) -> MapCommand:
        """With what this broker has gathered, in place of what the sender wrote."""
        if isinstance(command, MeasuredMap):
            return msgspec.structs.replace(command, using=self.using(now))
        version = topology.version(command.number)
        if version is None:
            return msgspec.structs.replace(command, staged=(), proved={})
        return msgspec.structs.replace(
            command,
            digest=version.digest,
            staged=self.staged(version.number, version.digest, now),
            proved=self.proved(version.number, version.digest, now),
        )

    def waits_for(
        self, topology: Topology, now: int, wall: int, measured: Measurement | None, way: str = ""
    ) -> dict[str, str]:
        """By name, why the step that is open is not done; empty where the leader may go on. ``wall``: ms.
        ``way``: a permit that is open, or why the fleet is halted.
        """
        open_, found = topology.proposal, topology.measuring
        waits = {"fleet": way} if way else {}
        if topology.step is Step.STAGING and open_ is not None:
            version = topology.version(open_.number)
            assert version is not None
            staged = self.staged(version.number, version.digest, now)
            fresh = self.fresh(now)
            waits |= {
                name: "has not staged it" if name in fresh else self._silent(name)
                for name in unstaged(open_, staged)
            }
            proved = self.proved(version.number, version.digest, now)
            for name, shards in unproved(open_, proved):
                waits[name] = f"has not proved that it has {', '.join(shards[:3])}"
            return waits
        if topology.step is Step.MEASURING and found is not None:
            waits |= dict(not_using(found, self.using(now)))
            if wall < found.until:
                waits["time"] = f"measured for {found.until - wall} ms more"
            elif measured is None:
                waits["figures"] = "nothing is measured here yet"
            return waits
        return {}

    def _silent(self, name: str) -> str:
        return "reports no more" if name in self.reports else "has not reported"

    def next_command(
        self, topology: Topology, now: int, wall: int, by: str, measured: Measurement | None, way: str = ""
    ) -> MapCommand | None:
        """What a leader has to propose, where nothing is waited for.."""
        if topology.step not in (Step.STAGING, Step.MEASURING):
            return None
        if self.waits_for(topology, now, wall, measured, way):
            return None
        if topology.proposal is not None:
            number = topology.proposal.number
            return self.with_evidence(UseMap(f"use {number} {wall}", by, wall, number, "", ()), topology, now)
        assert topology.measuring is not None and measured is not None
        number = topology.measuring.number
        return self.with_evidence(
            MeasuredMap(f"measured {number} {wall}", by, wall, number, measured, {}), topology, now
        )
