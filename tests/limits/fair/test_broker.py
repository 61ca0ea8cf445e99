"""Slow queries wait for slots in a running broker; loopback sockets, virtual time."""

import socket
from pathlib import Path
from typing import Any

import pytest

from quincepath.broker.fair_pending import FairPendingQueue
from quincepath.broker.pending import QUEUE_REFUSAL
from quincepath.lab.load import QueryResult
from quincepath.standins.leaf import Service
from tests.world import MS, World

FAIR = {"slots": 4, "quick_slots": 1, "slow_from": "20ms"}


class SlowWorld(World):
    """A broker with slow holders: a query of three parts holds three slots for a while."""

    def __init__(self, folder: Path, work: int = 200 * MS, **more: Any) -> None:
        super().__init__(folder, service=Service(work=work), limits={"fair": {**FAIR, **more}})
        pending = self.broker.dispatcher.pending
        assert isinstance(pending, FairPendingQueue)
        self.pending = pending

    def run(self, until: Any, longest: float = 30.0) -> None:
        assert self.loop.run_until(until, longest), "the condition did not hold in time"

    def learn(self) -> None:
        """Run queries until the class is known to be slow."""
        for _ in range(3):
            assert self.ask(self.plan())[0].status == 200


@pytest.fixture
def world(tmp_path: Path) -> Any:
    found = SlowWorld(tmp_path)
    yield found
    found.close()


def test_slow_queries_wait_for_slots_and_most_are_answered(world: SlowWorld) -> None:
    world.learn()
    most = 0
    ends: list[QueryResult] = []
    for number in range(4):
        world.client.ask(f"slow{number}", world.plan(), ends.append)

    def done() -> bool:
        nonlocal most
        most = max(most, world.pending.waiting())
        world.pending.scheduler.check()
        return len(ends) == 4

    world.run(done)
    assert most >= 2  # queries did wait
    assert {end.status for end in ends} <= {200, 503} and sum(end.status == 200 for end in ends) >= 3
    assert not world.pending._entries and not world.pending._ask_of_part  # no state of them is left


def test_a_query_that_cannot_start_in_time_is_refused_at_once_with_a_retry_delay(tmp_path: Path) -> None:
    world = SlowWorld(tmp_path, work=700 * MS)
    world.learn()
    ends: list[QueryResult] = []
    began = world.loop.clock()
    for number in range(6):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: sum(end.status == 503 for end in ends) >= 3)
    assert world.loop.clock() < began + 100 * MS  # not at its deadline
    refused = next(end for end in ends if end.status == 503)
    assert refused.response is not None and QUEUE_REFUSAL.encode() in refused.response.body
    assert float(refused.response.headers["retry-after"]) > 0
    world.run(lambda: len(ends) == 6)
    world.close()


def test_a_query_whose_client_left_leaves_the_queue_and_frees_its_slots(world: SlowWorld) -> None:
    world.learn()
    ends: list[QueryResult] = []
    for number in range(3):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: world.pending.waiting() >= 1)
    with socket.create_connection(("127.0.0.1", world.broker.metrics_server.port)) as operator:
        operator.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        gauge = world.broker.metrics.fair_waiting._value
        world.run(lambda: gauge.get() >= 1)
    world.client.close()
    world.run(lambda: not world.pending._entries)
    world.run(lambda: world.pending.next_due() is None)
    world.pending.step(world.loop.now, flush=True)
    world.pending.scheduler.check()
    assert world.pending.waiting() == 0 and world.pending.scheduler.runs.all == {}


def test_a_broker_that_stops_with_a_full_queue_answers_every_query(world: SlowWorld) -> None:
    world.learn()
    ends: list[QueryResult] = []
    for number in range(6):
        world.client.ask(f"slow{number}", world.plan(), ends.append)
    world.run(lambda: world.pending.waiting() >= 2)
    stopped: list[bool] = []
    world.broker.stop(lambda: stopped.append(True))
    world.run(lambda: len(ends) == 6)
    assert {end.status for end in ends} <= {200, 503}
    world.client.close()
    world.run(lambda: bool(stopped))


def test_quick_queries_never_wait(tmp_path: Path) -> None:
    world = SlowWorld(tmp_path, work=2 * MS, slots=64, quick_slots=16, slow_from="250ms")
    ends: list[QueryResult] = []
    for number in range(12):
        world.client.ask(f"quick{number}", world.plan("fleet-glance"), ends.append)

    def done() -> bool:
        assert world.pending.waiting() == 0
        return len(ends) == 12

    world.run(done)
    assert all(end.status == 200 for end in ends)
    world.close()


def test_without_its_configuration_section_there_is_no_pending_queue(tmp_path: Path) -> None:
    world = World(tmp_path)
    assert world.broker.dispatcher.pending is None
    assert world.ask(world.plan())[0].status == 200
    world.close()
