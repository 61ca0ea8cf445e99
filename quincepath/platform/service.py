"""The broker on the platform: clients, driver, nodes and discovery on one loop. Wires; decides nothing."""

import logging
import os
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from quincepath.broker.driver import DecisionModule, Driver
from quincepath.interface import Members, NodeId, Phase, Scope, Settings
from quincepath.limits.gate import AdmissionGate, Bounds
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop, Timer
from quincepath.net.server import ClientConnection, Exchange, HttpServer, Timeouts
from quincepath.orders import (
    AttemptEnded,
    Breach,
    ClientLeft,
    Finish,
    Input,
    LogLine,
    MembershipUpdate,
    NodeSendDeadline,
    QueryArrived,
    RefreshMembership,
    StartCall,
    StopAttempt,
    Verdict,
    Withdraw,
)
from quincepath.platform import descriptors, status
from quincepath.platform.client_protocol import RequestError, encode_response, read_query, refusal
from quincepath.platform.config import Address, Configuration
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.discovery import Discovery
from quincepath.platform.list_timing import PULL_WATCH_MS, PUSH_WATCH_MS
from quincepath.platform.nodes import NodePool
from quincepath.platform.shutdown import ShutdownSchedule
from quincepath.platform.targets import TargetList, TargetListError, TargetTable, read_list
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
REPORT = 10 * SECOND  # between two lines of counts
ENDING = 50 * MS  # how often it is looked whether all is answered
FIRST_NEWS = 0.25  # seconds that discovery gets to speak before clients are let in
ROUNDS = 1000  # of the driver in one turn: a module that asks for ever must not keep the loop from waiting
log = logging.getLogger("quincepath")


class Broker:
    """One broker. ``on_ended`` is called once after ``stop`` when nothing is owed any more."""

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
        self.door = AdmissionGate(
            Bounds(config.site.max_open, config.settings.limits.max_retry_after), config.seed + 1
        )
        self.targets = TargetTable(config.site.zones, config.site.kinds)
        self.open: dict[int, Exchange] = {}
        self.names: dict[str, int] = {}  # of open queries
        self._name_of: dict[int, str] = {}
        self._bringers: dict[
            ClientConnection, None
        ] = {}  # connections that brought queries, the longest unused first
        self._inputs: list[Input] = []
        self._handles = 0
        self._due: Timer | None = None
        self._due_at = 0
        classes = config.settings.classes
        self.ending = ShutdownSchedule([c.deadline for c in classes], [c.target for c in classes])
        self.stopping = False
        self._watched = False  # the last call to discovery brought something usable
        self._failure_told = False  # to the module, since then or since it asked
        self.on_ended: Callable[[], None] | None = None
        self.slowest_turn = self.latest = 0
        room = descriptors.allocate(config.limits.sockets)
        limits = config.settings.limits
        self.nodes = NodePool(
            loop, config.site.max_streams, ConnectionTimeouts(limits.connect_timeout, limits.idle_close),
            descriptors.MAX_CONNECTIONS_PER_NODE, room.nodes, self._where, self._ended,
            config.site.report_fields, self._node_event,
        )  # fmt: skip
        self.room = room
        if config.known is not None:
            try:
                self._listed(config.known, cached=True)
            except TargetListError as error:  # one that is brought along is no reason not to start
                log.error("the list of the configuration is unusable: %s", error)
        pull_discovery = config.site.pull_discovery
        self.discovery = Discovery(
            loop, config.discovery, self._discovered, self._discovery_failed, config.seed + 2,
            PULL_WATCH_MS if pull_discovery else PUSH_WATCH_MS, shared=pull_discovery,
            held=self._held_version(config) if pull_discovery else None,
        )  # fmt: skip
        # What the agent has counts as told from the first moment, and ``known`` may be older: no client is
        # let in before it has spoken, or had the time: a call that breaks off is made again within that.
        loop.run_until(lambda: self._watched, FIRST_NEWS)
        self.server = HttpServer(
            loop, config.listen[0], config.listen[1], self._request,
            Limits(descriptors.HEAD_MOST, descriptors.BODY_MOST),
            Timeouts(
                descriptors.IDLE, descriptors.REQUEST, descriptors.WRITE,
                descriptors.FIRST, descriptors.LINGER,
            ),
            room.clients + 8, self._accepting_paused, enforce_limit=self._make_room,
        )  # fmt: skip
        loop.turn_hooks.append(self._turn)
        loop.call_in(REPORT, self._report)

    def _held_version(self, config: Configuration) -> int | None:
        """Of the whole list that the configuration brought along; None where it brought no usable one."""
        known = config.known
        usable = known is not None and known.full and self.targets.version == known.version
        return self.targets.version if usable else None

    # --- clients ---

    def _request(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == "GET" and request.path.startswith("/-/"):
            self._asked_about(exchange, request.path)
            return
        self._handles += 1
        handle = self._handles
        try:
            ask = read_query(request, handle, self.site, self.names)
        except RequestError as error:
            self.counts["bad"] += 1
            exchange.request.keep_alive = False  # what else such a client sends is not worth reading
            exchange.text(error.status, str(error))
            return
        left = self.ending.time_left(self.loop.now, ask.kind, ask.time_left)
        if left is None:
            self.counts["turned away at the end"] += 1
            exchange.request.keep_alive = False
            exchange.respond(
                *refusal("stopping", self._advice(self.door.reject_with_base_delay("stopping").retry_in))
            )
            return
        if left < ask.time_left:
            ask = replace(ask, time_left=left)
        away = self.door.admit(self.loop.now, self.driver.open_count() + self._arriving(), 1 + len(ask.parts))
        if away is not None:
            self.counts["turned away"] += 1
            exchange.respond(*refusal(away.cause, self._advice(away.retry_in)))
            return
        self.counts["taken"] += 1
        self._keep(exchange.connection)
        self.open[handle] = exchange
        self.names[ask.name] = handle
        self._name_of[handle] = ask.name
        exchange.on_disconnect = lambda: self._left(handle)
        self._inputs.append(QueryArrived(ask))

    def _arriving(self) -> int:
        """Queries and parts taken in this turn, which the driver does not know yet."""
        return sum(1 + len(item.ask.parts) for item in self._inputs if isinstance(item, QueryArrived))

    def _advice(self, retry_in: int) -> int:
        return retry_in if self.config.settings.limits.retry_after else 0

    def _asked_about(self, exchange: Exchange, path: str) -> None:
        if path == "/-/healthy":
            exchange.text(200, "up")
        elif path == "/-/ready":
            ready = not self.stopping and (self.targets.version >= 0)
            exchange.text(200 if ready else 503, "ready" if ready else "not ready")
        elif path == "/-/state":
            exchange.respond(200, {"Content-Type": "application/json"}, msgspec.json.encode(self.state()))
        else:
            exchange.text(404, "not found")

    def _forget(self, handle: int) -> Exchange | None:
        exchange = self.open.pop(handle, None)
        name = self._name_of.pop(handle, "")
        if self.names.get(name) == handle:
            del self.names[name]
        return exchange

    def _left(self, handle: int) -> None:
        if self._forget(handle) is not None:
            self.counts["left"] += 1
            self._inputs.append(ClientLeft(handle))

    def _keep(self, peer: ClientConnection) -> None:
        """A connection brings a query: it is worth keeping, and of those the one unused for longest is not.

        Guards against clients that ask once and hold on: they may hold so many connections, and who comes
        next would find no place on their side.
        """
        peer.valued = True
        self._bringers.pop(peer, None)
        self._bringers[peer] = None
        if len(self._bringers) > self.room.kept:
            ending = next((p for p in self._bringers if p.closing), None)
            oldest = ending or next((p for p in self._bringers if not p.busy), None)
            if oldest is not None:
                del self._bringers[oldest]
                if oldest.waits():
                    oldest.end("cut, unused for longest")

    def _make_room(self, server: HttpServer, newest: ClientConnection) -> None:
        if len(server.connections) - len(server.lingering) <= self.room.clients:
            return
        found = descriptors.evict(self.loop.now, (peer for peer in server.connections if peer is not newest))
        if found is None:
            newest.end("cut as it came")
        else:
            found.end("cut for room" if found.valued else "cut for room, brought nothing")

    def _accepting_paused(self, why: str) -> None:
        self.counts["accepting paused"] += 1

    # --- nodes and their list ---

    def _where(self, node: NodeId) -> Address | None:
        known = self.targets.nodes.get(node)
        return None if known is None else (known.host, known.port)

    def _ended(self, ended: AttemptEnded) -> None:
        self._inputs.append(ended)

    def _node_event(self, what: str, node: NodeId, why: str) -> None:
        self.counts[what] += 1
        log.warning("%s node=%s cause=%s", what, node.decode("ascii", "replace"), why)

    def _listed(self, told: TargetList, cached: bool = False, base: bool = False) -> None:
        news = self.targets.apply(self.loop.now, self._wall_ms(), told, cached, base)
        if news is None:
            return
        self._inputs.append(MembershipUpdate(news))
        named = set()
        for entry in news.entries:
            named.add(entry.node)
            if entry.phase is not Phase.READY:
                self.nodes.close_node(entry.node)
                log.info("node=%s %s", entry.node.decode("ascii", "replace"), entry.phase.name.lower())
        if news.scope is Scope.FULL:
            for node in [node for node in self.nodes.connections if node not in named]:
                self.nodes.close_node(node)

    def _discovered(self, body: bytes, whole: bool) -> int | None:
        told = read_list(body)
        if whole and not told.full:
            raise TargetListError("changes, where the whole list was asked for")
        self._listed(told, base=whole)
        self._watched, self._failure_told = True, False
        # Older than what it was asked to go on from: discovery numbers anew, and its whole list is the base.
        return None if told.version < self.targets.version else told.version

    def _discovery_failed(self, why: str) -> None:
        self.counts["discovery failed"] += 1
        log.warning("discovery failed: %s", why)
        self._watched = False
        # Only who asks is told, and once: the module asks again for each failure told, and lists are priced.
        if self.site.pull_discovery and not self._failure_told:
            self._failure_told = True
            self._inputs.append(MembershipUpdate(Members(Scope.FAILED, max(self.targets.version, 0), ())))

    # --- the driver ---

    def _turn(self) -> None:
        """The turn hook: one batch to the driver, its orders to the edge."""
        began = self.loop.clock()
        due = self.driver.next_due()
        for _ in range(ROUNDS):
            if not self._inputs and (due is None or due > self.loop.now):
                break
            inputs, self._inputs = self._inputs, []
            for order in self.driver.step(self.loop.now, inputs):
                self._carry_out(order)
            due = self.driver.next_due()
        if self._inputs:
            due = self.loop.now
        if due is not None and (self._due is None or self._due.call is None or due < self._due_at):
            if self._due is not None:
                self._due.cancel()
            self._due_at = due
            self._due = self.loop.call_at(due, lambda: None)  # ends the wait; the hook does the rest
        ended = self.loop.clock()
        self.slowest_turn = max(self.slowest_turn, ended - began)
        self.latest = max(self.latest, ended - self.loop.now)

    def _carry_out(self, order: Any) -> None:
        match order:
            case StartCall():
                self.nodes.start(order)
            case StopAttempt(part, attempt):
                self.nodes.stop(part, attempt)
            case Withdraw(part, attempt):
                self.nodes.withdraw(part, attempt)
            case NodeSendDeadline(node, at):
                self.nodes.leave_by(node, at)
            case Finish():
                self._finish(order)
            case LogLine(text):
                log.warning("module: %s", text)
            case Breach(name, detail):
                self.counts[f"breach {name}"] += 1
                log.error("contract broken, made harmless: %s: %s", name, detail)
            case RefreshMembership():
                self._failure_told = False
                if not self._watched:  # else the watch is open, and brings all that is new
                    self.discovery.ask_again()

    def _finish(self, finish: Finish) -> None:
        exchange = self._forget(finish.handle)
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

    # --- what is believed, and what is so ---

    def state(self) -> dict[str, Any]:
        """What is believed and what is so, for ``/-/state``."""
        return status.of(self)

    def _report(self) -> None:
        self.loop.call_in(REPORT, self._report)
        pages = 0
        try:
            with open("/proc/self/statm") as file:
                pages = int(file.read().split()[1])
        except OSError:
            pass
        log.info(
            "counts=%s attempts=%s server=%s peers=%d nodes=%d parts=%d "
            "turn_ms=%.1f late_ms=%.1f cpu_s=%.2f rss_kb=%d",
            dict(self.counts), dict(self.nodes.counts), dict(self.server.counts),
            len(self.server.connections), self.nodes.open_count(), len(self.driver.parts),
            self.slowest_turn / MS, self.latest / MS,
            time.process_time(), pages * os.sysconf("SC_PAGE_SIZE") // 1024,
        )  # fmt: skip
        self.slowest_turn = self.latest = 0

    # --- configuration and end ---

    def move_discovery(self, address: Address) -> None:
        """The configuration names another address."""
        log.info("discovery is now at %s:%d", *address)
        self.discovery.move(address)

    def stop(self, on_ended: Callable[[], None]) -> None:
        """Serve on for as long as ``ShutdownSchedule`` says, not ready any more; then end."""
        if self.stopping:
            return
        log.info("stopping, %d queries open", len(self.open))
        self.stopping = True
        self.on_ended = on_ended
        self.ending.begin(self.loop.now)
        self.loop.call_at(self.ending.accepts_until(), self._drain_clients)

    def _drain_clients(self) -> None:
        self.server.drain()
        assert self.ending.end is not None
        self.loop.call_at(self.ending.end, self.server.reject_incomplete_requests)
        self._end_when_done()

    def _end_when_done(self) -> None:
        # Lingering connections are waited for, but not up to the kill; who has asked is owed an answer.
        last = self.ending.exits_at()
        if self.open or self.server.connections and self.loop.now < last:
            again = self.loop.now + ENDING
            self.loop.call_at(min(again, last) if self.loop.now < last else again, self._end_when_done)
        elif self.on_ended is not None:
            done, self.on_ended = self.on_ended, None
            log.info("all is answered")
            self._report()
            done()

    def close(self) -> None:
        """Give back all sockets."""
        if self._turn in self.loop.turn_hooks:
            self.loop.turn_hooks.remove(self._turn)
        self.server.close()
        self.nodes.close()
        self.discovery.close()
