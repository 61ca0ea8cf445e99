"""What a keeper knows, and the few steps that all else is made of: term, role, what is written and sent."""

import random
from dataclasses import dataclass

from quincepath.fleet.consensus.core.ports import (
    NEVER,
    ConsensusSettings,
    Output,
    Persist,
    Refused,
    Send,
    StateMachine,
)
from quincepath.fleet.consensus.entries import StableState
from quincepath.fleet.consensus.messages import Message, ProposalResponse


@dataclass(slots=True)
class Peer:
    """What a leader knows of another keeper."""

    next: int
    match: int = 0
    heard_at: int = 0
    round: int = 0
    confirmed: int = 0  # the round in which ``match`` grew last
    offset: int = -1  # of the snapshot that is being sent; -1: none is
    asked_at: int = -NEVER


@dataclass(slots=True)
class Waiting:
    """A command or read that waits at the leader; ``asker`` is a broker that asked from afar."""

    id: int
    index: int
    asker: str = ""
    round: int = 0  # of a read


class Role:
    """What a keeper is at the moment."""

    FOLLOWER, TRIAL, CANDIDATE, LEADER = "follower", "trial", "candidate", "leader"


class State:
    """A keeper's state. ``due`` is when it is to be called without input (ns)."""

    def __init__(
        self,
        name: str,
        stable: StableState,
        machine: StateMachine,
        seed: int,
        now: int,
        times: ConsensusSettings,
    ) -> None:
        self.name, self.stable, self.machine, self.times = name, stable, machine, times
        self.random = random.Random(seed)
        self.log = stable.log
        self.now = now
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.applied_index = self.log.snapshot.index
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.waiting: list[Waiting] = []
        self.reads: list[Waiting] = []
        self.round = 0
        self.learners: dict[str, tuple[int, int]] = {}  # by name, what it has applied, and until when
        self.excluded_voters: dict[str, str] = {}  # keepers whose disk went back, and how that showed
        self.epochs: dict[str, int] = {}
        self.leader_heard_at = -NEVER
        self._piece = bytearray()
        self._piece_of = (0, 0)
        self._out: list[Output] = []
        self._dirty_from = 0  # entries from there on are to be persisted
        self._cut = 0
        self._meta = False
        self._beat_at = NEVER
        machine.load(self.log.snapshot.data)
        self._elect_at = self._election_time()

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest known."""
        return self.log.voters()

    @property
    def due(self) -> int:
        """When it is to be called without input."""
        return self._beat_at if self.role == Role.LEADER else self._elect_at

    # --- what is written, and sent after it ---

    def _send(self, to: str, message: Message) -> None:
        """What a message tells of must be on disk before it leaves."""
        self._persist()
        self._out.append(Send(to, message))

    def _persist(self) -> None:
        if not (self._meta or self._cut or self._dirty_from):
            return
        entries = self.log.entries_from(self._dirty_from, 1 << 30) if self._dirty_from else ()
        self._out.append(Persist(self.stable.term, self.stable.vote, self._cut, entries))
        self._meta, self._cut, self._dirty_from = False, 0, 0

    def _to_all(self, message: Message) -> None:
        for name in self.voters:
            if name != self.name:
                self._send(name, message)

    # --- the role ---

    def _election_time(self) -> int:
        return self.now + int(self.times.election_timeout_ns * (1 + self.random.random()))

    def _majority(self, names: set[str]) -> bool:
        keepers = self.voters
        return 2 * len(names & set(keepers)) > len(keepers)

    def _set_term(self, term: int, vote: str = "") -> None:
        if term != self.stable.term or vote != self.stable.vote:
            self.stable.term, self.stable.vote = term, vote
            self._meta = True

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.stable.term:
            self._set_term(term)
        if self.role == Role.LEADER:
            self._give_up("another term has begun")
        self.role, self.leader = Role.FOLLOWER, leader
        self._beat_at = NEVER
        self._elect_at = self._election_time()

    def _give_up(self, why: str) -> None:
        """What waited here may have been committed or not: its askers ask again, with the same id inside."""
        for one in [*self.waiting, *self.reads]:
            self._refuse(one.id, one.asker, why)
        self.waiting.clear()
        self.reads.clear()
        self.peers.clear()

    def _refuse(self, id: int, asker: str, why: str) -> None:
        leader = "" if self.leader == self.name else self.leader
        if asker:
            self._send(asker, ProposalResponse(id, 0, why, leader))
        else:
            self._out.append(Refused(id, why, leader))
