"""Proposals to the log: each ends once and in time, and their number is bounded."""

from quincepath.fleet.permits import Halt, Resume
from quincepath.fleet.proposals import (
    MAX_PROPOSALS,
    OUTCOME_UNKNOWN,
    PROPOSAL_TIMEOUT_NS,
    RESULT_NOT_FOUND,
    TOO_MANY,
    Proposals,
)


def halt(number: int) -> Halt:
    return Halt(f"id {number}", "staff", 0, "why")


def test_a_proposal_over_the_limit_is_refused_at_once_and_accepted_once_another_ends() -> None:
    proposals = Proposals()
    outcomes: list[str] = []
    first = [proposals.add(0, halt(number), outcomes.append) for number in range(MAX_PROPOSALS)][0]
    assert (
        first is not None and proposals.add(0, halt(99), outcomes.append) is None and outcomes == [TOO_MANY]
    )
    proposals.end(first, "")
    assert proposals.add(0, halt(99), outcomes.append) is not None and outcomes == [TOO_MANY, ""]


def test_an_applied_proposal_ends_once_with_its_result() -> None:
    proposals = Proposals()
    outcomes: list[tuple[str, str]] = []
    one = proposals.add(0, halt(1), lambda why: outcomes.append(("one", why)))
    two = proposals.add(0, halt(2), lambda why: outcomes.append(("two", why)))
    lost = proposals.add(0, halt(3), lambda why: outcomes.append(("lost", why)))
    assert one is not None and two is not None and lost is not None
    for proposal, index in ((one, 7), (two, 9), (lost, 7)):
        proposals.set_index(proposal.number, index)
    proposals.complete_applied(7, {"id 1": "", "id 2": "refused"})
    assert outcomes == [("one", ""), ("lost", RESULT_NOT_FOUND)]
    proposals.complete_applied(9, {"id 1": "", "id 2": "refused"})
    proposals.end(two, "again")
    assert outcomes[2:] == [("two", "refused")]


def test_a_proposal_past_its_timeout_ends_as_unknown_and_unplaced_ones_are_returned_for_retry() -> None:
    proposals = Proposals()
    outcomes: list[str] = []
    old = proposals.add(0, halt(1), outcomes.append)
    recent = proposals.add(1, halt(2), outcomes.append)
    placed = proposals.add(1, halt(3), outcomes.append)
    assert old is not None and recent is not None and placed is not None
    proposals.set_index(placed.number, 4)
    assert proposals.expire(PROPOSAL_TIMEOUT_NS) == [recent] and outcomes == [OUTCOME_UNKNOWN]
    assert proposals.expire(PROPOSAL_TIMEOUT_NS + 1) == [] and outcomes == [OUTCOME_UNKNOWN] * 3


def test_a_response_to_an_ended_proposal_changes_nothing() -> None:
    proposals = Proposals()
    outcomes: list[str] = []
    one = proposals.add(0, halt(1), outcomes.append)
    assert one is not None and proposals.has_pending(Halt) and not proposals.has_pending(Resume)
    proposals.end(one, "refused")
    proposals.set_index(one.number, 3)
    proposals.complete_applied(5, {"id 1": ""})
    assert outcomes == ["refused"] and proposals.get(one.number) is None and not proposals.has_pending(Halt)
