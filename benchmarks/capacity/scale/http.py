"""One HTTP request on the loop, on a connection of its own."""

import socket
from collections.abc import Callable

from quincepath.net.dial import Dial
from quincepath.net.http1 import HttpError, Limits, ResponseReader, request_bytes
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream

LIMITS = Limits(body=32 << 20)
LONGEST = 10_000_000_000  # ns until a request is given up
NO_ANSWER = 0  # in place of a status


class Request:
    """``done(status, body)`` is called once, later; ``NO_ANSWER`` where none came in time."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        method: str,
        path: str,
        body: bytes,
        done: Callable[[int, bytes], None],
    ) -> None:
        self._loop, self._done, self._over = loop, done, False
        self._request = request_bytes(method, path, "broker", {"Connection": "close"}, body)
        self._reader = ResponseReader(LIMITS)
        self._stream: Stream | None = None
        self._timer = loop.call_in(LONGEST, self._lost)
        self._dial = Dial(loop, address, LONGEST, self._opened, lambda code: self._lost())

    def _opened(self, sock: socket.socket) -> None:
        self._stream = Stream(self._loop, sock, self._data, self._lost)
        self._stream.write(self._request)

    def _data(self, data: bytes) -> None:
        try:
            response = self._reader.feed(data)
        except HttpError:
            self._lost()
            return
        if response is not None:
            self._end(response.status, response.body)

    def _lost(self, _: str = "") -> None:
        self._end(NO_ANSWER, b"")

    def _end(self, status: int, body: bytes) -> None:
        if self._over:
            return
        self._over = True
        self._timer.cancel()
        self._dial.close()
        if self._stream is not None:
            self._stream.close()
        self._done(status, body)
