"""Requests encoded by other libraries are decoded correctly."""

import json
from dataclasses import replace
from pathlib import Path

from quincepath.fronts.remote_read.codec import decode_request, decode_response
from quincepath.lab.load import QueryPlan
from quincepath.standins.data import BEGIN_MS, END_MS
from tests.world import World


def test_a_request_encoded_by_other_libraries_is_decoded_and_answered(tmp_path: Path) -> None:
    """The bytes come from pure-protobuf and another snappy (benchmarks/interop); both agreed on samples."""
    stored = json.loads((Path(__file__).parent.parent / "benchmarks/results/interop.json").read_text())
    assert stored["same"] and stored["samples"] > 0
    body = bytes.fromhex(stored["request"])
    request = decode_request(body, 1 << 20)
    [query] = request.queries
    assert [[m.type, m.name, m.value] for m in query.matchers] == stored["matchers"]
    assert (query.start_timestamp_ms, query.end_timestamp_ms) == (BEGIN_MS, END_MS)
    world = World(tmp_path)
    [foreign] = world.ask(QueryPlan("hours-report", [], body, request, 2_000_000_000))
    assert foreign.status == 200 and foreign.response is not None
    own = world.ask(replace(world.plan("hours-report", "north.*|river.*"), patience=2_000_000_000))[0]
    assert own.response is not None
    ours, others = (decode_response(one.body, 1 << 26) for one in (own.response, foreign.response))
    assert ours == others and sum(len(s.samples) for s in others.results[0].timeseries) > 0
    world.close()
