"""The leader's side of the log: what it adds, sends to each keeper, and knows to be committed."""

from quincepath.fleet.consensus.core.committed import Committed
from quincepath.fleet.consensus.core.ports import Done, Notice
from quincepath.fleet.consensus.core.state import Peer, Role
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
    """Entries, or a snapshot in pieces, for all keepers; a majority that has them commits."""

    def _meet_peers(self) -> None:
        for name in self.voters:
            if name != self.name and name not in self.peers:
                self.peers[name] = Peer(self.log.last_index + 1, heard_at=self.now)
        for name in set(self.peers) - set(self.voters):
            del self.peers[name]

    def _add(self, data: bytes, keepers: tuple[str, ...]) -> int:
        entry = Entry(self.log.last_index + 1, self.stable.term, data, keepers)
        self.log.entries.append(entry)
        self._dirty_from = self._dirty_from or entry.index
        if keepers:
            self._meet_peers()
        return entry.index

    def _beat(self) -> None:
        """To all, and a look whether a majority still answers."""
        self._beat_at = self.now + self.times.heartbeat_interval_ns
        heard = {
            n
            for n, peer in self.peers.items()
            if self.now < peer.heard_at + 2 * self.times.election_timeout_ns
        }
        if not self._majority({self.name} | heard) and self.peers:
            self._out.append(
                Notice("keepers", "a majority of the keepers does not answer: this one leads no more")
            )
            self._become_follower(self.stable.term, "")
            return
        self.round += 1
        for name in list(self.peers):
            self._feed(name)
        self._advance()

    def _feed(self, name: str) -> None:
        """The next entries, or the next piece of the snapshot, for a keeper that is behind."""
        peer = self.peers[name]
        snapshot = self.log.snapshot
        if peer.next <= snapshot.index:
            if peer.offset < 0:
                peer.offset = 0
            data = snapshot.data[peer.offset : peer.offset + SNAPSHOT_CHUNK_BYTES]
            self._send(
                name,
                SnapshotChunk(
                    self.stable.term, snapshot.index, snapshot.term, snapshot.keepers, peer.offset,
                    len(snapshot.data), data, self.round,
                ),
            )  # fmt: skip
            return
        before = peer.next - 1
        term = self.log.term(before)
        assert term is not None
        entries = self.log.entries_from(peer.next, MAX_ENTRIES_PER_MESSAGE)
        self._send(
            name, AppendRequest(self.stable.term, before, term, entries, self.commit_index, self.round)
        )

    def _spread(self) -> None:
        """A new entry leaves at once to those that have all before it."""
        for name, peer in list(self.peers.items()):
            if peer.next == self.log.last_index:
                self._feed(name)
        self._advance()

    def _appended(self, sender: str, reply: AppendResponse) -> None:
        if reply.term > self.stable.term:
            self._become_follower(reply.term, "")
            return
        peer = self.peers.get(sender)
        if self.role != Role.LEADER or peer is None or reply.term < self.stable.term:
            return
        peer.heard_at = self.now
        if not reply.done:
            # An answer to what was sent after the confirmation: one that comes late says nothing.
            if reply.match < peer.match and reply.round > peer.confirmed:
                self._shut_out(sender, f"lacks entries up to {peer.match} that it had confirmed")
                return
            if reply.match < peer.match:
                return
            peer.next = max(min(reply.match + 1, peer.next - 1), peer.match + 1)
            self._feed(sender)
            return
        peer.round = max(peer.round, reply.round)
        if reply.match > peer.match:
            peer.match, peer.confirmed = reply.match, self.round
        peer.next = max(peer.next, peer.match + 1)
        self._advance()
        if peer.next <= self.log.last_index:
            self._feed(sender)

    def _piece_taken(self, sender: str, reply: SnapshotChunkResponse) -> None:
        if reply.term > self.stable.term:
            self._become_follower(reply.term, "")
            return
        peer, snapshot = self.peers.get(sender), self.log.snapshot
        if self.role != Role.LEADER or peer is None or reply.term < self.stable.term:
            return
        peer.heard_at = self.now
        peer.round = max(peer.round, reply.round)
        if reply.index != snapshot.index:
            peer.offset = 0  # a newer one has taken its place
        elif reply.have >= len(snapshot.data):
            if snapshot.index > peer.match:
                peer.match, peer.confirmed = snapshot.index, self.round
            peer.offset = -1
            peer.next = max(peer.next, peer.match + 1)
        elif reply.have == peer.offset and reply.have:
            return  # an answer that came twice
        else:
            peer.offset = reply.have
        self._advance()
        if peer.next <= self.log.last_index:
            self._feed(sender)

    def _shut_out(self, name: str, how: str) -> None:
        """Its disk went back in time: it may have forgotten a vote, too, so it counts no more."""
        if name not in self.excluded_voters:
            self.excluded_voters[name] = how
            self._out.append(
                Notice("store", f"keeper {name} {how}: its disk went back; replace it by a new one")
            )

    def _advance(self) -> None:
        """Commit what a majority has, by an entry of this term only; answer reads that were confirmed."""
        if self.role != Role.LEADER:
            return
        keepers = set(self.voters)
        trusted = {n: peer for n, peer in self.peers.items() if n not in self.excluded_voters}
        for index in range(self.log.last_index, self.commit_index, -1):
            have = {n for n, peer in trusted.items() if peer.match >= index} | ({self.name} & keepers)
            if self.log.term(index) == self.stable.term and self._majority(have):
                self.commit_index = index
                self._apply()
                break
        if self.log.term(self.commit_index) != self.stable.term:
            return
        for read in list(self.reads):
            confirmed = {n for n, peer in trusted.items() if peer.round >= read.round} | {self.name}
            if self._majority(confirmed) and self.applied_index >= read.index:
                self.reads.remove(read)
                self._out.append(Done(read.id, read.index))
