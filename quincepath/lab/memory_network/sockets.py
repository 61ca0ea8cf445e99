"""Streams, listeners and datagram sockets of an in-memory network."""

import errno
import socket
import struct
from collections import deque

from quincepath.lab.memory_network.registry import ANY_HOST, Address, Registry, SocketType, os_error
from quincepath.net.loop import READ, WRITE

STREAM_BUFFER_BYTES = 1 << 20  # unread bytes in one direction; a full buffer blocks the writer
DATAGRAM_BUFFER_BYTES = 1 << 18  # unread datagrams of one socket; those beyond it are dropped
MAX_DATAGRAM_BYTES = 65_507  # one datagram over IPv4
LOOPBACK = "127.0.0.1"
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on with timeout 0: ``close`` resets the connection


class MemorySocket:
    """Base of streams, listeners and datagram sockets."""

    family = socket.AF_INET

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.number = registry.add(self)
        self.address: Address = (ANY_HOST, 0)
        self.closed = False

    def fileno(self) -> int:
        """Return its number, which is never reused; -1 once it is closed."""
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """Ignored: no call blocks."""

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Ignored, except for SO_LINGER of a stream."""

    def getsockname(self) -> Address:
        """Return the address that it is bound to."""
        return self.address

    def ready(self) -> int:
        """Return its readiness, as a mask of READ and WRITE."""
        raise NotImplementedError

    def mark_changed(self) -> None:
        """Have the selector check its readiness again."""
        self.registry.changed.add(self.number)

    def close(self) -> None:
        """Close it; a second close does nothing."""
        if not self.closed:
            self.closed = True
            self.registry.remove(self.number)


class MemoryStream(MemorySocket):
    """One end of a connection."""

    def __init__(self, registry: Registry) -> None:
        super().__init__(registry)
        self.peer: MemoryStream | None = None
        self.remote: Address = (ANY_HOST, 0)
        self._incoming = bytearray()
        self._eof_received = False
        self._write_closed = False
        self._connecting = False
        self._error = 0  # errno reported by the next call or as SO_ERROR
        self._failed = False
        self._reset_on_close = False

    # --- connecting ---

    def connect_ex(self, address: Address) -> int:
        """Start to connect; as for a non-blocking socket, readiness and SO_ERROR report the outcome."""
        self.address = (LOOPBACK, self.registry.next_port())
        self.remote = address
        listener = self.registry.lookup(SocketType.STREAM, address)
        if not isinstance(listener, MemoryListener):
            self._set_error(errno.ECONNREFUSED)
        elif listener.full:
            self._connecting = True  # until the caller gives up: the kernel drops a SYN to a full backlog
        else:
            accepted = MemoryStream(self.registry)
            accepted.address, accepted.remote = address, self.address
            self.peer, accepted.peer = accepted, self
            listener.enqueue(accepted)
            self.mark_changed()
        return errno.EINPROGRESS

    def connect(self, address: Address) -> None:
        """Connect immediately. Raises ``OSError`` where no listener accepts."""
        self.connect_ex(address)
        if self._connecting:
            raise os_error(errno.ETIMEDOUT)
        self._raise_error()

    def getpeername(self) -> Address:
        """Return the address of the peer. Raises ``OSError`` where it is not connected."""
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        return self.remote

    def getsockopt(self, level: int, option: int) -> int:
        """Return and clear SO_ERROR; 0 for every other option."""
        if (level, option) != (socket.SOL_SOCKET, socket.SO_ERROR):
            return 0
        code, self._error = self._error, 0
        return code

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Handle SO_LINGER, where a timeout of 0 makes ``close`` reset; ignore other options."""
        if option == socket.SO_LINGER and isinstance(value, bytes):
            self._reset_on_close = value == ZERO_LINGER

    # --- data ---

    @property
    def send_space(self) -> int:
        """Free bytes in the receive buffer of the peer."""
        return STREAM_BUFFER_BYTES - len(self.peer._incoming) if self.peer is not None else 0

    def send(self, data: bytes | memoryview) -> int:
        """Send and return the number of bytes accepted.

        Raises ``BlockingIOError`` where the buffer of the peer is full and ``OSError`` after the connection
        has failed. A closed peer accepts the bytes and answers with a reset.
        """
        self._raise_error()
        if self._write_closed:
            raise os_error(errno.EPIPE)
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        if self.peer.closed:
            self._set_error(errno.ECONNRESET)
            return len(data)
        sent = min(self.send_space, len(data))
        if not sent and len(data):
            raise os_error(errno.EAGAIN)
        self.peer._incoming += data[:sent]
        self.peer.mark_changed()
        return sent

    def recv_into(self, buffer: memoryview) -> int:
        """Read into ``buffer`` and return the number of bytes, 0 at the end of the stream.

        Raises ``BlockingIOError`` where no data has arrived and ``OSError`` after a reset.
        """
        data = self._read(len(buffer), peek=False)
        buffer[: len(data)] = data
        return len(data)

    def recv(self, count: int, flags: int = 0) -> bytes:
        """Read as ``recv_into`` does; MSG_PEEK leaves the data in the buffer."""
        return self._read(count, bool(flags & socket.MSG_PEEK))

    def _read(self, count: int, peek: bool) -> bytes:
        if self._incoming:
            data = bytes(self._incoming[:count])
            if not peek:
                del self._incoming[:count]
                if self.peer is not None:
                    self.peer.mark_changed()
            return data
        self._raise_error()
        if self._eof_received:
            return b""
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        raise os_error(errno.EAGAIN)

    # --- closing ---

    def shutdown(self, how: int) -> None:
        """Close the sending side; only SHUT_WR is supported. Raises ``OSError`` where it is not connected."""
        if how != socket.SHUT_WR:
            raise ValueError(f"shutdown({how}): expected SHUT_WR ({socket.SHUT_WR})")
        if self.peer is None or self._failed:
            raise os_error(errno.ENOTCONN)
        self._write_closed = True
        self.peer._receive_eof()

    def close(self) -> None:
        """Close both directions; with unread bytes or a linger time of 0 the peer gets a reset."""
        if self.closed:
            return
        reset = self._reset_on_close or bool(self._incoming)
        super().close()
        peer = self.peer
        self._incoming.clear()
        if peer is None or peer.closed:
            return
        if reset:
            peer._set_error(errno.ECONNRESET)
        peer._receive_eof()

    def _receive_eof(self) -> None:
        self._eof_received = True
        self.mark_changed()

    def _set_error(self, code: int) -> None:
        self._error, self._failed = code, True
        self._eof_received = self._write_closed = True
        self.mark_changed()

    def _raise_error(self) -> None:
        if self._error:
            code, self._error = self._error, 0
            raise os_error(code)

    def ready(self) -> int:
        """Readable with data, at the end and on an error; writable with buffer space and on an error."""
        if self._connecting:
            return 0
        if self._error or self.peer is None:
            return READ | WRITE
        read = READ if self._incoming or self._eof_received else 0
        write = WRITE if self.send_space or self.peer.closed or self._write_closed else 0
        return read | write


class MemoryListener(MemorySocket):
    """A listening socket."""

    def __init__(self, registry: Registry, backlog: int) -> None:
        super().__init__(registry)
        self._max_backlog = backlog
        self._backlog: deque[MemoryStream] = deque()

    def bind(self, address: Address) -> None:
        """Bind to an address. Raises ``OSError`` where it is in use."""
        self.address = self.registry.bind(SocketType.STREAM, address, self)

    @property
    def full(self) -> bool:
        """Whether the backlog is full."""
        return len(self._backlog) >= self._max_backlog

    def enqueue(self, stream: MemoryStream) -> None:
        """Add a connection to the backlog."""
        self._backlog.append(stream)
        self.mark_changed()

    def accept(self) -> tuple[MemoryStream, Address]:
        """Accept the oldest connection of the backlog. Raises ``BlockingIOError`` where it is empty."""
        if not self._backlog:
            raise os_error(errno.EAGAIN)
        stream = self._backlog.popleft()
        return stream, stream.remote

    def ready(self) -> int:
        """Readable while the backlog is not empty."""
        return READ if self._backlog else 0

    def close(self) -> None:
        """Close it and reset the connections in the backlog."""
        if self.closed:
            return
        if self.address[1]:
            self.registry.release(SocketType.STREAM, self.address)
        super().close()
        for stream in self._backlog:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            stream.close()
        self._backlog.clear()


class MemoryDatagrams(MemorySocket):
    """A datagram socket."""

    def __init__(self, registry: Registry) -> None:
        super().__init__(registry)
        self._incoming: deque[bytes] = deque()
        self._buffered_bytes = 0

    def bind(self, address: Address) -> None:
        """Bind to an address. Raises ``OSError`` where it is in use."""
        self.address = self.registry.bind(SocketType.DATAGRAM, address, self)

    def sendto(self, data: bytes, address: Address) -> int:
        """Send to the socket bound there; the datagram is lost without one, or if its buffer is full."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise os_error(errno.EMSGSIZE)
        if not self.address[1]:
            self.bind((LOOPBACK, 0))
        receiver = self.registry.lookup(SocketType.DATAGRAM, address)
        if (
            isinstance(receiver, MemoryDatagrams)
            and receiver._buffered_bytes + len(data) <= DATAGRAM_BUFFER_BYTES
        ):
            receiver._incoming.append(bytes(data))
            receiver._buffered_bytes += len(data)
            receiver.mark_changed()
        return len(data)

    def recv(self, count: int) -> bytes:
        """Return the oldest datagram, cut to ``count`` bytes. Raises ``BlockingIOError`` if there is none."""
        if not self._incoming:
            raise os_error(errno.EAGAIN)
        data = self._incoming.popleft()
        self._buffered_bytes -= len(data)
        return data[:count]

    def recv_into(self, buffer: memoryview) -> int:
        """Receive as ``recv`` does; return the number of bytes."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def ready(self) -> int:
        """Readable while a datagram is buffered; always writable."""
        return (READ if self._incoming else 0) | WRITE

    def close(self) -> None:
        """Close it and free its address."""
        if not self.closed:
            if self.address[1]:
                self.registry.release(SocketType.DATAGRAM, self.address)
            super().close()
