"""The relay: deltas, age, snapshots, the subscriber table, summaries, and invalid messages."""

import pytest

from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.messages import (
    MAX_LISTED_LAGGARDS,
    MAX_LISTED_REFUSALS,
    MAX_LISTED_REVISIONS,
    PIECE_BYTES,
    Ack,
    Body,
    Busy,
    Deltas,
    FetchPieces,
    Heartbeat,
    Nack,
    Redirect,
    RevisionCount,
    SnapshotPiece,
    Subscribe,
    Summary,
    Unsubscribe,
    encode_body,
    pack,
    unpack,
)
from quincepath.fleet.configuration.ports import Close, Committed, Loaded, Lost, Received, Report, Resume
from quincepath.fleet.configuration.slots import SLOTS
from quincepath.fleet.configuration.snapshots import Assembly, read_image
from quincepath.fleet.messages import MAX_COUNTER, Rejected
from tests.fleet.configuration.builders import tenant, weights
from tests.fleet.configuration.harness import FLEET, RelayHarness, events

FIVE = tuple(weights("a", 1.0, 2.0, 3.0, 4.0, 5.0))


def relay(*deltas: Delta, max_subscribers: int = 10) -> RelayHarness:
    harness = RelayHarness(max_subscribers)
    harness.step(Committed(len(deltas), deltas))
    return harness


def bodies_to(messages: list[tuple[str, Body]], name: str) -> list[Body]:
    """Bodies sent to ``name``, without heartbeats."""
    return [body for to, body in messages if to == name and not isinstance(body, Heartbeat)]


def revisions(messages: list[tuple[str, Body]], name: str) -> list[int]:
    return [
        delta.revision
        for body in bodies_to(messages, name)
        if isinstance(body, Deltas)
        for delta in body.deltas
    ]


def summary(harness: RelayHarness) -> Summary:
    harness.advance(2100)
    return [out.summary for out in harness.outputs if isinstance(out, Report)][-1]


# --- deltas ---


def test_a_subscriber_gets_the_deltas_after_its_revision() -> None:
    harness = relay(*FIVE[:3])
    assert revisions(harness.receive("b1", Subscribe(1, 1)), "b1") == [2, 3]
    assert revisions(harness.receive("b2", Subscribe(0, 2)), "b2") == [3]
    assert bodies_to(harness.receive("b3", Subscribe(3, 3)), "b3") == []
    assert bodies_to(harness.receive("b4", Subscribe(9, 9)), "b4") == []  # it is newer than this relay
    assert harness.receive("b4", Subscribe(9, 9))[0][1] == Heartbeat(3, 0)


def test_a_slow_subscriber_has_one_batch_in_flight() -> None:
    harness = relay(FIVE[0])
    assert revisions(harness.receive("b1", Subscribe(0, 0)), "b1") == [1]
    assert not harness.step(Committed(2, (FIVE[1],)))
    assert not harness.step(Committed(3, (FIVE[2],)))
    assert revisions(harness.receive("b1", Ack(1, 1)), "b1") == [2, 3]


def test_lost_deltas_are_resent_with_backoff() -> None:
    harness = relay(FIVE[0])
    harness.receive("b1", Subscribe(0, 0))
    counts = [len(revisions(harness.advance(500), "b1")) for _ in range(10)]
    assert counts[0] == 1 and 4 <= sum(counts) <= 6
    harness.receive("b1", Ack(1, 1))
    assert not revisions(harness.advance(3000), "b1")


def test_a_duplicate_or_late_delta_of_the_log_is_sent_once() -> None:
    harness = relay(*FIVE[:2])
    harness.receive("b1", Subscribe(2, 2))
    harness.step(Committed(2, FIVE[:2]), Committed(1, FIVE[:1]))
    assert harness.relay.log.newest == 2
    assert revisions(harness.step(Committed(3, FIVE[:3])), "b1") == [3]


def test_a_gap_in_the_log_is_requested_and_not_passed_on() -> None:
    harness = relay(*FIVE[:2])
    harness.receive("b1", Subscribe(2, 2))
    harness.advance(300)
    assert not bodies_to(harness.step(Committed(5, FIVE[3:])), "b1")
    assert harness.outputs[-1] == Resume(2)
    harness.step(Committed(5, ()))
    assert harness.outputs.count(Resume(2)) == 1  # requested a moment ago
    assert revisions(harness.step(Committed(5, FIVE[2:])), "b1") == [3, 4, 5]


def test_a_relay_loaded_from_a_snapshot_keeps_its_deltas() -> None:
    harness = RelayHarness()
    harness.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[2:]))
    assert revisions(harness.receive("b1", Subscribe(3, 3)), "b1") == [4, 5]
    assert isinstance(bodies_to(harness.receive("b2", Subscribe(1, 1)), "b2")[0], SnapshotPiece)
    harness.step(Loaded(4, {}, ()))
    assert harness.relay.log.newest == 5


def test_a_batch_is_bounded_by_the_size_of_a_message() -> None:
    value = b"x" * 4000
    deltas = [Delta(1, (Edit("tenant/a", None, value),))]
    for number in range(2, 30):
        deltas.append(Delta(number, (Edit("tenant/a", value, value[:-1] + bytes([number])),)))
        value = value[:-1] + bytes([number])
    harness = relay(*deltas)
    first = revisions(harness.receive("b1", Subscribe(0, 0)), "b1")
    assert 3 < len(first) < 20
    second = revisions(harness.receive("b1", Ack(first[-1], first[-1])), "b1")
    assert second[0] == first[-1] + 1


# --- age ---


def test_the_age_grows_while_no_voter_is_heard() -> None:
    harness = RelayHarness()
    assert harness.receive("b1", Subscribe(0, 0))[0][1] == Heartbeat(0, MAX_COUNTER)
    harness.step(Committed(0, (), age=50_000_000))
    assert harness.relay.age_ms == 50
    ages = [body.age for _, body in harness.advance(4000) if isinstance(body, Heartbeat)]
    assert len(ages) == 4 and ages == sorted(ages) and ages[-1] > 3000


def test_a_lagging_voter_does_not_reset_the_age() -> None:
    harness = relay(*FIVE[:3])
    harness.advance(1000)
    harness.step(Committed(2, ()))
    assert harness.relay.age_ms == 1000
    harness.step(Committed(4, ()))  # the relay lacks a revision
    assert harness.relay.age_ms == 1000
    harness.step(Committed(3, ()))
    assert harness.relay.age_ms == 0


# --- snapshots ---


def relay_with_laggards(count: int) -> RelayHarness:
    """A relay whose deltas reach back to revision 3, with ``count`` subscribers at revision 0."""
    harness = RelayHarness(max_subscribers=count + 10)
    harness.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[3:]))
    for number in range(count):
        harness.receive(f"b{number}", Subscribe(0, 0))
    return harness


def test_many_snapshot_requests_are_queued_without_delaying_deltas() -> None:
    harness = RelayHarness(max_subscribers=100)
    harness.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[3:]))
    harness.receive("current", Subscribe(5, 5))
    served: list[str] = []
    busy: list[str] = []
    for number in range(50):
        name = f"b{number}"
        for body in bodies_to(harness.receive(name, Subscribe(0, 0)), name):
            if isinstance(body, SnapshotPiece):
                served.append(name)
            elif isinstance(body, Busy):
                assert not body.full and body.waiting == len(busy)
                busy.append(name)
    assert len(served) == SLOTS and len(busy) == 50 - SLOTS
    assert harness.relay.slots.images_made == 1
    more = Delta(6, (Edit("tenant/b", None, tenant("b", 1.0)),))
    assert revisions(harness.step(Committed(6, (more,))), "current") == [6]
    reached = list(served)
    while reached:
        name = reached.pop(0)
        for to, body in harness.receive(name, Ack(5, 5)):
            if isinstance(body, SnapshotPiece):
                reached.append(to)
                served.append(to)
            elif to == name and isinstance(body, Deltas):
                assert [delta.revision for delta in body.deltas] == [6]
    assert served == [*served[:SLOTS], *busy]
    assert summary(harness).waiting == 0


def test_the_slot_of_a_dead_subscriber_is_released() -> None:
    harness = relay_with_laggards(SLOTS + 1)
    last = f"b{SLOTS}"
    assert not [body for body in bodies_to(harness.advance(1500), last) if isinstance(body, SnapshotPiece)]
    last_bodies = bodies_to(harness.advance(1000), last)
    assert any(isinstance(body, SnapshotPiece) for body in last_bodies)
    harness = relay_with_laggards(SLOTS + 1)
    assert any(isinstance(body, SnapshotPiece) for body in bodies_to(harness.step(Lost("b0")), last))


def test_lost_pieces_are_sent_again() -> None:
    harness = RelayHarness()
    values = {
        f"tenant/{number}": tenant(str(number), (number * 7919 % 9973) / 100 + 1) for number in range(20_000)
    }
    harness.step(Loaded(5, values, ()))
    pieces = [
        body
        for body in bodies_to(harness.receive("b1", Subscribe(0, 0)), "b1")
        if isinstance(body, SnapshotPiece)
    ]
    total = pieces[0].total
    assert total > 2 * PIECE_BYTES and len(pieces) <= 8
    assembly = Assembly(5, total)
    while not assembly.complete:
        asked = FetchPieces(5, assembly.offset)
        found = [
            body for body in bodies_to(harness.receive("b1", asked), "b1") if isinstance(body, SnapshotPiece)
        ]
        assert found[0].offset == asked.offset and assembly.add(found[0])  # the other pieces are lost
    assert read_image(assembly.image()).values == values


def test_a_refused_snapshot_is_not_resent_at_once() -> None:
    harness = relay_with_laggards(1)
    assert not bodies_to(harness.receive("b0", Nack(0, 0, 5, "tenant/a", "no")), "b0")
    assert not harness.relay.slots.slots
    assert not bodies_to(harness.advance(7000), "b0")
    assert summary(harness).refusals[0].resource == "tenant/a"


def test_a_subscriber_that_requests_a_snapshot_gets_one() -> None:
    harness = relay(*FIVE)
    assert isinstance(
        bodies_to(harness.receive("b1", Subscribe(3, 3, snapshot=True)), "b1")[0], SnapshotPiece
    )
    assert bodies_to(harness.receive("b1", Ack(5, 5)), "b1") == []
    more = Delta(6, (Edit("tenant/b", None, tenant("b", 1.0)),))
    assert revisions(harness.step(Committed(6, (more,))), "b1") == [6]


def test_a_subscriber_gets_a_snapshot_where_the_deltas_are_larger() -> None:
    value = b"x" * 4000
    first = Delta(1, tuple(Edit(f"tenant/{number}", None, value) for number in range(20)))
    deltas = [first]
    for revision in range(2, 8):
        edits = tuple(Edit(edit.name, edit.new, bytes([revision]) * 4000) for edit in deltas[-1].edits)
        deltas.append(Delta(revision, edits))
    harness = relay(*deltas)
    assert isinstance(bodies_to(harness.receive("b1", Subscribe(0, 0)), "b1")[0], SnapshotPiece)
    assert revisions(harness.receive("b2", Subscribe(6, 6)), "b2") == [7]
    # A subscriber that is being served continues with deltas, whatever their size.
    harness.receive("b2", Ack(7, 7))
    more = [Delta(8, tuple(Edit(edit.name, edit.new, b"8" * 4000) for edit in deltas[-1].edits))]
    for revision in range(9, 14):
        more.append(
            Delta(
                revision,
                tuple(Edit(edit.name, edit.new, bytes([revision]) * 4000) for edit in more[-1].edits),
            )
        )
    assert revisions(harness.step(Committed(13, tuple(more))), "b2") == [8]


def test_a_requested_snapshot_is_newer_than_the_subscriber() -> None:
    harness = relay(*FIVE[:3])
    harness.receive("b1", Subscribe(0, 0, snapshot=True))
    harness.receive("b1", Ack(3, 3))
    harness.step(Committed(4, FIVE[3:4]))
    harness.receive("b2", Subscribe(4, 4, snapshot=True))
    # The relay has nothing newer, neither a snapshot nor a delta.
    assert not harness.relay.slots.slots
    [piece] = bodies_to(harness.step(Committed(5, FIVE[4:])), "b2")
    assert isinstance(piece, SnapshotPiece) and piece.revision == 5
    assert harness.relay.slots.images_made == 2


def test_a_subscriber_far_behind_gets_a_snapshot() -> None:
    harness = relay(*weights("a", *(1.0 + number % 2 for number in range(1200))))
    assert isinstance(bodies_to(harness.receive("b1", Subscribe(100, 100)), "b1")[0], SnapshotPiece)
    assert revisions(harness.receive("b2", Subscribe(900, 900)), "b2")[0] == 901


# --- the table ---


def test_a_full_table_refuses_a_further_subscriber() -> None:
    harness = relay(*FIVE, max_subscribers=2)
    harness.receive("b1", Subscribe(5, 5))
    harness.receive("b2", Subscribe(5, 5))
    assert harness.receive("b3", Subscribe(5, 5)) == [("b3", Busy(True))]
    assert events(harness.outputs)[-1].startswith("subscriber table full: b3")
    # A subscriber in the table may subscribe again.
    assert bodies_to(harness.receive("b2", Subscribe(4, 4)), "b2")
    harness.receive("b1", Unsubscribe())
    assert isinstance(harness.receive("b3", Subscribe(5, 5))[0][1], Heartbeat)


def test_a_silent_subscriber_is_removed() -> None:
    harness = relay(*FIVE)
    harness.receive("b1", Subscribe(5, 5))
    harness.advance(9000)
    assert "b1" in harness.relay.records
    harness.receive("b1", Ack(5, 5))
    harness.advance(9000)
    assert "b1" in harness.relay.records
    harness.advance(1200)
    assert "b1" not in harness.relay.records and "subscriber gone" in events(harness.outputs)[-1]


def test_a_late_message_of_an_earlier_start_is_ignored() -> None:
    harness = relay(*FIVE[:3])
    harness.receive("b1", Subscribe(3, 3), boot=1)
    assert revisions(harness.receive("b1", Subscribe(0, 0), boot=2), "b1") == [1, 2, 3]
    harness.receive("b1", Ack(3, 3), boot=1)
    harness.receive("b1", Unsubscribe(), boot=1)
    assert harness.relay.records["b1"].revision == 0
    assert revisions(harness.advance(500), "b1") == [1, 2, 3]


def test_a_relay_that_closes_redirects_its_subscribers() -> None:
    harness = relay(*FIVE)
    harness.receive("b1", Subscribe(5, 5))
    harness.receive("b2", Subscribe(5, 5))
    assert harness.step(Close()) == [("b1", Redirect("")), ("b2", Redirect(""))]
    assert not harness.relay.records


# --- the sums ---


def test_the_summary_counts_revisions_laggards_and_refusals() -> None:
    harness = relay(*FIVE[:3])
    harness.receive("b1", Subscribe(3, 3))
    harness.receive("b2", Subscribe(1, 1))
    harness.receive("b3", Subscribe(0, 0))
    harness.receive("b3", Nack(0, 3, 2, "tenant/a", "not here"))
    found = summary(harness)
    assert found.counts == (RevisionCount(3, 1), RevisionCount(1, 1), RevisionCount(0, 1))
    assert (found.newest, found.subscribers, found.older, found.behind, found.refused) == (3, 3, 0, 2, 1)
    assert [(one.name, one.revision) for one in found.laggards] == [("b2", 1), ("b3", 0)]
    assert 1900 <= found.laggards[0].behind <= 2200
    assert [(one.name, one.refused, one.reason) for one in found.refusals] == [("b3", 2, "not here")]
    harness.receive("b2", Ack(3, 3))
    harness.receive("b3", Ack(3, 3))
    found = summary(harness)
    assert (found.behind, found.refused, found.laggards, found.refusals) == (0, 0, (), ())


def test_a_summary_is_bounded_for_any_number_of_subscribers() -> None:
    harness = relay(*weights("a", *(1.0 + number % 2 for number in range(500))), max_subscribers=1000)
    for number in range(400):
        harness.receive(f"b{number:03}", Subscribe(number, number))
        harness.receive(
            f"b{number:03}", Nack(number, number + 1, number + 1, "tenant/" + "x" * 200, "y" * 400)
        )
    found = summary(harness)
    assert len(found.counts) == MAX_LISTED_REVISIONS and found.older == 400 - MAX_LISTED_REVISIONS
    assert len(found.laggards) == MAX_LISTED_LAGGARDS and found.behind == 400
    assert len(found.refusals) == MAX_LISTED_REFUSALS and found.refused == 400
    assert len(bytes(encode_body(found))) < 16_000


def test_a_late_acknowledgement_does_not_lower_a_revision() -> None:
    harness = relay(*FIVE[:3])
    harness.receive("b1", Subscribe(0, 0), Ack(3, 3), Ack(1, 1))
    assert summary(harness).counts == (RevisionCount(3, 1),)


# --- bad messages ---


def test_invalid_or_foreign_messages_to_a_relay_are_dropped() -> None:
    harness = relay(*FIVE)
    for data in (b"", b"\xc1C\x01", b"\xc1C" + b"x" * 400_000):
        harness.step(Received("b1", data))
    harness.receive("b1", Ack(1, 1))
    harness.step(Received("b1", pack(FLEET, "b2", 7, "r1", encode_body(Subscribe(0, 0)))))
    harness.receive("b1", Subscribe(5, 5))
    harness.receive("b1", Heartbeat(1, 1))
    assert set(harness.relay.records) == {"b1"}
    assert dict(harness.relay.dropped) == {
        "unreadable": 2, "too large": 1, "unknown member": 1, "wrong name": 1, "unknown kind": 1,
    }  # fmt: skip


def test_a_message_beyond_its_bounds_is_rejected() -> None:
    with pytest.raises(Rejected, match="unknown kind"):
        unpack(pack(FLEET, "b1", 1, "r1", encode_body(FetchPieces(1, 1 << 40))), FLEET, "r1")
