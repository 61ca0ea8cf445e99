"""One keeper as a machine: messages, commands and the time in; what to persist, then send, out."""

from collections.abc import Iterable

from quincepath.fleet.consensus.core.elections import Elections
from quincepath.fleet.consensus.core.follower_log import Following
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


class Voter(Elections, Requests, Following):
    """One keeper. ``due`` is when it is to be called without input (ns)."""

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Take in what came, do what is due. The outputs are in the order to carry them out."""
        self.now = now
        self._out = out = list[Output]()
        for item in inputs:
            match item:
                case Received(sender, epoch, message):
                    self._came(sender, epoch, message)
                case Propose(id, data):
                    self._propose(id, data, "")
                case ChangeVoters(id, keepers):
                    self._change(id, keepers)
                case ReadIndex(id):
                    self._read(id)
        if self.role == Role.LEADER:
            if now >= self._beat_at:
                self._beat()
        elif now >= self._elect_at:
            self._begin_trial()
        self._compact()
        self._persist()
        return out

    def _came(self, sender: str, epoch: int, message: Message) -> None:
        if epoch:
            known = self.epochs.get(sender, 0)
            if epoch < known:
                self._shut_out(sender, f"started {epoch} times by its disk, and {known} times before")
            self.epochs[sender] = max(known, epoch)
        if sender in self.excluded_voters and not isinstance(message, LearnerPoll | ProposalRequest):
            return
        match message:
            case VoteRequest():
                self._ask_vote(sender, message)
            case VoteResponse():
                self._voted(sender, message)
            case AppendRequest():
                self._append(sender, message)
            case AppendResponse():
                self._appended(sender, message)
            case SnapshotChunk():
                self._take_piece(sender, message)
            case SnapshotChunkResponse():
                self._piece_taken(sender, message)
            case LearnerPoll(applied):
                self._follow(sender, applied)
            case ProposalRequest(id, data):
                self._propose(id, data, sender)
