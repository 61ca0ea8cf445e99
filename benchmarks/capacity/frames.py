"""Bytes and processor time between broker and node, and between client and broker, without sockets."""

from benchmarks.capacity.measuring import Measured, fact, processor_seconds, repeated, series
from benchmarks.capacity.site import MS, QUERY_TEXT, VALUE, configuration, query_body
from quincepath.net.http1 import Request
from quincepath.orders import Finish, Verdict
from quincepath.platform.client_protocol import encode_response, read_query
from quincepath.platform.frames import LENGTH, CallPart, FrameReader, call_frame

PARTS = (13, 26, 52, 130, 260)
QUERIES = 40  # of one timing
IP_AND_TCP = 40  # bytes of headers on each packet; a call and a reply of one part fit one each


def call_of(shard: int) -> bytes:
    """A call of one part, as a broker sends it."""
    return call_frame([CallPart(f"q12345678.{shard}".encode(), shard, 139, QUERY_TEXT.encode())])


def reply_of(shard: int) -> bytes:
    """A node's reply to it."""
    rest = b"q" + f"q12345678.{shard} good 7 inflight=3\n{VALUE}".encode()
    return LENGTH.pack(len(rest)) + rest


def _node_side(parts: int) -> float:
    """Calls built and replies read, one frame a part, each reply fed by itself."""
    replies = [reply_of(shard) for shard in range(parts)]

    def play() -> None:
        for _ in range(QUERIES):
            for shard, reply in enumerate(replies):
                call_of(shard)
                reader = FrameReader()
                reader.feed(reply)
                assert reader.replies

    return processor_seconds(play) / QUERIES


def _client_side(parts: int) -> float:
    """A request read and checked, its answer written."""
    site = configuration().site
    body = query_body(parts)
    bodies = tuple((1, shard, VALUE) for shard in range(parts))
    finish = Finish(1, Verdict.ANSWERED, True, parts, parts, bodies, 0, "", parts, 100 * MS)
    headers = {"req-id": "q1", "req-kind": "all", "req-owner": "acme", "req-deadline-ms": "5000"}
    request = Request("POST", "/all", headers, body)

    def play() -> None:
        for _ in range(QUERIES):
            read_query(request, 1, site, ())
            encode_response(finish)

    return processor_seconds(play) / QUERIES


def measure() -> Measured:
    """Processor time a query, and bytes of a call and a reply."""
    note = "64 bytes of query text and 64 of value; 40 of IP and TCP headers counted"
    return (
        series("node side", "s", "parts of a query", repeated(PARTS, _node_side)),
        series("client side", "s", "parts of a query", repeated(PARTS, _client_side)),
    ), (
        fact("call of a part", "bytes", len(call_of(17)) + IP_AND_TCP, note=note),
        fact("reply of a part", "bytes", len(reply_of(17)) + IP_AND_TCP, note=note),
    )
