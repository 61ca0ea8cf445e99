"""The view and the ledger of a fleet in virtual time, for sizes that this machine cannot carry at real pace.

The cores, their messages and their network are those of ``quincepath.lab.fleet``; time passes as fast as the
processor allows. Nothing of it is measured on sockets: what the edge, the loop and the system
spend is not in the processor time.
"""

import time
from collections.abc import Callable

from benchmarks.capacity.scale.result import MechanismFigures
from quincepath.lab.fleet.ledger_world import SECOND, LedgerWorld, Process

BEGIN, END = 3 * SECOND, 6 * SECOND  # of virtual time, between which it is counted
STEP = SECOND // 2
LONGEST = 240.0  # seconds of real time


class SimulationTimeError(RuntimeError):
    """It was not done within its time."""


def simulate_ledger(
    brokers: int, seed: int, queries: float, say: Callable[[str], None], longest: float = LONGEST
) -> MechanismFigures:
    """Messages, bytes and processor time of one broker. Raises ``SimulationTimeError``."""
    deadline = time.monotonic() + longest
    world = LedgerWorld(brokers, seed, lambda name, now: queries)
    _run(world, BEGIN, deadline, say)
    before = {one.name: _sent(one) for one in world.processes}
    began = time.thread_time()
    _run(world, END, deadline, say)
    used = time.thread_time() - began
    seconds = (END - BEGIN) / SECOND
    messages, sizes = [], []
    for one in world.processes:
        packets, sent = _sent(one)
        messages.append((packets - before[one.name][0]) / seconds)
        sizes.append((sent - before[one.name][1]) / seconds)
    return MechanismFigures(
        messages_a_second=round(sum(messages) / brokers, 2),
        messages_a_second_most=round(max(messages), 2),
        bytes_a_second=round(sum(sizes) / brokers, 2),
        bytes_a_second_most=round(max(sizes), 2),
        processor_ms_a_second=round(used * 1000 / seconds / brokers, 4),
    )


def _sent(process: Process) -> tuple[int, int]:
    return process.packets, process.sent


def _run(world: LedgerWorld, until: int, deadline: float, say: Callable[[str], None]) -> None:
    while world.now < until:
        if time.monotonic() > deadline:
            raise SimulationTimeError(
                f"ledger in virtual time: only at {world.now / SECOND:g} of {END / SECOND:g} s after its time"
            )
        world.run(min(world.now + STEP, until))
        say(f"ledger in virtual time: {world.now / SECOND:g} of {END / SECOND:g} s")
