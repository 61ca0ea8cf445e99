"""Random fault search: draws scripts from ranges and minimizes the troubles of the worst ones. Pure."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, get_args

import numpy as np

from quincepath.lab.emulator.rehearsal import Outcome, rehearse
from quincepath.lab.emulator.script import Script, TroubleKind
from quincepath.lab.emulator.world import ContractViolation

TROUBLE_KINDS = sorted(get_args(TroubleKind))
# Share of the full script's badness that a smaller script must reach to count as the same failure.
MIN_KEPT_LOSS = 0.8
LENGTH_S = 14  # of a drawn run


@dataclass(slots=True, frozen=True)
class SearchResult:
    """One drawn run; ``contract`` describes a contract violation, if the program itself failed."""

    number: int
    script: Script
    outcome: Outcome | None
    contract: str = ""

    @property
    def broken(self) -> bool:
        """Whether an audit rule or a contract was violated, or a holder collapsed under load."""
        return self.outcome is None or self.outcome.broken

    @property
    def good(self) -> float:
        """Share of queries answered whole within the target; 0 after a contract violation."""
        return 0.0 if self.outcome is None else self.outcome.good

    def badness(self) -> float:
        """Loss of the run: a rule violation or collapsed holder outweighs all but a contract violation."""
        if self.outcome is None:
            return 1000.0
        return 10.0 * len(self.outcome.report.findings) + 10.0 * len(self.outcome.fell) + 1 - self.good


def draw_script(number: int, large: bool = False) -> Script:
    """Draw a script by its number: fleet, traffic and one to four troubles, which may overlap."""
    random = np.random.default_rng([91, number])

    def between(low: float, high: float) -> float:
        return float(round(random.uniform(low, high), 2))

    sets, replicas = (int(random.integers(40, 56)), 2) if large else (int(random.integers(2, 6)), 2)
    brokers = int(random.integers(23, 33)) if large else int(random.integers(2, 9))
    load = between(0.25, 0.6)  # share of the cores, when all holders are healthy
    work_ms = between(10, 40)
    shards = sets * 2
    parts = min(shards, 12 if large else 5)
    rate = load * sets * replicas * 2 * 1000 / work_ms / (0.6 * parts * 0.6 + 0.4 * 2.5 * 1.5)
    troubles = []
    for _ in range(int(random.integers(1, 5))):
        at, last = between(2, 8), between(1.5, 6)
        trouble: dict[str, Any] = {
            "kind": TROUBLE_KINDS[int(random.integers(len(TROUBLE_KINDS)))],
            "at": f"{at}s",
            "last": f"{last}s",
            "holders": between(0.1, 0.35),
            "brokers": between(0.1, 0.5),
            "times": between(2, 9),
            "share": between(0.3, 0.95),
            "every": f"{between(1.5, 4)}s",
            "pause": f"{int(between(200, 500))}ms",
        }
        if trouble["kind"] in ("class_errors", "heavy_tail", "poison"):
            trouble["of_class"] = "report" if random.random() < 0.5 else "glance"
            if trouble["kind"] == "poison":
                trouble["share"] = between(0.005, 0.03)
            elif trouble["kind"] == "heavy_tail":
                trouble["share"] = between(0.01, 0.1)
        elif trouble["kind"] == "zone_loss":
            trouble["zone"] = "lower"
        elif trouble["kind"] in ("burst", "impatience"):
            trouble["times"] = between(1.3, 2.5)
        troubles.append(trouble)
    return Script.model_validate(
        {
            "about": f"drawn day {number}",
            "seed": number,
            "length": f"{LENGTH_S}s",
            "brokers": brokers,
            "fleet": {
                "sets": sets,
                "replicas": replicas,
                "shards": 2,
                "ramp": f"{between(4, 10)}s",
                "cold": between(0.12, 0.4),
            },
            "traffic": {"rate": round(rate, 1), "retries": int(random.integers(0, 3))},
            "classes": [
                {
                    "name": "glance",
                    "share": 6,
                    "parts": [max(parts - 2, 1), parts],
                    "work": f"{work_ms}ms",
                    "target": "1500ms",
                    "deadline": "3s",
                    "need": "60%",
                },
                {
                    "name": "report",
                    "share": 4,
                    "parts": [1, min(4, shards)],
                    "work": f"{work_ms}ms",
                    "target": "2s",
                    "deadline": "5s",
                    "second_step": True,
                },
            ],
            "troubles": troubles,
        }
    )


def run_script(number: int, script: Script, run: Callable[[Script], Outcome] = rehearse) -> SearchResult:
    """Run one script. A contract violation is a result like any other: the search continues."""
    try:
        return SearchResult(number, script, run(script))
    except ContractViolation as error:
        return SearchResult(number, script, None, str(error))


def search_faults(numbers: Iterator[int] | range, large: bool = False) -> Iterator[SearchResult]:
    """Draw and run scripts one after the other."""
    for number in numbers:
        yield run_script(number, draw_script(number, large))


def minimize(result: SearchResult, run: Callable[[Script], Outcome] = rehearse) -> SearchResult:
    """Remove troubles one at a time as long as the remaining script is nearly as bad."""
    best = result
    improved = True
    while improved and len(best.script.troubles) > 1:
        improved = False
        for index in range(len(best.script.troubles)):
            fewer = [t for at, t in enumerate(best.script.troubles) if at != index]
            script = best.script.model_copy(update={"troubles": fewer})
            candidate = run_script(result.number, script, run)
            if candidate.badness() >= MIN_KEPT_LOSS * result.badness():
                best, improved = candidate, True
                break
    return best
