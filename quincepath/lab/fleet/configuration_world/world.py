"""A fleet in virtual time: voters that commit, relays that follow them, subscribers; kills, cuts, silence.

The relays and subscribers are the pure cores that an edge would drive, with the messages that would travel.
The world checks at every step that no broker goes back a revision, and, where it is told to, that what a
broker has in force is what was committed with that revision, whole. Same seed, same day, byte for byte.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from quincepath.fleet.configuration.changes import Change
from quincepath.fleet.configuration.history import Answer
from quincepath.fleet.configuration.messages import Deltas, Summary, unpack
from quincepath.fleet.configuration.ports import (
    Apply,
    Close,
    Committed,
    Event,
    Loaded,
    Lost,
    Received,
    RelayInput,
    Report,
    Resume,
    Send,
    SubscriberInput,
)
from quincepath.fleet.configuration.relay import Relay, RelayIdentity
from quincepath.fleet.configuration.relay_preference import RelayLocation
from quincepath.fleet.configuration.snapshots import make_image
from quincepath.fleet.configuration.subscriber import Subscriber, SubscriberIdentity
from quincepath.lab.fleet.configuration_world.lean import LeanSubscriber
from quincepath.lab.fleet.configuration_world.measures import Measures, Traffic
from quincepath.lab.fleet.configuration_world.network import HEAD_BYTES, MS, SECOND, Network, VirtualNetwork
from quincepath.lab.fleet.configuration_world.scenery import Scenery, initial_change
from quincepath.lab.fleet.configuration_world.voters import Voters

FLEET = "lab"
ASK_EVERY = 500 * MS  # a follower of the log, as fleet/replicated_log.py has it
VOTER_SILENT = 1500 * MS
VOTER_REGIONS = (0, 0, 1, 1, 2)
ASK_BYTES = 64
EVENTS_KEPT = 10_000


@dataclass(slots=True)
class RelayProcess:
    """One control machine. ``muted``: it hangs and its connections stand; ``stuck``: it hears no voter."""

    name: str
    relay: Relay
    traffic: Traffic = field(default_factory=Traffic)
    wakes_at: int = -1
    dead: bool = False
    muted: bool = False
    stuck: bool = False
    voter: int = 0
    voter_heard_at: int = 0
    summary: Summary | None = None
    dies_after_deltas: int = -1  # messages; below 0: never
    dies_told: bool = True  # its connections end with it


@dataclass(slots=True)
class BrokerProcess:
    """One broker."""

    name: str
    subscriber: Subscriber
    zone: int
    traffic: Traffic = field(default_factory=Traffic)
    wakes_at: int = -1
    dead: bool = False
    revision: int = 0
    began_at: int = 0
    reached: list[tuple[int, int]] = field(default_factory=list)  # revisions in force, and since when


@dataclass(slots=True, frozen=True)
class Shape:
    """How large a world is. ``check_values``: compare every broker's values at every step (small worlds)."""

    brokers: int = 20
    relays: int = 15
    regions: int = 3
    zones: int = 10
    nodes: int = 100
    check_values: bool = False
    subscribers_most: int = 1000


class ConfigurationWorld:
    """``make_subscriber`` and ``make_relay`` are there for mutants."""

    def __init__(
        self,
        shape: Shape,
        seed: int,
        network: Network | None = None,
        make_subscriber: type[Subscriber] = Subscriber,
        make_relay: type[Relay] = Relay,
    ) -> None:
        """All start at time 0 with ``shape.nodes`` nodes committed."""
        self.shape, self.seed = shape, seed
        self.net = VirtualNetwork(seed, network or Network())
        self.measures = Measures()
        self.events: list[tuple[int, str, Event]] = []
        self.scenery = Scenery(seed, shape.nodes)
        self.digest = hashlib.blake2b(digest_size=16)  # of all messages, in order
        self._make_subscriber, self._make_relay = make_subscriber, make_relay
        self._lean = issubclass(make_subscriber, LeanSubscriber)
        self._boots = 0
        self._committed_values: dict[int, dict[str, bytes]] = {0: {}}
        voters = [f"v{place}" for place in range(len(VOTER_REGIONS))]
        for name, region in zip(voters, VOTER_REGIONS, strict=True):
            self.net.region[name] = region % shape.regions
        self.voters = Voters(self.net, voters, self._from_voter)
        self.voters.on_commit = self._committed
        self.places = [
            RelayLocation(f"r{place:02}", str(place % shape.regions)) for place in range(shape.relays)
        ]
        self.relays: dict[str, RelayProcess] = {}
        self.brokers: dict[str, BrokerProcess] = {}
        for first in range(0, shape.nodes, 512):
            answer = self.voters.commit(initial_change(shape.nodes, first))
            assert answer is not None and answer.revision, answer
        for place in self.places:
            self.start_relay(place.name)
        for number in range(shape.brokers):
            self.start_broker(f"b{number:04}")

    @property
    def now(self) -> int:
        """ns since the beginning."""
        return self.net.now

    def run(self, until: int) -> None:
        """To a time."""
        self.net.run(until)

    # --- changes ---

    def commit(self, change: Change | None = None) -> Answer | None:
        """Commit a change now, the scenery's next one if none is given."""
        values = self.voters.history.table.values
        return self.voters.commit(change or self.scenery.change(values, self.now // MS))

    def _committed(self, revision: int) -> None:
        alive = sum(not broker.dead for broker in self.brokers.values())
        self.measures.committed(revision, self.now, alive)
        if self.shape.check_values:
            self._committed_values[revision] = dict(self.voters.history.table.values)

    # --- processes ---

    def start_relay(self, name: str) -> None:
        """A new process, with nothing."""
        self._boots += 1
        place = next(place for place in self.places if place.name == name)
        self.net.region[name] = int(place.region)
        relay = self._make_relay(
            RelayIdentity(FLEET, name, self._boots), self.now, self.shape.subscribers_most
        )
        process = RelayProcess(name, relay, voter_heard_at=self.now)
        near = [
            at for at, voter in enumerate(self.voters.names) if self.net.region[voter] == int(place.region)
        ]
        process.voter = near[self.places.index(place) // self.shape.regions % len(near)] if near else 0
        before = self.relays.get(name)
        if before is not None:
            process.traffic = before.traffic
        self.relays[name] = process
        self._ask_voter(process, again=True)
        self._step_relay(process, [])

    def start_broker(self, name: str) -> None:
        """A new process, with nothing; it is expected to have the newest revision."""
        self._boots += 1
        number = int(name[1:])
        zone = number % self.shape.zones
        self.net.region[name] = zone % self.shape.regions
        me = SubscriberIdentity(FLEET, name, str(self.net.region[name]), self._boots)
        subscriber = self._make_subscriber(me, self.places, self.seed, self.now)
        process = BrokerProcess(name, subscriber, zone, began_at=self.now)
        before = self.brokers.get(name)
        if before is not None:
            process.traffic = before.traffic
        self.brokers[name] = process
        newest = self.voters.history.revision
        self.measures.expected_again(0, newest)
        self._step_broker(process, [])

    def kill_broker(self, name: str, told: bool = True) -> None:
        """It is gone and expected to have nothing. ``told``: its relay's connection ends with it."""
        process = self.brokers[name]
        process.dead = True
        self.measures.in_force(process.revision, self.voters.history.revision, self.now)
        relay = self.relays.get(process.subscriber.chooser.current)
        if told and relay is not None:
            self.net.send(name, relay.name, 0, lambda: self._step_relay(relay, [Lost(name)]))

    def kill_relay(self, name: str, told: bool = True) -> None:
        """``told``: the connections end with it; else the machine vanishes without a word."""
        self.relays[name].dead = True
        if not told:
            return
        for broker in self.brokers.values():
            chooser = broker.subscriber.chooser
            if name in (chooser.current, chooser.candidate):
                self.net.send(name, broker.name, 0, lambda b=broker: self._step_broker(b, [Lost(name)]))  # type: ignore[misc]

    def mute_relay(self, name: str, muted: bool = True) -> None:
        """It hangs, and its connections stand; or it goes on where it was."""
        process = self.relays[name]
        process.muted = muted
        if not muted:
            self._ask_voter(process)
            self._step_relay(process, [])

    def close_relay(self, name: str) -> None:
        """In good order: its subscribers are told to ask others."""
        self._step_relay(self.relays[name], [Close()])
        self.relays[name].dead = True

    # --- the log ---

    def _ask_voter(self, process: RelayProcess, again: bool = False) -> None:
        """A relay asks its voter; another one where that is silent."""
        if process.dead:
            return
        if again:
            self.net.at(self.now + ASK_EVERY, lambda: self._ask_voter(process, again=True))
        if process.muted:
            return
        if self.now > process.voter_heard_at + VOTER_SILENT:
            process.voter = (process.voter + 1) % len(self.voters.names)
            process.voter_heard_at = self.now
        voter, revision = self.voters.names[process.voter], process.relay.log.newest
        process.traffic.sent(self.now, ASK_BYTES)
        ask = lambda: self.voters.follow(process.name, voter, revision)  # noqa: E731
        self.net.send(process.name, voter, ASK_BYTES, ask)

    def _from_voter(self, voter: str, relay: str, told: Committed | Loaded, size: int) -> None:
        process = self.relays[relay]

        def arrive() -> None:
            if process.dead or process.muted or process.stuck:
                return
            process.voter_heard_at = self.now
            process.traffic.received(self.now, size)
            self._step_relay(process, [told])

        self.net.send(voter, relay, size + HEAD_BYTES, arrive)

    # --- steps ---

    def _step_relay(self, process: RelayProcess, inputs: list[RelayInput]) -> None:
        if process.dead or process.muted:
            return
        for out in process.relay.step(self.now, inputs):
            match out:
                case Send(to, data):
                    if self._dies_now(process, to, data):
                        return
                    self._carry(process.name, process.traffic, to, data)
                case Resume():
                    self._ask_voter(process)
                case Report(summary):
                    process.summary = summary
                case Event():
                    self._event(process.name, out)
        self._wake_relay(process)

    def _dies_now(self, process: RelayProcess, to: str, data: bytes) -> bool:
        """Whether the relay is to be killed before this message, in the middle of telling a delta."""
        if process.dies_after_deltas < 0 or not isinstance(unpack(data, FLEET, to)[1], Deltas):
            return False
        process.dies_after_deltas -= 1
        if process.dies_after_deltas < 0:
            self.kill_relay(process.name, process.dies_told)
        return process.dead

    def _wake_relay(self, process: RelayProcess) -> None:
        due = process.relay.due
        if process.wakes_at <= self.now or due < process.wakes_at:
            process.wakes_at = due
            self.net.at(due, lambda: self._woken_relay(process, due))

    def _woken_relay(self, process: RelayProcess, due: int) -> None:
        if process.wakes_at == due:
            process.wakes_at = -1
            self._step_relay(process, [])

    def _step_broker(self, process: BrokerProcess, inputs: list[SubscriberInput]) -> None:
        if process.dead:
            return
        for out in process.subscriber.step(self.now, inputs):
            match out:
                case Send(to, data):
                    self._carry(process.name, process.traffic, to, data)
                case Apply():
                    self._applied(process, out)
                case Event():
                    self._event(process.name, out)
        due = process.subscriber.due
        if process.wakes_at <= self.now or due < process.wakes_at:
            process.wakes_at = due
            self.net.at(due, lambda: self._woken_broker(process, due))

    def _woken_broker(self, process: BrokerProcess, due: int) -> None:
        if process.wakes_at == due:
            process.wakes_at = -1
            self._step_broker(process, [])

    def _carry(self, sender: str, traffic: Traffic, to: str, data: bytes) -> None:
        traffic.sent(self.now, len(data))
        self.digest.update(self.now.to_bytes(8, "big") + data)
        self.net.send(sender, to, len(data) + HEAD_BYTES, lambda: self._arrive(sender, to, data))

    def _arrive(self, sender: str, to: str, data: bytes) -> None:
        relay, broker = self.relays.get(to), self.brokers.get(to)
        if relay is not None and not relay.dead and not relay.muted:
            relay.traffic.received(self.now, len(data))
            self._step_relay(relay, [Received(sender, data)])
        elif broker is not None and not broker.dead:
            broker.traffic.received(self.now, len(data))
            self._step_broker(broker, [Received(sender, data)])

    # --- what is checked ---

    def _applied(self, process: BrokerProcess, applied: Apply) -> None:
        if applied.revision <= process.revision:
            self._violation(f"{process.name} went from revision {process.revision} to {applied.revision}")
        if self.shape.check_values:
            wanted = self._committed_values.get(applied.revision)
            if process.subscriber.applier.table.values != wanted:
                self._violation(f"{process.name} has revision {applied.revision} by half")
        self.measures.in_force(process.revision, applied.revision, self.now)
        process.revision = applied.revision
        process.reached.append((applied.revision, self.now))

    def _violation(self, text: str) -> None:
        self.measures.violations.append(f"{self.now / SECOND:.3f} s: {text}")

    def _event(self, name: str, event: Event) -> None:
        if len(self.events) < EVENTS_KEPT:
            self.events.append((self.now, name, event))

    def alive(self) -> Iterable[BrokerProcess]:
        """Brokers that run."""
        return [broker for broker in self.brokers.values() if not broker.dead]

    def first_at(self, name: str, revision: int) -> float:
        """When a broker had a revision or a later one in force; infinite: not yet."""
        for reached, at in self.brokers[name].reached:
            if reached >= revision:
                return at
        return float("inf")

    def forget_worst_seconds(self) -> None:
        """Worst seconds count from now on."""
        for broker in self.brokers.values():
            broker.traffic.worst_second_bytes = 0
        for relay in self.relays.values():
            relay.traffic.worst_second_bytes = 0

    def snapshot_bytes(self) -> int:
        """Of all that is committed, compressed."""
        history = self.voters.history
        return len(make_image(history.revision, history.table.values).data)

    def unequal(self) -> list[str]:
        """Brokers that run and do not have all that is committed in force."""
        history = self.voters.history
        return [
            broker.name
            for broker in self.alive()
            if broker.revision != history.revision
            or not (self._lean or broker.subscriber.applier.table.values == history.table.values)
        ]
