"""Typical latencies, learned from replies; times in ns."""

from quincepath.policy.tuning import LATE_DEVIATIONS, LATE_SHARE_LEAST, LATE_SHARE_MOST, LATENCY_CLIP
from quincepath.policy.tuning import LATENCY_GAIN, PRIOR_LATENCY, PRIOR_WORK


class Latency:
    """Typical latency of one kind of part, learned from all nodes; the prior is from the target."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.mean = self.base = target * PRIOR_LATENCY
        self.deviation = self.mean / 2
        self.seen_at = self.replies = 0
        self.work = self.usual = target * PRIOR_WORK  # what a part is booked at, on the safe side at first

    def learn(self, now: int, elapsed: int) -> None:
        self.seen_at, self.replies = now, self.replies + 1
        seen = min(elapsed, self.mean * LATENCY_CLIP)
        self.deviation += LATENCY_GAIN * (abs(seen - self.mean) - self.deviation)
        self.mean += LATENCY_GAIN * (seen - self.mean)
        self.base = min(self.base, self.mean)
        self.usual += max(LATENCY_GAIN, 1 / (self.replies + 1)) * (seen - self.usual)
        self.work = min(self.work, self.usual)

    def late_after(self) -> int:
        """When a part out this long is called late."""
        late = self.mean + LATE_DEVIATIONS * self.deviation
        return int(min(max(late, LATE_SHARE_LEAST * self.target), LATE_SHARE_MOST * self.target))
