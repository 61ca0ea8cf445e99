"""The fleet's part of a running broker: one object with few verbs. Loaded only with a ``fleet:`` section."""

import hashlib
import json
import os
import time
from collections import Counter as Counts
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge

from quincepath.config.schema import Config, FleetEntry
from quincepath.fleet.edge import Edge
from quincepath.fleet.pages import explain_page, history_page, view_page
from quincepath.fleet.view.core import Drain, Leave, Told, View
from quincepath.fleet.view.facts import Change, Phase, ViewSettings
from quincepath.net.loop import Loop

OWN = ("number", "seed", "zone")  # what may differ from broker to broker within one configuration
LOOK = 1_000_000_000  # ns between looks at the figures
GRAVE = ("dead", "suspect")


@dataclass(slots=True, frozen=True)
class Page:
    """An answer on the metrics listener."""

    status: int
    body: bytes


def config_digest(config: Config) -> str:
    """The same for brokers that differ only in who they are and where they listen."""
    values = config.model_dump(mode="json", exclude={"listen", "metrics", "fleet", "roster", "traces"})
    for name in OWN:
        values["broker"].pop(name, None)
    text = json.dumps(values, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=6).hexdigest()


def view_settings(config: Config, entry: FleetEntry) -> ViewSettings:
    """What the view is kept by."""
    try:
        program = version("quincepath")
    except PackageNotFoundError:
        program = "unknown"
    return ViewSettings(
        fleet=entry.name,
        name=entry.member,
        peers=tuple(peer.name for peer in entry.peers if peer.name != entry.member),
        join=tuple(name for name in entry.join if name != entry.member),
        zone=config.broker.zone[:40],
        version=program[:40],
        config=config_digest(config),
        period=entry.period,
        ack_time=entry.ack_time,
        floor=entry.floor,
        exchange=entry.exchange,
        reclaim=entry.reclaim,
        settle=entry.settle,
    )


class Fleet:
    """This broker as a member: ``drain``, ``page``, ``close``."""

    def __init__(
        self, config: Config, entry: FleetEntry, loop: Loop, log: Any, registry: CollectorRegistry
    ) -> None:
        self.loop, self.configured = loop, config.broker.brokers
        self.log = log.bind(member=entry.member)
        self.members = Gauge(
            "quincepath_fleet_members", "Members by what is believed of them", ["phase"], registry=registry
        )
        self.configured_gauge = Gauge(
            "quincepath_fleet_configured", "Brokers by the configuration", registry=registry
        )
        self.settled = Gauge("quincepath_fleet_settled", "1 where the view is settled", registry=registry)
        self.trouble = Gauge(
            "quincepath_fleet_own_trouble", "Lateness of this member itself, 0 to 8", registry=registry
        )
        self.changes = Counter(
            "quincepath_fleet_changes", "Changes of belief, by what is believed now", ["now"],
            registry=registry,
        )  # fmt: skip
        self.dropped = Counter(
            "quincepath_fleet_dropped", "Messages dropped, by cause", ["cause"], registry=registry
        )
        self.sent = Counter("quincepath_fleet_sent", "Sent to peers, by kind", ["what"], registry=registry)
        self.configured_gauge.set(self.configured)
        boot = int.from_bytes(os.urandom(8)) >> 1
        seed = (config.broker.seed or int.from_bytes(os.urandom(4))) + boot
        self.view = View(view_settings(config, entry), boot, seed, loop.clock())
        places = {peer.name: peer.place for peer in entry.peers}
        self._reasons: list[str] | None = None
        self._differs = False
        self._closed = False
        self._shown: tuple[Counts[str], Counts[str]] = (Counts(), Counts())  # what the metrics have by now
        self.edge = Edge(loop, self.view, places, entry.host, entry.port, self._told)
        self._look()

    @property
    def address(self) -> str:
        """Where peers reach this member."""
        return self.edge.address

    def _told(self, out: Change | Told) -> None:
        if isinstance(out, Told):
            self.log.error("fleet: one name, two processes", kind=out.kind, text=out.text)
            return
        self.changes.labels(out.now.partition(",")[0]).inc()
        say = self.log.warning if out.now in GRAVE else self.log.info
        say(
            "fleet: belief changed", node=out.name, was=out.was, now=out.now, told_by=out.told_by,
            incarnation=out.incarnation, cause=out.cause,
        )  # fmt: skip

    def _look(self) -> None:
        """Figures for people, now and then; a change between settled and not is a line."""
        if self._closed:
            return
        self.loop.call_in(LOOK, self._look)
        table = self.view.table
        for phase in Phase:
            self.members.labels(phase.name.lower()).set(sum(one.phase is phase for one in table.all()))
        self.trouble.set(self.view.prober.health.score)
        for series, counts, shown in (
            (self.dropped, self.view.dropped, self._shown[0]),
            (self.sent, self.edge.sent, self._shown[1]),
        ):
            for label, count in counts.items():
                series.labels(label).inc(count - shown[label])
                shown[label] = count
        reasons = self.view.unsettled()
        self.settled.set(not reasons)
        if self._reasons is None or bool(reasons) != bool(self._reasons):
            self.log.info("fleet: unsettled" if reasons else "fleet: settled", cause="; ".join(reasons))
        self._reasons = reasons
        differs = not reasons and table.living != self.configured
        if differs and not self._differs:
            self.log.warning(
                "fleet: live brokers are not as many as configured", live=table.living,
                configured=self.configured, effect="none on routing: shares go by the configured number",
            )  # fmt: skip
        self._differs = differs

    def page(self, path: str) -> Page | None:
        """The answer to a path under ``/fleet/``; None for any other."""
        if not path.startswith("/fleet/"):
            return None
        now, what = self.loop.clock(), path.removeprefix("/fleet/")
        self.edge.step([])
        if what == "view":
            found: Any = view_page(self.view, now, self.configured)
        elif what == "history":
            found = history_page(self.view, now, time.time())
        elif what.startswith("explain/"):
            found = explain_page(self.view, what.removeprefix("explain/"), now, time.time())
        else:
            found = None
        if found is None:
            said = "expected /fleet/view, /fleet/history or /fleet/explain/ and the name of a member"
            return Page(404, json.dumps({"error": said, "path": path}).encode())
        return Page(200, json.dumps(found).encode())

    def drain(self) -> None:
        """Say that this broker drains."""
        self.edge.step([Drain()])

    def close(self) -> None:
        """Say goodbye and give back the sockets."""
        if not self._closed:
            self._closed = True
            self.edge.step([Leave()])
            self.edge.close()
