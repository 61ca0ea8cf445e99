"""The in-memory network behaves as the kernel's: each case is played on both."""

import errno
import selectors
import socket
import struct
from collections.abc import Callable

import pytest

from quincepath.lab.memory_network import MemoryNetwork, registry, sockets
from quincepath.lab.memory_network.registry import Kind, Registry
from quincepath.net.loop import READ, WRITE
from quincepath.net.system import System

HERE = "127.0.0.1"
LINGER = struct.pack("ii", 1, 0)
LONGEST = 5.0  # seconds until the kernel must have told


@pytest.fixture(params=["kernel", "memory"])
def system(request: pytest.FixtureRequest) -> System:
    return System() if request.param == "kernel" else MemoryNetwork(1, lambda: 0)


def wait(system: System, sock: socket.socket, events: int) -> int:
    """The mask that a selector tells; 0 if nothing comes of it."""
    with system.selector() as selector:
        selector.register(sock, events)
        found = selector.select(LONGEST)
        return found[0][1] if found else 0


def nothing(system: System, sock: socket.socket, events: int) -> bool:
    with system.selector() as selector:
        selector.register(sock, events)
        return not selector.select(0.05)


def code_of(call: Callable[[], object]) -> int:
    with pytest.raises(OSError) as told:
        call()
    return told.value.errno or 0


def dial(system: System, address: tuple[str, int]) -> socket.socket:
    sock = system.stream_socket()
    sock.setblocking(False)
    assert sock.connect_ex(address) in (0, errno.EINPROGRESS)
    return sock


def pair(system: System) -> tuple[socket.socket, socket.socket]:
    """Two ends of a connection."""
    listener = system.listening_socket(HERE, 0, 8)
    listener.setblocking(False)
    near = dial(system, listener.getsockname())
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


def test_bytes_come_in_order_and_are_left_by_a_look(system: System) -> None:
    near, far = pair(system)
    assert code_of(lambda: far.recv(10)) == errno.EAGAIN and nothing(system, far, READ)
    assert near.send(b"one") == 3 and near.send(memoryview(b"two")) == 3
    assert wait(system, far, READ | WRITE) == READ | WRITE
    room = memoryview(bytearray(4))
    assert far.recv(2, socket.MSG_PEEK) == b"on"
    assert far.recv_into(room) == 4 and bytes(room) == b"onet"
    assert far.recv(10) == b"wo"
    close(near, far)


def test_an_end_that_says_no_more_still_hears(system: System) -> None:
    near, far = pair(system)
    near.send(b"last")
    near.shutdown(socket.SHUT_WR)
    assert code_of(lambda: near.send(b"x")) == errno.EPIPE
    assert wait(system, far, READ) == READ
    assert far.recv(10) == b"last" and far.recv(10) == b"" and far.recv(10) == b""
    assert far.send(b"answer") == 6 and wait(system, near, READ) == READ
    assert near.recv(10) == b"answer"
    close(far, near)


def test_a_close_with_all_read_is_an_end_and_what_is_then_sent_a_reset(system: System) -> None:
    near, far = pair(system)
    near.send(b"bye")
    near.close()
    assert wait(system, far, READ) == READ
    assert far.recv(10) == b"bye" and far.recv(10) == b""
    assert far.send(b"late") == 4
    assert wait(system, far, READ) == READ
    assert code_of(lambda: far.send(b"x")) in (errno.ECONNRESET, errno.EPIPE)
    assert code_of(lambda: far.send(b"x")) == errno.EPIPE
    assert code_of(lambda: far.shutdown(socket.SHUT_WR)) == errno.ENOTCONN
    close(far)


@pytest.mark.parametrize("how", ["linger", "unread"])
def test_a_close_over_unread_bytes_or_without_linger_is_a_reset(system: System, how: str) -> None:
    near, far = pair(system)
    if how == "linger":
        near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    else:
        far.send(b"never read")
        assert wait(system, near, READ) == READ
    near.close()
    assert wait(system, far, READ) == READ
    assert code_of(lambda: far.recv(10)) == errno.ECONNRESET
    assert far.recv(10) == b""
    assert code_of(lambda: far.send(b"x")) == errno.EPIPE
    close(far)


def test_a_full_reader_stops_the_writer_until_it_reads(system: System) -> None:
    near, far = pair(system)
    sent, chunk = 0, bytes(1 << 16)
    with pytest.raises(BlockingIOError):
        while sent < 1 << 26:
            sent += near.send(chunk)
    assert nothing(system, near, WRITE)
    got, room = 0, memoryview(bytearray(1 << 16))
    while got < sent:
        assert wait(system, far, READ) == READ
        got += far.recv_into(room)
    assert wait(system, near, WRITE) == WRITE
    close(near, far)


def test_nobody_listens(system: System) -> None:
    listener = system.listening_socket(HERE, 0, 8)
    address = listener.getsockname()
    listener.close()
    sock = dial(system, address)
    assert wait(system, sock, WRITE) == WRITE
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    blocking = system.stream_socket()
    assert code_of(lambda: blocking.connect(address)) == errno.ECONNREFUSED
    close(sock, blocking)


def test_who_waits_at_a_listener_that_closes_is_reset(system: System) -> None:
    listener = system.listening_socket(HERE, 0, 8)
    near = dial(system, listener.getsockname())
    assert wait(system, near, WRITE) == WRITE
    near.send(b"request")
    listener.close()
    assert wait(system, near, READ) == READ
    assert code_of(lambda: near.recv(10)) == errno.ECONNRESET
    close(near)


def test_a_listeners_address_is_taken_until_it_closes(system: System) -> None:
    listener = system.listening_socket(HERE, 0, 8)
    port = listener.getsockname()[1]
    assert code_of(lambda: system.listening_socket(HERE, port, 8)) == errno.EADDRINUSE
    other = system.listening_socket("127.0.0.2", port, 8)
    listener.close()
    close(system.listening_socket(HERE, port, 8), other)


def test_datagrams_come_whole_in_order_or_not_at_all(system: System) -> None:
    one, other = system.datagram_socket(), system.datagram_socket()
    one.setblocking(False)
    one.bind((HERE, 0))
    assert code_of(lambda: other.bind(one.getsockname())) == errno.EADDRINUSE
    assert code_of(lambda: one.recv(10)) == errno.EAGAIN
    assert other.sendto(b"first", one.getsockname()) == 5 == other.sendto(b"next!", one.getsockname())
    assert wait(system, one, READ) == READ
    assert one.recv(3) == b"fir"
    room = memoryview(bytearray(9))
    assert one.recv_into(room) == 5 and bytes(room[:5]) == b"next!"
    assert code_of(lambda: other.sendto(bytes(65_508), one.getsockname())) == errno.EMSGSIZE
    address = one.getsockname()
    one.close()
    assert other.sendto(b"lost", address) == 4
    close(one, other)


def test_more_datagrams_than_there_is_room_for_are_dropped(system: System) -> None:
    one, other = system.datagram_socket(), system.datagram_socket()
    one.setblocking(False)
    one.bind((HERE, 0))
    for _ in range(100):
        other.sendto(bytes(60_000), one.getsockname())
    got = 0
    with pytest.raises(BlockingIOError):
        while got < 100:
            got += len(one.recv(65_535)) == 60_000
    assert 1 <= got < 100
    close(one, other)


def test_a_full_backlog_leaves_who_comes_waiting() -> None:
    network = MemoryNetwork(1, lambda: 0)
    listener = network.listening_socket(HERE, 0, 1)
    first, second = dial(network, listener.getsockname()), dial(network, listener.getsockname())
    assert wait(network, first, WRITE) == WRITE and nothing(network, second, READ | WRITE)
    assert code_of(lambda: network.stream_socket().connect(listener.getsockname())) == errno.ETIMEDOUT
    close(first, second, listener)


def test_too_many_sockets_and_too_many_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "MOST_SOCKETS", 3)
    network = MemoryNetwork(1, lambda: 0)
    kept = [network.datagram_socket() for _ in range(3)]
    assert code_of(network.stream_socket) == errno.EMFILE
    kept[0].close()
    monkeypatch.setattr(registry, "LAST_PORT", registry.FIRST_PORT)
    listener = network.listening_socket(HERE, 0, 1)
    listener.close()
    kept[1].bind((HERE, 0))
    assert code_of(lambda: kept[2].bind((HERE, 0))) == errno.EADDRINUSE


def test_a_selector_takes_only_open_sockets_of_its_network_once() -> None:
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


def test_readiness_is_told_in_the_order_of_the_sockets() -> None:
    network = MemoryNetwork(1, lambda: 0)
    made = [network.datagram_socket() for _ in range(5)]
    selector = network.selector()
    for sock in reversed(made):
        sock.bind((HERE, 0))
        selector.register(sock, READ)
    for sock in (made[3], made[0], made[4]):
        made[1].sendto(b"x", sock.getsockname())
    assert [key.fileobj for key, _ in selector.select()] == [made[0], made[3], made[4]]
    assert isinstance(selector, selectors.BaseSelector)


def test_the_same_seed_gives_the_same_entropy_and_the_wall_clock_follows_the_loops() -> None:
    one, same, other = (MemoryNetwork(seed, lambda: 5) for seed in (1, 1, 2))
    assert one.entropy(16) == same.entropy(16) != other.entropy(16)
    assert one.wall_ns() == same.wall_ns() == one.wall_ms() * 1_000_000 + 5
    assert Registry().bound(Kind.STREAM, (HERE, 1)) is None and sockets.LOOPBACK == HERE
