"""What all brokers together send a node that has just started, by the number of brokers: must not grow.

Brokers begin their shares of the node's warm-up apart from each other by their number and the node's id; ids
as the platform writes them (10 bytes) and ids of 6 bytes are played, since the sum is of their size.

A sample of the brokers is played, each with one cold node and a query a second for each fifteenth part of it,
and counted for all. Made events on the decision module, no sockets.
"""

from dataclasses import replace

from benchmarks.capacity.measuring import Measured, series
from benchmarks.capacity.results import Point
from benchmarks.capacity.site import MS, SECOND, configuration
from quincepath.interface import Entry, Members, Outcome, Part, Phase, Query, Result, Scope, Send
from quincepath.policy import Aggregator

SIZES = (26, 130, 650, 2600)
SAMPLE = 260  # brokers played at most
START = 1000 * SECOND
EVERY = 100 * MS  # between queries of one broker
WORK = 10 * MS  # until a node answers
PLATFORM_ID, SHORT_ID = b"s-00000001", b"\x0a\x00\x00\x01\x00\x50"


class ColdBroker:
    """One broker whose every query needs the one cold node."""

    def __init__(self, number: int, brokers: int, node: bytes) -> None:
        settings = replace(configuration(sets=1).settings, instances=brokers, me=number)
        self.module = Aggregator(settings, number)
        self.sent = self.count = 0
        self.length = settings.rules.ramp_time
        entry = Entry(node, 0, 0, 0, START, Phase.READY, 1.0)
        self.module.handle(START, [Members(Scope.FULL, 1, (entry,))])

    def play(self, offset: int) -> int:
        """Queries over the whole ramp; the sends that came of them."""
        for now in range(START + offset, START + self.length, EVERY):
            self._query(now)
        return self.sent

    def _query(self, now: int) -> None:
        self.count += 1
        query, part = 2 * self.count, 2 * self.count + 1
        events = (
            Query(query, query, 1, 0, 0, EVERY - MS, 0, 0, False),
            Part(part, query, 1.0, 0, 0, 0),
        )
        sends = [one for one in self.module.handle(now, events) if isinstance(one, Send)]
        for send in sends:
            outcome = Outcome(send.part, 0, send.node, Result.OK, WORK, True, ())
            self.module.handle(now + WORK, [outcome])
        self.sent += len(sends)


def sends_a_second(brokers: int, node: bytes) -> float:
    """Of all brokers, over the node's ramp."""
    played = min(brokers, SAMPLE)
    sent = 0
    length = 1
    for place in range(played):
        broker = ColdBroker(place * brokers // played, brokers, node)
        length = broker.length
        sent += broker.play(place * EVERY // played)
    return sent * brokers / played / (length / SECOND)


def measure() -> Measured:
    """Events are made, so one play a size."""
    ids = {"ids of the platform": PLATFORM_ID, "ids of six bytes": SHORT_ID}
    return tuple(
        series(
            f"sends to a cold node, {name}", "a second", "brokers",
            tuple(Point(size, (sends_a_second(size, node),)) for size in SIZES),
        )
        for name, node in ids.items()
    ), ()  # fmt: skip
