"""A view that stays settled though datagrams are lost: repeated pings, a line, old digests asked for."""

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
from quincepath.fleet.view.exchange import PROBES_MOST, Exchanges
from quincepath.fleet.view.facts import MS, SECOND, Phase, ViewSettings
from quincepath.fleet.view.failure_detector import FailureDetector
from quincepath.fleet.view.probing import NEVER, Probe, Prober
from quincepath.lab.fleet.links import FIRST_RESEND, RESEND, RESENDS_MOST, Ways
from quincepath.lab.fleet.script import Links
from quincepath.lab.fleet.virtual import Virtual
from tests.test_fleet_view import One, day, sent

NINE: tuple[int, float, dict[str, Any], int] = (9, 0.08, {}, 60)
AIM = 0.99


def nine_are_settled(seeds: int = 3) -> None:
    found = [one_calm((*NINE, seed)) for seed in range(seeds)]
    assert min(one["settled"] for one in found) >= AIM
    assert sum(one["false_deaths"] for one in found) == 0


def fifty_settle_after_a_crash() -> None:
    for lose in (0.0, 0.05):
        _, known, settled = one_kill((50, lose, {}, 1))
        assert 0 < known < 5 and 0 < settled < 8


def test_nine_that_lose_eight_in_a_hundred_stay_settled() -> None:
    nine_are_settled()


def test_fifty_are_settled_again_seconds_after_a_crash() -> None:
    fifty_settle_after_a_crash()


def test_the_program_without_what_keeps_it_settled_is_not() -> None:
    assert one_calm((9, 0.08, BEFORE, 60, 0))["settled"] < AIM


def test_a_planted_probe_of_one_ping_only_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Prober.begin

    def once(self: Prober, target: str, now: int, of_round: bool) -> Probe:
        probe = begin(self, target, now, of_round)
        probe.again_at = NEVER
        return probe

    monkeypatch.setattr(Prober, "begin", once)
    monkeypatch.setattr(FailureDetector, "_ping_by_connection", lambda self, probe: None)
    with pytest.raises(AssertionError):
        nine_are_settled()


def test_a_planted_old_word_that_stands_for_ever_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Exchanges, "ask_at", lambda self: 1 << 62)
    with pytest.raises(AssertionError):
        fifty_settle_after_a_crash()


# --- one member by itself ---


def frames(out: list[Output], kind: type) -> list[tuple[int, Any]]:
    found = []
    for one in out:
        if isinstance(one, SendFrame):
            body = body_of(msgspec.msgpack.decode(one.data, type=Envelope))
            if isinstance(body, kind):
                found.append((one.connection, body))
    return found


def probed(one: One) -> tuple[str, int]:
    """The target and number of the next probe of the round."""
    for _ in range(200):
        pings = [(to, ping.number) for to, ping in sent(one.run(5 * MS), Ping) if ping.number]
        if pings:
            return pings[0]
    raise AssertionError("no probe")


def test_a_ping_goes_out_again_with_its_number_until_it_is_answered() -> None:
    one = One()
    one.meet_all()
    target, number = probed(one)
    again = sent(one.run(100 * MS), Ping)
    assert again == [(target, Ping(number))]
    one.says(target, Ack(number))
    assert (target, Ping(number)) not in sent(one.run(400 * MS), Ping)


def test_no_ping_goes_out_again_after_the_end_of_its_probe() -> None:
    one = One(stream=False)
    one.meet_all()
    target, number = probed(one)
    times = [to for to, ping in sent(one.run(2 * SECOND), Ping) if ping.number == number]
    assert times == [target] * (one.settings.period // one.settings.again)


def test_a_target_is_asked_on_a_line_with_the_helpers_and_its_answer_there_clears_it() -> None:
    one = One()
    one.meet_all()
    target, number = probed(one)
    out = one.run(one.settings.ack_time)
    line = next(call.connection for call in out if isinstance(call, OpenConnection) and call.to == target)
    assert len(sent(out, PingReq)) == 2 and frames(out, Ping) == [(line, Ping(number))]
    ack = pack("lab", "b0", one.about(target), 0, 900, Ack(number))
    assert CloseConnection(line, True) in one.feed(FrameReceived(line, ack))
    assert number not in one.view.prober.probes
    for _ in range(50):  # the others answer
        one.answer(one.run(10 * MS), target)
    assert one.phase(target) is Phase.ALIVE


def test_an_answer_on_another_line_or_of_another_number_clears_nothing() -> None:
    one = One()
    one.meet_all()
    target, number = probed(one)
    out = one.run(one.settings.ack_time)
    line = next(call.connection for call in out if isinstance(call, OpenConnection) and call.to == target)
    for name, wrong in ((target, number + 1), ("b1" if target != "b1" else "b2", number)):
        one.feed(FrameReceived(line, pack("lab", "b0", one.about(name), 0, 900, Ack(wrong))))
        assert number in one.view.prober.probes


def test_a_line_that_is_refused_accuses_nobody_and_counts_as_no_exchange() -> None:
    one = One()
    one.meet_all()
    target, number = probed(one)
    calls = [
        call
        for call in one.run(one.settings.ack_time)
        if isinstance(call, OpenConnection) and call.to == target
    ]
    failed = one.view.exchanges.failed
    one.feed(ConnectionClosed(calls[-1].connection, "refused"))
    assert one.view.exchanges.failed == failed and one.phase(target) is Phase.ALIVE
    one.says(target, Ack(number))  # a late answer to one of its pings
    one.run(one.settings.period)
    assert one.phase(target) is Phase.ALIVE


def test_lines_for_probes_are_bounded_and_take_no_room_from_exchanges() -> None:
    exchanges = One().view.exchanges
    lines = [exchanges.ask(f"b{n}", 7 + n, SECOND) for n in range(PROBES_MOST + 3)]
    assert [line > 0 for line in lines] == [True] * PROBES_MOST + [False] * 3
    assert exchanges.unasked == 3 and exchanges.room("b1")


def test_a_ping_on_a_line_is_answered_there_and_an_older_program_hangs_up_without_harm() -> None:
    one = One()
    one.meet_all()
    ping = pack("lab", "b0", one.about("b1"), 0, 900, Ping(44))
    one.feed(ConnectionAccepted(-1))
    out = one.feed(FrameReceived(-1, ping))
    assert frames(out, Ack) == [(-1, Ack(44))] and CloseConnection(-1) in out

    class Older(View):
        _on_frame = AntiEntropy._on_frame  # as it was before it knew of pings on lines

    older = Older(ViewSettings("lab", "b0", ("b1", "b2")), 5, 5, one.now)
    out = older.step(one.now, [ConnectionAccepted(-1), FrameReceived(-1, ping)])
    assert CloseConnection(-1) in out and frames(out, Ack) == [] and not older.dropped
    assert older.table.beliefs["b1"].phase is Phase.ALIVE


def test_one_that_held_another_view_is_asked_again_until_it_agrees_or_is_gone() -> None:
    one = One(heal=3600 * SECOND)
    one.meet_all()  # each with a digest of 0
    assert set(one.view.exchanges.differs) == {"b1", "b2", "b3"}
    asked = [to for to, ping in sent(one.run(3 * SECOND), Ping) if not ping.number]
    assert set(asked) == {"b1", "b2", "b3"} and len(asked) <= 3 * SECOND // one.settings.recheck
    digest = one.view.table.digest
    for name in ("b1", "b2"):
        one.counts += 1
        data = pack("lab", "b0", one.about(name), digest, 1000 + one.counts, Nack(1))
        one.feed(DatagramReceived(data))
    assert set(one.view.exchanges.differs) == {"b3"}
    one.says("b3", None, me=one.about("b3", Phase.LEFT, 9))
    one.run(2 * SECOND)
    assert "b3" not in one.view.exchanges.said


# --- the network of the lab ---


def test_a_stream_is_late_where_a_datagram_is_lost_and_never_lost() -> None:
    ways, calm = Ways(Links(lose=0.3), 1), Ways(Links(), 1)
    stands = [ways.connected("b0", "b1") for _ in range(2000)]
    comes = [ways.streamed("b0", "b1", 200) for _ in range(2000)]
    late = sum(wait >= FIRST_RESEND for wait in stands) / len(stands)
    assert abs(late - (1 - 0.7**2)) < 0.04
    assert abs(sum(wait >= RESEND for wait in comes) / len(comes) - 0.3) < 0.04
    assert max(stands) < FIRST_RESEND << RESENDS_MOST and max(comes) < FIRST_RESEND << RESENDS_MOST
    assert max(calm.connected("b0", "b1") for _ in range(2000)) < 50 * MS


def test_what_is_sent_again_does_not_come_over_a_way_that_is_cut_meanwhile() -> None:
    world = Virtual(day(2, [], "20s"), 1, warm=True)
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
