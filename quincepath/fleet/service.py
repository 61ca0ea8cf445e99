"""The fleet component of a running broker. Loaded only if the configuration has a ``fleet:`` section."""

import hashlib
import json
from collections import Counter as Counts
from collections.abc import Callable
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge

from quincepath.config.schema import Config, DistributionEntry, FleetEntry
from quincepath.fleet.budget import Limit, Limits, Reason, Unit, checks
from quincepath.fleet.operator_requests import (
    MAP_ACTIONS,
    OperatorRequestError,
    decode_operator_request,
    to_command,
)
from quincepath.fleet.pages import explain_page, history_page, view_page
from quincepath.fleet.permits import Command, Grant, Permits
from quincepath.fleet.transport import Transport
from quincepath.fleet.view.core import Drain, Leave, OperatorNotice, View
from quincepath.fleet.view.facts import Change, Phase, ViewSettings
from quincepath.membership.state import HolderInfo
from quincepath.net.client_connection import Exchange
from quincepath.net.loop import Loop

if TYPE_CHECKING:
    from quincepath.fleet.configuration.commands import ChangeConfiguration
    from quincepath.fleet.configuration_requests import ConfigurationRequests
    from quincepath.fleet.distribution import Distribution
    from quincepath.fleet.load_service import LoadService
    from quincepath.fleet.replicated_log import OpenStore, ReplicatedLog
    from quincepath.fleet.topology import MapAdoption

PER_BROKER = ("number", "seed", "zone")  # settings that differ between brokers of one configuration
METRICS_INTERVAL_NS = 1_000_000_000
WARNED_PHASES = ("dead", "suspect")

JSON = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Page:
    """Answer to a request on the metrics listener."""

    status: int
    body: bytes


def config_digest(config: Config) -> str:
    """Digest that is equal for brokers whose configurations differ only in their identity and addresses."""
    values = config.model_dump(mode="json", exclude={"listen", "metrics", "fleet", "roster", "traces"})
    for name in PER_BROKER:
        values["broker"].pop(name, None)
    text = json.dumps(values, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=6).hexdigest()


def view_settings(config: Config, entry: FleetEntry) -> ViewSettings:
    """Parameters of the membership view."""
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
    """This broker as a member of the fleet."""

    def __init__(
        self,
        config: Config,
        entry: FleetEntry,
        loop: Loop,
        log: Any,
        registry: CollectorRegistry,
        base: Path,
        open_store: "OpenStore",
        make_transport: type[Transport] = Transport,
    ) -> None:
        self.loop, self.entry, self.configured = loop, entry, config.broker.brokers
        self.ramp_time = config.rules.ramp_time
        self.on_drained: Callable[[frozenset[str]], None] = lambda names: None
        self.open_parts: Callable[[], dict[str, int]] = dict
        self.holder_infos: Callable[[], list[HolderInfo]] = list
        self.zone_name: Callable[[int], str] = str
        self.brokers = {entry.member, *(peer.name for peer in entry.peers)}
        self.set_of_shard = {entry.name: entry.set or entry.name for entry in config.shards.map}
        self._drained: frozenset[str] = frozenset()
        self.log = log.bind(member=entry.member)
        self.members = Gauge(
            "quincepath_fleet_members", "Members by what is believed of them", ["phase"], registry=registry
        )
        self.configured_gauge = Gauge(
            "quincepath_fleet_configured", "Brokers by the configuration", registry=registry
        )
        self.settled = Gauge("quincepath_fleet_settled", "1 where the view is settled", registry=registry)
        self.local_health = Gauge(
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
        boot = int.from_bytes(loop.system.entropy(8)) >> 1
        seed = (config.broker.seed or int.from_bytes(loop.system.entropy(4))) + boot
        self.view = View(view_settings(config, entry), boot, seed, loop.clock())
        places = {peer.name: peer.socket_address for peer in entry.peers}
        self._reasons: list[str] | None = None
        self._count_differs = False
        self._closed = False
        # Counts that the metrics already have.
        self._exported: tuple[Counts[str], Counts[str]] = (Counts(), Counts())
        self.transport = make_transport(loop, self.view, places, entry.host, entry.port, self._on_notice)
        self.replicated_log: ReplicatedLog | None = None
        self.distribution: Distribution | None = None
        self.requests: ConfigurationRequests | None = None
        if entry.keepers:
            from quincepath.fleet import replicated_log  # loaded only with a replicated log

            hooks = replicated_log.Hooks(
                self.transport.send_log_message,
                self._complete_grant,
                self._on_applied,
                lambda: self.open_parts(),
                open_store,
                self._drop,
                self._map_factory(config, boot),
            )
            self.replicated_log = replicated_log.ReplicatedLog(loop, entry, base, seed, hooks, self.log)
            self.replicated_log.change_refusal = self._change_refusal
            self.transport.on_log_message = self.replicated_log.receive
            if entry.configuration is not None:
                self._start_distribution(config, entry.configuration, boot, seed, registry)
        self.load_service: LoadService | None = None
        if entry.ledger is not None:
            from quincepath.fleet import load_service  # loaded only with load reports between brokers

            self.load_service = load_service.LoadService(
                config, entry, loop, self.view, self.transport, seed, self.log, registry
            )
        self._update_metrics()

    @property
    def address(self) -> str:
        """Address at which peers reach this member."""
        return self.transport.address

    def _on_notice(self, out: Change | OperatorNotice) -> None:
        if isinstance(out, OperatorNotice):
            self.log.error("fleet: two processes use one member name", kind=out.kind, text=out.text)
            return
        self.changes.labels(out.now.partition(",")[0]).inc()
        log = self.log.warning if out.now in WARNED_PHASES else self.log.info
        log(
            "fleet: belief changed", node=out.name, was=out.was, now=out.now, told_by=out.told_by,
            incarnation=out.incarnation, cause=out.cause,
        )  # fmt: skip

    def _update_metrics(self) -> None:
        """Update the metrics once per interval, and log when the view becomes settled or unsettled."""
        if self._closed:
            return
        self.loop.call_in(METRICS_INTERVAL_NS, self._update_metrics)
        table = self.view.table
        for phase in Phase:
            self.members.labels(phase.name.lower()).set(sum(one.phase is phase for one in table.all()))
        self.local_health.set(self.view.prober.health.score)
        for metric, counts, exported in (
            (self.dropped, self.view.dropped, self._exported[0]),
            (self.sent, self.transport.sent, self._exported[1]),
        ):
            for label, count in counts.items():
                metric.labels(label).inc(count - exported[label])
                exported[label] = count
        reasons = self.view.unsettled()
        self.settled.set(not reasons)
        if self._reasons is None or bool(reasons) != bool(self._reasons):
            self.log.info("fleet: unsettled" if reasons else "fleet: settled", cause="; ".join(reasons))
        self._reasons = reasons
        differs = not reasons and table.live_count != self.configured
        if differs and not self._count_differs:
            self.log.warning(
                "fleet: live brokers are not as many as configured", live=table.live_count,
                configured=self.configured,
                effect="none on routing: shares are computed from the configured count",
            )  # fmt: skip
        self._count_differs = differs

    # --- the replicated log ---

    def _map_factory(self, config: Config, boot: int) -> Callable[[Permits], "MapAdoption | None"]:
        """Factory of this broker's side of shard map changes; it returns None without ``topology:``."""
        entry = self.entry.topology
        if entry is None:
            return lambda machine: None
        from quincepath.fleet.topology import (  # loaded only if maps may change
            AdoptionHooks,
            MapAdoption,
            configured_map,
        )

        hooks = AdoptionHooks(
            brokers=lambda: tuple(sorted(self.brokers)),
            believed_phases=lambda: {one.name: one.phase.name.lower() for one in self.view.table.all()},
            unsettled=lambda: self.view.unsettled(),
            set_by_holder=lambda: {name: unit.sets[0] for name, unit in self.units().items() if unit.sets},
        )
        first = configured_map(config.shards)
        return lambda machine: MapAdoption(
            self.entry.member, boot, first, entry, machine, hooks, self.log, wall_ns=self.loop.system.wall_ns
        )

    def _start_distribution(
        self, config: Config, section: DistributionEntry, boot: int, seed: int, registry: CollectorRegistry
    ) -> None:
        """Take part in the distribution of the configuration."""
        # Loaded only if the configuration is distributed.
        from quincepath.fleet.configuration_requests import ConfigurationRequests
        from quincepath.fleet.distribution import build_distribution, route_messages

        assert self.replicated_log is not None
        self.distribution = build_distribution(
            config, self.entry, section, self.replicated_log, self.transport, boot, seed,
            self._expected_brokers, self._drop, self.log, registry,
        )  # fmt: skip
        self.requests = ConfigurationRequests(self.distribution, self.replicated_log)
        self.transport.on_log_message = route_messages(self.replicated_log.receive, self.distribution.receive)
        self.transport.on_connection_lost = self.distribution.on_connection_lost

    def _expected_brokers(self) -> int:
        """Brokers that should have the newest configuration: all members except those that left."""
        left = {belief.name for belief in self.view.table.all() if belief.phase is Phase.LEFT}
        return len(self.brokers - left)

    def _change_refusal(self, command: "ChangeConfiguration") -> str:
        if self.distribution is None:
            return "the leader's fleet: section has no configuration:"
        return self.distribution.refusal(command)

    def _drop(self, cause: str) -> None:
        self.view.dropped[cause] += 1

    def _on_applied(self) -> None:
        """Entries were committed: apply changed drains to the node list at once."""
        assert self.replicated_log is not None
        if self.distribution is not None:
            self.distribution.feed()
        names = frozenset(self.replicated_log.machine.drained())
        if names != self._drained:
            for name in sorted(names ^ self._drained):
                event = "drain agreed" if name in names else "drain is over"
                self.log.info(f"fleet: {event}", node=name, index=self.replicated_log.applied_index)
            self._drained = names
            self.on_drained(names)

    def units(self) -> dict[str, Unit]:
        """All brokers and holders that this broker knows."""
        found = {name: Unit(name, "broker") for name in sorted(self.brokers)}
        for holder in self.holder_infos():
            sets = tuple(sorted({self.set_of_shard[shard] for shard in holder.shards}))
            found[holder.name] = Unit(holder.name, "holder", self.zone_name(holder.zone), sets)
        return found

    def unavailable(self) -> dict[str, Reason]:
        """Brokers and holders that are unavailable as far as this broker knows, with the reason."""
        phases = {"dead": Reason.DEAD, "suspect": Reason.SUSPECT, "left": Reason.LEFT}
        found = {}
        for belief in self.view.table.all():
            reason = phases.get(belief.phase.name.lower())
            if belief.draining:
                reason = reason or Reason.DRAINING
            if reason is not None:
                found[belief.name] = reason
        now = self.loop.clock()
        for holder in self.holder_infos():
            if holder.phase.name != "READY" and holder.name not in self._drained:
                found[holder.name] = Reason.DRAINING
            elif holder.since and now < holder.since + self.ramp_time:
                found[holder.name] = Reason.COLD
        return found

    def _complete_grant(self, command: Command) -> tuple[Command, str]:
        """Add the leader's limits and beliefs to a grant; it grants nothing while its view is unsettled."""
        if not isinstance(command, Grant):
            return command, ""
        reasons = self.view.unsettled()
        if reasons:
            return command, f"the view is not settled: {'; '.join(reasons)}"
        units = self.units()
        both = sorted(self.brokers & {holder.name for holder in self.holder_infos()})
        if both:
            return command, f"{both[0]} names a broker and a holder: rename one of them"
        if command.name not in units:
            return command, f"{command.name} is none of the configured brokers and holders"
        limits = {
            kind: Limits(Limit(**one.total.model_dump()), Limit(**one.zone.model_dump()), one.ready_least)
            for kind, one in (("broker", self.entry.limits.brokers), ("holder", self.entry.limits.holders))
        }
        out = {name: reason.name for name, reason in self.unavailable().items() if name != command.name}
        return msgspec.structs.replace(command, checks=checks(command.name, units, limits), out=out), ""

    def request(self, exchange: Exchange) -> bool:
        """Answer a request under ``/fleet/``; false for any other path."""
        request = exchange.request
        if not request.path.startswith("/fleet/"):
            return False
        if self.requests is not None and self.requests.request(exchange):
            return True
        if request.method == "POST":
            self._run_command(exchange, request.path.removeprefix("/fleet/"), request.body)
            return True
        page = self.page(request.path)
        exchange.respond(page.status, JSON, page.body)
        return True

    def _run_command(self, exchange: Exchange, what: str, body: bytes) -> None:
        """Run an operator's command: ``drain``, ``undrain``, ``close``, ``halt`` or ``resume``, as JSON."""
        try:
            order = decode_operator_request(what, body)
        except OperatorRequestError as error:
            exchange.respond(400, JSON, json.dumps({"error": str(error)}).encode())
            return
        if self.replicated_log is None:
            answer = {"error": "this broker's fleet: section names no keepers: nothing is agreed"}
            exchange.respond(409, JSON, json.dumps(answer).encode())
            return
        if what in MAP_ACTIONS and self.replicated_log.maps is None:
            answer = {"error": "this broker's fleet: section has no topology: the configured map stays"}
            exchange.respond(409, JSON, json.dumps(answer).encode())
            return
        names = order.names or [""]
        results: dict[str, str] = {}

        def done(name: str, why: str) -> None:
            results[name] = why
            if len(results) == len(names):
                status = 409 if any(results.values()) else 200
                exchange.respond(status, JSON, json.dumps({"results": results}).encode())

        now, overdue = self.loop.system.wall_ms(), self.entry.overdue // 1_000_000
        for name in names:
            command = to_command(what, order, name, now, overdue)
            self.replicated_log.submit(command, lambda why, n=name: done(n, why))  # type: ignore[misc]

    def page(self, path: str) -> Page:
        """Answer to a GET of a path under ``/fleet/``."""
        now, what = self.loop.clock(), path.removeprefix("/fleet/")
        wall = self.loop.system.wall_ns() / 1e9
        self.transport.step([])
        if what == "view":
            found: Any = view_page(self.view, now, self.configured)
        elif what == "status" and self.replicated_log is not None:
            brokers = [self.entry.member, *(name for name in self.view.settings.peers)]
            left = {belief.name for belief in self.view.table.all() if belief.phase is Phase.LEFT}
            found = self.replicated_log.status(brokers, left)
        elif what == "topology" and self.replicated_log is not None and self.replicated_log.maps is not None:
            maps, log = self.replicated_log.maps, self.replicated_log
            found = maps.status(now, self.loop.system.wall_ms(), log.voter is not None, log.leader)
        elif what == "agreed" and self.replicated_log is not None:
            found = [msgspec.to_builtins(line) for line in self.replicated_log.machine.state.history]
        elif what == "history":
            found = history_page(self.view, now, wall)
        elif what.startswith("explain/"):
            found = explain_page(self.view, what.removeprefix("explain/"), now, wall)
        else:
            found = None
        if found is None:
            error = "expected /fleet/view, /fleet/history or /fleet/explain/ and the name of a member"
            if self.replicated_log is not None:
                error += ", /fleet/status or /fleet/agreed"
            return Page(404, json.dumps({"error": error, "path": path}).encode())
        return Page(200, json.dumps(found).encode())

    def drain(self) -> None:
        """Inform the other members that this broker drains."""
        self.transport.step([Drain()])

    def close(self) -> None:
        """Leave the fleet and close the sockets."""
        if not self._closed:
            self._closed = True
            if self.distribution is not None:
                self.distribution.close()
            if self.replicated_log is not None:
                self.replicated_log.close()
            self.transport.step([Leave()])
            self.transport.close()
