"""Event loops in virtual time: the clock stops while a socket is ready, else it jumps to the next timer.

``VirtualLoop`` uses real sockets on loopback: waiting takes no real time, but the kernel's order of
events and the machine's load affect the run. ``ExactLoop`` uses an in-memory network: a run repeats byte
for byte.
"""

import selectors
import socket

from quincepath.lab.memory_network import MemoryNetwork
from quincepath.net.loop import Loop
from quincepath.net.system import System

SECOND = 1_000_000_000
LOOPBACK_WAIT_S = 0.001  # real time for loopback to deliver sent data before the clock may jump


class VirtualTimeSystem(System):
    """The real system, whose ages of bytes are of real time and so mean nothing here."""

    def data_age(self, sock: socket.socket) -> int | None:
        """Not known in virtual time."""
        return None


class VirtualLoop(Loop):
    """Advances its clock only when no socket is ready."""

    def __init__(self, system: System | None = None) -> None:
        self.at = 1_000 * SECOND
        super().__init__(lambda: self.at, system or VirtualTimeSystem())

    def _wait(self, seconds: float) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._ready()
        if not ready:
            self.at += max(round(seconds * 1e9), 0)
        return ready

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        return self._selector.select(0) or self._selector.select(LOOPBACK_WAIT_S)


class ExactLoop(VirtualLoop):
    """Virtual time over an in-memory network: independent of the machine; ``seed`` gives all randomness."""

    def __init__(self, seed: int) -> None:
        super().__init__(MemoryNetwork(seed, lambda: self.at))

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        return self._selector.select(0)
