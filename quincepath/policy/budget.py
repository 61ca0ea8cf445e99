"""Limits on extra attempts, beyond a part's first: this broker's budget and its share of the fleet's."""

from collections import deque

from quincepath.interface import Allowance, Settings
from quincepath.policy.nodes import Node
from quincepath.policy.tuning import MOSTLY_FAILING, SECOND


class AttemptBudget:
    """Rule 6, a retry budget: extra attempts in a sliding window, relative to what was accepted in it."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.rules
        self.accepted, self.extras = deque[int](), deque[int]()

    def record_accepted(self, now: int) -> None:
        """Count an accepted query or part, and drop old ones.

        Guards against keeping all of them for ever where extra attempts are seldom asked for.
        """
        self.accepted.append(now)
        self._drop_old_accepted(now)

    def spend(self, now: int) -> None:
        """Count an extra attempt that is sent."""
        if self.rules.budget_window:
            self.extras.append(now)

    def _drop_old_accepted(self, now: int) -> None:
        start = now - self.rules.budget_window
        # At the window's edge what earns budget is dropped early, and what spent it (see ``allows``) late.
        while self.accepted and self.accepted[0] <= start:
            self.accepted.popleft()

    def allows(self, now: int) -> bool:
        """Whether one more extra attempt fits the budget."""
        if not self.rules.budget_window:
            return True
        start = now - self.rules.budget_window
        self._drop_old_accepted(now)
        while self.extras and self.extras[0] < start:
            self.extras.popleft()
        return len(self.extras) + 1 <= self.rules.budget_free + self.rules.budget_ratio * len(self.accepted)


class FleetAllowance:
    """This broker's share of what all brokers together may send; without a valid one nothing is limited."""

    def __init__(self) -> None:
        self.allowance = Allowance(0.0, 0.0, 0)
        self.tokens, self.tokens_at = 1.0, 0

    def update(self, now: int, allowance: Allowance) -> None:
        """Replace the allowance."""
        self.allows(now)  # credits what was earned at the old rate
        self.allowance = allowance

    def allows(self, now: int) -> bool:
        """Whether an extra attempt may be sent: tokens come at the allowed rate, at most a second's worth."""
        if now >= self.allowance.until:
            self.tokens, self.tokens_at = 1.0, now
            return True
        most = max(self.allowance.extras, 1.0)
        earned = self.allowance.extras * (now - self.tokens_at) / SECOND
        self.tokens, self.tokens_at = min(self.tokens + earned, most), now
        return self.tokens >= 1 - 1e-9

    def spend(self, now: int) -> None:
        """Take the token of an extra attempt that is sent."""
        self.tokens -= now < self.allowance.until

    def probe_wait(self, now: int, node: Node, kind: int) -> float:
        """Time until a probe attempt may be sent to a node where most attempts fail."""
        if now >= self.allowance.until or node.failure_share(now, kind) <= MOSTLY_FAILING:
            return 0.0
        pause = (
            SECOND / self.allowance.trials if self.allowance.trials > 0 else float(self.allowance.until - now)
        )
        return max(min(node.last_sent_at + pause, self.allowance.until) - now, 0.0)
