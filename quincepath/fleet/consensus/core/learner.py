"""A broker that is not a voter: it polls the voters and applies what they send."""

from dataclasses import dataclass, field

from quincepath.fleet.consensus.core.ports import NEVER, StateMachine
from quincepath.fleet.consensus.messages import LearnerEntries, LearnerPoll, LearnerSnapshotChunk


@dataclass(slots=True)
class Learner:
    """A non-voting member: it polls any voter for committed entries and applies them in order."""

    machine: StateMachine
    voters: tuple[str, ...]
    applied_index: int = 0
    leader: str = ""
    heard_at: int = -NEVER
    _snapshot_data: bytearray = field(default_factory=bytearray)
    _snapshot_index: int = 0

    def poll(self) -> LearnerPoll:
        """The message to send periodically to one voter."""
        return LearnerPoll(self.applied_index)

    def receive(self, now: int, message: LearnerEntries | LearnerSnapshotChunk) -> bool:
        """Handle a voter's message; returns whether anything was applied."""
        self.heard_at = now
        if isinstance(message, LearnerSnapshotChunk):
            return self._on_snapshot_chunk(message)
        if message.leader:
            self.leader = message.leader
        applied_any = False
        for entry in message.entries:
            if entry.index == self.applied_index + 1:
                self.applied_index = entry.index
                if entry.keepers:
                    self.voters = entry.keepers
                if entry.data:
                    self.machine.apply(entry)
                applied_any = True
        return applied_any

    def _on_snapshot_chunk(self, chunk: LearnerSnapshotChunk) -> bool:
        if chunk.index <= self.applied_index:
            return False
        if chunk.offset == 0 or chunk.index != self._snapshot_index:
            self._snapshot_data, self._snapshot_index = bytearray(), chunk.index
        if chunk.offset != len(self._snapshot_data):
            return False
        self._snapshot_data += chunk.data
        if len(self._snapshot_data) < chunk.total:
            return False
        self.machine.load(bytes(self._snapshot_data))
        self.applied_index, self._snapshot_data = chunk.index, bytearray()
        return True
