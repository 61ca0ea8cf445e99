"""Forecasts of drawn maps held against what those maps did, in virtual time, beside "shards times rate".

    python -m benchmarks.map_forecast [--pairs 200] [--earlier 60] [--queries 12000] [--workers 2]

Writes ``benchmarks/results/map_forecast.json``. The factor that widens the bars is learned from ``earlier``
pairs of their own seeds, in order, each after its forecast, and stands still for the pairs that are judged.
A figure of a set is measured at its first holder; it is bad where any measured figure of it is over a limit.
"""

import json
import platform
from collections import Counter, defaultdict
from collections.abc import Mapping
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import click

from quincepath.fleet.forecast import (
    AccuracyRecord,
    Environment,
    Figure,
    FigureKey,
    FigureKind,
    Footprint,
    Forecast,
    Limit,
    Part,
    ReplaySettings,
    Rules,
    Sample,
    Sampler,
    compare_with_measured,
    forecast,
    verdict,
)
from quincepath.lab.map_simulation import SECOND, Pair, Run, draw, simulate

RESULTS = Path(__file__).parent / "results"
NOON = 500_000 * 12 * 3600 * SECOND
BROKERS = 4
SIZE = 4096
TELLING = 0.002  # of misses, forecast or measured: below it hardly any bar can be wrong


def sampled(run: Run, size: int = SIZE) -> Sample:
    """The brokers' samples of a run, merged."""
    brokers = [Sampler(f"b{n}", 1, size) for n in range(BROKERS)]
    for number, one in enumerate(run.queries_run):
        broker, at = brokers[number % BROKERS], NOON + one.at
        broker.count(at)
        place = broker.hash_if_sampled(number)
        if place is not None:
            parts = tuple(Part(*part) for part in one.parts)
            broker.add(Footprint(place, at, one.kind.name, "t", parts, one.kind.target, one.took))
    return Sample(size=size).merged(*(broker.sample() for broker in brokers))


def measured(run: Run, pair: Pair) -> dict[FigureKey, float]:
    """The figures as they were."""
    seconds = run.span / SECOND
    found: dict[FigureKey, float] = {}
    kinds = sorted({one.kind.name for one in run.queries_run})
    for name in (*kinds, ""):
        mine = [one for one in run.queries_run if name in ("", one.kind.name)]
        if name:
            found[FigureKind.PARTS, name] = sum(len(one.parts) for one in mine) / len(mine)
        found[FigureKind.BYTES, name] = sum(part[4] for one in mine for part in one.parts) / seconds
        found[FigureKind.MISS, name] = sum(one.took > one.kind.target for one in mine) / len(mine)
    for group, index in run.calls:
        if index == 0:
            found[FigureKind.CALLS, group] = run.calls[group, 0] / seconds
            found[FigureKind.LOAD, group] = run.work[group, 0] / run.span / pair.slots
    return found


def baseline(run: Run, pair: Pair) -> dict[FigureKey, float]:
    """Shards times rate: each query asks as many shards of the new map, in proportion, as it does of the
    old, each shard as often as any other, each part at the mean cost of the parts today; as many are late as
    today.
    """
    seconds, grown = run.span / SECOND, len(pair.after.entries) / len(pair.before.entries)
    now = measured(run, pair)
    parts = [part for one in run.queries_run for part in one.parts]
    rate = len(parts) * grown / len(pair.after.entries) / seconds
    service = sum(part[2] for part in parts) / len(parts) / SECOND
    found = {place: value for place, value in now.items() if place[0] is FigureKind.MISS}
    found |= {
        place: value * grown
        for place, value in now.items()
        if place[0] in (FigureKind.PARTS, FigureKind.BYTES)
    }
    for group, shards in pair.after.sets().items():
        calls = rate * len(shards) / pair.holders[group]
        found[FigureKind.CALLS, group], found[FigureKind.LOAD, group] = calls, calls * service / pair.slots
    return found


def over(figures: Mapping[FigureKey, float], limits: Rules) -> bool:
    return any(
        figures[place] > limit.most for limit in limits.limits for place in figures if limit.covers(place)
    )


def rules(seed: int, now: Mapping[FigureKey, float]) -> Rules:
    """Limits drawn by the pair, some of them near to what the map will do."""
    random = Random(seed)
    return Rules(
        (
            Limit(FigureKind.LOAD, random.uniform(0.5, 0.95)),
            Limit(FigureKind.MISS, random.uniform(0.005, 0.05)),
            Limit(FigureKind.PARTS, now[FigureKind.PARTS, "page"] * random.uniform(1.05, 1.5), "page"),
            Limit(FigureKind.BYTES, now[FigureKind.BYTES, ""] * random.uniform(1.05, 1.5)),
        )
    )


def one(seed: int, queries: int, factors: dict[FigureKind, float]) -> dict[str, Any]:
    """A pair: forecast with and without the stored factors, then measured."""
    pair = draw(seed)
    before = simulate(pair, pair.before, queries, seed * 2 + 1)
    sample = sampled(before)
    world = Environment(pair.holders, pair.slots, BROKERS, BROKERS)
    settings = ReplaySettings(measured_queries=queries)
    found = [forecast(sample, pair.before, pair.after, world, settings, given) for given in ({}, factors)]
    limits = rules(seed, measured(before, pair))
    return {
        "seed": seed,
        "limits": limits,
        "change": pair.change,
        "found": found,
        "measured": measured(simulate(pair, pair.after, queries, seed * 2 + 2), pair),
        "baseline": baseline(before, pair),
        "verdicts": [verdict(each, limits, sample.until) for each in found],
    }


def inside(figure: Figure, value: float) -> bool:
    return figure.low <= value <= figure.high


def off(value: float, truth: float) -> float:
    return abs(value - truth) / truth if truth else float(value != 0)


def summary(rows: list[dict[str, Any]], which: int) -> dict[str, Any]:
    """Coverage by kind, error against the baseline's, verdicts against truth."""
    hits: dict[FigureKind, list[bool]] = defaultdict(list)
    errors: dict[FigureKind, list[tuple[float, float]]] = defaultdict(list)
    widths: dict[FigureKind, list[float]] = defaultdict(list)
    answers: dict[str, Counter[str]] = {"bad": Counter(), "good": Counter()}
    naive: dict[str, Counter[str]] = {"bad": Counter(), "good": Counter()}
    certain: Counter[FigureKind] = Counter()
    telling: list[bool] = []
    halts: Counter[str] = Counter()
    wrong = []
    for row in rows:
        found: Forecast = row["found"][which]
        for place, value in row["measured"].items():
            figure = found.figures[place]
            if figure.low == figure.high == value:
                certain[place[0]] += (
                    1  # as parts of a class that goes everywhere: no chance in it, not counted
                )
                continue
            hits[place[0]].append(inside(figure, value))
            if place[0] is FigureKind.MISS and max(figure.value, value) >= TELLING:
                telling.append(inside(figure, value))
            scale = 1.0 if place[0] is FigureKind.MISS else max(figure.value, 1e-9)
            widths[place[0]].append((figure.high - figure.low) / 2 / scale)
            if place[0] is FigureKind.MISS:
                errors[place[0]].append((abs(figure.value - value), abs(row["baseline"][place] - value)))
            else:
                errors[place[0]].append((off(figure.value, value), off(row["baseline"][place], value)))
        halts["as it is"] += compare_with_measured(found, row["measured"]).halt
        burning = max(
            (place for place in row["measured"] if place[0] is FigureKind.LOAD),
            key=row["measured"].__getitem__,
        )
        halts["fullest set 1.5 times as full"] += compare_with_measured(
            found, row["measured"] | {burning: 1.5 * row["measured"][burning]}
        ).halt
        truth, answer = (
            "bad" if over(row["measured"], row["limits"]) else "good",
            row["verdicts"][which].answer.value,
        )
        answers[truth][answer] += 1
        naive[truth]["refuse" if over(row["baseline"], row["limits"]) else "accept"] += 1
        if (truth, answer) in (("bad", "accept"), ("good", "refuse")):
            wrong.append(
                {
                    "seed": row["seed"],
                    "change": row["change"],
                    "truth": truth,
                    "why": row["verdicts"][which].why,
                }
            )
    return {
        "inside the 90% bar": {k: round(sum(v) / len(v), 4) for k, v in sorted(hits.items())},
        f"misses inside, of shares from {TELLING} on": [
            round(sum(telling) / max(1, len(telling)), 4),
            len(telling),
        ],
        "certain, not counted": dict(certain),
        "figures": {k: len(v) for k, v in sorted(hits.items())},
        "half bar, median, relative (miss: absolute)": {
            k: round(median(v), 4) for k, v in sorted(widths.items())
        },
        "error, median (miss: absolute)": {
            k: round(median(e[0] for e in v), 4) for k, v in sorted(errors.items())
        },
        "error of shards times rate, median": {
            k: round(median(e[1] for e in v), 4) for k, v in sorted(errors.items())
        },
        "halted after adoption": {name: round(count / len(rows), 4) for name, count in halts.items()},
        "verdicts": {truth: dict(sorted(count.items())) for truth, count in answers.items()},
        "verdicts of shards times rate": {
            truth: dict(sorted(count.items())) for truth, count in naive.items()
        },
        "wrong": wrong,
    }


def learned(earlier: int, queries: int, workers: Pool) -> AccuracyRecord:  # type: ignore[valid-type]
    """The record after the earlier adoptions. A factor does not change a forecast's ratios, which are in
    half bars before widening, so the order of the plays does not matter."""
    record = AccuracyRecord()
    plays = partial(one, queries=queries, factors={})
    for row in workers.imap(plays, range(1_000_001, 1_000_001 + earlier)):  # type: ignore[attr-defined]
        record = record.with_ratios(compare_with_measured(row["found"][0], row["measured"]).ratios)
    return record


@click.command()
@click.option("--pairs", default=200)
@click.option("--earlier", default=60)
@click.option("--queries", default=12_000)
@click.option("--workers", default=2)
@click.option("--write/--no-write", default=True)
def main(pairs: int, earlier: int, queries: int, workers: int, write: bool) -> None:
    with Pool(workers) as pool:
        factors = learned(earlier, queries, pool).factors()
        rows = list(pool.imap(partial(one, queries=queries, factors=factors), range(1, pairs + 1)))
    runs = {"with the stored factor": summary(rows, 1), "without it": summary(rows, 0)}
    found = {
        "python": platform.python_version(), "pairs": pairs, "earlier": earlier, "queries": queries,
        "sample": SIZE,
        "factors": {k.value: round(v, 3) for k, v in factors.items()}, **runs,
    }  # fmt: skip
    text = json.dumps(found, indent=1)
    if write:
        (RESULTS / "map_forecast.json").write_text(text + "\n")
    click.echo(text)


if __name__ == "__main__":
    main()
