"""Rows of the load reports: reports as one reader receives them -> its totals, their age and coverage.

All are in one group, which the reader aggregates. Times in ms of the reader's clock; ``up``: uptime of the
sender in ms; without it, the sender started at 0. The reader itself counts nothing.
"""

from typing import Any

from quincepath.fleet.load_reports import (
    Count,
    Counts,
    DatagramReceived,
    LiveMembers,
    LoadReporter,
    LoadReportSettings,
    TenantCount,
    Totals,
)
from quincepath.fleet.load_reports.fields import encode_runs, flatten
from quincepath.fleet.load_reports.messages import Report, TenantUse, encode, pack
from quincepath.fleet.load_reports.types import MS
from tests.conformance.runner import runner


def report(message: dict[str, Any]) -> Report:
    counts = Counts(by_class=[[message.get("taken", 0)] + [0] * 7], slot_time=message.get("slots", 0) * MS)
    counts.by_class[0][Count.LATE] = message.get("late", 0)
    counts.tenants = {n: TenantCount(*values) for n, values in message.get("tenants", {}).items()}
    uses = tuple(TenantUse(n, one.slot_time, one.waiting, one.base) for n, one in counts.tenants.items())
    values = flatten(counts)
    up, line = message.get("up", message["at"]), message.get("line", 0)
    runs = encode_runs(values, sorted(values))
    return Report(message["number"], up, line, sum(u.waiting for u in uses), runs, uses)


@runner("ledger")
def run(given: dict[str, Any]) -> dict[str, Any]:
    settings = LoadReportSettings(**{"aggregators": 5, **given.get("settings", {})})
    reporter = LoadReporter("f", "reader", 1, settings, 0)
    boots = {"reader": 1, **given["living"]}
    events = [(message["at"], message) for message in given["messages"]]
    events += [(entry["at"], entry) for entry in given.get("views", [])]
    totals: Totals | None = None

    def until(when: int) -> None:
        nonlocal totals
        while reporter.due <= when:
            for out in reporter.step(reporter.due):
                totals = out if isinstance(out, Totals) else totals

    # With as many aggregators as members the reader is one of them; the others send it nothing.
    reporter.step(0, [LiveMembers(boots, len(boots))])
    for at, event in sorted(events, key=lambda one: one[0]):
        until(at * MS)
        if "living" in event:
            reporter.step(at * MS, [LiveMembers({"reader": 1, **event["living"]}, len(boots))])
        else:
            raw = encode(report(event))
            data = pack(event.get("fleet", "f"), event["from"], event["boot"], "reader", raw)
            reporter.step(at * MS, [DatagramReceived(data)] * event.get("times", 1))
    until(given["read"] * MS)
    assert totals is not None
    return {
        "taken": totals.count(Count.TAKEN),
        "late": totals.count(Count.LATE),
        "heard": totals.reporting,
        "of": totals.live,
        "line": totals.threshold,
        "tenants": {n: [one.slot_time / MS, one.waiting] for n, one in totals.tenants.items()},
        "rest": totals.rest.slot_time / MS,
        "causes": {cause: count for cause, count in reporter.causes.items() if count},
        "old": given["read"] * MS - totals.at > settings.fresh_within,
    }
