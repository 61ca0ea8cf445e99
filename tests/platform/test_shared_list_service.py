"""A fleet at one list service of limited capacity: every broker gets a watch, and updates arrive in time.

Seen once with 31 brokers at a service that handles 3.4 calls a second: each began with a request for the full
list and opened its watch with a second call; refused there, it requested the full list again. 22 of them had
not heard of a node that had gone 17 s before, and kept sending to it.
"""

import pytest

from quincepath.interface import Phase
from quincepath.platform.discovery import Discovery
from quincepath.platform.list_timing import PULL_WATCH_MS, RETRY_WATCH_MS, UPDATE_DEADLINE_NS
from quincepath.platform.targets import TargetList, read_list
from tests.standins.list_service import SharedListService
from tests.standins.platform import PlatformHarness

SECOND = 1_000_000_000
BROKERS = 20


class Follower:
    """The discovery client of one broker, and the newest version that it received."""

    def __init__(
        self, harness: PlatformHarness, service: SharedListService, number: int, held: int | None
    ) -> None:
        self.version = 1
        self.discovery = Discovery(
            harness.loop, service.address, self._on_list, lambda why: None, number, PULL_WATCH_MS, True, held
        )

    def _on_list(self, body: bytes, full: bool, overlapped: bool) -> int:
        self.version = read_list(body).version
        return self.version


def fleet(held: int | None) -> tuple[PlatformHarness, SharedListService, list[Follower]]:
    harness = PlatformHarness()
    service = SharedListService(harness.loop, [harness.entry(number) for number in range(4)])
    return harness, service, [Follower(harness, service, number, held) for number in range(BROKERS)]


def all_watching(service: SharedListService) -> bool:
    return len(service.watches) == BROKERS


def test_brokers_that_start_together_each_have_a_watch_after_one_call() -> None:
    harness, service, _ = fleet(held=1)
    assert harness.run_until(lambda: all_watching(service), 12), len(service.watches)
    assert service.served <= BROKERS * 1.25


def test_updates_to_open_watches_cost_the_service_no_call() -> None:
    harness, service, followers = fleet(held=1)
    assert harness.run_until(lambda: all_watching(service), 12)
    served = service.served
    for _ in range(5):
        service.change()
        harness.run(0.5)
    assert {follower.version for follower in followers} == {6} and service.served == served


def test_brokers_that_reopen_a_watch_get_updates_in_time() -> None:
    """Eight watches of twenty are lost at once, as when eight connections fall silent."""
    harness, service, followers = fleet(held=1)
    assert harness.run_until(lambda: all_watching(service), 12)
    for follower in followers[:8]:
        follower.discovery.fail("lost")
    service.change()
    began = harness.loop.at
    assert harness.run_until(lambda: all(follower.version == 2 for follower in followers), 20)
    assert harness.loop.at - began <= UPDATE_DEADLINE_NS


def pull_harness(known_version: int | None = 1) -> PlatformHarness:
    """A broker in pull mode that restarts with the list that it last held."""
    harness = PlatformHarness(discovery="ask")
    harness.discovery.requests.clear()
    known = harness.known()
    cached = None if known_version is None else TargetList(known_version, True, known.servers)
    harness.restart(known=cached)
    return harness


def test_the_first_call_continues_from_the_cached_list_and_is_answered_at_once() -> None:
    harness = pull_harness()
    harness.run(0.1)
    assert harness.discovery.requests == [
        f"/api/targets?since=1&timeout_ms={RETRY_WATCH_MS}",
        f"/api/targets?since=1&timeout_ms={PULL_WATCH_MS}",
    ]


def test_without_a_cached_list_or_in_push_mode_the_first_call_requests_the_full_list() -> None:
    harness = pull_harness(None)
    assert (
        harness.run_until(lambda: bool(harness.discovery.requests))
        and harness.discovery.requests[0] == "/api/targets"
    )
    pushed = PlatformHarness()
    pushed.discovery.requests.clear()
    pushed.restart(known=pushed.known())
    assert (
        pushed.run_until(lambda: bool(pushed.discovery.requests))
        and pushed.discovery.requests[0] == "/api/targets"
    )


def test_a_cached_list_newer_than_discovery_is_replaced_by_the_full_list() -> None:
    harness = pull_harness(known_version=40)
    harness.discovery.publish(harness.entry(2, "DRAINING"))
    assert harness.run_until(lambda: harness.phase(2) is Phase.DRAINING)
    assert "/api/targets" in harness.discovery.requests


@pytest.mark.parametrize("failures", [1, 5])
def test_a_refused_call_is_retried_from_the_held_version_even_if_the_module_asks(failures: int) -> None:
    harness = pull_harness()
    assert harness.run_until(lambda: len(harness.discovery.watches) == 1)
    harness.run(0.1)
    for _ in range(failures):
        harness.broker.discovery.fail("status 503")
        harness.run(0.2)
    assert "/api/targets" not in harness.discovery.requests
