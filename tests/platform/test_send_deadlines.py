"""What waits at the edge, for a late connection or a full socket, leaves in time or never runs."""

from dataclasses import replace
from typing import Any

import pytest

from quincepath.interface import Result
from quincepath.platform import connection
from tests.standins.edge import DIAL, NODE, Edge, HeldDial
from tests.standins.platform import MS, SECOND, Client, World, site
from tests.test_platform import Watched, results


@pytest.fixture
def late(monkeypatch: pytest.MonkeyPatch) -> list[HeldDial]:
    """Connections come up when the test opens them."""
    HeldDial.held = []
    monkeypatch.setattr(connection, "Dial", HeldDial)
    return HeldDial.held


def world_with(grace: int = SECOND, cancel: bool = False, **more: Any) -> World:
    """A world whose broker may not cancel, with this grace."""
    rules = {**site()["rules"], "drainGrace": grace}
    world = World(Watched, rules=rules, **more)
    limits = replace(world.config.settings.limits, cancel=cancel)
    world.restart(settings=replace(world.config.settings, limits=limits))
    world.run(0.05)
    return world


def opened(world: World, dial: HeldDial) -> int:
    """The number of the node that a connection goes to."""
    return next(n for n, node in enumerate(world.nodes) if node.address.endswith(f":{dial.address[1]}"))


def waiting(world: World, *words: Any, **change: Any) -> Client:
    """A request whose parts wait for their connections."""
    client = Client(world)
    client.stream.write(world.request(*words, **change))
    world.run(0.02)
    return client


# --- rule 3: the time of a send counts from its first byte ---


@pytest.mark.parametrize("grace", [SECOND, 250 * MS])
@pytest.mark.parametrize("past", [-MS, MS])
@pytest.mark.parametrize("news", ["DRAINING", "DELETED"])
def test_a_part_that_waits_for_a_late_connection_leaves_within_the_grace_or_never(
    late: list[HeldDial], grace: int, past: int, news: str
) -> None:
    world = world_with(grace)
    waiting(world, "once", (0,), Req_Deadline_Ms="2000")
    at = opened(world, late[0])
    world.discovery.tell(world.entry(at, news))
    told = world.loop.at
    world.until(lambda: world.phase(at) is None or world.phase(at) != 1)
    assert world.loop.at == told
    world.run((grace + past) / SECOND)
    late[0].open()
    world.run(0.02)
    assert bool(world.nodes[at].seen) == (past < 0)
    assert (Result.CONNECT_FAILED in results(world)) == (past > 0)


def test_news_of_a_drain_brings_the_bound_of_what_waits_forward_and_not_of_what_has_begun() -> None:
    edge = Edge()
    begun = edge.stuff()
    edge.start(1, deadline=5 * SECOND)
    edge.nodes.leave_by(NODE, edge.loop.at + 300 * MS)
    edge.run(299 * MS)
    assert 1 not in edge.results()
    edge.run(2 * MS)
    assert edge.results()[1] is Result.CONNECT_FAILED
    edge.flow(lambda: f"q{begun}.0" in edge.seen())
    edge.run(20 * MS)
    assert f"q{begun}.0" in edge.seen() and "q1.0" not in edge.seen()
    assert edge.results()[begun] is Result.OK


def test_a_frame_of_which_a_full_socket_took_no_byte_has_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    edge = Edge()
    edge.start(1)
    edge.run(20 * MS)
    stream = edge.connection.stream
    assert stream is not None
    monkeypatch.setattr(stream, "_flush", lambda: None)  # as a system that takes nothing
    edge.start(2, leave_by=100 * MS)
    assert edge.connection.leaving is not None
    edge.run(101 * MS)
    assert edge.results()[2] is Result.CONNECT_FAILED
    monkeypatch.undo()
    edge.run(50 * MS)
    assert edge.seen() == {"q1.0"}


# --- one bound a frame, whatever it comes from ---


def test_a_part_that_cannot_leave_in_time_is_told_so_at_that_time(late: list[HeldDial]) -> None:
    edge = Edge()
    edge.start(1, leave_by=100 * MS)
    edge.run(99 * MS)
    assert not edge.ended
    edge.run(2 * MS)
    assert edge.results() == {1: Result.CONNECT_FAILED}
    late[0].open()
    edge.run(20 * MS)
    assert not edge.node.seen


@pytest.mark.parametrize("behind", ["a dial", "a full socket"])
def test_of_two_parts_of_a_frame_the_one_that_still_may_leaves(late: list[HeldDial], behind: str) -> None:
    edge = Edge()
    if behind == "a dial":
        edge.start(1, 2)
    else:
        edge.start(9)
        late[0].open()
        edge.stuff()
        edge.start(1, 2)
    edge.nodes.withdraw(1, 0)
    if behind == "a dial":
        late[0].open()
    edge.flow(lambda: "q2.0" in edge.seen())
    edge.run(20 * MS)
    assert "q2.0" in edge.seen() and "q1.0" not in edge.seen()
    assert (edge.results()[1], edge.results()[2]) == (Result.CANCELLED, Result.OK)


def test_a_turn_that_takes_long_lets_nothing_leave_late(late: list[HeldDial]) -> None:
    """The connection comes up in time, but the turn gets to it later: its clock has moved on by then."""
    edge = Edge()
    edge.start(1, leave_by=100 * MS)
    edge.run(90 * MS)

    def slow() -> None:
        edge.loop.at += 30 * MS
        late[0].open()

    edge.loop.call_in(5 * MS, slow)
    edge.run(60 * MS)
    assert not edge.node.seen and edge.results() == {1: Result.CONNECT_FAILED}


# --- a frame that has begun and cannot end ---


@pytest.mark.parametrize("over", ["whole_by", "deadline", "withdrawn", "stopped"])
def test_a_part_that_left_by_half_never_becomes_an_attempt_when_it_is_over(over: str) -> None:
    """The rest of its frame would go out whenever the node reads on: past its window, or after the answer."""
    edge = Edge()
    half = edge.stuff()
    handed = {one for one in range(1001, half)}
    out = edge.nodes.outs[half, 0]
    now = edge.loop.at
    if over in ("whole_by", "deadline"):
        end = now + 50 * MS
        deadline = end if over == "deadline" else out.order.deadline
        out.order = replace(out.order, send_start_by=now, send_complete_by=end, deadline=deadline)
        edge.nodes._arm(out)
    edge.start(1)
    edge.run(49 * MS)
    assert half not in edge.results()
    if over == "withdrawn":
        edge.nodes.withdraw(half, 0)
    elif over == "stopped":
        edge.nodes.stop(half, 0)
    edge.run(2 * MS)
    unrun = Result.CONNECT_FAILED if over in ("whole_by", "deadline") else Result.CANCELLED
    assert edge.results()[half] is unrun
    assert edge.results()[1] is Result.CONNECT_FAILED, "what waited behind it never left either"
    assert edge.events == ["blocked connection"] and edge.nodes.counts["not_left"] == (
        unrun is Result.CONNECT_FAILED
    )
    assert {edge.results()[one] for one in handed if one in edge.results()} <= {Result.CANCELLED, Result.OK}
    edge.flow()
    edge.run(50 * MS)
    assert f"q{half}.0" not in edge.seen() and "q1.0" not in edge.seen()
    assert not edge.nodes.outs


def test_what_the_system_still_held_back_does_not_come_late_from_a_connection_given_up() -> None:
    """Told as cancelled it may be sent elsewhere: coming then, it would be a second copy beside that."""
    edge = Edge()
    half = edge.stuff(room=200_000)
    assert half - 1 not in edge.results()
    edge.nodes.stop(half, 0)
    assert edge.results()[half - 1] is Result.CANCELLED
    edge.flow()
    edge.run(50 * MS)
    assert f"q{half - 1}.0" not in edge.seen()


# --- the query is over, or its client has gone: nothing leaves, also where no broker may cancel ---


@pytest.mark.parametrize("cancel", [False, True])
def test_nothing_of_a_client_that_has_gone_leaves_a_connection_that_comes_up_then(
    late: list[HeldDial], cancel: bool
) -> None:
    world = world_with(cancel=cancel)
    client = waiting(world, "all", (0, 1))
    assert len(late) == 2
    client.stream.close()
    world.run(0.02)
    for dial in late:
        dial.open()
    world.run(0.05)
    assert not world.seen() and not world.broker.nodes.outs and not world.broker.driver.parts


@pytest.mark.parametrize("cancel", [False, True])
def test_nothing_of_a_query_leaves_after_its_final_answer(late: list[HeldDial], cancel: bool) -> None:
    """One part fails for good while the other waits for its connection."""
    world = world_with(cancel=cancel)
    world.acts("bad")
    client = waiting(world, "once", (0, 1))
    first, second = late
    first.open()
    assert world.until(lambda: client.status > 0) and client.status == 502
    second.open()
    world.run(0.05)
    assert len(world.seen()) == 1 and not world.broker.nodes.outs


def test_what_has_left_goes_on_where_the_site_lets_no_broker_cancel() -> None:
    edge = Edge()
    edge.node.always = "silent"
    edge.start(1)
    edge.settle()
    edge.nodes.withdraw(1, 0)
    edge.run(20 * MS)
    assert not edge.ended and not edge.node.dropped


# --- a keyed class: repeats are dropped only for a while ---


KEYED = [*site()["classes"][:2], {**site()["classes"][2], "effect": "idempotency_key", "window": 300 * MS}]


@pytest.mark.parametrize("past", [-2 * MS, MS])
def test_a_resend_that_waits_for_a_connection_leaves_within_its_window_or_never(
    late: list[HeldDial], past: int
) -> None:
    world = world_with(classes=KEYED)
    world.acts("bad")
    began = world.loop.at
    waiting(world, "once", (0,))
    world.run((began + 150 * MS - world.loop.at) / SECOND)
    late[0].open()
    assert world.until(lambda: len(late) == 2)
    world.run((began + 300 * MS + past - world.loop.at) / SECOND)
    late[1].open()
    world.run(0.02)
    assert len(world.seen()) == (1 if past > 0 else 2)


def test_a_connection_to_nowhere_is_given_up_and_its_parts_never_ran() -> None:
    """Nobody listens there any more."""
    edge = Edge()
    edge.node.listener.close()
    edge.start(1)
    edge.run(DIAL + 2 * MS)
    assert edge.results() == {1: Result.CONNECT_FAILED}
