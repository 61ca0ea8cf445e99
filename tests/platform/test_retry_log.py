"""The log tells why a part was sent again."""

import logging

import pytest

from tests.standins.platform import PlatformHarness


def test_a_further_attempt_is_logged_with_the_end_of_the_one_before(caplog: pytest.LogCaptureFixture) -> None:
    harness = PlatformHarness()
    for node in harness.nodes:
        node.behaviors = ["bad"]
    with caplog.at_level(logging.INFO, "quincepath"):
        assert harness.ask("all", (0,)).status == 200
    logged = [line for line in caplog.messages if "attempt=" in line]
    assert logged and all("query=q1 shard=0" in line for line in logged)
    assert logged[0].endswith("reason=the node said bad") and harness.broker.counts["further attempts"]
