"""Complete answers equal the union of the holders' data: seeded queries through the broker over sockets."""

import http.client

import numpy as np

from quincepath.fronts.remote_read.codec import HEADERS, decode_response, encode
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.lab.load import QueryPlan
from quincepath.standins.data import BEGIN_MS, END_MS
from tests.world import SECOND, SHARDS, SamplesByLabels, World, answer, as_dict, completeness

QUERIES = 500
DISTRICTS = [district for _, district in SHARDS.values()]


def request_of(random: np.random.Generator) -> ReadRequest:
    """One to three queries of the class that needs all parts, with every kind of matcher and range."""
    request = ReadRequest()
    for _ in range(int(random.integers(1, 4))):
        low, high = sorted(int(n) for n in random.integers(BEGIN_MS - 600_000, END_MS + 600_000, 2))
        query = request.queries.add(start_timestamp_ms=low, end_timestamp_ms=high)
        names = [("EQ", "engine_hours"), ("RE", "engine_.*|fuel_.*"), ("NRE", "fuel.*")]
        kind, value = names[int(random.integers(0, 3))]
        query.matchers.add(type=LabelMatcher.Type.Value(kind), name="__name__", value=value)
        if random.random() < 0.8:
            district = DISTRICTS[int(random.integers(0, 3))]
            choices = [
                ("EQ", district),
                ("NEQ", district),
                ("RE", ".*(north|river).*"),
                ("NRE", district),
                ("RE", ""),
            ]
            kind, value = choices[int(random.integers(0, 5))]
            query.matchers.add(type=LabelMatcher.Type.Value(kind), name="district", value=value)
        if random.random() < 0.4:
            query.matchers.add(type=LabelMatcher.RE, name="tractor", value="tractor-0[0-2].*")
    return request


def union_of_holders(world: World, request: ReadRequest, index: int) -> SamplesByLabels:
    """The union of the results of all holders, read directly from their stores without the broker."""
    single = ReadRequest()
    single.queries.append(request.queries[index])
    union: SamplesByLabels = {}
    for leaf in world.leaves.values():
        result = leaf.store.read(decode(encode(single)))
        for labels, samples in as_dict(result).items():
            union.setdefault(labels, {}).update(samples)
    return dict(sorted(union.items()))


def decode(body: bytes) -> ReadRequest:
    from quincepath.fronts.remote_read.codec import decode_request

    return decode_request(body, 1 << 20)


def test_five_hundred_complete_answers_equal_the_union_of_the_holders_data() -> None:
    world = World(limits={"batch": 3})
    random = np.random.default_rng(20)
    series = 0
    for start in range(0, QUERIES, 5):
        requests = [request_of(random) for _ in range(5)]
        plans = [QueryPlan("hours-report", [], encode(r), r, 2 * SECOND) for r in requests]
        for request, seen in zip(requests, world.ask(*plans), strict=True):
            response = answer(seen)
            assert completeness(seen)[0] == "whole"
            assert len(response.results) == len(request.queries)
            for index in range(len(request.queries)):
                expected = union_of_holders(world, request, index)
                assert as_dict(response, index) == expected, f"query {start}"
                assert list(as_dict(response, index)) == list(expected)
                series += len(expected)
    assert series > QUERIES  # not a comparison of empty answers
    world.close()


def test_holder_serves_the_content_of_its_store_over_http() -> None:
    """The test above reads stores in memory; this one checks that a holder serves the same over HTTP."""
    import json
    import subprocess
    import sys

    command = [sys.executable, "-m", "quincepath", "leaf", "--districts", "north.example.org", "--seed", "3",
             "--guarded"]  # fmt: skip
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None and process.stdin is not None
        port = json.loads(process.stdout.readline())["port"]
        world = World()
        request = ReadRequest()
        query = request.queries.add(start_timestamp_ms=BEGIN_MS, end_timestamp_ms=END_MS)
        query.matchers.add(type=LabelMatcher.EQ, name="__name__", value="engine_hours")
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request("POST", "/api/v1/read", encode(request), HEADERS)
        response = decode_response(connection.getresponse().read(), 1 << 20)
        connection.close()
        assert as_dict(response) == as_dict(world.leaves["a0"].store.read(request)) != {}
        world.close()
        process.stdin.close()
        assert process.wait(10) == 0  # --guarded: the holder exits with the process that started it
