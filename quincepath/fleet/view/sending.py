"""The parts of a member's view, and its voice: datagrams with news, messages on lines, its own word."""

import random
from collections import Counter
from dataclasses import dataclass

from quincepath.fleet.messages import MAX_DATAGRAM_BYTES, Body, Gossip, MemberState, pack
from quincepath.fleet.view.exchange import Exchanges
from quincepath.fleet.view.facts import Phase, ViewSettings
from quincepath.fleet.view.gossip_queue import GossipQueue
from quincepath.fleet.view.own_state import OwnState
from quincepath.fleet.view.ports import CloseConnection, Output, SendDatagram, SendFrame
from quincepath.fleet.view.probing import Prober
from quincepath.fleet.view.table import Table

NEVER = 1 << 62
LEAVE_TELLS = 8  # members that are told at once when this one leaves


@dataclass(slots=True)
class OtherProcess:
    """Messages under a member's name by a process that is not the one believed in."""

    boot: int
    first: int
    last: int
    times: int = 1
    proved: bool = False  # the one believed in answered a probe sent after this one was first heard


class MessageSender:
    """What one member knows and how it says it; ``_out`` gathers what a step sends."""

    def __init__(self, settings: ViewSettings, boot: int, seed: int, now: int) -> None:
        self.settings, self.boot = settings, boot
        self.now = now
        self.random = random.Random(seed)
        self.table = Table(settings)
        self.own = OwnState(settings, boot, now)
        self.gossip_queue = GossipQueue()
        self.prober = Prober(settings, self.random)
        self.exchanges = Exchanges(settings, self.random, now)
        self.dropped: Counter[str] = Counter()  # messages, by cause
        self.last_heard_at = now  # when anybody last spoke
        self.last_stall_at = -NEVER  # when an own timer last ran late
        self.clones: dict[str, int] = {}  # members of whose name two processes run, and when that last showed
        self._other_processes: dict[str, OtherProcess] = {}
        self._counts: dict[str, tuple[int, int]] = {}  # by member, the boot and its newest message heard
        self._count = 0
        self._corrected: dict[str, int] = {}  # when a member was last told by itself what is believed of it
        self._out: list[Output] = []
        self._left = False
        self._probe_at = now + int(settings.period * self.random.random())
        self._gossip_at = NEVER
        self._trial_at = now + int(settings.trial * (0.5 + self.random.random()))
        self.due = now

    def _about(self, name: str) -> MemberState | None:
        belief = self.table.get(name)
        return None if belief is None else belief.to_state(self.now)

    def _send(self, to: str, body: Body, first: tuple[str, ...] = ()) -> None:
        """A datagram, with what news there is room for; what is believed of the receiver goes first."""
        if self.own.yielded:
            return  # not a word under a name that another process has
        names = list(dict.fromkeys([*self._for_itself(to), *first]))
        # What is no longer told to others is told to the one that it is about: halves find together by this.
        front = [held.to_state(self.now) for name in names if (held := self.table.beliefs.get(name))]
        me, fleet, digest = self._me(), self.settings.fleet, self.table.digest
        self._count += 1
        bare = pack(fleet, to, me, digest, self._count, body)
        news: list[MemberState] = []
        if front or len(self.gossip_queue):
            most = self.settings.max_transmits(self.table.live_count)
            news = self.gossip_queue.choose(MAX_DATAGRAM_BYTES - len(bare), most, self._about, front)
        data = pack(fleet, to, me, digest, self._count, body, news) if news else bare
        self._out.append(SendDatagram(to, data))

    def _frame(self, line: int, to: str, body: Body) -> None:
        self._count += 1
        data = pack(self.settings.fleet, to, self._me(), self.table.digest, self._count, body)
        self._out.append(SendFrame(line, data))

    def _me(self) -> MemberState:
        return self.own.belief(self.now).to_state(self.now)

    def _for_itself(self, name: str) -> tuple[str, ...]:
        """The receiver's name where it should learn what is believed of it."""
        belief = self.table.beliefs.get(name)
        if belief is None:
            return ()
        doubted = belief.phase is Phase.SUSPECT and self.settings.told_first
        return (name,) if doubted or not belief.live or name in self._other_processes else ()

    def _say_own(self, cause: str) -> None:
        """This member's belief about itself has changed."""
        self.table.put(self.own.belief(self.now), cause)

    def _enter(self) -> None:
        if self.own.phase is Phase.JOINING:
            self.own.finish_joining(self.now)
            self._say_own("joined")

    def _leave(self) -> None:
        self.own.leave(self.now)
        self._say_own("leaves")
        names = self.table.live_peers()
        for name in self.random.sample(names, min(LEAVE_TELLS, len(names))):
            self._send(name, Gossip())
        self._out.extend(CloseConnection(line) for line in self.exchanges.lines)
        self._left = True
