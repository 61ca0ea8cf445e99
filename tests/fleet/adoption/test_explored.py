"""Adoption in a small world: all that can happen within so many steps of each point of a whole adoption.

The run below goes through a proposal, adoption, use, a measurement that differs and the way back. From each
of its points every action is tried to ``DEPTH`` steps; then long walks at random go far from it.
"""

import random

import pytest

from quincepath.fleet.adoption import MapFollower, MapReports, Topology, machine, reports
from quincepath.shards.versions import MapVersions
from tests.fleet.adoption.builders import BROKERS
from tests.fleet.adoption.small_world import Action, Broken, World, topology, way_out

DEPTH = 3
LOG = ("apply", "stage", "report", "hear")
WALKS, STEPS = 400, 250
RARE = ("back", "away", "crash", "new leader", "resume")  # they end what others have begun


def all_of(*whats: str) -> list[Action]:
    return [(what, name) for name in BROKERS for what in whats]


def heard() -> list[Action]:
    return [
        (what, name, *([-1] if what == "hear" else [])) for name in BROKERS for what in ("report", "hear")
    ]


RUN: list[Action] = [
    ("begin", "b1"), ("propose", "split"), ("adopt",), *all_of("apply", "apply", "stage"), *heard(), ("use",),
    ("apply", "b1"), ("end", "b1"), ("begin", "b1"), ("begin", "b2"), *all_of("apply")[1:], ("end", "b2"),
    *heard(), ("measured", "bad"), ("back",), *all_of("apply", "apply", "stage"), *heard(), ("use",),
    *all_of("apply"), ("end", "b1"),
]  # fmt: skip


def points() -> list[World]:
    found = [World.first()]
    for action in RUN:
        world = found[-1].copy()
        world.step(action)
        found.append(world)
    return found


def explore(depth: int, most: int = 10**9) -> int:
    """All from each point of the run; the number of states. Raises ``Broken``."""
    seen: dict[object, int] = {}
    logs = set()
    for start in points():
        edge = [start]
        for left in range(depth, -1, -1):
            new = []
            for world in edge:
                key = world.key()
                if seen.get(key, -1) >= left:
                    continue
                seen[key] = left
                if world.log not in logs or len(seen) % 40 == 0:
                    logs.add(world.log)
                    way_out(world)
                if not left:
                    continue
                for action in world.actions():
                    found = world.copy()
                    if found.step(action):
                        new.append(found)
            edge = new
            if len(seen) > most:
                return len(seen)
    return len(seen)


def walk(seed: int, steps: int = STEPS) -> World:
    """At random; each kind of action as likely as another, but for the rare ones."""
    drawn, world = random.Random(seed), World.first()
    for _ in range(steps):
        kinds: dict[str, list[Action]] = {}
        for action in world.actions():
            kinds.setdefault(action[0], []).append(action)
        names = sorted(kinds)
        what = drawn.choices(
            names, [0.03 if name in RARE else 2.0 if name in LOG else 1.0 for name in names]
        )[0]
        each = kinds[what]
        world.step(each[-1] if what == "hear" and drawn.random() < 0.5 else drawn.choice(each))
    return world


def test_the_run_goes_all_the_way() -> None:
    end = points()[-1]
    now = topology(end.log)
    assert (now.used, now.newest, now.step, sorted(now.maps)) == (3, 3, "none", [3])
    assert [one.member.usage() for one in end.brokers.values()] == [(3, 0)] * 3


def test_all_that_can_happen_within_some_steps() -> None:
    assert explore(DEPTH) > 30_000


def test_long_walks_reach_every_step_and_have_a_way_out() -> None:
    reached = set()
    for seed in range(WALKS):
        world = walk(seed)
        reached |= {topology(world.log[:n]).step for n in range(len(world.log) + 1)}
        way_out(world)
    assert reached == {"none", "proposed", "staging", "measuring", "halted"}


def broken() -> str:
    """What is found first."""
    try:
        explore(2)
        for seed in range(400):
            walk(seed)
    except Broken as error:
        return str(error)
    return ""


def test_planted_a_step_goes_on_without_a_broker(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (machine, reports):
        monkeypatch.setattr(module, "unstaged", lambda proposal, staged: [])
    assert "has not staged it" in broken()


def test_planted_a_broker_that_starts_does_not_read_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    follow = MapFollower.apply_topology

    def read(self: MapFollower, found: Topology) -> None:
        self.versions = MapVersions(self.configured)
        follow(self, Topology())

    monkeypatch.setattr(MapFollower, "on_log_read", read)
    assert "answers and has not staged version 2" in broken()


def test_planted_what_is_staged_counts_for_any_version(monkeypatch: pytest.MonkeyPatch) -> None:
    def staged(self: MapReports, number: int, digest: str, now: int) -> tuple[str, ...]:
        return tuple(name for name, report in self.fresh(now).items() if report.staged)

    monkeypatch.setattr(MapReports, "staged", staged)
    assert "has not staged it" in broken()


def test_planted_a_query_goes_over_to_the_next_version(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = MapVersions.hold
    monkeypatch.setattr(MapVersions, "hold", lambda self, query: hold(self, query) and self.current)
    assert "has a part of" in broken()


def test_what_a_broker_said_before_it_stopped_holds_before_it_answers_again() -> None:
    world = World.first()
    every = [*all_of("apply", "apply", "stage"), *heard()]
    for action in [("propose", "split"), ("adopt",), *every, ("crash", "b2"), ("start", "b2")]:
        world.step(action)
    for action in [("apply", "b2"), ("apply", "b2"), ("use",), ("apply", "b1")]:
        world.step(action)
    assert world.brokers["b1"].member.usage() == (2, 0)
    assert not world.step(("begin", "b2"))
    for action in [("stage", "b2"), ("stage", "b2")]:
        if world.brokers["b2"].member.next_to_stage() is not None:
            world.step(action)
    assert world.step(("begin", "b2"))
