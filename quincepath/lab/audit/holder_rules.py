"""Rules 3 and 4, which protect holders: no new work while they drain, limited work while they are cold."""

from bisect import bisect_right
from collections import defaultdict

from quincepath.lab.audit.record_index import Finding, LocatedLine, RecordIndex
from quincepath.standins.record import Bounds, Got, Told, Up

INFORMED_SHARE = 2 / 3  # rule 4 applies if this share of the work came from brokers that knew of the start
NEVER_NS = 1 << 62


def check_drains(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 3: no new work at a draining holder once the grace after the broker was notified is over."""
    updates: dict[tuple[str, int], list[LocatedLine[Told]]] = defaultdict(list)
    for entry in index.told:
        updates[entry.line.holder, entry.line.broker].append(entry)
    for got in index.got:
        relevant = updates.get((got.line.holder, -1)) or updates.get((got.line.holder, got.line.broker), [])
        count = bisect_right([entry.line.at for entry in relevant], got.line.at)
        if not count or relevant[count - 1].line.phase == "ready":
            continue
        first = count - 1
        while first and relevant[first - 1].line.phase != "ready":
            first -= 1
        late = got.line.at - relevant[first].line.at - bounds.notice - bounds.drain_grace
        index.record_limit_use("3: grace after news", 1 + late / bounds.drain_grace)
        if late > bounds.slack:
            what = (
                f"query {got.line.query} reached {got.line.holder} {late / 1e6:.0f} ms past the grace "
                f"after news that it is {relevant[first].line.phase}"
            )
            index.findings.append(Finding(3, got.line.at, got.where, what))


def check_cold_holders(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 4: work sent to a cold holder in any window, against its capacity in that window."""
    by_holder: dict[str, list[LocatedLine[Got]]] = defaultdict(list)
    for got in index.got:
        by_holder[got.line.holder].append(got)
    for entry in index.ups:
        up = entry.line
        if up.cold >= 1:
            continue
        informed_at: dict[int, int] = {}  # by broker, when it had read of this start
        for update in index.told:
            line = update.line
            if line.holder == up.holder and line.phase == "ready" and line.at >= up.at:
                informed_at.setdefault(line.broker, line.at + bounds.notice)
        relevant = [g for g in by_holder[up.holder] if up.at <= g.line.at < up.at + up.ramp]
        for first, got in enumerate(relevant):
            start = got.line.at
            within = [g for g in relevant[first:] if g.line.at < start + bounds.overload_for]
            work = sum(g.line.work for g in within)
            capacity = _capacity(up, start, start + bounds.overload_for)
            limit = bounds.fall_multiple * capacity + got.line.work
            # Work from brokers that could not know of the start does not count as a violation of the others.
            informed_work = sum(
                g.line.work
                for g in within
                if g.line.at >= informed_at.get(-1, informed_at.get(g.line.broker, NEVER_NS))
            )
            if informed_work >= INFORMED_SHARE * work:
                index.record_limit_use("4: window of a cold holder", work / limit)
            if work > limit and informed_work >= INFORMED_SHARE * work:
                what = f"{up.holder}, cold, was sent {work / limit:.2f} times the most of a window"
                index.findings.append(Finding(4, start, got.where, what))
                break


def _capacity(up: Up, start: int, end: int) -> float:
    """Return the work (ns) that a holder can do in a window while it warms up."""

    def warmth(at: int) -> float:
        return min(1.0, up.cold + (1 - up.cold) * (at - up.at) / up.ramp)

    return up.capacity * (warmth(start) + warmth(end)) / 2 * (end - start) / 1e9
