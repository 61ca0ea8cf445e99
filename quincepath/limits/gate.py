"""Admission gate: a bound on what is open, and the retry delay that a rejected client is given.

Pure: own seeded random source, no clock; the same events give the same decisions.

The decision module refuses queries that it has taken and cannot serve in time. The gate rejects before that
what exceeds the broker's bound, and everything while the broker stops. The retry delay grows with the time
for which the gate has rejected without a break, and it is jittered, so that rejected clients do not return
at the same time.
"""

import random
from dataclasses import dataclass

SECOND = 1_000_000_000  # ns
BASE_DELAY = SECOND // 2  # ns; middle of the retry delay when the gate has just begun to reject
JITTER = 0.5  # the retry delay is drawn from this share below to this share above its middle
RECOVERY_TIME = SECOND  # ns; after this long without a rejection the retry delay starts again at its base
STOPPING_DELAY = 2 * SECOND  # ns; by then another broker, or this one restarted, should take queries


@dataclass(slots=True, frozen=True)
class Bounds:
    """Most queries and parts open at once, and the longest retry delay (ns) that clients honour."""

    open_work: int
    max_retry_after: int


@dataclass(slots=True, frozen=True)
class Rejection:
    """A query was not admitted; ``cause`` is one of a few texts, ``retry_in`` is ns."""

    cause: str
    retry_in: int


class AdmissionGate:
    """One per broker. ``admit`` is called for each request before it becomes a query."""

    def __init__(self, bounds: Bounds, seed: int) -> None:
        self.bounds = bounds
        self.random = random.Random(seed)
        self.stopping = False
        self._rejecting_since = self._last_rejection = -2 * RECOVERY_TIME

    def stop(self) -> None:
        """Reject everything from now on; this cannot be undone."""
        self.stopping = True

    def admit(self, now: int, held: int, work: int) -> Rejection | None:
        """None: admitted. ``held`` queries and parts are open or on their way in, this one adds ``work``."""
        if self.stopping:
            return self.reject(now, "stopping")
        if held + work <= self.bounds.open_work:
            return None
        return self.reject(now, "too much open")

    def reject(self, now: int, cause: str) -> Rejection:
        """Reject for any cause; the retry delay grows with the time since rejections began."""
        if self.stopping:
            return Rejection("stopping", self._jittered(STOPPING_DELAY))
        if now > self._last_rejection + RECOVERY_TIME:
            self._rejecting_since = now
        self._last_rejection = now
        # A short overload clears soon. After a long one many rejected clients are due to return.
        return Rejection(cause, self._jittered(BASE_DELAY + (now - self._rejecting_since)))

    def reject_with_base_delay(self, cause: str) -> Rejection:
        """Reject for a bound that the gate does not keep; the delay is jittered but does not grow."""
        return Rejection(cause, self._jittered(BASE_DELAY))

    def _jittered(self, middle: int) -> int:
        most = self.bounds.max_retry_after
        delay = middle * (1 - JITTER + 2 * JITTER * self.random.random())
        if delay >= most:  # cutting off at the bound would bring all clients back at the same moment
            delay = most * (1 - JITTER * self.random.random())
        return max(int(delay), 1)
