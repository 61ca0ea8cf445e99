"""The state machine: conflicting and repeated changes, rollbacks, snapshots, and the delta log."""

import pytest

from quincepath.fleet.configuration.changes import Edit
from quincepath.fleet.configuration.delta_log import DeltaLog
from quincepath.fleet.configuration.history import MAX_ANSWERS, History
from tests.fleet.configuration.builders import change, node, tenant, weights


def history(*values: float) -> History:
    """One tenant, with these weights one after the other."""
    found = History()
    for delta in weights("a", *values):
        assert found.apply(change(f"c{delta.revision}", *delta.edits)).revision == delta.revision
    return found


def weight(found: History, name: str = "a") -> bytes | None:
    return found.table.values.get(f"tenant/{name}")


def test_of_two_conflicting_changes_the_second_is_refused() -> None:
    found = history(1.0)
    first = change("mine", Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)))
    second = change("yours", Edit("tenant/a", tenant("a", 1.0), tenant("a", 5.0)))
    assert not found.proposal_faults(first) and not found.proposal_faults(second)
    assert found.apply(first).revision == 2
    refused = found.apply(second)
    assert refused.revision == 0 and found.revision == 2
    assert refused.reason.startswith(
        "tenant/a: {'name': 'a', 'weight': 2.0}; expected {'name': 'a', 'weight': 1.0}"
    )
    assert weight(found) == tenant("a", 2.0)


def test_a_repeated_change_takes_effect_once() -> None:
    found = history(1.0)
    there = change("there", Edit("tenant/a", tenant("a", 1.0), tenant("a", 2.0)))
    back = change("back", Edit("tenant/a", tenant("a", 2.0), tenant("a", 1.0)))
    answers = [found.apply(one) for one in (there, back, there)]
    assert [answer.revision for answer in answers] == [2, 3, 2]
    assert weight(found) == tenant("a", 1.0) and found.revision == 3
    later = change("there", *there.edits, at=999)
    assert found.apply(later).revision == 2


def test_a_refused_change_stays_refused_when_repeated() -> None:
    found = history(1.0)
    wrong = change("late", Edit("tenant/a", tenant("a", 9.0), tenant("a", 2.0)))
    reason = found.apply(wrong).reason
    assert found.apply(change("nine", Edit("tenant/a", tenant("a", 1.0), tenant("a", 9.0)))).revision == 2
    again = found.apply(wrong)
    assert (again.revision, again.reason) == (0, reason)


def test_another_change_with_a_used_id_is_refused() -> None:
    found = history(1.0)
    assert (
        "used for another change"
        in found.apply(change("c1", Edit("tenant/b", None, tenant("b", 2.0)))).reason
    )
    assert weight(found, "b") is None


def test_a_value_that_violates_the_schema_is_refused() -> None:
    found = history(1.0)
    wrong = change("wrong", Edit("tenant/b", None, tenant("b", 1000.0)))
    assert found.proposal_faults(wrong)
    assert "tenant/b.weight" in found.apply(wrong).reason
    assert found.revision == 1


def test_a_change_with_one_wrong_edit_has_no_effect() -> None:
    found = history(1.0)
    half = change("half", Edit("tenant/b", None, tenant("b", 2.0)), Edit("tenant/a", None, tenant("a", 3.0)))
    assert found.apply(half).revision == 0
    assert weight(found, "b") is None and weight(found) == tenant("a", 1.0)


# --- rollback ---


def test_a_rollback_creates_a_new_revision() -> None:
    found = history(1.0, 2.0)
    answer = found.apply(change("undo", rolls_back=2))
    assert answer.revision == 3 and weight(found) == tenant("a", 1.0)
    again = found.apply(change("redo", rolls_back=3))
    assert again.revision == 4 and weight(found) == tenant("a", 2.0)


def test_a_rollback_of_the_first_change_removes_the_resource() -> None:
    found = history(1.0)
    assert found.apply(change("undo", rolls_back=1)).revision == 2
    assert weight(found) is None


def test_a_rollback_reverts_a_later_change_only_if_it_names_it() -> None:
    found = history(1.0, 2.0, 3.0)
    refused = found.apply(change("undo", rolls_back=2))
    assert refused.reason.startswith("tenant/a: changed by revision 3; expected none after revision 2")
    named = Edit("tenant/a", tenant("a", 3.0), tenant("a", 1.0))
    assert found.apply(change("undo it all the same", named, rolls_back=2)).revision == 4
    assert weight(found) == tenant("a", 1.0)


def test_a_rollback_notices_changes_that_restored_the_same_value() -> None:
    found = history(1.0, 2.0, 3.0, 2.0)
    assert "changed by revision 4" in found.apply(change("undo", rolls_back=2)).reason


def test_a_rollback_accepts_only_the_old_value_of_a_named_resource() -> None:
    found = history(1.0, 2.0, 3.0)
    other = Edit("tenant/a", tenant("a", 3.0), tenant("a", 7.0))
    assert "the value before revision 2" in found.apply(change("x", other, rolls_back=2)).reason
    stale = Edit("tenant/a", tenant("a", 2.0), tenant("a", 1.0))
    assert "the old value that the change names" in found.apply(change("y", stale, rolls_back=2)).reason
    untouched = Edit("tenant/z", None, tenant("z", 7.0))
    assert "a resource that revision 2 touched" in found.apply(change("z", untouched, rolls_back=2)).reason
    assert found.revision == 3


def test_a_rollback_of_a_compacted_revision_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quincepath.fleet.configuration.delta_log.MAX_DELTAS", 2)
    found = history(1.0, 2.0, 3.0)
    reason = found.apply(change("undo", rolls_back=1)).reason
    assert reason == "rolls_back: 1; expected a revision from 2 to 3"
    assert "expected a revision from 2 to 3" in found.apply(change("new", rolls_back=9)).reason


# --- bounds and snapshots ---


def test_a_loaded_snapshot_behaves_like_the_original() -> None:
    found = history(1.0, 2.0)
    found.apply(change("n", Edit("node/n", None, node("n", 1))))
    found.apply(change("bad", Edit("node/m", None, node("m", 1))))
    other = History()
    other.load(found.dump())
    assert other.dump() == found.dump()
    for one in (found, other):
        assert one.apply(change("c1", Edit("tenant/a", None, tenant("a", 1.0)))).revision == 1
        assert one.apply(change("bad", Edit("node/m", None, node("m", 1)))).revision == 0
        assert one.apply(change("undo", rolls_back=2)).revision == 4
        assert "node/n has it" in one.apply(change("clash", Edit("node/o", None, node("o", 1)))).reason
    assert other.dump() == found.dump()


def test_a_snapshot_of_a_later_version_or_with_a_gap_is_refused() -> None:
    found = history(1.0)
    with pytest.raises(ValueError, match="expected 1 to 1"):
        History().load(found.dump().replace(b"\x96\x01", b"\x96\x02", 1))
    with pytest.raises(ValueError, match="expected up to 2"):
        History().load(found.dump().replace(b"\x96\x01\x01", b"\x96\x01\x02", 1))
    empty = History()
    empty.load(b"")
    assert empty.revision == 0


def test_the_number_of_answers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    assert MAX_ANSWERS >= 2 * 4000 - 1
    monkeypatch.setattr("quincepath.fleet.configuration.history.MAX_ANSWERS", 3)
    found = history(1.0, 2.0, 3.0, 4.0, 5.0)
    assert list(found.answers) == ["c3", "c4", "c5"]


def test_the_delta_log_is_bounded_and_gapless(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quincepath.fleet.configuration.delta_log.MAX_DELTAS", 3)
    log = DeltaLog(0, weights("a", 1.0, 2.0, 3.0, 4.0, 5.0))
    assert (len(log), log.floor, log.newest) == (3, 2, 5)
    assert log.since(1) is None
    assert [delta.revision for delta in log.since(2) or ()] == [3, 4, 5]
    assert [delta.revision for delta in log.since(2, 1) or ()] == [3]
    assert log.since(5) == ()
    assert log.get(2) is None and log.get(6) is None
    assert log.last_change_after(4, "tenant/a") == 5 and log.last_change_after(5, "tenant/a") == 0
    with pytest.raises(ValueError, match="expected 6"):
        log.add(weights("a", 1.0)[0])


def test_the_delta_log_is_bounded_in_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quincepath.fleet.configuration.delta_log.MAX_DELTA_LOG_BYTES", 100)
    log = DeltaLog(0, weights("a", *map(float, range(1, 30))))
    assert log.bytes <= 100 and log.newest == 29 and log.floor == 29 - len(log)
