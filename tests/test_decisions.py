"""Decisions do not change unnoticed: recorded events replay alike, and one day's actions are pinned."""

import hashlib
from functools import cache
from pathlib import Path
from typing import Any

import msgspec
import pytest

from benchmarks.replay_decisions import Begin, Entry, Recorder, difference, read, recorded, replay, verdicts
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from quincepath.policy import Aggregator

ROOT = Path(__file__).parent.parent
CLASSES: list[dict[str, Any]] = [
    {"name": "glance", "share": 3, "parts": [5, 6], "work": "20ms", "target": "400ms", "deadline": "1200ms",
     "need": "60%", "late_worth": 0.3},
    {"name": "report", "share": 2, "parts": [1, 3], "work": "25ms", "target": "600ms", "deadline": "1500ms",
     "second_step": True},
]  # fmt: skip
DAY = {
    "about": "holders restart, slow down, fail, hang and are taken down; clients crowd and come back",
    "seed": 35,
    "length": "24s",
    "brokers": 3,
    "fleet": {"sets": 3, "replicas": 2, "shards": 2, "ramp": "4s"},
    "traffic": {"rate": 80},
    "classes": CLASSES,
    "troubles": [
        {"kind": "restart", "at": "2s", "last": "1s", "holders": ["s0r0"]},
        {"kind": "slow", "at": "4s", "last": "3s", "holders": ["s1r0"], "times": 8},
        {"kind": "errors", "at": "6s", "last": "4s", "holders": ["s2r0", "s2r1"], "share": "90%"},
        {"kind": "hang", "at": "8s", "last": "2s", "holders": ["s0r1", "s1r1"]},
        {"kind": "burst", "at": "9s", "last": "3s", "times": 3},
        {"kind": "poison", "at": "13s", "last": "1s", "share": "5%", "of_class": "report"},
        {"kind": "slow_handshakes", "at": "17s", "last": "4s", "holders": "50%", "pause": "400ms"},
        {"kind": "impatience", "at": "19s", "last": "3s", "share": "50%"},
    ],
}
# SHA-256 of that day's actions. For an intended change of the decisions, of this day or of the emulator, say
# so in the commit and insert the digest that the failing test prints. A refactoring must not change it.
PINNED = "34d6eb1c7e15f8793a671038f466ddcb9dcc86314d43f44d4c39c96c370bd714"


@cache
def day() -> tuple[Entry, ...]:
    recorder = Recorder()
    rehearse(Script.model_validate(DAY), make_module=recorder.make)
    return tuple(recorder.entries)


def text(lines: Any) -> bytes:
    return "".join(lines).encode()


def test_recorded_events_replay_to_the_recorded_actions_each_time() -> None:
    first = text(replay(day()))
    assert first.count(b"\n") > 1000
    assert not difference(first, text(recorded(day())))
    assert not difference(first, text(replay(day())))


def test_the_day_holds_every_kind_of_action_that_the_emulator_carries_out() -> None:
    said = text(recorded(day()))
    for name in ("Send", "Cancel", "Answer", "Refuse", "SetTimer", "Log"):
        assert f"{name}(".encode() in said, name


def test_the_actions_of_the_day_match_the_pinned_digest() -> None:
    assert hashlib.sha256(text(recorded(day()))).hexdigest() == PINNED


def test_another_seed_and_other_decisions_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    said = text(recorded(day()))
    drawn = [msgspec.structs.replace(e, seed=e.seed + 1) if isinstance(e, Begin) else e for e in day()]
    assert difference(said, text(replay(drawn)))
    monkeypatch.setattr(Aggregator, "_too_late_for_second", lambda self, query: False)
    assert difference(said, text(replay(day())))


def test_two_source_trees_are_compared_in_separate_processes(tmp_path: Path) -> None:
    path = tmp_path / "day.events"
    lines = [msgspec.json.encode(entry) + b"\n" for entry in day()[:300]]
    path.write_bytes(b"".join(lines))
    assert tuple(read(path)) == day()[:300]
    (tmp_path / "changed").mkdir()
    changed = tmp_path / "changed" / "quincepath"
    changed.mkdir()
    for name in ("__init__.py", "interface.py", "drill.py", "settings.py", "wire.py"):
        (changed / name).write_bytes((ROOT / "quincepath" / name).read_bytes())
    (changed / "policy").mkdir()
    for source in (ROOT / "quincepath" / "policy").glob("*.py"):
        (changed / "policy" / source.name).write_bytes(source.read_bytes())
    same = verdicts(ROOT, tmp_path / "changed", path)
    assert same["bytes"] and not same["differences"]
    figures = changed / "policy" / "tuning.py"
    figures.write_text(figures.read_text().replace("LATE_SHARE_MAX = 0.35", "LATE_SHARE_MAX = 0.2"))
    assert set(verdicts(ROOT, tmp_path / "changed", path)["differences"]) == {"before and after"}
