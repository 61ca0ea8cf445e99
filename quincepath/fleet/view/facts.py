"""What a member believes of another, and which of two beliefs holds. Times: ns of its own clock."""

import hashlib
import math
from dataclasses import dataclass, field
from enum import IntEnum

from quincepath.fleet.messages import MAX_ACCUSERS, MemberState

MS = 1_000_000
SECOND = 1000 * MS


class Phase(IntEnum):
    """In the order in which one replaces another at the same incarnation."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


LIVE_PHASES = (Phase.JOINING, Phase.ALIVE, Phase.SUSPECT)  # what has not been given up
Key = tuple[int, int, int]  # incarnation, phase, boot


@dataclass(slots=True, frozen=True)
class ViewSettings:
    """How a view is kept. Periods in ns; the defaults are for links of a few milliseconds."""

    fleet: str
    name: str
    peers: tuple[str, ...]  # all other members that may be; who is not among them is a stranger
    join: tuple[str, ...] = ()  # asked first when joining; else any peer
    zone: str = ""
    version: str = ""
    config: str = ""
    period: int = 500 * MS  # between probes of this member
    ack_time: int = 150 * MS  # until others are asked to probe as well
    again: int = 75 * MS  # between pings of one probe, until it is answered or ends; 0: only one is sent
    helpers: int = 3  # how many are asked
    stream: bool = True  # where others are asked, the target is also asked on a line
    gossip: int = 200 * MS  # between tellings, while there is news
    fanout: int = 3  # members told at once
    floor: int = 1500 * MS  # least time of a suspicion
    ceiling_periods: float = 4.0  # longest time of a suspicion: so many periods times log2(members + 1)
    accusers: int = 3  # independent further accusers at which a suspicion takes its least time
    exchange: int = 10 * SECOND  # between full exchanges with one member
    heal: int = 2 * SECOND  # least time between exchanges because digests differ
    recheck: int = 200 * MS  # between pings to members whose last digest was another one; 0: none
    exchange_time: int = 3 * SECOND  # until an exchange that makes no progress is given up
    trial: int = 3 * SECOND  # between contacts of one that is believed dead or was never heard
    reclaim: int = 600 * SECOND  # until one that is dead or has left is no longer told of
    settle: int = 3 * SECOND  # without a change, until the view may be called settled
    late: int = 100 * MS  # a timer that runs so much late tells of trouble of this member's own
    local_health: bool = True  # the three parts of Lifeguard; off for comparison only
    told_first: bool = True
    shrinking: bool = True

    def max_suspicion_timeout(self, members: int) -> int:
        """ns, for so many living members."""
        return max(int(self.ceiling_periods * self.period * math.log2(members + 1)), self.floor)

    def max_transmits(self, members: int) -> int:
        """How often one piece of news is told by each member."""
        return 3 + math.ceil(math.log2(members + 1))

    def suspicion_timeout(self, members: int, accusers: int) -> int:
        """How long a suspicion stands until it counts as a death: shorter with each independent accuser."""
        longest = self.max_suspicion_timeout(members)
        wanted = min(self.accusers, max(members - 2, 0))  # all but the first and the suspect itself
        if not self.shrinking:
            return longest
        if not wanted:
            return self.floor
        share = math.log(min(accusers - 1, wanted) + 1) / math.log(wanted + 1)
        return int(longest - (longest - self.floor) * share)


@dataclass(slots=True)
class Belief:
    """What is believed of one member. ``since``: when its phase began, as far as is known."""

    name: str
    boot: int
    incarnation: int
    phase: Phase
    since: int
    told_by: str  # who told this member
    told_at: int
    accusers: list[str] = field(default_factory=list)
    draining: bool = False
    zone: str = ""
    version: str = ""
    config: str = ""
    reclaimed: bool = False  # dead for so long that it is no longer told of; only its order is kept

    @property
    def key(self) -> Key:
        """The larger one holds."""
        return self.incarnation, int(self.phase), self.boot

    @property
    def live(self) -> bool:
        """Whether it is not given up."""
        return self.phase in LIVE_PHASES

    def to_state(self, now: int) -> MemberState:
        """For telling."""
        aged = self.phase in (Phase.SUSPECT, Phase.DEAD, Phase.LEFT)
        age = max(now - self.since, 0) // MS if aged else 0
        return MemberState(
            self.name, self.boot, self.incarnation, int(self.phase), age,
            tuple(self.accusers[:MAX_ACCUSERS]), self.draining, self.zone, self.version, self.config,
        )  # fmt: skip

    def digest_share(self) -> int:
        """Its share of the digest: who lives, and as what."""
        text = f"{self.name}\0{self.boot}\0{self.incarnation}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest()) >> 1


def state_key(about: MemberState) -> Key:
    """The order of what is told."""
    return about.incarnation, about.phase, about.boot


def belief_from_state(about: MemberState, now: int, told_by: str) -> Belief:
    """What is told, as believed from now on."""
    return Belief(
        about.name, about.boot, about.incarnation, Phase(about.phase), now - about.age * MS, told_by, now,
        list(about.accusers), about.draining, about.zone, about.version, about.config,
    )  # fmt: skip


@dataclass(slots=True, frozen=True)
class Change:
    """A belief has changed; for logs, metrics and the history."""

    at: int
    name: str
    was: str  # a phase in lower case, or "unknown"
    now: str
    incarnation: int
    told_by: str
    cause: str
