"""One turn of the loop is bounded in time, whatever sockets have ready, and all of them get their turn."""

import socket
from collections import Counter
from collections.abc import Callable, Iterator

import pytest

from quincepath.net.loop import MAX_SOCKETS_NS, READ, Loop
from quincepath.net.socket_turns import FADE_INTERVAL_NS, SocketTurns

MS = 1_000_000
COSTLY = 100  # sockets
COST_NS = 5 * MS  # of each read of one of them


class Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.at = 1000 * MS

    def __call__(self) -> int:
        return self.at


class Sockets:
    """Pairs of sockets on one loop, whose reads take time."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.served: Counter[str] = Counter()
        self.served_at: dict[str, int] = {}

    def add(self, name: str, cost: int, ready: bool = True) -> Callable[[], None]:
        """A socket that stays ready, or is made ready once by each call of what is returned."""
        near, far = socket.socketpair()
        self.pairs.append((near, far))

        def read(_: int) -> None:
            self.clock.at += cost
            self.served[name] += 1
            self.served_at[name] = self.clock.at
            if not ready:
                near.recv(1)

        self.loop.watch(near, READ, read)
        if ready:
            far.sendall(b"x")
        return lambda: far.sendall(b"x")

    def close(self) -> None:
        for pair in self.pairs:
            for sock in pair:
                sock.close()
        self.loop.close()


@pytest.fixture
def sockets() -> Iterator[Sockets]:
    made = Sockets()
    yield made
    made.close()


def test_timers_and_hooks_run_in_time_however_many_sockets_are_ready(sockets: Sockets) -> None:
    """A turn took seconds under hundreds of clients, and deadlines are kept by timers and hooks."""
    for number in range(COSTLY):
        sockets.add(f"costly {number}", COST_NS)
    ran: list[int] = []
    hooked: list[int] = []
    sockets.loop.turn_hooks.append(lambda: hooked.append(sockets.clock.at))
    due = sockets.clock.at + 10 * MS
    sockets.loop.call_at(due, lambda: ran.append(sockets.clock.at))
    for _ in range(10):
        sockets.loop.turn(0)
    longest = MAX_SOCKETS_NS + COST_NS
    assert ran and ran[0] - due <= 2 * longest
    assert all(after - before <= longest for before, after in zip(hooked, hooked[1:], strict=False))
    assert sockets.loop.longest_sockets <= longest


def test_a_socket_that_takes_little_is_served_before_those_that_took_much(sockets: Sockets) -> None:
    for number in range(COSTLY):
        sockets.add(f"costly {number}", COST_NS)
    usual = sockets.add("usual", 0, ready=False)
    for _ in range(2 * COSTLY):
        sockets.loop.turn(0)
    for count in range(1, 10):
        usual()
        began = sockets.clock.at
        for _ in range(2):
            sockets.loop.turn(0)
        assert (
            sockets.served["usual"] == count
            and sockets.served_at["usual"] - began <= MAX_SOCKETS_NS + COST_NS
        )


def test_no_socket_waits_for_good(sockets: Sockets) -> None:
    for number in range(COSTLY):
        sockets.add(f"costly {number}", COST_NS * (1 + number % 3))
    for _ in range(3 * COSTLY):
        sockets.loop.turn(0)
    counts = [sockets.served[f"costly {number}"] for number in range(COSTLY)]
    assert min(counts) > 0


def test_sockets_that_wait_for_the_next_turn_count_as_unread_since_they_were_ready(sockets: Sockets) -> None:
    """The time of a client's request runs while it waits."""
    for number in range(COSTLY):
        sockets.add(f"costly {number}", COST_NS)
    began = sockets.clock.at
    for _ in range(5):
        sockets.loop.turn(0)
    assert sockets.loop.lag >= sockets.loop.now - began


def test_few_ready_sockets_are_served_in_the_order_of_the_wait(sockets: Sockets) -> None:
    for number in range(4):
        sockets.add(str(number), 1 * MS)
    for _ in range(5):
        sockets.loop.turn(0)
    assert set(sockets.served.values()) == {5}


def test_time_taken_fades() -> None:
    turns = SocketTurns()
    turns.fade(0)
    turns.add("a", 8 * MS)
    turns.begin("b", 4 * MS)
    turns.fade(FADE_INTERVAL_NS - 1)
    assert (turns.taken("a"), turns.taken("b")) == (8 * MS, 4 * MS)
    turns.fade(FADE_INTERVAL_NS)
    assert (turns.taken("a"), turns.taken("b")) == (4 * MS, 2 * MS)
    for interval in range(2, 20):
        turns.fade(interval * FADE_INTERVAL_NS)
    assert not turns.taken("a") and not turns._taken
    turns.add("a", MS)
    turns.forget("a")
    assert not turns.taken("a")
