"""Counts received from each member, merged by maximum per (member, boot), with checkpoints of the past.

Of each name one boot counts at a time. A second one is kept beside it, uncounted, until it takes over: when
the fleet view names it, or when the first has been silent for a while. A boot that began after the first was
last heard counts from zero; any other from where it stood when it took over. So a restart loses nothing, and
of two processes of one name that both go on only one counts at any time.
"""

from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from quincepath.fleet.load_reports.fields import FAMILY_BY_FIELD, SLOT_TIME_FIELD, TAKEN, decode_runs
from quincepath.fleet.load_reports.messages import Report
from quincepath.fleet.load_reports.sums import Sums
from quincepath.fleet.load_reports.types import MAX_NAMED_TENANTS, MS, LoadReportSettings

K = TypeVar("K")
MAX_MEMBERS = 256  # per group; a group has 16 on average
MAX_COMPETING = 2  # further boots of a name; the one with the oldest report is replaced
MAX_PREVIOUS_BOOTS = 8  # boots of a name that have counted before: none of them counts from zero again
MAX_MEMBER_TENANTS = 4 * MAX_NAMED_TENANTS  # tenants of one member; the one reported longest ago is dropped
TAKEOVER_PERIODS = 3  # periods of silence after which a second boot may take over


@dataclass(slots=True)
class ProcessCounts:
    """Counts reported by one process. ``highest``: by field, the largest value. ``started_at``: own clock."""

    boot: int
    started_at: int
    last_report_at: int
    sequence: int = 0
    highest: dict[int, int] = field(default_factory=dict)
    tenant_highest: dict[str, int] = field(default_factory=dict)  # by tenant, the largest value
    threshold_permille: int = 0
    waiting: int = 0
    tenant_waiting: dict[str, int] = field(default_factory=dict)
    # Fields with a lower value in a newer report than in an older one.
    regressed: set[int] = field(default_factory=set)
    from_start: bool = False  # counted from its start: the first value of each field is all new


@dataclass(slots=True)
class Checkpoint:
    """The counted values at one time."""

    at: int
    values: dict[int, int]
    tenant_slot_ms: dict[str, int]


@dataclass(slots=True)
class Member:
    """One member name. ``values`` and ``tenant_slot_ms``: what has been counted of all its boots."""

    current: ProcessCounts
    complete_from: int  # a window that begins here or later is complete; with ``complete_from_start`` any is
    complete_from_start: bool
    values: dict[int, int] = field(default_factory=dict)
    tenant_slot_ms: dict[str, int] = field(default_factory=dict)
    checkpoints: deque[Checkpoint] = field(default_factory=deque)
    competing: dict[int, ProcessCounts] = field(default_factory=dict)
    previous_boots: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_PREVIOUS_BOOTS))


class MemberCounts:
    """Received counts by member. ``causes`` counts what was not counted, and why."""

    def __init__(self, settings: LoadReportSettings, causes: Counter[str]) -> None:
        self._settings, self._causes = settings, causes
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply_report(
        self, now: int, name: str, boot: int, report: Report, live_boot: int | None = None
    ) -> None:
        """Apply a report. ``live_boot``: the boot of that name that the fleet view believes live.

        Raises ValueError where its runs cannot be decoded; then nothing has changed.
        """
        fields = list(decode_runs(report.runs))
        started_at = now - report.uptime_ms * MS
        member = self._members.get(name)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                self._forget(
                    now, min(self._members, key=lambda key: self._members[key].current.last_report_at)
                )
            from_start = now - started_at <= self._settings.window
            member = Member(ProcessCounts(boot, started_at, now, from_start=from_start), now, from_start)
            member.checkpoints.append(Checkpoint(min(started_at, now) if from_start else now, {}, {}))
            member.previous_boots.append(boot)
            self._members[name] = member
        if boot == member.current.boot:
            process = member.current
        else:
            self._causes["second boot"] += 1
            competitor = member.competing.get(boot)
            if competitor is None:
                if len(member.competing) >= MAX_COMPETING:
                    del member.competing[
                        min(member.competing, key=lambda key: member.competing[key].last_report_at)
                    ]
                competitor = member.competing[boot] = ProcessCounts(boot, started_at, now)
            process = competitor
            silent_ns = now - member.current.last_report_at
            if live_boot == boot or (
                silent_ns > TAKEOVER_PERIODS * self._settings.period
                and (live_boot != member.current.boot or silent_ns > self._settings.fresh_within)
                and boot not in member.previous_boots
            ):
                self._take_over(now, member, competitor)
        self._merge(now, member, process, report, fields)

    def _take_over(self, now: int, member: Member, new: ProcessCounts) -> None:
        old, member.current = member.current, new
        del member.competing[new.boot]
        member.competing[old.boot] = old
        if new.boot not in member.previous_boots:
            member.previous_boots.append(new.boot)
            # It began after the other one ended.
            if new.started_at > old.last_report_at - self._settings.period:
                new.from_start = True
                for number, value in new.highest.items():
                    self._add(member, number, value)
        if not new.from_start:
            member.complete_from_start, member.complete_from = False, now

    def _add(self, member: Member, number: int, increase: int) -> None:
        member.values[number] = member.values.get(number, 0) + increase

    def _merge(
        self, now: int, member: Member, process: ProcessCounts, report: Report, fields: list[tuple[int, int]]
    ) -> None:
        is_current = process is member.current
        is_newest = report.sequence >= process.sequence
        if not is_newest:
            self._causes["older"] += 1
        self._merge_tenants(member, process, report, is_current, is_newest)
        new_queries = 0
        for number, value in fields:
            previous = process.highest.get(number)
            if previous is None and not process.from_start:
                previous = value  # its value before the first report is not known
                process.highest[number] = value
            if is_newest and value >= (previous or 0):
                process.regressed.discard(number)
            if value > (previous or 0):
                process.highest[number] = value
                if is_current:
                    self._add(member, number, value - (previous or 0))
                    new_queries += value - (previous or 0) if FAMILY_BY_FIELD[number] == TAKEN else 0
            elif report.sequence > process.sequence and previous is not None and value < previous:
                process.regressed.add(number)
        if process.regressed and is_newest:
            self._causes["backwards"] += 1
        elapsed = max(now - process.last_report_at, self._settings.period)
        if new_queries * 1_000_000_000 > 2 * self._settings.most_rate * elapsed:
            self._causes["jump"] += 1
        if is_newest:
            process.sequence, process.last_report_at = report.sequence, now
            process.threshold_permille, process.waiting = report.threshold_permille, report.waiting
        if is_current:
            self._add_checkpoint(now, member)

    def _merge_tenants(
        self, member: Member, process: ProcessCounts, report: Report, is_current: bool, is_newest: bool
    ) -> None:
        """Tenants: counts continue from ``base_ms``, the use of all tenants when this one was last named."""
        if is_newest and (report.tenants or report.sequence > process.sequence):
            process.tenant_waiting = {use.name: use.waiting for use in report.tenants if use.waiting}
        for use in report.tenants:
            previous = process.tenant_highest.pop(use.name, None)
            if previous is None:  # at most all that was used since the last report
                previous = (
                    0
                    if process.from_start and not process.sequence
                    else process.highest.get(SLOT_TIME_FIELD, use.slot_ms)
                )
            increase = use.slot_ms - max(previous, use.base_ms)
            process.tenant_highest[use.name] = max(previous, use.slot_ms)
            if increase > 0 and is_current:
                member.tenant_slot_ms[use.name] = member.tenant_slot_ms.pop(use.name, 0) + increase
        for table in (process.tenant_highest, member.tenant_slot_ms):
            while len(table) > MAX_MEMBER_TENANTS:
                del table[next(iter(table))]

    def _add_checkpoint(self, now: int, member: Member) -> None:
        checkpoints = member.checkpoints
        if len(checkpoints) > 1 and now - checkpoints[-2].at < self._settings.period // 2:
            checkpoints.pop()
        checkpoints.append(Checkpoint(now, member.values.copy(), member.tenant_slot_ms.copy()))
        while (
            len(checkpoints) > 1
            and checkpoints[1].at <= now - self._settings.window - self._settings.fresh_within
        ):
            checkpoints.popleft()

    def _forget(self, now: int, name: str) -> None:
        del self._members[name]

    def expire(self, now: int) -> None:
        """Forget members whose last report is so old that nothing of them is in a window."""
        cutoff = now - max(self._settings.window, self._settings.forget)
        for name in [
            name for name, member in self._members.items() if member.current.last_report_at < cutoff
        ]:
            self._forget(now, name)

    def window_sums(self, now: int) -> Iterator[tuple[str, Sums]]:
        """Each member's growth in the window ending now; ``reporting`` is 1 if it is fresh and complete."""
        for name, member in self._members.items():
            process = member.current
            recent = now - process.last_report_at <= self._settings.fresh_within
            fresh = recent and not process.regressed
            # The window ends with the last report; for a silent member it moves on and empties.
            window_start = (
                max(process.last_report_at, now - self._settings.fresh_within) - self._settings.window
            )
            complete = member.complete_from_start or member.complete_from <= window_start
            checkpoints = member.checkpoints
            index = bisect_right(checkpoints, window_start, key=lambda checkpoint: checkpoint.at) - 1
            before = checkpoints[max(index, 0)]
            after = checkpoints[min(index + 1, len(checkpoints) - 1)]
            span = after.at - before.at
            # Growth between two reports is taken to be linear.
            fraction = (
                min(max((window_start - before.at) / span, 0.0), 1.0) if span > 0 and index >= 0 else 0.0
            )
            values = _growth_since(member.values, before.values, after.values, fraction)
            tenant_slot_ms = _growth_since(
                member.tenant_slot_ms, before.tenant_slot_ms, after.tenant_slot_ms, fraction
            )
            yield (
                name,
                Sums(
                    reporting=int(fresh and complete),
                    age=now - process.last_report_at,
                    values=values,
                    tenant_slot_ms=tenant_slot_ms,
                    tenant_waiting=dict(process.tenant_waiting) if recent else {},
                    waiting=process.waiting if recent else 0,
                    threshold_total=process.threshold_permille if fresh and complete else 0,
                ),
            )


def _growth_since(
    latest: dict[K, int], before: dict[K, int], after: dict[K, int], fraction: float
) -> dict[K, int]:
    """Growth since then, in integers; the rounding errors add up to less than one instead of a bias."""
    growth, carried = {}, 0.0
    for key, value in latest.items():
        base = before.get(key, 0)
        if fraction and (step := after.get(key, 0) - base):
            exact = step * fraction + carried
            base += int(exact)
            carried = exact - int(exact)
        if value > base:
            growth[key] = value - base
    return growth
