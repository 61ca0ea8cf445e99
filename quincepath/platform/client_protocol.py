"""The platform's client protocol, sans I/O: a whole request to an ``Ask``, a ``Finish`` to a response. Pure.

All client input is validated here before it is used elsewhere. An id becomes part of a text line in frames to
nodes, so only a safe set of characters is allowed in it.
"""

import math
import re
from collections.abc import Container
from contextlib import suppress

import msgspec

from quincepath.net.http1 import Request
from quincepath.orders import Ask, Finish, PartRequest, Verdict
from quincepath.platform.config import HEADER_BLANKS, SiteSettings

ID_PATTERN = re.compile(r"[A-Za-z0-9._~:-]{1,128}")
DIGITS_PATTERN = re.compile(r"[0-9]{1,9}")
ID_HEADER, CLASS_HEADER, TENANT_HEADER = "req-id", "req-kind", "req-owner"
DEADLINE_HEADER, RETRY_HEADER = "req-deadline-ms", "req-retry"
PORTION_TOLERANCE = 1e-3  # clients round the portions that they send
MAX_PREDICATE_BYTES = 16 * 1024
MS = 1_000_000
JSON_HEADERS = {"Content-Type": "application/json"}
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


class RequestError(ValueError):
    """The request is invalid; ``status`` is the HTTP status of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class _Range(msgspec.Struct):
    range: int
    portion: float
    price: float = 0.0
    hash: str = ""


class _Body(msgspec.Struct):
    ranges: list[_Range]
    predicate: str


class _Value(msgspec.Struct):
    range: int
    blob: str


class _Answer(msgspec.Struct):
    total: bool
    answers: list[_Value]


_decoder = msgspec.json.Decoder(_Body)
_encoder = msgspec.json.Encoder()


def _header(request: Request, name: str, pattern: re.Pattern[str] | None = None) -> str:
    value = request.headers.get(name)
    if value is None:
        raise RequestError(400, f"header {name} is missing")
    if pattern is not None and not pattern.fullmatch(value):
        raise RequestError(400, f"header {name}: {value[:60]!r} is not allowed there")
    return value


def _index_of(names: tuple[str, ...], name: str, what: str, status: int) -> int:
    """The index of a name from a header: its bytes are UTF-8, as in the settings, or else Latin-1."""
    if name.isascii() and name in names:  # the common case
        return names.index(name)
    with suppress(UnicodeError):
        utf8 = name.encode("latin-1").decode()
        for index, candidate in enumerate(names):
            if candidate.strip(HEADER_BLANKS) == utf8:
                return index
    for index, candidate in enumerate(names):
        if candidate.strip(HEADER_BLANKS) == name:
            return index
    raise RequestError(status, f"{what} {name[:60]!r} is unknown")


def _unquoted(path: str) -> str:
    """Decode the percent escapes of a path, byte for byte."""
    head, *pieces = path.split("%")
    try:
        return head + "".join(chr(int(piece[:2], 16)) + piece[2:] for piece in pieces)
    except ValueError:
        return path


def _has_first_segment(path: str, name: str) -> bool:
    """Whether a name is the first segment of a path, with or without percent escapes."""
    first = f"/{name}/"
    return f"{path}/".startswith(first) or "%" in path and f"{_unquoted(path)}/".startswith(first)


def _parse_parts(body: bytes, site: SiteSettings) -> tuple[PartRequest, ...]:
    try:
        query = _decoder.decode(body)
        text = query.predicate.encode()
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise RequestError(400, f"body: {error}") from None
    if not query.ranges:
        raise RequestError(400, "body: ranges is empty")
    if len(text) > MAX_PREDICATE_BYTES:
        raise RequestError(413, f"body: predicate of {len(text)} bytes, {MAX_PREDICATE_BYTES} are allowed")
    seen: set[int] = set()
    total = 0.0
    for index, item in enumerate(query.ranges):
        if not 0 <= item.range < site.shards:
            raise RequestError(
                400, f"body: ranges[{index}].range {item.range}, 0 to {site.shards - 1} are served"
            )
        if item.range in seen:
            raise RequestError(400, f"body: ranges[{index}].range {item.range} appears twice")
        if not math.isfinite(item.portion) or not 0 < item.portion <= 1 + PORTION_TOLERANCE:
            raise RequestError(
                400, f"body: ranges[{index}].portion {item.portion}, over 0 up to 1 was expected"
            )
        seen.add(item.range)
        total += item.portion
    if abs(total - 1) > PORTION_TOLERANCE:
        raise RequestError(400, f"body: portions add up to {total:.6f}, not 1")
    return tuple(PartRequest(item.range, item.portion, text) for item in query.ranges)


def read_query(request: Request, handle: int, site: SiteSettings, used_names: Container[str]) -> Ask:
    """Convert a request to the driver's ``Ask``; raises ``RequestError``."""
    if request.method != "POST":
        raise RequestError(405, f"method {request.method[:20]!r}, POST was expected")
    name = _header(request, ID_HEADER, ID_PATTERN)
    kind_name = _header(request, CLASS_HEADER)
    kind = _index_of(site.classes, kind_name, "class", 404)
    if not _has_first_segment(request.path, kind_name):
        raise RequestError(404, f"path {request.path[:60]!r} does not begin with the class {kind_name!r}")
    tenant = 0
    if site.tenants:
        tenant = _index_of(site.tenants, _header(request, TENANT_HEADER), "tenant", 400)
    time_left = int(_header(request, DEADLINE_HEADER, DIGITS_PATTERN)) * MS
    parts = _parse_parts(request.body, site)
    if name in used_names:
        raise RequestError(409, f"header {ID_HEADER}: {name!r} is the id of an earlier request")
    repeat = request.headers.get(RETRY_HEADER) == "1"
    return Ask(handle, kind, time_left, parts, tenant, repeat=repeat, name=name)


def encode_response(finish: Finish) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of a final answer; no ``Retry-After`` where ``retry_in`` is 0."""
    if finish.verdict is Verdict.ANSWERED:
        values = [_Value(shard, body) for _, shard, body in finish.bodies]
        return 200, JSON_HEADERS, _encoder.encode(_Answer(finish.whole, values))
    if finish.verdict is Verdict.REFUSED:
        return refusal(finish.cause, finish.retry_in)
    return 504 if finish.cause == "time is up" else 502, TEXT_HEADERS, f"failed: {finish.cause}\n".encode()


def refusal(cause: str, retry_in: int) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of a refusal: nothing ran, so a retry is safe."""
    retry_after = {"Retry-After": f"{retry_in / 1e9:.3f}"} if retry_in else {}
    return 503, TEXT_HEADERS | retry_after, f"refused: {cause}; asking again is harmless\n".encode()
