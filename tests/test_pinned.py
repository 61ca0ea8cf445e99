"""Regression tests: digests of seeded runs must equal those in ``pinned.json``.

An intended change is recorded by ``.dev-venv/bin/python -m tests.test_pinned``, and the commit says why.
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
from tests.test_fleet_consensus import SECOND, TIMES, Cluster, ListMachine, perform

PINNED = Path(__file__).with_name("pinned.json")
DAYS = PINNED.parent.parent / "examples" / "incidents"
SCHEDULES = 100
KINDS = ["deliver"] * 6 + ["drop", "duplicate", "wake", "wake", "crash", "crash mid-step", "start", "start",
         "propose", "propose", "read", "run healthy", "follow", "ask", "ask", "request",
         "change"]  # fmt: skip


class DigestingCluster(Cluster):
    """A cluster that digests the inputs and outputs of every step, and the state of the voter after it."""

    def __init__(self, count: int, seed: int, compact: int) -> None:
        self.digest = hashlib.sha256()
        self.learners: dict[str, Learner] = {}
        super().__init__(count, seed, replace(TIMES, entries_before_compaction=compact))

    def step(self, name: str, inputs: list[Input], crash_after: int = -1) -> None:
        voter = self.running[name]
        self.digest_values(self.now, name, inputs)
        super().step(name, inputs, crash_after)
        self.digest_values(
            voter.due, voter.role, voter.leader, voter.commit_index, voter.applied_index, voter.stable
        )

    def carry_out(self, name: str, out: Output) -> None:
        self.digest_values(out)
        super().carry_out(name, out)

    def digest_values(self, *what: Any) -> None:
        self.digest.update(repr(what).encode())

    def perform_other(self, kind: str, number: int) -> None:
        """Actions that ``perform`` lacks: learners, remote commands, changes of voters."""
        up = sorted(self.running)
        names = up[number % max(len(up), 1) :][:1]
        if number % 4 and kind != "follow":  # mostly at the leader, which accepts it
            names = [name for name in up if self.running[name].role == Role.LEADER] or names
        for name in names[:1]:
            broker, voter = f"b{number % 5}", self.running[name]
            if kind == "follow":
                learner = self.learners.setdefault(broker, Learner(ListMachine(), self.names))
                self.step(
                    name, [Received(broker, 0, learner.poll() if number % 3 else LearnerPoll(number % 40))]
                )
                messages, self.to_learners = self.to_learners, []
                for to, message in messages:
                    if to in self.learners and isinstance(message, LearnerEntries | LearnerSnapshotChunk):
                        learner = self.learners[to]
                        self.digest_values(
                            to,
                            learner.receive(self.now, message),
                            learner.applied_index,
                            learner.leader,
                            learner.voters,
                        )
            elif kind == "ask":
                self.read(name) if number % 3 else self.propose(name, b"a%d" % number)
            elif kind == "request":
                self.step(name, [Received(broker, 0, ProposalRequest(50_000 + number, b"r%d" % number))])
            elif voter.role == Role.LEADER:
                have = voter.voters
                new = have[:-1] if number % 2 and len(have) > 1 else (*have, f"x{number}")
                self.step(name, [ChangeVoters(20_000 + number, new)])


def schedule_digest(seed: int) -> str:
    """Digest of one random schedule of the replicated log."""
    source = random.Random(seed)
    cluster = DigestingCluster(source.choice([1, 3, 3, 5]), seed, source.choice([8, 30]))
    for _ in range(source.randrange(100, 250)):
        kind, number = source.choice(KINDS), source.randrange(1000)
        if kind in ("follow", "ask", "request", "change"):
            cluster.perform_other(kind, number)
        else:
            perform(cluster, kind, number)
    return cluster.digest.hexdigest()[:16]


def schedule_digests() -> dict[str, str]:
    return {f"schedule {seed}": schedule_digest(seed) for seed in range(SCHEDULES)}


def recording_digest(path: Path) -> str:
    """Digest of one recorded day of the emulator; it depends on module, driver and numpy."""
    digest = hashlib.sha256()
    rehearse(load(path, Script), None, lambda line: digest.update(encode(line)), until=14 * SECOND)
    return digest.hexdigest()[:16]


def recording_digests() -> dict[str, str]:
    return {path.stem: recording_digest(path) for path in sorted(DAYS.glob("*.yaml")) if path.stem != "large"}


RUNS = {"keepers": schedule_digests, "days": recording_digests}


@pytest.mark.parametrize("name", RUNS)
def test_seeded_runs_have_the_pinned_digests(name: str) -> None:
    found, pinned = RUNS[name](), json.loads(PINNED.read_text())[name]
    changed = [run for run in sorted({*found, *pinned}) if found.get(run) != pinned.get(run)]
    assert not changed, f"differs from {PINNED.name}: {', '.join(changed)}; see the docstring of this file"
    assert len(set(found.values())) == len(found)  # equal digests would mean that nothing was digested


if __name__ == "__main__":
    PINNED.write_text(json.dumps({name: run() for name, run in RUNS.items()}, indent=1) + "\n")
