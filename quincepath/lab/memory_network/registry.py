"""State shared by the sockets of one network: numbers, bound addresses, and sockets that may be ready."""

import errno
import os
from collections.abc import Iterable
from enum import Enum, auto
from typing import Protocol

MAX_SOCKETS = 50_000  # open at once; beyond it creation fails, as without free file descriptors
FIRST_PORT, LAST_PORT = 20_000, 65_535  # assigned in order where port 0 is requested
ANY_HOST = "0.0.0.0"
Address = tuple[str, int]


def os_error(code: int) -> OSError:
    """Make the error of a system call; Python selects the subclass by the code."""
    return OSError(code, os.strerror(code))


class SocketType(Enum):
    """Type of a socket; streams and datagrams have separate port spaces."""

    STREAM = auto()
    DATAGRAM = auto()


class Endpoint(Protocol):
    """A socket, as the selector and the registry use it."""

    def fileno(self) -> int:
        """Return its number; -1 once closed."""

    def ready(self) -> int:
        """Return its readiness, as a mask of READ and WRITE."""


class Registry:
    """The socket table of one network. Methods that assign a resource raise ``OSError`` when none is left."""

    def __init__(self) -> None:
        self.sockets: dict[int, Endpoint] = {}
        self.changed: set[int] = set()  # numbers of sockets that may be ready
        self._bound: dict[tuple[SocketType, str, int], Endpoint] = {}
        self._last_number = 0
        self._port = FIRST_PORT - 1

    def add(self, sock: Endpoint) -> int:
        """Add a new socket and return its number, which is never reused."""
        if len(self.sockets) >= MAX_SOCKETS:
            raise os_error(errno.EMFILE)
        self._last_number += 1
        self.sockets[self._last_number] = sock
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove a closed socket."""
        self.sockets.pop(number, None)
        self.changed.discard(number)

    def next_port(self) -> int:
        """Return the next port; the first follows the last."""
        self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
        return self._port

    def bind(self, socket_type: SocketType, address: Address, sock: Endpoint) -> Address:
        """Bind a socket to an address; port 0 is replaced by a free port."""
        host, port = address
        candidates: Iterable[int] = (self.next_port() for _ in range(FIRST_PORT, LAST_PORT + 1))
        for candidate in [port] if port else candidates:
            if (socket_type, host, candidate) not in self._bound:
                self._bound[socket_type, host, candidate] = sock
                return host, candidate
        raise os_error(errno.EADDRINUSE)

    def release(self, socket_type: SocketType, address: Address) -> None:
        """Free a bound address."""
        self._bound.pop((socket_type, *address), None)

    def lookup(self, socket_type: SocketType, address: Address) -> Endpoint | None:
        """Return the socket bound to an address, or to its port on all addresses."""
        host, port = address
        return self._bound.get((socket_type, host, port)) or self._bound.get((socket_type, ANY_HOST, port))
