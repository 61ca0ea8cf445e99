"""Requests to the leader: commands, changes of the voters, and reads that a majority confirms."""

from quincepath.fleet.consensus.core.replication import Replication
from quincepath.fleet.consensus.core.state import PendingRequest, Role
from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, MAX_VOTERS

MAX_OPEN_REQUESTS = 256  # each for pending commands and pending reads; one more is refused


class Requests(Replication):
    """Every request is accepted, or refused with a reason, at once."""

    def _propose(self, id: int, data: bytes, requester: str) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, requester, "not the leader")
        elif len(data) > MAX_COMMAND_BYTES:
            self._refuse(
                id, requester, f"a command of {len(data)} bytes: expected at most {MAX_COMMAND_BYTES}"
            )
        elif len(self.pending) >= MAX_OPEN_REQUESTS:
            self._refuse(id, requester, "too many commands wait")
        else:
            self.pending.append(PendingRequest(id, self._append_entry(data, ()), requester))
            self._replicate_new_entry()

    def _change_voters(self, id: int, voters: tuple[str, ...]) -> None:
        current, new = set(self.voters), set(voters)
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif (
            self.log.voters_index() > self.commit_index
            or self.log.term(self.commit_index) != self.stable.term
        ):
            self._refuse(id, "", "the previous change of voters is not committed yet")
        elif len(current ^ new) != 1 or not 1 <= len(new) <= MAX_VOTERS or len(new) != len(voters):
            self._refuse(id, "", f"expected one voter more or one fewer than {', '.join(sorted(current))}")
        else:
            self.pending.append(PendingRequest(id, self._append_entry(b"", voters)))
            for name in new - current:
                self.excluded_voters.pop(name, None)
            self._replicate_new_entry()

    def _read_index(self, id: int) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif len(self.pending_reads) >= MAX_OPEN_REQUESTS:
            self._refuse(id, "", "too many reads wait")
        else:
            # Until an entry of this term is committed, more may be committed than this leader knows.
            index = (
                self.commit_index
                if self.log.term(self.commit_index) == self.stable.term
                else self.log.last_index
            )
            self.round += 1
            self.pending_reads.append(PendingRequest(id, index, round=self.round))
            for name in list(self.peers):
                self._replicate_to(name)
            self._advance_commit_index()
