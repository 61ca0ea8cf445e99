"""Traces: one span tree per ask with its attempts, failures always kept, the client's trace continued."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from tests.world import World


def spans(folder: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / "t.jsonl").read_text().splitlines()]


def traced(folder: Path, share: float, **options: Any) -> World:
    return World(folder, traces={"file": "t.jsonl", "share": share}, **options)


def test_an_ask_and_its_attempts_form_one_tree_in_the_clients_trace(tmp_path: Path) -> None:
    world = traced(tmp_path, 0)
    # Every second call fails: an attempt ends in an error, the next one succeeds.
    world.faults("a0 a1", fault="errors", share=0.5)
    parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    plan = replace(world.plan("hours-report"), headers={"traceparent": parent})
    ends = [world.ask(plan)[0] for _ in range(3)]
    world.close()
    assert {end.status for end in ends} == {200}
    for end in ends:
        assert end.response and end.response.headers["quincepath-trace"] == parent.split("-")[1]
    found = spans(tmp_path)
    roots = [span for span in found if span["name"] == "ask"]
    assert [span["parent_id"] for span in roots] == ["0xb7ad6b7169203331"] * 3
    assert {span["context"]["trace_id"] for span in found} == {"0x0af7651916cd43dd8448eb211c80319c"}
    for root in roots:
        children = [span for span in found if span["parent_id"] == root["context"]["span_id"]]
        sent = int(root["attributes"]["parts_in"])
        assert len(children) >= sent and root["attributes"]["answer"] == "whole"
        assert all(root["start_time"] <= span["start_time"] <= span["end_time"] for span in children)
    failed = [
        span for span in found if span["name"] == "attempt" and span["attributes"]["outcome"] == "error"
    ]
    assert failed and all(span["status"]["status_code"] == "ERROR" for span in failed)
    assert {span["attributes"]["node"] for span in failed} <= {"a0", "a1"}


def test_successful_asks_are_sampled_and_failed_or_late_ones_always_kept(tmp_path: Path) -> None:
    world = traced(tmp_path, 0)
    successful = world.ask(*[world.plan("hours-report") for _ in range(3)])
    world.faults("a0 a1 b0 b1 c0 c1", fault="errors")
    failed_ask = world.ask(world.plan("hours-report"))[0]
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=1200)
    late_ask = world.ask(replace(world.plan("fleet-glance"), headers={}))[0]
    assert world.broker.traces is not None and world.broker.traces.dropped >= 3
    world.close()
    assert {end.status for end in successful} == {200} and failed_ask.status != 200
    roots = [span for span in spans(tmp_path) if span["name"] == "ask"]
    returned = [end.response.headers["quincepath-trace"] for end in (failed_ask, late_ask) if end.response]
    assert [span["context"]["trace_id"].removeprefix("0x") for span in roots] == returned
    assert roots[0]["status"]["status_code"] == "ERROR"
    assert roots[1]["attributes"]["late"] or roots[1]["attributes"]["answer"] != "whole"
    all_sampled = traced(tmp_path / ".", 1)
    all_sampled.ask(all_sampled.plan("hours-report"))
    all_sampled.close()
    assert sum(span["name"] == "ask" for span in spans(tmp_path)) == 3


def test_nothing_is_traced_without_a_trace_file(tmp_path: Path) -> None:
    world = World(tmp_path)
    end = world.ask(world.plan("hours-report"))[0]
    assert end.response is not None and "quincepath-trace" not in end.response.headers
    assert world.broker.traces is None
    world.close()
