"""A list service that all brokers share, of fixed capacity: it serves one call after the other.

A call for the whole list and the opening of a watch each take ``COST`` of its time; one that would be
answered only after ``LONGEST`` is refused with a status. A watch that goes on within ``RENEWED`` of its last
answer costs nothing.
"""

import json
from typing import Any

from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.server import Exchange, HttpServer
from tests.standins.platform import TIMES

MS = 1_000_000
COST = 300 * MS
LONGEST = 1000 * MS
RENEWED = 200 * MS


class SharedListService:
    """``served`` counts calls that took its time, ``refused`` those turned away; ``watching`` are open."""

    def __init__(self, loop: Loop, entries: list[dict[str, Any]]) -> None:
        self.loop, self.entries, self.version = loop, entries, 1
        self.server = HttpServer(loop, "127.0.0.1", 0, self._request, Limits(), TIMES, 200)
        self.free_at = 0
        self.served = self.refused = 0
        self.watching: dict[int, tuple[Exchange, int]] = {}
        self._renewable: dict[int, int] = {}  # by connection: until when its watch may go on

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.server.port

    def change(self) -> None:
        """There is a new version, with the same nodes."""
        self.version += 1
        for connection in list(self.watching):
            self._answer_watch(connection)

    def _request(self, exchange: Exchange) -> None:
        now, connection = self.loop.clock(), id(exchange.connection)
        target = exchange.request.target
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        if since >= 0 and now <= self._renewable.pop(connection, -1):
            self._watch(exchange, since)
            return
        starts = max(self.free_at, now)
        if starts + COST > now + LONGEST:
            self.refused += 1
            exchange.respond(503, {}, b"")
            return
        self.served += 1
        self.free_at = starts + COST
        done = self._whole if since < 0 else self._watch
        self.loop.call_at(self.free_at, lambda: done(exchange, since))

    def _whole(self, exchange: Exchange, since: int) -> None:
        exchange.respond(200, {}, self._body(True))

    def _watch(self, exchange: Exchange, since: int) -> None:
        connection = id(exchange.connection)
        self.watching[connection] = exchange, since
        if since < self.version:
            self._answer_watch(connection)
            return
        wait = int(exchange.request.target.partition("timeout_ms=")[2]) * MS
        self.loop.call_in(wait, lambda: self._over(connection, exchange))

    def _over(self, connection: int, exchange: Exchange) -> None:
        if self.watching.get(connection, (None, 0))[0] is exchange:
            self._answer_watch(connection)

    def _answer_watch(self, connection: int) -> None:
        exchange, since = self.watching.pop(connection)
        self._renewable[connection] = self.loop.clock() + RENEWED
        exchange.respond(200, {}, self._body(False, since < self.version))

    def _body(self, full: bool, news: bool = True) -> bytes:
        servers = self.entries if full or news else []
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode()
