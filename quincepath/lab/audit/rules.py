"""All rules over one record, or over the files of one."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from quincepath.lab.audit.answer_rules import check_completeness, check_final_answers
from quincepath.lab.audit.holder_rules import check_cold_holders, check_drains
from quincepath.lab.audit.record_index import Finding, RecordIndex, Report, collect
from quincepath.lab.audit.retry_rules import check_effects, check_retry_budget
from quincepath.standins.record import End, Line, RecordError, read


def audit(paths: Iterable[Path]) -> Report:
    """Read record files and check them. A line that cannot be read is a finding."""
    lines: list[tuple[str, Line]] = []
    broken: list[Finding] = []
    for path in sorted(paths):
        try:
            lines.extend((f"{path.name}:{number}", line) for number, line in read(path))
        except (RecordError, OSError) as error:
            broken.append(Finding(0, 0, str(path.name), str(error)))
    index = collect(lines)
    index.findings.extend(broken)
    return check_rules(index)


def check_rules(index: RecordIndex) -> Report:
    """All six rules."""
    found = index.findings
    if index.bounds is None:
        found.append(Finding(0, 0, "record", "no line states the bounds to check against"))
        return Report(found, len(index.asks), {}, len(index.got))
    if not index.asks:
        found.append(Finding(0, 0, "record", "no query was asked: nothing is shown"))
    for check in (
        check_final_answers,
        check_effects,
        check_drains,
        check_cold_holders,
        check_completeness,
        check_retry_budget,
    ):
        check(index, index.bounds)
    found.sort(key=lambda finding: finding.at)
    outcomes: dict[str, int] = defaultdict(int)
    for ends in index.ends.values():
        for seen in ends:
            outcomes[_kind_of(seen.line)] += 1
    limit_use = dict(sorted(index.limit_use.items()))
    tried = len({(seen.line.query, seen.line.shard, seen.line.step) for seen in index.got})
    return Report(found, len(index.asks), dict(sorted(outcomes.items())), len(index.got), tried, limit_use)


def _kind_of(end: End) -> str:
    if end.status == 200:
        return end.mark or "unmarked"
    return {503: "refused", 502: "failed", 504: "failed", 0: "lost", -1: "none"}.get(
        end.status, f"status {end.status}"
    )
