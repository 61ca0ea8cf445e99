"""Applies deltas and snapshots at a broker: a revision is applied atomically, and revisions never go back.

What was received but cannot be applied is held, in bounded size, since a later delta may correct it: all
that is held is then applied in one step. A delta whose old value differs from the current one means that
this broker has diverged from the log; only a snapshot repairs that.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.changes import ChangeError, Delta, Edit, Fault, encoded_size
from quincepath.fleet.configuration.snapshots import Image, read_image
from quincepath.fleet.configuration.table import (
    NO_RULES,
    ResourceTable,
    Rules,
    apply_edits,
    diff_values,
    merge_deltas,
)

MAX_HELD_DELTAS = 1024
MAX_HELD_BYTES = 2 << 20
MAX_TRIED_PREFIXES = 8  # of the held deltas, longest first

Check = Callable[[Sequence[Edit]], Sequence[Fault]]


@dataclass(slots=True, frozen=True)
class Applied:
    """``edits`` lead from the revision applied before to ``revision``; put them in force in one step."""

    revision: int
    edits: tuple[Edit, ...]


@dataclass(slots=True, frozen=True)
class RefusedRevision:
    """``revision`` cannot be applied at this broker, because of ``resource``."""

    revision: int
    resource: str
    reason: str


def accept_all(edits: Sequence[Edit]) -> Sequence[Fault]:
    """The default check: only the schema and the rules are validated."""
    return ()


@dataclass(slots=True, frozen=True)
class _Base:
    """A snapshot that was received but could not be applied; the held deltas continue from it."""

    revision: int
    values: dict[str, bytes]


class Applier:
    """The resources in force at ``revision``, the deltas held after it, and the revision that was refused."""

    def __init__(self, rules: Rules = NO_RULES, check: Check = accept_all) -> None:
        """``check`` returns the broker's faults beyond the schema; it is called before edits are applied."""
        self.table = ResourceTable()
        self.rules, self.check = rules, check
        self.revision = 0
        self.refused: RefusedRevision | None = None
        self.needs_snapshot = False
        self._base: _Base | None = None
        self._held: list[Delta] = []
        self._held_bytes = 0

    @property
    def received(self) -> int:
        """The revision up to which everything is applied or held."""
        base = self.revision if self._base is None else self._base.revision
        return base + len(self._held)

    # --- deltas ---

    def hold(self, deltas: Sequence[Delta]) -> bool:
        """Hold deltas. False: one before them is missing, or there is no room; the others are held."""
        if self.needs_snapshot:
            return False
        for delta in deltas:
            if delta.revision <= self.received:
                continue
            if delta.revision != self.received + 1:
                return False
            size = encoded_size(delta)
            if len(self._held) >= MAX_HELD_DELTAS or self._held_bytes + size > MAX_HELD_BYTES:
                self._discard_held()
                return False
            self._held.append(delta)
            self._held_bytes += size
        return True

    def _discard_held(self) -> None:
        """Discard what is held and require a snapshot."""
        self._base, self._held, self._held_bytes = None, [], 0
        self.needs_snapshot = True

    def apply_held(self) -> Applied | None:
        """Apply the longest part of what is held that is valid; None where no part is."""
        if self.needs_snapshot:
            return None
        if self._base is not None:
            return self._apply_from_base(self._base)
        if not self._held:
            return None
        for count in self._prefix_lengths():
            edits = merge_deltas(self._held[:count])
            conflicts = self.table.conflicts(edits)
            if conflicts:
                self._on_diverged(conflicts[0])
                return None
            if not self._faults(edits):
                return self._advance_to(self._held[count - 1].revision, edits)
        self._refuse(self._held[0].revision, self._faults(merge_deltas(self._held[:1])))
        return None

    def _apply_from_base(self, base: _Base) -> Applied | None:
        """Apply the held snapshot and all deltas after it in one step."""
        values = dict(base.values)
        for edit in merge_deltas(self._held):
            if values.get(edit.name) != edit.old:
                self._on_diverged(Fault(edit.name, "another value", "the old value of the delta", edit.name))
                return None
            apply_edits(values, (edit,))
        edits = diff_values(self.table.values, values)
        faults = self._faults(edits)
        if not faults:
            return self._advance_to(self.received, edits)
        self._refuse(base.revision, faults)
        return None

    def _prefix_lengths(self) -> list[int]:
        """How many of the held deltas are tried in one step: all, a few fewer, one."""
        longest = len(self._held)
        lengths = list(range(longest, max(longest - MAX_TRIED_PREFIXES, 0), -1))
        return lengths if 1 in lengths else [*lengths, 1]

    def _faults(self, edits: Sequence[Edit]) -> Sequence[Fault]:
        return self.table.faults(edits, self.rules) or self.check(edits)

    def _on_diverged(self, fault: Fault) -> None:
        self.refused = RefusedRevision(self.received, fault.place, f"differs from the log: {fault}")
        self._discard_held()

    def _refuse(self, revision: int, faults: Sequence[Fault]) -> None:
        fault = faults[0]
        self.refused = RefusedRevision(revision, fault.resource or fault.place, str(fault))

    def _advance_to(self, revision: int, edits: tuple[Edit, ...]) -> Applied:
        assert revision > self.revision, "a revision never goes back"
        self.table.apply(edits)
        self._base = None
        self._held = [delta for delta in self._held if delta.revision > revision]
        self._held_bytes = sum(map(encoded_size, self._held))
        self.revision = revision
        self.refused = None
        if self._held:
            self._refuse(
                self._held[0].revision, self._faults(merge_deltas(self._held[:1])) or _NOT_APPLIED_FAULTS
            )
        return Applied(revision, edits)

    # --- snapshots ---

    def apply_snapshot(self, image: Image) -> Applied | None:
        """Apply a snapshot; None where it is not newer, cannot be read, or is refused.

        A refused snapshot is held, since a later delta may correct it: ``received`` then counts from it.
        """
        if image.revision <= self.revision:
            return None
        try:
            content = read_image(image)
        except ChangeError as error:
            self._refuse(image.revision, error.faults)
            return None
        self.needs_snapshot = False
        self._held = [delta for delta in self._held if delta.revision > image.revision]
        self._held_bytes = sum(map(encoded_size, self._held))
        self._base = _Base(image.revision, content.values)
        return self.apply_held()


_NOT_APPLIED_FAULTS = (
    Fault("resources", "applied up to the delta before", "a delta that can be applied with those before"),
)
