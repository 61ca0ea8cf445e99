"""What a broker has learned of a kind of part and of a node, and its open calls at the node."""

import math

from quincepath.interface import Entry
from quincepath.policy.tuning import (
    DECAY_TIME_MIN,
    FAILURE_COST,
    FAILURE_COST_MAX,
    FAILURE_DECAY_FACTOR,
    FAILURE_GAIN,
    LATE_DEVIATIONS,
    LATE_SHARE_MAX,
    LATE_SHARE_MIN,
    LATENCY_CLIP,
    LATENCY_GAIN,
    PRIOR_LATENCY,
    PRIOR_WORK,
    SECOND,
)


class Latency:
    """Typical latency of one kind of part, learned from all nodes; derived from the target at first."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.mean = self.baseline = target * PRIOR_LATENCY
        self.deviation = self.mean / 2
        self.seen_at = self.replies = 0
        self.work = self.work_average = target * PRIOR_WORK  # work assumed for a part, a safe guess at first

    def learn(self, now: int, elapsed: int) -> None:
        """Take in the latency of one reply."""
        self.seen_at, self.replies = now, self.replies + 1
        seen = min(elapsed, self.mean * LATENCY_CLIP)
        self.deviation += LATENCY_GAIN * (abs(seen - self.mean) - self.deviation)
        self.mean += LATENCY_GAIN * (seen - self.mean)
        self.baseline = min(self.baseline, self.mean)
        self.work_average += max(LATENCY_GAIN, 1 / (self.replies + 1)) * (seen - self.work_average)
        self.work = min(self.work, self.work_average)

    def late_after(self) -> int:
        """Time after which an open attempt is late."""
        late = self.mean + LATE_DEVIATIONS * self.deviation
        return int(min(max(late, LATE_SHARE_MIN * self.target), LATE_SHARE_MAX * self.target))


class Call:
    """Sends of one round to one node, batched in one call; a node's load counts calls."""

    def __init__(self, at: int) -> None:
        self.at = at
        self.parts = self.open = 0


NO_CALL = Call(-SECOND)  # of a node before its first call: too old for a part to join


class Node:
    """What this broker knows of one replica, all from the list and from its own traffic."""

    def __init__(self, entry: Entry, number: int) -> None:
        self.id, self.entry = entry.node, entry
        self.number, self.ready = number, False  # nodes are numbered in the order of their first listing
        self.name = ".".join(str(b) for b in entry.node[:4]) + f":{int.from_bytes(entry.node[4:])}"
        self.calls = self.consecutive_failures = 0
        self.call = NO_CALL
        # By class (None: all classes), the share of attempts that failed and when it was computed.
        self.failure_shares: dict[int | None, tuple[float, int]] = {}
        self.ratio, self.ratio_at, self.usual_load = 1.0, 0, 0.0
        self.last_reply_at = self.last_sent_at = -SECOND * SECOND
        self.cold_from = self.refilled_at = -SECOND * SECOND  # when it started; when its tokens were updated
        self.tokens, self.last_token_at, self.token_fraction = 0.0, 0.0, 0.0  # of its bucket while it is cold
        self.decay_time = DECAY_TIME_MIN

    def load(self, now: int, kind: int) -> int:
        """Own open calls, plus the odds of failure: what an attempt here costs in further ones elsewhere."""
        share = self.failure_share(now, kind)
        return self.calls + round(min(FAILURE_COST * share / (1.001 - share), FAILURE_COST_MAX))

    def failure_share(self, now: int, kind: int) -> float:
        """Share of recent attempts that failed here, of the class or of all classes; decays while unused."""
        # Kept by class, too: guards against a node that fails one class while replies of others hide it.
        return max(self._decayed_share(now, None), self._decayed_share(now, kind))

    def _decayed_share(self, now: int, kind: int | None) -> float:
        share, at = self.failure_shares.get(kind, (0.0, 0))
        return share * math.exp((at - now) / (FAILURE_DECAY_FACTOR * self.decay_time))

    def record_outcome(self, now: int, kind: int, failure: float) -> None:
        """Take in one ended attempt; ``failure`` is 1 for a failed one, 0 for a good one."""
        for key in (None, kind):
            share = self._decayed_share(now, key)
            self.failure_shares[key] = share + FAILURE_GAIN * (failure - share), now

    def slowdown(self, now: int) -> float:
        """Latency here as a multiple of the typical one; decays to 1 while unused."""
        return 1 + (self.ratio - 1) * math.exp((self.ratio_at - now) / self.decay_time)
