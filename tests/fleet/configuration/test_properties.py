"""Random networks and restarts: no broker's revision goes back or is applied partly, and all end equal.

The world checks at every step that revisions only grow and that the values are those committed with the
revision; here the schedules are random, and mutants show that the checks find such errors.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quincepath.fleet.configuration.applier import Applied, Applier
from quincepath.fleet.configuration.changes import Change, Delta, Edit
from quincepath.fleet.configuration.changes import Fault as ChangeFault
from quincepath.fleet.configuration.snapshots import Image, read_image
from quincepath.fleet.configuration.subscriber import Subscriber, SubscriberIdentity
from quincepath.fleet.configuration.table import diff_values
from quincepath.lab.fleet.configuration_world import MS, SECOND, Network
from quincepath.lab.fleet.configuration_world.world import ConfigurationWorld, Shape
from tests.fleet.configuration.builders import tenant

BROKERS, RELAYS = 6, 3
GOOD_NETWORK = Network()


@dataclass(frozen=True)
class Fault:
    """One fault or event, ``after`` ms from the previous one."""

    what: str
    which: int
    after: int


FAULTS = (
    "commit", "commit", "commit", "restart broker", "restart relay", "vanish relay", "mute relay",
    "stick relay", "wake relays", "close relay", "cut region", "mend", "kill leader", "revive voters",
    "compact", "compact", "poison", "cure",
)  # fmt: skip
POISON = "tenant/poison"  # half of the brokers refuse it
SCHEDULES = st.lists(
    st.builds(Fault, st.sampled_from(FAULTS), st.integers(0, 5), st.sampled_from((0, 3, 40, 700, 3500))),
    max_size=30,
)
NETWORKS = st.builds(
    Network,
    loss=st.sampled_from((0.0, 0.05, 0.3)),
    doubled=st.sampled_from((0.0, 0.2)),
    late=st.sampled_from((0.0, 0.2)),
)


def poison_faults(edits: Sequence[Edit]) -> Sequence[ChangeFault]:
    return [
        ChangeFault(POISON, "there", "absent", POISON)
        for edit in edits
        if edit.name == POISON and edit.new is not None
    ]


class PoisonRefuser(Subscriber):
    """Every second broker refuses the poison resource."""

    def __init__(self, me: SubscriberIdentity, *args: Any) -> None:
        super().__init__(me, *args)
        if int(me.name[1:]) % 2:
            self.applier.check = poison_faults


def set_poison(world: ConfigurationWorld, new: bytes | None) -> None:
    """Set or remove the poison resource, which half of the brokers refuse."""
    world.scenery.count += 1
    old = world.voters.history.table.values.get(POISON)
    if old != new:
        world.commit(Change(f"poison {world.scenery.count}", "test", 0, (Edit(POISON, old, new),)))


def inject(world: ConfigurationWorld, fault: Fault) -> None:
    """Inject a fault or event after its delay."""
    world.run(world.now + fault.after * MS)
    relay = f"r{fault.which % RELAYS:02}"
    match fault.what:
        case "commit":
            world.commit()
        case "restart broker":
            name = f"b{fault.which % BROKERS:04}"
            world.kill_broker(name, told=fault.which % 2 == 0)
            world.start_broker(name)
        case "restart relay":
            world.kill_relay(relay)
            world.start_relay(relay)
        case "vanish relay":
            world.kill_relay(relay, told=False)
        case "close relay":
            world.close_relay(relay)
        case "mute relay":
            world.mute_relay(relay)
        case "stick relay":
            world.relays[relay].stuck = True
        case "cut region":
            world.net.isolate([fault.which % 3])
        case "poison":
            set_poison(world, tenant("poison", 1.0 + fault.which))
        case "cure":
            set_poison(world, None)
        case "kill leader":
            if world.voters.leader and len(world.voters.dead) < 2:
                world.voters.kill(world.voters.leader)
        case _:
            repair(world, fault.what)


def repair(world: ConfigurationWorld, what: str) -> None:
    """End a fault, or compact the log."""
    match what:
        case "wake relays":
            for name in world.relays:
                world.mute_relay(name, False)
        case "mend":
            world.net.isolate([])
        case "revive voters":
            for name in list(world.voters.dead):
                world.voters.revive(name)
        case "compact":
            log = world.voters.history.log
            log.compact(log.newest)
            for process in world.relays.values():
                process.relay.log.compact(log.newest)


def run_schedule(
    schedule: Sequence[Fault], network: Network, seed: int, make: type[Subscriber] = PoisonRefuser
) -> ConfigurationWorld:
    """Run a schedule in a bad network, then repair everything and commit one more change."""
    shape = Shape(BROKERS, relays=RELAYS, nodes=12, zones=3, check_values=True)
    world = ConfigurationWorld(shape, seed, network, make_subscriber=make)
    for fault in schedule:
        inject(world, fault)
    world.net.network = GOOD_NETWORK
    for what in ("wake relays", "mend", "revive voters"):
        repair(world, what)
    for process in list(world.relays.values()):
        process.stuck = False
        if process.dead:
            world.start_relay(process.name)
    world.run(world.now + 5 * SECOND)
    set_poison(world, None)
    world.commit()
    world.run(world.now + 7 * SECOND)
    return world


def assert_consistent(world: ConfigurationWorld) -> None:
    assert world.measures.violations == []
    assert world.unequal() == []
    for process in world.relays.values():
        assert process.relay.values == world.voters.history.table.values


@settings(max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SCHEDULES, NETWORKS, st.integers(0, 3))
def test_any_schedule_ends_with_equal_brokers_and_no_revision_goes_back(
    schedule: list[Fault], network: Network, seed: int
) -> None:
    assert_consistent(run_schedule(schedule, network, seed))


# --- planted bugs ---


class _GoesBackOnLateDeltas(Applier):
    """Ignores that deltas may arrive late: it adopts their revision."""

    def hold(self, deltas: Sequence[Delta]) -> bool:
        if deltas and deltas[0].revision <= self.revision:
            self.table.apply(edit for delta in deltas for edit in delta.edits)
            self.revision = deltas[0].revision - 1
        return super().hold(deltas)


class _PartialSnapshots(Applier):
    """Applies the additions of a snapshot, and keeps removed resources."""

    def apply_snapshot(self, image: Image) -> Applied | None:
        if image.revision <= self.revision:
            return None
        self.needs_snapshot = False
        edits = diff_values(self.table.values, read_image(image).values)
        return self._advance_to(image.revision, tuple(edit for edit in edits if edit.new is not None))


class _SkipsGaps(Applier):
    """Accepts deltas after a gap."""

    def hold(self, deltas: Sequence[Delta]) -> bool:
        for delta in deltas:
            if delta.revision > self.received + 1:
                skipped = range(self.received + 1, delta.revision)
                self._held += [Delta(revision, ()) for revision in skipped]
        return super().hold(deltas)


def mutant(applier: type[Applier]) -> type[Subscriber]:
    """A subscriber with another applier."""

    class Mutant(Subscriber):
        def __init__(self, *args: object) -> None:
            super().__init__(*args)  # type: ignore[arg-type]
            self.applier = applier()

    return Mutant


@pytest.mark.parametrize("applier", [_GoesBackOnLateDeltas, _PartialSnapshots, _SkipsGaps])
def test_a_planted_bug_is_found(applier: type[Applier]) -> None:
    make = mutant(applier)
    found: list[str] = []

    @settings(
        max_examples=300,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(SCHEDULES, NETWORKS, st.integers(0, 3))
    def explored(schedule: list[Fault], network: Network, seed: int) -> None:
        if found:
            return
        world = run_schedule(schedule, network, seed, make)
        found.extend(world.measures.violations or world.unequal())

    explored()
    assert found
