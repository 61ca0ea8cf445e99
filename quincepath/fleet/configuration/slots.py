"""Snapshots at once, limited: who is being sent one, and who waits for a turn.

A zone that returns at once asks for hundreds of snapshots in one second. So few go at a time that deltas for
the others are never held up; the rest wait in order, in a queue no longer than the table of subscribers.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from quincepath.fleet.configuration.relay_preference import SECOND
from quincepath.fleet.configuration.snapshots import Image, make_image

SLOTS = 4
SLOT_IDLE_TIMEOUT_NS = 2 * SECOND  # without a sign of the subscriber, until its slot goes to the next
MAX_IMAGE_LAG_REVISIONS = 256  # revisions that an image may be behind; deltas lead on from there


@dataclass(slots=True)
class Slot:
    """One snapshot that is being sent. ``sent_at``: when pieces last went out."""

    image: Image
    idle_at: int
    sent_at: int = 0


class SnapshotSlots:
    """Slots and queue. One image is kept and serves all until it is too old."""

    def __init__(self, slots: int = SLOTS) -> None:
        """``slots``: how many are served at once."""
        self.max_slots = slots
        self.slots: dict[str, Slot] = {}
        self.queue: dict[str, None] = {}  # in order of arrival
        self.images_made = 0  # images
        self._image: Image | None = None

    def enqueue(self, name: str) -> int:
        """Queue a subscriber that is not served yet; how many are before it."""
        if name in self.slots:
            return 0
        self.queue.setdefault(name)
        return list(self.queue).index(name)

    def release(self, name: str) -> None:
        """A subscriber needs no snapshot any more."""
        self.slots.pop(name, None)
        self.queue.pop(name, None)

    def release_expired(self, now: int) -> list[str]:
        """Subscribers whose slot was idle for too long; their slots are free."""
        found = [name for name, slot in self.slots.items() if now >= slot.idle_at]
        for name in found:
            del self.slots[name]
        return found

    def image(self, revision: int, least: int, values: Mapping[str, bytes]) -> Image:
        """A snapshot at ``least`` or later, a new one where the last is older. ``values`` are the newest."""
        last = self._image
        if last is None or last.revision < max(least, revision - MAX_IMAGE_LAG_REVISIONS):
            last = self._image = make_image(revision, values)
            self.images_made += 1
        return last

    def dequeue(self) -> str:
        """Whose turn it is; empty: nobody's, or no slot is free."""
        if not self.queue or len(self.slots) >= self.max_slots:
            return ""
        name = next(iter(self.queue))
        del self.queue[name]
        return name
