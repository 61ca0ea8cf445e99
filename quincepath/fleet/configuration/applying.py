"""Deltas and snapshots at a broker: a revision is applied whole or not at all, and never goes back.

Deltas that have come and cannot be applied are held, in bounded number, since a later one may mend them: all
that is held is then applied in one turn. A delta whose old value is not the one found means that this broker
differs from the log; only a snapshot mends that.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from quincepath.fleet.configuration.changes import ChangeError, Delta, Edit, Fault, encoded_size
from quincepath.fleet.configuration.snapshots import Image, read_image
from quincepath.fleet.configuration.table import NO_RULES, ResourceTable, Rules, difference, merged

HELD_DELTAS_MOST = 1024
HELD_BYTES_MOST = 2 << 20
TRIED_PREFIXES_MOST = 8  # of the held deltas, the longest first

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


def nothing_more(edits: Sequence[Edit]) -> Sequence[Fault]:
    """The default: the schema and the rules are all that counts."""
    return ()


class Applier:
    """The resources in force at ``revision``, the deltas held after it, and the revision that was refused."""

    def __init__(self, rules: Rules = NO_RULES, check: Check = nothing_more) -> None:
        """``check``: what the broker has against edits beyond their schema; asked before they are applied."""
        self.table = ResourceTable()
        self.rules, self.check = rules, check
        self.revision = 0
        self.refused: RefusedRevision | None = None
        self.needs_snapshot = False
        self._held: list[Delta] = []
        self._held_bytes = 0

    @property
    def received(self) -> int:
        """Up to here all deltas are applied or held."""
        return self.revision + len(self._held)

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
            if len(self._held) >= HELD_DELTAS_MOST or self._held_bytes + size > HELD_BYTES_MOST:
                self._drop_held()
                self.needs_snapshot = True
                return False
            self._held.append(delta)
            self._held_bytes += size
        return True

    def _drop_held(self) -> None:
        self._held = []
        self._held_bytes = 0

    def apply_held(self) -> Applied | None:
        """Apply as many of the held deltas as can be in force; None where none can."""
        if not self._held or self.needs_snapshot:
            return None
        edits: tuple[Edit, ...] = ()
        for count in self._counts():
            edits = merged(self._held[:count])
            if self.table.conflicts(edits):
                self._diverged(edits)
                return None
            if not self._faults(edits):
                return self._take(self._held[count - 1].revision, edits)
        self._refuse(self._held[0].revision, self._faults(merged(self._held[:1])))
        return None

    def _counts(self) -> list[int]:
        """How many of the held deltas are tried at once: all, a few fewer, one."""
        most = len(self._held)
        found = list(range(most, max(most - TRIED_PREFIXES_MOST, 0), -1))
        return found if 1 in found else [*found, 1]

    def _faults(self, edits: Sequence[Edit]) -> Sequence[Fault]:
        return self.table.faults(edits, self.rules) or self.check(edits)

    def _diverged(self, edits: Sequence[Edit]) -> None:
        fault = self.table.conflicts(edits)[0]
        self.refused = RefusedRevision(self._held[0].revision, fault.place, f"differs from the log: {fault}")
        self._drop_held()
        self.needs_snapshot = True

    def _refuse(self, revision: int, faults: Sequence[Fault]) -> None:
        fault = faults[0]
        self.refused = RefusedRevision(revision, fault.resource or fault.place, str(fault))

    def _take(self, revision: int, edits: tuple[Edit, ...]) -> Applied:
        assert revision > self.revision, "a revision never goes back"
        self.table.apply(edits)
        self._held = [delta for delta in self._held if delta.revision > revision]
        self._held_bytes = sum(map(encoded_size, self._held))
        self.revision = revision
        self.refused = None
        if self._held:
            self._refuse(self._held[0].revision, self._faults(merged(self._held[:1])) or _LATER)
        return Applied(revision, edits)

    def apply_snapshot(self, image: Image) -> Applied | None:
        """Put a snapshot in force; None where it is not newer, or is refused."""
        if image.revision <= self.revision:
            return None
        self.needs_snapshot = False
        try:
            content = read_image(image)
        except ChangeError as error:
            self._refuse(image.revision, error.faults)
            return None
        edits = difference(self.table.values, content.values)
        faults = self._faults(edits)
        if faults:
            self._refuse(image.revision, faults)
            return None
        return self._take(image.revision, edits)


_LATER = (
    Fault("resources", "applied up to the delta before", "a delta that can be applied with those before"),
)
