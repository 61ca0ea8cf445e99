"""Discovery that falls silent, is down, has moved or formats its lists differently. Virtual time."""

import json

import pytest

from quincepath.interface import Phase
from tests.standins.platform import MS, SECOND, Discovery, PlatformHarness

UPDATE_DEADLINE_NS = 6 * SECOND  # after a watch fell silent, what it misses counts as known
MOVE_DEADLINE_NS = 4 * SECOND  # after SIGHUP, what discovery has at its new address counts as known


def lost(harness: PlatformHarness) -> None:
    """The open call is never answered; a new one is."""
    harness.discovery.watches.clear()


def half(harness: PlatformHarness) -> None:
    """Each response of the next second begins and then stalls."""
    harness.discovery.half = True
    harness.discovery.publish()
    harness.loop.call_in(SECOND, lambda: setattr(harness.discovery, "half", False))


def reset(harness: PlatformHarness) -> None:
    harness.discovery.watches.clear()
    for peer in list(harness.discovery.server.connections):
        peer.stream.close(reset=True)


def frozen(harness: PlatformHarness) -> None:
    """For two seconds connections are established but calls are lost."""
    lost(harness)
    harness.discovery.silent = True
    harness.loop.call_in(2 * SECOND, lambda: setattr(harness.discovery, "silent", False))


FAILURES = {
    "lost": (lost, UPDATE_DEADLINE_NS),
    "half": (half, UPDATE_DEADLINE_NS),
    "reset": (reset, 200 * MS),
    "frozen": (frozen, UPDATE_DEADLINE_NS),
}


@pytest.mark.parametrize("way", FAILURES)
@pytest.mark.parametrize("age", [0, 1, 3])
def test_a_silent_watch_is_reopened_before_what_it_misses_counts_as_known(way: str, age: int) -> None:
    fail, within = FAILURES[way]
    harness = PlatformHarness()
    harness.run(age)  # how long the call has been out
    began = harness.loop.at
    fail(harness)
    harness.discovery.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: harness.phase(0) is Phase.DRAINING, 30)
    assert harness.loop.at - began < within - within // 10


def test_an_unanswered_request_for_the_full_list_is_repeated() -> None:
    """Such a call is no watch: its time limit starts with the request."""
    harness = PlatformHarness()
    harness.discovery.silent = True
    began = harness.loop.at
    harness.broker.discovery.refetch()
    asked = len(harness.discovery.requests)
    assert harness.run_until(lambda: len(harness.discovery.requests) >= asked + 3, 30)
    assert harness.loop.at - began < UPDATE_DEADLINE_NS // 2 and set(harness.discovery.requests[asked:]) == {
        "/api/targets"
    }


def test_what_the_agent_receives_when_discovery_returns_is_known_at_once() -> None:
    """It is in force at once: a call open when discovery goes down is kept and answered when it returns."""
    harness = PlatformHarness()
    held, harness.discovery.watches = harness.discovery.watches, []
    harness.run(3)  # down: silent, also on the open call
    harness.discovery.watches += held
    harness.discovery.publish(harness.entry(0, "DRAINING"), harness.entry(2, "DELETED"))
    harness.run(0.05)
    assert (harness.phase(0), harness.phase(2)) == (Phase.DRAINING, None)


@pytest.mark.parametrize("indent", [None, 2, "\t"])
@pytest.mark.parametrize("full", [True, False])
def test_lists_and_deltas_are_read_with_any_whitespace(indent: int | str | None, full: bool) -> None:
    harness = PlatformHarness()
    servers = [harness.entry(number, "DRAINING" if number == 0 else "SERVING") for number in range(4)]
    text = json.dumps({"version": 7, "full": full, "servers": servers}, indent=indent)
    harness.discovery.raw = f"\r\n {text}\n\n".encode()
    harness.discovery.version = 7
    harness.discovery.on_request = lambda: setattr(
        harness.discovery, "raw", None
    )  # later requests wait again
    waiting, harness.discovery.watches = harness.discovery.watches, []
    for exchange, _ in waiting:
        exchange.respond(200, {}, harness.discovery.raw)
    harness.run(0.05)
    assert harness.phase(0) is Phase.DRAINING and harness.broker.targets.version == 7
    assert not harness.broker.counts["discovery failed"]


@pytest.mark.parametrize("silent_for", [0, 1, 2])
def test_after_sighup_the_list_at_the_new_address_is_known_within_four_seconds(silent_for: int) -> None:
    harness = PlatformHarness()
    moved = Discovery(harness.loop)
    moved.version = 40
    moved.entries = {entry["id"]: entry for entry in (harness.entry(1), harness.entry(2, "DRAINING"))}
    moved.silent = silent_for > 0
    harness.loop.call_in(silent_for * SECOND, lambda: setattr(moved, "silent", False))
    began = harness.loop.at
    harness.broker.move_discovery(("127.0.0.1", moved.server.port))
    assert harness.run_until(lambda: harness.broker.targets.version == 40, 30)
    assert harness.loop.at - began < MOVE_DEADLINE_NS - MOVE_DEADLINE_NS // 10
    assert [harness.phase(n) for n in range(4)] == [None, Phase.READY, Phase.DRAINING, None]
    harness.discovery.publish(harness.entry(1, "DELETED"))  # the old address is no longer called
    harness.run(1)
    assert harness.phase(1) is Phase.READY


def test_an_agent_in_pull_mode_is_not_flooded_after_an_outage() -> None:
    """Lists are priced over the whole fleet: an outage may cost a few of them, not one per failure."""
    harness = PlatformHarness(discovery="ask")
    lost(harness)
    port = harness.discovery.server.port
    harness.broker.move_discovery(("127.0.0.1", 1))  # refused repeatedly
    harness.run(6)
    failed = harness.broker.counts["discovery failed"]
    harness.discovery.requests.clear()
    harness.broker.discovery.address = ("127.0.0.1", port)
    harness.run(40)
    whole = [target for target in harness.discovery.requests if target == "/api/targets"]
    assert failed > 20 and len(whole) <= 3
