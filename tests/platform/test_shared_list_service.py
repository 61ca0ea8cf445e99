"""A fleet at one list service of small capacity: every broker gets a watch, and news reach all in time.

Seen on a day with 31 brokers at a service that takes 3.4 calls a second: each began with a call for the whole
list and opened its watch with a second one; refused there, it asked for the whole list again. 22 of them had
heard nothing of a node that had gone 17 s before, and went on sending to it.
"""

import pytest

from quincepath.interface import Phase
from quincepath.platform.discovery import Discovery
from quincepath.platform.list_timing import NEWS_DEADLINE, PULL_WATCH_MS, RETRY_WATCH_MS
from quincepath.platform.targets import TargetList, read_list
from tests.standins.list_service import SharedListService
from tests.standins.platform import World

SECOND = 1_000_000_000
BROKERS = 20


class Follower:
    """One broker's call for the list, and the newest version that it brought."""

    def __init__(self, world: World, service: SharedListService, number: int, held: int | None) -> None:
        self.version = 1
        self.discovery = Discovery(
            world.loop, service.address, self._told, lambda why: None, number, PULL_WATCH_MS, True, held
        )

    def _told(self, body: bytes, whole: bool) -> int:
        self.version = read_list(body).version
        return self.version


def fleet(held: int | None) -> tuple[World, SharedListService, list[Follower]]:
    world = World()
    service = SharedListService(world.loop, [world.entry(number) for number in range(4)])
    return world, service, [Follower(world, service, number, held) for number in range(BROKERS)]


def all_watch(service: SharedListService) -> bool:
    return len(service.watching) == BROKERS


def test_brokers_that_start_together_all_have_a_watch_after_one_call_each() -> None:
    world, service, _ = fleet(held=1)
    assert world.until(lambda: all_watch(service), 12), len(service.watching)
    assert service.served <= BROKERS * 1.25


def test_news_told_to_those_that_watch_cost_the_service_no_call() -> None:
    world, service, followers = fleet(held=1)
    assert world.until(lambda: all_watch(service), 12)
    served = service.served
    for _ in range(5):
        service.change()
        world.run(0.5)
    assert {follower.version for follower in followers} == {6} and service.served == served


def test_those_that_must_open_a_watch_anew_hear_of_news_in_time_beside_the_others() -> None:
    """Eight watches of twenty are lost in one moment, as eight connections that fall silent."""
    world, service, followers = fleet(held=1)
    assert world.until(lambda: all_watch(service), 12)
    for follower in followers[:8]:
        follower.discovery.fail("lost")
    service.change()
    began = world.loop.at
    assert world.until(lambda: all(follower.version == 2 for follower in followers), 20)
    assert world.loop.at - began <= NEWS_DEADLINE


def world_that_asks(known_version: int | None = 1) -> World:
    """A broker that restarts with the list that it last held; its discovery is asked, not pushed to."""
    world = World(discovery="ask")
    world.discovery.asked.clear()
    known = world.known()
    told = None if known_version is None else TargetList(known_version, True, known.servers)
    world.restart(known=told)
    return world


def test_the_first_call_goes_on_from_the_list_that_is_held_and_tells_at_once() -> None:
    world = world_that_asks()
    world.run(0.1)
    assert world.discovery.asked == [
        f"/api/targets?since=1&timeout_ms={RETRY_WATCH_MS}",
        f"/api/targets?since=1&timeout_ms={PULL_WATCH_MS}",
    ]


def test_without_a_list_or_where_lists_are_pushed_the_first_call_is_for_the_whole_list() -> None:
    world = world_that_asks(None)
    assert world.until(lambda: bool(world.discovery.asked)) and world.discovery.asked[0] == "/api/targets"
    pushed = World()
    pushed.discovery.asked.clear()
    pushed.restart(known=pushed.known())
    assert pushed.until(lambda: bool(pushed.discovery.asked)) and pushed.discovery.asked[0] == "/api/targets"


def test_a_list_held_under_a_newer_number_than_discovery_has_gives_way_to_the_whole_list() -> None:
    world = world_that_asks(known_version=40)
    world.discovery.tell(world.entry(2, "DRAINING"))
    assert world.until(lambda: world.phase(2) is Phase.DRAINING)
    assert "/api/targets" in world.discovery.asked


@pytest.mark.parametrize("failures", [1, 5])
def test_a_refused_call_is_made_again_from_the_version_held_also_when_the_module_asks(failures: int) -> None:
    world = world_that_asks()
    assert world.until(lambda: len(world.discovery.waiting) == 1)
    world.run(0.1)
    for _ in range(failures):
        world.broker.discovery.fail("status 503")
        world.run(0.2)
    assert "/api/targets" not in world.discovery.asked
