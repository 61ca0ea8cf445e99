"""A remote read client on the loop: sends queries, keeps what it saw, gives up when its time is up."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import numpy as np

from quincepath.fronts.remote_read.codec import HEADERS, VERSION_HEADER, encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.net.http1 import HttpError, Limits, Response, ResponseReader, request_bytes
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream
from quincepath.standins.data import BEGIN_MS, END_MS, LABEL, STEP_MS
from quincepath.standins.record import Ask, End, Writer

LIMITS = Limits(body=256 << 20)
SCOPE = "X-Scope-OrgID"  # by which a tenant names itself


@dataclass(slots=True, frozen=True)
class QueryPlan:
    """A query to send: its class by the rules of the configuration, shards it touches, its body."""

    kind: str
    shards: list[int]
    body: bytes
    request: ReadRequest
    patience: int  # ns
    headers: dict[str, str] = field(default_factory=dict)
    stated_timeout: int = 0  # ns that the broker takes it to wait, where that is not its patience


@dataclass(slots=True, frozen=True)
class QueryResult:
    """What came of one query. ``status`` 0: connection lost, -1: gave up."""

    plan: QueryPlan
    status: int
    took: int
    response: Response | None


class QuerySource:
    """Seeded queries: any-n glances over all districts, reports over some. Same seed, same queries."""

    def __init__(self, seed: int, districts: dict[str, int], patience: dict[str, int]) -> None:
        self.random = np.random.default_rng(seed)
        self.districts, self.patience = districts, patience

    def next(self, glances: float = 0.6, among: Sequence[str] = ()) -> QueryPlan:
        """One query; about six glances to four reports. ``among``: of these districts only."""
        request = ReadRequest()
        query = request.queries.add()
        names = sorted(among or self.districts)
        if self.random.random() < glances:
            kind, metric = "fleet-glance", "fuel_use_liters"
            chosen = names
            pattern = "|".join(name.replace(".", r"\.") for name in names) if among else ".+"
            query.matchers.add(type=LabelMatcher.RE, name=LABEL, value=pattern)
        else:
            kind, metric = "hours-report", "engine_hours"
            count = int(self.random.integers(1, min(4, len(names)) + 1))
            chosen = sorted(str(n) for n in self.random.choice(names, count, replace=False))
            pattern = "|".join(name.replace(".", r"\.") for name in chosen)
            query.matchers.add(type=LabelMatcher.RE, name=LABEL, value=pattern)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value=metric)
        steps = (END_MS - BEGIN_MS) // STEP_MS
        begin = int(self.random.integers(0, steps // 2))
        query.start_timestamp_ms = BEGIN_MS + begin * STEP_MS
        query.end_timestamp_ms = END_MS - int(self.random.integers(0, steps // 4)) * STEP_MS
        shards = sorted({self.districts[name] for name in chosen})
        return QueryPlan(kind, shards, encode(request), request, self.patience[kind])


@dataclass(slots=True, eq=False)
class _Line:
    """One connection to the broker: one query at a time, kept open between."""

    stream: Stream | None = None
    reader: ResponseReader = field(default_factory=lambda: ResponseReader(LIMITS))
    done: Callable[[Response | None], None] | None = None


class Client:
    """Sends queries to one remote read address; ``record`` gets each end. Bounded by its caller."""

    def __init__(self, loop: Loop, url: str, record: Writer | None = None, broker: int = 0) -> None:
        parts = urlsplit(url)
        self.loop, self.record, self.broker = loop, record, broker
        self.address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self.path = parts.path
        self.idle: list[_Line] = []
        self.open = 0

    def ask(self, name: str, plan: QueryPlan, done: Callable[[QueryResult], None]) -> None:
        """Send one query; ``done`` is called once."""
        self.open += 1
        began = self.loop.clock()
        if self.record:
            ask = plan.headers.get("Idempotency-Key", "")
            told = plan.stated_timeout or plan.patience
            tenant = plan.headers.get(SCOPE, "")
            self.record.write(Ask(began, name, plan.kind, plan.shards, told, self.broker, ask, tenant))
        over = False

        def end(status: int, response: Response | None) -> None:
            nonlocal over
            if over:
                if self.record and status > 0:  # a second answer is what the audit is for
                    self.record.write(End(self.loop.clock(), name, status))
                return
            over = True
            timer.cancel()
            self.open -= 1
            now = self.loop.clock()
            if self.record:
                self.record.write(_end_line(now, name, status, response))
            done(QueryResult(plan, status, now - began, response))

        def gave_up() -> None:
            line.done = None
            if line.stream is not None:
                line.stream.close()
            end(-1, None)

        timer = self.loop.call_in(plan.patience + 250_000_000, gave_up)
        found = self.idle.pop() if self.idle else self._connect()
        if found is None:
            end(0, None)
            return
        line = found
        line.done = lambda response: end(response.status if response else 0, response)
        headers = {**HEADERS, **VERSION_HEADER, "X-Request-Id": name, **plan.headers}
        assert line.stream is not None
        line.stream.write(request_bytes("POST", self.path, "broker", headers, plan.body))

    def _connect(self) -> _Line | None:
        sock = self.loop.system.stream_socket()
        try:
            sock.connect(self.address)  # loopback: at once or refused
        except OSError:
            sock.close()
            return None
        line = _Line()

        def data(chunk: bytes) -> None:
            try:
                response = line.reader.feed(chunk)
            except HttpError:
                if line.stream is not None:
                    line.stream.close()
                lost("protocol error")
                return
            if response is not None and line.done is not None:
                done, line.done = line.done, None
                if response.keep_alive:
                    self.idle.append(line)
                elif line.stream is not None:
                    line.stream.close()
                done(response)

        def lost(_why: str) -> None:
            if line in self.idle:
                self.idle.remove(line)
            done, line.done = line.done, None
            if done is not None:
                done(None)

        line.stream = Stream(self.loop, sock, data, lost)
        return line

    def move(self, url: str) -> None:
        """From now on ask at another address."""
        parts = urlsplit(url)
        self.address, self.path = (parts.hostname or "127.0.0.1", parts.port or 80), parts.path
        self.close()

    def close(self) -> None:
        """Close idle connections."""
        for line in self.idle:
            if line.stream is not None:
                line.stream.close()
        self.idle.clear()


def _end_line(now: int, name: str, status: int, response: Response | None) -> End:
    if response is None:
        return End(now, name, status)
    inside, _, asked = response.headers.get("quincepath-parts", "0/0").partition("/")
    return End(
        now, name, status, response.headers.get("quincepath-answer", ""), int(inside), int(asked),
        int(response.headers.get("quincepath-retry-after-ms", "0")),
        response.headers.get("quincepath-joined", ""), response.headers.get("quincepath-run", ""),
    )  # fmt: skip
