"""Rules 1 and 5, on what clients are told: once, in time, and honestly."""

from collections import defaultdict
from collections.abc import Iterable

from quincepath.lab.audit.record_index import Finding, RecordIndex, ask_key
from quincepath.standins.record import Ask, Bounds, ClassRules, End

TOLERANCE = 1e-4


def check_final_answers(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 1: one final answer in the client's time, and no part after it."""
    add = index.findings.append
    for query, seen in index.asks.items():
        ask = seen.line
        answers = index.ends.get(query, [])
        if not answers:
            add(Finding(1, ask.at, seen.where, f"query {query} has no end"))
        for end in answers[:1]:
            if end.line.status > 0 and not _excused(index, ask, end.line.at, bounds):
                index.record_limit_use("1: client's time", (end.line.at - ask.at) / ask.patience)
            if end.line.status == -1 and end.line.at < ask.at + ask.patience:
                continue  # it left before the time that it had told: nobody was there to be answered
            if end.line.status <= 0 and not _excused(index, ask, end.line.at, bounds):
                said = "the connection was lost" if end.line.status == 0 else "the client gave up waiting"
                add(Finding(1, end.line.at, end.where, f"query {query} has no final answer: {said}"))
            elif end.line.at > ask.at + ask.patience + bounds.slack and not _excused(
                index, ask, end.line.at, bounds
            ):
                late = (end.line.at - ask.at - ask.patience) / 1e6
                add(Finding(1, end.line.at, end.where, f"query {query} ended {late:.0f} ms past its time"))
        for end in answers[1:]:
            add(Finding(1, end.line.at, end.where, f"query {query} got a second final answer"))
    for query in index.ends.keys() - index.asks.keys():
        seen_end = index.ends[query][0]
        add(Finding(0, seen_end.line.at, seen_end.where, f"query {query} ended but was never asked"))
    open_until = _open_until(index, bounds)
    for got in index.got:
        # Tries of one ask share its run: the part must reach a holder within the time of one of them.
        spans = [
            span for span in open_until.get(ask_key(index, got.line.query), []) if span[0] <= got.line.at
        ]
        if spans and got.line.at > max(until for _, until in spans):
            late = (got.line.at - max(until for _, until in spans) + bounds.slack) / 1e6
            what = f"shard {got.line.shard} of query {got.line.query} came {late:.0f} ms after its end"
            add(Finding(1, got.line.at, got.where, what))


def _open_until(index: RecordIndex, bounds: Bounds) -> dict[str, list[tuple[int, int]]]:
    """By ask, from when to when the tries that shared its run were open; longer where a client left."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for query, seen in index.asks.items():
        for end in index.ends.get(query, [])[:1]:
            more = bounds.linger if end.line.status <= 0 and seen.line.ask else 0
            span = seen.line.at, end.line.at + bounds.slack + more
            for whose in {ask_key(index, query), ask_key(index, end.line.run or query)}:
                spans[whose].append(span)
    return spans


def _excused(index: RecordIndex, ask: Ask, end: int, bounds: Bounds) -> bool:
    """Whether the broker was stopped or killed from outside while it owed this answer."""
    return any(
        halt.broker == ask.broker and halt.at <= end and ask.at <= halt.until + bounds.slack
        for halt in index.halts
    )


def check_completeness(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 5: never under the floor, whole only if whole, a part counted once."""
    good: dict[str, dict[tuple[int, int], int]] = defaultdict(dict)
    for seen in index.said:
        if seen.line.good:
            key = seen.line.step, seen.line.shard
            whose = ask_key(index, seen.line.query)
            known = good[whose].get(key, seen.line.at)
            good[whose][key] = min(known, seen.line.at)
    for query, ends in index.ends.items():
        ask = index.asks.get(query)
        if ask is None:
            continue
        spec = index.classes.get(ask.line.kind)
        for end in ends:
            if end.line.status != 200:
                continue
            if spec is None:
                what = f"query {query} is of class {ask.line.kind!r}, of which the record says nothing"
                index.findings.append(Finding(0, end.line.at, end.where, what))
                continue
            until = end.line.at + bounds.slack
            run = index.asks.get(end.line.run) if end.line.joined == "equal" else None
            if run is not None and (run.line.kind, run.line.shards) != (ask.line.kind, ask.line.shards):
                what = (
                    f"query {query} was given the answer of {run.line.query}, which asked for something else"
                )
                index.findings.append(Finding(5, end.line.at, end.where, what))
            # A try that shared a stranger's run is judged by what holders gave to that.
            whose = ask_key(index, run.line.query if run is not None else query)
            there = {key for key, at in good.get(whose, {}).items() if at <= until}
            for what in _dishonest(ask.line, end.line, spec, there):
                index.findings.append(Finding(5, end.line.at, end.where, f"query {query} {what}"))


def _dishonest(ask: Ask, end: End, spec: ClassRules, there: set[tuple[int, int]]) -> Iterable[str]:
    if end.mark not in ("whole", "partial"):
        yield f"was answered without an honest mark: {end.mark!r}"
        return
    if end.parts_in > len(there):
        yield f"claims {end.parts_in} parts, holders gave {len(there)} good ones"
    if not ask.shards:
        return
    first = len({shard for step, shard in there if step == 1} & set(ask.shards)) / len(ask.shards)
    if min(first, end.parts_in / max(end.parts_asked, 1)) < spec.floor - TOLERANCE:
        yield f"was answered from {end.parts_in} of {end.parts_asked} parts, under the floor {spec.floor:.2f}"
    if end.mark == "whole":
        if first < spec.need - TOLERANCE or end.parts_in / max(end.parts_asked, 1) < spec.need - TOLERANCE:
            yield f"is called whole with {end.parts_in} of {end.parts_asked} parts, {spec.need:.2f} is needed"
