"""Rules 2 and 6, on retries: no effect runs twice, and attempts stay within the retry budget."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from quincepath.lab.audit.record_index import Finding, LocatedLine, PartKey, RecordIndex
from quincepath.standins.record import Bounds, Got

UNPROCESSED_STATUSES = (429,)  # with these a holder states that it did not process the request


def check_effects(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 2: no effect runs twice; a query is refused only if no part of it can have run."""
    unprocessed = {
        (answer.line.query, answer.line.shard, answer.line.step, answer.line.attempt)
        for answer in index.said
        if answer.line.status in UNPROCESSED_STATUSES
    }
    may_have_run: dict[PartKey, list[LocatedLine[Got]]] = defaultdict(list)
    for got in index.got:
        line = got.line
        ask = index.asks.get(line.query)
        spec = index.classes.get(ask.line.kind) if ask else None
        if spec is None or spec.effect == "safe":
            continue
        earlier = may_have_run[line.query, line.shard, line.step]
        if earlier and spec.effect == "unsafe":
            what = f"shard {line.shard} of unsafe query {line.query} was sent again though it may have run"
            index.findings.append(Finding(2, line.at, got.where, what))
        elif earlier and line.at > earlier[0].line.at + spec.window + bounds.slack:
            what = f"shard {line.shard} of keyed query {line.query} was sent again past its window"
            index.findings.append(Finding(2, line.at, got.where, what))
        if (line.query, line.shard, line.step, line.attempt) not in unprocessed:
            earlier.append(got)
    for (query, shard, _step), attempts_run in may_have_run.items():
        for end in index.ends.get(query, []):
            if attempts_run and end.line.status == 503:
                what = f"query {query} was refused though its shard {shard} may have run"
                index.findings.append(Finding(2, end.line.at, end.where, what))


def check_retry_budget(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 6: attempts per part, and extra attempts against the budget that accepted work earns."""
    attempts: dict[PartKey, int] = defaultdict(int)
    extra_by_broker: dict[int, list[int]] = defaultdict(list)
    earnings: dict[int, list[int]] = defaultdict(list)
    for ask in index.asks.values():
        if any(end.line.joined for end in index.ends.get(ask.line.query, [])):
            continue  # it caused no work, so it earns no attempts either
        earnings[ask.line.broker].extend([ask.line.at] * (1 + len(ask.line.shards)))
    for times in earnings.values():
        times.sort()
    with_second_step: set[tuple[str, int]] = set()
    for got in index.got:
        line = got.line
        if line.query not in index.asks:
            continue
        key = line.query, line.shard, line.step
        index.record_limit_use("6: attempts of a part", (attempts[key] + 1) / bounds.attempts)
        extra_attempts, earned_at = extra_by_broker[line.broker], earnings[line.broker]
        attempts[key] += 1
        if line.step > 1 and (line.query, line.shard) not in with_second_step:
            with_second_step.add((line.query, line.shard))
            earned_at.insert(bisect_right(earned_at, line.at), line.at)
        if max(attempts[key], line.attempt + 1) > bounds.attempts:
            what = f"shard {line.shard} of query {line.query} was sent more than {bounds.attempts} times"
            index.findings.append(Finding(6, line.at, got.where, what))
        if attempts[key] == 1 or not bounds.budget_window:
            continue
        extra_attempts.append(line.at)
        used = len(extra_attempts) - bisect_left(extra_attempts, line.at - bounds.budget_window)
        first_earned = bisect_left(earned_at, line.at - bounds.budget_window - bounds.slack)
        earned = bisect_right(earned_at, line.at + bounds.slack) - first_earned
        allowed = bounds.budget_free + bounds.budget_ratio * earned
        index.record_limit_use("6: extra attempts", used / allowed if allowed else float(used > 0))
        if used > allowed:
            what = f"{used} extra attempts in a window where {allowed:.1f} are allowed"
            index.findings.append(Finding(6, line.at, got.where, what))
