"""The keepers' log: nothing committed is lost, whatever is lost, doubled, late, and whoever crashes.

Every keeper's disk is a copy that changes by ``Persist`` alone; a crash may come between any two outputs.
"""

import copy
import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quincepath.fleet.consensus import core
from quincepath.fleet.consensus.core import (
    ChangeVoters,
    ConsensusSettings,
    Done,
    Input,
    Learner,
    Notice,
    Output,
    Persist,
    Propose,
    ReadIndex,
    Received,
    Refused,
    Role,
    Send,
    Voter,
)  # fmt: skip
from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, Entry, StableState, initial_state
from quincepath.fleet.consensus.messages import (
    SNAPSHOT_CHUNK_BYTES,
    AppendRequest,
    AppendResponse,
    LearnerEntries,
    LearnerSnapshotChunk,
    Message,
    ProposalRequest,
    ProposalResponse,
    SnapshotChunk,
    VoteRequest,
    VoteResponse,
)  # fmt: skip

MS = 1_000_000
SECOND = 1000 * MS
TIMES = ConsensusSettings()


class Lines:
    """A machine that keeps what was committed, a command after the other."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def apply(self, entry: Entry) -> None:
        self.lines.append(entry.data)

    def dump(self) -> bytes:
        return b"\n".join(self.lines)

    def load(self, data: bytes) -> None:
        self.lines = data.split(b"\n") if data else []


def write(disk: StableState, order: Persist) -> None:
    """What a store does with ``Persist``."""
    disk.term, disk.vote = order.term, order.vote
    if order.snapshot is not None:
        disk.log.snapshot = order.snapshot
        disk.log.entries = list(order.entries)
        return
    if order.truncate_from:
        disk.log.truncate(order.truncate_from)
    for entry in order.entries:
        disk.log.truncate(entry.index)
        assert entry.index == disk.log.last_index + 1, "a hole in the log on disk"
        disk.log.entries.append(entry)


class World:
    """Keepers, their disks, and what is on its way between them."""

    def __init__(self, count: int, seed: int = 1, times: ConsensusSettings = TIMES) -> None:
        self.now, self.seed, self.times = 0, seed, times
        self.names = tuple(f"k{n}" for n in range(count))
        self.disks = {name: initial_state(self.names) for name in self.names}
        self.up: dict[str, Voter] = {}
        self.flight: list[tuple[str, str, Message]] = []
        self.starts = 0
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.done: dict[int, int] = {}
        self.refused: list[Refused] = []
        self.told: list[Notice] = []
        self.reads: dict[int, int] = {}  # by id, what was committed when it was asked
        self.ids = 0
        self.followed: list[tuple[str, Message]] = []
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts += 1
        disk = self.disks[name]
        disk.epoch += 1
        self.up[name] = Voter(
            name, copy.deepcopy(disk), Lines(), self.seed * 1000 + self.starts, self.now, self.times
        )

    def step(self, name: str, inputs: list[Input], crash_after: int = -1) -> None:
        """One step; with ``crash_after`` only so many of its outputs are carried out, then it crashes."""
        keeper = self.up[name]
        for number, out in enumerate(keeper.step(self.now, inputs)):
            if number == crash_after:
                break
            self.carry_out(name, out)
        if crash_after >= 0:
            del self.up[name]
        else:
            assert self.disks[name].log.entries == keeper.log.entries, "not all is on disk after a step"
            assert (self.disks[name].term, self.disks[name].vote) == (keeper.stable.term, keeper.stable.vote)
        self.check()

    def carry_out(self, name: str, out: Output) -> None:
        match out:
            case Persist():
                write(self.disks[name], out)
            case Send(to, message):
                self.on_disk(name, to, message)
                if to in self.names:
                    self.flight.append((name, to, message))
                else:
                    self.followed.append((to, message))
            case Done(id, index):
                self.done[id] = index
                if id in self.reads:
                    assert index >= self.reads[id], "a read missed what had been committed before it"
            case Refused():
                self.refused.append(out)
            case Notice():
                self.told.append(out)

    def on_disk(self, name: str, to: str, message: Message) -> None:
        """What a message promises must be written when it leaves."""
        disk = self.disks[name]
        match message:
            case VoteResponse(term, True, False):
                assert (disk.term, disk.vote) == (term, to), "a vote left before it was on disk"
            case AppendResponse(_, True, match) | AppendRequest(_, match):
                assert match <= disk.log.last_index, "entries were confirmed or sent before they were on disk"
            case VoteRequest(term, _, _, False):
                assert (disk.term, disk.vote) == (term, name), "a candidacy left before it was on disk"

    def check(self) -> None:
        for name, keeper in self.up.items():
            if keeper.role == Role.LEADER:
                assert self.leaders.setdefault(keeper.stable.term, name) == name, "two leaders of one term"
            for index in range(keeper.log.snapshot.index + 1, keeper.commit_index + 1):
                entry = keeper.log.get(index)
                assert entry is not None
                known = self.committed.setdefault(index, (entry.term, entry.data))
                assert known == (entry.term, entry.data), f"{name}: another entry was committed at {index}"
        logs = [disk.log for disk in self.disks.values()]
        for one in logs:
            for other in logs:
                for index in range(min(one.last_index, other.last_index), 0, -1):
                    if one.term(index) is not None and one.term(index) == other.term(index):
                        for below in range(index, 0, -1):
                            mine, theirs = one.get(below), other.get(below)
                            if mine is None or theirs is None:
                                break
                            assert mine == theirs, (
                                "equal terms at an index, and different entries at or before"
                            )
                        break

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.flight[at] if keep else self.flight.pop(at)
        if to in self.up:
            self.step(to, [Received(sender, self.disks[sender].epoch, message)])

    def propose(self, name: str, data: bytes) -> int:
        self.ids += 1
        self.step(name, [Propose(self.ids, data)])
        return self.ids

    def read(self, name: str) -> int:
        self.ids += 1
        self.reads[self.ids] = max(self.committed, default=0)
        self.step(name, [ReadIndex(self.ids)])
        return self.ids

    def wake(self, name: str, by: int) -> None:
        """Time passes; one keeper is called as its timers want it."""
        self.now += by
        if name in self.up and self.up[name].due <= self.now:
            self.step(name, [])

    def sound(self, time: int, cut: tuple[str, ...] = ()) -> None:
        """A network without fault, but that some hear nothing and are not heard; a millisecond a way."""
        end = self.now + time
        while self.now < end:
            waiting, self.flight = self.flight, []
            for sender, to, message in waiting:
                if to in self.up and sender not in cut and to not in cut:
                    self.step(to, [Received(sender, self.disks[sender].epoch, message)])
            due = min((keeper.due for keeper in self.up.values()), default=end)
            self.now = self.now + MS if self.flight else max(self.now + MS, min(due, end))
            for name in list(self.up):
                if self.up[name].due <= self.now:
                    self.step(name, [])

    def leader(self) -> Voter:
        found = [keeper for keeper in self.up.values() if keeper.role == Role.LEADER]
        assert found, "nobody leads"
        return max(found, key=lambda keeper: keeper.stable.term)

    def settle(self) -> None:
        """All are up, the network is sound: there is a leader, it commits, all hold the same."""
        for name in self.names:
            if name not in self.up:
                self.start(name)
        self.sound(10 * SECOND)
        id = self.propose(self.leader().name, b"last")
        self.sound(2 * SECOND)
        assert id in self.done
        keepers = [keeper for name, keeper in self.up.items() if name in self.leader().voters]
        assert len({tuple(machine.lines) for k in keepers if isinstance(machine := k.machine, Lines)}) == 1
        assert len({keeper.commit_index for keeper in keepers}) == 1


def lines(keeper: Voter) -> list[bytes]:
    assert isinstance(keeper.machine, Lines)
    return keeper.machine.lines


def ready(count: int = 3, seed: int = 1, times: ConsensusSettings = TIMES) -> World:
    world = World(count, seed, times)
    world.sound(5 * SECOND)
    return world


# --- as it should go ---


def test_one_leads_and_what_it_commits_is_everywhere() -> None:
    world = ready(5)
    ids = [world.propose(world.leader().name, f"c{n}".encode()) for n in range(200)]
    world.sound(SECOND)
    assert all(id in world.done for id in ids)
    assert {tuple(lines(keeper)) for keeper in world.up.values()} == {
        tuple(f"c{n}".encode() for n in range(200))
    }
    assert len(world.leaders) == 1


def test_a_command_takes_two_ways_not_a_heartbeat() -> None:
    world = ready()
    id = world.propose(world.leader().name, b"x")
    world.sound(5 * MS)
    assert id in world.done


def test_a_leader_without_a_majority_steps_down_and_the_others_go_on() -> None:
    world = ready(5)
    old = world.leader()
    world.sound(10 * SECOND, cut=(old.name,))
    assert old.role != Role.LEADER and any("majority" in told.text for told in world.told)
    new = world.leader()
    assert new.name != old.name
    lost = world.propose(old.name, b"to nobody")
    assert world.refused[-1].id == lost
    id = world.propose(new.name, b"x")
    world.sound(SECOND, cut=(old.name,))
    assert id in world.done
    world.sound(3 * SECOND)
    assert lines(old) == [b"x"]


def test_a_minority_commits_nothing_and_its_proposal_may_be_void() -> None:
    world = ready(3)
    old = world.leader()
    id = world.propose(old.name, b"void")
    world.flight.clear()  # nobody hears of it
    world.sound(10 * SECOND, cut=(old.name,))
    assert id not in world.done and world.refused[-1].id == id
    world.propose(world.leader().name, b"kept")
    world.sound(2 * SECOND, cut=(old.name,))
    world.sound(5 * SECOND)
    assert {tuple(lines(keeper)) for keeper in world.up.values()} == {(b"kept",)}


def test_one_that_was_cut_off_does_not_depose_a_sound_leader_when_it_is_back() -> None:
    world = ready(5)
    leader, term = world.leader().name, world.leader().stable.term
    away = next(name for name in world.names if name != leader)
    world.sound(30 * SECOND, cut=(away,))
    world.sound(5 * SECOND)
    assert world.leader().name == leader and world.leader().stable.term == term


def test_a_read_is_answered_only_by_a_leader_that_a_majority_confirms() -> None:
    world = ready(3)
    leader = world.leader()
    world.propose(leader.name, b"x")
    world.sound(SECOND)
    id = world.read(leader.name)
    assert id not in world.done  # not before others have answered
    world.sound(SECOND)
    assert id in world.done
    late = world.read(leader.name)
    world.sound(10 * SECOND, cut=(leader.name,))
    assert late not in world.done and any(one.id == late for one in world.refused)
    follower = next(name for name in world.names if world.up[name].role != Role.LEADER)
    assert world.read(follower) == world.refused[-1].id


def test_an_entry_of_an_older_term_is_committed_only_through_one_of_the_own() -> None:
    world = World(3)
    keeper = world.up["k0"]
    old = Entry(1, 1, b"old")
    world.disks["k0"].log.entries.append(old)
    world.disks["k0"].term = 3
    world.up.clear()
    world.start("k0")
    keeper = world.up["k0"]
    keeper.stable.term, keeper.role = 4, Role.CANDIDATE
    world.disks["k0"].term = 4
    keeper._out = []
    keeper._lead()
    for out in keeper._out:
        world.carry_out("k0", out)
    world.step("k0", [Received("k1", 1, AppendResponse(4, True, 1, 1))])  # a majority has the old one
    assert keeper.commit_index == 0
    world.step("k0", [Received("k1", 1, AppendResponse(4, True, 2, 1))])
    assert keeper.commit_index == 2


def test_a_log_that_grows_is_compacted_and_one_that_is_behind_gets_it_in_pieces() -> None:
    times = replace(TIMES, entries_before_compaction=50)
    world = ready(3, times=times)
    away = next(name for name in world.names if world.up[name].role != Role.LEADER)
    del world.up[away]
    for number in range(120):
        world.propose(world.leader().name, bytes([65 + number % 26]) * 2000)
        if number % 20 == 19:
            world.sound(SECOND)
    assert world.leader().log.snapshot.index > 40
    assert len(world.leader().log.snapshot.data) > 2 * SNAPSHOT_CHUNK_BYTES
    world.start(away)
    world.sound(5 * SECOND)
    assert lines(world.up[away]) == lines(world.leader()) and len(lines(world.up[away])) == 120
    del world.up[away]
    world.start(away)  # from its disk alone
    assert world.up[away].log.snapshot.index > 40


def test_a_keeper_is_replaced_by_another_one_at_a_time() -> None:
    world = ready(3)
    world.propose(world.leader().name, b"x")
    world.sound(SECOND)
    gone = next(name for name in world.names if world.up[name].role != Role.LEADER)
    del world.up[gone]
    world.names = (*world.names, "k9")
    world.disks["k9"] = initial_state(())
    world.start("k9")
    leader = world.leader()
    world.step(leader.name, [ChangeVoters(900, (*leader.voters, "k9", "k8"))])
    assert world.refused[-1].id == 900 and "one keeper more or one fewer" in world.refused[-1].why
    world.step(leader.name, [ChangeVoters(901, (*leader.voters, "k9"))])
    world.step(leader.name, [ChangeVoters(902, tuple(n for n in leader.voters if n != gone))])
    assert "not committed yet" in world.refused[-1].why
    world.sound(2 * SECOND)
    world.step(leader.name, [ChangeVoters(903, tuple(n for n in leader.voters if n != gone))])
    world.sound(2 * SECOND)
    assert {901, 903} <= set(world.done) and set(leader.voters) == (set(world.names) - {gone})
    assert lines(world.up["k9"]) == [b"x"]
    del world.up[leader.name]
    world.sound(5 * SECOND)
    assert world.leader().name != leader.name  # two of three, one of them the new one


def test_a_keeper_that_lost_what_it_had_confirmed_counts_no_more() -> None:
    world = ready(3)
    leader = world.leader()
    away = next(name for name in world.names if name != leader.name)
    old = copy.deepcopy(world.disks[away])
    for number in range(5):
        world.propose(leader.name, b"%d" % number)
    world.sound(SECOND)
    del world.up[away]
    world.disks[away] = old  # a copy of before
    old.epoch += 2
    world.start(away)
    world.sound(2 * SECOND)
    assert away in leader.excluded_voters and any("its disk went back" in told.text for told in world.told)
    third = next(name for name in world.names if name not in (leader.name, away))
    del world.up[third]
    id = world.propose(leader.name, b"x")
    world.sound(500 * MS)
    assert id not in world.done  # the one that forgets makes no majority


def test_a_store_copied_from_earlier_is_known_by_its_count_of_starts() -> None:
    world = ready(3)
    leader = world.leader()
    away = next(name for name in world.names if name != leader.name)
    old = copy.deepcopy(world.disks[away])
    for _ in range(3):
        del world.up[away]
        world.start(away)
        world.sound(SECOND)
    del world.up[away]
    world.disks[away] = old
    world.start(away)
    world.sound(5 * SECOND)
    assert away in leader.excluded_voters


def test_others_follow_the_committed_log_from_any_keeper() -> None:
    world = ready(3, times=replace(TIMES, entries_before_compaction=20))
    for number in range(30):
        world.propose(world.leader().name, b"%d" % number)
        world.sound(100 * MS)
    world.sound(SECOND)
    machine = Lines()
    follower = Learner(machine, world.names)
    keeper = next(name for name in world.names if world.up[name].role != Role.LEADER)

    def hear() -> None:
        told, world.followed = world.followed, []
        for to, message in told:
            assert to == "b7" and isinstance(message, LearnerEntries | LearnerSnapshotChunk)
            follower.receive(world.now, message)

    world.step(keeper, [Received("b7", 0, follower.poll())])
    hear()
    world.step(keeper, [Received("b7", 0, follower.poll())])
    hear()
    assert machine.lines == [b"%d" % number for number in range(30)]
    assert follower.leader == world.leader().name
    world.propose(world.leader().name, b"new")
    world.sound(300 * MS)  # with the next heartbeat at the latest, unasked
    hear()
    assert machine.lines[-1] == b"new"
    world.sound(TIMES.learner_lease_ns)
    world.propose(world.leader().name, b"newer")
    world.sound(SECOND)
    assert "b7" not in world.up[keeper].learners  # it did not ask again


def test_a_command_from_afar_is_answered_with_its_index_or_who_may_lead() -> None:
    world = ready(3)
    leader = world.leader().name
    other = next(name for name in world.names if name != leader)
    world.step(other, [Received("b7", 0, ProposalRequest(5, b"x"))])
    assert world.followed.pop() == ("b7", ProposalResponse(5, 0, "not the leader", leader))
    world.step(leader, [Received("b7", 0, ProposalRequest(6, b"x"))])
    world.sound(SECOND)
    to, answer = world.followed.pop()
    assert to == "b7" and isinstance(answer, ProposalResponse) and answer.id == 6 and answer.index > 0
    world.propose(leader, b"y" * (MAX_COMMAND_BYTES + 1))
    assert f"at most {MAX_COMMAND_BYTES}" in world.refused[-1].why
    for _ in range(core.MAX_OPEN_REQUESTS + 1):
        world.propose(leader, b"z")
    assert world.refused[-1].why == "too many commands wait"


def test_one_keeper_alone_commits_by_itself() -> None:
    world = World(1)
    world.sound(3 * SECOND)
    id = world.propose("k0", b"x")
    assert id in world.done and lines(world.up["k0"]) == [b"x"]
    assert world.read("k0") in world.done


# --- any order ---

ACTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["deliver", "deliver", "deliver", "drop", "double", "wake", "wake", "crash", "half", "start",
             "propose", "read", "sound"]
        ),
        st.integers(0, 999),
    ),
    max_size=120,
)  # fmt: skip


def act(world: World, kind: str, number: int) -> None:
    up = sorted(world.up)
    if kind in ("deliver", "drop", "double"):
        if world.flight:
            at = number % len(world.flight)
            if kind == "drop":
                world.flight.pop(at)
            else:
                world.deliver(at, keep=kind == "double")
    elif kind == "start":
        down = [name for name in world.names if name not in world.up]
        if down:
            world.start(down[number % len(down)])
    elif kind == "sound":
        world.sound((number % 40) * 100 * MS)
    elif not up:
        return
    elif kind == "wake":
        world.wake(up[number % len(up)], number * 3 * MS)
    elif kind == "crash":
        del world.up[up[number % len(up)]]
    elif kind == "half":  # in the middle of a step, between two of its outputs
        name = up[number % len(up)]
        world.now += 3 * SECOND
        inputs: list[Input] = [Propose(10_000 + number, b"h%d" % number)]
        inputs += [Received(s, world.disks[s].epoch, m) for s, to, m in world.flight if to == name][:1]
        world.step(name, inputs, crash_after=number % 5)
    elif kind == "propose":
        world.propose(up[number % len(up)], b"p%d" % number)
    elif kind == "read":
        world.read(up[number % len(up)])


def survives(acts: list[tuple[str, int]], count: int, seed: int) -> None:
    world = World(count, seed, replace(TIMES, entries_before_compaction=8))
    for kind, number in acts:
        act(world, kind, number)
    world.settle()


@given(ACTS, st.sampled_from([3, 5]), st.integers(0, 50))
@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_nothing_committed_is_lost_in_any_order(acts: list[tuple[str, int]], count: int, seed: int) -> None:
    survives(acts, count, seed)


def moves(world: World, crashed: bool) -> Iterator[tuple[str, int]]:
    for at in range(min(len(world.flight), 2)):
        yield from ((kind, at) for kind in ("deliver", "drop", "double"))
    for at in range(len(world.up)):
        yield "wake", 666 // 3 * 3 + at  # its name by the rest of the division
    if not crashed:
        for at in range(len(world.up)):
            yield "crash", at
    elif len(world.up) < len(world.names):
        yield "start", 0
    yield "propose", 0


def explore(depth: int) -> int:
    """All schedules of three keepers from a moment at which an election is on; the number of states."""
    world = World(3, 2)
    while not any(keeper.role == Role.CANDIDATE for keeper in world.up.values()):
        due, name = min((keeper.due, name) for name, keeper in world.up.items())
        if world.flight:
            world.deliver(0)
        else:
            world.now = max(due, world.now)
            world.step(name, [])
    stack: list[tuple[World, int, bool]] = [(world, 0, False)]
    seen: set[Any] = set()
    states = 0
    while stack:
        before, level, crashed = stack.pop()
        states += 1
        if level == depth:
            continue
        for kind, number in moves(before, crashed):
            after = copy.deepcopy(before)
            act(after, kind, number)
            mark = (
                level, after.now, tuple(after.flight),
                tuple((n, k.role, k.stable.term, k.stable.vote, k.commit_index, tuple(k.log.entries))
                      for n, k in sorted(after.up.items())),
            )  # fmt: skip
            if mark not in seen:
                seen.add(mark)
                stack.append((after, level + 1, crashed or kind == "crash"))
    return states


def test_three_keepers_explored_exhaustively_to_depth_four() -> None:
    assert explore(4) > 500


def plant_forgotten_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bug: a vote leaves before it is on disk."""

    def wrong(self: Voter, term: int, vote: str = "") -> None:
        self.stable.term, self.stable.vote = term, vote

    monkeypatch.setattr(Voter, "_set_term", wrong)


def plant_vote_for_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bug: a vote does not look at whose log is newer."""
    ask = Voter._ask_vote

    def wrong(self: Voter, sender: str, message: VoteRequest) -> None:
        ask(self, sender, VoteRequest(message.term, 1 << 30, 1 << 30, message.trial))

    monkeypatch.setattr(Voter, "_ask_vote", wrong)


def plant_answer_before_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bug: what is sent goes first, what is written after."""
    step = Voter.step

    def wrong(self: Voter, now: int, inputs: Any) -> list[Output]:
        return sorted(step(self, now, inputs), key=lambda out: isinstance(out, Persist))

    monkeypatch.setattr(Voter, "step", wrong)


@pytest.mark.parametrize("plant", [plant_forgotten_vote, plant_vote_for_all, plant_answer_before_disk])
def test_planted_bugs_are_found(plant: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    source = random.Random(4)
    kinds = ["deliver"] * 5 + ["drop", "wake", "wake", "crash", "half", "start", "start", "propose", "sound"]
    with pytest.raises(AssertionError):
        for seed in range(600):
            survives([(source.choice(kinds), source.randrange(1000)) for _ in range(150)], 3, seed)


def test_messages_that_come_late_or_twice_shut_nobody_out() -> None:
    world = ready(3)
    leader = world.leader()
    other = next(name for name in world.names if name != leader.name)
    term, peer = leader.stable.term, leader.peers[other]
    world.propose(leader.name, b"x")
    world.sound(SECOND)
    world.step(leader.name, [Received(other, 2, AppendResponse(term, False, 0, peer.confirmed))])
    assert not leader.excluded_voters and leader.peers[other].match == leader.log.last_index
    world.step(leader.name, [Received(other, 2, AppendResponse(term, False, 0, leader.round + 1))])
    assert other in leader.excluded_voters


def test_void_kinds_of_messages_change_nothing() -> None:
    world = ready(3)
    leader = world.leader()
    before = (leader.stable.term, leader.commit_index, leader.role)
    for message in (
        VoteResponse(0, True, False, 0),
        AppendRequest(0, 0, 0, (), 0, 0),
        SnapshotChunk(0, 1, 1, (), 0, 0, b"", 0),
    ):
        world.step(leader.name, [Received("k1", 5, message)])
    assert (leader.stable.term, leader.commit_index, leader.role) == before
