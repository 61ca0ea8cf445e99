"""A subscriber that counts revisions and holds no values: for worlds whose values would not fit into memory.

Messages, bytes and times are those of the real one; what it cannot show is that values are applied whole.
"""

from collections.abc import Iterable
from typing import Any

from quincepath.fleet.configuration.applier import Applied, Applier
from quincepath.fleet.configuration.snapshots import Image
from quincepath.fleet.configuration.subscriber import Subscriber
from quincepath.fleet.configuration.table import ResourceTable, Rules


class _NoValues(ResourceTable):
    """Takes everything and keeps nothing."""

    def conflicts(self, edits: Iterable[Any]) -> list[Any]:
        """None."""
        return []

    def faults(self, edits: Any, rules: Rules | None = None) -> list[Any]:
        """None."""
        return []

    def apply(self, edits: Iterable[Any]) -> None:
        """Nothing is kept."""


class _LeanApplier(Applier):
    def __init__(self) -> None:
        super().__init__()
        self.table = _NoValues()

    def apply_snapshot(self, image: Image) -> Applied | None:
        """As if all its values were put in force."""
        if image.revision <= self.revision:
            return None
        self.needs_snapshot = False
        self._held = [delta for delta in self._held if delta.revision > image.revision]
        return self._advance_to(image.revision, ())


class LeanSubscriber(Subscriber):
    """The protocol of a subscriber, without the values."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """As ``Subscriber``."""
        super().__init__(*args, **kwargs)
        self.applier = _LeanApplier()
