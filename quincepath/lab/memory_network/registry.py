"""What the sockets of one network share: their numbers, who is bound where, and who may be ready."""

import errno
import os
from collections.abc import Iterable
from enum import Enum, auto
from typing import Protocol

MAX_SOCKETS = 50_000  # open at once; over it a new one is refused, as without descriptors
FIRST_PORT, LAST_PORT = 20_000, 65_535  # given out in order where port 0 is asked for
ANY_HOST = "0.0.0.0"
Address = tuple[str, int]


def os_error(code: int) -> OSError:
    """The error of a system call; Python makes the fitting subclass of it."""
    return OSError(code, os.strerror(code))


class SocketType(Enum):
    """Streams and datagrams have ports of their own."""

    STREAM = auto()
    DATAGRAM = auto()


class Endpoint(Protocol):
    """A socket, as the selector and the table see it."""

    def fileno(self) -> int:
        """Its number; -1 once closed."""

    def ready(self) -> int:
        """READ and WRITE as a selector tells them."""


class Registry:
    """The table of one network. All that give out something raise ``OSError`` when nothing is left."""

    def __init__(self) -> None:
        self.sockets: dict[int, Endpoint] = {}
        self.changed: set[int] = set()  # numbers of the sockets that may be ready
        self._bound: dict[tuple[SocketType, str, int], Endpoint] = {}
        self._numbers = 0
        self._port = FIRST_PORT - 1

    def add(self, sock: Endpoint) -> int:
        """A number for a new socket, never used twice."""
        if len(self.sockets) >= MAX_SOCKETS:
            raise os_error(errno.EMFILE)
        self._numbers += 1
        self.sockets[self._numbers] = sock
        return self._numbers

    def remove(self, number: int) -> None:
        """It is closed."""
        self.sockets.pop(number, None)
        self.changed.discard(number)

    def next_port(self) -> int:
        """The next one; after the last the first again."""
        self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
        return self._port

    def bind(self, kind: SocketType, address: Address, sock: Endpoint) -> Address:
        """Give an address; port 0 is replaced by a free one."""
        host, port = address
        free: Iterable[int] = (self.next_port() for _ in range(FIRST_PORT, LAST_PORT + 1))
        for one in [port] if port else free:
            if (kind, host, one) not in self._bound:
                self._bound[kind, host, one] = sock
                return host, one
        raise os_error(errno.EADDRINUSE)

    def release(self, kind: SocketType, address: Address) -> None:
        """The address is free again."""
        self._bound.pop((kind, *address), None)

    def lookup(self, kind: SocketType, address: Address) -> Endpoint | None:
        """Who has an address, or that port of all addresses."""
        host, port = address
        return self._bound.get((kind, host, port)) or self._bound.get((kind, ANY_HOST, port))
