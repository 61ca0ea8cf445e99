"""Responses of discovery that are cut off or invalid: a list is applied as a whole or not at all."""

import json
import resource
import socket
from collections.abc import Callable
from typing import Any

import pytest

from quincepath.interface import Phase
from quincepath.platform import descriptors
from quincepath.platform.list_timing import MAX_RETRY_DELAY_NS, RESPONSE_TIMEOUT_NS
from quincepath.platform.targets import Target, TargetList
from tests.platform.test_start import refused
from tests.standins.agent import HEAD, MS, Agent, chunked, framed, unframed
from tests.standins.platform import PlatformHarness

RETRY_TIME_NS = MAX_RETRY_DELAY_NS + 50 * MS  # a retry delay and the call after it


# --- responses on sockets ---


def harness_for(mode: str = "push") -> tuple[PlatformHarness, Agent]:
    """A broker that holds all four nodes from the agent, its watch just opened."""
    harness = PlatformHarness(discovery=mode)
    agent = Agent(harness.loop)
    agent.entries = {entry["id"]: entry for entry in (harness.entry(number) for number in range(4))}
    harness.broker.move_discovery(("127.0.0.1", agent.port))
    assert harness.run_until(lambda: bool(agent.watches))
    return harness, agent


def phases(harness: PlatformHarness) -> list[Phase | None]:
    return [harness.phase(number) for number in range(4)]


ALL_READY = [Phase.READY] * 4


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("whole", [True, False])
def test_a_list_without_a_length_is_applied_when_its_connection_closes(mode: str, whole: bool) -> None:
    harness, agent = harness_for(mode)
    agent.encode, agent.after_response = unframed, "end"
    if whole:
        harness.broker.discovery.refetch()
        assert harness.run_until(lambda: len(agent.calls) > 2)
    calls = len(agent.calls)
    agent.publish(harness.entry(0, "DRAINING"), harness.entry(3, "DELETED"))
    harness.run(0.05)
    assert phases(harness) == [Phase.DRAINING, Phase.READY, Phase.READY, None]
    assert not harness.broker.counts["discovery failed"]
    assert len(agent.calls) <= calls + 2, "the next call waits for changes"


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("cut", [1, 40, 0])
def test_a_reset_does_not_end_a_response_even_if_the_list_looks_whole(mode: str, cut: int) -> None:
    """The body, or most of it, then a reset: nothing is applied, and the list is requested again."""
    harness, agent = harness_for(mode)
    agent.encode = lambda body: unframed(body)[: -cut or None]
    agent.after_response = "reset"
    agent.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] == 1)
    assert phases(harness) == ALL_READY
    agent.encode, agent.after_response = framed, ""
    assert harness.run_until(lambda: harness.phase(0) is Phase.DRAINING)


INVALID_RESPONSES: dict[str, Callable[[bytes], bytes]] = {
    "end inside a length": lambda body: framed(body)[:-5],
    "end inside a chunk": lambda body: chunked(body)[:-20],
    "end before the last chunk": lambda body: chunked(body, b""),
    "half without a length": lambda body: unframed(body[: len(body) // 2]),
    "half with its length": lambda body: framed(body[: len(body) // 2]),
    "more than there may be": lambda body: framed(body + b" " * (1 << 20)),
    "3 GB declared": lambda body: HEAD + b"Content-Length: 3000000000\r\n\r\n" + body,
    "two lengths": lambda body: HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + body,
    "no HTTP": lambda body: b"\xff\xfe" + body,
    "nested": lambda body: framed(body[:-1] + b',"more":' + b"[" * 100_000 + b"]" * 100_000 + b"}"),
    "not text": lambda body: framed(body.replace(b"m2", b"\xff\xfe")),
    "301": lambda body: framed(body).replace(b"200 OK", b"301 Elsewhere"),
    "304": lambda body: b"HTTP/1.1 304 Not Modified\r\n\r\n",
    "101": lambda body: b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "500": lambda body: framed(body).replace(b"200 OK", b"500 Broken"),
    "204": lambda body: b"HTTP/1.1 204 None\r\n\r\n",
    "unknown coding": lambda body: HEAD + b"Transfer-Encoding: gzip\r\n\r\n" + body,
}


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("way", INVALID_RESPONSES)
def test_an_invalid_response_changes_nothing_and_is_soon_requested_again(mode: str, way: str) -> None:
    harness, agent = harness_for(mode)
    agent.encode, agent.after_response = INVALID_RESPONSES[way], "end"
    agent.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] == 1)
    assert phases(harness) == ALL_READY and not harness.errors
    agent.encode, agent.after_response = framed, ""
    began = harness.loop.at
    assert (
        harness.run_until(lambda: harness.phase(0) is Phase.DRAINING)
        and harness.loop.at - began <= RETRY_TIME_NS
    )


@pytest.mark.parametrize("way", ["stalled", "trickle"])
@pytest.mark.parametrize("answer", [framed, chunked, unframed])
def test_a_stalled_or_trickling_response_has_one_time_limit_in_total(
    way: str, answer: Callable[[bytes], bytes]
) -> None:
    """The limit is the call's: a byte received does not restart it."""
    harness, agent = harness_for()
    agent.encode = answer
    agent.reset()
    agent.outcomes = [way]
    calls = len(agent.calls)
    assert harness.run_until(lambda: len(agent.calls) == calls + 1)
    began = harness.loop.at
    agent.publish(harness.entry(0, "DRAINING"))
    agent.after_response = "end" if answer is unframed else ""
    assert harness.run_until(lambda: harness.phase(0) is Phase.DRAINING, 30)
    assert harness.loop.at - began <= RESPONSE_TIMEOUT_NS + RETRY_TIME_NS


def invalid_entries(harness: PlatformHarness) -> dict[str, dict[str, Any]]:
    return {
        "address": harness.entry(1, addr="nowhere"), "port": harness.entry(1, addr="127.0.0.1:99999"),
        "digits": harness.entry(1, addr="127.0.0.1:" + "9" * 5000), "state": harness.entry(1, "WARMING"),
        "no id": {"state": "SERVING"}, "type": harness.entry(1, cell="1"),
        "null": harness.entry(1, weight=None),
        "start": harness.entry(1, started_ms=-5), "start huge": harness.entry(1, started_ms=10**30),
        "start a float": harness.entry(1, started_ms=1.5),
    }  # fmt: skip


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("at", [0, 1, 2])
@pytest.mark.parametrize("what", list(invalid_entries(PlatformHarness())))
def test_nothing_of_a_list_with_an_invalid_entry_is_applied(what: str, at: int, full: bool) -> None:
    """Neither the entries before it nor, where the module got no update, the list's version."""
    harness, agent = harness_for()
    good = [harness.entry(0, "DRAINING"), harness.entry(3, "DELETED")]
    servers = [*good[:at], invalid_entries(harness)[what], *good[at:]]
    agent.raw = json.dumps({"version": 9, "full": full, "servers": servers}).encode()
    agent.publish()
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] > 0)
    assert phases(harness) == ALL_READY and harness.broker.targets.version == 1 and not harness.errors
    assert harness.ask("all", (0, 1)).status == 200


@pytest.mark.parametrize("version", [-1, -(2**70), 2**70, 4.5, 1e300, "5", None, True, [4]])
def test_a_list_with_an_invalid_version_is_not_applied(version: Any) -> None:
    harness, agent = harness_for()
    agent.raw = json.dumps({"version": version, "full": True, "servers": []}).encode()
    agent.publish()
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] > 0)
    assert phases(harness) == ALL_READY and harness.broker.targets.version == 1 and not harness.errors
    assert not agent.flooded
    agent.raw = None
    agent.publish(harness.entry(0, "DRAINING"))
    assert harness.run_until(lambda: harness.phase(0) is Phase.DRAINING)


def test_a_delta_is_no_valid_response_to_a_request_for_the_full_list() -> None:
    """Otherwise a broker would apply deltas to a base that it never had."""
    harness, agent = harness_for()
    agent.raw = json.dumps({"version": 9, "full": False, "servers": [harness.entry(0, "DRAINING")]}).encode()
    harness.restart(discovery=("127.0.0.1", agent.port))
    harness.run(0.5)
    assert harness.broker.targets.version == -1 and {target for _, target in agent.calls[-3:]} == {
        "/api/targets"
    }
    agent.raw = None
    assert harness.run_until(lambda: phases(harness) == ALL_READY)


@pytest.mark.parametrize("more", [b"\0\0noise", framed(b"{}"), HEAD], ids=["noise", "answer", "head"])
@pytest.mark.parametrize("late", [False, True])
def test_bytes_after_a_response_or_without_a_call_are_harmless(more: bytes, late: bool) -> None:
    harness, agent = harness_for()
    if late:
        agent.encode = framed
        stream = agent.watches[0][0]
        agent.publish(harness.entry(0, "DRAINING"))
        stream.write(more)
    else:
        agent.encode = lambda body: framed(body) + more
        agent.publish(harness.entry(0, "DRAINING"))
        harness.run(0.01)
        assert harness.phase(0) is Phase.DRAINING, "the response itself was whole"
        agent.encode = framed
    agent.publish(harness.entry(2, "DRAINING"))
    assert harness.run_until(lambda: harness.phase(2) is Phase.DRAINING, 5)
    assert phases(harness) == [Phase.DRAINING, Phase.READY] * 2 and not harness.errors


# --- which list is applied ---


@pytest.mark.parametrize("known_version", [1, 60])
def test_the_agents_list_replaces_the_cached_one_older_or_newer(known_version: int) -> None:
    """A newer cached list is from before discovery restarted its numbering; nodes draining in it stay so."""
    harness, agent = harness_for()
    agent.version = 30
    agent.entries[harness.nodes[0].name] = harness.entry(0, "DRAINING")
    del agent.entries[harness.nodes[3].name]
    known = TargetList(known_version, True, [
        Target(**harness.entry(number, "DRAINING" if number == 1 else "SERVING")) for number in range(4)
    ])  # fmt: skip
    harness.restart(known, discovery=("127.0.0.1", agent.port))
    second = Phase.DRAINING if known_version > 30 else Phase.READY
    assert phases(harness) == [Phase.DRAINING, second, Phase.READY, None]
    agent.publish(harness.entry(2, "DRAINING"))
    harness.run(0.05)
    assert harness.phase(2) is Phase.DRAINING


def test_the_full_list_is_requested_when_discovery_restarts_its_numbering() -> None:
    harness, agent = harness_for()
    agent.version = 50
    agent.publish()
    harness.run(0.05)
    agent.version, agent.log = 2, []
    agent.entries = {entry["id"]: entry for entry in (harness.entry(0, "DRAINING"), harness.entry(1))}
    agent.raw = agent.body(-1)  # whatever the request
    agent.reset()
    harness.run(0.2)
    agent.raw = None
    harness.run(0.5)
    assert phases(harness) == [Phase.DRAINING, Phase.READY, None, None]
    agent.publish(harness.entry(3))
    harness.run(0.5)
    assert harness.phase(3) is Phase.READY and harness.broker.targets.version == 3


# --- startup and descriptors ---


@pytest.mark.parametrize("first", ["reset", "half", "bad_status"])
def test_after_a_cut_off_first_response_no_client_is_accepted_before_the_next(first: str) -> None:
    """The agent's list is in force from the start, and the cached list is older."""
    harness, agent = harness_for()
    agent.publish(harness.entry(0, "DRAINING"))
    seen: list[bool] = []
    agent.on_call = lambda: seen.append(refused(harness.port))
    agent.outcomes = [first]
    harness.restart(harness.known(), discovery=("127.0.0.1", agent.port))
    assert seen[:2] == [True, True] and harness.phase(0) is Phase.DRAINING


@pytest.mark.parametrize("bad", ["addr", "state", "version"])
def test_an_unusable_cached_list_does_not_keep_a_broker_from_starting(bad: str) -> None:
    harness, agent = harness_for()
    change = {} if bad == "version" else {bad: "no"}
    servers = [Target(**{**harness.entry(number), **change}) for number in range(4)]
    known = TargetList(1 if change else -7, True, servers)
    harness.restart(known, discovery=("127.0.0.1", agent.port))
    assert phases(harness) == ALL_READY


def test_a_call_that_found_no_descriptor_is_retried_soon_after_one_is_free(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness, agent = harness_for()
    agent.refuse()
    assert harness.run_until(lambda: harness.broker.counts["discovery failed"] > 1)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        lowest = probe.fileno()
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
        harness.run_until(lambda: caplog.text.count("Too many open files") > 4)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert caplog.text.count("Too many open files") > 4 and not harness.errors
    agent.open()
    agent.publish(harness.entry(0, "DRAINING"))
    began = harness.loop.at
    assert (
        harness.run_until(lambda: harness.phase(0) is Phase.DRAINING)
        and harness.loop.at - began <= RETRY_TIME_NS
    )


def test_clients_at_their_limit_while_discovery_is_down_leave_it_a_descriptor() -> None:
    """Even with every node connection open: all limits and the reserve fit what the process may hold."""
    harness = PlatformHarness(limits={"sockets": 64})
    agent = Agent(harness.loop)
    room = descriptors.allocate(64)
    assert room.clients + 8 + room.nodes + descriptors.RESERVE - 8 <= 64
    harness.broker.move_discovery(("127.0.0.1", 1))
    idle = [socket.create_connection(("127.0.0.1", harness.port)) for _ in range(100)]
    harness.run(1)
    assert len(harness.broker.server.connections) <= room.clients + 8
    agent.version = 9
    agent.entries = {entry["id"]: entry for entry in (harness.entry(0, "DRAINING"), harness.entry(1))}
    began = harness.loop.at
    harness.broker.move_discovery(("127.0.0.1", agent.port))
    assert (
        harness.run_until(lambda: harness.phase(0) is Phase.DRAINING)
        and harness.loop.at - began <= RETRY_TIME_NS
    )
    for sock in idle:
        sock.close()


def test_a_move_with_an_unread_response_applies_the_new_list_only() -> None:
    """Closing over unread bytes resets the old connection; what is lost by that is not needed."""
    harness, agent = harness_for()
    moved = Agent(harness.loop)
    moved.version = 5
    moved.entries = {entry["id"]: entry for entry in (harness.entry(0), harness.entry(1))}
    agent.publish(harness.entry(0, "DRAINING"))  # written but not read yet
    harness.broker.move_discovery(("127.0.0.1", moved.port))
    harness.run(0.1)
    assert phases(harness) == [Phase.READY, Phase.READY, None, None]
    assert [stream.closed for stream in agent.streams if stream.closed] and len(moved.watches) == 1
