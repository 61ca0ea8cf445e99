"""State of a view, and what it sends: datagrams with piggybacked updates, and frames on connections."""

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
MAX_LEAVE_MESSAGES = 8  # members that are informed directly when this one leaves


@dataclass(slots=True)
class OtherProcess:
    """A process that sends under a member's name and is not the one that is believed to run."""

    boot: int
    first: int
    last: int
    messages: int = 1
    proved: bool = False  # the believed process acked a probe sent after this one was first heard


class MessageSender:
    """State of one member and its outgoing messages; ``_out`` collects the outputs of a step."""

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
        self.last_heard_at = now  # when any member last sent a message
        self.last_stall_at = -NEVER  # when a timer of this member last ran late
        self.clones: dict[str, int] = {}  # members whose name two processes use, and when that was last seen
        self._other_processes: dict[str, OtherProcess] = {}
        self._counts: dict[str, tuple[int, int]] = {}  # by member, the boot and count of its newest message
        self._count = 0
        self._corrected_at: dict[str, int] = {}  # by member, when it was last sent a correction
        self._out: list[Output] = []
        self._left = False
        self._probe_at = now + int(settings.period * self.random.random())
        self._gossip_at = NEVER
        self._trial_at = now + int(settings.trial * (0.5 + self.random.random()))
        self.due = now

    def _state_of(self, name: str) -> MemberState | None:
        belief = self.table.get(name)
        return None if belief is None else belief.to_state(self.now)

    def _send(self, to: str, body: Body, first: tuple[str, ...] = ()) -> None:
        """Send a datagram with the updates that fit; what is believed about the receiver goes first."""
        if self.own.yielded:
            return  # another process owns the name: nothing is sent under it
        names = list(dict.fromkeys([*self._names_for_receiver(to), *first]))
        # A reclaimed member is gossiped to nobody but itself: this is how the halves of a partition find each
        # other.
        front = [held.to_state(self.now) for name in names if (held := self.table.beliefs.get(name))]
        me, fleet, digest = self._own_state(), self.settings.fleet, self.table.digest
        self._count += 1
        bare = pack(fleet, to, me, digest, self._count, body)
        updates: list[MemberState] = []
        if front or len(self.gossip_queue):
            max_transmits = self.settings.max_transmits(self.table.live_count)
            updates = self.gossip_queue.choose(
                MAX_DATAGRAM_BYTES - len(bare), max_transmits, self._state_of, front
            )
        data = pack(fleet, to, me, digest, self._count, body, updates) if updates else bare
        self._out.append(SendDatagram(to, data))

    def _send_frame(self, connection: int, to: str, body: Body) -> None:
        self._count += 1
        data = pack(self.settings.fleet, to, self._own_state(), self.table.digest, self._count, body)
        self._out.append(SendFrame(connection, data))

    def _own_state(self) -> MemberState:
        return self.own.belief(self.now).to_state(self.now)

    def _names_for_receiver(self, name: str) -> tuple[str, ...]:
        """The receiver's own name where it should learn what is believed about it."""
        belief = self.table.beliefs.get(name)
        if belief is None:
            return ()
        suspected = belief.phase is Phase.SUSPECT and self.settings.told_first
        return (name,) if suspected or not belief.live or name in self._other_processes else ()

    def _put_own(self, cause: str) -> None:
        """Put this member's changed belief about itself into the table."""
        self.table.put(self.own.belief(self.now), cause)

    def _finish_joining(self) -> None:
        if self.own.phase is Phase.JOINING:
            self.own.finish_joining(self.now)
            self._put_own("joined")

    def _leave(self) -> None:
        self.own.leave(self.now)
        self._put_own("leaves")
        names = self.table.live_peers()
        for name in self.random.sample(names, min(MAX_LEAVE_MESSAGES, len(names))):
            self._send(name, Gossip())
        self._out.extend(CloseConnection(connection) for connection in self.exchanges.connections)
        self._left = True
