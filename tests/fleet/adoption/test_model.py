"""Model check of adoption: every sequence of few actions from each point of a complete adoption.

The run below contains a proposal, adoption, use, a measurement that differs from the forecast, and rollback.
From each of its states all actions are explored to ``DEPTH`` steps; long random walks reach states far from
it.
"""

import random

import pytest

from quincepath.fleet.adoption import MapFollower, MapReports, Topology, machine, reports
from quincepath.shards.versions import MapVersions
from tests.fleet.adoption.builders import BROKERS
from tests.fleet.adoption.model import Action, InvariantViolated, ModelState, recover, topology

DEPTH = 3
LOG_ACTIONS = ("apply", "stage", "report", "hear")
WALK_COUNT, WALK_STEPS = 400, 250
# They end a change that other actions have started.
RARE_ACTIONS = ("back", "away", "crash", "new leader", "resume")


def all_of(*whats: str) -> list[Action]:
    return [(what, name) for name in BROKERS for what in whats]


def report_and_hear() -> list[Action]:
    return [
        (what, name, *([-1] if what == "hear" else [])) for name in BROKERS for what in ("report", "hear")
    ]


RUN: list[Action] = [
    ("begin", "b1"), ("propose", "split"), ("adopt",), *all_of("apply", "apply", "stage"),
    *report_and_hear(), ("use",),
    ("apply", "b1"), ("end", "b1"), ("begin", "b1"), ("begin", "b2"), *all_of("apply")[1:], ("end", "b2"),
    *report_and_hear(), ("measured", "bad"), ("back",), *all_of("apply", "apply", "stage"),
    *report_and_hear(), ("use",),
    *all_of("apply"), ("end", "b1"),
]  # fmt: skip


def states_of_run() -> list[ModelState]:
    found = [ModelState.first()]
    for action in RUN:
        state = found[-1].copy()
        state.step(action)
        found.append(state)
    return found


def explore(depth: int, most: int = 10**9) -> int:
    """Explores from each state of the run; the number of states. Raises ``InvariantViolated``."""
    seen: dict[object, int] = {}
    logs = set()
    for start in states_of_run():
        edge = [start]
        for left in range(depth, -1, -1):
            new = []
            for state in edge:
                key = state.key()
                if seen.get(key, -1) >= left:
                    continue
                seen[key] = left
                if state.log not in logs or len(seen) % 40 == 0:
                    logs.add(state.log)
                    recover(state)
                if not left:
                    continue
                for action in state.actions():
                    found = state.copy()
                    if found.step(action):
                        new.append(found)
            edge = new
            if len(seen) > most:
                return len(seen)
    return len(seen)


def walk(seed: int, steps: int = WALK_STEPS) -> ModelState:
    """A random walk; each kind of action is equally likely, except for log and rare actions."""
    drawn, state = random.Random(seed), ModelState.first()
    for _ in range(steps):
        kinds: dict[str, list[Action]] = {}
        for action in state.actions():
            kinds.setdefault(action[0], []).append(action)
        names = sorted(kinds)
        what = drawn.choices(
            names, [0.03 if name in RARE_ACTIONS else 2.0 if name in LOG_ACTIONS else 1.0 for name in names]
        )[0]
        each = kinds[what]
        state.step(each[-1] if what == "hear" and drawn.random() < 0.5 else drawn.choice(each))
    return state


def test_run_completes_adoption_and_rollback() -> None:
    end = states_of_run()[-1]
    now = topology(end.log)
    assert (now.used, now.newest, now.step, sorted(now.maps)) == (3, 3, "none", [3])
    assert [one.follower.usage() for one in end.brokers.values()] == [(3, 0)] * 3


def test_invariants_hold_in_all_states_within_a_few_steps() -> None:
    assert explore(DEPTH) > 30_000


def test_long_walks_reach_every_step_and_can_recover() -> None:
    reached = set()
    for seed in range(WALK_COUNT):
        state = walk(seed)
        reached |= {topology(state.log[:n]).step for n in range(len(state.log) + 1)}
        recover(state)
    assert reached == {"none", "proposed", "staging", "measuring", "halted"}


def first_violation() -> str:
    """The first invariant violation found; empty if there is none."""
    try:
        explore(2)
        for seed in range(400):
            walk(seed)
    except InvariantViolated as error:
        return str(error)
    return ""


def test_injected_bug_step_proceeds_without_a_broker(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (machine, reports):
        monkeypatch.setattr(module, "unstaged", lambda proposal, staged: [])
    assert "has not staged it" in first_violation()


def test_injected_bug_started_broker_does_not_read_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    follow = MapFollower.apply_topology

    def read(self: MapFollower, found: Topology) -> None:
        self.versions = MapVersions(self.configured)
        follow(self, Topology())

    monkeypatch.setattr(MapFollower, "on_log_read", read)
    assert "answers and has not staged version 2" in first_violation()


def test_injected_bug_staged_counts_for_any_version(monkeypatch: pytest.MonkeyPatch) -> None:
    def staged(self: MapReports, number: int, digest: str, now: int) -> tuple[str, ...]:
        return tuple(name for name, report in self.fresh(now).items() if report.staged)

    monkeypatch.setattr(MapReports, "staged", staged)
    assert "has not staged it" in first_violation()


def test_injected_bug_query_switches_to_the_next_version(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = MapVersions.hold
    monkeypatch.setattr(MapVersions, "hold", lambda self, query: hold(self, query) and self.current)
    assert "has a part of" in first_violation()


def test_report_from_before_a_restart_is_true_before_the_broker_answers_again() -> None:
    state = ModelState.first()
    every = [*all_of("apply", "apply", "stage"), *report_and_hear()]
    for action in [("propose", "split"), ("adopt",), *every, ("crash", "b2"), ("start", "b2")]:
        state.step(action)
    for action in [("apply", "b2"), ("apply", "b2"), ("use",), ("apply", "b1")]:
        state.step(action)
    assert state.brokers["b1"].follower.usage() == (2, 0)
    assert not state.step(("begin", "b2"))
    for action in [("stage", "b2"), ("stage", "b2")]:
        if state.brokers["b2"].follower.next_to_stage() is not None:
            state.step(action)
    assert state.step(("begin", "b2"))
