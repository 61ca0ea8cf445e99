"""Whether a query is taken at all. Pure: own seeded source, no clock, same events give the same decisions.

The module refuses what it takes and cannot serve in time. The door refuses before that what this broker has
no room to hold, and all that comes while it stops. Who is turned away is told when to come back: later the
longer the door has been shut without a break, and spread, so that clients do not come back together.
"""

import random
from dataclasses import dataclass

SECOND = 1_000_000_000
LEAST_WAIT = SECOND // 2  # advice when the door has just been shut
SPREAD = 0.5  # the advice is drawn from this share below to this share above its middle
LINGER = SECOND  # a door that took a query for so long without turning one away has been open again
STOPPING_WAIT = 2 * SECOND  # by then another broker, or this one anew, should be there


@dataclass(slots=True, frozen=True)
class Bounds:
    """Most queries and parts held at once, and the longest advice (ns) that clients honour."""

    open_work: int
    max_retry_after: int


@dataclass(slots=True, frozen=True)
class Rejection:
    """Not taken; ``cause`` is one of a few, ``retry_in`` is ns."""

    cause: str
    retry_in: int


class AdmissionGate:
    """One a broker. ``admit`` is asked for each query before it becomes one."""

    def __init__(self, bounds: Bounds, seed: int) -> None:
        self.bounds = bounds
        self.random = random.Random(seed)
        self.stopping = False
        self._shut_since = self._shut_last = -2 * LINGER

    def stop(self) -> None:
        """Take nothing more; there is no way back."""
        self.stopping = True

    def admit(self, now: int, held: int, work: int) -> Rejection | None:
        """None: take it. ``held`` queries and parts are open or on their way in, this one adds ``work``."""
        if self.stopping:
            return self.reject(now, "stopping")
        if held + work <= self.bounds.open_work:
            return None
        return self.reject(now, "too much open")

    def reject(self, now: int, cause: str) -> Rejection:
        """Turn away, for whatever cause: the advice is the longer, the longer it has been so."""
        if self.stopping:
            return Rejection("stopping", self._spread(STOPPING_WAIT))
        if now > self._shut_last + LINGER:
            self._shut_since = now
        self._shut_last = now
        # Shut for a moment: come back soon. Shut for long: the backlog of clients is long as well.
        return Rejection(cause, self._spread(LEAST_WAIT + (now - self._shut_since)))

    def reject_with_base_delay(self, cause: str) -> Rejection:
        """For a bound that is not the door's own: not taken, with advice spread like all others."""
        return Rejection(cause, self._spread(LEAST_WAIT))

    def _spread(self, middle: int) -> int:
        most = self.bounds.max_retry_after
        drawn = middle * (1 - SPREAD + 2 * SPREAD * self.random.random())
        if drawn >= most:  # a bound must not bring them all back at the same moment
            drawn = most * (1 - SPREAD * self.random.random())
        return max(int(drawn), 1)
