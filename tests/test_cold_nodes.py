"""Sends of all brokers together to cold nodes stay in their bound: seeded fleets in virtual time."""

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from benchmarks.cold_nodes import ALL, HARD, MS, SECOND, STEADY, World
from quincepath.interface import Members, Scope
from tests.helpers import Broker, entry, node_id, query_class, settings

FULLEST_AFTER = 13 * SECOND  # idle for long enough to fill the largest token bucket


def worst(changes: dict[str, Any], brokers: int, seed: int) -> float:
    world = World(replace(STEADY, brokers=brokers, **{"seconds": 7.0, **changes}), seed)
    world.run()
    assert sum(map(len, world.sent.values())) > 5, "nothing was sent at all"
    return world.worst()[0]


@pytest.mark.parametrize(("name", "brokers", "seed"), [
    ("all at once after idle time", 20, 3),
    ("all at once after idle time", 30, 1),
    ("all at once after idle time", 200, 0),
    ("seven in ten restart, all at once", 200, 0),
    ("all of it", 200, 4),
    ("all of it, much work", 30, 1),
    ("nobody has learned, twice the prior, all at once", 20, 0),
    ("nobody has learned, twice the prior, all at once", 30, 0),
])  # fmt: skip
def test_sends_of_all_brokers_stay_in_the_bound_on_seeds_that_exceeded_it(
    name: str, brokers: int, seed: int
) -> None:
    assert worst(HARD[name], brokers, seed) <= 1.0


@pytest.mark.parametrize("fate", ["errors", "full", "lost"])
def test_further_attempts_at_a_failing_cold_node_stay_in_the_bound(fate: str) -> None:
    assert worst({**ALL, "fate": fate}, 30, 2) <= 1.0


def test_idle_brokers_do_not_all_save_up_a_token_for_the_same_moment() -> None:
    """With less than a token per interval each, all of a hundred brokers saved one for the same moment."""
    kinds, count, since = (query_class(target=2 * SECOND),), 100, 100 * SECOND
    brokers = []
    for me in range(count):
        brokers.append(Broker(settings(kinds, instances=count, me=me), seed=me, nodes=[entry(0, 0)]))
        brokers[-1].train(40, elapsed=200 * MS, shards=(0,))
        brokers[-1].now = since
        brokers[-1].feed(Members(Scope.FULL, 2, (entry(1, 0, since=since),)))
        brokers[-1].advance(FULLEST_AFTER)
    sent = 0
    for broker in brokers:
        broker.query([0])
        sent += broker.sends[-1].node == node_id(1)
    most = 2.0 * 2 * (0.2 + 0.8 * (13 + 1) / 16) * 2 * SECOND / (200 * MS)
    assert 0 < sent <= most + 2 * most**0.5 + 2


def test_a_restarted_broker_gets_no_token_that_it_may_have_used_before() -> None:
    config, since = settings(instances=3), 100 * SECOND
    first = Broker(config, nodes=[entry(0, 0, since=since)])
    first.advance(10 * SECOND)
    for _ in range(9):
        first.query([0])
    assert first.sends
    again = Broker(config, nodes=[])
    again.now = first.now
    again.feed(Members(Scope.FULL, 1, (entry(0, 0, since=since),)))
    again.query([0])
    assert not again.sends
    again.advance(6 * SECOND)  # it is not starved for good
    assert again.sends


def test_a_token_expires() -> None:
    broker = Broker(settings(instances=400), nodes=[entry(0, 0, since=100 * SECOND)])
    broker.policy.latency[0, 1].work = 20 * MS
    node, seen = broker.policy.nodes[node_id(0)], set()
    for _ in range(1500):
        broker.now += 10 * MS
        broker.policy.now = broker.now
        broker.policy._refill(node, 0)
        seen.add(node.tokens)
    assert seen == {0.0, 1.0}, "a token came and expired"


@pytest.mark.parametrize("name", ["ramp_time", "overload_for", "fall_multiple", "cold_share"])
@pytest.mark.parametrize("since", [0, 100 * SECOND])
def test_a_rule_of_zero_does_not_break_the_module(name: str, since: int) -> None:
    config = settings(instances=3)
    config = replace(config, rules=replace(config.rules, **{name: 0}))
    broker = Broker(config, nodes=[entry(0, 0, since=since)])
    broker.advance(SECOND)
    broker.query([0])
    assert broker.sends or since


@pytest.mark.parametrize("name", [node_id(1), b"s-20916b5a", b"s-34de9e84", b"x" * 255], ids=repr)
@pytest.mark.parametrize("count", [3, 200, 2600])
def test_brokers_take_turns_at_a_cold_node_however_long_its_id_is(name: bytes, count: int) -> None:
    """An id of ten bytes divided as a float has no fraction left: all brokers got the same turn, the last."""
    turns = []
    for me in range(0, count, max(count // 100, 1)):
        broker = Broker(settings(instances=count, me=me), seed=me, nodes=[entry(0, 0)])
        started = replace(entry(1, 0, since=broker.now), node=name)
        broker.feed(Members(Scope.FULL, 2, (started,)))
        turns.append(broker.policy.nodes[name].token_fraction)
    gaps = [later - earlier for earlier, later in pairwise(sorted(turns))]
    assert max(gaps) < 2 / len(turns) and min(gaps) > 0.5 / len(turns)
