"""Rows of the fair turns: what comes in -> who runs, is refused, waits. The table says how it is read."""

from typing import Any

from quincepath.limits.fair import (
    Cancelled,
    Done,
    Enter,
    FairScheduler,
    FairSettings,
    Footprint,
    Freed,
    Refuse,
    RemoteUsage,
    Stop,
)
from quincepath.limits.fair.types import MS
from tests.conformance.runner import runner

COSTS = {1: 1000, 2: 10, 3: 10000}  # ms


@runner("fair")
def run(row: dict[str, Any]) -> dict[str, Any]:
    """What came of a row: numbers of queries."""
    turns = FairScheduler(FairSettings(slots=4, quick_slots=1, query_slots_most=3, weights={"heavy": 3.0},
                               small_floor=row.get("floor", 0), waiting_most=row.get("waiting", 1000),
                               waiting_tenant_most=3 if "waiting" in row else 100), 1)  # fmt: skip
    for kind, cost in COSTS.items():
        for _ in range(20):
            turns.costs.learn("", Footprint(kind, 1, (0,)), cost * MS, cost * MS)
    now = number = 0
    came: dict[str, list[int]] = {"runs": [], "refused": []}
    for what, *rest in row["do"]:
        match what, rest:
            case "enter", [tenant, kind, target, *parts]:
                number += 1
                footprint = Footprint(kind, parts[0] if parts else 1, (0,))
                inputs: list[Any] = [Enter(number, tenant, footprint, target * MS, now + target * MS)]
            case "done", [which, cost]:
                inputs = [Done(which, cost * MS)]
            case "gone", [which]:
                inputs = [Cancelled(which)]
            case "free", [which, parts]:
                inputs = [Freed(which, parts)]
            case "news", [served, age]:
                inputs = [RemoteUsage({name: total * MS for name, total in served.items()}, age * MS)]
            case "at", [when]:
                now, inputs = when * MS, []
            case "stop", [left]:
                inputs = [Stop(now + left * MS)]
            case _:
                raise ValueError(f"{what} {rest}: not a thing to do")
        for output in turns.step(now, inputs):
            came["refused" if isinstance(output, Refuse) else "runs"].append(output.number)
        turns.check()
    return came | {"waits": sorted(turns.queues.waiting)}
