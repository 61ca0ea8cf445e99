"""Rules 2 and 6, on what is sent again: never an effect twice, and attempts within their budget."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from quincepath.lab.audit.record_index import Finding, LocatedLine, PartKey, RecordIndex
from quincepath.standins.record import Bounds, Got

UNSEEN = (429,)  # statuses by which a holder says that it did not look at the request


def check_effects(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 2: no effect twice; refused only if certainly none ran."""
    unseen = {
        (s.line.query, s.line.shard, s.line.step, s.line.attempt)
        for s in index.said
        if s.line.status in UNSEEN
    }
    ran: dict[PartKey, list[LocatedLine[Got]]] = defaultdict(list)
    for got in index.got:
        line = got.line
        ask = index.asks.get(line.query)
        spec = index.classes.get(ask.line.kind) if ask else None
        if spec is None or spec.effect == "safe":
            continue
        before = ran[line.query, line.shard, line.step]
        if before and spec.effect == "unsafe":
            what = f"shard {line.shard} of unsafe query {line.query} was sent again though it may have run"
            index.findings.append(Finding(2, line.at, got.where, what))
        elif before and line.at > before[0].line.at + spec.window + bounds.slack:
            what = f"shard {line.shard} of keyed query {line.query} was sent again past its window"
            index.findings.append(Finding(2, line.at, got.where, what))
        if (line.query, line.shard, line.step, line.attempt) not in unseen:
            before.append(got)
    for (query, shard, _step), times in ran.items():
        for end in index.ends.get(query, []):
            if times and end.line.status == 503:
                what = f"query {query} was refused though its shard {shard} may have run"
                index.findings.append(Finding(2, end.line.at, end.where, what))


def check_retry_budget(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 6: attempts a part, and extra attempts against what was taken."""
    tries: dict[PartKey, int] = defaultdict(int)
    extras: dict[int, list[int]] = defaultdict(list)
    takens: dict[int, list[int]] = defaultdict(list)
    for seen in index.asks.values():
        if any(end.line.joined for end in index.ends.get(seen.line.query, [])):
            continue  # it brought no work: it must not earn attempts either
        takens[seen.line.broker].extend([seen.line.at] * (1 + len(seen.line.shards)))
    for times in takens.values():
        times.sort()
    second: set[tuple[str, int]] = set()
    for got in index.got:
        line = got.line
        if line.query not in index.asks:
            continue
        key = line.query, line.shard, line.step
        index.record_limit_use("6: attempts of a part", (tries[key] + 1) / bounds.attempts)
        extra, taken = extras[line.broker], takens[line.broker]
        tries[key] += 1
        if line.step > 1 and (line.query, line.shard) not in second:
            second.add((line.query, line.shard))
            taken.insert(bisect_right(taken, line.at), line.at)
        if max(tries[key], line.attempt + 1) > bounds.attempts:
            what = f"shard {line.shard} of query {line.query} was sent more than {bounds.attempts} times"
            index.findings.append(Finding(6, line.at, got.where, what))
        if tries[key] == 1 or not bounds.budget_window:
            continue
        extra.append(line.at)
        inside = len(extra) - bisect_left(extra, line.at - bounds.budget_window)
        since = bisect_left(taken, line.at - bounds.budget_window - bounds.slack)
        earned = bisect_right(taken, line.at + bounds.slack) - since
        most = bounds.budget_free + bounds.budget_ratio * earned
        index.record_limit_use("6: extra attempts", inside / most if most else float(inside > 0))
        if inside > most:
            what = f"{inside} extra attempts in a window where {most:.1f} are allowed"
            index.findings.append(Finding(6, line.at, got.where, what))
