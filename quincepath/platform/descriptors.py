"""Limits on file descriptors and connection times, and which connection is closed first. Pure.

Descriptors are split between clients and nodes, with a reserve for everything else, so that a flood of client
connections can never prevent a call to a node. Above the clients' limit the least valuable one is closed.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
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
MIN_REQUEST_NS = SECOND // 2  # for a request to arrive, however scarce descriptors are
MIN_IDLE_NS = SECOND // 2  # for a client to send its next query, however scarce descriptors are
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

    def unfinished(self) -> bool:
        """Whether all that has arrived is the beginning of a request."""
        ...


C = TypeVar("C", bound=Connection)


class EvictionRank(IntEnum):
    """How much a connection has made of its place; the lowest is closed first."""

    SILENT = 0  # since it was accepted
    BROUGHT_NOTHING = 1  # requests, but no query
    UNFINISHED = 2  # a request that began some time ago and is not whole
    BROUGHT_QUERIES = 3
    IN_TRANSIT = 4  # its first request may be on its way


def _eviction_order(connection: Connection, now: int) -> tuple[int, int]:
    rank = EvictionRank.BROUGHT_QUERIES if connection.valued else EvictionRank.BROUGHT_NOTHING
    if connection.arriving:
        rank = EvictionRank.UNFINISHED
    elif not connection.asked:
        young = now <= connection.since + SETTLE_NS
        rank = EvictionRank.IN_TRANSIT if young else EvictionRank.SILENT
    return rank, connection.since


def _may_be_evicted(connection: Connection, now: int) -> bool:
    """Whether it holds its place in vain: not if it brings a request or has just been answered a query."""
    if connection.busy:
        return False
    if connection.arriving:
        return not connection.valued and now > connection.since + MIN_REQUEST_NS
    return not connection.valued or now > connection.since + MIN_IDLE_NS


def evict(now: int, connections: Iterable[C]) -> C | None:
    """The connection to close for a new one; None where none can be: then the new one is closed.

    Those that cannot be are filtered out before the oldest are picked. Otherwise, with many busy connections,
    the oldest are all busy and each new client is rejected although many idle ones are held. A request that
    is slow to arrive goes before connections that have brought queries: hundreds of clients that begin one
    and do not end it would else displace all others.
    """
    candidates = (connection for connection in connections if _may_be_evicted(connection, now))
    for connection in heapq.nsmallest(8, candidates, key=lambda c: _eviction_order(c, now)):
        if connection.unfinished() if connection.arriving else connection.waits():
            return connection
    return None
