"""The leader's side of the log: appending, replicating to the other voters, and committing."""

from quincepath.fleet.consensus.core.committed import Committed
from quincepath.fleet.consensus.core.ports import Done, Notice
from quincepath.fleet.consensus.core.state import PeerProgress, Role
from quincepath.fleet.consensus.entries import Entry
from quincepath.fleet.consensus.messages import (
    MAX_ENTRIES_PER_MESSAGE,
    SNAPSHOT_CHUNK_BYTES,
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
)


class Replication(Committed):
    """Sends entries, or a snapshot in chunks, to all voters; a majority that has them commits."""

    def _update_peers(self) -> None:
        for name in self.voters:
            if name != self.name and name not in self.peers:
                self.peers[name] = PeerProgress(self.log.last_index + 1, heard_at=self.now)
        for name in set(self.peers) - set(self.voters):
            del self.peers[name]

    def _append_entry(self, data: bytes, voters: tuple[str, ...]) -> int:
        entry = Entry(self.log.last_index + 1, self.stable.term, data, voters)
        self.log.entries.append(entry)
        self._unpersisted_from = self._unpersisted_from or entry.index
        if voters:
            self._update_peers()
        return entry.index

    def _send_heartbeat(self) -> None:
        """Replicate to all voters; step down if a majority no longer answers."""
        self._heartbeat_at = self.now + self.settings.heartbeat_interval_ns
        heard = {
            n
            for n, peer in self.peers.items()
            if self.now < peer.heard_at + 2 * self.settings.election_timeout_ns
        }
        if not self._is_majority({self.name} | heard) and self.peers:
            self._outputs.append(
                Notice("keepers", "a majority of the voters does not answer; stepping down as leader")
            )
            self._become_follower(self.stable.term, "")
            return
        self.round += 1
        for name in list(self.peers):
            self._replicate_to(name)
        self._advance_commit_index()

    def _replicate_to(self, name: str) -> None:
        """Send a voter the next entries, or the next chunk of the snapshot if it is too far behind."""
        peer = self.peers[name]
        snapshot = self.log.snapshot
        if peer.next_index <= snapshot.index:
            if peer.snapshot_offset < 0:
                peer.snapshot_offset = 0
            data = snapshot.data[peer.snapshot_offset : peer.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
            self._send(
                name,
                SnapshotChunk(
                    self.stable.term, snapshot.index, snapshot.term, snapshot.keepers, peer.snapshot_offset,
                    len(snapshot.data), data, self.round,
                ),
            )  # fmt: skip
            return
        before = peer.next_index - 1
        term = self.log.term(before)
        assert term is not None
        entries = self.log.entries_from(peer.next_index, MAX_ENTRIES_PER_MESSAGE)
        self._send(
            name, AppendRequest(self.stable.term, before, term, entries, self.commit_index, self.round)
        )

    def _replicate_new_entry(self) -> None:
        """Send a new entry at once to the voters that have all entries before it."""
        for name, peer in list(self.peers.items()):
            if peer.next_index == self.log.last_index:
                self._replicate_to(name)
        self._advance_commit_index()

    def _on_append_response(self, sender: str, response: AppendResponse) -> None:
        if response.term > self.stable.term:
            self._become_follower(response.term, "")
            return
        peer = self.peers.get(sender)
        if self.role != Role.LEADER or peer is None or response.term < self.stable.term:
            return
        peer.heard_at = self.now
        if not response.done:
            # Only an answer to a request sent after the confirmation is evidence; a late one is not.
            if response.match < peer.match_index and response.round > peer.match_round:
                self._exclude_voter(sender, f"lacks entries up to {peer.match_index} that it had confirmed")
                return
            if response.match < peer.match_index:
                return
            peer.next_index = max(min(response.match + 1, peer.next_index - 1), peer.match_index + 1)
            self._replicate_to(sender)
            return
        peer.acked_round = max(peer.acked_round, response.round)
        if response.match > peer.match_index:
            peer.match_index, peer.match_round = response.match, self.round
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit_index()
        if peer.next_index <= self.log.last_index:
            self._replicate_to(sender)

    def _on_snapshot_chunk_response(self, sender: str, response: SnapshotChunkResponse) -> None:
        if response.term > self.stable.term:
            self._become_follower(response.term, "")
            return
        peer, snapshot = self.peers.get(sender), self.log.snapshot
        if self.role != Role.LEADER or peer is None or response.term < self.stable.term:
            return
        peer.heard_at = self.now
        peer.acked_round = max(peer.acked_round, response.round)
        if response.index != snapshot.index:
            peer.snapshot_offset = 0  # a newer snapshot has replaced the one that was being sent
        elif response.have >= len(snapshot.data):
            if snapshot.index > peer.match_index:
                peer.match_index, peer.match_round = snapshot.index, self.round
            peer.snapshot_offset = -1
            peer.next_index = max(peer.next_index, peer.match_index + 1)
        elif response.have == peer.snapshot_offset and response.have:
            return  # a duplicate response
        else:
            peer.snapshot_offset = response.have
        self._advance_commit_index()
        if peer.next_index <= self.log.last_index:
            self._replicate_to(sender)

    def _exclude_voter(self, name: str, evidence: str) -> None:
        """Ignore a voter whose disk was rolled back: it may have forgotten a vote as well."""
        if name not in self.excluded_voters:
            self.excluded_voters[name] = evidence
            self._outputs.append(
                Notice("store", f"voter {name} {evidence}: its disk was rolled back; replace it by a new one")
            )

    def _advance_commit_index(self) -> None:
        """Commit what a majority has, if it ends with an entry of this term; answer confirmed reads."""
        if self.role != Role.LEADER:
            return
        voters = set(self.voters)
        trusted = {n: peer for n, peer in self.peers.items() if n not in self.excluded_voters}
        for index in range(self.log.last_index, self.commit_index, -1):
            have = {n for n, peer in trusted.items() if peer.match_index >= index} | ({self.name} & voters)
            if self.log.term(index) == self.stable.term and self._is_majority(have):
                self.commit_index = index
                self._apply()
                break
        if self.log.term(self.commit_index) != self.stable.term:
            return
        for read in list(self.pending_reads):
            confirmed = {n for n, peer in trusted.items() if peer.acked_round >= read.round} | {self.name}
            if self._is_majority(confirmed) and self.applied_index >= read.index:
                self.pending_reads.remove(read)
                self._outputs.append(Done(read.id, read.index))
