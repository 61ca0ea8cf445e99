"""Goodput against offered load, in the laboratory: 0.5 to 4 times what the holders can serve. Simulated.

    python -m benchmarks.overload

Three ways: clients that do not retry; clients that retry twice and keep to Retry-After; clients that retry
twice and ignore it. *Goodput* is queries answered whole within their target, a second; a client's tries count
once. Writes ``benchmarks/results/overload.json`` and ``docs/design/overload.svg``. About two minutes.
"""

import json
from concurrent.futures import ProcessPoolExecutor

import click
import matplotlib.pyplot as plt

from benchmarks.bad_day import RESULTS, ROOT, machine
from quincepath.lab.emulator.rehearsal import rehearse
from quincepath.lab.emulator.script import Script

LOADS = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 4.0)
WAYS: dict[str, dict[str, float]] = {
    "no retries": {"retries": 0},
    "two retries, advice kept": {"retries": 2, "honour": 1.0},
    "two retries, advice ignored": {"retries": 2, "honour": 0.0},
}
WORK_MS = 25.0
LENGTH = 20  # seconds
SETS, REPLICAS, CORES = 6, 2, 2
# A glance sends 3 of its 4 parts; a report's 2 parts cost 2.5 times as much, its second step counted in.
WORK_OF_QUERY_MS = WORK_MS * (0.6 * 3 + 0.4 * 2 * 2.5)


def script(load: float, way: dict[str, float], seed: int = 4) -> Script:
    """A day at ``load`` times what the holders can serve."""
    capacity = SETS * REPLICAS * CORES * 1000 / WORK_OF_QUERY_MS
    return Script.model_validate(
        {
            "about": f"{load} times the load",
            "seed": seed,
            "length": f"{LENGTH}s",
            "brokers": 3,
            "fleet": {"sets": SETS, "replicas": REPLICAS, "shards": 1, "kinds": [{"cores": CORES}]},
            "traffic": {"rate": capacity * load, **way},
            "classes": [
                {"name": "glance", "share": 6, "parts": [4, 4], "work": f"{WORK_MS}ms", "target": "1s",
                 "deadline": "2s", "need": "60%"},
                {"name": "report", "share": 4, "parts": [2, 2], "work": f"{WORK_MS}ms", "target": "1500ms",
                 "deadline": "3s", "second_step": True},
            ],
        }
    )  # fmt: skip


def point(way: str, load: float) -> dict[str, float | str]:
    """One load, one way."""
    plan = script(load, WAYS[way])
    outcome = rehearse(plan)
    return {
        "way": way,
        "load": load,
        "offered_a_second": round(plan.traffic.rate, 1),
        "goodput_a_second": round(outcome.good * plan.traffic.rate, 1),
        "tries_a_query": round(outcome.tries_a_query, 3),
        "attempts_a_part": round(outcome.attempts_a_part, 3),
        "findings": len(outcome.report.findings),
    }


def draw(rows: list[dict[str, float | str]]) -> None:
    """Goodput over offered load, a line a way."""
    chart, axes = plt.subplots(figsize=(7, 4))
    for way in WAYS:
        mine = [row for row in rows if row["way"] == way]
        axes.plot([r["load"] for r in mine], [r["goodput_a_second"] for r in mine], marker="o", label=way)
    axes.set(
        title="Goodput against offered load (simulated)",
        xlabel="offered, times what the holders can serve",
        ylabel="whole within the target, a second",
    )
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    axes.legend()
    chart.savefig(ROOT / "docs" / "design" / "overload.svg", bbox_inches="tight", metadata={"Date": None})


@click.command()
def main() -> None:
    """All ways at all loads."""
    with ProcessPoolExecutor(4) as pool:
        jobs = [pool.submit(point, way, load) for way in WAYS for load in LOADS]
        rows = [job.result() for job in jobs]
    summary = {}
    for way in WAYS:
        mine = {row["load"]: float(row["goodput_a_second"]) for row in rows if row["way"] == way}
        top = max(mine.values())
        summary[way] = {"top": top, **{f"at {load}": round(mine[load] / top, 3) for load in (2.0, 3.0, 4.0)}}
    RESULTS.mkdir(exist_ok=True)
    kept = {"machine": machine(), "simulated": True, "share of the top": summary, "rows": rows}
    (RESULTS / "overload.json").write_text(json.dumps(kept, indent=1) + "\n")
    draw(rows)
    click.echo(json.dumps(summary, indent=1))


if __name__ == "__main__":
    main()
