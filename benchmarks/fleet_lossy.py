"""Modes of ``benchmarks.fleet_view`` about a fleet that loses datagrams: settled, ways, causes, crash."""

import statistics
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from benchmarks.fleet_keep import keep, percentile
from benchmarks.fleet_settled import BEFORE, WAYS, one_calm, one_count, one_kill, rows_of

AT_ONCE = 3  # processes
PAIR: tuple[tuple[str, dict[str, Any]], ...] = (
    ("before", BEFORE),
    ("after", {}),
)  # the program without what keeps it settled, and as it is


@click.command()
@click.option(
    "--seeds", type=(int, int, int, int), default=(20, 20, 20, 4), help="Runs of each size; 0: none."
)
@click.option("--only", type=click.Choice([name for name, _ in PAIR]), help="One of the two programs.")
@click.option("--lose", type=float, multiple=True, default=(0.05, 0.1, 0.0, 0.01))
def settled(seeds: tuple[int, int, int, int], only: str | None, lose: tuple[float, ...]) -> None:
    """Share of time settled without any fault but loss, and its cost, before and after, by size and loss."""
    rows = []
    with ProcessPoolExecutor(AT_ONCE) as workers:
        for members, runs in zip((10, 50, 200, 500), seeds, strict=True):
            for share in lose if runs else ():
                for name, changes in PAIR:
                    if only in (None, name):
                        jobs = [(members, share, changes, 35, seed) for seed in range(runs)]
                        rows.append({"program": name, **rows_of(jobs, list(workers.map(one_calm, jobs)))})
                        click.echo(rows[-1])
                keep("settled" if only is None else f"settled_{only}_only", rows)


@click.command()
def ways() -> None:
    """The same for each way to mend it, three seeds each."""
    rows = []
    with ProcessPoolExecutor(AT_ONCE) as workers:
        for members, lose in ((9, 0.08), (50, 0.05), (50, 0.1), (200, 0.05), (200, 0.2)):
            for name, changes in WAYS.items():
                jobs = [(members, lose, changes, 45, seed) for seed in range(3)]
                rows.append({"way": name, **rows_of(jobs, list(workers.map(one_calm, jobs)))})
    keep("ways", rows)


@click.command()
def causes() -> None:
    """How often probes fail, and at which message, by loss."""
    rows = []
    with ProcessPoolExecutor(AT_ONCE) as workers:
        for name, changes in PAIR:
            for members, lose in ((9, 0.08), (50, 0.01), (50, 0.05), (50, 0.1), (200, 0.05)):
                counts: Counter[str] = Counter()
                for one in workers.map(one_count, [(members, lose, changes, 60, seed) for seed in range(6)]):
                    counts.update(one)
                rows.append({"program": name, "members": members, "lose": lose, "seeds": 6, **counts})
    keep("causes", rows)


@click.command()
def crash() -> None:
    """A crash, before and after: first doubt, all know, all are settled again (seconds; by 16 s)."""
    rows = []
    with ProcessPoolExecutor(AT_ONCE) as workers:
        for members, seeds in ((10, 100), (50, 60), (200, 40), (500, 8)):
            for lose in (0.0, 0.05):
                for name, changes in PAIR:
                    found = list(workers.map(one_kill, [(members, lose, changes, n) for n in range(seeds)]))
                    row: dict[str, Any] = {"program": name, "members": members, "lose": lose, "seeds": seeds}
                    for place, what in enumerate(("doubt", "know", "settled")):
                        values = [one[place] for one in found if one[place] >= 0]
                        row[f"{what}_by_the_end"] = len(values)
                        if values:
                            row[f"{what}_median_s"] = round(statistics.median(values), 2)
                            row[f"{what}_p99_s"] = round(percentile(values, 0.99), 2)
                    rows.append(row)
                    click.echo(row)
    keep("crash", rows)
