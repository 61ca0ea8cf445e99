"""Schedulers of a broker's slots in the fair-queueing simulation: fair queueing, and two to compare it with.

    FairQueueing  limits/fair, as a broker uses it
    FirstCome     one queue in order of arrival, over the same slots
    EvenShares    the admission gate without a queue (limits/admission.py): what exceeds an even share of
                  the open work is refused

All have the same inputs, outputs and limits; what exceeds a limit is refused.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from quincepath.limits.admission import Admission, AdmissionBounds, Cost
from quincepath.limits.fair import (
    Cancelled,
    Done,
    Enter,
    FairScheduler,
    FairSettings,
    Freed,
    Input,
    Output,
    Refuse,
    Run,
    Speed,
)

RETRY_DELAY_NS = 500_000_000


class SlotScheduler(Protocol):
    """A scheduler of one broker's slots."""

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Apply inputs; return queries that run or are refused."""
        ...

    def due(self) -> int | None:
        """Time (ns) of the next step without an input."""
        ...

    def served(self) -> dict[str, int]:
        """Slot time (ns) that each tenant has used."""
        ...

    def idle(self) -> int:
        """Free slots of those that slow queries may use."""
        ...

    def waiting(self) -> Counter[str]:
        """Waiting queries by tenant."""
        ...


class FairQueueing:
    """Fair queueing; reports of remote usage are an optional input."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.inner = FairScheduler(settings, seed)

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Apply inputs; return queries that run or are refused."""
        return self.inner.step(now, inputs)

    def due(self) -> int | None:
        """Time (ns) of the next step without an input."""
        return self.inner.due()

    def served(self) -> dict[str, int]:
        """Slot time (ns) that each tenant has used."""
        return self.inner.served()

    def idle(self) -> int:
        """Free slots of those that slow queries may use."""
        return max(0, self.inner.settings.slow_slots - self.inner.pool.slow)

    def waiting(self) -> Counter[str]:
        """Waiting queries by tenant."""
        return Counter(one.tenant for one, _ in self.inner.queues.waiting.values())


class FirstCome:
    """Starts queries in order of arrival while slots are free; refuses those that wait past their target."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        self.slots_in_use: dict[int, int] = {}
        self.queue: dict[int, tuple[Enter, int]] = {}

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Apply inputs; return queries that run or are refused."""
        outputs: list[Output] = []
        for one in inputs:
            if isinstance(one, Enter):
                if len(self.queue) >= self.settings.waiting_most:
                    outputs.append(Refuse(one.number, "too many wait", RETRY_DELAY_NS))
                else:
                    self.queue[one.number] = one, now
            elif isinstance(one, Freed) and one.number in self.slots_in_use:
                self.slots_in_use[one.number] = max(0, self.slots_in_use[one.number] - one.parts)
            elif isinstance(one, Done | Cancelled):
                self.slots_in_use.pop(one.number, None)
                self.queue.pop(one.number, None)
        for number, (enter, arrived_at) in list(self.queue.items()):
            if now > arrived_at + enter.target:
                del self.queue[number]
                outputs.append(Refuse(number, "its time is up", RETRY_DELAY_NS))
        while self.queue and self.idle():
            number = next(iter(self.queue))
            enter, arrived_at = self.queue.pop(number)
            self.slots_in_use[number] = enter.footprint.parts
            outputs.append(Run(number, Speed.SLOW, now - arrived_at))
        return outputs

    def due(self) -> int | None:
        """Time (ns) of the next step without an input."""
        return min((arrived_at + enter.target + 1 for enter, arrived_at in self.queue.values()), default=None)

    def served(self) -> dict[str, int]:
        """Slot time (ns) that each tenant has used."""
        return {}

    def idle(self) -> int:
        """Free slots of those that slow queries may use."""
        return max(0, self.settings.slow_slots - sum(self.slots_in_use.values()))

    def waiting(self) -> Counter[str]:
        """Waiting queries by tenant."""
        return Counter(enter.tenant for enter, _ in self.queue.values())


class EvenShares:
    """The admission gate with the slow slots as the limit of open work; no query waits."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        slots = settings.slow_slots
        self.admission = Admission(AdmissionBounds(slots, slots, 1 << 40, settings.retry_after_most), seed)

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        """Apply inputs; return queries that run or are refused."""
        outputs: list[Output] = []
        for one in inputs:
            if isinstance(one, Enter):
                cost = Cost(one.tenant, one.footprint.kind, 1.0, one.footprint.parts)
                rejection = self.admission.admit(now, one.number, cost)
                if rejection is None:
                    outputs.append(Run(one.number, Speed.SLOW, 0))
                else:
                    outputs.append(Refuse(one.number, rejection.cause, rejection.retry_in))
            elif isinstance(one, Done | Cancelled):
                self.admission.ended(one.number)
        return outputs

    def due(self) -> int | None:
        """Time (ns) of the next step without an input."""
        return None

    def served(self) -> dict[str, int]:
        """Slot time (ns) that each tenant has used."""
        return {}

    def idle(self) -> int:
        """Free slots of those that slow queries may use."""
        return max(0, self.settings.slow_slots - self.admission.work)

    def waiting(self) -> Counter[str]:
        """Waiting queries by tenant."""
        return Counter()
