"""What is asked of the leader: commands, changes of the keepers, and reads that a majority confirms."""

from quincepath.fleet.consensus.core.replication import Replication
from quincepath.fleet.consensus.core.state import Role, Waiting
from quincepath.fleet.consensus.entries import MAX_COMMAND_BYTES, MAX_VOTERS

MAX_OPEN_REQUESTS = 256  # commands and reads that wait; one more is refused


class Requests(Replication):
    """Taken, or refused with the reason, at once."""

    def _propose(self, id: int, data: bytes, asker: str) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, asker, "not the leader")
        elif len(data) > MAX_COMMAND_BYTES:
            self._refuse(id, asker, f"a command of {len(data)} bytes: expected at most {MAX_COMMAND_BYTES}")
        elif len(self.waiting) >= MAX_OPEN_REQUESTS:
            self._refuse(id, asker, "too many commands wait")
        else:
            self.waiting.append(Waiting(id, self._add(data, ()), asker))
            self._spread()

    def _change(self, id: int, keepers: tuple[str, ...]) -> None:
        now, new = set(self.voters), set(keepers)
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif (
            self.log.voters_index() > self.commit_index
            or self.log.term(self.commit_index) != self.stable.term
        ):
            self._refuse(id, "", "another change of keepers is not committed yet")
        elif len(now ^ new) != 1 or not 1 <= len(new) <= MAX_VOTERS or len(new) != len(keepers):
            self._refuse(id, "", f"expected one keeper more or one fewer than {', '.join(sorted(now))}")
        else:
            self.waiting.append(Waiting(id, self._add(b"", keepers)))
            for name in new - now:
                self.excluded_voters.pop(name, None)
            self._spread()

    def _read(self, id: int) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif len(self.reads) >= MAX_OPEN_REQUESTS:
            self._refuse(id, "", "too many reads wait")
        else:
            # Until an entry of this term is committed, more may be committed than is known here.
            index = (
                self.commit_index
                if self.log.term(self.commit_index) == self.stable.term
                else self.log.last_index
            )
            self.round += 1
            self.reads.append(Waiting(id, index, round=self.round))
            for name in list(self.peers):
                self._feed(name)
            self._advance()
