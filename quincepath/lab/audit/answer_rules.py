"""Rules 1 and 5, on answers to clients: exactly one, in time, with a correct completeness mark."""

from collections import defaultdict
from collections.abc import Iterable

from quincepath.lab.audit.record_index import Finding, RecordIndex, ask_key
from quincepath.standins.record import Ask, Bounds, ClassRules, End

SHARE_TOLERANCE = 1e-4


def check_final_answers(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 1: one final answer within the client's timeout, and no part sent after it."""
    add_finding = index.findings.append
    for query, entry in index.asks.items():
        ask = entry.line
        answers = index.ends.get(query, [])
        if not answers:
            add_finding(Finding(1, ask.at, entry.where, f"query {query} has no end"))
        for end in answers[:1]:
            if end.line.status > 0 and not _excused(index, ask, end.line.at, bounds):
                index.record_limit_use("1: client's time", (end.line.at - ask.at) / ask.patience)
            if end.line.status == -1 and end.line.at < ask.at + ask.patience:
                continue  # it left before the timeout that it had announced, so no answer was due
            if end.line.status <= 0 and not _excused(index, ask, end.line.at, bounds):
                reason = "the connection was lost" if end.line.status == 0 else "the client gave up waiting"
                add_finding(
                    Finding(1, end.line.at, end.where, f"query {query} has no final answer: {reason}")
                )
            elif end.line.at > ask.at + ask.patience + bounds.slack and not _excused(
                index, ask, end.line.at, bounds
            ):
                late = (end.line.at - ask.at - ask.patience) / 1e6
                add_finding(
                    Finding(1, end.line.at, end.where, f"query {query} ended {late:.0f} ms past its time")
                )
        for end in answers[1:]:
            add_finding(Finding(1, end.line.at, end.where, f"query {query} got a second final answer"))
    for query in index.ends.keys() - index.asks.keys():
        first_end = index.ends[query][0]
        add_finding(
            Finding(0, first_end.line.at, first_end.where, f"query {query} ended but was never asked")
        )
    open_spans = _open_spans(index, bounds)
    for got in index.got:
        # Tries of one ask share its run: the part must reach a holder while one of them is open.
        spans = [
            span for span in open_spans.get(ask_key(index, got.line.query), []) if span[0] <= got.line.at
        ]
        if spans and got.line.at > max(until for _, until in spans):
            late = (got.line.at - max(until for _, until in spans) + bounds.slack) / 1e6
            what = f"shard {got.line.shard} of query {got.line.query} came {late:.0f} ms after its end"
            add_finding(Finding(1, got.line.at, got.where, what))


def _open_spans(index: RecordIndex, bounds: Bounds) -> dict[str, list[tuple[int, int]]]:
    """Return by ask when the tries that share its run were open, plus ``linger`` after a disconnect."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for query, entry in index.asks.items():
        for end in index.ends.get(query, [])[:1]:
            linger = bounds.linger if end.line.status <= 0 and entry.line.ask else 0
            span = entry.line.at, end.line.at + bounds.slack + linger
            for key in {ask_key(index, query), ask_key(index, end.line.run or query)}:
                spans[key].append(span)
    return spans


def _excused(index: RecordIndex, ask: Ask, end: int, bounds: Bounds) -> bool:
    """Return whether the broker was suspended or killed from outside while this answer was due."""
    return any(
        halt.broker == ask.broker and halt.at <= end and ask.at <= halt.until + bounds.slack
        for halt in index.halts
    )


def check_completeness(index: RecordIndex, bounds: Bounds) -> None:
    """Rule 5: no answer below the floor, marked whole only if it is, each part counted once."""
    good: dict[str, dict[tuple[int, int], int]] = defaultdict(dict)
    for entry in index.said:
        if entry.line.good:
            key = entry.line.step, entry.line.shard
            run_key = ask_key(index, entry.line.query)
            known = good[run_key].get(key, entry.line.at)
            good[run_key][key] = min(known, entry.line.at)
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
            # A try that shared another client's run is checked against the holders' answers to that run.
            run_key = ask_key(index, run.line.query if run is not None else query)
            answered = {key for key, at in good.get(run_key, {}).items() if at <= until}
            for what in _completeness_errors(ask.line, end.line, spec, answered):
                index.findings.append(Finding(5, end.line.at, end.where, f"query {query} {what}"))


def _completeness_errors(
    ask: Ask, end: End, spec: ClassRules, answered: set[tuple[int, int]]
) -> Iterable[str]:
    if end.mark not in ("whole", "partial"):
        yield f"was answered without an honest mark: {end.mark!r}"
        return
    if end.parts_in > len(answered):
        yield f"claims {end.parts_in} parts, holders gave {len(answered)} good ones"
    if not ask.shards:
        return
    first = len({shard for step, shard in answered if step == 1} & set(ask.shards)) / len(ask.shards)
    if min(first, end.parts_in / max(end.parts_asked, 1)) < spec.floor - SHARE_TOLERANCE:
        yield f"was answered from {end.parts_in} of {end.parts_asked} parts, under the floor {spec.floor:.2f}"
    if end.mark == "whole":
        if (
            first < spec.need - SHARE_TOLERANCE
            or end.parts_in / max(end.parts_asked, 1) < spec.need - SHARE_TOLERANCE
        ):
            yield f"is called whole with {end.parts_in} of {end.parts_asked} parts, {spec.need:.2f} is needed"
