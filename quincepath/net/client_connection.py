"""One client connection of the HTTP server: its requests are served one at a time, in order.

A pipelined request waits in the reader until the one before it is answered. Only then is it passed to the
handler, because its answer could not overtake the earlier one anyway; its time runs from its arrival. While a
request is open the connection is always read, so that a disconnect is noticed; little of what the client
sends ahead is kept, the rest is discarded. Closing is described in net/closing.py.
"""

import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from quincepath.limits.input_memory import InputMemory
from quincepath.net.closing import State
from quincepath.net.http1 import HttpError, Limits, Request, RequestReader, response_head
from quincepath.net.loop import Loop
from quincepath.net.stream import CLEAN_END, Listener, Stream

SWEEP_INTERVAL_NS = 250_000_000  # between checks for connections past a timeout
MAX_LINGER_BYTES = 1024 * 1024  # read and discarded from a client that was sent its last answer
MAX_JOINED_BODY_BYTES = 16 * 1024  # a smaller body is copied behind the head and sent with it
MAX_DISCARDED_BYTES = 2 * 1024 * 1024  # sent ahead, read and discarded; over it the connection is closed
DRAIN_FIRST_REQUEST_NS = 250_000_000  # for a new connection to begin its request while draining
UNPROVEN_CLIENT_NS = 4_000_000  # a new connection goes behind those known to take little time
STALE_TURN_NS = 20_000_000  # a disconnect may stay unseen so long; queries must not be sent 100 ms after it
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


@dataclass(slots=True, frozen=True)
class Timeouts:
    """In ns. ``idle``: between requests. ``request``: for a request to arrive. ``write``: without progress.

    ``first_request``: from the connect until the first request is complete, 0 to treat it as later ones.
    ``linger``: how long a half-closed connection is still read, so that the answer arrives.
    """

    idle: int
    request: int
    write: int
    first_request: int = 0
    linger: int = 1_000_000_000


class ConnectionOwner(Protocol):
    """What a connection needs from its server."""

    loop: Loop
    limits: Limits
    timeouts: "Timeouts"
    listener: Listener
    counts: Counter[str]
    lingering: "dict[ClientConnection, None]"
    draining: bool
    keep_alive_disabled: bool
    input_memory: "InputMemory[ClientConnection]"

    @property
    def handler(self) -> "Callable[[Exchange], None]":
        """Answers an exchange, at once or later."""
        ...

    def forget(self, connection: "ClientConnection") -> None:
        """Called when a connection's socket is closed."""
        ...

    def release_address_slot(self, connection: "ClientConnection") -> None:
        """Called when a connection is not to be counted for its address any more."""
        ...


class Exchange:
    """One request and its answer. ``received_at``: no later than when its last byte arrived, in ns."""

    def __init__(self, connection: "ClientConnection", request: Request, received_at: int) -> None:
        self.connection, self.request, self.received_at = connection, request, received_at
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None

    def release_body(self, retained: int) -> None:
        """Free the request's body; the handler keeps ``retained`` bytes made from it until the answer."""
        self.request.body = b""
        if self.connection.current is self:
            self.connection.on_body_released(retained)

    def respond(self, status: int, headers: dict[str, str], body: bytes = b"") -> bool:
        """Answer; returns false and sends nothing if already answered or the client has disconnected."""
        if self.answered or self.connection.stream.closed:
            return False
        self.answered = True
        self.connection.respond(status, headers, body, self.request.keep_alive)
        return True

    def text(self, status: int, text: str, headers: dict[str, str] | None = None) -> bool:
        """Answer with a line of plain text."""
        return self.respond(status, TEXT_HEADERS | (headers or {}), text.encode() + b"\n")


@dataclass(slots=True, frozen=True)
class Arrival:
    """When a request's last byte arrived (ns), at the latest; and whether it was sent ahead of an answer."""

    at: int
    sent_ahead: bool


class ClientConnection:
    """One client connection."""

    def __init__(self, server: ConnectionOwner, sock: socket.socket) -> None:
        self.server = server
        try:
            self.address = str(sock.getpeername()[0])
        except OSError:  # already disconnected
            self.address = ""
        self.reader = RequestReader(server.limits)
        self.current: Exchange | None = None
        self.since = server.loop.now  # start of the current phase: idle, or a request being received
        self.arriving = False
        self.holds_address_slot = True  # counted among the connections of its address
        self.asked = False  # some request of it was complete
        self.valued = False  # set by the handler: it has brought work that makes it worth keeping
        self.error: HttpError | None = None
        self.bytes_after_error = 0  # received after an error that is not answered yet
        self._open_bytes = 0  # of memory for the open request
        self._waiting_since = server.listener.waiting_since
        self._accepted_in = server.loop.turns
        self._arrivals: deque[Arrival] = deque()  # of the queued requests, in order
        self.stream = Stream(server.loop, sock, self._on_data, self._on_closed, self._on_drained)
        server.loop.socket_turns.begin(sock.fileno(), UNPROVEN_CLIENT_NS)

    def _time_unread(self) -> int:
        """How long (ns) the bytes being read may have waited, where the system does not tell, at most."""
        loop = self.server.loop
        longest = loop.lag
        if loop.last_complete_turn <= self._accepted_in:  # they may have come before it was accepted
            longest = max(longest, loop.now - self._waiting_since)
        if longest < STALE_TURN_NS:
            return longest  # not worth a system call
        age = loop.system.data_age(self.stream.sock)
        return longest if age is None else min(longest, age)

    @property
    def closing(self) -> bool:
        """Whether its last answer was sent or it is being closed: no further request is processed."""
        return self.stream.state is not State.OPEN

    def _on_data(self, data: bytes) -> None:
        if not self.arriving:
            self.arriving = True
            # The first request is timed from the connect.
            if self.asked or not self.server.timeouts.first_request:
                self.since = self.server.loop.now
        if self.error is None:
            queued = len(self.reader.done)
            try:
                self.reader.feed(data)
            except HttpError as error:
                # A copy without the traceback, which refers to this connection.
                self.error = HttpError(error.status, error.text)
            self._note_arrivals(queued)
        else:
            self.bytes_after_error += len(data)
        # Not left unread: the client's disconnect may follow, and must end its open query.
        if self.bytes_after_error + self.reader.dropped > MAX_DISCARDED_BYTES:
            self.server.counts["flooded"] += 1
            self.stream.fail("client sent too many bytes ahead of the answer")
            return
        if not self._is_taken_at_once():
            self._update_input_memory()
            self.server.input_memory.enforce(self)
            if self.closing:
                return
        if self.reader.wants_continue and self.current is None and self.error is None:
            self.reader.wants_continue = False
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._handle_next()

    def _note_arrivals(self, queued_before: int) -> None:
        """Remember when the requests arrived that the last read completed."""
        completed = len(self.reader.done) - queued_before
        if not completed:
            return
        at = self.server.loop.now - self._time_unread()
        for number in range(queued_before, queued_before + completed):
            self._arrivals.append(Arrival(at, sent_ahead=number > 0 or self.current is not None))

    def _handle_next(self) -> None:
        """Handle the next complete request if none is open; a protocol error is answered in order.

        Not while output is pending: a client that sends requests and never reads would fill the memory.
        """
        if self.current is not None or self.closing or self.stream.pending:
            return
        if self.reader.done:
            if (not self.asked or self._more_was_sent()) and not self._still_connected():
                return
            request = self.reader.done.popleft()
            self.arriving = self.reader.busy or bool(self.reader.done)
            self.since = self.server.loop.now
            self.asked = True
            exchange = self.current = Exchange(self, request, self._arrivals.popleft().at)
            self._open_bytes = request.memory_bytes
            self.server.counts["requests"] += 1
            self.server.handler(exchange)
            if self.current is exchange:
                self._update_input_memory()
        elif self.error is not None:
            self.server.counts["protocol_errors"] += 1
            self._send(self.error.status, TEXT_HEADERS, self.error.text.encode() + b"\n", keep_alive=False)
        elif self.reader.dropped:
            self.end("read_ahead")

    # --- memory of what the client sent ---

    def _is_taken_at_once(self) -> bool:
        """Whether one whole request is all that was sent, and there is room for it: the common case."""
        reader = self.reader
        if self.current is not None or reader.busy or self.error is not None or len(reader.done) != 1:
            return False
        return self.server.input_memory.has_room(reader.done[0].memory_bytes)

    def _update_input_memory(self) -> None:
        self.server.input_memory.update(self, self._open_bytes + self.reader.memory_bytes)

    def on_body_released(self, retained: int) -> None:
        """The body of the open request was freed but for so many bytes."""
        assert self.current is not None
        self._open_bytes = self.current.request.memory_bytes + retained

    @property
    def sheddable_bytes(self) -> int:
        """What ``shed_input`` would free."""
        return 0 if self.closing else self.reader.memory_bytes

    def shed_input(self) -> None:
        """Give up all that was sent behind an open request; without one, answer with an error and close."""
        self.server.counts["input shed"] += 1
        if self.current is not None:
            self.reader.drop_all()
            self._arrivals.clear()
            self._update_input_memory()
        else:
            self._send(503, TEXT_HEADERS, b"too much sent by all clients together\n", keep_alive=False)

    def _more_was_sent(self) -> bool:
        """Whether the next request was sent ahead of an answer, or more was sent behind it."""
        reader = self.reader
        ahead = self._arrivals[0].sent_ahead or len(reader.done) > 1
        return ahead or reader.busy or reader.dropped > 0 or self.error is not None

    def _still_connected(self) -> bool:
        """Before a request that waited here or in the backlog: its client may have disconnected meanwhile."""
        if self.stream.peer_closed():
            self.server.counts["gone_before_taken"] += 1
            self.stream.fail(CLEAN_END)
            return False
        return self.stream.nothing_unread()  # pending input is read first, in the next turn

    def detect_disconnect(self, max_reads: int) -> int:
        """Close an open request's connection if its client has left; returns the number of reads this took.

        What was sent behind the request is read first, as the end is behind it.
        """
        if self.current is None or self.closing:
            return 0
        left, reads = self.stream.peer_closed(), 0
        if not left:
            reads = self.stream.read_pending(max_reads)
            left = reads > 0 and not self.closing and self.stream.peer_closed()
        if left:
            self.server.counts["gone_unseen"] += 1
            self.stream.fail(CLEAN_END)
        return reads

    def _on_drained(self) -> None:
        """Continue with pipelined requests: not from within the handler, and one request per turn.

        Guards against thousands of small requests sent at once, which delayed all other connections.
        """
        if not self.closing and (self.reader.done or self.error is not None or self.reader.dropped):
            self.server.loop.call_at(self.server.loop.now + 1, self._handle_next)

    def respond(self, status: int, headers: dict[str, str], body: bytes, keep_alive: bool) -> None:
        """Send the open request's answer and proceed to the next request."""
        self.current = None
        self._open_bytes = 0
        self._update_input_memory()
        self.since = self.server.loop.now
        last = self.server.keep_alive_disabled or self.reader.dropped > 0 and not self.reader.done
        self._send(status, headers, body, keep_alive and not last)

    def _send(self, status: int, headers: dict[str, str], body: bytes, keep_alive: bool) -> None:
        head = response_head(status, headers, len(body), keep_alive)
        if len(body) < MAX_JOINED_BODY_BYTES:
            self.stream.write(head + body)  # one system call
        else:
            self.stream.write(head, body)
        if not keep_alive:
            self._finish()

    def _finish(self) -> None:
        """End this side of the connection, after the last write."""
        if not self.closing:
            self.since = self.server.loop.now
            self.server.release_address_slot(self)
            self.server.lingering[self] = None
            self.reader.close()
            self._update_input_memory()
            self.stream.finish(MAX_LINGER_BYTES, lambda: self._on_closed("finished"))

    @property
    def busy(self) -> bool:
        """Whether a request is open or an answer is still being sent."""
        return self.current is not None or self.closing or self.stream.pending > 0

    def waits(self) -> bool:
        """Whether it can be closed without interrupting anything: no request is open, begun or unread."""
        return not self.busy and not self.arriving and self.stream.nothing_unread()

    def unfinished(self) -> bool:
        """Whether all that has arrived is the beginning of a request."""
        return not self.busy and self.reader.busy and not self.reader.done and self.stream.nothing_unread()

    def _on_closed(self, _reason: str) -> None:
        self.server.forget(self)
        self.reader.close()
        exchange, self.current = self.current, None
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def fail(self, reason: str) -> None:
        """Close this connection after an internal error."""
        self.stream.fail(reason)

    def reject(self, reason: str) -> None:
        """Answer 503 before any request and close, so that the client learns the reason."""
        self._send(503, {**TEXT_HEADERS, "Retry-After": "1"}, reason.encode() + b"\n", keep_alive=False)

    def expire(self, now: int, timeouts: Timeouts) -> None:
        """Close or answer the connection if it is past a timeout."""
        if self.stream.pending:
            if now > self.stream.progress_at + timeouts.write:
                self.abandon("slow_readers")
        elif self.closing:
            if now > self.stream.state_since + timeouts.linger:  # since the half-close, not since the answer
                self.abandon("lingered")
        elif self.current is None:
            self._expire_idle(now, timeouts)

    def _expire_idle(self, now: int, timeouts: Timeouts) -> None:
        awaits_first = not self.asked and timeouts.first_request > 0
        if awaits_first or self.arriving:
            overdue = now - self.since - (timeouts.first_request if awaits_first else timeouts.request)
            # A complete request may be unread: the next turn reads it. Allowed for one sweep only.
            if overdue > SWEEP_INTERVAL_NS or overdue > 0 and self.stream.nothing_unread():
                self._reject_late()
            elif self.server.draining and not self.arriving and now > self.since + DRAIN_FIRST_REQUEST_NS:
                if self.stream.nothing_unread():
                    self.end("idle_closed")
        elif (now > self.since + timeouts.idle or self.server.draining) and self.stream.nothing_unread():
            self.end("idle_closed")

    def _reject_late(self) -> None:
        self.reject_unfinished("slow_senders")

    def reject_unfinished(self, count: str) -> None:
        """Answer a request that is not whole with an error and close; counted by name."""
        self.server.counts[count] += 1
        self._send(408, TEXT_HEADERS, b"the request did not arrive in time\n", keep_alive=False)

    def end(self, count: str) -> None:
        """Half-close without an answer; counted by name. Further input is discarded, not served."""
        self.server.counts[count] += 1
        self._finish()

    def abandon(self, count: str) -> None:
        """Close now, because a limit was exceeded; counted by name."""
        self.server.counts[count] += 1
        self.stream.abandon()
        self._on_closed(count)

    def reject_incomplete_requests(self) -> None:
        """Shutdown is near: answer an incomplete request with 408, close an idle connection."""
        if self.current is None and not self.closing:
            if self.arriving:
                self._reject_late()
            else:
                self.end("idle_closed")
