"""Configuration distribution, measured in virtual time at the size of the target: 2,600 brokers, 15 relays.

    python -m benchmarks.fleet_configuration                 # all cases, some twenty minutes on two cores
    python -m benchmarks.fleet_configuration --only calm     # one of them; the other rows stay
    python -m benchmarks.fleet_configuration --brokers 260   # another size

Rows go to ``benchmarks/results/fleet_configuration.json``. Times are from commit until in force at every
broker that can be reached, in ms; bytes are counted with 52 bytes of IP and TCP around each message. A lost
message stays lost, where a stream would send it again. ``cost`` is processor time of the machine named there.
"""

import json
import math
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.fleet.configuration.applying import Applier
from quincepath.fleet.configuration.changes import Delta, Edit
from quincepath.fleet.configuration.snapshots import make_image
from quincepath.lab.fleet.configuration_world import Network, baselines, cases
from quincepath.lab.fleet.configuration_world.scenery import node_name, node_value

FILE = RESULTS / "fleet_configuration.json"
BROKERS = 2600
Play = Callable[[int], dict[str, Any]]


def _row(play: Callable[..., cases.Row], *sizes: int, **options: Any) -> Play:
    def found(brokers: int) -> dict[str, Any]:
        row = play(brokers, *sizes, **options)
        return {**asdict(row), "good": row.good}

    return found


def _baseline(way: baselines.Way, loss: float) -> Play:
    def found(brokers: int) -> dict[str, Any]:
        return baselines.play(way, brokers, 100, network=Network(loss=loss))

    return found


def cost(brokers: int) -> dict[str, Any]:
    """Processor time of what a broker and a relay do at 12,000 nodes, and the size of a snapshot."""
    values = {node_name(number): node_value(number) for number in range(12_000)}
    begun = time.process_time()
    image = make_image(1, values)
    made = time.process_time()
    applier = Applier()
    applied = applier.apply_snapshot(image)
    ended = time.process_time()
    assert applied is not None and len(applier.table.values) == 12_000
    return {
        "nodes": 12_000,
        "snapshot_bytes": len(image.data),
        "value_bytes": sum(map(len, values.values())),
        "make_snapshot_ms": round((made - begun) * 1000, 1),
        "check_and_apply_snapshot_ms": round((ended - made) * 1000, 1),
        "apply_one_change_us": round(_one_change_us(applier, values), 1),
    }


def _one_change_us(applier: Applier, values: dict[str, bytes]) -> float:
    """Mean processor time of one delta of one node, taken in, checked and applied."""
    count = 500
    deltas = [
        Delta(
            number + 2, (Edit(node_name(number), values[node_name(number)], node_value(number, "draining")),)
        )
        for number in range(count)
    ]
    begun = time.process_time()
    for delta in deltas:
        applier.hold([delta])
        applier.apply_held()
    assert applier.revision == count + 1
    return (time.process_time() - begun) / count * 1e6


PLAYS: dict[str, Play] = {
    "region_cut": _row(cases.region_cut, 166),
    "calm": _row(cases.calm, 220),
    "ordinary_day": _row(cases.ordinary_day, 600),
    "loss": _row(cases.loss, 100),
    "leader_killed": _row(cases.leader_killed, 10),
    "relay_killed": _row(cases.relay_killed, 15),
    "relay_vanishes": _row(cases.relay_killed, 15, told=False),
    "relay_silent": _row(cases.relay_silent, 15),
    "relay_lags": _row(cases.relay_lags, 60),
    "reconnected_to_laggard": _row(cases.reconnected_to_laggard, 20),
    "twice_and_conflicting": _row(cases.twice_and_conflicting, 20),
    "burst": _row(cases.burst, 100),
    "zone_returns": _row(cases.zone_returns, 40, nodes=12_000, lean=True),
    "baseline_tells": _baseline(baselines.TELLS_EVERYBODY, 0.0),
    "baseline_tells_loss": _baseline(baselines.TELLS_EVERYBODY, 0.05),
    "baseline_polls": _baseline(baselines.EVERYBODY_POLLS, 0.0),
    "baseline_polls_loss": _baseline(baselines.EVERYBODY_POLLS, 0.05),
    "cost": cost,
}


def _played(name: str, brokers: int) -> tuple[str, dict[str, Any]]:
    begun = time.process_time()
    found = PLAYS[name](brokers)
    return name, {**found, "processor_s": round(time.process_time() - begun, 1)}


def _plain(value: Any) -> Any:
    """Infinite times, of a revision that never was in force everywhere, as words: JSON has none."""
    if isinstance(value, float) and not math.isfinite(value):
        return "never"
    if isinstance(value, dict):
        return {key: _plain(one) for key, one in value.items()}
    return [_plain(one) for one in value] if isinstance(value, list) else value


def keep(file: Path, name: str, row: dict[str, Any]) -> None:
    """Put one row into the results, beside those that are there."""
    found = json.loads(file.read_text()) if file.exists() else {"rows": {}}
    found["machine"] = machine()
    found["rows"][name] = _plain(row)
    found["rows"] = {known: found["rows"][known] for known in PLAYS if known in found["rows"]}
    file.write_text(json.dumps(found, indent=1) + "\n")


@click.command()
@click.option("--brokers", default=BROKERS, type=click.IntRange(20, 5000))
@click.option("--only", type=click.Choice(list(PLAYS)), multiple=True)
@click.option("--processes", default=2, type=click.IntRange(1, 8))
@click.option("--file", default=FILE, type=click.Path(path_type=Path, dir_okay=False))
def main(brokers: int, only: tuple[str, ...], processes: int, file: Path) -> None:
    """Play the cases, the longest first, and keep each row when it is done."""
    names = [name for name in PLAYS if not only or name in only]
    with ProcessPoolExecutor(processes) as pool:
        for found in [pool.submit(partial(_played, name, brokers)) for name in names]:
            name, row = found.result()
            keep(file, name, row)
            click.echo(f"{name}: {json.dumps(_plain(row))}")


if __name__ == "__main__":
    main()
