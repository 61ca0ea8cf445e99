"""The fleet's view in virtual time while nothing happens: messages, bytes, processor time, memory.

Fault scripts take at most 500 members, so the sizes end there; the memory of one view is measured up to the
target on the state machine itself, whose messages alone are limited (1,000 members).
"""

import time
from collections.abc import Iterable
from typing import Any, cast

from benchmarks.capacity.limits import broker_names
from benchmarks.capacity.measuring import Measured, allocated_bytes, series
from benchmarks.capacity.results import Point
from benchmarks.capacity.site import SECOND
from quincepath.fleet.view.core import Input, Output, View
from quincepath.fleet.view.facts import Belief, Phase, ViewSettings
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.virtual import Virtual

SIZES = (50, 100, 200, 350, 500)
MEMORY_SIZES = (100, 260, 650, 1300, 2600)
SEED = 41
BEGIN, LENGTH = 2, 10  # seconds of virtual time before and of a steady measurement


class Timed:
    """A view that adds up the processor time of its steps."""

    def __init__(self, view: View) -> None:
        self._view = view
        self.seconds = 0.0

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """The view's step."""
        began = time.process_time()
        out = self._view.step(now, inputs)
        self.seconds += time.process_time() - began
        return out

    def __getattr__(self, name: str) -> Any:
        return getattr(self._view, name)


def script(members: int, **more: Any) -> FleetScript:
    """A day in which nothing happens but what ``more`` says."""
    values = {"about": "capacity", "members": members, "length": "120s", **more}
    return FleetScript.model_validate(values)


def _steady(members: int) -> tuple[float, float, float]:
    """Messages, bytes and processor seconds a second a member, while nothing happens."""
    world = Virtual(script(members), SEED, warm=True)
    world.run(BEGIN * SECOND)
    messages, bytes_ = world.verdict.messages, world.verdict.bytes
    timed = []
    for member in world.members.values():
        timed.append(Timed(member.view))
        member.view = cast(View, timed[-1])
    world.run((BEGIN + LENGTH) * SECOND)
    share = 1 / members / LENGTH
    work = sum(one.seconds for one in timed) * share
    return (world.verdict.messages - messages) * share, (world.verdict.bytes - bytes_) * share, work


def _memory(members: int) -> float:
    """Of one view that holds all members."""
    names = broker_names(members)

    def build() -> object:
        view = View(ViewSettings("fleet", names[0], tuple(names[1:])), 1, 1, 0)
        for number, name in enumerate(names[1:]):
            belief = Belief(name, (1 << 61) + number, 3, Phase.ALIVE, 0, "broker-0001", 0, zone="zone-1")
            view.table.put(belief, "known")
        return view

    return allocated_bytes(build)


def measure() -> Measured:
    """Steady cost of a fleet, and memory of one view."""
    steady = {members: _steady(members) for members in SIZES}
    messages, bytes_, work = (
        tuple(Point(size, (found[place],)) for size, found in steady.items()) for place in range(3)
    )
    memory = tuple(Point(size, (_memory(size),)) for size in MEMORY_SIZES)
    return (
        series("messages", "a second", "brokers", messages, seeds=(SEED,)),
        series(
            "bytes", "bytes a second", "brokers", bytes_, seeds=(SEED,), note="with 28 of UDP and IP each"
        ),
        series("work", "s a second", "brokers", work, seeds=(SEED,), note="the view's steps, no sockets"),
        series("memory", "bytes", "brokers", memory),
    ), ()
