"""List timing: what a reachable discovery has is applied in time, whatever happened to the calls before.

The sums come from the constants; each case is run on real sockets in virtual time, with the change published
at the worst moments: right after a call that is lost, and at many phases of a call.
"""

import socket
from collections.abc import Callable

import pytest

from quincepath.interface import Phase
from quincepath.orders import RefreshMembership
from quincepath.platform import list_timing
from quincepath.platform.list_timing import (
    MARGIN_NS,
    MAX_RETRY_DELAY_NS,
    MOVE_DEADLINE_NS,
    MS,
    UPDATE_DEADLINE_NS,
    WORST_CASE_AFTER_MOVE_NS,
    WORST_CASES_NS,
)
from tests.standins.agent import SECOND, Agent
from tests.standins.platform import PlatformHarness

MODES = ["push", "ask"]
LIMIT_NS = UPDATE_DEADLINE_NS - MARGIN_NS
CALL_OUTCOMES = ["stalled", "trickle", "half", "reset", "lost"]  # of one more call


@pytest.mark.parametrize("case", WORST_CASES_NS)
def test_each_worst_case_leaves_its_margin(case: str) -> None:
    assert WORST_CASES_NS[case] <= LIMIT_NS


def test_in_pull_mode_the_list_is_requested_no_more_often_than_the_sum_requires() -> None:
    """Requests for lists are priced over all brokers: a shorter watch needs a reason."""
    assert WORST_CASES_NS["watch, asked for, fell silent"] > LIMIT_NS - 100 * MS


def test_after_a_move_the_sum_leaves_its_margin_and_retry_delays_are_short() -> None:
    assert WORST_CASE_AFTER_MOVE_NS <= MOVE_DEADLINE_NS - MARGIN_NS
    assert MAX_RETRY_DELAY_NS <= 150 * MS, "with a new connection, within 200 ms"
    assert list_timing.retry_delay(0.0) > 0 and list_timing.retry_delay(1.0) <= MAX_RETRY_DELAY_NS


def harness_for(mode: str) -> tuple[PlatformHarness, Agent]:
    """A broker that holds all four nodes from the agent, its watch just opened."""
    harness = PlatformHarness(discovery=mode)
    agent = Agent(harness.loop)
    agent.entries = {entry["id"]: entry for entry in (harness.entry(number) for number in range(4))}
    harness.broker.move_discovery(("127.0.0.1", agent.port))
    assert harness.run_until(lambda: bool(agent.watches))
    return harness, agent


def time_until_drained(harness: PlatformHarness, began: int) -> int:
    """How long after ``began`` the broker knows the drain of node 0."""
    assert harness.run_until(lambda: harness.phase(0) is Phase.DRAINING, 60)
    return harness.loop.at - began


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("then", CALL_OUTCOMES)
@pytest.mark.parametrize("age", [0.0, 0.4, 0.9, 1.5, 2.9, 3.6])
def test_a_silent_watch_and_one_more_failed_call(mode: str, then: str, age: float) -> None:
    harness, agent = harness_for(mode)
    harness.run(age)
    began = harness.loop.at
    agent.lose()
    agent.outcomes = [then]
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("age", [0.0, 0.9, 3.6])
def test_a_silent_watch_and_a_connection_that_is_not_established(mode: str, age: float) -> None:
    harness, agent = harness_for(mode)
    harness.run(age)
    began = harness.loop.at
    agent.lose()
    agent.publish(harness.entry(0, "DRAINING"))
    agent.unreachable()
    failed = harness.broker.counts["discovery failed"]
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] == failed + 1, 60)
    failed_at = harness.loop.at
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] == failed + 2, 60)
    assert harness.loop.at - failed_at >= list_timing.RESPONSE_TIMEOUT_NS, "it was refused, not lost"
    agent.reachable()
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("then", CALL_OUTCOMES)
@pytest.mark.parametrize("lost", [1, 2, 3, 4, 7])
def test_a_call_sent_just_before_discovery_can_be_reached(mode: str, then: str, lost: int) -> None:
    """After so many lost calls; the time runs from the moment after the last of them."""
    harness, agent = harness_for(mode)
    agent.lose()
    agent.outcomes = ["lost"] * lost + [then]
    calls = len(agent.calls) + lost
    assert harness.run_until(lambda: len(agent.calls) == calls, 120)
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("way", ["refused", "unreachable"])
@pytest.mark.parametrize("phase", range(12))
def test_discovery_returns_at_any_phase_of_an_outage(mode: str, way: str, phase: int) -> None:
    """During a dial that is lost, or during the delay after one that was refused."""
    harness, agent = harness_for(mode)
    agent.reset()
    if way == "refused":
        agent.refuse()
    else:
        agent.unreachable()
    harness.run(1.7 + 0.173 * phase)
    agent.outcomes = ["trickle"]
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    if way == "refused":
        agent.open()
    else:
        agent.reachable()
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("every", [50, 130, 400])
def test_repeated_requests_for_the_list_do_not_restart_its_time_limit(mode: str, every: int) -> None:
    """The response takes longer than the interval between two orders to read the list."""
    harness, agent = harness_for(mode)
    agent.lose()
    agent.default_outcome = "lost"
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] > 1, 60)

    def again() -> None:
        harness.broker._execute(RefreshMembership())
        harness.loop.call_in(every * MS, again)

    again()
    harness.run(2)
    agent.default_outcome, agent.delay = "ok", 450 * MS
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("age", [0.0, 0.9, 1.4, 3.6])
@pytest.mark.parametrize(
    "met", [["lost", "trickle"], ["half", "stalled"], ["lost", "reset"], []], ids="-".join
)
def test_sighup_during_a_call_and_two_more_that_fail(mode: str, age: float, met: list[str]) -> None:
    """Versions at the new address are lower, as after a restart of the numbering."""
    harness, agent = harness_for(mode)
    agent.version = 50
    agent.publish()
    harness.run(0.01)
    if age > 1:
        agent.lose()
    harness.run(age)
    moved = Agent(harness.loop)
    moved.version = 7
    moved.entries = {entry["id"]: entry for entry in (harness.entry(0, "DRAINING"), harness.entry(1))}
    moved.outcomes = list(met)
    began = harness.loop.at
    harness.broker.move_discovery(("127.0.0.1", moved.port))
    assert time_until_drained(harness, began) <= MOVE_DEADLINE_NS - MARGIN_NS
    assert [harness.phase(n) for n in range(4)] == [Phase.DRAINING, Phase.READY, None, None]
    began = harness.loop.at
    moved.publish(harness.entry(3))
    assert harness.run_until(lambda: harness.phase(3) is Phase.READY) and harness.loop.at - began <= SECOND


@pytest.mark.parametrize("mode", MODES)
def test_the_response_of_a_slow_agent_is_received_in_the_end(mode: str) -> None:
    """Slower than the limit of a first call: guards against timing out on every call for ever."""
    harness, agent = harness_for(mode)
    agent.delay = 900 * MS
    agent.lose()
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, harness.loop.at) < 20 * SECOND


@pytest.mark.parametrize("mode", MODES)
def test_an_internal_error_ends_one_call_and_not_the_updates(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An error as a connection opens is reported to nobody else: the call's time limit ends the call."""
    harness, agent = harness_for(mode)
    discovery, errors = harness.broker.discovery, 0

    def broken(sock: socket.socket) -> None:
        nonlocal errors
        errors += 1
        monkeypatch.undo()
        raise RuntimeError("raised once")

    monkeypatch.setattr(discovery, "_on_open", broken)
    agent.reset()
    agent.publish(harness.entry(0, "DRAINING"))
    assert (
        time_until_drained(harness, harness.loop.at) <= LIMIT_NS and errors == 1 and len(harness.errors) == 1
    )


def answer_at_once(harness: PlatformHarness, agent: Agent) -> None:
    """The agent answers each watch at once, without changes."""
    agent.raw = b'{"version":1,"full":false,"servers":[]}'
    agent.reset()


def answer_older(harness: PlatformHarness, agent: Agent) -> None:
    """The agent answers with a list older than the version requested from."""
    agent.raw = b'{"version":0,"full":true,"servers":[]}'
    agent.reset()


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("make", [answer_at_once, answer_older])
def test_immediate_responses_without_changes_are_not_requested_without_a_delay(
    mode: str, make: Callable[[PlatformHarness, Agent], None]
) -> None:
    harness, agent = harness_for(mode)
    make(harness, agent)
    agent.calls.clear()
    harness.run(2)
    assert not agent.flooded and 10 < len(agent.calls) < 60


@pytest.mark.parametrize("phase", range(5))
def test_calls_to_an_overloaded_shared_service_back_off_and_still_learn_in_time(phase: int) -> None:
    """All brokers call the same service: eight calls a second from each would keep it overloaded."""
    harness, agent = harness_for("ask")
    agent.default_outcome = "bad_status"
    agent.reset()  # the open watch
    harness.run(8 + 0.23 * phase)
    late = [at for at, _ in agent.calls if at > agent.calls[0][0] + 4 * SECOND]
    assert 3 <= len(late) <= 7
    agent.publish(harness.entry(0, "DRAINING"))
    agent.default_outcome, agent.outcomes = "ok", ["stalled"]
    assert time_until_drained(harness, harness.loop.at) <= LIMIT_NS


def test_calls_to_an_agent_on_this_machine_do_not_back_off() -> None:
    """What it receives when discovery returns is in force at once, and its responses cost nothing."""
    harness, agent = harness_for("push")
    agent.default_outcome = "bad_status"
    agent.reset()
    harness.run(8)
    agent.publish(harness.entry(0, "DRAINING"))
    agent.default_outcome = "ok"
    assert time_until_drained(harness, harness.loop.at) <= MAX_RETRY_DELAY_NS + 20 * MS


def test_the_backoff_is_reset_once_the_service_answers() -> None:
    harness, agent = harness_for("ask")
    agent.default_outcome = "bad_status"
    agent.reset()
    harness.run(8)
    agent.default_outcome = "ok"
    assert harness.run_until(lambda: bool(agent.watches), 5)
    began = harness.loop.at
    agent.reset()
    assert (
        harness.run_until(lambda: bool(agent.watches), 5)
        and harness.loop.at - began <= MAX_RETRY_DELAY_NS + 20 * MS
    )
