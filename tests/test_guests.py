"""A guest of the broker: asked before any part is sent, told of each step of a query, and of the end."""

from collections.abc import Mapping
from pathlib import Path

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.broker.service import Arrival, Guest
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.limits.gate import Rejection
from quincepath.net.server import Exchange
from quincepath.orders import AttemptEnded, StartCall
from tests.world import SECOND, World


class Watching(Guest):
    """Writes down what it is told; refuses the queries of one class."""

    def __init__(self, refused: str = "") -> None:
        self.refused = refused
        self.told: list[str] = []
        self.parts: list[int] = []

    def arrive(self, now: int, arrival: Arrival) -> Rejection | None:
        self.told.append(f"arrive {arrival.plan.entry.name}")
        self.parts.append(len(arrival.ask.parts))
        refuse = arrival.plan.entry.name == self.refused
        return Rejection("over its share", 3 * SECOND) if refuse else None

    def began(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        self.told.append("began")

    def sent(self, now: int, order: StartCall) -> None:
        self.told.extend("sent" for _ in order.attempts)

    def came(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        self.told.append("came")

    def ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        self.told.append("ended")

    def request(self, exchange: Exchange) -> bool:
        if exchange.request.path == "/guest":
            exchange.text(200, "here")
            return True
        return False

    def drain(self) -> None:
        self.told.append("drain")

    def close(self) -> None:
        self.told.append("close")


def test_a_guest_is_told_of_a_query_from_its_arrival_to_its_end(tmp_path: Path) -> None:
    world = World(tmp_path)
    guest = Watching()
    world.broker.guests.add(guest)
    end = world.ask(world.plan("hours-report"))[0]
    assert end.status == 200
    sent, came = guest.told.count("sent"), guest.told.count("came")
    assert guest.told[:3] == ["arrive hours-report", "began", "sent"] and guest.told[-1] == "ended"
    assert guest.parts == [3] and sent == came >= 3
    assert guest.told.count("ended") == 1
    world.broker.stop(lambda: None)
    world.close()
    assert guest.told[-2:] == ["drain", "close"]


def test_a_query_that_a_guest_refuses_reaches_no_holder_and_the_advice_is_the_guests(tmp_path: Path) -> None:
    world = World(tmp_path)
    guest, second = Watching("hours-report"), Watching()
    world.broker.guests.add(guest)
    world.broker.guests.add(second)
    refused, served = world.ask(world.plan("hours-report"), world.plan("fleet-glance"))
    assert (refused.status, served.status) == (503, 200)
    assert refused.response is not None and refused.response.headers["retry-after"] == "3"
    assert b"over its share" in refused.response.body
    assert second.told[0] == "arrive fleet-glance"  # the first refusal counts, nobody is asked after it
    assert guest.told.count("ended") == 1 and guest.told.count("began") == 1
    world.close()


def test_a_guest_that_writes_no_verb_changes_nothing(tmp_path: Path) -> None:
    class Idle(Guest):
        pass

    ends = []
    for guests in ([], [Idle(), Idle()]):
        world = World(tmp_path)
        for guest in guests:
            world.broker.guests.add(guest)
        end = world.ask(world.plan("hours-report"))[0]
        assert end.response is not None
        ends.append((end.status, end.response.body))
        world.close()
    assert ends[0] == ends[1]
