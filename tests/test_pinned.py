"""What must not change unless it is meant to: digests of seeded runs, held in ``pinned.json`` beside this.

A change that is meant is renewed by ``.dev-venv/bin/python -m tests.test_pinned``, and the commit says why.
"""

import hashlib
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import encode

from quincepath.config.load import load
from quincepath.fleet.consensus.core import ChangeVoters, Input, Learner, Output, Received, Role
from quincepath.fleet.consensus.messages import (
    LearnerEntries,
    LearnerPoll,
    LearnerSnapshotChunk,
    ProposalRequest,
)
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from tests.test_fleet_consensus import SECOND, TIMES, Lines, World, act

HELD = Path(__file__).with_name("pinned.json")
DAYS = HELD.parent.parent / "examples" / "incidents"
SCHEDULES = 100
KINDS = ["deliver"] * 6 + ["drop", "double", "wake", "wake", "crash", "half", "start", "start", "propose",
         "propose", "read", "sound", "follow", "ask", "ask", "request", "change"]  # fmt: skip


class Noted(World):
    """A world that digests every step: what went in, what came out, and where the keeper then stood."""

    def __init__(self, count: int, seed: int, compact: int) -> None:
        self.digest = hashlib.sha256()
        self.brokers: dict[str, Learner] = {}
        super().__init__(count, seed, replace(TIMES, entries_before_compaction=compact))

    def step(self, name: str, inputs: list[Input], crash_after: int = -1) -> None:
        keeper = self.up[name]
        self.note(self.now, name, inputs)
        super().step(name, inputs, crash_after)
        self.note(
            keeper.due, keeper.role, keeper.leader, keeper.commit_index, keeper.applied_index, keeper.stable
        )

    def carry_out(self, name: str, out: Output) -> None:
        self.note(out)
        super().carry_out(name, out)

    def note(self, *what: Any) -> None:
        self.digest.update(repr(what).encode())

    def other(self, kind: str, number: int) -> None:
        """Acts beyond those of the keepers' own test: followers, commands from afar, changes of keepers."""
        up = sorted(self.up)
        names = up[number % max(len(up), 1) :][:1]
        if number % 4 and kind != "follow":  # mostly where it is taken
            names = [name for name in up if self.up[name].role == Role.LEADER] or names
        for name in names[:1]:
            who, keeper = f"b{number % 5}", self.up[name]
            if kind == "follow":
                one = self.brokers.setdefault(who, Learner(Lines(), self.names))
                self.step(name, [Received(who, 0, one.poll() if number % 3 else LearnerPoll(number % 40))])
                told, self.followed = self.followed, []
                for to, message in told:
                    if to in self.brokers and isinstance(message, LearnerEntries | LearnerSnapshotChunk):
                        one = self.brokers[to]
                        self.note(
                            to, one.receive(self.now, message), one.applied_index, one.leader, one.voters
                        )
            elif kind == "ask":
                self.read(name) if number % 3 else self.propose(name, b"a%d" % number)
            elif kind == "request":
                self.step(name, [Received(who, 0, ProposalRequest(50_000 + number, b"r%d" % number))])
            elif keeper.role == Role.LEADER:
                have = keeper.voters
                new = have[:-1] if number % 2 and len(have) > 1 else (*have, f"x{number}")
                self.step(name, [ChangeVoters(20_000 + number, new)])


def schedule(seed: int) -> str:
    """One random schedule through the keepers' log."""
    source = random.Random(seed)
    world = Noted(source.choice([1, 3, 3, 5]), seed, source.choice([8, 30]))
    for _ in range(source.randrange(100, 250)):
        kind, number = source.choice(KINDS), source.randrange(1000)
        if kind in ("follow", "ask", "request", "change"):
            world.other(kind, number)
        else:
            act(world, kind, number)
    return world.digest.hexdigest()[:16]


def schedules() -> dict[str, str]:
    return {f"schedule {seed}": schedule(seed) for seed in range(SCHEDULES)}


def recording(path: Path) -> str:
    """The record of one day of the emulator; what module, driver and numpy do is part of it."""
    digest = hashlib.sha256()
    rehearse(load(path, Script), None, lambda line: digest.update(encode(line)), until=14 * SECOND)
    return digest.hexdigest()[:16]


def recordings() -> dict[str, str]:
    return {path.stem: recording(path) for path in sorted(DAYS.glob("*.yaml")) if path.stem != "large"}


RUNS = {"keepers": schedules, "days": recordings}


@pytest.mark.parametrize("name", RUNS)
def test_seeded_runs_give_what_is_held(name: str) -> None:
    found, held = RUNS[name](), json.loads(HELD.read_text())[name]
    changed = [run for run in sorted({*found, *held}) if found.get(run) != held.get(run)]
    assert not changed, (
        f"other than in {HELD.name}: {', '.join(changed)}; the first lines of this file say how"
    )
    assert len(set(found.values())) == len(found)  # two runs alike would say that nothing was digested


if __name__ == "__main__":
    HELD.write_text(json.dumps({name: run() for name, run in RUNS.items()}, indent=1) + "\n")
