"""The order in which a subscriber tries the relays, and the backoff between attempts."""

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS
INITIAL_BACKOFF_NS = 200 * MS
MAX_BACKOFF_NS = 5 * SECOND
MAX_BACKOFF_DOUBLINGS = 10


@dataclass(slots=True, frozen=True)
class RelayLocation:
    """A relay as the broker's own configuration lists it."""

    name: str
    region: str


def rank_relays(member: str, region: str, relays: Iterable[RelayLocation]) -> tuple[str, ...]:
    """The relays in a subscriber's preferred order: rendezvous hashing in its region, then in the others.

    When a relay is removed, only its own subscribers choose another one, and they spread over the rest.
    """

    def rank(relay: RelayLocation) -> tuple[bool, bytes]:
        digest = hashlib.blake2b(f"{member}\0{relay.name}".encode(), digest_size=8).digest()
        return relay.region != region, digest

    return tuple(relay.name for relay in sorted(relays, key=rank))


def backoff(failures: int, rng: random.Random) -> int:
    """Nanoseconds until the next attempt: exponential with a maximum, half of it jitter."""
    longest = min(INITIAL_BACKOFF_NS << min(failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_NS)
    return longest // 2 + rng.randrange(longest // 2)
