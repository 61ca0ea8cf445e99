"""Worlds around a broker with nodes whose replies are faulty (``surplus_nodes``), and a player for them.

``python -m tests.standins.surplus --seconds 60 --seed 1`` plays a longer run with a chosen share of faults
and prints what clients were served and which attempts began after a good reply to the same part was sent.
"""

import argparse
import json
import random
import signal
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quincepath.lab.virtual_loop import VirtualLoop
from quincepath.net.http1 import request_bytes
from quincepath.net.loop import Loop
from quincepath.net.stream import Stream
from quincepath.platform.config import read_configuration
from quincepath.platform.service import Broker
from tests.standins.platform import MS, SECOND, Discovery, platform_settings
from tests.standins.ports import free_port
from tests.standins.surplus_nodes import TAILS, Mix, PartRecord, Plan, SurplusNode, value_of
from tests.test_deploy import MODULE, BrokerProcess

TARGET_NS, DEADLINE_FACTOR = 127 * MS, 3
NODES, SETS, SHARDS, PARTS = 9, 3, 24, 4
HEADERS = {"Req-Kind": "history", "Req-Owner": "acme"}


class SurplusProcess(BrokerProcess):
    """A broker process whose list names the nodes of a world; ``log`` is what it has written."""

    def __init__(self, folder: Path, document: Callable[[int], dict[str, Any]]) -> None:
        self._document = document
        self.log: list[str] = []
        super().__init__(folder, sys.executable, "-m", MODULE)
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self) -> None:
        """Keep the pipe empty: a full one would stop the process."""
        assert self.popen.stderr is not None
        with suppress(ValueError):  # closed at the end
            for line in self.popen.stderr:
                self.log.append(line)

    def write(self, discovery: str) -> None:
        self.file.write_text(json.dumps(self._document(self.port)))


@dataclass
class Tally:
    """What clients got."""

    asked: int = 0
    served: int = 0
    wrong: int = 0


class World:
    """Nodes, discovery and clients on one loop, around a broker that a subclass starts at ``port``."""

    port = 0

    def __init__(self, loop: Loop, plan: Plan, lengths: range, target: int) -> None:
        self.loop, self.records, self.lengths = loop, dict[str, PartRecord](), lengths
        self.target = target
        self.nodes = [
            SurplusNode(self.loop, f"s-{number:08x}", plan, self.records, lengths) for number in range(NODES)
        ]
        self.discovery = Discovery(self.loop)
        self.discovery.entries = {node.name: self._entry(number) for number, node in enumerate(self.nodes)}
        self.tally = Tally()

    def _entry(self, number: int) -> dict[str, Any]:
        node = self.nodes[number]
        return {
            "id": node.name, "addr": node.address, "zone": "a b", "kind": "m2", "cell": number % SETS,
            "state": "SERVING", "weight": 1.0, "started_ms": 0,
        }  # fmt: skip

    def _configuration(self, port: int) -> dict[str, Any]:
        base = platform_settings()
        times = {"deadline": DEADLINE_FACTOR * self.target, "target": self.target, "lateWorth": 0.1}
        settings = platform_settings(
            classes=[{"name": "history", "effect": "read_like", **times}],
            specifics={"places": SETS, "inARow": 1, "shards": SHARDS, "batch": 1, "needByClass": [1]},
            rules={**base["rules"], "freeResends": 500},
        )
        known = {"version": 1, "full": True, "servers": list(self.discovery.entries.values())}
        agent = f"127.0.0.1:{self.discovery.server.port}"
        return {
            "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": agent, "seed": "8c1f30d27a5be964",
            "known": known, "settings": settings, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        }  # fmt: skip

    def run_until(self, done: Callable[[], bool], seconds: float) -> None:
        """Serve nodes and discovery until ``done``."""
        end = self.loop.clock() + int(seconds * SECOND)
        while not done():
            assert self.loop.clock() < end, "nothing came in time"
            self.loop.turn(0.02)

    def connect(self) -> "SurplusClient":
        """A client with a connection of its own."""
        return SurplusClient(self)

    def late_attempts(self) -> int:
        """Attempts that began too long after a good reply to the same part."""
        return sum(record.late() for record in self.records.values())

    def attempts(self) -> Counter[int]:
        """How many parts had so many attempts."""
        return Counter(len(record.begun) for record in self.records.values())


class ProcessWorld(World):
    """Around a broker process, in real time."""

    def __init__(
        self, folder: Path, plan: Plan, lengths: range = range(16, 17), target: int = TARGET_NS
    ) -> None:
        super().__init__(Loop(), plan, lengths, target)
        self.process = SurplusProcess(folder, self._configuration)
        self.port = self.process.port
        self._ended = threading.Event()

    def start(self) -> None:
        """Return when the broker is ready; discovery and nodes are served meanwhile."""
        self.run_until(self._accepts, 30)

    def _accepts(self) -> bool:
        try:
            socket.create_connection(("127.0.0.1", self.port), 1).close()
        except OSError:
            return False
        return True

    def hold_up(self, seconds: float, seed: int) -> None:
        """Stop the process now and then, for up to so long, until it ends."""
        draw = random.Random(seed)
        while not self._ended.wait(draw.uniform(0.2, 0.6)):
            self.process.popen.send_signal(signal.SIGSTOP)
            time.sleep(draw.uniform(0.02, seconds))
            self.process.popen.send_signal(signal.SIGCONT)

    def end(self) -> None:
        """End the process."""
        self._ended.set()
        self.process.end()


class VirtualWorld(World):
    """Around a broker on the same loop, in virtual time."""

    def __init__(self, plan: Plan, lengths: range = range(16, 17), target: int = TARGET_NS) -> None:
        loop = VirtualLoop()
        super().__init__(loop, plan, lengths, target)
        self.port = free_port()
        document = json.dumps(self._configuration(self.port)).encode()
        config = read_configuration(document, {"BALANCER_CONFIG": "config.json"})
        self.broker = Broker(config, loop, wall_ms=lambda: loop.now / MS)


class SurplusClient:
    """Asks one query after another; ``name`` is the id of the last one."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.data = b""
        self.name = ""
        sock = socket.create_connection(("127.0.0.1", world.port))
        self.stream = Stream(world.loop, sock, self._on_data, lambda why: None)

    def _on_data(self, data: bytes) -> None:
        self.data += data

    def send(self, name: str, shards: list[int]) -> None:
        """Send one query."""
        deadline_ms = DEADLINE_FACTOR * self.world.target // MS
        self.name, self.data = name, b""
        ranges = [{"range": shard, "portion": 1 / len(shards)} for shard in shards]
        body = json.dumps({"ranges": ranges, "predicate": "c41e77d0"}).encode()
        headers = {**HEADERS, "Req-Id": name, "Req-Deadline-Ms": str(deadline_ms)}
        self.stream.write(request_bytes("POST", "/history", "x", headers, body))
        self.world.tally.asked += 1

    def answered(self) -> bool:
        """Whether the whole answer is there; counts it."""
        head, separator, body = self.data.partition(b"\r\n\r\n")
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")), 0
        )
        if not separator or len(body) < length:
            return False
        if head.startswith(b"HTTP/1.1 200"):
            self.world.tally.served += 1
            self.world.tally.wrong += sum(
                answer["blob"] != value_of(f"{self.name}.{answer['range']}", self.world.lengths)
                for answer in json.loads(body)["answers"]
            )
        self.data = b""
        return True

    def ask(self, name: str, shards: list[int]) -> None:
        """Send one query and wait for its answer."""
        self.send(name, shards)
        self.world.run_until(self.answered, 30)


def play(world: World, seconds: float, clients: int, seed: int) -> None:
    """Usual clients ask one query after another."""
    draw = random.Random(seed)
    number = 0
    open_clients = [world.connect() for _ in range(clients)]
    end = world.loop.clock() + int(seconds * SECOND)
    waiting = set[SurplusClient]()
    while world.loop.clock() < end or waiting:
        for client in open_clients:
            if client in waiting and client.answered():
                waiting.discard(client)
            if client not in waiting and world.loop.clock() < end:
                number += 1
                client.send(f"q{number:08d}", draw.sample(range(SHARDS), PARTS))
                waiting.add(client)
        world.loop.turn(0.01)


def explain(world: ProcessWorld) -> None:
    """Print the times of parts with late attempts (ms after the first), and the broker's lines about them."""
    for part, record in world.records.items():
        if not record.late() or record.answered is None:
            continue
        name, _, shard = part.partition(".")
        begun = [(at - record.begun[0]) // MS for at in record.begun]
        print(part, "begun", begun, "answered", (record.answered - record.begun[0]) // MS)
        for line in world.process.log:
            if f"query={name} " in line and ("shard=" not in line or f"shard={shard} " in line):
                print("   ", line.rstrip())


def main() -> None:
    """Play one run and print its figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seconds", type=float, default=7.0)
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tail", choices=list(TAILS), default="one printable")
    parser.add_argument("--share", type=float, default=0.5)
    parser.add_argument("--spoilt", type=float, default=0.0)
    parser.add_argument("--slow", type=float, default=0.0)
    parser.add_argument("--pieces", type=float, default=0.0)
    parser.add_argument(
        "--hold-up", type=float, default=0.0, help="stop the broker for so many seconds at most"
    )
    parser.add_argument("--by-attempt", action="store_true", help="draw anew for each attempt")
    parser.add_argument("--explain", action="store_true", help="print the log of queries with late attempts")
    parser.add_argument("--lengths", type=int, nargs=2, default=(16, 16))
    words = parser.parse_args()
    mix = Mix(words.seed, words.share, words.tail, words.spoilt, words.by_attempt, words.slow, words.pieces)
    with tempfile.TemporaryDirectory() as folder:
        world = ProcessWorld(Path(folder), mix.plan(), range(words.lengths[0], words.lengths[1] + 1))
        try:
            world.start()
            if words.hold_up:
                threading.Thread(target=world.hold_up, args=(words.hold_up, words.seed), daemon=True).start()
            play(world, words.seconds, words.clients, words.seed)
        finally:
            world.end()
    tally = world.tally
    if words.explain:
        explain(world)
    print(
        f"{mix}, lengths {words.lengths}: "
        f"served {tally.served} of {tally.asked}, wrong {tally.wrong}, late {world.late_attempts()}, "
        f"parts by attempts {dict(sorted(world.attempts().items()))}"
    )


if __name__ == "__main__":
    main()
