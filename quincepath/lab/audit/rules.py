"""Applies all rules to an indexed record or to record files."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from quincepath.lab.audit.answer_rules import check_completeness, check_final_answers
from quincepath.lab.audit.holder_rules import check_cold_holders, check_drains
from quincepath.lab.audit.record_index import Finding, RecordIndex, Report, collect
from quincepath.lab.audit.retry_rules import check_effects, check_retry_budget
from quincepath.standins.record import End, Line, RecordError, read


def audit(paths: Iterable[Path]) -> Report:
    """Read record files and check all rules. A line that cannot be read is a finding."""
    lines: list[tuple[str, Line]] = []
    unreadable: list[Finding] = []
    for path in sorted(paths):
        try:
            lines.extend((f"{path.name}:{number}", line) for number, line in read(path))
        except (RecordError, OSError) as error:
            unreadable.append(Finding(0, 0, str(path.name), str(error)))
    index = collect(lines)
    index.findings.extend(unreadable)
    return check_rules(index)


def check_rules(index: RecordIndex) -> Report:
    """Check all six rules."""
    findings = index.findings
    if index.bounds is None:
        findings.append(Finding(0, 0, "record", "no line states the bounds to check against"))
        return Report(findings, len(index.asks), {}, len(index.got))
    if not index.asks:
        findings.append(Finding(0, 0, "record", "no query was asked: nothing is shown"))
    for check in (
        check_final_answers,
        check_effects,
        check_drains,
        check_cold_holders,
        check_completeness,
        check_retry_budget,
    ):
        check(index, index.bounds)
    findings.sort(key=lambda finding: finding.at)
    outcomes: dict[str, int] = defaultdict(int)
    for ends in index.ends.values():
        for end in ends:
            outcomes[_outcome_of(end.line)] += 1
    limit_use = dict(sorted(index.limit_use.items()))
    parts_tried = len({(got.line.query, got.line.shard, got.line.step) for got in index.got})
    return Report(
        findings, len(index.asks), dict(sorted(outcomes.items())), len(index.got), parts_tried, limit_use
    )


def _outcome_of(end: End) -> str:
    if end.status == 200:
        return end.mark or "unmarked"
    return {503: "refused", 502: "failed", 504: "failed", 0: "lost", -1: "none"}.get(
        end.status, f"status {end.status}"
    )
