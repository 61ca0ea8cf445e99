"""Assembles one broker, serves its metrics page and shuts it down."""

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from quincepath.asks.intake import AskIntake
from quincepath.broker.driver import DecisionModule, Driver
from quincepath.broker.service.clients import Clients
from quincepath.broker.service.extension import Extensions
from quincepath.broker.service.holders import Holders
from quincepath.broker.service.telemetry import PAGE_TYPE, MemoryWatch, Telemetry
from quincepath.broker.service.tracing import TracingExtension, open_traces
from quincepath.broker.service.turn import Turn
from quincepath.config.schema import Config, admission_bounds, module_settings, registry_limits
from quincepath.fronts.remote_read.front import RemoteReadFront, Reply
from quincepath.interface import Members, Settings
from quincepath.membership.source import MembershipSource
from quincepath.net.client_connection import Exchange, Timeouts
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from quincepath.observe.logs import logger
from quincepath.observe.metrics import Metrics
from quincepath.orders import MembershipUpdate
from quincepath.policy import Aggregator
from quincepath.shards.shardmap import ShardMap
from quincepath.upstream.pool import PoolLimits, Upstream
from quincepath.upstream.remote_read import RemoteReadCodec

if TYPE_CHECKING:
    from quincepath.broker.fair_pending import FairPendingQueue

MakeModule = Callable[[Settings, int], DecisionModule]
MAX_PROPOSAL_BYTES = 192 * 1024  # of a command that proposes a shard map or a configuration change
METRICS_TIMEOUTS = Timeouts(idle=30_000_000_000, request=5_000_000_000, write=5_000_000_000)


def make_fair_queue(config: Config, seed: int) -> "FairPendingQueue | None":
    """The fair queue of slow queries; None without ``limits.fair``: its modules are then not loaded."""
    fair = config.limits.fair
    if fair is None:
        return None
    from quincepath.broker.fair_pending import FairPendingQueue
    from quincepath.limits.fair import FairSettings
    from quincepath.limits.fair.scheduler import FairScheduler

    settings = FairSettings(
        slots=fair.slots, quick_slots=fair.quick_slots, slow_from=fair.slow_from,
        waiting_most=fair.waiting_most, waiting_tenant_most=fair.waiting_tenant_most,
        weights={tenant.name: tenant.weight for tenant in config.tenants}, brokers=config.broker.brokers,
        retry_after_most=config.limits.max_retry_after,
    )  # fmt: skip
    return FairPendingQueue(FairScheduler(settings, seed))


def _max_command_bytes(config: Config) -> int:
    """Limit on the body of a command to the metrics listener, in bytes."""
    fleet = config.fleet
    accepts_proposals = fleet is not None and (fleet.topology is not None or fleet.configuration is not None)
    return MAX_PROPOSAL_BYTES if accepts_proposals else 1024


class Broker:
    """One broker on a loop. ``make_module`` lets tests and benchmarks run a baseline module."""

    def __init__(
        self, config: Config, loop: Loop, base: Path = Path(), make_module: MakeModule = Aggregator
    ) -> None:
        self.config, self.loop = config, loop
        self.log = logger(broker=config.broker.number)
        self.metrics = Metrics()
        self.extensions = Extensions()
        shards = config.shards
        sets = {name: cell for cell, name in enumerate(shards.sets())}
        self.map = ShardMap(
            shards.label,
            [(entry.name, entry.set or entry.name, entry.values) for entry in shards.map],
            shards.unlabelled == "everywhere",
            sets if config.fleet is not None and config.fleet.topology is not None else None,
        )
        system = loop.system
        source = MembershipSource(config, self.map, base, lambda: system.wall_ns() / 1e9, loop.clock)
        settings = module_settings(config)
        seed = config.broker.seed or system.wall_ns()
        module = make_module(settings, seed)
        intake: AskIntake[Reply] = AskIntake(
            registry_limits(config.asks, config.broker.tick), admission_bounds(config.limits), seed
        )
        self.holders = Holders(
            source, loop, config.roster_poll, self.log, self.metrics, self.apply_membership
        )
        self.traces = open_traces(config, base, seed, loop)
        if self.traces is not None:
            self.extensions.add(TracingExtension(self.traces, self.holders.name))
        self.memory = MemoryWatch(
            config.limits.max_memory, loop, self.metrics, self.log, intake.set_pressure,
            lambda: not self.server.listener.closed,
        )  # fmt: skip
        self.gate = intake.gate
        self.driver = Driver(module, settings, config.rules.drain_grace)
        front = RemoteReadFront(config, self.map)
        self.fair_queue = make_fair_queue(config, seed)
        self.clients = Clients(
            front, self.driver, intake, self.extensions, loop, self.metrics, self.log, self._trace_of,
            self.fair_queue,
        )  # fmt: skip
        self.dispatcher = self.clients.dispatcher
        self.telemetry = Telemetry(self.metrics, self.log, self._trace_of)
        self.turn = Turn(
            loop,
            self.driver,
            self.clients,
            self.holders,
            self.extensions,
            self.telemetry,
            self._end_when_idle,
        )
        self.upstream = self.turn.upstream = Upstream(
            loop,
            RemoteReadCodec(config.limits.max_answer, config.broker.number),
            PoolLimits(
                config.limits.connect_timeout,
                config.limits.idle_close,
                config.limits.connections_per_holder,
                config.limits.max_answer,
            ),
            self.holders.path,
            self.turn.on_attempt_ended,
        )
        self.fleet = None
        if config.fleet is not None:
            from quincepath.broker.service.fleet import FleetExtension  # loaded only with a fleet

            registry = self.metrics.registry
            extension = FleetExtension(
                config, config.fleet, loop, self.log, registry, base, self.holders, self.driver,
                self.fair_queue,
            )  # fmt: skip
            self.fleet = extension.fleet
            self.extensions.add(extension)
            if extension.fleet.replicated_log is not None and extension.fleet.replicated_log.maps is not None:
                # loaded only with map adoption
                from quincepath.broker.service.shard_maps import ShardMapExtension

                self.extensions.add(
                    ShardMapExtension(extension.fleet.replicated_log.maps, front.planner, self.log, registry)
                )
            if extension.fleet.load_service is not None:
                # loaded only with a ledger
                from quincepath.broker.service.load_control import LoadControlExtension

                self.extensions.add(
                    LoadControlExtension(
                        extension.fleet.load_service,
                        self.driver,
                        self.map,
                        self.dispatcher.enqueue,
                        lambda: self.upstream.counts.opened,
                        self.fair_queue,
                    )  # fmt: skip
                )
        self.stopping = False
        self.on_stopped: Callable[[], None] | None = None
        listen = config.listen
        self.server = HttpServer(
            loop, listen.host, listen.port, self.clients.on_request,
            Limits(listen.max_headers, listen.max_body),
            Timeouts(listen.idle_timeout, listen.request_timeout, listen.write_timeout),
            listen.max_connections,
            lambda cause: self.log.warning("accepting paused", cause=cause),
            max_per_address=listen.max_connections_per_address,
        )  # fmt: skip
        self.metrics_server = HttpServer(
            loop, config.metrics.host, config.metrics.port, self._metrics_request,
            Limits(body=_max_command_bytes(config)), METRICS_TIMEOUTS, 64,
        )  # fmt: skip
        loop.turn_hooks.append(self.turn.run)
        self.holders.read(force=True)
        self.holders.poll()
        self.memory.sample()

    @property
    def url(self) -> str:
        """URL of the remote read endpoint."""
        return f"http://{self.config.listen.host}:{self.server.port}{self.config.listen.path}"

    @property
    def metrics_url(self) -> str:
        """URL of the metrics page."""
        return f"http://{self.config.metrics.host}:{self.metrics_server.port}/metrics"

    def read_list(self, force: bool = False) -> None:
        """Check the list of holders now; ``force`` reads the file even if it looks unchanged."""
        self.holders.read(force)

    def apply_membership(self, update: Members) -> None:
        """Pass a membership update to the next batch; close connections to holders that are not ready."""
        self.dispatcher.enqueue(MembershipUpdate(update))
        for entry in update.entries:
            if entry.phase.name != "READY":
                self.upstream.close_node(entry.node)

    def _trace_of(self, ask: int) -> str:
        return "" if self.traces is None else self.traces.trace_id(ask)

    def _metrics_request(self, exchange: Exchange) -> None:
        if self.extensions.handle_request(exchange):
            return
        if exchange.request.path != "/metrics":
            exchange.text(404, "not found; metrics are at /metrics")
            return
        metrics = self.metrics
        metrics.open_queries.set(len(self.driver.queries))
        metrics.open_parts.set(len(self.driver.parts))
        fair_queue = self.fair_queue
        metrics.fair_waiting.set(fair_queue.waiting() if fair_queue is not None else 0)
        metrics.connections.labels("clients").set(len(self.server.connections))
        metrics.connections.labels("holders").set(self.upstream.counts.open)
        for phase in ("READY", "DRAINING", "GONE"):
            count = sum(fact.phase.name == phase for fact in self.holders.source.state.holders.values())
            metrics.holders.labels(phase.lower()).set(count)
        exchange.respond(200, PAGE_TYPE, metrics.render())

    # --- shutdown ---

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Accept no more queries; answer the open ones by their deadlines, then call ``on_stopped``."""
        if self.stopping:
            return
        self.log.info("stopping", open=len(self.clients.open))
        self.stopping = True
        self.extensions.drain()
        self.gate.stop()
        if self.fair_queue is not None:
            longest_deadline = max(entry.deadline for entry in self.config.classes)
            self.fair_queue.stop(self.loop.clock() + longest_deadline)
        self.on_stopped = on_stopped
        self.server.drain()
        self.loop.call_at(self.loop.now, lambda: None)

    def close(self) -> None:
        """Close all sockets and extensions."""
        if self.turn.run in self.loop.turn_hooks:
            self.loop.turn_hooks.remove(self.turn.run)
        self.server.close()
        self.metrics_server.close()
        self.upstream.close()
        self.extensions.close()

    def _end_when_idle(self) -> None:
        idle = not self.clients.open and not self.dispatcher.running() and not self.server.connections
        if self.stopping and idle and self.on_stopped is not None:
            callback, self.on_stopped = self.on_stopped, None
            callback()
