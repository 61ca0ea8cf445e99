"""What is committed: it takes effect, those that follow are told of it, and a snapshot takes its place."""

from quincepath.fleet.consensus.core.ports import Done, Notice, Persist
from quincepath.fleet.consensus.core.state import Role, State
from quincepath.fleet.consensus.entries import Snapshot
from quincepath.fleet.consensus.messages import (
    MAX_ENTRIES_PER_MESSAGE,
    MAX_SNAPSHOT_BYTES,
    SNAPSHOT_CHUNK_BYTES,
    LearnerEntries,
    LearnerSnapshotChunk,
    ProposalResponse,
)

MAX_LEARNERS = 1000  # brokers that are told of commits; one more is served when it asks only


class Committed(State):
    """Whatever the role: the entries up to ``commit``."""

    def _apply(self) -> None:
        """What is committed takes effect; who waits for it is answered, who follows is told."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.get(self.applied_index)
            assert entry is not None
            if entry.data:
                self.machine.apply(entry)
        for one in [one for one in self.waiting if one.index <= self.applied_index]:
            self.waiting.remove(one)
            if one.asker:
                self._send(one.asker, ProposalResponse(one.id, one.index, "", self.name))
            else:
                self._persist()
                self._out.append(Done(one.id, one.index))
        if (
            self.role == Role.LEADER
            and self.name not in self.voters
            and self.log.voters_index() <= self.commit_index
        ):
            self._out.append(Notice("keepers", "no longer a keeper: this one leads no more"))
            self._become_follower(self.stable.term, "")
        for name in list(self.learners):
            self._tell(name)

    def _follow(self, name: str, applied: int) -> None:
        if name in self.learners or len(self.learners) < MAX_LEARNERS:
            self.learners[name] = (applied, self.now + self.times.learner_lease_ns)
        self._tell(name, applied)

    def _tell(self, name: str, applied: int = -1) -> None:
        """Committed entries for one that follows; the snapshot where it is too far behind."""
        if applied < 0:
            applied, until = self.learners[name]
            if self.now >= until:
                del self.learners[name]
                return
        if applied < self.log.snapshot.index:
            data, index = self.log.snapshot.data, self.log.snapshot.index
            for offset in range(0, max(len(data), 1), SNAPSHOT_CHUNK_BYTES):
                self._send(
                    name,
                    LearnerSnapshotChunk(
                        index, offset, len(data), data[offset : offset + SNAPSHOT_CHUNK_BYTES]
                    ),
                )
            applied = index
        most = min(self.commit_index - applied, MAX_ENTRIES_PER_MESSAGE)
        entries = self.log.entries_from(applied + 1, most) if most > 0 else ()
        self._send(name, LearnerEntries(entries, self.commit_index, self.leader))
        if name in self.learners:
            self.learners[name] = (applied + len(entries), self.learners[name][1])

    def _compact(self) -> None:
        """A snapshot takes the place of what is applied, once that is much."""
        if self.applied_index - self.log.snapshot.index < self.times.entries_before_compaction:
            return
        data = self.machine.dump()
        if len(data) > MAX_SNAPSHOT_BYTES:
            return
        term = self.log.term(self.applied_index)
        assert term is not None
        keepers = self.log.snapshot.keepers
        for entry in self.log.entries:
            if entry.index <= self.applied_index and entry.keepers:
                keepers = entry.keepers
        self._persist()
        self.log.compact(Snapshot(self.applied_index, term, keepers, data))
        kept = tuple(self.log.entries)
        self._out.append(Persist(self.stable.term, self.stable.vote, 0, kept, self.log.snapshot))
