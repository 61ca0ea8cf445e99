"""One keeper of the log as a machine: messages, commands and the time in; what to persist, then send, out.

Raft with pre-vote, a leader that steps down without a majority, reads confirmed by a round, snapshots in
pieces, and keepers changed one at a time. Outputs are carried out in order: a ``Persist`` is on disk before
anything behind it leaves. What the committed entries mean is the ``Machine``'s.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from quincepath.fleet.agreement.entries import COMMAND_MOST, KEEPERS_MOST, Entry, Snapshot, Stable
from quincepath.fleet.agreement.messages import (
    ENTRIES_MOST,
    PIECE,
    SNAPSHOT_MOST,
    Answer,
    Append,
    Appended,
    AskVote,
    Follow,
    Followed,
    Message,
    Piece,
    PieceTaken,
    Request,
    Voted,
    Whole,
)  # fmt: skip

MS = 1_000_000
NEVER = 1 << 62
FOLLOWERS_MOST = 1000  # brokers that are told of commits; one more is served when it asks only
OPEN_MOST = 256  # commands and reads that wait; one more is refused


@dataclass(slots=True, frozen=True)
class Times:
    """ns. An election begins between ``election`` and twice that after the last word of a leader."""

    heartbeat: int = 200 * MS
    election: int = 1000 * MS
    follow: int = 3000 * MS  # one that follows is told of commits for so long after it asked
    compact: int = 500  # entries until a snapshot takes their place


class Machine(Protocol):
    """What the log means. Pure: the same entries, the same state."""

    def apply(self, entry: Entry) -> None: ...

    def dump(self) -> bytes: ...

    def load(self, data: bytes) -> None: ...


# --- inputs ---


@dataclass(slots=True, frozen=True)
class Came:
    """A message of another broker; ``epoch`` is its store's count of starts (0: it keeps no store)."""

    sender: str
    epoch: int
    message: Message


@dataclass(slots=True, frozen=True)
class Propose:
    """Commit this command; the answer is ``Done`` or ``Refused`` with the same id."""

    id: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Change:
    """Let these be the keepers: one more, or one fewer, than now."""

    id: int
    keepers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Read:
    """Make sure that everything committed by now is applied here; the leader only."""

    id: int


Input = Came | Propose | Change | Read


# --- outputs ---


@dataclass(slots=True, frozen=True)
class Persist:
    """Write and sync before anything that follows. ``cut``: entries from there on are void (0: none are)."""

    term: int
    vote: str
    cut: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """A message for a broker."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Done:
    """A command is committed at an index, or a read may be answered from what is applied."""

    id: int
    index: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Not taken, or not known to be committed: ``why``. ``leader`` may know more."""

    id: int
    why: str
    leader: str


@dataclass(slots=True, frozen=True)
class Told:
    """Something for people."""

    kind: str
    text: str


Output = Persist | Send | Done | Refused | Told


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another keeper."""

    next: int
    match: int = 0
    heard_at: int = 0
    round: int = 0
    confirmed: int = 0  # the round in which ``match`` grew last
    offset: int = -1  # of the snapshot that is being sent; -1: none is
    asked_at: int = -NEVER


@dataclass(slots=True)
class _Waiting:
    """A command or read that waits at the leader; ``asker`` is a broker that asked from afar."""

    id: int
    index: int
    asker: str = ""
    round: int = 0  # of a read


class Role:
    """What a keeper is at the moment."""

    FOLLOWER, TRIAL, CANDIDATE, LEADER = "follower", "trial", "candidate", "leader"


class Keeper:
    """One keeper. ``due`` is when it is to be called without input (ns)."""

    def __init__(
        self, name: str, stable: Stable, machine: Machine, seed: int, now: int, times: Times
    ) -> None:
        self.name, self.stable, self.machine, self.times = name, stable, machine, times
        self.random = random.Random(seed)
        self.log = stable.log
        self.now = now
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = self.applied = self.log.snapshot.index
        self.peers: dict[str, _Peer] = {}
        self.votes: set[str] = set()
        self.waiting: list[_Waiting] = []
        self.reads: list[_Waiting] = []
        self.round = 0
        self.followers: dict[str, tuple[int, int]] = {}  # by name, what it has applied, and until when
        self.shut_out: dict[str, str] = {}  # keepers whose disk went back, and how that showed
        self.epochs: dict[str, int] = {}
        self.heard_leader = -NEVER
        self._piece = bytearray()
        self._piece_of = (0, 0)
        self._out: list[Output] = []
        self._dirty_from = 0  # entries from there on are to be persisted
        self._cut = 0
        self._meta = False
        self._beat_at = NEVER
        machine.load(self.log.snapshot.data)
        self._elect_at = self._election_time()

    # --- the machine ---

    @property
    def keepers(self) -> tuple[str, ...]:
        """The newest known."""
        return self.log.keepers()

    @property
    def due(self) -> int:
        """When it is to be called without input."""
        return self._beat_at if self.role == Role.LEADER else self._elect_at

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Take in what came, do what is due. The outputs are in the order to carry them out."""
        self.now = now
        self._out = out = list[Output]()
        for item in inputs:
            match item:
                case Came(sender, epoch, message):
                    self._came(sender, epoch, message)
                case Propose(id, data):
                    self._propose(id, data, "")
                case Change(id, keepers):
                    self._change(id, keepers)
                case Read(id):
                    self._read(id)
        if self.role == Role.LEADER:
            if now >= self._beat_at:
                self._beat()
        elif now >= self._elect_at:
            self._begin_trial()
        self._compact()
        self._persist()
        return out

    def _send(self, to: str, message: Message) -> None:
        """What a message tells of must be on disk before it leaves."""
        self._persist()
        self._out.append(Send(to, message))

    def _persist(self) -> None:
        if not (self._meta or self._cut or self._dirty_from):
            return
        entries = self.log.since(self._dirty_from, 1 << 30) if self._dirty_from else ()
        self._out.append(Persist(self.stable.term, self.stable.vote, self._cut, entries))
        self._meta, self._cut, self._dirty_from = False, 0, 0

    def _to_all(self, message: Message) -> None:
        for name in self.keepers:
            if name != self.name:
                self._send(name, message)

    def _election_time(self) -> int:
        return self.now + int(self.times.election * (1 + self.random.random()))

    def _majority(self, names: set[str]) -> bool:
        keepers = self.keepers
        return 2 * len(names & set(keepers)) > len(keepers)

    def _set_term(self, term: int, vote: str = "") -> None:
        if term != self.stable.term or vote != self.stable.vote:
            self.stable.term, self.stable.vote = term, vote
            self._meta = True

    # --- elections ---

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.stable.term:
            self._set_term(term)
        if self.role == Role.LEADER:
            self._give_up("another term has begun")
        self.role, self.leader = Role.FOLLOWER, leader
        self._beat_at = NEVER
        self._elect_at = self._election_time()

    def _give_up(self, why: str) -> None:
        """What waited here may have been committed or not: its askers ask again, with the same id inside."""
        for one in [*self.waiting, *self.reads]:
            self._refuse(one.id, one.asker, why)
        self.waiting.clear()
        self.reads.clear()
        self.peers.clear()

    def _begin_trial(self) -> None:
        self._elect_at = self._election_time()
        if self.name not in self.keepers:
            return  # not (any more) one of them
        self.role, self.leader = Role.TRIAL, ""
        self.votes = {self.name}
        if self._majority(self.votes):
            self._begin_election()
            return
        self._to_all(AskVote(self.stable.term + 1, self.log.last, self.log.last_term, True))

    def _begin_election(self) -> None:
        self.role = Role.CANDIDATE
        self._set_term(self.stable.term + 1, self.name)
        self.votes = {self.name}
        self._elect_at = self._election_time()
        if self._majority(self.votes):
            self._lead()
            return
        self._to_all(AskVote(self.stable.term, self.log.last, self.log.last_term, False))

    def _ask_vote(self, sender: str, ask: AskVote) -> None:
        newer = (ask.last_term, ask.last) >= (self.log.last_term, self.log.last)
        lately = self.now < self.heard_leader + self.times.election or self.role == Role.LEADER
        if ask.trial:
            granted = newer and not lately and ask.term > self.stable.term
            self._send(sender, Voted(self.stable.term, granted, True, ask.term))
            return
        if ask.term > self.stable.term:
            self._become_follower(ask.term, "")
        granted = ask.term == self.stable.term and newer and self.stable.vote in ("", sender)
        if granted:
            self._set_term(ask.term, sender)
            self._elect_at = self._election_time()
        self._send(sender, Voted(self.stable.term, granted, False, ask.term))

    def _voted(self, sender: str, voted: Voted) -> None:
        if voted.term > self.stable.term:
            self._become_follower(voted.term, "")
            return
        if voted.trial and self.role == Role.TRIAL and voted.asked == self.stable.term + 1:
            if voted.granted:
                self.votes.add(sender)
            if self._majority(self.votes):
                self._begin_election()
        elif not voted.trial and self.role == Role.CANDIDATE and voted.asked == self.stable.term:
            if voted.granted:
                self.votes.add(sender)
            if self._majority(self.votes):
                self._lead()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._elect_at = NEVER
        self.peers = {}
        self._meet_peers()
        # An entry of its own term: only through one is anything of an earlier term known to be committed.
        self._add(b"", ())
        self._beat()

    def _meet_peers(self) -> None:
        for name in self.keepers:
            if name != self.name and name not in self.peers:
                self.peers[name] = _Peer(self.log.last + 1, heard_at=self.now)
        for name in set(self.peers) - set(self.keepers):
            del self.peers[name]

    # --- the leader ---

    def _add(self, data: bytes, keepers: tuple[str, ...]) -> int:
        entry = Entry(self.log.last + 1, self.stable.term, data, keepers)
        self.log.entries.append(entry)
        self._dirty_from = self._dirty_from or entry.index
        if keepers:
            self._meet_peers()
        return entry.index

    def _beat(self) -> None:
        """To all, and a look whether a majority still answers."""
        self._beat_at = self.now + self.times.heartbeat
        heard = {n for n, peer in self.peers.items() if self.now < peer.heard_at + 2 * self.times.election}
        if not self._majority({self.name} | heard) and self.peers:
            self._out.append(
                Told("keepers", "a majority of the keepers does not answer: this one leads no more")
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
            data = snapshot.data[peer.offset : peer.offset + PIECE]
            self._send(
                name,
                Piece(
                    self.stable.term, snapshot.index, snapshot.term, snapshot.keepers, peer.offset,
                    len(snapshot.data), data, self.round,
                ),
            )  # fmt: skip
            return
        before = peer.next - 1
        term = self.log.term(before)
        assert term is not None
        entries = self.log.since(peer.next, ENTRIES_MOST)
        self._send(name, Append(self.stable.term, before, term, entries, self.commit, self.round))

    def _appended(self, sender: str, reply: Appended) -> None:
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
        if peer.next <= self.log.last:
            self._feed(sender)

    def _piece_taken(self, sender: str, reply: PieceTaken) -> None:
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
        if peer.next <= self.log.last:
            self._feed(sender)

    def _shut_out(self, name: str, how: str) -> None:
        """Its disk went back in time: it may have forgotten a vote, too, so it counts no more."""
        if name not in self.shut_out:
            self.shut_out[name] = how
            self._out.append(
                Told("store", f"keeper {name} {how}: its disk went back; replace it by a new one")
            )

    def _advance(self) -> None:
        """Commit what a majority has, by an entry of this term only; answer reads that were confirmed."""
        if self.role != Role.LEADER:
            return
        keepers = set(self.keepers)
        trusted = {n: peer for n, peer in self.peers.items() if n not in self.shut_out}
        for index in range(self.log.last, self.commit, -1):
            have = {n for n, peer in trusted.items() if peer.match >= index} | ({self.name} & keepers)
            if self.log.term(index) == self.stable.term and self._majority(have):
                self.commit = index
                self._apply()
                break
        if self.log.term(self.commit) != self.stable.term:
            return
        for read in list(self.reads):
            confirmed = {n for n, peer in trusted.items() if peer.round >= read.round} | {self.name}
            if self._majority(confirmed) and self.applied >= read.index:
                self.reads.remove(read)
                self._out.append(Done(read.id, read.index))

    def _propose(self, id: int, data: bytes, asker: str) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, asker, "not the leader")
        elif len(data) > COMMAND_MOST:
            self._refuse(id, asker, f"a command of {len(data)} bytes: expected at most {COMMAND_MOST}")
        elif len(self.waiting) >= OPEN_MOST:
            self._refuse(id, asker, "too many commands wait")
        else:
            self.waiting.append(_Waiting(id, self._add(data, ()), asker))
            self._spread()

    def _change(self, id: int, keepers: tuple[str, ...]) -> None:
        now, new = set(self.keepers), set(keepers)
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif self.log.keepers_at() > self.commit or self.log.term(self.commit) != self.stable.term:
            self._refuse(id, "", "another change of keepers is not committed yet")
        elif len(now ^ new) != 1 or not 1 <= len(new) <= KEEPERS_MOST or len(new) != len(keepers):
            self._refuse(id, "", f"expected one keeper more or one fewer than {', '.join(sorted(now))}")
        else:
            self.waiting.append(_Waiting(id, self._add(b"", keepers)))
            for name in new - now:
                self.shut_out.pop(name, None)
            self._spread()

    def _read(self, id: int) -> None:
        if self.role != Role.LEADER:
            self._refuse(id, "", "not the leader")
        elif len(self.reads) >= OPEN_MOST:
            self._refuse(id, "", "too many reads wait")
        else:
            # Until an entry of this term is committed, more may be committed than is known here.
            index = self.commit if self.log.term(self.commit) == self.stable.term else self.log.last
            self.round += 1
            self.reads.append(_Waiting(id, index, round=self.round))
            for name in list(self.peers):
                self._feed(name)
            self._advance()

    def _spread(self) -> None:
        """A new entry leaves at once to those that have all before it."""
        for name, peer in list(self.peers.items()):
            if peer.next == self.log.last:
                self._feed(name)
        self._advance()

    def _refuse(self, id: int, asker: str, why: str) -> None:
        leader = "" if self.leader == self.name else self.leader
        if asker:
            self._send(asker, Answer(id, 0, why, leader))
        else:
            self._out.append(Refused(id, why, leader))

    # --- those that follow ---

    def _from_leader(self, sender: str, term: int) -> bool:
        """Whether a leader's message is of this or a newer term."""
        if term < self.stable.term:
            return False
        if term > self.stable.term or self.role != Role.FOLLOWER:
            self._become_follower(term, sender)
        self.leader = sender
        self.heard_leader = self.now
        self._elect_at = self._election_time()
        return True

    def _append(self, sender: str, ask: Append) -> None:
        if not self._from_leader(sender, ask.term):
            self._send(sender, Appended(self.stable.term, False, 0, 0))
            return
        before, entries = ask.before, ask.entries
        if before < self.log.snapshot.index:  # what the snapshot holds is committed, and so the same
            skip = self.log.snapshot.index - before
            entries, before = entries[skip:], min(before + skip, ask.before + len(ask.entries))
            if before < self.log.snapshot.index:
                self._send(sender, Appended(self.stable.term, True, before, ask.round))
                return
        elif self.log.term(before) != ask.before_term:
            last = min(self.log.last, before - 1)
            self._send(sender, Appended(self.stable.term, False, max(last, self.commit), ask.round))
            return
        for entry in entries:
            held = self.log.term(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                assert entry.index > self.commit, "a committed entry would be cut"
                self.log.cut(entry.index)
                self._cut = min(self._cut, entry.index) if self._cut else entry.index
                self._dirty_from = min(self._dirty_from, entry.index) if self._dirty_from else 0
            self.log.entries.append(entry)
            self._dirty_from = self._dirty_from or entry.index
        match = before + len(entries)
        if min(ask.commit, match) > self.commit:
            self.commit = min(ask.commit, match)
            self._apply()
        self._send(sender, Appended(self.stable.term, True, match, ask.round))

    def _take_piece(self, sender: str, piece: Piece) -> None:
        if not self._from_leader(sender, piece.term):
            self._send(sender, PieceTaken(self.stable.term, piece.index, 0, 0))
            return
        if piece.index <= self.commit:
            self._send(sender, PieceTaken(self.stable.term, piece.index, piece.total, piece.round))
            return
        if self._piece_of != (piece.index, piece.index_term):
            self._piece, self._piece_of = bytearray(), (piece.index, piece.index_term)
        if piece.offset == len(self._piece):
            self._piece += piece.data
        if len(self._piece) >= piece.total:
            snapshot = Snapshot(piece.index, piece.index_term, piece.keepers, bytes(self._piece))
            self._piece, self._piece_of = bytearray(), (0, 0)
            self.log.compact(snapshot)
            self.commit = self.applied = snapshot.index
            self.machine.load(snapshot.data)
            self._cut, self._dirty_from, self._meta = 0, 0, False
            kept = tuple(self.log.entries)
            self._out.append(Persist(self.stable.term, self.stable.vote, 0, kept, snapshot))
            self._send(sender, PieceTaken(self.stable.term, piece.index, piece.total, piece.round))
            return
        self._send(sender, PieceTaken(self.stable.term, piece.index, len(self._piece), piece.round))

    # --- all ---

    def _came(self, sender: str, epoch: int, message: Message) -> None:
        if epoch:
            known = self.epochs.get(sender, 0)
            if epoch < known:
                self._shut_out(sender, f"started {epoch} times by its disk, and {known} times before")
            self.epochs[sender] = max(known, epoch)
        if sender in self.shut_out and not isinstance(message, Follow | Request):
            return
        match message:
            case AskVote():
                self._ask_vote(sender, message)
            case Voted():
                self._voted(sender, message)
            case Append():
                self._append(sender, message)
            case Appended():
                self._appended(sender, message)
            case Piece():
                self._take_piece(sender, message)
            case PieceTaken():
                self._piece_taken(sender, message)
            case Follow(applied):
                self._follow(sender, applied)
            case Request(id, data):
                self._propose(id, data, sender)

    def _apply(self) -> None:
        """What is committed takes effect; who waits for it is answered, who follows is told."""
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.get(self.applied)
            assert entry is not None
            if entry.data:
                self.machine.apply(entry)
        for one in [one for one in self.waiting if one.index <= self.applied]:
            self.waiting.remove(one)
            if one.asker:
                self._send(one.asker, Answer(one.id, one.index, "", self.name))
            else:
                self._persist()
                self._out.append(Done(one.id, one.index))
        if (
            self.role == Role.LEADER
            and self.name not in self.keepers
            and self.log.keepers_at() <= self.commit
        ):
            self._out.append(Told("keepers", "no longer a keeper: this one leads no more"))
            self._become_follower(self.stable.term, "")
        for name in list(self.followers):
            self._tell(name)

    def _follow(self, name: str, applied: int) -> None:
        if name in self.followers or len(self.followers) < FOLLOWERS_MOST:
            self.followers[name] = (applied, self.now + self.times.follow)
        self._tell(name, applied)

    def _tell(self, name: str, applied: int = -1) -> None:
        """Committed entries for one that follows; the snapshot where it is too far behind."""
        if applied < 0:
            applied, until = self.followers[name]
            if self.now >= until:
                del self.followers[name]
                return
        if applied < self.log.snapshot.index:
            data, index = self.log.snapshot.data, self.log.snapshot.index
            for offset in range(0, max(len(data), 1), PIECE):
                self._send(name, Whole(index, offset, len(data), data[offset : offset + PIECE]))
            applied = index
        most = min(self.commit - applied, ENTRIES_MOST)
        entries = self.log.since(applied + 1, most) if most > 0 else ()
        self._send(name, Followed(entries, self.commit, self.leader))
        if name in self.followers:
            self.followers[name] = (applied + len(entries), self.followers[name][1])

    def _compact(self) -> None:
        """A snapshot takes the place of what is applied, once that is much."""
        if self.applied - self.log.snapshot.index < self.times.compact:
            return
        data = self.machine.dump()
        if len(data) > SNAPSHOT_MOST:
            return
        term = self.log.term(self.applied)
        assert term is not None
        keepers = self.log.snapshot.keepers
        for entry in self.log.entries:
            if entry.index <= self.applied and entry.keepers:
                keepers = entry.keepers
        self._persist()
        self.log.compact(Snapshot(self.applied, term, keepers, data))
        kept = tuple(self.log.entries)
        self._out.append(Persist(self.stable.term, self.stable.vote, 0, kept, self.log.snapshot))


@dataclass(slots=True)
class Follower:
    """A broker that is no keeper: it asks any keeper for what is committed and applies it in order."""

    machine: Machine
    keepers: tuple[str, ...]
    applied: int = 0
    leader: str = ""
    heard_at: int = -NEVER
    _whole: bytearray = field(default_factory=bytearray)
    _whole_at: int = 0

    def ask(self) -> Follow:
        """To send to one keeper, now and then."""
        return Follow(self.applied)

    def hear(self, now: int, message: Followed | Whole) -> bool:
        """What a keeper told; whether anything was applied."""
        self.heard_at = now
        if isinstance(message, Whole):
            return self._piece(message)
        if message.leader:
            self.leader = message.leader
        done = False
        for entry in message.entries:
            if entry.index == self.applied + 1:
                self.applied = entry.index
                if entry.keepers:
                    self.keepers = entry.keepers
                if entry.data:
                    self.machine.apply(entry)
                done = True
        return done

    def _piece(self, piece: Whole) -> bool:
        if piece.index <= self.applied:
            return False
        if piece.offset == 0 or piece.index != self._whole_at:
            self._whole, self._whole_at = bytearray(), piece.index
        if piece.offset != len(self._whole):
            return False
        self._whole += piece.data
        if len(self._whole) < piece.total:
            return False
        self.machine.load(bytes(self._whole))
        self.applied, self._whole = piece.index, bytearray()
        return True
