"""Rows of overload as one: totals, own news and an arrival given -> line, shed or not, spending.

Totals are of a window of 2 s and of 10 brokers, arrivals lie evenly over the bands. Lines and rates come out
rounded to a thousandth.
"""

from typing import Any

from quincepath.fleet.load_reports import PRIORITY_BANDS, Count, ReplicaSetTotal, SendKind, Totals
from quincepath.fleet.overload import Arrival, LocalStats, OverloadControl, OverloadSettings
from tests.conformance.runner import runner

SECOND = 1_000_000_000
NOW = 20 * SECOND


def totals(told: dict[str, Any]) -> Totals:
    """Totals as a row tells them."""
    one = [0.0] * len(Count)
    for name in ("taken", "in_time", "late", "refused", "shed"):
        one[Count[name.upper()]] = float(told.get(name, 0))
    sends = [0.0] * len(SendKind)
    sends[SendKind.FIRST], sends[SendKind.FURTHER] = (
        float(told.get("first", 0)),
        float(told.get("further", 0)),
    )
    return Totals(
        at=NOW - int(told.get("age", 0.5) * SECOND), window=2 * SECOND, reporting=told.get("heard", 10),
        live=told.get("of", 10), by_class=(tuple(one),),
        sends=tuple(sends),
        arrivals=(told.get("taken", 0) / PRIORITY_BANDS,) * PRIORITY_BANDS, threshold=told.get("line", 0.0),
        replica_sets={
            cell: ReplicaSetTotal(*map(float, pair)) for cell, pair in told.get("cells", {}).items()
        },
    )  # fmt: skip


@runner("overload")
def run(given: dict[str, Any]) -> dict[str, Any]:
    core = OverloadControl(OverloadSettings(brokers=10), 1, NOW - SECOND)
    local = {key: float(value) for key, value in given.get("local", {}).items()}
    core.step(NOW - SECOND, LocalStats(2 * SECOND, (0.0,) * PRIORITY_BANDS, **local))
    out = core.step(NOW, totals(given["totals"]) if "totals" in given else None)
    found: dict[str, Any] = {"line": round(out.threshold, 3)}
    for name in ("extras", "trials", "dials"):
        found[name] = round(getattr(out.send_budget, name), 3)
    if "arrival" in given:
        told = given["arrival"]
        arrival = Arrival(0, told["worth"], "t", "c", tuple(told.get("cells", ())), SECOND)
        shed = core.on_arrival(NOW, arrival)
        found["shed"] = shed.reason.value if shed else "none"
    return found
