"""A stand-in holder: remote read over seeded data, a few cores' worth of service time, faults on request.

``POST /control`` with a JSON object changes how it behaves from the next request on; see ``Faults``. It
writes a record of what came in and went out, from which the audit judges the brokers.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import numpy as np

from quincepath.fronts.remote_read.codec import HEADERS, CodecError, decode_request, encode
from quincepath.fronts.remote_read.matchers import MatcherError
from quincepath.fronts.remote_read.remote_pb2 import Query, ReadRequest
from quincepath.net.http1 import Limits, Request, response_head
from quincepath.net.loop import Loop, Timer
from quincepath.net.server import ClientConnection, Exchange, HttpServer, Timeouts
from quincepath.standins.data import Store
from quincepath.standins.model import Job, Server, ServerConfig, State
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Got, Mark, Said, Up, Writer

MS = 1_000_000
SECOND = 1000 * MS
PATH = "/api/v1/read"
FAR = 1 << 62  # ns: a holder of remote read is not told when its client gives up
TIMES = Timeouts(idle=120 * SECOND, request=30 * SECOND, write=30 * SECOND)
INCIDENT = "incident"  # a matcher on this label that all series pass: what a query is meant to do to a holder
POISON = "poison"
HEAVY = "heavy-"  # and how many times the work
FAULTS = (
    "none", "hang", "silence", "errors", "full", "reset", "cut", "trickle", "corrupt", "miscount", "oversize",
    "late",
)  # fmt: skip


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """How it misbehaves. ``share`` of the calls meet ``fault``; the rest is as in the laboratory's model.

    hang: taken, never answered. silence: not read any more. errors: 500. full: 429. reset: the connection is
    reset. cut: it ends inside the body. trickle: a byte a second. corrupt: not snappy. miscount: a result too
    few. oversize: 80 MB. late: answered after ``late_ms``. ``slow`` times as long, ``steal`` a share of the
    machine, ``lose`` a share of the answers. ``metric``: only calls that read it meet ``fault``.
    ``handshake_ms``: a new connection is read only after it. ``deaf_to``: brokers to which nothing gets back.
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
    """What a part costs, by metric where ``works`` names it, and what the holder can do. Times in ns.

    ``cold`` of 1 is a warm start. A part's work is the same at each holder and attempt: drawn by its name.
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
        """As the laboratory's model has it."""
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
    """One holder on a loop."""

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
        self._met = 0.0
        self._look: Timer | None = None
        self.server = HttpServer(
            loop, "127.0.0.1", port, self._request, Limits(body=8 << 20), TIMES, max_connections,
            on_connection=self._greet,
        )  # fmt: skip
        self.port = self.server.port
        self.url = f"http://127.0.0.1:{self.port}{PATH}"
        if record is not None:
            capacity = self.service.cores * self.service.speed * 1e9
            record.write(Up(self.loop.clock(), name, self.service.cold, self.service.ramp, capacity))

    @property
    def faults(self) -> Faults:
        """How it misbehaves now."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._catch_up()
        self._faults = faults
        model_faults = self.model.faults
        model_faults.slow, model_faults.steal, model_faults.paused = faults.slow, faults.steal, faults.paused
        model_faults.lose = faults.lose
        self._arm()

    def close(self, reset: bool = False) -> None:
        """Stop; ``reset`` as if the process had been killed."""
        for peer in list(self.server.connections):
            peer.stream.close(reset)
        self.server.close()
        self.model.stop(self.loop.now, State.DOWN)
        if self._look is not None:
            self._look.cancel()

    def _request(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == "/control" and request.method == "POST":
            self._control(exchange)
        elif request.path == PATH and request.method == "POST":
            self._read(exchange)
        else:
            exchange.text(404, f"not found; remote read is at {PATH}")

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
        works = self._works(request, parts)
        sender = exchange.request.headers.get("x-quincepath-broker", "")
        broker = int(sender) if _is_number(sender) else 0
        if self.record is not None:
            for (query, shard, step, attempt), work in zip(parts, works, strict=False):
                self.record.write(
                    Got(self.loop.clock(), self.name, query, shard, step, attempt, int(work), broker)
                )
        call = _Call(exchange, request, parts, broker)
        poison = any(value == POISON for _, value in map(_meant, request.queries))
        job = Job(sum(works), FAR, frozenset(), call, poison)
        exchange.on_disconnect = lambda: self.model.cancel(self.loop.now, job)
        if self._faulty(call):
            return
        self._catch_up()
        said = self.model.offer(self.loop.now, job)
        if said == "full":
            self._say(call, 503, {"Retry-After": "1"}, b"full\n", False)
        elif said == "fell":
            if self.record is not None:
                self.record.write(Mark(self.loop.clock(), f"{self.name} fell over"))
            self.close(reset=True)  # pushed over: down until somebody starts it anew
        else:
            self._arm()

    def _works(self, request: ReadRequest, parts: list[tuple[str, int, int, int]]) -> list[float]:
        """The work of each part; one for a client that names none."""
        service = self.service
        meant = [_meant(query) for query in request.queries] or [("", "")]
        alike = len(meant) == len(parts)
        found = []
        for place, (query, shard, step, _) in enumerate(parts or [("", 0, 1, 0)]):
            metric, incident = meant[place if alike else 0]
            mean = float(service.works.get(metric, service.work))
            if incident.startswith(HEAVY):
                mean *= float(incident.removeprefix(HEAVY))
            if service.spread:
                name = f"{query.partition('.')[0]}/{shard}/{step}"
                normal = float(np.random.default_rng(zlib.crc32(name.encode())).standard_normal())
                mean *= float(np.exp(service.spread * normal - service.spread**2 / 2))
            found.append(mean)
        return found

    def _greet(self, peer: ClientConnection) -> None:
        """A new connection; with slow handshakes nothing that it sends is read for a time."""
        if self.faults.handshake_ms:
            peer.stream.pause()
            self.loop.call_in(int(self.faults.handshake_ms * MS), peer.stream.resume)

    def _faulty(self, job: _Call) -> bool:
        """Carry out a fault that needs no service; the share is met evenly, without chance."""
        fault = self.faults.fault
        if fault == "none":
            return False
        if self.faults.metric and all(_meant(q)[0] != self.faults.metric for q in job.request.queries):
            return False
        self._met += self.faults.share
        if self._met < 1:
            return False
        self._met -= 1
        match fault:
            case "hang":
                pass
            case "silence":
                job.exchange.connection.stream.pause()
            case "errors":
                self._say(job, 500, {}, b"failing\n", False)
            case "full":
                self._say(job, 429, {"Retry-After": "1"}, b"full\n", False)
            case "reset":
                job.exchange.connection.stream.close(reset=True)
            case "cut":
                self._raw(job, response_head(200, HEADERS, 100_000, True) + b"x" * 100)
                job.exchange.connection.stream.close()
            case "trickle":
                self._raw(job, response_head(200, HEADERS, 1000, True))
                self._trickle(job)
            case "corrupt":
                self._say(job, 200, HEADERS, b"\xff\xff\xff\xff\xff not snappy", False)
            case "miscount":
                answer = self.store.read(job.request)
                del answer.results[-1]
                self._say(job, 200, HEADERS, encode(answer), False)
            case "oversize":
                self._say(job, 200, HEADERS, b"\0" * 80_000_000, False)
            case _:
                self.loop.call_in(int(self.faults.late_ms * MS), lambda: self._answer(job))
        return True

    @staticmethod
    def _raw(job: _Call, data: bytes) -> None:
        job.exchange.answered = True
        job.exchange.connection.stream.write(data)

    def _trickle(self, job: _Call) -> None:
        stream = job.exchange.connection.stream
        if not stream.closed:
            stream.write(b"x")
            self.loop.call_in(SECOND, lambda: self._trickle(job))

    def _catch_up(self) -> None:
        """Carry the model on to now and answer what ended on the way."""
        for _, job in self.model.advance(self.loop.now):
            if not job.cancelled and not (
                self.model.faults.lose and self.model.draw() < self.model.faults.lose
            ):
                self._answer(job.tag)

    def _arm(self) -> None:
        """Look again when the model's next job ends."""
        if self._look is not None:
            self._look.cancel()
        if self.model.poisoned():
            self.close(reset=True)
            self.on_crash()
            return
        due = self.model.next_completion()
        self._look = None if due is None else self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self._look = None
        self._catch_up()
        self._arm()

    def _answer(self, job: _Call) -> None:
        if job.exchange.connection.stream.closed:
            return
        try:
            body = encode(self.store.read(job.request))
        except MatcherError as error:
            self._say(job, 400, {}, str(error).encode(), False)
            return
        self._say(job, 200, HEADERS, body, True)

    def _say(self, job: _Call, status: int, headers: dict[str, str], body: bytes, good: bool) -> None:
        if self.record is not None:
            for query, shard, step, attempt in job.parts:
                now = self.loop.clock()
                self.record.write(Said(now, self.name, query, shard, step, attempt, status, good))
        if job.broker in self.faults.deaf_to:
            return  # it went out and got lost
        job.exchange.on_disconnect = None
        job.exchange.respond(status, headers, body)


def _is_number(text: str) -> bool:
    """Plain digits only: others, such as superscripts, are digits to ``isdigit`` and not to ``int``."""
    return text.isascii() and text.isdigit() and len(text) < 16


def _meant(query: Query) -> tuple[str, str]:
    """The metric that a query reads, and what it is meant to do to the holder."""
    metric = incident = ""
    for matcher in query.matchers:
        if matcher.name == "__name__":
            metric = matcher.value
        elif matcher.name == INCIDENT:
            incident = matcher.value
    return metric, incident


def parts_of(request: Request) -> list[tuple[str, int, int, int]]:
    """What a broker says of the parts in a call: (query, shard, step, attempt); empty for other clients."""
    found = []
    for item in request.headers.get("x-quincepath-parts", "").split(","):
        pieces = item.strip().split("/")
        if len(pieces) == 4 and all(_is_number(piece) for piece in pieces[1:]):
            found.append((pieces[0], int(pieces[1]), int(pieces[2]), int(pieces[3])))
    return found
