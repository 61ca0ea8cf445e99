"""The in-memory network behaves like the kernel's: most cases run on both."""

import errno
import selectors
import socket
import struct
from collections.abc import Callable

import pytest

from quincepath.lab.memory_network import MemoryNetwork, registry, sockets
from quincepath.lab.memory_network.registry import Registry, SocketType
from quincepath.net.loop import READ, WRITE
from quincepath.net.system import System

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_WAIT_S = 5.0  # for the kernel to report readiness


@pytest.fixture(params=["kernel", "memory"])
def system(request: pytest.FixtureRequest) -> System:
    return System() if request.param == "kernel" else MemoryNetwork(1, lambda: 0)


def wait(system: System, sock: socket.socket, events: int) -> int:
    """The ready mask that a selector reports; 0 if none in time."""
    with system.selector() as selector:
        selector.register(sock, events)
        ready = selector.select(MAX_WAIT_S)
        return ready[0][1] if ready else 0


def not_ready(system: System, sock: socket.socket, events: int) -> bool:
    with system.selector() as selector:
        selector.register(sock, events)
        return not selector.select(0.05)


def errno_of(call: Callable[[], object]) -> int:
    with pytest.raises(OSError) as raised:
        call()
    return raised.value.errno or 0


def connect(system: System, address: tuple[str, int]) -> socket.socket:
    sock = system.stream_socket()
    sock.setblocking(False)
    assert sock.connect_ex(address) in (0, errno.EINPROGRESS)
    return sock


def connected_pair(system: System) -> tuple[socket.socket, socket.socket]:
    """Both ends of a new connection."""
    listener = system.listening_socket(HOST, 0, 8)
    listener.setblocking(False)
    near = connect(system, listener.getsockname())
    assert wait(system, near, WRITE) == WRITE and wait(system, listener, READ) == READ
    assert near.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    far, address = listener.accept()
    far.setblocking(False)
    assert address == near.getsockname() == far.getpeername()
    assert near.getpeername() == listener.getsockname()
    listener.close()
    return near, far


def close(*ends: socket.socket) -> None:
    for end in ends:
        end.close()
        end.close()
        assert end.fileno() == -1


def test_bytes_arrive_in_order_and_a_peek_leaves_them(system: System) -> None:
    near, far = connected_pair(system)
    assert errno_of(lambda: far.recv(10)) == errno.EAGAIN and not_ready(system, far, READ)
    assert near.send(b"one") == 3 and near.send(memoryview(b"two")) == 3
    assert wait(system, far, READ | WRITE) == READ | WRITE
    buffer = memoryview(bytearray(4))
    assert far.recv(2, socket.MSG_PEEK) == b"on"
    assert far.recv_into(buffer) == 4 and bytes(buffer) == b"onet"
    assert far.recv(10) == b"wo"
    close(near, far)


def test_a_half_closed_end_still_receives(system: System) -> None:
    near, far = connected_pair(system)
    near.send(b"last")
    near.shutdown(socket.SHUT_WR)
    assert errno_of(lambda: near.send(b"x")) == errno.EPIPE
    assert wait(system, far, READ) == READ
    assert far.recv(10) == b"last" and far.recv(10) == b"" and far.recv(10) == b""
    assert far.send(b"answer") == 6 and wait(system, near, READ) == READ
    assert near.recv(10) == b"answer"
    close(far, near)


def test_closing_with_all_input_read_ends_the_stream_and_later_sends_are_reset(system: System) -> None:
    near, far = connected_pair(system)
    near.send(b"bye")
    near.close()
    assert wait(system, far, READ) == READ
    assert far.recv(10) == b"bye" and far.recv(10) == b""
    assert far.send(b"late") == 4
    assert wait(system, far, READ) == READ
    assert errno_of(lambda: far.send(b"x")) in (errno.ECONNRESET, errno.EPIPE)
    assert errno_of(lambda: far.send(b"x")) == errno.EPIPE
    assert errno_of(lambda: far.shutdown(socket.SHUT_WR)) == errno.ENOTCONN
    close(far)


@pytest.mark.parametrize("how", ["linger", "unread"])
def test_closing_with_unread_bytes_or_zero_linger_resets(system: System, how: str) -> None:
    near, far = connected_pair(system)
    if how == "linger":
        near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    else:
        far.send(b"never read")
        assert wait(system, near, READ) == READ
    near.close()
    assert wait(system, far, READ) == READ
    assert errno_of(lambda: far.recv(10)) == errno.ECONNRESET
    assert far.recv(10) == b""
    assert errno_of(lambda: far.send(b"x")) == errno.EPIPE
    close(far)


def test_a_full_receive_buffer_blocks_the_writer_until_it_is_read(system: System) -> None:
    near, far = connected_pair(system)
    sent, chunk = 0, bytes(1 << 16)
    with pytest.raises(BlockingIOError):
        while sent < 1 << 26:
            sent += near.send(chunk)
    assert not_ready(system, near, WRITE)
    received, buffer = 0, memoryview(bytearray(1 << 16))
    while received < sent:
        assert wait(system, far, READ) == READ
        received += far.recv_into(buffer)
    assert wait(system, near, WRITE) == WRITE
    close(near, far)


def test_connecting_without_a_listener_is_refused(system: System) -> None:
    listener = system.listening_socket(HOST, 0, 8)
    address = listener.getsockname()
    listener.close()
    sock = connect(system, address)
    assert wait(system, sock, WRITE) == WRITE
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    blocking = system.stream_socket()
    assert errno_of(lambda: blocking.connect(address)) == errno.ECONNREFUSED
    close(sock, blocking)


def test_closing_a_listener_resets_queued_connections(system: System) -> None:
    listener = system.listening_socket(HOST, 0, 8)
    near = connect(system, listener.getsockname())
    assert wait(system, near, WRITE) == WRITE
    near.send(b"request")
    listener.close()
    assert wait(system, near, READ) == READ
    assert errno_of(lambda: near.recv(10)) == errno.ECONNRESET
    close(near)


def test_an_address_is_in_use_until_its_listener_closes(system: System) -> None:
    listener = system.listening_socket(HOST, 0, 8)
    port = listener.getsockname()[1]
    assert errno_of(lambda: system.listening_socket(HOST, port, 8)) == errno.EADDRINUSE
    other = system.listening_socket("127.0.0.2", port, 8)
    listener.close()
    close(system.listening_socket(HOST, port, 8), other)


def test_datagrams_arrive_whole_and_in_order_or_are_lost(system: System) -> None:
    receiver, sender = system.datagram_socket(), system.datagram_socket()
    receiver.setblocking(False)
    receiver.bind((HOST, 0))
    assert errno_of(lambda: sender.bind(receiver.getsockname())) == errno.EADDRINUSE
    assert errno_of(lambda: receiver.recv(10)) == errno.EAGAIN
    assert (
        sender.sendto(b"first", receiver.getsockname())
        == 5
        == sender.sendto(b"next!", receiver.getsockname())
    )
    assert wait(system, receiver, READ) == READ
    assert receiver.recv(3) == b"fir"
    buffer = memoryview(bytearray(9))
    assert receiver.recv_into(buffer) == 5 and bytes(buffer[:5]) == b"next!"
    assert errno_of(lambda: sender.sendto(bytes(65_508), receiver.getsockname())) == errno.EMSGSIZE
    address = receiver.getsockname()
    receiver.close()
    assert sender.sendto(b"lost", address) == 4
    close(receiver, sender)


def test_datagrams_beyond_the_receive_buffer_are_dropped(system: System) -> None:
    receiver, sender = system.datagram_socket(), system.datagram_socket()
    receiver.setblocking(False)
    receiver.bind((HOST, 0))
    for _ in range(100):
        sender.sendto(bytes(60_000), receiver.getsockname())
    received = 0
    with pytest.raises(BlockingIOError):
        while received < 100:
            received += len(receiver.recv(65_535)) == 60_000
    assert 1 <= received < 100
    close(receiver, sender)


def test_connects_wait_while_the_backlog_is_full() -> None:
    network = MemoryNetwork(1, lambda: 0)
    listener = network.listening_socket(HOST, 0, 1)
    first, second = connect(network, listener.getsockname()), connect(network, listener.getsockname())
    assert wait(network, first, WRITE) == WRITE and not_ready(network, second, READ | WRITE)
    assert errno_of(lambda: network.stream_socket().connect(listener.getsockname())) == errno.ETIMEDOUT
    close(first, second, listener)


def test_socket_and_port_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "MAX_SOCKETS", 3)
    network = MemoryNetwork(1, lambda: 0)
    kept = [network.datagram_socket() for _ in range(3)]
    assert errno_of(network.stream_socket) == errno.EMFILE
    kept[0].close()
    monkeypatch.setattr(registry, "LAST_PORT", registry.FIRST_PORT)
    listener = network.listening_socket(HOST, 0, 1)
    listener.close()
    kept[1].bind((HOST, 0))
    assert errno_of(lambda: kept[2].bind((HOST, 0))) == errno.EADDRINUSE


def test_a_selector_registers_only_open_sockets_and_each_once() -> None:
    network = MemoryNetwork(1, lambda: 0)
    sock, selector = network.datagram_socket(), network.selector()
    with pytest.raises(KeyError):
        selector.modify(sock, READ)
    selector.register(sock, WRITE, "mine")
    with pytest.raises(KeyError):
        selector.register(sock, WRITE)
    assert [(key.data, mask) for key, mask in selector.select()] == [("mine", WRITE)]
    assert selector.unregister(sock).fd == sock.fileno() and selector.select() == []
    sock.close()
    with pytest.raises(ValueError, match="open socket"):
        selector.register(sock, READ)


def test_readiness_is_reported_in_the_order_of_the_sockets() -> None:
    network = MemoryNetwork(1, lambda: 0)
    made = [network.datagram_socket() for _ in range(5)]
    selector = network.selector()
    for sock in reversed(made):
        sock.bind((HOST, 0))
        selector.register(sock, READ)
    for sock in (made[3], made[0], made[4]):
        made[1].sendto(b"x", sock.getsockname())
    assert [key.fileobj for key, _ in selector.select()] == [made[0], made[3], made[4]]
    assert isinstance(selector, selectors.BaseSelector)


def test_entropy_follows_the_seed_and_the_wall_clock_follows_the_loop() -> None:
    one, same, other = (MemoryNetwork(seed, lambda: 5) for seed in (1, 1, 2))
    assert one.entropy(16) == same.entropy(16) != other.entropy(16)
    assert one.wall_ns() == same.wall_ns() == one.wall_ms() * 1_000_000 + 5
    assert Registry().lookup(SocketType.STREAM, (HOST, 1)) is None and sockets.LOOPBACK == HOST
