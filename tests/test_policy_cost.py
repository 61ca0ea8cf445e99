"""Cost of the decision module: linear in a query's parts, and independent of the list's length for one node.

Guards against cost that grows with the square of the parts, or with the node list for one changed node. Steps
are counted, not timed: the bytecode instructions that the module's own files execute. The counts are the same
on each run, whatever else the machine does. Processor time is compared once, with room for a busy machine.
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
from quincepath.broker.driver.rules import GONE_RETENTION_NS, Rules
from quincepath.broker.driver.state import NEVER
from quincepath.interface import Action, Event, Members, Outcome, Phase, Result, Scope, Send
from quincepath.orders import MembershipUpdate
from quincepath.policy import Aggregator, QueryState
from quincepath.policy import __file__ as face

TraceFunction = Callable[[FrameType, str, Any], Any]
POLICY = Path(face).parent
DRIVER = POLICY.parent / "broker" / "driver"
FEW, MANY = 16, 130  # parts of a query
SMALL, LARGE = 1200, 12000  # nodes of a list
STEPS_RATIO = 1.1  # limit on the cost of a part of a query of MANY relative to one of FEW
TIME_RATIO = 3.0  # the same for processor time, which a busy machine disturbs


def steps(work: Callable[[], object], folders: tuple[Path, ...] = (POLICY,)) -> int:
    """Number of instructions that the files of the folders execute during the work."""
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
    """Steps of the module per part sent."""
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


def sum_over_parts(query: QueryState) -> float:
    """Sums over all parts, as the module once did for each event."""
    return sum(part.weight for part in query.parts if part.ok or part.live)


def test_a_loop_over_all_parts_for_each_event_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    namespace: dict[str, Any] = {}
    exec(
        compile(inspect.getsource(sum_over_parts), str(POLICY / "planted.py"), "exec"),
        {"QueryState": QueryState},
        namespace,
    )
    next_wakeup = Aggregator._next_wakeup

    def looping(module: Aggregator, query: QueryState, blocked: bool) -> int:
        namespace["sum_over_parts"](query)
        return next_wakeup(module, query, blocked)

    monkeypatch.setattr(Aggregator, "_next_wakeup", looping)
    assert steps_per_part(MANY) > STEPS_RATIO * steps_per_part(FEW)


def steps_per_outcome_in_overload(parts: int) -> float:
    """Steps per outcome of a query whose parts are all late, with too few hedge tokens to replace them."""
    case = Case(parts=parts, failing=0.0, duplicate=False)
    module = Aggregator(case_settings(case), 1)
    module.handle(probe.START, [probe.node_list(case.cells * case.replicas, case.cells)])
    load = probe.Load(parts, make_module=lambda settings, seed: module)
    sends = [action for action in module.handle(load.now, load.arrival()) if isinstance(action, Send)]
    ends = [Outcome(send.part, 0, send.node, Result.OK, probe.MS, False, ()) for send in sends]
    late = load.now + case_settings(case).classes[0].target // 2
    module.handle(late, ends[:1])  # the others are late from now on
    (query,) = module.queries.values()
    assert len(query.uncovered) == parts - 1
    module.hedge_tokens = 0.0
    return steps(lambda: [module.handle(late, [end]) for end in ends[1:-2]]) / (parts - 3)


def test_an_outcome_costs_the_same_while_all_parts_are_late() -> None:
    few, many = (steps_per_outcome_in_overload(parts) for parts in (FEW, MANY))
    assert many <= STEPS_RATIO * few


def steps_per_change(nodes: int) -> float:
    """Steps of the driver and its module for a list event with one node, which leaves and returns."""
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
def test_a_node_gone_for_long_is_removed_unless_it_came_back(back: bool) -> None:
    rules, node, now = Rules(probe.site(), probe.SECOND), probe.node_id(0), probe.START
    rules.update_members(now, probe.node_list(2, probe.CELLS))
    for phase in (Phase.GONE, Phase.READY)[: 1 + back]:
        rules.update_members(now, Members(Scope.DELTA, 2, (probe.entry(0, probe.CELLS, phase),)))
    other = Members(Scope.DELTA, 3, (probe.entry(1, probe.CELLS),))
    rules.update_members(now + probe.SECOND + GONE_RETENTION_NS, other)
    assert (rules.send_start_by(node) == NEVER) is back
    rules.update_members(now + probe.SECOND + GONE_RETENTION_NS + 1, other)
    assert rules.send_start_by(node) == NEVER  # ready, or unknown like one that was never listed


def test_processor_time_follows_the_steps() -> None:
    few, many = (probe.part_cost_seconds(parts, measured=520) for parts in (FEW, MANY))
    assert many <= TIME_RATIO * few
    small, large = (probe.node_change_seconds(nodes) for nodes in (SMALL, LARGE))
    assert large <= TIME_RATIO * small


class SumChecker(Aggregator):
    """Compares the running sums of each open query with sums over its parts after each call."""

    checked = 0

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        actions = super().handle(now, events)
        for query in self.queries.values():
            self.compare(query)
        return actions

    def compare(self, query: QueryState) -> None:
        if query.awaiting_second_step:  # its parts are cancelled and not used again
            return
        parts = query.parts
        live = [attempt for part in parts for attempt in part.live]
        covered = [part for part in parts if part.ok or any(not attempt.late for attempt in part.live)]
        started = [part for part in parts if any(not attempt.failed for attempt in part.attempts)]
        kept = (query.weight_in, query.weight_covered, query.weight_active, query.weight_started)
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
def test_the_running_sums_of_a_query_match_sums_over_its_parts(case: str) -> None:
    module = SumChecker(case_settings(CASES[case]), 5)
    World(replace(CASES[case], queries=12), module, 5).play()
    assert module.checked > 100
