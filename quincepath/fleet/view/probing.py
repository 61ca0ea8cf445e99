"""Whom to probe next, what came of it, and how far this member trusts its own eyes (local health)."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.fleet.view.facts import ViewSettings

NEVER = 1 << 62
HEALTH_MOST = 8  # worst local health: all waits are nine times as long
MISSED_MOST = 2  # the part of it that missing answers of helpers may make; the rest only late timers
PROBES_MOST = 64  # open at once: one of the round, the others to see for oneself what others suspect
RELAYS_MOST = 256  # probes on behalf of others, open at once; one more is not made, which its asker survives


class LocalHealth:
    """0 is sound. Grows when this member's own timers run late, or nobody answers; shrinks with each answer.

    A member that is slow itself must not take the others for dead (Lifeguard).
    """

    def __init__(self, on: bool) -> None:
        self.on = on
        self.score = 0

    @property
    def times(self) -> int:
        """How many times as long this member waits."""
        return 1 + self.score if self.on else 1

    def late(self, periods: int) -> None:
        """An own timer ran late, by so many whole periods."""
        self.score = min(self.score + 1 + min(periods, 3), HEALTH_MOST)

    def missed(self, answers: int) -> None:
        """So many helpers said nothing at all, or this member had to refute a suspicion."""
        if self.score < MISSED_MOST:
            self.score = min(self.score + answers, MISSED_MOST)

    def answered(self) -> None:
        """A probe was answered in time."""
        self.score = max(self.score - 1, 0)


@dataclass(slots=True)
class Probe:
    """One probe of this member's own. ``void``: this member stood still meanwhile, it says nothing."""

    number: int
    target: str
    sent: int
    again_at: int
    ask_at: int
    end_at: int
    of_round: bool
    helpers: list[str] = field(default_factory=list)
    indirect_sent: bool = False
    nacks: int = 0
    void: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of ``asker``, known to it by ``number``."""

    requester: str
    number: int
    target: str
    nack_at: int
    end_at: int
    nacked: bool = False


class Prober:
    """Numbers probes, keeps those that are open, and goes round all living members in shuffled rounds."""

    def __init__(self, settings: ViewSettings, source: random.Random) -> None:
        self.settings, self.random = settings, source
        self.health = LocalHealth(settings.local_health)
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.number = source.getrandbits(30)  # so that an answer to an earlier process fits nothing
        self.refused = 0  # relays not made for want of room
        self._round: list[str] = []

    def next_target(self, living: list[str], open_to: Callable[[str], bool]) -> str | None:
        """The next of the round; a new round is shuffled when one is over."""
        alive = set(living)
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in alive and open_to(name):
                    return name
            self._round = list(living)
            self.random.shuffle(self._round)
        return None

    def insert(self, name: str) -> None:
        """A member that is new takes its turn somewhere in the round that goes on."""
        if name not in self._round:
            self._round.insert(self.random.randrange(len(self._round) + 1), name)

    def begin(self, target: str, now: int, of_round: bool) -> Probe:
        """A probe that goes out now."""
        self.number += 1
        times, settings = self.health.times, self.settings
        again = now + settings.again * times if settings.again else NEVER
        probe = Probe(
            self.number, target, now, again, now + settings.ack_time * times, now + settings.period * times,
            of_round,
        )  # fmt: skip
        self.probes[probe.number] = probe
        return probe

    def again(self, probe: Probe, now: int) -> bool:
        """Whether the ping of a probe is to go out once more; its next time is set."""
        if now < probe.again_at or now >= probe.end_at:
            return False
        probe.again_at = now + self.settings.again * self.health.times
        return True

    def watches(self, name: str) -> bool:
        """Whether a probe of this member is open."""
        return any(probe.target == name for probe in self.probes.values())

    def relay(self, requester: str, number: int, target: str, now: int) -> int:
        """The number of a probe made for another; 0 without room."""
        if len(self.indirect_probes) >= RELAYS_MOST:
            self.refused += 1
            return 0
        self.number += 1
        nack_at = now + self.settings.ack_time
        self.indirect_probes[self.number] = IndirectProbe(
            requester, number, target, nack_at, now + self.settings.period
        )
        return self.number

    def stood_still(self, by: int) -> None:
        """All that is open says nothing any more: answers may have come and lie unread."""
        for probe in self.probes.values():
            probe.void = True
        self.indirect_probes.clear()
        self.health.late(by // self.settings.period)

    def next_due(self) -> int:
        """When one of the open ones has a step to make."""
        due = [
            min(probe.again_at, probe.end_at if probe.indirect_sent else probe.ask_at)
            for probe in self.probes.values()
        ]
        due += [relay.end_at if relay.nacked else relay.nack_at for relay in self.indirect_probes.values()]
        return min(due, default=NEVER)
