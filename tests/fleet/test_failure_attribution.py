"""Which replica sets are blamed for a query that ended badly."""

from quincepath.fleet.load_control.failure_attribution import (
    MAX_REPLICA_SETS,
    FailureAttribution,
    FailureShares,
)


def test_where_some_parts_came_the_others_are_to_blame() -> None:
    assert FailureAttribution().sets_at_fault([0, 0, 1], {0: 2}) == {1}
    assert FailureAttribution().sets_at_fault([0, 0, 1], {0: 1, 1: 1}) == {0}


def test_where_nothing_is_known_all_are() -> None:
    assert FailureAttribution().sets_at_fault([0, 1, 2], {}) == {0, 1, 2}


def test_a_set_whose_attempts_mostly_fail_is() -> None:
    blame = FailureAttribution()
    for _ in range(20):
        blame.record_attempt(1, True)
        blame.record_attempt(0, False)
    assert blame.sets_at_fault([0, 1, 2], {}) == {1}


def test_a_set_whose_own_queries_are_refused_before_anything_is_sent_is() -> None:
    blame = FailureAttribution()
    for _ in range(20):
        blame.record_attempt(1, False)  # what is sent comes back
        blame.record_query([1, 1], True)
        blame.record_query([0], False)
        blame.record_query([0, 2], True)  # of two sets: tells nothing
    assert blame.sets_at_fault([0, 1, 2], {}) == {1}
    assert blame.sets_at_fault([0, 2], {}) == {0, 2}


def test_sets_that_are_refused_alike_are_blamed_alike() -> None:
    blame = FailureAttribution()
    for _ in range(20):
        for cell in range(3):
            blame.record_query([cell], True)
    assert blame.sets_at_fault([0, 1, 2], {}) == {0, 1, 2}


def test_no_more_sets_are_remembered_than_the_bound() -> None:
    shares = FailureShares()
    for cell in range(MAX_REPLICA_SETS + 10):
        shares.record(cell, True)
    assert shares.share(0) == 0.0 and shares.share(MAX_REPLICA_SETS + 9) > 0
