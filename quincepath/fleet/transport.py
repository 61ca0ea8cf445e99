"""Sockets of a fleet member on the event loop, for the view, the load reports and the log.

A message on a connection is preceded by its length in four bytes (big-endian). Each exchange of the view has
a connection of its own; the view decides how many there are and for how long.
"""

import socket
from collections import Counter
from collections.abc import Callable

from quincepath.fleet.messages import MAX_FRAME_BYTES
from quincepath.fleet.view.core import (
    CloseConnection,
    ConnectionAccepted,
    ConnectionClosed,
    DatagramReceived,
    FrameReceived,
    Input,
    OpenConnection,
    OperatorNotice,
    Output,
    SendDatagram,
    SendFrame,
    View,
)  # fmt: skip
from quincepath.fleet.view.facts import Change
from quincepath.net.dial import Dial, describe_connect_error
from quincepath.net.loop import READ, Loop, Timer
from quincepath.net.stream import Listener, Stream

LENGTH_PREFIX_BYTES = 4
MAX_DATAGRAMS_PER_TURN = 64  # the rest is read in the next turn of the loop
MAX_DATAGRAM_BYTES = 65_535
_RECEIVE_BUFFER = memoryview(bytearray(MAX_DATAGRAM_BYTES))  # shared by all reads; see net/stream.py
MAX_CONNECTIONS = 1200  # open at a time: one per member for the log, and exchanges
LINGER_NS = 1_000_000_000  # for a closing connection to send what is left
MAX_BIND_ATTEMPTS = 16
OTHER_DATAGRAM_PREFIX = b"\xc1"  # begins datagrams that are not the view's; no msgpack value begins with it
LOG_MESSAGE_FLAG = 1 << 31  # in the length: the message is of the replicated log, not of the view
MAX_QUEUED_MESSAGES = 256  # of the log, for a connection; more are dropped, as on a lossy network
REDIAL_DELAY_NS = 250_000_000  # until a member that could not be reached is dialled again
IDLE_TIMEOUT_NS = 60_000_000_000  # until an accepted connection of the log that carries nothing is closed


class _OutboundConnection:
    """The connection that carries the log's messages to one member."""

    def __init__(self) -> None:
        self.dial: Dial | None = None
        self.stream: Stream | None = None
        self.queued: list[bytes] = []
        self.not_before = 0


class _Connection:
    """One connection: the bytes of incomplete frames, and the frames that wait until it is established."""

    def __init__(self) -> None:
        self.dial: Dial | None = None
        self.stream: Stream | None = None
        self.queued: list[bytes] = []
        self.received = bytearray()
        self.closing = False
        self.carries_log = False
        self.heard_at = 0


class Transport:
    """Sockets of one member. ``on_notice`` receives the view's changes and notices for operators."""

    def __init__(
        self,
        loop: Loop,
        view: View,
        peer_addresses: dict[str, tuple[str, int]],
        host: str,
        port: int,
        on_notice: Callable[[Change | OperatorNotice], None],
    ) -> None:
        self.loop, self.view, self.peer_addresses, self.on_notice = loop, view, peer_addresses, on_notice
        # Messages and bytes sent, by kind. "frames" and "bytes" count all mechanisms together; those of the
        # load reports ("posted") and of the log are also counted separately; the rest is the view's.
        self.sent: Counter[str] = Counter()
        self.unsent = 0  # datagrams that the system did not accept
        self._connections: dict[int, _Connection] = {}
        self._outbound: dict[str, _OutboundConnection] = {}
        self.on_log_message: Callable[[bytes], None] | None = None
        # Called with a member's name when the log's connection to it ended or could not be established.
        self.on_connection_lost: Callable[[str], None] | None = None
        self.on_other_datagram: Callable[[bytes], None] | None = None
        self._accepted_count = 0
        self._timer: Timer | None = None
        self._closed = False
        self._bind(host, port)
        self.udp.setblocking(False)
        loop.watch(self.udp, READ, self._on_readable)
        self.step([])
        loop.call_in(IDLE_TIMEOUT_NS, self._close_idle)

    def _close_idle(self) -> None:
        """Close connections of the log on which the other end has sent nothing for long."""
        if self._closed:
            return
        self.loop.call_in(IDLE_TIMEOUT_NS, self._close_idle)
        for number, connection in list(self._connections.items()):
            if connection.carries_log and self.loop.now > connection.heard_at + IDLE_TIMEOUT_NS:
                self._drop(number)

    def _bind(self, host: str, port: int) -> None:
        """Bind TCP and UDP to the same port; with port 0 to one that is free for both."""
        for attempt in range(MAX_BIND_ATTEMPTS):
            self.listener = Listener(
                self.loop, host, port, self._on_accepted, lambda: len(self._connections), MAX_CONNECTIONS
            )
            self.udp = self.loop.system.datagram_socket()
            try:
                self.udp.bind((host, self.listener.port))
            except OSError:
                self.listener.close()
                self.udp.close()
                if port or attempt == MAX_BIND_ATTEMPTS - 1:
                    raise
            else:
                self.address = f"{host}:{self.listener.port}"
                return

    def step(self, inputs: list[Input]) -> None:
        """Run one step of the view and carry out its outputs."""
        if self._closed:
            return
        for out in self.view.step(self.loop.clock(), inputs):
            self._carry_out(out)
        due = self.view.due
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self.step([])

    def _carry_out(self, out: Output) -> None:
        match out:
            case SendDatagram(to, data):
                self._send_udp(to, data)
            case OpenConnection(number, to):
                self._open_connection(number, to)
            case SendFrame(number, data):
                self._send_frame(number, data)
            case CloseConnection(number, at_once):
                if at_once:
                    self._drop(number)
                else:
                    self._close_when_sent(number)
            case Change() | OperatorNotice():
                self.on_notice(out)

    # --- datagrams ---

    def send_datagram(self, to: str, data: bytes) -> None:
        """Send a datagram that is not the view's; it begins with ``OTHER_DATAGRAM_PREFIX``."""
        if not self._closed and to in self.peer_addresses:
            self._send_udp(to, data, "posted")

    def _send_udp(self, to: str, data: bytes, kind: str = "datagrams") -> None:
        try:
            self.udp.sendto(data, self.peer_addresses[to])
        except OSError:  # the same as a loss in the network
            self.unsent += 1
            return
        self.sent[kind] += 1
        self.sent["bytes"] += len(data)
        self.sent[f"{kind}_bytes"] += len(data)

    def _on_readable(self, _: int) -> None:
        inputs: list[Input] = []
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = bytes(_RECEIVE_BUFFER[: self.udp.recv_into(_RECEIVE_BUFFER)])
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # a pending error of a datagram sent earlier
                continue
            if data[:1] == OTHER_DATAGRAM_PREFIX and self.on_other_datagram is not None:
                self.on_other_datagram(data)
            else:
                inputs.append(DatagramReceived(data))
        self.step(inputs)

    # --- connections of the view ---

    def _open_connection(self, number: int, to: str) -> None:
        connection = self._connections[number] = _Connection()

        def opened(sock: socket.socket) -> None:
            connection.dial = None
            self._open_stream(number, connection, sock)
            for chunk in connection.queued:
                if connection.stream is not None:
                    connection.stream.write(chunk)
            connection.queued.clear()
            if connection.closing:
                self._finish_sending(number, connection)

        def failed(code: int) -> None:
            connection.dial = None
            self._on_ended(number, describe_connect_error(code))

        timeout = self.view.settings.exchange_time
        connection.dial = Dial(self.loop, self.peer_addresses[to], timeout, opened, failed)

    def _on_accepted(self, sock: socket.socket) -> None:
        self._accepted_count += 1
        number = -self._accepted_count
        connection = self._connections[number] = _Connection()
        self._open_stream(number, connection, sock)
        self.step([ConnectionAccepted(number)])

    def _open_stream(self, number: int, connection: _Connection, sock: socket.socket) -> None:
        connection.stream = Stream(
            self.loop,
            sock,
            lambda data: self._on_data(number, connection, data),
            lambda reason: self._on_ended(number, reason),
        )

    def _on_data(self, number: int, connection: _Connection, data: bytes) -> None:
        connection.received += data
        inputs: list[Input] = []
        while len(connection.received) >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(connection.received[:LENGTH_PREFIX_BYTES])
            of_log, length = bool(length & LOG_MESSAGE_FLAG), length & ~LOG_MESSAGE_FLAG
            if length > MAX_FRAME_BYTES:
                self.view.dropped["too large"] += 1
                if connection.stream is not None:
                    connection.stream.close()
                self._on_ended(number, "a message over the limit")
                return
            if len(connection.received) < LENGTH_PREFIX_BYTES + length:
                break
            message = bytes(connection.received[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + length])
            del connection.received[: LENGTH_PREFIX_BYTES + length]
            if not of_log:
                inputs.append(FrameReceived(number, message))
                continue
            if not connection.carries_log:
                connection.carries_log = True
                # To the view it is closed: it carries no exchange of the view.
                inputs.append(ConnectionClosed(number, "carries the keepers' log"))
            connection.heard_at = self.loop.now
            if self.on_log_message is not None:
                self.on_log_message(message)
        if inputs:
            self.step(inputs)

    def _send_frame(self, number: int, data: bytes) -> None:
        connection = self._connections.get(number)
        if connection is None:
            return
        chunk = len(data).to_bytes(LENGTH_PREFIX_BYTES) + data
        self.sent["frames"] += 1
        self.sent["bytes"] += len(chunk)
        if connection.stream is not None:
            connection.stream.write(chunk)
        else:
            connection.queued.append(chunk)

    def _close_when_sent(self, number: int) -> None:
        connection = self._connections.get(number)
        if connection is None:
            return
        if connection.stream is not None:
            self._finish_sending(number, connection)
        elif connection.queued and connection.dial is not None and not self._closed:
            connection.closing = True
        else:
            self._drop(number)

    def _finish_sending(self, number: int, connection: _Connection) -> None:
        assert connection.stream is not None
        timer = self.loop.call_in(LINGER_NS, lambda: self._drop(number))

        def done() -> None:
            timer.cancel()
            self._connections.pop(number, None)

        connection.stream.finish(MAX_FRAME_BYTES, done)

    def _drop(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is None:
            return
        if connection.dial is not None:
            connection.dial.close()
        if connection.stream is not None:
            connection.stream.close()

    def _on_ended(self, number: int, reason: str) -> None:
        if self._connections.pop(number, None) is not None:
            self.step([ConnectionClosed(number, reason)])

    # --- messages of the log ---

    def send_log_message(self, to: str, data: bytes) -> None:
        """Send a message of the log. It may be lost."""
        outbound = self._outbound.setdefault(to, _OutboundConnection())
        chunk = (len(data) | LOG_MESSAGE_FLAG).to_bytes(LENGTH_PREFIX_BYTES) + data
        if self._closed or to not in self.peer_addresses or len(data) > MAX_FRAME_BYTES:
            return
        self.sent["frames"] += 1
        self.sent["bytes"] += len(chunk)
        self.sent["log_frames"] += 1
        self.sent["log_bytes"] += len(chunk)
        if outbound.stream is not None and not outbound.stream.closed:
            if outbound.stream.pending < MAX_FRAME_BYTES * 4:
                outbound.stream.write(chunk)
            return
        if len(outbound.queued) < MAX_QUEUED_MESSAGES:
            outbound.queued.append(chunk)
        if outbound.dial is None and self.loop.now >= outbound.not_before:
            self._dial_outbound(to, outbound)

    def _dial_outbound(self, to: str, outbound: _OutboundConnection) -> None:
        def opened(sock: socket.socket) -> None:
            outbound.dial = None
            outbound.stream = Stream(self.loop, sock, lambda data: None, lost)
            queued, outbound.queued = outbound.queued, []
            for chunk in queued:
                if outbound.stream is not None:  # a write may find the connection reset and clear it
                    outbound.stream.write(chunk)

        def failed(_: int) -> None:
            outbound.dial = None
            outbound.queued.clear()
            outbound.not_before = self.loop.now + REDIAL_DELAY_NS
            self._report_connection_lost(to)

        def lost(_: str) -> None:
            outbound.stream = None
            self._report_connection_lost(to)

        outbound.dial = Dial(
            self.loop, self.peer_addresses[to], self.view.settings.exchange_time, opened, failed
        )

    def _report_connection_lost(self, to: str) -> None:
        """Report it in a later turn: the connection may have ended within ``send_log_message``."""

        def report() -> None:
            if self.on_connection_lost is not None and not self._closed:
                self.on_connection_lost(to)

        self.loop.call_in(0, report)

    def close(self) -> None:
        """Close all sockets; closing again does nothing."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for number in list(self._connections):
            self._drop(number)
        for outbound in self._outbound.values():
            if outbound.dial is not None:
                outbound.dial.close()
            if outbound.stream is not None:
                outbound.stream.close()
        self.listener.close()
        self.loop.watch(self.udp, 0, self._on_readable)
        self.udp.close()
