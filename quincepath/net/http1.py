"""HTTP/1.1 without sockets: bytes in, messages out, by httptools, with limits on every size."""

from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

MAX_PIPELINED_REQUESTS = 16  # whole requests held at most; what comes behind is not parsed
PIECE = 16 * 1024  # bytes parsed at once: over a limit, no more than so many are held
LINE = 4  # bytes that frame a header line: colon, space, line end


class HttpError(Exception):
    """The peer broke the protocol or a limit; ``status`` is what a server answers before it closes."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True, frozen=True)
class Limits:
    """Sizes in bytes; ``headers`` counts the header lines of one message."""

    headers: int = 32 * 1024
    body: int = 8 * 1024 * 1024


@dataclass(slots=True)
class Request:
    """One whole request; header names in lower case, repeated ones joined by a comma."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """One whole response."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class _Reader:
    """What both sides share: header and body accumulation within limits."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.error: HttpError | None = None
        self.busy = False  # inside a message
        self._unheard = 0  # bytes that the parser took since it last told of anything: it holds them
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body = bytearray()  # one piece: a body in chunks of two bytes would take twenty times its size

    def _fail(self, status: int, text: str) -> None:
        self.error = HttpError(status, text)
        raise self.error

    def on_message_begin(self) -> None:
        """Called by the parser: a message begins."""
        self._reset()
        self._unheard = 0
        self.busy = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._unheard = 0
        self._header_bytes += len(name) + len(value) + LINE
        if self._header_bytes > self.limits.headers:
            self._fail(431, f"headers of more than {self.limits.headers} bytes")
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_headers_complete(self) -> None:
        """Called by the parser: all headers are in."""
        length = self._headers.get("content-length", "0")
        # Whatever the parser lets pass: a body framed in two ways may hide another request.
        if "transfer-encoding" in self._headers and "content-length" in self._headers:
            self._fail(400, "both Content-Length and Transfer-Encoding")
        if not (length.isascii() and length.isdigit()) or len(length) > 18:
            self._fail(400, f"Content-Length {length[:40]!r} is not one length")
        if int(length) > self.limits.body:
            self._fail(413, f"a body of {length} bytes where {self.limits.body} are allowed")

    def on_body(self, body: bytes) -> None:
        self._unheard = 0
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
            self.error = self.error or HttpError(400, f"not HTTP/1.1: {error}")
        if self.error is not None:
            raise self.error


class RequestReader(_Reader):
    """Server side: the requests completed by what was fed are in ``done``, in order; pipelining included.

    With ``MAX_PIPELINED_REQUESTS`` of them waiting, parsing stops: further bytes are only counted in
    ``dropped``, and no later request can be read from this connection.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.done: deque[Request] = deque()
        self.dropped = 0  # bytes
        self.wants_continue = False
        self._target = b""
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Called by the parser: a piece of the target."""
        self._unheard = 0
        self._target += url
        if len(self._target) > self.limits.headers:
            self._fail(414, f"a target of more than {self.limits.headers} bytes")

    def on_message_begin(self) -> None:
        """Called by the parser: a message begins."""
        self._target = b""
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called by the parser: all headers are in."""
        super().on_headers_complete()
        self.wants_continue = self._headers.get("expect", "").lower() == "100-continue"

    def on_message_complete(self) -> None:
        """Called by the parser: the message is whole."""
        assert self._parser is not None
        self.busy = self.wants_continue = False
        self.done.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )

    def feed(self, data: bytes) -> None:
        """Take bytes; whole requests are in ``done``. Raises ``HttpError``; ``done`` before it stays good."""
        for at in range(0, len(data), PIECE):
            if self.dropped or len(self.done) >= MAX_PIPELINED_REQUESTS:
                self.dropped += len(data) - at
                return
            if self._parser is None:
                return
            piece = data[at : at + PIECE]
            self._unheard += len(piece)
            self._feed(self._parser, piece)
            if self._unheard > self.limits.headers:  # a line without end is held by the parser, and grows
                self._fail(431, f"a line of more than {self.limits.headers} bytes")

    def close(self) -> None:
        """Take nothing more. The parser holds this reader: without it both are freed at once."""
        self._parser = self.error = None


class ResponseReader(_Reader):
    """Client side of one call at a time; ``done`` is set when its response is whole.

    A response that names no length ends with its connection: the owner says by ``end`` that the peer ended it
    in order. Whoever never says so takes no such response.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.done: Response | None = None
        self._until_end = False  # the body that is read goes on until the connection ends
        self._more = False  # something came behind a whole response
        self._parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Called by the parser: a message begins."""
        super().on_message_begin()
        self._until_end, self._more = False, self.done is not None

    def on_headers_complete(self) -> None:
        """Called by the parser: all headers are in."""
        super().on_headers_complete()
        status = self._parser.get_status_code()
        framed = "content-length" in self._headers or "transfer-encoding" in self._headers
        self._until_end = not framed and status >= 200 and status not in (204, 304)

    def on_message_complete(self) -> None:
        """Called by the parser: the message is whole."""
        self.busy = False
        if self.done is None and self._parser.get_status_code() >= 200:  # an interim answer is not the answer
            self.done = self._response(self._parser.should_keep_alive())

    def _response(self, keep_alive: bool) -> Response:
        return Response(self._parser.get_status_code(), self._headers, bytes(self._body), keep_alive)

    def feed(self, data: bytes) -> Response | None:
        """Take bytes; the whole response once it is there. Raises ``HttpError``.

        Of what comes behind a whole response nothing is read: it is kept, its connection is not.
        """
        try:
            self._feed(self._parser, data)
        except HttpError:
            if self.done is None:
                raise
        found, self.done = self.done, None
        if found is not None and (self._more or self.error is not None):
            found.keep_alive = False
        return found

    def end(self) -> Response | None:
        """The peer has ended the connection in order: the response that ends with it, if one does."""
        if not self.busy or not self._until_end or self.error is not None:
            return None
        self.busy = False
        return self._response(keep_alive=False)


def _head(first: str, headers: dict[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1", "replace")


def response_head(status: int, headers: dict[str, str], length: int, keep_alive: bool) -> bytes:
    """Status line and headers of a response with a body of ``length`` bytes."""
    phrase = HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else "Unknown"
    fixed = {"Content-Length": str(length), "Connection": "keep-alive" if keep_alive else "close"}
    return _head(f"HTTP/1.1 {status} {phrase}", headers | fixed)


def request_bytes(method: str, target: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
    """A whole request."""
    fixed = {"Host": host, **headers, "Content-Length": str(len(body))}
    return _head(f"{method} {target} HTTP/1.1", fixed) + body
