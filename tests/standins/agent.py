"""Discovery's agent as one that breaks off: what becomes of each call is said by name, on real sockets."""

import json
import socket
from collections.abc import Callable
from typing import Any

from quincepath.net.loop import READ, Loop
from quincepath.net.stream import Stream
from tests.standins.platform import free_port

MS = 1_000_000
SECOND = 1000 * MS
STORM = 200  # calls in one moment
HEAD = b"HTTP/1.1 200 OK\r\n"


def framed(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunked(body: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    half = len(body) // 2
    pieces = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (body[:half], body[half:]))
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + pieces + end


def unframed(body: bytes) -> bytes:
    return HEAD + b"Connection: close\r\n\r\n" + body


class Agent:
    """``fates`` says what becomes of the next calls, by name, one each; after them ``always`` does.

    ``well``: answered, late by ``delay``; a watch waits for news. ``lost``: never answered, nor is the
    connection heard of again. ``reset``, ``half``: reset at once, or after half of the answer. ``still``:
    half of the answer, then nothing. ``trickle``: a byte a second. Any other is a method ``write_NAME``.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.fates: list[str] = []
        self.always = "well"
        self.delay = 0
        self.calls: list[tuple[int, str]] = []  # when, target
        self.on_call: Callable[[], None] = lambda: None
        self.streams: list[Stream] = []
        self.waiting: list[tuple[Stream, int]] = []
        self.answer: Callable[[bytes], bytes] = framed  # how a body is put into bytes
        self.last = ""  # after an answer: "end" or "reset" of the connection
        self.raw: bytes | None = None  # bodies, instead of the list
        self.port = free_port()
        self.stormed = False  # it was called without any pause
        self._fill: list[socket.socket] = []
        self.open()

    # --- its listener ---

    def open(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", self.port), backlog=0)
        self._listener.setblocking(False)
        self.loop.watch(self._listener, READ, self._accept)

    def refuse(self) -> None:
        """New connections are refused, those that are open are reset."""
        self.loop.watch(self._listener, 0, self._accept)
        self._listener.close()
        self.reset()

    def unreachable(self) -> None:
        """New connections never come up: the system's queue is full and drops them."""
        self.loop.watch(self._listener, 0, self._accept)
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self._fill.append(sock)

    def reachable(self) -> None:
        """Ends ``unreachable``; what came in that time stays lost."""
        for sock in self._fill:
            sock.close()
        self._fill.clear()
        self._listener.close()
        self.open()

    def reset(self) -> None:
        """All open connections are reset."""
        for stream in self.streams:
            stream.close(reset=True)
        self.waiting.clear()

    def lose(self) -> None:
        """Open connections stay, and nothing comes by them any more."""
        for stream in self.streams:
            if not stream.closed:
                stream.pause()
        self.waiting.clear()

    def _accept(self, _: int) -> None:
        try:
            sock, _address = self._listener.accept()
        except BlockingIOError:
            return
        held = bytearray()
        stream = Stream(self.loop, sock, lambda data: self._data(stream, held, data), lambda why: None)
        self.streams.append(stream)

    # --- its calls ---

    def _data(self, stream: Stream, held: bytearray, data: bytes) -> None:
        held += data
        while b"\r\n\r\n" in held:
            head, _, rest = bytes(held).partition(b"\r\n\r\n")
            held[:] = rest
            target = head.split(b" ")[1].decode()
            self.calls.append((self.loop.clock(), target))
            fate = self.fates.pop(0) if self.fates else self.always
            if len(self.calls) > STORM and self.calls[-STORM][0] == self.loop.clock():
                # The clock stands while there is something to read: a test would never end.
                self.stormed, fate = True, "lost"
            self._meet(stream, target, fate)
            self.on_call()

    def _meet(self, stream: Stream, target: str, fate: str) -> None:
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        wait = int(target.partition("timeout_ms=")[2] or 0)
        whole = self.answer(self.body(since))
        if fate == "lost":
            stream.pause()
        elif fate == "reset":
            stream.close(reset=True)
        elif fate == "half":
            stream.write(whole[: len(whole) // 2])
            self.loop.call_in(MS, lambda: stream.close(reset=True))
        elif fate == "still":
            stream.write(whole[: len(whole) // 2])
        elif fate == "trickle":
            self._trickle(stream, whole)
        elif fate == "well" and since == self.version and self.raw is None:
            self.waiting.append(waits := (stream, since))
            self.loop.call_in(wait * MS, lambda: self._over(waits))
        elif fate == "well":
            self.loop.call_in(self.delay, lambda: self.send(stream, since))
        else:
            getattr(self, f"write_{fate}")(stream, since)

    def _trickle(self, stream: Stream, left: bytes) -> None:
        stream.write(left[:1])
        if not stream.closed and left[1:]:
            self.loop.call_in(SECOND, lambda: self._trickle(stream, left[1:]))

    def _over(self, waits: tuple[Stream, int]) -> None:
        if waits in self.waiting:
            self.waiting.remove(waits)
            self.send(*waits)

    def send(self, stream: Stream, since: int) -> None:
        """One answer, and what ``last`` says of the connection."""
        stream.write(self.answer(self.body(since)))
        if self.last == "end":
            stream.finish(9999, lambda: None)
        elif self.last == "reset":
            self.loop.call_in(MS, lambda: stream.close(reset=True))

    def write_bad_status(self, stream: Stream, since: int) -> None:
        stream.write(b"HTTP/1.1 503 Later\r\nContent-Length: 2\r\n\r\n{}")

    # --- its list ---

    def body(self, since: int) -> bytes:
        if self.raw is not None:
            return self.raw
        full = since < 0
        told = list(self.entries.values()) if full else [entry for v, entry in self.log if v > since]
        return json.dumps({"version": self.version, "full": full, "servers": told}).encode()

    def tell(self, *entries: dict[str, Any]) -> None:
        """Changes; who waits is answered at once."""
        self.version += 1
        for entry in entries:
            self.log.append((self.version, entry))
            self.entries[entry["id"]] = entry
            if entry["state"] == "DELETED":
                del self.entries[entry["id"]]
        waiting, self.waiting = self.waiting, []
        for stream, since in waiting:
            self.send(stream, since)
