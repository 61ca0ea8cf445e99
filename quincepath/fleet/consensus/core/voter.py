"""One voter as a state machine: messages, commands and time in; what to persist, then to send, out."""

from collections.abc import Iterable

from quincepath.fleet.consensus.core.elections import Elections
from quincepath.fleet.consensus.core.follower_log import FollowerLog
from quincepath.fleet.consensus.core.ports import ChangeVoters, Input, Output, Propose, ReadIndex, Received
from quincepath.fleet.consensus.core.requests import Requests
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.messages import (
    AppendRequest,
    AppendResponse,
    LearnerPoll,
    Message,
    ProposalRequest,
    SnapshotChunk,
    SnapshotChunkResponse,
    VoteRequest,
    VoteResponse,
)


class Voter(Elections, Requests, FollowerLog):
    """One voter. ``due``: when to call ``step`` next without input (ns)."""

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Handle inputs and whatever is due. The outputs are to be carried out in order."""
        self.now = now
        self._outputs = outputs = list[Output]()
        for item in inputs:
            match item:
                case Received(sender, epoch, message):
                    self._on_message(sender, epoch, message)
                case Propose(id, data):
                    self._propose(id, data, "")
                case ChangeVoters(id, voters):
                    self._change_voters(id, voters)
                case ReadIndex(id):
                    self._read_index(id)
        if self.role == Role.LEADER:
            if now >= self._heartbeat_at:
                self._send_heartbeat()
        elif now >= self._election_at:
            self._start_pre_vote()
        self._compact()
        self._persist()
        return outputs

    def _on_message(self, sender: str, epoch: int, message: Message) -> None:
        if epoch:
            known = self.epochs.get(sender, 0)
            if epoch < known:
                self._exclude_voter(
                    sender, f"was started {epoch} times by its disk, but {known} times before"
                )
            self.epochs[sender] = max(known, epoch)
        if sender in self.excluded_voters and not isinstance(message, LearnerPoll | ProposalRequest):
            return
        match message:
            case VoteRequest():
                self._on_vote_request(sender, message)
            case VoteResponse():
                self._on_vote_response(sender, message)
            case AppendRequest():
                self._on_append_request(sender, message)
            case AppendResponse():
                self._on_append_response(sender, message)
            case SnapshotChunk():
                self._on_snapshot_chunk(sender, message)
            case SnapshotChunkResponse():
                self._on_snapshot_chunk_response(sender, message)
            case LearnerPoll(applied):
                self._on_learner_poll(sender, applied)
            case ProposalRequest(id, data):
                self._propose(id, data, sender)
