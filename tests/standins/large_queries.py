"""Queries of the largest size, and the memory that the program itself takes."""

import json
import tracemalloc

from tests.standins.platform import PlatformHarness


def large_query(harness: PlatformHarness, predicate_bytes: int) -> bytes:
    ranges = [{"range": shard, "portion": 1 / 8} for shard in range(8)]
    body = json.dumps({"ranges": ranges, "predicate": "p" * predicate_bytes}).encode()
    return harness.request("any", (0,), body=body + b" " * (60_000 - len(body)))


def memory_of_broker() -> int:
    """Bytes that the program itself has allocated since tracing began; stand-ins and tests not counted."""
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, "*/quincepath/*")])
    return sum(trace.size for trace in snapshot.traces)
