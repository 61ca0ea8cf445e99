"""How soon a broker hears a discovery service whose responses take long, in virtual time.

    python -m benchmarks.slow_discovery [--before COMMIT] [--seeds 200]

For each response time and share of lost calls: the time from nothing to the first list, the time until a
change is in force, and the calls a minute. Beside this source tree the same is measured for COMMIT and for
two variants of this tree: without late calls, and with a time limit that does not follow the responses.
The service answers a call once its watch is over or a change is there, and sends that answer the response
time later. Prints a table in Markdown.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

import click

ROOT = Path(__file__).parent.parent
MS = 1_000_000
SECOND = 1000 * MS
RESPONSE_MS = (100, 500, 900, 1500, 2000, 3000)
LOST_SHARES = (0.0, 1 / 3)
SETTLED_S = 30.0  # from the start until the phase in which the change comes is drawn
PHASE_S = 10.0
COUNTED_S = 60.0  # of calls, after the change is in force
NEVER_S = 60.0  # longest wait for a list or a change
VARIANTS = {"now": "", "no late calls": "no_late", "fixed limit": "fixed"}


class Service:
    """A list service; ``delay`` is the time that each response takes, ``lost`` the share never answered."""

    def __init__(self, loop: Any, delay: int, lost: float, dice: random.Random) -> None:
        from quincepath.net.client_connection import Timeouts
        from quincepath.net.http1 import Limits
        from quincepath.net.server import HttpServer

        self.loop, self.delay, self.lost, self._dice = loop, delay, lost, dice
        self.version, self.calls = 1, 0
        self._watches: dict[int, tuple[Any, int]] = {}
        timeouts = Timeouts(idle=100 * SECOND, request=100 * SECOND, write=100 * SECOND)
        self.server = HttpServer(loop, "127.0.0.1", 0, self._on_request, Limits(), timeouts, 200)

    def publish(self) -> None:
        """There is a new version."""
        self.version += 1
        watches, self._watches = self._watches, {}
        for exchange, since in watches.values():
            self._respond(exchange, since)

    def _on_request(self, exchange: Any) -> None:
        self.calls += 1
        if self._dice.random() < self.lost:
            return
        query = dict(item.split("=") for item in exchange.request.target.partition("?")[2].split("&") if item)
        since = int(query.get("since", -1))
        if since != self.version:
            self._respond(exchange, since)
            return
        number = self.calls
        self._watches[number] = (exchange, since)
        self.loop.call_in(int(query["timeout_ms"]) * MS, lambda: self._end_watch(number))

    def _end_watch(self, number: int) -> None:
        watch = self._watches.pop(number, None)
        if watch is not None:
            self._respond(*watch)

    def _respond(self, exchange: Any, since: int) -> None:
        body = json.dumps({"version": self.version, "full": since < 0, "servers": []}).encode()
        self.loop.call_in(self.delay, lambda: exchange.respond(200, {}, body))


def play(delay_ms: int, lost: float, seed: int) -> tuple[float, float, float]:
    """One play: seconds to the first list, seconds until a change is in force, calls a minute."""
    from quincepath.lab.virtual_loop import ExactLoop
    from quincepath.platform.discovery import Discovery
    from quincepath.platform.list_timing import PULL_WATCH_MS

    dice = random.Random(f"{seed} {delay_ms} {lost}")
    loop = ExactLoop(seed)
    service = Service(loop, delay_ms * MS, lost, dice)
    held = -1

    def on_list(body: bytes, *_: bool) -> int:
        nonlocal held
        held = max(held, int(json.loads(body)["version"]))
        return held

    def run_until(done: Callable[[], bool], seconds: float) -> float:
        began = loop.at
        while not done() and loop.at < began + seconds * SECOND:
            loop.turn(min(0.01, seconds))
        return (loop.at - began) / SECOND

    address = ("127.0.0.1", service.server.port)
    discovery = Discovery(loop, address, on_list, lambda why: None, seed, PULL_WATCH_MS, shared=True)
    ready = run_until(lambda: held >= 0, NEVER_S)
    run_until(lambda: False, SETTLED_S + PHASE_S * dice.random())
    service.publish()
    in_force = run_until(lambda: held == service.version, NEVER_S)
    calls = service.calls
    run_until(lambda: False, COUNTED_S)
    discovery.close()
    return ready, in_force, (service.calls - calls) * 60 / COUNTED_S


def apply_variant(name: str) -> None:
    """Replace a part of this tree's way."""
    from quincepath.platform import discovery, list_timing

    if name == "no_late":
        setattr(discovery, "MAX_LATE_CALLS", 0)  # noqa: B010
    elif name == "fixed":
        setattr(list_timing.ResponseTimes, "observe", lambda self, took: None)  # noqa: B010


def measure(tree: Path, variant: str, delay_ms: int, lost: float, seeds: int) -> list[list[float]]:
    """The plays of all seeds, in a process of its own whose source is ``tree``."""
    command = [sys.executable, __file__, "--plays", variant or "-", str(delay_ms), str(lost), str(seeds)]
    environment = os.environ | {"PYTHONPATH": str(tree)}
    run = subprocess.run(command, env=environment, cwd=tree, capture_output=True, text=True, check=True)
    found: list[list[float]] = json.loads(run.stdout)
    return found


def plays(variant: str, delay_ms: str, lost: str, seeds: str) -> None:
    """What the process of ``measure`` does."""
    if variant != "-":
        apply_variant(variant)
    print(json.dumps([play(int(delay_ms), float(lost), seed) for seed in range(int(seeds))]))


def _seconds(values: list[float]) -> str:
    worst = "never" if max(values) >= NEVER_S else f"{max(values):.1f}"
    middle = "never" if median(values) >= NEVER_S else f"{median(values):.1f}"
    return f"{middle} / {worst}"


@click.command()
@click.option("--before", default="HEAD", show_default=True, help="The version to compare with.")
@click.option("--seeds", default=200, show_default=True)
@click.option("--workers", default=4, show_default=True)
def main(before: str, seeds: int, workers: int) -> None:
    """Measure all versions and print the table."""
    with tempfile.TemporaryDirectory() as folder:
        old = Path(folder)
        archive = subprocess.run(["git", "archive", before], cwd=ROOT, capture_output=True, check=True).stdout
        subprocess.run(["tar", "-x", "-C", folder], input=archive, check=True)
        cells = [(delay, lost) for lost in LOST_SHARES for delay in RESPONSE_MS]
        versions = {"before": (old, "")} | {name: (ROOT, variant) for name, variant in VARIANTS.items()}
        with ThreadPoolExecutor(workers) as pool:
            jobs = {
                (name, cell): pool.submit(measure, tree, variant, *cell, seeds)
                for cell in cells
                for name, (tree, variant) in versions.items()
            }
        print("| response, s | calls lost | version | ready, s | change in force, s | calls a minute |")
        print("| --- | --- | --- | --- | --- | --- |")
        for (name, (delay, lost)), job in jobs.items():
            ready, in_force, calls = (list(column) for column in zip(*job.result(), strict=True))
            share = "none" if not lost else "a third"
            print(f"| {delay / 1000} | {share} | {name} | {_seconds(ready)} | {_seconds(in_force)} "
                  f"| {sum(calls) / len(calls):.1f} |")  # fmt: skip


if __name__ == "__main__":
    if sys.argv[1:2] == ["--plays"]:
        plays(*sys.argv[2:6])
    else:
        main()
