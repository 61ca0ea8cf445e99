"""Requests under ``/fleet/config/``: propose and roll back a change, status, committed resources; JSON."""

import json
from typing import Any
from urllib.parse import unquote

from quincepath.fleet.configuration.change_requests import (
    DuplicateRequest,
    parse_propose,
    parse_rollback,
    propose_change,
    rollback_change,
)
from quincepath.fleet.configuration.changes import Change, ChangeError, Fault, encode_change
from quincepath.fleet.configuration.commands import ChangeConfiguration
from quincepath.fleet.configuration.history import Answer
from quincepath.fleet.distribution import Distribution
from quincepath.fleet.replicated_log import ReplicatedLog
from quincepath.net.server import Exchange

PREFIX = "/fleet/config/"
JSON = {"Content-Type": "application/json"}
PATHS = "GET status, show or show/NAME, POST propose or rollback"
OK, BAD, MISSING, REFUSED = 200, 400, 404, 409


class ConfigurationRequests:
    """``request`` answers those that are of the configuration."""

    def __init__(self, distribution: Distribution, agreed: ReplicatedLog) -> None:
        self.distribution, self.agreed = distribution, agreed

    def request(self, exchange: Exchange) -> bool:
        """Answer, now or when it is known; false for any other path."""
        asked = exchange.request
        if not asked.path.startswith(PREFIX):
            return False
        what = asked.path.removeprefix(PREFIX)
        if asked.method == "POST":
            self._order(exchange, what, asked.body)
        else:
            self._page(exchange, what)
        return True

    # --- pages ---

    def _page(self, exchange: Exchange, what: str) -> None:
        name = unquote(what.removeprefix("show/"))
        found: dict[str, Any] | None = None
        if what == "status":
            found = self.distribution.status_page()
        elif what == "show":
            found = self.distribution.show_page()
        elif what.startswith("show/"):
            found = self.distribution.show_page(name)
            if found is None:
                newest = self.agreed.machine.configuration.revision
                self._say(exchange, MISSING, {"error": f"{name}: absent at revision {newest}"})
                return
        if found is None:
            self._say(exchange, MISSING, {"error": f"{what!r}: expected {PATHS} under {PREFIX}"})
            return
        self._say(exchange, OK, found)

    # --- orders ---

    def _order(self, exchange: Exchange, what: str, body: bytes) -> None:
        try:
            change = self._change(what, body)
            if isinstance(change, DuplicateRequest):
                self._answer(exchange, change.answer)
                return
            data = encode_change(change)
        except ChangeError as error:
            self._say(exchange, BAD, {"error": str(error)})
            return
        command = ChangeConfiguration(change.id, change.author, change.proposed_at_ms, data)
        self.agreed.submit(command, lambda why: self._done(exchange, change, why))

    def _change(self, what: str, body: bytes) -> Change | DuplicateRequest:
        now = self.agreed.loop.system.wall_ms()
        if what == "propose":
            return propose_change(parse_propose(body), self.agreed.machine.configuration, now)
        if what == "rollback":
            return rollback_change(parse_rollback(body), now)
        raise ChangeError([Fault("path", repr(what), f"{PATHS} under {PREFIX}")])

    def _done(self, exchange: Exchange, change: Change, why: str) -> None:
        if why:
            self._say(exchange, REFUSED, {"error": why})
            return
        answer = self.agreed.machine.configuration.answers.get(change.id)
        self._answer(exchange, answer or Answer(0, "its revision is not remembered", b""))

    def _answer(self, exchange: Exchange, answer: Answer) -> None:
        if answer.revision:
            self._say(exchange, OK, {"revision": answer.revision})
        else:
            self._say(exchange, REFUSED, {"error": answer.reason})

    @staticmethod
    def _say(exchange: Exchange, status: int, content: dict[str, Any]) -> None:
        exchange.respond(status, JSON, json.dumps(content).encode())
