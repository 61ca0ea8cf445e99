"""Answers of discovery without sockets: where one ends, and which list wins. Pure."""

from collections.abc import Callable

import pytest

from quincepath.interface import Scope
from quincepath.net.http1 import HttpError, Limits, Response, ResponseReader
from quincepath.platform.targets import (
    MAX_REMOVED_NODES,
    Target,
    TargetList,
    TargetListError,
    TargetTable,
    read_list,
)
from tests.standins.agent import HEAD, SECOND, chunked, framed, unframed

LIST = b'{"version":4,"full":true,"servers":[]}'


# --- where an answer ends ---


def read(*pieces: bytes, end: bool = False) -> Response | None:
    reader = ResponseReader(Limits(body=1000))
    found = [response for piece in pieces if (response := reader.feed(piece)) is not None]
    if end and (last := reader.end()) is not None:
        found.append(last)
    assert len(found) < 2
    return found[0] if found else None


@pytest.mark.parametrize("head", [HEAD, HEAD + b"Connection: close\r\n", b"HTTP/1.0 200 OK\r\n"])
def test_a_body_without_a_length_ends_with_the_connection_alone(head: bytes) -> None:
    data = head + b"\r\n" + LIST
    for cut in range(1, len(data)):
        assert read(data[:cut], data[cut:]) is None
    whole = read(data, end=True)
    assert whole is not None and whole.body == LIST and not whole.keep_alive


@pytest.mark.parametrize(
    "data",
    [b"", HEAD, framed(LIST)[:-1], chunked(LIST)[:-1], chunked(LIST, b""), b"HTTP/1.1 100 Go on\r\n\r\n"],
)
def test_an_end_inside_a_length_a_chunk_or_a_head_is_no_answer(data: bytes) -> None:
    assert read(data, end=True) is None


@pytest.mark.parametrize(
    "more", [b"noise", b"\0", framed(b"{}"), framed(b"{}")[:-1], HEAD, b"HTTP/1.1 100 Go on\r\n\r\n"]
)
@pytest.mark.parametrize("make", [framed, chunked])
def test_what_comes_behind_a_whole_answer_costs_its_connection_and_not_the_answer(
    make: Callable[[bytes], bytes], more: bytes
) -> None:
    found = read(make(LIST) + more)
    assert found is not None and found.body == LIST and not found.keep_alive


def test_a_body_without_a_length_is_bounded_and_interim_answers_are_not_the_answer() -> None:
    with pytest.raises(HttpError):
        read(unframed(bytes(1001)))
    found = read(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + framed(LIST))
    assert found is not None and found.status == 200 and found.body == LIST
    found = read(b"HTTP/1.1 204 None\r\n\r\n")
    assert found is not None and found.keep_alive, "it has no body, and no length to say so"


# --- which list wins ---


def told(version: int, full: bool, *targets: tuple[str, str, int]) -> TargetList:
    made = [
        Target(id, state, "10.0.0.1:7070", "a", "m2", 1, started_ms=start) for id, state, start in targets
    ]
    return TargetList(version, full, made)


def held(targets: TargetTable) -> dict[str, str]:
    return {node.decode(): known.phase.name for node, known in targets.nodes.items()}


def after(*news: tuple[TargetList, bool]) -> TargetTable:
    """What is held after these, one after the other; True: the answer to a call for the whole list."""
    targets = TargetTable(["a"], ["m2"])
    for list_, base in news:
        targets.apply(SECOND, 1_000.0, list_, base=base)
    return targets


NINE = told(9, True, ("x", "DRAINING", 5), ("y", "SERVING", 5))


def test_the_whole_list_of_lower_versions_is_the_base_and_changes_follow_from_it() -> None:
    lower = told(3, True, ("y", "DRAINING", 5), ("z", "SERVING", 5))
    targets = after((NINE, True), (lower, True), (told(4, False, ("w", "SERVING", 5)), False))
    assert held(targets) == {"y": "DRAINING", "z": "READY", "w": "READY"} and targets.version == 4


@pytest.mark.parametrize("base", [True, False])
@pytest.mark.parametrize("full", [True, False])
def test_a_drained_node_is_not_brought_back_by_older_news(base: bool, full: bool) -> None:
    """As of a copy that lags, also while that catches up: it comes to the drain later."""
    lagging = told(7, full, ("x", "SERVING", 5), ("y", "SERVING", 5))
    targets = after((NINE, True), (lagging, base and full), (told(8, False, ("x", "SERVING", 5)), False))
    assert held(targets) == {"x": "DRAINING", "y": "READY"}
    targets.apply(SECOND, 1_000.0, told(10, False, ("x", "SERVING", 5)))
    assert held(targets)["x"] == "READY", "newer news does"


def test_a_node_that_was_deleted_comes_back_by_newer_news_or_a_later_start_alone() -> None:
    gone = (told(10, False, ("y", "DELETED", 5)), False)
    assert "y" not in held(after((NINE, True), gone, (told(6, True, ("y", "SERVING", 5)), True)))
    assert "y" not in held(after((NINE, True), gone, (told(6, True, ("y", "SERVING", 4)), True)))
    assert "y" in held(after((NINE, True), gone, (told(6, True, ("y", "SERVING", 6)), True)))
    assert "y" in held(after((NINE, True), gone, (told(11, False, ("y", "SERVING", 4)), False)))
    left_out = (told(10, True, ("x", "SERVING", 5)), False)
    assert "y" not in held(after((NINE, True), left_out, (told(6, True, ("y", "SERVING", 5)), True)))


def test_what_is_remembered_of_nodes_that_are_gone_is_bounded() -> None:
    many = [(f"n{number}", "DELETED", 5) for number in range(MAX_REMOVED_NODES + 50)]
    assert len(after((told(1, True, *many), True)).removed) == MAX_REMOVED_NODES


def test_of_one_node_named_twice_the_last_word_counts() -> None:
    targets = TargetTable(["a"], ["m2"])
    twice = told(1, True, ("x", "DRAINING", 5), ("y", "SERVING", 5), ("x", "SERVING", 5), ("y", "DELETED", 5))
    news = targets.apply(SECOND, 1_000.0, twice)
    assert news is not None and [entry.node for entry in news.entries] == [b"x"]
    assert held(targets) == {"x": "READY"}


def test_deleted_of_a_node_that_is_not_held_is_no_news() -> None:
    targets = after((NINE, True))
    assert targets.apply(SECOND, 1_000.0, told(10, False, ("q", "DELETED", 0))) is None
    assert targets.version == 10


def test_a_node_that_has_moved_without_a_new_start_is_the_same_node() -> None:
    targets = after((NINE, True))
    before = targets.nodes[b"y"]
    moved = TargetList(10, False, [Target("y", "SERVING", "10.0.0.9:1", "a", "m2", 1, started_ms=5)])
    targets.apply(9 * SECOND, 9_000.0, moved)
    now = targets.nodes[b"y"]
    assert (now.host, now.port, now.since) == ("10.0.0.9", 1, before.since)


def test_a_start_that_is_yet_to_come_counts_from_now() -> None:
    targets = TargetTable([], [])
    news = targets.apply(SECOND, 1_000.0, told(1, True, ("x", "SERVING", 5_000)))
    assert news is not None and news.entries[0].since == SECOND


def test_a_scope_of_the_list_brought_along_is_told_as_such() -> None:
    targets = TargetTable(["a"], ["m2"])
    news = targets.apply(SECOND, 1_000.0, NINE, cached=True)
    assert news is not None and news.scope is Scope.CACHED
    with pytest.raises(TargetListError):
        read_list(b'{"version":4.0,"full":true,"servers":[]}')
