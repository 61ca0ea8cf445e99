"""What all brokers together can bear, as one is told: it takes away, and without news nothing changes."""

from collections.abc import Callable

import pytest

from quincepath.interface import Allowance, Answer, Refuse, Result
from tests.helpers import MS, SECOND, START, Broker, entry, node_id, settings

Fate = Callable[[int], Result]  # by the attempt's number
LONG = START + 1000 * SECOND


def bad(attempt: int) -> Result:
    return Result.ERROR


def second_good(attempt: int) -> Result:
    return Result.OK if attempt else Result.ERROR


def play(broker: Broker, rounds: int, fate: Fate) -> int:
    """One query of two parts each 100 ms; what is out ends in the same moment. Further attempts made."""
    before = further(broker)
    for _ in range(rounds):
        broker.query([0, 0])
        for _ in range(10):
            live = [part for part in list(broker.policy.parts.values()) if part.live]
            for part in live:
                if part.live:
                    broker.end(part.id, fate(len(part.attempts) - 1))
        broker.advance(100 * MS)
    return further(broker) - before


def further(broker: Broker) -> int:
    """Attempts beyond a part's first."""
    return len(broker.sends) - len({send.part for send in broker.sends})


@pytest.mark.parametrize(("extras", "most"), [(1.0, 4), (0.1, 1), (0.0, 1)])
def test_further_attempts_keep_to_what_is_allowed(extras: float, most: int) -> None:
    free, held = Broker(), Broker()
    held.feed(Allowance(extras, 1000.0, LONG))
    assert play(free, 30, second_good) > 10  # in three seconds
    assert 1 <= play(held, 30, second_good) <= most


def test_an_allowance_that_is_over_changes_nothing() -> None:
    free, over = Broker(), Broker()
    over.feed(Allowance(0.0, 0.0, START))
    play(free, 20, second_good)
    play(over, 20, second_good)
    assert free.actions == over.actions


def test_an_allowance_never_adds_to_the_budget() -> None:
    broker = Broker(settings(rules={"budget_window": 1000 * SECOND, "budget_free": 2.0}))
    broker.feed(Allowance(1000.0, 1000.0, LONG))
    assert play(broker, 30, second_good) == 2


@pytest.mark.parametrize(("trials", "most"), [(1.0, 4), (0.1, 1), (0.0, 0)])
def test_trials_of_a_failing_node_wait_for_their_turn(trials: float, most: int) -> None:
    found = []
    for told in (False, True):
        broker = Broker(nodes=[entry(0, 0)])
        play(broker, 10, bad)
        assert broker.policy.nodes[node_id(0)].failure_share(broker.now, 0) > 0.5
        if told:
            broker.feed(Allowance(1000.0, trials, LONG))
        before = len(broker.sends)
        play(broker, 30, bad)  # three seconds
        found.append(len(broker.sends) - before)
    assert found[1] <= most < found[0]


def test_a_part_whose_every_replica_waits_for_its_turn_is_refused_in_its_time() -> None:
    broker = Broker(nodes=[entry(0, 0)])
    play(broker, 10, bad)
    assert broker.policy.nodes[node_id(0)].failure_share(broker.now, 0) > 0.5
    broker.feed(Allowance(1000.0, 0.0, LONG))
    before = len(broker.sends)
    rid, _, _ = broker.query([0])
    broker.advance(5 * SECOND)
    ended = [action for action in broker.actions if isinstance(action, (Answer, Refuse)) and action.id == rid]
    assert len(broker.sends) == before and len(ended) == 1 and isinstance(ended[0], Refuse)
