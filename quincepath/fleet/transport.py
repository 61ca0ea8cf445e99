"""Datagrams and connections of a member on the one loop. Moves bytes and time to the view and back.

A message on a connection is four bytes of its length (big-endian) and itself. Each exchange is a connection
of its own; how many and for how long is the view's to say.
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
MAX_DATAGRAMS_PER_TURN = 64  # read in one go; the rest waits for the next turn
MAX_DATAGRAM_BYTES = 65_535
_RECEIVE_BUFFER = memoryview(bytearray(MAX_DATAGRAM_BYTES))  # where datagrams are read to; see net/stream.py
MAX_CONNECTIONS = 1200  # taken at once: one a member for the log, and exchanges
LINGER_NS = 1_000_000_000  # ns that a line may take to send its last words
MAX_BIND_ATTEMPTS = 16
OTHER_DATAGRAM_PREFIX = (
    b"\xc1"  # the first byte of a datagram that is not the view's: it begins no msgpack value
)
LOG_MESSAGE_FLAG = 1 << 31  # in a message's length: it is of the keepers' log, not of the view
MAX_WAITING_MESSAGES = 256  # messages of the log that wait for a connection; more are lost, as on a bad way
REDIAL_DELAY_NS = 250_000_000  # ns until a member that could not be reached is dialled again
IDLE_TIMEOUT_NS = 60_000_000_000  # ns until a connection for the log that carries nothing is closed


class _Way:
    """The connection by which messages of the log go out to one member."""

    def __init__(self) -> None:
        self.dial: Dial | None = None
        self.stream: Stream | None = None
        self.waiting: list[bytes] = []
        self.not_before = 0


class _Line:
    """One connection: frames out of bytes, and what waits while it is not established."""

    def __init__(self) -> None:
        self.dial: Dial | None = None
        self.stream: Stream | None = None
        self.waiting: list[bytes] = []
        self.data = bytearray()
        self.ending = False
        self.agreed = False
        self.heard_at = 0


class Transport:
    """Sockets of one view. ``on_notice`` gets what is for people."""

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
        # Messages and bytes that went out, by kind. "frames" and "bytes" are of all mechanisms together;
        # the ledger's ("posted") and the log's also stand apart: what is left is the view's.
        self.sent: Counter[str] = Counter()
        self.unsent = 0  # datagrams that the system did not take
        self._lines: dict[int, _Line] = {}
        self._outbound: dict[str, _Way] = {}
        self.on_log_message: Callable[[bytes], None] | None = None
        self.on_connection_lost: Callable[[str], None] | None = (
            None  # to a member: it ended, or could not be had
        )
        self.on_other_datagram: Callable[[bytes], None] | None = None
        self._taken = 0
        self._timer: Timer | None = None
        self._closed = False
        self._bind(host, port)
        self.udp.setblocking(False)
        loop.watch(self.udp, READ, self._readable)
        self.step([])
        loop.call_in(IDLE_TIMEOUT_NS, self._sweep)

    def _sweep(self) -> None:
        """Connections for the log whose other end has said nothing for long."""
        if self._closed:
            return
        self.loop.call_in(IDLE_TIMEOUT_NS, self._sweep)
        for number, line in list(self._lines.items()):
            if line.agreed and self.loop.now > line.heard_at + IDLE_TIMEOUT_NS:
                self._drop(number)

    def _bind(self, host: str, port: int) -> None:
        """One number for both; a free one is looked for where none is asked for."""
        for attempt in range(MAX_BIND_ATTEMPTS):
            self.listener = Listener(
                self.loop, host, port, self._accepted, lambda: len(self._lines), MAX_CONNECTIONS
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
        """One step of the view, and what comes of it."""
        if self._closed:
            return
        for out in self.view.step(self.loop.clock(), inputs):
            self._carry_out(out)
        due = self.view.due
        if self._timer is None or self._timer.call is None or self._timer.at != due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self.step([])

    def _carry_out(self, out: Output) -> None:
        match out:
            case SendDatagram(to, data):
                self._datagram(to, data)
            case OpenConnection(line, to):
                self._call(line, to)
            case SendFrame(line, data):
                self._frame(line, data)
            case CloseConnection(line, at_once):
                if at_once:
                    self._drop(line)
                else:
                    self._hang_up(line)
            case Change() | OperatorNotice():
                self.on_notice(out)

    # --- datagrams ---

    def send_datagram(self, to: str, data: bytes) -> None:
        """A datagram of others than the view; it begins with ``OTHER_DATAGRAM_PREFIX``."""
        if not self._closed and to in self.peer_addresses:
            self._datagram(to, data, "posted")

    def _datagram(self, to: str, data: bytes, what: str = "datagrams") -> None:
        try:
            self.udp.sendto(data, self.peer_addresses[to])
        except OSError:  # as good as lost on the way
            self.unsent += 1
            return
        self.sent[what] += 1
        self.sent["bytes"] += len(data)
        self.sent[f"{what}_bytes"] += len(data)

    def _readable(self, _: int) -> None:
        inputs: list[Input] = []
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = bytes(_RECEIVE_BUFFER[: self.udp.recv_into(_RECEIVE_BUFFER)])
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an error of an earlier datagram of ours, told here
                continue
            if data[:1] == OTHER_DATAGRAM_PREFIX and self.on_other_datagram is not None:
                self.on_other_datagram(data)
            else:
                inputs.append(DatagramReceived(data))
        self.step(inputs)

    # --- lines ---

    def _call(self, number: int, to: str) -> None:
        line = self._lines[number] = _Line()

        def opened(sock: socket.socket) -> None:
            line.dial = None
            self._stream(number, line, sock)
            for chunk in line.waiting:
                if line.stream is not None:
                    line.stream.write(chunk)
            line.waiting.clear()
            if line.ending:
                self._finish(number, line)

        def failed(code: int) -> None:
            line.dial = None
            self._ended(number, describe_connect_error(code))

        timeout = self.view.settings.exchange_time
        line.dial = Dial(self.loop, self.peer_addresses[to], timeout, opened, failed)

    def _accepted(self, sock: socket.socket) -> None:
        self._taken += 1
        number = -self._taken
        line = self._lines[number] = _Line()
        self._stream(number, line, sock)
        self.step([ConnectionAccepted(number)])

    def _stream(self, number: int, line: _Line, sock: socket.socket) -> None:
        line.stream = Stream(
            self.loop,
            sock,
            lambda data: self._data(number, line, data),
            lambda why_: self._ended(number, why_),
        )

    def _data(self, number: int, line: _Line, data: bytes) -> None:
        line.data += data
        inputs: list[Input] = []
        while len(line.data) >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(line.data[:LENGTH_PREFIX_BYTES])
            agreed, length = bool(length & LOG_MESSAGE_FLAG), length & ~LOG_MESSAGE_FLAG
            if length > MAX_FRAME_BYTES:
                self.view.dropped["too large"] += 1
                if line.stream is not None:
                    line.stream.close()
                self._ended(number, "a message over the limit")
                return
            if len(line.data) < LENGTH_PREFIX_BYTES + length:
                break
            message = bytes(line.data[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + length])
            del line.data[: LENGTH_PREFIX_BYTES + length]
            if not agreed:
                inputs.append(FrameReceived(number, message))
                continue
            if not line.agreed:
                line.agreed = True
                # no exchange of the view's
                inputs.append(ConnectionClosed(number, "carries the keepers' log"))
            line.heard_at = self.loop.now
            if self.on_log_message is not None:
                self.on_log_message(message)
        if inputs:
            self.step(inputs)

    def _frame(self, number: int, data: bytes) -> None:
        line = self._lines.get(number)
        if line is None:
            return
        chunk = len(data).to_bytes(LENGTH_PREFIX_BYTES) + data
        self.sent["frames"] += 1
        self.sent["bytes"] += len(chunk)
        if line.stream is not None:
            line.stream.write(chunk)
        else:
            line.waiting.append(chunk)

    def _hang_up(self, number: int) -> None:
        line = self._lines.get(number)
        if line is None:
            return
        if line.stream is not None:
            self._finish(number, line)
        elif line.waiting and line.dial is not None and not self._closed:
            line.ending = True
        else:
            self._drop(number)

    def _finish(self, number: int, line: _Line) -> None:
        assert line.stream is not None
        timer = self.loop.call_in(LINGER_NS, lambda: self._drop(number))

        def done() -> None:
            timer.cancel()
            self._lines.pop(number, None)

        line.stream.finish(MAX_FRAME_BYTES, done)

    def _drop(self, number: int) -> None:
        line = self._lines.pop(number, None)
        if line is None:
            return
        if line.dial is not None:
            line.dial.close()
        if line.stream is not None:
            line.stream.close()

    def _ended(self, number: int, said: str) -> None:
        if self._lines.pop(number, None) is not None:
            self.step([ConnectionClosed(number, said)])

    # --- the keepers' log ---

    def send_log_message(self, to: str, data: bytes) -> None:
        """Send a message of the log; it may be lost, like any."""
        way = self._outbound.setdefault(to, _Way())
        chunk = (len(data) | LOG_MESSAGE_FLAG).to_bytes(LENGTH_PREFIX_BYTES) + data
        if self._closed or to not in self.peer_addresses or len(data) > MAX_FRAME_BYTES:
            return
        self.sent["frames"] += 1
        self.sent["bytes"] += len(chunk)
        self.sent["log_frames"] += 1
        self.sent["log_bytes"] += len(chunk)
        if way.stream is not None and not way.stream.closed:
            if way.stream.pending < MAX_FRAME_BYTES * 4:
                way.stream.write(chunk)
            return
        if len(way.waiting) < MAX_WAITING_MESSAGES:
            way.waiting.append(chunk)
        if way.dial is None and self.loop.now >= way.not_before:
            self._dial_way(to, way)

    def _dial_way(self, to: str, way: _Way) -> None:
        def opened(sock: socket.socket) -> None:
            way.dial = None
            way.stream = Stream(self.loop, sock, lambda data: None, lost)
            waiting, way.waiting = way.waiting, []
            for chunk in waiting:
                if way.stream is not None:  # a write may find that the other end has reset it
                    way.stream.write(chunk)

        def failed(_: int) -> None:
            way.dial = None
            way.waiting.clear()
            way.not_before = self.loop.now + REDIAL_DELAY_NS
            self._way_lost(to)

        def lost(_: str) -> None:
            way.stream = None
            self._way_lost(to)

        way.dial = Dial(self.loop, self.peer_addresses[to], self.view.settings.exchange_time, opened, failed)

    def _way_lost(self, to: str) -> None:
        """Reports it in a later turn: the connection may have ended within ``send_log_message``."""

        def told() -> None:
            if self.on_connection_lost is not None and not self._closed:
                self.on_connection_lost(to)

        self.loop.call_in(0, told)

    def close(self) -> None:
        """Give back all sockets; the second time nothing happens."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for number in list(self._lines):
            self._drop(number)
        for way in self._outbound.values():
            if way.dial is not None:
                way.dial.close()
            if way.stream is not None:
                way.stream.close()
        self.listener.close()
        self.loop.watch(self.udp, 0, self._readable)
        self.udp.close()
