"""The whole broker on sockets: processor time of a query by its parts, memory of connections, UDP."""

import json
import socket

from benchmarks.capacity.measuring import (
    Measured,
    allocated_bytes,
    fact,
    load_average,
    processor_seconds,
    repeated,
    series,
)
from benchmarks.capacity.peers import child, first_line
from benchmarks.capacity.results import Evidence, Point
from benchmarks.capacity.site import MS, REPLICAS, SECOND, configuration, list_body, node_entry
from quincepath.net.client_connection import Exchange, Timeouts
from quincepath.net.http1 import Limits
from quincepath.net.loop import READ, Loop
from quincepath.net.server import HttpServer
from quincepath.orders import AttemptEnded, AttemptOrder, StartCall
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.nodes import NodePool
from quincepath.platform.service import Broker

PARTS = (13, 26, 52, 130, 260)
NODES = 260 * REPLICAS
WARM, QUERIES, OPEN = 10, 30, 4
CONNECTIONS = (25, 50, 100, 250)
DATAGRAMS = 2000
DATAGRAM_SIZES = (100, 200, 400, 1100)
TARGET = 4 * SECOND  # of answers here: on a busy machine none is refused for its time, only priced
LONGEST = 60.0  # seconds that anything here may take
WAIT = Timeouts(60 * SECOND, 60 * SECOND, 60 * SECOND)


class Edge:
    """The connections to nodes alone, without driver and module: one call a part, each to its own node."""

    def __init__(self, loop: Loop, ports: list[int]) -> None:
        self.loop, self.ports = loop, ports
        self.ended = 0
        self.nodes = NodePool(
            loop,
            100,
            ConnectionTimeouts(SECOND, 60 * SECOND),
            4,
            4 * len(ports),
            self._where,
            self._ended,
            ("inflight",),
        )

    def _where(self, node: bytes) -> tuple[str, int]:
        return "127.0.0.1", self.ports[int(node)]

    def _ended(self, ended: AttemptEnded) -> None:
        assert ended.body, ended
        self.ended += 1

    def query(self, number: int, parts: int) -> None:
        """One call a part, until all have been answered."""
        target = self.ended + parts
        for shard in range(parts):
            end = self.loop.now + 5 * SECOND
            order = AttemptOrder(
                number * 1000 + shard, 0, shard, 1, end, end, end, b"c41e77d0" * 8, f"q{number}"
            )
            self.nodes.start(StartCall(b"%d" % shard, (order,)))
        if not self.loop.run_until(lambda: self.ended >= target, LONGEST):
            raise RuntimeError(f"query {number}: {target - self.ended} of {parts} parts not answered")


def _edge_seconds(edge: Edge, parts: int) -> float:
    """A query's calls, replies, connections and turns of the loop."""
    edge.query(1, parts)

    def play() -> None:
        for number in range(2, 2 + QUERIES):
            edge.query(number, parts)

    return processor_seconds(play) / QUERIES


def _whole_broker(ports: list[int], parts: int) -> float:
    """Processor time of a broker a query, by a client in another process with some queries open at once."""
    loop = Loop()
    entries = [node_entry(n, parts, f"127.0.0.1:{port}") for n, port in enumerate(ports[: parts * REPLICAS])]
    body = list_body(entries)

    def nothing_new(exchange: Exchange) -> None:
        exchange.respond(200, {}, list_body([], full=False))

    def told(exchange: Exchange) -> None:
        _, _, wait = exchange.request.target.partition("timeout_ms=")
        if not wait:
            exchange.respond(200, {}, body)
        else:
            loop.call_in(int(wait) * MS, lambda: nothing_new(exchange))

    discovery = HttpServer(loop, "127.0.0.1", 0, told, Limits(), WAIT, 10)
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = int(probe.getsockname()[1])
    config = configuration(f"127.0.0.1:{port}", f"127.0.0.1:{discovery.port}", parts, 4096, TARGET)
    broker = Broker(config, loop)

    def until(count: int) -> None:
        if not loop.run_until(lambda: broker.counts["whole"] >= count, LONGEST):
            raise RuntimeError(f"{parts} parts: {dict(broker.counts)}, {count} whole answers expected")

    try:
        with child("client", str(port), str(parts), str(WARM + QUERIES), str(OPEN)):
            until(WARM)
            seconds = processor_seconds(lambda: until(WARM + QUERIES))
    finally:
        broker.close()
        discovery.close()
    return seconds / QUERIES


def _bytes_of_connections(ports: list[int], count: int) -> float:
    """Python's memory of so many open connections, after one query over all."""
    loop = Loop()

    def build() -> object:
        edge = Edge(loop, ports)
        edge.query(1, count)
        return edge

    return allocated_bytes(build)


def _datagram_seconds(size: int) -> float:
    """One datagram of so many bytes sent and received on the loop, over loopback."""
    loop, data = Loop(), b"x" * size
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):

        def read(mask: int) -> None:
            receiver.recv(65_535)

        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)
        loop.watch(receiver, READ, read)

        def play() -> None:
            for _ in range(DATAGRAMS):
                sender.sendto(data, receiver.getsockname())
                loop.turn(1.0)

        seconds = processor_seconds(play)
        loop.watch(receiver, 0, lambda mask: None)
    return seconds / DATAGRAMS


def measure() -> Measured:
    """All on loopback; nodes and clients in other processes."""
    with child("nodes", str(NODES)) as nodes:
        ports: list[int] = json.loads(first_line(nodes))
        edge = Edge(Loop(), ports)
        edge_points = repeated(PARTS, lambda parts: _edge_seconds(edge, parts))
        edge.nodes.close()
        whole_points = repeated(PARTS, lambda parts: _whole_broker(ports, parts), 3)
        memory = tuple(Point(count, (_bytes_of_connections(ports, count),)) for count in CONNECTIONS)
    sockets: Evidence = "measured on sockets"
    return (
        series("edge", "s", "parts of a query", edge_points, sockets),
        series("whole broker", "s", "parts of a query", whole_points, sockets),
        series(
            "connections", "bytes", "connections", memory, sockets, note="Python's memory, not the kernel's"
        ),
        series("datagram", "s", "bytes", repeated(DATAGRAM_SIZES, _datagram_seconds), sockets),
    ), (fact("load average at the end", "processes", load_average(), sockets),)
