"""Connections to holders: one pool a holder, one call a connection at a time, outcomes told as they were.

There is no queue here: a call without a place ends at once, and the module hears it. A connection whose
call was given up is closed, because HTTP/1.1 has no other way to tell a holder to stop.
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
    """The protocol spoken to holders."""

    def encode(self, attempts: Sequence[AttemptOrder]) -> tuple[dict[str, str], bytes]:
        """Headers and body of one call."""
        ...

    def decode(self, attempts: Sequence[AttemptOrder], response: Response) -> Sequence[Any]:
        """Bodies by attempt; raises ``BadResponse``."""
        ...


@dataclass(slots=True)
class PoolLimits:
    """Times in ns, sizes in bytes."""

    connect_timeout: int
    idle_close: int
    connections: int
    body: int


@dataclass(slots=True)
class Counts:
    """For metrics."""

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
    """One socket to a holder: dialling, busy with a call, or idle."""

    def __init__(self, owner: "Upstream", node: NodeId, pool: _Pool) -> None:
        self.owner, self.node, self.pool = owner, node, pool
        self.call: _Call | None = None
        self.reader = ResponseReader(owner.http_limits)
        self.stream: Stream | None = None
        self.dialling: socket.socket | None = None
        self.dial_timer: Timer | None = None
        self.idle_since = 0
        self.closed = False
        pool.open += 1
        owner.counts.open += 1
        owner.counts.opened += 1

    def dial(self) -> None:
        """Begin to connect; goes on in ``_dialled``."""
        owner = self.owner
        try:
            sock = owner.loop.system.stream_socket()
        except OSError as error:  # out of descriptors: this call ends, the broker goes on
            self._drop(transport_outcome(CallEnd.UNREACHABLE, error.strerror or str(error)))
            return
        sock.setblocking(False)
        self.dialling = sock
        address = ".".join(str(byte) for byte in self.node[:4])
        code = sock.connect_ex((address, int.from_bytes(self.node[4:])))
        if code not in (0, errno.EINPROGRESS):
            self._dial_failed(code)
            return
        self.dial_timer = owner.loop.call_in(owner.limits.connect_timeout, self._dial_late)
        owner.loop.watch(sock, WRITE, self._dialled)

    def _dialled(self, _: int) -> None:
        sock = self.dialling
        assert sock is not None
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._dial_failed(code)
            return
        if self.dial_timer:
            self.dial_timer.cancel()
        self.owner.loop.watch(sock, 0, self._dialled)
        self.dialling = None
        self.stream = Stream(self.owner.loop, sock, self._data, self._lost)
        self._begin()

    def _dial_failed(self, code: int) -> None:
        end = CallEnd.REFUSED if code == errno.ECONNREFUSED else CallEnd.UNREACHABLE
        self._drop(transport_outcome(end, os.strerror(code)))

    def _dial_late(self) -> None:
        self._drop(transport_outcome(CallEnd.DIAL_TIMEOUT))

    def take(self, call: _Call) -> None:
        """Carry this call, now or as soon as connected."""
        self.call, call.connection = call, self
        if self.stream is not None:
            self._begin()

    def _begin(self) -> None:
        assert self.stream is not None
        if self.call is not None:
            self.stream.write(self.call.request)

    def _data(self, data: bytes) -> None:
        call = self.call
        try:
            response = self.reader.feed(data)
        except HttpError as error:
            self._drop(transport_outcome(CallEnd.PROTOCOL, error.text))
            return
        if call is None:
            self._drop(None)  # an idle connection has nothing to say: it cannot be trusted with a call
        elif response is not None:
            self.call = None
            if response.keep_alive:
                self.owner.park(self)
            else:
                self.close()
            self.owner.answered(call, response)

    def _lost(self, why: str) -> None:
        stream, call = self.stream, self.call
        unsent = call is not None and stream is not None and stream.unsent >= len(call.request)
        self._drop(transport_outcome(CallEnd.LOST_UNSENT if unsent else CallEnd.LOST, why))

    def _drop(self, meaning: CallOutcome | None) -> None:
        call, self.call = self.call, None
        self.close()
        if call is not None and meaning is not None:
            self.owner.lost(call, meaning)

    def close(self) -> None:
        """Close, in whatever state; the call, if any, is not told."""
        if self.dial_timer:
            self.dial_timer.cancel()
        if self.dialling is not None:
            self.owner.loop.watch(self.dialling, 0, self._dialled)
            self.dialling.close()
            self.dialling = None
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

    ``path(node)`` gives the request path at a holder, None where no list names it any more.
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
        """Send the attempts of one call, on an idle connection or a new one."""
        call = _Call(order.node, order.attempts, b"", {(a.part, a.attempt): a for a in order.attempts})
        self.counts.calls += 1
        for key in call.waiting:
            self.attempts[key] = call
        path = self._path(order.node)
        if path is None:
            self.lost(call, transport_outcome(CallEnd.UNLISTED))
            return
        pool = self.pools.setdefault(order.node, _Pool())
        connection = pool.idle.pop() if pool.idle else None
        if connection is not None:
            self.counts.idle -= 1
            self.counts.reused += 1
        elif pool.open >= self.limits.connections:
            self.lost(call, transport_outcome(CallEnd.NO_FREE_CONNECTION))
            return
        headers, body = self.calls.encode(order.attempts)
        host = ".".join(str(b) for b in order.node[:4]) + f":{int.from_bytes(order.node[4:])}"
        call.request = request_bytes("POST", path, host, headers, body)
        self._arm(call)
        if connection is None:
            connection = _Connection(self, order.node, pool)
            connection.take(call)
            connection.dial()
        else:
            connection.take(call)

    def stop(self, part: int, attempt: int) -> None:
        """Stop waiting for one attempt; others of its call go on."""
        call = self.attempts.get((part, attempt))
        if call is not None:
            self._end(call, (part, attempt), transport_outcome(CallEnd.STOPPED))
            self._abandon(call)

    def close_node(self, node: NodeId) -> None:
        """Close idle connections to a holder that is gone."""
        for connection in list(self.pools.get(node, _Pool()).idle):
            connection.close()

    def close(self) -> None:
        """Close everything; what was out is not told any more."""
        for call in set(self.attempts.values()):
            if call.timer:
                call.timer.cancel()
            if call.connection is not None:
                call.connection.close()
        self.attempts.clear()
        for pool in self.pools.values():
            for connection in list(pool.idle):
                connection.close()

    def park(self, connection: _Connection) -> None:
        """A connection has nothing to do."""
        connection.idle_since = self.loop.now
        connection.pool.idle.append(connection)
        self.counts.idle += 1

    def answered(self, call: _Call, response: Response) -> None:
        """A whole response has come."""
        meaning = status_outcome(response.status, response.headers)
        bodies: Sequence[Any] = ()
        if meaning.result is Result.OK:
            try:
                bodies = self.calls.decode(call.orders, response)
            except BadResponse as error:
                meaning = CallOutcome(Result.ERROR, f"unusable answer: {error}")
        call.connection = None
        for at, order in enumerate(call.orders):
            key = (order.part, order.attempt)
            if key in call.waiting:
                self._end(call, key, meaning, bodies[at] if bodies else None)

    def lost(self, call: _Call, meaning: CallOutcome) -> None:
        """The call ended without a response: for all its parts alike."""
        call.connection = None
        for key in list(call.waiting):
            self._end(call, key, meaning)

    def _end(self, call: _Call, key: tuple[int, int], meaning: CallOutcome, body: Any = None) -> None:
        del call.waiting[key]
        del self.attempts[key]
        if not call.waiting and call.timer:
            call.timer.cancel()
        self._ended(AttemptEnded(key[0], key[1], meaning.result, body, meaning.cause))

    def _abandon(self, call: _Call) -> None:
        """Nobody waits for this call any more: its connection can only be closed."""
        if not call.waiting and call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.close()

    def _arm(self, call: _Call) -> None:
        due = min(order.deadline for order in call.waiting.values())
        call.timer = self.loop.call_at(due, lambda: self._expire(call))

    def _expire(self, call: _Call) -> None:
        # Not sent yet: the truth is that no connection came in time, so that it certainly did not run.
        dialling = call.connection is not None and call.connection.dialling is not None
        meaning = transport_outcome(CallEnd.DIAL_TIMEOUT if dialling else CallEnd.TIMEOUT)
        for key, order in list(call.waiting.items()):
            if order.deadline <= self.loop.now:
                self._end(call, key, meaning)
        if call.waiting:
            self._arm(call)
        else:
            self._abandon(call)

    def _sweep(self) -> None:
        """Close connections idle for too long."""
        for node, pool in list(self.pools.items()):
            for connection in list(pool.idle):
                if connection.idle_since + self.limits.idle_close <= self.loop.now:
                    connection.close()
            if not pool.open:
                del self.pools[node]
        self.loop.call_in(max(self.limits.idle_close // 4, 50_000_000), self._sweep)
