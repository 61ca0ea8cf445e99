"""What a broker knows of a node, and the calls that it has out there."""

import math

from quincepath.interface import Entry, NodeId
from quincepath.policy.tuning import FAULT_COST, FAULT_GAIN, FAULT_MEETINGS, FAULT_MOST, MEMORY_LEAST, SECOND


class Node:
    """What this broker knows of one replica, all from the list and from its own traffic."""

    def __init__(self, entry: Entry) -> None:
        self.id: NodeId = entry.node
        self.name = ".".join(str(b) for b in entry.node[:4]) + f":{int.from_bytes(entry.node[4:])}"
        self.entry = entry
        self.calls = self.failures = 0
        self.call: Call | None = None
        self.faults: dict[int | None, tuple[float, int]] = {}  # by class (None: any), share and when
        self.ratio, self.ratio_at, self.usual_load = 1.0, 0, 0.0
        self.heard = -SECOND * SECOND  # when it last answered: its connection stays open for a while
        self.cold_from = self.filled_at = -SECOND * SECOND  # when it started
        self.tokens, self.token_at, self.next_token = 0.0, 0.0, 0.0  # what it may be sent while it is cold
        self.memory = MEMORY_LEAST
        self.tried_at = -SECOND * SECOND  # when something was last sent there

    def load(self, now: int, kind: int) -> int:
        """Own calls out, plus the odds of failure: what an attempt there costs in further ones elsewhere."""
        faults = self.fault_share(now, kind)
        return self.calls + round(min(FAULT_COST * faults / (1.001 - faults), FAULT_MOST))

    def fault_share(self, now: int, kind: int) -> float:
        """Share of attempts that failed here of late, fading while unused: the class's own or that of all.

        By class, too: guards against a node that fails one class while good replies of others speak for it.
        """
        return max(self._faded(now, None), self._faded(now, kind))

    def _faded(self, now: int, kind: int | None) -> float:
        share, at = self.faults.get(kind, (0.0, 0))
        return share * math.exp((at - now) / (FAULT_MEETINGS * self.memory))

    def note(self, now: int, kind: int, fault: float) -> None:
        """One attempt more has ended: 1 badly, 0 well."""
        for key in (None, kind):
            share = self._faded(now, key)
            self.faults[key] = share + FAULT_GAIN * (fault - share), now

    def speed(self, now: int) -> float:
        """Latency here over the typical one, fading to 1 while unused."""
        return 1 + (self.ratio - 1) * math.exp((self.ratio_at - now) / self.memory)


class Call:
    """Sends of one round to one node that share a place; the design counts these."""

    def __init__(self, at: int) -> None:
        self.at = at
        self.parts = self.open = 0
