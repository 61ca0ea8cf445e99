"""Commands on their way through the log: each ends once, in time, and there are never too many."""

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


def test_one_more_than_there_may_be_is_refused_at_once_and_has_room_when_another_ends() -> None:
    proposals = Proposals()
    said: list[str] = []
    first = [proposals.add(0, halt(number), said.append) for number in range(MAX_PROPOSALS)][0]
    assert first is not None and proposals.add(0, halt(99), said.append) is None and said == [TOO_MANY]
    proposals.end(first, "")
    assert proposals.add(0, halt(99), said.append) is not None and said == [TOO_MANY, ""]


def test_what_took_effect_ends_with_its_result_and_only_once() -> None:
    proposals = Proposals()
    said: list[tuple[str, str]] = []
    one = proposals.add(0, halt(1), lambda why: said.append(("one", why)))
    two = proposals.add(0, halt(2), lambda why: said.append(("two", why)))
    lost = proposals.add(0, halt(3), lambda why: said.append(("lost", why)))
    assert one is not None and two is not None and lost is not None
    for proposal, index in ((one, 7), (two, 9), (lost, 7)):
        proposals.set_index(proposal.number, index)
    proposals.complete_applied(7, {"id 1": "", "id 2": "refused"})
    assert said == [("one", ""), ("lost", RESULT_NOT_FOUND)]
    proposals.complete_applied(9, {"id 1": "", "id 2": "refused"})
    proposals.end(two, "again")
    assert said[2:] == [("two", "refused")]


def test_what_is_not_committed_in_time_is_told_as_not_known_and_the_others_are_tried_again() -> None:
    proposals = Proposals()
    said: list[str] = []
    old = proposals.add(0, halt(1), said.append)
    young = proposals.add(1, halt(2), said.append)
    placed = proposals.add(1, halt(3), said.append)
    assert old is not None and young is not None and placed is not None
    proposals.set_index(placed.number, 4)
    assert proposals.expire(PROPOSAL_TIMEOUT_NS) == [young] and said == [OUTCOME_UNKNOWN]
    assert proposals.expire(PROPOSAL_TIMEOUT_NS + 1) == [] and said == [OUTCOME_UNKNOWN] * 3


def test_an_answer_to_a_proposal_that_has_ended_changes_nothing() -> None:
    proposals = Proposals()
    said: list[str] = []
    one = proposals.add(0, halt(1), said.append)
    assert one is not None and proposals.has_pending(Halt) and not proposals.has_pending(Resume)
    proposals.end(one, "refused")
    proposals.set_index(one.number, 3)
    proposals.complete_applied(5, {"id 1": ""})
    assert said == ["refused"] and proposals.get(one.number) is None and not proposals.has_pending(Halt)
