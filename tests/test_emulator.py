"""The emulator: runs are reproducible, troubles act and end, cold holders survive, audit rules hold."""

import hashlib
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from ruamel.yaml import YAML
from ruamel.yaml.compat import StringIO

from quincepath.config.load import ConfigError, load, parse
from quincepath.interface import Settings
from quincepath.lab.emulator.query_trace import QueryTraceError, trace_query
from quincepath.lab.emulator.recording import RecordingError, RecordingWriter, read_recording
from quincepath.lab.emulator.rehearsal import Outcome, rehearse
from quincepath.lab.emulator.script import Script
from quincepath.policy import Aggregator
from quincepath.standins.model import SECOND, Job, Server, ServerConfig, State
from quincepath.standins.random_streams import RandomStream
from quincepath.standins.record import Ask, End, Line, Said, Told

ROOT = Path(__file__).parent.parent
EXAMPLES = sorted((ROOT / "examples" / "incidents").glob("*.yaml"))
MS = 1_000_000
CLASSES: list[dict[str, Any]] = [
    {"name": "glance", "share": 1, "parts": [3, 3], "work": "15ms", "target": "400ms", "deadline": "1200ms",
     "need": "60%"},
    {"name": "report", "share": 1, "parts": [1, 2], "work": "15ms", "target": "400ms", "deadline": "1200ms"},
]  # fmt: skip
SMALL = {
    "about": "a small day",
    "length": "8s",
    "brokers": 2,
    "fleet": {"sets": 3, "replicas": 2, "shards": 1, "ramp": "4s"},
    "traffic": {"rate": 40},
    "classes": CLASSES,
}


def small(*troubles: dict[str, Any], **more: Any) -> Script:
    return Script.model_validate({**SMALL, "troubles": list(troubles), **more})


def draw() -> RandomStream:
    return RandomStream(1, "test")


# --- the server model ---


def server(warm: bool = True, **kind: Any) -> Server:
    return Server("s", ServerConfig(**kind), draw(), 100 * SECOND, warm)


def job(work_ms: float = 10, expires: int = 1 << 60) -> Job:
    return Job(work_ms * MS, expires, frozenset({0}), None)


def times(holder: Server, jobs: list[Job], now: int = 100 * SECOND, until: int = 200 * SECOND) -> list[float]:
    for one in jobs:
        holder.offer(now, one)
    return [(at - now) / MS for at, _ in holder.advance(until)]


def test_jobs_run_in_parallel_on_the_cores_and_queue_beyond() -> None:
    assert times(server(cores=2), [job() for _ in range(5)]) == pytest.approx([10, 10, 20, 20, 30], abs=0.01)


def test_speed_and_slowness_stretch_running_jobs() -> None:
    assert times(server(speed=0.5), [job()]) == pytest.approx([20], abs=0.01)
    holder = server()
    holder.offer(100 * SECOND, job(10))
    holder.advance(100 * SECOND + 5 * MS)
    holder.faults.slow = 4.0  # half is done, the rest takes four times as long
    assert [(at - 100 * SECOND) / MS for at, _ in holder.advance(101 * SECOND)] == pytest.approx(
        [25], abs=0.01
    )


def test_a_pause_suspends_running_jobs_and_resumes_them() -> None:
    holder = server()
    holder.offer(100 * SECOND, job(10))
    holder.advance(100 * SECOND + 4 * MS)
    holder.faults.paused = True
    assert holder.next_completion() is None
    assert holder.advance(100 * SECOND + 300 * MS) == []
    holder.faults.paused = False
    assert [(at - 100 * SECOND) / MS for at, _ in holder.advance(101 * SECOND)] == pytest.approx(
        [306], abs=0.01
    )


def test_a_cold_server_starts_at_its_cold_share_and_warms_along_the_ramp() -> None:
    holder = server(warm=False, cold=0.2, ramp=10 * SECOND)
    assert [round(holder.warmth((100 + s) * SECOND), 2) for s in (0, 5, 10, 20)] == [0.2, 0.6, 1.0, 1.0]
    assert times(holder, [job(10)])[0] == pytest.approx(50, rel=0.02)


def test_the_queue_is_bounded_and_cancelled_or_expired_jobs_are_not_started() -> None:
    holder = server(cores=1, queue_limit=2)
    first, second, third = job(), job(), job(expires=100 * SECOND + 5 * MS)
    results = [holder.offer(100 * SECOND, one) for one in (first, second, third, job())]
    assert results == ["queued", "queued", "queued", "full"]
    holder.cancel(100 * SECOND, second)
    assert [one for _, one in holder.advance(101 * SECOND)] == [first]


def test_a_cold_server_loaded_beyond_its_multiple_collapses_and_a_warm_one_does_not() -> None:
    cold = server(warm=False, cold=0.2, fall_multiple=2.0, overload_for=2 * SECOND, cores=2)
    capacity_ms = 2 * 0.2 * 2 * SECOND * 2.0 / MS  # ms of work in a window
    results = [cold.offer(100 * SECOND, job(capacity_ms / 10)) for _ in range(11)]
    assert results[:10].count("fell") == 0 and results[10] == "fell"
    assert cold.max_window_share > 1
    warm = server(cores=2, queue_limit=1000)
    assert {warm.offer(100 * SECOND, job(capacity_ms / 10)) for _ in range(50)} == {"queued"}


def test_a_stopped_server_returns_its_jobs_and_restarts_empty() -> None:
    holder = server(cores=1)
    jobs = [job(), job()]
    for one in jobs:
        holder.offer(100 * SECOND, one)
    assert holder.stop(101 * SECOND, State.DOWN) == jobs
    holder.restart(102 * SECOND)
    assert holder.job_count() == 0 and holder.state is State.UP and holder.incarnation == 1


# --- reproducibility ---

DIGEST = """
import hashlib, msgspec, sys
from pathlib import Path
from quincepath.config.load import load
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
digest = hashlib.sha256()
script = load(Path(sys.argv[1]), Script)
rehearse(script, None, lambda line: digest.update(msgspec.msgpack.encode(line)), until=int(sys.argv[2]))
print(digest.hexdigest())
"""


@pytest.mark.parametrize("path", EXAMPLES, ids=[path.stem for path in EXAMPLES])
def test_a_script_gives_the_same_record_in_processes_with_different_hash_seeds(path: Path) -> None:
    until = 4 * SECOND if path.stem == "large" else 14 * SECOND
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", DIGEST, str(path), str(until)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )
        for seed in ("1", "77")
    ]
    first, second = (run.communicate(timeout=120)[0] for run in runs)
    assert first == second and len(first) == 65


def test_another_seed_gives_another_record() -> None:
    def digest(seed: int) -> str:
        found = hashlib.sha256()
        rehearse(small(), seed, lambda line: found.update(msgspec.msgpack.encode(line)))
        return found.hexdigest()

    assert digest(1) == digest(1) != digest(2)


# --- each kind of trouble acts, and only while it lasts ---


def figure(script: Script, read: Callable[[Outcome], float]) -> float:
    outcome = rehearse(script, 5)
    assert not outcome.broken, [str(f) for f in outcome.report.findings[:3]] + outcome.fell
    return read(outcome)


def not_whole(outcome: Outcome) -> float:
    return sum(outcome.answers.values()) - outcome.answers.get("whole", 0)


def bad(outcome: Outcome) -> float:
    return outcome.bad_answers


def p99(outcome: Outcome) -> float:
    return outcome.p99_s


def median(outcome: Outcome) -> float:
    return outcome.median_s


def down(outcome: Outcome) -> float:
    return outcome.down_most


def cold(outcome: Outcome) -> float:
    return max(outcome.fullest.values(), default=0.0)


ACTS: list[tuple[dict[str, Any], Callable[[Outcome], float]]] = [
    ({"kind": "hang", "holders": ["s0r0", "s1r0"]}, p99),
    ({"kind": "silence", "holders": ["s0r0"]}, down),
    ({"kind": "slow", "holders": ["s0r0", "s0r1"], "times": 8}, p99),
    ({"kind": "pauses", "holders": 1.0, "every": "1s", "pause": "300ms"}, p99),
    ({"kind": "lost_answers", "holders": ["s0r0"], "share": 0.9}, p99),
    ({"kind": "errors", "holders": ["s0r0"], "share": 0.9}, bad),
    ({"kind": "class_errors", "holders": ["s0r0"], "of_class": "report"}, bad),
    ({"kind": "ageing", "holders": ["s0r0"], "times": 20, "last": "3s", "every": "1s"}, down),
    ({"kind": "restart", "holders": ["s0r0"], "last": "500ms"}, cold),
    ({"kind": "kill", "holders": ["s0r0"]}, down),
    ({"kind": "zone_loss", "zone": "lower"}, down),
    ({"kind": "deploy", "holders": 1.0, "every": "2500ms", "pause": "300ms"}, down),
    ({"kind": "preemption", "holders": 1.0, "share": 0.7, "every": "1s"}, p99),
    ({"kind": "flapping", "holders": ["s0r0"], "every": "2s"}, cold),
    ({"kind": "broker_stall", "brokers": ["broker0"], "last": "800ms"}, p99),
    ({"kind": "broker_crash", "brokers": 1.0, "last": "2s"}, lambda o: o.answers.get("unreachable", 0)),
    ({"kind": "burst", "times": 3}, lambda o: sum(o.answers.values())),
    ({"kind": "heavy_tail", "of_class": "report", "share": 0.3, "times": 8}, p99),
    ({"kind": "poison", "of_class": "report", "share": 0.03}, down),
    ({"kind": "impatience", "times": 40}, not_whole),
    ({"kind": "slowdown", "times": 4}, median),
]  # fmt: skip


@pytest.mark.parametrize(("trouble", "read"), ACTS, ids=[str(trouble["kind"]) for trouble, _ in ACTS])
def test_a_trouble_changes_its_figure_only_while_it_lasts(
    trouble: dict[str, Any], read: Callable[[Outcome], float]
) -> None:
    entry = {"at": "2s", "last": "4s", **trouble}
    calm = figure(small(), read)
    assert figure(small(entry), read) > calm * 1.02 + 1e-9
    # The same trouble at the very end of the run has no queries left to affect.
    late = {**entry, "at": "7999ms", "last": "1ms"}
    if trouble["kind"] not in ("ageing", "deploy", "kill", "silence", "zone_loss", "restart", "broker_crash"):
        assert figure(small(late), read) <= calm * 1.25 + 1e-9


RECOVERING_TROUBLES: list[dict[str, Any]] = [
    {"kind": "kill", "holders": ["s0r0"]},
    {"kind": "restart", "holders": ["s0r0"], "last": "300ms"},
    {"kind": "silence", "holders": ["s0r0"]},
    {"kind": "zone_loss", "zone": "lower"},
    {"kind": "deploy", "holders": 1.0, "every": "1500ms", "pause": "300ms"},
    {"kind": "ageing", "holders": ["s0r0"], "times": 6, "every": "500ms"},
    {"kind": "flapping", "holders": ["s0r0"], "every": "1s"},
    {"kind": "broker_crash", "brokers": 1.0},
    {"kind": "poison", "of_class": "report", "share": 0.05},
]


def tail(script: Script) -> tuple[float, float, float]:
    """Of queries asked after 14 s: share whole, median and 90th percentile of the latency in seconds."""
    lines: list[Line] = []
    rehearse(script, 5, lines.append)
    begin = min(line.at for line in lines if isinstance(line, Ask))
    asked = {line.query: line.at for line in lines if isinstance(line, Ask) and line.at > begin + 14 * SECOND}
    ends = {line.query: line for line in lines if isinstance(line, End) and line.query in asked}
    took = [(line.at - asked[name]) / SECOND for name, line in ends.items()]
    whole = sum(line.mark == "whole" for line in ends.values()) / len(asked)
    return whole, float(np.median(took)), float(np.percentile(took, 90))


@cache
def baseline_tail() -> tuple[float, float, float]:
    return tail(small(length="19s"))


@pytest.mark.parametrize(
    "trouble", RECOVERING_TROUBLES, ids=[str(one["kind"]) for one in RECOVERING_TROUBLES]
)
def test_figures_recover_after_a_trouble_has_ended(trouble: dict[str, Any]) -> None:
    """Late in the run, after failed holders are back and warm, figures match a run without the trouble."""
    calm = baseline_tail()
    after = tail(small({"at": "2s", "last": "2s", **trouble}, length="19s"))
    assert calm[0] == 1.0 and after[0] >= 0.99
    assert after[1] <= calm[1] * 1.3 and after[2] <= calm[2] * 1.6


def test_a_late_or_frozen_list_delays_membership_updates() -> None:
    def first_told(*troubles: dict[str, Any]) -> float:
        lines: list[Line] = []
        drain = {"kind": "drain", "at": "2s", "last": "2s", "holders": ["s0r0"]}
        rehearse(small(drain, *troubles), 5, lines.append)
        return next(line.at for line in lines if isinstance(line, Told) and line.phase == "draining") / SECOND

    calm = first_told()
    assert first_told({"kind": "list_late", "at": "1s", "last": "6s", "times": 5}) > calm + 1
    assert first_told({"kind": "list_frozen", "at": "1s", "last": "2s"}) >= 4.0 - 1e-6


def test_slow_handshakes_and_one_sided_links_affect_only_their_targets() -> None:
    slow = {"kind": "slow_handshakes", "at": "0s", "last": "8s", "holders": 1.0, "pause": "400ms"}
    assert rehearse(small(slow), 5).good < 0.1  # no connection was open yet, and none can be opened
    script = small(
        {"kind": "one_sided", "at": "2s", "last": "5s", "holders": ["s0r0", "s0r1"], "brokers": ["broker0"]}
    )
    lines: list[Line] = []
    rehearse(script, 5, lines.append)
    first: dict[str, Ask] = {}  # of each ask: a later try may have too little time left at any broker
    for line in lines:
        if isinstance(line, Ask):
            first.setdefault(line.ask, line)
    brokers = {ask.query: ask.broker for ask in first.values()}
    ends = [line for line in lines if isinstance(line, End) and line.query in brokers]
    assert {brokers[end.query] for end in ends if end.status != 200} == {0}


def test_a_retry_storm_makes_clients_retry_at_once() -> None:
    script = small({"kind": "slowdown", "at": "2s", "last": "4s", "times": 12})
    storm = small(
        {"kind": "slowdown", "at": "2s", "last": "4s", "times": 12}, {"kind": "retry_storm", "at": "2s"}
    )
    first, again = rehearse(script, 5), rehearse(storm, 5)
    assert not first.broken and not again.broken
    assert again.tries_a_query > first.tries_a_query


# --- rules ---


@pytest.mark.parametrize("path", EXAMPLES, ids=[path.stem for path in EXAMPLES])
def test_no_example_violates_a_rule_or_collapses_a_cold_holder(path: Path) -> None:
    outcome = rehearse(load(path, Script))
    assert outcome.report.findings == [] and outcome.fell == []
    assert max(outcome.fullest.values(), default=0.0) < 0.9


def restart_under_load(brokers: int, seed: int) -> Script:
    return small(
        # Both replicas of the only set, so all queries go to cold holders.
        {"kind": "restart", "at": "1s", "last": "300ms", "holders": ["s0r0", "s0r1"]},
        brokers=brokers,
        seed=seed,
        length="5s",
        traffic={"rate": 150},
        fleet={"sets": 1, "replicas": 2, "shards": 1, "ramp": "4s", "cold": 0.1 + seed % 5 / 20},
        classes=[{**one, "parts": [1, 1]} for one in CLASSES],
        discovery={"lag": ["50ms", "150ms"]},
    )


@pytest.mark.parametrize("brokers", [2, 9, 40])
def test_cold_holders_survive_with_any_number_of_brokers(brokers: int) -> None:
    for seed in range(3):
        outcome = rehearse(restart_under_load(brokers, seed))
        assert outcome.fell == [] and not outcome.report.findings
        assert 0 < max(outcome.fullest.values()) < 1


def test_the_same_check_detects_an_injected_bug() -> None:
    """Load limits not divided by the number of brokers: each loads a cold holder as if it were alone."""

    def undivided(settings: Settings, seed: int) -> Aggregator:
        return Aggregator(replace(settings, instances=1, me=0), seed)

    outcomes = [rehearse(restart_under_load(40, seed), make_module=undivided) for seed in range(3)]
    assert any(outcome.fell for outcome in outcomes)


# --- scripts, recordings, query traces ---


@pytest.mark.parametrize(
    ("change", "wanted"),
    [
        (
            {"troubles": [{"kind": "hang", "at": "1s", "holders": ["s9r9"]}]},
            "troubles[0] (hang): unknown name s9r9",
        ),
        ({"troubles": [{"kind": "explode", "at": "1s"}]}, "troubles[0].kind"),
        ({"troubles": [{"kind": "poison", "at": "1s"}]}, "of_class is missing"),
        ({"troubles": [{"kind": "hang", "at": "9s"}]}, "begins at or after the end"),
        ({"troubles": [{"kind": "zone_loss", "at": "1s", "zone": "moon"}]}, "unknown zone 'moon'"),
        ({"classes": [{**CLASSES[0], "parts": [1, 9]}]}, "most parts <= 3 shards"),
    ],
)
def test_script_errors_name_the_place(change: dict[str, Any], wanted: str) -> None:
    text = StringIO()
    YAML(typ="safe").dump({**SMALL, **change}, text)
    with pytest.raises(ConfigError) as caught:
        parse(text.getvalue(), Script, "s.yaml")
    assert wanted in str(caught.value)


def record(path: Path) -> tuple[Script, list[Line]]:
    script = small({"kind": "errors", "at": "1s", "last": "2s", "holders": ["s0r0"]}, length="3s")
    writer = RecordingWriter(path, "text", 5, "test")
    lines: list[Line] = []

    def sink(line: Line) -> None:
        lines.append(line)
        writer.write(line)

    rehearse(script, 5, sink)
    writer.close()
    return script, lines


def test_a_recording_is_read_back_and_up_to_reported_damage(tmp_path: Path) -> None:
    path = tmp_path / "day.qprec"
    _, lines = record(path)
    found = read_recording(path)
    assert found.lines == lines and found.damage == "" and found.head.seed == 5
    whole = path.read_bytes()
    for cut in (len(whole) - 1, len(whole) // 2, len(whole) - 30):
        path.write_bytes(whole[:cut])
        found = read_recording(path)
        assert "truncated inside" in found.damage and found.lines == lines[: len(found.lines)] != []
    flipped = bytearray(whole)
    flipped[len(whole) // 2] ^= 4
    path.write_bytes(flipped)
    found = read_recording(path)
    assert found.damage and found.lines == lines[: len(found.lines)] != []
    for head in (b"", b"QPREC", whole[:20], b"x" * 100):
        path.write_bytes(head)
        with pytest.raises(RecordingError):
            read_recording(path)


def test_a_query_trace_shows_the_decisions_of_the_broker_and_stops_at_the_requested_time(
    tmp_path: Path,
) -> None:
    script, lines = record(tmp_path / "day.qprec")
    ends = [line for line in lines if isinstance(line, End) and line.at > 2.2 * SECOND]
    failed = {line.query for line in lines if isinstance(line, Said) and line.status == 500}
    end = next(line for line in ends if line.query in failed)
    trace = trace_query(script, 5, lines, end.query)
    text = "\n".join(trace)
    for piece in (
        "client asks",
        "accepts it with",
        "sends shard",
        "ERROR",
        "answers, whole",
        "client receives",
    ):
        assert piece in text, text
    early = trace_query(script, 5, lines, end.query, until=end.at - 1)
    assert len(early) < len(trace) and "client receives" not in "\n".join(early)
    with pytest.raises(QueryTraceError, match="no query"):
        trace_query(script, 5, lines, "nobody")
    with pytest.raises(QueryTraceError, match="differs on replay"):
        trace_query(script, 6, lines, end.query)


def test_a_broker_that_is_down_gets_missed_membership_updates_after_its_restart() -> None:
    """Found by the fault search (script 2141): updates sent while a broker was down entered its list."""
    script = small(
        {"kind": "kill", "at": "1s", "last": "2500ms", "holders": ["s0r0"]},
        {"kind": "broker_crash", "at": "3s", "last": "1s", "brokers": ["broker0"]},
        length="7s",
    )
    lines: list[Line] = []
    outcome = rehearse(script, 5, lines.append)
    told = [(line.phase, line.at) for line in lines if isinstance(line, Told) and line.broker == 0]
    assert [phase for phase, _ in told] == ["gone", "ready"]
    assert told[1][1] > 5 * SECOND  # restarted at 4 s of the run, plus the lag of its list
    assert outcome.report.findings == []
