"""A subscriber that goes back a revision, applies one by half, sticks to a bad relay, or loses its way."""

import pytest

from quincepath.fleet.configuration.applier import MAX_HELD_DELTAS, Applier
from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.messages import (
    PIECE_BYTES,
    Ack,
    Body,
    Busy,
    Deltas,
    FetchPieces,
    Heartbeat,
    Nack,
    Redirect,
    SnapshotPiece,
    Subscribe,
    Unsubscribe,
    encode_body,
    pack,
)
from quincepath.fleet.configuration.ports import Received
from quincepath.fleet.configuration.relay_chooser import (
    FAILBACK_INTERVAL_NS,
    RELAY_TIMEOUT_NS,
    SEARCH_INTERVAL_NS,
)
from quincepath.fleet.configuration.relay_preference import MS, RelayLocation, rank_relays
from quincepath.fleet.configuration.snapshots import Image, make_image
from quincepath.fleet.configuration.table import Rules
from tests.fleet.configuration.builders import node, tenant, weights
from tests.fleet.configuration.harness import FLEET, PLACES, SubscriberEnd, events


def deltas(*found: Delta, newest: int = 0) -> Deltas:
    return Deltas(found[0].revision, max(newest, found[-1].revision), found)


def pieces(image: Image) -> list[Body]:
    return [image.piece(offset) for offset in range(0, len(image.data), PIECE_BYTES)]


def asked(messages: list[tuple[str, Body]]) -> list[str]:
    return [to for to, body in messages if isinstance(body, Subscribe)]


def until_asked(end: SubscriberEnd, relay: str, age: int, most_ms: int) -> list[str]:
    """Whom it asks first, while ``relay`` says each half second that its news are so old; nobody: empty."""
    for _ in range(most_ms // 50):
        if end.now % (500 * MS) < 50 * MS:
            end.hear(relay, Heartbeat(0, age))
        found = asked(end.wait(50))
        if found:
            return found
    return []


# --- revisions ---


def test_deltas_are_not_applied_or_not_acknowledged() -> None:
    end = SubscriberEnd()
    relay = end.served()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    assert end.hear(relay, deltas(one)) == [(relay, Ack(1, 1))]
    assert end.hear(relay, deltas(two, three)) == [(relay, Ack(3, 3))]
    assert end.applied() == [1, 3]
    assert end.subscriber.applier.table.values == {"tenant/a": tenant("a", 3.0)}


def test_doubled_or_late_deltas_take_a_revision_back() -> None:
    end = SubscriberEnd()
    relay = end.served()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    end.hear(relay, deltas(one, two), deltas(one), deltas(two, three), deltas(one, two, three))
    assert end.applied() == [2, 3]


def test_a_gap_is_jumped_or_never_filled() -> None:
    end = SubscriberEnd()
    relay = end.served()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    end.hear(relay, deltas(one))
    end.wait(700)
    assert end.hear(relay, deltas(three)) == [(relay, Subscribe(1, 1))]
    assert end.applied() == [1]
    assert end.hear(relay, deltas(three)) == []  # it was asked for a moment ago
    end.hear(relay, deltas(two, three))
    assert end.applied() == [1, 3]


def test_what_the_relay_has_more_is_never_asked_for() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.hear(relay, deltas(weights("a", 1.0)[0]))
    assert end.hear(relay, Heartbeat(5, 0)) == []  # the deltas are on their way, perhaps
    end.wait(1000)
    assert end.hear(relay, Heartbeat(5, 0)) == [(relay, Subscribe(1, 1))]


def test_a_delta_of_a_strange_old_value_is_applied() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.hear(relay, deltas(weights("a", 1.0)[0]))
    end.wait(700)
    strange = Delta(2, (Edit("tenant/a", tenant("a", 9.0), tenant("a", 3.0)),))
    assert end.hear(relay, deltas(strange)) == [(relay, Subscribe(1, 1, snapshot=True))]
    assert end.applied() == [1]
    assert "differs from the log" in events(end.outputs)[-1]
    image = make_image(2, {"tenant/a": tenant("a", 3.0)})
    assert end.hear(relay, *pieces(image)) == [(relay, Ack(2, 2))]
    assert end.applied() == [1, 2]


# --- refusals ---


def test_a_revision_that_cannot_be_in_force_is_applied_or_stops_what_mends_it() -> None:
    end = SubscriberEnd(Rules(frozenset({frozenset({"s1"})})))
    relay = end.served()
    end.hear(relay, deltas(weights("a", 1.0)[0]))
    bad = Delta(
        2, (Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)), Edit("node/n", None, node("n", 1, ("s2",))))
    )
    [(_, nack)] = end.hear(relay, deltas(bad))
    assert isinstance(nack, Nack)
    assert (nack.revision, nack.received, nack.refused, nack.resource) == (1, 2, 2, "node/n")
    assert "s2; expected a whole replica set" in nack.reason
    assert end.applied() == [1] and end.subscriber.applier.table.values == {"tenant/a": tenant("a", 1.0)}
    assert end.subscriber.status(end.now).refused
    worse = Delta(3, (Edit("node/m", None, node("m", 2, ("s2",))),))
    [(_, nack)] = end.hear(relay, deltas(worse))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (1, 3, 2)
    mended = Delta(
        4, (Edit("node/n", node("n", 1, ("s2",)), node("n", 1)), Edit("node/m", node("m", 2, ("s2",)), None))
    )
    assert end.hear(relay, deltas(mended)) == [(relay, Ack(4, 4))]
    assert end.applied() == [1, 4]
    assert len([text for text in events(end.outputs) if "refused" in text]) == 1


def test_good_revisions_before_a_bad_one_wait_for_it() -> None:
    end = SubscriberEnd()
    relay = end.served()
    one, two = weights("a", 1.0, 2.0)
    bad = Delta(3, (Edit("tenant/b", None, tenant("b", 5000.0)),))
    [(_, nack)] = end.hear(relay, deltas(one, two, bad))
    assert end.applied() == [2]
    assert isinstance(nack, Nack) and (nack.revision, nack.refused, nack.resource) == (2, 3, "tenant/b")
    assert "less than or equal to 100" in nack.reason


def test_a_resource_of_an_unknown_kind_is_taken() -> None:
    end = SubscriberEnd()
    relay = end.served()
    [(_, nack)] = end.hear(relay, deltas(Delta(1, (Edit("pool/x", None, b"\x80"),))))
    assert isinstance(nack, Nack) and "expected one of class, list, node, tenant" in nack.reason


def test_deltas_after_a_refused_one_are_held_without_end() -> None:
    applier = Applier()
    bad = Delta(1, (Edit("tenant/b", None, tenant("b", 5000.0)),))
    assert applier.hold([bad]) and applier.apply_held() is None
    for delta in weights("a", *(1.0 + number % 2 for number in range(MAX_HELD_DELTAS + 5))):
        later = Delta(delta.revision + 1, delta.edits)
        if not applier.hold([later]):
            break
    assert applier.needs_snapshot and applier.received == 0 and later.revision == MAX_HELD_DELTAS + 1
    assert applier.apply_snapshot(make_image(2000, {"tenant/a": tenant("a", 1.0)}))
    assert applier.revision == 2000 and not applier.needs_snapshot and applier.refused is None


# --- snapshots ---


def many(count: int) -> dict[str, bytes]:
    return {
        f"node/{name}": node(name, 1 + at) for at in range(count) if (name := f"n{at}-{at * 7919 % 99991}")
    }


def test_a_snapshot_in_pieces_is_applied_by_half_or_not_fetched_on() -> None:
    end = SubscriberEnd()
    relay = end.served()
    values = many(20_000)
    image = make_image(9, values)
    parts = pieces(image)
    assert len(parts) > 3
    end.hear(relay, parts[0], parts[2], parts[0])  # the second is lost
    assert not end.applied()
    told = [body for _, body in end.wait(700)]
    assert FetchPieces(9, PIECE_BYTES) in told
    said = end.hear(relay, *parts[1:])
    assert said[-1] == (relay, Ack(9, 9))
    assert end.applied() == [9] and end.subscriber.applier.table.values == values


def test_another_relay_that_does_not_answer_ends_a_snapshot() -> None:
    end = SubscriberEnd()
    relay = end.served()
    parts = pieces(make_image(9, many(20_000)))
    [other] = until_asked(end, relay, 9000, 2000)
    end.hear(relay, parts[0])
    end.hear(other, parts[0], parts[1])  # of another's snapshot nothing is taken
    end.lose(other)
    assert end.hear(relay, *parts[1:])[-1] == (relay, Ack(9, 9))


def test_pieces_that_come_before_the_first_heartbeat_are_lost() -> None:
    end = SubscriberEnd()
    [relay] = asked(end.wait(300))
    assert end.hear(relay, *pieces(make_image(9, many(10))), Heartbeat(9, 0)) == [(relay, Ack(9, 9))]
    end = SubscriberEnd()
    [relay] = asked(end.wait(300))
    parts = pieces(make_image(9, many(20_000)))
    end.hear(relay, parts[0])
    end.lose(relay)  # the next relay's snapshot begins from its first piece
    [other] = asked(end.wait(400))
    end.hear(other, Heartbeat(9, 0), *parts[1:])
    assert end.applied() == []
    end.hear(other, *parts)
    assert end.applied() == [9]


def test_the_next_window_of_a_snapshot_is_not_asked_for() -> None:
    end = SubscriberEnd()
    relay = end.served()
    total = 20 * PIECE_BYTES
    for place in range(8):
        said = end.hear(relay, SnapshotPiece(5, place * PIECE_BYTES, total, b"x" * PIECE_BYTES))
    assert said == [(relay, FetchPieces(5, 8 * PIECE_BYTES))]


def test_a_torn_snapshot_is_applied_or_asked_for_without_pause() -> None:
    end = SubscriberEnd()
    relay = end.served()
    image = make_image(9, many(10))
    torn = image.data[:-9] + b"123456789"
    [(_, nack)] = end.hear(relay, SnapshotPiece(9, 0, len(torn), torn))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 0, 9)
    assert not end.applied() and "expected a readable snapshot" in nack.reason
    end.wait(1000)
    assert not asked(end.hear(relay, Heartbeat(9, 0)))


def test_an_older_snapshot_takes_a_revision_back() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.hear(relay, deltas(*weights("a", 1.0, 2.0, 3.0)))
    assert end.hear(relay, *pieces(make_image(2, {}))) == []
    assert end.applied() == [3]


def test_deltas_held_beyond_a_snapshot_are_lost() -> None:
    applier = Applier()
    bad = Delta(1, (Edit("tenant/b", None, tenant("b", 5000.0)),))
    good = Delta(2, (Edit("tenant/a", None, tenant("a", 1.0)),))
    assert applier.hold([bad, good]) and applier.apply_held() is None
    found = applier.apply_snapshot(make_image(1, {"tenant/b": tenant("b", 5.0)}))
    assert found and found.revision == 2 and applier.refused is None
    assert set(applier.table.values) == {"tenant/a", "tenant/b"}


def test_a_refused_snapshot_waits_for_another_where_a_delta_mends_it() -> None:
    end = SubscriberEnd(Rules(frozenset({frozenset({"s1"})})))
    relay = end.served()
    values = {"tenant/a": tenant("a", 1.0), "node/n": node("n", 1, ("s2",))}
    [(_, nack)] = end.hear(relay, *pieces(make_image(7, values)))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 7, 7)
    assert nack.resource == "node/n" and not end.applied()
    [(_, nack)] = end.hear(relay, deltas(Delta(8, (Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)),))))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 8, 7)
    mended = Delta(9, (Edit("node/n", node("n", 1, ("s2",)), node("n", 1)),))
    assert end.hear(relay, deltas(mended)) == [(relay, Ack(9, 9))]
    assert end.applied() == [9]
    assert end.subscriber.applier.table.values == {"tenant/a": tenant("a", 2.0), "node/n": node("n", 1)}


def test_a_delta_that_does_not_fit_a_held_snapshot_is_applied() -> None:
    applier = Applier()
    assert applier.apply_snapshot(make_image(7, {"tenant/b": tenant("b", 5000.0)})) is None
    assert applier.hold([Delta(8, (Edit("tenant/b", tenant("b", 1.0), None),))])
    assert applier.apply_held() is None and applier.needs_snapshot and applier.received == 0


# --- the relay ---


def test_a_broker_asks_a_far_relay_first_or_all_ask_one() -> None:
    places = [RelayLocation(f"r{number}", "east" if number < 5 else "west") for number in range(10)]
    firsts = []
    for number in range(1000):
        order = rank_relays(f"b{number}", "east", places)
        assert sorted(order) == sorted(place.name for place in places)
        assert set(order[:5]) == {place.name for place in places[:5]}
        firsts.append(order[0])
    assert max(firsts.count(name) for name in set(firsts)) < 260
    fewer = [place for place in places if place.name != "r2"]
    for number in range(1000):
        if firsts[number] != "r2":
            assert rank_relays(f"b{number}", "east", fewer)[0] == firsts[number]


def test_a_relay_that_does_not_answer_is_waited_for() -> None:
    end = SubscriberEnd()
    order = asked(end.wait(10_000))
    assert order[:3] == list(end.subscriber.chooser.order)
    assert 8 <= len(order) <= 16  # again and again, with pauses
    assert end.subscriber.status(end.now).age_ms == -1


def test_a_silent_relay_is_kept() -> None:
    end = SubscriberEnd()
    relay = end.served()
    told = end.wait(RELAY_TIMEOUT_NS // MS - 400)
    assert not asked(told)
    told = end.wait(800)
    assert (relay, Unsubscribe()) in told
    [other] = asked(told)
    assert other != relay
    end.hear(other, Heartbeat(0, 0))
    assert end.subscriber.chooser.current == other
    assert end.hear(relay, deltas(weights("a", 1.0)[0])) == []  # it wakes up: served no more
    assert not end.applied()


def test_a_lost_relay_is_mourned_until_it_is_silent() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.lose(relay)
    assert asked(end.wait(250)) == [end.subscriber.chooser.order[1]]


def test_a_full_or_closing_relay_is_asked_on() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.hear(relay, Busy(True))
    [other] = asked(end.wait(250))
    end.hear(other, Busy(True))
    assert asked(end.wait(400)) == [end.subscriber.chooser.order[2]]
    end = SubscriberEnd()
    relay = end.served()
    wanted = end.subscriber.chooser.order[2]
    end.hear(relay, Redirect(wanted))
    assert asked(end.wait(250)) == [wanted]


def test_a_relay_that_lags_behind_this_broker_is_kept_though_a_better_one_answers() -> None:
    end = SubscriberEnd()
    relay = end.served()
    end.hear(relay, deltas(*weights("a", 1.0, 2.0)))
    end.lose(relay)
    [second] = asked(end.wait(250))
    end.hear(second, Heartbeat(1, 100))  # it has less than this broker
    assert end.subscriber.chooser.current == second and end.subscriber.applier.revision == 2
    [third] = asked(end.wait(250))
    assert third not in (relay, second)
    told = end.hear(third, Heartbeat(2, 100))
    assert end.subscriber.chooser.current == third and (second, Unsubscribe()) in told
    assert end.applied() == [2]


def test_a_relay_with_old_news_is_left_for_one_that_is_no_better() -> None:
    end = SubscriberEnd()
    relay = end.served()
    tried = []
    for _ in range(2):
        [other] = until_asked(end, relay, 5000, 3000)
        tried.append(other)
        assert (other, Unsubscribe()) in end.hear(other, Heartbeat(0, 6000))
    assert sorted([relay, *tried]) == ["r1", "r2", "r3"]
    assert end.subscriber.chooser.current == relay
    # All are old: this region is cut off. Others are asked again after long only.
    assert until_asked(end, relay, 9000, SEARCH_INTERVAL_NS // 2 // MS - 200) == []
    assert until_asked(end, relay, 9000, SEARCH_INTERVAL_NS // MS + 400)


def test_a_broker_never_goes_home_or_leaves_before_home_serves() -> None:
    end = SubscriberEnd()
    home = end.served()
    assert home == end.subscriber.chooser.order[0]
    end.lose(home)
    [other] = asked(end.wait(250))
    end.hear(other, Heartbeat(0, 0))
    tried = until_asked(end, other, 0, FAILBACK_INTERVAL_NS * 3 // 2 // MS + 200)
    assert tried == [home] and end.subscriber.chooser.current == other
    end.hear(home, Heartbeat(0, 0))
    assert end.subscriber.chooser.current == home


def test_a_single_relay_with_old_news_keeps_the_loop_busy() -> None:
    end = SubscriberEnd(places=PLACES[:1])
    relay = end.served()
    steps = 0
    for _ in range(10):
        end.hear(relay, Heartbeat(0, 60_000))
        end.wait(900)
        steps += 1
        assert end.subscriber.due > end.now
    assert end.subscriber.chooser.current == relay


def test_no_relay_is_configured() -> None:
    with pytest.raises(ValueError, match="expected at least one"):
        SubscriberEnd(places=[])


def test_a_broker_says_nothing_for_so_long_that_its_relay_forgets_it() -> None:
    end = SubscriberEnd()
    relay = end.served()
    acks = []
    for _ in range(20):
        end.hear(relay, Heartbeat(0, 0))
        acks += [body for _, body in end.wait(500) if isinstance(body, Ack)]
    assert len(acks) == 3


# --- bad messages ---


def test_messages_of_strangers_or_of_no_sense_are_heard() -> None:
    end = SubscriberEnd()
    relay = end.served()
    body = encode_body(deltas(weights("a", 1.0)[0]))
    for data in (
        b"",
        b"\xc1C",
        b"\xc1C\x90",
        b"\xc1C" + b"x" * 500_000,
        pack(FLEET, relay, 1, "b1", body)[2:],
    ):
        end.step(Received(relay, data))
    end.step(Received(relay, pack("other", relay, 1, "b1", body)))
    end.step(Received(relay, pack(FLEET, relay, 1, "b2", body)))
    end.step(Received("zz", pack(FLEET, "zz", 1, "b1", body)))
    end.step(Received(relay, pack(FLEET, "r3", 1, "b1", body)))
    end.hear(relay, Ack(1, 1))
    assert not end.applied()
    assert dict(end.subscriber.dropped) == {
        "unreadable": 4, "too large": 1, "wrong fleet": 1, "wrong name": 1, "unknown member": 2,
        "unknown kind": 1,
    }  # fmt: skip
