"""Leader election: a pre-vote that checks whether an election could be won, the election, and voting."""

from quincepath.fleet.consensus.core.ports import NEVER
from quincepath.fleet.consensus.core.replication import Replication
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.messages import VoteRequest, VoteResponse


class Elections(Replication):
    """From the election timeout of a follower to the first entry of the new leader."""

    def _start_pre_vote(self) -> None:
        self._election_at = self._next_election_time()
        if self.name not in self.voters:
            return  # not a voter, or no longer one
        self.role, self.leader = Role.PRE_CANDIDATE, ""
        self.votes = {self.name}
        if self._is_majority(self.votes):
            self._start_election()
            return
        self._broadcast(VoteRequest(self.stable.term + 1, self.log.last_index, self.log.last_term, True))

    def _start_election(self) -> None:
        self.role = Role.CANDIDATE
        self._set_term(self.stable.term + 1, self.name)
        self.votes = {self.name}
        self._election_at = self._next_election_time()
        if self._is_majority(self.votes):
            self._become_leader()
            return
        self._broadcast(VoteRequest(self.stable.term, self.log.last_index, self.log.last_term, False))

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        up_to_date = (request.last_term, request.last) >= (self.log.last_term, self.log.last_index)
        leader_alive = (
            self.now < self.leader_heard_at + self.settings.election_timeout_ns or self.role == Role.LEADER
        )
        if request.trial:
            granted = up_to_date and not leader_alive and request.term > self.stable.term
            self._send(sender, VoteResponse(self.stable.term, granted, True, request.term))
            return
        if request.term > self.stable.term:
            self._become_follower(request.term, "")
        granted = request.term == self.stable.term and up_to_date and self.stable.vote in ("", sender)
        if granted:
            self._set_term(request.term, sender)
            self._election_at = self._next_election_time()
        self._send(sender, VoteResponse(self.stable.term, granted, False, request.term))

    def _on_vote_response(self, sender: str, response: VoteResponse) -> None:
        if response.term > self.stable.term:
            self._become_follower(response.term, "")
            return
        if response.trial and self.role == Role.PRE_CANDIDATE and response.asked == self.stable.term + 1:
            if response.granted:
                self.votes.add(sender)
            if self._is_majority(self.votes):
                self._start_election()
        elif not response.trial and self.role == Role.CANDIDATE and response.asked == self.stable.term:
            if response.granted:
                self.votes.add(sender)
            if self._is_majority(self.votes):
                self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._election_at = NEVER
        self.peers = {}
        self._update_peers()
        # Entries of earlier terms are known to be committed only through a committed entry of the own term.
        self._append_entry(b"", ())
        self._send_heartbeat()
