"""Spans: a tree an ask with its attempts; what went wrong is always kept; the client's trace goes on."""

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

from tests.world import World


def spans(folder: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / "t.jsonl").read_text().splitlines()]


def traced(folder: Path, share: float, **more: Any) -> World:
    return World(folder, traces={"file": "t.jsonl", "share": share}, **more)


def test_an_ask_and_its_attempts_are_one_tree_under_the_clients_trace(tmp_path: Path) -> None:
    world = traced(tmp_path, 0)
    world.faults(
        "a0 a1", fault="errors", share=0.5
    )  # every second call: an attempt fails, the next is answered
    parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    plan = replace(world.plan("hours-report"), headers={"traceparent": parent})
    ends = [world.ask(plan)[0] for _ in range(3)]
    world.close()
    assert {end.status for end in ends} == {200}
    for end in ends:
        assert end.response and end.response.headers["quincepath-trace"] == parent.split("-")[1]
    found = spans(tmp_path)
    roots = [one for one in found if one["name"] == "ask"]
    assert [one["parent_id"] for one in roots] == ["0xb7ad6b7169203331"] * 3
    assert {one["context"]["trace_id"] for one in found} == {"0x0af7651916cd43dd8448eb211c80319c"}
    for root in roots:
        children = [one for one in found if one["parent_id"] == root["context"]["span_id"]]
        sent = int(root["attributes"]["parts_in"])
        assert len(children) >= sent and root["attributes"]["answer"] == "whole"
        assert all(root["start_time"] <= one["start_time"] <= one["end_time"] for one in children)
    failed = [one for one in found if one["name"] == "attempt" and one["attributes"]["outcome"] == "error"]
    assert failed and all(one["status"]["status_code"] == "ERROR" for one in failed)
    assert {one["attributes"]["node"] for one in failed} <= {"a0", "a1"}


def test_sound_ones_are_kept_by_share_and_bad_ones_always(tmp_path: Path) -> None:
    world = traced(tmp_path, 0)
    sound = world.ask(*[world.plan("hours-report") for _ in range(3)])
    world.faults("a0 a1 b0 b1 c0 c1", fault="errors")
    bad = world.ask(world.plan("hours-report"))[0]
    world.faults("a0 a1 b0 b1 c0 c1", fault="late", late_ms=1200)
    late = world.ask(replace(world.plan("fleet-glance"), headers={}))[0]
    assert world.broker.traces is not None and world.broker.traces.dropped >= 3
    world.close()
    assert {one.status for one in sound} == {200} and bad.status != 200
    roots = [one for one in spans(tmp_path) if one["name"] == "ask"]
    told = [one.response.headers["quincepath-trace"] for one in (bad, late) if one.response]
    assert [one["context"]["trace_id"].removeprefix("0x") for one in roots] == told
    assert roots[0]["status"]["status_code"] == "ERROR"
    assert roots[1]["attributes"]["late"] or roots[1]["attributes"]["answer"] != "whole"
    again = traced(tmp_path / ".", 1)
    again.ask(again.plan("hours-report"))
    again.close()
    assert sum(one["name"] == "ask" for one in spans(tmp_path)) == 3


def test_without_a_file_nothing_is_traced(tmp_path: Path) -> None:
    world = World(tmp_path)
    end = world.ask(world.plan("hours-report"))[0]
    assert end.response is not None and "quincepath-trace" not in end.response.headers
    assert world.broker.traces is None
    world.close()
