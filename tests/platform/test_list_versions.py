"""Responses of discovery without sockets: where one ends, and which list version applies. Pure."""

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


# --- where a response ends ---


def read(*pieces: bytes, end: bool = False) -> Response | None:
    reader = ResponseReader(Limits(body=1000))
    found = [response for piece in pieces if (response := reader.feed(piece)) is not None]
    if end and (last := reader.end()) is not None:
        found.append(last)
    assert len(found) < 2
    return found[0] if found else None


@pytest.mark.parametrize("head", [HEAD, HEAD + b"Connection: close\r\n", b"HTTP/1.0 200 OK\r\n"])
def test_a_body_without_a_length_ends_only_with_the_connection(head: bytes) -> None:
    data = head + b"\r\n" + LIST
    for cut in range(1, len(data)):
        assert read(data[:cut], data[cut:]) is None
    whole = read(data, end=True)
    assert whole is not None and whole.body == LIST and not whole.keep_alive


@pytest.mark.parametrize(
    "data",
    [b"", HEAD, framed(LIST)[:-1], chunked(LIST)[:-1], chunked(LIST, b""), b"HTTP/1.1 100 Go on\r\n\r\n"],
)
def test_a_close_inside_a_length_a_chunk_or_a_header_is_no_response(data: bytes) -> None:
    assert read(data, end=True) is None


@pytest.mark.parametrize(
    "more", [b"noise", b"\0", framed(b"{}"), framed(b"{}")[:-1], HEAD, b"HTTP/1.1 100 Go on\r\n\r\n"]
)
@pytest.mark.parametrize("make", [framed, chunked])
def test_bytes_after_a_whole_response_cost_the_connection_but_not_the_response(
    make: Callable[[bytes], bytes], more: bytes
) -> None:
    found = read(make(LIST) + more)
    assert found is not None and found.body == LIST and not found.keep_alive


def test_a_body_without_a_length_is_bounded_and_interim_responses_are_skipped() -> None:
    with pytest.raises(HttpError):
        read(unframed(bytes(1001)))
    found = read(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + framed(LIST))
    assert found is not None and found.status == 200 and found.body == LIST
    found = read(b"HTTP/1.1 204 None\r\n\r\n")
    assert found is not None and found.keep_alive, "it has no body, and no length to say so"


# --- which list applies ---


def target_list(version: int, full: bool, *targets: tuple[str, str, int]) -> TargetList:
    made = [
        Target(id, state, "10.0.0.1:7070", "a", "m2", 1, started_ms=start) for id, state, start in targets
    ]
    return TargetList(version, full, made)


def phases(targets: TargetTable) -> dict[str, str]:
    return {node.decode(): known.phase.name for node, known in targets.nodes.items()}


def after(*updates: tuple[TargetList, bool]) -> TargetTable:
    """The table after these updates in turn; True: the response to a request for the full list."""
    targets = TargetTable(["a"], ["m2"])
    for update, base in updates:
        targets.apply(SECOND, 1_000.0, update, base=base)
    return targets


VERSION_9 = target_list(9, True, ("x", "DRAINING", 5), ("y", "SERVING", 5))


def test_a_requested_full_list_of_a_lower_version_is_the_new_base() -> None:
    lower = target_list(3, True, ("y", "DRAINING", 5), ("z", "SERVING", 5))
    targets = after((VERSION_9, True), (lower, True), (target_list(4, False, ("w", "SERVING", 5)), False))
    assert phases(targets) == {"y": "DRAINING", "z": "READY", "w": "READY"} and targets.version == 4


@pytest.mark.parametrize("base", [True, False])
@pytest.mark.parametrize("full", [True, False])
def test_a_drained_node_does_not_return_by_an_older_version(base: bool, full: bool) -> None:
    """From a lagging replica of discovery, also while it catches up and has not reached the drain yet."""
    lagging = target_list(7, full, ("x", "SERVING", 5), ("y", "SERVING", 5))
    targets = after(
        (VERSION_9, True), (lagging, base and full), (target_list(8, False, ("x", "SERVING", 5)), False)
    )
    assert phases(targets) == {"x": "DRAINING", "y": "READY"}
    targets.apply(SECOND, 1_000.0, target_list(10, False, ("x", "SERVING", 5)))
    assert phases(targets)["x"] == "READY", "a newer version does"


def test_a_deleted_node_returns_only_by_a_newer_version_or_a_later_start() -> None:
    gone = (target_list(10, False, ("y", "DELETED", 5)), False)
    assert "y" not in phases(
        after((VERSION_9, True), gone, (target_list(6, True, ("y", "SERVING", 5)), True))
    )
    assert "y" not in phases(
        after((VERSION_9, True), gone, (target_list(6, True, ("y", "SERVING", 4)), True))
    )
    assert "y" in phases(after((VERSION_9, True), gone, (target_list(6, True, ("y", "SERVING", 6)), True)))
    assert "y" in phases(after((VERSION_9, True), gone, (target_list(11, False, ("y", "SERVING", 4)), False)))
    left_out = (target_list(10, True, ("x", "SERVING", 5)), False)
    assert "y" not in phases(
        after((VERSION_9, True), left_out, (target_list(6, True, ("y", "SERVING", 5)), True))
    )


def test_the_number_of_remembered_removals_is_bounded() -> None:
    many = [(f"n{number}", "DELETED", 5) for number in range(MAX_REMOVED_NODES + 50)]
    assert len(after((target_list(1, True, *many), True)).removed) == MAX_REMOVED_NODES


def test_the_last_of_several_entries_for_one_node_counts() -> None:
    targets = TargetTable(["a"], ["m2"])
    twice = target_list(
        1, True, ("x", "DRAINING", 5), ("y", "SERVING", 5), ("x", "SERVING", 5), ("y", "DELETED", 5)
    )
    members = targets.apply(SECOND, 1_000.0, twice)
    assert members is not None and [entry.node for entry in members.entries] == [b"x"]
    assert phases(targets) == {"x": "READY"}


def test_the_deletion_of_an_unknown_node_is_no_update() -> None:
    targets = after((VERSION_9, True))
    assert targets.apply(SECOND, 1_000.0, target_list(10, False, ("q", "DELETED", 0))) is None
    assert targets.version == 10


def test_a_node_with_a_new_address_but_the_same_start_keeps_its_start_time() -> None:
    targets = after((VERSION_9, True))
    before = targets.nodes[b"y"]
    moved = TargetList(10, False, [Target("y", "SERVING", "10.0.0.9:1", "a", "m2", 1, started_ms=5)])
    targets.apply(9 * SECOND, 9_000.0, moved)
    now = targets.nodes[b"y"]
    assert (now.host, now.port, now.since) == ("10.0.0.9", 1, before.since)


def test_a_start_time_in_the_future_counts_as_now() -> None:
    targets = TargetTable([], [])
    members = targets.apply(SECOND, 1_000.0, target_list(1, True, ("x", "SERVING", 5_000)))
    assert members is not None and members.entries[0].since == SECOND


def test_the_scope_of_a_cached_list_says_so() -> None:
    targets = TargetTable(["a"], ["m2"])
    members = targets.apply(SECOND, 1_000.0, VERSION_9, cached=True)
    assert members is not None and members.scope is Scope.CACHED
    with pytest.raises(TargetListError):
        read_list(b'{"version":4.0,"full":true,"servers":[]}')
