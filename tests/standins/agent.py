"""Discovery's agent with faults: the outcome of each call is set by name, on real sockets."""

import json
import socket
from collections.abc import Callable
from typing import Any

from quincepath.net.loop import READ, Loop
from quincepath.net.stream import Stream
from tests.standins.ports import free_port

MS = 1_000_000
SECOND = 1000 * MS
MAX_CALLS_AT_ONCE = 200  # in one instant of the virtual clock
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
    """``outcomes`` are the outcomes of the next calls, by name; after them ``default_outcome`` applies.

    ``ok``: a watch waits for changes; the response is made then, and sent ``delay`` later. ``lost``: never
    answered, and nothing more arrives on the connection. ``reset``, ``half``: reset at once, or after half of
    the response. ``stalled``: half of the response, then nothing. ``trickle``: a byte a second. Any other is
    a method ``write_NAME``.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.outcomes: list[str] = []
        self.default_outcome = "ok"
        self.delay = 0
        self.calls: list[tuple[int, str]] = []  # when, target
        self.on_call: Callable[[], None] = lambda: None
        self.streams: list[Stream] = []
        self.lost: set[Stream] = set()  # nothing is sent on them any more
        self.watches: list[tuple[Stream, int]] = []
        self.encode: Callable[[bytes], bytes] = framed  # how a body is encoded as a response
        self.after_response = ""  # "end" or "reset" of the connection after a response
        self.raw: bytes | None = None  # body of every response, instead of the list
        self.port = free_port()
        self.flooded = False  # called repeatedly without any delay
        self._backlog_fill: list[socket.socket] = []
        self.open()

    # --- listener ---

    def open(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", self.port), backlog=0)
        self._listener.setblocking(False)
        self.loop.watch(self._listener, READ, self._accept)

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones."""
        self.loop.watch(self._listener, 0, self._accept)
        self._listener.close()
        self.reset()

    def unreachable(self) -> None:
        """New connections are never established: the backlog is full and drops them."""
        self.loop.watch(self._listener, 0, self._accept)
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self._backlog_fill.append(sock)

    def reachable(self) -> None:
        """Ends ``unreachable``; what arrived in that time stays lost."""
        for sock in self._backlog_fill:
            sock.close()
        self._backlog_fill.clear()
        self._listener.close()
        self.open()

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in self.streams:
            stream.close(reset=True)
        self.watches.clear()

    def lose(self) -> None:
        """Open connections stay, but nothing arrives on them any more."""
        for stream in self.streams:
            if not stream.closed:
                stream.pause()
                self.lost.add(stream)
        self.watches.clear()

    def _accept(self, _: int) -> None:
        try:
            sock, _address = self._listener.accept()
        except BlockingIOError:
            return
        held = bytearray()
        stream = Stream(self.loop, sock, lambda data: self._data(stream, held, data), lambda why: None)
        self.streams.append(stream)

    # --- calls ---

    def _data(self, stream: Stream, held: bytearray, data: bytes) -> None:
        held += data
        while b"\r\n\r\n" in held:
            head, _, rest = bytes(held).partition(b"\r\n\r\n")
            held[:] = rest
            target = head.split(b" ")[1].decode()
            self.calls.append((self.loop.clock(), target))
            outcome = self.outcomes.pop(0) if self.outcomes else self.default_outcome
            if len(self.calls) > MAX_CALLS_AT_ONCE and self.calls[-MAX_CALLS_AT_ONCE][0] == self.loop.clock():
                # The virtual clock stands still while there is something to read: the test would never end.
                self.flooded, outcome = True, "lost"
            self._apply_outcome(stream, target, outcome)
            self.on_call()

    def _apply_outcome(self, stream: Stream, target: str, outcome: str) -> None:
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        wait = int(target.partition("timeout_ms=")[2] or 0)
        whole = self.encode(self.body(since))
        if outcome == "lost":
            stream.pause()
        elif outcome == "reset":
            stream.close(reset=True)
        elif outcome == "half":
            stream.write(whole[: len(whole) // 2])
            self.loop.call_in(MS, lambda: stream.close(reset=True))
        elif outcome == "stalled":
            stream.write(whole[: len(whole) // 2])
        elif outcome == "trickle":
            self._trickle(stream, whole)
        elif outcome == "ok" and since == self.version and self.raw is None:
            self.watches.append(watch := (stream, since))
            self.loop.call_in(wait * MS, lambda: self._over(watch))
        elif outcome == "ok":
            self.respond(stream, since)
        else:
            getattr(self, f"write_{outcome}")(stream, since)

    def _trickle(self, stream: Stream, left: bytes) -> None:
        stream.write(left[:1])
        if not stream.closed and left[1:]:
            self.loop.call_in(SECOND, lambda: self._trickle(stream, left[1:]))

    def _over(self, watch: tuple[Stream, int]) -> None:
        if watch in self.watches:
            self.watches.remove(watch)
            self.respond(*watch)

    def respond(self, stream: Stream, since: int) -> None:
        """Make a response now and send it after ``delay``."""
        response = self.encode(self.body(since))
        if self.delay:
            self.loop.call_in(self.delay, lambda: self._send(stream, response))
        else:
            self._send(stream, response)

    def _send(self, stream: Stream, response: bytes) -> None:
        """Send one response, then do with the connection what ``after_response`` says."""
        if stream in self.lost:
            return
        stream.write(response)
        if self.after_response == "end":
            stream.finish(9999, lambda: None)
        elif self.after_response == "reset":
            self.loop.call_in(MS, lambda: stream.close(reset=True))

    def write_bad_status(self, stream: Stream, since: int) -> None:
        stream.write(b"HTTP/1.1 503 Later\r\nContent-Length: 2\r\n\r\n{}")

    # --- node list ---

    def body(self, since: int) -> bytes:
        if self.raw is not None:
            return self.raw
        full = since < 0
        servers = list(self.entries.values()) if full else [entry for v, entry in self.log if v > since]
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode()

    def publish(self, *entries: dict[str, Any]) -> None:
        """Publish changes; open watches are answered at once."""
        self.version += 1
        for entry in entries:
            self.log.append((self.version, entry))
            self.entries[entry["id"]] = entry
            if entry["state"] == "DELETED":
                del self.entries[entry["id"]]
        waiting, self.watches = self.watches, []
        for stream, since in waiting:
            self.respond(stream, since)
