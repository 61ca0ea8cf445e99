"""Random networks and restarts: no broker goes back a revision or has one by half, and all end equal.

The world checks at every step that revisions only grow and that the values are those committed with the
revision; here the schedules are random, and mutants show that the checks would find it.
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
SOUND = Network()


@dataclass(frozen=True)
class Fault:
    """One thing that happens, ``after`` ms from the one before."""

    what: str
    which: int
    after: int


FAULTS = (
    "commit", "commit", "commit", "restart broker", "restart relay", "vanish relay", "mute relay",
    "stick relay", "wake relays", "close relay", "cut region", "mend", "kill leader", "revive voters",
    "compact", "compact", "poison", "cure",
)  # fmt: skip
POISON = "tenant/poison"  # half of the brokers cannot have it in force
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


def refuses_poison(edits: Sequence[Edit]) -> Sequence[ChangeFault]:
    return [
        ChangeFault(POISON, "there", "absent", POISON)
        for edit in edits
        if edit.name == POISON and edit.new is not None
    ]


class Picky(Subscriber):
    """Every second broker refuses the poison."""

    def __init__(self, me: SubscriberIdentity, *args: Any) -> None:
        super().__init__(me, *args)
        if int(me.name[1:]) % 2:
            self.applier.check = refuses_poison


def poison(world: ConfigurationWorld, new: bytes | None) -> None:
    """Put it in, or take it away; no broker but the half refuses it."""
    world.scenery.count += 1
    old = world.voters.history.table.values.get(POISON)
    if old != new:
        world.commit(Change(f"poison {world.scenery.count}", "test", 0, (Edit(POISON, old, new),)))


def happen(world: ConfigurationWorld, fault: Fault) -> None:
    """Let it happen now."""
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
            poison(world, tenant("poison", 1.0 + fault.which))
        case "cure":
            poison(world, None)
        case "kill leader":
            if world.voters.leader and len(world.voters.dead) < 2:
                world.voters.kill(world.voters.leader)
        case _:
            mend(world, fault.what)


def mend(world: ConfigurationWorld, what: str) -> None:
    """What ends a fault, or compacts the log."""
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


def play(
    schedule: Sequence[Fault], network: Network, seed: int, make: type[Subscriber] = Picky
) -> ConfigurationWorld:
    """A schedule in a bad network, then a sound one with every relay alive, and one more change."""
    shape = Shape(BROKERS, relays=RELAYS, nodes=12, zones=3, check_values=True)
    world = ConfigurationWorld(shape, seed, network, make_subscriber=make)
    for fault in schedule:
        happen(world, fault)
    world.net.network = SOUND
    for what in ("wake relays", "mend", "revive voters"):
        mend(world, what)
    for process in list(world.relays.values()):
        process.stuck = False
        if process.dead:
            world.start_relay(process.name)
    world.run(world.now + 5 * SECOND)
    poison(world, None)
    world.commit()
    world.run(world.now + 7 * SECOND)
    return world


def assert_sound(world: ConfigurationWorld) -> None:
    assert world.measures.violations == []
    assert world.unequal() == []
    for process in world.relays.values():
        assert process.relay.values == world.voters.history.table.values


@settings(max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SCHEDULES, NETWORKS, st.integers(0, 3))
def test_any_schedule_ends_unequal_or_takes_something_back(
    schedule: list[Fault], network: Network, seed: int
) -> None:
    assert_sound(play(schedule, network, seed))


# --- planted bugs ---


class _BackByLateDeltas(Applier):
    """Forgets that deltas may come late: it takes the revision that is told."""

    def hold(self, deltas: Sequence[Delta]) -> bool:
        if deltas and deltas[0].revision <= self.revision:
            self.table.apply(edit for delta in deltas for edit in delta.edits)
            self.revision = deltas[0].revision - 1
        return super().hold(deltas)


class _ByHalf(Applier):
    """Applies the edits that it can of a snapshot, and leaves what is gone."""

    def apply_snapshot(self, image: Image) -> Applied | None:
        if image.revision <= self.revision:
            return None
        self.needs_snapshot = False
        edits = diff_values(self.table.values, read_image(image).values)
        return self._advance_to(image.revision, tuple(edit for edit in edits if edit.new is not None))


class _JumpsGaps(Applier):
    """Takes deltas as they come, also beyond a gap."""

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


@pytest.mark.parametrize("applier", [_BackByLateDeltas, _ByHalf, _JumpsGaps])
def test_a_planted_bug_passes(applier: type[Applier]) -> None:
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
        world = play(schedule, network, seed, make)
        found.extend(world.measures.violations or world.unequal())

    explored()
    assert found
