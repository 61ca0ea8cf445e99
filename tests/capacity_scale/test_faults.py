"""Faults that a file names wrongly, that reach nobody, or that go on after their end."""

import socket
from pathlib import Path

import pytest

from benchmarks.capacity.scale import messages as m
from benchmarks.capacity.scale.faults import FaultError, FaultFile, Faults, read_faults
from benchmarks.capacity.scale.hosts import ROOT
from benchmarks.capacity.scale.links import BlackHole, LinkFaults, LossySocket
from benchmarks.capacity.scale.plan import Mechanism, Plan
from quincepath.lab.fleet.links import Ways
from quincepath.lab.fleet.script import Links
from quincepath.net.dial import CONNECT_TIMED_OUT, Dial
from quincepath.net.loop import Loop
from tests.capacity_scale.runs import known_by_all, played

SCRIPTS = ROOT / "benchmarks/capacity/scale/scripts"
PLAN = Plan(30, 2, 1, tuple(Mechanism), 2, 10.0, "nowhere")
SECOND = 1_000_000_000


def write(folder: Path, fault: str) -> Path:
    path = folder / "faults.yaml"
    path.write_text(f"about: a test\nfaults:\n  - {fault}\n")
    return path


@pytest.mark.parametrize(
    ("fault", "wanted"),
    [
        ("{kind: pause, at: 1s}", r"faults\[0\] \(pause\): expected one of kill, leave, cut"),
        ("{kind: explode, at: 1s}", r"faults\[0\]\.kind.*explode"),
        ("{kind: kill, at: soon}", r"faults\[0\]\.at.*soon.*expected a duration"),
        ("{kind: kill, at: 1s, members: [b30]}", r"\(kill\): 'b30': expected b0 to b29"),
        ("{kind: kill, at: 1s, members: [b1]}", r"'b1' is a process of its own: expected hollow"),
        ("{kind: kill, at: 1s, members: summers}", r"'summers': expected names or a share"),
        ("{kind: split, at: 1s}", "expected sides with split"),
        ("{kind: cut, at: 1s, towards: [region-9]}", r"'region-9': expected .* a region-N"),
        ("{kind: kill, at: 290s, last: 20s}", r"over after 310 s: expected at most 300 s"),
    ],
)
def test_a_wrong_fault_is_named_by_place_value_and_what_was_expected(
    tmp_path: Path, fault: str, wanted: str
) -> None:
    with pytest.raises(FaultError, match=wanted):
        read_faults(write(tmp_path, fault), PLAN)


@pytest.mark.parametrize("path", sorted(SCRIPTS.glob("*.yaml")), ids=lambda path: path.stem)
def test_the_files_that_come_with_it_can_be_played(path: Path) -> None:
    assert read_faults(path, PLAN).faults


class Stage:
    """Time and hosts for ``Faults``, without either."""

    def __init__(self, path: Path, ways: Ways | None = None) -> None:
        self.planned: list[tuple[int, object]] = []
        self.told: list[m.ToHost] = []
        self.changes = 0
        file: FaultFile = read_faults(path, PLAN)
        self.faults = Faults(file, PLAN, self.at, self.told.append, self.changed, ways)

    def at(self, when: int, call: object) -> None:
        self.planned.append((when, call))

    def changed(self) -> None:
        self.changes += 1

    def play(self) -> None:
        while self.planned:
            self.planned.sort(key=lambda item: item[0])
            _, call = self.planned.pop(0)
            assert callable(call)
            call()


def test_who_is_killed_for_a_time_is_started_again_and_no_real_broker_is_drawn(tmp_path: Path) -> None:
    stage = Stage(write(tmp_path, "{kind: kill, at: 1s, last: 2s, members: 100%, back: true}"))
    stage.play()
    ended, started = stage.told
    assert isinstance(ended, m.EndBrokers) and isinstance(started, m.StartBrokers)
    assert set(ended.names) == set(started.names) == {f"b{number}" for number in range(2, 30)}
    assert stage.faults.running == set(started.names)
    assert stage.changes == 2


def test_a_split_cuts_both_ways_between_regions_and_ends(tmp_path: Path) -> None:
    ways = Ways(Links(), 1)
    fault = "{kind: split, at: 0s, last: 5s, sides: [[region-0, region-1], [region-2]]}"
    stage = Stage(write(tmp_path, fault), ways)
    regions = {one.name: one.region for one in PLAN.members}
    first = stage.planned.pop(0)[1]
    assert callable(first)
    first()
    links = [one for one in stage.told if isinstance(one, m.LinkFault)]
    assert len(links) == 2 and all(link.lose == 1 for link in links)
    for link in links:
        assert not {regions[name] for name in link.senders} & {regions[name] for name in link.receivers}
    assert ways.is_cut("b0", "b2") and ways.is_cut("b1", "b2") and not ways.is_cut("b0", "b1")
    stage.play()
    assert {one.id for one in stage.told if isinstance(one, m.EndLinkFault)} == {one.id for one in links}
    assert not any(way.cut for way in ways.ways.values())


def test_lost_datagrams_do_not_arrive_and_others_do() -> None:
    faults = LinkFaults(1)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as ours,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as theirs,
    ):
        theirs.bind(("127.0.0.1", 0))
        theirs.setblocking(False)
        place = theirs.getsockname()
        lossy = LossySocket(ours, "b0", {place: "b1"}, faults)
        faults.begin(m.LinkFault(7, ("b0",), ("b1",), 1.0))
        assert lossy.sendto(b"lost", place) == 4
        with pytest.raises(BlockingIOError):
            theirs.recv(10)
        faults.end(7)
        lossy.sendto(b"arrives", place)
        assert theirs.recv(10) == b"arrives"


def test_the_share_of_lost_datagrams_is_the_given_one() -> None:
    faults = LinkFaults(1)
    faults.begin(m.LinkFault(1, ("b0",), ("b1",), 0.05))
    lost = sum(faults.loses("b0", "b1") for _ in range(20_000))
    assert 900 < lost < 1100
    assert not any(faults.loses("b1", "b0") for _ in range(1000))
    assert faults.cut_from("b0") == frozenset()


def test_nothing_connects_to_a_member_that_is_cut_off() -> None:
    hole, loop = BlackHole("127.0.0.1"), Loop()
    ends: list[int] = []
    Dial(loop, hole.place, SECOND // 2, lambda sock: ends.append(0), ends.append)
    assert loop.run_until(lambda: bool(ends), 30)
    hole.close()
    loop.close()
    assert ends == [CONNECT_TIMED_OUT]


def test_a_cut_region_is_believed_dead_and_comes_back(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, "{kind: split, at: 0s, last: 15s, sides: [[region-0, region-1], [region-2]]}")
    options = ("--brokers", "14", "--real", "1", "--duration", "2", "--faults", str(path))
    result = played(tmp_path, *options, "--mechanisms", "view")
    assert result["verdict"] in ("good", "void"), result["why"]
    assert known_by_all(result, "faults")
    # Four of fourteen stand in region 2. Each hollow broker gives up all of the other side, at least once.
    hollow_others, cut_off = 9, 4
    assert result["events"][-1]["deaths"] >= hollow_others * cut_off + cut_off * (hollow_others + 1)
    assert result["digests"] == 1
