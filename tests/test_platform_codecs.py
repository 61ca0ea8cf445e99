"""The pure parts of the platform: frames, links, list, configuration, ending. No socket."""

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
from quincepath.platform.descriptors import evict
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
from tests.standins.platform import MS, SECOND, frame, site

TIMES = ConnectionTimeouts(dial=250 * MS, idle=15 * SECOND)
GOOD = frame(b"q", b"a.1 good 17 inflight=2\nv1")
LATER = frame(b"q", b"a.2 later 0 -\n")


# --- frames ---


def test_a_call_and_a_give_up_are_the_bytes_of_the_page() -> None:
    sent = call_frame([CallPart(b"9b1f03aa5c7e2d41.3", 3, 240, b"c41e77d0")])
    assert sent == frame(b"m", b"9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d0")
    assert cancel_frame(b"a.3") == b"\x04\0\0\0na.3"


def read(pieces: list[bytes]) -> tuple[list[tuple[bytes, bytes, str]], str]:
    reader, spoilt = FrameReader(), ""
    try:
        for piece in pieces:
            reader.feed(piece)
    except FrameError as error:
        spoilt = error.text
    return [(r.id, r.status, r.value) for r in reader.replies], spoilt


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
def test_spoilt_bytes_are_told_after_what_came_whole_before(data: bytes) -> None:
    replies, spoilt = read([GOOD + data])
    assert replies == [(b"a.1", b"good", "v1")] and spoilt


@given(st.binary(max_size=200), st.integers(0, 1 << 32))
@fuzz(max_examples=300, derandomize=True)
def test_any_bytes_read_whole_or_in_pieces_give_the_same(noise: bytes, seed: int) -> None:
    dice = random.Random(seed)
    data = bytearray(GOOD + LATER + noise + GOOD)
    for _ in range(dice.randrange(3)):
        data[dice.randrange(len(data))] = dice.randrange(256)
    pieces = [bytes(data[n : n + 5]) for n in range(0, len(data), 5)]
    whole, cut = read([bytes(data)]), read(pieces)
    assert whole[0] == cut[0] and bool(whole[1]) == bool(cut[1])


def test_a_long_declared_frame_is_dropped_at_its_head_and_nothing_is_stored() -> None:
    reader = FrameReader()
    with pytest.raises(FrameError, match="are allowed"):
        reader.feed(struct.pack("<I", 3_000_000_000) + b"q" + bytes(100))


@pytest.mark.parametrize(
    "text", [b"-", b"", b"inflight", b"inflight=x", b"inflight=nan", b"util=1", b"inflight=-1"]
)
def test_an_unreadable_report_is_as_if_there_were_none(text: bytes) -> None:
    assert read_report(text, ("inflight",)) == ()
    assert read_report(b"util=0.6,inflight=7", ("inflight",)) == (7.0,)


# --- links ---


def link(now: int = SECOND, places: int = 4) -> ConnectionState:
    made = ConnectionState(places, TIMES, now)
    made.put(now, b"a.1", "first")
    return made


def test_an_id_given_up_does_not_travel_again_where_its_reply_may_still_come() -> None:
    held = link()
    held.give_up(b"a.1")
    assert not held.may_carry(SECOND, b"a.1") and held.may_carry(SECOND, b"a.2")
    assert held.receive(2 * SECOND, GOOD) == ([], None)
    assert not held.may_carry(9 * SECOND, b"a.1"), "nor after it: a second copy may follow"


def test_an_id_turned_away_travels_again_but_not_while_a_second_copy_may_come() -> None:
    held = ConnectionState(4, TIMES, SECOND)
    held.put(SECOND, b"a.2", "first")
    assert held.receive(SECOND, LATER)[0]
    assert not held.may_carry(SECOND + 10 * MS, b"a.2")
    assert held.receive(SECOND + 10 * MS, LATER) == ([], None), "the copy is no harm"
    assert held.may_carry(SECOND + 25 * MS, b"a.2")
    held.put(SECOND + 25 * MS, b"a.2", "second")
    assert [key for key, _ in held.receive(2 * SECOND, LATER)[0]] == ["second"]


def test_a_reply_counts_once_and_a_second_copy_does_no_harm() -> None:
    held = link()
    found, spoilt = held.receive(SECOND, GOOD + GOOD)
    assert [key for key, _ in found] == ["first"] and spoilt is None


def test_a_reply_to_an_id_never_sent_here_spoils_and_keeps_what_came_before() -> None:
    held = link()
    found, spoilt = held.receive(SECOND, GOOD + LATER)
    assert len(found) == 1 and spoilt is not None


def test_ids_given_up_are_bounded_by_retiring_the_connection() -> None:
    held = ConnectionState(100, TIMES, SECOND)
    for number in range(100):
        if not held.room(SECOND):
            break
        held.put(SECOND, b"p.%d" % number, number)
        held.give_up(b"p.%d" % number)
    assert len(held.given_up) == 50 and held.retired


def test_a_connection_that_owes_and_says_nothing_is_doubted_until_it_speaks() -> None:
    held = link(places=10)
    assert held.room(SECOND + 500 * MS) and not held.room(SECOND + 501 * MS)
    held.put(SECOND + 500 * MS, b"a.2", "second")
    assert held.doubted(SECOND + 501 * MS), "work put later does not make it younger"
    held.receive(2 * SECOND, GOOD)
    assert held.room(2 * SECOND)


def test_an_idle_connection_takes_nothing_near_its_end() -> None:
    held = ConnectionState(4, TIMES, SECOND)
    assert held.room(11 * SECOND) and not held.room(12 * SECOND)


# --- the list ---


def told(version: int, full: bool, *targets: tuple[str, str]) -> TargetList:
    return TargetList(
        version, full, [Target(id, state, "10.0.0.1:7070", "a", "m2", 1) for id, state in targets]
    )


def test_what_a_whole_list_leaves_out_is_gone_also_where_it_is_empty() -> None:
    targets = TargetTable(["a"], ["m2"])
    first = targets.apply(0, 0, told(4, True, ("x", "SERVING"), ("y", "SERVING")), cached=True)
    assert first is not None and first.scope is Scope.CACHED and set(targets.nodes) == {b"x", b"y"}
    news = targets.apply(0, 0, told(5, True))
    assert news is not None and news.scope is Scope.FULL and news.entries == () and not targets.nodes


def test_older_news_may_only_take_nodes_away() -> None:
    targets = TargetTable(["a"], ["m2"])
    targets.apply(0, 0, told(9, True, ("x", "DRAINING"), ("y", "SERVING")))
    assert targets.apply(0, 0, told(8, False, ("x", "SERVING"))) is None
    assert targets.nodes[b"x"].phase is Phase.DRAINING and targets.version == 9
    targets.apply(0, 0, told(8, True, ("y", "DRAINING")))
    assert targets.nodes[b"y"].phase is Phase.DRAINING and b"x" in targets.nodes


def test_a_start_is_turned_to_the_own_clock_once() -> None:
    targets = TargetTable([], [])
    start = TargetList(1, True, [Target("x", "SERVING", "10.0.0.1:1", started_ms=5_000)])
    first = targets.apply(100 * SECOND, 8_000.0, start)
    again = targets.apply(101 * SECOND, 9_500.0, start)  # the wall clock has stepped
    assert first is not None and again is not None
    assert first.entries[0].since == again.entries[0].since == 97 * SECOND


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"version":"x"}', b"[" * 100_000, b"\xff"])
def test_an_unreadable_list_says_so(data: bytes) -> None:
    with pytest.raises(TargetListError):
        read_list(data)


# --- configuration and end ---


def test_nested_settings_are_read_as_the_paths_of_the_wire() -> None:
    lines = list(flatten(site()))
    assert "zones=a_b,c" in lines and "classes.count=3" in lines and "limits.mayCancel=true" in lines
    assert "tenants.1.name=some_farm" in lines and "specifics.needByClass=0.6,1,1" in lines
    settings = read_settings("\n".join(flatten({**site(), "tick": 5e6})))
    assert settings.tick == 5 * MS and [c.need for c in settings.classes] == [0.6, 1.0, 1.0]


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"listen": "nowhere"}, "listen"), ({"discovery": "h:0"}, "discovery"), ({"seed": "xyz"}, "seed"),
        ({"settings": {}}, "setting"), ({"limits": {"sockets": "many"}}, "sockets"),
        ({"listen": ""}, "BALANCER_LISTEN"),
    ],
)  # fmt: skip
def test_a_bad_configuration_names_the_key_and_what_was_expected(
    change: dict[str, object], words: str
) -> None:
    good = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "0f",
        "settings": site(),
    }
    assert read_configuration(json.dumps(good).encode(), {}).seed == 15
    with pytest.raises(ConfigError, match=words) as caught:
        read_configuration(json.dumps({**good, **change}).encode(), {})
    assert "\n" not in str(caught.value)


def test_the_end_comes_before_the_kill_and_cuts_the_time_of_queries() -> None:
    ending = ShutdownSchedule([2 * SECOND, 9 * SECOND], [SECOND, 2 * SECOND])
    assert ending.time_left(0, 1, 5 * SECOND) == 5 * SECOND
    ending.begin(0)
    assert ending.end == 3550 * MS
    assert ending.time_left(SECOND, 0, 2 * SECOND) == 2 * SECOND
    assert ending.time_left(2 * SECOND, 0, 2 * SECOND) == 1550 * MS
    assert ending.time_left(2 * SECOND, 1, 5 * SECOND) is None, "less than the class wants"
    assert ending.time_left(3400 * MS, 0, 100 * MS) == 100 * MS


class Held:
    def __init__(self, name: str, asked: bool, since: int, busy: bool = False, valued: bool = False) -> None:
        self.name, self.asked, self.arriving, self.since = name, asked, False, since
        self.busy, self.valued = busy, valued

    def waits(self) -> bool:
        return not self.busy


def test_silent_connections_go_first_then_idle_ones_never_one_that_asks() -> None:
    held = [
        *(Held(f"open{n}", True, n, busy=True, valued=True) for n in range(20)),
        Held("new", False, SECOND),
    ]
    held += [Held("client", True, 30, valued=True), Held("asked once", True, 31), Held("silent", False, 32)]
    names = []
    while (found := evict(SECOND, held)) is not None:
        names.append(found.name)
        held.remove(found)
    assert names == ["silent", "asked once", "client", "new"]
