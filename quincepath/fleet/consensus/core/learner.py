"""A broker that is no keeper: what it asks for and what it does with the answers."""

from dataclasses import dataclass, field

from quincepath.fleet.consensus.core.ports import NEVER, StateMachine
from quincepath.fleet.consensus.messages import LearnerEntries, LearnerPoll, LearnerSnapshotChunk


@dataclass(slots=True)
class Learner:
    """A broker that is no keeper: it asks any keeper for what is committed and applies it in order."""

    machine: StateMachine
    voters: tuple[str, ...]
    applied_index: int = 0
    leader: str = ""
    heard_at: int = -NEVER
    _whole: bytearray = field(default_factory=bytearray)
    _whole_at: int = 0

    def poll(self) -> LearnerPoll:
        """To send to one keeper, now and then."""
        return LearnerPoll(self.applied_index)

    def receive(self, now: int, message: LearnerEntries | LearnerSnapshotChunk) -> bool:
        """What a keeper told; whether anything was applied."""
        self.heard_at = now
        if isinstance(message, LearnerSnapshotChunk):
            return self._piece(message)
        if message.leader:
            self.leader = message.leader
        done = False
        for entry in message.entries:
            if entry.index == self.applied_index + 1:
                self.applied_index = entry.index
                if entry.keepers:
                    self.voters = entry.keepers
                if entry.data:
                    self.machine.apply(entry)
                done = True
        return done

    def _piece(self, piece: LearnerSnapshotChunk) -> bool:
        if piece.index <= self.applied_index:
            return False
        if piece.offset == 0 or piece.index != self._whole_at:
            self._whole, self._whole_at = bytearray(), piece.index
        if piece.offset != len(self._whole):
            return False
        self._whole += piece.data
        if len(self._whole) < piece.total:
            return False
        self.machine.load(bytes(self._whole))
        self.applied_index, self._whole = piece.index, bytearray()
        return True
