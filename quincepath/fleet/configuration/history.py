"""The replicated state machine of the configuration: the same changes give the same state on every member.

A change is compared with the committed state when it is applied, not when it was proposed: of two changes
that state the same old value, the first takes effect and the second is refused. A refused change gets no
revision.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from quincepath.fleet.configuration.changes import (
    MAX_CHANGE_BYTES,
    Change,
    Delta,
    Edit,
    Fault,
    Revision,
    encoded_size,
    structure_faults,
)
from quincepath.fleet.configuration.delta_log import DeltaLog
from quincepath.fleet.configuration.resources import format_value
from quincepath.fleet.configuration.table import ResourceTable

SCHEMA = 1
MAX_ANSWERS = 8000  # of changes, kept by id for about two days, so that a duplicate takes effect once
MAX_REASON_CHARACTERS = 400


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """The result of a change: its revision, or 0 and why it was refused. ``digest``: of its content."""

    revision: Revision
    reason: str
    digest: bytes


class HistoryState(msgspec.Struct, array_like=True):
    """The content of a snapshot of the log. ``deltas`` lead from ``floor`` to ``revision``."""

    schema: int = SCHEMA
    revision: int = 0
    values: dict[str, bytes] = {}
    floor: int = 0
    deltas: tuple[Delta, ...] = ()
    answers: dict[str, Answer] = {}


_encoder = msgspec.msgpack.Encoder()
_states = msgspec.msgpack.Decoder(HistoryState)


class History:
    """The resources at the newest revision, the newest deltas, and the answers to the newest changes."""

    def __init__(self) -> None:
        """Start empty, at revision 0."""
        self.table = ResourceTable()
        self.log = DeltaLog()
        self.answers: dict[str, Answer] = {}

    @property
    def revision(self) -> int:
        """The newest revision."""
        return self.log.newest

    def proposal_faults(self, change: Change) -> list[Fault]:
        """Faults of a change against the current state; checked before it is proposed. Empty: none."""
        faults = structure_faults(change)
        if faults:
            return faults
        edits, faults = self._edits(change)
        if faults:
            return faults
        size = encoded_size(Delta(self.revision + 1, tuple(edits)))
        if size > MAX_CHANGE_BYTES:
            return [Fault("change", f"{size} bytes", f"at most {MAX_CHANGE_BYTES}; divide it")]
        return self.table.conflicts(edits) or self.table.faults(edits)

    def apply(self, change: Change) -> Answer:
        """Apply a committed change. A repeated id gets the same answer and has no effect."""
        known = self.recorded_answer(change)
        if known is not None:
            return known
        digest = _digest(change)
        faults = self.proposal_faults(change)
        if faults:
            return self._answer(change, Answer(0, summarise_faults(faults), digest))
        edits, _ = self._edits(change)
        delta = Delta(self.revision + 1, tuple(edits))
        self.table.apply(edits)
        self.log.add(delta)
        return self._answer(change, Answer(delta.revision, "", digest))

    def resolve_edits(self, change: Change) -> Sequence[Edit]:
        """The edits that a change would make now, also those of a rollback; none where it has a fault."""
        edits, faults = self._edits(change)
        return () if faults else edits

    def recorded_answer(self, change: Change) -> Answer | None:
        """The answer to a change whose id was used before; None: it was not used."""
        known = self.answers.get(change.id)
        digest = _digest(change)
        if known is None or known.digest == digest:
            return known
        reason = f"id {change.id!r}: used for another change; expected an id of its own"
        return Answer(0, reason, digest)

    def _answer(self, change: Change, answer: Answer) -> Answer:
        self.answers[change.id] = answer
        while len(self.answers) > MAX_ANSWERS:
            del self.answers[next(iter(self.answers))]
        return answer

    # --- rollback ---

    def _edits(self, change: Change) -> tuple[Sequence[Edit], list[Fault]]:
        """The edits of a change; those of a rollback are derived from the revision that it reverts."""
        if not change.rolls_back:
            return change.edits, []
        delta = self.log.get(change.rolls_back)
        if delta is None:
            expected = f"a revision from {self.log.floor + 1} to {self.revision}"
            return (), [Fault("rolls_back", str(change.rolls_back), expected)]
        named = {edit.name: edit for edit in change.edits}
        faults = self._unchanged_resource_faults(named, delta)
        edits = []
        for edit in delta.edits:
            reverted, fault = self._revert_edit(edit, named.get(edit.name), change.rolls_back)
            edits += [] if reverted is None else [reverted]
            faults += [] if fault is None else [fault]
        if not edits and not faults:
            faults.append(Fault("rolls_back", str(change.rolls_back), "a revision whose values are in force"))
        return edits, faults

    def _unchanged_resource_faults(self, named: dict[str, Edit], delta: Delta) -> list[Fault]:
        changed = {edit.name for edit in delta.edits}
        expected = f"a resource that revision {delta.revision} touched"
        return [Fault(name, "named", expected, name) for name in named if name not in changed]

    def _revert_edit(self, edit: Edit, named: Edit | None, revision: int) -> tuple[Edit | None, Fault | None]:
        """Restore one resource's value from before a revision; ``named``: even if it was changed later."""
        if named is not None:
            if named.new != edit.old:
                expected = f"{format_value(edit.old)}, the value before revision {revision}"
                return None, Fault(edit.name, format_value(named.new), expected, edit.name)
            return (named if named.old != named.new else None), None
        later = self.log.last_change_after(revision, edit.name)
        if later:
            expected = f"none after revision {revision}, or the resource named with the value that it has now"
            return None, Fault(edit.name, f"changed by revision {later}", expected, edit.name)
        return Edit(edit.name, edit.new, edit.old), None

    # --- snapshots ---

    def dump(self) -> bytes:
        """Encode the state for a snapshot of the log. Equal states give equal bytes."""
        state = HistoryState(
            SCHEMA,
            self.revision,
            dict(sorted(self.table.values.items())),
            self.log.floor,
            self.log.since(self.log.floor) or (),
            self.answers,
        )
        return _encoder.encode(state)

    def load(self, data: bytes) -> None:
        """Restore a snapshot; empty data is the initial state. Raises ``ValueError`` where it is corrupt."""
        state = _states.decode(data) if data else HistoryState()
        if not 1 <= state.schema <= SCHEMA:
            raise ValueError(f"configuration of schema {state.schema}; expected 1 to {SCHEMA}")
        log = DeltaLog(state.floor, state.deltas)
        if log.newest != state.revision:
            raise ValueError(f"deltas up to {log.newest}; expected up to {state.revision}")
        self.table = ResourceTable(state.values)
        self.log = log
        self.answers = dict(state.answers)


def _digest(change: Change) -> bytes:
    """Digest of a change's content, without the time of its proposal: a duplicate may be proposed later."""
    timeless = msgspec.structs.replace(change, proposed_at_ms=0)
    return hashlib.blake2b(_encoder.encode(timeless), digest_size=8).digest()


def summarise_faults(faults: Sequence[Fault]) -> str:
    """Faults as one bounded line; empty: none."""
    more = f"; and {len(faults) - 3} more" if len(faults) > 3 else ""
    return ("; ".join(map(str, faults[:3])) + more)[:MAX_REASON_CHARACTERS]
