"""Samples that brokers send to the leader: one version each, sent at once for a step, figures from all."""

import pytest

from quincepath.fleet.forecast import Part
from quincepath.fleet.sampling import SEND_INTERVAL_NS, SEND_INTERVAL_PER_BROKER_NS, Samples
from quincepath.shards.versions import MapVersion

SECOND = 1_000_000_000
BEGIN = 1_000_000 * SECOND
MAP = MapVersion(2, "zone", (("s1", "g1", ("a",)), ("s2", "g2", ("b",))))


def filled(member: str, version: int, count: int, late: int = 0) -> Samples:
    """Ten queries per second; every tenth has a second part, for value b."""
    found = Samples(member, 1, 2)
    found.begin(version)
    for number in range(count):
        values = ("a", "b") if number % 10 == 0 else ("a",)
        parts = tuple(Part((value,), 1, 20_000_000, 20_000_000, 100) for value in values)
        took = 2 * SECOND if number < late else SECOND // 10
        at = BEGIN + number * SECOND // 10
        found.add(number, at, "fast", "t", SECOND, took, parts, (False, False))
    return found


def test_measured_figures_are_of_all_brokers_with_this_version() -> None:
    leader, other = filled("m0", 2, 500, late=50), filled("m1", 2, 500)
    for data in other.messages(7):
        assert leader.receive("m1", data) == ""
    assert (leader.fleet_sample()[1], leader.heard_since(7), leader.heard_since(8)) == (2, 2, 1)
    found = leader.measured(MAP, {"g1": 1, "g2": 1}, 1)
    assert found is not None
    figures = {(kind, where): value for kind, where, value in found}
    assert figures["calls", "g1"] == pytest.approx(20, rel=0.01)
    assert figures["calls", "g2"] == pytest.approx(2, rel=0.01)
    assert figures["load", "g1"] == pytest.approx(0.4, rel=0.01)
    assert figures["parts", "fast"] == pytest.approx(1.1)
    assert figures["miss", "fast"] == figures["miss", ""] == 0.05


def test_sample_of_another_version_or_sender_is_rejected() -> None:
    leader, other = filled("m0", 2, 10), filled("m1", 3, 10)
    (data,) = other.messages(1)
    assert leader.receive("m1", data) == "sample of 'm1/3'; expected one of 'm1' for version 2"
    assert "expected one of 'm2' for version 2" in leader.receive("m2", filled("m1", 2, 10).messages(1)[0])
    assert "sample message" in leader.receive("m1", b"\xc1")
    assert leader.fleet_sample()[1] == 1


def test_nothing_is_measured_without_queries() -> None:
    assert filled("m0", 2, 0).measured(MAP, {"g1": 1, "g2": 1}, 1) is None


def test_sample_is_sent_at_once_for_a_new_step_or_leader_and_then_periodically() -> None:
    samples, later = filled("m1", 2, 1), SEND_INTERVAL_NS + 2 * SEND_INTERVAL_PER_BROKER_NS
    assert not samples.due(0, "", "proposed 2") and not samples.due(0, "m1", "proposed 2")
    assert samples.due(0, "m0", "proposed 2") and not samples.due(1, "m0", "proposed 2")
    assert samples.due(2, "m2", "proposed 2") and samples.due(3, "m2", "measured 2")
    assert not samples.due(later + 2, "m2", "measured 2") and samples.due(later + 3, "m2", "measured 2")
