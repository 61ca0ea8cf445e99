"""State machine of load control: ``on_arrival`` for each query, ``step`` for events and when due."""

from collections.abc import Sequence
from dataclasses import dataclass

from quincepath.fleet.load_control.count_window import CountWindow
from quincepath.fleet.load_control.remote_slot_time import RemoteSlotTime
from quincepath.fleet.load_reports.events import DatagramReceived, Input, LiveMembers, OwnCounts, Packet
from quincepath.fleet.load_reports.load_counter import LoadCounter
from quincepath.fleet.load_reports.reporter import LoadReporter
from quincepath.fleet.load_reports.types import Count, LoadReportSettings, Totals
from quincepath.fleet.overload import Arrival, OverloadControl, OverloadSettings, Shed, ShedReason
from quincepath.fleet.overload.types import Decision


@dataclass(slots=True, frozen=True)
class StepResult:
    """The result of a step. ``packets`` are to be sent; ``decision`` is set when it may have changed."""

    packets: tuple[Packet, ...] = ()
    totals: Totals | None = None
    decision: Decision | None = None


class LoadControl:
    """Load control of one broker. ``overload`` None: load reports only, nothing is shed or limited."""

    def __init__(
        self,
        fleet: str,
        me: str,
        boot: int,
        report_settings: LoadReportSettings,
        overload: OverloadSettings | None,
        seed: int,
        now: int,
    ) -> None:
        self.counter = LoadCounter(now)
        self.reporter = LoadReporter(fleet, me, boot, report_settings, seed, now)
        self.overload = OverloadControl(overload, seed, now) if overload is not None else None
        self.window = CountWindow(report_settings.window)
        self.remote_slot_time = RemoteSlotTime()
        self.totals: Totals | None = None
        self._age, self._period, self._counted_at = 0, report_settings.period, now

    @property
    def due(self) -> int:
        """The latest time of the next call of ``step``."""
        own = self._counted_at + self._period
        return min(own, self.reporter.due, self.overload.due if self.overload is not None else own)

    def on_arrival(self, now: int, arrival: Arrival) -> Shed | None:
        """Count a query before any part of it is sent, and decide on it. None: it is admitted."""
        if self.overload is None:
            self.counter.count_arrival(arrival.kind, arrival.worth * 0.999)
            return None
        priority = self.overload.priority(now, arrival)
        shed = self.overload.on_arrival(now, arrival, priority)
        self.counter.count_arrival(arrival.kind, priority, not arrival.marked_retry)
        if shed is not None:
            self.counter.count_outcome(
                arrival.kind, Count.TURNED_AWAY if shed.reason is ShedReason.RETRY else Count.SHED
            )
        # The demand of a replica set is what passed the fleet's threshold.
        if shed is None or shed.reason is ShedReason.CELL:
            for replica_set in arrival.replica_sets:
                self.counter.count_replica_set(replica_set, 1, 0)
        return shed

    def step(
        self, now: int, data: Sequence[bytes] = (), live: LiveMembers | None = None, age: int = 0
    ) -> StepResult:
        """Apply datagrams, and the live members if they changed. ``age``: ns, similar at all brokers."""
        self._age = max(age, self._age)
        inputs: list[Input] = [] if live is None else [live]
        inputs += [DatagramReceived(item) for item in data]
        if now >= min(self.reporter.due, self._counted_at + self._period):
            threshold = self.overload.threshold(now) if self.overload is not None else 0.0
            counts = self.counter.snapshot(now, threshold)
            self.window.add(now, counts)
            self._counted_at = now
            inputs.append(OwnCounts(counts))
        packets, fresh = [], False
        for item in self.reporter.step(now, inputs):
            if isinstance(item, Packet):
                packets.append(item)
            else:
                self.totals, fresh = item, True
        if fresh and self.totals is not None:
            self.remote_slot_time.update(self.totals, self.window.slot_time())
        return StepResult(tuple(packets), self.totals if fresh else None, self._decide(now, fresh))

    def _decide(self, now: int, fresh: bool) -> Decision | None:
        if self.overload is None:
            return None
        age = self._age
        decision: Decision | None = None
        stats = self.window.stats()
        if stats is not None and now >= self.overload.due:
            decision = self.overload.step(now, stats, age)
        if fresh and self.totals is not None:
            decision = self.overload.step(now, self.totals, age)
        if now >= self.overload.due:
            decision = self.overload.step(now, None, age)
        return decision
