"""Figures of changes that were not in force everywhere, and messages that reach the wrong end."""

from pathlib import Path

import pytest

from benchmarks.capacity.scale.messages import Figures, Reach
from benchmarks.capacity.scale.plan import Mechanism, Plan
from benchmarks.capacity.scale.result import SECOND, ChangeFigures, change_figures
from tests.capacity_scale.runs import played


def figures(proposed: dict[int, int], reached: dict[int, Reach]) -> Figures:
    return Figures(0, (), {}, 0, 0, {}, (), proposed_at=proposed, reached=reached)


def about(subscribers: int) -> ChangeFigures:
    return ChangeFigures(committed=2, subscribers=subscribers, relays=1, every_s=0.5)


def test_a_change_is_in_force_when_it_is_at_the_last_broker_of_all_hosts() -> None:
    one = figures({1: 10 * SECOND, 2: 20 * SECOND}, {1: Reach(2, 11 * SECOND), 2: Reach(2, 21 * SECOND)})
    two = figures({}, {1: Reach(1, 14 * SECOND), 2: Reach(1, 20 * SECOND)})
    found = change_figures([one, two], about(3))
    assert (found.in_force_median_s, found.in_force_99th_s, found.in_force_most_s) == (2.5, 4.0, 4.0)


def test_a_change_that_one_broker_lacks_is_no_figure() -> None:
    one = figures({1: 0, 2: 0}, {1: Reach(3, 1), 2: Reach(2, 1)})
    with pytest.raises(ValueError, match="revision 2: in force at 2, expected 3"):
        change_figures([one], about(3))


def test_every_region_has_relays_and_none_is_a_voter_or_real() -> None:
    for brokers, each in ((20, 1), (60, 1), (300, 5), (2600, 5)):
        plan = Plan(brokers, 3, 1, tuple(Mechanism), 2, 10.0, "nowhere")
        regions = [one.region for one in plan.relays]
        assert {regions.count(region) for region in set(regions)} == {each}
        assert len(set(regions)) == 3
        assert not {one.name for one in plan.relays} & {"b0", "b1", "b2", *plan.voters}
    assert Plan(60, 0, 1, (Mechanism.VIEW, Mechanism.LOG), 2, 10.0, "nowhere").relays == []


def test_changes_come_into_force_at_all_without_the_view(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    options = ("--brokers", "40", "--duration", "2", "--processes", "2", "--changes", "4")
    result = played(tmp_path, *options, "--mechanisms", "log,configuration")
    assert result["verdict"] in ("good", "void"), result["why"]
    assert (result["changes"]["committed"], result["changes"]["subscribers"]) == (4, 40)
    assert set(result["by_mechanism"]) == {"log", "configuration"} and result["events"] == []
