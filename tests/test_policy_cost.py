"""The decision module's cost grows with the square of a query's parts again, or with the list for one node.

Steps are counted, not timed: the bytecode instructions that the module's own files execute for the events of
a play. The counts are the same on each run, whatever else the machine does. Processor time is compared once,
with room for a busy machine.
"""

import inspect
import sys
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from benchmarks import capacity_probe_module as probe
from benchmarks.replay_worlds import CASES, Case, World, case_settings
from quincepath.broker.driver import Driver
from quincepath.broker.driver.rules import GONE_RETENTION_NS, NEVER, Rules
from quincepath.interface import Action, Event, Members, Outcome, Phase, Result, Scope, Send
from quincepath.orders import MembershipUpdate
from quincepath.policy import Aggregator, QueryState
from quincepath.policy import __file__ as face

TraceFunction = Callable[[FrameType, str, Any], Any]
POLICY = Path(face).parent
DRIVER = POLICY.parent / "broker" / "driver"
FEW, MANY = 16, 130  # parts of a query
SMALL, LARGE = 1200, 12000  # nodes of a list
STEPS_RATIO = 1.1  # most that a part of a query of MANY may cost over one of FEW
TIME_RATIO = 3.0  # the same in processor time, where a busy machine disturbs both figures


def steps(work: Callable[[], object], folders: tuple[Path, ...] = (POLICY,)) -> int:
    """Instructions that the module's files, or those of other folders, execute while the work is done."""
    count = 0

    def step(frame: FrameType, event: str, argument: object) -> TraceFunction:
        nonlocal count
        count += event == "opcode"
        return step

    def enter(frame: FrameType, event: str, argument: object) -> TraceFunction | None:
        if Path(frame.f_code.co_filename).parent not in folders:
            return None
        frame.f_trace_opcodes = True
        return step

    before = sys.gettrace()
    sys.settrace(enter)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def steps_per_part(parts: int, queries: int = 4, **load: Any) -> float:
    """Steps of the module for a part sent."""
    played = probe.Load(parts, **load)
    played.query()
    sent: list[int] = []
    counted = steps(lambda: sent.extend(played.query() for _ in range(queries)))
    return counted / sum(sent)


@pytest.mark.parametrize(
    "load",
    [{}, {"need": 0.5}, {"shards": 4}, {"shards": 1, "need": 0.5}],
    ids=["all", "half", "four shards", "half of one shard"],
)
def test_a_part_of_a_large_query_costs_what_one_of_a_small_query_does(load: dict[str, Any]) -> None:
    assert steps_per_part(MANY, **load) <= STEPS_RATIO * steps_per_part(FEW, **load)


def walk(query: QueryState) -> float:
    """A sum over all parts, as the module made it for each event."""
    return sum(part.weight for part in query.parts if part.ok or part.live)


def test_a_walk_over_all_parts_for_each_event_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    namespace: dict[str, Any] = {}
    exec(
        compile(inspect.getsource(walk), str(POLICY / "planted.py"), "exec"),
        {"QueryState": QueryState},
        namespace,
    )
    next_wakeup = Aggregator._next_wakeup

    def walking(module: Aggregator, query: QueryState, blocked: bool) -> int:
        namespace["walk"](query)
        return next_wakeup(module, query, blocked)

    monkeypatch.setattr(Aggregator, "_next_wakeup", walking)
    assert steps_per_part(MANY) > STEPS_RATIO * steps_per_part(FEW)


def steps_per_outcome_in_overload(parts: int) -> float:
    """Steps for an outcome of a query whose parts are all late, with a store that does not suffice for it."""
    case = Case(parts=parts, failing=0.0, duplicate=False)
    module = Aggregator(case_settings(case), 1)
    module.handle(probe.START, [probe.node_list(case.cells * case.replicas, case.cells)])
    load = probe.Load(parts, make_module=lambda settings, seed: module)
    sends = [action for action in module.handle(load.now, load.arrival()) if isinstance(action, Send)]
    ends = [Outcome(send.part, 0, send.node, Result.OK, probe.MS, False, ()) for send in sends]
    late = load.now + case_settings(case).classes[0].target // 2
    module.handle(late, ends[:1])  # the others are late from here on
    (query,) = module.queries.values()
    assert len(query.uncovered) == parts - 1
    module.hedge_tokens = 0.0
    return steps(lambda: [module.handle(late, [end]) for end in ends[1:-2]]) / (parts - 3)


def test_an_outcome_costs_the_same_while_all_parts_are_late() -> None:
    few, many = (steps_per_outcome_in_overload(parts) for parts in (FEW, MANY))
    assert many <= STEPS_RATIO * few


def steps_per_change(nodes: int) -> float:
    """Steps of the driver and its module for a list event that names one node, which goes and comes back."""
    cells = nodes // probe.REPLICAS
    settings = probe.site(cells=cells)
    broker = Driver(Aggregator(settings, 1), settings, probe.SECOND)
    broker.step(probe.START, [MembershipUpdate(probe.node_list(nodes, cells))])
    phases = (Phase.DRAINING, Phase.READY, Phase.GONE, Phase.READY)
    deltas = [
        Members(Scope.DELTA, 2, (probe.entry(number, cells, phase),))
        for number in range(0, nodes, nodes // 20)
        for phase in phases
    ]
    tell = partial(broker.step, probe.START)
    return steps(lambda: [tell([MembershipUpdate(delta)]) for delta in deltas], (POLICY, DRIVER)) / len(
        deltas
    )


def test_one_changed_node_costs_the_same_in_a_list_ten_times_as_long() -> None:
    assert steps_per_change(LARGE) <= STEPS_RATIO * steps_per_change(SMALL)


@pytest.mark.parametrize("back", [False, True])
def test_a_node_that_is_gone_for_long_is_forgotten_unless_it_came_back(back: bool) -> None:
    rules, node, now = Rules(probe.site(), probe.SECOND), probe.node_id(0), probe.START
    rules.update_members(now, probe.node_list(2, probe.CELLS))
    for phase in (Phase.GONE, Phase.READY)[: 1 + back]:
        rules.update_members(now, Members(Scope.DELTA, 2, (probe.entry(0, probe.CELLS, phase),)))
    other = Members(Scope.DELTA, 3, (probe.entry(1, probe.CELLS),))
    rules.update_members(now + probe.SECOND + GONE_RETENTION_NS, other)
    assert (rules.send_start_by(node) == NEVER) is back
    rules.update_members(now + probe.SECOND + GONE_RETENTION_NS + 1, other)
    assert rules.send_start_by(node) == NEVER  # ready, or as unknown as one that was never named


def test_processor_time_follows_the_steps() -> None:
    few, many = (probe.part_cost_seconds(parts, measured=520) for parts in (FEW, MANY))
    assert many <= TIME_RATIO * few
    small, large = (probe.node_change_seconds(nodes) for nodes in (SMALL, LARGE))
    assert large <= TIME_RATIO * small


class Checked(Aggregator):
    """Compares after each call what is kept of each open query with sums over its parts."""

    checked = 0

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        actions = super().handle(now, events)
        for query in self.queries.values():
            self.compare(query)
        return actions

    def compare(self, query: QueryState) -> None:
        if query.awaiting_second_step:  # its parts are called back, and none is looked at again
            return
        parts = query.parts
        live = [attempt for part in parts for attempt in part.live]
        covered = [part for part in parts if part.ok or any(not attempt.late for attempt in part.live)]
        started = [part for part in parts if any(not attempt.failed for attempt in part.attempts)]
        kept = (query.weight_in, query.weight_covered, query.weight_in_or_live, query.weight_started)
        summed = (
            [part for part in parts if part.ok],
            covered,
            [part for part in parts if part.ok or part.live],
            started,
        )
        for value, those in zip(kept, summed, strict=True):
            assert value == pytest.approx(sum(part.weight for part in those), abs=1e-9)
        assert query.open_attempts == len(live)
        assert query.attempts_sent == sum(len(part.attempts) for part in parts)
        assert query.uncovered == {part.index: part for part in parts if part not in covered}
        in_time = [attempt for attempt in live if not attempt.late]
        assert set(query.in_time) == set(in_time)
        assert [attempt.sent_at for attempt in query.in_time] == sorted(
            attempt.sent_at for attempt in in_time
        )
        unsent = [part for part in parts if not part.attempts and not part.closed]
        assert sorted(part.index for home in query.unsent.values() for part in home) == [
            part.index for part in unsent
        ]
        self.checked += 1


@pytest.mark.parametrize("case", ["narrow", "cells-below-reach", "shared", "steps", "unsafe", "storm"])
def test_what_a_query_keeps_up_to_date_is_what_its_parts_sum_up_to(case: str) -> None:
    module = Checked(case_settings(CASES[case]), 5)
    World(replace(CASES[case], queries=12), module, 5).play()
    assert module.checked > 100
