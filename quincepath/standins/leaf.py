"""A test double of a storage server (holder): remote read, modelled service time, faults on request.

``POST /control`` with a JSON object sets the faults from the next request on; see ``Faults``. The server
records the parts that it receives and answers; the audit checks the brokers against these records.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import numpy as np

from quincepath.fronts.remote_read.codec import HEADERS, CodecError, decode_request, encode
from quincepath.fronts.remote_read.matchers import MatcherError
from quincepath.fronts.remote_read.remote_pb2 import Query, ReadRequest
from quincepath.net.client_connection import ClientConnection, Exchange, Timeouts
from quincepath.net.http1 import Limits, Request, response_head
from quincepath.net.loop import Loop, Timer
from quincepath.net.server import HttpServer
from quincepath.standins.data import Store
from quincepath.standins.model import Job, Server, ServerConfig, State
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Got, Mark, Said, Up, Writer

MS = 1_000_000
SECOND = 1000 * MS
READ_PATH = "/api/v1/read"
NO_DEADLINE_NS = 1 << 62  # a remote read request does not state when its client gives up
TIMEOUTS = Timeouts(idle=120 * SECOND, request=30 * SECOND, write=30 * SECOND)
INCIDENT = "incident"  # label of a matcher that every series passes; the value sets the effect on a holder
POISON = "poison"  # crashes the holder while it runs
HEAVY = "heavy-"  # followed by the factor on the work
FAULTS = (
    "none", "hang", "silence", "errors", "full", "reset", "cut", "trickle", "corrupt", "miscount", "oversize",
    "late",
)  # fmt: skip


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a holder. ``share`` of the calls get ``fault``; the other faults apply to all calls.

    hang: accepted, never answered. silence: the connection is not read any more. errors: status 500. full:
    status 429. reset: the connection is reset. cut: it ends within the body. trickle: one byte a second.
    corrupt: the body is not snappy. miscount: one result is missing. oversize: a body of 80 MB. late:
    answered after ``late_ms``. ``slow``: factor on the service time; ``steal``: share of the machine that
    another program uses; ``lose``: share of the answers that are lost. ``metric``: only calls that read it
    get ``fault``. ``handshake_ms``: delay before a new connection is read. ``deaf_to``: brokers to which all
    answers are lost.
    """

    fault: str = "none"
    share: float = 1.0
    slow: float = 1.0
    late_ms: float = 3000.0
    steal: float = 0.0
    paused: bool = False
    lose: float = 0.0
    metric: str = ""
    handshake_ms: float = 0.0
    deaf_to: list[int] = []


@dataclass(slots=True, frozen=True)
class Service:
    """Work of a part, by metric where ``works`` names it, and the holder's capacity. Times in ns.

    ``cold`` is the share of its capacity that the holder has at its start; 1 is a warm start. With ``spread``
    the work of a part is log-normal, drawn by the part's name: the same at each holder and attempt.
    """

    work: int = 4 * MS
    cores: int = 2
    queue_limit: int = 64
    cold: float = 1.0
    ramp: int = 10 * SECOND
    spread: float = 0.0
    works: dict[str, int] = field(default_factory=dict)
    fall_multiple: float = 2.0
    overload_for: int = 2 * SECOND
    speed: float = 1.0

    def server_config(self) -> ServerConfig:
        """Return the configuration of the server model."""
        return ServerConfig(
            cores=self.cores, speed=self.speed, queue_limit=self.queue_limit,
            cold=min(self.cold, 1.0), ramp=self.ramp,
            fall_multiple=self.fall_multiple, overload_for=self.overload_for,
        )  # fmt: skip


@dataclass(slots=True, eq=False)
class _Call:
    exchange: Exchange
    request: ReadRequest
    parts: list[tuple[str, int, int, int]]
    broker: int = 0


class Leaf:
    """One holder, run by an event loop."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        store: Store,
        service: Service | None = None,
        record: Writer | None = None,
        port: int = 0,
        max_connections: int = 4000,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_crash = on_crash
        self.loop, self.name, self.store, self.record = loop, name, store, record
        self.service = service or Service()
        self._faults = Faults()
        warm = self.service.cold >= 1
        self.model = Server(name, self.service.server_config(), RandomStream(1, name), loop.now, warm)
        self.requests = 0
        self._fault_credit = 0.0
        self._model_timer: Timer | None = None
        self.server = HttpServer(
            loop, "127.0.0.1", port, self._request, Limits(body=8 << 20), TIMEOUTS, max_connections,
            on_connection=self._on_connection,
        )  # fmt: skip
        self.port = self.server.port
        self.url = f"http://127.0.0.1:{self.port}{READ_PATH}"
        if record is not None:
            capacity = self.service.cores * self.service.speed * 1e9
            record.write(Up(self.loop.clock(), name, self.service.cold, self.service.ramp, capacity))

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._advance_model()
        self._faults = faults
        model_faults = self.model.faults
        model_faults.slow, model_faults.steal, model_faults.paused = faults.slow, faults.steal, faults.paused
        model_faults.lose = faults.lose
        self._schedule_completion()

    def close(self, reset: bool = False) -> None:
        """Stop serving; ``reset`` resets the connections, as when the process is killed."""
        for peer in list(self.server.connections):
            peer.stream.close(reset)
        self.server.close()
        self.model.stop(self.loop.now, State.DOWN)
        if self._model_timer is not None:
            self._model_timer.cancel()

    def _request(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == "/control" and request.method == "POST":
            self._control(exchange)
        elif request.path == READ_PATH and request.method == "POST":
            self._read(exchange)
        else:
            exchange.text(404, f"not found; remote read is at {READ_PATH}")

    def _control(self, exchange: Exchange) -> None:
        try:
            faults = msgspec.json.decode(exchange.request.body, type=Faults)
        except msgspec.MsgspecError as error:
            exchange.text(400, str(error))
            return
        if faults.fault not in FAULTS:
            exchange.text(400, f"fault {faults.fault!r}; expected one of {', '.join(FAULTS)}")
            return
        self.faults = faults
        exchange.text(200, "done")

    def _read(self, exchange: Exchange) -> None:
        self.requests += 1
        try:
            request = decode_request(exchange.request.body, 64 << 20)
        except CodecError as error:
            exchange.text(400, str(error))
            return
        parts = parts_of(exchange.request)
        work_by_part = self._part_work(request, parts)
        sender = exchange.request.headers.get("x-quincepath-broker", "")
        broker = int(sender) if _is_number(sender) else 0
        if self.record is not None:
            for (query, shard, step, attempt), work in zip(parts, work_by_part, strict=False):
                self.record.write(
                    Got(self.loop.clock(), self.name, query, shard, step, attempt, int(work), broker)
                )
        call = _Call(exchange, request, parts, broker)
        poison = any(value == POISON for _, value in map(_metric_and_incident, request.queries))
        job = Job(sum(work_by_part), NO_DEADLINE_NS, frozenset(), call, poison)
        exchange.on_disconnect = lambda: self.model.cancel(self.loop.now, job)
        if self._inject_fault(call):
            return
        self._advance_model()
        outcome = self.model.offer(self.loop.now, job)
        if outcome == "full":
            self._respond(call, 503, {"Retry-After": "1"}, b"full\n", False)
        elif outcome == "fell":
            if self.record is not None:
                self.record.write(Mark(self.loop.clock(), f"{self.name} fell over"))
            self.close(reset=True)  # crashed by overload: down until it is restarted
        else:
            self._schedule_completion()

    def _part_work(self, request: ReadRequest, parts: list[tuple[str, int, int, int]]) -> list[float]:
        """Return the work of each part; one value for a client that names no parts."""
        service = self.service
        incidents = [_metric_and_incident(query) for query in request.queries] or [("", "")]
        one_query_per_part = len(incidents) == len(parts)
        results = []
        for position, (query, shard, step, _) in enumerate(parts or [("", 0, 1, 0)]):
            metric, incident = incidents[position if one_query_per_part else 0]
            mean = float(service.works.get(metric, service.work))
            if incident.startswith(HEAVY):
                mean *= float(incident.removeprefix(HEAVY))
            if service.spread:
                name = f"{query.partition('.')[0]}/{shard}/{step}"
                normal = float(np.random.default_rng(zlib.crc32(name.encode())).standard_normal())
                mean *= float(np.exp(service.spread * normal - service.spread**2 / 2))
            results.append(mean)
        return results

    def _on_connection(self, peer: ClientConnection) -> None:
        """Delay reading of a new connection by ``handshake_ms``."""
        if self.faults.handshake_ms:
            peer.stream.pause()
            self.loop.call_in(int(self.faults.handshake_ms * MS), peer.stream.resume)

    def _inject_fault(self, call: _Call) -> bool:
        """Apply the fault if this call gets it; the share is spread evenly over calls, not at random."""
        fault = self.faults.fault
        if fault == "none":
            return False
        if self.faults.metric and all(
            _metric_and_incident(q)[0] != self.faults.metric for q in call.request.queries
        ):
            return False
        self._fault_credit += self.faults.share
        if self._fault_credit < 1:
            return False
        self._fault_credit -= 1
        match fault:
            case "hang":
                pass
            case "silence":
                call.exchange.connection.stream.pause()
            case "errors":
                self._respond(call, 500, {}, b"failing\n", False)
            case "full":
                self._respond(call, 429, {"Retry-After": "1"}, b"full\n", False)
            case "reset":
                call.exchange.connection.stream.close(reset=True)
            case "cut":
                self._write_raw(call, response_head(200, HEADERS, 100_000, True) + b"x" * 100)
                call.exchange.connection.stream.close()
            case "trickle":
                self._write_raw(call, response_head(200, HEADERS, 1000, True))
                self._trickle(call)
            case "corrupt":
                self._respond(call, 200, HEADERS, b"\xff\xff\xff\xff\xff not snappy", False)
            case "miscount":
                answer = self.store.read(call.request)
                del answer.results[-1]
                self._respond(call, 200, HEADERS, encode(answer), False)
            case "oversize":
                self._respond(call, 200, HEADERS, b"\0" * 80_000_000, False)
            case _:
                self.loop.call_in(int(self.faults.late_ms * MS), lambda: self._answer(call))
        return True

    @staticmethod
    def _write_raw(call: _Call, data: bytes) -> None:
        call.exchange.answered = True
        call.exchange.connection.stream.write(data)

    def _trickle(self, call: _Call) -> None:
        stream = call.exchange.connection.stream
        if not stream.closed:
            stream.write(b"x")
            self.loop.call_in(SECOND, lambda: self._trickle(call))

    def _advance_model(self) -> None:
        """Advance the model to now and answer the jobs that completed."""
        for _, job in self.model.advance(self.loop.now):
            if not job.cancelled and not (
                self.model.faults.lose and self.model.draw() < self.model.faults.lose
            ):
                self._answer(job.tag)

    def _schedule_completion(self) -> None:
        """Set the timer for the model's next completion."""
        if self._model_timer is not None:
            self._model_timer.cancel()
        if self.model.poisoned():
            self.close(reset=True)
            self.on_crash()
            return
        next_completion = self.model.next_completion()
        self._model_timer = (
            None if next_completion is None else self.loop.call_at(next_completion, self._on_timer)
        )

    def _on_timer(self) -> None:
        self._model_timer = None
        self._advance_model()
        self._schedule_completion()

    def _answer(self, call: _Call) -> None:
        if call.exchange.connection.stream.closed:
            return
        try:
            body = encode(self.store.read(call.request))
        except MatcherError as error:
            self._respond(call, 400, {}, str(error).encode(), False)
            return
        self._respond(call, 200, HEADERS, body, True)

    def _respond(self, call: _Call, status: int, headers: dict[str, str], body: bytes, good: bool) -> None:
        if self.record is not None:
            for query, shard, step, attempt in call.parts:
                now = self.loop.clock()
                self.record.write(Said(now, self.name, query, shard, step, attempt, status, good))
        if call.broker in self.faults.deaf_to:
            return  # sent, but lost on the way
        call.exchange.on_disconnect = None
        call.exchange.respond(status, headers, body)


def _is_number(text: str) -> bool:
    """Return whether it is ASCII digits: ``isdigit`` alone accepts superscripts, which ``int`` rejects."""
    return text.isascii() and text.isdigit() and len(text) < 16


def _metric_and_incident(query: Query) -> tuple[str, str]:
    """Return the metric that a query reads and the incident that it causes at the holder."""
    metric = incident = ""
    for matcher in query.matchers:
        if matcher.name == "__name__":
            metric = matcher.value
        elif matcher.name == INCIDENT:
            incident = matcher.value
    return metric, incident


def parts_of(request: Request) -> list[tuple[str, int, int, int]]:
    """Parse the parts header of a broker: (query, shard, step, attempt) each; empty for other clients."""
    parts = []
    for item in request.headers.get("x-quincepath-parts", "").split(","):
        pieces = item.strip().split("/")
        if len(pieces) == 4 and all(_is_number(piece) for piece in pieces[1:]):
            parts.append((pieces[0], int(pieces[1]), int(pieces[2]), int(pieces[3])))
    return parts
