"""Deltas and snapshots at a broker: a revision is applied whole or not at all, and never goes back.

What has come and cannot be applied is held, in bounded size, since a later delta may mend it: all that is
held is then applied in one turn. A delta whose old value is not the one found means that this broker
differs from the log; only a snapshot mends that.
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
MAX_TRIED_PREFIXES = 8  # of the held deltas, the longest first

Check = Callable[[Sequence[Edit]], Sequence[Fault]]


@dataclass(slots=True, frozen=True)
class Applied:
    """``edits`` lead from the revision before to ``revision``: put them in force in one turn."""

    revision: int
    edits: tuple[Edit, ...]


@dataclass(slots=True, frozen=True)
class RefusedRevision:
    """``revision`` cannot be in force here, because of ``resource``."""

    revision: int
    resource: str
    reason: str


def accept_all(edits: Sequence[Edit]) -> Sequence[Fault]:
    """The default: the schema and the rules are all that counts."""
    return ()


@dataclass(slots=True, frozen=True)
class _Base:
    """A snapshot that has come and could not be in force; the deltas held lead on from it."""

    revision: int
    values: dict[str, bytes]


class Applier:
    """The resources in force at ``revision``, what is held after it, and the revision that was refused."""

    def __init__(self, rules: Rules = NO_RULES, check: Check = accept_all) -> None:
        """``check``: what the broker has against edits beyond their schema; asked before they are applied."""
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
        """Up to here everything is applied or held."""
        base = self.revision if self._base is None else self._base.revision
        return base + len(self._held)

    # --- deltas ---

    def hold(self, deltas: Sequence[Delta]) -> bool:
        """Take in deltas. False: one is missing before them, or there is no room; the others are held."""
        if self.needs_snapshot:
            return False
        for delta in deltas:
            if delta.revision <= self.received:
                continue
            if delta.revision != self.received + 1:
                return False
            size = encoded_size(delta)
            if len(self._held) >= MAX_HELD_DELTAS or self._held_bytes + size > MAX_HELD_BYTES:
                self._start_over()
                return False
            self._held.append(delta)
            self._held_bytes += size
        return True

    def _start_over(self) -> None:
        """What is held is of no use: only a snapshot leads on."""
        self._base, self._held, self._held_bytes = None, [], 0
        self.needs_snapshot = True

    def apply_held(self) -> Applied | None:
        """Apply as much of what is held as can be in force; None where nothing can."""
        if self.needs_snapshot:
            return None
        if self._base is not None:
            return self._apply_from_base(self._base)
        if not self._held:
            return None
        for count in self._counts():
            edits = merge_deltas(self._held[:count])
            conflicts = self.table.conflicts(edits)
            if conflicts:
                self._diverged(conflicts[0])
                return None
            if not self._faults(edits):
                return self._advance_to(self._held[count - 1].revision, edits)
        self._refuse(self._held[0].revision, self._faults(merge_deltas(self._held[:1])))
        return None

    def _apply_from_base(self, base: _Base) -> Applied | None:
        """The snapshot that is held and all deltas after it, as one."""
        values = dict(base.values)
        for edit in merge_deltas(self._held):
            if values.get(edit.name) != edit.old:
                self._diverged(Fault(edit.name, "another value", "the old value of the delta", edit.name))
                return None
            apply_edits(values, (edit,))
        edits = diff_values(self.table.values, values)
        faults = self._faults(edits)
        if not faults:
            return self._advance_to(self.received, edits)
        self._refuse(base.revision, faults)
        return None

    def _counts(self) -> list[int]:
        """How many of the held deltas are tried at once: all, a few fewer, one."""
        most = len(self._held)
        found = list(range(most, max(most - MAX_TRIED_PREFIXES, 0), -1))
        return found if 1 in found else [*found, 1]

    def _faults(self, edits: Sequence[Edit]) -> Sequence[Fault]:
        return self.table.faults(edits, self.rules) or self.check(edits)

    def _diverged(self, fault: Fault) -> None:
        self.refused = RefusedRevision(self.received, fault.place, f"differs from the log: {fault}")
        self._start_over()

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
            self._refuse(self._held[0].revision, self._faults(merge_deltas(self._held[:1])) or _LATER)
        return Applied(revision, edits)

    # --- snapshots ---

    def apply_snapshot(self, image: Image) -> Applied | None:
        """Put a snapshot in force; None where it is not newer, cannot be read, or is refused.

        One that is refused is held, since a later delta may mend it: ``received`` then counts from it.
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


_LATER = (
    Fault("resources", "applied up to the delta before", "a delta that can be applied with those before"),
)
