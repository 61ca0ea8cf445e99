"""Faulty holders and clients on real sockets in virtual time: one broker, two holders per shard."""

import os
import resource
import select
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import cramjam
import pytest

from quincepath.fronts.remote_read.codec import HEADERS, decode_request, decode_response, encode
from quincepath.fronts.remote_read.plan import PartFetch
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest, ReadResponse, TimeSeries
from quincepath.interface import Entry, Members, Phase, Result, Scope
from quincepath.lab.load import QueryResult
from quincepath.net.client_connection import STALE_TURN_NS
from quincepath.net.http1 import MAX_PIPELINED_REQUESTS, Limits, ResponseReader, request_bytes
from quincepath.net.stream import Stream
from quincepath.orders import AttemptEnded, AttemptOrder, StartCall
from quincepath.standins.data import BEGIN_MS, END_MS
from quincepath.standins.leaf import Leaf, Service
from tests.world import MS, SECOND, World, answer, as_dict, completeness, read_request


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Any]:
    worlds: list[World] = []

    def build(**more: Any) -> World:
        world = World(tmp_path, **more)
        worlds.append(world)
        return world

    yield build
    for world in worlds:
        world.close()
        assert not world.broker.driver.breaches, world.broker.driver.breaches


class RawClient:
    """A client that writes arbitrary bytes and keeps the responses."""

    def __init__(self, world: World, port: int = 0) -> None:
        self.got: list[tuple[int, bytes]] = []
        self.raw = b""
        self.closed = ""
        self.reader = ResponseReader(Limits(body=256 << 20))
        sock = socket.create_connection(("127.0.0.1", port or world.broker.server.port))
        self.stream = Stream(world.loop, sock, self._data, self._lost)

    def _data(self, data: bytes) -> None:
        while data:
            # One response at a time: the reader keeps only the last that it completed.
            cut = data.find(b"HTTP/1.1 ", 1)
            piece, data = (data[:cut], data[cut:]) if cut > 0 else (data, b"")
            done = self.reader.feed(piece)
            if done is not None:
                self.got.append((done.status, done.body))

    def _lost(self, why: str) -> None:
        self.closed = why


def post(body: bytes, **headers: str) -> bytes:
    return request_bytes("POST", "/api/v1/read", "test", {**HEADERS, **headers}, body)


HOLDER_FAULTS = [
    "hang",
    "silence",
    "reset",
    "cut",
    "trickle",
    "corrupt",
    "miscount",
    "oversize",
    "errors",
    "full",
]


@pytest.mark.parametrize("fault", HOLDER_FAULTS)
def test_faulty_replicas_beside_healthy_ones_cost_no_answer(make: Any, fault: str) -> None:
    world = make(limits={"max_answer": "16MiB"})
    whole = answer(world.ask(world.plan())[0])
    # Two lost connections and no received part make the module treat the query as a poison query, so only
    # one holder resets.
    world.faults("a0" if fault in ("reset", "cut") else "a0 b0 c0", fault=fault)
    ends = [world.ask(world.plan())[0] for _ in range(6)]
    for seen in ends:
        assert completeness(seen) == ("whole", "6/6")  # three shards, two steps
        assert as_dict(answer(seen)) == as_dict(whole)
    outcomes = {
        "hang": {"cancelled"}, "silence": {"cancelled"}, "trickle": {"cancelled"}, "reset": {"reset"},
        "cut": {"reset"}, "full": {"full"},
    }.get(fault, {"error"})  # fmt: skip
    counted = {
        sample.labels["outcome"]
        for metric in world.broker.metrics.attempts.collect()
        for sample in metric.samples
        if sample.labels["outcome"] != "ok"
    }
    assert counted == outcomes


@pytest.mark.parametrize("fault", ["hang", "errors", "corrupt", "full"])
def test_a_lost_shard_refuses_the_strict_class_and_still_serves_the_lenient_one(
    make: Any, fault: str
) -> None:
    world = make()
    world.ask(world.plan(), world.plan("fleet-glance"))
    world.faults("a0 a1", fault=fault)
    report, glance = world.ask(world.plan(), world.plan("fleet-glance"))
    assert report.status == 503 and b"asking again is harmless" in report.response.body
    assert int(report.response.headers["retry-after"]) >= 1
    assert report.took <= 2 * SECOND
    assert completeness(glance) == ("whole", "2/3")
    districts = {dict(labels)["district"] for labels in as_dict(answer(glance))}
    assert districts == {"river.example.org", "south.example.org"}


def test_killed_holders_cost_no_answer_and_restart_with_slow_start(make: Any) -> None:
    world = make(rules={"ramp_time": "1s", "cold_share": "20%", "overload_for": "250ms"})
    world.ask(world.plan())
    old = world.leaves["a0"]
    old.close(reset=True)
    for _ in range(5):
        assert completeness(world.ask(world.plan())[0])[0] == "whole"
    cold = Service(work=2 * MS, cold=0.2, ramp=SECOND)
    world.leaves["a0"] = Leaf(world.loop, "a0", old.store, cold, port=old.port)
    entry = Entry(_node(old.port), 0, 0, 0, world.loop.at, Phase.READY, 1.0)
    world.broker.apply_membership(Members(Scope.DELTA, 9, (entry,)))
    began = world.loop.at
    sent: list[int] = []
    while world.loop.at < began + 1500 * MS:
        before = world.leaves["a0"].requests
        ends = world.ask(*[world.plan(pattern="north.*") for _ in range(8)])
        assert {completeness(seen)[0] for seen in ends if seen.status == 200} <= {"whole"}
        sent += [world.loop.at - began] * (world.leaves["a0"].requests - before)
    first = [at for at in sent if at < 250 * MS]
    capacity = 2.0 * 0.3 * 250 * MS / (2 * MS) * 2  # multiple, mean warmth, two cores: parts in a window
    assert 0 < len(first) <= capacity
    assert any(at > SECOND for at in sent)  # once warm, it gets its share


def _node(port: int) -> bytes:
    return bytes((127, 0, 0, 1)) + port.to_bytes(2)


def test_drain_during_a_query_answers_it_and_sends_nothing_after_the_grace(make: Any) -> None:
    world = make()
    world.ask(world.plan())
    world.faults("a0 a1", fault="late", late_ms=300)
    done: list[QueryResult] = []
    world.client.ask("mid", world.plan(pattern="north.*"), done.append)
    world.until(lambda: world.leaves["a0"].requests + world.leaves["a1"].requests > 2)
    node = _node(world.leaves["a0"].port)
    world.broker.apply_membership(Members(Scope.DELTA, 9, (Entry(node, 0, 0, 0, 0, Phase.DRAINING, 1.0),)))
    world.run(0.5)
    world.faults("a0 a1")
    world.until(lambda: bool(done))
    assert done[0].status == 200
    before = world.leaves["a0"].requests
    for _ in range(10):
        assert completeness(world.ask(world.plan(pattern="north.*"))[0])[0] == "whole"
    assert world.leaves["a0"].requests == before


def test_a_client_disconnect_cancels_its_query(make: Any) -> None:
    world = make()
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    raw = RawClient(world)
    raw.stream.write(post(encode(read_request())))
    world.until(lambda: sum(leaf.requests for leaf in world.leaves.values()) == 3)
    raw.stream.close()
    world.until(lambda: not world.broker.clients.open and not world.broker.driver.tracked_count())
    assert world.broker.upstream.counts.open == 0  # its calls were dropped as well
    sent = sum(leaf.requests for leaf in world.leaves.values())
    world.run(3)
    assert sum(leaf.requests for leaf in world.leaves.values()) == sent


def test_pipelined_requests_are_answered_once_each_and_in_order(make: Any) -> None:
    world = make()
    raw = RawClient(world)
    raw.stream.write(
        post(encode(read_request("hours-report")))
        + post(encode(read_request("fleet-glance")))
        + post(b"junk")
    )
    world.until(lambda: len(raw.got) == 3)
    names = [
        {dict(labels)["__name__"] for labels in as_dict(decode_response(b, 1 << 20))} for _, b in raw.got[:2]
    ]
    assert names == [{"engine_hours"}, {"fuel_use_liters"}]
    assert raw.got[2][0] == 400 and b"snappy" in raw.got[2][1]
    assert not raw.closed  # an invalid request does not close the connection


def test_memory_for_pipelined_requests_is_bounded(make: Any) -> None:
    """Reading continues all the same, because the end of the stream may follow.

    See tests/platform/test_client_disconnect.py.
    """
    world = make()
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    raw = RawClient(world)
    raw.stream.write(post(encode(read_request())) * 40)
    world.until(lambda: sum(leaf.requests for leaf in world.leaves.values()) == 3)
    peer = next(iter(world.broker.server.connections))
    assert len(peer.reader.done) == MAX_PIPELINED_REQUESTS - 1  # one is open
    raw.stream.write(post(encode(read_request())) * 40)
    world.run(0.05)
    assert len(peer.reader.done) == MAX_PIPELINED_REQUESTS - 1 and peer.reader.dropped  # and no more
    world.faults("a0 a1 b0 b1 c0 c1")
    world.until(lambda: bool(raw.closed), longest=100)
    assert len(raw.got) == MAX_PIPELINED_REQUESTS and {status for status, _ in raw.got} <= {200, 503}
    assert raw.closed == "end of stream"


def test_a_slow_sender_gets_408_and_is_closed(make: Any) -> None:
    world = make(listen={"request_timeout": "2s"})
    raw = RawClient(world)
    raw.stream.write(post(encode(read_request()))[:-5])
    world.until(lambda: bool(raw.closed))
    assert raw.got == [(408, b"the request did not arrive in time\n")]


def test_a_slow_reader_is_disconnected(make: Any) -> None:
    world = make(listen={"write_timeout": "2s"})
    for leaf in world.leaves.values():
        leaf.store = BigStore(4_000_000)
    raw = RawClient(world)
    raw.stream.pause()
    raw.stream.write(post(encode(read_request())))
    world.until(lambda: not world.broker.clients.open and world.broker.server.connections != {}, longest=5)
    world.until(lambda: world.broker.server.counts["slow_readers"] == 1)
    assert not world.broker.server.connections
    raw.stream.close()


class BigStore:
    """A store with one incompressible series of about ``size`` bytes."""

    def __init__(self, size: int) -> None:
        self.size = size

    def read(self, request: ReadRequest) -> ReadResponse:
        response = ReadResponse()
        for query in request.queries:
            series = TimeSeries()
            series.labels.add(name="blob", value=os.urandom(self.size // 2).hex())
            shard = next((m.value for m in query.matchers if m.name == "district"), "")
            series.labels.add(name="shard", value=shard)
            series.samples.add(timestamp=query.start_timestamp_ms, value=1.0)
            response.results.add().timeseries.append(series)
        return response


def test_a_body_of_fifty_megabytes_is_delivered(make: Any) -> None:
    world = make()
    for leaf in world.leaves.values():
        leaf.store = BigStore(51_000_000)
    seen = world.ask(world.plan("hours-report", "north.*", start=END_MS - 60_000))[0]
    assert seen.response is not None and len(seen.response.body) > 50_000_000
    assert completeness(seen) == ("whole", "1/1")


def test_answers_over_the_merge_limit_fail_with_the_reason(make: Any) -> None:
    world = make(limits={"max_merged": "1MiB"})
    for leaf in world.leaves.values():
        leaf.store = BigStore(600_000)
    seen = world.ask(world.plan("hours-report", start=END_MS - 60_000))[0]
    assert seen.status == 502 and b"over 1048576 bytes" in seen.response.body


def test_a_decompression_bomb_is_rejected_before_memory_is_allocated(make: Any) -> None:
    world = make()
    raw = RawClient(world)
    bomb = bytes(cramjam.snappy.compress_raw(b"\0" * 200_000_000))
    raw.stream.write(post(bomb[: 3 << 20]))
    world.until(lambda: len(raw.got) == 1)
    assert raw.got[0][0] == 400 and b"decompresses to 200000000 bytes" in raw.got[0][1]


def test_body_and_headers_over_the_limit_are_rejected_early(make: Any) -> None:
    world = make()
    for head, status in (
        (b"POST /api/v1/read HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"POST /api/v1/read HTTP/1.1\r\nX: " + b"y" * 40_000 + b"\r\n\r\n", 431),
        (b"nonsense\r\n\r\n", 400),
    ):
        raw = RawClient(world)
        raw.stream.write(head)
        world.until(lambda raw=raw: bool(raw.closed))
        assert raw.got[0][0] == status
    assert completeness(world.ask(world.plan())[0])[0] == "whole"


def test_chunked_requests_and_expect_continue(make: Any) -> None:
    world = make()
    body = encode(read_request())
    head = "POST /api/v1/read HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items()) + "\r\n"
    raw = RawClient(world)
    raw.stream.write(head.encode())
    world.run(0.1)
    for at in range(0, len(body), 7):
        piece = body[at : at + 7]
        raw.stream.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
    raw.stream.write(b"0\r\n\r\n")
    world.until(lambda: len(raw.got) == 1)
    assert raw.got[0][0] == 200


def test_a_thousand_idle_connections_do_not_affect_a_query(make: Any) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    try:
        world = make()
        idle = [socket.create_connection(("127.0.0.1", world.broker.server.port)) for _ in range(1000)]
        world.until(lambda: len(world.broker.server.connections) >= 1000)
        turns = world.loop.turns
        world.run(10)
        assert world.loop.turns - turns < 1000  # no busy waiting: only sweeps and polls every ten seconds
        assert completeness(world.ask(world.plan())[0])[0] == "whole"
        world.run(60)
        assert len(world.broker.server.connections) <= 1  # idle ones are closed after the idle timeout
        for sock in idle:
            sock.close()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_running_out_of_descriptors_pauses_the_listener_until_it_passes(make: Any) -> None:
    world = make()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    clients = [socket.create_connection(("127.0.0.1", world.broker.server.port)) for _ in range(3)]
    fillers: list[int] = []
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(os.dup(0), *range(64)) + 1, hard))
        with pytest.raises(OSError):
            while True:
                fillers.append(os.dup(0))
        turns = world.loop.turns
        world.run(0.35)
        assert world.broker.server.counts["accepting_paused"] >= 2
        assert world.loop.turns - turns < 40
    finally:
        for number in fillers:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    world.until(lambda: len(world.broker.server.connections) == 3)
    for sock in clients:
        sock.close()


def test_a_connect_timeout_is_reported_as_connect_failed(make: Any) -> None:
    world = make()
    old = world.leaves["a0"]
    old.close(reset=True)
    # A listener whose backlog is full drops further handshakes, so that connecting hangs.
    full = socket.socket()
    full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    full.bind(("127.0.0.1", old.port))
    full.listen(0)
    fillers = []
    for _ in range(3):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", old.port))
        fillers.append(sock)
    for _ in range(6):
        assert completeness(world.ask(world.plan(pattern="north.*"))[0])[0] == "whole"
    kinds = {
        sample.labels["outcome"]
        for metric in world.broker.metrics.attempts.collect()
        for sample in metric.samples
        if sample.labels["holder"] == "a0"
    }
    assert "connect_failed" in kinds and "reset" not in kinds
    for sock in [*fillers, full]:
        sock.close()


def test_a_reply_and_the_deadline_in_one_turn_give_one_answer(make: Any) -> None:
    world = make()
    world.ask(world.plan(pattern="north.*"))
    world.faults("a0 a1", fault="hang")
    done: list[QueryResult] = []
    world.client.ask("edge", world.plan("hours-report", "north.*", start=END_MS - 60_000), done.append)
    world.until(lambda: world.leaves["a0"].requests + world.leaves["a1"].requests >= 3)
    query = next(iter(world.broker.driver.queries.values()))
    leaf = next(leaf for leaf in world.leaves.values() if leaf.name[0] == "a" and any(
        peer.current for peer in leaf.server.connections))  # fmt: skip
    peer = next(peer for peer in leaf.server.connections if peer.current)
    exchange = peer.current
    body = encode(leaf.store.read(_request_of(exchange.request.body)))
    exchange.respond(200, HEADERS, body)  # the bytes are in the broker's socket now,
    world.loop.at = query.deadline - 1  # and it reads them at the end of the client's time
    world.until(lambda: bool(done))
    assert done[0].status == 200 and completeness(done[0]) == ("whole", "1/1")


def _request_of(body: bytes) -> ReadRequest:
    return decode_request(body, 1 << 20)


def test_a_stalled_broker_answers_open_queries_once_and_continues(make: Any) -> None:
    world = make()
    world.ask(world.plan(), world.plan("fleet-glance"))
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    raws = [RawClient(world) for _ in range(3)]
    for raw in raws:
        raw.stream.write(post(encode(read_request())))
    world.until(lambda: len(world.broker.clients.open) == 3)
    world.loop.at += 2 * SECOND + 500 * MS  # stopped and resumed: the clock is past the deadline
    world.until(lambda: all(raw.got for raw in raws))
    world.run(3)
    assert [len(raw.got) for raw in raws] == [1, 1, 1]
    world.faults("a0 a1 b0 b1 c0 c1")
    assert completeness(world.ask(world.plan())[0])[0] == "whole"


def test_late_answers_after_a_cancel_are_discarded(make: Any) -> None:
    world = make()
    for _ in range(3):
        world.ask(world.plan())
    world.faults("a0 b0 c0", fault="late", late_ms=1500)
    ends = [world.ask(world.plan())[0] for _ in range(4)]
    assert [completeness(seen)[0] for seen in ends] == ["whole"] * 4
    world.run(5)
    assert not world.broker.driver.tracked_count() and not world.broker.upstream.attempts


def test_stop_answers_open_queries_and_accepts_no_more(make: Any) -> None:
    world = make()
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=200)
    done: list[QueryResult] = []
    world.client.ask("last", world.plan(), done.append)
    world.until(lambda: bool(world.broker.clients.open))
    stopped: list[int] = []
    world.broker.stop(lambda: stopped.append(1))
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", world.broker.server.port))
    world.until(lambda: bool(stopped) and bool(done))
    assert [seen.status for seen in done] == [200]


def test_queries_over_the_open_limit_are_rejected_at_admission(make: Any) -> None:
    world = make(limits={"max_open": 9})
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    done: list[QueryResult] = []
    for number in range(3):
        world.client.ask(f"f{number}", world.plan(), done.append)
    world.until(lambda: bool(done))
    assert done[0].status == 503 and done[0].response is not None
    assert b"too much open" in done[0].response.body
    assert len(world.broker.clients.open) == 2


def test_several_queries_in_one_request_get_one_answer_in_their_order(make: Any) -> None:
    world = make()
    request = read_request("hours-report", "north.*")
    request.queries.extend(read_request("fleet-glance", "river.*").queries)
    request.queries.extend(read_request("hours-report", "nowhere").queries)
    plan = world.plan()
    seen = world.ask(type(plan)("hours-report", [], encode(request), request, 2 * SECOND))[0]
    response = answer(seen)
    found = [{dict(labels)["district"] for labels in as_dict(response, i)} for i in range(3)]
    assert found == [{"north.example.org"}, {"river.example.org"}, set()]
    # The strictest class applies to the whole request: both shards are needed.
    assert completeness(seen) == ("whole", "4/4")


def test_a_matcher_that_touches_no_shard_is_answered_empty_without_a_part(make: Any) -> None:
    world = make()
    seen = world.ask(world.plan(pattern="atlantis"))[0]
    assert completeness(seen) == ("whole", "0/0") and as_dict(answer(seen)) == {}
    assert sum(leaf.requests for leaf in world.leaves.values()) == 0


@pytest.mark.parametrize(
    ("change", "wanted"),
    [
        ({"start": END_MS, "end": BEGIN_MS}, b"query 1: starts at"),
        ({"pattern": "("}, b"not an RE2 expression"),
    ],
)
def test_invalid_requests_are_rejected_with_query_and_reason(
    make: Any, change: dict[str, Any], wanted: bytes
) -> None:
    world = make()
    seen = world.ask(world.plan(**change))[0]
    assert seen.status == 400 and wanted in seen.response.body


def test_the_timeout_header_shortens_the_deadline(make: Any) -> None:
    world = make()
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    raw = RawClient(world)
    began = world.loop.at
    raw.stream.write(post(encode(read_request()), **{"X-Quincepath-Timeout": "300ms"}))
    invalid = RawClient(world)
    invalid.stream.write(post(encode(read_request()), **{"X-Quincepath-Timeout": "soon"}))
    world.until(lambda: bool(raw.got) and bool(invalid.got))
    assert raw.got[0][0] == 503 and world.loop.at - began <= 300 * MS
    assert invalid.got[0][0] == 400 and b"expected a duration" in invalid.got[0][1]


def test_each_matcher_type_prunes_to_the_shards_that_it_matches(make: Any) -> None:
    world = make()
    for kind, value, wanted in (
        (LabelMatcher.EQ, "north.example.org", {"north.example.org"}),
        (LabelMatcher.NEQ, "north.example.org", {"river.example.org", "south.example.org"}),
        (LabelMatcher.RE, "north", set()),  # anchored
        (LabelMatcher.NRE, "(north|river).*", {"south.example.org"}),
    ):
        request = ReadRequest()
        query = request.queries.add(start_timestamp_ms=END_MS - 60_000, end_timestamp_ms=END_MS)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value="engine_hours")
        query.matchers.add(type=kind, name="district", value=value)
        plan = world.plan()
        before = sum(leaf.requests for leaf in world.leaves.values())
        seen = world.ask(type(plan)("hours-report", [], encode(request), request, 2 * SECOND))[0]
        assert {dict(labels)["district"] for labels in as_dict(answer(seen))} == wanted
        assert sum(leaf.requests for leaf in world.leaves.values()) - before == len(wanted)


def test_a_call_whose_connection_took_no_byte_is_reported_as_connect_failed(make: Any) -> None:
    """The pool cleared its count of unsent bytes before reading it, and reported such a call as a reset."""
    world = make()
    world.ask(world.plan())
    upstream = world.broker.upstream
    node = _node(world.leaves["a0"].port)
    if not upstream.pools.get(node) or not upstream.pools[node].idle:
        node = _node(world.leaves["a1"].port)
    for name in ("a0", "a1"):
        for peer in list(world.leaves[name].server.connections):
            peer.stream.close(reset=True)
    # Before the broker's loop notices that the idle connection is closed:
    fetch = PartFetch(((0, read_request().queries[0]),))
    until = world.loop.at + SECOND
    order = AttemptOrder(901, 0, 0, 1, until, until, until, fetch, "x")
    ended: list[AttemptEnded] = []
    upstream._ended = ended.append
    upstream.start(StartCall(node, (order,)))
    upstream._ended = world.broker.turn.on_attempt_ended
    assert [(e.part, e.result) for e in ended] == [(901, Result.CONNECT_FAILED)]


@pytest.mark.parametrize("advance", [SECOND, STALE_TURN_NS], ids=["at its time-out", "after a long turn"])
def test_a_response_that_is_unread_is_read_before_timers_count(advance: int, make: Any) -> None:
    world = make()
    world.ask(world.plan())
    upstream = world.broker.upstream
    node = _node(world.leaves["a0"].port)
    until = world.loop.at + SECOND
    fetch = PartFetch(((0, read_request().queries[0]),))
    order = AttemptOrder(901, 0, 0, 1, until, until, until, fetch, "x")
    ended: list[AttemptEnded] = []
    upstream._ended = ended.append
    upstream.start(StartCall(node, (order,)))
    connection = upstream.attempts[901, 0].connection
    while connection.stream is None or not select.select([connection.stream.sock], [], [], 0)[0]:
        assert not ended
        world.loop.turn(0.001)
    wait = world.loop._wait

    def late_wait(seconds: float) -> list[Any]:
        """The process was held up in its wait, which reports no socket."""
        world.loop.at += advance
        return []

    world.loop._wait = late_wait
    world.loop.turn(0)
    world.loop._wait = wait
    upstream._ended = world.broker.turn.on_attempt_ended
    assert [(e.part, e.result) for e in ended] == [(901, Result.OK)]


def test_an_internal_error_fails_only_its_query(make: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    world = make()

    def broken(*_: Any) -> Any:
        raise RuntimeError("a fault")

    monkeypatch.setattr(world.broker.clients.front, "write", broken)
    assert world.ask(world.plan())[0].status == 500
    monkeypatch.setattr(world.broker.clients.front, "read", broken)
    assert world.ask(world.plan())[0].status == 500
    monkeypatch.undo()
    assert completeness(world.ask(world.plan())[0])[0] == "whole"


def test_no_descriptor_for_a_holder_fails_the_attempt_only(
    make: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = make()
    world.client.idle.append(world.client._connect())  # the client already has its connection
    world.run(0.1)

    def out_of_descriptors(*_: Any) -> Any:
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("quincepath.upstream.pool.socket.socket", out_of_descriptors)
    assert world.ask(world.plan())[0].status == 503
    monkeypatch.undo()
    assert completeness(world.ask(world.plan())[0])[0] == "whole"


def test_a_client_that_accepts_only_streamed_answers_gets_415_before_any_send(make: Any) -> None:
    world = make()
    request = read_request()
    request.accepted_response_types.append(ReadRequest.STREAMED_XOR_CHUNKS)
    plan = world.plan()
    seen = world.ask(type(plan)("hours-report", [], encode(request), request, 2 * SECOND))[0]
    assert seen.status == 415 and sum(leaf.requests for leaf in world.leaves.values()) == 0
    request.accepted_response_types.append(ReadRequest.SAMPLES)  # the second accepted type is served
    seen = world.ask(type(plan)("hours-report", [], encode(request), request, 2 * SECOND))[0]
    assert completeness(seen)[0] == "whole"
