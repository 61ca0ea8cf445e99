"""The hard cases of configuration distribution, each a short script that ends with a row of figures.

``brokers`` and ``changes`` set the size: tests play small ones in seconds, the benchmark those of the target.
A row tells the time from commit until a revision is in force at every broker that can be reached, over the
changes of the case, and what was wrong: brokers that are not at the newest in the end, violations.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from quincepath.fleet.configuration.changes import Change, Edit
from quincepath.fleet.configuration.subscriber import Subscriber
from quincepath.lab.fleet.configuration_world.lean import LeanSubscriber
from quincepath.lab.fleet.configuration_world.measures import Traffic
from quincepath.lab.fleet.configuration_world.network import MS, SECOND, Network
from quincepath.lab.fleet.configuration_world.scenery import node_value
from quincepath.lab.fleet.configuration_world.world import ConfigurationWorld, Shape

LIMIT_MS = 7000.0  # in force everywhere
SETTLE = 5 * SECOND  # from the start until all have the first revision
CHANGES_A_DAY = 4000
DAY = 86_400 * SECOND


@dataclass(slots=True)
class Row:
    """Figures of one case. Times in ms; ``figures``: what only this case has."""

    case: str
    brokers: int
    changes: int
    median_ms: float
    p99_ms: float
    most_ms: float
    unequal: int  # brokers not at the newest in the end
    violations: list[str]
    digest: str  # of all messages
    figures: dict[str, Any] = field(default_factory=dict)

    @property
    def good(self) -> bool:
        """In time, and nothing wrong."""
        return self.most_ms <= LIMIT_MS and not self.unequal and not self.violations


def begun(
    brokers: int,
    seed: int,
    network: Network | None = None,
    nodes: int = 100,
    check: bool = False,
    **more: Any,
) -> ConfigurationWorld:
    """A world where all have the first revision."""
    world = ConfigurationWorld(Shape(brokers, nodes=nodes, check_values=check), seed, network, **more)
    world.run(SETTLE)
    return world


def row(case: str, world: ConfigurationWorld, first: int, figures: Mapping[str, Any] | None = None) -> Row:
    """Of the changes after revision ``first``."""
    times = world.measures.times_ms(range(first + 1, world.voters.history.revision + 1))
    return Row(
        case,
        len(world.brokers),
        len(times),
        round(share(times, 0.5), 1),
        round(share(times, 0.99), 1),
        round(share(times, 1.0), 1),
        len(world.unequal()),
        world.measures.violations,
        world.digest.hexdigest(),
        dict(figures or {}),
    )


def share(times: list[float], part: float) -> float:
    """The time within which this share of them is; NaN of none."""
    if not times:
        return float("nan")
    return times[min(int(part * len(times)), len(times) - 1)]


def rest(world: ConfigurationWorld, pause: int) -> None:
    """Let a pause pass, and up to a second more: changes come at no fixed place between heartbeats."""
    world.run(world.now + pause + world.scenery.random.randrange(SECOND))


def commit_every(world: ConfigurationWorld, changes: int, pause: int) -> None:
    """Commit the scenery's changes, one after each pause."""
    for _ in range(changes):
        assert world.commit() is not None, "no leader"
        world.run(world.now + pause // 2 + world.scenery.random.randrange(pause))


def calm(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """One change every two seconds, nothing goes wrong."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    commit_every(world, changes, 2 * SECOND)
    world.run(world.now + SETTLE)
    return row("calm", world, first)


def loss(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """One message in twenty is lost, one in fifty doubled, one in fifty late and out of order."""
    world = begun(brokers, seed, Network(loss=0.05, doubled=0.02, late=0.02), check=check)
    world.run(world.now + SETTLE)
    first = world.voters.history.revision
    commit_every(world, changes, 2 * SECOND)
    world.run(world.now + 10 * SECOND)
    return row("5% loss", world, first)


def leader_killed(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """The leader dies when the change is committed and nobody was told yet; it is back ten seconds later."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    for _ in range(changes):
        leader = world.voters.leader
        world.voters.kill_leader_at_commit = True
        assert world.commit() is not None
        world.run(world.now + 10 * SECOND)
        world.voters.revive(leader)
        rest(world, 2 * SECOND)
    return row("leader killed between commit and telling", world, first)


def relay_killed(brokers: int, changes: int, seed: int = 1, check: bool = False, told: bool = True) -> Row:
    """A relay dies when it has told half of its subscribers; it is back, empty, ten seconds later."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    names = list(world.relays)
    for number in range(changes):
        process = world.relays[names[number % len(names)]]
        process.dies_after_deltas = len(process.relay.records) // 2
        process.dies_told = told
        assert world.commit() is not None
        world.run(world.now + 10 * SECOND)
        if process.dead:
            world.start_relay(process.name)
        rest(world, 2 * SECOND)
    how = "connections end" if told else "machine vanishes"
    return row(f"relay killed amid a delta, {how}", world, first)


def relay_silent(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """A relay hangs, its connections standing, when a change is committed; it wakes up ten seconds later."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    names = list(world.relays)
    for number in range(changes):
        name = names[number % len(names)]
        world.mute_relay(name)
        assert world.commit() is not None
        world.run(world.now + 10 * SECOND)
        world.mute_relay(name, False)
        rest(world, 2 * SECOND)
    return row("relay silent but connected", world, first)


def relay_lags(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """A relay hears no voter for twelve seconds, with changes each second; its subscribers must leave it."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    names = list(world.relays)
    for number in range(max(changes // 12, 1)):
        process = world.relays[names[number % len(names)]]
        process.stuck = True
        commit_every(world, 12, SECOND)
        process.stuck = False
        world.run(world.now + 3 * SECOND)
    world.run(world.now + SETTLE)
    return row("relay lags behind the log", world, first)


def reconnected_to_laggard(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """A relay is behind its region's brokers, and all their other relays go: nobody takes a revision back."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    region = [place.name for place in world.places if place.region == "1"]
    laggard = world.relays[region[0]]
    laggard.stuck = True
    commit_every(world, changes, SECOND)
    world.run(world.now + SETTLE)
    before = world.voters.history.revision
    world.net.isolate([1])
    for name in region[1:]:
        world.kill_relay(name)
    world.run(world.now + 10 * SECOND)
    figures = {
        "laggard_revision": laggard.relay.log.newest - first,
        "brokers_at_it": len(laggard.relay.records),
        "least_revision_of_a_broker": min(broker.revision for broker in world.alive()) - first,
        "committed_before": before - first,
    }
    world.net.isolate([])
    laggard.stuck = False
    world.run(world.now + 3 * SECOND)
    commit_every(world, 5, SECOND)
    world.run(world.now + SETTLE)
    return row("reconnected to a relay that lags", world, first, figures)


def twice_and_conflicting(brokers: int, changes: int, seed: int = 1, check: bool = False) -> Row:
    """Each change is proposed twice, and another one on the same old value once."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    repeats = refused = 0
    for number in range(changes):
        values = world.voters.history.table.values
        change = world.scenery.change(values, world.now // MS)
        rival = Change(f"rival {number}", "rival", 0, tuple(_other(edit) for edit in change.edits))
        answers = [world.voters.commit(one) for one in (change, rival, change)]
        assert answers[0] is not None and answers[1] is not None
        repeats += answers[2] == answers[0]
        refused += answers[1].revision == 0 and "the old value that the change names" in answers[1].reason
        rest(world, 2 * SECOND)
    world.run(world.now + SETTLE)
    return row("proposed twice, and conflicting", world, first, {"same_answer": repeats, "refused": refused})


def _other(edit: Edit) -> Edit:
    """Another new value on the same old one."""
    kind, _, name = edit.name.partition("/")
    if kind == "node":
        return Edit(edit.name, edit.old, node_value(int(name.rpartition("-")[2]), "gone"))
    return Edit(edit.name, edit.old, None if edit.old is not None else b"\x80")


def burst(brokers: int, changes: int = 100, seed: int = 1, check: bool = False) -> Row:
    """So many changes within one second."""
    world = begun(brokers, seed, check=check)
    first = world.voters.history.revision
    commit_every(world, changes, SECOND // changes)
    world.run(world.now + 10 * SECOND)
    worst = max(broker.traffic.worst_second_bytes for broker in world.alive())
    return row("burst in a second", world, first, {"broker_worst_second_bytes": worst})


def zone_returns(
    brokers: int, changes: int, seed: int = 1, check: bool = False, nodes: int = 100, lean: bool = False
) -> Row:
    """All brokers of a zone start anew in one moment, with nothing, while changes go on each half second."""
    make = LeanSubscriber if lean else Subscriber
    world = begun(brokers, seed, nodes=nodes, check=check, make_subscriber=make)
    world.run(world.now + 10 * SECOND)
    first = world.voters.history.revision
    zone = [broker.name for broker in world.alive() if broker.zone == 3]
    for name in zone:
        world.kill_broker(name, told=False)
    commit_every(world, changes // 2, SECOND)
    returned_at = world.now
    world.forget_worst_seconds()
    newest = world.voters.history.revision
    for name in zone:
        world.start_broker(name)
    commit_every(world, changes - changes // 2, SECOND // 2)
    world.run(world.now + 10 * SECOND)
    reached = [world.first_at(name, newest) for name in zone]
    figures = {
        "returning": len(zone),
        "nodes": nodes,
        "snapshot_bytes": world.snapshot_bytes(),
        "all_returned_at_newest_ms": round((max(reached) - returned_at) / MS, 1),
        "broker_worst_second_bytes": max(broker.traffic.worst_second_bytes for broker in world.alive()),
        "relay_worst_second_bytes": max(relay.traffic.worst_second_bytes for relay in world.relays.values()),
    }
    return row("a zone returns at once", world, first, figures)


def region_cut(
    brokers: int, changes: int, seed: int = 1, check: bool = False, seconds: int = 3600, region: int = 0
) -> Row:
    """A region is cut off; changes go on in the others; some of its brokers start anew; the cut is mended."""
    world = begun(brokers, seed, check=check)
    inside = [broker for broker in world.alive() if world.net.region[broker.name] == region]
    world.net.isolate([region])
    world.run(world.now + 5 * SECOND)
    pause = seconds * SECOND // (changes + 1)
    outside = _cut_changes(world, changes, pause, [broker.name for broker in inside[:5]])
    inside = [world.brokers[broker.name] for broker in inside]
    ages = [broker.subscriber.status(world.now).age_ms for broker in inside]
    served = sum(age >= 0 for age in ages)
    stood = {broker.revision for broker in world.alive() if world.net.region[broker.name] == region}
    mended_at = world.now
    newest = world.voters.history.revision
    before = {broker.name: broker.traffic.bytes for broker in world.alive()}
    world.net.isolate([])
    world.run(world.now + 10 * SECOND)
    names = [broker.name for broker in world.alive() if world.net.region[broker.name] == region]
    reached = [world.first_at(name, newest) for name in names]
    caught = max(brought.traffic.bytes - before[brought.name] for brought in world.alive())
    outside_most, inside_after = share(outside, 1.0), (max(reached) - mended_at) / MS
    figures: dict[str, Any] = {
        "seconds": seconds,
        "brokers_inside": len(names),
        "served_inside": served,
        "age_inside_ms": max(ages),
        "revisions_behind_inside": [newest - revision for revision in sorted(stood)],
        "outside_most_ms": round(outside_most, 1),
        "all_inside_at_newest_ms": round(inside_after, 1),
        "broker_bytes_to_catch_up": caught,
        "snapshots_made": sum(relay.relay.slots.images_made for relay in world.relays.values()),
    }
    found = row("region cut off", world, world.voters.history.revision, figures)
    found.changes = changes
    found.median_ms, found.p99_ms = round(share(outside, 0.5), 1), round(share(outside, 0.99), 1)
    found.most_ms = round(max(outside_most, inside_after), 1)
    return found


def _cut_changes(world: ConfigurationWorld, changes: int, pause: int, restarted: list[str]) -> list[float]:
    """Changes during a cut, and restarts within; times until in force at all outside, in ms."""
    watched = {broker.name for broker in world.alive() if broker.name not in restarted}
    inside = world.net.isolated
    outside = [name for name in sorted(watched) if world.net.region[name] not in inside]
    committed: list[tuple[int, int]] = []
    for number in range(changes):
        if world.commit() is not None:
            committed.append((world.voters.history.revision, world.now))
        world.run(world.now + pause)
        if number == changes // 2:
            for name in restarted:
                world.kill_broker(name)
                world.start_broker(name)
    world.run(world.now + pause)
    return sorted(
        max(world.first_at(name, revision) - at for name in outside) / MS for revision, at in committed
    )


def ordinary_day(brokers: int, seconds: int, seed: int = 1, check: bool = False) -> Row:
    """Changes at the pace of 4,000 a day: bytes a second of a broker and of a relay, heads included."""
    world = begun(brokers, seed, check=check)
    world.run(20 * SECOND)
    first = world.voters.history.revision
    people = [broker.traffic for broker in world.alive()]
    machines = [relay.traffic for relay in world.relays.values()]
    world.forget_worst_seconds()
    before = {id(traffic): traffic.bytes for traffic in (*people, *machines)}
    pause = DAY // CHANGES_A_DAY
    changes = seconds * SECOND // pause
    begun_at = world.now
    commit_every(world, changes, pause)
    lasted = (world.now - begun_at) / SECOND

    def rates(traffics: list[Traffic]) -> list[float]:
        return [(traffic.bytes - before[id(traffic)]) / lasted for traffic in traffics]

    broker_rates, relay_rates = rates(people), rates(machines)
    figures = {
        "seconds": round(lasted, 1),
        "broker_bytes_a_second": round(sum(broker_rates) / len(broker_rates), 1),
        "broker_bytes_a_second_most": round(max(broker_rates), 1),
        "broker_worst_second_bytes": max(traffic.worst_second_bytes for traffic in people),
        "relay_bytes_a_second": round(sum(relay_rates) / len(relay_rates), 1),
        "relay_bytes_a_second_most": round(max(relay_rates), 1),
        "relay_worst_second_bytes": max(traffic.worst_second_bytes for traffic in machines),
        "subscribers_of_a_relay_most": max(len(relay.relay.records) for relay in world.relays.values()),
    }
    return row("ordinary day", world, first, figures)


CASES: dict[str, Callable[..., Row]] = {
    "calm": calm,
    "leader_killed": leader_killed,
    "relay_killed": relay_killed,
    "relay_silent": relay_silent,
    "relay_lags": relay_lags,
    "reconnected_to_laggard": reconnected_to_laggard,
    "twice_and_conflicting": twice_and_conflicting,
    "burst": burst,
    "zone_returns": zone_returns,
    "region_cut": region_cut,
    "loss": loss,
    "ordinary_day": ordinary_day,
}
