"""A relay that loses a delta, floods a slow subscriber, lets a herd of snapshots stop changes, miscounts."""

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
from tests.fleet.configuration.harness import FLEET, RelayEnd, events

FIVE = tuple(weights("a", 1.0, 2.0, 3.0, 4.0, 5.0))


def relay(*deltas: Delta, max_subscribers: int = 10) -> RelayEnd:
    end = RelayEnd(max_subscribers)
    end.step(Committed(len(deltas), deltas))
    return end


def told(messages: list[tuple[str, Body]], name: str) -> list[Body]:
    """Without heartbeats."""
    return [body for to, body in messages if to == name and not isinstance(body, Heartbeat)]


def revisions(messages: list[tuple[str, Body]], name: str) -> list[int]:
    return [
        delta.revision for body in told(messages, name) if isinstance(body, Deltas) for delta in body.deltas
    ]


def summary(end: RelayEnd) -> Summary:
    end.wait(2100)
    return [out.summary for out in end.outputs if isinstance(out, Report)][-1]


# --- deltas ---


def test_a_subscriber_gets_other_deltas_than_those_after_its_revision() -> None:
    end = relay(*FIVE[:3])
    assert revisions(end.hear("b1", Subscribe(1, 1)), "b1") == [2, 3]
    assert revisions(end.hear("b2", Subscribe(0, 2)), "b2") == [3]
    assert told(end.hear("b3", Subscribe(3, 3)), "b3") == []
    assert told(end.hear("b4", Subscribe(9, 9)), "b4") == []  # it knows more than this relay
    assert end.hear("b4", Subscribe(9, 9))[0][1] == Heartbeat(3, 0)


def test_a_slow_subscriber_is_sent_more_and_more() -> None:
    end = relay(FIVE[0])
    assert revisions(end.hear("b1", Subscribe(0, 0)), "b1") == [1]
    assert not end.step(Committed(2, (FIVE[1],)))
    assert not end.step(Committed(3, (FIVE[2],)))
    assert revisions(end.hear("b1", Ack(1, 1)), "b1") == [2, 3]


def test_lost_deltas_are_never_sent_again_or_without_pause() -> None:
    end = relay(FIVE[0])
    end.hear("b1", Subscribe(0, 0))
    counts = [len(revisions(end.wait(500), "b1")) for _ in range(10)]
    assert counts[0] == 1 and 4 <= sum(counts) <= 6
    end.hear("b1", Ack(1, 1))
    assert not revisions(end.wait(3000), "b1")


def test_a_doubled_or_late_delta_of_the_log_is_told_twice() -> None:
    end = relay(*FIVE[:2])
    end.hear("b1", Subscribe(2, 2))
    end.step(Committed(2, FIVE[:2]), Committed(1, FIVE[:1]))
    assert end.relay.log.newest == 2
    assert revisions(end.step(Committed(3, FIVE[:3])), "b1") == [3]


def test_a_gap_in_the_log_is_passed_on() -> None:
    end = relay(*FIVE[:2])
    end.hear("b1", Subscribe(2, 2))
    end.wait(300)
    assert not told(end.step(Committed(5, FIVE[3:])), "b1")
    assert end.outputs[-1] == Resume(2)
    end.step(Committed(5, ()))
    assert end.outputs.count(Resume(2)) == 1  # asked for a moment ago
    assert revisions(end.step(Committed(5, FIVE[2:])), "b1") == [3, 4, 5]


def test_a_relay_that_begins_anew_from_a_snapshot_of_the_log_forgets_the_deltas() -> None:
    end = RelayEnd()
    end.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[2:]))
    assert revisions(end.hear("b1", Subscribe(3, 3)), "b1") == [4, 5]
    assert isinstance(told(end.hear("b2", Subscribe(1, 1)), "b2")[0], SnapshotPiece)
    end.step(Loaded(4, {}, ()))
    assert end.relay.log.newest == 5


def test_a_batch_outgrows_a_message() -> None:
    value = b"x" * 4000
    deltas = [Delta(1, (Edit("tenant/a", None, value),))]
    for number in range(2, 30):
        deltas.append(Delta(number, (Edit("tenant/a", value, value[:-1] + bytes([number])),)))
        value = value[:-1] + bytes([number])
    end = relay(*deltas)
    first = revisions(end.hear("b1", Subscribe(0, 0)), "b1")
    assert 3 < len(first) < 20
    second = revisions(end.hear("b1", Ack(first[-1], first[-1])), "b1")
    assert second[0] == first[-1] + 1


# --- age ---


def test_a_relay_without_voters_looks_as_if_it_had_them() -> None:
    end = RelayEnd()
    assert end.hear("b1", Subscribe(0, 0))[0][1] == Heartbeat(0, MAX_COUNTER)
    end.step(Committed(0, (), age=50_000_000))
    assert end.relay.age_ms == 50
    ages = [body.age for _, body in end.wait(4000) if isinstance(body, Heartbeat)]
    assert len(ages) == 4 and ages == sorted(ages) and ages[-1] > 3000


def test_a_voter_that_lags_makes_a_relay_look_new() -> None:
    end = relay(*FIVE[:3])
    end.wait(1000)
    end.step(Committed(2, ()))
    assert end.relay.age_ms == 1000
    end.step(Committed(4, ()))  # there is more than this relay has
    assert end.relay.age_ms == 1000
    end.step(Committed(3, ()))
    assert end.relay.age_ms == 0


# --- snapshots ---


def behind(count: int) -> RelayEnd:
    """A relay whose deltas reach back to revision 3, and so many subscribers at revision 0."""
    end = RelayEnd(max_subscribers=count + 10)
    end.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[3:]))
    for number in range(count):
        end.hear(f"b{number}", Subscribe(0, 0))
    return end


def test_a_herd_that_needs_snapshots_gets_them_all_at_once_or_stops_the_changes() -> None:
    end = RelayEnd(max_subscribers=100)
    end.step(Loaded(5, {"tenant/a": tenant("a", 5.0)}, FIVE[3:]))
    end.hear("calm", Subscribe(5, 5))
    served: list[str] = []
    busy: list[str] = []
    for number in range(50):
        name = f"b{number}"
        for body in told(end.hear(name, Subscribe(0, 0)), name):
            if isinstance(body, SnapshotPiece):
                served.append(name)
            elif isinstance(body, Busy):
                assert not body.full and body.waiting == len(busy)
                busy.append(name)
    assert len(served) == SLOTS and len(busy) == 50 - SLOTS
    assert end.relay.slots.images_made == 1
    more = Delta(6, (Edit("tenant/b", None, tenant("b", 1.0)),))
    assert revisions(end.step(Committed(6, (more,))), "calm") == [6]
    reached = list(served)
    while reached:
        name = reached.pop(0)
        for to, body in end.hear(name, Ack(5, 5)):
            if isinstance(body, SnapshotPiece):
                reached.append(to)
                served.append(to)
            elif to == name and isinstance(body, Deltas):
                assert [delta.revision for delta in body.deltas] == [6]
    assert served == [*served[:SLOTS], *busy]
    assert summary(end).waiting == 0


def test_a_subscriber_that_dies_with_its_snapshot_keeps_the_slot() -> None:
    end = behind(SLOTS + 1)
    last = f"b{SLOTS}"
    assert not [body for body in told(end.wait(1500), last) if isinstance(body, SnapshotPiece)]
    told_ = told(end.wait(1000), last)
    assert any(isinstance(body, SnapshotPiece) for body in told_)
    end = behind(SLOTS + 1)
    assert any(isinstance(body, SnapshotPiece) for body in told(end.step(Lost("b0")), last))


def test_pieces_that_were_lost_are_not_sent_again() -> None:
    end = RelayEnd()
    values = {
        f"tenant/{number}": tenant(str(number), (number * 7919 % 9973) / 100 + 1) for number in range(20_000)
    }
    end.step(Loaded(5, values, ()))
    pieces = [body for body in told(end.hear("b1", Subscribe(0, 0)), "b1") if isinstance(body, SnapshotPiece)]
    total = pieces[0].total
    assert total > 2 * PIECE_BYTES and len(pieces) <= 8
    assembly = Assembly(5, total)
    while not assembly.whole:
        asked = FetchPieces(5, assembly.offset)
        found = [body for body in told(end.hear("b1", asked), "b1") if isinstance(body, SnapshotPiece)]
        assert found[0].offset == asked.offset and assembly.add(found[0])  # all but the first are lost
    assert read_image(assembly.image()).values == values


def test_a_refused_snapshot_is_sent_at_once_again() -> None:
    end = behind(1)
    assert not told(end.hear("b0", Nack(0, 0, 5, "tenant/a", "no")), "b0")
    assert not end.relay.slots.slots
    assert not told(end.wait(7000), "b0")
    assert summary(end).refusals[0].resource == "tenant/a"


def test_a_subscriber_that_asks_for_a_snapshot_gets_deltas() -> None:
    end = relay(*FIVE)
    assert isinstance(told(end.hear("b1", Subscribe(3, 3, snapshot=True)), "b1")[0], SnapshotPiece)
    assert told(end.hear("b1", Ack(5, 5)), "b1") == []
    more = Delta(6, (Edit("tenant/b", None, tenant("b", 1.0)),))
    assert revisions(end.step(Committed(6, (more,))), "b1") == [6]


def test_a_subscriber_with_nothing_gets_more_bytes_of_deltas_than_a_snapshot_has() -> None:
    value = b"x" * 4000
    first = Delta(1, tuple(Edit(f"tenant/{number}", None, value) for number in range(20)))
    deltas = [first]
    for revision in range(2, 8):
        edits = tuple(Edit(edit.name, edit.new, bytes([revision]) * 4000) for edit in deltas[-1].edits)
        deltas.append(Delta(revision, edits))
    end = relay(*deltas)
    assert isinstance(told(end.hear("b1", Subscribe(0, 0)), "b1")[0], SnapshotPiece)
    assert revisions(end.hear("b2", Subscribe(6, 6)), "b2") == [7]
    # One that is served goes on by deltas, however many bytes they have.
    end.hear("b2", Ack(7, 7))
    more = [Delta(8, tuple(Edit(edit.name, edit.new, b"8" * 4000) for edit in deltas[-1].edits))]
    for revision in range(9, 14):
        more.append(
            Delta(
                revision,
                tuple(Edit(edit.name, edit.new, bytes([revision]) * 4000) for edit in more[-1].edits),
            )
        )
    assert revisions(end.step(Committed(13, tuple(more))), "b2") == [8]


def test_a_subscriber_that_asks_for_a_snapshot_gets_one_that_is_no_newer_than_it_is() -> None:
    end = relay(*FIVE[:3])
    end.hear("b1", Subscribe(0, 0, snapshot=True))
    end.hear("b1", Ack(3, 3))
    end.step(Committed(4, FIVE[3:4]))
    end.hear("b2", Subscribe(4, 4, snapshot=True))  # the relay has nothing newer, by snapshot or by delta
    assert not end.relay.slots.slots
    [piece] = told(end.step(Committed(5, FIVE[4:])), "b2")
    assert isinstance(piece, SnapshotPiece) and piece.revision == 5
    assert end.relay.slots.images_made == 2


def test_a_subscriber_far_behind_gets_a_thousand_deltas() -> None:
    end = relay(*weights("a", *(1.0 + number % 2 for number in range(1200))))
    assert isinstance(told(end.hear("b1", Subscribe(100, 100)), "b1")[0], SnapshotPiece)
    assert revisions(end.hear("b2", Subscribe(900, 900)), "b2")[0] == 901


# --- the table ---


def test_a_full_table_takes_one_more_or_says_nothing() -> None:
    end = relay(*FIVE, max_subscribers=2)
    end.hear("b1", Subscribe(5, 5))
    end.hear("b2", Subscribe(5, 5))
    assert end.hear("b3", Subscribe(5, 5)) == [("b3", Busy(True))]
    assert events(end.outputs)[-1].startswith("subscriber table full: b3")
    assert told(end.hear("b2", Subscribe(4, 4)), "b2")  # who is in it may ask again
    end.hear("b1", Unsubscribe())
    assert isinstance(end.hear("b3", Subscribe(5, 5))[0][1], Heartbeat)


def test_a_silent_subscriber_keeps_its_row() -> None:
    end = relay(*FIVE)
    end.hear("b1", Subscribe(5, 5))
    end.wait(9000)
    assert "b1" in end.relay.records
    end.hear("b1", Ack(5, 5))
    end.wait(9000)
    assert "b1" in end.relay.records
    end.wait(1200)
    assert "b1" not in end.relay.records and "subscriber gone" in events(end.outputs)[-1]


def test_a_late_word_of_an_earlier_start_counts_for_the_new_one() -> None:
    end = relay(*FIVE[:3])
    end.hear("b1", Subscribe(3, 3), boot=1)
    assert revisions(end.hear("b1", Subscribe(0, 0), boot=2), "b1") == [1, 2, 3]
    end.hear("b1", Ack(3, 3), boot=1)
    end.hear("b1", Unsubscribe(), boot=1)
    assert end.relay.records["b1"].revision == 0
    assert revisions(end.wait(500), "b1") == [1, 2, 3]


def test_a_relay_that_goes_leaves_its_subscribers_in_the_dark() -> None:
    end = relay(*FIVE)
    end.hear("b1", Subscribe(5, 5))
    end.hear("b2", Subscribe(5, 5))
    assert end.step(Close()) == [("b1", Redirect("")), ("b2", Redirect(""))]
    assert not end.relay.records


# --- the sums ---


def test_the_summary_miscounts() -> None:
    end = relay(*FIVE[:3])
    end.hear("b1", Subscribe(3, 3))
    end.hear("b2", Subscribe(1, 1))
    end.hear("b3", Subscribe(0, 0))
    end.hear("b3", Nack(0, 3, 2, "tenant/a", "not here"))
    found = summary(end)
    assert found.counts == (RevisionCount(3, 1), RevisionCount(1, 1), RevisionCount(0, 1))
    assert (found.newest, found.subscribers, found.older, found.behind, found.refused) == (3, 3, 0, 2, 1)
    assert [(one.name, one.revision) for one in found.laggards] == [("b2", 1), ("b3", 0)]
    assert 1900 <= found.laggards[0].behind <= 2200
    assert [(one.name, one.refused, one.reason) for one in found.refusals] == [("b3", 2, "not here")]
    end.hear("b2", Ack(3, 3))
    end.hear("b3", Ack(3, 3))
    found = summary(end)
    assert (found.behind, found.refused, found.laggards, found.refusals) == (0, 0, (), ())


def test_a_summary_grows_with_the_fleet() -> None:
    end = relay(*weights("a", *(1.0 + number % 2 for number in range(500))), max_subscribers=1000)
    for number in range(400):
        end.hear(f"b{number:03}", Subscribe(number, number))
        end.hear(f"b{number:03}", Nack(number, number + 1, number + 1, "tenant/" + "x" * 200, "y" * 400))
    found = summary(end)
    assert len(found.counts) == MAX_LISTED_REVISIONS and found.older == 400 - MAX_LISTED_REVISIONS
    assert len(found.laggards) == MAX_LISTED_LAGGARDS and found.behind == 400
    assert len(found.refusals) == MAX_LISTED_REFUSALS and found.refused == 400
    assert len(bytes(encode_body(found))) < 16_000


def test_an_acknowledgement_that_comes_late_takes_a_revision_back() -> None:
    end = relay(*FIVE[:3])
    end.hear("b1", Subscribe(0, 0), Ack(3, 3), Ack(1, 1))
    assert summary(end).counts == (RevisionCount(3, 1),)


# --- bad messages ---


def test_strangers_and_nonsense_are_served() -> None:
    end = relay(*FIVE)
    for data in (b"", b"\xc1C\x01", b"\xc1C" + b"x" * 400_000):
        end.step(Received("b1", data))
    end.hear("b1", Ack(1, 1))
    end.step(Received("b1", pack(FLEET, "b2", 7, "r1", encode_body(Subscribe(0, 0)))))
    end.hear("b1", Subscribe(5, 5))
    end.hear("b1", Heartbeat(1, 1))
    assert set(end.relay.records) == {"b1"}
    assert dict(end.relay.dropped) == {
        "unreadable": 2, "too large": 1, "unknown member": 1, "wrong name": 1, "unknown kind": 1,
    }  # fmt: skip


def test_a_message_beyond_its_bounds_is_read() -> None:
    with pytest.raises(Rejected, match="unknown kind"):
        unpack(pack(FLEET, "b1", 1, "r1", encode_body(FetchPieces(1, 1 << 40))), FLEET, "r1")
