"""A view stays settled under datagram loss: repeated pings, pings by TCP, rechecks of differing digests."""

from typing import Any

import msgspec
import pytest

from benchmarks.fleet_settled import BEFORE, one_calm, one_kill
from quincepath.fleet.messages import Ack, Envelope, ExchangeRequest, Nack, Ping, PingReq, body_of, pack
from quincepath.fleet.view.anti_entropy import AntiEntropy
from quincepath.fleet.view.core import (
    CloseConnection,
    ConnectionAccepted,
    ConnectionClosed,
    DatagramReceived,
    FrameReceived,
    OpenConnection,
    Output,
    SendFrame,
    View,
)
from quincepath.fleet.view.exchange import MAX_PROBE_CONNECTIONS, Exchanges
from quincepath.fleet.view.facts import MS, SECOND, Phase, ViewSettings
from quincepath.fleet.view.failure_detector import FailureDetector
from quincepath.fleet.view.probing import NEVER, Probe, Prober
from quincepath.lab.fleet.links import FIRST_RESEND, RESEND, RESENDS_MOST, Ways
from quincepath.lab.fleet.script import Links
from quincepath.lab.fleet.virtual import Virtual
from tests.test_fleet_view import SingleMember, fleet_script, sent_messages

NINE_LOSSY: tuple[int, float, dict[str, Any], int] = (9, 0.08, {}, 60)
MIN_SETTLED_SHARE = 0.99


def check_nine_stay_settled(seeds: int = 3) -> None:
    found = [one_calm((*NINE_LOSSY, seed)) for seed in range(seeds)]
    assert min(one["settled"] for one in found) >= MIN_SETTLED_SHARE
    assert sum(one["false_deaths"] for one in found) == 0


def check_fifty_settle_after_a_crash() -> None:
    for lose in (0.0, 0.05):
        _, known, settled = one_kill((50, lose, {}, 1))
        assert 0 < known < 5 and 0 < settled < 8


def test_nine_members_stay_settled_with_eight_percent_loss() -> None:
    check_nine_stay_settled()


def test_fifty_members_settle_within_seconds_after_a_crash() -> None:
    check_fifty_settle_after_a_crash()


def test_without_the_countermeasures_the_view_does_not_stay_settled() -> None:
    assert one_calm((9, 0.08, BEFORE, 60, 0))["settled"] < MIN_SETTLED_SHARE


def test_planted_probe_with_a_single_ping_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Prober.start_probe

    def once(self: Prober, target: str, now: int, in_round: bool) -> Probe:
        probe = begin(self, target, now, in_round)
        probe.next_ping_at = NEVER
        return probe

    monkeypatch.setattr(Prober, "start_probe", once)
    monkeypatch.setattr(FailureDetector, "_ping_by_connection", lambda self, probe: None)
    with pytest.raises(AssertionError):
        check_nine_stay_settled()


def test_planted_digest_that_is_never_rechecked_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Exchanges, "recheck_at", lambda self: 1 << 62)
    with pytest.raises(AssertionError):
        check_fifty_settle_after_a_crash()


# --- a single member ---


def sent_frames(out: list[Output], kind: type) -> list[tuple[int, Any]]:
    found = []
    for one in out:
        if isinstance(one, SendFrame):
            body = body_of(msgspec.msgpack.decode(one.data, type=Envelope))
            if isinstance(body, kind):
                found.append((one.connection, body))
    return found


def next_probe(one: SingleMember) -> tuple[str, int]:
    """The target and number of the next probe of the round."""
    for _ in range(200):
        pings = [(to, ping.number) for to, ping in sent_messages(one.run(5 * MS), Ping) if ping.number]
        if pings:
            return pings[0]
    raise AssertionError("no probe")


def test_ping_is_repeated_with_its_number_until_acked() -> None:
    one = SingleMember()
    one.hear_from_all()
    target, number = next_probe(one)
    again = sent_messages(one.run(100 * MS), Ping)
    assert again == [(target, Ping(number))]
    one.receive(target, Ack(number))
    assert (target, Ping(number)) not in sent_messages(one.run(400 * MS), Ping)


def test_ping_is_not_repeated_after_the_end_of_its_probe() -> None:
    one = SingleMember(stream=False)
    one.hear_from_all()
    target, number = next_probe(one)
    times = [to for to, ping in sent_messages(one.run(2 * SECOND), Ping) if ping.number == number]
    assert times == [target] * (one.settings.period // one.settings.again)


def test_target_is_pinged_over_tcp_with_the_indirect_probes_and_its_ack_clears_it() -> None:
    one = SingleMember()
    one.hear_from_all()
    target, number = next_probe(one)
    out = one.run(one.settings.ack_time)
    line = next(call.connection for call in out if isinstance(call, OpenConnection) and call.to == target)
    assert len(sent_messages(out, PingReq)) == 2 and sent_frames(out, Ping) == [(line, Ping(number))]
    ack = pack("lab", "b0", one.state(target), 0, 900, Ack(number))
    assert CloseConnection(line, True) in one.step(FrameReceived(line, ack))
    assert number not in one.view.prober.probes
    for _ in range(50):  # the other members answer
        one.answer_all_but(one.run(10 * MS), target)
    assert one.phase(target) is Phase.ALIVE


def test_ack_from_another_member_or_with_another_number_clears_nothing() -> None:
    one = SingleMember()
    one.hear_from_all()
    target, number = next_probe(one)
    out = one.run(one.settings.ack_time)
    line = next(call.connection for call in out if isinstance(call, OpenConnection) and call.to == target)
    for name, wrong in ((target, number + 1), ("b1" if target != "b1" else "b2", number)):
        one.step(FrameReceived(line, pack("lab", "b0", one.state(name), 0, 900, Ack(wrong))))
        assert number in one.view.prober.probes


def test_refused_probe_connection_suspects_nobody_and_is_no_failed_exchange() -> None:
    one = SingleMember()
    one.hear_from_all()
    target, number = next_probe(one)
    calls = [
        call
        for call in one.run(one.settings.ack_time)
        if isinstance(call, OpenConnection) and call.to == target
    ]
    failed = one.view.exchanges.failed
    one.step(ConnectionClosed(calls[-1].connection, "refused"))
    assert one.view.exchanges.failed == failed and one.phase(target) is Phase.ALIVE
    one.receive(target, Ack(number))  # a late ack to one of its pings
    one.run(one.settings.period)
    assert one.phase(target) is Phase.ALIVE


def test_probe_connections_are_bounded_and_do_not_count_as_exchanges() -> None:
    exchanges = SingleMember().view.exchanges
    lines = [exchanges.open_for_probe(f"b{n}", 7 + n, SECOND) for n in range(MAX_PROBE_CONNECTIONS + 3)]
    assert [line > 0 for line in lines] == [True] * MAX_PROBE_CONNECTIONS + [False] * 3
    assert exchanges.probes_skipped == 3 and exchanges.has_room("b1")


def test_ping_by_connection_is_acked_there_and_an_older_version_just_closes_it() -> None:
    one = SingleMember()
    one.hear_from_all()
    ping = pack("lab", "b0", one.state("b1"), 0, 900, Ping(44))
    one.step(ConnectionAccepted(-1))
    out = one.step(FrameReceived(-1, ping))
    assert sent_frames(out, Ack) == [(-1, Ack(44))] and CloseConnection(-1) in out

    class Older(View):
        _on_frame = AntiEntropy._on_frame  # a version that does not know pings by connection

    older = Older(ViewSettings("lab", "b0", ("b1", "b2")), 5, 5, one.now)
    out = older.step(one.now, [ConnectionAccepted(-1), FrameReceived(-1, ping)])
    assert CloseConnection(-1) in out and sent_frames(out, Ack) == [] and not older.dropped
    assert older.table.beliefs["b1"].phase is Phase.ALIVE


def test_member_with_a_differing_digest_is_pinged_until_it_agrees_or_is_gone() -> None:
    one = SingleMember(heal=3600 * SECOND)
    one.hear_from_all()  # each with the digest 0
    assert set(one.view.exchanges.differs_since) == {"b1", "b2", "b3"}
    asked = [to for to, ping in sent_messages(one.run(3 * SECOND), Ping) if not ping.number]
    assert set(asked) == {"b1", "b2", "b3"} and len(asked) <= 3 * SECOND // one.settings.recheck
    digest = one.view.table.digest
    for name in ("b1", "b2"):
        one.counts += 1
        data = pack("lab", "b0", one.state(name), digest, 1000 + one.counts, Nack(1))
        one.step(DatagramReceived(data))
    assert set(one.view.exchanges.differs_since) == {"b3"}
    one.receive("b3", None, me=one.state("b3", Phase.LEFT, 9))
    one.run(2 * SECOND)
    assert "b3" not in one.view.exchanges.digest_at


# --- the simulated network ---


def test_simulated_stream_delays_instead_of_losing() -> None:
    ways, calm = Ways(Links(lose=0.3), 1), Ways(Links(), 1)
    stands = [ways.connected("b0", "b1") for _ in range(2000)]
    comes = [ways.streamed("b0", "b1", 200) for _ in range(2000)]
    late = sum(wait >= FIRST_RESEND for wait in stands) / len(stands)
    assert abs(late - (1 - 0.7**2)) < 0.04
    assert abs(sum(wait >= RESEND for wait in comes) / len(comes) - 0.3) < 0.04
    assert max(stands) < FIRST_RESEND << RESENDS_MOST and max(comes) < FIRST_RESEND << RESENDS_MOST
    assert max(calm.connected("b0", "b1") for _ in range(2000)) < 50 * MS


def test_resent_data_does_not_cross_a_link_that_was_cut_meanwhile() -> None:
    world = Virtual(fleet_script(2, [], "20s"), 1, warm=True)
    world.run(SECOND)
    one = world.members["b0"]
    world._call(one, 900, "b1")
    world._frame(
        one, 900, pack("lab", "b1", one.view.own.belief(0).to_state(0), 0, 1 << 30, ExchangeRequest())
    )
    heard = world.members["b1"].view.table.last_heard["b0"]
    world.ways.way("b0", "b1").cut += 1
    world.run(3 * SECOND // 2)
    assert world.members["b1"].view.table.last_heard["b0"] == heard
    world.end("b1", False)
    world.ways.way("b0", "b1").cut -= 1
    seen: list[Any] = []
    deliver = world.deliver
    world.deliver = lambda place, item: (seen.append(item), deliver(place, item))[1]  # type: ignore
    world._call(one, 901, "b1")
    world.run(2 * SECOND)
    assert ConnectionClosed(901, "refused") in seen
