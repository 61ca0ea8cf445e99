"""State of a voter, and the steps that all other layers use: terms, roles, persisting and sending."""

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
class PeerProgress:
    """What a leader knows of another voter."""

    next_index: int
    match_index: int = 0
    heard_at: int = 0
    acked_round: int = 0
    match_round: int = 0  # the round in which ``match_index`` last grew
    snapshot_offset: int = -1  # into the snapshot that is being sent; -1: none is
    asked_at: int = -NEVER


@dataclass(slots=True)
class PendingRequest:
    """A command or read that waits at the leader; ``requester``: the remote broker that sent it, or empty."""

    id: int
    index: int
    requester: str = ""
    round: int = 0  # of a read


class Role:
    """The current role of a voter."""

    FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "trial", "candidate", "leader"


class State:
    """State of a voter. ``due``: when to call it next without input (ns)."""

    def __init__(
        self,
        name: str,
        stable: StableState,
        machine: StateMachine,
        seed: int,
        now: int,
        settings: ConsensusSettings,
    ) -> None:
        self.name, self.stable, self.machine, self.settings = name, stable, machine, settings
        self.random = random.Random(seed)
        self.log = stable.log
        self.now = now
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.applied_index = self.log.snapshot.index
        self.peers: dict[str, PeerProgress] = {}
        self.votes: set[str] = set()
        self.pending: list[PendingRequest] = []
        self.pending_reads: list[PendingRequest] = []
        self.round = 0
        self.learners: dict[str, tuple[int, int]] = {}  # by name: its applied index, and the end of its lease
        self.excluded_voters: dict[str, str] = {}  # voters whose disk was rolled back, and the evidence
        self.epochs: dict[str, int] = {}
        self.leader_heard_at = -NEVER
        self._snapshot_data = bytearray()
        self._snapshot_id = (0, 0)
        self._outputs: list[Output] = []
        self._unpersisted_from = 0  # index of the first entry to be persisted
        self._truncated_from = 0
        self._term_or_vote_changed = False
        self._heartbeat_at = NEVER
        machine.load(self.log.snapshot.data)
        self._election_at = self._next_election_time()

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest set of voters known here."""
        return self.log.voters()

    @property
    def due(self) -> int:
        """When to call ``step`` next without input."""
        return self._heartbeat_at if self.role == Role.LEADER else self._election_at

    # --- persisting and sending ---

    def _send(self, to: str, message: Message) -> None:
        """Send a message; the state that it reports must be on disk before it leaves."""
        self._persist()
        self._outputs.append(Send(to, message))

    def _persist(self) -> None:
        if not (self._term_or_vote_changed or self._truncated_from or self._unpersisted_from):
            return
        entries = self.log.entries_from(self._unpersisted_from, 1 << 30) if self._unpersisted_from else ()
        self._outputs.append(Persist(self.stable.term, self.stable.vote, self._truncated_from, entries))
        self._term_or_vote_changed, self._truncated_from, self._unpersisted_from = False, 0, 0

    def _broadcast(self, message: Message) -> None:
        for name in self.voters:
            if name != self.name:
                self._send(name, message)

    # --- terms and roles ---

    def _next_election_time(self) -> int:
        return self.now + int(self.settings.election_timeout_ns * (1 + self.random.random()))

    def _is_majority(self, names: set[str]) -> bool:
        voters = self.voters
        return 2 * len(names & set(voters)) > len(voters)

    def _set_term(self, term: int, vote: str = "") -> None:
        if term != self.stable.term or vote != self.stable.vote:
            self.stable.term, self.stable.vote = term, vote
            self._term_or_vote_changed = True

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.stable.term:
            self._set_term(term)
        if self.role == Role.LEADER:
            self._fail_pending("another term has begun")
        self.role, self.leader = Role.FOLLOWER, leader
        self._heartbeat_at = NEVER
        self._election_at = self._next_election_time()

    def _fail_pending(self, why: str) -> None:
        """Fail all pending requests. They may or may not be committed: requesters retry with the same id."""
        for request in [*self.pending, *self.pending_reads]:
            self._refuse(request.id, request.requester, why)
        self.pending.clear()
        self.pending_reads.clear()
        self.peers.clear()

    def _refuse(self, id: int, requester: str, why: str) -> None:
        leader = "" if self.leader == self.name else self.leader
        if requester:
            self._send(requester, ProposalResponse(id, 0, why, leader))
        else:
            self._outputs.append(Refused(id, why, leader))
