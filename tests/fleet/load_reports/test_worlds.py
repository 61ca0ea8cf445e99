"""Fleets of load reporters in virtual time: failures, and that losses violate neither truth nor bounds."""

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


def run_and_check_upper_bound(
    world: LedgerWorld, until: int, over: float = 1.03, names: list[str] | None = None
) -> None:
    """Run on; nobody's totals are ever above the highest true value of the last 6 s."""
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
    return [(world.now - totals.at) / SECOND for totals in found if totals]


def assert_accurate(world: LedgerWorld, within: float, names: list[str] | None = None) -> None:
    truth = world.truth(names=names)
    assert all(abs(value / truth - 1) <= within for value in world.taken()), (truth, sorted(world.taken()))


def aggregators_of(world: LedgerWorld, level: int, place: int) -> tuple[str, ...]:
    boots = {name: process.boot for name, process in world.of.items()}
    return AggregationTree(world.names[0], boots, len(world.names), world.settings).aggregators(level, place)


# --- failure cases ---


def test_network_partition_each_side_has_its_own_totals() -> None:
    fleet = world(20)
    partition = fleet.names[:8]
    fleet.cut(partition)
    run_and_check_upper_bound(fleet, 14 * SECOND, 1.03)
    fleet.run(28 * SECOND)
    for names in (partition, fleet.names[8:]):
        truth = fleet.truth(names=names)
        for name in names:
            totals = fleet.of[name].totals
            assert totals is not None and totals.live == totals.reporting == len(names)
            assert abs(totals.count(Count.TAKEN) / truth - 1) < 0.02
    fleet.cut([])
    run_and_check_upper_bound(fleet, 45 * SECOND)
    assert_accurate(fleet, 0.02)
    assert min(coverages(fleet)) == 1.0


def test_restarted_brokers_count_once_and_are_soon_complete() -> None:
    fleet = world(20)
    fleet.kill(["b003", "b007"])
    run_and_check_upper_bound(fleet, 12 * SECOND)
    fleet.start("b003")
    fleet.start("b007")
    run_and_check_upper_bound(fleet, 30 * SECOND)
    assert_accurate(fleet, 0.02)
    assert min(coverages(fleet)) == 1.0


@pytest.mark.parametrize("view_alternates", [False, True], ids=["stable view", "alternating view"])
def test_a_second_process_of_a_name_counts_once(view_alternates: bool) -> None:
    fleet = world(12)
    clone = fleet.start("b004", clone=True)
    real = fleet.of["b004"]
    for step in range(1, 20):
        if view_alternates:
            fleet.of["b004"] = clone if step % 2 else real
            fleet.tell()
        fleet.run((10 + step) * SECOND)
        truth = RATE * 5 * 12
        assert max(fleet.taken()) <= 1.03 * truth
        assert min(fleet.taken()) >= 0.9 * truth
    assert sum(process.ledger.causes["second boot"] for process in fleet.processes) > 10


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
    ("distort", "cause"), [(thousandfold, "clipped"), (backwards, "backwards"), (frozen, "clipped")]
)
@pytest.mark.parametrize("members", [5, 20])
def test_a_faulty_broker_changes_the_totals_by_the_stated_bound_only(
    distort: Callable[[Counts], Counts], cause: str, members: int
) -> None:
    fleet = LedgerWorld(members, 1, steady)
    faulty = fleet.of["b002"]
    faulty.bend = distort
    others = [name for name in fleet.names if name != "b002"]
    rate = fleet.settings.share_most * RATE
    assert rate > fleet.settings.free_rate
    for _ in range(18):
        fleet.run(fleet.now + SECOND)
        true = fleet.truth(names=others)
        for name in others:
            totals = fleet.of[name].totals
            if fleet.now > 9 * SECOND:
                assert totals is not None
                assert 0.97 * true <= totals.count(Count.TAKEN) <= 1.03 * true + rate * 5
                assert totals.sends[0] <= 8 * (1.03 * true + rate * 5)
    assert sum(process.ledger.causes[cause] for process in fleet.processes) > 0
    if distort is backwards:
        assert max(totals.reporting for p in fleet.processes if (totals := p.totals)) == members - 1


def test_nothing_is_lost_when_one_top_level_aggregator_dies() -> None:
    fleet = world(40)
    fleet.kill([aggregators_of(fleet, 1, 0)[0]])
    while fleet.now < 22 * SECOND:
        fleet.run(fleet.now + SECOND // 2)
        assert min(coverages(fleet)) >= 0.94 and max(ages(fleet)) < 2.5
        assert min(fleet.taken()) > 0.95 * RATE * 5 * 39
    assert_accurate(fleet, 0.02)


def test_all_aggregators_die_under_overload_and_are_replaced() -> None:
    fleet = LedgerWorld(60, 1, lambda name, now: RATE if now < 9 * SECOND else 5 * RATE)
    fleet.run(10 * SECOND)
    dead = {name for level, place in [(1, 0), (0, 0), (0, 2)] for name in aggregators_of(fleet, level, place)}
    assert len(dead) >= 6
    fleet.kill(dead)
    fleet.run(12 * SECOND + 9 * SECOND // 10)
    assert max(ages(fleet)) > 2.0  # known to be stale
    # 3 s until the deaths are believed, and a window until totals are complete.
    run_and_check_upper_bound(fleet, 22 * SECOND)
    assert min(coverages(fleet)) >= 0.95
    assert_accurate(fleet, 0.05)


def test_many_messages_lost_late_or_duplicated() -> None:
    fleet = world(40, WORST)
    for _ in range(20):
        fleet.run(fleet.now + SECOND)
        truth, found = fleet.truth(), fleet.taken()
        assert max(found) <= 1.05 * truth
        assert sum(found) / len(found) >= 0.95 * truth
        assert sum(coverages(fleet)) / len(found) >= 0.9
        assert sum(ages(fleet)) / len(found) < 3.0
    fleet.network = Network()
    fleet.run(fleet.now + 10 * SECOND)
    assert_accurate(fleet, 0.02)


@pytest.mark.parametrize("network", [Network(), WORST], ids=["sound", "worst"])
def test_three_levels_of_groups(network: Network) -> None:
    fleet = LedgerWorld(40, 1, steady, network, LoadReportSettings(group_size=4))
    assert AggregationTree("b000", fleet.names, 40, fleet.settings).top_level == 2
    fleet.run(14 * SECOND)
    found, truth = fleet.taken(), fleet.truth()
    assert (
        max(found) <= 1.03 * truth and sum(found) / len(found) >= (0.98 if network.loss == 0 else 0.9) * truth
    )
    fleet.kill(["b001", "b002"])
    fleet.network = Network()
    fleet.run(30 * SECOND)
    assert_accurate(fleet, 0.02)
    assert min(coverages(fleet)) == 1.0


@pytest.mark.parametrize(
    "invalid",
    [
        {"group_size": 1},
        {"aggregators": 0},
        {"period": 0},
        {"window": MS},
        {"share_most": 0.0},
        {"free_rate": 1e9},
    ],
)
def test_errors_name_the_setting_out_of_range(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=rf"ledger\.{next(iter(invalid))}: .*; expected"):
        LoadReportSettings(**invalid)  # type: ignore[arg-type]


def test_two_thirds_of_the_brokers_killed() -> None:
    fleet = world(50)
    fleet.kill(fleet.names[::3] + fleet.names[1::3])
    fleet.run(13 * SECOND + SECOND // 2)
    run_and_check_upper_bound(fleet, 25 * SECOND)
    assert_accurate(fleet, 0.03)
    assert min(coverages(fleet)) == 1.0


def test_all_load_at_one_broker_counts_up_to_the_free_rate() -> None:
    fleet = LedgerWorld(20, 1, lambda name, now: 1000.0 if name == "b000" else 0.0)
    fleet.run(15 * SECOND)
    free = fleet.settings.free_rate * 5
    assert all(0.95 * free <= value <= free for value in fleet.taken())


def test_few_brokers_with_most_of_the_load_are_counted_completely() -> None:
    """A broker with all load of its group is known by the fleet's sums not to be faulty."""
    fleet = LedgerWorld(50, 1, lambda name, now: 400.0 if name < "b010" else 0.0)
    fleet.run(12 * SECOND)
    assert_accurate(fleet, 0.02)
    assert sum(process.ledger.causes["clipped"] for process in fleet.processes) < 500


def test_an_oscillating_faulty_broker_gets_no_higher_bound() -> None:
    fleet = LedgerWorld(20, 1, steady)
    faulty, steps = fleet.of["b002"], itertools.count()

    def oscillating(counts: Counts) -> Counts:
        call = next(steps)
        extra = sum(100_000 for step in range(call) if step // 16 % 2)
        return replace(counts, by_class=[[counts.by_class[0][0] + extra] + [0] * 7])

    faulty.bend = oscillating
    others = [name for name in fleet.names if name != "b002"]
    while fleet.now < 45 * SECOND:
        fleet.run(fleet.now + SECOND // 2)
        if fleet.now > 9 * SECOND:
            most = 1.03 * fleet.truth(names=others) + 5 * fleet.settings.share_most * RATE
            assert max(fleet.taken(others)) <= 1.05 * most


def test_all_counts_are_in_the_totals() -> None:
    fleet = world(20)
    totals, truth = fleet.of["b000"].totals, fleet.truth()
    assert totals is not None
    approx = pytest.approx
    assert totals.count(Count.TAKEN) == approx(truth, rel=0.02)
    assert totals.count(Count.LATE) == approx(truth / 10, rel=0.05)
    assert list(totals.sends[:2]) == approx([8 * truth, truth / 5], rel=0.02)
    assert sum(totals.arrivals) == approx(truth, rel=0.02) and min(totals.arrivals) > 0
    assert sum(cell.demand for cell in totals.replica_sets.values()) == approx(8 * truth, rel=0.02)
    assert len(totals.replica_sets) == 40 and totals.threshold == 0.25
    slots = sum(tenant.slot_time for tenant in totals.tenants.values()) + totals.rest.slot_time
    assert slots == approx(truth / 4 * 40 * MS, rel=0.05)
    assert totals.rest.slot_time < 0.02 * slots  # three tenants use all


# --- any loss, duplication, delay ---


@settings(max_examples=10, deadline=None, derandomize=True)
@given(
    st.integers(2, 9),
    st.floats(0, 0.6),
    st.floats(0, 0.4),
    st.floats(0, 0.3),
    st.integers(0, 1 << 20),
    st.integers(-1, 7),
)
def test_never_above_the_truth_and_equal_to_it_once_the_network_recovers(
    members: int, loss: float, doubled: float, late: float, seed: int, restart: int
) -> None:
    """With a window over everything the totals are counts and have to match to the last query."""
    long = LoadReportSettings(window=500 * SECOND, forget=500 * SECOND)
    network = Network(loss, doubled, late)
    fleet = LedgerWorld(members, seed, lambda name, now: 40.0 if now < 8 * SECOND else 0.0, network, long)
    lost = 0.0
    for second in range(1, 16):
        if second == restart:
            lost = fleet.truth(names=["b000"])
            fleet.kill(["b000"])
            fleet.start("b000")
        fleet.run(second * SECOND)
        assert max(fleet.taken()) <= fleet.truth()
    fleet.network = Network()
    fleet.run(30 * SECOND)
    truth = fleet.truth()
    for value in fleet.taken():
        # Except what a dead one had not reported, or reported only to itself.
        assert truth - lost <= value <= truth
    if restart < 0:
        assert set(fleet.taken()) == {truth}


# --- exhaustive exploration ---

LONG = LoadReportSettings(window=1000 * SECOND, forget=1000 * SECOND)


class ThreeBrokers:
    """Three brokers and the messages between them; each choice is one step."""

    def __init__(self) -> None:
        self.now = 0
        self.boots = {"a": 1, "b": 2, "c": 3}
        self.in_flight: list[Packet] = []
        self.ledgers: dict[str, LoadReporter] = {}
        self.counters: dict[str, LoadCounter] = {}
        self.totals: dict[str, Totals] = {}
        self.truth = 0
        self.crashed = 0
        for name in self.boots:
            self._start(name)
        self.pass_time(with_queries=True)

    def _start(self, name: str) -> None:
        self.ledgers[name] = LoadReporter("f", name, self.boots[name], LONG, 1, self.now)
        self.counters[name] = LoadCounter(self.now)
        for fleet in self.ledgers:
            self._step(fleet, [LiveMembers(dict(self.boots), 3)])

    def _step(self, name: str, inputs: list[OwnCounts | DatagramReceived | LiveMembers]) -> None:
        for out in self.ledgers[name].step(self.now, inputs):
            if isinstance(out, Packet):
                self.in_flight.append(out)
            else:
                self.totals[name] = out

    def pass_time(self, with_queries: bool) -> None:
        """One period; each broker takes queries first and then reports."""
        self.now += 500 * MS
        for place, (name, counter) in enumerate(self.counters.items()):
            for _ in range((place + 1) * 3 if with_queries else 0):
                counter.count_arrival(0, 0.5)
                self.truth += 1
            self._step(name, [OwnCounts(counter.snapshot(self.now))])

    def arrive(self, place: int, duplicate: bool = False) -> None:
        packet = self.in_flight[place] if duplicate else self.in_flight.pop(place)
        self._step(packet.to, [DatagramReceived(packet.data)])

    def crash(self, name: str) -> None:
        self.crashed += sum(row[Count.TAKEN] for row in self.counters[name].snapshot(0).by_class)
        self.boots[name] += 10
        self.totals.pop(name, None)
        self._start(name)

    def choices(self) -> list[tuple[str, int]]:
        """The two oldest messages arrive, are lost or duplicated; time passes; one crash."""
        found = [
            (what, place)
            for place in range(min(2, len(self.in_flight)))
            for what in ("arrive", "lose", "double")
        ]
        crash = [] if self.crashed else [("crash", 0), ("crash", 2)]
        return [*found, ("time", 0), *crash]

    def choose(self, what: str, place: int) -> None:
        if what == "lose":
            del self.in_flight[place]
        elif what == "time":
            self.pass_time(with_queries=True)
        elif what == "crash":
            self.crash("abc"[place])
        else:
            self.arrive(place, duplicate=what == "double")

    def settle(self) -> None:
        """A network without faults for a while; messages in flight arrive, newest first."""
        for _ in range(5):
            while self.in_flight:
                self.arrive(len(self.in_flight) - 1)
            self.pass_time(with_queries=False)

    def findings(self, settled: bool) -> list[str]:
        findings = []
        for name, totals in self.totals.items():
            found = totals.count(Count.TAKEN)
            if found > self.truth:
                findings.append(f"{name}: {found} of {self.truth}")
            if settled and found < self.truth - self.crashed:
                findings.append(f"{name}: only {found} of {self.truth}, {self.crashed} of a dead one")
        return findings


def explore(depth: int) -> tuple[int, list[str]]:
    """Every choice at each of so many steps; the number of final states, and the violations found."""
    final_states, findings = 0, []
    states = [ThreeBrokers()]
    for step in range(depth + 1):
        following = []
        for state in states:
            findings += state.findings(False)
            if step < depth:
                for choice in state.choices():
                    after = copy.deepcopy(state)
                    after.choose(*choice)
                    following.append(after)
            else:
                final_states += 1
                state.settle()
                findings += state.findings(True)
        states = following
    return final_states, findings


def test_every_order_of_events_at_three_brokers() -> None:
    final_states, findings = explore(3)
    assert final_states > 400
    assert findings == []


def test_the_exploration_finds_a_planted_bug(monkeypatch: pytest.MonkeyPatch) -> None:
    from quincepath.fleet.load_reports import reporter
    from tests.fleet.load_reports.test_member_counts import mutant

    broken = mutant(
        "member_counts_summed", ("if value > (previous or 0):", "previous = 0\n            if value > 0:")
    )
    monkeypatch.setattr(reporter, "MemberCounts", broken.MemberCounts)
    assert explore(1)[1]


# --- aggregation tree ---


def test_groups_and_aggregators_stay_when_members_die() -> None:
    names = [f"b{place:03}" for place in range(200)]
    full = AggregationTree("b000", names, 200, LoadReportSettings())
    assert full.groups == 16 and full.top_level == 1
    moved = 0
    for dead in names[1:]:
        reduced = AggregationTree("b000", [name for name in names if name != dead], 200, LoadReportSettings())
        for level, place in itertools.chain([(1, 0)], ((0, group) for group in range(16))):
            before, after = full.aggregators(level, place), reduced.aggregators(level, place)
            changed = sum(x != y for x, y in zip(before, after, strict=True))
            assert changed <= (2 if dead in before else 0)
            moved += changed
    assert moved >= 17 * 3 - 3


@pytest.mark.parametrize(
    ("known", "groups", "top"), [(1, 1, 0), (16, 1, 0), (17, 2, 1), (256, 16, 1), (500, 32, 2)]
)
def test_groups_follow_from_the_configured_members(known: int, groups: int, top: int) -> None:
    tree = AggregationTree("a", ["a", "b"], known, LoadReportSettings())
    assert (tree.groups, tree.top_level) == (groups, top)
    assert tree.group_index("b", top) == 0
