"""The pure parts of the platform: frames, connection state, node list, configuration, shutdown."""

import json
import random
import struct

import pytest
from hypothesis import given
from hypothesis import settings as fuzz
from hypothesis import strategies as st

from quincepath.interface import Phase, Scope
from quincepath.platform.config import ConfigError, flatten, read_configuration
from quincepath.platform.connection_state import ConnectionState, ConnectionTimeouts
from quincepath.platform.descriptors import MIN_IDLE_NS, MIN_REQUEST_NS, evict
from quincepath.platform.frames import (
    CallPart,
    FrameError,
    FrameReader,
    call_frame,
    cancel_frame,
    read_report,
)
from quincepath.platform.shutdown import ShutdownSchedule
from quincepath.platform.targets import Target, TargetList, TargetListError, TargetTable, read_list
from quincepath.settings import read_settings
from tests.standins.platform import MS, SECOND, frame, platform_settings

TIMES = ConnectionTimeouts(dial=250 * MS, idle=15 * SECOND)
GOOD = frame(b"q", b"a.1 good 17 inflight=2\nv1")
LATER = frame(b"q", b"a.2 later 0 -\n")


# --- frames ---


def test_call_and_cancel_frames_are_the_documented_bytes() -> None:
    sent = call_frame([CallPart(b"9b1f03aa5c7e2d41.3", 3, 240, b"c41e77d0")])
    assert sent == frame(b"m", b"9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0")
    assert cancel_frame(b"a.3") == b"\x04\0\0\0na.3"


def read(pieces: list[bytes]) -> tuple[list[tuple[bytes, bytes, str]], str]:
    reader, error_text = FrameReader(), ""
    try:
        for piece in pieces:
            reader.feed(piece)
    except FrameError as error:
        error_text = error.text
    return [(r.id, r.status, r.value) for r in reader.replies], error_text


@pytest.mark.parametrize("cut", range(1, len(GOOD + LATER)))
def test_every_split_of_the_bytes_gives_the_same_replies(cut: int) -> None:
    data = GOOD + LATER
    expected = ([(b"a.1", b"good", "v1"), (b"a.2", b"later", "")], "")
    assert read([data[:cut], data[cut:]]) == expected


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xffq", frame(b"x", b"a.1 good 1 -\nv"), frame(b"q", b"a.1 fine 1 -\nv"),
        frame(b"q", b"a.1 good one -\nv"), frame(b"q", b"a.1 good 1\nv"), frame(b"q", b"a" * 2000),
        frame(b"q", b"a.1 good 1 -\n\xff"), frame(b"q", b"a.1 good 1 -\n\x07"),
        frame(b"q", b"a.1 good 1 -\n"),
        b"\0\0\0\0q", frame(b"r", b"what?"), struct.pack("<I", 3_000_000_000) + b"q",
    ],
)  # fmt: skip
def test_invalid_bytes_are_reported_after_the_whole_replies_before_them(data: bytes) -> None:
    replies, error_text = read([GOOD + data])
    assert replies == [(b"a.1", b"good", "v1")] and error_text


@given(st.binary(max_size=200), st.integers(0, 1 << 32))
@fuzz(max_examples=300, derandomize=True)
def test_any_bytes_give_the_same_result_whole_or_in_pieces(noise: bytes, seed: int) -> None:
    dice = random.Random(seed)
    data = bytearray(GOOD + LATER + noise + GOOD)
    for _ in range(dice.randrange(3)):
        data[dice.randrange(len(data))] = dice.randrange(256)
    pieces = [bytes(data[n : n + 5]) for n in range(0, len(data), 5)]
    whole, cut = read([bytes(data)]), read(pieces)
    assert whole[0] == cut[0] and bool(whole[1]) == bool(cut[1])


def test_a_frame_declared_too_long_is_rejected_at_its_header() -> None:
    reader = FrameReader()
    with pytest.raises(FrameError, match="are allowed"):
        reader.feed(struct.pack("<I", 3_000_000_000) + b"q" + bytes(100))


@pytest.mark.parametrize(
    "text", [b"-", b"", b"inflight", b"inflight=x", b"inflight=nan", b"util=1", b"inflight=-1"]
)
def test_an_unreadable_report_counts_as_none(text: bytes) -> None:
    assert read_report(text, ("inflight",)) == ()
    assert read_report(b"util=0.6,inflight=7", ("inflight",)) == (7.0,)


# --- connection state ---


def state_with_attempt(now: int = SECOND, capacity: int = 4) -> ConnectionState:
    state = ConnectionState(capacity, TIMES, now)
    state.add(now, b"a.1", "first")
    return state


def test_a_cancelled_id_is_not_sent_again_where_its_reply_may_still_arrive() -> None:
    state = state_with_attempt()
    state.cancel(SECOND, b"a.1")
    assert not state.may_carry(SECOND, b"a.1") and state.may_carry(SECOND, b"a.2")
    assert state.receive(2 * SECOND, GOOD) == ([], None)
    assert not state.may_carry(9 * SECOND, b"a.1"), "nor after it: a duplicate may follow"


def test_a_rejected_id_is_sent_again_but_not_while_a_duplicate_reply_may_arrive() -> None:
    state = ConnectionState(4, TIMES, SECOND)
    state.add(SECOND, b"a.2", "first")
    assert state.receive(SECOND, LATER)[0]
    assert not state.may_carry(SECOND + 10 * MS, b"a.2")
    assert state.receive(SECOND + 10 * MS, LATER) == ([], None), "the duplicate is harmless"
    assert state.may_carry(SECOND + 25 * MS, b"a.2")
    state.add(SECOND + 25 * MS, b"a.2", "second")
    assert [key for key, _ in state.receive(2 * SECOND, LATER)[0]] == ["second"]


def test_a_reply_counts_once_and_a_duplicate_is_harmless() -> None:
    state = state_with_attempt()
    found, frame_error = state.receive(SECOND, GOOD + GOOD)
    assert [key for key, _ in found] == ["first"] and frame_error is None


def test_a_reply_to_an_id_never_sent_here_is_an_error_after_the_valid_replies() -> None:
    state = state_with_attempt()
    found, frame_error = state.receive(SECOND, GOOD + LATER)
    assert len(found) == 1 and frame_error is not None


def test_cancelled_ids_are_bounded_by_retiring_the_connection() -> None:
    state = ConnectionState(100, TIMES, SECOND)
    for number in range(100):
        if not state.has_capacity(SECOND):
            break
        state.add(SECOND, b"p.%d" % number, number)
        state.cancel(SECOND, b"p.%d" % number)
    assert len(state.cancelled) == 50 and state.retired


def test_a_silent_connection_with_attempts_in_flight_is_suspect_until_it_replies() -> None:
    state = state_with_attempt(capacity=10)
    assert state.has_capacity(SECOND + 500 * MS) and not state.has_capacity(SECOND + 501 * MS)
    state.add(SECOND + 500 * MS, b"a.2", "second")
    assert state.suspect(SECOND + 501 * MS), "attempts added later do not restart the time"
    state.receive(2 * SECOND, GOOD)
    assert state.has_capacity(2 * SECOND)


def test_an_idle_connection_accepts_nothing_near_its_idle_limit() -> None:
    state = ConnectionState(4, TIMES, SECOND)
    assert state.has_capacity(11 * SECOND) and not state.has_capacity(12 * SECOND)


# --- node list ---


def target_list(version: int, full: bool, *targets: tuple[str, str]) -> TargetList:
    return TargetList(
        version, full, [Target(id, state, "10.0.0.1:7070", "a", "m2", 1) for id, state in targets]
    )


def test_nodes_missing_in_a_full_list_are_gone_even_if_it_is_empty() -> None:
    targets = TargetTable(["a"], ["m2"])
    first = targets.apply(0, 0, target_list(4, True, ("x", "SERVING"), ("y", "SERVING")), cached=True)
    assert first is not None and first.scope is Scope.CACHED and set(targets.nodes) == {b"x", b"y"}
    members = targets.apply(0, 0, target_list(5, True))
    assert members is not None and members.scope is Scope.FULL and members.entries == () and not targets.nodes


def test_older_updates_may_only_remove_nodes() -> None:
    targets = TargetTable(["a"], ["m2"])
    targets.apply(0, 0, target_list(9, True, ("x", "DRAINING"), ("y", "SERVING")))
    assert targets.apply(0, 0, target_list(8, False, ("x", "SERVING"))) is None
    assert targets.nodes[b"x"].phase is Phase.DRAINING and targets.version == 9
    targets.apply(0, 0, target_list(8, True, ("y", "DRAINING")))
    assert targets.nodes[b"y"].phase is Phase.DRAINING and b"x" in targets.nodes


def test_a_start_time_is_converted_to_the_brokers_clock_once() -> None:
    targets = TargetTable([], [])
    start = TargetList(1, True, [Target("x", "SERVING", "10.0.0.1:1", started_ms=5_000)])
    first = targets.apply(100 * SECOND, 8_000.0, start)
    again = targets.apply(101 * SECOND, 9_500.0, start)  # the wall clock has stepped
    assert first is not None and again is not None
    assert first.entries[0].since == again.entries[0].since == 97 * SECOND


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"version":"x"}', b"[" * 100_000, b"\xff"])
def test_an_unreadable_list_raises_an_error(data: bytes) -> None:
    with pytest.raises(TargetListError):
        read_list(data)


# --- configuration and shutdown ---


def test_nested_settings_are_flattened_to_the_simulators_paths() -> None:
    lines = list(flatten(platform_settings()))
    assert "zones=a_b,c" in lines and "classes.count=3" in lines and "limits.mayCancel=true" in lines
    assert "tenants.1.name=some_farm" in lines and "specifics.needByClass=0.6,1,1" in lines
    settings = read_settings("\n".join(flatten({**platform_settings(), "tick": 5e6})))
    assert settings.tick == 5 * MS and [c.need for c in settings.classes] == [0.6, 1.0, 1.0]


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"listen": "nowhere"}, "listen"), ({"discovery": "h:0"}, "discovery"), ({"seed": "xyz"}, "seed"),
        ({"settings": {}}, "setting"), ({"limits": {"sockets": "many"}}, "sockets"),
        ({"listen": ""}, "BALANCER_LISTEN"),
    ],
)  # fmt: skip
def test_a_bad_configuration_names_the_key_and_what_was_expected(change: dict[str, object], key: str) -> None:
    good = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "0f",
        "settings": platform_settings(),
    }
    assert read_configuration(json.dumps(good).encode(), {}).seed == 15
    with pytest.raises(ConfigError, match=key) as caught:
        read_configuration(json.dumps({**good, **change}).encode(), {})
    assert "\n" not in str(caught.value)


def test_the_shutdown_ends_before_sigkill_and_limits_the_time_of_queries() -> None:
    schedule = ShutdownSchedule([2 * SECOND, 9 * SECOND], [SECOND, 2 * SECOND])
    assert schedule.time_left(0, 1, 5 * SECOND) == 5 * SECOND
    schedule.begin(0)
    assert schedule.answer_by == 3550 * MS
    assert schedule.time_left(SECOND, 0, 2 * SECOND) == 2 * SECOND
    assert schedule.time_left(2 * SECOND, 0, 2 * SECOND) == 1550 * MS
    assert schedule.time_left(2 * SECOND, 1, 5 * SECOND) is None, "less than the class needs"
    assert schedule.time_left(3400 * MS, 0, 100 * MS) == 100 * MS


class FakeConnection:
    def __init__(
        self,
        name: str,
        asked: bool,
        since: int,
        busy: bool = False,
        valued: bool = False,
        arriving: bool = False,
    ) -> None:
        self.name, self.asked, self.arriving, self.since = name, asked, arriving, since
        self.busy, self.valued = busy, valued

    def waits(self) -> bool:
        return not self.busy and not self.arriving

    def unfinished(self) -> bool:
        return self.arriving


def test_silent_connections_are_evicted_first_then_idle_ones_never_busy_ones() -> None:
    held = [
        *(FakeConnection(f"open{n}", True, n, busy=True, valued=True) for n in range(20)),
        FakeConnection("new", False, SECOND),
    ]
    held += [
        FakeConnection("client", True, 30, valued=True),
        FakeConnection("asked once", True, 31),
        FakeConnection("silent", False, 32),
    ]
    names = []
    while (found := evict(SECOND, held)) is not None:
        names.append(found.name)
        held.remove(found)
    assert names == ["silent", "asked once", "client", "new"]


def test_unfinished_requests_go_before_clients_that_brought_queries_once_they_had_some_time() -> None:
    """Hundreds of clients that began a request and did not end it shut all others out."""
    held = [
        FakeConnection("client", True, 0, valued=True),
        FakeConnection("client that sends", True, 0, valued=True, arriving=True),
        FakeConnection("client just answered", True, SECOND - MIN_IDLE_NS, valued=True),
        FakeConnection("slow", False, 1, arriving=True),
        FakeConnection("slower", False, 0, arriving=True),
        FakeConnection("slow again", True, 2, arriving=True),
        FakeConnection("just begun", False, SECOND - MIN_REQUEST_NS, arriving=True),
        FakeConnection("asked once", True, 31),
    ]
    names = []
    while (found := evict(SECOND, held)) is not None:
        names.append(found.name)
        held.remove(found)
    assert names == ["asked once", "slower", "slow", "slow again", "client"]
