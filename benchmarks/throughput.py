"""What the decisions cost: the broker against two fan-outs without them, in one run on one machine.

    python -m benchmarks.throughput [--seconds 6] [--memory 100000] [--profile]

*module* is the broker as it is. *bare* is the same loop, HTTP, pools, planning and merging with each part
sent to a random replica, no driver and no module. *threads* is the standard library's threading HTTP server
with a thread and a connection a part, planning and merging alike. Holders answer from memory, so that the
broker is what is measured; each kind has one core of its own. Writes ``benchmarks/results/throughput.json``.
"""

import cProfile
import http.client
import http.server
import json
import os
import pstats
import random
import signal
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.broker.service import Broker
from quincepath.cli.main import run_until_signal
from quincepath.config.schema import Config
from quincepath.fronts.remote_read.codec import HEADERS, decode_request, encode
from quincepath.fronts.remote_read.front import RemoteReadFront, Reply
from quincepath.fronts.remote_read.plan import Plan
from quincepath.fronts.remote_read.remote_pb2 import LabelMatcher, ReadRequest
from quincepath.interface import Result
from quincepath.lab.load import Client, QueryPlan, QueryResult
from quincepath.membership.source import node_id
from quincepath.net.client_connection import Exchange, Timeouts
from quincepath.net.http1 import Limits, Request, Response
from quincepath.net.loop import Loop
from quincepath.net.server import HttpServer
from quincepath.observe.logs import setup
from quincepath.orders import Ask, AttemptEnded, AttemptOrder, Finish, PartRequest, StartCall, Verdict
from quincepath.shards.shardmap import ShardMap
from quincepath.standins.data import BEGIN_MS, END_MS, Store
from quincepath.upstream.pool import PoolLimits, Upstream
from quincepath.upstream.remote_read import RemoteReadCodec

SHARDS = [f"d{number}.example.org" for number in range(4)]
TIMES = Timeouts(60_000_000_000, 60_000_000_000, 60_000_000_000)
MINUTE = 60_000_000_000
KINDS = ("module", "bare", "threads")
CONNECTIONS = 32


def config_of(ports: list[int]) -> Config:
    """Four shards of two holders each; quiet logs."""
    return Config.model_validate(
        {
            "broker": {"seed": 1},
            "shards": {
                "label": "district",
                "unlabelled": "nowhere",
                "map": [{"name": d, "values": [d]} for d in SHARDS],
            },
            "holders": [
                {"name": f"h{n}", "url": f"http://127.0.0.1:{port}/api/v1/read", "shards": [SHARDS[n // 2]]}
                for n, port in enumerate(ports)
            ],
            "classes": [{"name": "report", "target": "2s", "deadline": "10s"}],
            "limits": {"connections_per_holder": 256},
            # All clients send the same bytes here: run each query by itself, as the fan-outs do.
            "asks": {"share_equal": False, "remember": 0},
        }
    )


def shard_map(config: Config) -> ShardMap:
    """The configuration's map."""
    entries = [(entry.name, entry.set or entry.name, entry.values) for entry in config.shards.map]
    return ShardMap(config.shards.label, entries, False)


# --- holders ---


def holders() -> None:
    """Two holders of one shard in this process; the answer is encoded once."""
    shard = sys.argv[2]
    store = Store(1, [shard], tractors=4)
    known: dict[bytes, bytes] = {}

    def answer(exchange: Exchange) -> None:
        body = exchange.request.body
        if body not in known:
            known[body] = encode(store.read(decode_request(body, 1 << 20)))
        exchange.respond(200, HEADERS, known[body])

    loop = Loop()
    ports = [HttpServer(loop, "127.0.0.1", 0, answer, Limits(), TIMES, 1000).port for _ in range(2)]
    print(json.dumps(ports), flush=True)
    loop.on_signals({signal.SIGTERM: loop.stop})
    loop.run()


# --- the three kinds ---


class Bare:
    """A fan-out on the program's loop: random replica, no retries, no time limits but the pool's."""

    def __init__(self, config: Config, loop: Loop) -> None:
        self.config, self.loop = config, loop
        self.map = shard_map(config)
        self.front = RemoteReadFront(config, self.map)
        self.nodes: dict[int, list[bytes]] = {}
        for holder in config.holders:
            cell = self.map.cell_of_set(holder.shards)
            assert cell is not None
            self.nodes.setdefault(cell, []).append(node_id(holder.url))
        limits = PoolLimits(250_000_000, MINUTE, 256, 64 << 20)
        calls = RemoteReadCodec(64 << 20)
        self.upstream = Upstream(loop, calls, limits, lambda node: "/api/v1/read", self.ended)
        self.open: dict[int, tuple[Exchange, Plan, int, list[tuple[int, int, Any]]]] = {}
        self.parts: dict[int, tuple[int, int]] = {}
        self.count = 0
        self.server = HttpServer(loop, "127.0.0.1", 0, self.request, Limits(), TIMES, 1000)

    def request(self, exchange: Exchange) -> None:
        found = self.front.read(exchange.request, 0, "")
        assert not isinstance(found, Reply)
        ask, plan = found
        self.count += 1
        number = self.count
        self.open[number] = (exchange, plan, len(ask.parts), [])
        for part in ask.parts:
            self.count += 1
            self.parts[self.count] = (number, part.shard)
            node = random.choice(self.nodes[part.shard % len(self.nodes)])
            end = self.loop.now + ask.time_left
            order = AttemptOrder(self.count, 0, part.shard, 1, end, end, end, part.payload, "")
            self.upstream.start(StartCall(node, (order,)))

    def ended(self, ended: AttemptEnded) -> None:
        number, shard = self.parts.pop(ended.part)
        assert ended.result is Result.OK, ended
        exchange, plan, wanted, bodies = self.open[number]
        bodies.append((1, shard, ended.body))
        if len(bodies) == wanted:
            del self.open[number]
            reply = self.front.write(whole(bodies), plan)
            exchange.respond(reply.status, reply.headers, reply.body)


def whole(bodies: list[tuple[int, int, Any]]) -> Finish:
    """A final answer with all parts in."""
    count = len(bodies)
    return Finish(0, Verdict.ANSWERED, True, count, count, tuple(bodies), 0, "", count, 0)


class Threads:
    """The standard library's way: a thread a connection and a thread with a new connection a part."""

    def __init__(self, config: Config) -> None:
        self.map = shard_map(config)
        self.front = RemoteReadFront(config, self.map)
        self.calls = RemoteReadCodec(64 << 20)
        self.ports: dict[int, list[int]] = {}
        for holder in config.holders:
            cell = self.map.cell_of_set(holder.shards)
            assert cell is not None
            self.ports.setdefault(cell, []).append(int.from_bytes(node_id(holder.url)[4:]))
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers["Content-Length"]))
                reply = outer.serve(body)
                self.send_response(reply.status)
                for name, value in {**reply.headers, "Content-Length": str(len(reply.body))}.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(reply.body)
                self.wfile.flush()

            def log_message(self, format: str, *args: Any) -> None:
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 1024  # the default of 5 makes clients wait for their handshake

        self.server = Server(("127.0.0.1", 0), Handler)

    def serve(self, body: bytes) -> Reply:
        request = Request("POST", "/api/v1/read", {k.lower(): v for k, v in HEADERS.items()}, body)
        found = self.front.read(request, 0, "")
        assert not isinstance(found, Reply)
        ask, plan = found
        bodies: list[tuple[int, int, Any]] = []
        threads = [threading.Thread(target=self.part, args=(ask, part, bodies)) for part in ask.parts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.front.write(whole(bodies), plan)

    def part(self, ask: Ask, part: PartRequest, bodies: list[tuple[int, int, Any]]) -> None:
        order = AttemptOrder(1, 0, part.shard, 1, 0, 0, 0, part.payload, "")
        headers, body = self.calls.encode([order])
        port = random.choice(self.ports[part.shard % len(self.ports)])
        line = http.client.HTTPConnection("127.0.0.1", port, timeout=ask.time_left / 1e9)
        line.request("POST", "/api/v1/read", body, headers)
        answer = line.getresponse()
        response = Response(answer.status, {}, answer.read())
        line.close()
        bodies.append((1, part.shard, self.calls.decode([order], response)[0]))


def serve() -> None:
    """One kind in this process, until SIGTERM; with a profile, its table goes to standard error."""
    kind, profile = sys.argv[2], sys.argv[4] == "profile"
    config = config_of(json.loads(sys.argv[3]))
    setup("json", "error")
    profiler = cProfile.Profile()
    if kind == "threads":
        fan = Threads(config)
        print(fan.server.server_port, flush=True)
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
        fan.server.serve_forever()
        return
    loop = Loop()
    if kind == "module":
        broker = Broker(config, loop)
        run: Callable[[], None] = lambda: run_until_signal(loop, broker)  # noqa: E731
        print(broker.server.port, flush=True)
    else:
        bare = Bare(config, loop)
        loop.on_signals({signal.SIGTERM: loop.stop})
        run = loop.run
        print(bare.server.port, flush=True)
    if not profile:
        run()
        return
    profiler.enable()
    run()
    profiler.disable()
    pstats.Stats(profiler, stream=sys.stderr).sort_stats("tottime").print_stats(22)


# --- the measurement ---


def request_plan() -> QueryPlan:
    """All four shards, four series of thirty samples each."""
    request = ReadRequest()
    query = request.queries.add(start_timestamp_ms=END_MS - 29 * 60_000, end_timestamp_ms=END_MS)
    query.matchers.add(type=LabelMatcher.EQ, name="__name__", value="engine_hours")
    assert BEGIN_MS < query.start_timestamp_ms
    return QueryPlan("report", [], encode(request), request, 20_000_000_000)


def closed_loop(url: str, plan: QueryPlan, lines: int, seconds: float, most: int = 1 << 60) -> list[int]:
    """Keep ``lines`` queries out for so long or so many; the times (ns) of those that were answered."""
    loop = Loop()
    client = Client(loop, url)
    took: list[int] = []
    end = loop.clock() + int(seconds * 1e9)

    def done(seen: QueryResult) -> None:
        assert seen.status == 200, seen
        took.append(seen.took)
        if loop.clock() < end and len(took) + client.open < most:
            client.ask("", plan, done)

    for _ in range(min(lines, most)):
        client.ask("", plan, done)
    assert loop.run_until(lambda: not client.open, seconds + 30)
    client.close()
    loop.close()
    return took


class Served:
    """One kind of broker as a process on a core of its own."""

    def __init__(self, kind: str, ports: list[int], profile: bool = False) -> None:
        words = [sys.executable, "-m", "benchmarks.throughput", "serve", kind, json.dumps(ports)]
        words.append("profile" if profile else "plain")
        words = ["taskset", "-c", "0", *words]
        self.process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        self.port = int(self.process.stdout.readline())
        self.url = f"http://127.0.0.1:{self.port}/api/v1/read"

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> int:
        """Resident KiB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    def stop(self) -> str:
        self.process.terminate()
        _, said = self.process.communicate(timeout=30)
        return said


def measure(kind: str, ports: list[int], plan: QueryPlan, seconds: float) -> dict[str, float]:
    """Rate with many queries out, and the time of one alone."""
    served = Served(kind, ports)
    closed_loop(served.url, plan, 8, 1.0)
    alone = closed_loop(served.url, plan, 1, 2.0)
    before, began = served.cpu(), time.monotonic()
    many = closed_loop(served.url, plan, CONNECTIONS, seconds)
    wall, cpu = time.monotonic() - began, served.cpu() - before
    served.stop()
    return {
        "queries_per_s": len(many) / wall,
        "parts_per_s": len(many) * len(SHARDS) / wall,
        "cpu_ms_per_query": cpu / len(many) * 1000,
        "alone_median_ms": statistics.median(alone) / 1e6,
        "loaded_median_ms": statistics.median(many) / 1e6,
    }


@click.command()
@click.option("--seconds", default=6.0)
@click.option("--rounds", default=3)
@click.option("--memory", default=100_000, help="Queries over which memory is watched; 0 leaves it out.")
@click.option("--profile", is_flag=True, help="Print where the module kind spends its time.")
def main(seconds: float, rounds: int, memory: int, profile: bool) -> None:
    """Measure all three, in turn, several rounds."""
    words = [sys.executable, "-m", "benchmarks.throughput", "holders"]
    processes = [subprocess.Popen([*words, shard], stdout=subprocess.PIPE, text=True) for shard in SHARDS]
    try:
        ports = [p for process in processes if process.stdout for p in json.loads(process.stdout.readline())]
        plan = request_plan()
        rows: dict[str, list[dict[str, float]]] = {kind: [] for kind in KINDS}
        for _ in range(rounds):
            for kind in KINDS:
                rows[kind].append(measure(kind, ports, plan, seconds))
        middle = {
            kind: {key: round(statistics.median(row[key] for row in found), 3) for key in found[0]}
            for kind, found in rows.items()
        }
        rates = {kind: [row["queries_per_s"] for row in rows[kind]] for kind in KINDS}
        ratios = {
            f"module/{kind}": round(
                statistics.median(a / b for a, b in zip(rates["module"], rates[kind], strict=True)), 3
            )
            for kind in ("bare", "threads")
        }
        kept: dict[str, Any] = {"machine": machine(), "medians": middle, "ratios": ratios}
        if memory:
            kept["memory_kib"] = watch_memory(ports, plan, memory)
        click.echo(json.dumps(kept, indent=1))
        if profile:
            served = Served("module", ports, profile=True)
            closed_loop(served.url, plan, 8, 1.0)
            closed_loop(served.url, plan, CONNECTIONS, 5.0)
            click.echo(served.stop())
        else:
            RESULTS.mkdir(exist_ok=True)
            (RESULTS / "throughput.json").write_text(json.dumps(kept, indent=1) + "\n")
    finally:
        for process in processes:
            process.terminate()
            process.wait()


def watch_memory(ports: list[int], plan: QueryPlan, queries: int) -> dict[str, int]:
    """Resident memory of the module kind as queries pass, in ten steps."""
    served = Served("module", ports)
    closed_loop(served.url, plan, 8, 1.0)  # before any reply a burst is refused
    found = {}
    for step in range(1, 11):
        closed_loop(served.url, plan, CONNECTIONS, 600, queries // 10)
        found[str(step * queries // 10)] = served.memory()
    served.stop()
    return found


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] in ("holders", "serve"):
        {"holders": holders, "serve": serve}[sys.argv[1]]()
    else:
        main()
