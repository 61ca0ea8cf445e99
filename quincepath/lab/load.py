"""A remote read client on the event loop: sends queries, records results, gives up at its timeout."""

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
SCOPE = "X-Scope-OrgID"  # header that names the tenant


@dataclass(slots=True, frozen=True)
class QueryPlan:
    """A query to send: its class by the rules of the configuration, its shards and its body."""

    kind: str
    shards: list[int]
    body: bytes
    request: ReadRequest
    patience: int  # ns
    headers: dict[str, str] = field(default_factory=dict)
    stated_timeout: int = 0  # ns; the timeout known to the broker, 0: ``patience``


@dataclass(slots=True, frozen=True)
class QueryResult:
    """Result of one query. ``status`` 0: connection lost, -1: gave up."""

    plan: QueryPlan
    status: int
    took: int
    response: Response | None


class QuerySource:
    """Random queries: glances over all districts, reports over some. The same seed gives the same queries."""

    def __init__(self, seed: int, districts: dict[str, int], patience: dict[str, int]) -> None:
        self.random = np.random.default_rng(seed)
        self.districts, self.patience = districts, patience

    def next(self, glances: float = 0.6, among: Sequence[str] = ()) -> QueryPlan:
        """The next query; ``glances``: share of glances. ``among``: only these districts."""
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
class _Connection:
    """A persistent connection to the broker; one query at a time."""

    stream: Stream | None = None
    reader: ResponseReader = field(default_factory=lambda: ResponseReader(LIMITS))
    done: Callable[[Response | None], None] | None = None


class Client:
    """Sends queries to one remote read address; ``record`` gets each result. The caller limits them."""

    def __init__(self, loop: Loop, url: str, record: Writer | None = None, broker: int = 0) -> None:
        parts = urlsplit(url)
        self.loop, self.record, self.broker = loop, record, broker
        self.address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self.path = parts.path
        self.idle: list[_Connection] = []
        self.open = 0

    def ask(self, name: str, plan: QueryPlan, done: Callable[[QueryResult], None]) -> None:
        """Send one query; ``done`` is called once with its result."""
        self.open += 1
        began = self.loop.clock()
        if self.record:
            ask = plan.headers.get("Idempotency-Key", "")
            timeout = plan.stated_timeout or plan.patience
            tenant = plan.headers.get(SCOPE, "")
            self.record.write(Ask(began, name, plan.kind, plan.shards, timeout, self.broker, ask, tenant))
        ended = False

        def end(status: int, response: Response | None) -> None:
            nonlocal ended
            if ended:
                if self.record and status > 0:  # a second answer is recorded for the audit
                    self.record.write(End(self.loop.clock(), name, status))
                return
            ended = True
            timer.cancel()
            self.open -= 1
            now = self.loop.clock()
            if self.record:
                self.record.write(_end_record(now, name, status, response))
            done(QueryResult(plan, status, now - began, response))

        def on_timeout() -> None:
            connection.done = None
            if connection.stream is not None:
                connection.stream.close()
            end(-1, None)

        timer = self.loop.call_in(plan.patience + 250_000_000, on_timeout)
        found = self.idle.pop() if self.idle else self._connect()
        if found is None:
            end(0, None)
            return
        connection = found
        connection.done = lambda response: end(response.status if response else 0, response)
        headers = {**HEADERS, **VERSION_HEADER, "X-Request-Id": name, **plan.headers}
        assert connection.stream is not None
        connection.stream.write(request_bytes("POST", self.path, "broker", headers, plan.body))

    def _connect(self) -> _Connection | None:
        sock = self.loop.system.stream_socket()
        try:
            sock.connect(self.address)  # on loopback it connects or is refused at once
        except OSError:
            sock.close()
            return None
        connection = _Connection()

        def on_data(chunk: bytes) -> None:
            try:
                response = connection.reader.feed(chunk)
            except HttpError:
                if connection.stream is not None:
                    connection.stream.close()
                on_close("protocol error")
                return
            if response is not None and connection.done is not None:
                done, connection.done = connection.done, None
                if response.keep_alive:
                    self.idle.append(connection)
                elif connection.stream is not None:
                    connection.stream.close()
                done(response)

        def on_close(_reason: str) -> None:
            if connection in self.idle:
                self.idle.remove(connection)
            done, connection.done = connection.done, None
            if done is not None:
                done(None)

        connection.stream = Stream(self.loop, sock, on_data, on_close)
        return connection

    def move(self, url: str) -> None:
        """Send further queries to another address."""
        parts = urlsplit(url)
        self.address, self.path = (parts.hostname or "127.0.0.1", parts.port or 80), parts.path
        self.close()

    def close(self) -> None:
        """Close idle connections."""
        for connection in self.idle:
            if connection.stream is not None:
                connection.stream.close()
        self.idle.clear()


def _end_record(now: int, name: str, status: int, response: Response | None) -> End:
    if response is None:
        return End(now, name, status)
    inside, _, asked = response.headers.get("quincepath-parts", "0/0").partition("/")
    return End(
        now, name, status, response.headers.get("quincepath-answer", ""), int(inside), int(asked),
        int(response.headers.get("quincepath-retry-after-ms", "0")),
        response.headers.get("quincepath-joined", ""), response.headers.get("quincepath-run", ""),
    )  # fmt: skip
