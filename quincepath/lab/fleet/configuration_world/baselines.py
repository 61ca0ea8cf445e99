"""What else could carry the configuration, in the same network: the leader tells all, or all brokers poll.

Both go to the one leader of the log. The first is what the followers of ``fleet/replicated_log.py`` do today:
each asks twice a second, the leader pushes to the first thousand of them. Only revisions are played; sizes
are those of the scenery's deltas and of an envelope.
"""

from dataclasses import dataclass, field

from quincepath.fleet.configuration.changes import encoded_size
from quincepath.fleet.configuration.history import History
from quincepath.fleet.consensus.core.committed import MAX_LEARNERS
from quincepath.lab.fleet.configuration_world.measures import Measures, Traffic
from quincepath.lab.fleet.configuration_world.network import HEAD_BYTES, MS, SECOND, Network, VirtualNetwork
from quincepath.lab.fleet.configuration_world.scenery import Scenery, initial_change

LEADER = "leader"
ENVELOPE_BYTES = 64


@dataclass(slots=True, frozen=True)
class Way:
    """``every``: ns between a broker's questions. ``told_most``: brokers that the leader tells unasked."""

    name: str
    every: int
    told_most: int


TELLS_EVERYBODY = Way("leader tells everybody", 500 * MS, MAX_LEARNERS)
EVERYBODY_POLLS = Way("every broker polls", 5 * SECOND, 0)


@dataclass(slots=True)
class _Broker:
    name: str
    revision: int = 0
    traffic: Traffic = field(default_factory=Traffic)


class BaselineWorld:
    """One leader, brokers in three regions, no faults but those of the network."""

    def __init__(self, way: Way, brokers: int, nodes: int, seed: int, network: Network | None = None) -> None:
        """All begin with the first revision."""
        self.way = way
        self.net = VirtualNetwork(seed, network or Network())
        self.history = History()
        self.scenery = Scenery(seed, nodes)
        self.history.apply(initial_change(nodes))
        self.measures = Measures()
        self.leader = Traffic()
        self.brokers = [_Broker(f"b{number:04}", self.history.revision) for number in range(brokers)]
        self.net.region[LEADER] = 0
        for number, broker in enumerate(self.brokers):
            self.net.region[broker.name] = number % 3
            self.net.at(self.net.random.randrange(way.every), lambda broker=broker: self._ask(broker))  # type: ignore[misc]

    def commit(self) -> None:
        """The next change; the leader tells those that it tells unasked."""
        answer = self.history.apply(self.scenery.change(self.history.table.values, self.net.now // MS))
        assert answer.revision, answer
        self.measures.committed(answer.revision, self.net.now, len(self.brokers))
        for broker in self.brokers[: self.way.told_most]:
            self._answer(broker, broker.revision)

    def run(self, until: int) -> None:
        """To a time."""
        self.net.run(until)

    def _ask(self, broker: _Broker) -> None:
        self.net.at(self.net.now + self.way.every, lambda: self._ask(broker))
        broker.traffic.sent(self.net.now, ENVELOPE_BYTES)
        revision = broker.revision
        size = ENVELOPE_BYTES + HEAD_BYTES
        self.net.send(broker.name, LEADER, size, lambda: self._asked(broker, revision))

    def _asked(self, broker: _Broker, revision: int) -> None:
        self.leader.received(self.net.now, ENVELOPE_BYTES)
        self._answer(broker, revision)

    def _answer(self, broker: _Broker, revision: int) -> None:
        newest = self.history.revision
        size = ENVELOPE_BYTES + sum(map(encoded_size, self.history.log.since(revision) or ()))
        self.leader.sent(self.net.now, size)
        self.net.send(LEADER, broker.name, size + HEAD_BYTES, lambda: self._told(broker, newest, size))

    def _told(self, broker: _Broker, revision: int, size: int) -> None:
        broker.traffic.received(self.net.now, size)
        if revision > broker.revision:
            self.measures.in_force(broker.revision, revision, self.net.now)
            broker.revision = revision


def play(
    way: Way, brokers: int, changes: int, seed: int = 1, network: Network | None = None, nodes: int = 100
) -> dict[str, object]:
    """Changes every two seconds: times until in force everywhere, and bytes and messages a second."""
    world = BaselineWorld(way, brokers, nodes, seed, network)
    world.run(5 * SECOND)
    first = world.history.revision
    for _ in range(changes):
        world.commit()
        world.run(world.net.now + SECOND + world.scenery.random.randrange(2 * SECOND))
    world.run(world.net.now + 15 * SECOND)
    times = world.measures.times_ms(range(first + 1, world.history.revision + 1))
    seconds = world.net.now / SECOND
    leader = world.leader
    return {
        "way": way.name,
        "brokers": brokers,
        "loss": world.net.network.loss,
        "changes": changes,
        "median_ms": round(times[len(times) // 2], 1),
        "p99_ms": round(times[min(int(0.99 * len(times)), len(times) - 1)], 1),
        "most_ms": round(times[-1], 1),
        "leader_bytes_a_second": round(leader.bytes / seconds),
        "leader_worst_second_bytes": leader.worst_second_bytes,
        "leader_messages_a_second": round((leader.sent_messages + leader.received_messages) / seconds),
        "broker_bytes_a_second": round(
            sum(broker.traffic.bytes for broker in world.brokers) / brokers / seconds, 1
        ),
    }
