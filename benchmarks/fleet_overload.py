"""Overload in virtual time: the fleet as one, each broker alone, and fixed limits, side by side.

    python -m benchmarks.fleet_overload --seeds 10 --workers 2 [SCENE ...]

Rows go to ``benchmarks/results/fleet_overload.json``: per scene and way the median and the worst of
the seeds, and how many seeds keep the aim.
"""

import json
import math
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.lab.overload_simulation import Plan, Simulation, Strategy, figures, scenes
from quincepath.lab.overload_simulation.plan import SECOND

FILE = RESULTS / "fleet_overload.json"
SETTLED = scenes.STEP_AT + 5 * SECOND  # goodput counts from 5 s after the step
BACK_AT = scenes.OUTAGE_AT + scenes.OUTAGE_DURATION
SCENES: dict[str, Callable[[Plan], Plan]] = {
    "calm": scenes.calm,
    "twice": lambda plan: scenes.step(plan, 2.0),
    "three times": lambda plan: scenes.step(plan, 3.0),
    "five times": lambda plan: scenes.step(plan, 5.0),
    "trigger": scenes.trigger,
    "no trigger": scenes.without_trigger,
    "late news": scenes.late_reports,
    "three times as late news": lambda plan: scenes.late_reports(plan, 3),
    "doubted": scenes.silent_holders,
    "doubted, a tenth of the brokers": scenes.silent_holders,
}
FLOODED = ("twice", "three times", "five times", "late news", "three times as late news")


def play(job: tuple[str, Strategy, int, int]) -> tuple[str, Strategy, dict[str, float]]:
    """One run; its figures."""
    name, way, seed, size = job
    plan = SCENES[name](scenes.base(size // 10 if name == "doubted, a tenth of the brokers" else size, size))
    began = time.monotonic()
    record = Simulation(plan, way, seed).run()
    tries = sum(record.tries)
    found = {
        "goodput_5s_least": figures.worst_goodput(plan, record, SETTLED, plan.length),
        "goodput": figures.goodput(plan, record, SETTLED, plan.length),
        "shed_share": sum(record.shed) / tries,
        "further_of_budget": figures.budget_use(record, scenes.BUDGET_RATIO, scenes.BUDGET_FREE, plan.length),
        "out_of_order": figures.out_of_order(record, SETTLED, plan.length),
        "line_swing": figures.threshold_swing(record, SETTLED, plan.length),
        "trials_a_second": trials(record, plan),
        "run_s": time.monotonic() - began,
    }
    if name in ("trigger", "no trigger"):
        found["usual_after_s"] = figures.seconds_to_recovery(record, BACK_AT, plan.length)
        found["goodput_at_end"] = figures.goodput(plan, record, plan.length - 5 * SECOND, plan.length)
    return name, way, found


def trials(record: figures.Record, plan: Plan) -> float:
    """Sends a second to one doubted or cold holder, of those lost, from 30 s after: by then known to all."""
    since = scenes.STEP_AT // SECOND + 30
    counts: dict[int, int] = {}
    for (second, holder), count in record.trials.items():
        if second >= since:
            counts[holder] = counts.get(holder, 0) + count
    lost = plan.holders * sum(outage.share for outage in plan.outages if not outage.brokers)
    span = plan.length // SECOND - since
    busiest = sorted(counts.values(), reverse=True)[: int(lost)]
    return sum(busiest) / len(busiest) / span if busiest else 0.0


def row(name: str, way: Strategy, size: int, runs: list[dict[str, float]]) -> dict[str, object]:
    """Median and worst of the seeds; ``never``: seeds in which usual service did not come back."""
    made: dict[str, object] = {
        "scene": name,
        "way": way.value,
        "brokers": size,
        "holders": size,
        "seeds": len(runs),
    }
    for figure in runs[0]:
        values = [run[figure] for run in runs]
        finite = [value for value in values if math.isfinite(value)]
        made[figure] = {
            "median": round(statistics.median(finite), 4) if finite else None,
            "least": round(min(finite), 4) if finite else None,
            "most": round(max(finite), 4) if finite else None,
        }
        if figure == "usual_after_s":
            made["never"] = len(values) - len(finite)
            made["within_5_s"] = sum(value <= 5 for value in values)
        if figure == "goodput_5s_least" and name in FLOODED:
            made["goodput_kept"] = sum(value >= 0.95 for value in values)
    return made


@click.command()
@click.option("--seeds", default=10)
@click.option("--first", default=0)
@click.option("--size", default=200, help="Brokers, and holders.")
@click.option("--workers", default=2)
@click.argument("names", nargs=-1)
def main(seeds: int, first: int, size: int, workers: int, names: tuple[str, ...]) -> None:
    """Play scenes and keep their rows."""
    chosen = names or tuple(SCENES)
    jobs = [(name, way, first + seed, size) for name in chosen for way in Strategy for seed in range(seeds)]
    runs: dict[tuple[str, Strategy], list[dict[str, float]]] = {}
    with ProcessPoolExecutor(workers) as pool:
        for name, way, found in pool.map(play, jobs):
            runs.setdefault((name, way), []).append(found)
            if len(runs[name, way]) == seeds:
                keep(row(name, way, size, runs[name, way]))


def keep(made: dict[str, object]) -> None:
    """Put one row beside the others."""
    found = json.loads(FILE.read_text()) if FILE.exists() else {"rows": []}
    known = ("scene", "way", "brokers")
    rows = [one for one in found["rows"] if any(one[key] != made[key] for key in known)]
    found = {"machine": machine(), "rows": [*rows, made]}
    FILE.write_text(json.dumps(found, indent=1) + "\n")
    click.echo(json.dumps(made))


if __name__ == "__main__":
    main()
