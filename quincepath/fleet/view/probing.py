"""Choice of probe targets, open probes, and local health: how far this member trusts its own results."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from quincepath.fleet.view.facts import ViewSettings

NEVER = 1 << 62
MAX_HEALTH_SCORE = 8  # worst local health: all timeouts are nine times as long
MAX_MISSED_SCORE = 2  # the part of the score that missing nacks may cause; only late timers raise it further
MAX_PROBES = 64  # open at once: one of the round, the others confirm suspicions that members reported
MAX_INDIRECT_PROBES = 256  # open at once for other members; beyond it a request is ignored, which is harmless


class LocalHealth:
    """Local health score of Lifeguard: a member that is slow itself must not declare others dead.

    0 is healthy. The score grows when this member's own timers run late or nobody answers, and shrinks with
    each ack.
    """

    def __init__(self, on: bool) -> None:
        self.on = on
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor by which this member's timeouts are longer."""
        return 1 + self.score if self.on else 1

    def on_late_timer(self, periods: int) -> None:
        """A timer of this member ran late, by this number of whole periods."""
        self.score = min(self.score + 1 + min(periods, 3), MAX_HEALTH_SCORE)

    def on_missed(self, answers: int) -> None:
        """This number of helpers sent neither ack nor nack, or this member had to refute a suspicion."""
        if self.score < MAX_MISSED_SCORE:
            self.score = min(self.score + answers, MAX_MISSED_SCORE)

    def on_ack(self) -> None:
        """A probe was acked in time."""
        self.score = max(self.score - 1, 0)


@dataclass(slots=True)
class Probe:
    """One probe of this member's own. ``void``: this member stalled meanwhile, so the result proves
    nothing."""

    number: int
    target: str
    sent_at: int
    next_ping_at: int
    indirect_at: int
    end_at: int
    in_round: bool
    helpers: list[str] = field(default_factory=list)
    indirect_sent: bool = False
    nacks: int = 0
    void: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe on behalf of ``requester``, which knows it by ``number``."""

    requester: str
    number: int
    target: str
    nack_at: int
    end_at: int
    nacked: bool = False


class Prober:
    """Numbers and holds open probes, and visits all live members in shuffled rounds."""

    def __init__(self, settings: ViewSettings, source: random.Random) -> None:
        self.settings, self.random = settings, source
        self.health = LocalHealth(settings.local_health)
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.number = source.getrandbits(
            30
        )  # random start: acks to an earlier process match no probe of this one
        self.indirect_refused = 0  # indirect probes not made because of the limit
        self._round: list[str] = []

    def next_target(self, live: list[str], may_probe: Callable[[str], bool]) -> str | None:
        """The next target of the round; once it is over, a new round is shuffled."""
        alive = set(live)
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in alive and may_probe(name):
                    return name
            self._round = list(live)
            self.random.shuffle(self._round)
        return None

    def add_to_round(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        if name not in self._round:
            self._round.insert(self.random.randrange(len(self._round) + 1), name)

    def start_probe(self, target: str, now: int, in_round: bool) -> Probe:
        """Register a probe whose first ping is sent now."""
        self.number += 1
        multiplier, settings = self.health.multiplier, self.settings
        next_ping_at = now + settings.again * multiplier if settings.again else NEVER
        probe = Probe(
            self.number, target, now, next_ping_at, now + settings.ack_time * multiplier,
            now + settings.period * multiplier, in_round,
        )  # fmt: skip
        self.probes[probe.number] = probe
        return probe

    def ping_again(self, probe: Probe, now: int) -> bool:
        """Whether another ping of the probe is due; if so, the time of the next one is set."""
        if now < probe.next_ping_at or now >= probe.end_at:
            return False
        probe.next_ping_at = now + self.settings.again * self.health.multiplier
        return True

    def is_probing(self, name: str) -> bool:
        """Whether a probe of this member is open."""
        return any(probe.target == name for probe in self.probes.values())

    def start_indirect(self, requester: str, number: int, target: str, now: int) -> int:
        """Register a probe on behalf of another member and return its number; 0 if the limit is reached."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            self.indirect_refused += 1
            return 0
        self.number += 1
        nack_at = now + self.settings.ack_time
        self.indirect_probes[self.number] = IndirectProbe(
            requester, number, target, nack_at, now + self.settings.period
        )
        return self.number

    def on_stall(self, by: int) -> None:
        """Void all open probes after a stall: acks may have arrived and lie unread."""
        for probe in self.probes.values():
            probe.void = True
        self.indirect_probes.clear()
        self.health.on_late_timer(by // self.settings.period)

    def next_due(self) -> int:
        """When the next open probe has a timer to run."""
        due = [
            min(probe.next_ping_at, probe.end_at if probe.indirect_sent else probe.indirect_at)
            for probe in self.probes.values()
        ]
        due += [one.end_at if one.nacked else one.nack_at for one in self.indirect_probes.values()]
        return min(due, default=NEVER)
