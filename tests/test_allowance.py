"""The allowance that bounds the sum over all brokers: it only restricts, and without one nothing changes."""

from collections.abc import Callable

import pytest

from quincepath.interface import Allowance, Answer, Refuse, Result
from tests.helpers import MS, SECOND, START, Broker, entry, node_id, settings

ResultOf = Callable[[int], Result]  # by the attempt's number
UNTIL = START + 1000 * SECOND


def always_fails(attempt: int) -> Result:
    return Result.ERROR


def second_succeeds(attempt: int) -> Result:
    return Result.OK if attempt else Result.ERROR


def run_queries(broker: Broker, rounds: int, result_of: ResultOf) -> int:
    """Runs a query of two parts each 100 ms; open attempts end at once. Returns the extra attempts made."""
    before = extra_attempts(broker)
    for _ in range(rounds):
        broker.query([0, 0])
        for _ in range(10):
            live = [part for part in list(broker.policy.parts.values()) if part.live]
            for part in live:
                if part.live:
                    broker.end(part.id, result_of(len(part.attempts) - 1))
        broker.advance(100 * MS)
    return extra_attempts(broker) - before


def extra_attempts(broker: Broker) -> int:
    """Attempts beyond a part's first."""
    return len(broker.sends) - len({send.part for send in broker.sends})


@pytest.mark.parametrize(("extras", "most"), [(1.0, 4), (0.1, 1), (0.0, 1)])
def test_extra_attempts_keep_to_the_allowance(extras: float, most: int) -> None:
    free, limited = Broker(), Broker()
    limited.feed(Allowance(extras, 1000.0, UNTIL))
    assert run_queries(free, 30, second_succeeds) > 10  # in three seconds
    assert 1 <= run_queries(limited, 30, second_succeeds) <= most


def test_an_expired_allowance_changes_nothing() -> None:
    free, expired = Broker(), Broker()
    expired.feed(Allowance(0.0, 0.0, START))
    run_queries(free, 20, second_succeeds)
    run_queries(expired, 20, second_succeeds)
    assert free.actions == expired.actions


def test_an_allowance_never_adds_to_the_budget() -> None:
    broker = Broker(settings(rules={"budget_window": 1000 * SECOND, "budget_free": 2.0}))
    broker.feed(Allowance(1000.0, 1000.0, UNTIL))
    assert run_queries(broker, 30, second_succeeds) == 2


@pytest.mark.parametrize(("trials", "most"), [(1.0, 4), (0.1, 1), (0.0, 0)])
def test_probes_of_a_failing_node_wait_for_their_turn(trials: float, most: int) -> None:
    found = []
    for limited in (False, True):
        broker = Broker(nodes=[entry(0, 0)])
        run_queries(broker, 10, always_fails)
        assert broker.policy.nodes[node_id(0)].failure_share(broker.now, 0) > 0.5
        if limited:
            broker.feed(Allowance(1000.0, trials, UNTIL))
        before = len(broker.sends)
        run_queries(broker, 30, always_fails)  # three seconds
        found.append(len(broker.sends) - before)
    assert found[1] <= most < found[0]


def test_a_part_whose_every_replica_waits_for_its_turn_is_refused_in_its_time() -> None:
    broker = Broker(nodes=[entry(0, 0)])
    run_queries(broker, 10, always_fails)
    assert broker.policy.nodes[node_id(0)].failure_share(broker.now, 0) > 0.5
    broker.feed(Allowance(1000.0, 0.0, UNTIL))
    before = len(broker.sends)
    rid, _, _ = broker.query([0])
    broker.advance(5 * SECOND)
    ended = [action for action in broker.actions if isinstance(action, (Answer, Refuse)) and action.id == rid]
    assert len(broker.sends) == before and len(ended) == 1 and isinstance(ended[0], Refuse)
