"""The log's leader and those that follow it, and a voter's store: processor time and bytes, without sockets.

A broker that is no voter asks twice a second for what is new, all of them the same voter; each commit is told
to all that asked of late. The store is on the disk of the machine that measures.
"""

import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

from benchmarks.capacity.limits import broker_names, leader
from benchmarks.capacity.measuring import Measured, fact, processor_seconds, repeated, series
from benchmarks.capacity.results import Point
from quincepath.fleet.consensus.core import MAX_LEARNERS, Persist, Propose, Received, Send, Voter
from quincepath.fleet.consensus.entries import Entry, initial_state
from quincepath.fleet.consensus.envelope import pack, unpack
from quincepath.fleet.consensus.messages import LearnerPoll
from quincepath.fleet.permits import Begun, Grant, encode
from quincepath.fleet.replicated_log import POLL_INTERVAL_NS
from quincepath.store.consensus import ConsensusStore

SIZES = (50, 100, 250, 500, MAX_LEARNERS)
COMMITS = 5  # of one timing
ENTRIES = (100, 250, 500, 1000)  # in one store
SECOND = 1_000_000_000
IP_AND_TCP = 52  # bytes of headers, with the time stamp option, and of one acknowledgement's share
FLEET = "fleet"
COMMAND = encode(Begun("0123456789abcdef", "operator", 1_790_000_000_000, "s-00000001"))


class Leader:
    """A voter that leads, and so many that follow it."""

    def __init__(self, followers: int) -> None:
        self.keeper: Voter = leader()
        self.names = broker_names(followers + 1)[1:]
        self.applied = self.keeper.applied_index
        self.sent = self.received = 0
        self.commands = 1
        self.ask_all()

    def ask_all(self) -> None:
        """Each asks once, from the bytes that came to the bytes that go out."""
        for name in self.names:
            data = pack(FLEET, name, self.keeper.name, 0, LearnerPoll(self.applied))
            post, body = unpack(data, FLEET, self.keeper.name)
            assert isinstance(body, LearnerPoll)
            self.received += len(data) + IP_AND_TCP
            self._send(self.keeper.step(self.keeper.now, [Received(post.sender, post.epoch, body)]))

    def commit(self) -> None:
        """One command, told to all."""
        self.commands += 1
        command = encode(Grant(f"id{self.commands}", "operator", self.commands, "s-00000001", "drain", 1))
        self._send(self.keeper.step(self.keeper.now, [Propose(self.commands, command)]))
        self.applied = self.keeper.applied_index

    def _send(self, outs: Iterable[object]) -> None:
        for out in outs:
            if isinstance(out, Send):
                self.sent += len(pack(FLEET, self.keeper.name, out.to, 1, out.message)) + IP_AND_TCP


def _ask_seconds(followers: int) -> float:
    """Processor time of all asks of a second."""
    held = Leader(followers)
    return processor_seconds(held.ask_all) * SECOND / POLL_INTERVAL_NS


def _commit_seconds(followers: int) -> float:
    held = Leader(followers)

    def play() -> None:
        for _ in range(COMMITS):
            held.commit()

    return processor_seconds(play) / COMMITS


def _ask_bytes(followers: int) -> float:
    """A second, both ways."""
    held = Leader(followers)
    before = held.sent + held.received
    held.ask_all()
    return (held.sent + held.received - before) * SECOND / POLL_INTERVAL_NS


def _commit_bytes(followers: int) -> float:
    held = Leader(followers)
    before = held.sent
    held.commit()
    return float(held.sent - before)


def _store_seconds(entries: int) -> float:
    """Processor time of so many entries written and synced one by one."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "store"
        store = ConsensusStore(path, FLEET, "broker-0000", initial_state(("broker-0000",)), check=False)
        try:

            def play() -> None:
                for index in range(1, entries + 1):
                    store.write(Persist(1, "broker-0000", 0, (Entry(index, 1, COMMAND),)))

            return processor_seconds(play)
        finally:
            store.close()


def _exact(sizes: tuple[int, ...], count: Callable[[int], float]) -> tuple[Point, ...]:
    return tuple(Point(size, (count(size),)) for size in sizes)


def measure() -> Measured:
    """The leader by its followers, one follower, and a voter's store."""
    note = f"up to the {MAX_LEARNERS} followers that the code takes"
    return (
        series("asks of a second", "s", "followers", repeated(SIZES, _ask_seconds), note=note),
        series("one commit", "s", "followers", repeated(SIZES, _commit_seconds), note=note),
        series("bytes of a second's asks", "bytes", "followers", _exact(SIZES, _ask_bytes), note=note),
        series("bytes of one commit", "bytes", "followers", _exact(SIZES, _commit_bytes), note=note),
        series("store", "s", "entries", repeated(ENTRIES, _store_seconds, 3)),
    ), (fact("bytes of an entry", "bytes", len(COMMAND)),)
