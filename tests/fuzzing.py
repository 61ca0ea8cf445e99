"""Fuzz targets for all decoders of external input: each accepts the bytes or reports a clear error.

A target takes bytes and must not raise. ``mutated_inputs`` generates inputs close to valid ones. Used in CI
with few inputs and fixed seeds, and by ``benchmarks/fuzz.py`` with many.
"""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import numpy as np
from hypothesis import strategies as st

from quincepath.config.load import ConfigError, parse
from quincepath.config.schema import Config, Roster
from quincepath.fronts.remote_read.codec import CodecError, compress, decode_request, decode_response, encode
from quincepath.fronts.remote_read.front import RemoteReadFront, Reply
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.emulator.recording import RecordingError, read_recording
from quincepath.lab.emulator.script import Script
from quincepath.net.http1 import HttpError, Limits, Request, RequestReader, ResponseReader, request_bytes
from quincepath.platform.client_protocol import RequestError, read_query
from quincepath.platform.frames import FrameError, FrameReader
from quincepath.platform.targets import TargetListError, read_list
from quincepath.shards.shardmap import ShardMap
from quincepath.standins.data import BEGIN_MS, END_MS, Store
from quincepath.standins.leaf import parts_of
from tests.standins.platform import configuration
from tests.world import config_values

ROOT = Path(__file__).parent.parent
LIMITS = Limits(headers=4096, body=1 << 16)
MAX_DECODED_BYTES = 1 << 20


def sample_request() -> ReadRequest:
    request = ReadRequest()
    query = request.queries.add(start_timestamp_ms=BEGIN_MS, end_timestamp_ms=END_MS)
    query.matchers.add(type=LabelMatcher.EQ, name="__name__", value="fuel_use_liters")
    query.matchers.add(type=LabelMatcher.RE, name="district", value="north.*|river.*")
    return request


CONFIG = Config.model_validate(
    {
        "holders": [{"name": "a0", "url": "http://127.0.0.1:9/api/v1/read", "shards": ["s0"]}],
        **config_values(),
    }
)
FRONT = RemoteReadFront(
    CONFIG, ShardMap("district", [(e.name, e.set or e.name, e.values) for e in CONFIG.shards.map], False)
)
RAW = sample_request().SerializeToString()
BODY = encode(sample_request())
ANSWER = encode(Store(3, ["north.example.org"]).read(sample_request()))
HEADERS = {"Content-Type": "application/x-protobuf", "Content-Encoding": "snappy", "Idempotency-Key": "k"}
WIRE = request_bytes("POST", "/api/v1/read", "x", HEADERS, BODY)
CONFIG_TEXT = (ROOT / "examples" / "incidents" / "holders-hang.yaml").read_bytes()


def http_request(data: bytes) -> None:
    """The same messages or the same error, however the bytes are split."""

    def read(chunks: list[bytes]) -> tuple[list[tuple[str, str, int]], int]:
        reader = RequestReader(LIMITS)
        try:
            for chunk in chunks:
                reader.feed(chunk)
        except HttpError as error:
            assert 400 <= error.status <= 599 and error.text
            return [(r.method, r.target, len(r.body)) for r in reader.done], error.status
        assert all(len(request.body) <= LIMITS.body for request in reader.done)
        return [(r.method, r.target, len(r.body)) for r in reader.done], 0

    whole, split = read([data]), read([data[n : n + 7] for n in range(0, len(data), 7)])
    assert whole == split, (whole, split)


def http_response(data: bytes) -> None:
    """A response, an error, or an incomplete message."""
    try:
        ResponseReader(LIMITS).feed(data)
    except HttpError as error:
        assert error.text


def protobuf(data: bytes) -> None:
    """Snappy and protobuf, requests and responses."""
    for decode in (decode_request, decode_response):
        try:
            decode(data, MAX_DECODED_BYTES)
        except CodecError as error:
            assert str(error)


def front(data: bytes) -> None:
    """A request body through the front end: an ask, or a 4xx with a message."""
    request = Request("POST", "/api/v1/read", {k.lower(): v for k, v in HEADERS.items()}, data)
    found = FRONT.read(request, 1, "q")
    if isinstance(found, Reply):
        assert found.status in (200, 400, 415) and (found.status == 200 or found.body.strip())
    FRONT.identify(request, 1, "127.0.0.1")


def plan(data: bytes) -> None:
    """Validly compressed protobuf of a request: errors are inside it (types, times, expressions, limits)."""
    front(compress(data))


def header_values(data: bytes) -> None:
    """Values of the headers set by clients and brokers."""
    text = data.decode("latin-1")
    names = [
        "x-quincepath-timeout",
        "retry-attempt",
        "idempotency-key",
        "x-scope-orgid",
        "x-quincepath-parts",
    ]
    request = Request("POST", "/api/v1/read", {**{k.lower(): v for k, v in HEADERS.items()}}, BODY)
    request.headers |= dict.fromkeys(names, text)
    found = FRONT.read(request, 1, "q")
    assert not isinstance(found, Reply) or found.status == 400
    FRONT.identify(request, 1, "127.0.0.1")
    parts_of(request)


def yaml(data: bytes) -> None:
    """Configuration, roster and script files."""
    text = data.decode("utf-8", "replace")
    for model in (Config, Roster, Script):
        try:
            parse(text, model, "f.yaml")
        except ConfigError as error:
            assert error.lines and all(line.startswith("f.yaml") for line in error.lines), error.lines


def recording(data: bytes) -> None:
    """A recording damaged at any position."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "x.qprec"
        path.write_bytes(data)
        try:
            read_recording(path)
        except RecordingError as error:
            assert str(error)


PLATFORM = configuration("h:1", "h:2").site
PLATFORM_BODY = (
    b'{"ranges":[{"range":3,"portion":0.5,"price":9000},{"range":7,"portion":0.5}],"predicate":"c4"}'
)


def platform_query(data: bytes) -> None:
    """A body of the platform protocol, and the same bytes as the value of each relevant header."""
    text = data.decode("latin-1")
    good = {"req-id": "q", "req-kind": "any", "req-owner": "acme", "req-deadline-ms": "9"}
    changes = [{}, *({name: text} for name in good)]
    for change in changes:
        request = Request("POST", "/any", {**good, **change}, PLATFORM_BODY if change else data)
        try:
            ask = read_query(request, 1, PLATFORM, {})
        except RequestError as error:
            assert 400 <= error.status < 500 and str(error)
        else:
            assert ask.name.isascii() and ask.name.isprintable() and " " not in ask.name
            assert abs(sum(part.weight for part in ask.parts) - 1) < 0.01


def platform_frames(data: bytes) -> None:
    """Bytes from a node: replies or a protocol error, the same however the bytes are split."""
    found = []
    for size in (len(data) or 1, 3):
        reader, spoilt = FrameReader(), False
        try:
            for at in range(0, len(data), size):
                reader.feed(data[at : at + size])
        except FrameError as error:
            spoilt = bool(error.text)
        found.append(([(r.id, r.status, r.value) for r in reader.replies], spoilt))
    assert found[0] == found[1]


def platform_list(data: bytes) -> None:
    """Node lists from discovery."""
    try:
        read_list(data)
    except TargetListError as error:
        assert str(error)


FRAMES = b"\x18\0\0\0qq.3 good 17 inflight=2\nv1\x10\0\0\0qq.7 later 0 -\n"
LIST = b'{"version":4,"full":true,"servers":[{"id":"s","addr":"10.0.0.1:70","cell":3,"state":"SERVING"}]}'
CHUNKED = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
TARGETS: dict[str, tuple[Callable[[bytes], None], list[bytes]]] = {
    "http request": (http_request, [WIRE, WIRE * 2, CHUNKED]),
    "http response": (http_response, [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"]),
    "snappy and protobuf": (protobuf, [BODY, ANSWER[:2000]]),
    "front": (front, [BODY]),
    "plan": (plan, [RAW, RAW * 3]),
    "header values": (header_values, [b"250ms", b"q1/0/1/0, q2/1/1/0", b"1"]),
    "yaml": (yaml, [CONFIG_TEXT[:600], b"a: [1, {b: c}]", b"holders: []\nversion: 1\n"]),
    "platform query": (platform_query, [PLATFORM_BODY, b"q", b"12"]),
    "platform frames": (platform_frames, [FRAMES, FRAMES * 2]),
    "platform list": (platform_list, [LIST]),
    "recording": (recording, [b"QPREC\x01" + bytes(40)]),
}  # fmt: skip


def mutate(random: np.random.Generator, seed: bytes) -> bytes:
    """An input close to a valid one: bits flipped; bytes removed, repeated, inserted; huge length; cut."""
    data = bytearray(seed)
    for _ in range(int(random.integers(1, 6))):
        at = int(random.integers(len(data) + 1))
        match int(random.integers(6)):
            case 0 if data:
                data[at % len(data)] ^= 1 << int(random.integers(8))
            case 1:
                del data[at : at + int(random.integers(1, 16))]
            case 2:
                data[at:at] = data[at : at + int(random.integers(1, 64))]
            case 3:
                data[at:at] = random.bytes(int(random.integers(1, 8)))
            case 4:
                data[at:at] = b"\xff\xff\xff\xff\x7f"
            case _:
                data = data[:at]
    return bytes(data)


def mutated_inputs(seeds: list[bytes]) -> st.SearchStrategy[bytes]:
    """Strategy for hypothesis: arbitrary bytes, or an input close to a valid one."""
    near = st.builds(
        lambda seed, number: mutate(np.random.default_rng(number), seed),
        st.sampled_from(seeds),
        st.integers(0, 1 << 32),
    )
    return st.one_of(near, st.binary(max_size=300))
