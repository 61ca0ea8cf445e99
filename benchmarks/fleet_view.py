"""The fleet's view, measured: detection, false deaths, cost by size (simulated); cost in a real process.

    python -m benchmarks.fleet_view detect | deaths | steady | draw # virtual time, minutes on eight cores
    python -m benchmarks.fleet_view settled | ways | causes | crash  # virtual time, three processes
    python -m benchmarks.fleet_view compare                          # four scripts, virtual and by process
    python -m benchmarks.fleet_view process                          # one real broker, 199 peers emulated
    python -m benchmarks.fleet_view explore DEPTH                    # the world of three, exhaustively

Each adds its rows to ``benchmarks/results/fleet_view.json``; ``draw`` makes docs/design/fleet-view.svg of it.
"Lifeguard off" is the same program without local health, suspects told first, and suspicions that shorten.
"""

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import psutil
from ruamel.yaml import YAML

from benchmarks.bad_day import ROOT
from benchmarks.fleet_draw import plot
from benchmarks.fleet_keep import FILE, keep, percentile
from benchmarks.fleet_lossy import causes, crash, settled, ways
from quincepath.config.load import load
from quincepath.fleet.transport import Transport
from quincepath.fleet.view.core import View
from quincepath.fleet.view.facts import ViewSettings
from quincepath.lab.demo import DISTRICTS, demo_config, make_cluster
from quincepath.lab.fleet.run import FleetRun
from quincepath.lab.fleet.script import FleetScript
from quincepath.lab.fleet.verdict import SECOND
from quincepath.lab.fleet.virtual import Virtual, play
from quincepath.lab.load import Client, QueryResult, QuerySource
from quincepath.lab.process import ChildProcess
from quincepath.net.loop import Loop

SIZES = (10, 50, 200, 500)
SEEDS = 200
SEEDS_OFF = {10: 200, 50: 200, 200: 200, 500: 40}
KILL_AT = 1
MINUTES = 10  # of one simulated run for false deaths
SCRIPTS = ("back-without-memory", "leaving", "paused-and-starved", "three-parts-and-restarts")
MEMBERS = 200


def parts(on: bool) -> dict[str, bool]:
    """Lifeguard's parts, all on or all off."""
    return {"local_health": on, "told_first": on, "shrinking": on}


# --- virtual time ---


def one_crash(job: tuple[int, bool, int]) -> tuple[float, float]:
    """Seconds until one that was killed is doubted by anybody, and until all know; -1: not by the end."""
    members, on, seed = job
    script = FleetScript.model_validate(
        {
            "about": "a crash", "members": members, "length": "16s" if on else "32s", "view": parts(on),
            "faults": [{"kind": "kill", "at": f"{KILL_AT}s", "last": "0ns", "members": 1 / members}],
            "expect": {"settle": "10s"},
        }
    )  # fmt: skip
    death = Virtual(script, seed, warm=True).run().deaths[0]
    known = (death.known - death.at) / SECOND if death.known >= 0 else -1.0
    return (death.doubted - death.at) / SECOND, known


def one_day(job: tuple[int, float, bool, bool, int]) -> tuple[int, int, float, float]:
    """False deaths (beliefs, and deaths), messages and bytes a second a member, of one run."""
    members, lose, paused, on, seed = job
    times = range(10, 60 * MINUTES - 30, 30) if paused else ()
    script = FleetScript.model_validate(
        {
            "about": "a long day", "members": members, "length": f"{60 * MINUTES}s", "links": {"lose": lose},
            "view": parts(on), "expect": {"settle": "10s"},
            "faults": [
                {"kind": "pause", "at": f"{at}s", "last": "8s", "members": 0.2} for at in times
            ],
        }
    )  # fmt: skip
    world = Virtual(script, seed, warm=True)
    verdict = world.run()
    moments = {(of, at // (5 * SECOND)) for at, _, of in world.watcher.false}
    seconds = verdict.member_seconds
    return verdict.false_deaths, len(moments), verdict.messages / seconds, verdict.bytes / seconds


def pool() -> ProcessPoolExecutor:
    """All cores."""
    return ProcessPoolExecutor(os.cpu_count())


@click.group()
def main() -> None:
    """Measure the fleet's view."""


@main.command()
def detect() -> None:
    """Time to the first doubt and to all knowing, by size."""
    rows = []
    with pool() as workers:
        for on in (True, False):
            for members in SIZES:
                seeds = SEEDS if on else SEEDS_OFF[members]
                found = list(workers.map(one_crash, [(members, on, seed) for seed in range(seeds)]))
                doubts, knows = [first for first, _ in found], [known for _, known in found if known >= 0]
                rows.append(
                    {
                        "members": members, "lifeguard": on, "seeds": seeds,
                        "not_by_the_end": seeds - len(knows),
                        "doubt_median_s": round(statistics.median(doubts), 3),
                        "doubt_p99_s": round(percentile(doubts, 0.99), 3),
                        "know_median_s": round(statistics.median(knows), 3),
                        "know_p99_s": round(percentile(knows, 0.99), 3), "know_most_s": round(max(knows), 3),
                    }
                )  # fmt: skip
    keep("detect", rows)


@main.command()
@click.option("--long", "minutes", default=10_000, help="Simulated minutes at 5% loss, nobody paused.")
def deaths(minutes: int) -> None:
    """False deaths an hour, by loss, with and without paused members."""
    rows = []
    with pool() as workers:
        for lose in (0.0, 0.05, 0.2):
            for paused in (False, True):
                for on in (True, False):
                    runs = minutes // MINUTES if (lose, paused, on) == (0.05, False, True) else 60
                    jobs = [(10, lose, paused, on, seed) for seed in range(runs)]
                    found = list(workers.map(one_day, jobs, chunksize=4))
                    hours = runs * MINUTES / 60
                    rows.append(
                        {
                            "members": 10, "lose": lose, "paused": paused, "lifeguard": on,
                            "simulated_minutes": runs * MINUTES,
                            "false_deaths": sum(count for _, count, _, _ in found),
                            "an_hour": round(sum(count for _, count, _, _ in found) / hours, 3),
                            "believed_by": sum(count for count, _, _, _ in found),
                        }
                    )  # fmt: skip
    keep("deaths", rows)


@main.command()
def steady() -> None:
    """Messages and bytes a second a member while nothing happens, by size and loss."""
    rows = []
    for members in SIZES:
        for lose in (0.0, 0.05):
            script = FleetScript.model_validate(
                {"about": "calm", "members": members, "length": "30s", "links": {"lose": lose}}
            )
            verdict = Virtual(script, 1, warm=True).run()
            rows.append(
                {
                    "members": members, "lose": lose,
                    "messages": round(verdict.messages / verdict.member_seconds, 2),
                    "bytes": round(verdict.bytes / verdict.member_seconds, 1),
                }
            )  # fmt: skip
    keep("steady", rows)


@main.command()
@click.argument("depth", type=int)
def explore(depth: int) -> None:
    """All schedules of three members to a depth; ends with an error where one does not settle."""
    from tests.test_fleet_view import explore as walk

    began = time.monotonic()
    states, rested = walk(depth)
    keep(
        f"explored_to_{depth}",
        {"states": states, "run_to_rest": rested, "seconds": round(time.monotonic() - began, 1)},
    )


# --- processes ---


@main.command()
@click.option("--seeds", default=3)
def compare(seeds: int) -> None:
    """Settle times of four scripts, in virtual time and over processes."""
    rows = []
    for name in SCRIPTS:
        script = load(ROOT / "examples" / "fleet" / f"{name}.yaml", FleetScript)
        virtual = [play(script, seed).settle_time / SECOND for seed in range(40)]
        real = []
        for seed in range(seeds):
            with tempfile.TemporaryDirectory() as folder:
                figures = FleetRun(script, seed, Path(folder)).play()
            assert not figures["findings"] and not figures["void"], figures
            real.append(figures["settle_s"])
        rows.append(
            {
                "script": name, "virtual_median_s": round(statistics.median(virtual), 2),
                "virtual_most_s": round(max(virtual), 2), "processes_s": sorted(real),
            }
        )  # fmt: skip
    keep("compare", rows)


def emulate(first_port: int) -> None:
    """All peers of b0, in one process, until it is ended."""
    loop = Loop()
    names = [f"b{n}" for n in range(MEMBERS)]
    places = {name: ("127.0.0.1", first_port + n) for n, name in enumerate(names)}
    edges = []
    for number, name in enumerate(names[1:], 1):
        peers = tuple(one for one in names if one != name)
        view = View(ViewSettings("bench", name, peers), number, number, loop.clock())
        edges.append(Transport(loop, view, places, *places[name], lambda told: None))
    loop.on_signals({signal.SIGTERM: loop.stop})
    print("ready", flush=True)
    loop.run()
    for edge in edges:
        edge.close()


@main.command(hidden=True)
@click.argument("port", type=int)
def peers(port: int) -> None:
    """The emulated peers; started by ``process``."""
    emulate(port)


def broker(folder: Path, holders: list[dict[str, Any]], port: int, on: bool) -> ChildProcess:
    """One broker, as b0 of the fleet or without."""
    values = demo_config(0, holders=holders)
    if on:
        entries = [{"name": f"b{n}", "address": f"127.0.0.1:{port + n}"} for n in range(MEMBERS)]
        values["fleet"] = {"name": "bench", "member": "b0", "port": port, "peers": entries}
    path = folder / f"broker-{on}.yaml"
    with path.open("w") as file:
        YAML(typ="safe").dump(values, file)
    child = ChildProcess(f"broker {on}", folder / f"broker-{on}.log")
    child.start(["--log-level", "error", "serve", "-c", str(path)])
    return child


def used(child: ChildProcess) -> float:
    """Processor time so far, seconds."""
    times = psutil.Process(child.pid).cpu_times()
    return float(times.user + times.system)


def hammer(url: str, seconds: float, refusals: bool = False) -> int:
    """Answers in a closed loop of two clients; with ``refusals`` those are left out instead of an error."""
    loop, count, asked = Loop(), 0, 0
    numbers = {value: n for n, (_, values) in enumerate(DISTRICTS.values()) for value in values}
    source = QuerySource(1, numbers, {"fleet-glance": 3 * SECOND, "hours-report": 5 * SECOND})
    client = Client(loop, url)
    end = loop.clock() + int(seconds * SECOND)

    def answered(seen: QueryResult) -> None:
        nonlocal count
        nonlocal asked
        assert seen.status == 200 or refusals, f"status {seen.status}"
        count += seen.status == 200
        asked += 1
        if loop.clock() < end:
            client.ask(f"q{asked}", source.next(), answered)

    for number in range(2):  # fewer than what overloads anything: refusals would be counted as speed
        client.ask(f"first{number}", source.next(), answered)
    loop.run_until(lambda: loop.clock() >= end and not client.open, seconds + 10)
    client.close()
    loop.close()
    return count


@main.command()
@click.option("--rounds", default=6)
@click.option("--seconds", default=3.0)
def process(rounds: int, seconds: float) -> None:
    """Processor share and memory of the view at 200 members; queries a second with and without, in turns."""
    port = 20_000
    cluster = make_cluster(1, ["--work-ms", "0.1"], None)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        words = [sys.executable, "-m", "benchmarks.fleet_view", "peers", str(port)]
        others = subprocess.Popen(words, stdout=subprocess.PIPE, text=True, cwd=ROOT)
        with_view = without = None
        try:
            assert others.stdout is not None and others.stdout.readline() == "ready\n"
            cluster.start()
            entries = cluster.entries(set())
            with_view, without = broker(folder, entries, port, True), broker(folder, entries, port, False)
            urls = {
                True: with_view.startup_info()["remote_read"],
                False: without.startup_info()["remote_read"],
            }
            time.sleep(10)  # all have joined
            before, began = used(with_view), time.monotonic()
            time.sleep(20)
            share = (used(with_view) - before) / (time.monotonic() - began)
            idle = used(without)
            memory = [psutil.Process(child.pid).memory_info().rss for child in (without, with_view)]
            rates: dict[bool, list[float]] = {True: [], False: []}
            costs: dict[bool, list[float]] = {True: [], False: []}
            for turn in range(2 * rounds):
                on = bool(turn % 2)
                child = with_view if on else without
                hammer(
                    urls[on], 2 * seconds
                )  # for seconds after a rest a broker answers half as many: not counted
                before = used(child)
                count = hammer(urls[on], seconds)
                rates[on].append(count / seconds)
                costs[on].append((used(child) - before) / count * 1e6)
        finally:
            for one in (with_view, without):
                if one is not None:
                    one.stop()
            cluster.stop()
            others.terminate()
            others.wait(10)
            if others.stdout is not None:
                others.stdout.close()
    ratios = [one / other for one, other in zip(rates[True], rates[False], strict=True)]
    keep(
        "process",
        {
            "members": MEMBERS, "processor_share_idle": round(share, 4), "without_idle_s": round(idle, 2),
            "resident_mb": {"with": round(memory[True] / 1e6, 1), "without": round(memory[False] / 1e6, 1)},
            "queries_a_second": {"with": [round(r, 1) for r in rates[True]],
                                 "without": [round(r, 1) for r in rates[False]]},
            "ratio_median": round(statistics.median(ratios), 4),
            "processor_us_a_query": {"with": round(statistics.median(costs[True]), 1),
                                     "without": round(statistics.median(costs[False]), 1)},
        },
    )  # fmt: skip


@main.command()
def draw() -> None:
    """Plots of what was kept."""
    found = json.loads(FILE.read_text())
    plot(found, ROOT / "docs" / "design" / "fleet-view.svg")


for mode in (settled, ways, causes, crash):
    main.add_command(mode)


if __name__ == "__main__":
    main()
