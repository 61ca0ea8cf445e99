"""HTTP server side on the loop: one request of a connection at a time, in order, within stated times.

A pipelined request waits in the reader until the one before it is answered; it is *taken* then, and its
client's time starts then, because an answer could not pass the earlier one anyway. While a request is open
the connection is always read, so that a client that leaves is noticed; of what it sends ahead little is held,
and the rest is dropped. How a connection ends is said in net/closing.py.
"""

import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from quincepath.net.closing import State
from quincepath.net.http1 import HttpError, Limits, Request, RequestReader, response_head
from quincepath.net.loop import Loop
from quincepath.net.stream import Listener, Stream

SWEEP = 250_000_000  # ns between looks for connections past a time limit
LINGER_MOST = 1024 * 1024  # bytes read and dropped from a client that has its last answer
JOINED = 16 * 1024  # bytes of a body that are copied behind the head
MAX_DISCARDED_BYTES = 1024 * 1024  # sent ahead, read and discarded; over it the connection is closed
GREETING = 250_000_000  # ns that a new connection has to begin its request while the server drains
STALE = 20_000_000  # ns that an end may lie unseen; queries must not be sent on 100 ms after it
TEXT = {"Content-Type": "text/plain; charset=utf-8"}


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Nanoseconds: between requests, within one request's arrival, without a byte taken by the client.

    ``first``: from the connect until the first request is whole, 0 where that is as later ones. ``linger``:
    how long a half-closed connection is still read from, so that what was said arrives.
    """

    idle: int
    request: int
    write: int
    first: int = 0
    linger: int = 1_000_000_000


class Exchange:
    """One request and the one answer that it is owed."""

    def __init__(self, peer: "ClientConnection", request: Request) -> None:
        self.connection, self.request = peer, request
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: dict[str, str], body: bytes = b"") -> bool:
        """Answer; false, with nothing sent, where the answer was given before or the client has left."""
        if self.answered or self.connection.stream.closed:
            return False
        self.answered = True
        self.connection.respond(status, headers, body, self.request.keep_alive)
        return True

    def text(self, status: int, text: str, headers: dict[str, str] | None = None) -> bool:
        """Answer with a line of plain text."""
        return self.respond(status, TEXT | (headers or {}), text.encode() + b"\n")


class ClientConnection:
    """One client connection."""

    def __init__(self, server: "HttpServer", sock: socket.socket) -> None:
        self.server = server
        try:
            self.address = str(sock.getpeername()[0])
        except OSError:  # it has gone already
            self.address = ""
        self.reader = RequestReader(server.limits)
        self.current: Exchange | None = None
        self.since = server.loop.now  # of the state now: idle, or a request being read
        self.arriving = False
        self.counted = True  # among the connections of its address
        self.asked = False  # some request of it was whole
        self.valued = False  # the handler's mark: it has brought work worth keeping it for
        self.error: HttpError | None = None
        self.behind = 0  # bytes behind an error that waits for its turn
        self.stream = Stream(server.loop, sock, self._data, self._closed, self._drained)

    @property
    def closing(self) -> bool:
        """Whether its last answer was given, or it is told to go: nothing of it is taken any more."""
        return self.stream.state is not State.OPEN

    def _data(self, data: bytes) -> None:
        if not self.arriving:
            self.arriving = True
            if self.asked or not self.server.times.first:  # the first request's time runs from the connect
                self.since = self.server.loop.now
        if self.error is None:
            try:
                self.reader.feed(data)
            except HttpError as error:
                self.error = HttpError(error.status, error.text)  # not its trace, which holds this connection
        else:
            self.behind += len(data)
        # Not left unread: behind it may lie the client's end, and its open query must not go on then.
        if self.behind + self.reader.dropped > MAX_DISCARDED_BYTES:
            self.server.counts["flooded"] += 1
            self.stream.fail("sent too much ahead")
            return
        if self.reader.wants_continue and self.current is None and self.error is None:
            self.reader.wants_continue = False
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._next()

    def _next(self) -> None:
        """Take the next whole request, if nothing is open; a protocol error is answered in its turn.

        Not while an answer waits for its reader: one who asks on and never reads would fill the memory.
        """
        if self.current is not None or self.closing or self.stream.pending:
            return
        if self.reader.done:
            if not self.asked and not self._still_there():
                return
            request = self.reader.done.popleft()
            self.arriving = self.reader.busy or bool(self.reader.done)
            self.since = self.server.loop.now
            self.asked = True
            exchange = self.current = Exchange(self, request)
            self.server.counts["requests"] += 1
            self.server.handler(exchange)
        elif self.error is not None:
            self.server.counts["protocol_errors"] += 1
            self._send(self.error.status, TEXT, self.error.text.encode() + b"\n", keep_alive=False)
        elif self.reader.dropped:
            self.end("read_ahead")

    def _still_there(self) -> bool:
        """Ahead of the first request: the connection may have waited long for the accept, its end with it."""
        unread = self.stream.unread()
        if unread == b"":
            self.server.counts["gone_before_taken"] += 1
            self.stream.fail("end of stream")
        return unread is None  # what has come behind is read first, in the next turn

    def _drained(self) -> None:
        """Go on to what was sent ahead: not from within the handler, and one request a turn.

        Guards against thousands of small requests sent at once, which held up all others for their turn.
        """
        if not self.closing and (self.reader.done or self.error is not None or self.reader.dropped):
            self.server.loop.call_at(self.server.loop.now + 1, self._next)

    def respond(self, status: int, headers: dict[str, str], body: bytes, keep_alive: bool) -> None:
        """Send the open request's answer and go on to the next request."""
        self.current = None
        self.since = self.server.loop.now
        last = self.server.last_answers or self.reader.dropped > 0 and not self.reader.done
        self._send(status, headers, body, keep_alive and not last)

    def _send(self, status: int, headers: dict[str, str], body: bytes, keep_alive: bool) -> None:
        head = response_head(status, headers, len(body), keep_alive)
        if len(body) < JOINED:
            self.stream.write(head + body)  # one call to the system
        else:
            self.stream.write(head, body)
        if not keep_alive:
            self._finish()

    def _finish(self) -> None:
        """The one way in which this side ends a connection."""
        if not self.closing:
            self.since = self.server.loop.now
            self.server.uncount(self)
            self.server.lingering[self] = None
            self.stream.finish(LINGER_MOST, lambda: self._closed("finished"))

    @property
    def busy(self) -> bool:
        """Whether a request is open, or the last answer is on its way."""
        return self.current is not None or self.closing or self.stream.pending > 0

    def waits(self) -> bool:
        """Whether it may be closed without breaking anything off: no request open, none begun or unread."""
        return not self.busy and not self.arriving and self.stream.quiet()

    def _closed(self, _why: str) -> None:
        self.server.forget(self)
        self.reader.close()
        exchange, self.current = self.current, None
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def fail(self, why: str) -> None:
        """End this connection after an error of this program."""
        self.stream.fail(why)

    def refuse(self, why: str) -> None:
        """Answer before any request and close: the client is told, not just cut off."""
        self._send(503, {**TEXT, "Retry-After": "1"}, why.encode() + b"\n", keep_alive=False)

    def expire(self, now: int, times: Timeouts) -> None:
        """End or answer what is past its time."""
        if self.stream.pending:
            if now > self.stream.progress_at + times.write:
                self.abandon("slow_readers")
        elif self.closing:
            if now > self.stream.state_since + times.linger:  # since the half-close, not since the answer
                self.abandon("lingered")
        elif self.current is None:
            self._expire_idle(now, times)

    def _expire_idle(self, now: int, times: Timeouts) -> None:
        first = not self.asked and times.first > 0
        if first or self.arriving:
            late = now - self.since - (times.first if first else times.request)
            # A whole request may lie unread: it is read in the next turn. Once more, not for ever.
            if late > SWEEP or late > 0 and self.stream.quiet():
                self._late()
            elif self.server.draining and not self.arriving and now > self.since + GREETING:
                if self.stream.quiet():
                    self.end("idle_closed")
        elif (now > self.since + times.idle or self.server.draining) and self.stream.quiet():
            self.end("idle_closed")

    def _late(self) -> None:
        self.server.counts["slow_senders"] += 1
        self._send(408, TEXT, b"the request did not arrive in time\n", keep_alive=False)

    def end(self, count: str) -> None:
        """Half-close without an answer; counted by name. What still comes is dropped, not served."""
        self.server.counts[count] += 1
        self._finish()

    def abandon(self, count: str) -> None:
        """Close now: a bound is over; counted by name."""
        self.server.counts[count] += 1
        self.stream.abandon()
        self._closed(count)

    def reject_incomplete_requests(self) -> None:
        """The last moment of the process is near: who is not served now is not served any more."""
        if self.current is None and not self.closing:
            if self.arriving:
                self._late()
            else:
                self.end("idle_closed")


class HttpServer:
    """A listener and its connections. ``handler(exchange)`` may answer at once or later, once."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        handler: Callable[[Exchange], None],
        limits: Limits,
        times: Timeouts,
        most: int,
        on_paused: Callable[[str], None] = lambda why: None,
        on_connection: Callable[[ClientConnection], None] = lambda peer: None,
        max_per_address: int = 0,
        enforce_limit: Callable[["HttpServer", ClientConnection], None] = lambda server, peer: None,
    ) -> None:
        self.enforce_limit = enforce_limit  # asked after each new connection; may cut others, or this one
        self.last_answers = False  # each answer is the last on its connection
        self.on_connection = on_connection
        self.max_per_address = max_per_address  # 0: no bound
        self.by_address: Counter[str] = Counter()
        self.loop, self.handler, self.limits, self.times = loop, handler, limits, times
        self.connections: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # of these: who has our last word, the oldest first
        self.most = most
        self.counts: Counter[str] = Counter()
        self.draining = False  # idle connections are closed

        def paused(why: str) -> None:
            self.counts["accepting_paused"] += 1
            on_paused(why)

        self.listener = Listener(loop, host, port, self._accept, self._held, most, paused)
        self.port = self.listener.port
        self._sweep()
        loop.turn_hooks.append(self._look_for_ends)  # ahead of the hook that sends queries on

    def _held(self) -> int:
        """Connections that hold a descriptor. At the bound the oldest half-closed one goes for the next.

        Guards against a crowd that does not answer our half-close and thereby keeps the listener resting.
        One whose answer is still leaving stays.
        """
        if len(self.connections) >= self.most:
            for peer in [peer for peer in self.lingering if peer.stream.state is State.HALF_CLOSED]:
                peer.abandon("lingered_out")
                if len(self.connections) < self.most:
                    break
        return len(self.connections)

    def _look_for_ends(self) -> None:
        """After a long turn, ends of open requests' clients that came meanwhile, ahead of what is sent on.

        Only then: commonly the wait has just told of each end, and a look costs a call to the system.
        """
        loop = self.loop
        if loop.lag + loop.clock() - loop.now < STALE:
            return
        for peer in [peer for peer in self.connections if peer.current is not None]:
            if not peer.closing and peer.stream.gone():
                self.counts["gone_unseen"] += 1
                peer.stream.fail("end of stream")

    def _accept(self, sock: socket.socket) -> None:
        self.counts["accepted"] += 1
        peer = ClientConnection(self, sock)
        self.connections[peer] = None
        self.by_address[peer.address] += 1
        if self.max_per_address and self.by_address[peer.address] > self.max_per_address:
            self.counts["too_many_of_address"] += 1
            peer.refuse("too many connections from this address")
            return
        self.on_connection(peer)
        self.enforce_limit(self, peer)

    def forget(self, peer: ClientConnection) -> None:
        """A connection is closed."""
        if peer in self.connections:
            del self.connections[peer]
            self.lingering.pop(peer, None)
            self.uncount(peer)

    def uncount(self, peer: ClientConnection) -> None:
        """A connection holds no place of its address any more: it is closed, or has its last answer."""
        if peer.counted:
            peer.counted = False
            self.by_address[peer.address] -= 1
            if not self.by_address[peer.address]:
                del self.by_address[peer.address]

    def _sweep(self) -> None:
        for peer in list(self.connections):
            peer.expire(self.loop.now, self.times)
        if not self.listener.closed or self.connections:
            self.loop.call_in(SWEEP, self._sweep)

    def retire(self) -> None:
        """Go on accepting and answering, but each answer is the last on its connection."""
        self.last_answers = True

    def drain(self) -> None:
        """Accept no more than who waits now; idle connections close, open requests are still answered."""
        self.draining = self.last_answers = True
        self.listener.drain()
        for peer in list(self.connections):
            peer.expire(self.loop.now, self.times)

    def reject_incomplete_requests(self) -> None:
        """Also requests that are not whole are not waited for any more."""
        for peer in list(self.connections):
            peer.reject_incomplete_requests()

    def close(self) -> None:
        """Close all at once."""
        self.listener.close()
        for peer in list(self.connections):
            peer.stream.abandon()
        self.connections.clear()
        self.lingering.clear()
        if self._look_for_ends in self.loop.turn_hooks:
            self.loop.turn_hooks.remove(self._look_for_ends)
