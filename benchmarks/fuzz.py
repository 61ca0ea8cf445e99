"""Many inputs for each decoder of bytes from outside; what fails is shown with its bytes.

    python -m benchmarks.fuzz [--inputs 200000]

Inputs are mutations of valid ones, seeded by their number. Writes ``benchmarks/results/fuzz.json``: inputs
tried, failures, the slowest input. What is found becomes a case in ``tests/test_fuzz.py``.
"""

import json
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click
import numpy as np

from benchmarks.bad_day import RESULTS, machine
from tests.fuzzing import TARGETS, mutate

KEPT = 5  # failures shown of each target
SLOW = {
    "yaml": 20,
    "recording": 4,
    "front": 2,
    "plan": 2,
    "header values": 2,
}  # a so much smaller number of inputs


def run(name: str, first: int, inputs: int) -> dict[str, Any]:
    """One target over a range of numbers."""
    target, seeds = TARGETS[name]
    failures: list[dict[str, str]] = []
    failed, slowest = 0, 0.0
    for number in range(first, first + inputs):
        random = np.random.default_rng(number)
        data = mutate(random, seeds[number % len(seeds)])
        began = time.perf_counter()
        try:
            target(data)
        except Exception as error:  # any is a find
            failed += 1
            if len(failures) < KEPT:
                failures.append({"input": data.hex(), "error": f"{type(error).__name__}: {error}"[:300]})
        slowest = max(slowest, time.perf_counter() - began)
    return {"inputs": inputs, "failed": failed, "failures": failures, "slowest_ms": round(slowest * 1000, 1)}


@click.command()
@click.option("--inputs", default=200_000)
@click.option("--first", default=0)
def main(inputs: int, first: int) -> None:
    """All targets side by side."""
    with ProcessPoolExecutor(4) as pool:
        jobs = {name: pool.submit(run, name, first, inputs // SLOW.get(name, 1)) for name in TARGETS}
        found = {name: job.result() for name, job in jobs.items()}
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "fuzz.json").write_text(json.dumps({"machine": machine(), "targets": found}, indent=1) + "\n")
    click.echo(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
