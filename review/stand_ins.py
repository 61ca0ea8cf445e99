"""Stand-ins for the cases: the platform that starts a broker, its discovery, its nodes, and clients.

Only loopback addresses. All of it runs in one asyncio process; the broker is a process of its own, started by
the ``run`` line of ``deploy/balancer.toml``.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HARD_LIMIT_S = 110  # a case may run for 120 s


class Unusable(Exception):
    """The case could not run; its script exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def line(self, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {what}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self._file.close()


def value_of(part: str, text: bytes) -> str:
    """The value that a sound node gives for a part of a query."""
    return hashlib.blake2s(part.encode() + b"\n" + text, digest_size=8).hexdigest()


def reply_line(part: str, end: str, inflight: int, value: str) -> bytes:
    """An answer without its length and letter."""
    return f"{part} {end} 1840277719 active={inflight}\n{value}".encode()


class Node:
    """A node: answers each part after ``work`` seconds, in any order, and records what arrives."""

    def __init__(self, record: Record, name: str, cell: int, work: float) -> None:
        self.record, self.name, self.cell, self.work = record, name, cell, work
        self.state = "SERVING"
        self.arrived: list[tuple[float, str, int]] = []  # when, id, and the d that the part told
        self.inflight = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """The node as discovery tells it."""
        return {
            "id": self.name, "addr": f"{HOST}:{self.port}", "zone": "a", "kind": "two-core-std",
            "cell": self.cell, "state": self.state, "weight": 1.0, "started_ms": 0,
        }  # fmt: skip

    def frame_of(self, part: str, end: str, value: str, others_wait: bool) -> bytes:
        """One answer; ``others_wait``: further parts wait on the same connection."""
        line = reply_line(part, end, self.inflight, value)
        return struct.pack("<I", 1 + len(line)) + b"q" + line

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting: set[str] = set()  # parts of this connection that are neither answered nor given up
        try:
            while True:
                size = struct.unpack("<I", await reader.readexactly(4))[0]
                frame = await reader.readexactly(size)
                if frame[:1] == b"n":
                    waiting.discard(frame[1:].decode())
                elif frame[:1] == b"m":
                    rest = frame[1:]
                    while rest:
                        line, _, rest = rest.partition(b"\n")
                        part, shard, options, length = line.decode().split(" ")
                        text, rest = rest[: int(length)], rest[int(length) :]
                        wait = int(options.partition("d=")[2].split(",")[0])
                        self.arrived.append((self.record.now(), part, wait))
                        self.record.line(f"node {self.name} part {part} shard={shard} d={wait}")
                        waiting.add(part)
                        task = asyncio.create_task(self._work(writer, waiting, part, text))
                        self._tasks.add(task)
                        task.add_done_callback(self._tasks.discard)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _work(self, writer: asyncio.StreamWriter, waiting: set[str], part: str, text: bytes) -> None:
        end, value = "later", ""  # a node that drains accepts nothing new
        if self.state != "DRAINING":
            self.inflight += 1
            await asyncio.sleep(self.work)
            self.inflight -= 1
            end, value = "good", value_of(part, text)
        if part not in waiting or writer.is_closing():
            return
        waiting.discard(part)
        writer.write(self.frame_of(part, end, value, bool(waiting)))
        with contextlib.suppress(OSError):
            await writer.drain()

    def close(self) -> None:
        """Stop listening; end all work."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()


class Discovery:
    """Discovery: whole lists and watches. ``delay`` is how many seconds each answer takes."""

    def __init__(self, record: Record, nodes: list[Node]) -> None:
        self.record, self.nodes = record, nodes
        self.version = 41
        self.delay = 0.0
        self.port = 0
        self.answers = 0
        self._changes: list[tuple[int, Node]] = []
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def change(self, node: Node, state: str) -> None:
        """A node changes its state: from now on discovery has it."""
        node.state = state
        self.version += 1
        self._changes.append((self.version, node))
        self.record.line(f"discovery has version {self.version}: {node.name} {state}")
        async with self._news:
            self._news.notify_all()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        entries = [node.entry() for node in self.nodes if node.state != "DELETED"]
        return {"version": self.version, "full": True, "servers": entries}

    async def _answer(self, target: str) -> dict[str, Any]:
        query = target.partition("?")[2]
        told = dict(item.split("=") for item in query.split("&") if item)
        if "since" not in told:
            return self.whole()
        since = int(told["since"])
        with contextlib.suppress(asyncio.TimeoutError):
            async with self._news:
                wait = min(int(told["timeout_ms"]), 60_000) / 1000
                await asyncio.wait_for(self._news.wait_for(lambda: self.version > since), wait)
        named = {node.name: node for version, node in self._changes if version > since}
        entries = [node.entry() for node in named.values()]
        return {"version": self.version, "full": False, "servers": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ")[1]
                self.record.line(f"discovery call {target}")
                answer = await self._answer(target)
                await asyncio.sleep(self.delay)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )  # fmt: skip
                await writer.drain()
                self.answers += 1
                self.record.line(f"discovery answered {target} with version {answer['version']}")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Settings in the form of the platform, with figures of the deployment rio-cobre-water."""
    second = 1000 * MS
    found: dict[str, Any] = {
        "instances": 1, "me": 0, "az": 0, "tick": 5 * MS, "discovery": "push", "zones": ["a"],
        "kinds": ["two-core-std"], "family": "fanout", "worthBy": "request", "overShareWorth": 0.1,
        "classes": [
            {
                "name": "meter-history", "effect": "read_like", "target": 2 * second, "deadline": 6 * second,
                "lateWorth": 0.1, "points": 1.0, "group": "all", "streaming": False, "window": 5 * second,
            },
            {
                "name": "gate-order", "effect": "non_idempotent", "target": 2 * second,
                "deadline": 4 * second, "lateWorth": 0.3, "points": 1.0, "group": "all", "streaming": False,
                "window": 5 * second,
            },
        ],
        "tenants": [{"name": "rio-cobre-growers", "share": 1.0, "allowancePerS": 100.0}],
        "clients": {"marksRetry": False},
        "limits": {
            "tryLimit": 4, "mayCancel": True, "mayDuplicate": False, "retryAfter": True, "probes": False,
            "peers": False, "maxRetryAfter": second, "dialTimeout": 250 * MS, "idleClose": 15 * second,
            "maxOpen": 126, "maxStreams": 100, "cpuUsPerS": 400_000, "cpuUsPerRequest": 0.0,
        },
        "rules": {
            "coldShare": 0.19, "rampTime": 16 * second, "fallMultiple": 4, "overloadFor": 3 * second,
            "drainGrace": second, "countedOver": 10 * second, "freeResends": 5, "repeatRatio": 0.2,
            "graceToAnswer": 20 * MS, "mustAskIn": 10 * second,
        },
        "specifics": {
            "places": 3, "inARow": 1, "shards": 12, "batch": 1, "perCallWork": 0, "warmKeys": False,
            "needByClass": [1.0, 1.0], "classFloor": [1.0, 1.0], "classPartial": [0.9, 0.9],
            "secondStep": [0, 0],
        },
        "report": {"how": "piggyback", "fields": ["active"]},
        "weights": "rough",
    }  # fmt: skip
    for path, value in changes.items():
        place, keys = found, path.split("__")
        for key in keys[:-1]:
            place = place[key]
        place[keys[-1]] = value
    return found


class Broker:
    """The broker's process, as the platform starts it."""

    def __init__(self, record: Record, folder: Path, name: str = "b0") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.log = folder / "broker.log"

    async def start(self, config: dict[str, Any]) -> None:
        """Start it by the deploy file's ``run`` on a free port and wait until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        for _ in range(5):
            probe = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
            self.port = probe.sockets[0].getsockname()[1]
            probe.close()
            await probe.wait_closed()
            file = self.folder / "config.json"
            file.write_text(json.dumps(config | {"name": self.name, "listen": f"{HOST}:{self.port}"}))
            temporary = self.folder / "tmp"
            temporary.mkdir(exist_ok=True)
            environment = os.environ | {
                "BALANCER_CONFIG": str(file), "BALANCER_NAME": self.name, "TMPDIR": str(temporary),
                "BALANCER_LISTEN": f"{HOST}:{self.port}", "BALANCER_DISCOVERY": config["discovery"],
            }  # fmt: skip
            nothing = asyncio.subprocess.DEVNULL
            with self.log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdin=nothing,
                    stdout=log, stderr=log,
                )  # fmt: skip
            self.record.line(f"broker {self.name} started, pid {self.process.pid}, port {self.port}")
            if await self._becomes_ready():
                self.record.line(f"broker {self.name} is ready")
                return
            await self.kill()
        raise Unusable("the broker did not become ready")

    async def _becomes_ready(self) -> bool:
        for _ in range(300):
            if not self.running():
                return False
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                head = await reader.read()
                writer.close()
                if b" 200 " in head.split(b"\r\n")[0]:
                    return True
            await asyncio.sleep(0.1)
        return False

    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.running():
            assert self.process is not None
            self.process.send_signal(number)
            self.record.line(f"broker {self.name} gets {number.name}")

    def resident_kb(self) -> int:
        """Its resident memory, as the system counts it; 0 once it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    async def kill(self) -> None:
        """End the process, in any state."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Asked:
    """One request of a usual client and what came of it. Times are seconds since the case's start."""

    def __init__(self, name: str, sent: float, time_left: float) -> None:
        self.name, self.sent, self.time_left = name, sent, time_left
        self.status = 0  # 0: no whole answer
        self.body = b""
        self.ended = 0.0
        self.wrong = ""  # why the answer's values are not those that nodes made
        self.cause = "no answer"

    def lateness(self) -> float:
        """Seconds from the end of the client's time to the answer's last byte; negative if in time."""
        return self.ended - self.sent - self.time_left


def request_bytes(name: str, kind: str, shards: list[int], time_left: float, text: str) -> bytes:
    """A client's request, as the protocol page gives it."""
    ranges = [{"range": shard, "portion": 1 / len(shards)} for shard in shards]
    body = json.dumps({"ranges": ranges, "predicate": text}).encode()
    head = (
        f"POST /{kind} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {name}\r\nReq-Kind: {kind}\r\n"
        f"Req-Owner: rio-cobre-growers\r\nReq-Deadline-Ms: {int(time_left * 1000)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """One whole response with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    length = 0
    for line in lines[1:]:
        key, _, value = line.partition(":")
        if key.lower() == "content-length":
            length = int(value)
    return int(lines[0].split(" ")[1]), await reader.readexactly(length)


class Client:
    """Usual clients: one request at a time on a connection, kept; a further one when all are busy."""

    def __init__(self, record: Record, broker: Broker, patience: float) -> None:
        self.record, self.broker = record, broker
        self._first = (0x9B1F03AA + broker.port) << 32  # ids differ from broker to broker
        self.patience = patience  # seconds past its time for which a client still listens, so as to measure
        self.asked: list[Asked] = []
        self._idle: list[Connection] = []
        self._last = 0

    async def _connection(self, fresh: bool) -> Connection:
        while self._idle and not fresh:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(HOST, self.broker.port)

    async def ask(self, kind: str, shards: list[int], time_left: float) -> Asked:
        """Ask once; if the broker ends a kept connection without an answer, once more on a new one."""
        self._last += 1
        name = f"{self._first + self._last:016x}"
        text = f"c41e{self._last:04x}"
        asked = Asked(name, self.record.now(), time_left)
        self.asked.append(asked)
        self.record.line(f"client asks {name} {kind} shards={shards} time={time_left:.3f}")
        for fresh in (False, True):
            kept = bool(self._idle) and not fresh
            try:
                await self._try(asked, request_bytes(name, kind, shards, time_left, text), fresh)
                break
            except TimeoutError:
                asked.cause = "no answer when the client stopped listening"
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                asked.cause = f"connection ended: {type(error).__name__}"
                if not kept:
                    break
        if asked.status == 200:
            for item in json.loads(asked.body)["answers"]:
                made = value_of(f"{name}.{item['range']}", text.encode())
                if item["blob"] != made:
                    asked.wrong = f"shard {item['range']}: {item['blob']!r}, the node made {made!r}"
        took = self.record.now() - asked.sent
        self.record.line(f"client got {name} status={asked.status} after {took:.3f} s {asked.cause}")
        return asked

    async def _try(self, asked: Asked, request: bytes, fresh: bool) -> None:
        reader, writer = await self._connection(fresh)
        try:
            writer.write(request)
            if not fresh:
                asked.sent = self.record.now()  # the client's time counts from its first sending
            left = asked.sent + asked.time_left + self.patience - self.record.now()
            asked.status, asked.body = await asyncio.wait_for(read_response(reader), left)
        except BaseException:
            writer.close()
            raise
        asked.ended, asked.cause = self.record.now(), ""
        self._idle.append((reader, writer))


class World:
    """All that a case needs: nodes, discovery and a broker."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="quincepath-review-"))
        self.nodes: list[Node] = []
        self.discovery = Discovery(self.record, self.nodes)
        self.broker = Broker(self.record, self.folder)

    async def open(self, cells: int, replicas: int, work: float, make: type[Node] = Node) -> None:
        """Open the nodes and discovery."""
        for number in range(cells * replicas):
            node = make(self.record, f"s-{0x5BE2A000 + number:08x}", number % cells, work)
            await node.open()
            self.nodes.append(node)
        await self.discovery.open()

    def config(self, told: dict[str, Any], memory_mb: int = 128, sockets: int = 512) -> dict[str, Any]:
        """The broker's configuration: what it is told at its start."""
        return {
            "discovery": f"{HOST}:{self.discovery.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.whole(), "settings": told,
        }  # fmt: skip

    async def close(self) -> None:
        """End the broker and all stand-ins; keep the broker's last log lines in the record."""
        await self.broker.kill()
        with contextlib.suppress(OSError):
            for line in self.broker.log.read_text(errors="replace").splitlines()[-40:]:
                self.record.line(f"log {line.replace(str(ROOT), '.')}")
        for node in self.nodes:
            node.close()
        self.discovery.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(folder: Path, case: Callable[[World], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if it says that the rule was broken, 0 if it held, 2 if it could not run."""

    async def play() -> int:
        this = asyncio.current_task()
        assert this is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # a script that is ended ends its processes
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        world = World(folder)
        world.record.line(f"TROUBLE={int(TROUBLE)}")
        try:
            broken = await asyncio.wait_for(case(world), HARD_LIMIT_S)
            world.record.line("RULE BROKEN" if broken else "RULE HELD")
            return int(broken)
        except (Exception, asyncio.CancelledError) as error:
            world.record.line(f"could not run: {type(error).__name__} {error}")
            traceback.print_exc()
            return 2
        finally:
            await world.close()

    sys.exit(asyncio.run(play()))
