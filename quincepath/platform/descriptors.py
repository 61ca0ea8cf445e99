"""Who may hold how many of the process's descriptors, for how long, and who goes first. Pure.

Descriptors are split between clients and nodes, with a reserve for everything else, so that a flood of
connections can never stop a call to a node. Over the clients' part the connection that is worth least goes.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

MS = 1_000_000
SECOND = 1000 * MS
RESERVE = 24  # listener, selector, wake-up pair, standard streams, discovery old and new, files read
KEPT_SHARE = 1 / 6  # of all: connections that brought queries and may idle, half of what clients use for them
CLIENT_SHARE = 0.6  # of what is left; clients use a third of all for requests
MAX_CONNECTIONS_PER_NODE = (
    4  # connections to one node: one that works, one doubted, and two that still wait for answers
)
FIRST = 2 * SECOND  # from a connect until its first request is whole
REQUEST = 2 * SECOND  # from the first byte of a later request until it is whole
IDLE = 60 * SECOND  # between requests; over the places that there are, the longest idle goes earlier
WRITE = 3 * SECOND  # without a byte taken by the client
LINGER = SECOND // 2  # after the last answer on a connection, for the client to read it
BODY_MOST = 64 * 1024
HEAD_MOST = 8 * 1024
SETTLE = 20 * MS  # a connection so young is not closed for its silence: its request is on its way


@dataclass(slots=True, frozen=True)
class Shares:
    """Most connections."""

    clients: int
    nodes: int
    kept: int


def allocate(descriptors: int) -> Shares:
    """Divide what the process may hold."""
    free = max(descriptors - RESERVE, 16)
    clients = int(free * CLIENT_SHARE)
    return Shares(clients, free - clients, max(int(descriptors * KEPT_SHARE), 8))


class Connection(Protocol):
    """What is looked at to choose."""

    asked: bool  # some request was whole
    valued: bool  # some query of it was taken
    arriving: bool
    since: int

    @property
    def busy(self) -> bool:
        """Whether a request is open."""
        ...

    def waits(self) -> bool:
        """Whether it may be closed with nothing broken off."""
        ...


C = TypeVar("C", bound=Connection)


def _worth(connection: Connection, now: int) -> tuple[int, int]:
    if connection.arriving or not connection.asked and now <= connection.since + SETTLE:
        return 3, connection.since  # a request that has begun, or is on its way
    if not connection.asked:
        return 0, connection.since  # silent since it came
    return 1 + connection.valued, connection.since  # between requests; who brings queries goes later


def evict(now: int, connections: Iterable[C]) -> C | None:
    """The connection to close for a new one; None where none can be spared: then the new one goes.

    Those with an open request are left out before any is looked at: guards against a crowd under which the
    oldest are all busy, and each new client is turned away though many idle connections are held.
    """
    idle = (connection for connection in connections if not connection.busy)
    for connection in heapq.nsmallest(8, idle, key=lambda c: _worth(c, now)):
        if connection.waits():
            return connection
    return None
