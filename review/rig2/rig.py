"""Stand-ins of the second review: platform, discovery, nodes and clients, standard library only, on loopback.

They follow PROTOCOL.md and DEPLOY.md. What a case needs beyond that is a behaviour that it sets itself.
"""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000
SECOND = 1000 * MS
SCRIPT_SECONDS = 110.0  # a script ends by itself after this time
TAKEN_PORTS: set[int] = set()


def free_port() -> int:
    """A free port below the range that the system hands out to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(20_000, 32_000)
        if port in TAKEN_PORTS:
            continue
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        TAKEN_PORTS.add(port)
        return port


class Record:
    """``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")
        self.file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, with the figures of rio-cobre-water where that site states them."""
    base: dict[str, Any] = {
        "instances": 1,
        "me": 0,
        "az": 0,
        "tick": 5 * MS,
        "discovery": "push",
        "zones": ["bog-walk"],
        "kinds": ["two-core-std"],
        "classes": [
            query_class("meter-history", 2000, 6000),
            query_class("usage-summary", 2500, 7500),
            query_class("gate-order", 2000, 4000, effect="non_idempotent"),
        ],
        "tenants": [{"name": "rio-cobre-growers", "share": 1.0}],
        "limits": {
            "tryLimit": 4,
            "mayCancel": True,
            "mayDuplicate": False,
            "retryAfter": False,
            "probes": False,
            "maxRetryAfter": SECOND,
            "dialTimeout": 250 * MS,
            "idleClose": 15 * SECOND,
            "maxOpen": 400,
            "maxStreams": 100,
        },
        "rules": {
            "coldShare": 0.2,
            "rampTime": 16 * SECOND,
            "fallMultiple": 4,
            "overloadFor": 3 * SECOND,
            "drainGrace": SECOND,
            "countedOver": 10 * SECOND,
            "freeResends": 5,
            "repeatRatio": 0.2,
            "graceToAnswer": 20 * MS,
        },
        "specifics": {
            "places": 2,
            "inARow": 1,
            "shards": 8,
            "batch": 1,
            "perCallWork": 0,
            "needByClass": [1.0, 0.6, 1.0],
            "classFloor": [1.0, 0.6, 1.0],
            "secondStep": [0, 0, 0],
        },
        "report": {"how": "piggyback", "fields": ["inflight"]},
    }
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def query_class(name: str, aim_ms: int, deadline_ms: int, effect: str = "read_like") -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "target": aim_ms * MS,
        "deadline": deadline_ms * MS,
        "lateWorth": 0.1,
        "group": "all",
    }


def frame(letter: bytes, rest: bytes) -> bytes:
    """A frame as nodes and brokers send it."""
    return struct.pack("<I", 1 + len(rest)) + letter + rest


def value_of(part: str, text: str) -> str:
    """The value that a node makes for a part: 16 hex digits."""
    return f"{random.Random(f'{part}|{text}').getrandbits(64):016x}"


class Part:
    """One part as it arrived at a node."""

    def __init__(self, node: "Node", writer: asyncio.StreamWriter, fields: list[str], text: str) -> None:
        self.node, self.writer, self.text = node, writer, text
        self.id, self.shard, self.wait_ms = fields[0], int(fields[1]), int(fields[2].partition("d=")[2])
        self.at = time.monotonic()
        self.value = value_of(self.id, text)

    def reply(self, status: str = "good", value: str | None = None, length_error: int = 0) -> None:
        """Answer; ``length_error`` is added to the length that the frame declares."""
        sent = self.value if value is None else value
        body = sent if status == "good" else ""
        rest = f"{self.id} {status} 1840277719 inflight=1\n{body}".encode()
        if not self.writer.is_closing():
            self.writer.write(struct.pack("<I", 1 + len(rest) + length_error) + b"q" + rest)
        self.node.record(f"{self.node.id} answers {self.id} {status} {body} length_error={length_error}")


class Node:
    """A storage node. ``on_part`` decides about each part; the default answers it after ``work`` seconds."""

    def __init__(self, id: str, cell: int, record: Record, work: float = 0.02) -> None:
        self.id, self.cell, self.record, self.work = id, cell, record, work
        self.state, self.started_ms = "SERVING", 0
        self.parts: list[Part] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_part: Callable[[Part], None] = self.serve
        self.port = 0
        self.log_parts = True

    async def start(self) -> None:
        """Listen."""
        self.port = free_port()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port, backlog=512)

    def entry(self) -> dict[str, Any]:
        """The node as discovery lists it."""
        return {
            "id": self.id, "addr": f"127.0.0.1:{self.port}", "zone": "bog-walk", "kind": "two-core-std",
            "cell": self.cell, "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
        }  # fmt: skip

    def serve(self, part: Part) -> None:
        """Answer a part after the usual work."""
        asyncio.get_running_loop().call_later(self.work, part.reply)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                size = struct.unpack("<I", await reader.readexactly(4))[0]
                data = await reader.readexactly(size)
                letter, rest = data[:1], data[1:]
                if letter == b"n":
                    self.record(f"{self.id} told that {rest.decode()} is given up")
                while letter == b"m" and rest:
                    line, _, rest = rest.partition(b"\n")
                    fields = line.decode().split(" ")
                    part = Part(self, writer, fields, rest[: int(fields[3])].decode())
                    rest = rest[int(fields[3]) :]
                    self.parts.append(part)
                    if self.log_parts:
                        self.record(f"{self.id} got {part.id} d={part.wait_ms}")
                    self.on_part(part)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers of an HTTP message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


class Agent:
    """Discovery at one address: whole lists and watches; ``delay``: seconds before it answers a call."""

    def __init__(self, nodes: list[Node], record: Record, version: int = 41) -> None:
        self.nodes, self.record, self.version = nodes, record, version
        self.delay = 0.0
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.told: dict[int, float] = {}  # when a version was first written to the broker
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a new address."""
        self.port = free_port()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)

    def publish(self, *nodes: Node) -> None:
        """The state of these nodes changed."""
        self.version += 1
        for node in nodes:
            self.changes.append((self.version, node.entry()))
            self.record(f"discovery: version {self.version}, {node.id} is {node.state}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        servers = [node.entry() for node in self.nodes if node.state != "DELETED"]
        return {"version": self.version, "full": True, "servers": servers}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, _ = await read_head(reader)
                target = line.split(" ")[1]
                self.record(f"discovery at {self.port} is asked for {target}")
                await asyncio.sleep(self.delay)
                document = await self._answer(target)
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.told.setdefault(document["version"], time.monotonic())
                self.record(f"discovery at {self.port} answers with version {document['version']}")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(pair.partition("=")[::2] for pair in target.partition("?")[2].split("&"))
        if "since" not in query:
            return self.whole()
        since = int(query["since"])
        if since >= self.version:
            try:
                await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1000)
            except TimeoutError:
                pass
        servers = [entry for version, entry in self.changes if version > since]
        return {"version": self.version, "full": False, "servers": servers}


class Platform:
    """Starts one broker by the deploy file's ``run`` and watches its memory as the platform does."""

    def __init__(self, record: Record, site: dict[str, Any], agent: Agent, **limits: Any) -> None:
        self.record, self.agent, self.site = record, agent, site
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        self.folder = Path(tempfile.mkdtemp(prefix="quincepath-review-"))
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.peak_kb = 0

    def write_config(self, agent: Agent) -> None:
        """Write the configuration file, whole, by a rename."""
        document = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
            "seed": f"{random.SystemRandom().getrandbits(64):016x}", "limits": self.limits,
            "known": self.agent.whole(), "settings": self.site,
        }  # fmt: skip
        (self.folder / "config.new").write_text(json.dumps(document))
        os.replace(self.folder / "config.new", self.folder / "config.json")

    async def start(self) -> None:
        """Start the broker; returns when it is ready."""
        self.write_config(self.agent)
        temporary = self.folder / "tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ, "BALANCER_NAME": "n0", "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_DISCOVERY": f"127.0.0.1:{self.agent.port}", "TMPDIR": str(temporary),
            "BALANCER_CONFIG": str(self.folder / "config.json"), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=self.limit_descriptors,
            )  # fmt: skip
        self.record(f"broker started, pid {self.process.pid}")
        for _ in range(300):
            if (await status(self.port)) == 200:
                self.record("broker is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the broker was not ready within 30 s")

    def limit_descriptors(self) -> None:
        """Limit what the new process may hold, as the platform does."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        count = self.limits["sockets"]
        count = count if hard == resource.RLIM_INFINITY else min(count, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))

    def alive(self) -> bool:
        """Whether the broker runs."""
        return self.process is not None and self.process.poll() is None

    def hangup(self) -> None:
        """Send SIGHUP."""
        assert self.process is not None
        self.record("SIGHUP")
        self.process.send_signal(signal.SIGHUP)

    def memory_kb(self) -> int:
        """The resident size of the broker, without files; 0 once it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        sizes = dict(line.partition(":")[::2] for line in text.splitlines())
        size = int(sizes.get("RssAnon", sizes.get("VmRSS", "0 kB")).split()[0])
        self.peak_kb = max(self.peak_kb, size)
        return size

    def end(self) -> None:
        """End the broker and remove its folder; its log goes to the record."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.record("the broker's log:")
            for line in (self.folder / "log.txt").read_text(errors="replace").splitlines()[-60:]:
                self.record(f"  {line[:400]}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def status(port: int, path: str = "/-/ready") -> int:
    """The status of a GET request; 0 where there is no answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".encode())
        line, _ = await asyncio.wait_for(read_head(reader), 5)
        return int(line.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0
    finally:
        writer.close()


class CannotRun(Exception):
    """The case could not run."""


class Answer:
    """What a usual client got: ``status`` 0 where nothing came in time or the connection ended."""

    def __init__(self, id: str, shards: list[int], text: str, sent: float, deadline: float) -> None:
        self.id, self.shards, self.text, self.sent, self.deadline = id, shards, text, sent, deadline
        self.status, self.body, self.took = 0, b"", 0.0

    def wrong_values(self) -> list[str]:
        """The values in the answer that no node made for this request."""
        if self.status != 200:
            return []
        return [
            self._wrong(item)
            for item in json.loads(self.body)["answers"]
            if item["blob"] != value_of(f"{self.id}.{item['range']}", self.text)
        ]

    def _wrong(self, item: dict[str, Any]) -> str:
        made = value_of(f"{self.id}.{item['range']}", self.text)
        return f"{self.id} range {item['range']}: {item['blob']!r} was served, {made!r} was made"


def request_bytes(
    id: str, shards: list[int], text: str, deadline_ms: int, kind: str, more: str = ""
) -> bytes:
    """A usual client's request."""
    portion = 1 / len(shards)
    body = json.dumps(
        {"ranges": [{"range": shard, "portion": portion} for shard in shards], "predicate": text}
    ).encode()
    head = (
        f"POST /{kind} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n"
        f"Req-Owner: rio-cobre-growers\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n{more}\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Status and body of one answer with a length."""
    line, headers = await read_head(reader)
    return int(line.split(" ")[1]), await reader.readexactly(int(headers["content-length"]))


class Client:
    """A usual client: one connection that it keeps, one request at a time.

    If the connection ends before a byte of an answer, the request is sent once more over a new one, as the
    protocol page says.
    """

    def __init__(self, port: int, record: Record, name: str) -> None:
        self.port, self.record, self.name = port, record, name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self, shards: list[int], deadline_ms: int, kind: str = "meter-history", patience: float = 3.0
    ) -> Answer:
        """Send one request and wait for its answer, ``patience`` seconds past its time at most."""
        id = f"{random.SystemRandom().getrandbits(64):016x}"
        text = f"{random.SystemRandom().getrandbits(32):08x}"
        data = request_bytes(id, shards, text, deadline_ms, kind)
        answer = Answer(id, shards, text, time.monotonic(), deadline_ms / 1000)
        self.record(f"{self.name} sends {id} {kind} ranges {shards} deadline {deadline_ms} ms")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + patience):
                for _ in range(2):
                    try:
                        if self.writer is None or self.writer.is_closing():
                            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                        assert self.reader is not None
                        self.writer.write(data)
                        answer.sent = time.monotonic()
                        answer.status, answer.body = await read_answer(self.reader)
                        break
                    except (OSError, asyncio.IncompleteReadError):
                        self.close()
        except TimeoutError:
            self.close()
        answer.took = time.monotonic() - answer.sent
        self.record(
            f"{self.name} got {answer.status} for {id} after {answer.took:.3f} s "
            f"{answer.body[:200].decode()!r}"
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


Case = Callable[[Record, bool], Coroutine[Any, Any, list[str]]]


def main(case: Case, script: str) -> None:
    """Run a case: exit 1 with what was broken, 0 if the rule held, 2 if it could not run."""
    record = Record(Path(script).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def bounded() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # the case still ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(SCRIPT_SECONDS):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    if not broken:
        record("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
