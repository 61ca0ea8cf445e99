"""HTTP server on the event loop: a listener and its client connections (net/client_connection.py)."""

import socket
from collections import Counter
from collections.abc import Callable

from quincepath.limits.input_memory import InputMemory
from quincepath.net.client_connection import (
    STALE_TURN_NS,
    SWEEP_INTERVAL_NS,
    ClientConnection,
    Exchange,
    Timeouts,
)
from quincepath.net.closing import State
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.stream import Listener

MAX_DISCONNECT_READS = 64  # in one turn, of what clients have sent behind open requests: 16 MiB


class HttpServer:
    """A listener and its connections. ``handler(exchange)`` answers once, at once or later."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        handler: Callable[[Exchange], None],
        limits: Limits,
        timeouts: Timeouts,
        max_connections: int,
        on_paused: Callable[[str], None] = lambda reason: None,
        on_connection: Callable[[ClientConnection], None] = lambda connection: None,
        max_per_address: int = 0,
        enforce_limit: Callable[["HttpServer", ClientConnection], None] = lambda server, connection: None,
        on_closed: Callable[[ClientConnection], None] = lambda connection: None,
        max_input_bytes: int = 0,
    ) -> None:
        self.input_memory: InputMemory[ClientConnection] = InputMemory(max_input_bytes)  # 0: no limit
        self.enforce_limit = enforce_limit  # called after each new connection; may close others or this one
        self.on_closed = on_closed  # called once for each connection whose socket was closed
        self.keep_alive_disabled = False  # each answer is the last on its connection
        self.on_connection = on_connection
        self.max_per_address = max_per_address  # 0: no limit
        self.by_address: Counter[str] = Counter()
        self.loop, self.handler, self.limits, self.timeouts = loop, handler, limits, timeouts
        self.connections: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # those sent their last answer, oldest first
        self.max_connections = max_connections
        self.counts: Counter[str] = Counter()
        self.draining = False  # idle connections are closed

        def accepting_paused(reason: str) -> None:
            self.counts["accepting_paused"] += 1
            on_paused(reason)

        self.listener = Listener(
            loop, host, port, self._accept, self._open_connections, max_connections, accepting_paused
        )
        self.port = self.listener.port
        self._sweep()
        loop.turn_hooks.append(self._detect_disconnects)  # before the hook that sends queries to nodes

    def _open_connections(self) -> int:
        """Number of connections that hold a descriptor. At the limit, the oldest half-closed ones are closed.

        Guards against clients that do not answer the half-close and thereby keep the listener paused. A
        connection whose answer is still being sent is kept.
        """
        if len(self.connections) >= self.max_connections:
            for connection in [item for item in self.lingering if item.stream.state is State.HALF_CLOSED]:
                connection.abandon("lingered_out")
                if len(self.connections) < self.max_connections:
                    break
        return len(self.connections)

    def _detect_disconnects(self) -> None:
        """After a long turn, detect disconnects of clients with open requests before their queries are sent.

        Only then: otherwise the wait has just reported every disconnect, and each check costs a system call.
        """
        if self.loop.time_unseen() < STALE_TURN_NS:
            return
        reads_left = MAX_DISCONNECT_READS
        for connection in [item for item in self.connections if item.current is not None]:
            reads_left -= connection.detect_disconnect(reads_left)

    def _accept(self, sock: socket.socket) -> None:
        self.counts["accepted"] += 1
        connection = ClientConnection(self, sock)
        self.connections[connection] = None
        self.by_address[connection.address] += 1
        if self.max_per_address and self.by_address[connection.address] > self.max_per_address:
            self.counts["too_many_of_address"] += 1
            connection.reject("too many connections from this address")
            return
        self.on_connection(connection)
        self.enforce_limit(self, connection)

    def forget(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        if connection in self.connections:
            del self.connections[connection]
            self.lingering.pop(connection, None)
            self.release_address_slot(connection)
            self.input_memory.update(connection, 0)
            self.on_closed(connection)

    def release_address_slot(self, connection: ClientConnection) -> None:
        """Stop counting a connection for its address: it is closed, or was sent its last answer."""
        if connection.holds_address_slot:
            connection.holds_address_slot = False
            self.by_address[connection.address] -= 1
            if not self.by_address[connection.address]:
                del self.by_address[connection.address]

    def _sweep(self) -> None:
        for connection in list(self.connections):
            connection.expire(self.loop.now, self.timeouts)
        if not self.listener.closed or self.connections:
            self.loop.call_in(SWEEP_INTERVAL_NS, self._sweep)

    def disable_keep_alive(self) -> None:
        """Continue to accept and answer, with each answer the last on its connection."""
        self.keep_alive_disabled = True

    def drain(self) -> None:
        """Accept only the queued connections; close idle ones, still answer open requests."""
        self.draining = self.keep_alive_disabled = True
        self.listener.drain()
        for connection in list(self.connections):
            connection.expire(self.loop.now, self.timeouts)

    def reject_incomplete_requests(self) -> None:
        """Stop waiting for requests that are not complete."""
        for connection in list(self.connections):
            connection.reject_incomplete_requests()

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self.listener.close()
        for connection in list(self.connections):
            connection.stream.abandon()
        self.connections.clear()
        self.lingering.clear()
        if self._detect_disconnects in self.loop.turn_hooks:
            self.loop.turn_hooks.remove(self._detect_disconnects)
