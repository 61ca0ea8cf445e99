"""Who gives the slots of a broker in the world of turns: fair queues, and what they are measured against.

    Fair        limits/fair, as a broker would hold it FirstCome   one queue in the order of arrival, over
    the same slots EvenShares  today's door: no queue; what is over an even share of what is open is refused
    (limits/admission.py)

All take the same inputs and give the same outputs. Bounds are the same; what does not fit is refused.
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

ADVICE = 500_000_000


class SlotScheduler(Protocol):
    """One a broker. ``idle``: slots that are free of those that slow queries may have."""

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]: ...

    def due(self) -> int | None: ...

    def served(self) -> dict[str, int]: ...

    def idle(self) -> int: ...

    def waiting(self) -> Counter[str]: ...


class FairQueueing:
    """Fair queues; news of the ledger come as an input, or do not."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.inner = FairScheduler(settings, seed)

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        return self.inner.step(now, inputs)

    def due(self) -> int | None:
        return self.inner.due()

    def served(self) -> dict[str, int]:
        return self.inner.served()

    def idle(self) -> int:
        return max(0, self.inner.settings.slow_slots - self.inner.pool.slow)

    def waiting(self) -> Counter[str]:
        return Counter(one.tenant for one, _ in self.inner.queues.waiting.values())


class FirstCome:
    """A query starts while a slot is free.

    The others wait in the order of their arrival until their target.
    """

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        self.out: dict[int, int] = {}
        self.queue: dict[int, tuple[Enter, int]] = {}

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        told: list[Output] = []
        for one in inputs:
            if isinstance(one, Enter):
                if len(self.queue) >= self.settings.waiting_most:
                    told.append(Refuse(one.number, "too many wait", ADVICE))
                else:
                    self.queue[one.number] = one, now
            elif isinstance(one, Freed) and one.number in self.out:
                self.out[one.number] = max(0, self.out[one.number] - one.parts)
            elif isinstance(one, Done | Cancelled):
                self.out.pop(one.number, None)
                self.queue.pop(one.number, None)
        for number, (enter, came) in list(self.queue.items()):
            if now > came + enter.target:
                del self.queue[number]
                told.append(Refuse(number, "its time is up", ADVICE))
        while self.queue and self.idle():
            number = next(iter(self.queue))
            enter, came = self.queue.pop(number)
            self.out[number] = enter.footprint.parts
            told.append(Run(number, Speed.SLOW, now - came))
        return told

    def due(self) -> int | None:
        return min((came + enter.target + 1 for enter, came in self.queue.values()), default=None)

    def served(self) -> dict[str, int]:
        return {}

    def idle(self) -> int:
        return max(0, self.settings.slow_slots - sum(self.out.values()))

    def waiting(self) -> Counter[str]:
        return Counter(enter.tenant for enter, _ in self.queue.values())


class EvenShares:
    """Today's admission with the slow slots as the bound on what is open; nothing waits."""

    def __init__(self, settings: FairSettings, seed: int) -> None:
        self.settings = settings
        slots = settings.slow_slots
        self.admission = Admission(AdmissionBounds(slots, slots, 1 << 40, settings.retry_after_most), seed)

    def step(self, now: int, inputs: Iterable[Input]) -> list[Output]:
        told: list[Output] = []
        for one in inputs:
            if isinstance(one, Enter):
                cost = Cost(one.tenant, one.footprint.kind, 1.0, one.footprint.parts)
                away = self.admission.admit(now, one.number, cost)
                if away is None:
                    told.append(Run(one.number, Speed.SLOW, 0))
                else:
                    told.append(Refuse(one.number, away.cause, away.retry_in))
            elif isinstance(one, Done | Cancelled):
                self.admission.ended(one.number)
        return told

    def due(self) -> int | None:
        return None

    def served(self) -> dict[str, int]:
        return {}

    def idle(self) -> int:
        return max(0, self.settings.slow_slots - self.admission.work)

    def waiting(self) -> Counter[str]:
        return Counter()
