"""Loops whose clock stands while any socket has something to say, and jumps to the next timer when none has.

``VirtualLoop`` has real sockets of loopback: seconds of waiting take none, but the kernel's order and the
machine's load show. ``ExactLoop`` has an in-memory network, and the same run repeats byte for byte.
"""

import selectors

from quincepath.lab.memory_network import MemoryNetwork
from quincepath.net.loop import Loop
from quincepath.net.system import System

SECOND = 1_000_000_000
KERNEL = 0.001  # seconds of real time that loopback gets to bring what was sent, before the clock may jump


class VirtualLoop(Loop):
    """Time passes only when nothing else happens."""

    def __init__(self, system: System | None = None) -> None:
        self.at = 1_000 * SECOND
        super().__init__(lambda: self.at, system)

    def _wait(self, seconds: float) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._ready()
        if not ready:
            self.at += max(round(seconds * 1e9), 0)
        return ready

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        return self._selector.select(0) or self._selector.select(KERNEL)


class ExactLoop(VirtualLoop):
    """Virtual time over an in-memory network: nothing of the machine enters, all chance comes of ``seed``."""

    def __init__(self, seed: int) -> None:
        super().__init__(MemoryNetwork(seed, lambda: self.at))

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        return self._selector.select(0)
