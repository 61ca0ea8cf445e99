"""The log tells why a part was sent again."""

import logging

import pytest

from tests.standins.platform import PlatformHarness


def test_a_third_attempt_is_logged_with_the_ends_of_those_before(caplog: pytest.LogCaptureFixture) -> None:
    harness = PlatformHarness()
    for node in harness.nodes:
        node.behaviors = ["bad"]
    with caplog.at_level(logging.INFO, "quincepath"):
        assert harness.ask("all", (0,)).status == 200
    (logged,) = [line for line in caplog.messages if "attempt=" in line]
    assert "query=q1 shard=0 attempt=2" in logged
    assert logged.endswith("earlier: the node said bad; the node said bad")
    assert harness.broker.counts["further attempts"] == 2
