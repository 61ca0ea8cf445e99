"""NodePool and discovery of the operators' platform on loopback, one broker between them, in virtual time.

A node does what ``acts`` says of a part, by what is first in its list: the name of an act below, or ``good``.
"""

import json
import random
import socket
import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from quincepath.broker.driver import DecisionModule
from quincepath.interface import Phase, Settings
from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.http1 import Limits
from quincepath.net.loop import Loop
from quincepath.net.server import Exchange, HttpServer, Timeouts
from quincepath.net.stream import Listener, Stream
from quincepath.platform.config import Configuration, read_configuration
from quincepath.platform.service import Broker
from quincepath.platform.targets import Target, TargetList
from quincepath.policy import Aggregator

MS = 1_000_000
SECOND = 1000 * MS
WORK = 5 * MS
TIMES = Timeouts(60 * SECOND, 60 * SECOND, 60 * SECOND)
ID = "s-%08x"
PORTS = random.SystemRandom()  # not the same for tests that run side by side


def frame(letter: bytes, rest: bytes) -> bytes:
    return struct.pack("<I", 1 + len(rest)) + letter + rest


def value_of(part: str, text: str) -> str:
    return f"{part}|{text}"


class Node:
    """One node. ``seen`` holds (part id, shard) of each attempt, ``dropped`` the ids given up."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name = loop, name
        self.listener = Listener(loop, "127.0.0.1", 0, self._accept, lambda: 0, 1000)
        self.acts: list[str] = []
        self.always = "good"
        self.seen: list[tuple[str, int]] = []
        self.dropped: list[str] = []
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
                self.dropped.append(rest.decode())
                continue
            while rest:
                line, _, rest = rest.partition(b"\n")
                part, shard, wait, length = line.decode().split(" ")
                text, rest = rest[: int(length)], rest[int(length) :]
                assert wait.startswith("d=") and int(length) == len(text)
                self.seen.append((part, int(shard)))
                act = self.acts.pop(0) if self.acts else self.always
                self.loop.call_in(WORK, self._later(stream, act, part, text.decode()))

    def _later(self, stream: Stream, act: str, part: str, text: str) -> Callable[[], None]:
        def reply() -> None:
            value = value_of(part, text).encode()
            good = frame(b"q", part.encode() + b" good 7 inflight=3\n" + value)
            match act:
                case "good":
                    stream.write(good)
                case "bad" | "later":
                    stream.write(frame(b"q", f"{part} {act} 0 -\n".encode()))
                case "reset":
                    stream.close(reset=True)
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
                case "and noise":
                    stream.write(good + b"\0\0\0\0\0\0")
                case "report":
                    stream.write(frame(b"q", part.encode() + b" good 7 \xff=,,\n" + value))
                case "complaint":
                    stream.write(frame(b"r", b"no such letter"))
                case "late":
                    self.loop.call_in(3 * SECOND, lambda: stream.write(good))
                case "silent":
                    pass
                case _:
                    raise AssertionError(act)

        return reply


class Discovery:
    """The agent on the broker's machine: whole lists and watches."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: dict[int, list[dict[str, Any]]] = defaultdict(list)
        self.waiting: list[tuple[Exchange, int]] = []
        self.silent = False
        self.half = False  # answers begin, and never go on
        self.raw: bytes | None = None
        self.on_ask: Callable[[], None] = lambda: None
        self.asked: list[str] = []
        self.server = HttpServer(loop, "127.0.0.1", 0, self._request, Limits(), TIMES, 100)

    def tell(self, *entries: dict[str, Any]) -> None:
        """Changes, told to whoever watches."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changes[self.version].append(entry)
            if entry["state"] == "DELETED":
                del self.entries[entry["id"]]
        waiting, self.waiting = self.waiting, []
        for exchange, since in waiting:
            self._answer(exchange, since)

    def _request(self, exchange: Exchange) -> None:
        target = exchange.request.target
        self.asked.append(target)
        self.on_ask()
        if self.half:
            exchange.connection.stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{")
        if self.silent or self.half:
            return
        since = int(target.partition("since=")[2].partition("&")[0] or -1)
        if since == self.version and self.raw is None:
            self.waiting.append(waits := (exchange, since))
            wait = int(target.partition("timeout_ms=")[2]) * MS
            self.loop.call_in(wait, lambda: self._over(waits))
        else:
            self._answer(exchange, since)

    def _over(self, waits: tuple[Exchange, int]) -> None:
        """A watch's wait is over: it is told that nothing has changed."""
        if waits in self.waiting:
            self.waiting.remove(waits)
            self._answer(*waits)

    def _answer(self, exchange: Exchange, since: int) -> None:
        full = since < 0
        told = list(self.entries.values())
        if not full:
            told = [entry for v in range(since + 1, self.version + 1) for entry in self.changes[v]]
        body = {"version": self.version, "full": full, "servers": told}
        exchange.respond(200, {}, self.raw if self.raw is not None else json.dumps(body).encode())


def site(**changes: Any) -> dict[str, Any]:
    """Settings as the platform nests them: 'any' needs 60%, 'all' everything, 'once' must not run twice."""
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
    """As a broker reads it at its start."""
    told = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "known": known,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **more.pop("limits", {})},
        "settings": site(**more),
    }  # fmt: skip
    return read_configuration(json.dumps(told).encode(), {"BALANCER_CONFIG": "config.json"})


def free_port() -> int:
    """Below the range from which the system picks ports of outgoing connections: else one of those, of a test
    beside this, may hold it by the time the broker listens."""
    while True:
        try:
            with socket.create_server(("127.0.0.1", PORTS.randrange(20_000, 32_000))) as probe:
                return int(probe.getsockname()[1])
        except OSError:  # taken
            continue


class Client:
    """One connection to the broker; ``got`` is all that came back, ``ended`` whether the broker closed."""

    def __init__(self, world: "World") -> None:
        self.world, self.got, self.ended = world, b"", ""
        sock = socket.create_connection(("127.0.0.1", world.port))
        self.stream = Stream(world.loop, sock, self._data, self._end)

    def _data(self, data: bytes) -> None:
        self.got += data

    def _end(self, why: str) -> None:
        self.ended = why

    @property
    def status(self) -> int:
        """Of the last answer; 0 where there is none."""
        head = self.got.rfind(b"HTTP/1.1 ")
        return int(self.got[head + 9 : head + 12]) if head >= 0 else 0

    @property
    def answer(self) -> Any:
        return json.loads(self.got.rpartition(b"\r\n\r\n")[2])


class World:
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
        """The broker is killed and started anew; ``changes`` replace fields of its configuration."""
        self.broker.close()
        config = replace(self.config, known=known, **changes)
        self.broker = Broker(config, self.loop, self.make_module, wall_ms=lambda: self.loop.now / MS)

    def known(self) -> TargetList:
        """The list as a broker that starts is told that it last held it: all nodes serve."""
        return TargetList(1, True, [Target(**self.entry(number)) for number in range(4)])

    def phase(self, number: int) -> Phase | None:
        """What the broker holds of a node; None where it is gone."""
        known = self.broker.targets.nodes.get(self.nodes[number].name.encode())
        return None if known is None else known.phase

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

    def ask(self, *words: Any, seconds: float = 3.0, **change: Any) -> Client:
        """One request over a connection of its own, until it is answered."""
        client = Client(self)
        client.stream.write(self.request(*words, **change))
        self.until(lambda: client.status > 0 or bool(client.ended), seconds)
        return client

    def until(self, done: Callable[[], bool], seconds: float = 3.0) -> bool:
        end = self.loop.at + int(seconds * SECOND)
        while not done() and self.loop.at < end:
            self.loop.turn((end - self.loop.at) / 1e9)
        return done()

    def acts(self, act: str, numbers: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        """What nodes do from now on."""
        for number in numbers:
            self.nodes[number].always = act

    def seen(self) -> list[tuple[str, int]]:
        return [one for node in self.nodes for one in node.seen]
