"""The scripted bad day, many times over, against a broker of random replicas: verdicts and shares of service.

    python -m benchmarks.bad_day [--runs 10] [--baseline 3]

Writes ``benchmarks/results/bad_day.json``. Takes about half a minute a run; real processes, real time.
"""

import json
import os
import platform
import sys
from pathlib import Path
from typing import Any

import click

from quincepath.config.load import load
from quincepath.lab.day import DayScript, run_day

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
BASELINE = [sys.executable, "-m", "tests.baseline.random_replica"]


def machine() -> dict[str, Any]:
    """What the figures were taken on."""
    return {"python": platform.python_version(), "cores": os.cpu_count(), "machine": platform.machine()}


@click.command()
@click.option("--script", type=click.Path(path_type=Path), default=ROOT / "examples" / "bad-day.yaml")
@click.option("--runs", default=10)
@click.option("--baseline", default=3)
def main(script: Path, runs: int, baseline: int) -> None:
    """Run and write the results."""
    plan = load(script, DayScript)
    found: dict[str, list[dict[str, Any]]] = {"module": [], "random replicas": []}
    jobs: list[tuple[str, list[str] | None]] = [("module", None)] * runs
    jobs += [("random replicas", BASELINE)] * baseline
    for name, broker in jobs:
        result = run_day(plan, broker=broker)
        line = {
            "good": round(result.good, 4),
            "asked": result.asked,
            "outcomes": result.outcomes,
            "findings": [str(finding) for finding in result.report.findings[:5]],
        }
        found[name].append(line)
        click.echo(f"{name}: {line}")
    RESULTS.mkdir(exist_ok=True)
    kept = {"script": script.name, "machine": machine(), "runs": found}
    (RESULTS / "bad_day.json").write_text(json.dumps(kept, indent=1) + "\n")
    sys.exit(1 if any(line["findings"] for line in found["module"]) else 0)


if __name__ == "__main__":
    main()
