"""The ledger and overload as one, on the loop: timers, datagrams, log lines and metrics around ``Sharing``.

It has a timer of its own, and what comes in waits for that or for ``BURST`` datagrams, so that its work a
second is bounded however much comes. Timers run in every turn, and a turn reads each socket once: a broker
full of queries still reports in its time.
"""

from collections import Counter as Counts
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge

from quincepath.config.schema import Config, FleetEntry, LedgerEntry
from quincepath.fleet.edge import Edge
from quincepath.fleet.ledger.facts import Count, LedgerSettings, Totals
from quincepath.fleet.ledger.told import Living
from quincepath.fleet.overload import Arrival, OverloadSettings, Shed
from quincepath.fleet.overload.facts import Out
from quincepath.fleet.sharing import Sharing
from quincepath.fleet.view.core import View
from quincepath.net.loop import Loop, Timer

BURST = 64  # datagrams that wait at most; with more, the machine is called at once
OPEN = 1e-6  # a line below that sheds nothing
KNOWN = 0.5  # coverage from which the fleet's figures are called known, for the log


def ledger_settings(entry: LedgerEntry) -> LedgerSettings:
    """As configured; reports are fresh for four periods."""
    fresh = min(4 * entry.period, entry.window)
    return LedgerSettings(
        period=entry.period, window=entry.window, fresh_within=fresh, forget=entry.forget,
        most_rate=entry.most_rate,
    )  # fmt: skip


def overload_settings(config: Config, entry: FleetEntry) -> OverloadSettings | None:
    """As configured; None where each broker is alone."""
    one = entry.overload
    if one is None:
        return None
    return OverloadSettings(
        late_share=one.late_share, calm_share=one.calm_share, budget_ratio=one.further_ratio,
        budget_free=one.further_free, trial_rate=one.trial_rate, dial_rate=one.dial_rate,
        alone_share=one.alone_share, brokers=config.broker.brokers,
        return_most=config.limits.max_retry_after,
        weights={tenant.name: tenant.weight for tenant in config.tenants},
    )  # fmt: skip


class Shared:
    """One broker's. ``on_out`` gets what is decided, ``on_totals`` what is known of the fleet."""

    def __init__(
        self, config: Config, entry: FleetEntry, loop: Loop, view: View, edge: Edge, seed: int,
        log: Any, registry: CollectorRegistry,
    ) -> None:  # fmt: skip
        if entry.ledger is None:
            raise ValueError("fleet.ledger: expected a section")
        self.loop, self.view, self.edge, self.log = loop, view, edge, log
        self.known = len({peer.name for peer in entry.peers} | {entry.member})
        self.sharing = Sharing(
            entry.name, entry.member, view.own.boot, ledger_settings(entry.ledger),
            overload_settings(config, entry), seed, loop.clock(),
        )  # fmt: skip
        self.on_out: Callable[[Out], None] = lambda out: None
        self.on_totals: Callable[[Totals], None] = lambda totals: None
        self.out: Out | None = None
        self._waiting: list[bytes] = []
        self._boots: dict[str, int] = {}
        self._timer: Timer | None = None
        self._closed = False
        self._states = (False, False)
        self._shown: Counts[str] = Counts()
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
        self.line = Gauge(
            "quincepath_overload_line", "Place in the order below which queries are shed", registry=registry
        )
        self.cells = Gauge(
            "quincepath_overload_full_sets", "Replica sets with a line of their own", registry=registry
        )
        self.shed = Counter(
            "quincepath_overload_shed", "Queries shed before any part, by why", ["why"], registry=registry
        )
        self.spending = Gauge(
            "quincepath_overload_spending", "What this broker may spend a second", ["what"], registry=registry
        )
        edge.on_other = self._heard
        self._step()

    # --- queries ---

    def arrive(self, arrival: Arrival) -> Shed | None:
        """A query before any part goes out."""
        shed = self.sharing.arrive(self.loop.now, arrival)
        if shed is not None:
            self.shed.labels(shed.why.name.lower()).inc()
        return shed

    # --- the machine ---

    def _heard(self, data: bytes) -> None:
        self._waiting.append(data)
        if len(self._waiting) >= BURST:
            self._step()

    def _living(self) -> Living | None:
        """Who lives, where it changed."""
        found = {one.name: one.boot for one in self.view.table.all() if one.live}
        found[self.view.settings.name] = self.view.own.boot
        if found == self._boots:
            return None
        self._boots = found
        return Living(found, self.known)

    def _step(self) -> None:
        if self._closed:
            return
        now = self.loop.clock()
        data, self._waiting = self._waiting, []
        # The order among equals changes with the hour of the wall clock; a clock that is off changes no more.
        news = self.sharing.step(now, data, self._living(), self.loop.system.wall_ns())
        for packet in news.packets:
            self.edge.post(packet.to, packet.data)
        if news.totals is not None:
            self.on_totals(news.totals)
        if news.out is not None:
            self.out = news.out
            self.on_out(news.out)
        self._show(now)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(max(self.sharing.due, now + 1), self._step)

    def _show(self, now: int) -> None:
        """Figures and lines for people; a line in the log where a state begins or ends."""
        totals, out = self.sharing.totals, self.out
        coverage = 0.0
        if totals is not None:
            coverage = totals.coverage
            self.age.set((now - totals.at) / 1e9)
            for how in Count:
                self.fleet_rate.labels(how.name.lower()).set(totals.count(how) * 1e9 / max(totals.window, 1))
        self.coverage.set(coverage)
        for cause, count in self.sharing.ledger.causes.items():
            self.dropped.labels(cause).inc(count - self._shown[cause])
            self._shown[cause] = count
        shedding = False
        if out is not None:
            shedding = out.line > OPEN or bool(out.cells)
            self.line.set(out.line)
            self.cells.set(len(out.cells))
            for what in ("extras", "trials", "dials"):
                self.spending.labels(what).set(getattr(out.spending, what))
        states = (coverage >= KNOWN, shedding)
        if states[0] != self._states[0]:
            said = "known" if states[0] else "unknown: each broker goes by its own share"
            heard, of = (totals.heard, totals.of) if totals is not None else (0, len(self._boots))
            self.log.info(f"ledger: the fleet's figures are {said}", heard=heard, of=of)
        if states[1] != self._states[1]:
            if shedding and out is not None:
                self.log.warning(
                    "overload: the fleet sheds", line=round(out.line, 3), full_sets=sorted(out.cells)[:16],
                    trust=round(out.trust, 2),
                )  # fmt: skip
            else:
                self.log.info("overload: over, nothing is shed")
        self._states = states

    def close(self) -> None:
        """No more timers; the sockets are the edge's."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
