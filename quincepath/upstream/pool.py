"""Connection pools towards holders: one pool per holder, one call at a time per connection.

There is no queue: a call without a free connection ends at once and is reported to the decision module. The
connection of an abandoned call is closed, because HTTP/1.1 has no other way to cancel a request at a holder.
"""

import errno
import os
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from quincepath.interface import NodeId, Result
from quincepath.net.http1 import HttpError, Limits, Response, ResponseReader, request_bytes
from quincepath.net.loop import WRITE, Loop, Timer
from quincepath.net.stream import Stream
from quincepath.orders import AttemptEnded, AttemptOrder, StartCall
from quincepath.upstream.outcomes import CallEnd, CallOutcome, status_outcome, transport_outcome
from quincepath.upstream.remote_read import BadResponse


class CallCodec(Protocol):
    """Codec of the protocol spoken to holders."""

    def encode(self, attempts: Sequence[AttemptOrder]) -> tuple[dict[str, str], bytes]:
        """Headers and body of one call."""
        ...

    def decode(self, attempts: Sequence[AttemptOrder], response: Response) -> Sequence[Any]:
        """Bodies in the order of the attempts. Raises ``BadResponse``."""
        ...


@dataclass(slots=True)
class PoolLimits:
    """Limits of all pools; times in ns, sizes in bytes."""

    connect_timeout: int
    idle_close: int
    connections: int
    body: int


@dataclass(slots=True)
class Counts:
    """Counters for metrics."""

    opened: int = 0
    reused: int = 0
    open: int = 0
    idle: int = 0
    calls: int = 0


@dataclass(slots=True, eq=False)
class _Call:
    node: NodeId
    orders: tuple[AttemptOrder, ...]
    request: bytes
    waiting: dict[tuple[int, int], AttemptOrder]
    connection: "_Connection | None" = None
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class _Pool:
    idle: list["_Connection"] = field(default_factory=list)
    open: int = 0


class _Connection:
    """One connection to a holder: connecting, carrying a call, or idle."""

    def __init__(self, owner: "Upstream", node: NodeId, pool: _Pool) -> None:
        self.owner, self.node, self.pool = owner, node, pool
        self.call: _Call | None = None
        self.reader = ResponseReader(owner.http_limits)
        self.stream: Stream | None = None
        self.connecting: socket.socket | None = None  # until connected
        self.connect_timer: Timer | None = None
        self.idle_since = 0
        self.closed = False
        pool.open += 1
        owner.counts.open += 1
        owner.counts.opened += 1

    def connect(self) -> None:
        """Start connecting; continues in ``_on_connected``."""
        owner = self.owner
        try:
            sock = owner.loop.system.stream_socket()
        except OSError as error:  # out of descriptors: only this call fails, the broker continues
            self._drop(transport_outcome(CallEnd.UNREACHABLE, error.strerror or str(error)))
            return
        sock.setblocking(False)
        self.connecting = sock
        address = ".".join(str(byte) for byte in self.node[:4])
        code = sock.connect_ex((address, int.from_bytes(self.node[4:])))
        if code not in (0, errno.EINPROGRESS):
            self._on_connect_failed(code)
            return
        self.connect_timer = owner.loop.call_in(owner.limits.connect_timeout, self._on_connect_timeout)
        owner.loop.watch(sock, WRITE, self._on_connected)

    def _on_connected(self, _: int) -> None:
        sock = self.connecting
        assert sock is not None
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._on_connect_failed(code)
            return
        if self.connect_timer:
            self.connect_timer.cancel()
        self.owner.loop.watch(sock, 0, self._on_connected)
        self.connecting = None
        self.stream = Stream(self.owner.loop, sock, self._on_data, self._on_lost)
        self._send_call()

    def _on_connect_failed(self, code: int) -> None:
        end = CallEnd.REFUSED if code == errno.ECONNREFUSED else CallEnd.UNREACHABLE
        self._drop(transport_outcome(end, os.strerror(code)))

    def _on_connect_timeout(self) -> None:
        self._drop(transport_outcome(CallEnd.DIAL_TIMEOUT))

    def assign(self, call: _Call) -> None:
        """Send this call, now or once connected."""
        self.call, call.connection = call, self
        if self.stream is not None:
            self._send_call()

    def _send_call(self) -> None:
        assert self.stream is not None
        if self.call is not None:
            self.stream.write(self.call.request)

    def _on_data(self, data: bytes) -> None:
        call = self.call
        try:
            response = self.reader.feed(data)
        except HttpError as error:
            self._drop(transport_outcome(CallEnd.PROTOCOL, error.text))
            return
        if call is None:
            self._drop(None)  # unsolicited data on an idle connection: it must not carry a call
        elif response is not None:
            self.call = None
            if response.keep_alive:
                self.owner.return_idle(self)
            else:
                self.close()
            self.owner.on_response(call, response)

    def _on_lost(self, reason: str) -> None:
        stream, call = self.stream, self.call
        unsent = call is not None and stream is not None and stream.unsent >= len(call.request)
        self._drop(transport_outcome(CallEnd.LOST_UNSENT if unsent else CallEnd.LOST, reason))

    def _drop(self, outcome: CallOutcome | None) -> None:
        call, self.call = self.call, None
        self.close()
        if call is not None and outcome is not None:
            self.owner.fail_call(call, outcome)

    def read_arrived(self) -> None:
        """Read a response that has arrived, ahead of the loop's next turn."""
        if self.stream is not None:
            self.stream.read_pending(1)

    def close(self) -> None:
        """Close in any state; a call in progress is not notified."""
        if self.connect_timer:
            self.connect_timer.cancel()
        if self.connecting is not None:
            self.owner.loop.watch(self.connecting, 0, self._on_connected)
            self.connecting.close()
            self.connecting = None
        elif self.stream is not None:
            self.stream.close()
        if self in self.pool.idle:
            self.pool.idle.remove(self)
            self.owner.counts.idle -= 1
        if not self.closed:
            self.closed = True
            self.pool.open -= 1
            self.owner.counts.open -= 1


class Upstream:
    """All pools. ``ended`` is called once for each attempt started, from the loop's turn or from ``start``.

    ``path(node)`` returns the request path at a holder, or None if it is no longer listed.
    """

    def __init__(
        self,
        loop: Loop,
        calls: CallCodec,
        limits: PoolLimits,
        path: Callable[[NodeId], str | None],
        ended: Callable[[AttemptEnded], None],
    ) -> None:
        self.loop, self.calls, self.limits, self._path, self._ended = loop, calls, limits, path, ended
        self.http_limits = Limits(body=limits.body)
        self.pools: dict[NodeId, _Pool] = {}
        self.attempts: dict[tuple[int, int], _Call] = {}
        self.counts = Counts()
        self._sweep()

    def start(self, order: StartCall) -> None:
        """Send the attempts of one call on an idle or a new connection."""
        call = _Call(order.node, order.attempts, b"", {(a.part, a.attempt): a for a in order.attempts})
        self.counts.calls += 1
        for key in call.waiting:
            self.attempts[key] = call
        path = self._path(order.node)
        if path is None:
            self.fail_call(call, transport_outcome(CallEnd.UNLISTED))
            return
        pool = self.pools.setdefault(order.node, _Pool())
        connection = pool.idle.pop() if pool.idle else None
        if connection is not None:
            self.counts.idle -= 1
            self.counts.reused += 1
        elif pool.open >= self.limits.connections:
            self.fail_call(call, transport_outcome(CallEnd.NO_FREE_CONNECTION))
            return
        headers, body = self.calls.encode(order.attempts)
        host = ".".join(str(b) for b in order.node[:4]) + f":{int.from_bytes(order.node[4:])}"
        call.request = request_bytes("POST", path, host, headers, body)
        self._start_timer(call)
        if connection is None:
            connection = _Connection(self, order.node, pool)
            connection.assign(call)
            connection.connect()
        else:
            connection.assign(call)

    def read_arrived(self) -> None:
        """Read responses that have arrived to calls in progress, ahead of the loop's next turn."""
        for call in dict.fromkeys(self.attempts.values()):
            if call.connection is not None:
                call.connection.read_arrived()

    def stop(self, part: int, attempt: int) -> None:
        """Stop waiting for one attempt; the others of its call continue."""
        call = self.attempts.get((part, attempt))
        if call is not None:
            self._end(call, (part, attempt), transport_outcome(CallEnd.STOPPED))
            self._close_if_unused(call)

    def close_node(self, node: NodeId) -> None:
        """Close the idle connections to a removed holder."""
        for connection in list(self.pools.get(node, _Pool()).idle):
            connection.close()

    def close(self) -> None:
        """Close everything; open attempts are not reported."""
        for call in set(self.attempts.values()):
            if call.timer:
                call.timer.cancel()
            if call.connection is not None:
                call.connection.close()
        self.attempts.clear()
        for pool in self.pools.values():
            for connection in list(pool.idle):
                connection.close()

    def return_idle(self, connection: _Connection) -> None:
        """Return a connection to its pool after a call."""
        connection.idle_since = self.loop.now
        connection.pool.idle.append(connection)
        self.counts.idle += 1

    def on_response(self, call: _Call, response: Response) -> None:
        """End the attempts of a call by its complete response."""
        outcome = status_outcome(response.status, response.headers)
        bodies: Sequence[Any] = ()
        if outcome.result is Result.OK:
            try:
                bodies = self.calls.decode(call.orders, response)
            except BadResponse as error:
                outcome = CallOutcome(Result.ERROR, f"unusable answer: {error}")
        call.connection = None
        for position, order in enumerate(call.orders):
            key = (order.part, order.attempt)
            if key in call.waiting:
                self._end(call, key, outcome, bodies[position] if bodies else None)

    def fail_call(self, call: _Call, outcome: CallOutcome) -> None:
        """End all waiting attempts of a call that failed without a response."""
        call.connection = None
        for key in list(call.waiting):
            self._end(call, key, outcome)

    def _end(self, call: _Call, key: tuple[int, int], outcome: CallOutcome, body: Any = None) -> None:
        del call.waiting[key]
        del self.attempts[key]
        if not call.waiting and call.timer:
            call.timer.cancel()
        self._ended(AttemptEnded(key[0], key[1], outcome.result, body, outcome.cause))

    def _close_if_unused(self, call: _Call) -> None:
        """Close the connection of a call that no attempt waits for any longer."""
        if not call.waiting and call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.close()

    def _start_timer(self, call: _Call) -> None:
        due = min(order.deadline for order in call.waiting.values())
        call.timer = self.loop.call_at(due, lambda: self._on_deadline(call))

    def _on_deadline(self, call: _Call) -> None:
        if call.connection is not None:
            call.connection.read_arrived()
            if not call.waiting:
                return
        # While connecting nothing was sent, so the call certainly did not run.
        is_connecting = call.connection is not None and call.connection.connecting is not None
        outcome = transport_outcome(CallEnd.DIAL_TIMEOUT if is_connecting else CallEnd.TIMEOUT)
        for key, order in list(call.waiting.items()):
            if order.deadline <= self.loop.now:
                self._end(call, key, outcome)
        if call.waiting:
            self._start_timer(call)
        else:
            self._close_if_unused(call)

    def _sweep(self) -> None:
        """Close connections idle for longer than the limit."""
        for node, pool in list(self.pools.items()):
            for connection in list(pool.idle):
                if connection.idle_since + self.limits.idle_close <= self.loop.now:
                    connection.close()
            if not pool.open:
                del self.pools[node]
        self.loop.call_in(max(self.limits.idle_close // 4, 50_000_000), self._sweep)
