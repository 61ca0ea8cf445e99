"""The connections to one node alone, on real sockets in virtual time: the test is the driver."""

import socket
from collections.abc import Callable

from quincepath.interface import NodeId, Result
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.loop import Loop
from quincepath.orders import AttemptEnded, AttemptOrder, StartCall
from quincepath.platform.connection import Connection
from quincepath.platform.connection_state import ConnectionTimeouts
from quincepath.platform.nodes import NodePool
from tests.standins.platform import MS, SECOND, Node

NODE: NodeId = b"s-1"
DIAL = 250 * MS
BIG = 60_000  # bytes of a payload that a stuffed socket does not take whole


class HeldDial:
    """Stands for ``Dial``: the socket is connected at once, and handed over when the test says so."""

    held: list["HeldDial"] = []

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        timeout: int,
        on_open: Callable[[socket.socket], None],
        on_failed: Callable[[int], None],
    ) -> None:
        self.sock, self.address, self._on_open = socket.create_connection(address), address, on_open
        self.closed = False
        HeldDial.held.append(self)

    def open(self) -> None:
        """It comes up now."""
        if not self.closed:
            self._on_open(self.sock)

    def close(self) -> None:
        """As ``Dial.close``."""
        self.closed = True
        self.sock.close()


class Edge:
    """One node and all that goes to it; ``ended`` holds what was told of each attempt."""

    def __init__(self, streams: int = 100) -> None:
        self.loop = VirtualLoop()
        self.node = Node(self.loop, "s-1")
        self.ended: list[AttemptEnded] = []
        self.events: list[str] = []
        host, port = self.node.address.split(":")
        self.nodes = NodePool(
            self.loop, streams, ConnectionTimeouts(DIAL, 15 * SECOND), 4, 64, lambda node: (host, int(port)),
            self.ended.append, (), lambda what, node, why: self.events.append(what),
        )  # fmt: skip

    def start(self, *parts: int, payload: bytes = b"x", **times: int) -> None:
        """One call of these parts; ``times`` in ns from now on, the wait is 2 s."""
        now, deadline = self.loop.at, times.get("deadline", 2 * SECOND)
        whole = min(times.get("whole_by", deadline), deadline)
        leave = min(times.get("leave_by", whole), whole)
        orders = tuple(
            AttemptOrder(part, 0, 0, 1, now + leave, now + whole, now + deadline, payload, f"q{part}")
            for part in parts
        )
        self.nodes.start(StartCall(NODE, orders))

    def run(self, ns: int) -> None:
        end = self.loop.at + ns
        while self.loop.at < end:
            self.loop.turn((end - self.loop.at) / 1e9)

    def settle(self) -> None:
        """All that is on its way arrives; no time passes but some microseconds."""
        idle = 0
        while idle < 3:
            before = self.loop.at
            self.loop.turn(1e-6)
            idle = idle + 1 if self.loop.at != before else 0

    @property
    def connection(self) -> Connection:
        return self.nodes.connections[NODE][0]

    def deafen(self, room: int) -> None:
        """The node stops reading: its system takes some 100 kB, and ours holds back twice ``room`` bytes."""
        self.node.streams[0].pause()
        assert self.connection.stream is not None
        self.connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, room)

    def stuff(self, room: int = 8192) -> int:
        """The node stops reading and the socket fills; returns the part that has left by half."""
        self.start(1000)
        self.settle()
        self.deafen(room)
        part = 1000
        while self.connection.leaving is None:
            part += 1
            assert part < 1500, "the system takes all"
            self.start(part, payload=b"y" * BIG, deadline=60 * SECOND)
            self.settle()
        return part

    def flow(self, done: Callable[[], bool] | None = None) -> None:
        """The node reads on, up to the connection's end where nothing else is waited for."""
        for stream in self.node.streams:
            stream.resume()
        done = done or (lambda: self.node.streams[0].closed)
        for _ in range(5000):
            if done():
                return
            self.loop.turn(1e-9)
        raise AssertionError("it does not flow")

    def results(self) -> dict[int, Result]:
        return {one.part: one.result for one in self.ended}

    def seen(self) -> set[str]:
        return {name for name, _ in self.node.seen}
