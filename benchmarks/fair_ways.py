"""Ways of giving turns at one broker, weighed: what each brings, and what was tried without gain.

    python -m benchmarks.fair_ways [--seeds 20]

Writes ``benchmarks/results/fair_ways.json``. One broker of 20 slots, eight tenants that always want more,
with queries of half a second (slot time), two with queries of 40 s in four parts, and a quiet one with
small queries.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from quincepath.lab.fair_plan import Plan, Result, Tenant
from quincepath.lab.fair_schedulers import FairQueueing, FirstCome, SlotScheduler
from quincepath.lab.fair_simulation import Simulation
from quincepath.limits.fair import Done, FairScheduler, FairSettings
from quincepath.limits.fair.queues import Lane, Queue, Waiting
from quincepath.limits.fair.tags import Tags
from quincepath.limits.fair.types import MS, SECOND

RESULTS = Path(__file__).parent / "results"
CAPPED = FairSettings(slots=20, quick_slots=4)
OPEN = FairSettings(slots=20, quick_slots=4, small_share=0.0, small_floor=0)
QUANTUM = SECOND


class RoundRobin(Tags):
    """Each tenant one query in turn, whatever it costs."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.round: list[str] = []

    def next(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        lanes = tuple(open_lanes)
        backlogged = self.queues.backlogged
        self.round = [key for key in self.round if key in backlogged]
        self.round += [key for key in backlogged if key not in self.round]
        for _ in range(len(self.round)):
            key = self.round.pop(0)
            self.round.append(key)
            one = backlogged[key].first(lanes)
            if one is not None:
                return one
        return None


class Deficit(RoundRobin):
    """Deficit round robin by the guess: a tenant's turn goes on while its deficit covers its next query."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.deficit: dict[str, float] = {}

    def next(self, open_lanes: Iterable[Lane]) -> Waiting | None:
        lanes = tuple(open_lanes)
        backlogged = self.queues.backlogged
        self.deficit = {key: self.deficit.get(key, 0.0) for key in backlogged}
        may = {key: one for key, queue in backlogged.items() if (one := queue.first(lanes)) is not None}
        if not may:
            return None
        self.round = [key for key in self.round if key in backlogged]
        self.round += [key for key in backlogged if key not in self.round]
        while True:
            key = self.round[0]
            one = may.get(key)
            if one is not None and self.deficit[key] >= one.estimate.cost:
                self.deficit[key] -= one.estimate.cost
                return one
            self.round.append(self.round.pop(0))
            if one is not None:
                self.deficit[key] += QUANTUM * backlogged[key].weight


class EndTurns(FairScheduler):
    """Charges as a way says: no charge while a query runs; its whole cost at its end."""

    first = 0

    def new_tags(self) -> Tags:
        outer = self

        class Late(Tags):
            def query_started(self, queue: Queue, cost: int) -> None:
                self.virtual = max(self.virtual, queue.tag)
                queue.running += 1
                queue.tag += int(outer.first / queue.weight)

            def charge(self, queue: Queue, cost: int) -> None:
                pass

        return Late(self.settings, self.queues)

    def step(self, now: int, inputs: Iterable[Any] = ()) -> list[Any]:
        inputs = list(inputs)
        for one in inputs:
            if isinstance(one, Done):
                run = self.runs.all.get(one.number)
                if run is not None and run.queue is not None:
                    run.queue.tag += int((one.slot_time - self.first) / run.queue.weight)
        return super().step(now, inputs)


class SeatTurns(EndTurns):
    """As ``EndTurns``, with a fixed first charge of a second."""

    first = SECOND


def fair(
    turns: type[FairScheduler] = FairScheduler, tags: type[Tags] | None = None
) -> Callable[[FairSettings, int], SlotScheduler]:
    """Fair queues with another part in them."""

    def make(settings: FairSettings, seed: int) -> SlotScheduler:
        class With(turns):  # type: ignore[misc, valid-type]
            def new_tags(self) -> Any:
                return tags(self.settings, self.queues) if tags else super().new_tags()

        scheduler = FairQueueing(settings, seed)
        scheduler.inner = With(settings, seed)
        return scheduler

    return make


WAYS: dict[str, tuple[Callable[[FairSettings, int], SlotScheduler], FairSettings]] = {
    "first-come": (FirstCome, CAPPED),
    "round robin by query": (fair(tags=RoundRobin), CAPPED),
    "deficit round robin by the guess": (fair(tags=Deficit), CAPPED),
    "SFQ, charged at the end only": (fair(EndTurns), CAPPED),
    "SFQ, a fixed charge put right at the end (seats)": (fair(SeatTurns), CAPPED),
    "SFQ(D), charged while it runs, no slots kept from large ones": (fair(), OPEN),
    "SFQ(D), charged while it runs, slots kept from large ones": (fair(), CAPPED),
}
TENANTS = (
    *(Tenant(f"small {n}", (0,), clients=8, cost=500 * MS) for n in range(8)),
    *(
        Tenant(f"huge {n}", (0,), clients=8, cost=40 * SECOND, parts=4, kind=2, target=90 * SECOND)
        for n in range(2)
    ),
    Tenant("quiet", (0,), rate=0.5, cost=500 * MS),
)


HUGE_ALL = (*(replace(TENANTS[8], name=f"huge {n}") for n in range(8)), TENANTS[-1])


def play(way: str, seed: int, tenants: tuple[Tenant, ...] = TENANTS) -> Result:
    scheduler, settings = WAYS[way]
    return Simulation(
        Plan(tenants, scheduler, settings, brokers=1, holders=6, length=90 * SECOND), seed
    ).run()


def percentile(values: list[int], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))] / SECOND, 3)


@click.command()
@click.option("--seeds", default=20)
def main(seeds: int) -> None:
    """Run and write the results."""
    found = {}
    weights = {tenant.name: 1.0 for tenant in TENANTS}
    for way in WAYS:
        runs = [play(way, seed) for seed in range(seeds)]
        indexes = sorted(
            one for run in runs for w in range(1, 9) if (one := run.jain(w, weights)) is not None
        )
        whole = [
            sum(got) ** 2 / (len(got) * sum(one * one for one in got))
            for run in runs
            for got in [[sum(run.used[t.name][w] for w in range(1, 9)) for t in TENANTS[:-1]]]
        ]
        small = [wait for run in runs for n in range(8) for wait in run.waits[f"small {n}"]]
        quiet = [wait for run in runs for wait in run.waits["quiet"]]
        among = [play(way, seed, HUGE_ALL) for seed in range(seeds)]
        alone = [wait for run in among for wait in run.waits["quiet"]]
        found[way] = {
            "jain 10 s median": round(indexes[len(indexes) // 2], 3),
            "jain 10 s 5th percentile": round(indexes[len(indexes) // 20], 3),
            "jain 80 s": round(sum(whole) / len(whole), 3),
            "small waits 99th s": percentile(small, 0.99),
            "quiet waits median s": percentile(quiet, 0.5),
            "quiet waits 99th s": percentile(quiet, 0.99),
            "idle while somebody waits": round(sum(run.idle_share() for run in runs) / seeds, 4),
            "quiet among huge only, waits 99th s": percentile(alone, 0.99),
            "the same, idle while somebody waits": round(sum(run.idle_share() for run in among) / seeds, 4),
        }
        click.echo(f"{way}: {found[way]}")
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "fair_ways.json").write_text(json.dumps({"seeds": seeds, "found": found}, indent=1) + "\n")


if __name__ == "__main__":
    main()
