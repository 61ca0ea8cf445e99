"""The fleet's sockets: fragmented, oversized and invalid messages, and unreachable members."""

import socket
from collections.abc import Iterator

import pytest

from quincepath.fleet.messages import MAX_FRAME_BYTES, ExchangeRequest, pack
from quincepath.fleet.transport import LENGTH_PREFIX_BYTES, MAX_QUEUED_MESSAGES, Transport
from quincepath.fleet.view.core import CloseConnection, View
from quincepath.fleet.view.facts import Phase, ViewSettings
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream
from tests.standins.ports import free_ports

MAX_WAIT_S = 20.0


class Pair:
    """Two members on one loop, in real time."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.ports = free_ports(2)
        self.places = {f"b{n}": ("127.0.0.1", port) for n, port in enumerate(self.ports)}
        self.transports: dict[str, Transport] = {}
        self.log_messages: list[bytes] = []

    def start(self, name: str) -> Transport:
        other = "b1" if name == "b0" else "b0"
        view = View(ViewSettings("lab", name, (other,)), 5 + int(name[1:]), 1, self.loop.clock())
        port = self.places[name][1]
        transport = self.transports[name] = Transport(
            self.loop, view, self.places, "127.0.0.1", port, lambda notice: None
        )
        transport.on_log_message = self.log_messages.append
        return transport

    def until(self, true: object) -> None:
        assert callable(true) and self.loop.run_until(true, MAX_WAIT_S), "condition not met in time"


@pytest.fixture
def pair() -> Iterator[Pair]:
    world = Pair()
    yield world
    for transport in world.transports.values():
        transport.close()
    world.loop.close()


def test_two_members_find_each_other_over_sockets(pair: Pair) -> None:
    one, two = pair.start("b0"), pair.start("b1")
    pair.until(lambda: one.view.own.phase is two.view.own.phase is Phase.ALIVE)
    pair.until(lambda: one.view.table.digest == two.view.table.digest)
    assert {belief.name for belief in one.view.table.all()} == {"b0", "b1"}


def test_an_invalid_message_is_dropped_and_its_connection_closed(pair: Pair) -> None:
    one = pair.start("b0")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"nonsense", pair.places["b0"])
        pair.until(lambda: one.view.dropped["unreadable"] == 1)
    for first, cause in (
        ((MAX_FRAME_BYTES + 1).to_bytes(LENGTH_PREFIX_BYTES), "too large"),
        ((3).to_bytes(LENGTH_PREFIX_BYTES) + b"abc", "unreadable"),
    ):
        before = one.view.dropped[cause]
        with socket.create_connection(pair.places["b0"]) as sock:
            sock.setblocking(False)
            sock.sendall(first)
            pair.until(lambda c=cause, n=before: one.view.dropped[c] == n + 1)

            def closed(sock: socket.socket = sock) -> bool:
                try:
                    return sock.recv(10) == b""
                except BlockingIOError:
                    return False

            pair.until(closed)


def test_a_message_received_byte_by_byte_is_one_message(pair: Pair) -> None:
    pair.start("b0")
    view = View(ViewSettings("lab", "b1", ("b0",)), 9, 1, pair.loop.clock())
    me = view.own.belief(0).to_state(0)
    data = pack("lab", "b0", me, 1, 1, ExchangeRequest())
    with socket.create_connection(pair.places["b0"]) as sock:
        for byte in len(data).to_bytes(LENGTH_PREFIX_BYTES) + data:
            sock.sendall(bytes([byte]))
            pair.loop.turn(0.001)
        sock.setblocking(False)
        answer = bytearray()

        def answered() -> bool:
            try:
                answer.extend(sock.recv(65536))
            except BlockingIOError:
                pass
            return len(answer) > LENGTH_PREFIX_BYTES

        pair.until(answered)
        assert pair.transports["b0"].view.dropped == {}


def test_messages_of_the_log_are_queued_for_a_connection_and_may_be_lost(pair: Pair) -> None:
    one = pair.start("b0")
    for number in range(MAX_QUEUED_MESSAGES + 10):
        one.send_log_message("b1", b"%d" % number)
    pair.loop.run_until(lambda: False, 0.6)  # nothing listens: dialled, refused, and not redialled at once
    assert pair.log_messages == []
    pair.start("b1")
    for _ in range(200):
        one.send_log_message("b1", b"now")
        if pair.loop.run_until(lambda: b"now" in pair.log_messages, 0.05):
            break
    assert b"now" in pair.log_messages and len(pair.log_messages) <= MAX_QUEUED_MESSAGES + 201
    one.send_log_message("nobody", b"x")
    one.send_log_message("b1", b"x" * (MAX_FRAME_BYTES + 1))
    one.send_log_message("b1", b"last")
    pair.until(lambda: pair.log_messages[-1] == b"last")


def test_an_unreachable_member_or_a_lost_connection_is_reported(pair: Pair) -> None:
    one = pair.start("b0")
    lost: list[str] = []
    one.on_connection_lost = lost.append
    one.send_log_message("b1", b"x")
    pair.until(lambda: lost == ["b1"])  # refused
    two = pair.start("b1")

    def arrived() -> bool:
        one.send_log_message("b1", b"y")
        return b"y" in pair.log_messages

    pair.until(arrived)
    lost.clear()
    two.close()
    pair.until(lambda: "b1" in lost)  # without sending to it
    del pair.transports["b1"]


def test_a_member_whose_datagrams_are_lost_is_probed_over_tcp_and_suspected_only_once_it_has_ended(
    pair: Pair,
) -> None:
    one, two = pair.start("b0"), pair.start("b1")
    pair.until(lambda: one.view.own.phase is two.view.own.phase is Phase.ALIVE)
    two._send_udp = lambda to, data, kind="": None  # type: ignore[method-assign]
    asked = one.view.exchanges.opened_count
    pair.until(
        lambda: one.view.exchanges.opened_count >= asked + 5
    )  # at least four probes without an answering datagram
    assert [change.now for change in one.view.table.history if change.name == "b1"][-1] == "alive"
    two.close()
    pair.until(lambda: one.view.table.beliefs["b1"].phase is Phase.DEAD)
    pair.until(lambda: len(one._connections) == 0)  # refused, and closed
    del pair.transports["b1"]


def test_a_member_whose_datagrams_are_lost_is_suspected_without_a_tcp_probe(pair: Pair) -> None:
    one, two = pair.start("b0"), pair.start("b1")
    pair.until(lambda: one.view.own.phase is two.view.own.phase is Phase.ALIVE)
    for transport in (one, two):
        transport.view._ping_by_connection = lambda probe: None  # type: ignore[method-assign]
    two._send_udp = lambda to, data, kind="": None  # type: ignore[method-assign]
    pair.until(lambda: one.view.table.beliefs["b1"].phase is Phase.SUSPECT)


def test_a_probe_connection_closes_with_its_probe_while_still_dialling(pair: Pair) -> None:
    one = pair.start("b0")
    one._open_connection(7, "b1")  # nothing listens there
    one._send_frame(7, b"a ping")
    one._carry_out(CloseConnection(7, True))
    assert 7 not in one._connections


def test_a_connection_reset_at_its_first_message_loses_the_queued_messages_only(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: a broker crashed when the member that it dialled was killed while accepting."""
    one = pair.start("b0")
    pair.start("b1")
    lost: list[str] = []
    one.on_connection_lost = lost.append
    monkeypatch.setattr(Stream, "write", lambda self, data: self.fail("reset"))
    one.send_log_message("b1", b"first")
    one.send_log_message("b1", b"second")
    pair.until(lambda: lost == ["b1"])
    monkeypatch.undo()

    def arrived() -> bool:
        one.send_log_message("b1", b"again")
        return b"again" in pair.log_messages

    pair.until(arrived)
