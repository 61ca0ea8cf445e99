"""The fleet's ledger, measured in virtual time: three ways, bytes a member by size, time until it is right.

    python -m benchmarks.fleet_ledger ways          # minutes on two cores
    python -m benchmarks.fleet_ledger hard          # uneven load, a liar, clones
    python -m benchmarks.fleet_ledger explore DEPTH # the world of three, exhaustively

Rows go to ``benchmarks/results/fleet_ledger.json``. Each broker takes 100 queries a second, from 12 s on 300,
of 4 classes, with 64 places in the order, 40 replica sets and 12 tenants.
"""

import json
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from benchmarks.bad_day import RESULTS, machine
from quincepath.fleet.load_reports import Counts, LoadReporter
from quincepath.lab.fleet.ledger_ways import PushSum, ToAll
from quincepath.lab.fleet.ledger_world import SECOND, LedgerWorld, Network

FILE = RESULTS / "fleet_ledger.json"
WAYS: dict[str, type[LoadReporter]] = {"sums by few": LoadReporter, "to all": ToAll, "push-sum": PushSum}
SIZES, LOSSES = (10, 50, 200, 500), (0.0, 0.05, 0.3)
STEP, END, LOOK = 12 * SECOND, 26 * SECOND, SECOND // 5
BYTES_ONLY = {("to all", 200), ("to all", 500)}  # up to half a million datagrams a period: none is delivered


def keep(name: str, value: Any) -> None:
    found = json.loads(FILE.read_text()) if FILE.exists() else {}
    found["machine"] = machine()
    found[name] = value
    FILE.write_text(json.dumps(found, indent=1) + "\n")


def load(name: str, now: int) -> float:
    return 100.0 if now <= STEP else 300.0


def play(job: tuple[str, int, float]) -> dict[str, Any]:
    """One fleet: bytes of the calm seconds before the step, errors then, and what follows the step."""
    way, members, loss = job
    short = (way, members) in BYTES_ONLY
    world = LedgerWorld(members, 1, load, Network(loss=1.0 if short else loss), make=WAYS[way])
    begin, end = (3 * SECOND, 4 * SECOND) if short else (8 * SECOND, STEP)
    world.run(begin)
    before = [(p.sent, p.heard, p.packets) for p in world.processes]
    world.run(end)
    after = [(p.sent, p.heard, p.packets) for p in world.processes]
    seconds = (end - begin) / SECOND
    sent, heard, packets = (
        [(now[place] - then[place]) / seconds for then, now in zip(before, after, strict=True)]
        for place in range(3)
    )
    row: dict[str, Any] = {
        "way": way, "members": members, "loss": loss,
        "sent_mean": round(statistics.mean(sent)), "sent_most": round(max(sent)),
        "heard_mean": round(statistics.mean(heard)), "heard_most": round(max(heard)),
        "datagrams_mean": round(statistics.mean(packets), 1), "datagrams_most": round(max(packets)),
    }  # fmt: skip
    if short:
        return {name: value for name, value in row.items() if not name.startswith("heard")}
    truth = world.truth()
    wrong = [abs(value / truth - 1) for value in world.taken()]
    age = [(world.now - p.totals.at) / SECOND for p in world.processes if p.totals]
    row["error_mean"], row["error_most"] = round(statistics.mean(wrong), 4), round(max(wrong), 4)
    row["age_mean"], row["age_most"] = round(statistics.mean(age), 2), round(max(age), 2)
    row["coverage_mean"] = round(statistics.mean(p.totals.coverage for p in world.processes if p.totals), 3)
    last: dict[str, int] = dict.fromkeys(world.names, STEP)  # when each was wrong by more than 5%
    every = STEP
    while world.now < END:
        world.run(world.now + LOOK)
        truth = world.truth()
        for name, value in zip(world.names, world.taken(), strict=True):
            if abs(value / truth - 1) > 0.05:
                last[name] = every = world.now
    times = sorted((at - STEP) / SECOND for at in last.values())
    row["right_after_median"] = round(statistics.median(times), 1)
    row["right_after_95"] = round(times[int(0.95 * (len(times) - 1))], 1)
    row["right_after_all"] = round((every - STEP) / SECOND, 1) if every < END else "not within 14 s"
    return row


@click.group()
def main() -> None:
    """Figures of the ledger."""


@main.command()
def ways() -> None:
    """The three ways at all sizes and losses."""
    jobs = [(way, size, loss) for way in WAYS for size in SIZES for loss in LOSSES]
    jobs = [job for job in jobs if (job[0], job[1]) not in BYTES_ONLY or not job[2]]
    with ProcessPoolExecutor(2) as pool:
        rows = []
        for row in pool.map(play, sorted(jobs, key=lambda job: (job[0] != "sums by few", job[1]))):
            rows.append(row)
            keep("ways", sorted(rows, key=lambda r: (list(WAYS).index(r["way"]), r["members"], r["loss"])))


def skewed(name: str, now: int) -> float:
    return 4.0 * 100 if name < "b010" else 0.0


def thousandfold(counts: Counts) -> Counts:
    counts.by_class = [[1000 * value for value in row] for row in counts.by_class]
    return counts


def hard(job: tuple[str, str]) -> dict[str, Any]:
    """50 members, no loss, 10 s: what a few busy ones, a liar and a clone do to the totals."""
    way, case = job
    world = LedgerWorld(50, 1, skewed if case == "ten brokers have all load" else load, make=WAYS[way])
    honest = None
    if case == "one counts 1000 times too high":
        world.of["b020"].bend = thousandfold
        honest = [name for name in world.names if name != "b020"]
    if case == "five clones":
        for name in world.names[:5]:
            world.start(name, clone=True)
    world.run(10 * SECOND)
    own = {process.boot for process in world.of.values()}
    world.processes = [process for process in world.processes if process.boot in own]
    truth = world.truth(names=honest)
    off = [value / truth - 1 for value in world.taken(honest)]
    return {
        "way": way,
        "case": case,
        "off_mean": round(statistics.mean(off), 4),
        "off_most": round(max(off), 4),
    }


@main.command(name="hard")
def hard_cases() -> None:
    """The three ways where counts are uneven or wrong."""
    cases = ("ten brokers have all load", "one counts 1000 times too high", "five clones")
    keep("hard", [hard((way, case)) for case in cases for way in WAYS])


@main.command()
@click.argument("depth", type=int)
def explore(depth: int) -> None:
    """Every choice of so many steps."""
    from tests.fleet.load_reports.test_worlds import explore as explored

    begun = time.monotonic()
    ends, wrong = explored(depth)
    keep(
        "explored", {"depth": depth, "ends": ends, "wrong": len(wrong), "s": round(time.monotonic() - begun)}
    )
    click.echo(f"{ends} ends, {len(wrong)} wrong")


if __name__ == "__main__":
    main()
