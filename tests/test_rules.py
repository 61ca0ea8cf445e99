"""The six rules and the ordinary choice of replicas, tested at the decision module's interface."""

import pytest

from quincepath.interface import (
    Answer,
    Cancel,
    Effect,
    Fail,
    Left,
    Members,
    Outcome,
    Part,
    Phase,
    Query,
    Refuse,
    Result,
    Scope,
    Send,
    Watch,
)
from tests.helpers import MS, SECOND, Broker, entry, node_id, of_type, query_class, settings

ANY = query_class(need=0.6, floor=0.6)
UNSAFE = query_class(effect=Effect.UNSAFE)
KEYED = query_class(effect=Effect.KEYED, window=SECOND)


# --- choice of parts and replicas ---


def test_any_n_of_k_sends_exactly_n() -> None:
    broker = Broker(settings((ANY,)))
    _, _, got = broker.query([0, 1, 2, 0, 1, 2, 0, 1, 2])
    assert len(of_type(got, Send)) == 6


def test_sends_go_to_the_least_loaded_replica_and_the_least_loaded_parts() -> None:
    broker = Broker(settings((query_class(), query_class(need=0.5, floor=0.5))))
    broker.query([0, 0])  # one part at each replica of cell 0
    _, parts, got = broker.query([0, 1], kind=1)
    sends = of_type(got, Send)
    assert [send.part for send in sends] == [parts[1]]
    _, _, got = broker.query([1])
    assert of_type(got, Send)[0].node != sends[0].node


def test_unequal_weights_decide_n() -> None:
    broker = Broker(settings((query_class(need=0.5, floor=0.5),)))
    rid, parts, got = broker.query([0, 1, 2], weights=[0.2, 0.3, 0.5])
    sent = [send.part for send in of_type(got, Send)]
    weights = dict(zip(parts, [0.2, 0.3, 0.5], strict=True))
    assert sum(weights[part] for part in sent) >= 0.5 > sum(weights[part] for part in sent[:-1])


def test_batched_parts_share_one_call_in_the_count() -> None:
    config = settings(limits={"batch": 4})
    broker = Broker(config, nodes=[entry(0, 0), entry(1, 1), entry(2, 2)])
    broker.query([0, 0, 0])
    node = broker.policy.nodes[node_id(0)]
    assert node.calls == 1


def test_second_step_fetches_within_the_same_query() -> None:
    broker = Broker(settings((query_class(second_step=2),)))
    rid, parts, _ = broker.query([0, 1])
    broker.end(parts[0])
    assert of_type(broker.end(parts[1]), Answer) == [Answer(rid, True)]
    more, got = broker.more_parts([0, 1])
    assert sorted(send.part for send in of_type(got, Send)) == more
    broker.end(more[0])
    assert of_type(broker.end(more[1]), Answer) == [Answer(rid, True)]
    assert not broker.policy.queries


# --- rule 1: no query is lost ---


def test_each_query_gets_one_final_answer_before_its_time_is_up() -> None:
    broker = Broker()
    rid, _, _ = broker.query([0, 1], time_left=3 * SECOND)
    got = broker.advance(3 * SECOND)
    assert len(of_type(got, Refuse)) + len(of_type(got, Fail)) == 1
    assert not of_type(broker.advance(SECOND), Send)


def test_second_step_that_never_comes_still_ends() -> None:
    broker = Broker(settings((query_class(second_step=1),)))
    rid, parts, _ = broker.query([0])
    broker.end(parts[0])
    assert [refusal.id for refusal in of_type(broker.advance(5 * SECOND), Refuse)] == [rid]


def test_no_send_after_the_client_has_left_even_in_one_batch() -> None:
    broker = Broker()
    rid, parts, got = broker.query([0])
    node = of_type(got, Send)[0].node
    failed = Outcome(parts[0], 0, node, Result.ERROR, MS, False, ())
    assert not of_type(broker.feed(failed, Left(rid)), Send)
    assert not of_type(broker.feed(Left(rid)), Fail)


def test_disconnect_reported_for_a_part_stops_sends_and_is_answered() -> None:
    broker = Broker(settings((ANY,)))
    _, parts, got = broker.query([0, 1, 2])
    first = of_type(got, Send)[0]
    failed = Outcome(first.part, 0, first.node, Result.FULL, MS, False, ())
    sent = of_type(broker.feed(failed, Left(first.part)), Send)
    assert not sent and not of_type(broker.advance(4 * SECOND), Send)
    assert len(of_type(broker.actions, Refuse)) == 1


def test_outcome_of_an_unknown_id_is_ignored() -> None:
    broker = Broker()
    assert broker.feed(Outcome(99, 0, node_id(0), Result.OK, MS, True, ())) == []


def test_query_without_a_ready_replica_is_refused_at_once() -> None:
    broker = Broker(nodes=[entry(0, 0)])
    rid, _, got = broker.query([0, 1])
    assert [refusal.id for refusal in of_type(got, Refuse)] == [rid]
    assert not of_type(got, Send)


# --- rule 2: no effect happens twice ---


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_unsafe_part_that_may_have_run_fails_the_query(result: Result) -> None:
    broker = Broker(settings((UNSAFE,)))
    rid, parts, _ = broker.query([0])
    got = broker.end(parts[0], result)
    assert of_type(got, Fail) == [Fail(rid)] and not of_type(got, Send) and not of_type(got, Refuse)


@pytest.mark.parametrize("result", [Result.FULL, Result.CONNECT_FAILED])
def test_unsafe_part_proved_unrun_is_retried(result: Result) -> None:
    broker = Broker(settings((UNSAFE,)))
    _, parts, _ = broker.query([0])
    assert len(of_type(broker.end(parts[0], result), Send)) == 1


def test_unsafe_query_is_refused_only_on_proof() -> None:
    broker = Broker(settings((UNSAFE,), limits={"attempts": 1}))
    rid, parts, _ = broker.query([0])
    assert [r.id for r in of_type(broker.end(parts[0], Result.FULL), Refuse)] == [rid]
    rid, parts, _ = broker.query([0])
    assert of_type(broker.advance(4 * SECOND), Fail) == [Fail(rid)]


def test_unsafe_part_is_never_hedged() -> None:
    broker = Broker(settings((UNSAFE,)))
    broker.query([0])
    assert not of_type(broker.advance(3 * SECOND), Send)


def test_keyed_part_is_retried_only_inside_its_window() -> None:
    broker = Broker(settings((KEYED,)))
    _, parts, _ = broker.query([0])
    assert len(of_type(broker.end(parts[0], Result.ERROR), Send)) == 1
    rid, parts, _ = broker.query([0])
    broker.now += SECOND
    got = broker.end(parts[0], Result.ERROR)
    assert not of_type(got, Send) and of_type(got, Fail) == [Fail(rid)]


def test_no_two_attempts_at_once_where_forbidden() -> None:
    broker = Broker(settings(limits={"duplicate": False}))
    _, parts, got = broker.query([0])
    assert not of_type(broker.advance(of_type(got, Send)[0].timeout - 1), Send)
    assert len(of_type(broker.end(parts[0], Result.TIMEOUT), Send)) == 1


def test_attempt_limit_holds() -> None:
    broker = Broker(settings(limits={"attempts": 2}))
    rid, parts, _ = broker.query([0])
    assert of_type(broker.end(parts[0], Result.ERROR), Send)
    assert not of_type(broker.end(parts[0], Result.ERROR), Send)


# --- rule 3: draining nodes get no sends ---


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_no_send_to_a_draining_or_gone_node(phase: Phase) -> None:
    broker = Broker()
    broker.feed(Members(Scope.DELTA, 2, (entry(0, 0, phase),)))
    for _ in range(6):
        broker.query([0])
    assert {send.node for send in broker.sends} == {node_id(1)}


def test_a_node_missing_from_a_full_list_is_gone_and_may_come_back() -> None:
    broker = Broker()
    broker.feed(Members(Scope.FULL, 2, (entry(1, 0),)))
    broker.query([0])
    broker.query([0])
    assert {send.node for send in broker.sends} == {node_id(1)}
    broker.feed(Members(Scope.DELTA, 3, (entry(0, 0),)))
    broker.query([0])
    assert broker.sends[-1].node == node_id(0)


# --- rule 4: cold nodes are not overloaded ---


def test_cold_node_gets_only_this_brokers_share_of_its_budget() -> None:
    now = 100 * SECOND
    broker = Broker(nodes=[entry(0, 0, since=now - SECOND), entry(1, 1), entry(2, 2)])
    for _ in range(20):
        broker.query([0])
    assert len(broker.sends) <= 1


@pytest.mark.parametrize("instances", [2, 30, 80])
def test_all_brokers_together_stay_within_a_cold_nodes_budget(instances: int) -> None:
    since = 100 * SECOND
    kinds = (query_class(target=1500 * MS),)
    config = [settings(kinds, instances=instances, me=me) for me in range(instances)]
    brokers = [Broker(config[me], seed=me, nodes=[entry(0, 0, since=since)]) for me in range(instances)]
    work = brokers[0].policy.latency[0, 1].baseline
    sent = [0.0] * 31  # work sent in each half second of the ramp
    for slot in range(31):
        for broker in brokers:
            before = len(broker.sends)
            broker.query([0])  # each broker has a part to send at all times
            broker.advance(500 * MS)
            sent[slot] += (len(broker.sends) - before) * work
    windows = [sum(sent[at : at + 4]) for at in range(28)]
    allowed = [2.0 * 2 * 2 * SECOND * min(1.0, 0.2 + 0.8 * (at + 2) / 32) for at in range(28)]  # of two cores
    assert max(used / most for used, most in zip(windows, allowed, strict=True)) <= 1.0
    assert sum(sent[:8]) > 0  # not starved while it warms up


def test_parts_of_a_second_step_take_tokens_of_a_cold_node_like_those_of_the_first() -> None:
    broker = Broker(settings((query_class(second_step=1),), call_work=30 * MS), nodes=[entry(0, 0)])
    broker.policy.latency[0, 2].work = 1.0
    _, parts, _ = broker.query([0])
    broker.end(parts[0])
    node = broker.policy.nodes[node_id(0)]
    before = node.tokens
    broker.more_parts([0])
    assert before - node.tokens == 1.0
    rates = [broker.policy._refill(node, 0)]
    broker.policy.latency[0, 1].work += broker.policy.latency[0, 1].work + 30 * MS  # twice, with the call
    rates.append(broker.policy._refill(node, 0))
    assert rates[0] > 1.9 * rates[1]


@pytest.mark.parametrize("first", [Phase.DRAINING, Phase.GONE])
def test_a_start_listed_before_the_node_is_ready_makes_it_cold(first: Phase) -> None:
    broker = Broker(nodes=[entry(0, 0), entry(2, 1)])
    broker.query([0, 0, 0, 0])
    broker.feed(Members(Scope.DELTA, 2, (entry(0, 0, first, since=broker.now),)))
    broker.feed(Members(Scope.DELTA, 3, (entry(0, 0, Phase.READY, since=broker.now),)))
    before = len(broker.sends)
    for _ in range(5):
        broker.query([0])
    assert len(broker.sends) <= before + 1


def test_replacements_in_waves_are_cold_one_by_one() -> None:
    broker = Broker(nodes=[entry(number, number % 3) for number in range(6)])
    for wave in range(4):
        broker.advance(2 * SECOND)
        new = [entry(10 + 6 * wave + j, j % 3, since=broker.now) for j in range(6)]
        broker.feed(Members(Scope.FULL, 2 + wave, tuple(new)))
        before = len(broker.sends)
        for _ in range(10):
            broker.query([0])
        fresh = [send.node for send in broker.sends[before:]]
        assert all(fresh.count(node) <= 1 for node in fresh)


def test_delayed_parts_are_sent_as_the_cold_node_warms_up() -> None:
    broker = Broker(nodes=[entry(0, 0, since=100 * SECOND)])
    for _ in range(20):
        broker.query([0])
    early = len(broker.sends)
    broker.advance(3 * SECOND)
    assert len(broker.sends) > early


# --- rule 5: answers state correctly whether they are complete ---


@pytest.mark.parametrize(("latency", "chosen"), [(100 * MS, 0), (500 * MS, 1)])
def test_a_cold_node_goes_before_a_slower_warm_one(latency: int, chosen: int) -> None:
    """Its queue is empty: the lowest typical latency over its capacity is expected, not the current one."""
    broker = Broker(nodes=[entry(0, 0)])
    broker.train(shards=(0,))
    broker.train(8, elapsed=latency, shards=(0,))
    broker.feed(Members(Scope.DELTA, 2, (entry(1, 0, since=broker.now - 6 * SECOND),)))
    broker.advance(SECOND)  # to earn a token there
    broker.query([0])
    assert broker.sends[-1].node == node_id(chosen)


def test_no_answer_below_the_floor_and_no_complete_one_below_the_need() -> None:
    broker = Broker(settings((query_class(need=1.0, floor=0.5),)))
    rid, parts, _ = broker.query([0, 1, 2])
    broker.end(parts[0])
    broker.end(parts[1])
    assert of_type(broker.advance(4 * SECOND), Answer) == [Answer(rid, False)]
    rid, parts, _ = broker.query([0, 1, 2])
    broker.end(parts[0])
    assert not of_type(broker.advance(4 * SECOND), Answer)


@pytest.mark.parametrize("second", [0, 2])
def test_best_partial_answer_is_sent_in_time_for_the_target(second: int) -> None:
    spec = query_class(need=1.0, floor=0.6, late_worth=0.0, second_step=second)
    broker = Broker(settings((spec,), limits={"duplicate": False}))
    rid, parts, _ = broker.query([0, 1, 2])
    broker.end(parts[0])
    assert not of_type(broker.actions, Answer)
    broker.end(parts[1])
    before = broker.now
    got = broker.advance(2 * SECOND - 1)
    assert of_type(got, Answer) == [Answer(rid, False)]
    assert not of_type(broker.actions, Refuse) or second
    if second:  # early enough that its parts may still be answered
        broker.actions.clear()
        broker.now = before + 1600 * MS
        more, _ = broker.more_parts([0, 1])
        broker.end(more[0])
        assert of_type(broker.end(more[1]), Answer) == [Answer(rid, False)]


def test_partial_answer_waits_while_the_complete_one_may_come_in_time() -> None:
    broker = Broker(settings((query_class(need=1.0, floor=0.6, late_worth=0.0),)))
    rid, parts, _ = broker.query([0, 1, 2])
    for part in parts[:2]:
        broker.end(part)
    assert not of_type(broker.advance(SECOND), Answer)
    assert of_type(broker.end(parts[2]), Answer) == [Answer(rid, True)]


def overdue(late_worth: float) -> tuple[Broker, int, list[int]]:
    """A query of two parts past its target: one part answered, the first attempt at the other still open."""
    broker = Broker(settings((query_class(late_worth=late_worth),), limits={"duplicate": False}))
    rid, parts, _ = broker.query([0, 1])
    broker.end(parts[0])
    broker.actions.clear()
    broker.advance(2 * SECOND)
    return broker, rid, parts


def test_past_the_target_attempts_are_spread_over_the_time_left_and_the_last_one_ends_the_query() -> None:
    broker, rid, parts = overdue(late_worth=0.3)
    assert not of_type(broker.end(parts[1], Result.FULL), Send)
    assert len(of_type(broker.advance(SECOND), Send)) == 1  # of 2 s for the two remaining attempts
    assert not of_type(broker.end(parts[1], Result.FULL), Send)
    assert not of_type(broker.advance(400 * MS), Send)
    assert len(of_type(broker.advance(100 * MS), Send)) == 1
    assert of_type(broker.end(parts[1], Result.FULL), Refuse)[0].id == rid  # nothing is left to wait for


def test_past_the_target_a_class_without_late_worth_is_given_up_at_once() -> None:
    broker, rid, _ = overdue(late_worth=0.0)
    assert [refuse.id for refuse in of_type(broker.actions, Refuse)] == [rid]


def test_past_the_target_no_hedge_is_sent_beside_an_open_attempt() -> None:
    broker = Broker(settings((query_class(),), limits={"attempts": 2}))
    _, parts, _ = broker.query([0, 1])
    broker.end(parts[0])
    broker.policy.hedge_tokens = 0.0  # no hedge before the target
    broker.advance(2 * SECOND)
    broker.policy.hedge_tokens = 10.0
    assert not of_type(broker.advance(2 * SECOND - 50 * MS), Send)


def test_a_node_with_an_open_connection_goes_before_one_that_needs_a_new_one() -> None:
    broker = Broker(settings((query_class(),)))
    for _ in range(10):
        _, parts, _ = broker.query([0])
        broker.end(parts[0])
    assert len({send.node for send in broker.sends}) == 1
    broker.sends.clear()
    for _ in range(20):
        broker.advance(16 * SECOND)  # beyond the idle time, so no connection is open
        _, parts, _ = broker.query([0])
        broker.end(parts[0])
    assert len({send.node for send in broker.sends}) == 2


def test_a_part_counts_once_however_many_attempts_succeed() -> None:
    broker = Broker(settings((query_class(target=2 * SECOND),)))
    rid, parts, _ = broker.query([0, 1])
    broker.advance(SECOND)
    assert len([s for s in broker.sends if s.part == parts[0]]) == 2
    broker.end(parts[0], attempt=0)
    assert not of_type(broker.end(parts[0], attempt=1), Answer)
    assert of_type(broker.end(parts[1]), Answer) == [Answer(rid, True)]


def test_after_an_incomplete_first_answer_the_second_is_not_complete() -> None:
    one_attempt = {"attempts": 1}
    broker = Broker(settings((query_class(need=1.0, floor=0.5, second_step=1),), limits=one_attempt))
    rid, parts, _ = broker.query([0, 1], time_left=4 * SECOND)
    broker.end(parts[0])
    got = broker.end(parts[1], Result.ERROR)
    assert of_type(got, Answer) == [Answer(rid, False)]
    more, _ = broker.more_parts([0])
    assert of_type(broker.end(more[0]), Answer) == [Answer(rid, False)]


# --- rule 6: the attempt budget ---


def test_extra_attempts_stay_within_the_sliding_window() -> None:
    rules = {"budget_window": 100 * SECOND, "budget_free": 2.0, "budget_ratio": 0.1}
    broker = Broker(settings(rules=rules, limits={"duplicate": False}))

    def extras_of(queries: int, shard: int) -> int:
        before = len(broker.sends)
        for _ in range(queries):
            _, parts, _ = broker.query([shard])
            broker.end(parts[0], Result.ERROR)
            broker.advance(500 * MS)
        return len(broker.sends) - before - queries

    assert extras_of(10, 0) == 4  # 2 free and a tenth of 20 queries and parts
    broker.advance(101 * SECOND)
    assert extras_of(3, 1) == 2


def test_budget_of_zero_allows_no_extra_attempt() -> None:
    broker = Broker(settings(rules={"budget_window": SECOND}))
    _, parts, _ = broker.query([0])
    assert not of_type(broker.end(parts[0], Result.ERROR), Send)


# --- what limits forbid ---


def test_no_cancel_and_no_advice_where_forbidden() -> None:
    broker = Broker(settings((ANY,), limits={"cancel": False, "retry_after": False}))
    _, parts, _ = broker.query([0, 1, 2])
    got = broker.advance(5 * SECOND)
    assert not of_type(broker.actions, Cancel)
    assert [refusal.retry_in for refusal in of_type(got, Refuse)] == [0]


def test_asks_for_the_list_where_it_must_and_again_after_a_failure() -> None:
    broker = Broker(settings(must_ask=True))
    assert of_type(broker.actions, Watch) == [Watch(True)]
    broker.feed(Members(Scope.FAILED, 0, ()))
    assert of_type(broker.advance(5 * SECOND), Watch) == [Watch(True)]


def test_brokers_resubscribe_at_different_times_within_what_the_rules_set() -> None:
    pauses = []
    for seed in range(20):
        broker = Broker(settings(must_ask=True, rules={"must_ask_in": SECOND}), seed=seed)
        broker.feed(Members(Scope.FAILED, 0, ()))
        pauses.append(broker.timers[-1].at - broker.now)
    assert max(pauses) < SECOND
    assert len(set(pauses)) == 20 and max(pauses) > 1.5 * min(pauses)


def test_events_for_unknown_ids_are_ignored() -> None:
    broker = Broker()
    broker.feed(Part(50, 99, 1.0, 0, 0, 0))
    broker.feed(Left(77))
    assert not broker.sends


def test_unusual_but_valid_settings_work() -> None:
    config = settings((ANY,), limits={"attempts": 1, "duplicate": False}, instances=1, cells=1, reach=3)
    broker = Broker(config, nodes=[entry(0, 0)])
    rid, parts, got = broker.query([0, 1, 2, 3, 4])
    assert len(of_type(got, Send)) == 3
    sent = [send.part for send in of_type(got, Send)]
    for part in sent:
        got = broker.end(part)
    assert of_type(got, Answer) == [Answer(rid, True)]


def test_query_without_parts_is_ended() -> None:
    broker = Broker()
    got = broker.feed(Query(900, 77, 0, 0, 0, SECOND, 0, 0, False))
    assert len(of_type(got, Refuse)) + len(of_type(got, Fail)) == 1


# --- unusual but valid settings ---


def test_replicas_in_a_ring_only_get_shards_that_they_hold() -> None:
    broker = Broker(settings(cells=4, reach=2), nodes=[entry(cell, cell) for cell in range(4)])
    for turn in range(24):
        shard = turn % 4
        _, parts, _ = broker.query([shard])
        broker.end(parts[0], Result.ERROR if turn % 3 else Result.OK)
        holders = {node_id(shard), node_id((shard + 1) % 4)}
        sends = [send for send in broker.sends if send.part == parts[0]]
        assert sends and all(send.node in holders for send in sends)


@pytest.mark.parametrize("report", [(), (float("nan"),), (1e30, -5.0), (0.0, 0.0, 0.0, 0.0)])
def test_missing_or_absurd_load_reports_change_nothing(report: tuple[float, ...]) -> None:
    broker, plain = Broker(), Broker()
    for turn in range(12):
        for one in (broker, plain):
            _, parts, _ = one.query([turn % 3])
            one.end(parts[0], report=report if one is broker else (1.0,))
    assert broker.sends == plain.sends


def test_an_unknown_tenant_is_served_like_any_other() -> None:
    broker = Broker()
    _, _, got = broker.query([0, 1], tenant=999)
    assert len(of_type(got, Send)) == 2


def test_keyed_part_with_a_window_shorter_than_its_target_is_retried_inside_it_or_never() -> None:
    spec = query_class(target=2 * SECOND, effect=Effect.KEYED, window=700 * MS, late_worth=0.0)
    broker = Broker(settings((spec,), limits={"duplicate": False}), nodes=[entry(0, 0), entry(1, 0)])
    broker.train(40, shards=(0,))
    latency = broker.policy.latency[0, 1]
    latency.mean = 2.5 * latency.baseline  # congested, when other classes wait longest
    _, parts, _ = broker.query([0])
    first = broker.sends[-1]
    assert first.timeout < 700 * MS  # leaves time for a retry
    broker.advance(first.timeout)
    assert of_type(broker.end(parts[0], Result.TIMEOUT, elapsed=first.timeout), Send)
    broker.advance(700 * MS - first.timeout)
    got = broker.end(parts[0], Result.TIMEOUT, elapsed=300 * MS)
    assert not of_type(got, Send) and len(of_type(got, Fail)) == 1


def test_a_list_that_keeps_failing_is_requested_again_and_queries_are_served_from_the_old_one() -> None:
    broker = Broker(settings(must_ask=True, rules={"must_ask_in": 0}, instances=90))
    for _ in range(30):
        broker.feed(Members(Scope.FAILED, 0, ()))
        assert of_type(broker.advance(4 * SECOND), Watch) == [Watch(True)]
    assert of_type(broker.query([0, 1])[2], Send)


def test_one_node_one_broker_one_attempt_still_ends_every_query() -> None:
    config = settings(limits={"attempts": 1, "duplicate": False}, instances=1, cells=1)
    broker = Broker(config, nodes=[entry(0, 0)])
    rids = []
    for result in (Result.OK, Result.ERROR, Result.FULL, Result.TIMEOUT):
        rid, parts, _ = broker.query([0])
        rids.append(rid)
        broker.end(parts[0], result)
        broker.advance(5 * SECOND)
    ended = [a.id for a in broker.actions if isinstance(a, Answer | Refuse | Fail)]
    assert ended == rids
    assert len(broker.sends) == 4


def test_the_attempt_budget_keeps_its_window_and_no_more() -> None:
    """Accepted queries were once kept for ever where no window was set or no extra attempt was needed."""
    for window, most in ((0, 0), (SECOND, 300)):
        broker = Broker(settings(rules={"budget_window": window, "budget_free": 5.0}))
        for _ in range(300):
            _, parts, _ = broker.query([0])
            broker.end(parts[0])
            broker.advance(10 * MS)
        assert len(broker.policy.budget.accepted) <= most
        assert not broker.policy.budget.extras


@pytest.mark.parametrize("effect", [Effect.UNSAFE, Effect.KEYED])
def test_a_second_step_that_cannot_be_sent_fails_the_query_whose_first_step_ran(effect: Effect) -> None:
    broker = Broker(settings((query_class(effect=effect, second_step=1),)), nodes=[entry(0, 0)])
    _, parts, _ = broker.query([0])
    broker.end(parts[0])
    _, got = broker.more_parts([1])  # no node holds it
    assert of_type(got, Fail) and not of_type(got, Refuse)


@pytest.mark.parametrize(("window", "before"), [(SECOND, 5 * MS), (SECOND, 1), (4 * MS, 2 * MS), (1, 0)])
def test_no_keyed_part_is_retried_so_late_that_it_leaves_after_its_window(window: int, before: int) -> None:
    """An action leaves the process some time after its decision; past the window a retry would run twice."""
    broker = Broker(settings((query_class(effect=Effect.KEYED, window=window),)))
    _, parts, _ = broker.query([0])
    broker.advance(window - before)
    got = broker.end(parts[0], Result.TIMEOUT)
    got += broker.advance(SECOND)
    assert not of_type(got, Send) and not of_type(got, Refuse) and len(of_type(got, Fail)) == 1


@pytest.mark.parametrize("window", [1, 4 * MS, 100 * MS])
def test_a_window_too_short_for_a_retry_does_not_cut_healthy_attempts_off(window: int) -> None:
    spec = query_class(target=2 * SECOND, effect=Effect.KEYED, window=window, late_worth=0.0)
    broker = Broker(settings((spec,), limits={"duplicate": False}))
    broker.query([0])
    assert broker.sends[-1].timeout == 2 * SECOND
