"""The budget of further attempts."""

from collections import deque

from quincepath.interface import Allowance, Settings
from quincepath.policy.nodes import Node
from quincepath.policy.tuning import MOSTLY_FAILING, SECOND


class AttemptBudget:
    """Rule 6: attempts beyond the first in a sliding window, against what was accepted in it."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.rules
        self.accepted, self.extra_sent = deque[int](), deque[int]()

    def record_accepted(self, now: int) -> None:
        """A query or part was accepted. Guards against keeping all for ever where extras are seldom asked."""
        self.accepted.append(now)
        self._drop_old_accepted(now)

    def spend(self, now: int) -> None:
        """An attempt beyond a part's first goes out."""
        if self.rules.budget_window:
            self.extra_sent.append(now)

    def _drop_old_accepted(self, now: int) -> None:
        start = now - self.rules.budget_window
        while self.accepted and self.accepted[0] <= start:  # drop early what we earn by, late what we spent
            self.accepted.popleft()

    def allows(self, now: int) -> bool:
        if not self.rules.budget_window:
            return True
        start = now - self.rules.budget_window
        self._drop_old_accepted(now)
        while self.extra_sent and self.extra_sent[0] < start:
            self.extra_sent.popleft()
        return len(self.extra_sent) + 1 <= self.rules.budget_free + self.rules.budget_ratio * len(
            self.accepted
        )


class FleetAllowance:
    """What all brokers together can bear, as this one was told; without one nothing is limited."""

    def __init__(self) -> None:
        self.allowance = Allowance(0.0, 0.0, 0)
        self.tokens, self.tokens_at = 1.0, 0

    def update(self, now: int, allowance: Allowance) -> None:
        self.allows(now)  # what was earned until now
        self.allowance = allowance

    def allows(self, now: int) -> bool:
        """Whether a further attempt may go out: earned at the rate told, a second's worth at most."""
        if now >= self.allowance.until:
            self.tokens, self.tokens_at = 1.0, now
            return True
        most = max(self.allowance.extras, 1.0)
        earned = self.allowance.extras * (now - self.tokens_at) / SECOND
        self.tokens, self.tokens_at = min(self.tokens + earned, most), now
        return self.tokens >= 1 - 1e-9

    def spend(self, now: int) -> None:
        self.tokens -= now < self.allowance.until

    def probe_wait(self, now: int, node: Node, kind: int) -> float:
        """How long until a node where most attempts fail may be tried again."""
        if now >= self.allowance.until or node.failure_share(now, kind) <= MOSTLY_FAILING:
            return 0.0
        pause = (
            SECOND / self.allowance.trials if self.allowance.trials > 0 else float(self.allowance.until - now)
        )
        return max(min(node.last_sent_at + pause, self.allowance.until) - now, 0.0)
