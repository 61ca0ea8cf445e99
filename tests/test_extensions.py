"""Extensions of the broker: may reject queries before any part is sent, and are notified of each step."""

from collections.abc import Mapping
from pathlib import Path

from quincepath.broker.dispatcher import AskEnded
from quincepath.broker.driver import OpenPart
from quincepath.broker.service import Arrival, Extension
from quincepath.fronts.remote_read.front import Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.limits.gate import Rejection
from quincepath.net.client_connection import Exchange
from quincepath.orders import AttemptEnded, StartCall
from tests.world import SECOND, World


class RecordingExtension(Extension):
    """Records its notifications; rejects queries of one class."""

    def __init__(self, refused: str = "") -> None:
        self.refused = refused
        self.events: list[str] = []
        self.parts: list[int] = []

    def admit(self, now: int, arrival: Arrival) -> Rejection | None:
        self.events.append(f"admit {arrival.plan.entry.name}")
        self.parts.append(len(arrival.ask.parts))
        refuse = arrival.plan.entry.name == self.refused
        return Rejection("over its share", 3 * SECOND) if refuse else None

    def on_ask_begun(self, now: int, ask: int, headers: Mapping[str, str]) -> None:
        self.events.append("began")

    def on_call_sent(self, now: int, order: StartCall) -> None:
        self.events.extend("sent" for _ in order.attempts)

    def on_attempt_ended(self, now: int, part: OpenPart, item: AttemptEnded) -> None:
        self.events.append("came")

    def on_ask_ended(self, now: int, ended: AskEnded[Plan, Reply]) -> None:
        self.events.append("ended")

    def handle_request(self, exchange: Exchange) -> bool:
        if exchange.request.path == "/extension":
            exchange.text(200, "here")
            return True
        return False

    def drain(self) -> None:
        self.events.append("drain")

    def close(self) -> None:
        self.events.append("close")


def test_an_extension_follows_a_query_from_its_arrival_to_its_end(tmp_path: Path) -> None:
    world = World(tmp_path)
    extension = RecordingExtension()
    world.broker.extensions.add(extension)
    end = world.ask(world.plan("hours-report"))[0]
    assert end.status == 200
    sent, came = extension.events.count("sent"), extension.events.count("came")
    assert extension.events[:3] == ["admit hours-report", "began", "sent"] and extension.events[-1] == "ended"
    assert extension.parts == [3] and sent == came >= 3
    assert extension.events.count("ended") == 1
    world.broker.stop(lambda: None)
    world.close()
    assert extension.events[-2:] == ["drain", "close"]


def test_a_query_that_an_extension_refuses_reaches_no_holder_and_gets_the_extensions_advice(
    tmp_path: Path,
) -> None:
    world = World(tmp_path)
    extension, second = RecordingExtension("hours-report"), RecordingExtension()
    world.broker.extensions.add(extension)
    world.broker.extensions.add(second)
    refused, served = world.ask(world.plan("hours-report"), world.plan("fleet-glance"))
    assert (refused.status, served.status) == (503, 200)
    assert refused.response is not None and refused.response.headers["retry-after"] == "3"
    assert b"over its share" in refused.response.body
    # The first rejection counts; later extensions are not called.
    assert second.events[0] == "admit fleet-glance"
    assert extension.events.count("ended") == 1 and extension.events.count("began") == 1
    world.close()


def test_an_extension_without_methods_changes_nothing(tmp_path: Path) -> None:
    class Idle(Extension):
        pass

    ends = []
    for extensions in ([], [Idle(), Idle()]):
        world = World(tmp_path)
        for extension in extensions:
            world.broker.extensions.add(extension)
        end = world.ask(world.plan("hours-report"))[0]
        assert end.response is not None
        ends.append((end.status, end.response.body))
        world.close()
    assert ends[0] == ends[1]
