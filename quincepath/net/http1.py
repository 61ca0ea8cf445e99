"""Sans-I/O HTTP/1.1 on httptools: bytes in, messages out, with limits on every size."""

from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

MAX_PIPELINED_REQUESTS = 16  # complete requests queued per connection; later bytes are not parsed
PARSE_CHUNK_BYTES = 16 * 1024  # parsed at once; also the most held beyond a limit before it is noticed
HEADER_OVERHEAD_BYTES = 4  # per header line: colon, space, CR LF
HEADER_OBJECT_BYTES = 200  # of memory for a header besides its text: two strings and a place in a dictionary
FREE_CHUNKS = 1000  # of a body, whatever their size; each takes a callback
MIN_MEAN_CHUNK_BYTES = 64  # of a body in more chunks
REQUEST_OBJECT_BYTES = 1000  # of memory for a request without headers


class HttpError(Exception):
    """The peer violated the protocol or a limit; a server answers with ``status`` and closes."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class _QueueFullError(Exception):
    """Raised in a parser callback to stop parsing: no further request is queued."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Size limits in bytes, and of header lines; ``headers`` applies to all header lines of one message."""

    headers: int = 32 * 1024
    body: int = 8 * 1024 * 1024
    header_lines: int = 100  # of one message; each takes far more memory than its text


@dataclass(slots=True)
class Request:
    """One complete request; header names in lower case, repeated headers joined by a comma."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    head_memory_bytes: int = REQUEST_OBJECT_BYTES

    @property
    def memory_bytes(self) -> int:
        """About the memory that it takes."""
        return self.head_memory_bytes + len(self.body)

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """One complete response."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class _MessageReader:
    """Common to both sides: accumulates headers and body within the limits."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.error: HttpError | None = None
        self.busy = False  # within a message
        self._unreported_bytes = 0  # fed since the last parser callback: the parser buffers them
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._header_lines = 0
        self._body = bytearray()  # one buffer: a list of two-byte chunks would take 20 times the body's size

    def _fail(self, status: int, text: str) -> None:
        self.error = HttpError(status, text)
        raise self.error

    def on_message_begin(self) -> None:
        """Parser callback: start of a message."""
        self._reset()
        self._unreported_bytes = 0
        self.busy = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._unreported_bytes = 0
        self._header_lines += 1
        if self._header_lines > self.limits.header_lines:
            self._fail(431, f"headers of more than {self.limits.header_lines} lines")
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes > self.limits.headers:
            self._fail(431, f"headers of more than {self.limits.headers} bytes")
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_headers_complete(self) -> None:
        """Parser callback: end of the headers."""
        length = self._headers.get("content-length", "0")
        # Checked whatever the parser accepts: ambiguous framing allows request smuggling.
        if "transfer-encoding" in self._headers and "content-length" in self._headers:
            self._fail(400, "both Content-Length and Transfer-Encoding")
        if not (length.isascii() and length.isdigit()) or len(length) > 18:
            self._fail(400, f"Content-Length {length[:40]!r} is not one length")
        if int(length) > self.limits.body:
            self._fail(413, f"a body of {length} bytes where {self.limits.body} are allowed")

    def on_body(self, body: bytes) -> None:
        self._unreported_bytes = 0
        if len(self._body) + len(body) > self.limits.body:
            self._fail(413, f"a body of more than {self.limits.body} bytes")
        self._body += body

    def _feed(
        self, parser: "httptools.HttpRequestParser | httptools.HttpResponseParser", data: bytes
    ) -> None:
        if self.error is not None:
            raise self.error
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.error = HttpError(501, "protocol upgrades are not served")
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, _QueueFullError):
                raise error.__context__ from None
            self.error = self.error or HttpError(400, f"not HTTP/1.1: {error}")
        if self.error is not None:
            raise self.error


class RequestReader(_MessageReader):
    """Server side: ``done`` holds the completed requests in order, pipelined ones included.

    With ``MAX_PIPELINED_REQUESTS`` of them queued, or as many bytes as one body may have, parsing stops
    where the next request begins: further bytes are only counted in ``dropped``, and no later request can be
    read from this connection.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.done: deque[Request] = deque()
        self.dropped = 0  # bytes
        self.wants_continue = False
        self._target = b""
        self._chunks = 0
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Parser callback: part of the request target."""
        self._unreported_bytes = 0
        self._target += url
        if len(self._target) > self.limits.headers:
            self._fail(414, f"a target of more than {self.limits.headers} bytes")

    def on_message_begin(self) -> None:
        """Parser callback: start of a message."""
        if self._queue_full():
            raise _QueueFullError
        self._target = b""
        self._chunks = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Parser callback: end of the headers."""
        super().on_headers_complete()
        self.wants_continue = self._headers.get("expect", "").lower() == "100-continue"

    def on_chunk_header(self) -> None:
        """Parser callback: start of a chunk of the body."""
        self._chunks += 1
        if self._chunks > FREE_CHUNKS + len(self._body) // MIN_MEAN_CHUNK_BYTES:
            self._fail(413, f"a body of {len(self._body)} bytes in {self._chunks} chunks")

    def on_message_complete(self) -> None:
        """Parser callback: end of the message."""
        assert self._parser is not None
        self.busy = self.wants_continue = False
        self.done.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._head_memory_bytes(),
            )
        )
        self._reset()  # a connection between requests must not keep the body of its last one

    def _head_memory_bytes(self) -> int:
        lines = self._header_lines * HEADER_OBJECT_BYTES
        return REQUEST_OBJECT_BYTES + len(self._target) + self._header_bytes + lines

    @property
    def memory_bytes(self) -> int:
        """About the memory that queued requests and the one being received take."""
        queued = sum(request.memory_bytes for request in self.done)
        if not self.busy and not self._body:
            return queued
        return queued + self._head_memory_bytes() + len(self._body) + self._unreported_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes of bodies held: those of queued requests and of the one being received."""
        return self._queued_bytes() + len(self._body)

    def _queued_bytes(self) -> int:
        return sum(len(request.body) for request in self.done)

    def _queue_full(self) -> bool:
        return len(self.done) >= MAX_PIPELINED_REQUESTS or self._queued_bytes() >= self.limits.body

    def feed(self, data: bytes) -> None:
        """Parse bytes into ``done``. Raises ``HttpError``; requests completed before the error stay valid."""
        for offset in range(0, len(data), PARSE_CHUNK_BYTES):
            if self.dropped or self._queue_full():
                self.dropped += len(data) - offset
                return
            if self._parser is None:
                return
            chunk = data[offset : offset + PARSE_CHUNK_BYTES]
            self._unreported_bytes += len(chunk)
            try:
                self._feed(self._parser, chunk)
            except _QueueFullError:  # somewhere in this chunk: the parser does not tell where
                self.dropped += len(data) - offset
                return
            # The parser buffers an unterminated line without limit.
            if self._unreported_bytes > self.limits.headers:
                self._fail(431, f"a line of more than {self.limits.headers} bytes")

    def drop_all(self) -> None:
        """Drop the queued requests and the one being received; later bytes are only counted."""
        self.dropped += max(self.held_bytes, 1)
        self.close()
        self.wants_continue = False

    def close(self) -> None:
        """Stop parsing and drop the queued requests: no more of them are taken from this connection.

        Breaks the reference cycle with the parser, so that both are freed at once.
        """
        self._parser = self.error = None
        self.busy = False
        self._unreported_bytes = 0
        self.done.clear()
        self._reset()


class ResponseReader(_MessageReader):
    """Client side, one call at a time; ``done`` is set when its response is complete.

    A response without a length ends with its connection: the owner calls ``end`` when the peer has closed it
    cleanly. An owner that never calls it accepts no such response.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.done: Response | None = None
        self._until_close = False  # the current body extends to the end of the connection
        self._trailing = False  # another message followed a complete response
        self._parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Parser callback: start of a message."""
        super().on_message_begin()
        self._until_close, self._trailing = False, self.done is not None

    def on_headers_complete(self) -> None:
        """Parser callback: end of the headers."""
        super().on_headers_complete()
        status = self._parser.get_status_code()
        framed = "content-length" in self._headers or "transfer-encoding" in self._headers
        self._until_close = not framed and status >= 200 and status not in (204, 304)

    def on_message_complete(self) -> None:
        """Parser callback: end of the message."""
        self.busy = False
        if self.done is None and self._parser.get_status_code() >= 200:  # 1xx responses are interim
            self.done = self._response(self._parser.should_keep_alive())

    def _response(self, keep_alive: bool) -> Response:
        return Response(self._parser.get_status_code(), self._headers, bytes(self._body), keep_alive)

    def feed(self, data: bytes) -> Response | None:
        """Parse bytes; returns the response once it is complete. Raises ``HttpError``.

        Bytes after a complete response are ignored: the response is valid, but its connection is not reused.
        """
        try:
            self._feed(self._parser, data)
        except HttpError:
            if self.done is None:
                raise
        found, self.done = self.done, None
        if found is not None and (self._trailing or self.error is not None):
            found.keep_alive = False
        return found

    def end(self) -> Response | None:
        """The peer closed the connection cleanly: returns the response delimited by that, if any."""
        if not self.busy or not self._until_close or self.error is not None:
            return None
        self.busy = False
        return self._response(keep_alive=False)


def _head(start_line: str, headers: dict[str, str]) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1", "replace")


def response_head(status: int, headers: dict[str, str], length: int, keep_alive: bool) -> bytes:
    """Status line and headers of a response with a body of ``length`` bytes."""
    phrase = HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else "Unknown"
    fixed = {"Content-Length": str(length), "Connection": "keep-alive" if keep_alive else "close"}
    return _head(f"HTTP/1.1 {status} {phrase}", headers | fixed)


def request_bytes(method: str, target: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
    """A complete request."""
    fixed = {"Host": host, **headers, "Content-Length": str(len(body))}
    return _head(f"{method} {target} HTTP/1.1", fixed) + body
