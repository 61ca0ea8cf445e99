"""Beliefs about members and their order of precedence. Times are ns of the member's own clock."""

import hashlib
import math
from dataclasses import dataclass, field
from enum import IntEnum

from quincepath.fleet.messages import MAX_ACCUSERS, MemberState

MS = 1_000_000
SECOND = 1000 * MS


class Phase(IntEnum):
    """In order of precedence: at the same incarnation a higher phase replaces a lower one."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


LIVE_PHASES = (Phase.JOINING, Phase.ALIVE, Phase.SUSPECT)
Key = tuple[int, int, int]  # incarnation, phase, boot


@dataclass(slots=True, frozen=True)
class ViewSettings:
    """Parameters of the protocol, durations in ns. Defaults suit links with a latency of a few
    milliseconds."""

    fleet: str
    name: str
    peers: tuple[str, ...]  # all other configured members; any other name is unknown
    join: tuple[str, ...] = ()  # contacted first when joining; if empty, any peer
    zone: str = ""
    version: str = ""
    config: str = ""
    period: int = 500 * MS  # between probes of this member
    ack_time: int = 150 * MS  # without an ack, until helpers are asked to probe the target
    again: int = 75 * MS  # between pings of one probe, until it is acked or ends; 0: only one is sent
    helpers: int = 3  # members asked for an indirect probe
    stream: bool = True  # with the indirect probes, also ping the target over TCP
    gossip: int = 200 * MS  # between gossip rounds, while anything is queued
    fanout: int = 3  # members per gossip round
    floor: int = 1500 * MS  # minimum suspicion timeout
    ceiling_periods: float = 4.0  # maximum suspicion timeout, in periods times log2(members + 1)
    accusers: int = 3  # further independent accusers at which the timeout reaches its minimum
    exchange: int = 10 * SECOND  # between regular full state exchanges, each with one member
    heal: int = 2 * SECOND  # minimum interval of exchanges that a differing digest triggers
    recheck: int = 200 * MS  # between pings to members whose last digest differed; 0: none
    exchange_time: int = 3 * SECOND  # without progress, until an exchange is abandoned
    trial: int = 3 * SECOND  # between pings to a member that is dead, has left or was never heard from
    reclaim: int = 600 * SECOND  # until a dead or left member is no longer gossiped
    settle: int = 3 * SECOND  # without a change, until the view may count as settled
    late: int = 100 * MS  # a timer later than this indicates that this member itself is slow
    # The three parts of Lifeguard; switched off only for comparisons.
    local_health: bool = True  # longer timeouts while this member is slow
    told_first: bool = True  # the suspect itself is informed first
    shrinking: bool = True  # each accuser shortens the suspicion timeout

    def max_suspicion_timeout(self, members: int) -> int:
        """Maximum suspicion timeout in ns, for this number of live members."""
        return max(int(self.ceiling_periods * self.period * math.log2(members + 1)), self.floor)

    def max_transmits(self, members: int) -> int:
        """How often each member sends one update."""
        return 3 + math.ceil(math.log2(members + 1))

    def suspicion_timeout(self, members: int, accusers: int) -> int:
        """Time from a suspicion until the member counts as dead; each independent accuser shortens it."""
        maximum = self.max_suspicion_timeout(members)
        needed = min(self.accusers, max(members - 2, 0))  # excludes the first accuser and the suspect itself
        if not self.shrinking:
            return maximum
        if not needed:
            return self.floor
        share = math.log(min(accusers - 1, needed) + 1) / math.log(needed + 1)
        return int(maximum - (maximum - self.floor) * share)


@dataclass(slots=True)
class Belief:
    """What this member believes about another one. ``since``: when the phase began, as far as is known."""

    name: str
    boot: int
    incarnation: int
    phase: Phase
    since: int
    told_by: str  # the member that reported it
    told_at: int
    accusers: list[str] = field(default_factory=list)
    draining: bool = False
    zone: str = ""
    version: str = ""
    config: str = ""
    reclaimed: bool = False  # dead for so long that it is not gossiped; kept only to reject older states

    @property
    def key(self) -> Key:
        """Precedence: the larger key wins."""
        return self.incarnation, int(self.phase), self.boot

    @property
    def live(self) -> bool:
        """Whether the member is neither dead nor left."""
        return self.phase in LIVE_PHASES

    def to_state(self, now: int) -> MemberState:
        """The form that is sent to others."""
        aged = self.phase in (Phase.SUSPECT, Phase.DEAD, Phase.LEFT)
        age = max(now - self.since, 0) // MS if aged else 0
        return MemberState(
            self.name, self.boot, self.incarnation, int(self.phase), age,
            tuple(self.accusers[:MAX_ACCUSERS]), self.draining, self.zone, self.version, self.config,
        )  # fmt: skip

    def digest_share(self) -> int:
        """Contribution to the digest, which covers the name, boot and incarnation of each live member."""
        text = f"{self.name}\0{self.boot}\0{self.incarnation}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest()) >> 1


def state_key(state: MemberState) -> Key:
    """Precedence of a received state."""
    return state.incarnation, state.phase, state.boot


def belief_from_state(state: MemberState, now: int, told_by: str) -> Belief:
    """The belief that a received state amounts to."""
    return Belief(
        state.name, state.boot, state.incarnation, Phase(state.phase), now - state.age * MS, told_by, now,
        list(state.accusers), state.draining, state.zone, state.version, state.config,
    )  # fmt: skip


@dataclass(slots=True, frozen=True)
class Change:
    """A change of belief, for logs, metrics and the history."""

    at: int
    name: str
    was: str  # a phase in lower case, or "unknown"
    now: str
    incarnation: int
    told_by: str
    cause: str
