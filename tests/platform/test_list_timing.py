"""One clock of the list: what discovery has and can be reached for is held in time, whatever calls met.

The sums come from the constants; each case is played on real sockets in virtual time, with the change told in
the worst moments: right after a call was sent that is lost, and at many phases of a call.
"""

import socket
from collections.abc import Callable

import pytest

from quincepath.interface import Phase
from quincepath.orders import RefreshMembership
from quincepath.platform import list_timing
from quincepath.platform.list_timing import (
    MARGIN,
    MAX_RETRY_DELAY,
    MOVE_DEADLINE,
    MS,
    NEWS_DEADLINE,
    WORST_CASE_AFTER_MOVE,
    WORST_CASES,
)
from tests.standins.agent import SECOND, Agent
from tests.standins.platform import World

MODES = ["push", "ask"]
WITHIN = NEWS_DEADLINE - MARGIN
CALLS = ["still", "trickle", "half", "reset", "lost"]  # what one more call may meet with


@pytest.mark.parametrize("case", WORST_CASES)
def test_each_sum_leaves_its_margin(case: str) -> None:
    assert WORST_CASES[case] <= WITHIN


def test_a_list_that_must_be_asked_for_is_asked_for_no_more_often_than_the_sum_wants() -> None:
    """Calls for lists are priced over all brokers: a shorter wait has to have a reason."""
    assert WORST_CASES["watch, asked for, fell silent"] > WITHIN - 100 * MS


def test_after_a_move_the_sum_leaves_its_margin_and_a_watch_goes_on_after_a_pause() -> None:
    assert WORST_CASE_AFTER_MOVE <= MOVE_DEADLINE - MARGIN
    assert MAX_RETRY_DELAY <= 150 * MS, "with a connection to open, within 200 ms"
    assert list_timing.retry_delay(0.0) > 0 and list_timing.retry_delay(1.0) <= MAX_RETRY_DELAY


def world_of(mode: str) -> tuple[World, Agent]:
    """A broker that holds all four nodes, told by the agent, its watch just opened."""
    world = World(discovery=mode)
    agent = Agent(world.loop)
    agent.entries = {entry["id"]: entry for entry in (world.entry(number) for number in range(4))}
    world.broker.move_discovery(("127.0.0.1", agent.port))
    assert world.until(lambda: bool(agent.waiting))
    return world, agent


def held_in(world: World, began: int) -> int:
    """How long after ``began`` the drain of node 0 is held."""
    assert world.until(lambda: world.phase(0) is Phase.DRAINING, 60)
    return world.loop.at - began


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("then", CALLS)
@pytest.mark.parametrize("age", [0.0, 0.4, 0.9, 1.5, 2.9, 3.6])
def test_a_watch_that_fell_silent_and_one_more_call_that_fails(mode: str, then: str, age: float) -> None:
    world, agent = world_of(mode)
    world.run(age)
    began = world.loop.at
    agent.lose()
    agent.fates = [then]
    agent.tell(world.entry(0, "DRAINING"))
    assert held_in(world, began) <= WITHIN


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("age", [0.0, 0.9, 3.6])
def test_a_watch_that_fell_silent_and_a_connection_that_does_not_come_up(mode: str, age: float) -> None:
    world, agent = world_of(mode)
    world.run(age)
    began = world.loop.at
    agent.lose()
    agent.tell(world.entry(0, "DRAINING"))
    agent.unreachable()
    failed = world.broker.counts["discovery failed"]
    assert world.until(lambda: world.broker.counts["discovery failed"] == failed + 1, 60)
    given_up = world.loop.at
    assert world.until(lambda: world.broker.counts["discovery failed"] == failed + 2, 60)
    assert world.loop.at - given_up >= list_timing.RESPONSE_TIMEOUT, "it was refused, not lost"
    agent.reachable()
    assert held_in(world, began) <= WITHIN


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("then", CALLS)
@pytest.mark.parametrize("lost", [1, 2, 3, 4, 7])
def test_a_call_sent_in_the_last_instant_before_discovery_can_be_reached(
    mode: str, then: str, lost: int
) -> None:
    """So many calls are lost, and the moment after the last of them is that from which the clock runs."""
    world, agent = world_of(mode)
    agent.lose()
    agent.fates = ["lost"] * lost + [then]
    calls = len(agent.calls) + lost
    assert world.until(lambda: len(agent.calls) == calls, 120)
    began = world.loop.at
    agent.tell(world.entry(0, "DRAINING"))
    assert held_in(world, began) <= WITHIN


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("way", ["refused", "unreachable"])
@pytest.mark.parametrize("phase", range(12))
def test_discovery_can_be_reached_again_at_any_phase_of_an_outage(mode: str, way: str, phase: int) -> None:
    """With a dial in the air that is lost, or in the pause after one that was refused."""
    world, agent = world_of(mode)
    agent.reset()
    if way == "refused":
        agent.refuse()
    else:
        agent.unreachable()
    world.run(1.7 + 0.173 * phase)
    agent.fates = ["trickle"]
    began = world.loop.at
    agent.tell(world.entry(0, "DRAINING"))
    if way == "refused":
        agent.open()
    else:
        agent.reachable()
    assert held_in(world, began) <= WITHIN


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("every", [50, 130, 400])
def test_who_asks_for_the_list_again_and_again_does_not_start_its_time_anew(mode: str, every: int) -> None:
    """The answer takes longer than what lies between two orders to read the list."""
    world, agent = world_of(mode)
    agent.lose()
    agent.always = "lost"
    assert world.until(lambda: world.broker.counts["discovery failed"] > 1, 60)

    def again() -> None:
        world.broker._carry_out(RefreshMembership())
        world.loop.call_in(every * MS, again)

    again()
    world.run(2)
    agent.always, agent.delay = "well", 450 * MS
    began = world.loop.at
    agent.tell(world.entry(0, "DRAINING"))
    assert held_in(world, began) <= WITHIN


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("age", [0.0, 0.9, 1.4, 3.6])
@pytest.mark.parametrize("met", [["lost", "trickle"], ["half", "still"], ["lost", "reset"], []], ids="-".join)
def test_sighup_amid_a_call_and_two_more_that_fail(mode: str, age: float, met: list[str]) -> None:
    """Versions at the new address are lower, as of one that numbers anew."""
    world, agent = world_of(mode)
    agent.version = 50
    agent.tell()
    world.run(0.01)
    if age > 1:
        agent.lose()
    world.run(age)
    moved = Agent(world.loop)
    moved.version = 7
    moved.entries = {entry["id"]: entry for entry in (world.entry(0, "DRAINING"), world.entry(1))}
    moved.fates = list(met)
    began = world.loop.at
    world.broker.move_discovery(("127.0.0.1", moved.port))
    assert held_in(world, began) <= MOVE_DEADLINE - MARGIN
    assert [world.phase(n) for n in range(4)] == [Phase.DRAINING, Phase.READY, None, None]
    began = world.loop.at
    moved.tell(world.entry(3))
    assert world.until(lambda: world.phase(3) is Phase.READY) and world.loop.at - began <= SECOND


@pytest.mark.parametrize("mode", MODES)
def test_an_agent_that_answers_slowly_is_heard_in_the_end(mode: str) -> None:
    """Slower than the time of a first call: guards against giving up each call, and asking for ever."""
    world, agent = world_of(mode)
    agent.delay = 900 * MS
    agent.lose()
    agent.tell(world.entry(0, "DRAINING"))
    assert held_in(world, world.loop.at) < 20 * SECOND


@pytest.mark.parametrize("mode", MODES)
def test_an_error_of_this_program_in_between_ends_one_call_and_not_the_list(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where a connection was just opened nobody else is there to be told of it: the call's time ends it."""
    world, agent = world_of(mode)
    discovery, errors = world.broker.discovery, 0

    def broken(sock: socket.socket) -> None:
        nonlocal errors
        errors += 1
        monkeypatch.undo()
        raise RuntimeError("seen once")

    monkeypatch.setattr(discovery, "_opened", broken)
    agent.reset()
    agent.tell(world.entry(0, "DRAINING"))
    assert held_in(world, world.loop.at) <= WITHIN and errors == 1 and len(world.errors) == 1


def no_wait(world: World, agent: Agent) -> None:
    """It answers each watch at once."""
    agent.raw = b'{"version":1,"full":false,"servers":[]}'
    agent.reset()


def older(world: World, agent: Agent) -> None:
    """It answers with a list that is older than what it was asked to go on from."""
    agent.raw = b'{"version":0,"full":true,"servers":[]}'
    agent.reset()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("make", [no_wait, older])
def test_answers_that_come_at_once_and_bring_nothing_are_not_fetched_without_a_pause(
    mode: str, make: Callable[[World, Agent], None]
) -> None:
    world, agent = world_of(mode)
    make(world, agent)
    agent.calls.clear()
    world.run(2)
    assert not agent.stormed and 10 < len(agent.calls) < 60


@pytest.mark.parametrize("phase", range(5))
def test_a_shared_service_that_says_it_cannot_is_asked_less_and_less_and_heard_in_time(phase: int) -> None:
    """All brokers ask the same service: eight calls a second of each, while it is full, keep it full."""
    world, agent = world_of("ask")
    agent.always = "bad_status"
    agent.reset()  # the open watch
    world.run(8 + 0.23 * phase)
    late = [at for at, _ in agent.calls if at > agent.calls[0][0] + 4 * SECOND]
    assert 3 <= len(late) <= 7
    agent.tell(world.entry(0, "DRAINING"))
    agent.always, agent.fates = "well", ["still"]
    assert held_in(world, world.loop.at) <= WITHIN


def test_an_agent_of_this_machine_is_asked_again_without_back_off() -> None:
    """What it gets at discovery's return counts at once, and its answers cost nothing."""
    world, agent = world_of("push")
    agent.always = "bad_status"
    agent.reset()
    world.run(8)
    agent.tell(world.entry(0, "DRAINING"))
    agent.always = "well"
    assert held_in(world, world.loop.at) <= MAX_RETRY_DELAY + 20 * MS


def test_after_a_refusal_that_is_over_the_first_pause_is_short_again() -> None:
    world, agent = world_of("ask")
    agent.always = "bad_status"
    agent.reset()
    world.run(8)
    agent.always = "well"
    assert world.until(lambda: bool(agent.waiting), 5)
    began = world.loop.at
    agent.reset()
    assert world.until(lambda: bool(agent.waiting), 5) and world.loop.at - began <= MAX_RETRY_DELAY + 20 * MS
