"""Fair turns at many brokers in virtual time: first-come, even shares, fair queues without news and with.

    python -m benchmarks.fair_turns [--seeds 20] [--workers 2]

Writes ``benchmarks/results/fair_turns.json``. All ways see the same tenants, slots and seeds in one run.
Windows of 10 s after the first 10 s; Jain's index is over those tenants that want more all the window.
"""

import json
import os
import platform
from collections import Counter
from collections.abc import Callable
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from random import Random
from typing import Any

import click

from quincepath.lab.fair_plan import Plan, Tenant
from quincepath.lab.fair_schedulers import EvenShares, FairQueueing, FirstCome, SlotScheduler
from quincepath.lab.fair_simulation import Simulation
from quincepath.limits.fair import FairSettings
from quincepath.limits.fair.types import MS, SECOND

RESULTS = Path(__file__).parent / "results"
SETTINGS = FairSettings(slots=20, quick_slots=4)
HOLDERS_A_BROKER = 2


def news(random: Random, least: int = 200 * MS, most: int = SECOND, loss: float = 0.1) -> int | None:
    """Age of a news, or None where it was lost."""
    return None if random.random() < loss else random.randrange(least, most)


WAYS: dict[str, tuple[Callable[[FairSettings, int], SlotScheduler], Any]] = {
    "first-come": (FirstCome, None),
    "even shares": (EvenShares, None),
    "fair, no news": (FairQueueing, None),
    "fair, with news": (FairQueueing, news),
}


def tenants(scene: str, brokers: int) -> tuple[Tenant, ...]:
    """Who asks. A usual tenant has 2 clients at each broker; the loud one a hundred times that."""
    everywhere = tuple(range(brokers))
    usual = [Tenant(f"usual {n}", everywhere, clients=2) for n in range(max(24, brokers))]
    quiet = Tenant("quiet", everywhere, rate=brokers / 2)
    few = usual[:9]
    return {
        "one loud at all brokers": (*few, Tenant("loud", everywhere, clients=200), quiet),
        "the same without the loud one": (*few, quiet),
        "one loud at one broker": (*usual, Tenant("loud", (0,), clients=200), quiet),
        "without the one at one broker": (*usual, quiet),
        "half of the tenants at one broker each": (
            *usual[: brokers * 6 // 10],
            *(Tenant(f"at {n}", (n,), clients=40) for n in range(brokers * 6 // 10)),
        ),
        "one with huge queries, many with small": (
            *(Tenant(f"small {n}", everywhere, clients=8, cost=500 * MS) for n in range(9)),
            Tenant("huge", everywhere, clients=4, cost=40 * SECOND, parts=4, kind=2, target=60 * SECOND),
        ),
    }[scene]


SCENES = {
    "one loud at all brokers": "the same without the loud one",
    "one loud at one broker": "without the one at one broker",
    "half of the tenants at one broker each": None,
    "one with huge queries, many with small": None,
}


def play(job: tuple[str, str, int, int, Any]) -> dict[str, Any]:
    """One run: scene, way, brokers, seed, and news where other than the way's."""
    scene, way, brokers, seed, other = job
    scheduler, usual_news = WAYS[way]
    plan = Plan(tenants(scene, brokers), scheduler, SETTINGS, brokers=brokers,
                holders=HOLDERS_A_BROKER * brokers, report_age=other or usual_news)  # fmt: skip
    found = Simulation(plan, seed).run()
    weights = {tenant.name: tenant.weight for tenant in plan.tenants}
    return {
        "job": (scene, way, brokers, seed),
        "jain": [found.jain(window, weights) for window in (1, 2)],
        "quiet": found.waits.get("quiet", []),
        "idle": found.idle_share(),
        "refused": found.refused,
        "answered": found.answered,
        "worked": sum(used[window] for used in found.used.values() for window in (1, 2)),
    }


def percentile(values: list[int], share: float) -> float:
    """In seconds; 0 without values."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] / SECOND if values else 0.0


def gather(runs: list[dict[str, Any]], brokers: int) -> dict[str, Any]:
    """Over all seeds of one scene and way."""
    indexes = sorted(one for run in runs for one in run["jain"] if one is not None)
    refused: Counter[str] = Counter()
    for run in runs:
        refused.update(run["refused"])
    quiet = [wait for run in runs for wait in run["quiet"]]
    holders = HOLDERS_A_BROKER * brokers * 8 * 20 * SECOND * len(runs)
    return {
        "runs": len(runs),
        "jain median": round(indexes[len(indexes) // 2], 4),
        "jain 5th percentile": round(indexes[len(indexes) // 20], 4),
        "jain least": round(indexes[0], 4),
        "windows at 0.95 and more": round(sum(one >= 0.95 for one in indexes) / len(indexes), 4),
        "quiet waits median s": round(percentile(quiet, 0.5), 3),
        "quiet waits 99th s": round(percentile(quiet, 0.99), 3),
        "idle while somebody waits": round(sum(run["idle"] for run in runs) / len(runs), 5),
        "holders' slots busy": round(sum(run["worked"] for run in runs) / holders, 4),
        "answered": sum(run["answered"] for run in runs),
        "refused after 10 s": dict(refused),
    }


def quiet_ratio(runs: list[dict[str, Any]], base: list[dict[str, Any]]) -> dict[str, Any]:
    """The quiet tenant's 99th percentile of waiting against the same without the loud one."""
    pooled = [percentile([wait for run in side for wait in run["quiet"]], 0.99) for side in (runs, base)]
    each = sorted(
        percentile(one["quiet"], 0.99) / max(percentile(other["quiet"], 0.99), 1e-3)
        for one, other in zip(runs, base, strict=True)
    )
    return {
        "pooled": round(pooled[0] / max(pooled[1], 1e-3), 3),
        "median seed": round(each[len(each) // 2], 3),
        "worst seed": round(each[-1], 3),
        "seeds within 1.5": sum(one <= 1.5 for one in each),
    }


@click.command()
@click.option("--seeds", default=20)
@click.option("--workers", default=2)
def main(seeds: int, workers: int) -> None:
    """Run and write the results, scene by scene."""
    half, some = "half of the tenants at one broker each", range(max(1, seeds // 5))
    sweeps = {
        f"{low / SECOND} to {high / SECOND} s old, {loss:.0%} lost": partial(
            news, least=low, most=high, loss=loss
        )
        for low, high, loss in (
            (MS, 200 * MS, 0.0), (200 * MS, SECOND, 0.1), (SECOND, 3 * SECOND, 0.3),
            (3 * SECOND, 4 * SECOND, 0.3), (5 * SECOND, 6 * SECOND, 0.0),
        )
    }  # fmt: skip
    sizes = {10: len(some), 20: len(some), 40: len(some), 80: 1}
    found: dict[str, Any] = {}
    machine = {"python": platform.python_version(), "cores": os.cpu_count(), "machine": platform.machine()}
    RESULTS.mkdir(exist_ok=True)

    def keep(scene: str) -> None:
        kept = {"machine": machine, "seeds": seeds, "slots a broker": SETTINGS.slots, "found": found}
        (RESULTS / "fair_turns.json").write_text(json.dumps(kept, indent=1) + "\n")
        click.echo(scene)
        for way, line in found[scene].items():
            click.echo(f"  {way}: {line}")

    with Pool(workers) as pool:
        for scene, base in SCENES.items():
            names = [scene, base] if base else [scene]
            jobs = [(name, way, 20, seed, None) for seed in range(seeds) for way in WAYS for name in names]
            runs = pool.map(play, jobs, chunksize=1)
            by = {
                (name, way): [run for run in runs if run["job"][:2] == (name, way)]
                for name in names
                for way in WAYS
            }
            for name in names:
                found[name] = {way: gather(by[name, way], 20) for way in WAYS}
            for way in WAYS if base else ():
                ratio = quiet_ratio(by[scene, way], by[base or "", way])
                found[scene][way]["quiet 99th against without"] = ratio
            for name in names:
                keep(name)
        found["age of news, " + half] = {
            name: gather(pool.map(play, [(half, "fair, with news", 20, seed, way) for seed in some]), 20)
            for name, way in sweeps.items()
        }
        keep("age of news, " + half)
        found["number of brokers, " + half] = {
            str(size): gather(
                pool.map(play, [(half, "fair, with news", size, seed, None) for seed in range(count)]), size
            )
            for size, count in sizes.items()
        }
        keep("number of brokers, " + half)


if __name__ == "__main__":
    main()
