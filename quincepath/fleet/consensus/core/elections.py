"""Who leads: a trial that asks whether an election would be won, the election, and what votes are given."""

from quincepath.fleet.consensus.core.ports import NEVER
from quincepath.fleet.consensus.core.replication import Replication
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.messages import VoteRequest, VoteResponse


class Elections(Replication):
    """From the silence of a leader to the next one's first entry."""

    def _begin_trial(self) -> None:
        self._elect_at = self._election_time()
        if self.name not in self.voters:
            return  # not (any more) one of them
        self.role, self.leader = Role.TRIAL, ""
        self.votes = {self.name}
        if self._majority(self.votes):
            self._begin_election()
            return
        self._to_all(VoteRequest(self.stable.term + 1, self.log.last_index, self.log.last_term, True))

    def _begin_election(self) -> None:
        self.role = Role.CANDIDATE
        self._set_term(self.stable.term + 1, self.name)
        self.votes = {self.name}
        self._elect_at = self._election_time()
        if self._majority(self.votes):
            self._lead()
            return
        self._to_all(VoteRequest(self.stable.term, self.log.last_index, self.log.last_term, False))

    def _ask_vote(self, sender: str, ask: VoteRequest) -> None:
        newer = (ask.last_term, ask.last) >= (self.log.last_term, self.log.last_index)
        lately = self.now < self.leader_heard_at + self.times.election_timeout_ns or self.role == Role.LEADER
        if ask.trial:
            granted = newer and not lately and ask.term > self.stable.term
            self._send(sender, VoteResponse(self.stable.term, granted, True, ask.term))
            return
        if ask.term > self.stable.term:
            self._become_follower(ask.term, "")
        granted = ask.term == self.stable.term and newer and self.stable.vote in ("", sender)
        if granted:
            self._set_term(ask.term, sender)
            self._elect_at = self._election_time()
        self._send(sender, VoteResponse(self.stable.term, granted, False, ask.term))

    def _voted(self, sender: str, voted: VoteResponse) -> None:
        if voted.term > self.stable.term:
            self._become_follower(voted.term, "")
            return
        if voted.trial and self.role == Role.TRIAL and voted.asked == self.stable.term + 1:
            if voted.granted:
                self.votes.add(sender)
            if self._majority(self.votes):
                self._begin_election()
        elif not voted.trial and self.role == Role.CANDIDATE and voted.asked == self.stable.term:
            if voted.granted:
                self.votes.add(sender)
            if self._majority(self.votes):
                self._lead()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._elect_at = NEVER
        self.peers = {}
        self._meet_peers()
        # An entry of its own term: only through one is anything of an earlier term known to be committed.
        self._add(b"", ())
        self._beat()
