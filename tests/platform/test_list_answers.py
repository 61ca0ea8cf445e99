"""Answers of discovery that break off, or are none: all of a list is taken, or nothing of it."""

import json
import resource
import socket
from collections.abc import Callable
from typing import Any

import pytest

from quincepath.interface import Phase
from quincepath.platform import descriptors
from quincepath.platform.list_timing import MAX_RETRY_DELAY, RESPONSE_TIMEOUT
from quincepath.platform.targets import Target, TargetList
from tests.platform.test_start import refused
from tests.standins.agent import HEAD, MS, Agent, chunked, framed, unframed
from tests.standins.platform import World

SOON = MAX_RETRY_DELAY + 50 * MS  # a pause, and the call after it


# --- on sockets ---


def world_of(mode: str = "push") -> tuple[World, Agent]:
    """A broker that holds all four nodes, told by the agent, its watch just opened."""
    world = World(discovery=mode)
    agent = Agent(world.loop)
    agent.entries = {entry["id"]: entry for entry in (world.entry(number) for number in range(4))}
    world.broker.move_discovery(("127.0.0.1", agent.port))
    assert world.until(lambda: bool(agent.waiting))
    return world, agent


def phases(world: World) -> list[Phase | None]:
    return [world.phase(number) for number in range(4)]


ALL_SERVE = [Phase.READY] * 4


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("whole", [True, False])
def test_a_list_without_a_length_counts_at_the_end_of_its_connection(mode: str, whole: bool) -> None:
    world, agent = world_of(mode)
    agent.answer, agent.last = unframed, "end"
    if whole:
        world.broker.discovery.ask_all()
        assert world.until(lambda: len(agent.calls) > 2)
    calls = len(agent.calls)
    agent.tell(world.entry(0, "DRAINING"), world.entry(3, "DELETED"))
    world.run(0.05)
    assert phases(world) == [Phase.DRAINING, Phase.READY, Phase.READY, None]
    assert not world.broker.counts["discovery failed"]
    assert len(agent.calls) <= calls + 2, "the next call waits for more"


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("cut", [1, 40, 0])
def test_a_reset_is_no_end_also_where_the_list_is_whole_by_its_looks(mode: str, cut: int) -> None:
    """All of the body came, or all but some bytes, then a reset: nothing is taken, it is asked for anew."""
    world, agent = world_of(mode)
    agent.answer = lambda body: unframed(body)[: -cut or None]
    agent.last = "reset"
    agent.tell(world.entry(0, "DRAINING"))
    assert world.until(lambda: world.broker.counts["discovery failed"] == 1)
    assert phases(world) == ALL_SERVE
    agent.answer, agent.last = framed, ""
    assert world.until(lambda: world.phase(0) is Phase.DRAINING)


BROKEN: dict[str, Callable[[bytes], bytes]] = {
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
@pytest.mark.parametrize("way", BROKEN)
def test_an_answer_that_is_none_changes_nothing_and_is_asked_for_again_soon(mode: str, way: str) -> None:
    world, agent = world_of(mode)
    agent.answer, agent.last = BROKEN[way], "end"
    agent.tell(world.entry(0, "DRAINING"))
    assert world.until(lambda: world.broker.counts["discovery failed"] == 1)
    assert phases(world) == ALL_SERVE and not world.errors
    agent.answer, agent.last = framed, ""
    began = world.loop.at
    assert world.until(lambda: world.phase(0) is Phase.DRAINING) and world.loop.at - began <= SOON


@pytest.mark.parametrize("way", ["still", "trickle"])
@pytest.mark.parametrize("answer", [framed, chunked, unframed])
def test_an_answer_that_stands_still_or_trickles_has_one_time_for_all_of_it(
    way: str, answer: Callable[[bytes], bytes]
) -> None:
    """That time is the call's own: each byte starts nothing anew."""
    world, agent = world_of()
    agent.answer = answer
    agent.reset()
    agent.fates = [way]
    calls = len(agent.calls)
    assert world.until(lambda: len(agent.calls) == calls + 1)
    began = world.loop.at
    agent.tell(world.entry(0, "DRAINING"))
    agent.last = "end" if answer is unframed else ""
    assert world.until(lambda: world.phase(0) is Phase.DRAINING, 30)
    assert world.loop.at - began <= RESPONSE_TIMEOUT + SOON


def bad_entries(world: World) -> dict[str, dict[str, Any]]:
    return {
        "address": world.entry(1, addr="nowhere"), "port": world.entry(1, addr="127.0.0.1:99999"),
        "digits": world.entry(1, addr="127.0.0.1:" + "9" * 5000), "state": world.entry(1, "WARMING"),
        "no id": {"state": "SERVING"}, "type": world.entry(1, cell="1"), "null": world.entry(1, weight=None),
        "start": world.entry(1, started_ms=-5), "start huge": world.entry(1, started_ms=10**30),
        "start a float": world.entry(1, started_ms=1.5),
    }  # fmt: skip


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("at", [0, 1, 2])
@pytest.mark.parametrize("what", list(bad_entries(World())))
def test_of_a_list_with_a_bad_entry_nothing_is_taken(what: str, at: int, full: bool) -> None:
    """Neither what stands before it, nor, where the module was told nothing, its version."""
    world, agent = world_of()
    good = [world.entry(0, "DRAINING"), world.entry(3, "DELETED")]
    servers = [*good[:at], bad_entries(world)[what], *good[at:]]
    agent.raw = json.dumps({"version": 9, "full": full, "servers": servers}).encode()
    agent.tell()
    assert world.until(lambda: world.broker.counts["discovery failed"] > 0)
    assert phases(world) == ALL_SERVE and world.broker.targets.version == 1 and not world.errors
    assert world.ask("all", (0, 1)).status == 200


@pytest.mark.parametrize("version", [-1, -(2**70), 2**70, 4.5, 1e300, "5", None, True, [4]])
def test_a_version_that_is_none_is_not_taken(version: Any) -> None:
    world, agent = world_of()
    agent.raw = json.dumps({"version": version, "full": True, "servers": []}).encode()
    agent.tell()
    assert world.until(lambda: world.broker.counts["discovery failed"] > 0)
    assert phases(world) == ALL_SERVE and world.broker.targets.version == 1 and not world.errors
    assert not agent.stormed
    agent.raw = None
    agent.tell(world.entry(0, "DRAINING"))
    assert world.until(lambda: world.phase(0) is Phase.DRAINING)


def test_changes_are_no_answer_to_a_call_for_the_whole_list() -> None:
    """Else a broker would go on from a base that it never had."""
    world, agent = world_of()
    agent.raw = json.dumps({"version": 9, "full": False, "servers": [world.entry(0, "DRAINING")]}).encode()
    world.restart(discovery=("127.0.0.1", agent.port))
    world.run(0.5)
    assert world.broker.targets.version == -1 and {target for _, target in agent.calls[-3:]} == {
        "/api/targets"
    }
    agent.raw = None
    assert world.until(lambda: phases(world) == ALL_SERVE)


@pytest.mark.parametrize("more", [b"\0\0noise", framed(b"{}"), HEAD], ids=["noise", "answer", "head"])
@pytest.mark.parametrize("late", [False, True])
def test_bytes_behind_an_answer_or_to_no_call_do_no_harm(more: bytes, late: bool) -> None:
    world, agent = world_of()
    if late:
        agent.answer = framed
        stream = agent.waiting[0][0]
        agent.tell(world.entry(0, "DRAINING"))
        stream.write(more)
    else:
        agent.answer = lambda body: framed(body) + more
        agent.tell(world.entry(0, "DRAINING"))
        world.run(0.01)
        assert world.phase(0) is Phase.DRAINING, "the answer itself was whole"
        agent.answer = framed
    agent.tell(world.entry(2, "DRAINING"))
    assert world.until(lambda: world.phase(2) is Phase.DRAINING, 5)
    assert phases(world) == [Phase.DRAINING, Phase.READY] * 2 and not world.errors


# --- which list wins ---


@pytest.mark.parametrize("known_version", [1, 60])
def test_the_agents_list_wins_over_the_one_brought_along_older_or_newer(known_version: int) -> None:
    """Newer: of before discovery numbered anew. What was drained by it stays so."""
    world, agent = world_of()
    agent.version = 30
    agent.entries[world.nodes[0].name] = world.entry(0, "DRAINING")
    del agent.entries[world.nodes[3].name]
    known = TargetList(known_version, True, [
        Target(**world.entry(number, "DRAINING" if number == 1 else "SERVING")) for number in range(4)
    ])  # fmt: skip
    world.restart(known, discovery=("127.0.0.1", agent.port))
    second = Phase.DRAINING if known_version > 30 else Phase.READY
    assert phases(world) == [Phase.DRAINING, second, Phase.READY, None]
    agent.tell(world.entry(2, "DRAINING"))
    world.run(0.05)
    assert world.phase(2) is Phase.DRAINING


def test_discovery_that_numbers_anew_at_the_same_address_is_asked_for_its_whole_list() -> None:
    world, agent = world_of()
    agent.version = 50
    agent.tell()
    world.run(0.05)
    agent.version, agent.log = 2, []
    agent.entries = {entry["id"]: entry for entry in (world.entry(0, "DRAINING"), world.entry(1))}
    agent.raw = agent.body(-1)  # whatever is asked
    agent.reset()
    world.run(0.2)
    agent.raw = None
    world.run(0.5)
    assert phases(world) == [Phase.DRAINING, Phase.READY, None, None]
    agent.tell(world.entry(3))
    world.run(0.5)
    assert world.phase(3) is Phase.READY and world.broker.targets.version == 3


# --- the start, and descriptors ---


@pytest.mark.parametrize("first", ["reset", "half", "bad_status"])
def test_a_first_answer_that_breaks_off_lets_no_client_in_before_the_next(first: str) -> None:
    """What the agent has counts from the first moment, and the list brought along is older."""
    world, agent = world_of()
    agent.tell(world.entry(0, "DRAINING"))
    seen: list[bool] = []
    agent.on_call = lambda: seen.append(refused(world.port))
    agent.fates = [first]
    world.restart(world.known(), discovery=("127.0.0.1", agent.port))
    assert seen[:2] == [True, True] and world.phase(0) is Phase.DRAINING


@pytest.mark.parametrize("bad", ["addr", "state", "version"])
def test_an_unusable_list_brought_along_does_not_keep_a_broker_from_starting(bad: str) -> None:
    world, agent = world_of()
    change = {} if bad == "version" else {bad: "no"}
    servers = [Target(**{**world.entry(number), **change}) for number in range(4)]
    known = TargetList(1 if change else -7, True, servers)
    world.restart(known, discovery=("127.0.0.1", agent.port))
    assert phases(world) == ALL_SERVE


def test_a_call_without_a_descriptor_is_made_again_soon_after_there_is_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world, agent = world_of()
    agent.refuse()
    assert world.until(lambda: world.broker.counts["discovery failed"] > 1)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        lowest = probe.fileno()
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
        world.until(lambda: caplog.text.count("Too many open files") > 4)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert caplog.text.count("Too many open files") > 4 and not world.errors
    agent.open()
    agent.tell(world.entry(0, "DRAINING"))
    began = world.loop.at
    assert world.until(lambda: world.phase(0) is Phase.DRAINING) and world.loop.at - began <= SOON


def test_clients_that_hold_all_their_places_while_discovery_is_down_leave_it_a_descriptor() -> None:
    """Also with every connection to nodes open: the parts and the reserve are all that a process may hold."""
    world = World(limits={"sockets": 64})
    agent = Agent(world.loop)
    room = descriptors.allocate(64)
    assert room.clients + 8 + room.nodes + descriptors.RESERVE - 8 <= 64
    world.broker.move_discovery(("127.0.0.1", 1))
    idle = [socket.create_connection(("127.0.0.1", world.port)) for _ in range(100)]
    world.run(1)
    assert len(world.broker.server.connections) <= room.clients + 8
    agent.version = 9
    agent.entries = {entry["id"]: entry for entry in (world.entry(0, "DRAINING"), world.entry(1))}
    began = world.loop.at
    world.broker.move_discovery(("127.0.0.1", agent.port))
    assert world.until(lambda: world.phase(0) is Phase.DRAINING) and world.loop.at - began <= SOON
    for sock in idle:
        sock.close()


def test_a_move_over_an_answer_that_lies_unread_takes_the_new_list_alone() -> None:
    """Closing over unread bytes resets the old connection: nobody needs what is lost by that."""
    world, agent = world_of()
    moved = Agent(world.loop)
    moved.version = 5
    moved.entries = {entry["id"]: entry for entry in (world.entry(0), world.entry(1))}
    agent.tell(world.entry(0, "DRAINING"))  # written, and not read yet
    world.broker.move_discovery(("127.0.0.1", moved.port))
    world.run(0.1)
    assert phases(world) == [Phase.READY, Phase.READY, None, None]
    assert [stream.closed for stream in agent.streams if stream.closed] and len(moved.waiting) == 1
