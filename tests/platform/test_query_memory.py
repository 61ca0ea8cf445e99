"""What a query leaves in memory when it is over."""

import gc
import tracemalloc

import pytest

from tests.standins.large_queries import large_query, memory_of_broker
from tests.standins.platform import PlatformHarness
from tests.standins.sockets import connect


@pytest.mark.parametrize("behavior", ["good", "later"])
def test_what_a_query_carried_is_freed_when_it_is_answered(behavior: str) -> None:
    """A query and its parts referred to each other: a thousand of them waited for a garbage collection."""
    harness = PlatformHarness()
    harness.set_behavior(behavior)
    harness.ask("all", (0, 1))
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(40):
            client = connect(harness)
            client.sendall(large_query(harness, 15_000))
            harness.run(0.1)
            client.close()
            harness.run(0.01)
        harness.run(3)
        held = memory_of_broker()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert not harness.broker.exchanges and held < 40 * 15_000, "less than the predicates alone"
