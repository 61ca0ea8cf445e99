"""Plain client sockets beside a broker in virtual time, and hooks on system calls."""

import socket
from collections.abc import Callable
from typing import Any

import pytest

from quincepath.net.client_connection import ClientConnection
from tests.standins.platform import PlatformHarness


def connect(harness: PlatformHarness) -> socket.socket:
    """A client that does nothing by itself: it does not even close when the broker does."""
    sock = socket.create_connection(("127.0.0.1", harness.port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(5)
    return sock


def peer_of(harness: PlatformHarness, sock: socket.socket) -> ClientConnection:
    """The broker's side of it."""
    port = sock.getsockname()[1]
    return next(
        peer for peer in harness.broker.server.connections if peer.stream.sock.getpeername()[1] == port
    )


def read_all(sock: socket.socket) -> tuple[bytes, str]:
    """The bytes received, and what follows them: ``end``, ``reset`` or ``open``."""
    got = b""
    sock.setblocking(False)
    while True:
        try:
            data = sock.recv(1 << 20)
        except BlockingIOError:
            return got, "open"
        except OSError:
            return got, "reset"
        if not data:  # a reset after the end is no error of a read, but destroys data in transit
            return got, "reset" if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else "end"
        got += data


class SyscallHook:
    """Runs ``act`` once, just before the first call of one of the methods ``names`` on a socket."""

    def __init__(
        self, patch: pytest.MonkeyPatch, sock: socket.socket, names: tuple[str, ...], act: Callable[[], None]
    ) -> None:
        self.triggered = False
        for name in names:
            patch.setattr(socket.socket, name, self._wrapped(getattr(socket.socket, name), sock, act))

    def _wrapped(self, call: Any, watched: socket.socket, act: Callable[[], None]) -> Any:
        def wrapped(sock: socket.socket, *args: Any) -> Any:
            if sock is watched and not self.triggered:
                self.triggered = True
                act()
            return call(sock, *args)

        return wrapped
