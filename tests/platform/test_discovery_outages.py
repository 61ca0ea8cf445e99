"""Discovery that falls silent, is down, is moved or writes its lists another way. Virtual time."""

import json

import pytest

from quincepath.interface import Phase
from tests.standins.platform import MS, SECOND, Discovery, World

TOLD = 6 * SECOND  # after a watch fell silent, what it misses counts as told
MOVED = 4 * SECOND  # after SIGHUP, what discovery has at its new address counts as told


def lost(world: World) -> None:
    """The open call is never answered; a new one is."""
    world.discovery.waiting.clear()


def half(world: World) -> None:
    """The next answer begins and stands still, as does each until a second has passed."""
    world.discovery.half = True
    world.discovery.tell()
    world.loop.call_in(SECOND, lambda: setattr(world.discovery, "half", False))


def reset(world: World) -> None:
    world.discovery.waiting.clear()
    for peer in list(world.discovery.server.connections):
        peer.stream.close(reset=True)


def frozen(world: World) -> None:
    """Connections come up and nothing is said, for two seconds; calls of that time are lost."""
    lost(world)
    world.discovery.silent = True
    world.loop.call_in(2 * SECOND, lambda: setattr(world.discovery, "silent", False))


FALLS = {"lost": (lost, TOLD), "half": (half, TOLD), "reset": (reset, 200 * MS), "frozen": (frozen, TOLD)}


@pytest.mark.parametrize("way", FALLS)
@pytest.mark.parametrize("age", [0, 1, 3])
def test_a_watch_that_fell_silent_is_opened_anew_before_what_it_misses_counts(way: str, age: int) -> None:
    fall, within = FALLS[way]
    world = World()
    world.run(age)  # how long the call has been out
    began = world.loop.at
    fall(world)
    world.discovery.tell(world.entry(0, "DRAINING"))
    assert world.until(lambda: world.phase(0) is Phase.DRAINING, 30)
    assert world.loop.at - began < within - within // 10


def test_a_whole_list_that_is_not_answered_is_asked_for_again() -> None:
    """Such a call may not wait: its silence counts from the start."""
    world = World()
    world.discovery.silent = True
    began = world.loop.at
    world.broker.discovery.ask_all()
    asked = len(world.discovery.asked)
    assert world.until(lambda: len(world.discovery.asked) >= asked + 3, 30)
    assert world.loop.at - began < TOLD // 2 and set(world.discovery.asked[asked:]) == {"/api/targets"}


def test_what_the_agent_gets_at_discoverys_return_is_known_at_once() -> None:
    """It counts at once: the call that is out when discovery goes is kept, and is answered at its return."""
    world = World()
    held, world.discovery.waiting = world.discovery.waiting, []
    world.run(3)  # down: silent, also on the call that is out
    world.discovery.waiting += held
    world.discovery.tell(world.entry(0, "DRAINING"), world.entry(2, "DELETED"))
    world.run(0.05)
    assert (world.phase(0), world.phase(2)) == (Phase.DRAINING, None)


@pytest.mark.parametrize("indent", [None, 2, "\t"])
@pytest.mark.parametrize("full", [True, False])
def test_lists_and_changes_are_read_however_they_are_spaced(indent: int | str | None, full: bool) -> None:
    world = World()
    servers = [world.entry(number, "DRAINING" if number == 0 else "SERVING") for number in range(4)]
    text = json.dumps({"version": 7, "full": full, "servers": servers}, indent=indent)
    world.discovery.raw = f"\r\n {text}\n\n".encode()
    world.discovery.version = 7
    world.discovery.on_ask = lambda: setattr(world.discovery, "raw", None)  # what follows waits again
    waiting, world.discovery.waiting = world.discovery.waiting, []
    for exchange, _ in waiting:
        exchange.respond(200, {}, world.discovery.raw)
    world.run(0.05)
    assert world.phase(0) is Phase.DRAINING and world.broker.targets.version == 7
    assert not world.broker.counts["discovery failed"]


@pytest.mark.parametrize("silent_for", [0, 1, 2])
def test_after_sighup_the_list_at_the_new_address_is_held_within_four_seconds(silent_for: int) -> None:
    world = World()
    moved = Discovery(world.loop)
    moved.version = 40
    moved.entries = {entry["id"]: entry for entry in (world.entry(1), world.entry(2, "DRAINING"))}
    moved.silent = silent_for > 0
    world.loop.call_in(silent_for * SECOND, lambda: setattr(moved, "silent", False))
    began = world.loop.at
    world.broker.move_discovery(("127.0.0.1", moved.server.port))
    assert world.until(lambda: world.broker.targets.version == 40, 30)
    assert world.loop.at - began < MOVED - MOVED // 10
    assert [world.phase(n) for n in range(4)] == [None, Phase.READY, Phase.DRAINING, None]
    world.discovery.tell(world.entry(1, "DELETED"))  # at the old address nobody listens any more
    world.run(1)
    assert world.phase(1) is Phase.READY


def test_an_agent_that_is_asked_for_lists_is_not_stormed_after_an_outage() -> None:
    """Lists are priced by the line over the whole fleet: an outage costs a few, not one a failure."""
    world = World(discovery="ask")
    lost(world)
    port = world.discovery.server.port
    world.broker.move_discovery(("127.0.0.1", 1))  # refused, again and again
    world.run(6)
    failed = world.broker.counts["discovery failed"]
    world.discovery.asked.clear()
    world.broker.discovery.address = ("127.0.0.1", port)
    world.run(40)
    whole = [target for target in world.discovery.asked if target == "/api/targets"]
    assert failed > 20 and len(whole) <= 3
