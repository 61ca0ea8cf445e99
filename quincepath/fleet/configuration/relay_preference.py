"""Which relay a subscriber asks, in what order, and how long it waits between attempts."""

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS
MIN_BACKOFF_NS = 200 * MS
MAX_BACKOFF_NS = 5 * SECOND
MAX_BACKOFF_DOUBLINGS = 10


@dataclass(slots=True, frozen=True)
class RelayLocation:
    """A relay as the broker's own configuration names it."""

    name: str
    region: str


def rank_relays(member: str, region: str, relays: Iterable[RelayLocation]) -> tuple[str, ...]:
    """The relays in a subscriber's own order: by rendezvous hashing in its region, then in the others.

    When a relay goes, only its own subscribers choose anew, and they spread over those that are left.
    """

    def rank(relay: RelayLocation) -> tuple[bool, bytes]:
        digest = hashlib.blake2b(f"{member}\0{relay.name}".encode(), digest_size=8).digest()
        return relay.region != region, digest

    return tuple(relay.name for relay in sorted(relays, key=rank))


def backoff(failures: int, chance: random.Random) -> int:
    """Nanoseconds until the next attempt: doubled with each failure up to a most, half of it jitter."""
    longest = min(MIN_BACKOFF_NS << min(failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_NS)
    return longest // 2 + chance.randrange(longest // 2)
