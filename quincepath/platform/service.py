"""The broker on the platform: connects clients, driver, nodes and discovery on one loop; decides nothing."""

import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from quincepath.broker.driver import DecisionModule, Driver
from quincepath.interface import Members, NodeId, Phase, Scope, Settings
from quincepath.limits.gate import AdmissionGate, Bounds
from quincepath.net.client_connection import STALE_TURN_NS, ClientConnection, Exchange, Timeouts
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop, Timer
from quincepath.net.server import HttpServer
from quincepath.orders import (
    AttemptEnded,
    AttemptSendDeadline,
    Breach,
    ClientLeft,
    Finish,
    Input,
    LateReply,
    LogLine,
    MembershipUpdate,
    NodeSendDeadline,
    QueryArrived,
    RefreshMembership,
    ReplyHeld,
    StartCall,
    StopAttempt,
    Verdict,
    Withdraw,
)
from quincepath.platform import descriptors, process_memory, status
from quincepath.platform.client_connections import ClientConnections
from quincepath.platform.client_protocol import RequestError, encode_response, read_query, refusal
from quincepath.platform.config import Address, Configuration
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.discovery import Discovery
from quincepath.platform.list_timing import PULL_WATCH_MS, PUSH_WATCH_MS
from quincepath.platform.nodes import NodePool
from quincepath.platform.request_ids import RequestIds
from quincepath.platform.shutdown import ShutdownSchedule
from quincepath.platform.targets import TargetList, TargetListError, TargetTable, read_list
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
REPORT_INTERVAL_NS = 10 * SECOND  # between two log lines of counters
SHUTDOWN_POLL_NS = 50 * MS  # between checks whether all queries are answered
# Time that a request may have waited unread without being taken off: half of the slack that the time told to
# nodes has. Less would refuse queries of a busy broker that it still serves in time.
MAX_UNREAD_NS = 75 * MS
FIRST_LIST_TIMEOUT_S = 0.25  # for a first response of discovery, before clients are accepted
MAX_ROUNDS_PER_TURN = 1000  # of the driver: a module that always wants to go on must not block the loop
log = logging.getLogger("quincepath")


class Broker:
    """One broker. ``on_stopped`` is called once after ``stop``, when all queries are answered."""

    def __init__(
        self,
        config: Configuration,
        loop: Loop,
        make_module: Callable[[Settings, int], DecisionModule] = Aggregator,
        wall_ms: Callable[[], float] = lambda: time.time() * 1000,
    ) -> None:
        self.config, self.loop, self.site, self._wall_ms = config, loop, config.site, wall_ms
        self.counts: Counter[str] = Counter()
        self.driver = Driver(
            make_module(config.settings, config.seed), config.settings, config.site.drain_grace
        )
        self.admission = AdmissionGate(
            Bounds(config.site.max_open, config.settings.limits.max_retry_after), config.seed + 1
        )
        self.targets = TargetTable(config.site.zones, config.site.kinds)
        self.exchanges: dict[int, Exchange] = {}
        self.request_ids = RequestIds()
        self._inputs: list[Input] = []
        self._last_handle = 0
        self._wakeup: Timer | None = None
        self._wakeup_at = 0
        classes = config.settings.classes
        self.shutdown = ShutdownSchedule([c.deadline for c in classes], [c.target for c in classes])
        self.stopping = False
        self._discovery_ok = False  # the last call to discovery returned a usable list
        self._failure_reported = False  # to the module, since that call or since it asked for the list
        self.on_stopped: Callable[[], None] | None = None
        self.slowest_turn = self.max_lateness = 0
        connection_limits = descriptors.allocate(config.limits.sockets)
        limits = config.settings.limits
        self.nodes = NodePool(
            loop, config.site.max_streams, ConnectionTimeouts(limits.connect_timeout, limits.idle_close),
            descriptors.MAX_CONNECTIONS_PER_NODE, connection_limits.nodes, self._address_of,
            self._add_input, config.site.report_fields, self._on_node_event, self._add_input,
        )  # fmt: skip
        self.connection_limits = connection_limits
        self.client_connections = ClientConnections(connection_limits)
        if config.known is not None:
            try:
                self._apply_list(config.known, cached=True)
            except TargetListError as error:  # the broker starts without it
                log.error("cached node list in the configuration is unusable: %s", error)
        pull_discovery = config.site.pull_discovery
        self.discovery = Discovery(
            loop, config.discovery, self._on_list, self._on_discovery_failed, config.seed + 2,
            PULL_WATCH_MS if pull_discovery else PUSH_WATCH_MS, shared=pull_discovery,
            held_version=self._held_version(config) if pull_discovery else None,
        )  # fmt: skip
        # The agent's list is in force from the start, and ``known`` may be older: no client is accepted until
        # discovery has answered or this time is over. It is long enough to retry a call that breaks off.
        loop.run_until(lambda: self._discovery_ok, FIRST_LIST_TIMEOUT_S)
        self.server = HttpServer(
            loop, config.listen[0], config.listen[1], self._on_request,
            Limits(descriptors.MAX_HEADER_BYTES, descriptors.MAX_BODY_BYTES),
            Timeouts(
                descriptors.IDLE_NS, descriptors.REQUEST_NS, descriptors.WRITE_NS,
                descriptors.FIRST_REQUEST_NS, descriptors.LINGER_NS,
            ),
            connection_limits.clients + 8, self._on_accepting_paused, enforce_limit=self._enforce_limit,
            on_closed=self.client_connections.on_closed,
            max_input_bytes=process_memory.input_limit(config.limits.memory_mb),
        )  # fmt: skip
        loop.turn_hooks.append(self._on_turn)
        loop.call_in(REPORT_INTERVAL_NS, self._report)

    def _held_version(self, config: Configuration) -> int | None:
        """The version of the full list in the configuration; None where there is no usable one."""
        known = config.known
        usable = known is not None and known.full and self.targets.version == known.version
        return self.targets.version if usable else None

    # --- clients ---

    def _on_request(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == "GET" and request.path.startswith("/-/"):
            self._answer_status_request(exchange, request.path)
            return
        self._last_handle += 1
        handle = self._last_handle
        try:
            ask = read_query(request, handle, self.site, self.request_ids)
        except RequestError as error:
            self.counts["bad"] += 1
            exchange.request.keep_alive = False  # nothing more is read from such a client
            exchange.text(error.status, str(error))
            return
        waited = self.loop.now - exchange.received_at  # unread, while this process was held up
        if waited > MAX_UNREAD_NS:
            ask = replace(ask, time_left=ask.time_left - waited)
            if ask.time_left <= 0:
                self.counts["over when read"] += 1
                self._refuse(exchange, "its time may be over")
                return
        left = self.shutdown.time_left(self.loop.now, ask.kind, ask.time_left)
        if left is None:
            self.counts["turned away at the end"] += 1
            exchange.request.keep_alive = False
            self._refuse(exchange, "stopping")
            return
        if left < ask.time_left:
            ask = replace(ask, time_left=left)
        rejection = self.admission.admit(
            self.loop.now, self.driver.open_count() + self._arriving(), 1 + len(ask.parts)
        )
        if rejection is not None:
            self.counts["turned away"] += 1
            exchange.respond(*refusal(rejection.cause, self._retry_after(rejection.retry_in)))
            return
        self.counts["taken"] += 1
        exchange.release_body(len(ask.parts[0].payload))  # all parts have the same
        self.client_connections.on_query(exchange.connection)
        self.exchanges[handle] = exchange
        self.request_ids.add(ask.name, handle)
        exchange.on_disconnect = lambda: self._on_client_left(handle)
        self._inputs.append(QueryArrived(ask))

    def _refuse(self, exchange: Exchange, cause: str) -> None:
        """Refuse a query of which nothing was sent, for a cause other than the load."""
        exchange.respond(
            *refusal(cause, self._retry_after(self.admission.reject_with_base_delay(cause).retry_in))
        )

    def _arriving(self) -> int:
        """Queries and parts accepted in this turn, which the driver does not know yet."""
        return sum(1 + len(item.ask.parts) for item in self._inputs if isinstance(item, QueryArrived))

    def _retry_after(self, retry_in: int) -> int:
        return retry_in if self.config.settings.limits.retry_after else 0

    def _answer_status_request(self, exchange: Exchange, path: str) -> None:
        if path == "/-/healthy":
            exchange.text(200, "up")
        elif path == "/-/ready":
            ready = not self.stopping and (self.targets.version >= 0)
            exchange.text(200 if ready else 503, "ready" if ready else "not ready")
        elif path == "/-/state":
            exchange.respond(200, {"Content-Type": "application/json"}, msgspec.json.encode(self.state()))
        else:
            exchange.text(404, "not found")

    def _remove_exchange(self, handle: int, may_have_run: bool) -> Exchange | None:
        self.request_ids.close(handle, may_have_run)
        return self.exchanges.pop(handle, None)

    def _on_client_left(self, handle: int) -> None:
        if self._remove_exchange(handle, may_have_run=True) is not None:
            self.counts["left"] += 1
            self._inputs.append(ClientLeft(handle))

    def _enforce_limit(self, server: HttpServer, newest: ClientConnection) -> None:
        count = len(server.connections) - len(server.lingering)
        self.client_connections.enforce_limit(self.loop.now, count, server.connections, newest)

    def _on_accepting_paused(self, why: str) -> None:
        self.counts["accepting paused"] += 1

    # --- nodes and the node list ---

    def _address_of(self, node: NodeId) -> Address | None:
        listed = self.targets.nodes.get(node)
        return None if listed is None else (listed.host, listed.port)

    def _add_input(self, item: AttemptEnded | ReplyHeld | LateReply) -> None:
        self._inputs.append(item)

    def _on_node_event(self, what: str, node: NodeId, why: str) -> None:
        self.counts[what] += 1
        log.warning("%s node=%s cause=%s", what, node.decode("ascii", "replace"), why)

    def _apply_list(self, update: TargetList, cached: bool = False, base: bool = False) -> None:
        members = self.targets.apply(self.loop.now, self._wall_ms(), update, cached, base)
        if members is None:
            return
        self._inputs.append(MembershipUpdate(members))
        listed = set()
        for entry in members.entries:
            listed.add(entry.node)
            if entry.phase is not Phase.READY:
                self.nodes.close_node(entry.node)
                log.info("node=%s %s", entry.node.decode("ascii", "replace"), entry.phase.name.lower())
        if members.scope is Scope.FULL:
            for node in [node for node in self.nodes.connections if node not in listed]:
                self.nodes.close_node(node)

    def _on_list(self, body: bytes, full: bool, overlapped: bool) -> int | None:
        update = read_list(body)
        if full and not update.full:
            raise TargetListError("a delta in response to a request for the full list")
        superseded = overlapped and update.version < self.targets.version
        if not superseded:
            self._apply_list(update, base=full)
        self._discovery_ok, self._failure_reported = True, False
        if superseded:
            return self.targets.version
        # A version lower than the one requested from: discovery restarted its numbering, so the full list is
        # the new base.
        return None if update.version < self.targets.version else update.version

    def _on_discovery_failed(self, why: str) -> None:
        self.counts["discovery failed"] += 1
        log.warning("discovery failed: %s", why)
        self._discovery_ok = False
        # Reported only in pull mode, and once: the module asks again on each report, and each request for the
        # list has a price.
        if self.site.pull_discovery and not self._failure_reported:
            self._failure_reported = True
            self._inputs.append(MembershipUpdate(Members(Scope.FAILED, max(self.targets.version, 0), ())))

    # --- driver ---

    def _on_turn(self) -> None:
        """The turn hook: one batch of inputs to the driver, then execute its orders."""
        began = self.loop.clock()
        if self.loop.time_unseen() >= STALE_TURN_NS:
            self.nodes.read_arrived()  # the module's timers must not overtake replies
        due = self.driver.next_due()
        for _ in range(MAX_ROUNDS_PER_TURN):
            if not self._inputs and (due is None or due > self.loop.now):
                break
            inputs, self._inputs = self._inputs, []
            for order in self.driver.step(self.loop.now, inputs):
                self._execute(order)
            due = self.driver.next_due()
        if self._inputs:
            due = self.loop.now
        if due is not None and (self._wakeup is None or self._wakeup.call is None or due < self._wakeup_at):
            if self._wakeup is not None:
                self._wakeup.cancel()
            self._wakeup_at = due
            self._wakeup = self.loop.call_at(due, lambda: None)  # ends the wait; this hook does the work
        ended = self.loop.clock()
        self.slowest_turn = max(self.slowest_turn, ended - began)
        self.max_lateness = max(self.max_lateness, ended - self.loop.now)

    def _execute(self, order: Any) -> None:
        match order:
            case StartCall():
                self.counts["further attempts"] += status.log_retries(log, order)
                self.nodes.start(order)
            case StopAttempt(part, attempt):
                self.nodes.stop(part, attempt)
            case Withdraw(part, attempt):
                self.nodes.withdraw(part, attempt)
            case NodeSendDeadline(node, at):
                self.nodes.limit_send_start(node, at)
            case AttemptSendDeadline(part, attempt, at):
                self.nodes.limit_attempt_start(part, attempt, at)
            case Finish():
                self._finish(order)
            case LogLine(text):
                log.warning("module: %s", text)
            case Breach(name, detail):
                self.counts[f"breach {name}"] += 1
                log.error("contract violated, effect suppressed: %s: %s", name, detail)
            case RefreshMembership():
                self._failure_reported = False
                if not self._discovery_ok:  # else the open watch reports all changes
                    self.discovery.refresh()

    def _finish(self, finish: Finish) -> None:
        exchange = self._remove_exchange(finish.handle, may_have_run=finish.attempts > 0)
        if exchange is None:
            return
        exchange.on_disconnect = None
        answered = finish.verdict is Verdict.ANSWERED
        self.counts["whole" if answered and finish.whole else finish.verdict.value] += 1
        if not answered:
            self.counts[f"{finish.verdict.value}: {finish.cause}"] += 1
            log.info(
                "query=%s %s: %s, %d of %d parts in, %d attempts, %.0f ms",
                exchange.request.headers["req-id"], finish.verdict.value, finish.cause, finish.parts_in,
                finish.parts_asked, finish.attempts, finish.took / MS,
            )  # fmt: skip
        status, headers, body = encode_response(finish)
        exchange.respond(status, headers, body)

    # --- status ---

    def state(self) -> dict[str, Any]:
        """The driver's view and that of the connections, for ``/-/state``."""
        return status.status_page(self)

    def _report(self) -> None:
        self.loop.call_in(REPORT_INTERVAL_NS, self._report)
        log.info("%s", status.counters_line(self))
        self.slowest_turn = self.max_lateness = self.loop.longest_sockets = 0

    # --- configuration and shutdown ---

    def move_discovery(self, address: Address) -> None:
        """Switch to a new address of discovery, after a change of the configuration."""
        log.info("discovery is now at %s:%d", *address)
        self.discovery.move(address)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Report not ready, keep serving as long as ``ShutdownSchedule`` says, then stop."""
        if self.stopping:
            return
        log.info("stopping, %d queries open", len(self.exchanges))
        self.stopping = True
        self.on_stopped = on_stopped
        self.shutdown.begin(self.loop.now - self.loop.lag)  # the signal may have been pending
        self.loop.call_at(self.shutdown.accepts_until(), self._drain_clients)

    def _drain_clients(self) -> None:
        self.server.drain()
        assert self.shutdown.answer_by is not None
        self.loop.call_at(self.shutdown.answer_by, self.server.reject_incomplete_requests)
        self._stop_when_done()

    def _stop_when_done(self) -> None:
        # Lingering connections are waited for, but not until SIGKILL; every open query must be answered.
        last = self.shutdown.exits_at()
        if self.exchanges or self.server.connections and self.loop.now < last:
            again = self.loop.now + SHUTDOWN_POLL_NS
            self.loop.call_at(min(again, last) if self.loop.now < last else again, self._stop_when_done)
        elif self.on_stopped is not None:
            done, self.on_stopped = self.on_stopped, None
            log.info("all is answered")
            self._report()
            done()

    def close(self) -> None:
        """Close all sockets."""
        if self._on_turn in self.loop.turn_hooks:
            self.loop.turn_hooks.remove(self._on_turn)
        self.server.close()
        self.nodes.close()
        self.discovery.close()
