"""Ports for processes under test, which bind them some time after they were chosen.

They lie below the range that the system gives to outgoing connections. Each test process has a block of its
own, kept by a file lock for as long as it runs: neither a parallel test nor another test run takes one.
"""

import fcntl
import random
import socket
import tempfile
from functools import cache
from io import BufferedRandom
from itertools import cycle
from pathlib import Path

FIRST_PORT = 20_000
BLOCKS = 60
PORTS_PER_BLOCK = 200


class PortBlock:
    """The ports of this process, in turn."""

    def __init__(self) -> None:
        self.number, self._lock_file = self._lock_one()
        first = FIRST_PORT + self.number * PORTS_PER_BLOCK
        self._ports = cycle(range(first, first + PORTS_PER_BLOCK))

    @staticmethod
    def _lock_one() -> tuple[int, BufferedRandom]:
        for number in random.SystemRandom().sample(range(BLOCKS), BLOCKS):
            file = open(Path(tempfile.gettempdir()) / f"quincepath-test-ports-{number}.lock", "a+b")  # noqa: SIM115
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:  # another process has it
                file.close()
            else:
                return number, file
        raise RuntimeError(f"all {BLOCKS} blocks of ports are in use")

    def take(self) -> int:
        """The next port that can be bound."""
        for _ in range(PORTS_PER_BLOCK):
            port = next(self._ports)
            try:
                socket.create_server(("127.0.0.1", port)).close()
            except OSError:  # a process outside the tests has it
                continue
            return port
        raise RuntimeError(f"no port of block {self.number} can be bound")


@cache
def _block() -> PortBlock:
    return PortBlock()


def free_port() -> int:
    """A port that no other test process is given."""
    return _block().take()


def free_ports(count: int) -> list[int]:
    """Several ports, each another one."""
    return [free_port() for _ in range(count)]
