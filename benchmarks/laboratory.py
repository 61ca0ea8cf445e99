"""The laboratory: its speed, fresh holders in many variations, a poisoned class with and without guard.

    python -m benchmarks.laboratory [--variations 200] [--jobs 6]

Writes ``benchmarks/results/laboratory.json``. All but the speed is simulated.
"""

import json
import resource
import time
from dataclasses import replace
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import click
import numpy as np

from benchmarks.bad_day import RESULTS, ROOT, machine
from quincepath.config.load import load
from quincepath.interface import Settings
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script
from quincepath.policy import Aggregator, QueryState

EXAMPLES = ROOT / "examples" / "incidents"


class Unguarded(Aggregator):
    """The module without its guard against queries that take down what they meet."""

    def _poisoned(self, query: QueryState) -> bool:
        return False

    def _must_wait_for_success(self, query: QueryState) -> bool:
        return False


def undivided(settings: Settings, seed: int) -> Aggregator:
    """A planted bug: each broker fills a cold holder as if it were alone."""
    return Aggregator(replace(settings, instances=1, me=0), seed)


def variation(number: int) -> Script:
    """A restart under load, by its number: 2 to 110 brokers, one or both replicas, cold shares and rates."""
    random = np.random.default_rng([17, number])
    brokers = int(random.choice([2, 3, 5, 9, 16, 32, 64, 110]))
    both = bool(random.random() < 0.7)
    work_ms = float(round(random.uniform(5, 30), 1))
    cores = 4  # of the set's two holders
    rate = float(round(random.uniform(0.4, 0.9) * cores * 1000 / work_ms, 1))
    one = {"parts": [1, 1], "work": f"{work_ms}ms", "target": "500ms", "deadline": "1500ms", "share": 1}
    return Script.model_validate(
        {
            "about": f"variation {number}",
            "seed": number,
            "length": "6s",
            "brokers": brokers,
            "fleet": {
                "sets": 1,
                "replicas": 2,
                "shards": 1,
                "cold": float(round(random.uniform(0.08, 0.4), 2)),
                "ramp": f"{int(random.integers(2, 9))}s",
            },
            "traffic": {"rate": rate},
            "discovery": {"lag": ["20ms", f"{int(random.integers(50, 900))}ms"]},
            "rules": {"fall_multiple": float(random.choice([2.0, 3.0]))},
            "classes": [{"name": "a", **one}, {"name": "b", **one, "spread": 1.0}],
            "troubles": [
                {
                    "kind": "restart",
                    "at": "1s",
                    "last": "300ms",
                    "holders": ["s0r0", "s0r1"] if both else ["s0r0"],
                }
            ],
        }
    )


def judge_variation(number: int) -> dict[str, Any]:
    """One variation with the module, and with the planted bug."""
    script = variation(number)
    sound, planted = rehearse(script), rehearse(script, make_module=undivided)
    return {
        "number": number,
        "brokers": script.brokers,
        "fullest": max(sound.fullest.values(), default=0.0),
        "fell": len(sound.fell),
        "findings": len(sound.report.findings),
        "planted_fell": len(planted.fell),
    }


def speed(path: Path, until: int | None = None) -> dict[str, Any]:
    """Simulated seconds a second, on one core."""
    script = load(path, Script)
    began = time.process_time()
    outcome = rehearse(script, until=until)
    took = time.process_time() - began
    holders = script.fleet.holders
    return {
        "holders x brokers": f"{holders}x{script.brokers}",
        "queries_a_second": script.traffic.rate,
        "simulated_s_per_s": round(script.length / 1e9 / took, 2),
        "events_per_s": round(outcome.events / took),
        "peak_memory_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def today() -> dict[str, Any]:
    """Today's size: 16 holders, 3 brokers, 14 queries a second of nine parts."""
    values = {
        "about": "today's size",
        "length": "30s",
        "brokers": 3,
        "fleet": {"sets": 8, "replicas": 2, "shards": 2},
        "traffic": {"rate": 14},
        "classes": [
            {
                "name": "glance",
                "share": 3,
                "parts": [9, 9],
                "work": "200ms",
                "target": "2500ms",
                "deadline": "7500ms",
                "need": "60%",
            },
            {
                "name": "report",
                "share": 7,
                "parts": [3, 5],
                "work": "160ms",
                "target": "2s",
                "deadline": "6s",
            },
        ],
        "troubles": [{"kind": "hang", "at": "8s", "last": "8s", "holders": 0.2}],
    }
    one = Script.model_validate(values)
    began = time.process_time()
    outcome = rehearse(one)
    took = time.process_time() - began
    return {
        "holders x brokers": "16x3",
        "queries_a_second": 14,
        "simulated_s_per_s": round(30 / took, 2),
        "events_per_s": round(outcome.events / took),
        "peak_memory_mib": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


@click.command()
@click.option("--variations", default=200)
@click.option("--jobs", default=6)
def main(variations: int, jobs: int) -> None:
    """Measure and write."""
    with Pool(1) as pool:  # a process of its own: memory is that of this run
        speeds = [pool.apply(today)]
    with Pool(1) as pool:
        speeds.append(pool.apply(speed, (EXAMPLES / "large.yaml",)))
    poisoned = load(EXAMPLES / "poisoned-class.yaml", Script)
    poison = {}
    for name, module in (("with the guard", Aggregator), ("without it", Unguarded)):
        outcome = rehearse(poisoned, make_module=module)
        poison[name] = {"down_most": outcome.down_most, "good": round(outcome.good, 3)}
    with Pool(jobs) as pool:
        rows = pool.map(judge_variation, range(variations))
    by_brokers = {
        brokers: round(max(row["fullest"] for row in rows if row["brokers"] == brokers), 3)
        for brokers in sorted({row["brokers"] for row in rows})
    }
    kept = {
        "machine": machine(),
        "speed": speeds,
        "poisoned class, simulated": poison,
        "fresh holders, simulated": {
            "variations": len(rows),
            "fell": sum(row["fell"] for row in rows),
            "findings": sum(row["findings"] for row in rows),
            "fullest window by brokers": by_brokers,
            "variations in which the planted bug made one fall": sum(row["planted_fell"] > 0 for row in rows),
        },
    }
    click.echo(json.dumps(kept, indent=1))
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "laboratory.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
