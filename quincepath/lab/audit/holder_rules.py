"""Rules 3 and 4, on what holders are spared: new work while they drain, too much while they are cold."""

from bisect import bisect_right
from collections import defaultdict

from quincepath.lab.audit.record_index import Finding, LocatedLine, RecordIndex
from quincepath.standins.record import Bounds, Got, Told, Up

INFORMED_SHARE = 2 / 3  # of a cold holder's work that came from brokers who knew: then the rule is broken
FAR = 1 << 62


def check_drains(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 3: nothing new past the grace after the broker was told."""
    news: dict[tuple[str, int], list[LocatedLine[Told]]] = defaultdict(list)
    for seen in index.told:
        news[seen.line.holder, seen.line.broker].append(seen)
    for got in index.got:
        mine = news.get((got.line.holder, -1)) or news.get((got.line.holder, got.line.broker), [])
        before = bisect_right([seen.line.at for seen in mine], got.line.at)
        if not before or mine[before - 1].line.phase == "ready":
            continue
        first = before - 1
        while first and mine[first - 1].line.phase != "ready":
            first -= 1
        late = got.line.at - mine[first].line.at - bounds.notice - bounds.drain_grace
        index.record_limit_use("3: grace after news", 1 + late / bounds.drain_grace)
        if late > bounds.slack:
            what = (
                f"query {got.line.query} reached {got.line.holder} {late / 1e6:.0f} ms past the grace "
                f"after news that it is {mine[first].line.phase}"
            )
            index.findings.append(Finding(3, got.line.at, got.where, what))


def check_cold_holders(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 4: work sent to a holder that came up cold, in any window, against what it could do in it."""
    by_holder: dict[str, list[LocatedLine[Got]]] = defaultdict(list)
    for got in index.got:
        by_holder[got.line.holder].append(got)
    for seen in index.ups:
        up = seen.line
        if up.cold >= 1:
            continue
        known: dict[int, int] = {}  # by broker, when it was told of this start
        for news in index.told:
            line = news.line
            if line.holder == up.holder and line.phase == "ready" and line.at >= up.at:
                known.setdefault(line.broker, line.at + bounds.notice)
        mine = [g for g in by_holder[up.holder] if up.at <= g.line.at < up.at + up.ramp]
        for first, got in enumerate(mine):
            start = got.line.at
            within = [g for g in mine[first:] if g.line.at < start + bounds.overload_for]
            work = sum(g.line.work for g in within)
            able = _capacity(up, start, start + bounds.overload_for)
            most = bounds.fall_multiple * able + got.line.work
            # Work from brokers that could not know of the start is not held against the others.
            informed = sum(
                g.line.work for g in within if g.line.at >= known.get(-1, known.get(g.line.broker, FAR))
            )
            if informed >= INFORMED_SHARE * work:
                index.record_limit_use("4: window of a cold holder", work / most)
            if work > most and informed >= INFORMED_SHARE * work:
                what = f"{up.holder}, cold, was sent {work / most:.2f} times the most of a window"
                index.findings.append(Finding(4, start, got.where, what))
                break


def _capacity(up: Up, start: int, end: int) -> float:
    """Work (ns) that a warming holder can do in a window, by its own ramp."""

    def warm(at: int) -> float:
        return min(1.0, up.cold + (1 - up.cold) * (at - up.at) / up.ramp)

    return up.capacity * (warm(start) + warm(end)) / 2 * (end - start) / 1e9
