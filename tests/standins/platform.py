"""Nodes and discovery of the operators' platform on loopback, with one broker, in virtual time.

A node treats each part by the next entry of its ``behaviors``, or by its ``default_behavior``; the names are
in ``_reply_callback``.
"""

import json
import socket
import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from quincepath.broker.driver import DecisionModule
from quincepath.interface import Phase, Settings
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.client_connection import Exchange, Timeouts
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from quincepath.net.stream import Listener, Stream
from quincepath.platform.config import Configuration, read_configuration
from quincepath.platform.service import Broker
from quincepath.platform.targets import Target, TargetList
from quincepath.policy import Aggregator
from tests.standins.ports import free_port

MS = 1_000_000
SECOND = 1000 * MS
WORK_NS = 5 * MS
TIMES = Timeouts(60 * SECOND, 60 * SECOND, 60 * SECOND)
ID = "s-%08x"


def frame(letter: bytes, rest: bytes) -> bytes:
    return struct.pack("<I", 1 + len(rest)) + letter + rest


def value_of(part: str, text: str) -> str:
    return f"{part}|{text}"


class Node:
    """One node. ``received`` holds (part id, shard) of each attempt, ``cancelled`` the cancelled ids.

    ``received_waits`` holds (part id, ms) as each told, ``received_at`` when each came, ``good_at`` when the
    first good answer was sent; ``answer_silent`` answers the ``silent`` ones.
    """

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name
        self.listener = Listener(loop, "127.0.0.1", 0, self._accept, lambda: 0, 1000)
        self.behaviors: list[str] = []
        self.default_behavior = "good"
        self.received: list[tuple[str, int]] = []
        self.received_waits: list[tuple[str, int]] = []
        self.received_at: list[int] = []
        self.good_at: int | None = None
        self._silent: list[tuple[Stream, bytes]] = []
        self.cancelled: list[str] = []
        self.streams: list[Stream] = []

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.port}"

    def _accept(self, sock: socket.socket) -> None:
        held = bytearray()
        stream = Stream(self.loop, sock, lambda data: self._data(stream, held, data), lambda why: None)
        self.streams.append(stream)

    def _data(self, stream: Stream, held: bytearray, data: bytes) -> None:
        held += data
        while len(held) >= 4 and len(held) >= 4 + (size := struct.unpack_from("<I", held)[0]):
            letter, rest = held[4:5], bytes(held[5 : 4 + size])
            del held[: 4 + size]
            if letter == b"n":
                self.cancelled.append(rest.decode())
                continue
            while rest:
                line, _, rest = rest.partition(b"\n")
                part, shard, wait, length = line.decode().split(" ")
                text, rest = rest[: int(length)], rest[int(length) :]
                assert wait.startswith("d=") and int(length) == len(text)
                self.received.append((part, int(shard)))
                self.received_waits.append((part, int(wait[2:])))
                self.received_at.append(self.loop.clock())
                behavior = self.behaviors.pop(0) if self.behaviors else self.default_behavior
                self.loop.call_in(WORK_NS, self._reply_callback(stream, behavior, part, text.decode()))

    def answer_silent(self) -> None:
        """Send the answers that were held back."""
        for stream, answer in self._silent:
            stream.write(answer)
        self._silent.clear()

    def _reply_callback(self, stream: Stream, behavior: str, part: str, text: str) -> Callable[[], None]:
        def reply() -> None:
            value = value_of(part, text).encode()
            good = frame(b"q", part.encode() + b" good 7 inflight=3\n" + value)
            match behavior:
                case "good":
                    stream.write(good)
                case "bad" | "later":
                    stream.write(frame(b"q", f"{part} {behavior} 0 -\n".encode()))
                case "reset":
                    stream.close(reset=True)
                case "end":
                    stream.close()
                case "noise":
                    stream.write(b"\xff\xfe nothing that was ever a frame")
                case "endless":
                    stream.write(
                        struct.pack("<I", 3_000_000_000) + b"q" + part.encode() + b" good 1 -\n" + bytes(999)
                    )
                case "stall":
                    stream.write(good[:-3])
                case "other id":
                    stream.write(frame(b"q", b"nobody.0 good 7 -\nx"))
                case "twice":
                    stream.write(good + good)
                case "and a character":
                    self.good_at = self.good_at or self.loop.clock()
                    stream.write(good + b"4")
                case "longer":
                    self.good_at = self.good_at or self.loop.clock()
                    stream.write(frame(b"q", part.encode() + b" good 7 -\n" + value + b"and more"))
                case "and noise":
                    stream.write(good + b"\0\0\0\0\0\0")
                case "report":
                    stream.write(frame(b"q", part.encode() + b" good 7 \xff=,,\n" + value))
                case "complaint":
                    stream.write(frame(b"r", b"no such letter"))
                case "late":
                    self.loop.call_in(3 * SECOND, lambda: stream.write(good))
                case "silent":
                    self._silent.append((stream, good))
                case _:
                    raise AssertionError(behavior)

        return reply


class Discovery:
    """The agent on the broker's machine: full lists and watches."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: dict[int, list[dict[str, Any]]] = defaultdict(list)
        self.watches: list[tuple[Exchange, int]] = []
        self.silent = False
        self.half = False  # responses begin and then stall
        self.raw: bytes | None = None
        self.on_request: Callable[[], None] = lambda: None
        self.requests: list[str] = []
        self.server = HttpServer(loop, "127.0.0.1", 0, self._request, Limits(), TIMES, 100)

    def publish(self, *entries: dict[str, Any]) -> None:
        """Publish changes to all open watches."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changes[self.version].append(entry)
            if entry["state"] == "DELETED":
                del self.entries[entry["id"]]
        waiting, self.watches = self.watches, []
        for exchange, since in waiting:
            self._answer(exchange, since)

    def _request(self, exchange: Exchange) -> None:
        target = exchange.request.target
        self.requests.append(target)
        self.on_request()
        if self.half:
            exchange.connection.stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{")
        if self.silent or self.half:
            return
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        if since == self.version and self.raw is None:
            self.watches.append(watch := (exchange, since))
            wait = int(target.partition("timeout_ms=")[2]) * MS
            self.loop.call_in(wait, lambda: self._over(watch))
        else:
            self._answer(exchange, since)

    def _over(self, watch: tuple[Exchange, int]) -> None:
        """The time of a watch is over: answer it without changes."""
        if watch in self.watches:
            self.watches.remove(watch)
            self._answer(*watch)

    def _answer(self, exchange: Exchange, since: int) -> None:
        full = since < 0
        servers = list(self.entries.values())
        if not full:
            servers = [entry for v in range(since + 1, self.version + 1) for entry in self.changes[v]]
        body = {"version": self.version, "full": full, "servers": servers}
        exchange.respond(200, {}, self.raw if self.raw is not None else json.dumps(body).encode())


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Settings as the platform nests them: 'any' needs 60% of its parts, 'once' is non-idempotent."""
    base = {"deadline": 2 * SECOND, "target": SECOND, "lateWorth": 0.1}
    return {
        "instances": 2, "me": 0, "az": 0, "tick": 5 * MS, "discovery": "push", "zones": ["a b", "c"],
        "kinds": ["m2"],
        "classes": [
            {"name": "any", "effect": "read_like", **base}, {"name": "all", "effect": "read_like", **base},
            {"name": "once", "effect": "non_idempotent", **base},
        ],
        "tenants": [{"name": "acme"}, {"name": "some farm"}],
        "limits": {
            "tryLimit": 4, "mayCancel": True, "mayDuplicate": False, "retryAfter": False,
            "maxRetryAfter": SECOND, "dialTimeout": 250 * MS, "idleClose": 15 * SECOND, "maxOpen": 200,
            "maxStreams": 100,
        },
        "rules": {
            "coldShare": 0.2, "rampTime": 16 * SECOND, "fallMultiple": 4, "overloadFor": 3 * SECOND,
            "drainGrace": SECOND, "countedOver": 10 * SECOND, "freeResends": 20, "repeatRatio": 1.0,
        },
        "specifics": {"places": 2, "inARow": 1, "shards": 8, "batch": 1, "needByClass": [0.6, 1, 1]},
        "report": {"how": "piggyback", "fields": ["inflight"]},
        **changes,
    }  # fmt: skip


def configuration(discovery: str, listen: str, known: Any = None, /, **more: Any) -> Configuration:
    """A configuration as a broker reads it at its start."""
    document = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **more.pop("limits", {})},
        "settings": platform_settings(**more),
    }  # fmt: skip
    return read_configuration(json.dumps(document).encode(), {"BALANCER_CONFIG": "config.json"})


class Client:
    """One connection to the broker; ``data`` is all that was received, ``ended`` why it closed, if it did."""

    def __init__(self, harness: "PlatformHarness") -> None:
        self.harness, self.data, self.ended = harness, b"", ""
        sock = socket.create_connection(("127.0.0.1", harness.port))
        self.stream = Stream(harness.loop, sock, self._data, self._end)

    def _data(self, data: bytes) -> None:
        self.data += data

    def _end(self, why: str) -> None:
        self.ended = why

    @property
    def status(self) -> int:
        """Status of the last response; 0 where there is none."""
        head = self.data.rfind(b"HTTP/1.1 ")
        return int(self.data[head + 9 : head + 12]) if head >= 0 else 0

    @property
    def answer(self) -> Any:
        return json.loads(self.data.rpartition(b"\r\n\r\n")[2])


class PlatformHarness:
    """Two sets of two nodes (set = shard modulo 2), discovery, one broker, all on one loop."""

    def __init__(
        self, make_module: Callable[[Settings, int], DecisionModule] = Aggregator, **more: Any
    ) -> None:
        self.loop = VirtualLoop()
        self.errors: list[Exception] = []
        self.loop.on_error = self.errors.append
        self.nodes = [Node(self.loop, ID % n) for n in range(4)]
        self.discovery = Discovery(self.loop)
        for number, node in enumerate(self.nodes):
            self.discovery.entries[node.name] = self.entry(number)
        self.port = free_port()
        self.config = configuration(
            f"127.0.0.1:{self.discovery.server.port}", f"127.0.0.1:{self.port}", **more
        )
        self.make_module = make_module
        self.broker = Broker(self.config, self.loop, make_module, wall_ms=lambda: self.loop.now / MS)
        self.asks = 0
        self.run(0.05)

    def restart(self, known: Any = None, **changes: Any) -> None:
        """Kill the broker and start a new one; ``changes`` replace fields of its configuration."""
        self.broker.close()
        config = replace(self.config, known=known, **changes)
        self.broker = Broker(config, self.loop, self.make_module, wall_ms=lambda: self.loop.now / MS)

    def known(self) -> TargetList:
        """The list that a restarted broker held before: all nodes serve."""
        return TargetList(1, True, [Target(**self.entry(number)) for number in range(4)])

    def phase(self, number: int) -> Phase | None:
        """The phase of a node in the broker's list; None where it is not listed."""
        listed = self.broker.targets.nodes.get(self.nodes[number].name.encode())
        return None if listed is None else listed.phase

    def entry(self, number: int, state: str = "SERVING", **more: Any) -> dict[str, Any]:
        node = self.nodes[number]
        base = {"id": node.name, "addr": node.address, "zone": "a b", "kind": "m2", "cell": number % 2}
        return {**base, "state": state, "weight": 1.0, "started_ms": 0, **more}

    def run(self, seconds: float) -> None:
        end = self.loop.at + int(seconds * SECOND)
        while self.loop.at < end:
            self.loop.turn((end - self.loop.at) / 1e9)

    def request(self, kind: str = "all", shards: tuple[int, ...] = (0, 1), **change: Any) -> bytes:
        """The bytes of a request; ``change`` replaces headers (None leaves one out), ``body`` the body."""
        self.asks += 1
        ranges = [{"range": shard, "portion": 1 / len(shards)} for shard in shards]
        body: bytes = change.pop("body", json.dumps({"ranges": ranges, "predicate": "c41e77d0"}).encode())
        path = change.pop("path", f"/{kind}")
        headers = {
            "Host": "api", "Req-Id": f"q{self.asks}", "Req-Kind": kind, "Req-Owner": "acme",
            "Req-Deadline-Ms": "1500", "Content-Length": str(len(body)),
        }  # fmt: skip
        headers |= {name.replace("_", "-"): value for name, value in change.items()}
        lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
        return "\r\n".join([f"POST {path} HTTP/1.1", *lines, "", ""]).encode("latin-1") + body

    def ask(self, *args: Any, seconds: float = 3.0, **change: Any) -> Client:
        """One request over a connection of its own, until it is answered."""
        client = Client(self)
        client.stream.write(self.request(*args, **change))
        self.run_until(lambda: client.status > 0 or bool(client.ended), seconds)
        return client

    def run_until(self, done: Callable[[], bool], seconds: float = 3.0) -> bool:
        end = self.loop.at + int(seconds * SECOND)
        while not done() and self.loop.at < end:
            self.loop.turn((end - self.loop.at) / 1e9)
        return done()

    def set_behavior(self, behavior: str, numbers: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        """Set the default behavior of nodes."""
        for number in numbers:
            self.nodes[number].default_behavior = behavior

    def received(self) -> list[tuple[str, int]]:
        return [one for node in self.nodes for one in node.received]
