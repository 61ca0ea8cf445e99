"""Repeats as the settings allow them, whatever class they give an effect and however short the window is."""

from typing import Any

import pytest

from quincepath.platform.config import ConfigError
from quincepath.policy import Aggregator
from quincepath.policy.queries import PartState
from tests.standins.platform import MS, Node, World, configuration, site

CLASSES: list[dict[str, Any]] = site()["classes"]


class Times(list[tuple[str, int]]):
    """What a node has seen, with the time of each."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node, self.at = node, list[tuple[str, int]]()

    def append(self, one: tuple[str, int]) -> None:
        """Keep the time, too."""
        super().append(one)
        self.at.append((one[0], self.node.loop.clock()))


class Overstepping(Aggregator):
    """A module that takes each class for one that is safe to repeat."""

    def _may_still_send(self, part: PartState) -> bool:
        return not part.closed and len(part.attempts) < self.limits.attempts


def world_of(kind: int, effect: str, make_module: type[Aggregator] = Aggregator, **more: Any) -> World:
    """A world whose settings give a class another effect than the site does."""
    changed = {**CLASSES[kind], "effect": effect, **more}
    world = World(make_module, classes=[changed if at == kind else one for at, one in enumerate(CLASSES)])
    for node in world.nodes:
        node.seen = Times(node)
    return world


def spans(world: World) -> list[int]:
    """For each part the time from its first attempt to its last, as the nodes saw them."""
    times: dict[str, list[int]] = {}
    for node in world.nodes:
        assert isinstance(node.seen, Times)
        for part, at in node.seen.at:
            times.setdefault(part, []).append(at)
    return [max(one) - min(one) for one in times.values()]


@pytest.mark.parametrize("act", ["bad", "reset", "silent", "noise"])
@pytest.mark.parametrize("window", [0, 1, MS, 10 * MS, 60 * MS, 400 * MS])
@pytest.mark.parametrize("kind", [0, 2])
def test_a_keyed_part_is_never_repeated_after_its_window_however_short(
    kind: int, window: int, act: str
) -> None:
    world = world_of(kind, "idempotency_key", window=window)
    world.acts(act)
    for _ in range(2):
        assert world.ask(CLASSES[kind]["name"], (0, 1)).status in (502, 504)
    assert max(spans(world)) <= window
    assert world.broker.driver.breaches == {}, "the module keeps it by itself"


def test_a_keyed_part_is_repeated_within_its_window() -> None:
    """Each replica fails it once: the third try is a while after the second."""
    world = world_of(2, "idempotency_key", window=400 * MS)
    for node in world.nodes:
        node.acts = ["bad"]
    assert world.ask("once", (0,)).status == 200
    assert len(world.seen()) == 3 and 100 * MS < max(spans(world)) <= 400 * MS


@pytest.mark.parametrize("act", ["bad", "reset", "noise"])
@pytest.mark.parametrize("kind", [0, 1])
def test_a_class_that_the_settings_call_unsafe_is_not_repeated(kind: int, act: str) -> None:
    world = world_of(kind, "non_idempotent")
    world.acts(act)
    assert world.ask(CLASSES[kind]["name"], (0, 1)).status in (502, 504)
    assert set(spans(world)) == {0} and len(world.seen()) == len(set(world.seen()))


@pytest.mark.parametrize(
    ("effect", "name"), [("idempotency_key", "send_past_window"), ("non_idempotent", "send_may_run_twice")]
)
def test_a_module_that_repeats_what_its_class_does_not_allow_is_made_harmless(effect: str, name: str) -> None:
    world = world_of(2, effect, Overstepping, window=10 * MS)
    world.acts("bad")
    assert world.ask("once", (0,)).status in (502, 504)
    assert max(spans(world)) <= (10 * MS if effect == "idempotency_key" else 0)
    assert name in world.broker.driver.breaches


@pytest.mark.parametrize("change", [{"effect": "idempotent"}, {"effect": "idempotency_key"}])
def test_an_effect_that_is_none_or_lacks_its_window_is_told_at_the_start(change: dict[str, str]) -> None:
    with pytest.raises(ConfigError, match=r"classes\.1\.(effect|window)"):
        configuration("h:1", "h:2", classes=[CLASSES[0], {**CLASSES[1], **change}, CLASSES[2]])
