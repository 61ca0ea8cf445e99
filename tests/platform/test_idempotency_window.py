"""Parts are repeated as the settings allow, for any class with an effect and any length of the window."""

from typing import Any

import pytest

from quincepath.platform.config import ConfigError
from quincepath.policy import Aggregator
from quincepath.policy.queries import PartState
from tests.standins.platform import MS, Node, PlatformHarness, configuration, platform_settings

CLASSES: list[dict[str, Any]] = platform_settings()["classes"]


class TimestampedList(list[tuple[str, int]]):
    """The parts that a node has received, with the time of each."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node, self.at = node, list[tuple[str, int]]()

    def append(self, one: tuple[str, int]) -> None:
        """Append and record the time."""
        super().append(one)
        self.at.append((one[0], self.node.loop.clock()))


class UnsafeRepeater(Aggregator):
    """A module that treats every class as safe to repeat."""

    def _may_still_send(self, part: PartState) -> bool:
        return not part.closed and len(part.attempts) < self.limits.attempts


def harness_for(
    kind: int, effect: str, make_module: type[Aggregator] = Aggregator, **more: Any
) -> PlatformHarness:
    """A harness whose settings give one class a different effect."""
    changed = {**CLASSES[kind], "effect": effect, **more}
    harness = PlatformHarness(
        make_module, classes=[changed if at == kind else one for at, one in enumerate(CLASSES)]
    )
    for node in harness.nodes:
        node.received = TimestampedList(node)
    return harness


def attempt_spans(harness: PlatformHarness) -> list[int]:
    """For each part the time from its first attempt to its last, as received by the nodes."""
    times: dict[str, list[int]] = {}
    for node in harness.nodes:
        assert isinstance(node.received, TimestampedList)
        for part, at in node.received.at:
            times.setdefault(part, []).append(at)
    return [max(one) - min(one) for one in times.values()]


@pytest.mark.parametrize("behavior", ["bad", "reset", "silent", "noise"])
@pytest.mark.parametrize("window", [0, 1, MS, 10 * MS, 60 * MS, 400 * MS])
@pytest.mark.parametrize("kind", [0, 2])
def test_a_part_with_an_idempotency_key_is_never_repeated_after_its_window(
    kind: int, window: int, behavior: str
) -> None:
    harness = harness_for(kind, "idempotency_key", window=window)
    harness.set_behavior(behavior)
    for _ in range(2):
        assert harness.ask(CLASSES[kind]["name"], (0, 1)).status in (502, 504)
    assert max(attempt_spans(harness)) <= window
    assert harness.broker.driver.breaches == {}, "the module itself keeps to the window"


def test_a_part_with_an_idempotency_key_is_repeated_within_its_window() -> None:
    """Each replica fails it once: the third attempt comes a while after the second."""
    harness = harness_for(2, "idempotency_key", window=400 * MS)
    for node in harness.nodes:
        node.behaviors = ["bad"]
    assert harness.ask("once", (0,)).status == 200
    assert len(harness.received()) == 3 and 100 * MS < max(attempt_spans(harness)) <= 400 * MS


@pytest.mark.parametrize("behavior", ["bad", "reset", "noise"])
@pytest.mark.parametrize("kind", [0, 1])
def test_a_class_configured_as_non_idempotent_is_not_repeated(kind: int, behavior: str) -> None:
    harness = harness_for(kind, "non_idempotent")
    harness.set_behavior(behavior)
    assert harness.ask(CLASSES[kind]["name"], (0, 1)).status in (502, 504)
    assert set(attempt_spans(harness)) == {0} and len(harness.received()) == len(set(harness.received()))


@pytest.mark.parametrize(
    ("effect", "name"), [("idempotency_key", "send_past_window"), ("non_idempotent", "send_may_run_twice")]
)
def test_repeats_that_a_class_does_not_allow_are_suppressed(effect: str, name: str) -> None:
    harness = harness_for(2, effect, UnsafeRepeater, window=10 * MS)
    harness.set_behavior("bad")
    assert harness.ask("once", (0,)).status in (502, 504)
    assert max(attempt_spans(harness)) <= (10 * MS if effect == "idempotency_key" else 0)
    assert name in harness.broker.driver.breaches


@pytest.mark.parametrize("change", [{"effect": "idempotent"}, {"effect": "idempotency_key"}])
def test_an_unknown_effect_or_a_missing_window_is_reported_at_startup(change: dict[str, str]) -> None:
    with pytest.raises(ConfigError, match=r"classes\.1\.(effect|window)"):
        configuration("h:1", "h:2", classes=[CLASSES[0], {**CLASSES[1], **change}, CLASSES[2]])
