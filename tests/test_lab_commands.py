"""The commands of the laboratory: reports, comparisons, recordings, load tool, search for faults."""

import json
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from quincepath.cli.lab import RehearsalMonitor
from quincepath.cli.main import main
from quincepath.config.load import load, parse
from quincepath.fronts.remote_read.codec import encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher
from quincepath.lab.audit import audit
from quincepath.lab.emulator.fault_search import (
    TROUBLE_KINDS,
    SearchResult,
    draw_script,
    minimize,
    run_script,
    search_faults,
)
from quincepath.lab.emulator.from_day import from_day
from quincepath.lab.emulator.process_troubles import combine_faults
from quincepath.lab.emulator.rehearsal import Outcome, rehearse
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.sockets import SocketRun
from quincepath.lab.emulator.world import ContractViolation
from quincepath.lab.openloop import OpenLoop, QueryMix, by_tenant
from quincepath.lab.report import figure, page
from quincepath.net.http1 import Request
from quincepath.standins.data import END_MS
from quincepath.standins.leaf import HEAVY, INCIDENT, POISON, Faults, Service
from quincepath.standins.record import Ask, Halt, Line, Mark, Told, read
from tests.world import MS, SECOND, World, read_request

ROOT = Path(__file__).parent.parent
SCRIPT = """\
about: one <holder> hangs
length: 4s
brokers: 2
fleet: {sets: 2, replicas: 2, shards: 1}
traffic: {rate: 30}
classes:
  - {name: a, share: 1, parts: [1, 2], work: 10ms, target: 500ms, deadline: 1s}
troubles:
  - {kind: hang, at: 1s, last: 1s, holders: [s0r0]}
  - {kind: restart, at: 2s, last: 500ms, holders: [s1r0]}
"""
ON_SOCKETS = """\
  - {kind: pauses, at: 500ms, last: 2s, holders: [s1r1], every: 800ms, pause: 200ms}
  - {kind: broker_stall, at: 2500ms, last: 600ms, brokers: [broker1]}
  - {kind: retry_storm, at: 1s, last: 1s}
"""


@pytest.fixture
def script(tmp_path: Path) -> Path:
    path = tmp_path / "one.yaml"
    path.write_text(SCRIPT)
    return path


def run(*arguments: str) -> tuple[int, str, str]:
    result = CliRunner().invoke(main, list(arguments))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.stdout, result.stderr


def test_rehearse_compares_a_setting_and_writes_a_self_contained_page(script: Path, tmp_path: Path) -> None:
    code, out, _ = run("rehearse", str(script), "--json", "--setting", "traffic.rate=60",
                       "--report", str(tmp_path / "r"))  # fmt: skip
    assert code == 0
    figures = json.loads(out)
    asked = [sum(one["answers"].values()) for one in figures.values()]
    assert list(figures) == ["one.yaml", "traffic.rate=60"] and asked[1] > 1.5 * asked[0]
    text = (tmp_path / "r" / "index.html").read_text()
    assert "one &lt;holder&gt; hangs" in text and "simulated" in text
    assert "<script src=" not in text and "cdn" not in text[:2000]


def test_the_page_shows_troubles_cold_starts_and_every_holder(script: Path) -> None:
    plan = load(script, Script)
    lines: list[Line] = []
    outcome = rehearse(plan, None, lines.append)
    drawn = figure(plan, lines)
    heat = next(trace for trace in drawn.data if trace.type == "heatmap")
    assert list(heat.y) == plan.holder_names()
    stars = next(trace for trace in drawn.data if trace.name == "started cold")
    assert list(stars.y) == ["s1r0"] and 2.4 < stars.x[0] < 2.6
    assert {note.text for note in drawn.layout.annotations} >= {"hang", "restart"}
    share = next(trace for trace in drawn.data if trace.name == "a")
    assert all(0 <= one <= 1 for one in share.y if one == one)
    assert "No rule broke" in page(plan, {"x": (plan, outcome, lines)})


@pytest.mark.parametrize(
    ("setting", "wanted"),
    [
        ("traffic.rat=1", "expected path=value with a path of the script"),
        ("traffic", "expected path=value"),
        ("traffic.rate=-1", "traffic.rate is -1"),
        ("fleet.ramp=soon", "expected a duration"),
    ],
)
def test_invalid_settings_are_rejected_with_the_reason(script: Path, setting: str, wanted: str) -> None:
    code, _, err = run("rehearse", str(script), "--setting", setting)
    assert code == 2 and wanted in err


def test_recording_and_replay_from_the_command_line(script: Path, tmp_path: Path) -> None:
    kept = tmp_path / "x.qprec"
    assert run("rehearse", str(script), "--record", str(kept))[0] == 0
    code, out, _ = run("replay", str(kept))
    assert code == 0 and "ask" in out and "made by" in out
    code, out, _ = run("replay", str(kept), "--query", "c5.0")
    assert code == 0 and "client asks" in out and "client receives" in out
    assert run("replay", str(kept), "--query", "nobody")[0] == 2
    assert run("replay", str(kept), "--at", "later")[0] == 2
    assert run("replay", str(script))[0] == 2
    kept.write_bytes(kept.read_bytes()[:-7])
    code, out, err = run("replay", str(kept))
    assert code == 0 and "truncated inside frame" in err


def test_rehearse_limits_its_speed_and_reports_progress(script: Path) -> None:
    began = time.monotonic()
    code, _, err = run("rehearse", str(script), "--json", "--speed", "8")
    assert code == 0 and time.monotonic() - began >= 4 / 8 * 0.9
    assert run("rehearse", str(script), "--speed", "0")[0] == 2
    monitor = RehearsalMonitor(4, None, None, keep=False)
    lines: list[Line] = []
    rehearse(load(script, Script), None, lines.append)
    for line in lines:
        monitor.on_line(line)
    asked = sum(isinstance(line, Ask) for line in lines)
    assert f"{asked} asked" in monitor.summary() and "of 30 s answered" not in monitor.summary()


def test_every_example_loads_and_says_what_staff_should_see() -> None:
    for path in (ROOT / "examples" / "incidents").glob("*.yaml"):
        assert "taff should see" in load(path, Script).about.replace("\n", " "), path


def test_generated_days_depend_only_on_their_number() -> None:
    assert draw_script(3) == draw_script(3) != draw_script(4)
    sizes = [draw_script(n, large=True) for n in range(5)]
    assert all(80 <= one.fleet.holders <= 110 and 23 <= one.brokers <= 32 for one in sizes)


def test_the_search_reduces_a_find_to_the_decisive_trouble() -> None:
    script = parse(SCRIPT, Script, "s").model_copy(update={"length": 5 * SECOND})
    values = script.model_dump()["troubles"]
    harmless = [{**values[0], "kind": "drain"}, {**values[0], "kind": "list_late"}]
    fatal = {**values[0], "kind": "kill", "holders": ["s0r0", "s0r1"], "last": 3 * SECOND}
    entries = [type(script.troubles[0]).model_construct(**one) for one in (harmless[0], fatal, harmless[1])]
    whole = script.model_copy(update={"troubles": entries})
    find = SearchResult(0, whole, rehearse(whole))
    assert find.badness() > 0.1
    assert [one.kind for one in minimize(find).script.troubles] == ["kill"]


def test_a_broken_contract_is_a_find_and_does_not_end_the_search() -> None:
    script = parse(SCRIPT, Script, "s")

    def run_only_hangs(one: Script) -> Outcome:
        if any(entry.kind == "hang" for entry in one.troubles):
            raise ContractViolation("broker 0: contract violated")
        return rehearse(one)

    find = run_script(7, script, run_only_hangs)
    assert find.broken and find.good == 0 and "broker 0" in find.contract
    assert [entry.kind for entry in minimize(find, run_only_hangs).script.troubles] == ["hang"]


def test_a_few_generated_days_break_no_rule() -> None:
    for find in search_faults(range(6)):
        assert not find.broken, (
            find.number,
            find.contract,
            find.outcome and find.outcome.report.findings[:3],
        )


ALL_ON_SOCKETS = """\
about: every kind of trouble
length: 13s
brokers: 2
fleet: {sets: 3, replicas: 2, shards: 1, ramp: 2s, cold: 0.4, kinds: [{name: big, cores: 3, speed: 1.2}]}
traffic: {rate: 25, retries: 1}
discovery: {lag: [50ms, 150ms]}
classes:
  - {name: a, share: 2, parts: [1, 3], work: 8ms, target: 800ms, deadline: 2s, need: 60%}
  - {name: b, share: 1, parts: [1, 1], work: 8ms, target: 800ms, deadline: 2s}
troubles:
"""


def test_a_run_on_a_machine_that_was_too_slow_is_void(script: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def behind(self: SocketRun) -> dict[str, Any]:
        self.all_ended, self.max_lateness = True, 3 * SECOND
        self.clients = []
        self.cluster.stop()
        return self._figures(audit([]), [])

    monkeypatch.setattr(SocketRun, "run", behind)
    code, _, err = run("rehearse", str(script), "--sockets", "--json")
    assert code == 2 and "could not keep up (behind by 3.0 s" in err


def test_every_kind_of_trouble_runs_on_sockets_and_breaks_no_rule(tmp_path: Path) -> None:
    """All kinds in one day, in sequence and overlapping; killed processes restart."""
    special = {
        "class_errors": "of_class: b",
        "heavy_tail": "of_class: a, share: 0.1",
        "kill": "holders: [s0r0]",
        "poison": "of_class: b, share: 0.2",
        "zone_loss": "zone: lower",
    }
    entries = [
        f"  - {{kind: {kind}, at: {500 + 400 * place}ms, last: 700ms, every: 600ms, pause: 150ms, times: 2"
        + (f", {special[kind]}" if kind in special else "")
        + "}\n"
        for place, kind in enumerate(TROUBLE_KINDS)
    ]
    script = parse(ALL_ON_SOCKETS + "".join(entries), Script, "s")
    run_ = SocketRun(script, 3, tmp_path)
    figures = run_.run()
    assert figures["findings"] == [] and figures["fell"] == []
    kept = [line for _, line in read(tmp_path / "clients.jsonl")]
    marks = [line.what for line in kept if isinstance(line, Mark)]
    assert [one for one in marks if one.startswith("begins")] == [f"begins: {kind}" for kind in TROUBLE_KINDS]
    assert any("ended by itself" in one for one in marks)  # the poison query
    killed = [line for line in kept if isinstance(line, Halt) and line.killed]
    assert killed and all(line.until > line.at for line in killed)
    assert {line.broker for line in kept if isinstance(line, Told)} == {0, 1}
    for holder in run_.by_name.values():
        assert holder.process is None  # no process is left running


def test_overlapping_faults_of_one_holder_are_combined() -> None:
    whole = combine_faults(
        [Faults(slow=2.0, deaf_to=[1]), Faults(fault="errors", share=0.5, metric="m"),
         Faults(slow=3.0, deaf_to=[0], handshake_ms=5), Faults(steal=0.3), Faults(steal=0.2, lose=0.1)]
    )  # fmt: skip
    assert whole == Faults(
        "errors", 0.5, 6.0, steal=0.3, lose=0.1, metric="m", handshake_ms=5, deaf_to=[0, 1]
    )
    assert combine_faults([]) == Faults()


def incident(world: World, value: str) -> Any:
    plan = world.plan("hours-report", pattern="north.example.org")
    plan.request.queries[0].matchers.add(type=LabelMatcher.NEQ, name=INCIDENT, value=value)
    return replace(plan, body=encode(plan.request))


def test_faults_can_be_limited_to_a_metric_or_to_brokers(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.faults("a0 a1", fault="errors", metric="fuel_use_liters")
    ends = world.ask(world.plan("hours-report"), world.plan("fleet-glance", "north.example.org"))
    assert [one.status for one in ends] == [200, 503]
    world.faults("a0 a1", deaf_to=[7])
    assert world.ask(world.plan("hours-report"))[0].status == 200
    world.faults("a0 a1", deaf_to=[0])
    assert world.ask(world.plan("hours-report"))[0].status in (502, 503, 504)
    world.close()


def test_a_poison_query_crashes_holders_and_a_heavy_query_takes_longer(
    tmp_path: Path,
) -> None:
    world = World(tmp_path, service=Service(work=20 * MS))
    usual, heavy = (world.ask(incident(world, value))[0].took for value in ("", f"{HEAVY}8"))
    assert heavy > 5 * usual
    assert not any(leaf.server.listener.closed for leaf in world.leaves.values())
    assert world.ask(incident(world, POISON))[0].status != 200
    assert [name for name, leaf in world.leaves.items() if leaf.server.listener.closed] != []
    assert world.ask(world.plan("hours-report", pattern="south.example.org"))[0].status == 200
    world.close()


def test_slow_handshakes_delay_only_new_connections(tmp_path: Path) -> None:
    world = World(tmp_path)
    first = world.ask(world.plan("hours-report"))[0]
    world.faults("a0 a1 b0 b1 c0 c1", handshake_ms=400)
    assert world.ask(world.plan("hours-report"))[0].took < 300 * MS  # on open connections
    fresh = World(tmp_path)
    fresh.faults("a0 a1 b0 b1 c0 c1", handshake_ms=400)
    assert first.took < 300 * MS < 400 * MS <= fresh.ask(fresh.plan("hours-report"))[0].took
    world.close()
    fresh.close()


def mixes() -> list[QueryMix]:
    matchers = tuple(read_request("hours-report").queries[0].matchers)
    return [QueryMix("reports", 1.0, matchers, END_MS - 60_000, END_MS, 2 * SECOND)]


def test_load_is_sent_on_schedule_and_a_stall_counts_as_latency(tmp_path: Path) -> None:
    world = World(tmp_path)
    load_run = OpenLoop(world.loop, world.broker.url, mixes(), 50, 3, 1, 100)
    world.run(1)
    world.loop.at += SECOND  # a stall of one second delays what is due meanwhile
    world.until(load_run.done)
    result = load_run.result
    row = result.rows()[0]
    assert result.sent == len(load_run.schedule) > 100 and result.unsent == 0
    assert row["max_ms"] > 900 and row["p50_ms"] < 400
    assert result.max_lag > 900 * MS
    world.close()


def test_load_is_spread_over_tenants_by_weight_with_their_header(tmp_path: Path) -> None:
    world = World(tmp_path)
    tenants_seen: list[str] = []
    original_read = world.broker.clients.front.read

    def record_and_read(request: Request, handle: int, name: str) -> Any:
        tenants_seen.append(request.headers.get("x-scope-orgid", ""))
        return original_read(request, handle, name)

    world.broker.clients.front.read = record_and_read  # type: ignore[method-assign]
    spread = by_tenant(mixes(), {"desk": 3.0, "field": 1.0}, "X-Scope-OrgID")
    load_run = OpenLoop(world.loop, world.broker.url, spread, 100, 2, 1, 100)
    world.until(load_run.done)
    rows = {row["query"]: row["whole"] for row in load_run.result.rows()}
    assert rows == {
        "reports [desk]": tenants_seen.count("desk"),
        "reports [field]": tenants_seen.count("field"),
    }
    assert 2 < rows["reports [desk]"] / rows["reports [field]"] < 4.5
    world.close()


def test_load_beyond_the_limit_is_counted_as_unsent(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.faults("a0 a1 b0 b1 c0 c1", fault="hang")
    load_run = OpenLoop(world.loop, world.broker.url, mixes(), 100, 1, 1, 10)
    world.until(load_run.done)
    outcomes = load_run.result.outcomes["reports"]
    assert outcomes["unsent"] == load_run.result.unsent > 10
    assert sum(outcomes.values()) == len(load_run.schedule)
    world.close()


def test_load_retries_are_marked_as_retries(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.faults("a0 a1 b0 b1 c0 c1", fault="errors")
    repeats: list[bool] = []
    original_read = world.broker.clients.front.read

    def record_and_read(request: Request, handle: int, name: str) -> Any:
        found = original_read(request, handle, name)
        repeats.extend([found[0].repeat] if isinstance(found, tuple) else [])
        return found

    world.broker.clients.front.read = record_and_read  # type: ignore[method-assign]
    load_run = OpenLoop(world.loop, world.broker.url, mixes(), 20, 1, 1, 100, retries=2)
    world.loop.call_in(SECOND + 500 * MS, lambda: world.faults("a0 a1 b0 b1 c0 c1"))
    world.until(load_run.done)
    result = load_run.result
    assert 0 < result.retried == sum(repeats) and len(repeats) == result.sent + result.retried
    assert sum(result.outcomes["reports"].values()) == result.sent
    world.close()


@pytest.mark.parametrize(
    ("arguments", "wanted"),
    [
        (["http://127.0.0.1:1/x", "--query", "a=b", "--tenant", "x=much"], "expected NAME or NAME=WEIGHT"),
        (["http://192.0.2.1:80/x", "--query", "a=b"], "expected an address of this machine"),
        (["http://127.0.0.1:1/x", "--query", "nonsense"], "expected LABEL=VALUE"),
        (["http://127.0.0.1:1/x", "--query", "a=b", "--rate", "0"], "expected a rate"),
    ],
)
def test_load_rejects_invalid_options(arguments: list[str], wanted: str) -> None:
    code, _, err = run("load", *arguments)
    assert code == 2 and wanted in err


DAY = {
    "site": "somewhere", "kind": "trouble", "family": "fanout", "noise": 5, "length": 4_000_000,
    "zones": ["up", "low"], "drain_grace": 500_000, "fall_multiple": 2.0, "fall_for": 2_000_000,
    "net": {"same": 200.0, "cross": 900.0},
    "traffic": {"load": 0.3},
    "clients": {"retries": 1, "backoff_us": 100_000, "honour": 0.5},
    "discovery": {"notice": 500_000},
    "allow": {"max_attempts": 3, "second_copies": True},
    "classes": [
        {"name": "a", "share": 1.0, "work": 50_000.0, "cv": 0.3, "aim": 1_000_000, "deadline": 2_000_000,
         "late_worth": 0.1, "effect": "keyed"},
    ],
    "tiers": [{"kinds": [{"name": "m", "cores": 2, "cold_from": 0.3, "cold": 3_000_000}]}],
    "servers": [{"cell": cell} for cell in (0, 1, 0, 1, 1)],
    "balancers": [{}, {}],
    "fam": {"cells": 2, "shards": 4, "reach": 1, "capacity": 8.0,
            "asks": [{"parts": 3, "need": 0.6, "floor": 0.6, "fetch": 0}]},
    "troubles": [
        {"kind": "slow", "at": 1_000_000, "len": 500_000, "size": 4.0, "on": [2], "which": 0},
        {"kind": "class_fail", "at": 1_000_000, "len": 500_000, "size": 0.5, "on": [1, 4], "which": 0,
         "how": "silence"},
        {"kind": "discovery_stale", "at": 1_000_000, "len": 500_000, "size": 2.0, "on": [], "which": 0},
        {"kind": "preempt", "at": 2_000_000, "len": 500_000, "size": 1.0, "on": [], "which": 0},
    ],
}  # fmt: skip


def test_a_day_of_the_bench_is_converted_and_unsupported_items_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "day.json"
    path.write_text(json.dumps(DAY))
    found = from_day(path)
    script = found.script
    assert (script.brokers, script.fleet.holders, script.classes[0].parts) == (2, 4, (3, 3))
    kinds = [(entry.kind, entry.holders, entry.times, entry.share) for entry in script.troubles]
    assert kinds[0] == ("slow", ["s0r1"], 4.0, 1.0)
    assert kinds[1] == ("class_errors", ["s1r0"], 4.0, 0.5)
    assert (kinds[2][0], kinds[2][2]) == ("list_late", 5.0)
    notes = "\n".join(found.notes)
    for piece in (
        "preempt at 2.0 s has no counterpart",
        "1 servers beyond 2 a cell",
        "keyed",
        "in silence there",
    ):
        assert piece in notes
    code, _, err = run("rehearse", str(path), "--from-day", "--json")
    assert code == 0 and "no counterpart" in err


@pytest.mark.parametrize("text", ["{", "{}", '{"family": "fanout"}', json.dumps({**DAY, "family": "ring"})])
def test_an_invalid_day_file_is_rejected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "day.json"
    path.write_text(text)
    code, _, err = run("rehearse", str(path), "--from-day")
    assert code == 2 and "day.json" in err


def test_a_script_on_sockets_sends_the_same_queries_as_in_simulation(tmp_path: Path) -> None:
    script = parse(SCRIPT + ON_SOCKETS, Script, "s")
    figures = SocketRun(script, script.seed, tmp_path).run()
    assert figures["findings"] == [] and not figures["void"] and figures["late_most_s"] < 1
    lines: list[Line] = []
    rehearse(script, None, lines.append)
    virtual = [
        (one.query, one.kind, one.shards) for one in lines if isinstance(one, Ask) and one.query[-1] == "0"
    ]
    kept = [line for _, line in read(tmp_path / "clients.jsonl")]
    sockets = [
        (one.query, one.kind, one.shards) for one in kept if isinstance(one, Ask) and one.query[-1] == "0"
    ]
    assert sorted(virtual) == sorted(sockets) and len(virtual) > 80
    assert [one.what for one in kept if isinstance(one, Mark)] == [
        "begins: pauses",
        "begins: hang",
        "begins: retry_storm",
        "begins: restart",
        "begins: broker_stall",
    ]
