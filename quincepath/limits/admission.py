"""Admission control: whether a new ask is admitted while many are open.

Pure: own seeded random source, no clock; the same events give the same decisions.

The decision module refuses queries that it has taken and cannot serve in time; neither it nor admission
queues anything. Admission refuses before that, at once and with a retry delay, what exceeds the capacity of
this broker:

    bounds   any bound is full, memory pressure is hard, or the broker stops
    worth    the fuller the broker, the more a class must be worth: at ``WORTH_THRESHOLD`` of a bound a class
             worth 0 is refused, at the whole bound one worth 1; at soft memory pressure all classes worth
             less than 1 are refused
    share    from ``SHARE_THRESHOLD`` of a bound on, a client that holds more than an even share among the
             clients with open asks is refused, so that the client with the highest demand does not crowd
             out the others

A client that is alone is never refused for its share. Design: docs/design/admission.md.
"""

from collections import Counter
from dataclasses import dataclass

from quincepath.limits.gate import AdmissionGate, Rejection
from quincepath.limits.gate import Bounds as GateBounds
from quincepath.limits.memory import Pressure

WORTH_THRESHOLD = 0.7  # of a bound
SHARE_THRESHOLD = 0.5  # of a bound
MEAN_WEIGHT = 0.2  # of a new answer's size in the moving average of its class


@dataclass(slots=True, frozen=True)
class AdmissionBounds:
    """Most asks, queries and parts together, and bytes, and the longest retry delay (ns)."""

    asks: int
    work: int
    bytes: int
    max_retry_after: int


@dataclass(slots=True, frozen=True)
class Cost:
    """Load of a new ask. It is counted to ``client``; ``worth`` of its class is 0 to 1."""

    client: str
    kind: int
    worth: float
    work: int
    request_bytes: int = 0


@dataclass(slots=True)
class _Admitted:
    cost: Cost
    bytes: int


@dataclass(slots=True)
class _ClientLoad:
    asks: int = 0
    work: int = 0
    bytes: int = 0


class Admission:
    """One per broker. Every ``admit`` that admits an ask is followed by one ``ended`` of the same number."""

    def __init__(self, bounds: AdmissionBounds, seed: int) -> None:
        self.bounds = bounds
        self.gate = AdmissionGate(GateBounds(bounds.work, bounds.max_retry_after), seed)
        self.pressure = Pressure.NONE
        self.refused: Counter[str] = Counter()
        self.asks = self.work = self.bytes = 0
        self._admitted: dict[int, _Admitted] = {}
        self._clients: dict[str, _ClientLoad] = {}
        self._sizes: dict[int, float] = {}  # expected bytes of an answer by class

    # --- decisions ---

    def admit(self, now: int, ask: int, cost: Cost, lingering: int = 0) -> Rejection | None:
        """None: admitted as number ``ask``. ``lingering``: parts of ended queries that are still out."""
        cause = self._refusal_cause(cost, lingering)
        if cause:
            self.refused[cause] += 1
            return self.gate.reject(now, cause)
        size = self._expected_bytes(cost)
        self._admitted[ask] = _Admitted(cost, size)
        client = self._clients.setdefault(cost.client, _ClientLoad())
        for load in (self, client):
            load.asks += 1
            load.work += cost.work
            load.bytes += size
        return None

    def _refusal_cause(self, cost: Cost, lingering: int) -> str:
        if self.gate.stopping:
            return "stopping"
        if self.pressure is Pressure.HARD:
            return "memory is short"
        bounds, size = self.bounds, self._expected_bytes(cost)
        work = self.work + lingering
        fills = {
            "too many queries": (self.asks + 1) / bounds.asks,
            "too much open": (work + cost.work) / bounds.work,
            "too many bytes": (self.bytes + size) / bounds.bytes,
        }
        fullest = max(fills, key=lambda name: fills[name])
        if fills[fullest] > 1:
            return fullest
        threshold = WORTH_THRESHOLD + (1 - WORTH_THRESHOLD) * cost.worth
        if fills[fullest] > threshold or (self.pressure is Pressure.SOFT and cost.worth < 1):
            return "its class is worth too little while much is open"
        if fills[fullest] > SHARE_THRESHOLD and self._over_share(cost, size):
            return "its client holds more than its share"
        return ""

    def _over_share(self, cost: Cost, size: int) -> bool:
        """Whether with this ask its client would hold more of any bound than an even share of it."""
        load = self._clients.get(cost.client, _ClientLoad())
        clients = len(self._clients) + (cost.client not in self._clients)
        if clients < 2:
            return False
        bounds = self.bounds
        largest = max(
            (load.asks + 1) / bounds.asks,
            (load.work + cost.work) / bounds.work,
            (load.bytes + size) / bounds.bytes,
        )
        return largest > 1 / clients

    def _expected_bytes(self, cost: Cost) -> int:
        """Bytes that the ask will hold: its request, and an answer of the size usual in its class."""
        return cost.request_bytes + int(self._sizes.get(cost.kind, 0.0))

    # --- events ---

    def ended(self, ask: int, answer_bytes: int = 0) -> None:
        """An ask is over; ``answer_bytes`` is the size of its answer, 0 where it had none."""
        admitted = self._admitted.pop(ask, None)
        if admitted is None:
            return
        cost = admitted.cost
        client = self._clients[cost.client]
        for load in (self, client):
            load.asks -= 1
            load.work -= cost.work
            load.bytes -= admitted.bytes
        if not client.asks:
            del self._clients[cost.client]
        if answer_bytes:
            mean = self._sizes.get(cost.kind)
            size = float(answer_bytes)
            self._sizes[cost.kind] = size if mean is None else mean + MEAN_WEIGHT * (size - mean)

    def renumber(self, old: int, new: int) -> None:
        """An ask runs again under another number."""
        admitted = self._admitted.pop(old, None)
        if admitted is not None:
            self._admitted[new] = admitted

    def clients(self) -> int:
        """Number of clients with open asks."""
        return len(self._clients)


__all__ = ["Admission", "AdmissionBounds", "Cost", "Rejection"]
