"""What the ledger, overload as one and fair turns cost a broker: python -m benchmarks.fleet_sharing

Two fleets of three real brokers on one cluster: one with the view alone, one with everything on. Queries in a
closed loop of two clients at one broker of each, in turns; in each pair the order changes. Processor time a
query tells small differences, the rate does not. Results: benchmarks/results/fleet_sharing.json.
"""

import json
import platform
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import psutil
from ruamel.yaml import YAML

from benchmarks.fleet_view import hammer, used
from quincepath.lab.demo import demo_config, make_cluster
from quincepath.lab.process import ChildProcess

RESULT = Path(__file__).parent / "results" / "fleet_sharing.json"
ON: dict[str, Any] = {"ledger": {}, "overload": {}}


def fleet(folder: Path, holders: list[dict[str, Any]], port: int, on: bool) -> list[ChildProcess]:
    """Three brokers on consecutive numbers."""
    peers = [{"name": f"q{n}", "address": f"127.0.0.1:{port + n}"} for n in range(3)]
    found = []
    for number, peer in enumerate(peers):
        values = demo_config(0, holders=holders)
        values["broker"] = {"number": number, "brokers": 3, "seed": number + 1}
        values["fleet"] = {
            "name": f"bench-{on}", "member": peer["name"], "port": port + number, "peers": peers,
            **(ON if on else {}),
        }  # fmt: skip
        if on:
            values["limits"] = {**values["limits"], "fair": {}}
        path = folder / f"{on}-{number}.yaml"
        with path.open("w") as file:
            YAML(typ="safe").dump(values, file)
        child = ChildProcess(f"{on}-{number}", folder / f"{on}-{number}.log")
        child.start(["--log-level", "error", "serve", "-c", str(path)])
        found.append(child)
    return found


@click.command()
@click.option("--rounds", default=12)
@click.option("--seconds", default=2.0)
def main(rounds: int, seconds: float) -> None:
    """Pairs of turns, off and on."""
    cluster = make_cluster(1, ["--work-ms", "0.1"], None)
    fleets: dict[bool, list[ChildProcess]] = {}
    with tempfile.TemporaryDirectory() as name:
        try:
            cluster.start()
            for on, port in ((False, 21_000), (True, 21_010)):
                fleets[on] = fleet(Path(name), cluster.entries(set()), port, on)
            urls = {on: fleets[on][0].startup_info()["remote_read"] for on in fleets}
            for on in fleets:
                for child in fleets[on][1:]:
                    child.startup_info()
            time.sleep(5)  # all have joined
            before = {on: used(fleets[on][0]) for on in fleets}
            time.sleep(10)
            idle = {on: (used(fleets[on][0]) - before[on]) / 10 for on in fleets}
            costs: dict[bool, list[float]] = {True: [], False: []}
            rates: dict[bool, list[float]] = {True: [], False: []}
            for turn in range(rounds):
                for on in (False, True) if turn % 2 else (True, False):
                    child = fleets[on][0]
                    hammer(urls[on], 0.5, True)
                    start = used(child)
                    count = hammer(urls[on], seconds, True)
                    costs[on].append((used(child) - start) / count * 1e6)
                    rates[on].append(count / seconds)
            memory = {on: psutil.Process(fleets[on][0].pid).memory_info().rss / 1e6 for on in fleets}
        finally:
            for children in fleets.values():
                for child in children:
                    child.stop()
            cluster.stop()
    pairs = [one / other for one, other in zip(costs[True], costs[False], strict=True)]
    spread = statistics.stdev(pairs) / len(pairs) ** 0.5
    row = {
        "machine": f"{platform.machine()}, Python {platform.python_version()}", "rounds": rounds,
        "processor_us_a_query": {str(on): round(statistics.median(costs[on]), 1) for on in costs},
        "pairs_mean": round(statistics.mean(pairs), 4), "pairs_error": round(spread, 4),
        "queries_a_second": {str(on): round(statistics.median(rates[on]), 1) for on in rates},
        "processor_share_idle": {str(on): round(idle[on], 4) for on in idle},
        "resident_mb": {str(on): round(memory[on], 1) for on in memory},
    }  # fmt: skip
    RESULT.write_text(json.dumps(row, indent=1) + "\n")
    click.echo(json.dumps(row, indent=1))


if __name__ == "__main__":
    main()
