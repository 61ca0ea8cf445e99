"""Committed entries: applied to the state machine, sent to learners, and replaced by snapshots."""

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

MAX_LEARNERS = 1000  # learners that are sent new commits; any other is answered only when it polls


class Committed(State):
    """Handling of the entries up to ``commit_index``, in any role."""

    def _apply(self) -> None:
        """Apply what is committed, answer the requests that wait for it, and send it to learners."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.get(self.applied_index)
            assert entry is not None
            if entry.data:
                self.machine.apply(entry)
        for request in [request for request in self.pending if request.index <= self.applied_index]:
            self.pending.remove(request)
            if request.requester:
                self._send(request.requester, ProposalResponse(request.id, request.index, "", self.name))
            else:
                self._persist()
                self._outputs.append(Done(request.id, request.index))
        if (
            self.role == Role.LEADER
            and self.name not in self.voters
            and self.log.voters_index() <= self.commit_index
        ):
            self._outputs.append(Notice("keepers", "no longer a voter; stepping down as leader"))
            self._become_follower(self.stable.term, "")
        for name in list(self.learners):
            self._send_to_learner(name)

    def _on_learner_poll(self, name: str, applied: int) -> None:
        if name in self.learners or len(self.learners) < MAX_LEARNERS:
            self.learners[name] = (applied, self.now + self.settings.learner_lease_ns)
        self._send_to_learner(name, applied)

    def _send_to_learner(self, name: str, applied: int = -1) -> None:
        """Send committed entries; first the snapshot, if the learner lacks entries that it replaced."""
        if applied < 0:
            applied, lease_end = self.learners[name]
            if self.now >= lease_end:
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
        limit = min(self.commit_index - applied, MAX_ENTRIES_PER_MESSAGE)
        entries = self.log.entries_from(applied + 1, limit) if limit > 0 else ()
        self._send(name, LearnerEntries(entries, self.commit_index, self.leader))
        if name in self.learners:
            self.learners[name] = (applied + len(entries), self.learners[name][1])

    def _compact(self) -> None:
        """Replace the applied entries by a snapshot, once there are enough of them."""
        if self.applied_index - self.log.snapshot.index < self.settings.entries_before_compaction:
            return
        data = self.machine.dump()
        if len(data) > MAX_SNAPSHOT_BYTES:
            return
        term = self.log.term(self.applied_index)
        assert term is not None
        voters = self.log.snapshot.keepers
        for entry in self.log.entries:
            if entry.index <= self.applied_index and entry.keepers:
                voters = entry.keepers
        self._persist()
        self.log.compact(Snapshot(self.applied_index, term, voters, data))
        kept = tuple(self.log.entries)
        self._outputs.append(Persist(self.stable.term, self.stable.vote, 0, kept, self.log.snapshot))
