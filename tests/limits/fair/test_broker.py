"""Slow queries wait for their turn in a running broker; sockets of loopback, virtual time."""

import socket
from pathlib import Path
from typing import Any

import pytest

from quincepath.broker.fair_pending import FairPendingQueue
from quincepath.broker.pending import QUEUE_REFUSAL
from quincepath.lab.load import Seen
from quincepath.standins.leaf import Service
from tests.world import MS, World

FAIR = {"slots": 4, "quick_slots": 1, "slow_from": "20ms"}


class Turned(World):
    """A broker whose holders take long: a query of three parts holds three slots for a while."""

    def __init__(self, folder: Path, work: int = 200 * MS, **more: Any) -> None:
        super().__init__(folder, service=Service(work=work), limits={"fair": {**FAIR, **more}})
        room = self.broker.reception.pending
        assert isinstance(room, FairPendingQueue)
        self.room = room

    def run(self, until: Any, longest: float = 30.0) -> None:
        assert self.loop.run_until(until, longest), "it did not come about in time"

    def learn(self) -> None:
        """Until queries of the class are known to be slow."""
        for _ in range(3):
            assert self.ask(self.plan())[0].status == 200


@pytest.fixture
def world(tmp_path: Path) -> Any:
    found = Turned(tmp_path)
    yield found
    found.close()


def test_slow_queries_take_turns_and_all_that_can_be_served_are(world: Turned) -> None:
    world.learn()
    most = 0
    ends: list[Seen] = []
    for number in range(4):
        world.client.ask(f"slow{number}", world.plan(), ends.append)

    def done() -> bool:
        nonlocal most
        most = max(most, world.room.waiting())
        world.room.scheduler.check()
        return len(ends) == 4

    world.run(done)
    assert most >= 2  # they did wait
    assert {end.status for end in ends} <= {200, 503} and sum(end.status == 200 for end in ends) >= 3
    assert not world.room._held and not world.room._asks  # nothing is left of them


def test_one_that_cannot_have_its_turn_in_time_is_refused_at_once_with_advice(tmp_path: Path) -> None:
    world = Turned(tmp_path, work=700 * MS)
    world.learn()
    ends: list[Seen] = []
    began = world.loop.clock()
    for number in range(6):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: sum(end.status == 503 for end in ends) >= 3)
    assert world.loop.clock() < began + 100 * MS  # not at its end
    refused = next(end for end in ends if end.status == 503)
    assert refused.response is not None and QUEUE_REFUSAL.encode() in refused.response.body
    assert float(refused.response.headers["retry-after"]) > 0
    world.run(lambda: len(ends) == 6)
    world.close()


def test_one_whose_client_goes_leaves_the_queue_and_gives_its_slots_back(world: Turned) -> None:
    world.learn()
    ends: list[Seen] = []
    for number in range(3):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: world.room.waiting() >= 1)
    with socket.create_connection(("127.0.0.1", world.broker.metrics_server.port)) as operator:
        operator.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        gauge = world.broker.metrics.fair_waiting._value
        world.run(lambda: gauge.get() >= 1)
    world.client.close()
    world.run(lambda: not world.room._held)
    world.run(lambda: world.room.next_due() is None)
    world.room.step(world.loop.now, whole=True)
    world.room.scheduler.check()
    assert world.room.waiting() == 0 and world.room.scheduler.runs.all == {}


def test_a_broker_that_is_told_to_end_with_a_full_queue_answers_every_query(world: Turned) -> None:
    world.learn()
    ends: list[Seen] = []
    for number in range(6):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: world.room.waiting() >= 2)
    stopped: list[bool] = []
    world.broker.stop(lambda: stopped.append(True))
    world.run(lambda: len(ends) == 6)
    assert {end.status for end in ends} <= {200, 503}
    world.client.close()
    world.run(lambda: bool(stopped))


def test_quick_queries_never_wait(tmp_path: Path) -> None:
    world = Turned(tmp_path, work=2 * MS, slots=64, quick_slots=16, slow_from="250ms")
    ends: list[Seen] = []
    for number in range(12):
        world.client.ask(f"quick{number}", world.plan("fleet-glance"), ends.append)

    def done() -> bool:
        assert world.room.waiting() == 0
        return len(ends) == 12

    world.run(done)
    assert all(end.status == 200 for end in ends)
    world.close()


def test_without_its_section_no_room_is_made(tmp_path: Path) -> None:
    world = World(tmp_path)
    assert world.broker.reception.pending is None
    assert world.ask(world.plan())[0].status == 200
    world.close()
