"""The membership view: fault scripts in virtual time, and properties that hold in any order of events.

The scripts of examples/fleet/ also run against real processes.
"""

import copy
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import Phase as HypothesisPhase
from hypothesis import strategies as st

from quincepath.config.load import ConfigError, load, parse
from quincepath.fleet import messages
from quincepath.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    Ack,
    Envelope,
    FullState,
    Gossip,
    MemberState,
    Ping,
    pack,
    unpack,
)
from quincepath.fleet.view import own_state, table
from quincepath.fleet.view.core import (
    CloseConnection,
    ConnectionAccepted,
    ConnectionClosed,
    DatagramReceived,
    Drain,
    FrameReceived,
    Input,
    Leave,
    OpenConnection,
    Output,
    SendDatagram,
    SendFrame,
    View,
)  # fmt: skip
from quincepath.fleet.view.facts import MS, SECOND, Belief, Change, Phase, ViewSettings
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.virtual import Virtual, play

SCRIPTS = sorted(Path("examples/fleet").glob("*.yaml"))


def fleet_script(members: int, faults: list[dict[str, Any]], length: str = "40s", **more: Any) -> FleetScript:
    values = {"about": "a test", "members": members, "length": length, "faults": faults, **more}
    return FleetScript.model_validate(values)


# --- the scripts ---


@pytest.mark.parametrize("path", SCRIPTS, ids=[path.stem for path in SCRIPTS])
@pytest.mark.parametrize("seed", range(5))
def test_views_converge_to_the_truth_after_each_fault_script(path: Path, seed: int) -> None:
    verdict = play(load(path, FleetScript), seed)
    assert verdict.findings == []


def test_same_script_and_seed_give_the_same_run() -> None:
    script = load(Path("examples/fleet/three-parts-and-restarts.yaml"), FleetScript)
    runs = []
    for _ in range(2):
        world = Virtual(script, 3)
        world.keep_changes = True
        runs.append((world.run().figures(), world.changes))
    assert runs[0] == runs[1] and runs[0][1]


def test_forty_members_join_through_one_that_then_dies() -> None:
    names = [f"b{n}" for n in range(2, 42)]
    faults = [
        {"kind": "join", "at": "5s", "members": names},
        {"kind": "kill", "at": "5500ms", "last": "1s", "members": ["b0"]},
    ]
    assert play(fleet_script(42, faults, absent=names, join=["b0"])).findings == []


def test_two_hundred_members_learn_of_a_crash_within_seconds_at_constant_cost_per_member() -> None:
    figures = {}
    for members in (10, 200):
        faults = [{"kind": "kill", "at": "2s", "last": "1s", "members": ["b3"]}]
        verdict = Virtual(fleet_script(members, faults, "24s"), 1, warm=True).run()
        assert verdict.findings == [] and verdict.deaths[0].known - verdict.deaths[0].at < 6 * SECOND
        figures[members] = verdict.bytes / verdict.member_seconds
    assert figures[200] < 1.5 * figures[10]


def test_last_live_member_eventually_declares_all_others_dead() -> None:
    names = [f"b{n}" for n in range(1, 5)]
    faults = [{"kind": "kill", "at": "5s", "last": "1s", "members": names}]
    assert play(fleet_script(5, faults, "60s", expect={"settle": "45s"})).findings == []


def test_isolated_member_suspects_nobody_at_first_and_reports_silence() -> None:
    rest = [f"b{n}" for n in range(6) if n != 2]
    script = fleet_script(6, [{"kind": "split", "at": "5s", "last": "6s", "sides": [["b2"], rest]}], "40s")
    world = Virtual(script)
    world.run(9 * SECOND)
    isolated = world.members["b2"].view
    assert [belief.name for belief in isolated.table.all() if not belief.live] == []
    assert any(reason.startswith("nobody heard") for reason in isolated.unsettled())
    assert world.run().findings == []


def test_flapping_member_causes_a_bounded_number_of_messages() -> None:
    calm = play(fleet_script(7, [], "60s"))
    flap = play(
        fleet_script(
            7, [{"kind": "flap", "at": "8s", "last": "30s", "members": ["b2"], "by": "700ms"}], "60s"
        )
    )
    assert flap.findings == []
    assert flap.messages < 2.5 * calm.messages


def test_second_process_of_a_name_is_reported_and_changes_no_view() -> None:
    world = Virtual(load(Path("examples/fleet/two-of-one-name.yaml"), FleetScript))
    world.run(45 * SECOND)
    for place, member in world.members.items():
        if place not in ("b3", "b3#2"):
            assert any("two processes run as b3" in reason for reason in member.view.unsettled()), place
    views = [member.view for place, member in world.members.items() if place != "b3#2"]
    phases = {belief.phase for view in views for belief in view.table.all()}
    assert Phase.DEAD not in phases and Phase.SUSPECT not in phases
    second = world.members["b3#2"].view
    assert second.own.yielded and "another process has this member's name" in second.unsettled()


# --- a single member ---


class SingleMember:
    """One member whose inputs the test supplies; the other members are only names."""

    def __init__(self, others: int = 3, **changes: Any) -> None:
        self.now = 100 * SECOND
        peers = tuple(f"b{n}" for n in range(1, others + 1))
        self.settings = ViewSettings("lab", "b0", peers, **changes)
        self.view = View(self.settings, 77, 5, self.now)
        self.counts = 0

    def step(self, *inputs: Input) -> list[Output]:
        return self.view.step(self.now, inputs)

    def run(self, time: int) -> list[Output]:
        """Advance the time and run each timer when it is due."""
        out, end = [], self.now + time
        while self.view.due <= end:
            self.now = max(self.view.due, self.now)
            out += self.step()
        self.now = end
        return out

    def state(self, name: str, phase: Phase = Phase.ALIVE, incarnation: int = 1, **more: Any) -> MemberState:
        return MemberState(name, more.pop("boot", 7), incarnation, int(phase), **more)

    def receive(
        self, name: str, body: Any = None, *news: MemberState, me: MemberState | None = None
    ) -> list[Output]:
        """Receive a datagram from another member."""
        self.counts += 1
        me = me or self.state(name)
        data = pack("lab", "b0", me, 0, self.counts, Gossip() if body is None else body, news)
        return self.step(DatagramReceived(data))

    def hear_from_all(self) -> None:
        for name in self.settings.peers:
            self.receive(name)

    def answer_all_but(self, out: list[Output], silent: str) -> None:
        """Answer direct and indirect probes as if every member but ``silent`` were live."""
        for name, ping in sent_messages(out, Ping):
            if name != silent and ping.number:
                self.receive(name, Ack(ping.number))
        for name, request in sent_messages(out, messages.PingReq):
            if name != silent:
                self.receive(
                    name, messages.Nack(request.number) if request.target == silent else Ack(request.number)
                )

    def phase(self, name: str) -> Phase | None:
        belief = self.view.table.get(name)
        return None if belief is None else belief.phase


def sent_messages(out: list[Output], kind: type) -> list[tuple[str, Any]]:
    """Bodies of a type in the sent datagrams, with their receivers."""
    found = []
    for one in out:
        if isinstance(one, SendDatagram):
            envelope = msgspec.msgpack.decode(one.data, type=Envelope)
            body = messages.body_of(envelope)
            if isinstance(body, kind):
                found.append((one.to, body))
    return found


def gossip_about(out: list[Output], name: str) -> list[tuple[str, MemberState]]:
    found = []
    for one in out:
        if isinstance(one, SendDatagram):
            envelope = msgspec.msgpack.decode(one.data, type=Envelope)
            found += [(one.to, state) for state in envelope.news if state.name == name]
    return found


def test_silent_member_is_suspected_informed_first_and_finally_dead() -> None:
    one = SingleMember()
    one.hear_from_all()
    out: list[Output] = []
    for _ in range(1000):
        if one.phase("b2") is Phase.SUSPECT:
            break
        out = one.run(10 * MS)
        one.answer_all_but(out, "b2")
    assert ("b2", Phase.SUSPECT) in [(to, Phase(about.phase)) for to, about in gossip_about(out, "b2")]
    for _ in range(1000):
        one.answer_all_but(one.run(10 * MS), "b2")
    assert one.phase("b2") is Phase.DEAD and one.phase("b1") is one.phase("b3") is Phase.ALIVE


def test_member_with_late_timers_suspects_nobody_for_that_time() -> None:
    one = SingleMember()
    one.hear_from_all()
    one.run(600 * MS)  # a probe is open
    one.now += 5 * SECOND
    out = one.step()
    assert not [item for item in out if isinstance(item, Change)]
    assert all(one.phase(name) is Phase.ALIVE for name in one.settings.peers)
    assert one.view.prober.health.score > 2
    assert "this member stood still or ran late" in one.view.unsettled()


def test_suspicion_is_extended_by_the_length_of_a_stall() -> None:
    one = SingleMember()
    one.hear_from_all()
    one.receive("b1", None, one.state("b2", Phase.SUSPECT, accusers=("b1", "b3")))
    ends = one.view.table.suspicion_deadline(one.view.table.beliefs["b2"])
    one.now = ends + 3 * SECOND
    one.receive("b2", None, me=one.state("b2", incarnation=2))  # the refutation lay unread during the stall
    assert one.phase("b2") is Phase.ALIVE


def test_refutation_raises_the_incarnation_above_the_received_one() -> None:
    one = SingleMember()
    one.hear_from_all()
    for phase in (Phase.SUSPECT, Phase.DEAD, Phase.LEFT):
        before = one.view.own.incarnation
        one.receive("b1", None, MemberState("b0", 77, before + 4, int(phase)))
        assert one.view.own.incarnation == before + 5


def test_number_of_refutations_is_bounded() -> None:
    one = SingleMember()
    one.hear_from_all()
    for _ in range(100):
        one.receive("b1", None, MemberState("b0", 77, one.view.own.incarnation, int(Phase.SUSPECT)))
    assert one.view.own.incarnation == 1 + own_state.MAX_REFUTES
    one.run(own_state.REFUTE_WINDOW_NS)
    one.receive("b1", None, MemberState("b0", 77, one.view.own.incarnation, int(Phase.SUSPECT)))
    assert one.view.own.incarnation == 2 + own_state.MAX_REFUTES


def test_replayed_message_is_no_sign_of_life() -> None:
    one = SingleMember()
    one.hear_from_all()
    data = pack("lab", "b0", one.state("b2"), 0, 3, Gossip())
    one.step(DatagramReceived(data))
    first = one.view.table.last_heard["b2"]
    one.now += 3600 * SECOND
    one.step(DatagramReceived(data))
    assert one.view.table.last_heard["b2"] == first


def test_state_older_than_a_departure_does_not_revive_a_reclaimed_member() -> None:
    one = SingleMember(reclaim=10 * SECOND)
    one.hear_from_all()
    one.receive("b1", None, one.state("b2", Phase.LEFT, 3))
    assert one.phase("b2") is Phase.LEFT
    one.run(15 * SECOND)
    assert one.phase("b2") is None  # reclaimed
    one.receive("b3", None, one.state("b2", Phase.ALIVE, 3))
    assert one.phase("b2") is None
    one.receive("b3", None, one.state("b2", Phase.ALIVE, 4))
    assert one.phase("b2") is Phase.ALIVE


def test_reported_death_of_a_recently_heard_member_is_only_a_suspicion() -> None:
    one = SingleMember()
    one.hear_from_all()
    one.receive("b1", None, one.state("b2", Phase.DEAD, accusers=("b1",)))
    assert one.phase("b2") is Phase.SUSPECT
    one.receive("b2", None, me=one.state("b2", incarnation=2))
    assert one.phase("b2") is Phase.ALIVE


def test_leaving_member_informs_several_others_and_sends_nothing_more() -> None:
    one = SingleMember(others=5)
    one.hear_from_all()
    out = one.step(Leave())
    assert {to for to, about in gossip_about(out, "b0") if about.phase == Phase.LEFT} == set(
        one.settings.peers
    )
    assert one.run(10 * SECOND) == [] and one.receive("b1", Ping(3)) == []


def test_drain_is_gossiped_with_a_new_incarnation() -> None:
    one = SingleMember()
    one.hear_from_all()
    one.run(SECOND)
    one.step(Drain())
    news = gossip_about(one.run(SECOND), "b0")
    assert news and all(about.draining and about.incarnation == 2 for _, about in news)
    assert one.step(Drain()) == []  # no change


def test_indirect_probe_reports_nack_and_ack_to_the_requester() -> None:
    one = SingleMember()
    one.hear_from_all()
    number = sent_messages(one.receive("b1", messages.PingReq(9, "b2")), Ping)[0][1].number
    assert sent_messages(one.run(200 * MS), messages.Nack) == [("b1", messages.Nack(9))]
    assert ("b1", Ack(9)) in sent_messages(one.receive("b2", Ack(number)), Ack)
    for asked in range(messages.MAX_ACCUSERS * 100):
        one.receive("b1", messages.PingReq(100 + asked, "b2"))
    assert one.view.prober.indirect_refused > 0  # the limit is enforced without an error


def test_stalled_exchange_is_abandoned() -> None:
    one = SingleMember()
    line = next(out.connection for out in one.step() if isinstance(out, OpenConnection))
    out = one.run(one.settings.exchange_time + SECOND)
    assert CloseConnection(line) in out and one.view.exchanges.failed > 0
    one.step(ConnectionAccepted(-1))
    assert CloseConnection(-1) in one.run(one.settings.exchange_time + SECOND)
    one.step(*(ConnectionAccepted(-2 - n) for n in range(64)))
    assert one.step(ConnectionAccepted(-100)) == [CloseConnection(-100)]
    one.step(ConnectionClosed(-2, "reset"))
    assert one.step(ConnectionAccepted(-101)) == []


def test_one_exchange_transfers_the_full_state() -> None:
    one, two = SingleMember(), View(ViewSettings("lab", "b1", ("b0", "b2", "b3")), 9, 1, 100 * SECOND)
    call = next(out for out in one.step() if isinstance(out, OpenConnection))
    one.receive("b2")
    one.receive("b3", None, one.state("b1", Phase.DEAD, 4))
    request = pack("lab", "b1", one.state("b0", boot=77), 5, 1, messages.ExchangeRequest())
    answer = [
        out
        for out in two.step(one.now, [ConnectionAccepted(-1), FrameReceived(-1, request)])
        if isinstance(out, SendFrame)
    ]
    full = next(out for out in answer if out.connection == -1)
    back = one.step(FrameReceived(call.connection, full.data))
    mine = next(out for out in back if isinstance(out, SendFrame))
    assert CloseConnection(call.connection) in back and one.view.own.phase is Phase.ALIVE
    two.step(one.now, [FrameReceived(-1, mine.data)])
    assert {belief.name for belief in two.table.all()} == {"b0", "b1", "b2", "b3"}
    assert two.own.incarnation == 5  # above the reported death


# --- dropped messages ---


def test_invalid_messages_are_counted_by_cause_and_not_answered() -> None:
    one = SingleMember()
    one.hear_from_all()
    me, ping = one.state("b1"), Ping(3)
    cases = {
        "wrong fleet": pack("other", "b0", me, 0, 50, ping),
        "wrong name": pack("lab", "b9", me, 0, 50, ping),
        "unknown member": pack("lab", "b0", one.state("stranger"), 0, 50, ping),
        "too large": b"x" * (MAX_DATAGRAM_BYTES + 1),
        "unreadable": b"\x93\x01\x02",
        "unknown kind": messages._encoder.encode(
            Envelope(1, 1, "lab", "b1", "b0", me, 0, 51, msgspec.Raw(msgspec.msgpack.encode([99, 1])))
        ),
        "too new": messages._encoder.encode(
            Envelope(9, 9, "lab", "b1", "b0", me, 0, 51, msgspec.Raw(msgspec.msgpack.encode(ping)))
        ),
        "too old": messages._encoder.encode(
            Envelope(0, 0, "lab", "b1", "b0", me, 0, 51, msgspec.Raw(msgspec.msgpack.encode(ping)))
        ),
    }
    assert set(cases) == set(messages.CAUSES)
    for cause, data in cases.items():
        assert sent_messages(one.step(DatagramReceived(data)), Ack) == [], cause
        assert one.view.dropped[cause] == 1, cause
    one.receive("b1", None, one.state("stranger"))
    assert one.view.dropped["unknown member"] == 2 and one.phase("stranger") is None


class NewerMemberState(MemberState, array_like=True, frozen=True):
    """As a later version may send it: one more field at the end."""

    load: int = 0


def test_messages_of_newer_and_older_versions_are_understood() -> None:
    one = SingleMember()
    me = NewerMemberState("b1", 7, 1, int(Phase.ALIVE), load=9)
    raw = msgspec.Raw(msgspec.msgpack.encode([1, 5, "more"]))
    newer = [2, 1, "lab", "b1", "b0", me, 0, 1, raw, [], "yet more"]
    assert sent_messages(one.step(DatagramReceived(msgspec.msgpack.encode(newer))), Ack) == [("b1", Ack(5))]
    older = [1, 1, "lab", "b2", "b0", ["b2", 7, 1, 1], 0, 1, [1, 6]]  # without updates and optional fields
    assert sent_messages(one.step(DatagramReceived(msgspec.msgpack.encode(older))), Ack) == [("b2", Ack(6))]
    assert one.phase("b1") is one.phase("b2") is Phase.ALIVE


def test_datagrams_fit_one_packet_and_the_largest_full_state_fits_one_frame() -> None:
    one = SingleMember(others=600)
    for number in range(1, 601):
        name = f"b{number}"
        one.receive(name, me=one.state(name, zone="a" * 40, version="v" * 40, config="c" * 40))
    sizes = [len(out.data) for out in one.run(5 * SECOND) if isinstance(out, SendDatagram)]
    assert sizes and max(sizes) <= MAX_DATAGRAM_BYTES
    names = tuple(f"b{n:031d}" for n in range(messages.MAX_MEMBERS))  # the longest names allowed
    every = (1 << 62, 1 << 40, 2, 1 << 40, names[:4], True, "z" * 40, "v" * 40, "c" * 40)
    whole = FullState(tuple(MemberState(name, *every) for name in names))
    longest = pack("f" * 32, names[1], whole.beliefs[0], 1 << 62, 1 << 40, whole)
    assert len(longest) <= MAX_FRAME_BYTES
    assert unpack(longest, "f" * 32, names[1], MAX_FRAME_BYTES).sender == names[0]
    assert (
        unpack(pack("lab", "b0", one.state("b1"), 0, 1, Gossip()), "lab", "b0", MAX_DATAGRAM_BYTES).sender
        == "b1"
    )


@given(st.binary(max_size=200))
@settings(max_examples=300, deadline=None)
def test_arbitrary_bytes_raise_no_error(data: bytes) -> None:
    one = SingleMember()
    one.step(DatagramReceived(data), ConnectionAccepted(-1), FrameReceived(-1, data))


# --- reordering, loss and duplication ---


class SmallFleet:
    """A few members; each message is held until the test delivers, drops or duplicates it."""

    def __init__(self, members: int, seed: int = 1) -> None:
        self.now = 0
        self.names = [f"b{n}" for n in range(members)]
        self.views: dict[str, View] = {}
        self.boots = 0
        self.in_flight: list[tuple[str, str, Input]] = []  # sender, receiver, input
        self.connections: dict[tuple[str, int], tuple[str, int]] = {}
        self.seed = seed
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.boots += 1
        peers = tuple(one for one in self.names if one != name)
        view = View(ViewSettings("lab", name, peers), 1000 + self.boots, self.seed + self.boots, self.now)
        self.views[name] = view
        self.step(name, [])

    def crash(self, name: str) -> None:
        del self.views[name]
        for key in [key for key in self.connections if key[0] == name]:
            self.lose_connection(key)

    def lose_connection(self, key: tuple[str, int]) -> None:
        other = self.connections.pop(key, None)
        if other is not None and self.connections.pop(other, None) is not None and other[0] in self.views:
            self.step(other[0], [ConnectionClosed(other[1], "reset")])

    def step(self, name: str, inputs: list[Input]) -> None:
        for out in self.views[name].step(self.now, inputs):
            match out:
                case SendDatagram(to, data):
                    self.in_flight.append((name, to, DatagramReceived(data)))
                case OpenConnection(connection, to):
                    if to in self.views:
                        number = -1 - self.boots * 1000 - len(self.connections) - self.now // MS * 10_000
                        self.connections[name, connection], self.connections[to, number] = (
                            (to, number),
                            (name, connection),
                        )
                        self.step(to, [ConnectionAccepted(number)])
                    else:
                        self.in_flight.append((to, name, ConnectionClosed(connection, "refused")))
                case SendFrame(connection, data):
                    other = self.connections.get((name, connection))
                    if other is not None:
                        self.in_flight.append((name, other[0], FrameReceived(other[1], data)))
                case CloseConnection(connection):
                    other = self.connections.pop((name, connection), None)
                    if other is not None:
                        self.connections.pop(other, None)
                        self.in_flight.append((name, other[0], ConnectionClosed(other[1], "end of stream")))

    def deliver(self, at: int, keep: bool = False) -> None:
        _, to, item = self.in_flight[at] if keep else self.in_flight.pop(at)
        if to in self.views:
            self.step(to, [item])

    def advance(self, by: int) -> None:
        """Advance the time for all members, with timers on time; messages stay in flight."""
        end = self.now + by
        while True:
            due, name = min(((view.due, name) for name, view in self.views.items()), default=(end + 1, ""))
            if due > end:
                break
            self.now = max(due, self.now)
            self.step(name, [])
        self.now = end

    def run_without_faults(self, time: int) -> None:
        """Run with a network without faults and a latency of one millisecond."""
        end = self.now + time
        while self.now < end:
            waiting, self.in_flight = self.in_flight, []
            for _, to, item in waiting:
                if to in self.views:
                    self.step(to, [item])
            due = min(view.due for view in self.views.values())
            self.now = max(self.now + MS, min(due, end)) if not self.in_flight else self.now + MS
            for name in list(self.views):
                if self.views[name].due <= self.now:
                    self.step(name, [])

    def check(self) -> None:
        """Invariants that hold at every moment."""
        for name, view in self.views.items():
            assert len(view.table.beliefs) <= len(self.names)
            assert len(view.gossip_queue) <= len(self.names)
            for belief in view.table.beliefs.values():
                other = self.views.get(belief.name)
                if other is not None and belief.boot == other.boot:
                    # Only the member itself raises its incarnation.
                    assert belief.incarnation <= other.own.incarnation, f"{name} of {belief.name}"

    def check_converged(self) -> None:
        """After some time without faults all views are equal and match the running members."""
        self.run_without_faults(40 * SECOND)
        for name, view in self.views.items():
            living = {belief.name for belief in view.table.all() if belief.live}
            assert living == set(self.views), f"{name} believes {living}, true is {set(self.views)}"
            assert not view.table.suspects
        assert len({view.table.digest for view in self.views.values()}) == 1


ACTION_KINDS = ["deliver", "drop", "double", "time", "crash", "start"]
ACTION = st.tuples(st.sampled_from(ACTION_KINDS), st.integers(0, 999))
ACTIONS = st.lists(ACTION, max_size=60)


def apply_action(world: SmallFleet, kind: str, number: int) -> None:
    if kind == "time":
        world.advance((50 + number) * MS)
    elif kind == "crash" and len(world.views) > 1:
        world.crash(sorted(world.views)[number % len(world.views)])
    elif kind == "start":
        gone = [name for name in world.names if name not in world.views]
        if gone:
            world.start(gone[number % len(gone)])
    elif world.in_flight and kind in ("deliver", "drop", "double"):
        at = number % len(world.in_flight)
        if kind == "drop":
            world.in_flight.pop(at)
        else:
            world.deliver(at, keep=kind == "double")
    world.check()


def converges(actions: list[tuple[str, int]], members: int, seed: int) -> None:
    world = SmallFleet(members, seed)
    for kind, number in actions:
        apply_action(world, kind, number)
    world.check_converged()


@given(ACTIONS, st.integers(3, 5), st.integers(0, 50))
@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_views_converge_after_any_reordering_loss_and_duplication(
    actions: list[tuple[str, int]], members: int, seed: int
) -> None:
    converges(actions, members, seed)


def possible_actions(world: SmallFleet, crashed: bool, started: bool) -> Iterator[tuple[str, int]]:
    """All next actions: delivery, loss, duplication of the two oldest messages; time; a crash; a restart."""
    for at in range(min(len(world.in_flight), 2)):
        yield from ((kind, at) for kind in ("deliver", "drop", "double"))
    yield "time", 400  # past the start of indirect probes; two of these pass the end of a probe
    yield "time", 2050  # two of these pass the end of a suspicion
    if not crashed:
        yield "crash", 0
    elif not started:
        yield "start", 0


def explore(depth: int, settle_every: int = 1) -> tuple[int, int]:
    """Run all schedules of three members to a depth; count the states, and those run to convergence."""
    seen: set[Any] = set()
    states = converged = 0
    first = SmallFleet(3)
    first.run_without_faults(3 * SECOND)  # all have joined
    first.views["b1"].table.suspect("b2", first.now, "b1")  # a suspicion is about to be gossiped
    first.step("b1", [])
    first.advance(300 * MS)
    stack = [(first, 0, False, False)]
    while stack:
        world, level, crashed, started = stack.pop()
        states += 1
        if level == depth:
            if states % settle_every == 0:
                converged += 1
                world.check_converged()
            continue
        for kind, number in possible_actions(world, crashed, started):
            after = copy.deepcopy(world)
            apply_action(after, kind, number)
            facts = tuple(
                (name, tuple(sorted((b.name, b.key) for b in view.table.beliefs.values())))
                for name, view in sorted(after.views.items())
            )
            mark = (facts, after.now, len(after.in_flight), tuple(one[:2] for one in after.in_flight), level)
            if mark not in seen:
                seen.add(mark)
                stack.append((after, level + 1, crashed or kind == "crash", started or kind == "start"))
    return states, converged


def test_exhaustive_exploration_of_three_members_to_depth_three() -> None:
    states, converged = explore(3)
    assert states > 100 and converged > 50


def plant_final_death(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bug: a death is final, whatever the incarnation of a refutation."""
    monkeypatch.setattr(
        Belief, "key",
        property(lambda b: (1 << 41 if b.phase >= Phase.DEAD else b.incarnation, b.phase, b.boot)),
    )  # fmt: skip


def plant_foreign_raise(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bug: a member that receives a suspicion raises the suspect's incarnation on its behalf."""
    original = table.Table.apply_state

    def raising(self: table.Table, state: MemberState, now: int, told_by: str) -> bool:
        if state.phase == Phase.SUSPECT:
            state = MemberState(state.name, state.boot, state.incarnation + 1, int(Phase.ALIVE))
        return original(self, state, now, told_by)

    monkeypatch.setattr(table.Table, "apply_state", raising)


@pytest.mark.parametrize("plant", [plant_final_death, plant_foreign_raise])
def test_planted_bugs_are_found_by_exploration_and_by_random_schedules(
    plant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        explore(3)
    # The examples differ with the set of loaded modules: there are enough to find the bug in any case.
    search = given(st.lists(ACTION, min_size=30, max_size=60), st.integers(3, 5), st.integers(0, 50))(
        converges
    )
    only = [HypothesisPhase.generate]
    search_settings = settings(max_examples=4000, deadline=None, database=None, derandomize=True, phases=only)
    with pytest.raises(AssertionError):
        search_settings(search)()


# --- invalid scripts ---


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("members: 1", "members is 1"),
        ("members: 4\nfaults: [{kind: kill, at: 1s, members: [b9]}]", "faults[0] (kill): members: no b9"),
        ("members: 4\nfaults: [{kind: split, at: 1s}]", "expected sides with split"),
        ("members: 4\nfaults: [{kind: join, at: 1s, members: [b1]}]", "expected members that are absent"),
        ("members: 4\nfaults: [{kind: pause, at: 28s}]", "expected a length of at least 53 s"),
    ],
)
def test_invalid_script_is_rejected_with_place_and_value(change: str, message: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(f"about: x\n{change}\n", FleetScript, "script.yaml")
    assert message in str(error.value)
