"""The log of a keeper that does not lead: entries and snapshots as its leader sends them."""

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


class Following(Committed):
    """What a leader sends is checked against the own log, written, and confirmed."""

    def _from_leader(self, sender: str, term: int) -> bool:
        """Whether a leader's message is of this or a newer term."""
        if term < self.stable.term:
            return False
        if term > self.stable.term or self.role != Role.FOLLOWER:
            self._become_follower(term, sender)
        self.leader = sender
        self.leader_heard_at = self.now
        self._elect_at = self._election_time()
        return True

    def _append(self, sender: str, ask: AppendRequest) -> None:
        if not self._from_leader(sender, ask.term):
            self._send(sender, AppendResponse(self.stable.term, False, 0, 0))
            return
        before, entries = ask.before, ask.entries
        if before < self.log.snapshot.index:  # what the snapshot holds is committed, and so the same
            skip = self.log.snapshot.index - before
            entries, before = entries[skip:], min(before + skip, ask.before + len(ask.entries))
            if before < self.log.snapshot.index:
                self._send(sender, AppendResponse(self.stable.term, True, before, ask.round))
                return
        elif self.log.term(before) != ask.before_term:
            last = min(self.log.last_index, before - 1)
            self._send(
                sender, AppendResponse(self.stable.term, False, max(last, self.commit_index), ask.round)
            )
            return
        for entry in entries:
            held = self.log.term(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                assert entry.index > self.commit_index, "a committed entry would be cut"
                self.log.truncate(entry.index)
                self._cut = min(self._cut, entry.index) if self._cut else entry.index
                self._dirty_from = min(self._dirty_from, entry.index) if self._dirty_from else 0
            self.log.entries.append(entry)
            self._dirty_from = self._dirty_from or entry.index
        match = before + len(entries)
        if min(ask.commit, match) > self.commit_index:
            self.commit_index = min(ask.commit, match)
            self._apply()
        self._send(sender, AppendResponse(self.stable.term, True, match, ask.round))

    def _take_piece(self, sender: str, piece: SnapshotChunk) -> None:
        if not self._from_leader(sender, piece.term):
            self._send(sender, SnapshotChunkResponse(self.stable.term, piece.index, 0, 0))
            return
        if piece.index <= self.commit_index:
            self._send(sender, SnapshotChunkResponse(self.stable.term, piece.index, piece.total, piece.round))
            return
        if self._piece_of != (piece.index, piece.index_term):
            self._piece, self._piece_of = bytearray(), (piece.index, piece.index_term)
        if piece.offset == len(self._piece):
            self._piece += piece.data
        if len(self._piece) >= piece.total:
            snapshot = Snapshot(piece.index, piece.index_term, piece.keepers, bytes(self._piece))
            self._piece, self._piece_of = bytearray(), (0, 0)
            self.log.compact(snapshot)
            self.commit_index = self.applied_index = snapshot.index
            self.machine.load(snapshot.data)
            self._cut, self._dirty_from, self._meta = 0, 0, False
            kept = tuple(self.log.entries)
            self._out.append(Persist(self.stable.term, self.stable.vote, 0, kept, snapshot))
            self._send(sender, SnapshotChunkResponse(self.stable.term, piece.index, piece.total, piece.round))
            return
        self._send(
            sender, SnapshotChunkResponse(self.stable.term, piece.index, len(self._piece), piece.round)
        )
