"""Asks that wait for their turn, and the slot time of those that run: between the reception and the turns.

Pure. Loaded with ``limits.fair`` in the configuration only; without it every ask goes to the driver at once.
A slot is taken by an attempt from its start to its end; what is still out when its query ends is charged up
to then, and its slot is given back: the holder is told to stop, what it still does shows in later queries.
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
class _Held:
    ask: Ask
    deadline: int
    came: int
    used: int = 0
    out: dict[tuple[int, int], int] = field(default_factory=dict)  # by part and attempt, since when
    parts: set[int] = field(default_factory=set)  # that ever went out


class FairPendingQueue:
    """One a broker. ``due`` and ``step`` belong to the reception's."""

    def __init__(self, scheduler: FairScheduler) -> None:
        self.scheduler = scheduler
        self._held: dict[int, _Held] = {}
        self._asks: dict[int, int] = {}  # by part, its ask
        self._inputs: list[SchedulerInput] = []
        self._urgent = False  # something came that decides, not only slots given back
        self._freed: dict[int, int] = {}  # by ask, parts that came back and are not told yet

    def set_weight(self, tenant: str, weight: float | None) -> None:
        """Of a tenant, from the next step on; None: as the configuration file says."""
        self.scheduler.set_weight(tenant, weight)
        self._urgent = True

    def enqueue(self, now: int, ask: Ask, scheduling: SchedulingInfo) -> None:
        """An ask that admission took."""
        self._held[ask.handle] = _Held(ask, scheduling.deadline, now)
        self._inputs.append(
            Enter(ask.handle, scheduling.tenant, scheduling.footprint, scheduling.target, scheduling.deadline)
        )
        self._urgent = True

    def attempts_started(self, now: int, order: StartCall) -> None:
        """Attempts go out."""
        for one in order.attempts:
            held = self._held.get(one.ask)
            if held is not None:
                held.out[one.part, one.attempt] = now
                held.parts.add(one.part)
                self._asks[one.part] = one.ask

    def attempt_ended(self, now: int, item: AttemptEnded) -> None:
        """An attempt has ended."""
        handle = self._asks.get(item.part)
        held = self._held.get(handle) if handle is not None else None
        if handle is None or held is None:
            return
        held.used += now - held.out.pop((item.part, item.attempt), now)
        if item.result is Result.OK:
            self._freed[handle] = self._freed.get(handle, 0) + 1

    def ask_ended(self, now: int, handle: int, finish: Finish | None) -> None:
        """An ask is over; without ``finish`` its clients had left."""
        held = self._held.pop(handle, None)
        if held is None:
            return
        self._freed.pop(handle, None)
        for part in held.parts:
            self._asks.pop(part, None)
        used = held.used + sum(now - since for since in held.out.values())
        whole = finish is not None and finish.verdict is Verdict.ANSWERED
        self._inputs.append(Done(handle, used) if whole else Cancelled(handle, used))

    def add_remote_usage(self, served: Mapping[str, int], age: int) -> None:
        """What tenants got at other brokers."""
        self._inputs.append(RemoteUsage(dict(served), age))
        self._urgent = True

    def stop(self, end: int) -> None:
        """The broker ends then."""
        self._inputs.append(Stop(end))
        self._urgent = True

    def next_due(self) -> int | None:
        """When ``step`` must be called; 0: now. Slots given back matter only where somebody wants them."""
        if self._urgent or (self._inputs or self._freed) and self._wanted():
            return 0
        return self.scheduler.due()

    def _wanted(self) -> bool:
        return bool(self.scheduler.queues.waiting) or self.scheduler.pool.full()

    def step(self, now: int, whole: bool = False) -> tuple[list[QueryArrived], list[Finish]]:
        """Asks that run from now on, with the time that is left to them, and those that are refused.

        ``whole``: also what is put off while nobody waits; bounded by the asks that are open at once.
        """
        due = self.next_due()
        if not whole and (due is None or due > now):
            return [], []
        inputs, self._inputs, self._urgent = self._inputs, [], False
        if whole or self._wanted():
            inputs = [*(Freed(handle, parts) for handle, parts in self._freed.items()), *inputs]
            self._freed.clear()
        runs, refused = [], []
        for out in self.scheduler.step(now, inputs):
            held = self._held.get(out.number)
            if held is None:
                continue
            if isinstance(out, Refuse):
                refused.append(_refusal(now, held, out))
                del self._held[out.number]
            else:
                runs.append(QueryArrived(replace(held.ask, time_left=max(held.deadline - now, 0))))
        return runs, refused

    def waiting(self) -> int:
        """How many wait."""
        return len(self.scheduler.queues.waiting)

    def served(self) -> dict[str, int]:
        """Slot time (ns) of slow queries by tenant since the last call."""
        return self.scheduler.served()


def _refusal(now: int, held: _Held, out: Refuse) -> Finish:
    parts = len(held.ask.parts)
    return Finish(
        held.ask.handle, Verdict.REFUSED, False, 0, parts, (), out.retry_in, QUEUE_REFUSAL + out.cause, 0,
        now - held.came,
    )  # fmt: skip
