"""The subscriber: revisions, refusals, snapshots, the choice of a relay, and invalid messages."""

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
from tests.fleet.configuration.harness import FLEET, RELAYS, SubscriberHarness, events


def deltas(*found: Delta, newest: int = 0) -> Deltas:
    return Deltas(found[0].revision, max(newest, found[-1].revision), found)


def pieces(image: Image) -> list[Body]:
    return [image.piece(offset) for offset in range(0, len(image.data), PIECE_BYTES)]


def subscribed_relays(messages: list[tuple[str, Body]]) -> list[str]:
    return [to for to, body in messages if isinstance(body, Subscribe)]


def advance_until_subscribe(harness: SubscriberHarness, relay: str, age: int, max_ms: int) -> list[str]:
    """The first relay that is tried while ``relay`` reports this age each half second; empty: none."""
    for _ in range(max_ms // 50):
        if harness.now % (500 * MS) < 50 * MS:
            harness.receive(relay, Heartbeat(0, age))
        found = subscribed_relays(harness.advance(50))
        if found:
            return found
    return []


# --- revisions ---


def test_deltas_are_applied_and_acknowledged() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    assert harness.receive(relay, deltas(one)) == [(relay, Ack(1, 1))]
    assert harness.receive(relay, deltas(two, three)) == [(relay, Ack(3, 3))]
    assert harness.applied_revisions() == [1, 3]
    assert harness.subscriber.applier.table.values == {"tenant/a": tenant("a", 3.0)}


def test_duplicate_or_late_deltas_do_not_lower_the_revision() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    harness.receive(relay, deltas(one, two), deltas(one), deltas(two, three), deltas(one, two, three))
    assert harness.applied_revisions() == [2, 3]


def test_a_gap_is_requested_and_filled() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    one, two, three = weights("a", 1.0, 2.0, 3.0)
    harness.receive(relay, deltas(one))
    harness.advance(700)
    assert harness.receive(relay, deltas(three)) == [(relay, Subscribe(1, 1))]
    assert harness.applied_revisions() == [1]
    assert harness.receive(relay, deltas(three)) == []  # it was requested a moment ago
    harness.receive(relay, deltas(two, three))
    assert harness.applied_revisions() == [1, 3]


def test_newer_revisions_of_the_relay_are_requested() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.receive(relay, deltas(weights("a", 1.0)[0]))
    assert harness.receive(relay, Heartbeat(5, 0)) == []  # the deltas may be in flight
    harness.advance(1000)
    assert harness.receive(relay, Heartbeat(5, 0)) == [(relay, Subscribe(1, 1))]


def test_a_delta_with_a_wrong_old_value_leads_to_a_snapshot() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.receive(relay, deltas(weights("a", 1.0)[0]))
    harness.advance(700)
    diverged = Delta(2, (Edit("tenant/a", tenant("a", 9.0), tenant("a", 3.0)),))
    assert harness.receive(relay, deltas(diverged)) == [(relay, Subscribe(1, 1, snapshot=True))]
    assert harness.applied_revisions() == [1]
    assert "differs from the log" in events(harness.outputs)[-1]
    image = make_image(2, {"tenant/a": tenant("a", 3.0)})
    assert harness.receive(relay, *pieces(image)) == [(relay, Ack(2, 2))]
    assert harness.applied_revisions() == [1, 2]


# --- refusals ---


def test_an_invalid_revision_is_refused_until_a_later_one_corrects_it() -> None:
    harness = SubscriberHarness(Rules(frozenset({frozenset({"s1"})})))
    relay = harness.connect()
    harness.receive(relay, deltas(weights("a", 1.0)[0]))
    bad = Delta(
        2, (Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)), Edit("node/n", None, node("n", 1, ("s2",))))
    )
    [(_, nack)] = harness.receive(relay, deltas(bad))
    assert isinstance(nack, Nack)
    assert (nack.revision, nack.received, nack.refused, nack.resource) == (1, 2, 2, "node/n")
    assert "s2; expected a whole replica set" in nack.reason
    assert harness.applied_revisions() == [1] and harness.subscriber.applier.table.values == {
        "tenant/a": tenant("a", 1.0)
    }
    assert harness.subscriber.status(harness.now).refused
    also_bad = Delta(3, (Edit("node/m", None, node("m", 2, ("s2",))),))
    [(_, nack)] = harness.receive(relay, deltas(also_bad))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (1, 3, 2)
    corrected = Delta(
        4, (Edit("node/n", node("n", 1, ("s2",)), node("n", 1)), Edit("node/m", node("m", 2, ("s2",)), None))
    )
    assert harness.receive(relay, deltas(corrected)) == [(relay, Ack(4, 4))]
    assert harness.applied_revisions() == [1, 4]
    assert len([text for text in events(harness.outputs) if "refused" in text]) == 1


def test_valid_revisions_before_an_invalid_one_are_applied() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    one, two = weights("a", 1.0, 2.0)
    bad = Delta(3, (Edit("tenant/b", None, tenant("b", 5000.0)),))
    [(_, nack)] = harness.receive(relay, deltas(one, two, bad))
    assert harness.applied_revisions() == [2]
    assert isinstance(nack, Nack) and (nack.revision, nack.refused, nack.resource) == (2, 3, "tenant/b")
    assert "less than or equal to 100" in nack.reason


def test_a_resource_of_an_unknown_kind_is_refused() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    [(_, nack)] = harness.receive(relay, deltas(Delta(1, (Edit("pool/x", None, b"\x80"),))))
    assert isinstance(nack, Nack) and "expected one of class, list, node, tenant" in nack.reason


def test_the_deltas_held_after_a_refused_one_are_bounded() -> None:
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


def many_nodes(count: int) -> dict[str, bytes]:
    return {
        f"node/{name}": node(name, 1 + at) for at in range(count) if (name := f"n{at}-{at * 7919 % 99991}")
    }


def test_a_snapshot_with_a_lost_piece_is_fetched_again_and_applied_whole() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    values = many_nodes(20_000)
    image = make_image(9, values)
    parts = pieces(image)
    assert len(parts) > 3
    harness.receive(relay, parts[0], parts[2], parts[0])  # the second piece is lost
    assert not harness.applied_revisions()
    messages = [body for _, body in harness.advance(700)]
    assert FetchPieces(9, PIECE_BYTES) in messages
    replies = harness.receive(relay, *parts[1:])
    assert replies[-1] == (relay, Ack(9, 9))
    assert harness.applied_revisions() == [9] and harness.subscriber.applier.table.values == values


def test_trying_another_relay_does_not_interrupt_a_snapshot() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    parts = pieces(make_image(9, many_nodes(20_000)))
    [other] = advance_until_subscribe(harness, relay, 9000, 2000)
    harness.receive(relay, parts[0])
    harness.receive(other, parts[0], parts[1])  # a snapshot of the candidate is ignored
    harness.lose_connection(other)
    assert harness.receive(relay, *parts[1:])[-1] == (relay, Ack(9, 9))


def test_pieces_before_the_first_heartbeat_are_accepted() -> None:
    harness = SubscriberHarness()
    [relay] = subscribed_relays(harness.advance(300))
    assert harness.receive(relay, *pieces(make_image(9, many_nodes(10))), Heartbeat(9, 0)) == [
        (relay, Ack(9, 9))
    ]
    harness = SubscriberHarness()
    [relay] = subscribed_relays(harness.advance(300))
    parts = pieces(make_image(9, many_nodes(20_000)))
    harness.receive(relay, parts[0])
    harness.lose_connection(relay)  # the next relay's snapshot starts with its first piece
    [other] = subscribed_relays(harness.advance(400))
    harness.receive(other, Heartbeat(9, 0), *parts[1:])
    assert harness.applied_revisions() == []
    harness.receive(other, *parts)
    assert harness.applied_revisions() == [9]


def test_the_next_window_of_a_snapshot_is_requested() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    total = 20 * PIECE_BYTES
    for place in range(8):
        replies = harness.receive(relay, SnapshotPiece(5, place * PIECE_BYTES, total, b"x" * PIECE_BYTES))
    assert replies == [(relay, FetchPieces(5, 8 * PIECE_BYTES))]


def test_a_corrupt_snapshot_is_refused_and_requested_after_a_pause() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    image = make_image(9, many_nodes(10))
    corrupt = image.data[:-9] + b"123456789"
    [(_, nack)] = harness.receive(relay, SnapshotPiece(9, 0, len(corrupt), corrupt))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 0, 9)
    assert not harness.applied_revisions() and "expected a readable snapshot" in nack.reason
    harness.advance(1000)
    assert not subscribed_relays(harness.receive(relay, Heartbeat(9, 0)))


def test_an_older_snapshot_is_ignored() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.receive(relay, deltas(*weights("a", 1.0, 2.0, 3.0)))
    assert harness.receive(relay, *pieces(make_image(2, {}))) == []
    assert harness.applied_revisions() == [3]


def test_deltas_held_beyond_a_snapshot_are_applied_after_it() -> None:
    applier = Applier()
    bad = Delta(1, (Edit("tenant/b", None, tenant("b", 5000.0)),))
    good = Delta(2, (Edit("tenant/a", None, tenant("a", 1.0)),))
    assert applier.hold([bad, good]) and applier.apply_held() is None
    found = applier.apply_snapshot(make_image(1, {"tenant/b": tenant("b", 5.0)}))
    assert found and found.revision == 2 and applier.refused is None
    assert set(applier.table.values) == {"tenant/a", "tenant/b"}


def test_a_refused_snapshot_is_applied_once_a_delta_corrects_it() -> None:
    harness = SubscriberHarness(Rules(frozenset({frozenset({"s1"})})))
    relay = harness.connect()
    values = {"tenant/a": tenant("a", 1.0), "node/n": node("n", 1, ("s2",))}
    [(_, nack)] = harness.receive(relay, *pieces(make_image(7, values)))
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 7, 7)
    assert nack.resource == "node/n" and not harness.applied_revisions()
    [(_, nack)] = harness.receive(
        relay, deltas(Delta(8, (Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)),)))
    )
    assert isinstance(nack, Nack) and (nack.revision, nack.received, nack.refused) == (0, 8, 7)
    corrected = Delta(9, (Edit("node/n", node("n", 1, ("s2",)), node("n", 1)),))
    assert harness.receive(relay, deltas(corrected)) == [(relay, Ack(9, 9))]
    assert harness.applied_revisions() == [9]
    assert harness.subscriber.applier.table.values == {"tenant/a": tenant("a", 2.0), "node/n": node("n", 1)}


def test_a_delta_that_does_not_fit_a_held_snapshot_requires_another() -> None:
    applier = Applier()
    assert applier.apply_snapshot(make_image(7, {"tenant/b": tenant("b", 5000.0)})) is None
    assert applier.hold([Delta(8, (Edit("tenant/b", tenant("b", 1.0), None),))])
    assert applier.apply_held() is None and applier.needs_snapshot and applier.received == 0


# --- the relay ---


def test_brokers_prefer_relays_of_their_region_and_spread_over_them() -> None:
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


def test_relays_that_do_not_answer_are_tried_in_turn() -> None:
    harness = SubscriberHarness()
    order = subscribed_relays(harness.advance(10_000))
    assert order[:3] == list(harness.subscriber.chooser.order)
    assert 8 <= len(order) <= 16  # repeatedly, with backoff
    assert harness.subscriber.status(harness.now).age_ms == -1


def test_a_silent_relay_is_left() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    messages = harness.advance(RELAY_TIMEOUT_NS // MS - 400)
    assert not subscribed_relays(messages)
    messages = harness.advance(800)
    assert (relay, Unsubscribe()) in messages
    [other] = subscribed_relays(messages)
    assert other != relay
    harness.receive(other, Heartbeat(0, 0))
    assert harness.subscriber.chooser.current == other
    # It runs again, but does not serve any more.
    assert harness.receive(relay, deltas(weights("a", 1.0)[0])) == []
    assert not harness.applied_revisions()


def test_a_lost_connection_leads_to_the_next_relay_at_once() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.lose_connection(relay)
    assert subscribed_relays(harness.advance(250)) == [harness.subscriber.chooser.order[1]]


def test_a_full_or_closing_relay_is_left_for_another() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.receive(relay, Busy(True))
    [other] = subscribed_relays(harness.advance(250))
    harness.receive(other, Busy(True))
    assert subscribed_relays(harness.advance(400)) == [harness.subscriber.chooser.order[2]]
    harness = SubscriberHarness()
    relay = harness.connect()
    wanted = harness.subscriber.chooser.order[2]
    harness.receive(relay, Redirect(wanted))
    assert subscribed_relays(harness.advance(250)) == [wanted]


def test_a_relay_behind_this_broker_is_left_for_a_better_one() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    harness.receive(relay, deltas(*weights("a", 1.0, 2.0)))
    harness.lose_connection(relay)
    [second] = subscribed_relays(harness.advance(250))
    harness.receive(second, Heartbeat(1, 100))  # its revision is older than this broker's
    assert harness.subscriber.chooser.current == second and harness.subscriber.applier.revision == 2
    [third] = subscribed_relays(harness.advance(250))
    assert third not in (relay, second)
    messages = harness.receive(third, Heartbeat(2, 100))
    assert harness.subscriber.chooser.current == third and (second, Unsubscribe()) in messages
    assert harness.applied_revisions() == [2]


def test_a_stale_relay_is_kept_when_no_other_is_better() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    tried = []
    for _ in range(2):
        [other] = advance_until_subscribe(harness, relay, 5000, 3000)
        tried.append(other)
        assert (other, Unsubscribe()) in harness.receive(other, Heartbeat(0, 6000))
    assert sorted([relay, *tried]) == ["r1", "r2", "r3"]
    assert harness.subscriber.chooser.current == relay
    # All are stale: this region is cut off. Others are tried again only after a long interval.
    assert advance_until_subscribe(harness, relay, 9000, SEARCH_INTERVAL_NS // 2 // MS - 200) == []
    assert advance_until_subscribe(harness, relay, 9000, SEARCH_INTERVAL_NS // MS + 400)


def test_a_broker_returns_to_its_preferred_relay_once_that_serves() -> None:
    harness = SubscriberHarness()
    preferred = harness.connect()
    assert preferred == harness.subscriber.chooser.order[0]
    harness.lose_connection(preferred)
    [other] = subscribed_relays(harness.advance(250))
    harness.receive(other, Heartbeat(0, 0))
    tried = advance_until_subscribe(harness, other, 0, FAILBACK_INTERVAL_NS * 3 // 2 // MS + 200)
    assert tried == [preferred] and harness.subscriber.chooser.current == other
    harness.receive(preferred, Heartbeat(0, 0))
    assert harness.subscriber.chooser.current == preferred


def test_a_single_stale_relay_causes_no_busy_loop() -> None:
    harness = SubscriberHarness(relays=RELAYS[:1])
    relay = harness.connect()
    steps = 0
    for _ in range(10):
        harness.receive(relay, Heartbeat(0, 60_000))
        harness.advance(900)
        steps += 1
        assert harness.subscriber.due > harness.now
    assert harness.subscriber.chooser.current == relay


def test_a_subscriber_without_relays_is_refused() -> None:
    with pytest.raises(ValueError, match="expected at least one"):
        SubscriberHarness(relays=[])


def test_a_broker_acknowledges_regularly_without_new_revisions() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    acks = []
    for _ in range(20):
        harness.receive(relay, Heartbeat(0, 0))
        acks += [body for _, body in harness.advance(500) if isinstance(body, Ack)]
    assert len(acks) == 3


# --- bad messages ---


def test_invalid_or_foreign_messages_are_dropped() -> None:
    harness = SubscriberHarness()
    relay = harness.connect()
    body = encode_body(deltas(weights("a", 1.0)[0]))
    for data in (
        b"",
        b"\xc1C",
        b"\xc1C\x90",
        b"\xc1C" + b"x" * 500_000,
        pack(FLEET, relay, 1, "b1", body)[2:],
    ):
        harness.step(Received(relay, data))
    harness.step(Received(relay, pack("other", relay, 1, "b1", body)))
    harness.step(Received(relay, pack(FLEET, relay, 1, "b2", body)))
    harness.step(Received("zz", pack(FLEET, "zz", 1, "b1", body)))
    harness.step(Received(relay, pack(FLEET, "r3", 1, "b1", body)))
    harness.receive(relay, Ack(1, 1))
    assert not harness.applied_revisions()
    assert dict(harness.subscriber.dropped) == {
        "unreadable": 4, "too large": 1, "wrong fleet": 1, "wrong name": 1, "unknown member": 2,
        "unknown kind": 1,
    }  # fmt: skip
