"""A list service shared by all brokers, with limited capacity: it serves one call after the other.

A request for the full list and the opening of a watch each take ``CALL_COST_NS`` of its time; one that would
be answered only after ``MAX_DELAY_NS`` is refused with a status. A watch renewed within ``RENEWAL_NS`` of its
last response costs nothing.
"""

import json
from typing import Any

from quincepath.net.client_connection import Exchange
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from tests.standins.platform import TIMES

MS = 1_000_000
CALL_COST_NS = 300 * MS
MAX_DELAY_NS = 1000 * MS
RENEWAL_NS = 200 * MS


class SharedListService:
    """``served`` counts calls that used capacity, ``refused`` those rejected; ``watches`` are open."""

    def __init__(self, loop: Loop, entries: list[dict[str, Any]]) -> None:
        self.loop, self.entries, self.version = loop, entries, 1
        self.server = HttpServer(loop, "127.0.0.1", 0, self._request, Limits(), TIMES, 200)
        self.idle_at = 0
        self.served = self.refused = 0
        self.watches: dict[int, tuple[Exchange, int]] = {}
        self._renewable: dict[int, int] = {}  # by connection: until when its watch may be renewed

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.server.port

    def change(self) -> None:
        """There is a new version, with the same nodes."""
        self.version += 1
        for connection in list(self.watches):
            self._answer_watch(connection)

    def _request(self, exchange: Exchange) -> None:
        now, connection = self.loop.clock(), id(exchange.connection)
        target = exchange.request.target
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        if since >= 0 and now <= self._renewable.pop(connection, -1):
            self._watch(exchange, since)
            return
        starts = max(self.idle_at, now)
        if starts + CALL_COST_NS > now + MAX_DELAY_NS:
            self.refused += 1
            exchange.respond(503, {}, b"")
            return
        self.served += 1
        self.idle_at = starts + CALL_COST_NS
        handler = self._full_list if since < 0 else self._watch
        self.loop.call_at(self.idle_at, lambda: handler(exchange, since))

    def _full_list(self, exchange: Exchange, since: int) -> None:
        exchange.respond(200, {}, self._body(True))

    def _watch(self, exchange: Exchange, since: int) -> None:
        connection = id(exchange.connection)
        self.watches[connection] = exchange, since
        if since < self.version:
            self._answer_watch(connection)
            return
        wait = int(exchange.request.target.partition("timeout_ms=")[2]) * MS
        self.loop.call_in(wait, lambda: self._over(connection, exchange))

    def _over(self, connection: int, exchange: Exchange) -> None:
        if self.watches.get(connection, (None, 0))[0] is exchange:
            self._answer_watch(connection)

    def _answer_watch(self, connection: int) -> None:
        exchange, since = self.watches.pop(connection)
        self._renewable[connection] = self.loop.clock() + RENEWAL_NS
        exchange.respond(200, {}, self._body(False, since < self.version))

    def _body(self, full: bool, changed: bool = True) -> bytes:
        servers = self.entries if full or changed else []
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode()
