"""The list of nodes in a broker: how long the loop stands still for it, its bytes and its memory."""

from benchmarks.capacity.measuring import Measured, allocated_bytes, fact, processor_seconds, repeated, series
from benchmarks.capacity.results import Point
from benchmarks.capacity.site import SECOND, configuration, list_body, node_entry
from quincepath.broker.driver import Driver
from quincepath.orders import MembershipUpdate
from quincepath.platform.targets import TargetTable, read_list
from quincepath.policy import Aggregator

NODES = (600, 1200, 2500, 6000, 12_000)
CHANGES = 20  # of one timing


class Held:
    """Lists, driver and module of one broker, as its service wires them."""

    def __init__(self) -> None:
        config = configuration()
        self.targets = TargetTable(config.site.zones, config.site.kinds)
        self.driver = Driver(
            Aggregator(config.settings, config.seed), config.settings, config.site.drain_grace
        )
        self.now = SECOND

    def take(self, body: bytes, base: bool = False) -> None:
        """A body of discovery, from its bytes to the module's state."""
        self.now += SECOND
        members = self.targets.apply(self.now, self.now / 1e6, read_list(body), base=base)
        assert members is not None
        self.driver.step(self.now, [MembershipUpdate(members)])


def _full(count: int) -> bytes:
    return list_body([node_entry(number) for number in range(count)])


def _full_seconds(count: int) -> float:
    body, held = _full(count), Held()
    return processor_seconds(lambda: held.take(body, base=True))


def _change_seconds(count: int) -> float:
    """One node restarted, told as a delta; mean of some."""
    held = Held()
    held.take(_full(count), base=True)
    bodies = [
        list_body([node_entry(number, started_ms=1000 + number)], 2 + number, full=False)
        for number in range(CHANGES)
    ]

    def play() -> None:
        for body in bodies:
            held.take(body)

    return processor_seconds(play) / CHANGES


def _memory(count: int) -> float:
    body = _full(count)

    def build() -> object:
        held = Held()
        held.take(body, base=True)
        return held

    return allocated_bytes(build)


def measure() -> Measured:
    """A whole list and one change from bytes to module, and what is kept."""
    bytes_ = tuple(Point(count, (float(len(_full(count))),)) for count in NODES)
    memory = tuple(Point(count, (_memory(count),)) for count in NODES)
    delta = list_body([node_entry(11_999, started_ms=1_790_000_000_000)], 123_456, full=False)
    return (
        series("full list", "s", "nodes", repeated(NODES, _full_seconds)),
        series("one change", "s", "nodes", repeated(NODES, _change_seconds, 3)),
        series("bytes of a full list", "bytes", "nodes", bytes_),
        series("memory of a list", "bytes", "nodes", memory),
    ), (fact("bytes of a delta", "bytes", len(delta), note="one node, in the platform's JSON"),)
