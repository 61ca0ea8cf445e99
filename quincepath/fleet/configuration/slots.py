"""Limits how many snapshots a relay sends concurrently, and queues the other requests.

When a whole zone restarts, it requests hundreds of snapshots within one second. Few are sent concurrently, so
that deltas for the other subscribers are never delayed; the rest wait in a FIFO queue that is never longer
than the table of subscribers.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from quincepath.fleet.configuration.relay_preference import SECOND
from quincepath.fleet.configuration.snapshots import Image, make_image

SLOTS = 4
SLOT_IDLE_TIMEOUT_NS = 2 * SECOND  # without a message of the subscriber, until its slot is released
MAX_IMAGE_LAG_REVISIONS = 256  # of a cached image behind the newest revision; deltas continue from there


@dataclass(slots=True)
class Slot:
    """One snapshot that is being sent. ``sent_at``: when pieces were last sent."""

    image: Image
    idle_at: int
    sent_at: int = 0


class SnapshotSlots:
    """Slots and queue. One image is cached and serves all subscribers until it is too old."""

    def __init__(self, slots: int = SLOTS) -> None:
        """``slots``: how many snapshots are sent concurrently."""
        self.max_slots = slots
        self.slots: dict[str, Slot] = {}
        self.queue: dict[str, None] = {}  # in order of arrival
        self.images_made = 0
        self._image: Image | None = None

    def enqueue(self, name: str) -> int:
        """Queue a subscriber that has no slot; returns how many are before it."""
        if name in self.slots:
            return 0
        self.queue.setdefault(name)
        return list(self.queue).index(name)

    def release(self, name: str) -> None:
        """Remove a subscriber that needs no snapshot any more from the slots and the queue."""
        self.slots.pop(name, None)
        self.queue.pop(name, None)

    def release_expired(self, now: int) -> list[str]:
        """Release slots that were idle for too long; returns their subscribers."""
        expired = [name for name, slot in self.slots.items() if now >= slot.idle_at]
        for name in expired:
            del self.slots[name]
        return expired

    def image(self, revision: int, min_revision: int, values: Mapping[str, bytes]) -> Image:
        """A snapshot at ``min_revision`` or later: the cached one, or a new one of the newest ``values``."""
        cached = self._image
        if cached is None or cached.revision < max(min_revision, revision - MAX_IMAGE_LAG_REVISIONS):
            cached = self._image = make_image(revision, values)
            self.images_made += 1
        return cached

    def dequeue(self) -> str:
        """Remove and return the subscriber that is next; empty: none waits, or no slot is free."""
        if not self.queue or len(self.slots) >= self.max_slots:
            return ""
        name = next(iter(self.queue))
        del self.queue[name]
        return name
