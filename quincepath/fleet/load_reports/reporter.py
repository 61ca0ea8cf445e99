"""State machine of one broker's load reports: own counts and received datagrams in, datagrams and totals out.

Once a period a broker reports to the aggregators of its group. An aggregator adds up the reports it received
and sends the sum to the group above; the top sends the fleet's sums down the same way to every member.
docs/design/ledger.md compares this with other ways.
"""

import random
from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from quincepath.fleet.load_reports.clipping import ContributionHistory, clip
from quincepath.fleet.load_reports.events import Input, LiveMembers, Output, OwnCounts, Packet, ReceivedSum
from quincepath.fleet.load_reports.fields import MAX_VALUE, decode_runs, flatten
from quincepath.fleet.load_reports.load_counter import MAX_TENANT_NAME_LENGTH
from quincepath.fleet.load_reports.member_counts import MemberCounts
from quincepath.fleet.load_reports.messages import (
    DROP_CAUSES,
    MAX_BODY_BYTES,
    Body,
    Report,
    ReportBuilder,
    SumMessage,
    SumPart,
    TenantUse,
    encode,
    encoded_size,
    fit_tenants,
    pack,
    split_sum,
    unpack,
)
from quincepath.fleet.load_reports.sums import Sums, add, lower_median, to_totals
from quincepath.fleet.load_reports.tree import AggregationTree
from quincepath.fleet.load_reports.types import MS, Counts, LoadReportSettings
from quincepath.fleet.messages import Rejected

MAX_RELAYED_SENDERS = (
    32  # senders above whose newest sequence number is remembered; with more, all are forgotten
)
MAX_SMALL_VALUE = 1 << 20  # of waiting queries, and of an age in ms
MAX_GROUP_SENDERS = 4  # senders of sums of one group; the one with the oldest sums is replaced


class LoadReporter:
    """One broker's load reporting. ``causes`` counts what was dropped or not counted, by fixed causes."""

    def __init__(
        self, fleet: str, me: str, boot: int, settings: LoadReportSettings, seed: int, now: int = 0
    ) -> None:
        self.me, self.boot = me, boot
        self.causes: Counter[str] = Counter(dict.fromkeys(DROP_CAUSES, 0))
        self._fleet, self._settings = fleet, settings
        self._random = random.Random(f"{seed} ledger {me} {boot}")
        self._due = now + self._random.randrange(settings.period)
        self._own_counts: Counts | None = None
        self._live_boots: dict[str, int] = {me: boot}
        self._tree = AggregationTree(me, self._live_boots, 1, settings)
        self._contributions = ContributionHistory(settings)
        self._current_fleet: Sums | None = None
        self._member_counts = MemberCounts(settings, self.causes)
        self._report_builder = ReportBuilder(settings.report_datagrams)
        # By child group: what its aggregators sent.
        self._child_sums: dict[tuple[int, int], dict[str, ReceivedSum]] = {}
        self._fleet_sums: dict[str, ReceivedSum] = {}  # by aggregator of the own group
        self._relayed: dict[tuple[int, str], tuple[int, int]] = {}  # by level and sender: boot, sequence
        self._sequence = 0
        self._outputs: list[Output] = []

    @property
    def due(self) -> int:
        """The latest time of the next call of ``step``."""
        return self._due

    def step(self, now: int, inputs: Sequence[Input] = ()) -> list[Output]:
        """Apply the events; when due, report, sum up and emit the totals."""
        self._outputs = []
        for event in inputs:
            if isinstance(event, OwnCounts):
                self._own_counts = event.counts
            elif isinstance(event, LiveMembers):
                self._live_boots = {**event.boots, self.me: self.boot}
                groups, self._tree = (
                    self._tree.groups,
                    AggregationTree(self.me, self._live_boots, event.configured, self._settings),
                )
                if groups != self._tree.groups:
                    self._child_sums.clear()
            else:
                self._on_datagram(now, event.data)
        if now >= self._due:
            # Jitter, so that no two members stay in step.
            spread = self._random.randrange(max(self._settings.period // 10, 1))
            self._due = now + self._settings.period - spread
            self._tick(now)
        return self._outputs

    # --- receiving ---

    def _on_datagram(self, now: int, data: bytes) -> None:
        try:
            envelope, body = unpack(data, self._fleet, self.me)
            if envelope.sender not in self._live_boots:
                raise Rejected("unknown member")
            self._apply(now, envelope.sender, envelope.boot, body)
        except Rejected as error:
            self.causes[error.cause] += 1

    def _apply(self, now: int, sender: str, boot: int, body: Body) -> None:
        tree = self._tree
        if isinstance(body, Report):
            if (
                tree.group_index(sender) != tree.group_index(self.me)
                or tree.lane_of(0, tree.group_index(self.me), self.me) is None
            ):
                raise Rejected("not mine")
            try:
                self._member_counts.apply_report(now, sender, boot, body, self._live_boots.get(sender))
            except ValueError:
                raise Rejected("unreadable") from None
            return
        if body.groups != tree.groups:
            raise Rejected("not mine")
        if body.down:
            above = (body.level, body.index)
            if tree.group_index(self.me, body.level) != body.index or sender not in tree.aggregators(*above):
                raise Rejected("not mine")
            if body.level == 0:
                self._store_sum(now, self._fleet_sums, sender, boot, body)
            else:
                self._relay(now, sender, boot, body)
            return
        if tree.group_index(sender, body.level) != body.index or not self._aggregates(body.level + 1):
            raise Rejected("not mine")
        if tree.group_index(self.me, body.level + 1) != tree.group_index(sender, body.level + 1):
            raise Rejected("not mine")
        self._store_sum(now, self._child_sums.setdefault((body.level, body.index), {}), sender, boot, body)

    def _aggregates(self, level: int) -> bool:
        return level <= self._tree.top_level and self._own_lane(level) is not None

    def _own_lane(self, level: int) -> int | None:
        return self._tree.lane_of(level, self._tree.group_index(self.me, level), self.me)

    def _store_sum(
        self, now: int, table: dict[str, ReceivedSum], sender: str, boot: int, body: SumMessage
    ) -> None:
        found = table.get(sender)
        if found is None or (found.boot != boot and self._live_boots.get(sender) == boot):
            while len(table) >= MAX_GROUP_SENDERS and sender not in table:
                del table[min(table, key=lambda name: table[name].at)]
            found = ReceivedSum(boot, body.sequence, now - body.age_ms * MS, now)
        if found.boot != boot:
            raise Rejected("second boot")
        if body.sequence < found.sequence:
            raise Rejected("older")
        try:
            list(decode_runs(body.runs))
        except ValueError:
            raise Rejected("unreadable") from None
        found.apply(now, body)
        table[sender] = found

    # --- sending ---

    def _send(self, now: int, names: Iterable[str], body: Body) -> None:
        """To some members; applied directly where the member is this one."""
        raw = encode(body)
        for name in names:
            if name != self.me:
                self._outputs.append(Packet(name, pack(self._fleet, self.me, self.boot, name, raw)))
                continue
            try:
                self._apply(now, self.me, self.boot, body)
            except Rejected as error:
                self.causes[error.cause] += 1

    def _tick(self, now: int) -> None:
        tree = self._tree
        self._member_counts.expire(now)
        self._contributions.expire(now)
        self._sequence += 1
        if self._own_counts is not None:
            counts = self._own_counts
            tenants = [
                TenantUse(
                    name,
                    min(use.slot_time // MS, MAX_VALUE),
                    min(use.waiting, MAX_SMALL_VALUE),
                    use.base // MS,
                )
                for name, use in counts.tenants.items()
                if 0 < len(name) <= MAX_TENANT_NAME_LENGTH
            ]
            threshold_permille = round(1000 * min(max(counts.threshold, 0.0), 1.0))
            uptime_ms, waiting = counts.uptime // MS, min(counts.waiting, MAX_SMALL_VALUE)
            for report in self._report_builder.build(
                flatten(counts), tenants, uptime_ms, threshold_permille, waiting
            ):
                self._send(now, tree.aggregators(0, tree.group_index(self.me)), report)
        for level in range(tree.top_level + 1):
            lane = self._own_lane(level)
            if lane is None:
                continue
            index = tree.group_index(self.me, level)
            sums = self._sum_group(now, level, index)
            if level == tree.top_level:
                for body in self._sum_messages(True, level, index, sums):
                    self._send_down(now, lane, body)
            else:
                parents = tree.parent_aggregators(level, index, lane)
                for body in self._sum_messages(False, level, index, sums):
                    self._send(now, parents, body)
        self._emit_totals(now)

    def _emit_totals(self, now: int) -> None:
        """Emit the fleet's totals from what the aggregators of the own group sent."""
        settings, live = self._settings, len(self._tree.live)
        current = [
            received
            for received in self._fleet_sums.values()
            if now - received.received_at <= settings.fresh_within
        ]
        fresh = bool(current)
        if not current and self._fleet_sums:
            last = max(self._fleet_sums.values(), key=lambda received: received.received_at)
            current = [last] if now - last.received_at <= settings.forget else []
        self._current_fleet = None
        if current:
            for received in current:
                received.sums.age = now - received.at
            # Together, all members contribute no more than each one at its limit.
            median = lower_median([clip([(live, received.sums)], settings)[0][0] for received in current])
            self._outputs.append(to_totals(now - median.age, live, median, settings))
            self._current_fleet = median if fresh else None

    def _sum_group(self, now: int, level: int, index: int) -> Sums:
        """The sum of a group that this member aggregates."""
        parts: list[tuple[int, Sums]] = []
        keys: list[object] = []
        if level == 0:
            members_here = set(self._tree.members_of(0, index))
            for name, sums in self._member_counts.window_sums(now):
                if name not in members_here:
                    sums.reporting = sums.threshold_total = 0
                if self._tree.group_index(name) == index:  # also of a dead member, until its window is over
                    parts.append((1, sums))
                    keys.append(name)
        else:
            for child in self._tree.child_groups(level, index):
                by_sender = self._child_sums.get((level - 1, child), {})
                for name in [
                    sender
                    for sender, received in by_sender.items()
                    if now - received.received_at > self._settings.fresh_within
                ]:
                    del by_sender[name]
                for received in by_sender.values():
                    received.sums.age = now - received.at
                if by_sender:
                    members = len(self._tree.members_of(level - 1, child))
                    parts.append((members, lower_median([received.sums for received in by_sender.values()])))
                    keys.append((level, child))
        means = [
            self._contributions.others_means(self._current_fleet, key, members)
            for key, (members, _) in zip(keys, parts, strict=True)
        ]
        bounded, clipped = clip(parts, self._settings, means)
        for key, part in zip(keys, bounded, strict=True):
            self._contributions.record(now, key, part)
        self.causes["clipped"] += clipped
        return add(bounded)

    def _sum_messages(self, down: bool, level: int, index: int, sums: Sums) -> list[SumMessage]:
        """One sum as datagrams: the first in every period, the others in rotation."""
        names = sorted(
            {*sums.tenant_slot_ms, *sums.tenant_waiting},
            key=lambda name: (-sums.tenant_slot_ms.get(name, 0), -sums.tenant_waiting.get(name, 0), name),
        )
        tenants = fit_tenants(
            (
                TenantUse(
                    name,
                    sums.tenant_slot_ms.get(name, 0),
                    min(sums.tenant_waiting.get(name, 0), MAX_SMALL_VALUE),
                )
                for name in names
            ),
            MAX_BODY_BYTES // 2,
        )
        parts = split_sum(sums.values, MAX_BODY_BYTES - sum(map(encoded_size, tenants)))
        extra_datagrams = self._settings.report_datagrams - 1
        chosen = parts[:1]
        if len(parts) > 1 and extra_datagrams:
            later_parts = parts[1:]
            start = self._sequence * extra_datagrams % len(later_parts)
            chosen += (later_parts[start:] + later_parts[:start])[:extra_datagrams]

        def body(part: SumPart) -> SumMessage:
            age_ms, threshold_total = (
                min(sums.age // MS, MAX_SMALL_VALUE),
                min(sums.threshold_total, MAX_SMALL_VALUE),
            )
            return SumMessage(
                down, level, index, self._tree.groups, self._sequence, sums.reporting, age_ms,
                threshold_total, min(sums.waiting, MAX_SMALL_VALUE), part[0], part[1], part[2],
                tenants if part is parts[0] else None,
            )  # fmt: skip

        return [body(part) for part in chosen]

    def _send_down(self, now: int, lane: int, body: SumMessage) -> None:
        """From a group to the members in it, by way of the aggregators of the groups between."""
        tree = self._tree
        if body.level == 0:
            self._send(now, tree.members_of(0, body.index), body)
            return
        children = tree.child_groups(body.level, body.index)
        recipients = [tree.child_aggregator(body.level - 1, child, lane) for child in children]
        self._send(now, [name for name in recipients if name], body)

    def _relay(self, now: int, sender: str, boot: int, body: SumMessage) -> None:
        """Relay what the group above sent to the members below."""
        level = body.level - 1
        lane = self._own_lane(level)
        if lane is None:
            raise Rejected("not mine")
        last = self._relayed.get((level, sender), (0, -1))
        if last[0] == boot and body.sequence < last[1]:
            raise Rejected("older")
        if last != (boot, body.sequence):
            self._sequence += 1
            if len(self._relayed) >= MAX_RELAYED_SENDERS:
                self._relayed.clear()
            self._relayed[level, sender] = (boot, body.sequence)
        index = self._tree.group_index(self.me, level)
        self._send_down(
            now, lane, msgspec.structs.replace(body, level=level, index=index, sequence=self._sequence)
        )
