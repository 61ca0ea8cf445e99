"""The pending queue with fair queueing: asks that wait for a slot, and the slot time of running asks. Pure.

Loaded only with ``limits.fair`` in the configuration; without it every ask goes to the driver at once. An
attempt holds a slot from its start to its end. Attempts that are still out when their query ends are charged
up to then and their slots are freed: the holder is told to stop, and work that it still does shows up in the
cost of later queries.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from quincepath.broker.pending import QUEUE_REFUSAL, SchedulingInfo
from quincepath.interface import Result
from quincepath.limits.fair import Cancelled, Done, Enter, Freed, Refuse, RemoteUsage, Stop
from quincepath.limits.fair import Input as SchedulerInput
from quincepath.limits.fair.scheduler import FairScheduler
from quincepath.orders import Ask, AttemptEnded, Finish, QueryArrived, StartCall, Verdict


@dataclass(slots=True)
class _Entry:
    ask: Ask
    deadline: int
    arrived: int
    used: int = 0
    attempts_out: dict[tuple[int, int], int] = field(default_factory=dict)  # start by (part, attempt)
    parts_sent: set[int] = field(default_factory=set)


class FairPendingQueue:
    """One per broker. ``next_due`` and ``step`` are part of the dispatcher's step."""

    def __init__(self, scheduler: FairScheduler) -> None:
        self.scheduler = scheduler
        self._entries: dict[int, _Entry] = {}
        self._ask_of_part: dict[int, int] = {}
        self._inputs: list[SchedulerInput] = []
        self._urgent = False  # an input may start or refuse an ask, other than by freeing slots
        self._freed_parts: dict[int, int] = {}  # by ask, parts that came back and are not reported yet

    def set_weight(self, tenant: str, weight: float | None) -> None:
        """Set the weight of a tenant from the next step on; None: as in the configuration file."""
        self.scheduler.set_weight(tenant, weight)
        self._urgent = True

    def enqueue(self, now: int, ask: Ask, scheduling: SchedulingInfo) -> None:
        """An ask was admitted."""
        self._entries[ask.handle] = _Entry(ask, scheduling.deadline, now)
        self._inputs.append(
            Enter(ask.handle, scheduling.tenant, scheduling.footprint, scheduling.target, scheduling.deadline)
        )
        self._urgent = True

    def attempts_started(self, now: int, order: StartCall) -> None:
        """Attempts are sent."""
        for one in order.attempts:
            entry = self._entries.get(one.ask)
            if entry is not None:
                entry.attempts_out[one.part, one.attempt] = now
                entry.parts_sent.add(one.part)
                self._ask_of_part[one.part] = one.ask

    def attempt_ended(self, now: int, item: AttemptEnded) -> None:
        """An attempt has ended."""
        handle = self._ask_of_part.get(item.part)
        entry = self._entries.get(handle) if handle is not None else None
        if handle is None or entry is None:
            return
        entry.used += now - entry.attempts_out.pop((item.part, item.attempt), now)
        if item.result is Result.OK:
            self._freed_parts[handle] = self._freed_parts.get(handle, 0) + 1

    def ask_ended(self, now: int, handle: int, finish: Finish | None) -> None:
        """An ask is over; without ``finish`` all its clients had left."""
        entry = self._entries.pop(handle, None)
        if entry is None:
            return
        self._freed_parts.pop(handle, None)
        for part in entry.parts_sent:
            self._ask_of_part.pop(part, None)
        used = entry.used + sum(now - started for started in entry.attempts_out.values())
        whole = finish is not None and finish.verdict is Verdict.ANSWERED
        self._inputs.append(Done(handle, used) if whole else Cancelled(handle, used))

    def add_remote_usage(self, served: Mapping[str, int], age: int) -> None:
        """Total slot time of tenants at other brokers, and the age of that report (ns)."""
        self._inputs.append(RemoteUsage(dict(served), age))
        self._urgent = True

    def stop(self, end: int) -> None:
        """The broker stops at ``end``."""
        self._inputs.append(Stop(end))
        self._urgent = True

    def next_due(self) -> int | None:
        """When ``step`` must be called; 0: now. Freed slots matter only while an ask may need them."""
        if self._urgent or (self._inputs or self._freed_parts) and self._slots_needed():
            return 0
        return self.scheduler.due()

    def _slots_needed(self) -> bool:
        return bool(self.scheduler.queues.waiting) or self.scheduler.pool.full()

    def step(self, now: int, flush: bool = False) -> tuple[list[QueryArrived], list[Finish]]:
        """Asks that run from now on, with the time that is left to them, and asks that are refused.

        ``flush``: also process inputs deferred while nothing waits; the open asks bound their number.
        """
        due = self.next_due()
        if not flush and (due is None or due > now):
            return [], []
        inputs, self._inputs, self._urgent = self._inputs, [], False
        if flush or self._slots_needed():
            inputs = [*(Freed(handle, parts) for handle, parts in self._freed_parts.items()), *inputs]
            self._freed_parts.clear()
        started, refused = [], []
        for out in self.scheduler.step(now, inputs):
            entry = self._entries.get(out.number)
            if entry is None:
                continue
            if isinstance(out, Refuse):
                refused.append(_refusal(now, entry, out))
                del self._entries[out.number]
            else:
                started.append(QueryArrived(replace(entry.ask, time_left=max(entry.deadline - now, 0))))
        return started, refused

    def waiting(self) -> int:
        """Number of waiting asks."""
        return len(self.scheduler.queues.waiting)

    def served(self) -> dict[str, int]:
        """Slot time (ns) of slow queries by tenant since the last call."""
        return self.scheduler.served()


def _refusal(now: int, entry: _Entry, out: Refuse) -> Finish:
    parts = len(entry.ask.parts)
    return Finish(
        entry.ask.handle, Verdict.REFUSED, False, 0, parts, (), out.retry_in, QUEUE_REFUSAL + out.cause, 0,
        now - entry.arrived,
    )  # fmt: skip
