"""Reports of brokers on a map change, collected by each voter, and whom a step waits for. Pure.

A report is its sender's statement about itself. It becomes evidence only in the entry that the leader makes
of it. Reports expire, and a new leader collects anew.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from quincepath.fleet.adoption.commands import (
    MapCommand,
    MeasuredMap,
    ShardsByHolder,
    ShortText,
    UseMap,
    VersionNumber,
)
from quincepath.fleet.adoption.machine import not_using, unproved, unstaged
from quincepath.fleet.adoption.state import Step, Topology
from quincepath.fleet.messages import Counter, Word64

REPORT_TTL_NS = 2_500_000_000
MAX_REPORTERS = 1000  # reports of further brokers are ignored
Measurement = tuple[tuple[str, str, float], ...]


class MapReport(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """One broker's report. ``boot`` and ``count`` order its reports. ``staged``: digest by version number;
    ``version`` in use, 0 for none, and the number of queries that hold an ``older`` one; ``proved``: by
    holder, shards of the staged version that it has shown to this broker.
    """

    boot: Word64
    count: Counter
    staged: Annotated[dict[VersionNumber, ShortText], Meta(max_length=4)]
    version: VersionNumber
    older: Counter
    proved: ShardsByHolder = {}


@dataclass(slots=True)
class MapReports:
    """The newest report of each broker, with its time of arrival."""

    reports: dict[str, tuple[int, MapReport]] = field(default_factory=dict)

    def receive(self, name: str, now: int, report: MapReport) -> bool:
        """False for a report that is outdated, repeated, or beyond ``MAX_REPORTERS``."""
        known = self.reports.get(name)
        if known is None and len(self.reports) >= MAX_REPORTERS:
            return False
        if known is not None and (report.boot, report.count) <= (known[1].boot, known[1].count):
            return False
        self.reports[name] = (now, report)
        return True

    def fresh(self, now: int) -> dict[str, MapReport]:
        """Reports, by broker, that arrived at most ``REPORT_TTL_NS`` ago."""
        return {name: report for name, (at, report) in self.reports.items() if now <= at + REPORT_TTL_NS}

    def staged(self, number: int, digest: str, now: int) -> tuple[str, ...]:
        """Brokers that report this map as staged under this number."""
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
        """By broker, the version in use and the number of queries that hold an older one."""
        return {name: (report.version, report.older) for name, report in sorted(self.fresh(now).items())}

    # --- on the leader ---

    def with_evidence(self, command: UseMap | MeasuredMap, topology: Topology, now: int) -> MapCommand:
        """The command with the reports received here, in place of what its sender wrote."""
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
        self, topology: Topology, now: int, wall_ms: int, measured: Measurement | None, obstacle: str = ""
    ) -> dict[str, str]:
        """By name, why the current step is not done; empty when the leader may continue.

        ``obstacle``: an open permit, or why the fleet is halted.
        """
        proposal, measuring = topology.proposal, topology.measuring
        waits = {"fleet": obstacle} if obstacle else {}
        if topology.step is Step.STAGING and proposal is not None:
            version = topology.version(proposal.number)
            assert version is not None
            staged = self.staged(version.number, version.digest, now)
            fresh = self.fresh(now)
            waits |= {
                name: "has not staged it" if name in fresh else self._missing_report(name)
                for name in unstaged(proposal, staged)
            }
            proved = self.proved(version.number, version.digest, now)
            for name, shards in unproved(proposal, proved):
                waits[name] = f"has not proved that it has {', '.join(shards[:3])}"
            return waits
        if topology.step is Step.MEASURING and measuring is not None:
            waits |= dict(not_using(measuring, self.using(now)))
            if wall_ms < measuring.until:
                waits["time"] = f"measured for {measuring.until - wall_ms} ms more"
            elif measured is None:
                waits["figures"] = "nothing is measured here yet"
            return waits
        return {}

    def _missing_report(self, name: str) -> str:
        return "reports no more" if name in self.reports else "has not reported"

    def next_command(
        self,
        topology: Topology,
        now: int,
        wall_ms: int,
        by: str,
        measured: Measurement | None,
        obstacle: str = "",
    ) -> MapCommand | None:
        """What the leader proposes next, if nothing is waited for."""
        if topology.step not in (Step.STAGING, Step.MEASURING):
            return None
        if self.waits_for(topology, now, wall_ms, measured, obstacle):
            return None
        if topology.proposal is not None:
            number = topology.proposal.number
            return self.with_evidence(
                UseMap(f"use {number} {wall_ms}", by, wall_ms, number, "", ()), topology, now
            )
        assert topology.measuring is not None and measured is not None
        number = topology.measuring.number
        return self.with_evidence(
            MeasuredMap(f"measured {number} {wall_ms}", by, wall_ms, number, measured, {}), topology, now
        )
