"""The replicated log: no committed entry is lost when messages are lost, duplicated or late and voters crash.

Every voter's disk is a copy that only ``Persist`` changes; a crash may come between any two outputs.
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


class ListMachine:
    """A state machine that lists the committed commands in order."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, entry: Entry) -> None:
        self.commands.append(entry.data)

    def dump(self) -> bytes:
        return b"\n".join(self.commands)

    def load(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


def apply_persist(disk: StableState, order: Persist) -> None:
    """Change the disk as a store does."""
    disk.term, disk.vote = order.term, order.vote
    if order.snapshot is not None:
        disk.log.snapshot = order.snapshot
        disk.log.entries = list(order.entries)
        return
    if order.truncate_from:
        disk.log.truncate(order.truncate_from)
    for entry in order.entries:
        disk.log.truncate(entry.index)
        assert entry.index == disk.log.last_index + 1, "gap in the log on disk"
        disk.log.entries.append(entry)


class Cluster:
    """Voters, their disks, and the messages in flight between them."""

    def __init__(self, count: int, seed: int = 1, times: ConsensusSettings = TIMES) -> None:
        self.now, self.seed, self.times = 0, seed, times
        self.names = tuple(f"k{n}" for n in range(count))
        self.disks = {name: initial_state(self.names) for name in self.names}
        self.running: dict[str, Voter] = {}
        self.in_flight: list[tuple[str, str, Message]] = []
        self.starts = 0
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.done: dict[int, int] = {}
        self.refused: list[Refused] = []
        self.notices: list[Notice] = []
        self.reads: dict[int, int] = {}  # by id: the newest committed index when it was requested
        self.last_id = 0
        self.to_learners: list[tuple[str, Message]] = []
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts += 1
        disk = self.disks[name]
        disk.epoch += 1
        self.running[name] = Voter(
            name, copy.deepcopy(disk), ListMachine(), self.seed * 1000 + self.starts, self.now, self.times
        )

    def step(self, name: str, inputs: list[Input], crash_after: int = -1) -> None:
        """One step; with ``crash_after`` the voter crashes after that many of its outputs are carried out."""
        voter = self.running[name]
        for number, out in enumerate(voter.step(self.now, inputs)):
            if number == crash_after:
                break
            self.carry_out(name, out)
        if crash_after >= 0:
            del self.running[name]
        else:
            assert self.disks[name].log.entries == voter.log.entries, (
                "state in memory differs from disk after a step"
            )
            assert (self.disks[name].term, self.disks[name].vote) == (voter.stable.term, voter.stable.vote)
        self.check()

    def carry_out(self, name: str, out: Output) -> None:
        match out:
            case Persist():
                apply_persist(self.disks[name], out)
            case Send(to, message):
                self.check_persisted(name, to, message)
                if to in self.names:
                    self.in_flight.append((name, to, message))
                else:
                    self.to_learners.append((to, message))
            case Done(id, index):
                self.done[id] = index
                if id in self.reads:
                    assert index >= self.reads[id], "a read missed entries committed before it"
            case Refused():
                self.refused.append(out)
            case Notice():
                self.notices.append(out)

    def check_persisted(self, name: str, to: str, message: Message) -> None:
        """What a message promises must be on disk when it is sent."""
        disk = self.disks[name]
        match message:
            case VoteResponse(term, True, False):
                assert (disk.term, disk.vote) == (term, to), "a vote was sent before it was on disk"
            case AppendResponse(_, True, match) | AppendRequest(_, match):
                assert match <= disk.log.last_index, "entries were confirmed or sent before they were on disk"
            case VoteRequest(term, _, _, False):
                assert (disk.term, disk.vote) == (term, name), (
                    "a vote request was sent before the new term was on disk"
                )

    def check(self) -> None:
        for name, voter in self.running.items():
            if voter.role == Role.LEADER:
                assert self.leaders.setdefault(voter.stable.term, name) == name, "two leaders of one term"
            for index in range(voter.log.snapshot.index + 1, voter.commit_index + 1):
                entry = voter.log.get(index)
                assert entry is not None
                known = self.committed.setdefault(index, (entry.term, entry.data))
                assert known == (entry.term, entry.data), f"{name}: a different entry is committed at {index}"
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
                                "equal terms at an index, but different entries at or before it"
                            )
                        break

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[at] if keep else self.in_flight.pop(at)
        if to in self.running:
            self.step(to, [Received(sender, self.disks[sender].epoch, message)])

    def propose(self, name: str, data: bytes) -> int:
        self.last_id += 1
        self.step(name, [Propose(self.last_id, data)])
        return self.last_id

    def read(self, name: str) -> int:
        self.last_id += 1
        self.reads[self.last_id] = max(self.committed, default=0)
        self.step(name, [ReadIndex(self.last_id)])
        return self.last_id

    def wake(self, name: str, by: int) -> None:
        """Let time pass, then call one voter if it is due."""
        self.now += by
        if name in self.running and self.running[name].due <= self.now:
            self.step(name, [])

    def run_healthy(self, time: int, isolated: tuple[str, ...] = ()) -> None:
        """Run on a network without faults and with 1 ms latency, except that some voters are isolated."""
        end = self.now + time
        while self.now < end:
            waiting, self.in_flight = self.in_flight, []
            for sender, to, message in waiting:
                if to in self.running and sender not in isolated and to not in isolated:
                    self.step(to, [Received(sender, self.disks[sender].epoch, message)])
            due = min((voter.due for voter in self.running.values()), default=end)
            self.now = self.now + MS if self.in_flight else max(self.now + MS, min(due, end))
            for name in list(self.running):
                if self.running[name].due <= self.now:
                    self.step(name, [])

    def leader(self) -> Voter:
        leaders = [voter for voter in self.running.values() if voter.role == Role.LEADER]
        assert leaders, "there is no leader"
        return max(leaders, key=lambda voter: voter.stable.term)

    def settle(self) -> None:
        """With all running on a healthy network there is a leader, it commits, and all hold the same."""
        for name in self.names:
            if name not in self.running:
                self.start(name)
        self.run_healthy(10 * SECOND)
        id = self.propose(self.leader().name, b"last")
        self.run_healthy(2 * SECOND)
        assert id in self.done
        voters = [voter for name, voter in self.running.items() if name in self.leader().voters]
        assert (
            len({tuple(machine.commands) for k in voters if isinstance(machine := k.machine, ListMachine)})
            == 1
        )
        assert len({voter.commit_index for voter in voters}) == 1


def commands(voter: Voter) -> list[bytes]:
    assert isinstance(voter.machine, ListMachine)
    return voter.machine.commands


def started_cluster(count: int = 3, seed: int = 1, times: ConsensusSettings = TIMES) -> Cluster:
    cluster = Cluster(count, seed, times)
    cluster.run_healthy(5 * SECOND)
    return cluster


# --- single scenarios ---


def test_one_leader_is_elected_and_its_commits_reach_all_voters() -> None:
    cluster = started_cluster(5)
    ids = [cluster.propose(cluster.leader().name, f"c{n}".encode()) for n in range(200)]
    cluster.run_healthy(SECOND)
    assert all(id in cluster.done for id in ids)
    assert {tuple(commands(voter)) for voter in cluster.running.values()} == {
        tuple(f"c{n}".encode() for n in range(200))
    }
    assert len(cluster.leaders) == 1


def test_a_command_is_committed_after_one_round_trip_without_waiting_for_a_heartbeat() -> None:
    cluster = started_cluster()
    id = cluster.propose(cluster.leader().name, b"x")
    cluster.run_healthy(5 * MS)
    assert id in cluster.done


def test_a_leader_without_a_majority_steps_down_and_the_others_elect_another() -> None:
    cluster = started_cluster(5)
    old = cluster.leader()
    cluster.run_healthy(10 * SECOND, isolated=(old.name,))
    assert old.role != Role.LEADER and any("majority" in notice.text for notice in cluster.notices)
    new = cluster.leader()
    assert new.name != old.name
    lost = cluster.propose(old.name, b"to nobody")
    assert cluster.refused[-1].id == lost
    id = cluster.propose(new.name, b"x")
    cluster.run_healthy(SECOND, isolated=(old.name,))
    assert id in cluster.done
    cluster.run_healthy(3 * SECOND)
    assert commands(old) == [b"x"]


def test_a_minority_commits_nothing_and_its_proposal_may_be_discarded() -> None:
    cluster = started_cluster(3)
    old = cluster.leader()
    id = cluster.propose(old.name, b"void")
    cluster.in_flight.clear()  # no other voter receives it
    cluster.run_healthy(10 * SECOND, isolated=(old.name,))
    assert id not in cluster.done and cluster.refused[-1].id == id
    cluster.propose(cluster.leader().name, b"kept")
    cluster.run_healthy(2 * SECOND, isolated=(old.name,))
    cluster.run_healthy(5 * SECOND)
    assert {tuple(commands(voter)) for voter in cluster.running.values()} == {(b"kept",)}


def test_a_voter_that_was_isolated_does_not_depose_the_leader_when_it_returns() -> None:
    cluster = started_cluster(5)
    leader, term = cluster.leader().name, cluster.leader().stable.term
    away = next(name for name in cluster.names if name != leader)
    cluster.run_healthy(30 * SECOND, isolated=(away,))
    cluster.run_healthy(5 * SECOND)
    assert cluster.leader().name == leader and cluster.leader().stable.term == term


def test_a_read_is_answered_only_by_a_leader_that_a_majority_confirms() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader()
    cluster.propose(leader.name, b"x")
    cluster.run_healthy(SECOND)
    id = cluster.read(leader.name)
    assert id not in cluster.done  # not before other voters have answered
    cluster.run_healthy(SECOND)
    assert id in cluster.done
    late = cluster.read(leader.name)
    cluster.run_healthy(10 * SECOND, isolated=(leader.name,))
    assert late not in cluster.done and any(one.id == late for one in cluster.refused)
    follower = next(name for name in cluster.names if cluster.running[name].role != Role.LEADER)
    assert cluster.read(follower) == cluster.refused[-1].id


def test_an_entry_of_an_older_term_is_committed_only_through_one_of_the_current_term() -> None:
    cluster = Cluster(3)
    voter = cluster.running["k0"]
    old = Entry(1, 1, b"old")
    cluster.disks["k0"].log.entries.append(old)
    cluster.disks["k0"].term = 3
    cluster.running.clear()
    cluster.start("k0")
    voter = cluster.running["k0"]
    voter.stable.term, voter.role = 4, Role.CANDIDATE
    cluster.disks["k0"].term = 4
    voter._outputs = []
    voter._become_leader()
    for out in voter._outputs:
        cluster.carry_out("k0", out)
    cluster.step("k0", [Received("k1", 1, AppendResponse(4, True, 1, 1))])  # a majority has the old entry
    assert voter.commit_index == 0
    cluster.step("k0", [Received("k1", 1, AppendResponse(4, True, 2, 1))])
    assert voter.commit_index == 2


def test_a_growing_log_is_compacted_and_a_lagging_voter_receives_the_snapshot_in_chunks() -> None:
    times = replace(TIMES, entries_before_compaction=50)
    cluster = started_cluster(3, times=times)
    away = next(name for name in cluster.names if cluster.running[name].role != Role.LEADER)
    del cluster.running[away]
    for number in range(120):
        cluster.propose(cluster.leader().name, bytes([65 + number % 26]) * 2000)
        if number % 20 == 19:
            cluster.run_healthy(SECOND)
    assert cluster.leader().log.snapshot.index > 40
    assert len(cluster.leader().log.snapshot.data) > 2 * SNAPSHOT_CHUNK_BYTES
    cluster.start(away)
    cluster.run_healthy(5 * SECOND)
    assert (
        commands(cluster.running[away]) == commands(cluster.leader())
        and len(commands(cluster.running[away])) == 120
    )
    del cluster.running[away]
    cluster.start(away)  # from its disk alone
    assert cluster.running[away].log.snapshot.index > 40


def test_a_voter_is_replaced_in_two_changes_of_one_voter_each() -> None:
    cluster = started_cluster(3)
    cluster.propose(cluster.leader().name, b"x")
    cluster.run_healthy(SECOND)
    gone = next(name for name in cluster.names if cluster.running[name].role != Role.LEADER)
    del cluster.running[gone]
    cluster.names = (*cluster.names, "k9")
    cluster.disks["k9"] = initial_state(())
    cluster.start("k9")
    leader = cluster.leader()
    cluster.step(leader.name, [ChangeVoters(900, (*leader.voters, "k9", "k8"))])
    assert cluster.refused[-1].id == 900 and "one voter more or one fewer" in cluster.refused[-1].why
    cluster.step(leader.name, [ChangeVoters(901, (*leader.voters, "k9"))])
    cluster.step(leader.name, [ChangeVoters(902, tuple(n for n in leader.voters if n != gone))])
    assert "not committed yet" in cluster.refused[-1].why
    cluster.run_healthy(2 * SECOND)
    cluster.step(leader.name, [ChangeVoters(903, tuple(n for n in leader.voters if n != gone))])
    cluster.run_healthy(2 * SECOND)
    assert {901, 903} <= set(cluster.done) and set(leader.voters) == (set(cluster.names) - {gone})
    assert commands(cluster.running["k9"]) == [b"x"]
    del cluster.running[leader.name]
    cluster.run_healthy(5 * SECOND)
    assert cluster.leader().name != leader.name  # two of three, one of them the new one


def test_a_voter_that_lost_confirmed_entries_is_excluded() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader()
    away = next(name for name in cluster.names if name != leader.name)
    old = copy.deepcopy(cluster.disks[away])
    for number in range(5):
        cluster.propose(leader.name, b"%d" % number)
    cluster.run_healthy(SECOND)
    del cluster.running[away]
    cluster.disks[away] = old  # a backup from before the commands
    old.epoch += 2
    cluster.start(away)
    cluster.run_healthy(2 * SECOND)
    assert away in leader.excluded_voters and any(
        "its disk was rolled back" in notice.text for notice in cluster.notices
    )
    third = next(name for name in cluster.names if name not in (leader.name, away))
    del cluster.running[third]
    id = cluster.propose(leader.name, b"x")
    cluster.run_healthy(500 * MS)
    assert id not in cluster.done  # the excluded voter does not count for a majority


def test_a_restored_older_store_is_detected_by_its_epoch() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader()
    away = next(name for name in cluster.names if name != leader.name)
    old = copy.deepcopy(cluster.disks[away])
    for _ in range(3):
        del cluster.running[away]
        cluster.start(away)
        cluster.run_healthy(SECOND)
    del cluster.running[away]
    cluster.disks[away] = old
    cluster.start(away)
    cluster.run_healthy(5 * SECOND)
    assert away in leader.excluded_voters


def test_a_learner_follows_the_committed_log_from_any_voter() -> None:
    cluster = started_cluster(3, times=replace(TIMES, entries_before_compaction=20))
    for number in range(30):
        cluster.propose(cluster.leader().name, b"%d" % number)
        cluster.run_healthy(100 * MS)
    cluster.run_healthy(SECOND)
    machine = ListMachine()
    learner = Learner(machine, cluster.names)
    voter = next(name for name in cluster.names if cluster.running[name].role != Role.LEADER)

    def receive_all() -> None:
        messages, cluster.to_learners = cluster.to_learners, []
        for to, message in messages:
            assert to == "b7" and isinstance(message, LearnerEntries | LearnerSnapshotChunk)
            learner.receive(cluster.now, message)

    cluster.step(voter, [Received("b7", 0, learner.poll())])
    receive_all()
    cluster.step(voter, [Received("b7", 0, learner.poll())])
    receive_all()
    assert machine.commands == [b"%d" % number for number in range(30)]
    assert learner.leader == cluster.leader().name
    cluster.propose(cluster.leader().name, b"new")
    cluster.run_healthy(300 * MS)  # with the next heartbeat at the latest, without a poll
    receive_all()
    assert machine.commands[-1] == b"new"
    cluster.run_healthy(TIMES.learner_lease_ns)
    cluster.propose(cluster.leader().name, b"newer")
    cluster.run_healthy(SECOND)
    assert "b7" not in cluster.running[voter].learners  # its lease has ended: it did not poll again


def test_a_remote_command_is_answered_with_its_index_or_the_likely_leader() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader().name
    other = next(name for name in cluster.names if name != leader)
    cluster.step(other, [Received("b7", 0, ProposalRequest(5, b"x"))])
    assert cluster.to_learners.pop() == ("b7", ProposalResponse(5, 0, "not the leader", leader))
    cluster.step(leader, [Received("b7", 0, ProposalRequest(6, b"x"))])
    cluster.run_healthy(SECOND)
    to, answer = cluster.to_learners.pop()
    assert to == "b7" and isinstance(answer, ProposalResponse) and answer.id == 6 and answer.index > 0
    cluster.propose(leader, b"y" * (MAX_COMMAND_BYTES + 1))
    assert f"at most {MAX_COMMAND_BYTES}" in cluster.refused[-1].why
    for _ in range(core.MAX_OPEN_REQUESTS + 1):
        cluster.propose(leader, b"z")
    assert cluster.refused[-1].why == "too many commands wait"


def test_a_single_voter_commits_alone() -> None:
    cluster = Cluster(1)
    cluster.run_healthy(3 * SECOND)
    id = cluster.propose("k0", b"x")
    assert id in cluster.done and commands(cluster.running["k0"]) == [b"x"]
    assert cluster.read("k0") in cluster.done


# --- random and exhaustive schedules ---

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["deliver", "deliver", "deliver", "drop", "duplicate", "wake", "wake", "crash", "crash mid-step",
             "start", "propose", "read", "run healthy"]
        ),
        st.integers(0, 999),
    ),
    max_size=120,
)  # fmt: skip


def perform(cluster: Cluster, kind: str, number: int) -> None:
    up = sorted(cluster.running)
    if kind in ("deliver", "drop", "duplicate"):
        if cluster.in_flight:
            at = number % len(cluster.in_flight)
            if kind == "drop":
                cluster.in_flight.pop(at)
            else:
                cluster.deliver(at, keep=kind == "duplicate")
    elif kind == "start":
        down = [name for name in cluster.names if name not in cluster.running]
        if down:
            cluster.start(down[number % len(down)])
    elif kind == "run healthy":
        cluster.run_healthy((number % 40) * 100 * MS)
    elif not up:
        return
    elif kind == "wake":
        cluster.wake(up[number % len(up)], number * 3 * MS)
    elif kind == "crash":
        del cluster.running[up[number % len(up)]]
    elif kind == "crash mid-step":  # between two outputs of a step
        name = up[number % len(up)]
        cluster.now += 3 * SECOND
        inputs: list[Input] = [Propose(10_000 + number, b"h%d" % number)]
        inputs += [Received(s, cluster.disks[s].epoch, m) for s, to, m in cluster.in_flight if to == name][:1]
        cluster.step(name, inputs, crash_after=number % 5)
    elif kind == "propose":
        cluster.propose(up[number % len(up)], b"p%d" % number)
    elif kind == "read":
        cluster.read(up[number % len(up)])


def run_schedule(actions: list[tuple[str, int]], count: int, seed: int) -> None:
    cluster = Cluster(count, seed, replace(TIMES, entries_before_compaction=8))
    for kind, number in actions:
        perform(cluster, kind, number)
    cluster.settle()


@given(ACTIONS, st.sampled_from([3, 5]), st.integers(0, 50))
@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_nothing_committed_is_lost_in_any_order(
    actions: list[tuple[str, int]], count: int, seed: int
) -> None:
    run_schedule(actions, count, seed)


def possible_actions(cluster: Cluster, crashed: bool) -> Iterator[tuple[str, int]]:
    for at in range(min(len(cluster.in_flight), 2)):
        yield from ((kind, at) for kind in ("deliver", "drop", "duplicate"))
    for at in range(len(cluster.running)):
        yield "wake", 666 // 3 * 3 + at  # the remainder chooses the voter
    if not crashed:
        for at in range(len(cluster.running)):
            yield "crash", at
    elif len(cluster.running) < len(cluster.names):
        yield "start", 0
    yield "propose", 0


def explore(depth: int) -> int:
    """Play all schedules of three voters from a running election on; returns the number of states."""
    cluster = Cluster(3, 2)
    while not any(voter.role == Role.CANDIDATE for voter in cluster.running.values()):
        due, name = min((voter.due, name) for name, voter in cluster.running.items())
        if cluster.in_flight:
            cluster.deliver(0)
        else:
            cluster.now = max(due, cluster.now)
            cluster.step(name, [])
    stack: list[tuple[Cluster, int, bool]] = [(cluster, 0, False)]
    seen: set[Any] = set()
    states = 0
    while stack:
        before, level, crashed = stack.pop()
        states += 1
        if level == depth:
            continue
        for kind, number in possible_actions(before, crashed):
            after = copy.deepcopy(before)
            perform(after, kind, number)
            mark = (
                level, after.now, tuple(after.in_flight),
                tuple((n, k.role, k.stable.term, k.stable.vote, k.commit_index, tuple(k.log.entries))
                      for n, k in sorted(after.running.items())),
            )  # fmt: skip
            if mark not in seen:
                seen.add(mark)
                stack.append((after, level + 1, crashed or kind == "crash"))
    return states


def test_three_voters_explored_exhaustively_to_depth_four() -> None:
    assert explore(4) > 500


def plant_unpersisted_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a bug: a vote is sent before it is on disk."""

    def wrong(self: Voter, term: int, vote: str = "") -> None:
        self.stable.term, self.stable.vote = term, vote

    monkeypatch.setattr(Voter, "_set_term", wrong)


def plant_vote_without_log_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a bug: a vote is granted without comparing the logs."""
    ask = Voter._on_vote_request

    def wrong(self: Voter, sender: str, message: VoteRequest) -> None:
        ask(self, sender, VoteRequest(message.term, 1 << 30, 1 << 30, message.trial))

    monkeypatch.setattr(Voter, "_on_vote_request", wrong)


def plant_send_before_persist(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a bug: messages are sent before the state is persisted."""
    step = Voter.step

    def wrong(self: Voter, now: int, inputs: Any) -> list[Output]:
        return sorted(step(self, now, inputs), key=lambda out: isinstance(out, Persist))

    monkeypatch.setattr(Voter, "step", wrong)


@pytest.mark.parametrize(
    "plant", [plant_unpersisted_vote, plant_vote_without_log_check, plant_send_before_persist]
)
def test_planted_bugs_are_found(plant: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    source = random.Random(4)
    kinds = ["deliver"] * 5 + ["drop", "wake", "wake", "crash", "crash mid-step", "start", "start", "propose",
                               "run healthy"]  # fmt: skip
    with pytest.raises(AssertionError):
        for seed in range(600):
            run_schedule([(source.choice(kinds), source.randrange(1000)) for _ in range(150)], 3, seed)


def test_late_or_duplicate_messages_exclude_no_voter() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader()
    other = next(name for name in cluster.names if name != leader.name)
    term, peer = leader.stable.term, leader.peers[other]
    cluster.propose(leader.name, b"x")
    cluster.run_healthy(SECOND)
    cluster.step(leader.name, [Received(other, 2, AppendResponse(term, False, 0, peer.match_round))])
    assert not leader.excluded_voters and leader.peers[other].match_index == leader.log.last_index
    cluster.step(leader.name, [Received(other, 2, AppendResponse(term, False, 0, leader.round + 1))])
    assert other in leader.excluded_voters


def test_messages_of_an_old_term_change_nothing() -> None:
    cluster = started_cluster(3)
    leader = cluster.leader()
    before = (leader.stable.term, leader.commit_index, leader.role)
    for message in (
        VoteResponse(0, True, False, 0),
        AppendRequest(0, 0, 0, (), 0, 0),
        SnapshotChunk(0, 1, 1, (), 0, 0, b"", 0),
    ):
        cluster.step(leader.name, [Received("k1", 5, message)])
    assert (leader.stable.term, leader.commit_index, leader.role) == before
