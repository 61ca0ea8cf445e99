"""Limits on file descriptors and connection times, and which connection is closed first. Pure.

Descriptors are split between clients and nodes, with a reserve for everything else, so that a flood of client
connections can never prevent a call to a node. Above the clients' limit the least valuable one is closed.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

MS = 1_000_000
SECOND = 1000 * MS
RESERVE = 24  # listener, selector, wake-up pair, standard streams, discovery old and new, files read
KEPT_SHARE = 1 / 6  # of all: idle connections that brought queries; half of what clients use for them
CLIENT_SHARE = 0.6  # of those beyond the reserve; clients use a third of all for requests
MAX_CONNECTIONS_PER_NODE = 4  # one in use, one suspect, and two that still wait for replies
FIRST_REQUEST_NS = 2 * SECOND  # from accepting a connection until its first request is whole
REQUEST_NS = 2 * SECOND  # from the first byte of a later request until it is whole
IDLE_NS = 60 * SECOND  # between requests; above the limit the longest idle connection is closed earlier
WRITE_NS = 3 * SECOND  # without the client accepting a byte
LINGER_NS = SECOND // 2  # after the last response on a connection, for the client to read it
MAX_BODY_BYTES = 64 * 1024
MAX_HEADER_BYTES = 8 * 1024
SETTLE_NS = 20 * MS  # a connection this young is not closed for its silence: its request is in transit


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The most connections of each kind; ``kept`` are client connections that brought queries."""

    clients: int
    nodes: int
    kept: int


def allocate(descriptors: int) -> ConnectionLimits:
    """Divide the descriptors that the process may hold."""
    free = max(descriptors - RESERVE, 16)
    clients = int(free * CLIENT_SHARE)
    return ConnectionLimits(clients, free - clients, max(int(descriptors * KEPT_SHARE), 8))


class Connection(Protocol):
    """What the choice of a connection to close depends on."""

    asked: bool  # a request was whole
    valued: bool  # a query of it was accepted
    arriving: bool
    since: int

    @property
    def busy(self) -> bool:
        """Whether a request is open."""
        ...

    def waits(self) -> bool:
        """Whether it may be closed without interrupting anything."""
        ...


C = TypeVar("C", bound=Connection)


def _eviction_order(connection: Connection, now: int) -> tuple[int, int]:
    if connection.arriving or not connection.asked and now <= connection.since + SETTLE_NS:
        return 3, connection.since  # a request has begun or is in transit
    if not connection.asked:
        return 0, connection.since  # silent since it was accepted
    return 1 + connection.valued, connection.since  # between requests; those that brought queries go later


def evict(now: int, connections: Iterable[C]) -> C | None:
    """The connection to close for a new one; None where none can be: then the new one is closed.

    Those with an open request are filtered out before the oldest are picked. Otherwise, with many busy
    connections, the oldest are all busy and each new client is rejected although many idle ones are held.
    """
    idle = (connection for connection in connections if not connection.busy)
    for connection in heapq.nsmallest(8, idle, key=lambda c: _eviction_order(c, now)):
        if connection.waits():
            return connection
    return None
