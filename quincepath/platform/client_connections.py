"""Which client connections are closed when there are too many of them. Pure.

Clients may ask once and hold the connection for good. They may hold only a limited number of connections, and
a later query of theirs would find none free on their side; so of the connections that brought queries only
some are kept, and above the limit of all the least valuable one is closed.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from quincepath.platform import descriptors
from quincepath.platform.descriptors import ConnectionLimits


class ClientConnection(descriptors.Connection, Protocol):
    """What the choice depends on, and how a connection is closed."""

    @property
    def closing(self) -> bool:
        """Whether its last answer was sent or it is being closed."""
        ...

    def end(self, count: str) -> None:
        """Close without an answer; counted by name."""
        ...

    def reject_unfinished(self, count: str) -> None:
        """Answer a request that is not whole with an error and close; counted by name."""
        ...


C = TypeVar("C", bound=ClientConnection)


class ClientConnections:
    """The open connections that brought queries, least recently used first."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self._brought_queries: dict[ClientConnection, None] = {}

    def on_query(self, connection: ClientConnection) -> None:
        """A connection brought a query; above the limit the least recently used idle one is closed."""
        connection.valued = True
        self._brought_queries.pop(connection, None)
        self._brought_queries[connection] = None
        if len(self._brought_queries) <= self.limits.kept:
            return
        closing = next((held for held in self._brought_queries if held.closing), None)
        oldest = closing or next((held for held in self._brought_queries if not held.busy), None)
        if oldest is not None:
            del self._brought_queries[oldest]
            if oldest.waits():
                oldest.end("cut, unused for longest")

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a closed connection: a reference would keep all that its client had sent ahead."""
        self._brought_queries.pop(connection, None)

    def enforce_limit(self, now: int, count: int, connections: Iterable[C], newest: C) -> None:
        """Close one of ``connections`` if ``count`` of them, the newest included, are too many."""
        if count <= self.limits.clients:
            return
        found = descriptors.evict(now, (held for held in connections if held is not newest))
        if found is None:
            newest.end("cut as it came")
        elif found.arriving:
            found.reject_unfinished("cut for room, unfinished")
        else:
            found.end("cut for room" if found.valued else "cut for room, brought nothing")
