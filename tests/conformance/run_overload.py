"""Rows of overload control: totals, local statistics and an arrival -> threshold, shed or not, send budget.

Totals are of a window of 2 s and of 10 brokers, arrivals are uniform over the bands. Thresholds and rates are
rounded to a thousandth.
"""

from typing import Any

from quincepath.fleet.load_reports import PRIORITY_BANDS, Count, ReplicaSetTotal, SendKind, Totals
from quincepath.fleet.overload import Arrival, LocalStats, OverloadControl, OverloadSettings
from tests.conformance.runner import runner

SECOND = 1_000_000_000
NOW = 20 * SECOND


def totals(row: dict[str, Any]) -> Totals:
    """Totals as given in a row."""
    counts = [0.0] * len(Count)
    for name in ("taken", "in_time", "late", "refused", "shed"):
        counts[Count[name.upper()]] = float(row.get(name, 0))
    sends = [0.0] * len(SendKind)
    sends[SendKind.FIRST], sends[SendKind.FURTHER] = (
        float(row.get("first", 0)),
        float(row.get("further", 0)),
    )
    return Totals(
        at=NOW - int(row.get("age", 0.5) * SECOND), window=2 * SECOND, reporting=row.get("heard", 10),
        live=row.get("of", 10), by_class=(tuple(counts),),
        sends=tuple(sends),
        arrivals=(row.get("taken", 0) / PRIORITY_BANDS,) * PRIORITY_BANDS, threshold=row.get("line", 0.0),
        replica_sets={
            cell: ReplicaSetTotal(*map(float, pair)) for cell, pair in row.get("cells", {}).items()
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
        arrival_row = given["arrival"]
        arrival = Arrival(0, arrival_row["worth"], "t", "c", tuple(arrival_row.get("cells", ())), SECOND)
        shed = core.on_arrival(NOW, arrival)
        found["shed"] = shed.reason.value if shed else "none"
    return found
