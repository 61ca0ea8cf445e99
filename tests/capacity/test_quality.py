"""The ways to choose differ in the choice alone, and the gain is of what true queues save."""

import pytest

from benchmarks.capacity.quality import OWN, RANDOM, TRUE, Choosing, Play, gain_kept
from benchmarks.capacity.site import MS, configuration
from quincepath.interface import Entry, Event, Members, Outcome, Part, Phase, Query, Result, Scope, Send


def test_the_gain_kept_is_one_for_true_queues_and_none_for_random_choice() -> None:
    assert gain_kept(0.1, 0.06, 0.06) == pytest.approx(1) and gain_kept(0.1, 0.1, 0.06) == 0
    assert gain_kept(0.1, 0.08, 0.06) == pytest.approx(0.5) and gain_kept(0.1, 0.11, 0.06) < 0


def test_own_count_goes_to_the_replica_with_least_out_and_an_end_frees_it() -> None:
    module = Choosing(configuration(sets=1).settings, 1, None)
    entries = tuple(Entry(name, 0, 0, 0, 0, Phase.READY, 1.0) for name in (b"a", b"b"))
    module.handle(0, [Members(Scope.FULL, 1, entries)])

    def ask(number: int) -> Send:
        events: list[Event] = [
            Query(number, number, 1, 0, 0, 1000 * MS, 0, 0, False), Part(100 + number, number, 1.0, 0, 0, 0),
        ]  # fmt: skip
        (send,) = (one for one in module.handle(0, events) if isinstance(one, Send))
        return send

    first, second = ask(1), ask(2)
    assert {first.node, second.node} == {b"a", b"b"}
    module.handle(MS, [Outcome(first.part, 0, first.node, Result.OK, MS, True, ())])
    assert ask(3).node == first.node


def test_with_few_brokers_own_count_lies_between_random_choice_and_true_queues() -> None:
    random, own, true = (Play(way, 8, 41).p99_seconds for way in (RANDOM, OWN, TRUE))
    assert true <= own < random
    assert Play(OWN, 8, 41).p99_seconds == own  # the same each time
