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
DIAL_TIMEOUT_NS = 250 * MS
LARGE_PAYLOAD = 60_000  # bytes of a payload that a full socket does not accept send_complete_by


class ManualDial:
    """Replaces ``Dial``: the socket is connected at once, and handed over when the test calls ``open``."""

    created: list["ManualDial"] = []

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
        ManualDial.created.append(self)

    def open(self) -> None:
        """Report the connection as established."""
        if not self.closed:
            self._on_open(self.sock)

    def close(self) -> None:
        """Same as ``Dial.close``."""
        self.closed = True
        self.sock.close()


class NodePoolHarness:
    """One node and the connections to it; ``ended`` holds the reported end of each attempt."""

    def __init__(self, streams: int = 100) -> None:
        self.loop = VirtualLoop()
        self.node = Node(self.loop, "s-1")
        self.ended: list[AttemptEnded] = []
        self.events: list[str] = []
        host, port = self.node.address.split(":")
        self.nodes = NodePool(
            self.loop, streams, ConnectionTimeouts(DIAL_TIMEOUT_NS, 15 * SECOND), 4, 64,
            lambda node: (host, int(port)), self.ended.append, (),
            lambda what, node, why: self.events.append(what),
        )  # fmt: skip

    def start(self, *parts: int, payload: bytes = b"x", **times: int) -> None:
        """Start one call of these parts; ``times`` are in ns from now; the default deadline is 2 s."""
        now, deadline = self.loop.at, times.get("deadline", 2 * SECOND)
        send_complete_by = min(times.get("send_complete_by", deadline), deadline)
        send_start_by = min(times.get("send_start_by", send_complete_by), send_complete_by)
        orders = tuple(
            AttemptOrder(
                part,
                0,
                0,
                1,
                now + send_start_by,
                now + send_complete_by,
                now + deadline,
                payload,
                f"q{part}",
            )
            for part in parts
        )
        self.nodes.start(StartCall(NODE, orders))

    def run(self, ns: int) -> None:
        end = self.loop.at + ns
        while self.loop.at < end:
            self.loop.turn((end - self.loop.at) / 1e9)

    def settle(self) -> None:
        """Deliver all data in transit; only some microseconds pass."""
        idle = 0
        while idle < 3:
            before = self.loop.at
            self.loop.turn(1e-6)
            idle = idle + 1 if self.loop.at != before else 0

    @property
    def connection(self) -> Connection:
        return self.nodes.connections[NODE][0]

    def stop_reading(self, buffer: int) -> None:
        """The node stops reading: its system buffers some 100 kB, and ours twice ``buffer`` bytes."""
        self.node.streams[0].pause()
        assert self.connection.stream is not None
        self.connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer)

    def fill_socket(self, buffer: int = 8192) -> int:
        """The node stops reading and the socket fills; returns the part that is only partly sent."""
        self.start(1000)
        self.settle()
        self.stop_reading(buffer)
        part = 1000
        while self.connection.sending is None:
            part += 1
            assert part < 1500, "the operating system accepts everything"
            self.start(part, payload=b"y" * LARGE_PAYLOAD, deadline=60 * SECOND)
            self.settle()
        return part

    def resume_reading(self, done: Callable[[], bool] | None = None) -> None:
        """The node reads again, until ``done`` or, by default, until the connection ends."""
        for stream in self.node.streams:
            stream.resume()
        done = done or (lambda: self.node.streams[0].closed)
        for _ in range(5000):
            if done():
                return
            self.loop.turn(1e-9)
        raise AssertionError("the node did not read to the end")

    def results(self) -> dict[int, Result]:
        return {one.part: one.result for one in self.ended}

    def received(self) -> set[str]:
        return {name for name, _ in self.node.received}
