"""What the loop and the edge take from the operating system, in one place, so that it can be replaced.

``System`` is the real one: kernel sockets, the selector of the platform, the wall clock, random bytes. The
laboratory puts an in-memory one in its place and then a run repeats byte for byte.
"""

import os
import selectors
import socket
import time
from collections.abc import Callable


class System:
    """Sockets, wall clock and entropy of the operating system. Errors are those of the calls: ``OSError``."""

    # Bytes of memory that a broker is taken to hold. None: what the process holds is measured.
    resident_bytes: Callable[[], int] | None = None

    def selector(self) -> selectors.BaseSelector:
        """The selector that waits for this system's sockets; one a loop."""
        return selectors.DefaultSelector()

    def stream_socket(self) -> socket.socket:
        """A TCP socket that is not connected yet."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def datagram_socket(self) -> socket.socket:
        """A UDP socket that is not bound yet."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def listening_socket(self, host: str, port: int, backlog: int) -> socket.socket:
        """A TCP socket that listens; port 0 takes a free one."""
        return socket.create_server((host, port), backlog=backlog)

    def wall_ns(self) -> int:
        """The wall clock, nanoseconds since the epoch."""
        return time.time_ns()

    def wall_ms(self) -> int:
        """The wall clock, milliseconds since the epoch."""
        return self.wall_ns() // 1_000_000

    def entropy(self, count: int) -> bytes:
        """That many random bytes."""
        return os.urandom(count)
