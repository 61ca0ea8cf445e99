"""HTTP requests under ``/fleet/config/``: propose or roll back a change, status, resources; JSON."""

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
from quincepath.net.client_connection import Exchange

PREFIX = "/fleet/config/"
JSON = {"Content-Type": "application/json"}
PATHS = "GET status, show or show/NAME, POST propose or rollback"
OK, BAD, MISSING, REFUSED = 200, 400, 404, 409


class ConfigurationRequests:
    """``request`` answers the requests that concern the configuration."""

    def __init__(self, distribution: Distribution, replicated_log: ReplicatedLog) -> None:
        self.distribution, self.replicated_log = distribution, replicated_log

    def request(self, exchange: Exchange) -> bool:
        """Answer now, or when the result is known; false for any other path."""
        request = exchange.request
        if not request.path.startswith(PREFIX):
            return False
        action = request.path.removeprefix(PREFIX)
        if request.method == "POST":
            self._handle_post(exchange, action, request.body)
        else:
            self._handle_get(exchange, action)
        return True

    # --- pages ---

    def _handle_get(self, exchange: Exchange, action: str) -> None:
        name = unquote(action.removeprefix("show/"))
        page: dict[str, Any] | None = None
        if action == "status":
            page = self.distribution.status_page()
        elif action == "show":
            page = self.distribution.show_page()
        elif action.startswith("show/"):
            page = self.distribution.show_page(name)
            if page is None:
                newest = self.replicated_log.machine.configuration.revision
                self._respond(exchange, MISSING, {"error": f"{name}: absent at revision {newest}"})
                return
        if page is None:
            self._respond(exchange, MISSING, {"error": f"{action!r}: expected {PATHS} under {PREFIX}"})
            return
        self._respond(exchange, OK, page)

    # --- changes ---

    def _handle_post(self, exchange: Exchange, action: str, body: bytes) -> None:
        try:
            change = self._change(action, body)
            if isinstance(change, DuplicateRequest):
                self._answer(exchange, change.answer)
                return
            data = encode_change(change)
        except ChangeError as error:
            self._respond(exchange, BAD, {"error": str(error)})
            return
        command = ChangeConfiguration(change.id, change.author, change.proposed_at_ms, data)
        self.replicated_log.submit(command, lambda refusal: self._on_command_done(exchange, change, refusal))

    def _change(self, action: str, body: bytes) -> Change | DuplicateRequest:
        now = self.replicated_log.loop.system.wall_ms()
        if action == "propose":
            return propose_change(parse_propose(body), self.replicated_log.machine.configuration, now)
        if action == "rollback":
            return rollback_change(parse_rollback(body), now)
        raise ChangeError([Fault("path", repr(action), f"{PATHS} under {PREFIX}")])

    def _on_command_done(self, exchange: Exchange, change: Change, refusal: str) -> None:
        if refusal:
            self._respond(exchange, REFUSED, {"error": refusal})
            return
        answer = self.replicated_log.machine.configuration.answers.get(change.id)
        self._answer(exchange, answer or Answer(0, "its revision is not remembered", b""))

    def _answer(self, exchange: Exchange, answer: Answer) -> None:
        if answer.revision:
            self._respond(exchange, OK, {"revision": answer.revision})
        else:
            self._respond(exchange, REFUSED, {"error": answer.reason})

    @staticmethod
    def _respond(exchange: Exchange, status: int, content: dict[str, Any]) -> None:
        exchange.respond(status, JSON, json.dumps(content).encode())
