"""Schedule of the full state exchanges, and the state of each open connection.

One exchange uses one TCP connection: the initiator sends ``ExchangeRequest``; the answer is ``SameDigest``,
or ``FullState`` with all beliefs, which the initiator answers with its own. At most ``MAX_OUTGOING``
exchanges are open that this member initiated and ``MAX_ACCEPTED`` that others did; a further incoming
connection is closed, and its initiator comes back at its next regular exchange. A connection may also carry
one ping of a probe that was not answered by datagram: at most ``MAX_PROBE_CONNECTIONS`` of these are open;
beyond that none is opened, and the probe continues by datagrams and indirect probes alone.
"""

import random
from dataclasses import dataclass

from quincepath.fleet.view.facts import SECOND, ViewSettings

NEVER = 1 << 62
MAX_OUTGOING = 4
MAX_ACCEPTED = 64
MAX_PROBE_CONNECTIONS = 8
# A digest difference that an exchange did not resolve starts no other exchange with the peer for this long.
FRUITLESS_BACKOFF_NS = 30 * SECOND
# A differing digest starts an exchange only if it has lasted this long, with no change of the own table.
STABLE_NS = SECOND
JOIN_RETRY_NS = SECOND // 2


@dataclass(slots=True)
class ExchangeConnection:
    """One open connection; ``peer`` is empty until the initiator of an accepted one has identified itself."""

    peer: str
    deadline: int
    outgoing: bool
    probe: int = 0  # the number of the probe that it was opened for; 0: an exchange


class Exchanges:
    """Which exchanges are open and when the next one is due."""

    def __init__(self, settings: ViewSettings, source: random.Random, now: int) -> None:
        self.settings, self.random = settings, source
        self.connections: dict[int, ExchangeConnection] = {}
        self.opened_count = 0
        self.next_at = now
        self.next_heal_at = now
        self.done = self.failed = self.rejected = self.probes_skipped = 0
        self.backoff_until: dict[str, int] = {}  # by peer, until when a differing digest starts no exchange
        self.differs_since: dict[str, int] = {}  # by peer, since when its digest differs
        self.digest_at: dict[
            str, int
        ] = {}  # by peer in `differs_since`, when its digest was last seen or requested
        self.rechecked_at = now
        self.equal_at: dict[str, int] = {}  # by peer, when its digest was last the same

    def open(self, peer: str, now: int) -> int:
        """Register an outgoing exchange connection and return its number."""
        self.opened_count += 1
        self.connections[self.opened_count] = ExchangeConnection(
            peer, now + self.settings.exchange_time, True
        )
        return self.opened_count

    def open_for_probe(self, peer: str, probe: int, deadline: int) -> int:
        """Register a connection for one ping and return its number; 0 if the limit is reached."""
        if sum(connection.probe > 0 for connection in self.connections.values()) >= MAX_PROBE_CONNECTIONS:
            self.probes_skipped += 1
            return 0
        self.opened_count += 1
        self.connections[self.opened_count] = ExchangeConnection(peer, deadline, True, probe)
        return self.opened_count

    def accept(self, number: int, now: int) -> bool:
        """Register an incoming connection; false if the limit is reached."""
        if sum(not connection.outgoing for connection in self.connections.values()) >= MAX_ACCEPTED:
            self.rejected += 1
            return False
        self.connections[number] = ExchangeConnection("", now + self.settings.exchange_time, False)
        return True

    def has_room(self, peer: str) -> bool:
        """Whether another exchange may be started with ``peer``."""
        outgoing = [one for one in self.connections.values() if one.outgoing and not one.probe]
        return len(outgoing) < MAX_OUTGOING and all(one.peer != peer for one in outgoing)

    def schedule_next(self, now: int, joining: bool) -> None:
        """Set the time of the next regular exchange."""
        wait = JOIN_RETRY_NS if joining else self.settings.exchange
        self.next_at = now + int(wait * (0.5 + self.random.random()))

    def on_digest(self, peer: str, same: bool, now: int, changed_at: int) -> bool:
        """Record a peer's digest; whether an exchange with it should start now."""
        if same:
            self.forget(peer)
            self.equal_at[peer] = now
            return False
        self.differs_since.setdefault(peer, now)
        self.digest_at[peer] = now
        stable = now >= changed_at + STABLE_NS and now >= self.differs_since[peer] + STABLE_NS
        if (
            not stable
            or now < self.next_heal_at
            or now < self.backoff_until.get(peer, 0)
            or not self.has_room(peer)
        ):
            return False
        self.next_heal_at = now + self.settings.heal
        return True

    def forget(self, peer: str) -> None:
        """Drop a peer whose digest is equal again, or that is gone."""
        self.differs_since.pop(peer, None)
        self.digest_at.pop(peer, None)

    def recheck_at(self) -> int:
        """When the next peer with a differing digest is to be pinged, to learn whether it still differs.

        In a large fleet a member sends to this one only once a minute: a digest that it sent while gossip was
        still spreading would count for as long. One ping per ``recheck`` interval, to each peer at most once
        a second.
        """
        if not self.digest_at or not self.settings.recheck:
            return NEVER
        return max(self.rechecked_at + self.settings.recheck, min(self.digest_at.values()) + STABLE_NS)

    def next_recheck(self, now: int) -> str:
        """The peer whose digest was seen or requested longest ago; it counts as requested now."""
        name = min(self.digest_at, key=self.digest_at.__getitem__)
        self.digest_at[name] = self.rechecked_at = now
        return name

    def on_completed(self, peer: str, now: int, useful: bool) -> None:
        """An exchange that this member initiated is complete; ``useful``: it changed something, or nothing
        differed."""
        self.done += 1
        if useful:
            self.backoff_until.pop(peer, None)
        else:
            self.backoff_until[peer] = now + FRUITLESS_BACKOFF_NS

    def next_due(self) -> int:
        """When the next connection times out, or the next regular exchange or recheck is due."""
        return min([self.next_at, self.recheck_at(), *(one.deadline for one in self.connections.values())])
