"""The follower's side of the log: entries and snapshots as the leader sends them."""

from quincepath.fleet.consensus.core.committed import Committed
from quincepath.fleet.consensus.core.ports import Persist
from quincepath.fleet.consensus.core.state import Role
from quincepath.fleet.consensus.entries import Snapshot
from quincepath.fleet.consensus.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
)


class FollowerLog(Committed):
    """Checks what a leader sends against the local log, persists it and confirms it."""

    def _accept_leader(self, sender: str, term: int) -> bool:
        """Whether a leader's message is of this term or a newer one."""
        if term < self.stable.term:
            return False
        if term > self.stable.term or self.role != Role.FOLLOWER:
            self._become_follower(term, sender)
        self.leader = sender
        self.leader_heard_at = self.now
        self._election_at = self._next_election_time()
        return True

    def _on_append_request(self, sender: str, request: AppendRequest) -> None:
        if not self._accept_leader(sender, request.term):
            self._send(sender, AppendResponse(self.stable.term, False, 0, 0))
            return
        before, entries = request.before, request.entries
        if before < self.log.snapshot.index:  # the snapshot holds committed entries only, so they are equal
            skip = self.log.snapshot.index - before
            entries, before = entries[skip:], min(before + skip, request.before + len(request.entries))
            if before < self.log.snapshot.index:
                self._send(sender, AppendResponse(self.stable.term, True, before, request.round))
                return
        elif self.log.term(before) != request.before_term:
            last = min(self.log.last_index, before - 1)
            self._send(
                sender, AppendResponse(self.stable.term, False, max(last, self.commit_index), request.round)
            )
            return
        for entry in entries:
            held_term = self.log.term(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                assert entry.index > self.commit_index, "a committed entry would be truncated"
                self.log.truncate(entry.index)
                self._truncated_from = (
                    min(self._truncated_from, entry.index) if self._truncated_from else entry.index
                )
                self._unpersisted_from = (
                    min(self._unpersisted_from, entry.index) if self._unpersisted_from else 0
                )
            self.log.entries.append(entry)
            self._unpersisted_from = self._unpersisted_from or entry.index
        match = before + len(entries)
        if min(request.commit, match) > self.commit_index:
            self.commit_index = min(request.commit, match)
            self._apply()
        self._send(sender, AppendResponse(self.stable.term, True, match, request.round))

    def _on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        if not self._accept_leader(sender, chunk.term):
            self._send(sender, SnapshotChunkResponse(self.stable.term, chunk.index, 0, 0))
            return
        if chunk.index <= self.commit_index:
            self._send(sender, SnapshotChunkResponse(self.stable.term, chunk.index, chunk.total, chunk.round))
            return
        if self._snapshot_id != (chunk.index, chunk.index_term):
            self._snapshot_data, self._snapshot_id = bytearray(), (chunk.index, chunk.index_term)
        if chunk.offset == len(self._snapshot_data):
            self._snapshot_data += chunk.data
        if len(self._snapshot_data) >= chunk.total:
            snapshot = Snapshot(chunk.index, chunk.index_term, chunk.keepers, bytes(self._snapshot_data))
            self._snapshot_data, self._snapshot_id = bytearray(), (0, 0)
            self.log.compact(snapshot)
            self.commit_index = self.applied_index = snapshot.index
            self.machine.load(snapshot.data)
            self._truncated_from, self._unpersisted_from, self._term_or_vote_changed = 0, 0, False
            kept = tuple(self.log.entries)
            self._outputs.append(Persist(self.stable.term, self.stable.vote, 0, kept, snapshot))
            self._send(sender, SnapshotChunkResponse(self.stable.term, chunk.index, chunk.total, chunk.round))
            return
        self._send(
            sender,
            SnapshotChunkResponse(self.stable.term, chunk.index, len(self._snapshot_data), chunk.round),
        )
