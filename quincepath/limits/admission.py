"""Whether a new ask is taken while much is open. Pure: own seeded source, no clock, same events alike.

The module refuses what it takes and cannot serve in time; it never queues, and nothing is queued here either.
Admission refuses before that, at once and with advice, what this broker has no room to hold:

    all      any bound is full, or memory is at its hard mark, or the broker stops
    worth    the fuller the broker, the more a class must be worth: at ``CROWDED`` of a bound a class worth
             nothing is refused, at the whole bound one worth everything; so it is at memory's soft mark
    share    from ``CONTENDED`` of a bound on, a client that holds more than an even share among the clients
             that hold anything is refused, so that the loudest does not push the quiet ones out

A single client is never refused for its share. Design: docs/design/admission.md.
"""

from collections import Counter
from dataclasses import dataclass

from quincepath.limits.gate import AdmissionGate, Rejection
from quincepath.limits.gate import Bounds as GateBounds
from quincepath.limits.memory import Pressure

CROWDED = 0.7
CONTENDED = 0.5
MEAN_WEIGHT = 0.2  # of a new answer's size in what is expected of its class


@dataclass(slots=True, frozen=True)
class AdmissionBounds:
    """Most asks, queries and parts together, bytes, and the longest advice (ns)."""

    asks: int
    work: int
    bytes: int
    max_retry_after: int


@dataclass(slots=True, frozen=True)
class Cost:
    """What a new ask brings. ``client`` is whom its load is counted to; ``worth`` of its class is 0 to 1."""

    client: str
    kind: int
    worth: float
    work: int
    request_bytes: int = 0


@dataclass(slots=True)
class _Held:
    cost: Cost
    bytes: int


@dataclass(slots=True)
class _Client:
    asks: int = 0
    work: int = 0
    bytes: int = 0


class Admission:
    """One a broker. Every ``admit`` that takes an ask is followed by one ``ended`` of the same number."""

    def __init__(self, bounds: AdmissionBounds, seed: int) -> None:
        self.bounds = bounds
        self.gate = AdmissionGate(GateBounds(bounds.work, bounds.max_retry_after), seed)
        self.pressure = Pressure.NONE
        self.refused: Counter[str] = Counter()
        self.asks = self.work = self.bytes = 0
        self._held: dict[int, _Held] = {}
        self._clients: dict[str, _Client] = {}
        self._sizes: dict[int, float] = {}  # expected answer by class

    # --- decisions ---

    def admit(self, now: int, ask: int, cost: Cost, lingering: int = 0) -> Rejection | None:
        """None: it is taken as number ``ask``. ``lingering``: ended queries' parts that are still out."""
        why = self._why_not(cost, lingering)
        if why:
            self.refused[why] += 1
            return self.gate.reject(now, why)
        size = self._expected(cost)
        self._held[ask] = _Held(cost, size)
        client = self._clients.setdefault(cost.client, _Client())
        for holder in (self, client):
            holder.asks += 1
            holder.work += cost.work
            holder.bytes += size
        return None

    def _why_not(self, cost: Cost, lingering: int) -> str:
        if self.gate.stopping:
            return "stopping"
        if self.pressure is Pressure.HARD:
            return "memory is short"
        bounds, size = self.bounds, self._expected(cost)
        work = self.work + lingering
        fills = {
            "too many queries": (self.asks + 1) / bounds.asks,
            "too much open": (work + cost.work) / bounds.work,
            "too many bytes": (self.bytes + size) / bounds.bytes,
        }
        fullest = max(fills, key=lambda name: fills[name])
        if fills[fullest] > 1:
            return fullest
        crowded = CROWDED + (1 - CROWDED) * cost.worth
        if fills[fullest] > crowded or (self.pressure is Pressure.SOFT and cost.worth < 1):
            return "its class is worth too little while much is open"
        if fills[fullest] > CONTENDED and self._over_share(cost, size):
            return "its client holds more than its share"
        return ""

    def _over_share(self, cost: Cost, size: int) -> bool:
        """Whether with this ask its client holds more of any bound than an even share of it."""
        mine = self._clients.get(cost.client, _Client())
        clients = len(self._clients) + (cost.client not in self._clients)
        if clients < 2:
            return False
        bounds = self.bounds
        most = max(
            (mine.asks + 1) / bounds.asks,
            (mine.work + cost.work) / bounds.work,
            (mine.bytes + size) / bounds.bytes,
        )
        return most > 1 / clients

    def _expected(self, cost: Cost) -> int:
        """Bytes that the ask will hold: its request, and an answer like those of its class before."""
        return cost.request_bytes + int(self._sizes.get(cost.kind, 0.0))

    # --- what happens ---

    def ended(self, ask: int, answer_bytes: int = 0) -> None:
        """An ask is over; ``answer_bytes`` of its answer, 0 where it had none."""
        held = self._held.pop(ask, None)
        if held is None:
            return
        cost = held.cost
        client = self._clients[cost.client]
        for holder in (self, client):
            holder.asks -= 1
            holder.work -= cost.work
            holder.bytes -= held.bytes
        if not client.asks:
            del self._clients[cost.client]
        if answer_bytes:
            before = self._sizes.get(cost.kind)
            size = float(answer_bytes)
            self._sizes[cost.kind] = size if before is None else before + MEAN_WEIGHT * (size - before)

    def renumber(self, old: int, new: int) -> None:
        """An ask runs once more under another number."""
        held = self._held.pop(old, None)
        if held is not None:
            self._held[new] = held

    def clients(self) -> int:
        """How many hold anything."""
        return len(self._clients)


__all__ = ["Admission", "AdmissionBounds", "Cost", "Rejection"]
