"""The system of one loop in memory: nothing of the machine enters."""

import random
import selectors
import socket
from collections.abc import Callable
from typing import cast

from quincepath.lab.memory_network.registry import Registry
from quincepath.lab.memory_network.selector import MemorySelector
from quincepath.lab.memory_network.sockets import MemoryDatagrams, MemoryListener, MemoryStream
from quincepath.net.system import System

EPOCH_NS = 1_700_000_000_000_000_000  # the wall clock where the loop's clock is 0
RESIDENT_BYTES = 64 << 20  # of each broker, whatever the one process of the run holds


class MemoryNetwork(System):
    """The system of one loop: all sockets of one run. ``clock`` gives ns; ``seed`` decides the entropy."""

    def __init__(self, seed: int, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._random = random.Random(f"{seed} entropy")
        self.registry = Registry()
        self.resident_bytes = lambda: RESIDENT_BYTES

    def selector(self) -> selectors.BaseSelector:
        """One that knows this network's sockets only."""
        return MemorySelector(self.registry)

    def stream_socket(self) -> socket.socket:
        """Raises ``OSError`` where too many are open, as all that make sockets here."""
        return cast(socket.socket, MemoryStream(self.registry))

    def datagram_socket(self) -> socket.socket:
        """Not bound yet."""
        return cast(socket.socket, MemoryDatagrams(self.registry))

    def listening_socket(self, host: str, port: int, backlog: int) -> socket.socket:
        """Raises ``OSError`` where the address is taken."""
        listener = MemoryListener(self.registry, backlog)
        try:
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        return cast(socket.socket, listener)

    def wall_ns(self) -> int:
        """A fixed day, moved on by the loop's clock."""
        return EPOCH_NS + self._clock()

    def entropy(self, count: int) -> bytes:
        """Bytes of the seed."""
        return self._random.randbytes(count)
