"""The driver around the module: processor time and memory of an open query, with a module that only sends."""

from collections.abc import Iterable

from benchmarks.capacity.measuring import Measured, allocated_bytes, processor_seconds, repeated, series
from benchmarks.capacity.site import SECOND, configuration
from quincepath.broker.driver import DecisionModule, Driver
from quincepath.interface import (
    Action,
    Answer,
    Entry,
    Event,
    Members,
    NodeId,
    Outcome,
    Part,
    Phase,
    Query,
    Result,
    Scope,
    Send,
)
from quincepath.orders import Ask, AttemptEnded, Input, MembershipUpdate, PartRequest, QueryArrived, StartCall
from quincepath.policy import Aggregator

PARTS = (13, 26, 52, 130, 260)
QUERIES = 40  # of one timing


def _node(shard: int) -> NodeId:
    """The one node of a shard."""
    return b"s-%08x" % shard


class SendAll:
    """A module that decides nothing: every part goes out once; the query is answered when all are in."""

    def __init__(self) -> None:
        self._missing: dict[int, int] = {}
        self._query_of: dict[int, int] = {}

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Sends for parts, answers for queries whose parts are all in."""
        actions: list[Action] = []
        for event in events:
            match event:
                case Query():
                    self._missing[event.id] = event.parts
                case Part():
                    self._query_of[event.id] = event.number
                    actions.append(Send(event.id, _node(event.shard), 0))
                case Outcome():
                    query = self._query_of.pop(event.part)
                    self._missing[query] -= 1
                    if not self._missing[query]:
                        del self._missing[query]
                        actions.append(Answer(query, True))
        return actions


def _driver(real: bool = False) -> Driver:
    """One that knows a node for each shard; ``real``: around the decision module."""
    config = configuration(target=4 * SECOND)
    module: DecisionModule = Aggregator(config.settings, config.seed) if real else SendAll()
    driver = Driver(module, config.settings, config.site.drain_grace)
    entries = tuple(Entry(_node(shard), 0, 0, shard, 0, Phase.READY, 1.0) for shard in range(max(PARTS)))
    driver.step(0, [MembershipUpdate(Members(Scope.FULL, 1, entries))])
    return driver


def _ask(handle: int, parts: int) -> Ask:
    asks = tuple(PartRequest(shard, 1 / parts, b"c41e77d0") for shard in range(parts))
    return Ask(handle, 0, 5 * SECOND, asks, name=f"q{handle}")


def _ended(orders: Iterable[object]) -> list[Input]:
    return [
        AttemptEnded(attempt.part, attempt.attempt, Result.OK, "value")
        for order in orders
        if isinstance(order, StartCall)
        for attempt in order.attempts
    ]


def _seconds_a_query(parts: int) -> float:
    """Each reply comes in a turn of its own, as the costliest case; without the stand-in module's time."""
    driver, module = _driver(), SendAll()
    batches: list[tuple[int, list[Event]]] = []

    def play() -> None:
        now = SECOND
        for handle in range(1, QUERIES + 1):
            ends = _ended(driver.step(now, [QueryArrived(_ask(handle, parts))]))
            for end in ends:
                now += 1000
                driver.step(now, [end])
        assert not driver.queries and not driver.breaches, driver.breaches

    def module_alone() -> None:
        for now, events in batches:
            module.handle(now, events)

    for number in range(QUERIES):
        first = number * (parts + 1)
        events: list[Event] = [Query(first, first, parts, 0, 0, SECOND, 0, 0, False)]
        events += [Part(first + at, first, 1 / parts, at, 0, 0) for at in range(1, parts + 1)]
        batches.append((0, events))
        batches += [(0, [Outcome(first + at, 0, b"", Result.OK, 0, True, ())]) for at in range(1, parts + 1)]
    return (processor_seconds(play) - processor_seconds(module_alone)) / QUERIES


def _bytes_of_open_query(parts: int) -> float:
    """Driver and module, all parts out."""
    driver = _driver(real=True)

    def build() -> object:
        return [driver.step(SECOND, [QueryArrived(_ask(handle, parts))]) for handle in range(1, QUERIES + 1)]

    return allocated_bytes(build) / QUERIES


def measure() -> Measured:
    """Processor time and memory of a query by its parts."""
    return (
        series("query", "s", "parts of a query", repeated(PARTS, _seconds_a_query)),
        series("open query", "bytes", "parts of a query", repeated(PARTS, _bytes_of_open_query, 1)),
    ), ()
