"""Load control on the event loop: timers, datagrams, log lines and metrics around ``LoadControl``.

It has its own timer; received datagrams wait for it or until there are ``MAX_WAITING_DATAGRAMS``, so that the
work a second is bounded, however many arrive. Timers run in every turn of the loop, and a turn reads each
socket once: a broker full of queries still reports in time.
"""

from collections import Counter as Counts
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge

from quincepath.config.schema import Config, FleetEntry, LedgerEntry
from quincepath.fleet.load_control import LoadControl
from quincepath.fleet.load_reports.events import LiveMembers
from quincepath.fleet.load_reports.types import Count, LoadReportSettings, Totals
from quincepath.fleet.overload import Arrival, OverloadSettings, Shed
from quincepath.fleet.overload.types import Decision
from quincepath.fleet.transport import Transport
from quincepath.fleet.view.core import View
from quincepath.net.loop import Loop, Timer

MAX_WAITING_DATAGRAMS = 64  # with more waiting, the state machine is called at once
MIN_THRESHOLD = 1e-6  # a threshold below that sheds nothing
MIN_KNOWN_COVERAGE = 0.5  # coverage from which the log calls the fleet's totals known


def load_report_settings(entry: LedgerEntry) -> LoadReportSettings:
    """Settings from the configuration; reports are fresh for four periods."""
    fresh = min(4 * entry.period, entry.window)
    return LoadReportSettings(
        period=entry.period, window=entry.window, fresh_within=fresh, forget=entry.forget,
        most_rate=entry.most_rate,
    )  # fmt: skip


def overload_settings(config: Config, entry: FleetEntry) -> OverloadSettings | None:
    """Settings from the configuration; None where each broker controls overload alone."""
    section = entry.overload
    if section is None:
        return None
    return OverloadSettings(
        late_share=section.late_share, calm_share=section.calm_share, budget_ratio=section.further_ratio,
        budget_free=section.further_free, trial_rate=section.trial_rate, dial_rate=section.dial_rate,
        alone_share=section.alone_share, brokers=config.broker.brokers,
        max_retry_after=config.limits.max_retry_after,
        weights={tenant.name: tenant.weight for tenant in config.tenants},
    )  # fmt: skip


class LoadService:
    """One broker's load control. ``on_decision`` gets each decision, ``on_totals`` the fleet's totals."""

    def __init__(
        self, config: Config, entry: FleetEntry, loop: Loop, view: View, edge: Transport, seed: int,
        log: Any, registry: CollectorRegistry,
    ) -> None:  # fmt: skip
        if entry.ledger is None:
            raise ValueError("fleet.ledger: expected a section")
        self.loop, self.view, self.edge, self.log = loop, view, edge, log
        self.configured = len({peer.name for peer in entry.peers} | {entry.member})
        self.control = LoadControl(
            entry.name, entry.member, view.own.boot, load_report_settings(entry.ledger),
            overload_settings(config, entry), seed, loop.clock(),
        )  # fmt: skip
        self.on_decision: Callable[[Decision], None] = lambda decision: None
        self.on_totals: Callable[[Totals], None] = lambda totals: None
        self.decision: Decision | None = None
        self._datagrams: list[bytes] = []
        self._live_boots: dict[str, int] = {}
        self._timer: Timer | None = None
        self._closed = False
        self._states = (False, False)
        self._exported_drops: Counts[str] = Counts()
        self.coverage = Gauge(
            "quincepath_ledger_coverage", "Share of the living brokers in the fleet's sums", registry=registry
        )
        self.age = Gauge("quincepath_ledger_age_seconds", "Age of the fleet's sums", registry=registry)
        self.fleet_rate = Gauge(
            "quincepath_ledger_queries", "Queries a second of the fleet, by what became of them", ["how"],
            registry=registry,
        )  # fmt: skip
        self.dropped = Counter(
            "quincepath_ledger_dropped", "Reports that did not count, by cause", ["cause"], registry=registry
        )
        self.threshold = Gauge(
            "quincepath_overload_line", "Place in the order below which queries are shed", registry=registry
        )
        self.full_sets = Gauge(
            "quincepath_overload_full_sets", "Replica sets with a line of their own", registry=registry
        )
        self.shed = Counter(
            "quincepath_overload_shed", "Queries shed before any part, by why", ["why"], registry=registry
        )
        self.spending = Gauge(
            "quincepath_overload_spending", "What this broker may spend a second", ["what"], registry=registry
        )
        edge.on_other_datagram = self._on_datagram
        self._step()

    # --- queries ---

    def on_arrival(self, arrival: Arrival) -> Shed | None:
        """Decide on a query before any part is sent."""
        shed = self.control.on_arrival(self.loop.now, arrival)
        if shed is not None:
            self.shed.labels(shed.reason.name.lower()).inc()
        return shed

    # --- state machine ---

    def _on_datagram(self, data: bytes) -> None:
        self._datagrams.append(data)
        if len(self._datagrams) >= MAX_WAITING_DATAGRAMS:
            self._step()

    def _live_members(self) -> LiveMembers | None:
        """The live members, if they changed."""
        boots = {member.name: member.boot for member in self.view.table.all() if member.live}
        boots[self.view.settings.name] = self.view.own.boot
        if boots == self._live_boots:
            return None
        self._live_boots = boots
        return LiveMembers(boots, self.configured)

    def _step(self) -> None:
        if self._closed:
            return
        now = self.loop.clock()
        data, self._datagrams = self._datagrams, []
        # The order among equals changes with the hour of the wall clock; a wrong clock changes nothing else.
        result = self.control.step(now, data, self._live_members(), self.loop.system.wall_ns())
        for packet in result.packets:
            self.edge.send_datagram(packet.to, packet.data)
        if result.totals is not None:
            self.on_totals(result.totals)
        if result.decision is not None:
            self.decision = result.decision
            self.on_decision(result.decision)
        self._export(now)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(max(self.control.due, now + 1), self._step)

    def _export(self, now: int) -> None:
        """Export metrics; log a line where a state begins or ends."""
        totals, decision = self.control.totals, self.decision
        coverage = 0.0
        if totals is not None:
            coverage = totals.coverage
            self.age.set((now - totals.at) / 1e9)
            for outcome in Count:
                self.fleet_rate.labels(outcome.name.lower()).set(
                    totals.count(outcome) * 1e9 / max(totals.window, 1)
                )
        self.coverage.set(coverage)
        for cause, count in self.control.reporter.causes.items():
            self.dropped.labels(cause).inc(count - self._exported_drops[cause])
            self._exported_drops[cause] = count
        shedding = False
        if decision is not None:
            shedding = decision.threshold > MIN_THRESHOLD or bool(decision.replica_set_thresholds)
            self.threshold.set(decision.threshold)
            self.full_sets.set(len(decision.replica_set_thresholds))
            for what in ("extras", "trials", "dials"):
                self.spending.labels(what).set(getattr(decision.send_budget, what))
        states = (coverage >= MIN_KNOWN_COVERAGE, shedding)
        if states[0] != self._states[0]:
            state = "known" if states[0] else "unknown; using this broker's own share"
            reporting, live = (
                (totals.reporting, totals.live) if totals is not None else (0, len(self._live_boots))
            )
            self.log.info(f"load reports: totals of the fleet are {state}", heard=reporting, of=live)
        if states[1] != self._states[1]:
            if shedding and decision is not None:
                self.log.warning(
                    "overload: the fleet is shedding load", line=round(decision.threshold, 3),
                    full_sets=sorted(decision.replica_set_thresholds)[:16],
                    trust=round(decision.confidence, 2),
                )  # fmt: skip
            else:
                self.log.info("overload: ended, nothing is shed")
        self._states = states

    def close(self) -> None:
        """Stop the timer; the sockets belong to the edge."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
