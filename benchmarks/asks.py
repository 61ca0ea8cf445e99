"""What it saves that a retry joins its ask: impatient clients at one broker while holders crawl. Simulated.

    python -m benchmarks.asks

The same days with and without marks on the tries. Writes ``benchmarks/results/asks.json``: the share served
whole in time, attempts that reached holders for each query, tries for each query. About half a minute.
"""

import json
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script

SEEDS = range(1, 6)


def script(marks: bool, seed: int) -> Script:
    """Holders are ten times as slow for eight seconds; clients give up early and come back."""
    return Script.model_validate(
        {
            "about": "impatient clients while all holders crawl",
            "seed": seed,
            "length": "16s",
            "brokers": 1,
            "fleet": {"sets": 4, "replicas": 2, "shards": 1},
            "traffic": {
                "rate": 45,
                "retries": 3,
                "wait": "50ms",
                "patience": [0.05, 0.3],
                "marks": marks,
                "tell": 0,
            },
            "classes": [
                {
                    "name": "report",
                    "share": 1,
                    "parts": [1, 3],
                    "work": "20ms",
                    "target": "2s",
                    "deadline": "4s",
                },
            ],
            "troubles": [{"kind": "slowdown", "at": "3s", "last": "8s", "times": 10}],
        }
    )


def row(marks: bool) -> dict[str, Any]:
    """Means over the seeds."""
    days = [(plan := script(marks, seed), rehearse(plan)) for seed in SEEDS]
    asked = sum(plan.traffic.rate * plan.length / 1e9 for plan, _ in days)
    return {
        "good": round(sum(day.good for _, day in days) / len(days), 4),
        "attempts_a_query": round(sum(day.report.parts_got for _, day in days) / asked, 3),
        "tries_a_query": round(sum(day.tries_a_query for _, day in days) / len(days), 3),
        "findings": sum(len(day.report.findings) for _, day in days),
    }


@click.command()
def main() -> None:
    """Both ways."""
    found = {"marked": row(True), "unmarked": row(False)}
    RESULTS.mkdir(exist_ok=True)
    kept = {"machine": machine(), "simulated": True, "days": len(SEEDS), **found}
    (RESULTS / "asks.json").write_text(json.dumps(kept, indent=1) + "\n")
    click.echo(json.dumps(found))


if __name__ == "__main__":
    main()
