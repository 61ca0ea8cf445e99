"""Operating system services used by the loop and the I/O modules, behind one replaceable interface.

``System`` is the real one: kernel sockets, the platform's selector, the wall clock, random bytes. Simulations
replace it with an in-memory implementation, so that a run repeats byte for byte.
"""

import os
import selectors
import socket
import struct
import time
from collections.abc import Callable

MS = 1_000_000  # ns
TCP_INFO_BYTES = 104
STATE_OFFSET = 0  # of tcpi_state: one byte
STATES_AFTER_PEER_END = (7, 8)  # TCP_CLOSE, after a reset, and TCP_CLOSE_WAIT
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv in Linux's struct tcp_info: ms, 32 bits


class System:
    """Sockets, wall clock and entropy of the operating system. Failing calls raise ``OSError``."""

    # Resident memory to assume for a broker, in bytes. None: the process is measured.
    resident_bytes: Callable[[], int] | None = None

    def selector(self) -> selectors.BaseSelector:
        """A selector for this system's sockets; one per loop."""
        return selectors.DefaultSelector()

    def stream_socket(self) -> socket.socket:
        """An unconnected TCP socket."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def datagram_socket(self) -> socket.socket:
        """An unbound UDP socket."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def listening_socket(self, host: str, port: int, backlog: int) -> socket.socket:
        """A listening TCP socket; port 0 selects a free port."""
        return socket.create_server((host, port), backlog=backlog)

    @staticmethod
    def _tcp_info(sock: socket.socket) -> bytes | None:
        """What the system tells of a connection: the whole of Linux's structure, or None."""
        option = getattr(socket, "TCP_INFO", None)
        if option is None:
            return None
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, option, TCP_INFO_BYTES)
        except OSError:
            return None
        return info if len(info) >= LAST_DATA_RECEIVED_OFFSET + 4 else None

    def peer_ended(self, sock: socket.socket) -> bool | None:
        """Whether the peer of a TCP socket has closed it, also behind unread bytes; None if not known."""
        info = self._tcp_info(sock)
        return None if info is None else info[STATE_OFFSET] in STATES_AFTER_PEER_END

    def data_age(self, sock: socket.socket) -> int | None:
        """How long ago (ns) the last bytes arrived on a TCP socket, read or not; None if not known."""
        info = self._tcp_info(sock)
        if info is None:
            return None
        age_ms: int = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0]
        return age_ms * MS

    def wall_ns(self) -> int:
        """The wall clock, nanoseconds since the epoch."""
        return time.time_ns()

    def wall_ms(self) -> int:
        """The wall clock, milliseconds since the epoch."""
        return self.wall_ns() // 1_000_000

    def entropy(self, count: int) -> bytes:
        """``count`` random bytes."""
        return os.urandom(count)
