"""The budget of further attempts."""

from collections import deque

from quincepath.interface import Allowance, Settings
from quincepath.policy.nodes import Node
from quincepath.policy.tuning import MOSTLY_FAILING, SECOND


class AttemptBudget:
    """Rule 6: attempts beyond the first in a sliding window, against what was accepted in it."""

    def __init__(self, settings: Settings) -> None:
        self.rules = settings.rules
        self.taken, self.extra = deque[int](), deque[int]()

    def take(self, now: int) -> None:
        """A query or part was accepted. Guards against keeping all for ever where extras are seldom asked."""
        self.taken.append(now)
        self._drop_taken(now)

    def spend(self, now: int) -> None:
        """An attempt beyond a part's first goes out."""
        if self.rules.budget_window:
            self.extra.append(now)

    def _drop_taken(self, now: int) -> None:
        start = now - self.rules.budget_window
        while self.taken and self.taken[0] <= start:  # drop early what we earn by, late what we spent
            self.taken.popleft()

    def allows(self, now: int) -> bool:
        if not self.rules.budget_window:
            return True
        start = now - self.rules.budget_window
        self._drop_taken(now)
        while self.extra and self.extra[0] < start:
            self.extra.popleft()
        return len(self.extra) + 1 <= self.rules.budget_free + self.rules.budget_ratio * len(self.taken)


class Allowed:
    """What all brokers together can bear, as this one was told; without news of it everything goes."""

    def __init__(self) -> None:
        self.news = Allowance(0.0, 0.0, 0)
        self.saved, self.saved_at = 1.0, 0

    def tell(self, now: int, news: Allowance) -> None:
        self.allows(now)  # what was earned until now
        self.news = news

    def allows(self, now: int) -> bool:
        """Whether a further attempt may go out: earned at the rate told, a second's worth at most."""
        if now >= self.news.until:
            self.saved, self.saved_at = 1.0, now
            return True
        most = max(self.news.extras, 1.0)
        earned = self.news.extras * (now - self.saved_at) / SECOND
        self.saved, self.saved_at = min(self.saved + earned, most), now
        return self.saved >= 1 - 1e-9

    def spend(self, now: int) -> None:
        self.saved -= now < self.news.until

    def trial_wait(self, now: int, node: Node, kind: int) -> float:
        """How long until a node where most attempts fail may be tried again."""
        if now >= self.news.until or node.fault_share(now, kind) <= MOSTLY_FAILING:
            return 0.0
        pause = SECOND / self.news.trials if self.news.trials > 0 else float(self.news.until - now)
        return max(min(node.tried_at + pause, self.news.until) - now, 0.0)
