"""Discovery whose responses take long: each is heard, none that is out of date does harm.

The time of a response is up to 2 s, and every third call is lost besides. Real sockets in virtual time.
"""

from itertools import cycle, islice

import pytest

from quincepath.interface import Phase
from quincepath.platform.list_timing import (
    MARGIN_NS,
    MAX_LATE_CALLS,
    MAX_RETRY_DELAY_NS,
    RETRY_WATCH_MS,
    UPDATE_DEADLINE_NS,
    WORST_CASES_NS,
    ResponseTimes,
)
from tests.platform.test_list_timing import harness_for, time_until_drained
from tests.standins.agent import MS, SECOND, Agent
from tests.standins.platform import PlatformHarness

MODES = ["push", "ask"]
LIMIT_NS = UPDATE_DEADLINE_NS - MARGIN_NS
READY_NS = 10 * SECOND
RESPONSE_MS = [100, 500, 900, 1500, 2000]
EVERY_THIRD_LOST = [["lost", "ok", "ok"], ["ok", "lost", "ok"], ["ok", "ok", "lost"]]


def outcomes(pattern: list[str], calls: int = 400) -> list[str]:
    return list(islice(cycle(pattern), calls))


def slow_harness(mode: str, delay_ms: int, pattern: list[str]) -> tuple[PlatformHarness, Agent]:
    """A broker that holds the list of a slow agent and has watched it for a while."""
    harness, agent = harness_for(mode)
    agent.delay, agent.outcomes = delay_ms * MS, outcomes(pattern)
    harness.run(20)
    return harness, agent


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("delay_ms", RESPONSE_MS)
@pytest.mark.parametrize("pattern", [["ok"], *EVERY_THIRD_LOST], ids="-".join)
def test_a_broker_without_a_list_is_ready_in_time(mode: str, delay_ms: int, pattern: list[str]) -> None:
    """Each call was given up after 1 s at the latest, so that a slower service was never heard."""
    harness = PlatformHarness(discovery=mode)
    agent = Agent(harness.loop)
    agent.entries = {entry["id"]: entry for entry in (harness.entry(number) for number in range(4))}
    agent.delay, agent.outcomes = delay_ms * MS, outcomes(pattern)
    began = harness.loop.at
    harness.restart(discovery=("127.0.0.1", agent.port))
    assert harness.run_until(lambda: harness.broker.targets.version >= 0, READY_NS / SECOND)
    assert harness.loop.at - began <= READY_NS


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("delay_ms", RESPONSE_MS)
@pytest.mark.parametrize("pattern", [["ok"], *EVERY_THIRD_LOST], ids="-".join)
@pytest.mark.parametrize("phase_ms", [0, 700, 1700, 3100])
def test_a_change_is_in_force_in_time(mode: str, delay_ms: int, pattern: list[str], phase_ms: int) -> None:
    """Just missed by a response that is on its way, and one more call is lost."""
    harness, agent = slow_harness(mode, delay_ms, pattern)
    harness.run(phase_ms / 1000)
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    response = delay_ms * MS
    lost_call = RETRY_WATCH_MS * MS + int(1.25 * response) + MAX_RETRY_DELAY_NS
    at_the_earliest = response + lost_call + response
    assert time_until_drained(harness, began) <= max(LIMIT_NS, at_the_earliest)


@pytest.mark.parametrize("mode", MODES)
def test_a_response_to_a_watch_that_was_given_up_is_used(mode: str) -> None:
    harness, agent = harness_for(mode)
    assert harness.run_until(lambda: len(agent.calls) > 2, 10) and agent.watches  # held for the whole time
    harness.run(0.9 if mode == "push" else 3.5)
    failed = harness.broker.counts["discovery failed"]
    agent.delay, agent.default_outcome = 1500 * MS, "lost"  # all later calls
    agent.publish(harness.entry(0, "DRAINING"))
    harness.run(1.49)
    assert harness.broker.counts["discovery failed"] > failed and harness.phase(0) is Phase.READY
    harness.run(0.02)
    assert harness.phase(0) is Phase.DRAINING


def test_a_late_response_older_than_the_list_in_force_changes_nothing() -> None:
    """It left before the newer one was made."""
    harness, agent = harness_for("ask")
    agent.reset()
    agent.delay = 1500 * MS
    calls = len(agent.calls)
    agent.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: len(agent.calls) == calls + 2, 5)
    agent.delay = 0
    agent.publish(harness.entry(0, "SERVING", started_ms=int(harness.loop.at / MS)))
    assert harness.run_until(lambda: harness.broker.targets.version == agent.version, 5)
    full_lists = sum("since" not in target for _, target in agent.calls)
    harness.run(3)
    assert harness.phase(0) is Phase.READY
    assert sum("since" not in target for _, target in agent.calls) == full_lists, "no numbering anew"


def test_an_overlapped_response_of_a_copy_that_lags_is_no_numbering_anew() -> None:
    """A late call is answered first; the current one, asked from the older version, brings less."""
    harness, agent = harness_for("ask")
    agent.reset()
    agent.delay = 700 * MS
    calls = len(agent.calls)
    agent.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: len(agent.calls) == calls + 1, 5)
    agent.raw = b'{"version":1,"full":false,"servers":[]}'  # of the next call
    assert harness.run_until(lambda: len(agent.calls) == calls + 2, 5)
    agent.raw = None
    full_lists = sum("since" not in target for _, target in agent.calls)
    harness.run(3)
    assert harness.broker.targets.version == agent.version and harness.phase(0) is Phase.DRAINING
    assert sum("since" not in target for _, target in agent.calls) == full_lists


@pytest.mark.parametrize("mode", MODES)
def test_a_late_response_from_the_address_before_sighup_is_not_used(mode: str) -> None:
    harness, agent = harness_for(mode)
    agent.reset()
    agent.delay = 1500 * MS
    agent.publish(harness.entry(0, "DRAINING"))
    harness.run(0.9)  # the first call is late, and the next one is out
    moved = Agent(harness.loop)
    moved.version = 7
    moved.entries = {entry["id"]: entry for entry in (harness.entry(number) for number in range(4))}
    harness.broker.move_discovery(("127.0.0.1", moved.port))
    harness.run(3)
    assert harness.phase(0) is Phase.READY and harness.broker.targets.version == 7
    assert not any(not stream.closed for stream in agent.streams)


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("interval_ms", [300, 700, 1200, 3000])
@pytest.mark.parametrize("delay_ms", [100, 1400, 2000])
def test_a_row_of_moves_does_not_hide_a_change(mode: str, interval_ms: int, delay_ms: int) -> None:
    """Each move closed the call under way: work went to a draining node until the moves ended, for 11 s."""
    harness, agent = slow_harness(mode, delay_ms, ["ok"])
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    addresses = [agent]
    while harness.phase(0) is Phase.READY and harness.loop.at < began + 12 * SECOND:
        moved = Agent(harness.loop)
        moved.version, moved.delay = agent.version, delay_ms * MS
        moved.entries = {entry["id"]: entry for entry in (harness.entry(number) for number in range(1, 4))}
        moved.entries |= {harness.nodes[0].name: harness.entry(0, "DRAINING")}
        addresses.append(moved)
        harness.broker.move_discovery(("127.0.0.1", moved.port))
        harness.run(interval_ms / 1000)
    assert harness.phase(0) is Phase.DRAINING
    assert harness.loop.at - began <= LIMIT_NS and not harness.errors


@pytest.mark.parametrize("mode", MODES)
def test_a_former_address_is_not_used_for_the_next_call(mode: str) -> None:
    harness, agent = harness_for(mode)
    agent.reset()
    agent.delay = 700 * MS
    moved = Agent(harness.loop)
    moved.default_outcome = "lost"
    harness.run(0.3)
    harness.broker.move_discovery(("127.0.0.1", moved.port))
    calls = len(agent.calls)
    harness.run(4)
    assert len(agent.calls) == calls and len(moved.calls) > 1
    assert all("since" not in target for _, target in moved.calls), "the new one numbers its versions itself"


@pytest.mark.parametrize("mode", MODES)
def test_a_service_that_was_slow_and_falls_silent_is_heard_when_it_returns(mode: str) -> None:
    harness, agent = slow_harness(mode, 2000, ["ok"])
    agent.outcomes, agent.default_outcome = [], "lost"
    agent.lose()
    harness.run(8)
    calls = len(agent.calls)
    harness.run(60)
    assert len(agent.calls) - calls <= 60, "no more often than a fast service that fell silent"
    agent.default_outcome, agent.delay = "ok", 0
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("outcome", ["lost", "trickle", "stalled"])
def test_the_connections_of_late_calls_are_bounded(outcome: str) -> None:
    harness, agent = harness_for("ask")
    agent.lose()
    agent.default_outcome = outcome
    for _ in range(100):
        harness.run(0.2)
        assert len(harness.broker.discovery._late) <= MAX_LATE_CALLS
        assert sum(not stream.closed for stream in agent.streams if stream not in agent.lost) <= 60
    harness.broker.discovery.close()
    assert not harness.broker.discovery._late


@pytest.mark.parametrize("mode", MODES)
def test_responses_one_byte_at_a_time_do_not_hide_those_behind_them(mode: str) -> None:
    harness, agent = slow_harness(mode, 1500, ["ok"])
    agent.outcomes = ["trickle", "trickle"]
    agent.reset()
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    assert time_until_drained(harness, began) <= LIMIT_NS


@pytest.mark.parametrize("delay_ms", RESPONSE_MS)
def test_slow_responses_do_not_raise_the_number_of_calls(delay_ms: int) -> None:
    """A call that is answered is not repeated meanwhile; at 100 ms one call each 3.8 s, as ever."""
    harness, agent = slow_harness("ask", delay_ms, ["ok"])
    calls = len(agent.calls)
    harness.run(60)
    made = len(agent.calls) - calls
    assert made <= (16 if delay_ms == 100 else 60 * SECOND // (delay_ms * MS) + 1) and made <= 60


def test_the_end_of_an_outage_is_not_taken_for_a_slow_service_for_long() -> None:
    """Calls made while it was silent are answered at its return, as if their responses had taken long."""
    harness, agent = slow_harness("ask", 0, ["ok"])
    agent.delay = 3 * SECOND
    agent.reset()
    harness.run(2.9)
    agent.delay = 0
    answered = len(agent.calls)
    harness.run(8)
    waits = [int(target.partition("timeout_ms=")[2] or 0) for _, target in agent.calls[answered:]]
    assert 3_700 in waits[:6]


@pytest.mark.parametrize("case", WORST_CASES_NS)
def test_the_sums_hold_for_a_service_that_answers_within_its_first_time_limit(case: str) -> None:
    times = ResponseTimes()
    for _ in range(50):
        times.observe(400 * MS)
    assert times.timeout(0) == 500 * MS and times.watch_wait_ms(3_700, 0) == 3_700
    assert WORST_CASES_NS[case] <= LIMIT_NS


@pytest.mark.parametrize("response_ms", range(400, 3600, 100))
def test_a_shorter_watch_makes_room_for_slow_responses_in_the_sum(response_ms: int) -> None:
    """A watch that falls silent, one more call that is lost, and one that is answered."""
    times = ResponseTimes()
    times.observe(response_ms * MS)
    limit, wait_ms = times.timeout(0), times.watch_wait_ms(3_700, 0)
    silent_watch = wait_ms * MS + limit + MAX_RETRY_DELAY_NS
    one_more = RETRY_WATCH_MS * MS + limit + MAX_RETRY_DELAY_NS
    assert limit >= min(response_ms, 3500) * MS
    assert wait_ms == RETRY_WATCH_MS or silent_watch + one_more + limit <= LIMIT_NS
