"""Streams, listeners and datagram sockets of an in-memory network."""

import errno
import socket
import struct
from collections import deque

from quincepath.lab.memory_network.registry import ANY_HOST, Address, Registry, SocketType, os_error
from quincepath.net.loop import READ, WRITE

STREAM_BUFFER_BYTES = 1 << 20  # bytes that wait in one direction until they are read; a writer then waits
DATAGRAM_BUFFER_BYTES = 1 << 18  # bytes of datagrams that wait at one socket; what is over is dropped
MAX_DATAGRAM_BYTES = 65_507  # bytes of one datagram over IPv4
LOOPBACK = "127.0.0.1"
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, of no time: ``close`` resets


class MemorySocket:
    """What streams, listeners and datagram sockets have in common."""

    family = socket.AF_INET

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.number = registry.add(self)
        self.address: Address = (ANY_HOST, 0)
        self.closed = False

    def fileno(self) -> int:
        """Its number, never used twice; -1 once it is closed."""
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """Nothing blocks here."""

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Taken and of no effect, but for SO_LINGER of a stream."""

    def getsockname(self) -> Address:
        """Where it is bound."""
        return self.address

    def ready(self) -> int:
        """READ and WRITE as a selector tells them."""
        raise NotImplementedError

    def mark_changed(self) -> None:
        """The selector has to look at it again."""
        self.registry.changed.add(self.number)

    def close(self) -> None:
        """Give it back; closing twice does nothing."""
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
        self._error = 0  # told by the next call, as SO_ERROR
        self._failed = False
        self._reset_on_close = False

    # --- connecting ---

    def connect_ex(self, address: Address) -> int:
        """Begin to connect; the outcome is told by readiness and SO_ERROR, as by a non-blocking socket."""
        self.address = (LOOPBACK, self.registry.next_port())
        self.remote = address
        listener = self.registry.lookup(SocketType.STREAM, address)
        if not isinstance(listener, MemoryListener):
            self._set_error(errno.ECONNREFUSED)
        elif listener.full:
            self._connecting = True  # until the caller gives up, as with a system that drops the SYN
        else:
            other = MemoryStream(self.registry)
            other.address, other.remote = address, self.address
            self.peer, other.peer = other, self
            listener.enqueue(other)
            self.mark_changed()
        return errno.EINPROGRESS

    def connect(self, address: Address) -> None:
        """Connect at once. Raises ``OSError`` where nobody accepts."""
        self.connect_ex(address)
        if self._connecting:
            raise os_error(errno.ETIMEDOUT)
        self._raise_error()

    def getpeername(self) -> Address:
        """The other end. Raises ``OSError`` where there is none."""
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        return self.remote

    def getsockopt(self, level: int, option: int) -> int:
        """SO_ERROR, which is cleared; 0 for all else."""
        if (level, option) != (socket.SOL_SOCKET, socket.SO_ERROR):
            return 0
        code, self._error = self._error, 0
        return code

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """SO_LINGER of no time makes ``close`` a reset."""
        if option == socket.SO_LINGER and isinstance(value, bytes):
            self._reset_on_close = value == ZERO_LINGER

    # --- bytes ---

    @property
    def send_space(self) -> int:
        """Bytes that the other end can still hold."""
        return STREAM_BUFFER_BYTES - len(self.peer._incoming) if self.peer is not None else 0

    def send(self, data: bytes | memoryview) -> int:
        """Bytes taken. Raises ``BlockingIOError`` where the other end is full, ``OSError`` where it is gone.

        A closed end takes them and answers by a reset.
        """
        self._raise_error()
        if self._write_closed:
            raise os_error(errno.EPIPE)
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        if self.peer.closed:
            self._set_error(errno.ECONNRESET)
            return len(data)
        taken = min(self.send_space, len(data))
        if not taken and len(data):
            raise os_error(errno.EAGAIN)
        self.peer._incoming += data[:taken]
        self.peer.mark_changed()
        return taken

    def recv_into(self, buffer: memoryview) -> int:
        """Bytes read, 0 at the end. Raises ``BlockingIOError`` for nothing yet, ``OSError`` on a reset."""
        found = self._read(len(buffer), peek=False)
        buffer[: len(found)] = found
        return len(found)

    def recv(self, count: int, flags: int = 0) -> bytes:
        """As ``recv_into``; MSG_PEEK leaves what it shows."""
        return self._read(count, bool(flags & socket.MSG_PEEK))

    def _read(self, count: int, peek: bool) -> bytes:
        if self._incoming:
            found = bytes(self._incoming[:count])
            if not peek:
                del self._incoming[:count]
                if self.peer is not None:
                    self.peer.mark_changed()
            return found
        self._raise_error()
        if self._eof_received:
            return b""
        if self.peer is None:
            raise os_error(errno.ENOTCONN)
        raise os_error(errno.EAGAIN)

    # --- ending ---

    def shutdown(self, how: int) -> None:
        """End the writing side (SHUT_WR alone is used). Raises ``OSError`` where there is no connection."""
        if how != socket.SHUT_WR:
            raise ValueError(f"shutdown({how}): expected SHUT_WR ({socket.SHUT_WR})")
        if self.peer is None or self._failed:
            raise os_error(errno.ENOTCONN)
        self._write_closed = True
        self.peer._receive_eof()

    def close(self) -> None:
        """End both sides; over unread bytes, or after SO_LINGER of no time, the other end gets a reset."""
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
        """Readable with bytes, at the end and on an error; writable with room, and on an error."""
        if self._connecting:
            return 0
        if self._error or self.peer is None:
            return READ | WRITE
        read = READ if self._incoming or self._eof_received else 0
        write = WRITE if self.send_space or self.peer.closed or self._write_closed else 0
        return read | write


class MemoryListener(MemorySocket):
    """A socket that listens."""

    def __init__(self, registry: Registry, backlog: int) -> None:
        super().__init__(registry)
        self._backlog = backlog
        self._waiting: deque[MemoryStream] = deque()

    def bind(self, address: Address) -> None:
        """Take an address. Raises ``OSError`` where it is taken."""
        self.address = self.registry.bind(SocketType.STREAM, address, self)

    @property
    def full(self) -> bool:
        """Whether no more can wait to be accepted."""
        return len(self._waiting) >= self._backlog

    def enqueue(self, stream: MemoryStream) -> None:
        """A connection that waits to be accepted."""
        self._waiting.append(stream)
        self.mark_changed()

    def accept(self) -> tuple[MemoryStream, Address]:
        """The connection that waits longest. Raises ``BlockingIOError`` where none does."""
        if not self._waiting:
            raise os_error(errno.EAGAIN)
        stream = self._waiting.popleft()
        return stream, stream.remote

    def ready(self) -> int:
        """Readable while a connection waits."""
        return READ if self._waiting else 0

    def close(self) -> None:
        """Who still waits is reset."""
        if self.closed:
            return
        if self.address[1]:
            self.registry.release(SocketType.STREAM, self.address)
        super().close()
        for stream in self._waiting:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            stream.close()
        self._waiting.clear()


class MemoryDatagrams(MemorySocket):
    """A datagram socket."""

    def __init__(self, registry: Registry) -> None:
        super().__init__(registry)
        self._incoming: deque[bytes] = deque()
        self._buffered_bytes = 0

    def bind(self, address: Address) -> None:
        """Take an address. Raises ``OSError`` where it is taken."""
        self.address = self.registry.bind(SocketType.DATAGRAM, address, self)

    def sendto(self, data: bytes, address: Address) -> int:
        """To whoever is bound there; lost where nobody is, or where its room is full."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise os_error(errno.EMSGSIZE)
        if not self.address[1]:
            self.bind((LOOPBACK, 0))
        other = self.registry.lookup(SocketType.DATAGRAM, address)
        if isinstance(other, MemoryDatagrams) and other._buffered_bytes + len(data) <= DATAGRAM_BUFFER_BYTES:
            other._incoming.append(bytes(data))
            other._buffered_bytes += len(data)
            other.mark_changed()
        return len(data)

    def recv(self, count: int) -> bytes:
        """The oldest datagram, cut to ``count`` bytes. Raises ``BlockingIOError`` where there is none."""
        if not self._incoming:
            raise os_error(errno.EAGAIN)
        data = self._incoming.popleft()
        self._buffered_bytes -= len(data)
        return data[:count]

    def recv_into(self, buffer: memoryview) -> int:
        """As ``recv``; tells how many bytes there are."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def ready(self) -> int:
        """Readable while a datagram waits; always writable."""
        return (READ if self._incoming else 0) | WRITE

    def close(self) -> None:
        """Give its address back."""
        if not self.closed:
            if self.address[1]:
                self.registry.release(SocketType.DATAGRAM, self.address)
            super().close()
