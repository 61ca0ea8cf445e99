"""Generated worlds: one that plays nothing or differs from run to run would make comparisons worthless."""

import pytest

from benchmarks.replay_decisions import Recorder, difference, recorded, replay
from benchmarks.replay_worlds import CASES, World, case_settings


def played(case: str, seed: int) -> Recorder:
    recorder = Recorder()
    World(CASES[case], recorder.make(case_settings(CASES[case]), seed), seed).play()
    return recorder


@pytest.mark.parametrize("case", ["narrow", "cells-below-reach", "drains-narrow", "shared"])
def test_a_generated_world_sends_answers_and_replays_to_the_same_actions(case: str) -> None:
    entries = played(case, 1).entries
    said = "".join(recorded(entries)).encode()
    for name in ("Send", "Cancel", "Answer", "SetTimer", "Log"):
        assert f"{name}(".encode() in said, name
    assert not difference(said, "".join(replay(entries)).encode())


def test_the_same_seed_generates_the_same_world_and_another_seed_another() -> None:
    one, two, other = (list(recorded(played("narrow", seed).entries)) for seed in (1, 1, 2))
    assert one == two
    assert one != other
