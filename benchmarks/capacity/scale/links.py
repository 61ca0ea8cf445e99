"""Faults on the links of hollow brokers: lost datagrams, and members that cannot be reached at all."""

import random
import socket
from typing import Any

from benchmarks.capacity.scale.messages import LinkFault

_FILLERS = 4  # connections that fill a backlog of none


class LinkFaults:
    """The faults that are on, for the brokers of one process."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed} links")
        self._faults: dict[int, tuple[frozenset[str], frozenset[str], float]] = {}

    def begin(self, fault: LinkFault) -> None:
        """It is on from now on."""
        self._faults[fault.id] = (frozenset(fault.senders), frozenset(fault.receivers), fault.lose)

    def end(self, id: int) -> None:
        """It is over; an unknown id does nothing."""
        self._faults.pop(id, None)

    def loses(self, sender: str, receiver: str) -> bool:
        """Whether a datagram is lost on its way."""
        for senders, receivers, lose in self._faults.values():
            if sender in senders and receiver in receivers and self._random.random() < lose:
                return True
        return False

    def cut_from(self, sender: str) -> frozenset[str]:
        """Whom this member cannot reach."""
        found: set[str] = set()
        for senders, receivers, lose in self._faults.values():
            if lose >= 1 and sender in senders:
                found |= receivers
        return frozenset(found - {sender})


class LossySocket:
    """A member's datagram socket on which ``faults`` are applied to what is sent."""

    def __init__(self, real: socket.socket, sender: str, names: dict[tuple[str, int], str],
                 faults: LinkFaults) -> None:  # fmt: skip
        self._real, self._sender, self._names, self._faults = real, sender, names, faults

    def sendto(self, data: bytes, place: tuple[str, int]) -> int:
        """Send, or lose it without a word as a network does."""
        receiver = self._names.get(place)
        if receiver is not None and self._faults.loses(self._sender, receiver):
            return len(data)
        return self._real.sendto(data, place)

    def __getattr__(self, name: str) -> Any:
        """All else is the socket's own."""
        return getattr(self._real, name)


class BlackHole:
    """An address that takes datagrams and drops them, and where no connection is ever established."""

    def __init__(self, host: str) -> None:
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind((host, 0))
        self._listener.listen(0)
        self.place: tuple[str, int] = self._listener.getsockname()
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind(self.place)
        self._fillers = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(_FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self.place)

    def close(self) -> None:
        """Give back its sockets."""
        for sock in (*self._fillers, self._listener, self._udp):
            sock.close()
