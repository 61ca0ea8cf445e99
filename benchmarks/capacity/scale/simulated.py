"""The view and the ledger of a fleet in virtual time, for sizes that this machine cannot carry at real pace.

The cores, their messages and their networks are those of ``quincepath.lab.fleet``; time passes as fast as the
processor allows. Nothing of it is measured on sockets: what the edge, the loop and the system spend is not in
the processor time, and a machine that is busy changes nothing.
"""

import random
import time
from collections import Counter
from collections.abc import Callable, Sequence

from benchmarks.capacity.scale.machine import Machine
from benchmarks.capacity.scale.result import Event, MechanismFigures
from quincepath.lab.fleet.ledger_world import LedgerWorld
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.virtual import Virtual

SECOND = 1_000_000_000
BEGIN, END = 3 * SECOND, 6 * SECOND  # of virtual time, between which it is counted
STEP = SECOND // 2
LONGEST = 240.0  # seconds of real time for one mechanism
KNOWN_WITHIN = 60 * SECOND  # of virtual time, after a kill
BELIEF_BYTES = 1300  # of one member at another, with all that the simulation keeps beside it
NAMES_SHOWN = 16
Say = Callable[[str], None]


class SimulationError(RuntimeError):
    """It was not done within its time, or would not fit; the text says which."""


class _Clock:
    """Real time of one simulation; ``step`` is called often."""

    def __init__(self, what: str, longest: float, say: Say) -> None:
        self._what, self._longest, self._say = what, longest, say
        self._deadline = time.monotonic() + longest

    def step(self, now: int) -> None:
        """Raises ``SimulationError`` when its time is over. ``now``: ns of virtual time."""
        self._say(f"{self._what} in virtual time: {now / SECOND:g} s")
        if time.monotonic() > self._deadline:
            raise SimulationError(
                f"{self._what} in virtual time: only at {now / SECOND:g} s after {self._longest:g} s"
            )


def simulate_ledger(
    brokers: int, seed: int, queries: float, say: Say, longest: float = LONGEST
) -> MechanismFigures:
    """Messages, bytes and processor time of one broker. Raises ``SimulationError``."""
    clock = _Clock("ledger", longest, say)
    world = LedgerWorld(brokers, seed, lambda name, now: queries)

    def run(until: int) -> None:
        while world.now < until:
            clock.step(world.now)
            world.run(min(world.now + STEP, until))

    run(BEGIN)
    before = [(one.packets, one.sent) for one in world.processes]
    began = time.thread_time()
    run(END)
    used = time.thread_time() - began
    seconds = (END - BEGIN) / SECOND
    pairs = list(zip(before, world.processes, strict=True))
    messages = [(one.packets - then[0]) / seconds for then, one in pairs]
    sizes = [(one.sent - then[1]) / seconds for then, one in pairs]
    return _figures(messages, sizes, used / seconds / brokers)


def _figures(messages: Sequence[float], sizes: Sequence[float], used: float) -> MechanismFigures:
    """Of brokers, a second; ``used``: seconds of processor time of one broker a second."""
    return MechanismFigures(
        messages_a_second=round(sum(messages) / len(messages), 2),
        messages_a_second_most=round(max(messages), 2),
        bytes_a_second=round(sum(sizes) / len(sizes), 2),
        bytes_a_second_most=round(max(sizes), 2),
        processor_ms_a_second=round(used * 1000, 4),
    )


def simulate_view(
    brokers: int,
    seed: int,
    kill_share: float,
    machine: Machine,
    say: Say,
    longest: float = LONGEST,
) -> tuple[MechanismFigures, Event, dict[str, int]]:
    """The calm, then a kill, then what was dropped by cause; all know all at the beginning.

    Only means are counted. Bytes hold the headers of UDP and IPv4, and segments of exchanges. Raises
    ``SimulationError``.
    """
    wanted = brokers * brokers * BELIEF_BYTES
    if wanted > machine.memory_allowed:
        raise SimulationError(
            f"view in virtual time: {wanted >> 20} MiB of memory wanted, of which a run may take "
            f"{machine.memory_allowed >> 20} MiB"
        )
    clock = _Clock("view", longest, say)
    # The limit of members in a script is for processes and short tests; virtual time needs none.
    script = FleetScript(about="scale", members=2, length="1h").model_copy(update={"members": brokers})
    world = Virtual(script, seed, warm=True)

    def run(until: int) -> None:
        while world.now < until:
            clock.step(world.now)
            world.run(min(world.now + STEP, until))

    run(BEGIN)
    messages, size, began = world.verdict.messages, world.verdict.bytes, time.thread_time()
    run(END)
    used = time.thread_time() - began
    each = brokers * (END - BEGIN) / SECOND
    rates = [(world.verdict.messages - messages) / each], [(world.verdict.bytes - size) / each]
    figures = _figures(*rates, used / each)
    event = _kill(world, kill_share, run)
    dropped: Counter[str] = Counter()
    for member in world.members.values():
        dropped.update(member.view.dropped)
    return figures, event, dict(dropped)


def _kill(world: Virtual, share: float, run: Callable[[int], None]) -> Event:
    """Until all views are equal and true again."""
    source = random.Random(f"{world.seed} kill")
    names = sorted(source.sample(world.script.names, max(round(share * world.script.members), 1)))
    killed_at, messages, size = world.now, world.verdict.messages, world.verdict.bytes
    worst_messages = worst_bytes = 0.0
    for name in names:
        world.end(name, False)
    while not world.agree() and world.now < killed_at + KNOWN_WITHIN:
        run(world.now + STEP)
        worst_messages = max(worst_messages, (world.verdict.messages - messages) * SECOND / STEP)
        worst_bytes = max(worst_bytes, (world.verdict.bytes - size) * SECOND / STEP)
        messages, size = world.verdict.messages, world.verdict.bytes
    living = world.script.members - len(names)
    return Event(
        what="kill, simulated",
        names=names[:NAMES_SHOWN],
        known_after_s=(world.now - killed_at) / SECOND if world.agree() else None,
        known_by=sum(member.view.table.live_count == living for member in world.members.values()),
        of=living,
        worst_messages_a_second=round(worst_messages / living, 2),
        worst_bytes_a_second=round(worst_bytes / living, 2),
    )
