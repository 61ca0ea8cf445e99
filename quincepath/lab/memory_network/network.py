"""The in-memory system of one event loop; nothing in it depends on the machine."""

import random
import selectors
import socket
from collections.abc import Callable
from typing import cast

from quincepath.lab.memory_network.registry import Registry
from quincepath.lab.memory_network.selector import MemorySelector
from quincepath.lab.memory_network.sockets import MemoryDatagrams, MemoryListener, MemoryStream
from quincepath.net.system import System

EPOCH_NS = 1_700_000_000_000_000_000  # the wall clock when the loop's clock is 0
RESIDENT_BYTES = 64 << 20  # reported for each broker; all brokers of a run share one process


class MemoryNetwork(System):
    """The system of one loop, with all sockets of a run. ``clock`` returns ns; ``seed`` sets the entropy."""

    def __init__(self, seed: int, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._random = random.Random(f"{seed} entropy")
        self.registry = Registry()
        self.resident_bytes = lambda: RESIDENT_BYTES

    def data_age(self, sock: socket.socket) -> int | None:
        """Not known: the network keeps no times of arrival."""
        return None

    def peer_ended(self, sock: socket.socket) -> bool | None:
        """Not known before the bytes ahead of the end are read."""
        return None

    def selector(self) -> selectors.BaseSelector:
        """Make a selector for the sockets of this network."""
        return MemorySelector(self.registry)

    def stream_socket(self) -> socket.socket:
        """Make a stream socket. Raises ``OSError`` at the limit of open sockets, as the methods below do."""
        return cast(socket.socket, MemoryStream(self.registry))

    def datagram_socket(self) -> socket.socket:
        """Make an unbound datagram socket."""
        return cast(socket.socket, MemoryDatagrams(self.registry))

    def listening_socket(self, host: str, port: int, backlog: int) -> socket.socket:
        """Make a listening socket. Raises ``OSError`` where the address is in use."""
        listener = MemoryListener(self.registry, backlog)
        try:
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        return cast(socket.socket, listener)

    def wall_ns(self) -> int:
        """Return the wall clock: a fixed epoch plus the loop's clock."""
        return EPOCH_NS + self._clock()

    def entropy(self, count: int) -> bytes:
        """Return random bytes that the seed determines."""
        return self._random.randbytes(count)
