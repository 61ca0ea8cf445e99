"""Runs a script to its end, audits its record and computes its figures."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from quincepath.lab.audit import Report, check_rules, collect
from quincepath.lab.emulator.script import Script
from quincepath.lab.emulator.troubles import TroubleInjector
from quincepath.lab.emulator.world import Emulation, MakeModule
from quincepath.policy import Aggregator
from quincepath.standins.record import Line, Said

WINDOW_S = 10  # length of the window whose worst share is reported


@dataclass(slots=True, frozen=True)
class Outcome:
    """Result of a rehearsal. Shares are of queries answered whole within the target, from their first try."""

    report: Report
    good: float
    by_class: dict[str, float]
    worst_window: float
    answers: dict[str, int]
    attempts_a_part: float
    tries_a_query: float
    median_s: float
    p99_s: float
    fell: list[str]
    fullest: dict[str, float]  # cold holders: fullest load window as a share of the one that collapses them
    down_most: int
    bad_answers: int  # parts that holders failed or rejected
    events: int

    @property
    def broken(self) -> bool:
        """Whether a rule was violated or a holder collapsed under load."""
        return bool(self.report.findings or self.fell)

    def figures(self) -> dict[str, Any]:
        """The rounded figures, for tables."""
        return {
            "good": round(self.good, 4),
            "worst_10s": round(self.worst_window, 4),
            "by_class": {name: round(share, 4) for name, share in self.by_class.items()},
            "answers": self.answers,
            "attempts_a_part": round(self.attempts_a_part, 4),
            "tries_a_query": round(self.tries_a_query, 4),
            "median_s": round(self.median_s, 4),
            "p99_s": round(self.p99_s, 4),
            "fell": self.fell,
            "fullest_cold_window": round(max(self.fullest.values(), default=0.0), 3),
            "down_most": self.down_most,
            "bad_answers": self.bad_answers,
            "findings": len(self.report.findings),
            "used_of_limits": {name: round(share, 3) for name, share in self.report.limit_use.items()},
        }


def rehearse(
    script: Script,
    seed: int | None = None,
    sink: Callable[[Line], None] | None = None,
    make_module: MakeModule = Aggregator,
    until: int | None = None,
) -> Outcome:
    """Run a script; ``sink`` also receives each record line. ``until``: stop after so many ns of the run."""
    lines: list[Line] = []

    def record_line(line: Line) -> None:
        lines.append(line)
        if sink is not None:
            sink(line)

    world = Emulation(script, seed, record_line, make_module)
    TroubleInjector(world)
    statistics = world.run(until)
    report = check_rules(collect((f"line {number}", line) for number, line in enumerate(lines, 1)))
    asked = sum(statistics.asked.values())
    seconds = sorted(statistics.by_second) or [0]
    worst = 1.0
    for first in seconds:
        inside = [
            statistics.by_second[s] for s in range(first, first + WINDOW_S) if s in statistics.by_second
        ]
        if first + WINDOW_S - 1 <= seconds[-1] or first == seconds[0]:
            worst = min(worst, sum(g for _, g in inside) / max(sum(a for a, _ in inside), 1))
    latencies_s = np.array(statistics.latencies_s or [0.0])
    return Outcome(
        report=report,
        good=sum(statistics.good.values()) / max(asked, 1),
        by_class={name: statistics.good[name] / count for name, count in sorted(statistics.asked.items())},
        worst_window=worst,
        answers=dict(sorted(statistics.outcomes.items())),
        attempts_a_part=report.attempts_per_part(),
        tries_a_query=statistics.tries / max(asked, 1),
        median_s=float(np.percentile(latencies_s, 50)),
        p99_s=float(np.percentile(latencies_s, 99)),
        fell=statistics.fell,
        fullest={name: s.max_window_share for name, s in world.fleet.servers.items() if s.max_window_share},
        down_most=statistics.down_most,
        bad_answers=sum(isinstance(line, Said) and not line.good for line in lines),
        events=statistics.events,
    )
