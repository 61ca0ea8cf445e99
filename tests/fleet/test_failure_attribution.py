"""Attribution of failed queries to replica sets."""

from quincepath.fleet.load_control.failure_attribution import (
    MAX_REPLICA_SETS,
    FailureAttribution,
    FailureShares,
)


def test_sets_of_missing_parts_are_at_fault() -> None:
    assert FailureAttribution().sets_at_fault([0, 0, 1], {0: 2}) == {1}
    assert FailureAttribution().sets_at_fault([0, 0, 1], {0: 1, 1: 1}) == {0}


def test_all_sets_are_at_fault_where_nothing_is_known() -> None:
    assert FailureAttribution().sets_at_fault([0, 1, 2], {}) == {0, 1, 2}


def test_a_set_whose_attempts_mostly_fail_is_at_fault() -> None:
    attribution = FailureAttribution()
    for _ in range(20):
        attribution.record_attempt(1, True)
        attribution.record_attempt(0, False)
    assert attribution.sets_at_fault([0, 1, 2], {}) == {1}


def test_a_set_whose_single_set_queries_are_refused_is_at_fault() -> None:
    attribution = FailureAttribution()
    for _ in range(20):
        attribution.record_attempt(1, False)  # everything sent is answered
        attribution.record_query([1, 1], True)
        attribution.record_query([0], False)
        attribution.record_query([0, 2], True)  # of two sets: says nothing
    assert attribution.sets_at_fault([0, 1, 2], {}) == {1}
    assert attribution.sets_at_fault([0, 2], {}) == {0, 2}


def test_sets_with_equal_refusals_are_at_fault_alike() -> None:
    attribution = FailureAttribution()
    for _ in range(20):
        for replica_set in range(3):
            attribution.record_query([replica_set], True)
    assert attribution.sets_at_fault([0, 1, 2], {}) == {0, 1, 2}


def test_remembered_sets_are_bounded() -> None:
    shares = FailureShares()
    for replica_set in range(MAX_REPLICA_SETS + 10):
        shares.record(replica_set, True)
    assert shares.share(0) == 0.0 and shares.share(MAX_REPLICA_SETS + 9) > 0
