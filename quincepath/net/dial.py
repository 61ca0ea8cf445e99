"""Non-blocking connect with a timeout."""

import errno
import os
import socket
from collections.abc import Callable

from quincepath.net.loop import WRITE, Loop

CONNECT_TIMED_OUT = -1  # error code of a connect that timed out


def describe_connect_error(code: int) -> str:
    """Text for an error code passed to ``on_failed``."""
    return "not established in time" if code == CONNECT_TIMED_OUT else os.strerror(code)


class Dial:
    """One attempt to connect.

    ``on_open(sock)`` or ``on_failed(errno or CONNECT_TIMED_OUT)`` is called once, in a later turn. ``close``
    abandons the attempt without calling either.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        timeout: int,
        on_open: Callable[[socket.socket], None],
        on_failed: Callable[[int], None],
    ) -> None:
        self.loop, self._on_open, self._on_failed = loop, on_open, on_failed
        self.sock: socket.socket | None = None
        try:
            sock = loop.system.stream_socket()
        except OSError as error:  # out of descriptors: only this connection fails, the broker continues
            code = error.errno or errno.EMFILE
            self.timer = loop.call_at(loop.now, lambda: self._fail(code))
            return
        sock.setblocking(False)
        self.sock = sock
        try:
            code = sock.connect_ex(address)
        except OSError as error:  # invalid address
            code = error.errno or errno.EADDRNOTAVAIL
        if code not in (0, errno.EINPROGRESS):
            self.timer = loop.call_at(loop.now, lambda: self._fail(code))
            return
        self.timer = loop.call_in(timeout, lambda: self._fail(CONNECT_TIMED_OUT))
        loop.watch(sock, WRITE, self._on_writable)

    def _on_writable(self, _: int) -> None:
        sock = self.sock
        assert sock is not None
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(code)
            return
        self.timer.cancel()
        self.loop.watch(sock, 0, self._on_writable)
        self.sock = None
        self._on_open(sock)

    def _fail(self, code: int) -> None:
        self.close()
        self._on_failed(code)

    def close(self) -> None:
        """Abandon the attempt in any state."""
        self.timer.cancel()
        if self.sock is not None:
            self.loop.watch(self.sock, 0, self._on_writable)
            self.sock.close()
            self.sock = None
