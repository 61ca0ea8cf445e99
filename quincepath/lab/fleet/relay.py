"""The relay between broker processes: every datagram and connection between two of them passes through it.

Each process knows each peer by an address of that pair and direction, out of 127.0.0.0/8, so each direction
can be treated by itself. What passes is noted: who spoke, when, with which digest of its view; the ledger's
datagrams carry none.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from quincepath.fleet.messages import Envelope
from quincepath.fleet.transport import OTHER_DATAGRAM_PREFIX
from quincepath.lab.fleet.links import Ways
from quincepath.net.dial import Dial
from quincepath.net.loop import READ, Loop
from quincepath.net.stream import Listener, Stream

LONGEST = 65_535
DATAGRAMS = 64  # read in one go
BIND_TRIES = 16
DIAL_TIME = 1_000_000_000
MOST = 64  # connections of one pair at once
_envelopes = msgspec.msgpack.Decoder(Envelope)


@dataclass(slots=True, eq=False)
class Pair:
    """The way from one process towards one name: sockets that the sender takes for the other."""

    place: str
    sender: str
    to: str
    udp: socket.socket
    listener: Listener
    open: int = 0

    @property
    def address(self) -> str:
        """As the sender's configuration names the other."""
        host, port = self.udp.getsockname()
        return f"{host}:{port}"


class Relay:
    """All pairs. ``on_packet(place, digest, bytes)`` is told of each datagram that comes in.

    The digest is of the sender's view; None where the datagram is not the view's, -1 where it is unreadable.
    """

    def __init__(self, loop: Loop, ways: Ways, on_packet: Callable[[str, int | None, int], None]) -> None:
        self.loop, self.ways, self.on_packet = loop, ways, on_packet
        self.pairs: list[Pair] = []
        self.real: dict[str, tuple[str, int]] = {}  # where the process that answers for a name listens now
        self.out = loop.system.datagram_socket()
        self.out.setblocking(False)
        self.streams: set[Stream] = set()
        self.dials: set[Dial] = set()
        self._closed = False

    def add(self, place: str, sender: str, to: str, host: str) -> str:
        """An address by which a process reaches a name; ``host`` is one of 127.0.0.0/8 of this pair's own."""
        for attempt in range(BIND_TRIES):
            listener = Listener(
                self.loop, host, 0, lambda sock: self._accepted(pair, sock), lambda: pair.open, MOST
            )
            udp = self.loop.system.datagram_socket()
            try:
                udp.bind((host, listener.port))
                break
            except OSError:
                listener.close()
                udp.close()
                if attempt == BIND_TRIES - 1:
                    raise
        udp.setblocking(False)
        pair = Pair(place, sender, to, udp, listener)
        self.pairs.append(pair)
        self.loop.watch(udp, READ, lambda _: self._readable(pair))
        return pair.address

    # --- datagrams ---

    def _readable(self, pair: Pair) -> None:
        for _ in range(DATAGRAMS):
            try:
                data = pair.udp.recv(LONGEST)
            except OSError:
                return
            digest: int | None = None
            if data[:1] != OTHER_DATAGRAM_PREFIX:
                try:
                    digest = _envelopes.decode(data).digest
                except msgspec.MsgspecError:
                    digest = -1
            self.on_packet(pair.place, digest, len(data))
            for wait in self.ways.fates(pair.sender, pair.to, data):
                self.loop.call_in(wait, self._sending(pair.to, data))

    def _sending(self, to: str, data: bytes) -> Callable[[], None]:
        return lambda: self.send(to, data)

    def send(self, to: str, data: bytes) -> None:
        """To the process that answers for a name now, if there is one."""
        place = self.real.get(to)
        if place is None or self._closed:
            return
        try:
            self.out.sendto(data, place)
        except OSError:
            return  # as good as lost

    # --- connections ---

    def _accepted(self, pair: Pair, sock: socket.socket) -> None:
        """Carry on to the real process; over a cut way it stands and nothing comes."""
        pair.open += 1
        near: Stream
        far: Stream | None = None
        waiting: list[bytes] = []

        def end(_: str = "") -> None:
            for stream in (near, far):
                if stream is not None and not stream.closed:
                    self.streams.discard(stream)
                    stream.finish(LONGEST, lambda: None)
            if not state["over"]:
                state["over"] = True
                pair.open -= 1

        def forth(data: bytes) -> None:
            if self.ways.is_cut(pair.sender, pair.to):
                return
            if far is not None:
                far.write(data)
            else:
                waiting.append(data)

        def back(data: bytes) -> None:
            if not self.ways.is_cut(pair.to, pair.sender):
                near.write(data)

        def opened(there: socket.socket) -> None:
            nonlocal far
            self.dials.discard(dial)
            far = Stream(self.loop, there, back, end)
            self.streams.add(far)
            if near.closed:
                end()
                return
            for data in waiting:
                far.write(data)

        def failed(_: int) -> None:
            self.dials.discard(dial)
            end()

        state = {"over": False}
        near = Stream(self.loop, sock, forth, end)
        self.streams.add(near)
        real = self.real.get(pair.to)
        if self.ways.is_cut(pair.sender, pair.to) or self.ways.is_cut(pair.to, pair.sender):
            return
        if real is None:
            near.close(reset=True)
            end()
            return
        dial = Dial(self.loop, real, DIAL_TIME, opened, failed)
        self.dials.add(dial)

    def close(self) -> None:
        """Give back all sockets."""
        self._closed = True
        for dial in self.dials:
            dial.close()
        for stream in list(self.streams):
            stream.close()
        for pair in self.pairs:
            self.loop.watch(pair.udp, 0, lambda _: None)
            pair.udp.close()
            pair.listener.close()
        self.out.close()
