"""Fleets of ledgers in virtual time: the hard cases, and that losses change neither truth nor bound."""

import copy
import itertools
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepath.fleet.load_reports import (
    Count,
    Counts,
    DatagramReceived,
    LiveMembers,
    LoadCounter,
    LoadReporter,
    LoadReportSettings,
    OwnCounts,
    Packet,
    ReplicaSetCount,
    Totals,
)  # fmt: skip
from quincepath.fleet.load_reports.tree import AggregationTree
from quincepath.fleet.load_reports.types import MS, SECOND
from quincepath.lab.fleet.ledger_world import LedgerWorld, Network

RATE = 100.0  # queries a second of each broker
WORST = Network(loss=0.3, doubled=0.1, late=0.1)


def steady(name: str, now: int) -> float:
    return RATE


def world(members: int, network: Network | None = None, seed: int = 1) -> LedgerWorld:
    found = LedgerWorld(members, seed, steady, network)
    found.run(10 * SECOND)
    return found


def watch(world: LedgerWorld, until: int, over: float = 1.03, names: list[str] | None = None) -> None:
    """Run on; whenever looked, nobody's totals are above what was true at any time in the last 6 s."""
    recent: list[float] = []
    while world.now < until:
        world.run(world.now + SECOND // 2)
        recent = [*recent[-12:], world.truth(names=names)]
        if len(recent) > 6:
            assert max(world.taken()) <= over * max(recent)


def coverages(world: LedgerWorld) -> list[float]:
    return [process.totals.coverage for process in world.of.values() if process.totals]


def ages(world: LedgerWorld) -> list[float]:
    found = [process.totals for process in world.of.values()]
    return [(world.now - one.at) / SECOND for one in found if one]


def right(world: LedgerWorld, within: float, names: list[str] | None = None) -> None:
    truth = world.truth(names=names)
    assert all(abs(value / truth - 1) <= within for value in world.taken()), (truth, sorted(world.taken()))


def summers(world: LedgerWorld, level: int, place: int) -> tuple[str, ...]:
    boots = {name: process.boot for name, process in world.of.items()}
    return AggregationTree(world.names[0], boots, len(world.names), world.settings).aggregators(level, place)


# --- hard cases ---


def test_half_the_fleet_cut_off_each_half_knows_its_own() -> None:
    one = world(20)
    side = one.names[:8]
    one.cut(side)
    watch(one, 14 * SECOND, 1.03)
    one.run(28 * SECOND)
    for names in (side, one.names[8:]):
        truth = one.truth(names=names)
        for name in names:
            totals = one.of[name].totals
            assert totals is not None and totals.live == totals.reporting == len(names)
            assert abs(totals.count(Count.TAKEN) / truth - 1) < 0.02
    one.cut([])
    watch(one, 45 * SECOND)
    right(one, 0.02)
    assert min(coverages(one)) == 1.0


def test_back_with_empty_counts_it_is_counted_once_and_soon_whole() -> None:
    one = world(20)
    one.kill(["b003", "b007"])
    watch(one, 12 * SECOND)
    one.start("b003")
    one.start("b007")
    watch(one, 30 * SECOND)
    right(one, 0.02)
    assert min(coverages(one)) == 1.0


@pytest.mark.parametrize("turns", [False, True], ids=["the view stays", "the view turns to and fro"])
def test_a_clone_counts_once(turns: bool) -> None:
    one = world(12)
    clone = one.start("b004", clone=True)
    real = one.of["b004"]
    for step in range(1, 20):
        if turns:
            one.of["b004"] = clone if step % 2 else real
            one.tell()
        one.run((10 + step) * SECOND)
        truth = RATE * 5 * 12
        assert max(one.taken()) <= 1.03 * truth
        assert min(one.taken()) >= 0.9 * truth
    assert sum(process.ledger.causes["second boot"] for process in one.processes) > 10


def thousandfold(counts: Counts) -> Counts:
    counts.by_class = [[1000 * value for value in row] for row in counts.by_class]
    counts.sends = [1000 * value for value in counts.sends]
    counts.replica_sets = {
        n: ReplicaSetCount(1000 * c.demand, 1000 * c.refused) for n, c in counts.replica_sets.items()
    }
    return counts


def backwards(counts: Counts) -> Counts:
    counts.by_class = [[max(1_000_000 - 20 * value, 0) for value in row] for row in counts.by_class]
    return counts


def frozen(counts: Counts) -> Counts:
    return replace(counts, by_class=[[1 << 52] * 8] * 32, sends=[1 << 60] * 4)


@pytest.mark.parametrize(
    ("bend", "cause"), [(thousandfold, "clipped"), (backwards, "backwards"), (frozen, "clipped")]
)
@pytest.mark.parametrize("members", [5, 20])
def test_one_that_lies_moves_the_totals_by_the_stated_bound_only(
    bend: Callable[[Counts], Counts], cause: str, members: int
) -> None:
    one = LedgerWorld(members, 1, steady)
    liar = one.of["b002"]
    liar.bend = bend
    others = [name for name in one.names if name != "b002"]
    rate = one.settings.share_most * RATE
    assert rate > one.settings.free_rate
    for _ in range(18):
        one.run(one.now + SECOND)
        true = one.truth(names=others)
        for name in others:
            totals = one.of[name].totals
            if one.now > 9 * SECOND:
                assert totals is not None
                assert 0.97 * true <= totals.count(Count.TAKEN) <= 1.03 * true + rate * 5
                assert totals.sends[0] <= 8 * (1.03 * true + rate * 5)
    assert sum(process.ledger.causes[cause] for process in one.processes) > 0
    if bend is backwards:
        assert max(totals.reporting for p in one.processes if (totals := p.totals)) == members - 1


def test_one_of_those_who_sum_up_for_all_dies_and_nothing_is_lost() -> None:
    one = world(40)
    one.kill([summers(one, 1, 0)[0]])
    while one.now < 22 * SECOND:
        one.run(one.now + SECOND // 2)
        assert min(coverages(one)) >= 0.94 and max(ages(one)) < 2.5
        assert min(one.taken()) > 0.95 * RATE * 5 * 39
    right(one, 0.02)


def test_all_who_sum_up_die_in_the_overload_and_others_take_their_place() -> None:
    one = LedgerWorld(60, 1, lambda name, now: RATE if now < 9 * SECOND else 5 * RATE)
    one.run(10 * SECOND)
    dead = {name for level, place in [(1, 0), (0, 0), (0, 2)] for name in summers(one, level, place)}
    assert len(dead) >= 6
    one.kill(dead)
    one.run(12 * SECOND + 9 * SECOND // 10)
    assert max(ages(one)) > 2.0  # it is known to be old
    watch(one, 22 * SECOND)  # 3 s until it is believed, and a window to be whole
    assert min(coverages(one)) >= 0.95
    right(one, 0.05)


def test_most_messages_lost_late_or_doubled() -> None:
    one = world(40, WORST)
    for _ in range(20):
        one.run(one.now + SECOND)
        truth, found = one.truth(), one.taken()
        assert max(found) <= 1.05 * truth
        assert sum(found) / len(found) >= 0.95 * truth
        assert sum(coverages(one)) / len(found) >= 0.9
        assert sum(ages(one)) / len(found) < 3.0
    one.network = Network()
    one.run(one.now + 10 * SECOND)
    right(one, 0.02)


@pytest.mark.parametrize("network", [Network(), WORST], ids=["sound", "worst"])
def test_three_levels_of_groups(network: Network) -> None:
    one = LedgerWorld(40, 1, steady, network, LoadReportSettings(group_size=4))
    assert AggregationTree("b000", one.names, 40, one.settings).top_level == 2
    one.run(14 * SECOND)
    found, truth = one.taken(), one.truth()
    assert (
        max(found) <= 1.03 * truth and sum(found) / len(found) >= (0.98 if network.loss == 0 else 0.9) * truth
    )
    one.kill(["b001", "b002"])
    one.network = Network()
    one.run(30 * SECOND)
    right(one, 0.02)
    assert min(coverages(one)) == 1.0


@pytest.mark.parametrize(
    "wrong",
    [
        {"group_size": 1},
        {"aggregators": 0},
        {"period": 0},
        {"window": MS},
        {"share_most": 0.0},
        {"free_rate": 1e9},
    ],
)
def test_settings_out_of_range_are_named(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=rf"ledger\.{next(iter(wrong))}: .*; expected"):
        LoadReportSettings(**wrong)  # type: ignore[arg-type]


def test_seven_in_ten_killed() -> None:
    one = world(50)
    one.kill(one.names[::3] + one.names[1::3])
    one.run(13 * SECOND + SECOND // 2)
    watch(one, 25 * SECOND)
    right(one, 0.03)
    assert min(coverages(one)) == 1.0


def test_all_load_at_one_broker_is_seen_up_to_what_always_counts() -> None:
    one = LedgerWorld(20, 1, lambda name, now: 1000.0 if name == "b000" else 0.0)
    one.run(15 * SECOND)
    free = one.settings.free_rate * 5
    assert all(0.95 * free <= value <= free for value in one.taken())


def test_few_that_carry_most_are_counted_whole() -> None:
    """Groups in which one has all load of the group know from the fleet's sums that it is no liar."""
    one = LedgerWorld(50, 1, lambda name, now: 400.0 if name < "b010" else 0.0)
    one.run(12 * SECOND)
    right(one, 0.02)
    assert sum(process.ledger.causes["clipped"] for process in one.processes) < 500


def test_a_liar_that_goes_up_and_down_gains_nothing_by_it() -> None:
    one = LedgerWorld(20, 1, steady)
    liar, steps = one.of["b002"], itertools.count()

    def pump(counts: Counts) -> Counts:
        turn = next(steps)
        leaps = sum(100_000 for step in range(turn) if step // 16 % 2)
        return replace(counts, by_class=[[counts.by_class[0][0] + leaps] + [0] * 7])

    liar.bend = pump
    others = [name for name in one.names if name != "b002"]
    while one.now < 45 * SECOND:
        one.run(one.now + SECOND // 2)
        if one.now > 9 * SECOND:
            most = 1.03 * one.truth(names=others) + 5 * one.settings.share_most * RATE
            assert max(one.taken(others)) <= 1.05 * most


def test_everything_that_is_counted_is_in_the_totals() -> None:
    one = world(20)
    totals, truth = one.of["b000"].totals, one.truth()
    assert totals is not None
    near = pytest.approx
    assert totals.count(Count.TAKEN) == near(truth, rel=0.02)
    assert totals.count(Count.LATE) == near(truth / 10, rel=0.05)
    assert list(totals.sends[:2]) == near([8 * truth, truth / 5], rel=0.02)
    assert sum(totals.arrivals) == near(truth, rel=0.02) and min(totals.arrivals) > 0
    assert sum(cell.demand for cell in totals.replica_sets.values()) == near(8 * truth, rel=0.02)
    assert len(totals.replica_sets) == 40 and totals.threshold == 0.25
    slots = sum(one.slot_time for one in totals.tenants.values()) + totals.rest.slot_time
    assert slots == near(truth / 4 * 40 * MS, rel=0.05)
    assert totals.rest.slot_time < 0.02 * slots  # three tenants use all


# --- any loss, doubling, lateness ---


@settings(max_examples=10, deadline=None, derandomize=True)
@given(
    st.integers(2, 9),
    st.floats(0, 0.6),
    st.floats(0, 0.4),
    st.floats(0, 0.3),
    st.integers(0, 1 << 20),
    st.integers(-1, 7),
)
def test_never_above_the_truth_and_equal_to_it_once_the_network_is_sound(
    members: int, loss: float, doubled: float, late: float, seed: int, restart: int
) -> None:
    """A window over all: then the totals are counts, and have to be equal to the last query."""
    long = LoadReportSettings(window=500 * SECOND, forget=500 * SECOND)
    network = Network(loss, doubled, late)
    one = LedgerWorld(members, seed, lambda name, now: 40.0 if now < 8 * SECOND else 0.0, network, long)
    lost = 0.0
    for second in range(1, 16):
        if second == restart:
            lost = one.truth(names=["b000"])
            one.kill(["b000"])
            one.start("b000")
        one.run(second * SECOND)
        assert max(one.taken()) <= one.truth()
    one.network = Network()
    one.run(30 * SECOND)
    truth = one.truth()
    for value in one.taken():
        assert truth - lost <= value <= truth  # what a dead one had not told, or told only to itself
    if restart < 0:
        assert set(one.taken()) == {truth}


# --- explored ---

LONG = LoadReportSettings(window=1000 * SECOND, forget=1000 * SECOND)


class Small:
    """Three brokers and the messages between them; each choice is one step."""

    def __init__(self) -> None:
        self.now = 0
        self.boots = {"a": 1, "b": 2, "c": 3}
        self.flying: list[Packet] = []
        self.ledgers: dict[str, LoadReporter] = {}
        self.tallies: dict[str, LoadCounter] = {}
        self.totals: dict[str, Totals] = {}
        self.truth = 0
        self.crashed = 0
        for name in self.boots:
            self._begin(name)
        self.pass_time(take=True)

    def _begin(self, name: str) -> None:
        self.ledgers[name] = LoadReporter("f", name, self.boots[name], LONG, 1, self.now)
        self.tallies[name] = LoadCounter(self.now)
        for one in self.ledgers:
            self._step(one, [LiveMembers(dict(self.boots), 3)])

    def _step(self, name: str, inputs: list[OwnCounts | DatagramReceived | LiveMembers]) -> None:
        for out in self.ledgers[name].step(self.now, inputs):
            if isinstance(out, Packet):
                self.flying.append(out)
            else:
                self.totals[name] = out

    def pass_time(self, take: bool) -> None:
        """A period; each broker takes queries first and then tells."""
        self.now += 500 * MS
        for place, (name, tally) in enumerate(self.tallies.items()):
            for _ in range((place + 1) * 3 if take else 0):
                tally.count_arrival(0, 0.5)
                self.truth += 1
            self._step(name, [OwnCounts(tally.snapshot(self.now))])

    def arrive(self, place: int, keep: bool = False) -> None:
        packet = self.flying[place] if keep else self.flying.pop(place)
        self._step(packet.to, [DatagramReceived(packet.data)])

    def crash(self, name: str) -> None:
        self.crashed += sum(row[Count.TAKEN] for row in self.tallies[name].snapshot(0).by_class)
        self.boots[name] += 10
        self.totals.pop(name, None)
        self._begin(name)

    def choices(self) -> list[tuple[str, int]]:
        """The two oldest messages arrive, are lost or doubled; time passes; one crash."""
        found = [
            (what, place)
            for place in range(min(2, len(self.flying)))
            for what in ("arrive", "lose", "double")
        ]
        crash = [] if self.crashed else [("crash", 0), ("crash", 2)]
        return [*found, ("time", 0), *crash]

    def choose(self, what: str, place: int) -> None:
        if what == "lose":
            del self.flying[place]
        elif what == "time":
            self.pass_time(take=True)
        elif what == "crash":
            self.crash("abc"[place])
        else:
            self.arrive(place, keep=what == "double")

    def settle(self) -> None:
        """A sound network for a while; the messages that fly arrive, newest first."""
        for _ in range(5):
            while self.flying:
                self.arrive(len(self.flying) - 1)
            self.pass_time(take=False)

    def findings(self, settled: bool) -> list[str]:
        wrong = []
        for name, totals in self.totals.items():
            found = totals.count(Count.TAKEN)
            if found > self.truth:
                wrong.append(f"{name}: {found} of {self.truth}")
            if settled and found < self.truth - self.crashed:
                wrong.append(f"{name}: only {found} of {self.truth}, {self.crashed} of a dead one")
        return wrong


def explore(depth: int) -> tuple[int, list[str]]:
    """Every choice at each of so many steps; how many ends there were, and what was wrong."""
    ends, wrong = 0, []
    states = [Small()]
    for step in range(depth + 1):
        following = []
        for state in states:
            wrong += state.findings(False)
            if step < depth:
                for choice in state.choices():
                    after = copy.deepcopy(state)
                    after.choose(*choice)
                    following.append(after)
            else:
                ends += 1
                state.settle()
                wrong += state.findings(True)
        states = following
    return ends, wrong


def test_three_brokers_explored() -> None:
    ends, wrong = explore(3)
    assert ends > 400
    assert wrong == []


def test_the_explorer_finds_a_planted_bug(monkeypatch: pytest.MonkeyPatch) -> None:
    from quincepath.fleet.load_reports import reporter
    from tests.fleet.load_reports.test_member_counts import mutant

    broken = mutant(
        "member_counts_summed", ("if value > (previous or 0):", "previous = 0\n            if value > 0:")
    )
    monkeypatch.setattr(reporter, "MemberCounts", broken.MemberCounts)
    assert explore(1)[1]


# --- the tree ---


def test_groups_and_summers_stay_when_members_die() -> None:
    names = [f"b{place:03}" for place in range(200)]
    whole = AggregationTree("b000", names, 200, LoadReportSettings())
    assert whole.groups == 16 and whole.top_level == 1
    moved = 0
    for gone in names[1:]:
        less = AggregationTree("b000", [name for name in names if name != gone], 200, LoadReportSettings())
        for level, place in itertools.chain([(1, 0)], ((0, group) for group in range(16))):
            before, after = whole.aggregators(level, place), less.aggregators(level, place)
            changed = sum(x != y for x, y in zip(before, after, strict=True))
            assert changed <= (2 if gone in before else 0)
            moved += changed
    assert moved >= 17 * 3 - 3


@pytest.mark.parametrize(
    ("known", "groups", "top"), [(1, 1, 0), (16, 1, 0), (17, 2, 1), (256, 16, 1), (500, 32, 2)]
)
def test_groups_follow_from_the_configured_members(known: int, groups: int, top: int) -> None:
    tree = AggregationTree("a", ["a", "b"], known, LoadReportSettings())
    assert (tree.groups, tree.top_level) == (groups, top)
    assert tree.group_index("b", top) == 0
